//! Counts of this VM's extra calls, and the log lines that show them.
//!
//! One line in a window is enough to tell apart which extra calls a service got: those that a
//! budget of this VM was charged for, those that relays were to charge, those whose charge was
//! given back, or those that arrived at another upstream than was meant.

use std::collections;
use std::time;

use crate::forward;
use crate::ids;
use crate::registry;
use crate::time as clock;

/// Extra calls of this VM.
#[derive(Debug, Default)]
pub(super) struct Account {
    /// All of them since this VM's start.
    total: Counts,
    /// Those of the window in progress, by service.
    window: collections::HashMap<ids::Service, Counts>,
    /// Number of calls that arrived at another upstream.
    misdirected: u64,
    window_line: Line,
    refused_line: Line,
    misdirected_line: Line,
}

/// Numbers of extra calls.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(derive_more::Display)]
#[display(
    "{own} charged, {by_relays} left to relays, {for_others} charged for others, \
     {refused} refused, {given_back} given back"
)]
struct Counts {
    /// Calls of this VM that a budget of its own was charged for.
    own: u64,
    /// Calls of this VM that relays were to charge and make.
    by_relays: u64,
    /// Calls of other VMs that a budget of this one was charged for.
    for_others: u64,
    /// Calls that no budget of this VM allowed.
    refused: u64,
    /// Charges that were given back, as the calls weren't made.
    given_back: u64,
}

impl Counts {
    /// Returns the number of calls that were made, as far as this VM decided on them.
    fn made(&self) -> u64 {
        self.own + self.by_relays + self.for_others
    }
}

/// What becomes of an extra call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Event {
    /// A budget of this VM is charged for a call of its own.
    Own,
    /// A relay is to charge and make it.
    ByRelay,
    /// A budget of this VM is charged for a call of another one.
    ForOther,
    /// No budget allows it.
    Refused,
    /// Its charge is given back.
    GivenBack,
}

impl Counts {
    fn add(&mut self, event: Event) {
        let count = match event {
            Event::Own => &mut self.own,
            Event::ByRelay => &mut self.by_relays,
            Event::ForOther => &mut self.for_others,
            Event::Refused => &mut self.refused,
            Event::GivenBack => &mut self.given_back,
        };
        *count += 1;
    }
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
#[display("{total}, {misdirected} misdirected; {vms} VMs, {shares:?}, up {up_ms} ms")]
struct Totals {
    total: Counts,
    misdirected: u64,
    /// The shares of the fleet's allowance that this VM has.
    shares: forward::Shares,
    /// Number of VMs that may be alive.
    vms: usize,
    /// Time since this VM's start.
    up_ms: u64,
}

impl forward::Fleet {
    /// Counts what becomes of an extra call to `service`. Logs the window's counts for the
    /// service that got the most once the window is over.
    pub(super) fn count_extra(&mut self, service: &ids::Service, event: Event, now: clock::Moment) {
        self.log_window(now);
        self.account.total.add(event);
        match self.account.window.get_mut(service) {
            Some(counts) => counts.add(event),
            None => {
                let counts = self.account.window.entry(service.clone()).or_default();
                counts.add(event);
            }
        }
        let window = self.policy.extra_window;
        if event == Event::Refused && self.account.refused_line.is_due(window, now) {
            log::warn!(
                service = service.as_str(), extra_calls:% = self.totals(now);
                "extra call refused: no budget allows it"
            );
        }
    }

    fn log_window(&mut self, now: clock::Moment) {
        if !self
            .account
            .window_line
            .is_due(self.policy.extra_window, now)
        {
            return;
        }
        let counts = std::mem::take(&mut self.account.window);
        let services = counts.len();
        let fullest = counts.iter().max_by_key(|(_, counts)| counts.made());
        if let Some((service, counts)) = fullest {
            log::info!(
                service = service.as_str(), extra_calls:% = counts, services = services,
                since_start:% = self.totals(now);
                "extra calls of a window, at the service with the most"
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
            total: self.account.total,
            misdirected: self.account.misdirected,
            shares: self.allowance.shares(),
            vms: self.vms,
            up_ms: clock::millis(now.since(clock::Moment::default())),
        }
    }
}
