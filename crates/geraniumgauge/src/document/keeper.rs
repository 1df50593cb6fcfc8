//! What the keeper does about one service's document.
//!
//! [`decide`] looks at the team's text, the accepted record and what is in
//! force, and says what to write. Every write is conditional on the record's
//! version, so two keepers at once do no harm: one of them gets a conflict and
//! looks again.

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
    /// Counts the accepted documents of the service.
    pub generation: ids::Generation,
    /// The version of `documents/{service}` that was last taken into account.
    pub considered: ids::ObjectVersion,
    /// The document in force.
    pub document: document::Document,
}

/// What a keeper has read about one service.
#[derive(Debug, Clone)]
pub struct Seen {
    /// The service.
    pub service: ids::Service,
    /// `documents/{service}`.
    pub text: Option<store::Object>,
    /// `accepted/{service}`, with its object's version.
    pub accepted: Option<(ids::ObjectVersion, Accepted)>,
    /// What this VM has in force; it may be newer than a store that was set back.
    pub in_force: Option<(ids::Generation, sync::Arc<document::Document>)>,
}

/// What to write, and what to tell operators.
#[derive(Debug, Clone, PartialEq)]
pub struct Decision {
    /// The new record and the condition under which to write it.
    pub write: Option<(Accepted, store::Condition)>,
    /// What became of the text.
    pub verdict: status::Verdict,
}

/// Decides about one service.
pub fn decide(seen: &Seen) -> Decision {
    if let Some(restored) = set_back(seen) {
        return restored;
    }
    let Some(text) = &seen.text else {
        return Decision::without_write(status::Verdict::Vanished);
    };
    let version = text.version;
    if let Some((_, record)) = &seen.accepted
        && record.considered == version
    {
        return settled(seen, record, version);
    }
    let parsed = match read(&seen.service, &text.body) {
        Ok(parsed) => parsed,
        Err(findings) => {
            return Decision::without_write(status::Verdict::Refused { version, findings });
        }
    };
    let same = seen
        .accepted
        .as_ref()
        .is_some_and(|(_, record)| record.document == parsed);
    if same {
        return Decision::without_write(status::Verdict::Accepted { version });
    }
    accept(seen, version, parsed)
}

impl Decision {
    fn without_write(verdict: status::Verdict) -> Self {
        Self {
            write: None,
            verdict,
        }
    }
}

fn accept(seen: &Seen, version: ids::ObjectVersion, document: document::Document) -> Decision {
    let stored = seen.accepted.as_ref().map(|(_, record)| record.generation);
    let applied = seen.in_force.as_ref().map(|(generation, _)| *generation);
    let highest = stored.max(applied).unwrap_or_default();
    let record = Accepted {
        generation: ids::Generation(highest.0 + 1),
        considered: version,
        document,
    };
    Decision {
        write: Some((record, condition(seen))),
        verdict: status::Verdict::Accepted { version },
    }
}

/// Failure: the store comes back from an outage in an older state. Its accepted
/// record is gone or lower than what VMs apply; a VM that starts now would
/// apply it, and the fleet would be at two generations for good. The text is
/// of the older state too, and taking it for an edit would undo accepted ones.
/// So the record is written again as it is in force, and the text counts as
/// considered: only a write of the text after this one is an edit.
fn set_back(seen: &Seen) -> Option<Decision> {
    let (applied, document) = seen.in_force.as_ref()?;
    let stored = seen.accepted.as_ref().map(|(_, record)| record.generation);
    if stored.is_some_and(|stored| stored >= *applied) {
        return None;
    }
    let version = seen
        .text
        .as_ref()
        .map_or(ids::ObjectVersion(0), |text| text.version);
    let record = Accepted {
        generation: *applied,
        considered: version,
        document: document.as_ref().clone(),
    };
    Some(Decision {
        write: Some((record, condition(seen))),
        verdict: status::Verdict::SetBack { version, stored },
    })
}

/// The text was taken into account before: it is in force, or belongs to an
/// older state of the store.
fn settled(seen: &Seen, record: &Accepted, version: ids::ObjectVersion) -> Decision {
    let parsed = seen
        .text
        .as_ref()
        .map(|text| read(&seen.service, &text.body));
    let verdict = match parsed {
        Some(Ok(document)) if document == record.document => status::Verdict::Accepted { version },
        _ => status::Verdict::SetBack {
            version,
            stored: Some(record.generation),
        },
    };
    Decision::without_write(verdict)
}

fn condition(seen: &Seen) -> store::Condition {
    let version = seen.accepted.as_ref().map(|(version, _)| *version);
    version.map_or(store::Condition::Absent, store::Condition::Version)
}

fn read(service: &ids::Service, body: &[u8]) -> Result<document::Document, Vec<finding::Finding>> {
    let file = document::text_key(service);
    match std::str::from_utf8(body) {
        Ok(text) => document::parse(&file, text),
        Err(error) => Err(vec![finding::Finding {
            place: finding::Place::of(&file, "", 0),
            path: String::new(),
            problem: format!("byte {} is no UTF-8", error.valid_up_to()),
            remedy: "save the text as UTF-8".to_owned(),
        }]),
    }
}

#[cfg(test)]
#[path = "tests/keeper.rs"]
mod tests;
