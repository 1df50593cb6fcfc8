//! Admission of answers to other VMs: at most as many at a time as this VM's outgoing
//! bandwidth carries in a short time.
//!
//! VMs learn of a change at the same moment and ask at the same moment. If all were
//! answered at once, each would get a small share of the bandwidth and no answer would
//! arrive in time. So the first ones get a full answer, and the others are
//! redirected to those.

use std::collections;
use std::net;
use std::time;

use crate::rate;
use crate::time as clock;

/// Longest time that sending the answers in progress may take. Requesters wait
/// several times as long.
const MAX_BACKLOG: time::Duration = time::Duration::from_millis(400);
/// Largest answer that is always sent, such as one with a few changes.
const MAX_SMALL_ANSWER: rate::Bytes = rate::Bytes(16 << 10);
/// Longest time for a complete answer. The requester gives up after that.
pub(crate) const ANSWER_TIMEOUT: time::Duration = time::Duration::from_secs(5);
/// Time after a change in which VMs that serve more VMs are admitted first. All VMs
/// learn of a change within it.
const PRIORITY_WINDOW: time::Duration = time::Duration::from_millis(50);
/// Most VMs that are remembered as waiting.
const MAX_WAITING: usize = 64;
/// Waiting VMs that are notified when an answer ends. There is more than one, since
/// one of them may have received the content elsewhere.
const NOTIFIED_PER_ANSWER: usize = 2;
/// Most VMs that a redirect names.
const MAX_NAMED: usize = 8;

/// Redirect of a requester, sent by a VM whose bandwidth for answers is used up.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Redirect {
    /// VMs that were served recently, the latest first.
    pub vms: Vec<net::SocketAddr>,
    /// Time after which the sender itself is likely to answer.
    pub retry_after: time::Duration,
}

/// Identifies the bandwidth that is reserved for one answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReservationId(u64);

/// An answer in progress.
#[derive(Debug)]
struct Running {
    to: net::SocketAddr,
    size: rate::Bytes,
    since: clock::Moment,
}

/// Admission of the answers that one VM sends.
#[derive(Debug)]
pub(super) struct Admission {
    /// Outgoing bandwidth of this VM.
    bandwidth: rate::BytesPerSecond,
    running: collections::BTreeMap<ReservationId, Running>,
    /// Number of answers that were started.
    started: u64,
    served: collections::VecDeque<net::SocketAddr>,
    /// VMs that were redirected, in order of their requests.
    waiting: collections::VecDeque<net::SocketAddr>,
    /// When the content to send last changed.
    changed_at: clock::Moment,
}

impl Admission {
    /// Creates the admission for a VM with the given outgoing bandwidth.
    pub(super) fn new(bandwidth: rate::BytesPerSecond, now: clock::Moment) -> Self {
        Self {
            bandwidth,
            running: collections::BTreeMap::new(),
            started: 0,
            served: collections::VecDeque::new(),
            waiting: collections::VecDeque::new(),
            changed_at: now,
        }
    }

    /// Returns whether the content is so new that VMs that serve more VMs are
    /// admitted first.
    pub(super) fn is_content_new(&self, now: clock::Moment) -> bool {
        now < self.changed_at + PRIORITY_WINDOW
    }

    /// Starts to send an answer of `size` bytes to the VM at `to`, unless too much
    /// is in progress or the VM has to wait for others to be served first
    /// (`must_wait`). One answer is always admitted, however large. Returns the reservation
    /// to pass to [`Self::end`], or `None` for a small answer.
    ///
    /// # Errors
    ///
    /// Returns where to ask instead.
    pub(super) fn begin(
        &mut self,
        to: net::SocketAddr,
        size: rate::Bytes,
        must_wait: bool,
        now: clock::Moment,
    ) -> Result<Option<ReservationId>, Redirect> {
        if size <= MAX_SMALL_ANSWER {
            return Ok(None);
        }
        if must_wait {
            self.add_waiting(to);
            return Err(Redirect {
                vms: Vec::new(),
                retry_after: now.until(self.changed_at + PRIORITY_WINDOW)
                    + self.transfer_time(size),
            });
        }
        self.running
            .retain(|_, running| now.since(running.since) < ANSWER_TIMEOUT);
        let in_progress = self.in_progress();
        let transfer_time = self.transfer_time(rate::Bytes(in_progress.0.saturating_add(size.0)));
        if in_progress.0 > 0 && transfer_time > MAX_BACKLOG {
            self.add_waiting(to);
            return Err(Redirect {
                vms: self.served.iter().copied().filter(|vm| *vm != to).collect(),
                retry_after: self.transfer_time(in_progress),
            });
        }
        self.waiting.retain(|vm| *vm != to);
        let since = now;
        self.started += 1;
        let reservation = ReservationId(self.started);
        self.running
            .insert(reservation, Running { to, size, since });
        Ok(Some(reservation))
    }

    /// Ends an answer that was sent or abandoned. Returns the waiting VMs to notify
    /// of the free capacity; `None` if the reservation has already ended or expired.
    pub(super) fn end(&mut self, reservation: ReservationId) -> Option<Vec<net::SocketAddr>> {
        let Running { to, .. } = self.running.remove(&reservation)?;
        self.served.retain(|vm| *vm != to);
        self.served.push_front(to);
        self.served.truncate(MAX_NAMED);
        let next = self.waiting.len().min(NOTIFIED_PER_ANSWER);
        Some(self.waiting.drain(..next).collect())
    }

    /// Resets the lists of served and waiting VMs after the content to send has
    /// changed.
    pub(super) fn content_changed(&mut self, now: clock::Moment) {
        self.served.clear();
        self.waiting.clear();
        self.changed_at = now;
    }

    fn add_waiting(&mut self, to: net::SocketAddr) {
        if !self.waiting.contains(&to) && self.waiting.len() < MAX_WAITING {
            self.waiting.push_back(to);
        }
    }

    fn in_progress(&self) -> rate::Bytes {
        rate::Bytes(self.running.values().map(|running| running.size.0).sum())
    }

    fn transfer_time(&self, size: rate::Bytes) -> time::Duration {
        let seconds = size.0 as f64 / self.bandwidth.0;
        time::Duration::try_from_secs_f64(seconds).unwrap_or(ANSWER_TIMEOUT)
    }
}
