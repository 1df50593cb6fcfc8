//! The home's connections to its upstream, each with what it carries.

use std::collections;
use std::time;

use super::job;
use crate::time::Moment;

/// Names a connection of this home; never used again.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(derive_more::Display)]
pub struct Link(pub u64);

/// What a connection is doing.
#[derive(Debug, Clone)]
pub(super) enum Phase {
    /// It waits for work.
    Idle,
    /// It is asked for a report, to see whether it still answers.
    Proving(Moment),
    /// It carries a call.
    Busy(Busy),
}

/// A call on a connection.
#[derive(Debug, Clone)]
pub(super) struct Busy {
    pub(super) job: job::Job,
    pub(super) sent: Moment,
    /// Nothing was sent on this connection before.
    pub(super) fresh: bool,
    /// A byte of the reply has come.
    pub(super) answering: bool,
    /// No byte by the time that healthy calls take.
    pub(super) suspect: bool,
    /// It runs beyond the limit, beside suspects that seem to hold it.
    pub(super) beside: bool,
    /// Its answer is given; the connection closes at this moment if the
    /// upstream has not ended the call by then.
    pub(super) given_up: Option<Moment>,
}

/// One connection.
#[derive(Debug, Clone)]
pub(super) struct Line {
    pub(super) phase: Phase,
    /// When it last carried a whole reply.
    pub(super) proven: Moment,
    /// When it was opened or last carried a call.
    pub(super) used: Moment,
}

/// All call connections of a home.
#[derive(Debug, Default)]
pub(super) struct Lines {
    lines: collections::BTreeMap<Link, Line>,
    opened: u64,
}

impl Lines {
    pub(super) fn len(&self) -> usize {
        self.lines.len()
    }

    pub(super) fn open(&mut self, phase: Phase, now: Moment) -> Link {
        self.opened += 1;
        let link = Link(self.opened);
        let line = Line {
            phase,
            proven: now,
            used: now,
        };
        self.lines.insert(link, line);
        link
    }

    pub(super) fn get_mut(&mut self, link: Link) -> Option<&mut Line> {
        self.lines.get_mut(&link)
    }

    pub(super) fn close(&mut self, link: Link) -> Option<Line> {
        self.lines.remove(&link)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (Link, &Line)> {
        self.lines.iter().map(|(link, line)| (*link, line))
    }

    pub(super) fn busy(&self) -> impl Iterator<Item = (Link, &Busy)> {
        self.iter().filter_map(|(link, line)| match &line.phase {
            Phase::Busy(busy) => Some((link, busy)),
            Phase::Idle | Phase::Proving(_) => None,
        })
    }

    pub(super) fn busy_mut(&mut self, link: Link) -> Option<&mut Busy> {
        match &mut self.lines.get_mut(&link)?.phase {
            Phase::Busy(busy) => Some(busy),
            Phase::Idle | Phase::Proving(_) => None,
        }
    }

    /// The connection that carries the call `id`, while its answer is open.
    pub(super) fn carrying(&self, id: &job::Id) -> Option<Link> {
        let mut busy = self.busy();
        let found = busy.find(|(_, busy)| busy.job.id == *id && busy.given_up.is_none());
        found.map(|(link, _)| link)
    }

    /// The idle connection that answered last. Connections that have not
    /// answered since `since` are passed over.
    pub(super) fn idle(&self, since: Moment) -> Option<Link> {
        let idle = self.iter().filter(|(_, line)| line.is_idle());
        let best = idle.max_by_key(|(_, line)| line.proven);
        best.filter(|(_, line)| line.proven >= since)
            .map(|(link, _)| link)
    }

    /// The idle connection that answered longest ago.
    pub(super) fn stalest(&self) -> Option<Link> {
        let idle = self.iter().filter(|(_, line)| line.is_idle());
        idle.min_by_key(|(_, line)| line.proven)
            .map(|(link, _)| link)
    }

    /// The idle connection that carried a call longest ago, and when.
    pub(super) fn least_used(&self) -> Option<(Link, Moment)> {
        let idle = self.iter().filter(|(_, line)| line.is_idle());
        let used = idle.map(|(link, line)| (link, line.used));
        used.min_by_key(|(_, used)| *used)
    }

    pub(super) fn idle_count(&self) -> usize {
        self.iter().filter(|(_, line)| line.is_idle()).count()
    }

    /// When the earliest of the present suspects was sent.
    pub(super) fn suspected_since(&self) -> Option<Moment> {
        let suspects = self.busy().filter(|(_, busy)| busy.suspect);
        suspects.map(|(_, busy)| busy.sent).min()
    }
}

impl Line {
    pub(super) fn is_idle(&self) -> bool {
        matches!(self.phase, Phase::Idle)
    }
}

impl Busy {
    /// Time since it was sent.
    pub(super) fn age(&self, now: Moment) -> time::Duration {
        now.since(self.sent)
    }
}
