//! Rendezvous hashing: which of the live VMs holds a duty.
//!
//! Every VM with the same view picks the same holders; a VM that comes or goes
//! moves only the duties it holds. Views that differ for a while give a duty
//! more holders than wanted, so each duty must be safe under that.

use crate::ids;

/// The weight of `vm` for `duty`; the highest weight holds the duty.
pub fn weight(duty: &str, vm: &ids::Vm) -> u64 {
    let seed = xxhash_rust::xxh3::xxh3_64(duty.as_bytes());
    xxhash_rust::xxh3::xxh3_64_with_seed(vm.as_str().as_bytes(), seed)
}

/// The `count` VMs of highest weight for `duty`, highest first. Ties, which
/// need equal names, fall back to the name's order.
pub fn pick<'a>(
    duty: &str,
    vms: impl IntoIterator<Item = &'a ids::Vm>,
    count: usize,
) -> Vec<&'a ids::Vm> {
    let mut ranked: Vec<_> = vms.into_iter().map(|vm| (weight(duty, vm), vm)).collect();
    ranked.sort_by(|a, b| b.cmp(a));
    ranked.into_iter().take(count).map(|(_, vm)| vm).collect()
}

#[cfg(test)]
#[path = "tests/rendezvous.rs"]
mod tests;
