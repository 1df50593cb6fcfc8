//! Counts the VMs that may be alive, by objects that each refreshes.

use std::collections;
use std::time;

use crate::follow;
use crate::ids;
use crate::time as clock;
use crate::timer;

/// How often a VM refreshes its object. Budgets only need the order of size of
/// the fleet, and need it never to be too small.
const REFRESH: time::Duration = time::Duration::from_secs(20);
/// How often the objects are listed until their number has settled, and then.
const LIST_FIRST: time::Duration = time::Duration::from_secs(1);
const LIST: time::Duration = time::Duration::from_secs(5);
/// Lists at the first pace.
const FIRST_LISTS: u32 = 5;
/// How long an object may stay unchanged before its VM no longer counts.
const EXPIRE: time::Duration = time::Duration::from_secs(70);

/// The VMs' objects in the store.
#[expect(async_fn_in_trait, reason = "followers run on one thread")]
pub trait Roster {
    /// Writes this VM's object, so that its revision changes.
    ///
    /// # Errors
    /// Where the store doesn't take it.
    async fn announce(&mut self) -> Result<(), follow::Error>;

    /// Every VM's name with the revision of its object. May lag.
    ///
    /// # Errors
    /// Where the store doesn't tell.
    async fn list(&mut self) -> Result<Vec<(ids::Vm, ids::Revision)>, follow::Error>;
}

/// What this VM has seen of the others' objects.
#[derive(Debug, Default)]
pub struct Peers {
    seen: collections::BTreeMap<ids::Vm, (ids::Revision, clock::Moment)>,
}

impl Peers {
    /// Takes a list; how many VMs may be alive.
    pub fn count(&mut self, listed: Vec<(ids::Vm, ids::Revision)>, now: clock::Moment) -> usize {
        let before = std::mem::take(&mut self.seen);
        for (vm, revision) in listed {
            let known = before.get(&vm).filter(|(known, _)| *known == revision);
            let since = known.map_or(now, |(_, since)| *since);
            self.seen.insert(vm, (revision, since));
        }
        let alive = self.seen.values();
        alive.filter(|(_, since)| now.since(*since) < EXPIRE).count()
    }

    /// Keeps this VM's object fresh and tells `hear` how many VMs there are,
    /// until `timer` stops.
    pub async fn run<R: Roster>(
        mut self,
        mut roster: R,
        clock: clock::Clock,
        timer: timer::Service,
        hear: impl Fn(usize),
    ) {
        let mut announced: Option<clock::Moment> = None;
        let mut lists = 0;
        loop {
            let now = clock.now();
            if announced.is_none_or(|at| now.since(at) >= REFRESH) {
                match roster.announce().await {
                    Ok(()) => announced = Some(now),
                    Err(error) => log::info!(error:% = error; "VM not announced"),
                }
            }
            match roster.list().await {
                Ok(listed) => {
                    lists += 1;
                    hear(self.count(listed, clock.now()));
                }
                Err(error) => log::info!(error:% = error; "VMs not listed"),
            }
            let pause = if lists < FIRST_LISTS { LIST_FIRST } else { LIST };
            if !timer.pause(pause).await {
                return;
            }
        }
    }
}
