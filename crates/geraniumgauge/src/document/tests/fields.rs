use super::*;

fn findings(text: &str) -> Vec<String> {
    let found = parse("d", text).unwrap_err();
    found.iter().map(ToString::to_string).collect()
}

#[test]
fn what_is_left_out_has_its_default() {
    let document = parse("d", "{\"team\": \"unnamed\"} // the rest as it comes").unwrap();
    assert_eq!(document, Document::default());
}

#[test]
fn a_document_as_it_is_stored_is_read_back() {
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

/// Story: a coverage service sets a deadline below the default latency target,
/// which it doesn't use. It must not be refused for a value it never wrote.
#[test]
fn a_target_that_is_neither_written_nor_used_is_no_finding() {
    assert!(parse("d", "{\"team\": \"a\", \"deadline_ms\": 100}").is_ok());
}

#[test]
fn every_field_shows_a_difference() {
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
