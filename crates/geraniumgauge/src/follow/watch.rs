//! The loop of one follower.

use std::time;

use crate::follow;
use crate::ids;
use crate::timer;

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
            // A tenth of the time within which a change must be in force.
            gather: time::Duration::from_millis(250),
            retry: time::Duration::from_millis(100),
            // Registrations that lapsed are back two seconds after the store
            // is; its return must be noticed well before.
            retry_most: time::Duration::from_millis(800),
        }
    }
}

/// Follows `source` until `timer` stops, and tells `hear` all there is to know.
/// `what` names the objects in logs.
pub async fn follow<S: follow::Source>(
    what: &'static str,
    mut source: S,
    pace: Pace,
    timer: timer::Service,
    mut hear: impl FnMut(follow::News<S::Item>),
) {
    let mut at: Option<ids::Revision> = None;
    let mut failures = 0_u32;
    loop {
        let pause = match step(&mut source, &mut at, &mut hear).await {
            Ok(changed) => {
                if failures > 0 {
                    log::info!(what = what, failures = failures, revision:? = at; "store is back");
                }
                failures = 0;
                if changed { pace.gather } else { time::Duration::ZERO }
            }
            Err(follow::Error::Expired) => {
                log::info!(what = what, revision:? = at; "history dropped; listing again");
                at = None;
                pace.retry
            }
            Err(error) => {
                if failures == 0 {
                    log::warn!(what = what, revision:? = at, error:% = error; "store lost");
                }
                failures += 1;
                backoff(pace, failures)
            }
        };
        if !pause.is_zero() && !timer.pause(pause).await {
            return;
        }
    }
}

/// One call; whether it told anything.
async fn step<S: follow::Source>(
    source: &mut S,
    at: &mut Option<ids::Revision>,
    hear: &mut impl FnMut(follow::News<S::Item>),
) -> Result<bool, follow::Error> {
    let Some(revision) = *at else {
        let snapshot = source.list().await?;
        *at = Some(snapshot.revision);
        hear(follow::News::All(snapshot.items));
        return Ok(false);
    };
    let (changes, revision) = source.watch(revision).await?;
    *at = Some(revision);
    if changes.is_empty() {
        return Ok(false);
    }
    hear(follow::News::Changes(changes));
    Ok(true)
}

/// The pause after so many failures, with a random part: VMs that lost the
/// store together would otherwise call it together.
fn backoff(pace: Pace, failures: u32) -> time::Duration {
    let pause = pace.retry * 2_u32.pow(failures.min(8) - 1);
    let pause = pause.min(pace.retry_most);
    pause.mul_f64(rand::random_range(0.7..1.0))
}
