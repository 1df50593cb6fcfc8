//! Slow links in virtual time. Answers in progress share the sender's link.

use std::time;

use crate::spread;
use crate::time as clock;

/// Bytes by which an answer that counts as sent may be short because of rounding.
const ROUNDING: f64 = 1.0;

/// Number of large VMs, which come first.
const LARGE_VMS: usize = 15;
/// Bandwidth of a large VM and of any other, in bytes per second.
const BANDWIDTHS: (f64, f64) = (17.5e6, 1.75e6);

pub(crate) fn is_large(vm: usize) -> bool {
    vm < LARGE_VMS
}

/// Returns the bandwidth of a VM's link in bytes per second.
pub(crate) fn rate(vm: usize) -> f64 {
    if is_large(vm) {
        BANDWIDTHS.0
    } else {
        BANDWIDTHS.1
    }
}

/// An answer in progress.
#[derive(Debug)]
pub(crate) struct Transfer {
    /// The VM that sent the request.
    pub(crate) to: usize,
    /// Number of the request.
    pub(crate) request: u64,
    pub(crate) answer: spread::Answer,
    /// Part of the link that the sender's state has reserved.
    pub(crate) ticket: spread::Ticket,
    /// Bytes that are left to send.
    pub(crate) bytes_left: f64,
}

/// The link of one VM, as far as it sends.
#[derive(Debug)]
pub(crate) struct Link {
    /// Bandwidth in bytes per second.
    rate: f64,
    moved: clock::Moment,
    /// Number of changes, by which an event from before a change is recognized.
    generation: u64,
    sending: Vec<Transfer>,
}

impl Link {
    pub(crate) fn new(rate: f64) -> Self {
        Self {
            rate,
            moved: clock::Moment::default(),
            generation: 0,
            sending: Vec::new(),
        }
    }

    /// Returns how long it takes to send the given number of bytes alone.
    pub(crate) fn transfer_time(&self, bytes: f64) -> time::Duration {
        time::Duration::from_secs_f64(bytes / self.rate)
    }

    fn advance(&mut self, now: clock::Moment) {
        let moved = now.since(self.moved).as_secs_f64() * self.rate;
        let share = moved / self.sending.len().max(1) as f64;
        for transfer in &mut self.sending {
            transfer.bytes_left -= share;
        }
        self.moved = now;
        self.generation += 1;
    }

    pub(crate) fn begin(&mut self, transfer: Transfer, now: clock::Moment) {
        self.advance(now);
        self.sending.push(transfer);
    }

    /// Abandons an answer, and returns it if it was in progress.
    pub(crate) fn abort(&mut self, request: u64, now: clock::Moment) -> Option<Transfer> {
        self.advance(now);
        let is_asked = |transfer: &Transfer| transfer.request == request;
        let index = self.sending.iter().position(is_asked)?;
        Some(self.sending.remove(index))
    }

    /// Returns the answers that are complete, if nothing has changed since `generation`.
    pub(crate) fn sent(&mut self, generation: u64, now: clock::Moment) -> Vec<Transfer> {
        if generation != self.generation {
            return Vec::new();
        }
        self.advance(now);
        let is_sent = |transfer: &mut Transfer| transfer.bytes_left < ROUNDING;
        self.sending.extract_if(.., is_sent).collect()
    }

    /// Returns when the next answer is complete, and the current generation.
    pub(crate) fn next(&self) -> Option<(clock::Moment, u64)> {
        let remaining = self
            .sending
            .iter()
            .map(|transfer| transfer.bytes_left.max(0.0));
        let fewest = remaining.reduce(f64::min)?;
        let wait = self.transfer_time(fewest * self.sending.len() as f64);
        let rounding = time::Duration::from_micros(1);
        Some((self.moved + wait + rounding, self.generation))
    }
}
