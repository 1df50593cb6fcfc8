use super::*;

fn vms(count: u8) -> Vec<ids::Vm> {
    (0..count)
        .map(|n| format!("vm-{n}").parse().unwrap())
        .collect()
}

/// When a VM is replaced, the duties of the other VMs must not move: otherwise every
/// replacement would close connections throughout the fleet.
#[test]
fn a_lost_vm_moves_only_its_own_duties() {
    fn property(duty: u16, lost: u8) -> bool {
        let all = vms(9);
        let duty = duty.to_string();
        let before = pick(&duty, &all, 2);
        let gone = &all[usize::from(lost % 9)];
        let after = pick(&duty, all.iter().filter(|vm| *vm != gone), 2);
        before
            .iter()
            .filter(|vm| **vm != gone)
            .all(|vm| after.contains(vm))
    }
    crate::seeds::checker().quickcheck(property as fn(u16, u8) -> bool);
}
