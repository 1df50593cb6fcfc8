//! Books, the store and trials.

use super::*;

impl World {
    pub(super) fn complete(&mut self, search: usize) {
        let (entry, fingerprint) = (
            self.searches[search].entry,
            self.searches[search].fingerprint,
        );
        let service = service();
        self.tell(
            entry,
            book::Event::Completed {
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
                self.tell(
                    self.searches[search].entry,
                    book::Event::Lost {
                        service: service(),
                        fingerprint,
                        upstream,
                        run: book::Run::Trial,
                    },
                );
            }
            (trial::End::Unknown, _) => return,
            _ => {}
        }
        if let Some(next) = self.ledger.finish(&claim) {
            self.ledger = next;
        }
    }

    pub(super) fn claim(&mut self, search: usize, place: trial::Place) {
        let now = self.both();
        let (entry, fingerprint) = (
            self.searches[search].entry,
            self.searches[search].fingerprint,
        );
        let calm = self.entries[entry].book.calm(&service(), fingerprint, now);
        if let Err(after) = calm {
            self.handle(search, gather::Event::Denied(Some(after)));
            return;
        }
        let claim = trial::Claim {
            fingerprint,
            vm: format!("vm-{entry}").parse().unwrap(),
            token: search as u64,
            until: now.wall + trial::SPAN,
            place: Some(place),
        };
        for mark in self.ledger.marks.clone() {
            self.tell(entry, book::Event::Heard(mark));
        }
        let verdict = self.verdict(search);
        match self.ledger.start(&claim, now.wall) {
            trial::Start::Go(next) if verdict != Verdict::Quarantined => {
                self.ledger = next;
                self.searches[search].claim = Some(claim);
                let down = self.entries[entry].book.down(now);
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
        let held = &self.searches[search];
        let book = &self.entries[held.entry].book;
        book.verdict(&service(), held.fingerprint, self.both().wall)
    }

    pub(super) fn tell(&mut self, entry: usize, event: book::Event) {
        let now = self.both();
        for book::Action::Publish(mark) in self.entries[entry].book.handle(event, now) {
            let text = serde_json::to_string(&mark).unwrap();
            self.ledger.join(&mark, now.wall);
            if mark.fingerprint == GUILTY {
                let line = format!(
                    "{} vm-{entry} marks {} {:?}",
                    self.now, mark.state, mark.crashed
                );
                self.story.push(line);
            }
            for other in (0..self.entries.len()).filter(|other| *other != entry) {
                let delay = self.rng.random_range(500..8_000);
                let mark = text.clone();
                self.after(delay, Ev::Heard { entry: other, mark });
            }
        }
    }

    pub(super) fn hear(&mut self, entry: usize, mark: &str) {
        let mark: quarantine::Mark = serde_json::from_str(mark).unwrap();
        let fingerprint = mark.fingerprint;
        self.tell(entry, book::Event::Heard(mark));
        for search in 0..self.searches.len() {
            let held = &self.searches[search];
            if held.entry == entry && held.fingerprint == fingerprint && held.answer.is_none() {
                let verdict = self.verdict(search);
                self.handle(search, gather::Event::Verdict(verdict));
            }
        }
    }
}
