//! Answers under way to other VMs: as many at a time as the link carries soon.
//!
//! VMs hear of a change together and ask together. Were all answered at once,
//! each would get a small part of the link, and none its answer in time. So the
//! first ones are answered whole, and the others are sent to those.

use std::collections;
use std::net;
use std::time;

use crate::rate;
use crate::time as clock;

/// Time in which the link carries the answers that are under way. Those who ask
/// wait for several times as long.
const BACKLOG: time::Duration = time::Duration::from_millis(400);
/// Largest answer that is always sent, such as a few changes.
const SMALL: rate::Bytes = rate::Bytes(16 << 10);
/// Longest wait for a whole answer. Whoever asked is gone after that.
pub(crate) const LONGEST: time::Duration = time::Duration::from_secs(5);
/// Head start of those who tell more VMs: all hear of a change within this.
const HEAD_START: time::Duration = time::Duration::from_millis(50);
/// VMs that are remembered as waiting.
const WAITING: usize = 64;
/// VMs that are told of room for one answer: one of them may have it by then.
const NEXT: usize = 2;
/// VMs named to those that are sent elsewhere.
const NAMED: usize = 8;

/// Where to ask instead of a VM whose link is full.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Elsewhere {
    /// VMs that were answered lately, the latest first.
    pub vms: Vec<net::SocketAddr>,
    /// When that VM itself is likely to answer.
    pub after: time::Duration,
}

/// The part of the link that one answer takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket(u64);

/// An answer under way.
#[derive(Debug)]
struct Running {
    to: net::SocketAddr,
    size: rate::Bytes,
    since: clock::Moment,
}

/// The answers that one VM sends.
#[derive(Debug)]
pub(super) struct Sending {
    link: rate::BytesPerSecond,
    running: collections::BTreeMap<Ticket, Running>,
    /// Answers that were begun.
    begun: u64,
    told: collections::VecDeque<net::SocketAddr>,
    /// VMs that were sent elsewhere, the first one at the front.
    waiting: collections::VecDeque<net::SocketAddr>,
    /// When what there is to tell changed last.
    renewed: clock::Moment,
}

impl Sending {
    /// Answers over a link of so many bytes a second.
    pub(super) fn new(link: rate::BytesPerSecond, now: clock::Moment) -> Self {
        Self {
            link,
            running: collections::BTreeMap::new(),
            begun: 0,
            told: collections::VecDeque::new(),
            waiting: collections::VecDeque::new(),
            renewed: now,
        }
    }

    /// Whether there is something new to tell, in which those who tell more VMs have
    /// a head start.
    pub(super) fn is_new(&self, now: clock::Moment) -> bool {
        now < self.renewed + HEAD_START
    }

    /// Begins to send an answer of `size` to the VM at `to`, unless it `waits` for
    /// others' head start or too much is under way. One answer is always sent,
    /// however large. The part of the link to give back; `None` where it is small.
    ///
    /// # Errors
    /// Where else to ask.
    pub(super) fn begin(
        &mut self,
        to: net::SocketAddr,
        size: rate::Bytes,
        waits: bool,
        now: clock::Moment,
    ) -> Result<Option<Ticket>, Elsewhere> {
        if size <= SMALL {
            return Ok(None);
        }
        if waits {
            self.put_off(to);
            return Err(Elsewhere {
                vms: Vec::new(),
                after: now.until(self.renewed + HEAD_START) + self.takes(size),
            });
        }
        self.running
            .retain(|_, running| now.since(running.since) < LONGEST);
        let under_way = self.under_way();
        let takes = self.takes(rate::Bytes(under_way.0.saturating_add(size.0)));
        if under_way.0 > 0 && takes > BACKLOG {
            self.put_off(to);
            return Err(Elsewhere {
                vms: self.told.iter().copied().filter(|vm| *vm != to).collect(),
                after: self.takes(under_way),
            });
        }
        self.waiting.retain(|vm| *vm != to);
        let since = now;
        self.begun += 1;
        let ticket = Ticket(self.begun);
        self.running.insert(ticket, Running { to, size, since });
        Ok(Some(ticket))
    }

    /// An answer is sent, or nobody waits for it any more. Who is to be told that
    /// there is room; `None` where that is no news.
    pub(super) fn end(&mut self, ticket: Ticket) -> Option<Vec<net::SocketAddr>> {
        let Running { to, .. } = self.running.remove(&ticket)?;
        self.told.retain(|vm| *vm != to);
        self.told.push_front(to);
        self.told.truncate(NAMED);
        let next = self.waiting.len().min(NEXT);
        Some(self.waiting.drain(..next).collect())
    }

    /// What there is to tell has changed: nobody has been told that yet.
    pub(super) fn renew(&mut self, now: clock::Moment) {
        self.told.clear();
        self.waiting.clear();
        self.renewed = now;
    }

    fn put_off(&mut self, to: net::SocketAddr) {
        if !self.waiting.contains(&to) && self.waiting.len() < WAITING {
            self.waiting.push_back(to);
        }
    }

    fn under_way(&self) -> rate::Bytes {
        rate::Bytes(self.running.values().map(|running| running.size.0).sum())
    }

    fn takes(&self, size: rate::Bytes) -> time::Duration {
        let seconds = size.0 as f64 / self.link.0;
        time::Duration::try_from_secs_f64(seconds).unwrap_or(LONGEST)
    }
}
