use super::*;

fn findings(text: &str) -> Vec<String> {
    let found = parse("d", text).unwrap_err();
    found.iter().map(ToString::to_string).collect()
}

#[test]
fn omitted_fields_have_their_defaults() {
    let document = parse("d", "{\"team\": \"unnamed\"} // the rest as it comes").unwrap();
    assert_eq!(document, Document::default());
}

#[test]
fn a_stored_document_is_parsed_back() {
    let text = serde_json::to_string(&Document::default()).unwrap();
    assert_eq!(parse("d", &text), Ok(Document::default()));
}

#[test]
fn rules_between_fields_are_checked() {
    let text = "{\"team\": \"a\", \"objective\": \"latency\",\n\"latency_target_ms\": 900, \"deadline_ms\": 800,\n\"max_deadline_ms\": 700}";
    assert_eq!(
        findings(text),
        [
            "d:2:22: latency_target_ms: 900 ms exceed deadline_ms, 800 ms; lower it or raise deadline_ms",
            "d:2:42: deadline_ms: 800 ms exceed max_deadline_ms, 700 ms; lower it or raise max_deadline_ms",
        ]
    );
}

/// A coverage service sets a deadline below the default latency target, which it
/// doesn't use. It must not be refused for a value that it didn't set.
#[test]
fn an_unused_default_latency_target_is_not_checked() {
    assert!(parse("d", "{\"team\": \"a\", \"deadline_ms\": 100}").is_ok());
}

#[test]
fn changed_fields_are_listed() {
    let now = Document {
        retired: true,
        objective: Objective::Latency,
        ..Document::default()
    };
    let found: Vec<_> = differences(&Document::default(), &now)
        .iter()
        .map(ToString::to_string)
        .collect();
    assert_eq!(
        found,
        [
            "objective: \"coverage\" -> \"latency\"",
            "retired: false -> true"
        ]
    );
}
