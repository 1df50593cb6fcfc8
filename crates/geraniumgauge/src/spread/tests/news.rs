//! What VMs tell each other, as far as a test doesn't say otherwise.

use std::time;

use crate::spread;

/// The summary of a VM that knows nothing.
pub(crate) fn nothing() -> spread::Summary {
    spread::Summary {
        holds: spread::Holds::default(),
        sure: false,
        look: None,
        vms: None,
        members: 0,
    }
}

/// The summary of a VM that holds what a look showed.
pub(crate) fn of(holds: spread::Holds) -> spread::Summary {
    spread::Summary {
        holds,
        sure: true,
        ..nothing()
    }
}

/// A look of one VM.
pub(crate) fn look(number: u64, age: time::Duration) -> spread::Look {
    spread::Look {
        vm: "vm-1".parse().expect("a name"),
        number,
        age,
    }
}

/// An update of one VM to those that it tells directly.
pub(crate) fn update(vm: &str, summary: spread::Summary) -> spread::Update {
    spread::Update {
        vm: vm.parse().expect("a name"),
        summary,
        away: false,
        pass: spread::Pass::None,
        changes: None,
    }
}

/// An answer that bears nothing but a summary.
pub(crate) fn answer(summary: spread::Summary) -> spread::Answer {
    spread::Answer {
        summary,
        records: Vec::new(),
        config: None,
        registrations: None,
        elsewhere: None,
    }
}
