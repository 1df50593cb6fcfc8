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
const UNHEARD: std::ops::Range<f64> = 1.1..1.25;
/// Poll intervals between two requests while no new poll result is received.
const AGAIN: f64 = 0.25;
/// Longest interval between requests of a VM that has no content yet.
const STARTING: time::Duration = time::Duration::from_millis(100);
/// Most requests in progress at a time.
const FETCHES: usize = 2;
/// Poll intervals for which a request may run before another VM is asked for the
/// same content.
const PATIENCE: f64 = 0.25;
/// Average delay before a VM follows a redirect.
const ELSEWHERE: time::Duration = time::Duration::from_millis(20);
/// Delay, in poll intervals, after which records are compared with the sender of an
/// update whose digest of members differs. It is random, so that not all receivers
/// ask the sender at once.
const COMPARE: std::ops::Range<f64> = 0.05..0.5;
/// Most records that are sent to a VM that lacks them, per comparison.
const RECORDS: usize = 24;
/// Most records in one datagram.
const IN_ONE: usize = 12;

impl state::State {
    /// Schedules a request to another VM, unless a poll made after `since` is
    /// reported before then.
    pub(super) fn draw_ask(&mut self, since: clock::Moment) {
        self.ask_at = since + self.part(UNHEARD);
    }

    pub(super) fn ask_if_due(&mut self, now: clock::Moment) {
        if let Some(wanted) = self.wanted.take_if(|wanted| now >= wanted.at) {
            return self.want(wanted.from, now);
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
        // Content that a whole data centre needs crosses the expensive links
        // between data centres only once. A seed may be in any data centre, but it
        // knows the VMs of this one.
        let late = now.since(self.started) >= self.period.mul_f64(AGAIN);
        let far = self.any(false).filter(|_| late);
        if let Some(from) = self.any(true).or(far) {
            return self.fetch(from, false, false, now);
        }
        if let Some(from) = self.any_seed() {
            self.fetch(from, true, false, now);
        }
    }

    pub(super) fn knows_nothing(&self) -> bool {
        self.holds.revision.is_none() || self.holds.config.is_none()
    }

    fn any_seed(&mut self) -> Option<net::SocketAddr> {
        let members = self.members.others().map(|member| member.address);
        let seeds = self.seeds.iter().copied();
        seeds.chain(members).choose(&mut self.rng)
    }

    fn fetch(&mut self, from: net::SocketAddr, brief: bool, whole: bool, now: clock::Moment) {
        let asked = state::Asked {
            brief,
            whole,
            at: now,
        };
        self.busy.fetches.insert(from, asked);
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

    /// Requests missing content from the sender of an update. If another VM has
    /// already been asked, it gets some time first, since two answers would share
    /// this VM's link. A VM that has no content yet doesn't wait, because the other
    /// VM may be down.
    pub(super) fn want(&mut self, from: net::SocketAddr, now: clock::Moment) {
        let fetches = &self.busy.fetches;
        let latest = fetches.values().filter(|asked| !asked.brief);
        let latest = latest.map(|asked| asked.at).max();
        let turn = latest.map(|at| at + self.period.mul_f64(PATIENCE));
        let wait = turn.filter(|at| now < *at && !self.knows_nothing());
        let busy = fetches.len() >= FETCHES || fetches.contains_key(&from);
        if let Some(at) = wait.or(busy.then_some(now)) {
            self.wanted = Some(state::Wanted { from, at });
        } else {
            self.fetch(from, false, false, now);
            if self.is_behind() {
                self.await_turn(now);
            }
        }
    }

    /// Handles the answer of a VM that has newer content but no capacity on its
    /// link: schedules a request to one of the VMs that it has served, or to itself
    /// once it has capacity.
    fn turn_to(
        &mut self,
        from: net::SocketAddr,
        elsewhere: &spread::Elsewhere,
        now: clock::Moment,
    ) {
        let own = self.members.own().address;
        let others = elsewhere.vms.iter().copied().filter(|vm| *vm != own);
        let choices: Vec<_> = others.chain([from]).collect();
        let weigh = |vm: &net::SocketAddr| self.members.power(vm);
        let choice = choices.choose_weighted(&mut self.rng, weigh);
        let choice = choice.copied().unwrap_or(from);
        let wait = if choice == from {
            elsewhere.after.min(self.period)
        } else {
            ELSEWHERE
        };
        let at = now + wait.mul_f64(self.rng.random_range(0.5..1.5));
        self.wanted = Some(state::Wanted { from: choice, at });
        self.await_turn(at);
    }

    /// Schedules a comparison of records with a VM that knows other VMs than this
    /// one.
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
            self.fetch(from, true, false, now);
        }
    }

    /// Takes the answer of another VM, which took `took`; `None` if there was none.
    /// [`Self::set_position`] has to be called first with the content of the
    /// answer.
    pub fn answered(
        &mut self,
        from: net::SocketAddr,
        answer: Option<&spread::Answer>,
        took: time::Duration,
        now: clock::Moment,
    ) {
        let asked = self.busy.fetches.remove(&from);
        let whole = asked.is_some_and(|asked| asked.whole);
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
            // The answer brought VMs of this data centre, which can be asked at
            // once.
            self.ask_at = now;
        }
        if !self.greeted && self.members.count() > 1 {
            self.greeted = true;
            self.greet();
        }
        if summary.members != self.members.digest() && !answer.records.is_empty() {
            self.tell_records(from, answer, now);
        }
        if self.note_lack(summary, now) {
            if let Some(elsewhere) = &answer.elsewhere {
                return self.turn_to(from, elsewhere, now);
            }
            // The changes may not have led to the reported position. Content that a
            // `members_only` answer left out is fetched from this data centre.
            if answer.registrations.is_some() && !whole {
                self.fetch(from, false, true, now);
            }
            return;
        }
        if let Some(mut look) = summary.look.clone() {
            look.age += took;
            self.take_look(&look, now);
        }
        self.pass_owed(now);
    }

    /// Sends another VM the records that its answer lacked.
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

    /// Answers the request of another VM, except for registrations and
    /// configuration, which the caller adds.
    pub fn asked(&mut self, fetch: &spread::Fetch, now: clock::Moment) -> spread::Answer {
        let asker = (fetch.member.clone(), time::Duration::ZERO);
        if self.merge([asker], "another VM's question", now) {
            self.tell_soon(now);
        }
        let same = fetch.members == self.members.digest();
        let asker = &fetch.member;
        let own = self.members.own();
        // A VM that knows no other learns the remaining records from its own data
        // centre, not over the expensive links between data centres.
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
            elsewhere: None,
        }
    }

    /// Admits an answer of `size` bytes to a request. A returned ticket reserves
    /// part of the link until [`Self::release`] is called; small answers need none.
    /// VMs that serve more VMs than most are admitted first: those with more cores,
    /// and those that fetch for another data centre. So are VMs that have no
    /// content yet.
    ///
    /// # Errors
    ///
    /// Returns where to ask instead if the link has no capacity.
    pub fn admit(
        &mut self,
        fetch: &spread::Fetch,
        size: rate::Bytes,
        now: clock::Moment,
    ) -> Result<Option<spread::Ticket>, spread::Elsewhere> {
        let asker = &fetch.member;
        let serves = fetch.holds.config.is_some();
        let new = self.sending.is_new(now);
        let waits = new && serves && self.is_near(asker) && self.is_least(asker);
        let begun = self.sending.begin(asker.address, size, waits, now);
        begun.map_err(|mut elsewhere| {
            // The content should cross the expensive links between data centres
            // only once, so only VMs of the requester's data centre are named.
            let place = &asker.data_centre;
            let near = |vm: &net::SocketAddr| self.members.data_centre(vm) == Some(place);
            elsewhere.vms.retain(near);
            elsewhere
        })
    }

    /// Returns whether no VM of this data centre has fewer cores, and some VM of
    /// the fleet serves more VMs.
    pub(super) fn is_least(&self, asker: &spread::Member) -> bool {
        let mut others = self.members.others();
        let more = others.any(|vm| !self.is_near(vm) || vm.power > asker.power);
        let mut near = self.members.others().filter(|vm| self.is_near(vm));
        more && near.all(|vm| vm.power >= asker.power)
    }

    /// Releases the part of the link that an answer used, once it has been sent or
    /// abandoned.
    pub fn told(&mut self, ticket: spread::Ticket, now: clock::Moment) {
        let Some(waiting) = self.sending.end(ticket) else {
            return;
        };
        if waiting.is_empty() {
            self.offer(1, now);
        } else {
            self.offer_to(waiting, now);
        }
    }
}
