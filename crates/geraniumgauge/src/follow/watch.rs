//! The loop of one follower.

use std::time;

use tokio::sync::watch;

use crate::follow;
use crate::ids;
use crate::timer;

/// How long a watch may stay behind the store's revision before the kind is
/// listed. Changes of other kinds move the revision too, so a watch that is
/// behind has mostly missed nothing; still, a list costs less than a request
/// to an upstream that has left.
const BEHIND: time::Duration = time::Duration::from_millis(300);

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
    /// The pause after so many failures, with a random part: VMs that lost the
    /// store together would otherwise call it together.
    pub fn backoff(&self, failures: u32) -> time::Duration {
        let pause = self.retry * 2_u32.pow(failures.clamp(1, 8) - 1);
        let pause = pause.min(self.retry_most);
        pause.mul_f64(rand::random_range(0.7..1.0))
    }
}

/// Follows `source` until `timer` stops, and tells `hear` all there is to know.
/// `newest` tells how far the store is. `what` names the objects in logs.
pub async fn follow<S: follow::Source>(
    what: &'static str,
    source: S,
    pace: Pace,
    timer: timer::Service,
    newest: watch::Receiver<ids::Revision>,
    mut hear: impl FnMut(follow::News<S::Item>),
) {
    let mut follower = Follower {
        what,
        source,
        newest,
        at: None,
    };
    let mut failures = 0_u32;
    loop {
        let pause = match follower.step(&mut hear).await {
            Ok(changed) => {
                if failures > 0 {
                    log::info!(what = what, failures = failures, revision:? = follower.at; "store is back");
                }
                failures = 0;
                if changed { pace.gather } else { time::Duration::ZERO }
            }
            Err(follow::Error::Expired) => {
                log::info!(what = what, revision:? = follower.at; "history dropped; listing again");
                follower.at = None;
                time::Duration::ZERO
            }
            Err(error) => {
                if failures == 0 {
                    log::warn!(what = what, revision:? = follower.at, error:% = error; "store lost");
                }
                failures += 1;
                pace.backoff(failures)
            }
        };
        if !pause.is_zero() && !timer.pause(pause).await {
            return;
        }
    }
}

struct Follower<S> {
    what: &'static str,
    source: S,
    newest: watch::Receiver<ids::Revision>,
    at: Option<ids::Revision>,
}

impl<S: follow::Source> Follower<S> {
    /// One call; whether it told anything.
    async fn step(
        &mut self,
        hear: &mut impl FnMut(follow::News<S::Item>),
    ) -> Result<bool, follow::Error> {
        let Some(revision) = self.at else {
            let snapshot = self.source.list().await?;
            self.at = Some(snapshot.revision);
            hear(follow::News::All(snapshot.items));
            return Ok(false);
        };
        let watched = tokio::select! {
            watched = self.source.watch(revision) => Some(watched?),
            () = behind(&mut self.newest, revision) => None,
        };
        let Some((changes, told)) = watched else {
            let newest = *self.newest.borrow();
            log::info!(what = self.what, revision:% = revision, newest:% = newest; "watch is behind; listing again");
            self.at = None;
            return Ok(false);
        };
        // A stale copy may tell of less than was heard before.
        self.at = Some(revision.max(told));
        if changes.is_empty() {
            return Ok(false);
        }
        hear(follow::News::Changes(changes));
        Ok(true)
    }
}

/// Ends once the store has been beyond `revision` for a while.
async fn behind(newest: &mut watch::Receiver<ids::Revision>, revision: ids::Revision) {
    if newest.wait_for(|newest| *newest > revision).await.is_err() {
        // Nobody polls any more: the process stops.
        return std::future::pending().await;
    }
    tokio::time::sleep(BEHIND).await;
}
