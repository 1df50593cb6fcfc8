//! Totals of this VM's extra calls, and the log lines that show them.
//!
//! One line in a window is enough to tell apart which extra calls a service got: those that
//! budgets were charged for, or those that arrived at another upstream than was meant.

use std::time;

use crate::forward;
use crate::ids;
use crate::registry;
use crate::time as clock;

/// Extra calls since this VM's start.
#[derive(Debug, Default)]
pub(super) struct Account {
    /// Extra calls that a budget of this VM was charged for.
    pub(super) charged: u64,
    /// Extra calls that no budget allowed.
    refused: u64,
    /// Calls that arrived at another upstream.
    misdirected: u64,
    refused_line: Line,
    misdirected_line: Line,
}

/// A log line that is written once in a window.
#[derive(Debug, Default)]
struct Line(Option<clock::Moment>);

impl Line {
    /// Returns whether to write the line now.
    fn is_due(&mut self, window: time::Duration, now: clock::Moment) -> bool {
        let is_due = self.0.is_none_or(|last| now.since(last) >= window);
        if is_due {
            self.0 = Some(now);
        }
        is_due
    }
}

/// What a log line says of this VM's extra calls so far.
#[derive(Debug)]
#[derive(derive_more::Display)]
#[display(
    "{charged} charged, {refused} refused, {misdirected} misdirected; {vms} VMs, {shares:?}, \
     up {up_ms} ms"
)]
struct Totals {
    charged: u64,
    refused: u64,
    misdirected: u64,
    /// The shares of the fleet's allowance that this VM has.
    shares: forward::Shares,
    /// Number of VMs that may be alive.
    vms: usize,
    /// Time since this VM's start.
    up_ms: u64,
}

impl forward::Fleet {
    /// Counts an extra call to `service` that no budget allowed.
    pub(super) fn count_refused(&mut self, service: &ids::Service, now: clock::Moment) {
        self.account.refused += 1;
        let window = self.policy.extra_window;
        if self.account.refused_line.is_due(window, now) {
            log::warn!(
                service = service.as_str(), extra_calls:% = self.totals(now);
                "extra call refused: no budget allows it"
            );
        }
    }

    /// Counts a call to `meant` that arrived at another upstream, of service `holder` if that
    /// is known.
    pub(super) fn count_arrived_elsewhere(
        &mut self,
        meant: &registry::Entry,
        holder: Option<&ids::Service>,
        now: clock::Moment,
    ) {
        self.account.misdirected += 1;
        let window = self.policy.extra_window;
        if self.account.misdirected_line.is_due(window, now) {
            log::warn!(
                upstream = meant.id.as_str(), service = meant.service.as_str(),
                address:% = meant.address, holder = holder.map(ids::Service::as_str),
                extra_calls:% = self.totals(now);
                "call arrived at another upstream"
            );
        }
    }

    fn totals(&self, now: clock::Moment) -> Totals {
        Totals {
            charged: self.account.charged,
            refused: self.account.refused,
            misdirected: self.account.misdirected,
            shares: self.allowance.shares(),
            vms: self.vms,
            up_ms: clock::millis(now.since(clock::Moment::default())),
        }
    }
}
