//! Store objects from which the burn report is made.
//!
//! Each VM adds its counts to one of [`INBOXES`] inboxes. From time to time, the
//! counts of an inbox are closed as a numbered batch and folded into
//! `burn/{service}`. Both steps are conditional updates that carry a number, so a
//! step whose reply was lost is recognised when the object is read back, and isn't
//! counted twice.

use std::collections;
use std::time;

use crate::ids;
use crate::slo;
use crate::time as clock;

/// Number of inboxes. Reading and writing an inbox takes a few milliseconds, so
/// four can take the 20 writes a second to which the largest fleet is limited.
pub(super) const INBOXES: u64 = 4;
/// Time after which an inbox removes a VM that has delivered nothing.
const VM_RETENTION: time::Duration = time::Duration::from_secs(3600);
/// Maximum time for which a write whose reply was lost is retried. It is well below
/// [`VM_RETENTION`], which allows for clocks that differ.
pub(super) const MAX_UNCONFIRMED_AGE: time::Duration = time::Duration::from_secs(2400);

/// Returns the store key of a service's counts.
pub(super) fn burn_key(service: &ids::Service) -> String {
    format!("burn/{service}")
}

/// Returns the store key of an inbox.
pub(super) fn inbox_key(group: u64) -> String {
    format!("burn-inbox/{group}")
}

/// Returns the index of a VM's inbox.
pub(super) fn inbox_index(vm: &ids::Vm) -> u64 {
    xxhash_rust::xxh3::xxh3_64(vm.as_str().as_bytes()) % INBOXES
}

/// Counts over time, by service.
pub(super) type Services = collections::BTreeMap<ids::Service, slo::Series>;

/// The object `burn-inbox/{group}`.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub(super) struct Inbox {
    /// The newest delivery of each VM.
    vms: collections::BTreeMap<ids::Vm, Delivery>,
    /// Number of the open batch, from 1.
    number: u64,
    /// Time at which the first counts of the open batch were added.
    opened: Option<clock::Wall>,
    /// Counts of the open batch.
    open: Services,
    /// The previous batch, until it is folded.
    closed: Option<Batch>,
}

/// The newest delivery of one VM.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
struct Delivery {
    incarnation: ids::Incarnation,
    sequence: u64,
    at: clock::Wall,
}

/// Closed counts of an inbox that are folded into the services' objects.
#[derive(Debug, Clone, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub(super) struct Batch {
    /// Number of the batch.
    pub(super) number: u64,
    /// Time at which the batch was closed.
    pub(super) closed: clock::Wall,
    /// Counts of the batch.
    pub(super) services: Services,
}

/// Counts that a VM adds to its inbox in one write.
#[derive(Debug, Clone)]
pub(super) struct Payload {
    /// The VM that delivers.
    pub(super) vm: ids::Vm,
    /// Incarnation of the VM.
    pub(super) incarnation: ids::Incarnation,
    /// Sequence number within this incarnation, from 1.
    pub(super) sequence: u64,
    /// Counts by service.
    pub(super) services: Services,
}

impl Inbox {
    /// Returns whether `payload` was added to this inbox before.
    pub(super) fn contains(&self, payload: &Payload) -> bool {
        self.vms.get(&payload.vm).is_some_and(|last| {
            (last.incarnation, last.sequence) >= (payload.incarnation, payload.sequence)
        })
    }

    /// Adds a payload that the inbox doesn't contain yet.
    pub(super) fn add(&mut self, payload: &Payload, now: clock::Wall) {
        self.number = self.number.max(1);
        self.opened.get_or_insert(now);
        for (service, series) in &payload.services {
            self.open.entry(service.clone()).or_default().add(series);
        }
        let delivery = Delivery {
            incarnation: payload.incarnation,
            sequence: payload.sequence,
            at: now,
        };
        self.vms.insert(payload.vm.clone(), delivery);
        self.vms.retain(|_, last| now.since(last.at) < VM_RETENTION);
    }

    /// Closes the open batch, unless it is empty or a closed batch isn't folded yet.
    pub(super) fn close(&mut self, now: clock::Wall) {
        if self.closed.is_some() || self.open.is_empty() {
            return;
        }
        self.closed = Some(Batch {
            number: self.number,
            closed: now,
            services: std::mem::take(&mut self.open),
        });
        self.opened = None;
        self.number += 1;
    }

    /// Returns whether the open batch has been filled for `span` and can be closed.
    pub(super) fn close_due(&self, now: clock::Wall, span: time::Duration) -> bool {
        let filled = self.opened.is_some_and(|opened| now.since(opened) >= span);
        self.closed.is_none() && filled
    }

    /// Returns the closed batch, which is to be folded.
    pub(super) fn closed(&self) -> Option<&Batch> {
        self.closed.as_ref()
    }

    /// Removes the closed batch after it was folded; returns false if it is another
    /// one.
    pub(super) fn remove_folded(&mut self, number: u64) -> bool {
        let same = self
            .closed
            .as_ref()
            .is_some_and(|batch| batch.number == number);
        if same {
            self.closed = None;
        }
        same
    }

    /// Returns the number of VMs that delivered recently.
    pub(super) fn vms(&self) -> usize {
        self.vms.len()
    }

    /// Returns the counts of `service` that `burn` doesn't include yet.
    pub(super) fn unfolded(&self, index: u64, service: &ids::Service, burn: &Burn) -> slo::Series {
        let folded = burn.folded.get(&index).copied().unwrap_or(0);
        let mut series = slo::Series::default();
        let closed = self.closed.as_ref().filter(|batch| batch.number > folded);
        if let Some(found) = closed.and_then(|batch| batch.services.get(service)) {
            series.add(found);
        }
        if let Some(found) = self.open.get(service).filter(|_| self.number > folded) {
            series.add(found);
        }
        series
    }
}

/// The object `burn/{service}`.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub(super) struct Burn {
    /// Number of the newest batch included, by inbox index.
    folded: collections::BTreeMap<u64, u64>,
    /// Counts of the service over time.
    pub(super) series: slo::Series,
}

impl Burn {
    /// Adds a batch of an inbox; returns false if it is already included.
    pub(super) fn fold(
        &mut self,
        index: u64,
        number: u64,
        series: &slo::Series,
        now: clock::Wall,
    ) -> bool {
        let folded = self.folded.entry(index).or_default();
        if *folded >= number {
            return false;
        }
        *folded = number;
        self.series.add(series);
        self.series.compact(now);
        true
    }
}
