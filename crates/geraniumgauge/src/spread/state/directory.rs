//! The fleet's records: kept fresh, counted, and kept in the store's directory.

use std::time;

use rand::seq::IndexedRandom as _;

use crate::spread;
use crate::spread::state;
use crate::time as clock;

/// VMs on a page of the directory. By them the others are found.
const LISTED: usize = 64;
/// How often those that read the store for all read the directory, in which a
/// part of the fleet that they don't know may have left its own page.
const READ: time::Duration = time::Duration::from_secs(10);
/// How long the directory's count of VMs holds: those that it counted are heard
/// of by then, if they are alive.
const COUNTED: time::Duration = time::Duration::from_secs(200);
/// Look periods between reads of a VM that knows no other one.
const LONELY: u32 = 4;
/// Part of the look period in which changes of the fleet gather before this VM
/// acts on them.
const SHOW: f64 = 1.0 / 16.0;
/// Look periods between two writes.
const WRITE: u32 = 2;

/// A page of the store's directory: some VMs of the fleet, by which a VM that
/// starts finds the others.
#[derive(Debug, Clone, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Directory {
    /// How many VMs there were.
    pub vms: usize,
    /// Some of them.
    pub members: Vec<spread::Member>,
}

impl state::State {
    /// Refreshes this VM's own record, and lets go of old ones.
    pub(super) fn keep_records(&mut self, now: clock::Moment) {
        if self.members.refresh(now) {
            self.greet();
            // Others' refreshes are learned with their records.
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

    /// Tells those that read the store for all of this VM.
    pub(super) fn greet(&mut self) {
        let to: Vec<_> = self.members.first().map(|member| member.address).collect();
        if !to.is_empty() {
            let datagram =
                spread::Datagram::Hello(vec![(self.members.own().clone(), time::Duration::ZERO)]);
            self.actions.push(state::Action::Send { to, datagram });
        }
    }

    /// Takes records that `source` told; whether any told of a VM or a start that
    /// wasn't known.
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

    /// Takes what another VM says of the fleet's size.
    pub(super) fn hear_vms(&mut self, vms: Option<usize>) {
        self.heard_vms = vms.or(self.heard_vms);
    }

    /// The VMs known have changed, by what `source` told.
    fn note_members(&mut self, source: &'static str, now: clock::Moment) {
        self.source = source;
        self.show(now);
    }

    /// When the view is shown that has changed.
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

    /// Shows the view, where it has changed; changes gather for a while, as
    /// where all VMs start at one moment.
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

    /// The directory was read; `None` where the store didn't tell.
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
            // A part of the fleet that this one doesn't know, or a page that
            // is out of date: whoever answers tells the rest.
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

    /// The VMs on this VM's page: the largest, which the others need first, and
    /// itself.
    fn page(&self) -> impl Iterator<Item = &spread::Member> {
        let mut others: Vec<_> = self.members.others().collect();
        others.sort_by(|a, b| b.power.total_cmp(&a.power));
        others.truncate(LISTED - 1);
        others.into_iter().chain([self.members.own()])
    }

    /// Tells pages apart.
    fn page_hash(&self, now: clock::Moment) -> u64 {
        let vms = self.vms(now).unwrap_or_default() as u64;
        self.members.digest() ^ vms.rotate_left(32)
    }

    /// The directory was written, or not.
    pub fn written(&mut self, done: bool, now: clock::Moment) {
        self.busy.writing = false;
        if !done {
            self.written = Some((0, now));
        }
    }
}
