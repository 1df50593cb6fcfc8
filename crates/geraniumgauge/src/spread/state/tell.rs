//! Sending, receiving and forwarding updates.

use std::collections;
use std::net;

use rand::seq::IteratorRandom as _;
use rand::seq::SliceRandom as _;

use crate::ids;
use crate::spread;
use crate::spread::state;
use crate::time as clock;

/// Largest fleet in which an update is sent to all VMs directly.
const SMALL: usize = 16;
/// Poll intervals after which the backup VM of a data centre handles an update that
/// the primary one should have forwarded.
const SECOND: f64 = 1.0 / 16.0;
/// Number of VMs that are notified by a VM that has received a new configuration:
/// if no VM of its data centre has fewer cores, and otherwise.
const OFFERS: (usize, usize) = (2, 8);
/// Delay, in poll intervals, in which changes of the fleet are collected for one
/// update.
const GATHER: f64 = 1.0 / 8.0;

impl state::State {
    /// Handles a datagram from another VM.
    pub fn heard(&mut self, from: net::SocketAddr, datagram: spread::Datagram, now: clock::Moment) {
        let from = match &datagram {
            spread::Datagram::Update(update) => self.members.address(&update.vm).unwrap_or(from),
            spread::Datagram::Hello(_) | spread::Datagram::Blamed(_) => from,
        };
        match datagram {
            spread::Datagram::Update(update) if update.pass == spread::Pass::Second => {
                self.second = Some(state::Owed {
                    update,
                    from,
                    heard: now,
                });
            }
            spread::Datagram::Update(update) => self.take_update(from, update, now),
            spread::Datagram::Hello(records) => {
                if self.merge(records, "a VM's own greeting", now) {
                    self.tell_soon(now);
                }
            }
            spread::Datagram::Blamed(_) => {}
        }
    }

    fn take_update(&mut self, from: net::SocketAddr, update: spread::Update, now: clock::Moment) {
        let summary = &update.summary;
        self.hear_vms(summary.vms);
        if summary.members != self.members.digest() {
            self.differs(from, now);
        }
        let lacks = self.note_lack(summary, now);
        if update.away {
            self.hear_away(&update.vm, now);
        }
        if let Some(look) = &summary.look {
            self.members.looked(&look.vm, now);
        }
        let first = update.pass == spread::Pass::First;
        if lacks {
            self.want(from, now);
            if summary.look.is_some() {
                self.await_answer(now);
            }
            if first {
                self.owed = Some(state::Owed {
                    update,
                    from,
                    heard: now,
                });
            }
            return;
        }
        if let Some(look) = &summary.look {
            self.take_look(look, now);
        }
        if first {
            self.pass_on(update.changes, update.away, now);
        }
    }

    /// Returns when the backup VM handles an update.
    pub(super) fn second_at(&self, second: &state::Owed) -> clock::Moment {
        second.heard + self.period.mul_f64(SECOND)
    }

    pub(super) fn pass_second(&mut self, now: clock::Moment) {
        let due = self.second.as_ref().map(|second| self.second_at(second));
        if due.is_none_or(|due| now < due) {
            return;
        }
        let Some(second) = self.second.take() else {
            return;
        };
        let mut update = second.update;
        let summary = &mut update.summary;
        let known = summary.look.as_ref().is_none_or(|look| {
            let known = self.numbers.get(&look.vm);
            known.is_some_and(|known| *known >= look.number)
        });
        if known && !self.lacks(&summary.holds, summary.sure) && !update.away {
            return;
        }
        if let Some(look) = &mut summary.look {
            look.age += now.since(second.heard);
        }
        update.pass = spread::Pass::First;
        // The changes may not apply to what this VM holds by now.
        update.changes = None;
        self.take_update(second.from, update, now);
    }

    /// Forwards a deferred update if this VM now holds the content that it
    /// mentions.
    pub(super) fn pass_owed(&mut self, now: clock::Moment) {
        let Some(owed) = self.owed.take() else {
            return;
        };
        let summary = owed.update.summary;
        if self.lacks(&summary.holds, summary.sure) {
            return;
        }
        if let Some(look) = summary.look {
            let age = look.age + now.since(owed.heard);
            self.take_look(&spread::Look { age, ..look }, now);
        }
        self.pass_on(None, false, now);
    }

    /// Sends an update to the VMs of this data centre. `unavailable` is copied from
    /// the update that is forwarded.
    fn pass_on(&mut self, changes: Option<spread::Changes>, away: bool, now: clock::Moment) {
        let near = self.members.others().filter(|member| self.is_near(member));
        let to = near.map(|member| member.address).collect();
        let update = spread::Update {
            away,
            ..self.update(changes, now)
        };
        self.send(to, update, spread::Pass::None);
    }

    /// Notifies some VMs of a configuration that this VM has just received.
    pub(super) fn offer_news(&mut self, now: clock::Moment) {
        let is_least = self.is_least(self.members.own());
        let count = if is_least { OFFERS.0 } else { OFFERS.1 };
        self.offer(count, now);
    }

    /// Notifies some VMs of this data centre that this one has a configuration that
    /// they may wait for, and capacity on its link.
    pub(super) fn offer(&mut self, count: usize, now: clock::Moment) {
        let own = self.members.own().data_centre.clone();
        let others = self.members.others();
        let near = others.filter(|vm| vm.data_centre == own);
        let to = near.map(|vm| vm.address);
        let to = to.choose_multiple(&mut self.rng, count);
        self.offer_to(to, now);
    }

    pub(super) fn offer_to(&mut self, to: Vec<net::SocketAddr>, now: clock::Moment) {
        let update = self.update(None, now);
        self.send(to, update, spread::Pass::None);
    }

    /// Sends what this VM knows to the fleet.
    pub(super) fn tell(&mut self, changes: Option<spread::Changes>, now: clock::Moment) {
        self.told_at = Some(now);
        self.tell_at = None;
        let update = self.update(changes, now);
        let known: collections::HashSet<net::SocketAddr> =
            self.members.others().map(|member| member.address).collect();
        let seeds = self.seeds.iter().copied();
        let strangers = seeds.filter(|seed| !known.contains(seed)).collect();
        self.send(strangers, update.clone(), spread::Pass::First);
        if known.len() <= SMALL {
            return self.send(known.into_iter().collect(), update, spread::Pass::None);
        }
        let mut places: collections::BTreeMap<ids::DataCentre, Vec<(net::SocketAddr, f64)>> =
            collections::BTreeMap::new();
        for member in self.members.others() {
            let place = places.entry(member.data_centre.clone()).or_default();
            place.push((member.address, member.power));
        }
        let near = places.remove(&self.members.own().data_centre);
        let near = near.unwrap_or_default().into_iter();
        let near = near.map(|(address, _)| address).collect();
        self.send(near, update.clone(), spread::Pass::None);
        let (mut first, mut second) = (Vec::new(), Vec::new());
        for (_, mut vms) in places {
            // VMs with more cores have faster links, and can serve many others at a
            // time.
            vms.shuffle(&mut self.rng);
            vms.sort_by(|(_, one), (_, other)| other.total_cmp(one));
            let mut chosen = vms.into_iter().map(|(address, _)| address);
            first.extend(chosen.next());
            second.extend(chosen.next());
        }
        self.send(first, update.clone(), spread::Pass::First);
        self.send(second, update, spread::Pass::Second);
    }

    fn send(&mut self, to: Vec<net::SocketAddr>, update: spread::Update, pass: spread::Pass) {
        if !to.is_empty() {
            let datagram = spread::Datagram::Update(spread::Update { pass, ..update });
            self.actions.push(state::Action::Send { to, datagram });
        }
    }

    /// Returns what this VM knows, as an update.
    fn update(&self, changes: Option<spread::Changes>, now: clock::Moment) -> spread::Update {
        spread::Update {
            vm: self.members.own().vm.clone(),
            summary: self.summary(now),
            away: self.doubts,
            pass: spread::Pass::None,
            changes,
        }
    }

    /// Sends the changes that this VM's watch has received. [`Self::set_position`]
    /// has to be called first with their result.
    pub fn watched(&mut self, changes: Option<spread::Changes>, now: clock::Moment) {
        self.tell(changes, now);
    }

    /// Schedules an update about new VMs, if this VM is a poller.
    pub(super) fn tell_soon(&mut self, now: clock::Moment) {
        if self.duty_since.is_some() && self.tell_at.is_none() {
            self.tell_at = Some(now + self.period.mul_f64(GATHER));
        }
    }

    pub(super) fn tell_if_due(&mut self, now: clock::Moment) {
        if self.tell_at.is_some_and(|at| now >= at) {
            self.tell(None, now);
        }
    }
}
