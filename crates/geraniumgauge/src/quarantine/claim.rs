//! Claims the right to run an isolated trial in the store.

use std::sync::atomic;
use std::time;

use opentelemetry::KeyValue;

use crate::ids;
use crate::quarantine;
use crate::quarantine::Service;
use crate::quarantine::persist;
use crate::quarantine::tracker;
use crate::quarantine::trial;
use crate::store;

/// Maximum attempts at one conditional update before the caller must retry.
const MAX_CLAIM_ATTEMPTS: usize = 4;
/// Delay before a retry if another trial conflicts with this one or the store is
/// unavailable.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(200);

/// Reason why a trial may not start now.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(derive_more::Display, derive_more::Error)]
pub enum Denied {
    /// Another attempt may succeed later.
    #[display("no trial may start for {} ms: {delay}", after.as_millis())]
    Later {
        /// What the trial must wait for.
        delay: Delay,
        /// Time to wait before the next attempt.
        after: time::Duration,
    },
    /// The request is quarantined.
    #[display("the request is quarantined")]
    Quarantined,
}

/// What a trial must wait for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(derive_more::Display)]
pub enum Delay {
    /// Every VM must have received the mark.
    #[display("the mark is still spreading")]
    Spreading,
    /// Another upstream has just been lost.
    #[display("another upstream was just lost")]
    RecentLoss,
    /// Another trial of the request, or one at a replica of the same shard, runs.
    #[display("a conflicting trial runs")]
    Conflict,
    /// The store is unavailable or its object changes too often.
    #[display("the store took no claim")]
    Store,
}

/// The right to run one isolated trial. If it is dropped before [`Self::begin`],
/// the claim is released. If it is dropped afterwards and without
/// [`Self::finish`], the outcome is unknown: the claim lapses and counts as a crash.
pub struct Trial {
    started: bool,
    finished: bool,
    quarantine: Service,
    service: ids::Service,
    claim: trial::Claim,
}

impl Service {
    /// Claims in the store the right to run an isolated trial at `place`. If `place`
    /// is `None` the trial may run at any upstream, but only while no other trial of
    /// the service is running.
    ///
    /// # Errors
    /// If no trial may start now: another trial conflicts with it, upstreams have
    /// just been lost, the store is unavailable or the request is quarantined.
    pub async fn trial(
        &self,
        service: &ids::Service,
        fingerprint: ids::Fingerprint,
        place: Option<trial::Place>,
    ) -> Result<Trial, Denied> {
        let check = self
            .tracker()
            .check_trial_start(service, fingerprint, self.now());
        check.map_err(|(delay, after)| Denied::Later { delay, after })?;
        let claim = trial::Claim {
            fingerprint,
            vm: self.inner.config.vm.clone(),
            token: self
                .inner
                .next_token
                .fetch_add(1, atomic::Ordering::Relaxed),
            until: self.inner.clock.wall() + trial::CLAIM_DURATION,
            place,
        };
        for _ in 0..MAX_CLAIM_ATTEMPTS {
            if self.try_claim(service, &claim).await? {
                let quarantine = self.clone();
                let service = service.clone();
                return Ok(Trial {
                    started: false,
                    finished: false,
                    quarantine,
                    service,
                    claim,
                });
            }
        }
        Err(retry_later(Delay::Store))
    }

    /// Makes one attempt to write the claim. Returns false if the write conflicted
    /// with another one or its reply was lost.
    async fn try_claim(
        &self,
        service: &ids::Service,
        claim: &trial::Claim,
    ) -> Result<bool, Denied> {
        let fetched = self.fetch(service).await;
        let (ledger, condition) = fetched.map_err(|_| retry_later(Delay::Store))?;
        self.receive_ledger(&ledger);
        if ledger.claims.contains(claim) {
            return Ok(true);
        }
        let wall = self.inner.clock.wall();
        let fingerprint = claim.fingerprint;
        if self.verdict(service, fingerprint) == quarantine::Verdict::Quarantined {
            return Err(Denied::Quarantined);
        }
        let (next, granted) = match ledger.start(claim, wall) {
            trial::Start::Granted(next) => (next, true),
            trial::Start::Quarantined(next) => (next, false),
            trial::Start::Busy => return Err(retry_later(Delay::Conflict)),
        };
        self.receive_ledger(&next);
        match self.put(service, &next, condition).await {
            Ok(()) if granted => Ok(true),
            Ok(()) => Err(Denied::Quarantined),
            Err(store::Error::Conflict { .. } | store::Error::Unconfirmed { .. }) => Ok(false),
            Err(_) => Err(retry_later(Delay::Store)),
        }
    }
}

fn retry_later(delay: Delay) -> Denied {
    Denied::Later {
        delay,
        after: RETRY_DELAY,
    }
}

impl Trial {
    /// Records that the request is about to be sent.
    pub fn begin(&mut self) {
        self.started = true;
    }

    /// Records how the trial ended and, unless the outcome is unknown, releases the
    /// claim. `upstream` is the one that ran the request, if any did.
    pub fn finish(mut self, end: trial::End, upstream: Option<&ids::Upstream>) {
        self.finished = true;
        let kind = KeyValue::new("end", end.to_string());
        self.quarantine.inner.trials.add(1, &[kind]);
        let fingerprint = self.claim.fingerprint;
        match (end, upstream) {
            (trial::End::Completed, _) => self.quarantine.completed(&self.service, fingerprint),
            (trial::End::Lost, Some(upstream)) => {
                let run = tracker::Run::Trial;
                self.quarantine
                    .connection_lost(&self.service, fingerprint, upstream, run);
            }
            (trial::End::Lost, None) | (trial::End::NotRun, _) => {}
            (trial::End::Unknown, _) => return,
        }
        self.release();
    }

    /// Queues the release of the claim in the store.
    fn release(&self) {
        let write = persist::Write::Release(self.service.clone(), self.claim.clone());
        if self.quarantine.inner.writes.try_send(write).is_err() {
            log::warn!("trial claim not released in the store: write queue is full");
        }
    }
}

impl Drop for Trial {
    fn drop(&mut self) {
        if !self.started && !self.finished {
            self.release();
        }
    }
}
