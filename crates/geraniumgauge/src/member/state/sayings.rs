//! What is said of VMs: taking it in, refuting what is said of this one, and
//! taking suspects as dead.

use std::time as spans;

use crate::ids;
use crate::member;
use crate::member::queue;
use crate::member::record;
use crate::member::state;
use crate::time;

impl state::State {
    /// Takes in what is said of a VM.
    pub(super) fn apply(&mut self, said: record::Record, now: time::Moment) {
        if said.vm == self.own.vm {
            return self.hear_of_self(&said);
        }
        let vm = said.vm.clone();
        let held = self.members.get(&vm).map(|entry| entry.record.clone());
        let new = match &held {
            Some(held) => held.merge(&said),
            // Nothing is known of it that a death could end.
            None => Some(said).filter(record::Record::is_live),
        };
        let Some(new) = new else {
            return self.heard_again(&queue::Subject::Vm(vm));
        };
        let was_live = held.as_ref().is_some_and(record::Record::is_live);
        let was_leaving = held.as_ref().is_some_and(|held| held.leaving);
        self.urgent |= new.leaving && !was_leaving && was_live;
        self.dirty |= was_live || new.is_live();
        let name = state::name(&vm);
        if let Some(held) = &held {
            self.digest.toggle(name, held.fingerprint());
        }
        self.digest.toggle(name, new.fingerprint());
        match (was_live, new.is_live()) {
            (false, true) => self.came(&new, held.is_some()),
            (true, false) => self.live -= 1,
            _ => {}
        }
        self.follow_suspicion(&new, now);
        let died = (!new.is_live()).then_some(now);
        let flagged = self.members.get(&vm).and_then(|entry| entry.flagged);
        let record = new;
        let entry = state::Entry {
            record,
            name,
            died,
            flagged,
        };
        self.members.insert(vm.clone(), entry);
        self.queue.add(queue::Subject::Vm(vm));
    }

    fn came(&mut self, new: &record::Record, returned: bool) {
        self.live += 1;
        self.probing.join(&new.vm, &mut self.rng);
        if returned {
            self.returned.push(new.address);
        }
        if self.live == 1 {
            self.next_sync = self.last_tick;
        }
    }

    fn follow_suspicion(&mut self, new: &record::Record, now: time::Moment) {
        if new.health == record::Health::Suspect {
            let deadline = now + self.suspicion();
            self.suspects.entry(new.vm.clone()).or_insert(deadline);
        } else {
            self.suspects.remove(&new.vm);
        }
    }

    /// Others say something of this VM itself: a suspicion is refuted.
    fn hear_of_self(&mut self, said: &record::Record) {
        let incarnation = if said.incarnation > self.own.incarnation {
            if said.address != self.own.address && said.is_live() {
                if !std::mem::replace(&mut self.twin, true) {
                    self.actions.push(state::Action::Twin(said.address));
                }
                return;
            }
            // An earlier start of this VM, when its clock was ahead: outbid it.
            ids::Incarnation(said.incarnation.0 + 1)
        } else {
            self.own.incarnation
        };
        let same = said.incarnation == self.own.incarnation;
        let accused =
            same && said.health > record::Health::Alive && said.refutation >= self.own.refutation;
        if !accused && incarnation == self.own.incarnation {
            return;
        }
        let refutation = if accused { said.refutation + 1 } else { 0 };
        self.figures.refutations += 1;
        self.probing.doubt_self();
        self.change_own(|own| {
            own.incarnation = incarnation;
            own.refutation = refutation;
        });
    }

    pub(super) fn change_own(&mut self, change: impl FnOnce(&mut record::Record)) {
        let name = state::name(&self.own.vm);
        self.digest.toggle(name, self.own.fingerprint());
        change(&mut self.own);
        self.digest.toggle(name, self.own.fingerprint());
        self.queue.add(queue::Subject::Vm(self.own.vm.clone()));
        self.urgent = true;
        self.dirty = true;
    }

    /// Takes suspects as dead whose time is up, and forgets the long dead.
    pub(super) fn bury(&mut self, now: time::Moment) {
        let due = self
            .suspects
            .iter()
            .filter(|(_, deadline)| **deadline <= now);
        let due: Vec<_> = due.map(|(vm, _)| vm.clone()).collect();
        for vm in due {
            self.figures.deaths += 1;
            self.accuse(&vm, record::Health::Dead, now);
        }
        let tombstone = self.settings.tombstone;
        let old = |entry: &state::Entry| entry.died.is_some_and(|died| now.since(died) > tombstone);
        let entries = self.members.iter().filter(|(_, entry)| old(entry));
        let forgotten: Vec<_> = entries.map(|(vm, _)| vm.clone()).collect();
        for vm in forgotten {
            self.members.remove(&vm);
            self.queue.remove(&queue::Subject::Vm(vm.clone()));
            self.forget_rumour(member::Topic::Applied, vm.as_str());
        }
    }

    pub(super) fn accuse(&mut self, vm: &ids::Vm, health: record::Health, now: time::Moment) {
        let Some(entry) = self.members.get(vm) else {
            return;
        };
        let mut record = entry.record.clone();
        record.health = health;
        self.apply(record, now);
    }

    /// How long a suspect has to refute: news reaches all in a number of rounds
    /// that grows with the logarithm of the number of members.
    fn suspicion(&self) -> spans::Duration {
        let rounds = ((self.live + 1) as f64).log10().max(1.0);
        (self.settings.probe * self.settings.suspicion).mul_f64(rounds)
    }
}
