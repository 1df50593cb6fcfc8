use std::time;

use super::*;

fn route(host: &str, prefix: &str) -> Route {
    Route {
        name: prefix.to_owned(),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        repeat: Repeat::Idempotent,
        attempts: 2,
        timeout: time::Duration::from_millis(600),
        latency_target: time::Duration::from_millis(100),
        priority: 0,
        target: Target::One(Vec::new()),
    }
}

fn table(routes: Vec<Route>) -> Table {
    Table::new(Config {
        version: ids::Generation(1),
        routes,
        services: Default::default(),
        limits: Limits {
            max_head: rate::Bytes(1),
            max_body: rate::Bytes(1),
            head_timeout: time::Duration::ZERO,
            idle_timeout: time::Duration::ZERO,
        },
    })
}

/// Builds prefixes and paths from a small alphabet, so that many share a
/// beginning.
fn path_of(digits: &[u8]) -> String {
    let mut text = "/".to_owned();
    for digit in digits.iter().take(5) {
        text.push_str(["a/", "b/", "ab/"][usize::from(*digit) % 3]);
    }
    text
}

quickcheck::quickcheck! {
    fn the_longest_prefix_wins(prefixes: Vec<(bool, Vec<u8>)>, path: Vec<u8>, other: bool) -> bool {
        let host = |first: bool| if first { "one.example" } else { "two.example" };
        let routes: Vec<Route> = prefixes
            .iter()
            .map(|(first, digits)| route(host(*first), &path_of(digits)))
            .collect();
        let path = path_of(&path) + "x?a/b/";
        let naive = routes
            .iter()
            .filter(|route| route.host == host(other))
            .filter(|route| path.starts_with(&route.prefix))
            .map(|route| route.prefix.len())
            .max();
        let found = table(routes.clone());
        let found = found.find(host(other), &path).map(|entry| entry.route.prefix.len());
        found == naive
    }

    fn shares_are_kept_to_within_one_request(weights: Vec<u8>, requests: u16) -> bool {
        let weights: Vec<f64> = weights.iter().take(6).map(|weight| f64::from(*weight)).collect();
        let total: f64 = weights.iter().sum();
        if total == 0.0 {
            return true;
        }
        let service: ids::Service = "s".parse().expect("a name");
        let split = weights.iter().map(|weight| Weighted { service: service.clone(), weight: *weight });
        let mut split = Split::of(&Target::One(split.collect()));
        let mut assigned = vec![0.0; weights.len()];
        for _ in 0..requests {
            assigned[split.next_index()] += 1.0;
        }
        let expected = |weight: f64| weight / total * f64::from(requests);
        weights.iter().zip(&assigned).all(|(weight, got)| (got - expected(*weight)).abs() <= weights.len() as f64)
    }
}

#[test]
fn a_query_and_a_port_do_not_count() {
    let table = table(vec![route("one.example", "/a/")]);
    assert!(table.find("ONE.example:80", "/a/x?q").is_some());
    assert!(table.find("one.example", "/b/?x=/a/").is_none());
    assert!(table.find("two.example", "/a/").is_none());
}
