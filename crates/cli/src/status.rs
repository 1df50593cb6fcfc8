//! `status SERVICE`.

use geraniumgauge::document;
use geraniumgauge::finding;
use geraniumgauge::ids;
use geraniumgauge::quarantine;
use geraniumgauge::store;
use geraniumgauge::store::Api as _;
use geraniumgauge::time;

use crate::call;
use crate::failure;
use crate::marks;
use crate::table;

/// A status that nobody has refreshed for so long tells of the past.
const STALE_S: u64 = 150;

/// Prints what is in force and what was refused.
pub(crate) async fn run(call: call::Call) -> Result<(), failure::Failure> {
    let service = call.service()?;
    let store = call.store()?;
    let status = match read(&store, &service).await? {
        Some(status) => status,
        None => return Err(unknown(&store, &service).await),
    };
    let now = time::Clock::start().wall();
    let marks = marks::read(&store, &service, now).await?;
    if call.has("--json") {
        println!("{}", table::json(&Shown { status, marks }));
        return Ok(());
    }
    println!("{}", text(&status, now));
    for line in marks::text(&marks, now) {
        println!("{line}");
    }
    Ok(())
}

/// A status with what is held against requests, for other programs.
#[derive(serde::Serialize)]
struct Shown {
    #[serde(flatten)]
    status: document::Status,
    marks: Vec<quarantine::Mark>,
}

/// The status of a service, where a keeper has written one.
pub(crate) async fn read(
    store: &dyn store::Api,
    service: &ids::Service,
) -> Result<Option<document::Status>, failure::Failure> {
    let key = document::status_key(service);
    let object = match store.get(&key).await {
        Ok(object) => object,
        Err(store::Error::Missing { .. }) => return Ok(None),
        Err(error) => return Err(error.into()),
    };
    let status = serde_json::from_slice(&object.body);
    status.map(Some).map_err(|error| {
        let message = format!("{key} can't be read: {error}; a keeper writes it again within 60 s");
        failure::Failure::Refused(message)
    })
}

/// Fails where nothing is accepted for a service: a mistyped name must not read
/// like a service without faults.
pub(crate) async fn known(
    store: &store::Client,
    service: &ids::Service,
) -> Result<(), failure::Failure> {
    match store.get(&document::accepted_key(service)).await {
        Ok(_) => Ok(()),
        Err(store::Error::Missing { .. }) => Err(unknown(store, service).await),
        Err(error) => Err(error.into()),
    }
}

/// The failure that a service has no status, with those that have one.
pub(crate) async fn unknown(store: &store::Client, service: &ids::Service) -> failure::Failure {
    let listing = match store.list(document::STATUS).await {
        Ok(listing) => listing,
        Err(error) => return error.into(),
    };
    let names = listing.changes.iter().map(|change| &change.key);
    let names: Vec<_> = names
        .filter_map(|key| key.strip_prefix(document::STATUS))
        .collect();
    let known = if names.is_empty() {
        "no service has one: is any VM running?".to_owned()
    } else {
        format!("services with one: {}", names.join(", "))
    };
    failure::Failure::Refused(format!("{service} has no status; {known}"))
}

/// A status as a person reads it.
pub(crate) fn text(status: &document::Status, now: time::Wall) -> String {
    let age = now.since(status.written);
    let mut lines = vec![format!(
        "{}: generation {}, layout version {}{}",
        status.service,
        status.generation,
        status.layout,
        if status.retired { ", retired" } else { "" }
    )];
    lines.push(format!(
        "in force at {} of {} VMs{}",
        status.in_force,
        status.vms,
        behind(status)
    ));
    if !status.unconfirmed.is_empty() {
        let names: Vec<_> = status.unconfirmed.iter().map(ToString::to_string).collect();
        lines.push(format!(
            "started while the store was out, and apply what the other VMs told: {}",
            names.join(", ")
        ));
    }
    lines.extend(verdict(status));
    lines.extend(listed("the layout was refused:", &status.layout_findings));
    if status.layout.0 == 0 {
        let service = &status.service;
        lines.push(format!(
            "no layout: write layouts/{service}, or every request is refused"
        ));
    }
    lines.push(format!(
        "written by {} {} ago",
        status.keeper,
        table::age(age)
    ));
    if age.as_secs() > STALE_S {
        lines.push(
            "nobody has refreshed this: the VMs can't reach the store, or none runs; \
             what is in force stays so"
                .to_owned(),
        );
    }
    lines.join("\n")
}

fn behind(status: &document::Status) -> String {
    if status.behind.is_empty() {
        return String::new();
    }
    let names: Vec<_> = status.behind.iter().map(ToString::to_string).collect();
    format!("; not yet or not heard of at {}", names.join(", "))
}

fn verdict(status: &document::Status) -> Vec<String> {
    match &status.document {
        document::Verdict::Accepted { version } => {
            vec![format!("document version {version}: accepted")]
        }
        document::Verdict::Refused { version, findings } => {
            let stays = if status.generation.0 == 0 {
                "nothing was accepted before, so every request is refused"
            } else {
                "the one accepted before stays in force"
            };
            let head = format!("document version {version}: refused, {stays}");
            listed(&head, findings)
        }
        document::Verdict::Vanished => vec![
            "the document is gone from the store; what was accepted stays in force: apply it \
             again, or apply it with \"retired\": true to end the service"
                .to_owned(),
        ],
        document::Verdict::SetBack { version, .. } => vec![format!(
            "document version {version} is of an older state of the store and changed nothing: \
             compare it by `show`, and apply what is wanted"
        )],
    }
}

fn listed(head: &str, findings: &[finding::Finding]) -> Vec<String> {
    if findings.is_empty() {
        return Vec::new();
    }
    let lines = findings.iter().map(|finding| format!("  {finding}"));
    std::iter::once(head.to_owned()).chain(lines).collect()
}

#[cfg(test)]
#[path = "tests/status.rs"]
mod tests;
