use super::*;

const EXAMPLE: &str = include_str!("../../example-settings.jsonc");

#[test]
fn the_example_is_read_and_shows_the_defaults() {
    let settings = Settings::parse("example", EXAMPLE).unwrap();
    assert_eq!(settings.vm.as_str(), "kowhai-1");
    assert_eq!(settings.seeds.len(), 2);
    let blank = Settings::blank();
    assert_eq!(settings.limits, blank.limits);
    assert_eq!(settings.stop, blank.stop);
    assert_eq!(settings.log, blank.log);
}

fn findings(text: &str) -> Vec<String> {
    let found = Settings::parse("s.jsonc", text).unwrap_err();
    found.iter().map(ToString::to_string).collect()
}

/// Story: an operator copies a line and forgets the port. One listener fails
/// to bind at the start, or callers are served the operators' pages. The clash
/// is found before anything is bound.
#[test]
fn addresses_that_clash_are_findings() {
    let text = EXAMPLE.replace("127.0.0.1:7201", "0.0.0.0:7101");
    let found = findings(&text);
    assert_eq!(found.len(), 1, "{found:?}");
    assert!(
        found[0].starts_with("s.jsonc:7:16: operators: 0.0.0.0:7101 is the address of callers too")
    );
}

#[test]
fn names_any_port_and_a_mesh_on_every_address_are_refused() {
    let text = EXAMPLE
        .replace("http://127.0.0.1:7000", "http://store:7000")
        .replace("127.0.0.1:7101", "127.0.0.1:0")
        .replace("127.0.0.1:7301", "0.0.0.0:7301")
        .replace("127.0.0.1:7303", "127.0.0.1:7302");
    let found = findings(&text).join("\n");
    for part in [
        "store: \"http://store:7000\" is no http URL by IP number",
        "callers: port 0",
        "mesh: other VMs can't connect to 0.0.0.0",
        "seeds[1]: 127.0.0.1:7302 is listed twice",
    ] {
        assert!(found.contains(part), "{part} not in\n{found}");
    }
}

#[test]
fn limits_that_exclude_each_other_are_findings() {
    let text = EXAMPLE.replace("\"body_bytes\": 1048576", "\"body_bytes\": 4194304");
    let found = findings(&text);
    assert_eq!(found.len(), 1, "{found:?}");
    assert!(found[0].contains("limits.frame_bytes: a body of 4194304 B"));
}

/// Story: the form that the help page shows for a setting must be one that it
/// takes; a policy was shown as `no-hedge` and taken as `NoHedge` only.
#[test]
fn every_policy_that_is_offered_is_taken() {
    for policy in ["full", "no-hedge", "direct"] {
        let text = EXAMPLE.replacen('{', &format!("{{ \"policy\": \"{policy}\","), 1);
        let settings = Settings::parse("s", &text).unwrap();
        assert_eq!(settings.policy.to_string(), policy);
    }
}

#[test]
fn a_file_that_is_not_there_is_a_finding() {
    let found = Settings::read(path::Path::new("no/such/file")).unwrap_err();
    assert!(found[0].to_string().contains("can't be read"));
}

#[test]
fn the_help_page_names_every_field() {
    let page = help();
    for field in FIELDS {
        assert!(page.contains(&format!("  {}: ", field.path)));
    }
    assert!(
        page.contains("stop.balancer_wait_ms: a whole number from 0 to 60000 ms; default 5000")
    );
}
