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
const MAX_DIRECT_FLEET: usize = 16;
/// Poll intervals after which the backup VM of a data centre handles an update that
/// the primary one should have forwarded.
const BACKUP_DELAY_POLLS: f64 = 1.0 / 16.0;
/// Number of VMs that a VM notifies of a new configuration if no VM of its data centre
/// has fewer cores.
const CONFIG_OFFERS_FROM_SMALLEST: usize = 2;
/// Number of VMs that any other VM notifies of a new configuration.
const CONFIG_OFFERS_FROM_OTHERS: usize = 8;
/// Delay, in poll intervals, in which changes of the fleet are collected for one
/// update.
const BROADCAST_DELAY_POLLS: f64 = 1.0 / 8.0;

impl state::State {
    /// Handles a datagram from another VM.
    pub fn receive(
        &mut self,
        from: net::SocketAddr,
        datagram: spread::Datagram,
        now: clock::Moment,
    ) {
        let from = match &datagram {
            spread::Datagram::Update(update) => self.members.address(&update.vm).unwrap_or(from),
            spread::Datagram::Hello(_) | spread::Datagram::CrashSuspect(_) => from,
        };
        match datagram {
            spread::Datagram::Update(update) if update.forwarding == spread::Forwarding::Backup => {
                self.backup = Some(state::Deferred {
                    update,
                    from,
                    received: now,
                });
            }
            spread::Datagram::Update(update) => self.apply_update(from, update, now),
            spread::Datagram::Hello(records) => {
                if self.merge(records, "a VM's announcement", now) {
                    self.schedule_broadcast(now);
                }
            }
            spread::Datagram::CrashSuspect(_) => {}
        }
    }

    fn apply_update(&mut self, from: net::SocketAddr, update: spread::Update, now: clock::Moment) {
        let summary = &update.summary;
        self.note_reported_vms(summary.vms);
        if summary.members != self.members.digest() {
            self.schedule_comparison(from, now);
        }
        let lacks = self.note_newer(summary, now);
        if update.unavailable {
            self.receive_unavailable(&update.vm, now);
        }
        if let Some(poll) = &summary.poll {
            self.members.polled(&poll.vm, now);
        }
        let must_forward = update.forwarding == spread::Forwarding::Primary;
        if lacks {
            self.fetch_content(from, now);
            if summary.poll.is_some() {
                self.await_answer(now);
            }
            if must_forward {
                self.deferred = Some(state::Deferred {
                    update,
                    from,
                    received: now,
                });
            }
            return;
        }
        if let Some(poll) = &summary.poll {
            self.apply_poll(poll, now);
        }
        if must_forward {
            self.forward(update.changes, update.unavailable, now);
        }
    }

    /// Returns when the backup VM handles an update.
    pub(super) fn backup_at(&self, backup: &state::Deferred) -> clock::Moment {
        backup.received + self.poll_interval.mul_f64(BACKUP_DELAY_POLLS)
    }

    pub(super) fn forward_as_backup(&mut self, now: clock::Moment) {
        let due = self.backup.as_ref().map(|backup| self.backup_at(backup));
        if due.is_none_or(|due| now < due) {
            return;
        }
        let Some(backup) = self.backup.take() else {
            return;
        };
        let mut update = backup.update;
        let summary = &mut update.summary;
        let known = summary.poll.as_ref().is_none_or(|poll| {
            let known = self.poll_numbers.get(&poll.vm);
            known.is_some_and(|known| *known >= poll.number)
        });
        if known && !self.lacks(&summary.position, summary.verified) && !update.unavailable {
            return;
        }
        if let Some(poll) = &mut summary.poll {
            poll.age += now.since(backup.received);
        }
        update.forwarding = spread::Forwarding::Primary;
        // The changes may not apply to what this VM holds by now.
        update.changes = None;
        self.apply_update(backup.from, update, now);
    }

    /// Forwards a deferred update if this VM now holds the content that it
    /// mentions.
    pub(super) fn forward_deferred(&mut self, now: clock::Moment) {
        let Some(deferred) = self.deferred.take() else {
            return;
        };
        let summary = deferred.update.summary;
        if self.lacks(&summary.position, summary.verified) {
            return;
        }
        if let Some(poll) = summary.poll {
            let age = poll.age + now.since(deferred.received);
            self.apply_poll(&spread::Poll { age, ..poll }, now);
        }
        self.forward(None, false, now);
    }

    /// Sends an update to the VMs of this data centre. `unavailable` is copied from
    /// the update that is forwarded.
    fn forward(&mut self, changes: Option<spread::Changes>, unavailable: bool, now: clock::Moment) {
        let local = self.members.others().filter(|member| self.is_local(member));
        let to = local.map(|member| member.address).collect();
        let update = spread::Update {
            unavailable,
            ..self.update(changes, now)
        };
        self.send(to, update, spread::Forwarding::None);
    }

    /// Notifies some VMs of a configuration that this VM has just received.
    pub(super) fn offer_config(&mut self, now: clock::Moment) {
        let has_fewest_cores = self.has_fewest_cores(self.members.own());
        let count = if has_fewest_cores {
            CONFIG_OFFERS_FROM_SMALLEST
        } else {
            CONFIG_OFFERS_FROM_OTHERS
        };
        self.offer(count, now);
    }

    /// Notifies some VMs of this data centre that this one has a configuration that
    /// they may wait for, and bandwidth for sending it.
    pub(super) fn offer(&mut self, count: usize, now: clock::Moment) {
        let own = self.members.own().data_centre.clone();
        let others = self.members.others();
        let local = others.filter(|vm| vm.data_centre == own);
        let to = local.map(|vm| vm.address);
        let to = to.choose_multiple(&mut self.rng, count);
        self.offer_to(to, now);
    }

    pub(super) fn offer_to(&mut self, to: Vec<net::SocketAddr>, now: clock::Moment) {
        let update = self.update(None, now);
        self.send(to, update, spread::Forwarding::None);
    }

    /// Sends what this VM knows to the fleet.
    pub(super) fn broadcast(&mut self, changes: Option<spread::Changes>, now: clock::Moment) {
        self.last_broadcast = Some(now);
        self.broadcast_at = None;
        let update = self.update(changes, now);
        let known: collections::HashSet<net::SocketAddr> =
            self.members.others().map(|member| member.address).collect();
        let seeds = self.seeds.iter().copied();
        let unknown_seeds = seeds.filter(|seed| !known.contains(seed)).collect();
        self.send(unknown_seeds, update.clone(), spread::Forwarding::Primary);
        if known.len() <= MAX_DIRECT_FLEET {
            return self.send(
                known.into_iter().collect(),
                update,
                spread::Forwarding::None,
            );
        }
        let mut data_centres: collections::BTreeMap<ids::DataCentre, Vec<(net::SocketAddr, f64)>> =
            collections::BTreeMap::new();
        for member in self.members.others() {
            let vms = data_centres.entry(member.data_centre.clone()).or_default();
            vms.push((member.address, member.cores));
        }
        let local = data_centres.remove(&self.members.own().data_centre);
        let local = local.unwrap_or_default().into_iter();
        let local = local.map(|(address, _)| address).collect();
        self.send(local, update.clone(), spread::Forwarding::None);
        let (mut primary, mut backup) = (Vec::new(), Vec::new());
        for (_, mut vms) in data_centres {
            // VMs with more cores have faster links, and can serve many others at a
            // time.
            vms.shuffle(&mut self.rng);
            vms.sort_by(|(_, one), (_, other)| other.total_cmp(one));
            let mut chosen = vms.into_iter().map(|(address, _)| address);
            primary.extend(chosen.next());
            backup.extend(chosen.next());
        }
        self.send(primary, update.clone(), spread::Forwarding::Primary);
        self.send(backup, update, spread::Forwarding::Backup);
    }

    fn send(
        &mut self,
        to: Vec<net::SocketAddr>,
        update: spread::Update,
        forwarding: spread::Forwarding,
    ) {
        if !to.is_empty() {
            let datagram = spread::Datagram::Update(spread::Update {
                forwarding,
                ..update
            });
            self.actions.push(state::Action::Send { to, datagram });
        }
    }

    /// Returns what this VM knows, as an update.
    fn update(&self, changes: Option<spread::Changes>, now: clock::Moment) -> spread::Update {
        spread::Update {
            vm: self.members.own().vm.clone(),
            summary: self.summary(now),
            unavailable: self.found_unavailable,
            forwarding: spread::Forwarding::None,
            changes,
        }
    }

    /// Sends the changes that this VM's watch has received. [`Self::set_position`]
    /// has to be called first with their result.
    pub fn watch_changed(&mut self, changes: Option<spread::Changes>, now: clock::Moment) {
        self.broadcast(changes, now);
    }

    /// Schedules an update about new VMs, if this VM is a poller.
    pub(super) fn schedule_broadcast(&mut self, now: clock::Moment) {
        if self.poller_since.is_some() && self.broadcast_at.is_none() {
            self.broadcast_at = Some(now + self.poll_interval.mul_f64(BROADCAST_DELAY_POLLS));
        }
    }

    pub(super) fn broadcast_if_due(&mut self, now: clock::Moment) {
        if self.broadcast_at.is_some_and(|at| now >= at) {
            self.broadcast(None, now);
        }
    }
}
