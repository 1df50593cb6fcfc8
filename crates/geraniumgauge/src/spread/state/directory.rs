//! Maintenance of the fleet's records, and the directory of VMs in the store.

use std::time;

use rand::seq::IndexedRandom as _;

use crate::spread;
use crate::spread::state;
use crate::time as clock;

/// Most VMs on a page of the directory. A VM that starts finds the others through
/// them.
const LISTED: usize = 64;
/// Interval at which pollers read the directory. A part of the fleet that they
/// don't know may have written a page of its own.
const READ: time::Duration = time::Duration::from_secs(10);
/// Time for which the directory's number of VMs counts. VMs that are alive have
/// sent a record of their own by then.
const COUNTED: time::Duration = time::Duration::from_secs(200);
/// Poll intervals between two reads of the directory by a VM that knows no other
/// one.
const LONELY: u32 = 4;
/// Delay, in poll intervals, in which changes of the fleet are collected before the
/// view is published.
const SHOW: f64 = 1.0 / 16.0;
/// Poll intervals between two writes of this VM's page.
const WRITE: u32 = 2;

/// A page of the directory in the store. It lists some VMs of the fleet, through
/// which a VM that starts finds the others.
#[derive(Debug, Clone, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Directory {
    /// Number of VMs in the fleet when the page was written.
    pub vms: usize,
    /// Some of those VMs.
    pub members: Vec<spread::Member>,
}

impl state::State {
    /// Refreshes this VM's own record and removes expired ones.
    pub(super) fn keep_records(&mut self, now: clock::Moment) {
        if self.members.refresh(now) {
            self.greet();
            // Comparing records also brings the refreshes of other VMs.
            if let Some(from) = self.any(true).or_else(|| self.any(false)) {
                self.differs(from, now);
            }
        }
        if self.members.expire(now) {
            let members = &self.members;
            self.numbers.retain(|vm, _| members.address(vm).is_some());
            self.note_members("records that expired", now);
        }
        self.show(now);
    }

    /// Sends this VM's record to the pollers.
    pub(super) fn greet(&mut self) {
        let to: Vec<_> = self.members.first().map(|member| member.address).collect();
        if !to.is_empty() {
            let datagram =
                spread::Datagram::Hello(vec![(self.members.own().clone(), time::Duration::ZERO)]);
            self.actions.push(state::Action::Send { to, datagram });
        }
    }

    /// Merges records into the known ones. Returns whether any of them showed an
    /// unknown VM or an unknown start of a VM. `source` says where they came from.
    pub(super) fn merge(
        &mut self,
        records: impl IntoIterator<Item = spread::Record>,
        source: &'static str,
        now: clock::Moment,
    ) -> bool {
        let mut news = false;
        for (member, age) in records {
            news |= self.members.merge(member, age, now);
        }
        if news {
            self.note_members(source, now);
        }
        news
    }

    /// Stores the number of VMs that another VM reported.
    pub(super) fn hear_vms(&mut self, vms: Option<usize>) {
        self.heard_vms = vms.or(self.heard_vms);
    }

    /// Publishes the view after the known VMs have changed.
    fn note_members(&mut self, source: &'static str, now: clock::Moment) {
        self.source = source;
        self.show(now);
    }

    /// Returns when a changed view is published; `None` if it hasn't changed.
    pub(super) fn show_due(&self, now: clock::Moment) -> Option<clock::Moment> {
        let Some(shown) = &self.shown else {
            return Some(now);
        };
        let vms = self.vms(now);
        if (shown.members, shown.vms) == (self.members.digest(), vms) {
            return None;
        }
        let first = shown.vms.is_none() && vms.is_some();
        Some(if first {
            now
        } else {
            shown.at + self.period.mul_f64(SHOW)
        })
    }

    /// Publishes the view if it has changed. Changes are collected for a while,
    /// since many VMs may start at once.
    pub(super) fn show(&mut self, now: clock::Moment) {
        if self.show_due(now).is_none_or(|due| now < due) {
            return;
        }
        let vms = self.vms(now);
        log::info!(
            known = self.members.count(), vms:? = vms, source = self.source,
            before:? = self.shown.as_ref().map(|shown| shown.vms);
            "VMs known changed"
        );
        self.shown = Some(state::Shown {
            members: self.members.digest(),
            vms,
            at: now,
        });
        let others = self.members.others().cloned().collect();
        let view = state::View { vms, others };
        self.actions.push(state::Action::View(view));
    }

    pub(super) fn read_due(&self, now: clock::Moment) -> Option<clock::Moment> {
        Some(self.read_at).filter(|_| !self.busy.reading && self.wants_directory(now))
    }

    fn wants_directory(&self, now: clock::Moment) -> bool {
        let lonely = self.members.count() == 1;
        !self.listed || lonely || self.duty_since.is_some() && !self.away || self.vms(now).is_none()
    }

    pub(super) fn read_if_due(&mut self, now: clock::Moment) {
        if self.read_due(now).is_some_and(|due| now >= due) {
            self.busy.reading = true;
            self.actions.push(state::Action::ReadDirectory);
        }
    }

    /// Takes the pages of the directory; `None` if it couldn't be read.
    pub fn listed(&mut self, pages: Option<Vec<spread::Directory>>, now: clock::Moment) {
        self.busy.reading = false;
        let lonely = self.members.count() == 1;
        let pause = if lonely || pages.is_none() {
            (self.period * LONELY).min(READ)
        } else {
            READ
        };
        let jitter = self.part(0.0..0.5);
        self.read_at = now + pause + jitter;
        if let Some(pages) = pages {
            self.take_pages(pages, now);
        }
    }

    fn take_pages(&mut self, pages: Vec<spread::Directory>, now: clock::Moment) {
        let first = !std::mem::replace(&mut self.listed, true);
        if first {
            let vms = pages.iter().map(|page| page.vms).max();
            self.floor = vms.map(|vms| (vms, now + COUNTED));
        }
        let members = pages.into_iter().flat_map(|page| page.members);
        let strangers: Vec<_> = members.filter(|member| !self.members.has(member)).collect();
        if first {
            let fresh = |member| (member, time::Duration::ZERO);
            let records = strangers.into_iter().map(fresh);
            self.merge(records, "the store's directory", now);
        } else if let Some(stranger) = strangers.choose(&mut self.rng) {
            // A VM that isn't known belongs to another part of the fleet or to an
            // outdated page. If it answers, its answer brings the other records.
            self.differs(stranger.address, now);
        }
    }

    pub(super) fn write_due(&self, now: clock::Moment) -> Option<clock::Moment> {
        if self.busy.writing || self.away || !self.is_settled(now) {
            return None;
        }
        self.duty(now)?;
        match self.written {
            None => Some(now),
            Some((known, _)) if known == self.page_hash(now) => None,
            Some((_, at)) => Some(at + self.period * WRITE),
        }
    }

    pub(super) fn write_if_due(&mut self, now: clock::Moment) {
        if self.write_due(now).is_none_or(|due| now < due) {
            return;
        }
        let Some(page) = self.duty(now) else {
            return;
        };
        self.busy.writing = true;
        self.written = Some((self.page_hash(now), now));
        let directory = spread::Directory {
            vms: self.vms(now).unwrap_or(self.members.count()),
            members: self.page().cloned().collect(),
        };
        let write = state::Action::WriteDirectory { page, directory };
        self.actions.push(write);
    }

    /// Returns the VMs for this VM's page: those with the most cores, because new
    /// VMs need them first, and this VM.
    fn page(&self) -> impl Iterator<Item = &spread::Member> {
        let mut others: Vec<_> = self.members.others().collect();
        others.sort_by(|a, b| b.power.total_cmp(&a.power));
        others.truncate(LISTED - 1);
        others.into_iter().chain([self.members.own()])
    }

    /// Returns a hash that shows whether the page has changed.
    fn page_hash(&self, now: clock::Moment) -> u64 {
        let vms = self.vms(now).unwrap_or_default() as u64;
        self.members.digest() ^ vms.rotate_left(32)
    }

    /// Takes the result of writing a page of the directory.
    pub fn written(&mut self, done: bool, now: clock::Moment) {
        self.busy.writing = false;
        if !done {
            self.written = Some((0, now));
        }
    }
}
