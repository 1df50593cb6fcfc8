//! Answers that VMs send over narrow links, in virtual time: those under way share
//! the sender's link.

use std::time;

use crate::spread;
use crate::time as clock;

/// Bytes that may be missing for rounding when an answer counts as sent.
const ROUNDING: f64 = 1.0;

/// Large VMs, the first ones.
const LARGE: usize = 15;
/// Bytes a second that a large VM sends, and another one.
const RATES: (f64, f64) = (17.5e6, 1.75e6);

pub(crate) fn is_large(vm: usize) -> bool {
    vm < LARGE
}

/// What a VM's link carries, in bytes a second.
pub(crate) fn rate(vm: usize) -> f64 {
    if is_large(vm) { RATES.0 } else { RATES.1 }
}

/// An answer under way.
#[derive(Debug)]
pub(crate) struct Transfer {
    /// The VM that asked.
    pub(crate) to: usize,
    /// Its question.
    pub(crate) question: u64,
    pub(crate) answer: spread::Answer,
    /// The part of the sender's link that it takes, by the sender's own count.
    pub(crate) ticket: spread::Ticket,
    /// Bytes that are yet to be sent.
    pub(crate) left: f64,
}

/// What one VM sends.
#[derive(Debug)]
pub(crate) struct Link {
    /// Bytes a second.
    rate: f64,
    moved: clock::Moment,
    /// Counts changes, so that an event of before one is known as such.
    turn: u64,
    sending: Vec<Transfer>,
}

impl Link {
    pub(crate) fn new(rate: f64) -> Self {
        Self {
            rate,
            moved: clock::Moment::default(),
            turn: 0,
            sending: Vec::new(),
        }
    }

    /// How long it takes to move so many bytes alone.
    pub(crate) fn takes(&self, bytes: f64) -> time::Duration {
        time::Duration::from_secs_f64(bytes / self.rate)
    }

    fn advance(&mut self, now: clock::Moment) {
        let moved = now.since(self.moved).as_secs_f64() * self.rate;
        let share = moved / self.sending.len().max(1) as f64;
        for transfer in &mut self.sending {
            transfer.left -= share;
        }
        self.moved = now;
        self.turn += 1;
    }

    pub(crate) fn begin(&mut self, transfer: Transfer, now: clock::Moment) {
        self.advance(now);
        self.sending.push(transfer);
    }

    /// Nobody waits for the answer any more, which is given back if it was under way.
    pub(crate) fn abort(&mut self, question: u64, now: clock::Moment) -> Option<Transfer> {
        self.advance(now);
        let is_asked = |transfer: &Transfer| transfer.question == question;
        let place = self.sending.iter().position(is_asked)?;
        Some(self.sending.remove(place))
    }

    /// The answers that are sent, if nothing has changed since `turn`.
    pub(crate) fn sent(&mut self, turn: u64, now: clock::Moment) -> Vec<Transfer> {
        if turn != self.turn {
            return Vec::new();
        }
        self.advance(now);
        let is_sent = |transfer: &mut Transfer| transfer.left < ROUNDING;
        self.sending.extract_if(.., is_sent).collect()
    }

    /// When the next answer is sent, and the turn of that.
    pub(crate) fn next(&self) -> Option<(clock::Moment, u64)> {
        let lefts = self.sending.iter().map(|transfer| transfer.left.max(0.0));
        let least = lefts.reduce(f64::min)?;
        let wait = self.takes(least * self.sending.len() as f64);
        let rounding = time::Duration::from_micros(1);
        Some((self.moved + wait + rounding, self.turn))
    }
}
