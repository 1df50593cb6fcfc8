//! What the VMs of the view apply, as they reported it to this one.

use std::collections;
use std::time;

use crate::document::held;
use crate::document::status;
use crate::ids;
use crate::mesh::message;
use crate::time as clock;

/// A VM that has said nothing for so long counts as behind. Reports are
/// refreshed three times within it.
const STALE: time::Duration = time::Duration::from_secs(35);

/// The newest report of each VM.
#[derive(Debug, Default)]
pub(super) struct Tally {
    reports: collections::BTreeMap<ids::Vm, Report>,
}

#[derive(Debug)]
struct Report {
    digest: u64,
    have: Vec<message::Have>,
    unconfirmed: bool,
    heard: clock::Moment,
}

/// How far a version has got.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(super) struct Count {
    /// VMs that apply it.
    pub(super) in_force: u32,
    /// Some of the others.
    pub(super) behind: Vec<ids::Vm>,
}

impl Tally {
    /// Keeps a full report, ordered by service.
    pub(super) fn report(
        &mut self,
        vm: &ids::Vm,
        mut have: Vec<message::Have>,
        unconfirmed: bool,
        now: clock::Moment,
    ) {
        have.sort_by(|a, b| a.service.cmp(&b.service));
        let digest = held::digest(&have);
        let report = Report {
            digest,
            have,
            unconfirmed,
            heard: now,
        };
        self.reports.insert(vm.clone(), report);
    }

    /// A VM says that it applies what it reported before; false where the
    /// digest shows something else, so that a full report is needed.
    pub(super) fn refresh(
        &mut self,
        vm: &ids::Vm,
        digest: u64,
        unconfirmed: bool,
        now: clock::Moment,
    ) -> bool {
        let Some(report) = self.reports.get_mut(vm) else {
            return false;
        };
        if report.digest != digest {
            return false;
        }
        report.heard = now;
        report.unconfirmed = unconfirmed;
        true
    }

    /// Forgets VMs that are not of the view.
    pub(super) fn retain(&mut self, vms: &collections::BTreeSet<&ids::Vm>) {
        self.reports.retain(|vm, _| vms.contains(vm));
    }

    /// VMs that have their documents from other members only; some of them.
    pub(super) fn unconfirmed(&self) -> Vec<ids::Vm> {
        let reports = self.reports.iter().filter(|(_, report)| report.unconfirmed);
        let vms = reports.map(|(vm, _)| vm.clone());
        vms.take(status::MAX_BEHIND).collect()
    }

    /// How many of `vms` apply `wanted` or something newer.
    pub(super) fn count<'a>(
        &self,
        wanted: &message::Have,
        vms: impl Iterator<Item = &'a ids::Vm>,
        now: clock::Moment,
    ) -> Count {
        let mut count = Count::default();
        for vm in vms {
            if self.applies(vm, wanted, now) {
                count.in_force += 1;
            } else if count.behind.len() < status::MAX_BEHIND {
                count.behind.push(vm.clone());
            }
        }
        count
    }

    fn applies(&self, vm: &ids::Vm, wanted: &message::Have, now: clock::Moment) -> bool {
        let Some(report) = self.reports.get(vm) else {
            return false;
        };
        let found = report
            .have
            .binary_search_by(|have| have.service.cmp(&wanted.service));
        now.since(report.heard) < STALE
            && found.is_ok_and(|at| {
                let have = &report.have[at];
                have.generation >= wanted.generation && have.layout >= wanted.layout
            })
    }
}
