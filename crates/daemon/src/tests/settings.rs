use super::*;

const EXAMPLE: &str = include_str!("../../example-settings.jsonc");

#[test]
fn the_example_is_valid_and_has_the_default_limits_times_and_logging() {
    let settings = Settings::parse("example", EXAMPLE).unwrap();
    assert_eq!(settings.vm.as_str(), "kowhai-1");
    assert_eq!(settings.seeds.len(), 2);
    let defaults = Settings::defaults();
    assert_eq!(settings.limits, defaults.limits);
    assert_eq!(settings.stop, defaults.stop);
    assert_eq!(settings.log, defaults.log);
}

fn findings(text: &str) -> Vec<String> {
    let found = Settings::parse("s.jsonc", text).unwrap_err();
    found.iter().map(ToString::to_string).collect()
}

/// Of two listeners with the same address the second can't be bound; if one has a wildcard
/// address, callers may reach the operators' listener instead. The check must report this
/// before anything is bound.
#[test]
fn listeners_on_one_address_are_findings() {
    let text = EXAMPLE.replace("127.0.0.1:7201", "0.0.0.0:7101");
    let found = findings(&text);
    assert_eq!(found.len(), 1, "{found:?}");
    assert!(
        found[0].starts_with("s.jsonc:7:16: operators: 0.0.0.0:7101 is already used by callers")
    );
}

#[test]
fn invalid_addresses_are_findings() {
    let text = EXAMPLE
        .replace("http://127.0.0.1:7000", "http://store:7000")
        .replace("127.0.0.1:7101", "127.0.0.1:0")
        .replace("127.0.0.1:7301", "0.0.0.0:7301")
        .replace("127.0.0.1:7303", "127.0.0.1:7302");
    let found = findings(&text).join("\n");
    for part in [
        "store: \"http://store:7000\" is not an http:// URL with an IP address",
        "callers: port 0",
        "mesh: other VMs can't connect to 0.0.0.0",
        "seeds[1]: 127.0.0.1:7302 is listed twice",
    ] {
        assert!(found.contains(part), "{part} not in\n{found}");
    }
}

#[test]
fn a_frame_limit_too_small_for_a_body_is_a_finding() {
    let text = EXAMPLE.replace("\"body_bytes\": 1048576", "\"body_bytes\": 4194304");
    let found = findings(&text);
    assert_eq!(found.len(), 1, "{found:?}");
    assert!(found[0].contains("limits.frame_bytes: a body of 4194304 B"));
}

/// The help lists `no-hedge`. If the parser accepted only the variant's name `NoHedge`,
/// an operator who follows the help would get an error.
#[test]
fn every_policy_in_the_help_is_accepted() {
    for policy in ["full", "no-hedge", "direct"] {
        let text = EXAMPLE.replacen('{', &format!("{{ \"policy\": \"{policy}\","), 1);
        let settings = Settings::parse("s", &text).unwrap();
        assert_eq!(settings.policy.to_string(), policy);
    }
}

#[test]
fn a_missing_file_is_a_finding() {
    let found = Settings::read(path::Path::new("no/such/file")).unwrap_err();
    assert!(found[0].to_string().contains("failed to read the file"));
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
