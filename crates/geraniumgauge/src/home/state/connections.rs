//! Connections to the upstream and the calls that they carry.

use std::collections;
use std::time;

use super::job;
use crate::time::Moment;

/// Identifies a connection of this home; never reused.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(derive_more::Display)]
pub struct Id(pub u64);

/// Use of a connection.
#[derive(Debug, Clone)]
pub(super) enum Phase {
    /// No request is under way.
    Idle,
    /// A health check, sent at this moment, is under way.
    Checking(Moment),
    /// It carries a call.
    Busy(Call),
}

/// A call that was sent on a connection.
#[derive(Debug, Clone)]
pub(super) struct Call {
    pub(super) job: job::Job,
    pub(super) sent: Moment,
    /// Set if the connection had to be opened for the call.
    pub(super) must_connect: bool,
    /// Set when the first byte of the reply has arrived.
    pub(super) reply_started: bool,
    /// Set when no byte of the reply came within the time that healthy calls take.
    pub(super) suspect: bool,
    /// Set when the call was sent beyond the limit while suspects took up the limit.
    pub(super) over_limit: bool,
    /// Set when the call is abandoned: its result isn't needed, and the connection is
    /// closed at this moment unless the upstream ends the call before.
    pub(super) abandoned_until: Option<Moment>,
    /// Set when the call is abandoned before it is answered.
    pub(super) owes_answer: bool,
}

/// State of one connection.
#[derive(Debug, Clone)]
pub(super) struct Connection {
    pub(super) phase: Phase,
    /// When it last carried a complete reply; initially when it was opened.
    pub(super) last_reply: Moment,
    /// When it was opened or last finished a call.
    pub(super) last_used: Moment,
}

/// All call connections of a home; the control connection is not among them.
#[derive(Debug, Default)]
pub(super) struct Pool {
    connections: collections::BTreeMap<Id, Connection>,
    opened: u64,
}

impl Pool {
    pub(super) fn len(&self) -> usize {
        self.connections.len()
    }

    pub(super) fn open(&mut self, phase: Phase, now: Moment) -> Id {
        self.opened += 1;
        let id = Id(self.opened);
        let connection = Connection {
            phase,
            last_reply: now,
            last_used: now,
        };
        self.connections.insert(id, connection);
        id
    }

    pub(super) fn get_mut(&mut self, id: Id) -> Option<&mut Connection> {
        self.connections.get_mut(&id)
    }

    pub(super) fn close(&mut self, id: Id) -> Option<Connection> {
        self.connections.remove(&id)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (Id, &Connection)> {
        self.connections
            .iter()
            .map(|(id, connection)| (*id, connection))
    }

    pub(super) fn busy(&self) -> impl Iterator<Item = (Id, &Call)> {
        self.iter()
            .filter_map(|(id, connection)| match &connection.phase {
                Phase::Busy(call) => Some((id, call)),
                Phase::Idle | Phase::Checking(_) => None,
            })
    }

    pub(super) fn busy_mut(&mut self, id: Id) -> Option<&mut Call> {
        match &mut self.connections.get_mut(&id)?.phase {
            Phase::Busy(call) => Some(call),
            Phase::Idle | Phase::Checking(_) => None,
        }
    }

    /// Returns the connection that carries the call `id`, unless the call is abandoned.
    pub(super) fn carrying(&self, id: &job::Id) -> Option<Id> {
        let mut calls = self.busy();
        let found = calls.find(|(_, call)| call.job.id == *id && call.abandoned_until.is_none());
        found.map(|(id, _)| id)
    }

    /// Returns the idle connection with the latest reply, if that came at `since` or
    /// later.
    pub(super) fn idle(&self, since: Moment) -> Option<Id> {
        let idle = self.iter().filter(|(_, connection)| connection.is_idle());
        let best = idle.max_by_key(|(_, connection)| connection.last_reply);
        best.filter(|(_, connection)| connection.last_reply >= since)
            .map(|(id, _)| id)
    }

    /// Returns the idle connection whose last reply is the oldest.
    pub(super) fn stalest(&self) -> Option<Id> {
        let idle = self.iter().filter(|(_, connection)| connection.is_idle());
        idle.min_by_key(|(_, connection)| connection.last_reply)
            .map(|(id, _)| id)
    }

    /// Returns the idle connection whose last call is the oldest, and when that ended.
    pub(super) fn least_recently_used(&self) -> Option<(Id, Moment)> {
        let idle = self.iter().filter(|(_, connection)| connection.is_idle());
        let last_uses = idle.map(|(id, connection)| (id, connection.last_used));
        last_uses.min_by_key(|(_, last_used)| *last_used)
    }

    pub(super) fn idle_count(&self) -> usize {
        self.iter()
            .filter(|(_, connection)| connection.is_idle())
            .count()
    }

    /// Returns when the earliest call that is suspect now was sent.
    pub(super) fn suspected_since(&self) -> Option<Moment> {
        let suspects = self.busy().filter(|(_, call)| call.suspect);
        suspects.map(|(_, call)| call.sent).min()
    }
}

impl Connection {
    pub(super) fn is_idle(&self) -> bool {
        matches!(self.phase, Phase::Idle)
    }
}

impl Call {
    /// Returns the time since the call was sent.
    pub(super) fn age(&self, now: Moment) -> time::Duration {
        now.since(self.sent)
    }
}
