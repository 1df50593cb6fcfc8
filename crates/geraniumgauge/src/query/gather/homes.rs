//! The VMs that a search has called. They keep their numbers when the plan is
//! replaced: replies and cancels of earlier calls still need them.

use crate::ids;
use crate::query::plan;

/// VMs by number, and the numbers of a plan's VMs.
#[derive(Debug)]
pub(super) struct Homes {
    names: Vec<ids::Vm>,
    /// By the VM's number in the present plan.
    numbers: Vec<u32>,
}

impl Homes {
    pub(super) fn new(plan: &plan::Plan) -> Self {
        Self {
            names: plan.vms.iter().map(|vm| vm.id.clone()).collect(),
            numbers: (0..plan.vms.len() as u32).collect(),
        }
    }

    /// Numbers the VMs of a new plan; known ones keep theirs.
    pub(super) fn follow(&mut self, plan: &plan::Plan) {
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

    /// The number of the plan's VM `vm`.
    pub(super) fn number(&self, vm: u32) -> u32 {
        self.numbers[vm as usize]
    }

    pub(super) fn name(&self, number: u32) -> &ids::Vm {
        &self.names[number as usize]
    }

    pub(super) fn find(&self, name: &ids::Vm) -> Option<u32> {
        let at = self.names.iter().position(|known| known == name);
        at.map(|at| at as u32)
    }
}
