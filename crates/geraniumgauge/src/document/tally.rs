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
    /// Ordered by service.
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
    /// Takes a report: every service, only those that changed, or none. False
    /// where `digest` shows that a full one is needed.
    pub(super) fn take(
        &mut self,
        vm: &ids::Vm,
        mut have: Vec<message::Have>,
        digest: u64,
        unconfirmed: bool,
        now: clock::Moment,
    ) -> bool {
        have.sort_by(|a, b| a.service.cmp(&b.service));
        if held::digest(&have) != digest {
            let Some(present) = self.reports.get(vm) else {
                return false;
            };
            have = merge(&present.have, have);
        }
        if held::digest(&have) != digest {
            return false;
        }
        let report = Report {
            have,
            unconfirmed,
            heard: now,
        };
        self.reports.insert(vm.clone(), report);
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

    /// What each of `vms` reported, beside what this VM applies.
    pub(super) fn all(
        &self,
        vms: &[ids::Vm],
        applied: &[message::Have],
        now: clock::Moment,
    ) -> collections::BTreeMap<ids::Vm, status::Report> {
        let one = |vm: &ids::Vm| (vm.clone(), self.beside(vm, applied, now));
        vms.iter().map(one).collect()
    }

    fn beside(
        &self,
        vm: &ids::Vm,
        applied: &[message::Have],
        now: clock::Moment,
    ) -> status::Report {
        let fresh = |report: &&Report| now.since(report.heard) < STALE;
        let Some(report) = self.reports.get(vm).filter(fresh) else {
            return status::Report::default();
        };
        let behind = applied
            .iter()
            .filter(|wanted| !self.applies(vm, wanted, now));
        let behind = behind.filter_map(|wanted| wanted.service.parse().ok());
        status::Report {
            heard: true,
            behind: behind.take(status::MAX_BEHIND).collect(),
            unconfirmed: report.unconfirmed,
        }
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

/// `before` with what changed since, ordered by service.
fn merge(before: &[message::Have], changed: Vec<message::Have>) -> Vec<message::Have> {
    let all = before.iter().cloned().chain(changed);
    let by_service = all.map(|have| (have.service.clone(), have));
    let merged: collections::BTreeMap<_, _> = by_service.collect();
    merged.into_values().collect()
}
