//! Messages of another VM that were received together.

use std::collections;

use crate::edge::frame;

/// Removes calls that a later message of the same backlog abandons.
///
/// Guards against calls whose results nobody wants: a VM that resumes after a pause
/// reads seconds of messages, and would make each call in them with nearly its whole
/// time left, up to 2.4 s after its search was answered from elsewhere. The requester
/// abandoned those calls long ago, and that message is in the same backlog.
pub(super) fn prune(messages: &mut Vec<frame::Kind>) {
    let abandoned = messages.iter().filter_map(|kind| match kind {
        frame::Kind::Abandon(abandon) => Some(&abandon.calls),
        _ => None,
    });
    let abandoned: collections::HashSet<u64> = abandoned.flatten().copied().collect();
    if abandoned.is_empty() {
        return;
    }
    let mut pruned = 0;
    for kind in messages.iter_mut() {
        if let frame::Kind::Batch(batch) = kind {
            let before = batch.calls.len();
            batch.calls.retain(|call| !abandoned.contains(&call.id));
            pruned += before - batch.calls.len();
        }
    }
    messages.retain(|kind| !matches!(kind, frame::Kind::Batch(batch) if batch.calls.is_empty()));
    if pruned > 0 {
        log::info!(calls = pruned; "calls not made: the requester has abandoned them");
    }
}

/// Removes all calls: their requester's connection has ended.
///
/// Guards against the same calls as [`prune`], where the requester has died while this VM
/// was paused, and so hasn't abandoned them.
pub(super) fn remove_calls(messages: &mut Vec<frame::Kind>) {
    messages.retain(|kind| !matches!(kind, frame::Kind::Batch(_)));
}

#[cfg(test)]
mod tests;
