//! Describes why shards are missing from an answer, for the log.

use std::fmt;
use std::time;

use super::Gather;
use super::slot;
use super::suspect;
use crate::ids;
use crate::mesh::message;
use crate::quarantine;
use crate::time as clock;

/// Maximum number of missing shards that are described.
const MAX_SHARDS: usize = 4;
/// Maximum number of calls that are described for each shard.
const MAX_CALLS: usize = 8;

/// The state of a search that answers without some of its shards.
#[derive(Debug)]
#[derive(derive_more::Display)]
#[display(
    "verdict {verdict}, {} trial(s) requested, last {}{}",
    trial.requests,
    trial.progress,
    list("; ", shards)
)]
pub struct Trace {
    verdict: quarantine::Verdict,
    trial: suspect::Summary,
    shards: Vec<Shard>,
}

/// A missing shard.
#[derive(Debug)]
#[derive(derive_more::Display)]
#[display("{id}: {state}{}{}", list(", ", replicas), list(", ", calls))]
struct Shard {
    id: ids::Shard,
    state: &'static str,
    replicas: Vec<Replica>,
    calls: Vec<Call>,
}

/// A replica of a missing shard, as this VM sees it.
#[derive(Debug)]
#[derive(derive_more::Display)]
#[display(
    "{id} {} last answered {} ms ago, avoided for {} ms, {offers}",
    if *down { "down" } else { "up" },
    answered.as_millis(),
    avoided.as_millis()
)]
struct Replica {
    id: ids::Upstream,
    down: bool,
    answered: time::Duration,
    avoided: time::Duration,
    offers: &'static str,
}

/// A call of a missing shard.
#[derive(Debug)]
#[derive(derive_more::Display)]
#[display("{kind:?} to {upstream} via {vm} {end}")]
struct Call {
    upstream: ids::Upstream,
    vm: ids::Vm,
    kind: message::Kind,
    end: End,
}

/// How a call ended, and after what time.
#[derive(Debug)]
#[derive(derive_more::Display)]
enum End {
    #[display("{_0:?} after {} ms", _1.as_millis())]
    Failed(message::Outcome, time::Duration),
    #[display("without a reply for {} ms", _0.as_millis())]
    Unanswered(time::Duration),
}

impl Gather {
    /// Describes the missing shards and the calls made for them. Calls made before
    /// a restart are left out.
    pub fn trace(&self, now: clock::Moment) -> Trace {
        let open = self.slots.iter().enumerate();
        let open = open.filter(|(_, slot)| !slot.covered());
        let shards = open.take(MAX_SHARDS);
        Trace {
            verdict: self.verdict,
            trial: self.trial.summary(),
            shards: shards
                .map(|(at, slot)| self.trace_shard(at as u32, slot, now))
                .collect(),
        }
    }

    fn trace_shard(&self, number: u32, slot: &slot::Slot, now: clock::Moment) -> Shard {
        let calls = self.attempts.iter().filter(|call| call.slot == number);
        let calls = calls.take(MAX_CALLS).map(|call| Call {
            upstream: self.plan.replica(call.replica).id.clone(),
            vm: self.homes.name(call.vm).clone(),
            kind: call.kind,
            end: match call.failure {
                Some(failure) => End::Failed(failure.outcome, failure.at.since(call.sent)),
                None => End::Unanswered(now.since(call.sent)),
            },
        });
        let replicas = self.plan.replicas_of(slot.shard).map(|replica| Replica {
            id: replica.id.clone(),
            down: replica.stats.down(),
            answered: now.since(replica.stats.answered()),
            avoided: replica.stats.avoided_for(now),
            offers: match self.pin.map(|pin| replica.stats.offers(pin, now)) {
                Some(Some(true)) => "has the version",
                Some(Some(false)) => "lacks the version",
                Some(None) | None => "version unknown",
            },
        });
        Shard {
            id: self.plan.shard(slot.shard).id.clone(),
            state: slot.state.name(),
            replicas: replicas.collect(),
            calls: calls.collect(),
        }
    }
}

/// Joins items, each after `separator`.
fn list(separator: &str, items: &[impl fmt::Display]) -> String {
    items
        .iter()
        .map(|item| format!("{separator}{item}"))
        .collect()
}
