//! The right to run one lone trial, as the store gives it.

use std::sync::atomic;
use std::time;

use opentelemetry::KeyValue;

use crate::ids;
use crate::quarantine;
use crate::quarantine::Service;
use crate::quarantine::book;
use crate::quarantine::keep;
use crate::quarantine::trial;
use crate::store;

/// Tries of one conditional update before it waits for the next round.
const TRIES: usize = 4;
/// When to ask again where another trial runs or the store is out.
const ASK_AGAIN: time::Duration = time::Duration::from_millis(200);

/// Why no trial may start now.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(derive_more::Display, derive_more::Error)]
pub enum Denied {
    /// Another try may succeed after this time.
    #[display("no trial may start for {} ms", after.as_millis())]
    Later {
        /// How long to wait.
        after: time::Duration,
    },
    /// The request is quarantined.
    #[display("the request is quarantined")]
    Quarantined,
}

/// The right to run one lone trial. Dropped once it has begun and without an
/// end, it lapses and counts as a crash: how the request ran isn't known.
pub struct Trial {
    begun: bool,
    over: bool,
    owner: Service,
    service: ids::Service,
    claim: trial::Claim,
}

impl Service {
    /// Asks the store for the right to run a lone trial at `place`, or, with none,
    /// at any upstream while no other trial runs in the service.
    ///
    /// # Errors
    /// Where none may start now: another one is in the way, upstreams are going
    /// down, the store is out, or the request is quarantined.
    pub async fn trial(
        &self,
        service: &ids::Service,
        fingerprint: ids::Fingerprint,
        place: Option<trial::Place>,
    ) -> Result<Trial, Denied> {
        let calm = self.book().calm(service, fingerprint, self.now());
        calm.map_err(|after| Denied::Later { after })?;
        let claim = trial::Claim {
            fingerprint,
            vm: self.inner.config.vm.clone(),
            token: self.inner.tokens.fetch_add(1, atomic::Ordering::Relaxed),
            until: self.inner.clock.wall() + trial::SPAN,
            place,
        };
        for _ in 0..TRIES {
            if self.claim(service, &claim).await? {
                let owner = self.clone();
                let service = service.clone();
                return Ok(Trial {
                    begun: false,
                    over: false,
                    owner,
                    service,
                    claim,
                });
            }
        }
        Err(Denied::Later { after: ASK_AGAIN })
    }

    /// One try at the claim; false where another writer was faster.
    async fn claim(&self, service: &ids::Service, claim: &trial::Claim) -> Result<bool, Denied> {
        let later = || Denied::Later { after: ASK_AGAIN };
        let (held, condition) = self.fetch(service).await.map_err(|_| later())?;
        self.take_in(&held);
        if held.claims.contains(claim) {
            return Ok(true);
        }
        let wall = self.inner.clock.wall();
        let fingerprint = claim.fingerprint;
        if self.verdict(service, fingerprint) == quarantine::Verdict::Quarantined {
            return Err(Denied::Quarantined);
        }
        let (next, go) = match held.start(claim, wall) {
            trial::Start::Go(next) => (next, true),
            trial::Start::Quarantined(next) => (next, false),
            trial::Start::Busy => return Err(later()),
        };
        self.take_in(&next);
        match self.put(service, &next, condition).await {
            Ok(()) if go => Ok(true),
            Ok(()) => Err(Denied::Quarantined),
            Err(store::Error::Conflict { .. } | store::Error::Unconfirmed { .. }) => Ok(false),
            Err(_) => Err(later()),
        }
    }
}

impl Trial {
    /// The request is about to be sent.
    pub fn begin(&mut self) {
        self.begun = true;
    }

    /// States how the trial ended; `upstream` ran it, where any did.
    pub fn finish(mut self, end: trial::End, upstream: Option<&ids::Upstream>) {
        self.over = true;
        let kind = KeyValue::new("end", end.to_string());
        self.owner.inner.trials.add(1, &[kind]);
        let fingerprint = self.claim.fingerprint;
        match (end, upstream) {
            (trial::End::Completed, _) => self.owner.completed(&self.service, fingerprint),
            (trial::End::Lost, Some(upstream)) => {
                let run = book::Run::Trial;
                self.owner
                    .lost_while(&self.service, fingerprint, upstream, run);
            }
            (trial::End::Lost, None) | (trial::End::NotRun, _) => {}
            (trial::End::Unknown, _) => return,
        }
        self.release();
    }

    fn release(&self) {
        let write = keep::Write::Finish(self.service.clone(), self.claim.clone());
        if self.owner.inner.writes.try_send(write).is_err() {
            log::warn!("the end of a trial isn't kept in the store: too many wait");
        }
    }
}

impl Drop for Trial {
    fn drop(&mut self) {
        if !self.begun && !self.over {
            self.release();
        }
    }
}
