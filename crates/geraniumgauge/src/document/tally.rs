//! Collects the reports of VMs about the versions that they apply.

use std::collections;
use std::time;

use crate::document::held;
use crate::document::status;
use crate::ids;
use crate::mesh::message;
use crate::time as clock;

/// Age after which a report is ignored and its VM counts as behind. Reports are
/// refreshed three times within this period.
const MAX_REPORT_AGE: time::Duration = time::Duration::from_secs(35);

/// The newest report of each VM.
#[derive(Debug, Default)]
pub(super) struct Tally {
    reports: collections::BTreeMap<ids::Vm, Report>,
}

#[derive(Debug)]
struct Report {
    /// Versions that the VM applies, ordered by service.
    have: Vec<message::AppliedVersions>,
    unconfirmed: bool,
    received: clock::Moment,
}

/// Rollout of one service's versions across the VMs.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(super) struct Rollout {
    /// Number of VMs that apply these or newer versions.
    pub(super) in_force: u32,
    /// Other VMs, at most [`status::MAX_BEHIND_LISTED`].
    pub(super) behind: Vec<ids::Vm>,
}

impl Tally {
    /// Records a report that lists all services, only the changed ones, or none.
    /// Returns false if `digest` shows that a full report is needed.
    pub(super) fn record(
        &mut self,
        vm: &ids::Vm,
        mut have: Vec<message::AppliedVersions>,
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
            received: now,
        };
        self.reports.insert(vm.clone(), report);
        true
    }

    /// Removes the reports of VMs that aren't in `vms`.
    pub(super) fn retain(&mut self, vms: &collections::BTreeSet<&ids::Vm>) {
        self.reports.retain(|vm, _| vms.contains(vm));
    }

    /// Returns VMs whose documents the store hasn't confirmed, at most
    /// [`status::MAX_BEHIND_LISTED`].
    pub(super) fn unconfirmed(&self) -> Vec<ids::Vm> {
        let reports = self.reports.iter().filter(|(_, report)| report.unconfirmed);
        let vms = reports.map(|(vm, _)| vm.clone());
        vms.take(status::MAX_BEHIND_LISTED).collect()
    }

    /// Counts the VMs among `vms` that apply `wanted` or newer versions.
    pub(super) fn rollout<'a>(
        &self,
        wanted: &message::AppliedVersions,
        vms: impl Iterator<Item = &'a ids::Vm>,
        now: clock::Moment,
    ) -> Rollout {
        let mut rollout = Rollout::default();
        for vm in vms {
            if self.applies(vm, wanted, now) {
                rollout.in_force += 1;
            } else if rollout.behind.len() < status::MAX_BEHIND_LISTED {
                rollout.behind.push(vm.clone());
            }
        }
        rollout
    }

    /// Compares the reports of `vms` with the versions that this VM applies.
    pub(super) fn report_all(
        &self,
        vms: &[ids::Vm],
        applied: &[message::AppliedVersions],
        now: clock::Moment,
    ) -> collections::BTreeMap<ids::Vm, status::Report> {
        let summary = |vm: &ids::Vm| (vm.clone(), self.report(vm, applied, now));
        vms.iter().map(summary).collect()
    }

    fn report(
        &self,
        vm: &ids::Vm,
        applied: &[message::AppliedVersions],
        now: clock::Moment,
    ) -> status::Report {
        let recent = |report: &&Report| now.since(report.received) < MAX_REPORT_AGE;
        let Some(report) = self.reports.get(vm).filter(recent) else {
            return status::Report::default();
        };
        let behind = applied
            .iter()
            .filter(|wanted| !self.applies(vm, wanted, now));
        let behind = behind.filter_map(|wanted| wanted.service.parse().ok());
        status::Report {
            heard: true,
            behind: behind.take(status::MAX_BEHIND_LISTED).collect(),
            unconfirmed: report.unconfirmed,
        }
    }

    fn applies(&self, vm: &ids::Vm, wanted: &message::AppliedVersions, now: clock::Moment) -> bool {
        let Some(report) = self.reports.get(vm) else {
            return false;
        };
        let found = report
            .have
            .binary_search_by(|have| have.service.cmp(&wanted.service));
        now.since(report.received) < MAX_REPORT_AGE
            && found.is_ok_and(|at| {
                let have = &report.have[at];
                have.generation >= wanted.generation && have.layout >= wanted.layout
            })
    }
}

/// Returns `before` with the changed services replaced, ordered by service.
fn merge(
    before: &[message::AppliedVersions],
    changed: Vec<message::AppliedVersions>,
) -> Vec<message::AppliedVersions> {
    let all = before.iter().cloned().chain(changed);
    let by_service = all.map(|have| (have.service.clone(), have));
    let merged: collections::BTreeMap<_, _> = by_service.collect();
    merged.into_values().collect()
}
