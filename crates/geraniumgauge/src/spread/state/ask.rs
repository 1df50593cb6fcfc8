//! Asking other VMs, and what they answer.

use std::collections;
use std::net;
use std::time;

use rand::Rng as _;
use rand::seq::IteratorRandom as _;

use crate::spread;
use crate::spread::state;
use crate::time as clock;

/// Parts of the look period without news after which another VM is asked.
const UNHEARD: std::ops::Range<f64> = 1.1..1.25;
/// Part of the look period after which one is asked again that had no news.
const AGAIN: f64 = 0.25;
/// Longest pause between questions of a VM that knows nothing yet.
const STARTING: time::Duration = time::Duration::from_millis(100);
/// VMs that are asked at a time.
const FETCHES: usize = 2;
/// Parts of the look period in which records are compared after an update showed
/// that they differ, so that not all ask the update's sender at once.
const COMPARE: std::ops::Range<f64> = 0.05..0.5;
/// Records that are told to a VM that lacks them, with one comparison.
const RECORDS: usize = 24;
/// Records in one datagram.
const IN_ONE: usize = 12;

impl state::State {
    /// Draws when another VM is asked, if nothing is heard after `since`.
    pub(super) fn draw_ask(&mut self, since: clock::Moment) {
        self.ask_at = since + self.part(UNHEARD);
    }

    pub(super) fn ask_if_due(&mut self, now: clock::Moment) {
        if let Some(from) = self.wanted.take() {
            return self.want(from);
        }
        if !self.busy.fetches.is_empty() || now < self.ask_at {
            return;
        }
        let again = self.period.mul_f64(AGAIN);
        let again = if self.knows_nothing() {
            again.min(STARTING)
        } else {
            again
        };
        self.ask_at = now + again.mul_f64(self.rng.random_range(0.5..1.5));
        // What all VMs of a data centre need comes over the dear links once;
        // a seed may be anywhere, but knows who is near.
        let late = now.since(self.started) >= self.period.mul_f64(AGAIN);
        let far = self.any(false).filter(|_| late);
        if let Some(from) = self.any(true).or(far) {
            return self.fetch(from, false, false);
        }
        if let Some(from) = self.any_seed() {
            self.fetch(from, true, false);
        }
    }

    fn knows_nothing(&self) -> bool {
        self.holds.revision.is_none() || self.holds.config.is_none()
    }

    fn any_seed(&mut self) -> Option<net::SocketAddr> {
        let members = self.members.others().map(|member| member.address);
        let seeds = self.seeds.iter().copied();
        seeds.chain(members).choose(&mut self.rng)
    }

    fn fetch(&mut self, from: net::SocketAddr, brief: bool, whole: bool) {
        self.busy.fetches.insert(from, whole);
        let fetch = spread::Fetch {
            member: self.members.own().clone(),
            holds: self.holds,
            members: self.members.digest(),
            brief,
            whole,
            alone: self.members.count() == 1,
        };
        self.actions.push(state::Action::Fetch { from, fetch });
    }

    /// Asks the sender of an update for what this VM lacks, also while it waits for
    /// the answer of another one, which may be without power.
    pub(super) fn want(&mut self, from: net::SocketAddr) {
        let fetches = &self.busy.fetches;
        if fetches.len() >= FETCHES || fetches.contains_key(&from) {
            self.wanted = Some(from);
        } else {
            self.fetch(from, false, false);
        }
    }

    /// An update showed that its sender knows other VMs.
    pub(super) fn differs(&mut self, from: net::SocketAddr, now: clock::Moment) {
        if self.compare.is_none() {
            self.compare = Some((now + self.part(COMPARE), from));
        }
    }

    pub(super) fn compare_records(&mut self, now: clock::Moment) {
        if !self.busy.fetches.is_empty() {
            return;
        }
        if let Some((_, from)) = self.compare.filter(|(at, _)| now >= *at) {
            self.compare = None;
            self.fetch(from, true, false);
        }
    }

    /// Another VM has answered after `took`, and [`Self::hold`] was told what
    /// came of it; or it hasn't.
    pub fn answered(
        &mut self,
        from: net::SocketAddr,
        answer: Option<&spread::Answer>,
        took: time::Duration,
        now: clock::Moment,
    ) {
        let whole = self.busy.fetches.remove(&from).unwrap_or_default();
        self.asked = true;
        match answer {
            Some(answer) => self.take_answer(from, answer, whole, took, now),
            None => self.owed = self.owed.take().filter(|owed| owed.from != from),
        }
    }

    fn take_answer(
        &mut self,
        from: net::SocketAddr,
        answer: &spread::Answer,
        whole: bool,
        took: time::Duration,
        now: clock::Moment,
    ) {
        let summary = &answer.summary;
        self.hear_vms(summary.vms);
        let news = self.merge(answer.records.iter().cloned(), "another VM's answer", now);
        if news && self.knows_nothing() && summary.holds.revision.is_some() {
            // Those near are known now.
            self.ask_at = now;
        }
        if !self.greeted && self.members.count() > 1 {
            self.greeted = true;
            self.greet();
        }
        if summary.members != self.members.digest() && !answer.records.is_empty() {
            self.tell_records(from, answer, now);
        }
        if self.note_lack(summary) {
            // Changes may not have led there; what a brief answer lacks is asked
            // for near.
            if answer.registrations.is_some() && !whole {
                self.fetch(from, false, true);
            }
            return;
        }
        if let Some(mut look) = summary.look.clone() {
            look.age += took;
            self.take_look(&look, now);
        }
        self.pass_owed(now);
    }

    /// Tells a VM of those that its answer lacked.
    fn tell_records(&mut self, to: net::SocketAddr, answer: &spread::Answer, now: clock::Moment) {
        let told: collections::HashSet<_> = answer
            .records
            .iter()
            .map(|(member, _)| (&member.vm, member.incarnation))
            .collect();
        let all = self.members.records(now);
        let lacking = all.filter(|(member, _)| !told.contains(&(&member.vm, member.incarnation)));
        let lacking = lacking.choose_multiple(&mut self.rng, RECORDS);
        for records in lacking.chunks(IN_ONE) {
            let records = records
                .iter()
                .map(|(member, age)| ((*member).clone(), *age));
            let datagram = spread::Datagram::Hello(records.collect());
            let to = vec![to];
            self.actions.push(state::Action::Send { to, datagram });
        }
    }

    /// A VM asks this one. What it gets beside the registrations and the
    /// configuration, which are not this module's to keep.
    pub fn asked(&mut self, fetch: &spread::Fetch, now: clock::Moment) -> spread::Answer {
        let asker = (fetch.member.clone(), time::Duration::ZERO);
        if self.merge([asker], "another VM's question", now) {
            self.tell_soon(now);
        }
        let same = fetch.members == self.members.digest();
        let asker = &fetch.member;
        let own = self.members.own();
        // The rest is learned from those near, not over the dear links.
        let few = fetch.alone && asker.data_centre != own.data_centre;
        let wanted = |member: &spread::Member| {
            let near = member.data_centre == asker.data_centre;
            !few || near || member.power > asker.power || member.vm == own.vm
        };
        let records = self.members.records(now);
        let records = records.filter(|(member, _)| !same && wanted(member));
        spread::Answer {
            summary: self.summary(now),
            records: records.map(|(member, age)| (member.clone(), age)).collect(),
            config: None,
            registrations: None,
        }
    }
}
