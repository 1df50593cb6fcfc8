//! Messages of another VM that came together.

use std::collections;

use crate::edge::frame;

/// Takes out calls that a later message of the same batch already leaves.
///
/// Guards against calls that run for nobody: a VM that was paused finds seconds
/// of messages when it wakes, and each call in them would still go out with
/// nearly its whole time, up to 2.4 s after its search had been answered
/// elsewhere. The VM that asked has long left those calls, and says so in the
/// same backlog.
pub(super) fn prune(batch: &mut Vec<frame::Kind>) {
    let left = batch.iter().filter_map(|kind| match kind {
        frame::Kind::Leave(leave) => Some(&leave.calls),
        _ => None,
    });
    let left: collections::HashSet<u64> = left.flatten().copied().collect();
    if left.is_empty() {
        return;
    }
    let mut pruned = 0;
    for kind in batch.iter_mut() {
        if let frame::Kind::Ask(ask) = kind {
            let before = ask.calls.len();
            ask.calls.retain(|call| !left.contains(&call.id));
            pruned += before - ask.calls.len();
        }
    }
    batch.retain(|kind| !matches!(kind, frame::Kind::Ask(ask) if ask.calls.is_empty()));
    if pruned > 0 {
        log::info!(calls = pruned; "calls not made: the VM that asked has left them");
    }
}

#[cfg(test)]
mod tests;
