//! Admission of answers to other VMs: at most as many at a time as the link carries
//! in a short time.
//!
//! VMs learn of a change at the same moment and ask at the same moment. If all were
//! answered at once, each would get a small share of the link and no answer would
//! arrive in time. So the first ones get a full answer, and the others are
//! redirected to those.

use std::collections;
use std::net;
use std::time;

use crate::rate;
use crate::time as clock;

/// Most time that the link may need for the answers in progress. Requesters wait
/// several times as long.
const BACKLOG: time::Duration = time::Duration::from_millis(400);
/// Largest answer that is always sent, such as one with a few changes.
const SMALL: rate::Bytes = rate::Bytes(16 << 10);
/// Longest time for a complete answer. The requester gives up after that.
pub(crate) const LONGEST: time::Duration = time::Duration::from_secs(5);
/// Time after a change in which VMs that serve more VMs are admitted first. All VMs
/// learn of a change within it.
const HEAD_START: time::Duration = time::Duration::from_millis(50);
/// Most VMs that are remembered as waiting.
const WAITING: usize = 64;
/// Waiting VMs that are notified when an answer ends. There is more than one, since
/// one of them may have received the content elsewhere.
const NEXT: usize = 2;
/// Most VMs that a redirect names.
const NAMED: usize = 8;

/// Redirect of a requester, sent by a VM whose link has no capacity.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Elsewhere {
    /// VMs that were served recently, the latest first.
    pub vms: Vec<net::SocketAddr>,
    /// Time after which the sender itself is likely to answer.
    pub after: time::Duration,
}

/// Identifies the part of the link that one answer has reserved.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket(u64);

/// An answer in progress.
#[derive(Debug)]
struct Running {
    to: net::SocketAddr,
    size: rate::Bytes,
    since: clock::Moment,
}

/// Admission of the answers that one VM sends.
#[derive(Debug)]
pub(super) struct Sending {
    link: rate::BytesPerSecond,
    running: collections::BTreeMap<Ticket, Running>,
    /// Number of answers that were started.
    begun: u64,
    told: collections::VecDeque<net::SocketAddr>,
    /// VMs that were redirected, in order of their requests.
    waiting: collections::VecDeque<net::SocketAddr>,
    /// When the content to send last changed.
    renewed: clock::Moment,
}

impl Sending {
    /// Creates the admission for a link of the given bandwidth.
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

    /// Returns whether the content is so new that VMs that serve more VMs are
    /// admitted first.
    pub(super) fn is_new(&self, now: clock::Moment) -> bool {
        now < self.renewed + HEAD_START
    }

    /// Starts to send an answer of `size` bytes to the VM at `to`, unless too much
    /// is in progress or the VM has to wait for others to be served first
    /// (`waits`). One answer is always admitted, however large. Returns the ticket
    /// to pass to [`Self::end`], or `None` for a small answer.
    ///
    /// # Errors
    ///
    /// Returns where to ask instead.
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

    /// Ends an answer that was sent or abandoned. Returns the waiting VMs to notify
    /// of the free capacity; `None` if the ticket has already ended or expired.
    pub(super) fn end(&mut self, ticket: Ticket) -> Option<Vec<net::SocketAddr>> {
        let Running { to, .. } = self.running.remove(&ticket)?;
        self.told.retain(|vm| *vm != to);
        self.told.push_front(to);
        self.told.truncate(NAMED);
        let next = self.waiting.len().min(NEXT);
        Some(self.waiting.drain(..next).collect())
    }

    /// Resets the lists of served and waiting VMs after the content to send has
    /// changed.
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
