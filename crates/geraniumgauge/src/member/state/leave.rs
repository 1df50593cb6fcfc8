//! Announces that this VM is leaving.

use std::collections;
use std::time;

use crate::ids;
use crate::member::state;
use crate::time as clock;

/// Members that must confirm the announcement, or all live ones if there are fewer.
const REQUIRED_CONFIRMATIONS: usize = 3;

/// Longest time that an announcement may take, so that it can't block the stop.
const ANNOUNCEMENT_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// The announcement that this VM is leaving.
#[derive(Debug)]
pub(super) struct Announcement {
    /// Number of the announcement's pings; answers echo it.
    ping_number: u64,
    deadline: clock::Moment,
    confirmed: collections::BTreeSet<ids::Vm>,
    done: bool,
}

impl state::State {
    /// Starts the announcement, or reports its end again if it is done.
    pub(super) fn leave(&mut self, now: clock::Moment) {
        if self.announcement.is_none() {
            self.change_own(|own| own.leaving = true);
            let ping_number = self.probing.next_number();
            self.announcement = Some(Announcement {
                ping_number,
                deadline: now + ANNOUNCEMENT_TIMEOUT,
                confirmed: collections::BTreeSet::new(),
                done: false,
            });
            self.announce(now);
        } else if self
            .announcement
            .as_ref()
            .is_some_and(|announcement| announcement.done)
        {
            self.actions.push(state::Action::Announced);
        }
        self.check_announcement(now);
    }

    /// Takes an answer to a ping of the announcement as the sender's confirmation.
    pub(super) fn confirm_leaving(
        &mut self,
        sender: &ids::Vm,
        ping_number: u64,
        now: clock::Moment,
    ) {
        if let Some(announcement) = &mut self.announcement
            && announcement.ping_number == ping_number
        {
            announcement.confirmed.insert(sender.clone());
            self.check_announcement(now);
        }
    }

    /// Pings further members until enough have confirmed.
    pub(super) fn repeat_announcement(&mut self, now: clock::Moment) {
        if self
            .announcement
            .as_ref()
            .is_some_and(|announcement| !announcement.done)
        {
            self.announce(now);
            self.check_announcement(now);
        }
    }

    /// Pings twice as many members as must confirm, since some may be down.
    fn announce(&mut self, now: clock::Moment) {
        let Some(announcement) = &self.announcement else {
            return;
        };
        let (ping_number, confirmed) = (announcement.ping_number, announcement.confirmed.clone());
        let targets = self.pick(2 * REQUIRED_CONFIRMATIONS, |record| {
            !confirmed.contains(&record.vm)
        });
        for (vm, address) in targets {
            self.ping(&vm, address, ping_number, now);
        }
    }

    /// Ends the announcement once enough members have confirmed or time is up.
    fn check_announcement(&mut self, now: clock::Moment) {
        let required = self.live.min(REQUIRED_CONFIRMATIONS);
        let Some(announcement) = &mut self.announcement else {
            return;
        };
        if !announcement.done
            && (announcement.confirmed.len() >= required || now >= announcement.deadline)
        {
            announcement.done = true;
            self.actions.push(state::Action::Announced);
        }
    }
}
