//! Decides whether the keeper accepts a service's document.
//!
//! [`decide`] compares the team's text, the accepted record and the document in
//! force, and returns the record to write. Every write is conditional on the
//! record's version, so two concurrent keepers do no harm: one of them gets a
//! conflict and checks the service again.

use std::sync;

use crate::document;
use crate::document::status;
use crate::finding;
use crate::ids;
use crate::store;

/// The object `accepted/{service}`.
#[derive(Debug, Clone, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Accepted {
    /// Number of documents accepted for the service so far.
    pub generation: ids::Generation,
    /// The version of `documents/{service}` that a keeper last checked, whether it was
    /// accepted or not.
    pub considered: ids::ObjectVersion,
    /// The document in force.
    pub document: document::Document,
}

/// State of one service that a keeper bases its decision on.
#[derive(Debug, Clone)]
pub struct State {
    /// The service.
    pub service: ids::Service,
    /// The object `documents/{service}`, if it exists.
    pub text: Option<store::Object>,
    /// The record `accepted/{service}` and the version of its object.
    pub accepted: Option<(ids::ObjectVersion, Accepted)>,
    /// The document in force on this VM, which is newer than the record if the
    /// store was restored to an older state.
    pub in_force: Option<(ids::Generation, sync::Arc<document::Document>)>,
}

/// The record to write and the verdict on the text that operators see.
#[derive(Debug, Clone, PartialEq)]
pub struct Decision {
    /// The new record and the condition under which to write it.
    pub write: Option<(Accepted, store::Condition)>,
    /// Result of checking the text.
    pub verdict: status::Verdict,
}

/// Decides whether the text of one service is accepted.
pub fn decide(state: &State) -> Decision {
    if let Some(restored) = restore_record(state) {
        return restored;
    }
    let Some(text) = &state.text else {
        return Decision::without_write(status::Verdict::Vanished);
    };
    let version = text.version;
    if let Some((_, record)) = &state.accepted
        && record.considered == version
    {
        return already_considered(state, record, version);
    }
    let parsed = match parse(&state.service, &text.body) {
        Ok(parsed) => parsed,
        Err(findings) => {
            return Decision::without_write(status::Verdict::Refused { version, findings });
        }
    };
    let unchanged = state
        .accepted
        .as_ref()
        .is_some_and(|(_, record)| record.document == parsed);
    if unchanged {
        return Decision::without_write(status::Verdict::Accepted { version });
    }
    accept(state, version, parsed)
}

impl Decision {
    fn without_write(verdict: status::Verdict) -> Self {
        Self {
            write: None,
            verdict,
        }
    }
}

fn accept(state: &State, version: ids::ObjectVersion, document: document::Document) -> Decision {
    let stored = state.accepted.as_ref().map(|(_, record)| record.generation);
    let applied = state.in_force.as_ref().map(|(generation, _)| *generation);
    let highest = stored.max(applied).unwrap_or_default();
    let record = Accepted {
        generation: ids::Generation(highest.0 + 1),
        considered: version,
        document,
    };
    Decision {
        write: Some((record, condition(state))),
        verdict: status::Verdict::Accepted { version },
    }
}

/// Restores the accepted record if the store was restored to an older state.
///
/// The record in such a store is missing or has a lower generation than the VMs
/// apply. A VM that starts would apply it, and the fleet would stay at two
/// generations. The text is outdated too, and accepting it would undo later
/// edits. So the record is written as it is in force, and the text is marked as
/// considered: only a later write of the text is an edit.
fn restore_record(state: &State) -> Option<Decision> {
    let (applied, document) = state.in_force.as_ref()?;
    let stored = state.accepted.as_ref().map(|(_, record)| record.generation);
    if stored.is_some_and(|stored| stored >= *applied) {
        return None;
    }
    let version = state
        .text
        .as_ref()
        .map_or(ids::ObjectVersion(0), |text| text.version);
    let record = Accepted {
        generation: *applied,
        considered: version,
        document: document.as_ref().clone(),
    };
    Some(Decision {
        write: Some((record, condition(state))),
        verdict: status::Verdict::SetBack { version, stored },
    })
}

/// Returns the verdict on a text that was considered before: it is in force or
/// belongs to an older state of the store.
fn already_considered(state: &State, record: &Accepted, version: ids::ObjectVersion) -> Decision {
    let parsed = state
        .text
        .as_ref()
        .map(|text| parse(&state.service, &text.body));
    let verdict = match parsed {
        Some(Ok(document)) if document == record.document => status::Verdict::Accepted { version },
        _ => status::Verdict::SetBack {
            version,
            stored: Some(record.generation),
        },
    };
    Decision::without_write(verdict)
}

fn condition(state: &State) -> store::Condition {
    let version = state.accepted.as_ref().map(|(version, _)| *version);
    version.map_or(store::Condition::Absent, store::Condition::Version)
}

fn parse(service: &ids::Service, body: &[u8]) -> Result<document::Document, Vec<finding::Finding>> {
    let file = document::text_key(service);
    match std::str::from_utf8(body) {
        Ok(text) => document::parse(&file, text),
        Err(error) => Err(vec![finding::Finding {
            place: finding::Place::of(&file, "", 0),
            path: String::new(),
            problem: format!("invalid UTF-8 at byte {}", error.valid_up_to()),
            remedy: "save the text as UTF-8".to_owned(),
        }]),
    }
}

#[cfg(test)]
#[path = "tests/keeper.rs"]
mod tests;
