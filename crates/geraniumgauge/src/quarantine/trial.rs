//! Rules that decide which VM may run an isolated trial. No I/O.
//!
//! Each service has one object in the store, `quarantine/{service}`, with its marks
//! and the claims of its running trials. Every change is a conditional update, so
//! two VMs can't start trials of the same request, nor trials that together could
//! crash all replicas of a shard. A VM claims a trial before it sends the request.
//! A VM that is paused or dies after claiming may have crashed an upstream, so a
//! claim that lapses without an outcome counts as a crash and isn't given out
//! again for the same mark.

use std::time;

use crate::ids;
use crate::quarantine;
use crate::quarantine::tracker;
use crate::time as clock;

/// Time after which the claim of a trial lapses.
pub const CLAIM_DURATION: time::Duration = time::Duration::from_secs(5);

/// Returns the key of a service's object in the store.
pub fn key(service: &ids::Service) -> String {
    format!("{STORE_KEY_PREFIX}{service}")
}

/// Store key prefix of the services' quarantine objects.
pub const STORE_KEY_PREFIX: &str = "quarantine/";

/// Content of the store object `quarantine/{service}`: what all VMs know of the
/// service's suspect requests and their trials.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(default)]
pub struct Ledger {
    /// Marks of the service's requests, at most one for each fingerprint.
    pub marks: Vec<quarantine::Mark>,
    /// Claims of the trials that are running.
    pub claims: Vec<Claim>,
}

/// A VM's right to run one trial.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Claim {
    /// Fingerprint of the request.
    pub fingerprint: ids::Fingerprint,
    /// VM that runs the trial.
    pub vm: ids::Vm,
    /// Distinguishes the claims of one VM.
    pub token: u64,
    /// When the claim lapses.
    pub until: clock::Wall,
    /// Where the trial runs; `None` if that isn't known before the request is sent.
    pub place: Option<Place>,
}

impl Claim {
    /// Returns true if this trial and `other` could crash two replicas of one shard.
    fn conflicts_with(&self, other: &Self) -> bool {
        let places = self.place.as_ref().zip(other.place.as_ref());
        places.is_none_or(|(one, other)| one.overlaps(other))
    }
}

/// The upstream that runs a trial, with the other replicas of its shards.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Place {
    /// Upstream that runs the trial.
    pub upstream: ids::Upstream,
    /// The other replicas of the upstream's shards.
    pub siblings: Vec<ids::Upstream>,
}

impl Place {
    fn overlaps(&self, other: &Self) -> bool {
        self.upstream == other.upstream || self.siblings.contains(&other.upstream)
    }
}

/// How a trial ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(derive_more::Display)]
#[display(rename_all = "snake_case")]
pub enum End {
    /// The upstream answered.
    Completed,
    /// The connection was lost while the request ran.
    Lost,
    /// No upstream ran any part of the request.
    NotRun,
    /// It isn't known whether the request ran to completion.
    Unknown,
}

/// Result of [`Ledger::start`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Start {
    /// The trial may start once this ledger has been written.
    Granted(Ledger),
    /// The request already has a trial, or a running trial conflicts with this one.
    Busy,
    /// The request is quarantined, as the contained ledger records.
    Quarantined(Ledger),
}

impl Ledger {
    /// Adds `claim` if its trial may start at time `wall`.
    pub fn start(&self, claim: &Claim, wall: clock::Wall) -> Start {
        let mut next = self.clone();
        next.quarantine_lapsed(wall);
        let mark = next.mark(claim.fingerprint);
        let verdict = mark.map_or(quarantine::Verdict::Clear, |mark| mark.verdict(wall));
        if verdict == quarantine::Verdict::Quarantined {
            return Start::Quarantined(next);
        }
        // Trials run concurrently where they can. After a rack restarts every new
        // request that ran there is suspect; with one trial at a time, 153 of 9,600
        // shards were missing as quarantined in one such run.
        let conflicting =
            |other: &Claim| other.fingerprint == claim.fingerprint || other.conflicts_with(claim);
        if next.claims.iter().any(conflicting) {
            return Start::Busy;
        }
        next.claims.push(claim.clone());
        Start::Granted(next)
    }

    /// Removes `claim`. Returns `None` if it isn't in the ledger.
    pub fn release(&self, claim: &Claim) -> Option<Self> {
        let index = self.claims.iter().position(|existing| existing == claim)?;
        let mut next = self.clone();
        next.claims.remove(index);
        Some(next)
    }

    /// Merges `mark` into the ledger and drops expired marks.
    pub fn merge(&mut self, mark: &quarantine::Mark, wall: clock::Wall) {
        self.marks.retain(|existing| wall < existing.until);
        let same = |existing: &&mut quarantine::Mark| existing.fingerprint == mark.fingerprint;
        match self.marks.iter_mut().find(same) {
            Some(existing) => *existing = existing.merge(mark),
            None => self.marks.push(mark.clone()),
        }
    }

    /// Returns the mark of `fingerprint`, if there is one.
    pub fn mark(&self, fingerprint: ids::Fingerprint) -> Option<&quarantine::Mark> {
        self.marks
            .iter()
            .find(|mark| mark.fingerprint == fingerprint)
    }

    /// Drops lapsed claims and quarantines their requests, which may have crashed an
    /// upstream without any VM seeing it.
    fn quarantine_lapsed(&mut self, wall: clock::Wall) {
        let lapsed = self.claims.extract_if(.., |claim| wall >= claim.until);
        for claim in lapsed {
            let tried = |mark: &&mut quarantine::Mark| mark.fingerprint == claim.fingerprint;
            if let Some(mark) = self.marks.iter_mut().find(tried) {
                mark.state = quarantine::State::Quarantined;
                mark.until = mark
                    .until
                    .max(wall + tracker::UNCERTAIN_QUARANTINE_DURATION);
                mark.version = wall.0.max(mark.version + 1);
            }
        }
    }
}
