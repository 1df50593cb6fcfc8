//! Rendezvous hashing: assigns duties, such as keeping a document, to live VMs.
//!
//! VMs with the same view of the fleet pick the same VMs for a duty, and a VM that
//! joins or leaves moves only its own duties. While views differ, a duty may be held
//! by more VMs than intended, so each duty must tolerate that.

use crate::ids;

/// Returns the weight of `vm` for `duty`; the VM of highest weight holds the duty.
pub fn weight(duty: &str, vm: &ids::Vm) -> u64 {
    let seed = xxhash_rust::xxh3::xxh3_64(duty.as_bytes());
    xxhash_rust::xxh3::xxh3_64_with_seed(vm.as_str().as_bytes(), seed)
}

/// Returns the `count` VMs of highest weight for `duty`, highest first. VMs of equal
/// weight are ordered by name.
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
