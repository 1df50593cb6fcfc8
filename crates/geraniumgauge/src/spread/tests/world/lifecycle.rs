//! Starting and stopping VMs.

use std::time;

use rand::Rng as _;

use crate::spread::tests::world;
use crate::spread::tests::world::links;

impl world::World {
    /// Starts a VM with a new state.
    pub(crate) fn start(&mut self, vm: usize) {
        let start = self.vms[vm].start + 1;
        let state = self.state(vm, start);
        let known = &mut self.vms[vm];
        known.state = state;
        known.start = start;
        known.running = true;
        known.wake = None;
        known.view = None;
        known.link = links::Link::new(links::rate(vm));
        known.requests.clear();
        self.wake(vm, self.now);
    }

    /// Starts all VMs within 0.3 s.
    pub(crate) fn start_all(&mut self) {
        let begin = self.now;
        let mut order: Vec<(u64, usize)> = (0..self.vms.len())
            .map(|vm| (self.rng.random_range(0..300_000), vm))
            .collect();
        order.sort_unstable();
        for (after, vm) in order {
            self.run_until(begin + time::Duration::from_micros(after));
            self.start(vm);
        }
    }

    /// Stops a VM, as a loss of power does.
    pub(crate) fn stop(&mut self, vm: usize) {
        self.vms[vm].running = false;
    }
}
