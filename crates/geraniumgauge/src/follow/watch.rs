//! Follows one kind by a watch.

use std::time;

use tokio::sync::watch;

use crate::follow;
use crate::store;
use crate::timer;

/// How long a watch may lack what a sighting showed before the kind is listed.
/// Watches mostly tell a change within milliseconds.
const BEHIND: time::Duration = time::Duration::from_millis(250);

/// How often the store is called.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pace {
    /// Pause after changes, in which more of them gather for one call.
    pub gather: time::Duration,
    /// First pause after a failure; each further one doubles it.
    pub retry: time::Duration,
    /// Longest pause after failures.
    pub retry_most: time::Duration,
}

impl Default for Pace {
    fn default() -> Self {
        Self {
            gather: time::Duration::from_millis(150),
            retry: time::Duration::from_millis(100),
            // Registrations that lapsed are back two seconds after the store
            // is; its return must be noticed well before.
            retry_most: time::Duration::from_millis(800),
        }
    }
}

impl Pace {
    /// The pauses after failures.
    pub fn backoff(&self) -> store::Backoff {
        store::Backoff::new(self.retry, self.retry_most)
    }
}

/// The random part of a pause: VMs that lost the store together would otherwise
/// call it together. Most of the pause stays, since calls are paid for.
pub(super) fn jitter() -> f64 {
    rand::random_range(0.7..1.0)
}

/// Follows one kind by a watch of a copy that may lag, and lists it where a
/// sighting shows that the watch missed something.
#[derive(Debug)]
pub struct Follower<S> {
    /// Names the objects in logs.
    pub what: &'static str,
    /// The objects.
    pub source: S,
    /// What is held of them; whoever else lists them takes part.
    pub held: follow::Shared,
    /// The last sighting of the store.
    pub sightings: watch::Receiver<Option<follow::Sighting>>,
    /// How often the store is called.
    pub pace: Pace,
}

/// What one call came to.
enum Step {
    /// Nothing new.
    Quiet,
    /// News were told.
    Told,
}

impl<S: follow::Source> Follower<S> {
    /// Tells `hear` all there is to know, until `timer` stops.
    pub async fn run(
        mut self,
        timer: timer::Service,
        mut hear: impl FnMut(follow::News<S::Value>),
    ) {
        let what = self.what;
        let mut failures = 0_u32;
        let mut backoff = self.pace.backoff();
        loop {
            let pause = match self.step(&mut hear).await {
                Ok(step) => {
                    if failures > 0 {
                        log::info!(what = what, failures = failures, revision:? = self.held.borrow().at(); "watch is back");
                    }
                    failures = 0;
                    backoff.succeeded();
                    match step {
                        Step::Told => self.pace.gather,
                        Step::Quiet => time::Duration::ZERO,
                    }
                }
                Err(error) => {
                    if failures == 0 {
                        log::warn!(what = what, revision:? = self.held.borrow().at(), error:% = error; "watch lost");
                    }
                    failures += 1;
                    backoff.failed(jitter())
                }
            };
            if !pause.is_zero() && !timer.pause(pause).await {
                return;
            }
        }
    }

    async fn step(
        &mut self,
        hear: &mut impl FnMut(follow::News<S::Value>),
    ) -> Result<Step, follow::Error> {
        let Some(revision) = self.held.borrow().at() else {
            self.list(hear).await?;
            return Ok(Step::Quiet);
        };
        let watched = tokio::select! {
            watched = self.source.watch(revision) => watched,
            () = missed(&mut self.sightings, &self.held) => {
                self.list(hear).await?;
                return Ok(Step::Quiet);
            }
        };
        let (changes, told) = match watched {
            Err(follow::Error::Expired) => {
                log::info!(what = self.what, revision:% = revision; "history dropped; listing again");
                self.list(hear).await?;
                return Ok(Step::Quiet);
            }
            watched => watched?,
        };
        let changes = self.held.borrow_mut().change(changes, told);
        if changes.is_empty() {
            return Ok(Step::Quiet);
        }
        hear(follow::News::Changes(changes));
        Ok(Step::Told)
    }

    /// Lists from a copy where that is enough, by a linearizable read else.
    async fn list(
        &mut self,
        hear: &mut impl FnMut(follow::News<S::Value>),
    ) -> Result<(), follow::Error> {
        let mut snapshot = self.source.list(follow::Read::Copy).await?;
        let seen = *self.sightings.borrow();
        if seen.is_some_and(|seen| !seen.agrees(&snapshot)) {
            snapshot = self.source.list(follow::Read::Linearizable).await?;
        }
        log::info!(what = self.what, revision:% = snapshot.revision, objects = snapshot.items.len(), sighting:? = seen; "listed");
        if self.held.borrow_mut().list(&snapshot) {
            hear(follow::News::All(snapshot.items));
        }
        Ok(())
    }
}

/// Ends once a sighting has shown for a while what isn't held.
async fn missed(sightings: &mut watch::Receiver<Option<follow::Sighting>>, held: &follow::Shared) {
    loop {
        let seen = *sightings.borrow_and_update();
        if seen.is_some_and(|seen| seen.shows_more_than(&held.borrow())) {
            tokio::time::sleep(BEHIND).await;
            if seen.is_some_and(|seen| seen.shows_more_than(&held.borrow())) {
                return;
            }
        }
        if sightings.changed().await.is_err() {
            // Nobody looks any more: the process stops.
            return std::future::pending().await;
        }
    }
}

impl follow::Sighting {
    /// Whether a list shows at least what was seen.
    fn agrees<T>(&self, snapshot: &follow::Snapshot<T>) -> bool {
        // Beyond the sighting, the list may rightly differ from it.
        snapshot.revision > self.revision
            || self.registrations == follow::Digest::of(&snapshot.items)
    }

    /// Whether the store has what `held` lacks.
    pub(super) fn shows_more_than(&self, held: &follow::Held) -> bool {
        let newer = held.at().is_none_or(|at| at <= self.revision);
        newer && held.digest() != self.registrations
    }
}
