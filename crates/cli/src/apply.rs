//! The verb `apply SERVICE FILE`.

use std::time;

use geraniumgauge::document;
use geraniumgauge::ids;
use geraniumgauge::store;

use crate::check;
use crate::failure;
use crate::invocation;
use crate::show;
use crate::status;

/// Default of `--wait`, in seconds.
const DEFAULT_WAIT_S: u64 = 10;
/// Delay between two reads of the status while waiting.
const STATUS_POLL_INTERVAL: time::Duration = time::Duration::from_millis(250);

/// Checks the document, writes it if the stored version is still the one that the edit is
/// based on, and waits until it is in force at all VMs.
pub(crate) async fn run(invocation: invocation::Invocation) -> Result<(), failure::Failure> {
    let service = invocation.service()?;
    let base = invocation.value::<ids::ObjectVersion>("--if-version")?;
    let wait = invocation.value::<u64>("--wait")?.unwrap_or(DEFAULT_WAIT_S);
    let file = invocation.argument(1).to_owned();
    let text = check::read(&file)?;
    let document = document::parse(&file, &text).map_err(failure::Failure::from_findings)?;
    let store = invocation.store()?;
    let edit = Edit {
        service,
        text,
        document,
        base,
    };
    let version = write(&store, &edit).await?;
    println!("wrote documents/{} as version {version}", edit.service);
    if wait == 0 {
        return Ok(());
    }
    wait_until_in_force(
        &store,
        &edit.service,
        version,
        time::Duration::from_secs(wait),
    )
    .await
}

/// A document to be written.
pub(crate) struct Edit {
    service: ids::Service,
    text: String,
    document: document::Document,
    /// Version that the edit is based on, if given by `--if-version`.
    base: Option<ids::ObjectVersion>,
}

/// Writes the document if the stored version is the one that the edit is based on.
pub(crate) async fn write(
    store: &dyn store::Api,
    edit: &Edit,
) -> Result<ids::ObjectVersion, failure::Failure> {
    let key = document::text_key(&edit.service);
    let base = match edit.base {
        Some(base) => base,
        None => {
            let stored = show::read_object(store, &key).await?;
            stored.map(|object| object.version).unwrap_or_default()
        }
    };
    let condition = match base {
        ids::ObjectVersion(0) => store::Condition::Absent,
        version => store::Condition::Version(version),
    };
    let body = bytes::Bytes::copy_from_slice(edit.text.as_bytes());
    match store.put(&key, body, condition).await {
        Ok(version) => Ok(version),
        Err(store::Error::Conflict { current, .. }) => {
            Err(conflict(store, edit, base, current).await)
        }
        Err(store::Error::Unconfirmed { .. }) => read_back(store, edit, &key).await,
        Err(error) => Err(error.into()),
    }
}

/// Reads the document back after the reply to the write was lost, to find out
/// whether the edit took effect. Without this check, the operator would have to apply
/// the document again, which would conflict with their own first write if that took
/// effect.
async fn read_back(
    store: &dyn store::Api,
    edit: &Edit,
    key: &str,
) -> Result<ids::ObjectVersion, failure::Failure> {
    let stored = show::read_object(store, key).await?;
    let same = stored.filter(|object| object.body == edit.text.as_bytes());
    same.map(|object| object.version).ok_or_else(|| {
        let message = format!(
            "{key}: the reply to the write was lost, and the store doesn't hold your document"
        );
        failure::Failure::Other(format!("{message}; apply it again"))
    })
}

/// Returns the failure for a conflict with another write; the message shows how the
/// stored document differs from the edit.
async fn conflict(
    store: &dyn store::Api,
    edit: &Edit,
    base: ids::ObjectVersion,
    current: ids::ObjectVersion,
) -> failure::Failure {
    let service = &edit.service;
    let stored = show::read_object(store, &document::text_key(service)).await;
    let details = match stored {
        Ok(Some(object)) => differences(edit, &object),
        Ok(None) => "  the stored document was deleted".to_owned(),
        Err(error) => format!("  the stored document can't be read: {error}"),
    };
    failure::Failure::Other(format!(
        "conflict: documents/{service} is at version {current}, your edit is based on version \
         {base}; nothing was written\nthe stored document, compared with yours:\n{details}\n\
         merge what you want to keep, then run: geraniumgauge apply {service} FILE \
         --if-version {current}"
    ))
}

fn differences(edit: &Edit, stored: &store::Object) -> String {
    let text = String::from_utf8_lossy(&stored.body);
    let Ok(stored) = document::parse("stored", &text) else {
        return format!(
            "  the stored document can't be compared, since it has findings: see `geraniumgauge \
             status {}`",
            edit.service
        );
    };
    let fields = document::differences(&stored, &edit.document);
    if fields.is_empty() {
        return "  the same values".to_owned();
    }
    let line = |field: &document::Difference| {
        format!(
            "  {}: {} in the store, {} in yours",
            field.path, field.first, field.second
        )
    };
    fields.iter().map(line).collect::<Vec<_>>().join("\n")
}

/// Waits up to `wait` until a keeper has accepted `version` and all VMs apply it. If it
/// was accepted, but not all VMs apply it in this time, prints so and succeeds.
async fn wait_until_in_force(
    store: &dyn store::Api,
    service: &ids::Service,
    version: ids::ObjectVersion,
    wait: time::Duration,
) -> Result<(), failure::Failure> {
    let deadline = tokio::time::Instant::now() + wait;
    let mut accepted = None;
    while tokio::time::Instant::now() < deadline {
        tokio::time::sleep(STATUS_POLL_INTERVAL).await;
        let Ok(Some(status)) = status::read(store, service).await else {
            continue;
        };
        match progress(status, version)? {
            Progress::Waiting => {}
            Progress::Accepted(status) => accepted = Some(status),
            Progress::InForce(status) => {
                let (generation, vms) = (status.generation, status.vms);
                println!("accepted: generation {generation} is in force at all {vms} VMs");
                return Ok(());
            }
        }
    }
    let Some(status) = accepted else {
        return Err(failure::Failure::Other(format!(
            "version {version} is written, but no keeper has checked it within {} s; check \
             later: geraniumgauge status {service}",
            wait.as_secs()
        )));
    };
    println!(
        "accepted as generation {}, in force at {} of {} VMs so far; check later: \
         geraniumgauge status {service}",
        status.generation, status.in_force, status.vms
    );
    Ok(())
}

/// Progress of a written version towards being in force.
#[derive(Debug)]
enum Progress {
    /// No keeper has checked the version yet.
    Waiting,
    /// The version is accepted, but not all VMs apply it yet.
    Accepted(document::Status),
    /// All VMs apply the version.
    InForce(document::Status),
}

/// Compares the status with the `version` that was written. Fails if the document
/// was refused, if the store was restored to an older state, or if a later version was written.
fn progress(
    status: document::Status,
    version: ids::ObjectVersion,
) -> Result<Progress, failure::Failure> {
    if status.document.version() != Some(version) {
        let later = status.document.version().filter(|seen| *seen > version);
        return later.map_or(Ok(Progress::Waiting), |later| {
            let message = format!("version {later} was written after yours, version {version}");
            Err(failure::Failure::Other(format!(
                "{message}; see what is in force: geraniumgauge show {}",
                status.service
            )))
        });
    }
    match &status.document {
        document::Verdict::Refused { findings, .. } => Err(failure::Failure::Findings {
            findings: findings.clone(),
            consequence: "the previously accepted document, if any, stays in force; fix the \
                          findings and apply again",
        }),
        document::Verdict::SetBack { .. } => Err(failure::Failure::Other(format!(
            "the store was restored to an older state during the write, so version {version} was \
             ignored; apply it again"
        ))),
        document::Verdict::Vanished => Ok(Progress::Waiting),
        document::Verdict::Accepted { .. } if status.in_force >= status.vms => {
            Ok(Progress::InForce(status))
        }
        document::Verdict::Accepted { .. } => Ok(Progress::Accepted(status)),
    }
}

#[cfg(test)]
#[path = "tests/apply.rs"]
mod tests;
