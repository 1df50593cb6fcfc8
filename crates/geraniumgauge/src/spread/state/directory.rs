//! Maintenance of the fleet's records, and the directory of VMs in the store.

use std::time;

use rand::seq::IndexedRandom as _;

use crate::spread;
use crate::spread::state;
use crate::time as clock;

/// Most VMs on a page of the directory. A VM that starts finds the others through
/// them.
const MAX_PAGE_MEMBERS: usize = 64;
/// Interval at which pollers read the directory. A part of the fleet that they
/// don't know may have written a page of its own.
const READ_INTERVAL: time::Duration = time::Duration::from_secs(10);
/// Time for which the directory's number of VMs counts. VMs that are alive have
/// sent a record of their own by then.
const COUNT_LIFETIME: time::Duration = time::Duration::from_secs(200);
/// Poll intervals between two reads of the directory by a VM that knows no other
/// one.
const ALONE_READ_INTERVAL_POLLS: u32 = 4;
/// Delay, in poll intervals, in which changes of the fleet are collected before the
/// view is published.
const PUBLISH_DELAY_POLLS: f64 = 1.0 / 16.0;
/// Poll intervals between two writes of this VM's page.
const WRITE_INTERVAL_POLLS: u32 = 2;

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
    pub(super) fn maintain_records(&mut self, now: clock::Moment) {
        if self.members.refresh(now) {
            self.announce();
            // Comparing records also brings the refreshes of other VMs.
            if let Some(from) = self.random_vm(true).or_else(|| self.random_vm(false)) {
                self.schedule_comparison(from, now);
            }
        }
        if self.members.expire(now) {
            let members = &self.members;
            self.poll_numbers
                .retain(|vm, _| members.address(vm).is_some());
            self.members_changed("records that expired", now);
        }
        self.publish_view(now);
    }

    /// Sends this VM's record to the pollers.
    pub(super) fn announce(&mut self) {
        let to: Vec<_> = self
            .members
            .pollers()
            .map(|member| member.address)
            .collect();
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
        let mut is_new = false;
        for (member, age) in records {
            is_new |= self.members.merge(member, age, now);
        }
        if is_new {
            self.members_changed(source, now);
        }
        is_new
    }

    /// Stores the number of VMs that another VM reported.
    pub(super) fn note_reported_vms(&mut self, vms: Option<usize>) {
        self.reported_vms = vms.or(self.reported_vms);
    }

    /// Publishes the view after the known VMs have changed.
    fn members_changed(&mut self, source: &'static str, now: clock::Moment) {
        self.source = source;
        self.publish_view(now);
    }

    /// Returns when a changed view is published; `None` if it hasn't changed.
    pub(super) fn publish_due(&self, now: clock::Moment) -> Option<clock::Moment> {
        let Some(published) = &self.published else {
            return Some(now);
        };
        let vms = self.vms(now);
        if (published.members, published.vms) == (self.members.digest(), vms) {
            return None;
        }
        let first = published.vms.is_none() && vms.is_some();
        Some(if first {
            now
        } else {
            published.at + self.poll_interval.mul_f64(PUBLISH_DELAY_POLLS)
        })
    }

    /// Publishes the view if it has changed. Changes are collected for a while,
    /// since many VMs may start at once.
    pub(super) fn publish_view(&mut self, now: clock::Moment) {
        if self.publish_due(now).is_none_or(|due| now < due) {
            return;
        }
        let vms = self.vms(now);
        log::info!(
            known = self.members.count(), vms:? = vms, source = self.source,
            before:? = self.published.as_ref().map(|published| published.vms);
            "VMs known changed"
        );
        self.published = Some(state::PublishedView {
            members: self.members.digest(),
            vms,
            at: now,
        });
        let others = self.members.others().cloned().collect();
        let view = state::View { vms, others };
        self.actions.push(state::Action::View(view));
    }

    pub(super) fn directory_read_due(&self, now: clock::Moment) -> Option<clock::Moment> {
        Some(self.read_directory_at).filter(|_| !self.pending.reading && self.wants_directory(now))
    }

    fn wants_directory(&self, now: clock::Moment) -> bool {
        let alone = self.members.count() == 1;
        !self.has_directory
            || alone
            || self.poller_since.is_some() && !self.unavailable
            || self.vms(now).is_none()
    }

    pub(super) fn read_directory_if_due(&mut self, now: clock::Moment) {
        if self.directory_read_due(now).is_some_and(|due| now >= due) {
            self.pending.reading = true;
            self.actions.push(state::Action::ReadDirectory);
        }
    }

    /// Takes the pages of the directory; `None` if it couldn't be read.
    pub fn directory_read(&mut self, pages: Option<Vec<spread::Directory>>, now: clock::Moment) {
        self.pending.reading = false;
        let alone = self.members.count() == 1;
        let delay = if alone || pages.is_none() {
            (self.poll_interval * ALONE_READ_INTERVAL_POLLS).min(READ_INTERVAL)
        } else {
            READ_INTERVAL
        };
        let jitter = self.random_delay(0.0..0.5);
        self.read_directory_at = now + delay + jitter;
        if let Some(pages) = pages {
            self.apply_pages(pages, now);
        }
    }

    fn apply_pages(&mut self, pages: Vec<spread::Directory>, now: clock::Moment) {
        let first = !std::mem::replace(&mut self.has_directory, true);
        if first {
            let vms = pages.iter().map(|page| page.vms).max();
            self.directory_vms = vms.map(|vms| (vms, now + COUNT_LIFETIME));
        }
        let members = pages.into_iter().flat_map(|page| page.members);
        let unknown: Vec<_> = members.filter(|member| !self.members.has(member)).collect();
        if first {
            let fresh = |member| (member, time::Duration::ZERO);
            let records = unknown.into_iter().map(fresh);
            self.merge(records, "the store's directory", now);
        } else if let Some(unknown) = unknown.choose(&mut self.rng) {
            // A VM that isn't known belongs to another part of the fleet or to an
            // outdated page. If it answers, its answer brings the other records.
            self.schedule_comparison(unknown.address, now);
        }
    }

    pub(super) fn directory_write_due(&self, now: clock::Moment) -> Option<clock::Moment> {
        if self.pending.writing || self.unavailable || !self.can_count_vms(now) {
            return None;
        }
        self.poller_rank(now)?;
        match self.written_page {
            None => Some(now),
            Some((known, _)) if known == self.page_hash(now) => None,
            Some((_, at)) => Some(at + self.poll_interval * WRITE_INTERVAL_POLLS),
        }
    }

    pub(super) fn write_directory_if_due(&mut self, now: clock::Moment) {
        if self.directory_write_due(now).is_none_or(|due| now < due) {
            return;
        }
        let Some(page) = self.poller_rank(now) else {
            return;
        };
        self.pending.writing = true;
        self.written_page = Some((self.page_hash(now), now));
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
        others.sort_by(|a, b| b.cores.total_cmp(&a.cores));
        others.truncate(MAX_PAGE_MEMBERS - 1);
        others.into_iter().chain([self.members.own()])
    }

    /// Returns a hash that shows whether the page has changed.
    fn page_hash(&self, now: clock::Moment) -> u64 {
        let vms = self.vms(now).unwrap_or_default() as u64;
        self.members.digest() ^ vms.rotate_left(32)
    }

    /// Takes the result of writing a page of the directory.
    pub fn directory_written(&mut self, done: bool, now: clock::Moment) {
        self.pending.writing = false;
        if !done {
            self.written_page = Some((0, now));
        }
    }
}
