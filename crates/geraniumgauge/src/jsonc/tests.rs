use super::*;

#[derive(Debug, Default)]
struct Values {
    name: Option<String>,
    wait: u64,
    share: f64,
    on: bool,
    seeds: Vec<String>,
}

static FIELDS: &[Field<Values>] = &[
    Field {
        path: "name",
        required: true,
        doc: "A name.",
        kind: Kind::Text {
            form: "a name",
            get: |values| values.name.clone(),
            set: |values, text| {
                if text.contains(' ') {
                    return Err("it holds a space; remove it".to_owned());
                }
                values.name = Some(text.to_owned());
                Ok(())
            },
        },
    },
    Field {
        path: "stop.wait_ms",
        required: false,
        doc: "A wait.",
        kind: Kind::Integer {
            min: 1,
            max: 100,
            unit: "ms",
            get: |values| values.wait,
            set: |values, wait| values.wait = wait,
        },
    },
    Field {
        path: "share",
        required: false,
        doc: "A share.",
        kind: Kind::Number {
            min: 0.0,
            max: 1.0,
            get: |values| values.share,
            set: |values, share| values.share = share,
        },
    },
    Field {
        path: "on",
        required: false,
        doc: "A flag.",
        kind: Kind::Flag {
            get: |values| values.on,
            set: |values, on| values.on = on,
        },
    },
    Field {
        path: "seeds",
        required: false,
        doc: "Seeds.",
        kind: Kind::Texts {
            form: "a seed",
            get: |values| values.seeds.clone(),
            push: |values, seed| {
                values.seeds.push(seed.to_owned());
                Ok(())
            },
        },
    },
];

fn findings(text: &str) -> Vec<String> {
    let reading = read("a.jsonc", text, FIELDS, &mut Values::default());
    reading.findings.iter().map(ToString::to_string).collect()
}

#[test]
fn a_text_with_comments_and_trailing_commas_is_read() {
    let text = "{ // a name\n \"name\": \"x\", \"stop\": {\"wait_ms\": 7}, \"share\": 0.5,\n \"on\": true, \"seeds\": [\"a\", \"b\",], }";
    let mut values = Values::default();
    let reading = read("a", text, FIELDS, &mut values);
    assert_eq!(reading.findings, []);
    assert_eq!(values.name.as_deref(), Some("x"));
    assert_eq!((values.wait, values.share, values.on), (7, 0.5, true));
    assert_eq!(values.seeds, ["a", "b"]);
    assert_eq!(reading.place("share").line, 2);
}

/// All findings must be reported in one run, each with its position and a remedy.
/// Otherwise an operator with five faults would correct one and apply five times.
#[test]
fn every_finding_is_reported_at_once_with_its_position() {
    let text = "{\"name\": \"a b\",\n\"stop\": {\"wiat_ms\": 5},\n\"share\": 2,\n\"on\": \"yes\",\n\"seeds\": [1], \"on\": true}";
    assert_eq!(
        findings(text),
        [
            "a.jsonc:1:10: name: it holds a space; remove it",
            "a.jsonc:2:10: stop.wiat_ms: unknown key; did you mean \"stop.wait_ms\"? Otherwise remove it",
            "a.jsonc:3:10: share: 2 is out of range; give a number from 0 to 1",
            "a.jsonc:4:7: on: found a string; give true or false",
            "a.jsonc:5:11: seeds[0]: found a number; give a seed",
            "a.jsonc:5:15: on: written twice, first at line 4; keep one of them",
        ]
    );
}

#[test]
fn invalid_json_is_one_finding_and_no_field_is_reported_missing() {
    let found = findings("{\"name\": \"x\",\n \"share\" 0.5}");
    assert_eq!(found.len(), 1, "{found:?}");
    assert!(found[0].starts_with("a.jsonc:2:"), "{found:?}");
    assert_eq!(findings("").len(), 1);
    assert_eq!(findings("[]").len(), 1);
}

#[test]
fn a_missing_field_says_what_to_add() {
    let found = findings("{}");
    assert_eq!(
        found,
        ["a.jsonc:1:1: name: missing; add it: a name; A name."]
    );
}

#[test]
fn no_text_makes_it_panic() {
    fn property(text: String, cut: usize) -> bool {
        let whole = "{\"name\": \"x\", \"stop\": {\"wait_ms\": 7}, \"seeds\": [\"ā\"]}";
        let cut = whole.floor_char_boundary(cut % whole.len());
        findings(&format!("{}{text}{}", &whole[..cut], &whole[cut..]));
        findings(&text);
        true
    }
    crate::seeds::checker().quickcheck(property as fn(String, usize) -> bool);
}
