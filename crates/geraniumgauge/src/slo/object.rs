//! The two kinds of store object behind the report.
//!
//! Each VM adds its counts to one of [`GROUPS`] inboxes; now and then an inbox
//! is closed as a numbered batch and folded into `burn/{service}`. Both steps
//! are conditional updates that carry a number, so a step whose reply was lost
//! is recognised when it is read back and never counted twice.

use std::collections;
use std::time;

use crate::ids;
use crate::slo;
use crate::time as clock;

/// Inboxes. A write of an inbox takes a few milliseconds to read and change, so
/// four bear the 20 writes a second that the largest fleet is held to.
pub(super) const GROUPS: u64 = 4;
/// How long an inbox remembers a VM that is silent.
const REMEMBERED: time::Duration = time::Duration::from_secs(3600);
/// Longest time after which a write whose reply was lost is tried again. It is
/// well below [`REMEMBERED`], so that clocks that differ do no harm.
pub(super) const TRIED: time::Duration = time::Duration::from_secs(2400);

/// Store key of a service's counts.
pub(super) fn burn_key(service: &ids::Service) -> String {
    format!("burn/{service}")
}

/// Store key of an inbox.
pub(super) fn inbox_key(group: u64) -> String {
    format!("burn-inbox/{group}")
}

/// The inbox of a VM.
pub(super) fn group(vm: &ids::Vm) -> u64 {
    xxhash_rust::xxh3::xxh3_64(vm.as_str().as_bytes()) % GROUPS
}

/// Counts of services by time.
pub(super) type Services = collections::BTreeMap<ids::Service, slo::Series>;

/// The object `burn-inbox/{group}`.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub(super) struct Inbox {
    /// The newest delivery of each VM.
    vms: collections::BTreeMap<ids::Vm, Delivery>,
    /// Number of the batch that is being filled, from 1.
    number: u64,
    /// When its first counts came.
    opened: Option<clock::Wall>,
    /// Its counts.
    open: Services,
    /// The batch before, until it is folded.
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

/// Counts that are to be folded into the services' objects.
#[derive(Debug, Clone, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub(super) struct Batch {
    /// Its number.
    pub(super) number: u64,
    /// When it was closed.
    pub(super) closed: clock::Wall,
    /// Its counts.
    pub(super) services: Services,
}

/// What one VM delivers at once.
#[derive(Debug, Clone)]
pub(super) struct Parcel {
    /// Whose it is.
    pub(super) vm: ids::Vm,
    /// Which start of it.
    pub(super) incarnation: ids::Incarnation,
    /// Counts the parcels of this start, from 1.
    pub(super) sequence: u64,
    /// The counts.
    pub(super) services: Services,
}

impl Inbox {
    /// Whether `parcel` is in this inbox or was.
    pub(super) fn has(&self, parcel: &Parcel) -> bool {
        self.vms.get(&parcel.vm).is_some_and(|last| {
            (last.incarnation, last.sequence) >= (parcel.incarnation, parcel.sequence)
        })
    }

    /// Adds a parcel that is not here yet.
    pub(super) fn add(&mut self, parcel: &Parcel, now: clock::Wall) {
        self.number = self.number.max(1);
        self.opened.get_or_insert(now);
        for (service, series) in &parcel.services {
            self.open.entry(service.clone()).or_default().add(series);
        }
        let delivery = Delivery {
            incarnation: parcel.incarnation,
            sequence: parcel.sequence,
            at: now,
        };
        self.vms.insert(parcel.vm.clone(), delivery);
        self.vms.retain(|_, last| now.since(last.at) < REMEMBERED);
    }

    /// Closes the open batch where none is closed yet.
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

    /// Whether the open batch has been filled for `span`.
    pub(super) fn due(&self, now: clock::Wall, span: time::Duration) -> bool {
        let filled = self.opened.is_some_and(|opened| now.since(opened) >= span);
        self.closed.is_none() && filled
    }

    /// The batch that is to be folded.
    pub(super) fn closed(&self) -> Option<&Batch> {
        self.closed.as_ref()
    }

    /// Forgets the closed batch once it is folded.
    pub(super) fn folded(&mut self, number: u64) -> bool {
        let same = self
            .closed
            .as_ref()
            .is_some_and(|batch| batch.number == number);
        if same {
            self.closed = None;
        }
        same
    }

    /// The VMs that delivered of late.
    pub(super) fn vms(&self) -> usize {
        self.vms.len()
    }

    /// The counts of `service` that `burn` doesn't hold yet.
    pub(super) fn beyond(&self, group: u64, service: &ids::Service, burn: &Burn) -> slo::Series {
        let folded = burn.folded.get(&group).copied().unwrap_or(0);
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
    /// The newest batch of each inbox that is counted here.
    folded: collections::BTreeMap<u64, u64>,
    /// The counts.
    pub(super) series: slo::Series,
}

impl Burn {
    /// Counts a batch of an inbox; false where it is counted already.
    pub(super) fn fold(
        &mut self,
        group: u64,
        number: u64,
        series: &slo::Series,
        now: clock::Wall,
    ) -> bool {
        let folded = self.folded.entry(group).or_default();
        if *folded >= number {
            return false;
        }
        *folded = number;
        self.series.add(series);
        self.series.compact(now);
        true
    }
}
