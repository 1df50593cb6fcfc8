//! Coordinators, the store and trials.

use super::*;

impl World {
    pub(super) fn complete(&mut self, search: usize) {
        let (coordinator, fingerprint) = (
            self.searches[search].coordinator,
            self.searches[search].fingerprint,
        );
        let service = service();
        self.handle_mark_event(
            coordinator,
            tracker::Event::Completed {
                service,
                fingerprint,
            },
        );
    }

    pub(super) fn end_trial(
        &mut self,
        search: usize,
        end: trial::End,
        upstream: Option<ids::Upstream>,
    ) {
        let Some(claim) = self.searches[search].claim.take() else {
            return;
        };
        let fingerprint = self.searches[search].fingerprint;
        match (end, upstream) {
            (trial::End::Completed, _) => self.complete(search),
            (trial::End::Lost, Some(upstream)) => {
                let coordinator = self.searches[search].coordinator;
                self.record_loss(coordinator, fingerprint, upstream, tracker::Run::Trial);
            }
            (trial::End::Unknown, _) => return,
            _ => {}
        }
        if let Some(next) = self.ledger.release(&claim) {
            self.ledger = next;
        }
    }

    pub(super) fn claim(&mut self, search: usize, place: trial::Place) {
        let now = self.both_clocks();
        let (coordinator, fingerprint) = (
            self.searches[search].coordinator,
            self.searches[search].fingerprint,
        );
        let check =
            self.coordinators[coordinator]
                .tracker
                .check_trial_start(&service(), fingerprint, now);
        if let Err((_, after)) = check {
            self.handle(search, gather::Event::Denied(Some(after)));
            return;
        }
        let claim = trial::Claim {
            fingerprint,
            vm: format!("vm-{coordinator}").parse().unwrap(),
            token: search as u64,
            until: now.wall + trial::CLAIM_DURATION,
            place: Some(place),
        };
        for mark in self.ledger.marks.clone() {
            self.handle_mark_event(coordinator, tracker::Event::Received(mark));
        }
        let verdict = self.verdict(search);
        match self.ledger.start(&claim, now.wall) {
            trial::Start::Granted(next) if verdict != Verdict::Quarantined => {
                self.ledger = next;
                self.searches[search].claim = Some(claim);
                let down = self.coordinators[coordinator].tracker.down(now);
                self.handle(search, gather::Event::Granted(down));
            }
            trial::Start::Busy => {
                let after = time::Duration::from_millis(200);
                self.handle(search, gather::Event::Denied(Some(after)));
            }
            _ => self.handle(search, gather::Event::Verdict(Verdict::Quarantined)),
        }
    }

    pub(super) fn verdict(&self, search: usize) -> Verdict {
        let state = &self.searches[search];
        let tracker = &self.coordinators[state.coordinator].tracker;
        tracker.verdict(&service(), state.fingerprint, self.both_clocks().wall)
    }

    pub(super) fn handle_mark_event(&mut self, coordinator: usize, event: tracker::Event) {
        let now = self.both_clocks();
        for tracker::Action::Publish(mark) in
            self.coordinators[coordinator].tracker.handle(event, now)
        {
            let text = serde_json::to_string(&mark).unwrap();
            self.ledger.merge(&mark, now.wall);
            self.log(mark.fingerprint, &|| {
                format!("vm-{coordinator} marks {} {:?}", mark.state, mark.crashed)
            });
            for other in (0..self.coordinators.len()).filter(|other| *other != coordinator) {
                self.send(coordinator, other, frames::Frame::Mark(text.clone()));
            }
        }
    }

    pub(super) fn record_loss(
        &mut self,
        coordinator: usize,
        fingerprint: ids::Fingerprint,
        upstream: ids::Upstream,
        run: tracker::Run,
    ) {
        let lost = tracker::Event::Lost {
            service: service(),
            fingerprint,
            upstream,
            run,
        };
        self.handle_mark_event(coordinator, lost);
    }

    pub(super) fn receive(&mut self, coordinator: usize, mark: &str) {
        let mark: quarantine::Mark = serde_json::from_str(mark).unwrap();
        let fingerprint = mark.fingerprint;
        self.handle_mark_event(coordinator, tracker::Event::Received(mark));
        for search in 0..self.searches.len() {
            let state = &self.searches[search];
            if state.coordinator == coordinator
                && state.fingerprint == fingerprint
                && state.answer.is_none()
            {
                let verdict = self.verdict(search);
                self.handle(search, gather::Event::Verdict(verdict));
            }
        }
    }
}
