use super::*;

fn parse(line: &str) -> Result<invocation::Invocation, failure::Failure> {
    let mut words = line.split(' ');
    let name = words.next().unwrap();
    let verb = VERBS.iter().find(|verb| verb.name == name).unwrap();
    let rest = words.map(Into::into).collect();
    read(verb, pico_args::Arguments::from_vec(rest), None)
}

/// The example of each verb must be a valid command line.
#[test]
fn the_examples_are_valid_command_lines() {
    for verb in VERBS {
        let line = verb.example.split(" > ").next().unwrap();
        let line = line.strip_prefix("geraniumgauge ").unwrap();
        assert!(parse(line).is_ok(), "{line}");
        assert!(help().contains(verb.example));
    }
}

#[test]
fn unknown_verbs_and_flags_and_wrong_argument_counts_are_usage_errors() {
    for line in ["status", "status a b", "status a --jsn", "apply a b --wait"] {
        let failure = parse(line).err().unwrap();
        assert_eq!(failure.code(), 2, "{line}");
        assert!(failure.to_string().contains("Example:"), "{line}");
    }
    assert_eq!(run(vec!["reset".into()]).err().unwrap().code(), 2);
}
