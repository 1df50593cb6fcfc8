//! The verb `status SERVICE`.

use geraniumgauge::document;
use geraniumgauge::finding;
use geraniumgauge::ids;
use geraniumgauge::quarantine;
use geraniumgauge::store;
use geraniumgauge::store::Api as _;
use geraniumgauge::time;

use crate::failure;
use crate::invocation;
use crate::marks;
use crate::table;

/// Age in seconds above which a status counts as stale. Keepers rewrite it at least
/// every 60 s.
const STALE_AFTER_S: u64 = 150;

/// Prints what is in force and what was refused.
pub(crate) async fn run(invocation: invocation::Invocation) -> Result<(), failure::Failure> {
    let service = invocation.service()?;
    let store = invocation.store()?;
    let status = match read(&store, &service).await? {
        Some(status) => status,
        None => return Err(missing_status(&store, &service).await),
    };
    let now = time::Clock::start().wall();
    let marks = marks::read(&store, &service, now).await?;
    if invocation.has("--json") {
        println!("{}", table::json(&Output { status, marks }));
        return Ok(());
    }
    println!("{}", text(&status, now));
    for line in marks::text(&marks, now) {
        println!("{line}");
    }
    Ok(())
}

/// JSON output: the status and the marks of the service's requests.
#[derive(serde::Serialize)]
struct Output {
    #[serde(flatten)]
    status: document::Status,
    marks: Vec<quarantine::Mark>,
}

/// Reads the status of a service; `None` if no keeper has written one.
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
        let message = format!("failed to parse {key}: {error}; a keeper rewrites it within 60 s");
        failure::Failure::Other(message)
    })
}

/// Fails unless a document of the service is accepted, with the message of
/// [`missing_status`]. Without this check a mistyped name would look like a service
/// without problems.
pub(crate) async fn require_accepted(
    store: &store::Client,
    service: &ids::Service,
) -> Result<(), failure::Failure> {
    match store.get(&document::accepted_key(service)).await {
        Ok(_) => Ok(()),
        Err(store::Error::Missing { .. }) => Err(missing_status(store, service).await),
        Err(error) => Err(error.into()),
    }
}

/// Returns the failure for a service without a status; the message lists the
/// services that have one.
pub(crate) async fn missing_status(
    store: &store::Client,
    service: &ids::Service,
) -> failure::Failure {
    let listing = match store.list(document::STATUS_PREFIX).await {
        Ok(listing) => listing,
        Err(error) => return error.into(),
    };
    let names = listing.changes.iter().map(|change| &change.key);
    let names: Vec<_> = names
        .filter_map(|key| key.strip_prefix(document::STATUS_PREFIX))
        .collect();
    let others = if names.is_empty() {
        "no service has one: check that a VM is running".to_owned()
    } else {
        format!("services with a status: {}", names.join(", "))
    };
    failure::Failure::Other(format!("{service} has no status; {others}"))
}

/// Formats a status for the terminal.
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
        behind_suffix(status)
    ));
    if !status.unconfirmed.is_empty() {
        let names: Vec<_> = status.unconfirmed.iter().map(ToString::to_string).collect();
        lines.push(format!(
            "VMs that started while the store was unavailable and apply versions from other VMs \
             that the store hasn't confirmed: {}",
            names.join(", ")
        ));
    }
    lines.extend(verdict_lines(status));
    lines.extend(findings_lines(
        "the layout was refused:",
        &status.layout_findings,
    ));
    if status.layout.0 == 0 {
        let service = &status.service;
        lines.push(format!(
            "there is no layout: every request is refused until one is written to the store at \
             layouts/{service}"
        ));
    }
    lines.push(format!(
        "written by {} {} ago",
        status.keeper,
        table::duration(age)
    ));
    if age.as_secs() > STALE_AFTER_S {
        lines.push(
            "this status is stale: the VMs can't reach the store, or none is running; \
             VMs that run keep applying the documents that they have"
                .to_owned(),
        );
    }
    lines.join("\n")
}

/// Returns a suffix that names the VMs that apply an older version or haven't reported;
/// empty if there are none.
fn behind_suffix(status: &document::Status) -> String {
    if status.behind.is_empty() {
        return String::new();
    }
    let names: Vec<_> = status.behind.iter().map(ToString::to_string).collect();
    format!(
        "; VMs with an older version or without a report: {}",
        names.join(", ")
    )
}

fn verdict_lines(status: &document::Status) -> Vec<String> {
    match &status.document {
        document::Verdict::Accepted { version } => {
            vec![format!("document version {version} was accepted")]
        }
        document::Verdict::Refused { version, findings } => {
            let consequence = if status.generation.0 == 0 {
                "nothing was accepted before, so every request is refused"
            } else {
                "the previously accepted document stays in force"
            };
            let heading = format!("document version {version} was refused; {consequence}:");
            findings_lines(&heading, findings)
        }
        document::Verdict::Vanished => vec![
            "the document was deleted from the store; the accepted one stays in force: apply it \
             again, or apply it with \"retired\": true to end the service"
                .to_owned(),
        ],
        document::Verdict::SetBack { version, .. } => vec![format!(
            "document version {version} is from an older state of the store and was not applied: \
             compare it with what is in force by `geraniumgauge show`, and apply the document \
             you want"
        )],
    }
}

/// Returns `heading` and the indented findings; empty if there are none.
fn findings_lines(heading: &str, findings: &[finding::Finding]) -> Vec<String> {
    if findings.is_empty() {
        return Vec::new();
    }
    let lines = findings.iter().map(|finding| format!("  {finding}"));
    std::iter::once(heading.to_owned()).chain(lines).collect()
}

#[cfg(test)]
#[path = "tests/status.rs"]
mod tests;
