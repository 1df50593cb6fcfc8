//! Announcing that this VM stops.

use std::collections;
use std::time as spans;

use crate::ids;
use crate::member::state;
use crate::time;

/// Members that must have confirmed the announcement; fewer where fewer are there.
const ENOUGH: usize = 3;

/// Longest time an announcement may take: the stop must not hang on it.
const LONGEST: spans::Duration = spans::Duration::from_secs(2);

/// An announcement under way.
#[derive(Debug)]
pub(super) struct Announcement {
    number: u64,
    until: time::Moment,
    confirmed: collections::BTreeSet<ids::Vm>,
    done: bool,
}

impl state::State {
    pub(super) fn leave(&mut self, now: time::Moment) {
        if self.announcement.is_none() {
            self.change_own(|own| own.leaving = true);
            let number = self.probing.number();
            self.announcement = Some(Announcement {
                number,
                until: now + LONGEST,
                confirmed: collections::BTreeSet::new(),
                done: false,
            });
            self.announce(now);
        } else if self.announcement.as_ref().is_some_and(|told| told.done) {
            self.actions.push(state::Action::Announced);
        }
        self.check_announcement(now);
    }

    /// Any answer to a datagram with this VM's leaving in it confirms it.
    pub(super) fn told_of_leaving(&mut self, sender: &ids::Vm, number: u64, now: time::Moment) {
        if let Some(told) = &mut self.announcement
            && told.number == number
        {
            told.confirmed.insert(sender.clone());
            self.check_announcement(now);
        }
    }

    pub(super) fn repeat_announcement(&mut self, now: time::Moment) {
        if self.announcement.as_ref().is_some_and(|told| !told.done) {
            self.announce(now);
            self.check_announcement(now);
        }
    }

    /// Asks more members than must confirm, since some may be gone.
    fn announce(&mut self, now: time::Moment) {
        let Some(told) = &self.announcement else {
            return;
        };
        let (number, confirmed) = (told.number, told.confirmed.clone());
        let targets = self.pick(2 * ENOUGH, |record| !confirmed.contains(&record.vm));
        for (vm, address) in targets {
            self.ping(&vm, address, number, now);
        }
    }

    fn check_announcement(&mut self, now: time::Moment) {
        let enough = self.live.min(ENOUGH);
        let Some(told) = &mut self.announcement else {
            return;
        };
        if !told.done && (told.confirmed.len() >= enough || now >= told.until) {
            told.done = true;
            self.actions.push(state::Action::Announced);
        }
    }
}
