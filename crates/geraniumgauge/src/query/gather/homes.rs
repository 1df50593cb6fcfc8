//! Numbers the VMs that a search may call. A VM keeps its number when the plan
//! is replaced, because replies and cancels of earlier calls still refer to it.

use crate::ids;
use crate::query::plan;

/// Stable numbers for VMs across plans.
#[derive(Debug)]
pub(super) struct Homes {
    /// Names of the VMs, indexed by number.
    names: Vec<ids::Vm>,
    /// Numbers, indexed by the VM's index in the present plan.
    numbers: Vec<u32>,
}

impl Homes {
    pub(super) fn new(plan: &plan::Plan) -> Self {
        Self {
            names: plan.vms.iter().map(|vm| vm.id.clone()).collect(),
            numbers: (0..plan.vms.len() as u32).collect(),
        }
    }

    /// Adopts the VMs of a new plan. Known VMs keep their numbers.
    pub(super) fn adopt(&mut self, plan: &plan::Plan) {
        self.numbers.clear();
        for vm in &plan.vms {
            let known = self.names.iter().position(|name| *name == vm.id);
            let number = known.unwrap_or(self.names.len());
            if known.is_none() {
                self.names.push(vm.id.clone());
            }
            self.numbers.push(number as u32);
        }
    }

    /// Returns the number of the VM at index `vm` of the present plan.
    pub(super) fn number(&self, vm: u32) -> u32 {
        self.numbers[vm as usize]
    }

    /// Returns the name of the VM with a number.
    pub(super) fn name(&self, number: u32) -> &ids::Vm {
        &self.names[number as usize]
    }

    /// Returns the number of the VM with a name, if it has one.
    pub(super) fn find(&self, name: &ids::Vm) -> Option<u32> {
        let at = self.names.iter().position(|known| known == name);
        at.map(|at| at as u32)
    }
}
