//! Which VM may run a lone trial: the rules of the service's object in the
//! store, without I/O.
//!
//! One object a service, `quarantine/{service}`, holds its marks and the trials
//! that run. Every change is a conditional update, so two VMs can't both start
//! one of the same request, nor two that could take all replicas of a shard. A
//! trial is claimed before it is sent and never claimed again for the same mark:
//! a holder that was paused, or died, after its claim may have crashed an
//! upstream, so a claim that lapsed without an outcome counts as a crash.

use std::time;

use crate::ids;
use crate::quarantine;
use crate::quarantine::book;
use crate::time as clock;

/// How long a trial may run before its claim lapses.
pub const SPAN: time::Duration = time::Duration::from_secs(5);

/// Store key of a service's marks.
pub fn key(service: &ids::Service) -> String {
    format!("{PREFIX}{service}")
}

/// Prefix of all services' keys.
pub const PREFIX: &str = "quarantine/";

/// A service's object in the store.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(default)]
pub struct Ledger {
    /// What is held.
    pub marks: Vec<quarantine::Mark>,
    /// The trials that run.
    pub claims: Vec<Claim>,
}

/// Who runs a trial of what.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Claim {
    /// The request.
    pub fingerprint: ids::Fingerprint,
    /// The VM that runs it.
    pub vm: ids::Vm,
    /// Tells claims of one VM apart.
    pub token: u64,
    /// When it lapses.
    pub until: clock::Wall,
    /// Where it runs; `None` where that isn't decided before it is sent.
    pub place: Option<Place>,
}

impl Claim {
    /// Whether this and another trial could take two replicas of one shard.
    fn is_near(&self, other: &Self) -> bool {
        let places = self.place.as_ref().zip(other.place.as_ref());
        places.is_none_or(|(one, other)| one.meets(other))
    }
}

/// The upstream of a trial.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Place {
    /// The upstream.
    pub upstream: ids::Upstream,
    /// The other replicas of its shards.
    pub siblings: Vec<ids::Upstream>,
}

impl Place {
    fn meets(&self, other: &Self) -> bool {
        self.upstream == other.upstream || self.siblings.contains(&other.upstream)
    }
}

/// What became of a trial.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(derive_more::Display)]
#[display(rename_all = "snake_case")]
pub enum End {
    /// The upstream answered.
    Completed,
    /// The connection was lost.
    Lost,
    /// No upstream has run any of it.
    NotRun,
    /// Whether it ran to its end isn't known.
    Unknown,
}

/// Whether a trial may start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Start {
    /// Yes, once this is written.
    Go(Ledger),
    /// The request has one already, or one runs too near.
    Busy,
    /// No: the request is quarantined, which this says too.
    Quarantined(Ledger),
}

impl Ledger {
    /// Takes the right to try `claim.fingerprint`.
    pub fn start(&self, claim: &Claim, wall: clock::Wall) -> Start {
        let mut next = self.clone();
        next.settle(wall);
        let mark = next.mark(claim.fingerprint);
        let verdict = mark.map_or(quarantine::Verdict::Clear, |mark| mark.verdict(wall));
        if verdict == quarantine::Verdict::Quarantined {
            return Start::Quarantined(next);
        }
        // Trials beside each other keep callers from waiting in line after a rack
        // restarts, when every new request that ran there is suspect: one at a
        // time, 153 of 9,600 shards were missing as quarantined in one such run.
        let in_the_way =
            |held: &Claim| held.fingerprint == claim.fingerprint || held.is_near(claim);
        if next.claims.iter().any(in_the_way) {
            return Start::Busy;
        }
        next.claims.push(claim.clone());
        Start::Go(next)
    }

    /// Gives the right back.
    pub fn finish(&self, claim: &Claim) -> Option<Self> {
        let place = self.claims.iter().position(|held| held == claim)?;
        let mut next = self.clone();
        next.claims.remove(place);
        Some(next)
    }

    /// Joins a mark and drops what has expired.
    pub fn join(&mut self, mark: &quarantine::Mark, wall: clock::Wall) {
        self.marks.retain(|held| wall < held.until);
        let same = |held: &&mut quarantine::Mark| held.fingerprint == mark.fingerprint;
        match self.marks.iter_mut().find(same) {
            Some(held) => *held = held.join(mark),
            None => self.marks.push(mark.clone()),
        }
    }

    /// The mark of `fingerprint`.
    pub fn mark(&self, fingerprint: ids::Fingerprint) -> Option<&quarantine::Mark> {
        self.marks
            .iter()
            .find(|mark| mark.fingerprint == fingerprint)
    }

    /// A claim that lapsed may have crashed an upstream unseen.
    fn settle(&mut self, wall: clock::Wall) {
        let lapsed = self.claims.extract_if(.., |claim| wall >= claim.until);
        for claim in lapsed {
            let tried = |mark: &&mut quarantine::Mark| mark.fingerprint == claim.fingerprint;
            if let Some(mark) = self.marks.iter_mut().find(tried) {
                mark.state = quarantine::State::Quarantined;
                mark.until = mark.until.max(wall + book::DOUBTFUL_FOR);
                mark.version = wall.0.max(mark.version + 1);
            }
        }
    }
}
