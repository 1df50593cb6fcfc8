//! Looks at the store by linearizable reads, or lets another VM do it.

use std::time;

use tokio::sync::watch;

use crate::follow;
use crate::ids;
use crate::time as clock;
use crate::timer;

/// By how much a VM waits longer for a sighting than the one ranked before it:
/// more than a sighting takes to arrive, so that mostly one VM looks.
const RANK_STEP: time::Duration = time::Duration::from_millis(100);
/// Ranks that wait longer than the one before; the others wait no longer, so
/// that the bounds hold however large the fleet is.
const RANKS: u32 = 8;

/// What one look at the store showed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sighting {
    /// How far the store was.
    pub revision: ids::Revision,
    /// The last change of the configuration.
    pub config: ids::Revision,
    /// Which registrations there were.
    pub registrations: follow::Digest,
}

/// Looks at the store, unless another VM told lately what it saw.
#[derive(Debug)]
pub struct Lookout<C, R> {
    /// The configuration.
    pub config: C,
    /// The registrations.
    pub registrations: R,
    /// What is held of the registrations.
    pub held: follow::Shared,
    /// Sightings, this VM's and others'.
    pub sightings: watch::Sender<Option<Sighting>>,
    /// How old a sighting may be before this VM looks for itself.
    pub period: time::Duration,
    /// The pauses after failures.
    pub pace: follow::Pace,
    /// Its place among the VMs: the first one looks first.
    pub rank: watch::Receiver<u32>,
    /// The configuration's last change that this VM has learned of otherwise.
    pub config_seen: watch::Receiver<Option<ids::Revision>>,
}

/// Whom a lookout tells.
pub trait Hear<C, R> {
    /// A configuration was read.
    fn config(&mut self, items: Vec<follow::Item<C>>);
    /// The registrations were listed.
    fn registrations(&mut self, news: follow::News<R>);
    /// This VM has looked: the others may rely on it.
    fn sighting(&mut self, sighting: Sighting);
    /// The store can't be read, and other VMs have seen more of it than this
    /// one knows.
    fn behind(&mut self);
}

/// What is known so far.
#[derive(Debug, Default)]
struct Known {
    /// The configuration that was heard.
    config: Option<ids::Revision>,
    /// This VM's last look.
    looked: Option<Sighting>,
}

impl<C: follow::Source, R: follow::Source> Lookout<C, R> {
    /// Looks until `timer` stops.
    pub async fn run(
        mut self,
        clock: clock::Clock,
        timer: timer::Service,
        mut hear: impl Hear<C::Value, R::Value>,
    ) {
        let mut known = Known::default();
        let mut heard = self.sightings.subscribe();
        let mut failures = 0_u32;
        let mut backoff = self.pace.backoff();
        // The first look comes at once: nothing is in force yet.
        let mut next = clock.now();
        loop {
            let told = tokio::select! {
                biased;
                () = timer.stop().cancelled() => return,
                changed = heard.changed() => changed.is_ok(),
                () = tokio::time::sleep_until(clock.instant(next)) => false,
            };
            let seen = *heard.borrow_and_update();
            let done = match seen.filter(|_| told) {
                Some(seen) => self.catch_up(seen, &mut known, &mut hear).await,
                None => self.look(&mut known, &mut hear).await,
            };
            // What this VM saw itself is no news to it.
            heard.mark_unchanged();
            next = clock.now();
            match done {
                Ok(()) => {
                    if failures > 0 {
                        log::info!(failures = failures, sighting:? = seen; "store is back");
                    }
                    failures = 0;
                    backoff.succeeded();
                    next = next + self.patience(known.config.is_some());
                }
                Err(error) => {
                    if failures == 0 {
                        log::warn!(error:% = error, sighting:? = seen; "store lost");
                    }
                    failures += 1;
                    next = next + backoff.failed(follow::jitter());
                    let seen = *self.sightings.borrow();
                    if seen.is_some_and(|seen| self.lacks(seen, &known)) {
                        hear.behind();
                    }
                }
            }
        }
    }

    /// Whether a sighting shows what this VM doesn't know.
    fn lacks(&self, seen: Sighting, known: &Known) -> bool {
        let config = *self.config_seen.borrow();
        let newer = known.config.max(config) < Some(seen.config);
        newer || seen.shows_more_than(&self.held.borrow())
    }

    /// How long this VM relies on a sighting.
    fn patience(&self, configured: bool) -> time::Duration {
        if !configured {
            // The store had no configuration yet: it may have one any moment.
            return self.pace.retry_most;
        }
        let rank = (*self.rank.borrow()).min(RANKS);
        self.period + RANK_STEP * rank
    }

    /// Reads what another VM saw and this one lacks.
    async fn catch_up(
        &mut self,
        seen: Sighting,
        known: &mut Known,
        hear: &mut impl Hear<C::Value, R::Value>,
    ) -> Result<(), follow::Error> {
        let config = known.config.max(*self.config_seen.borrow());
        if config.is_some_and(|config| config >= seen.config) {
            return Ok(());
        }
        let mut snapshot = self.config.list(follow::Read::Copy).await?;
        if last(&snapshot) < Some(seen.config) {
            snapshot = self.config.list(follow::Read::Linearizable).await?;
        }
        Self::configure(snapshot, known, hear);
        Ok(())
    }

    /// Looks, and tells the others.
    async fn look(
        &mut self,
        known: &mut Known,
        hear: &mut impl Hear<C::Value, R::Value>,
    ) -> Result<(), follow::Error> {
        let snapshot = self.config.list(follow::Read::Linearizable).await?;
        let revision = snapshot.revision;
        let config = last(&snapshot);
        Self::configure(snapshot, known, hear);
        let unchanged = known.looked.filter(|looked| looked.revision == revision);
        let registrations = match unchanged {
            Some(looked) => looked.registrations,
            None => self.list(hear).await?,
        };
        let Some(config) = config else {
            return Ok(());
        };
        let sighting = Sighting {
            revision,
            config,
            registrations,
        };
        known.looked = Some(sighting);
        self.sightings.send_replace(Some(sighting));
        hear.sighting(sighting);
        Ok(())
    }

    /// Lists the registrations; their digest.
    async fn list(
        &mut self,
        hear: &mut impl Hear<C::Value, R::Value>,
    ) -> Result<follow::Digest, follow::Error> {
        let snapshot = self.registrations.list(follow::Read::Linearizable).await?;
        let digest = follow::Digest::of(&snapshot.items);
        let differs = self.held.borrow().digest() != digest || self.held.borrow().at().is_none();
        if self.held.borrow_mut().list(&snapshot) && differs {
            hear.registrations(follow::News::All(snapshot.items));
        }
        Ok(digest)
    }

    fn configure(
        snapshot: follow::Snapshot<C::Value>,
        known: &mut Known,
        hear: &mut impl Hear<C::Value, R::Value>,
    ) {
        let config = last(&snapshot);
        if config > known.config {
            known.config = config;
            hear.config(snapshot.items);
        }
    }
}

/// The last change of what a list shows.
fn last<T>(snapshot: &follow::Snapshot<T>) -> Option<ids::Revision> {
    snapshot.items.iter().map(|item| item.revision).max()
}
