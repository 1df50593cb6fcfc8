use super::*;

fn call(line: &str) -> Result<call::Call, failure::Failure> {
    let mut words = line.split(' ');
    let name = words.next().unwrap();
    let verb = VERBS.iter().find(|verb| verb.name == name).unwrap();
    let rest = words.map(Into::into).collect();
    read(verb, pico_args::Arguments::from_vec(rest), None)
}

/// Each verb's example must be a call that its own table reads.
#[test]
fn the_examples_are_valid_calls() {
    for verb in VERBS {
        let line = verb.example.split(" > ").next().unwrap();
        let line = line.strip_prefix("geraniumgauge ").unwrap();
        assert!(call(line).is_ok(), "{line}");
        assert!(page().contains(verb.example));
    }
}

#[test]
fn what_the_table_does_not_hold_is_a_usage_error() {
    for line in ["status", "status a b", "status a --jsn", "apply a b --wait"] {
        let failure = call(line).err().unwrap();
        assert_eq!(failure.code(), 2, "{line}");
        assert!(failure.to_string().contains("Example:"), "{line}");
    }
    assert_eq!(run(vec!["reset".into()]).err().unwrap().code(), 2);
}
