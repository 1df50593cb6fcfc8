//! Messages between VMs with default values for tests.

use std::time;

use crate::spread;

/// Returns the summary of a VM that knows nothing.
pub(crate) fn nothing() -> spread::Summary {
    spread::Summary {
        position: spread::Position::default(),
        verified: false,
        poll: None,
        vms: None,
        members: 0,
    }
}

/// Returns the summary of a VM that holds what a poll showed.
pub(crate) fn of(position: spread::Position) -> spread::Summary {
    spread::Summary {
        position,
        verified: true,
        ..nothing()
    }
}

/// Returns a poll of `vm-1`.
pub(crate) fn poll(number: u64, age: time::Duration) -> spread::Poll {
    spread::Poll {
        vm: "vm-1".parse().expect("a name"),
        number,
        age,
    }
}

/// Returns an update that isn't forwarded.
pub(crate) fn update(vm: &str, summary: spread::Summary) -> spread::Update {
    spread::Update {
        vm: vm.parse().expect("a name"),
        summary,
        unavailable: false,
        forwarding: spread::Forwarding::None,
        changes: None,
    }
}

/// Returns an answer that contains only a summary.
pub(crate) fn answer(summary: spread::Summary) -> spread::Answer {
    spread::Answer {
        summary,
        records: Vec::new(),
        config: None,
        registrations: None,
        redirect: None,
    }
}
