//! Lists one kind again and again.

use std::time;

use tokio::sync::watch;

use crate::follow;
use crate::ids;
use crate::timer;

/// Lists `source` each `period` until `timer` stops; tells `hear` what it read
/// and `newest` the store's revision. `what` names the objects in logs.
pub async fn poll<S: follow::Source>(
    what: &'static str,
    mut source: S,
    period: time::Duration,
    timer: timer::Service,
    newest: watch::Sender<ids::Revision>,
    mut hear: impl FnMut(Vec<S::Item>),
) {
    let pace = follow::Pace::default();
    let mut failures = 0_u32;
    loop {
        let pause = match source.list().await {
            Ok(snapshot) => {
                if failures > 0 {
                    log::info!(what = what, failures = failures, revision:% = snapshot.revision; "store is back");
                }
                failures = 0;
                hear(snapshot.items);
                newest.send_if_modified(|known| {
                    let newer = snapshot.revision > *known;
                    if newer {
                        *known = snapshot.revision;
                    }
                    newer
                });
                period
            }
            Err(error) => {
                if failures == 0 {
                    log::warn!(what = what, error:% = error; "store lost");
                }
                failures += 1;
                pace.backoff(failures)
            }
        };
        if !timer.pause(pause).await {
            return;
        }
    }
}
