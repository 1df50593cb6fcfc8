//! `apply SERVICE FILE`.

use std::time;

use geraniumgauge::document;
use geraniumgauge::ids;
use geraniumgauge::store;

use crate::call;
use crate::check;
use crate::failure;
use crate::show;
use crate::status;

const WAIT_S: u64 = 10;
/// How often the status is read while waiting.
const LOOK: time::Duration = time::Duration::from_millis(250);

/// Checks, writes over the version read, and waits until it is in force.
pub(crate) async fn run(call: call::Call) -> Result<(), failure::Failure> {
    let service = call.service()?;
    let base = call.value::<ids::ObjectVersion>("--if-version")?;
    let wait = call.value::<u64>("--wait")?.unwrap_or(WAIT_S);
    let file = call.argument(1).to_owned();
    let text = check::read(&file)?;
    let document = document::parse(&file, &text).map_err(failure::Failure::unwritten)?;
    let store = call.store()?;
    let edit = Edit {
        service,
        text,
        document,
        base,
    };
    let version = write(&store, &edit).await?;
    println!("documents/{} is written as version {version}", edit.service);
    if wait == 0 {
        return Ok(());
    }
    follow(
        &store,
        &edit.service,
        version,
        time::Duration::from_secs(wait),
    )
    .await
}

/// One operator's edit.
pub(crate) struct Edit {
    service: ids::Service,
    text: String,
    document: document::Document,
    /// The version that it is based on, where the operator names it.
    base: Option<ids::ObjectVersion>,
}

/// Writes the text where nobody else has written meanwhile.
pub(crate) async fn write(
    store: &dyn store::Api,
    edit: &Edit,
) -> Result<ids::ObjectVersion, failure::Failure> {
    let key = document::text_key(&edit.service);
    let base = match edit.base {
        Some(base) => base,
        None => {
            let present = show::object(store, &key).await?;
            present.map(|object| object.version).unwrap_or_default()
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

/// Failure: the reply to the write is lost. The operator can't tell whether the
/// edit took effect, and a second one would meet a conflict with the first.
/// Reading it back tells.
async fn read_back(
    store: &dyn store::Api,
    edit: &Edit,
    key: &str,
) -> Result<ids::ObjectVersion, failure::Failure> {
    let present = show::object(store, key).await?;
    let same = present.filter(|object| object.body == edit.text.as_bytes());
    same.map(|object| object.version).ok_or_else(|| {
        let message = format!("{key}: the reply was lost and the store doesn't hold your text");
        failure::Failure::Refused(format!("{message}; apply it again"))
    })
}

async fn conflict(
    store: &dyn store::Api,
    edit: &Edit,
    base: ids::ObjectVersion,
    current: ids::ObjectVersion,
) -> failure::Failure {
    let service = &edit.service;
    let theirs = show::object(store, &document::text_key(service)).await;
    let what = match theirs {
        Ok(Some(object)) => differences(edit, &object),
        Ok(None) => "  it is gone from the store".to_owned(),
        Err(error) => format!("  it can't be read: {error}"),
    };
    failure::Failure::Refused(format!(
        "conflict: documents/{service} is at version {current}, your edit is of version {base}; \
         nothing was written\nthe present document, compared with yours:\n{what}\n\
         take over what you want to keep, then: geraniumgauge apply {service} FILE \
         --if-version {current}"
    ))
}

fn differences(edit: &Edit, present: &store::Object) -> String {
    let text = String::from_utf8_lossy(&present.body);
    let Ok(theirs) = document::parse("present", &text) else {
        return "  it has findings of its own: see `geraniumgauge status`".to_owned();
    };
    let fields = document::differences(&theirs, &edit.document);
    if fields.is_empty() {
        return "  the same values".to_owned();
    }
    let line = |field: &document::Difference| {
        format!(
            "  {}: {} there, {} in yours",
            field.path, field.was, field.now
        )
    };
    fields.iter().map(line).collect::<Vec<_>>().join("\n")
}

/// Waits until the keeper has taken `version` into account and all VMs apply it.
async fn follow(
    store: &dyn store::Api,
    service: &ids::Service,
    version: ids::ObjectVersion,
    wait: time::Duration,
) -> Result<(), failure::Failure> {
    let until = tokio::time::Instant::now() + wait;
    let mut accepted = None;
    while tokio::time::Instant::now() < until {
        tokio::time::sleep(LOOK).await;
        let Ok(Some(found)) = status::read(store, service).await else {
            continue;
        };
        match judge(found, version)? {
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
        return Err(failure::Failure::Refused(format!(
            "version {version} is written, but no keeper has looked at it within {} s; look \
             later: geraniumgauge status {service}",
            wait.as_secs()
        )));
    };
    println!(
        "accepted as generation {}, in force at {} of {} VMs so far; look later: \
         geraniumgauge status {service}",
        status.generation, status.in_force, status.vms
    );
    Ok(())
}

#[derive(Debug)]
enum Progress {
    Waiting,
    Accepted(document::Status),
    InForce(document::Status),
}

fn judge(
    status: document::Status,
    version: ids::ObjectVersion,
) -> Result<Progress, failure::Failure> {
    if status.document.version() != Some(version) {
        let later = status.document.version().filter(|seen| *seen > version);
        return later.map_or(Ok(Progress::Waiting), |later| {
            let message = format!("version {later} was written after yours, version {version}");
            Err(failure::Failure::Refused(format!(
                "{message}; look what is in force: geraniumgauge show {}",
                status.service
            )))
        });
    }
    match &status.document {
        document::Verdict::Refused { findings, .. } => Err(failure::Failure::Findings {
            findings: findings.clone(),
            ending: "a document accepted before stays in force; mend them and apply again",
        }),
        document::Verdict::SetBack { .. } => Err(failure::Failure::Refused(format!(
            "the store was set back to an older state while this was written, and version \
             {version} was not taken for an edit; apply it again"
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
