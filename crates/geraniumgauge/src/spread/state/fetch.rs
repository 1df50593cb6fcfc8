//! Requests to other VMs and the answers to them.

use std::collections;
use std::net;
use std::time;

use rand::Rng as _;
use rand::seq::IndexedRandom as _;
use rand::seq::IteratorRandom as _;

use crate::rate;
use crate::spread;
use crate::spread::state;
use crate::time as clock;

/// Poll intervals without a new poll result after which another VM is asked.
const UPDATE_TIMEOUT_POLLS: std::ops::Range<f64> = 1.1..1.25;
/// Poll intervals between two requests while no new poll result is received.
const FETCH_INTERVAL_POLLS: f64 = 0.25;
/// Longest interval between requests of a VM that has no content yet.
const MAX_STARTING_FETCH_INTERVAL: time::Duration = time::Duration::from_millis(100);
/// Most requests in progress at a time.
const MAX_FETCHES: usize = 2;
/// Poll intervals for which a request may run before another VM is asked for the
/// same content.
const FETCH_TIMEOUT_POLLS: f64 = 0.25;
/// Average delay before a VM follows a redirect.
const REDIRECT_DELAY: time::Duration = time::Duration::from_millis(20);
/// Delay, in poll intervals, after which records are compared with the sender of an
/// update whose digest of members differs. It is random, so that not all receivers
/// ask the sender at once.
const COMPARISON_DELAY_POLLS: std::ops::Range<f64> = 0.05..0.5;
/// Most records that are sent to a VM that lacks them, per comparison.
const MAX_RECORDS: usize = 24;
/// Most records in one datagram.
const MAX_RECORDS_PER_DATAGRAM: usize = 12;

impl state::State {
    /// Schedules a request to another VM, unless a poll made after `since` is
    /// reported before then.
    pub(super) fn schedule_fetch(&mut self, since: clock::Moment) {
        self.fetch_at = since + self.random_delay(UPDATE_TIMEOUT_POLLS);
    }

    pub(super) fn fetch_if_due(&mut self, now: clock::Moment) {
        if let Some(wanted) = self.scheduled_fetch.take_if(|wanted| now >= wanted.at) {
            return self.fetch_content(wanted.from, now);
        }
        if !self.pending.fetches.is_empty() || now < self.fetch_at {
            return;
        }
        let delay = self.poll_interval.mul_f64(FETCH_INTERVAL_POLLS);
        let delay = if self.lacks_content() {
            delay.min(MAX_STARTING_FETCH_INTERVAL)
        } else {
            delay
        };
        self.fetch_at = now + delay.mul_f64(self.rng.random_range(0.5..1.5));
        // Content that a whole data centre needs crosses the expensive links
        // between data centres only once. A seed may be in any data centre, but it
        // knows the VMs of this one.
        let late = now.since(self.started) >= self.poll_interval.mul_f64(FETCH_INTERVAL_POLLS);
        let remote = self.random_vm(false).filter(|_| late);
        if let Some(from) = self.random_vm(true).or(remote) {
            return self.fetch(from, false, false, now);
        }
        if let Some(from) = self.random_seed() {
            self.fetch(from, true, false, now);
        }
    }

    pub(super) fn lacks_content(&self) -> bool {
        self.position.revision.is_none() || self.position.config.is_none()
    }

    fn random_seed(&mut self) -> Option<net::SocketAddr> {
        let members = self.members.others().map(|member| member.address);
        let seeds = self.seeds.iter().copied();
        seeds.chain(members).choose(&mut self.rng)
    }

    fn fetch(&mut self, from: net::SocketAddr, members_only: bool, full: bool, now: clock::Moment) {
        let running = state::RunningFetch {
            members_only,
            full,
            at: now,
        };
        self.pending.fetches.insert(from, running);
        let fetch = spread::Fetch {
            member: self.members.own().clone(),
            position: self.position,
            members: self.members.digest(),
            members_only,
            full,
            knows_no_other: self.members.count() == 1,
        };
        self.actions.push(state::Action::Fetch { from, fetch });
    }

    /// Requests missing content from the sender of an update. If another VM has
    /// already been asked, it gets some time first, since two answers would share
    /// this VM's bandwidth. A VM that has no content yet doesn't wait, because the other
    /// VM may be down.
    pub(super) fn fetch_content(&mut self, from: net::SocketAddr, now: clock::Moment) {
        let fetches = &self.pending.fetches;
        let latest = fetches.values().filter(|running| !running.members_only);
        let latest = latest.map(|running| running.at).max();
        let turn = latest.map(|at| at + self.poll_interval.mul_f64(FETCH_TIMEOUT_POLLS));
        let delay = turn.filter(|at| now < *at && !self.lacks_content());
        let busy = fetches.len() >= MAX_FETCHES || fetches.contains_key(&from);
        if let Some(at) = delay.or(busy.then_some(now)) {
            self.scheduled_fetch = Some(state::ScheduledFetch { from, at });
        } else {
            self.fetch(from, false, false, now);
            if self.is_behind() {
                self.await_answer(now);
            }
        }
    }

    /// Handles the answer of a VM that has newer content but no bandwidth left
    /// for it: schedules a request to one of the VMs that it has served, or to itself
    /// once it has bandwidth again.
    fn follow_redirect(
        &mut self,
        from: net::SocketAddr,
        redirect: &spread::Redirect,
        now: clock::Moment,
    ) {
        let own = self.members.own().address;
        let others = redirect.vms.iter().copied().filter(|vm| *vm != own);
        let choices: Vec<_> = others.chain([from]).collect();
        let weigh = |vm: &net::SocketAddr| self.members.cores(vm);
        let choice = choices.choose_weighted(&mut self.rng, weigh);
        let choice = choice.copied().unwrap_or(from);
        let delay = if choice == from {
            redirect.retry_after.min(self.poll_interval)
        } else {
            REDIRECT_DELAY
        };
        let at = now + delay.mul_f64(self.rng.random_range(0.5..1.5));
        self.scheduled_fetch = Some(state::ScheduledFetch { from: choice, at });
        self.await_answer(at);
    }

    /// Schedules a comparison of records with a VM that knows other VMs than this
    /// one.
    pub(super) fn schedule_comparison(&mut self, from: net::SocketAddr, now: clock::Moment) {
        if self.comparison.is_none() {
            self.comparison = Some((now + self.random_delay(COMPARISON_DELAY_POLLS), from));
        }
    }

    pub(super) fn compare_records(&mut self, now: clock::Moment) {
        if !self.pending.fetches.is_empty() {
            return;
        }
        if let Some((_, from)) = self.comparison.filter(|(at, _)| now >= *at) {
            self.comparison = None;
            self.fetch(from, true, false, now);
        }
    }

    /// Takes the answer of another VM, which took `took`; `None` if there was none.
    /// [`Self::set_position`] has to be called first with the content of the
    /// answer.
    pub fn fetched(
        &mut self,
        from: net::SocketAddr,
        answer: Option<&spread::Answer>,
        took: time::Duration,
        now: clock::Moment,
    ) {
        let running = self.pending.fetches.remove(&from);
        let full = running.is_some_and(|running| running.full);
        self.fetch_ended = true;
        match answer {
            Some(answer) => self.apply_answer(from, answer, full, took, now),
            None => {
                self.deferred = self
                    .deferred
                    .take()
                    .filter(|deferred| deferred.from != from);
            }
        }
    }

    fn apply_answer(
        &mut self,
        from: net::SocketAddr,
        answer: &spread::Answer,
        full: bool,
        took: time::Duration,
        now: clock::Moment,
    ) {
        let summary = &answer.summary;
        self.note_reported_vms(summary.vms);
        let is_new = self.merge(answer.records.iter().cloned(), "another VM's answer", now);
        if is_new && self.lacks_content() && summary.position.revision.is_some() {
            // The answer brought VMs of this data centre, which can be asked at
            // once.
            self.fetch_at = now;
        }
        if !self.announced && self.members.count() > 1 {
            self.announced = true;
            self.announce();
        }
        if summary.members != self.members.digest() && !answer.records.is_empty() {
            self.send_records(from, answer, now);
        }
        if self.note_newer(summary, now) {
            if let Some(redirect) = &answer.redirect {
                return self.follow_redirect(from, redirect, now);
            }
            // The changes may not have led to the reported position. Content that a
            // `members_only` answer left out is fetched from this data centre.
            if answer.registrations.is_some() && !full {
                self.fetch(from, false, true, now);
            }
            return;
        }
        self.rely_on_others(now);
        if let Some(mut poll) = summary.poll.clone() {
            poll.age += took;
            self.apply_poll(&poll, now);
        }
        self.forward_deferred(now);
    }

    /// Sends another VM the records that its answer lacked.
    fn send_records(&mut self, to: net::SocketAddr, answer: &spread::Answer, now: clock::Moment) {
        let received: collections::HashSet<_> = answer
            .records
            .iter()
            .map(|(member, _)| (&member.vm, member.incarnation))
            .collect();
        let all = self.members.records(now);
        let lacking =
            all.filter(|(member, _)| !received.contains(&(&member.vm, member.incarnation)));
        let lacking = lacking.choose_multiple(&mut self.rng, MAX_RECORDS);
        for records in lacking.chunks(MAX_RECORDS_PER_DATAGRAM) {
            let records = records
                .iter()
                .map(|(member, age)| ((*member).clone(), *age));
            let datagram = spread::Datagram::Hello(records.collect());
            let to = vec![to];
            self.actions.push(state::Action::Send { to, datagram });
        }
    }

    /// Answers the request of another VM, except for registrations and
    /// configuration, which the caller adds.
    pub fn answer(&mut self, fetch: &spread::Fetch, now: clock::Moment) -> spread::Answer {
        let requester = (fetch.member.clone(), time::Duration::ZERO);
        if self.merge([requester], "another VM's request", now) {
            self.schedule_broadcast(now);
        }
        let same = fetch.members == self.members.digest();
        let requester = &fetch.member;
        let own = self.members.own();
        // A VM that knows no other learns the remaining records from its own data
        // centre, not over the expensive links between data centres.
        let local_only = fetch.knows_no_other && requester.data_centre != own.data_centre;
        let wanted = |member: &spread::Member| {
            let local = member.data_centre == requester.data_centre;
            !local_only || local || member.cores > requester.cores || member.vm == own.vm
        };
        let records = self.members.records(now);
        let records = records.filter(|(member, _)| !same && wanted(member));
        spread::Answer {
            summary: self.summary(now),
            records: records.map(|(member, age)| (member.clone(), age)).collect(),
            config: None,
            registrations: None,
            redirect: None,
        }
    }

    /// Admits an answer of `size` bytes to a request. A returned reservation
    /// holds bandwidth until [`Self::release`] is called; small answers need none.
    /// VMs that serve more VMs than most are admitted first: those with more cores,
    /// and those that fetch for another data centre. So are VMs that have no
    /// content yet.
    ///
    /// # Errors
    ///
    /// Returns where to ask instead if the bandwidth for answers is used up.
    pub fn admit(
        &mut self,
        fetch: &spread::Fetch,
        size: rate::Bytes,
        now: clock::Moment,
    ) -> Result<Option<spread::ReservationId>, spread::Redirect> {
        let requester = &fetch.member;
        let has_config = fetch.position.config.is_some();
        let new = self.answers.is_content_new(now);
        let must_wait =
            new && has_config && self.is_local(requester) && self.has_fewest_cores(requester);
        let started = self.answers.begin(requester.address, size, must_wait, now);
        started.map_err(|mut redirect| {
            // The content should cross the expensive links between data centres
            // only once, so only VMs of the requester's data centre are named.
            let data_centre = &requester.data_centre;
            let local = |vm: &net::SocketAddr| self.members.data_centre(vm) == Some(data_centre);
            redirect.vms.retain(local);
            redirect
        })
    }

    /// Returns whether no VM of this data centre has fewer cores, and there is a VM
    /// that serves more VMs: one with more cores, or in another data centre.
    pub(super) fn has_fewest_cores(&self, requester: &spread::Member) -> bool {
        let mut others = self.members.others();
        let more = others.any(|vm| !self.is_local(vm) || vm.cores > requester.cores);
        let mut local = self.members.others().filter(|vm| self.is_local(vm));
        more && local.all(|vm| vm.cores >= requester.cores)
    }

    /// Releases the bandwidth that was reserved for an answer, once it has been sent or
    /// abandoned.
    pub fn release(&mut self, reservation: spread::ReservationId, now: clock::Moment) {
        let Some(waiting) = self.answers.end(reservation) else {
            return;
        };
        if waiting.is_empty() {
            self.offer(1, now);
        } else {
            self.offer_to(waiting, now);
        }
    }
}
