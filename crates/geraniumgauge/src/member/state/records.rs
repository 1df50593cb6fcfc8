//! Membership records: merging received ones, refuting suspicions of this VM, and
//! declaring suspects dead.

use std::time;

use crate::ids;
use crate::member;
use crate::member::queue;
use crate::member::record;
use crate::member::state;
use crate::time as clock;

impl state::State {
    /// Merges a received record into the members.
    pub(super) fn apply_record(&mut self, received: record::Record, now: clock::Moment) {
        if received.vm == self.own.vm {
            return self.receive_own_record(&received);
        }
        let vm = received.vm.clone();
        let held = self.members.get(&vm).map(|entry| entry.record.clone());
        let new = match &held {
            Some(held) => held.merge(&received),
            None => Some(received),
        };
        let Some(new) = new else {
            return self.count_retransmission(&queue::Subject::Vm(vm));
        };
        let was_live = held.as_ref().is_some_and(record::Record::is_live);
        let was_leaving = held.as_ref().is_some_and(|held| held.leaving);
        self.urgent |= new.leaving && !was_leaving && was_live;
        self.view_changed |= was_live || new.is_live();
        let name_hash = state::name_hash(&vm);
        if let Some(held) = &held {
            self.digest.toggle(name_hash, held.fingerprint());
        }
        self.digest.toggle(name_hash, new.fingerprint());
        match (was_live, new.is_live()) {
            (false, true) => self.add_live(&new, held.is_some()),
            (true, false) => self.live -= 1,
            _ => {}
        }
        self.track_suspicion(&new, now);
        let died = (!new.is_live()).then_some(now);
        let held = self.members.get(&vm);
        let entry = state::Entry {
            was_live: new.is_live() || held.is_some_and(|entry| entry.was_live),
            listed_leaving: held.and_then(|entry| entry.listed_leaving),
            record: new,
            name_hash,
            died,
        };
        // Passed on by all, deaths would be remembered for good: each VM that hears
        // of one would remember it anew.
        if entry.was_live {
            self.queue.add(queue::Subject::Vm(vm.clone()));
        }
        self.members.insert(vm, entry);
    }

    /// Counts a member that is new or, if `returned`, was dead before.
    fn add_live(&mut self, new: &record::Record, returned: bool) {
        self.live += 1;
        self.probing.insert(&new.vm, &mut self.rng);
        if returned {
            self.returned.push(new.address);
        }
        if self.live == 1 {
            self.next_sync = self.last_tick;
        }
    }

    /// Starts or ends the time that a member has to refute a suspicion.
    fn track_suspicion(&mut self, new: &record::Record, now: clock::Moment) {
        if new.health == record::Health::Suspect {
            let deadline = now + self.suspicion_timeout();
            self.suspects.entry(new.vm.clone()).or_insert(deadline);
        } else {
            self.suspects.remove(&new.vm);
        }
    }

    /// Handles a record of this VM itself: refutes a suspicion, raises this VM's
    /// incarnation above an earlier one, or reports a duplicate name.
    fn receive_own_record(&mut self, received: &record::Record) {
        let incarnation = if received.incarnation > self.own.incarnation {
            if received.address != self.own.address && received.is_live() {
                if !std::mem::replace(&mut self.duplicate_name, true) {
                    self.actions
                        .push(state::Action::DuplicateName(received.address));
                }
                return;
            }
            // An earlier process of this VM ran with its clock ahead; this VM's
            // incarnation must be higher.
            ids::Incarnation(received.incarnation.0 + 1)
        } else {
            self.own.incarnation
        };
        let same_incarnation = received.incarnation == self.own.incarnation;
        let disputed = same_incarnation
            && received.health > record::Health::Alive
            && received.refutation >= self.own.refutation;
        if !disputed && incarnation == self.own.incarnation {
            return;
        }
        let refutation = if disputed { received.refutation + 1 } else { 0 };
        self.stats.refutations += 1;
        self.probing.raise_health_penalty();
        self.change_own(|own| {
            own.incarnation = incarnation;
            own.refutation = refutation;
        });
    }

    /// Changes this VM's own record and gossips it at once.
    pub(super) fn change_own(&mut self, change: impl FnOnce(&mut record::Record)) {
        let name_hash = state::name_hash(&self.own.vm);
        self.digest.toggle(name_hash, self.own.fingerprint());
        change(&mut self.own);
        self.digest.toggle(name_hash, self.own.fingerprint());
        self.queue.add(queue::Subject::Vm(self.own.vm.clone()));
        self.urgent = true;
        self.view_changed = true;
    }

    /// Declares suspects dead that have not refuted the suspicion in time, and
    /// removes members that have been dead for the tombstone lifetime.
    pub(super) fn expire_members(&mut self, now: clock::Moment) {
        let due = self
            .suspects
            .iter()
            .filter(|(_, deadline)| **deadline <= now);
        let due: Vec<_> = due.map(|(vm, _)| vm.clone()).collect();
        for vm in due {
            self.stats.deaths += 1;
            self.set_health(&vm, record::Health::Dead, now);
        }
        let old = |entry: &state::Entry| {
            let lifetime = if entry.was_live {
                self.settings.tombstone_lifetime
            } else {
                self.settings.unknown_tombstone_lifetime
            };
            entry.died.is_some_and(|died| now.since(died) > lifetime)
        };
        let entries = self.members.iter().filter(|(_, entry)| old(entry));
        let expired: Vec<_> = entries.map(|(vm, _)| vm.clone()).collect();
        for vm in expired {
            self.members.remove(&vm);
            self.queue.remove(&queue::Subject::Vm(vm.clone()));
            self.remove_update(member::Topic::Applied, vm.as_str());
        }
    }

    /// Sets a member's health and gossips the change.
    pub(super) fn set_health(&mut self, vm: &ids::Vm, health: record::Health, now: clock::Moment) {
        let Some(entry) = self.members.get(vm) else {
            return;
        };
        let mut record = entry.record.clone();
        record.health = health;
        self.apply_record(record, now);
    }

    /// Returns the time after which a suspect that hasn't refuted the suspicion is
    /// declared dead. It grows with the logarithm of the number of members, as does
    /// the number of gossip rounds that an update takes to reach all of them.
    fn suspicion_timeout(&self) -> time::Duration {
        let rounds = ((self.live + 1) as f64).log10().max(1.0);
        (self.settings.probe_interval * self.settings.suspicion_intervals).mul_f64(rounds)
    }
}
