//! Slow links in virtual time. Answers in progress share the sender's link.

use std::time;

use crate::spread;
use crate::time as clock;

/// An answer with fewer bytes left than this counts as sent, since the bytes are
/// computed with rounding errors.
const MAX_ROUNDING_ERROR_BYTES: f64 = 1.0;

/// Number of large VMs; they have the lowest indexes.
const LARGE_VMS: usize = 15;
/// Bandwidth of a large VM's link.
const LARGE_VM_BYTES_PER_SECOND: f64 = 17.5e6;
/// Bandwidth of any other VM's link.
const SMALL_VM_BYTES_PER_SECOND: f64 = 1.75e6;

pub(crate) fn is_large(vm: usize) -> bool {
    vm < LARGE_VMS
}

/// Returns the bandwidth of a VM's link in bytes per second.
pub(crate) fn rate(vm: usize) -> f64 {
    if is_large(vm) {
        LARGE_VM_BYTES_PER_SECOND
    } else {
        SMALL_VM_BYTES_PER_SECOND
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
    /// Bandwidth that the sender's state has reserved.
    pub(crate) reservation: spread::ReservationId,
    /// Bytes that are left to send.
    pub(crate) bytes_left: f64,
}

/// The outgoing direction of one VM's link.
#[derive(Debug)]
pub(crate) struct Link {
    /// Bandwidth in bytes per second.
    rate: f64,
    /// Time up to which `bytes_left` of the answers is computed.
    advanced_at: clock::Moment,
    /// Incremented whenever the answers in progress change, so that a completion event
    /// scheduled before the change is ignored.
    generation: u64,
    sending: Vec<Transfer>,
}

impl Link {
    pub(crate) fn new(rate: f64) -> Self {
        Self {
            rate,
            advanced_at: clock::Moment::default(),
            generation: 0,
            sending: Vec::new(),
        }
    }

    /// Returns how long it takes to send the given number of bytes while no
    /// other answer shares the link.
    pub(crate) fn transfer_time(&self, bytes: f64) -> time::Duration {
        time::Duration::from_secs_f64(bytes / self.rate)
    }

    fn advance(&mut self, now: clock::Moment) {
        let sent_bytes = now.since(self.advanced_at).as_secs_f64() * self.rate;
        let share = sent_bytes / self.sending.len().max(1) as f64;
        for transfer in &mut self.sending {
            transfer.bytes_left -= share;
        }
        self.advanced_at = now;
        self.generation += 1;
    }

    pub(crate) fn begin(&mut self, transfer: Transfer, now: clock::Moment) {
        self.advance(now);
        self.sending.push(transfer);
    }

    /// Abandons an answer, and returns it if it was in progress.
    pub(crate) fn abort(&mut self, request: u64, now: clock::Moment) -> Option<Transfer> {
        self.advance(now);
        let matches_request = |transfer: &Transfer| transfer.request == request;
        let index = self.sending.iter().position(matches_request)?;
        Some(self.sending.remove(index))
    }

    /// Removes and returns the complete answers, unless something has changed since
    /// `generation`.
    pub(crate) fn take_complete(&mut self, generation: u64, now: clock::Moment) -> Vec<Transfer> {
        if generation != self.generation {
            return Vec::new();
        }
        self.advance(now);
        let is_complete = |transfer: &mut Transfer| transfer.bytes_left < MAX_ROUNDING_ERROR_BYTES;
        self.sending.extract_if(.., is_complete).collect()
    }

    /// Returns when the next answer is complete, and the current generation.
    pub(crate) fn next_completion(&self) -> Option<(clock::Moment, u64)> {
        let remaining = self
            .sending
            .iter()
            .map(|transfer| transfer.bytes_left.max(0.0));
        let fewest = remaining.reduce(f64::min)?;
        let wait = self.transfer_time(fewest * self.sending.len() as f64);
        // Rounded up by a microsecond, so that the answer is complete when the event
        // occurs.
        let rounding_up = time::Duration::from_micros(1);
        Some((self.advanced_at + wait + rounding_up, self.generation))
    }
}
