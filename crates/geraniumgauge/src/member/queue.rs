//! The gossip queue: records and updates to send, by priority and then the least
//! often sent first, each a bounded number of times.

use std::collections;
use std::sync;

use crate::ids;
use crate::member;

/// Identifies a queued record or update. Its content is looked up when it is sent,
/// so a newer version replaces an older one without being queued twice.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) enum Subject {
    Vm(ids::Vm),
    Update(member::Topic, sync::Arc<str>),
}

impl Subject {
    /// Returns the send priority; lower goes first. When a data centre is lost,
    /// hundreds of records are queued, and marks and accepted documents must not
    /// wait behind them. What each VM applies is only counted, so it goes last.
    fn priority(&self) -> u8 {
        match self {
            Self::Update(member::Topic::Mark, _) => 0,
            Self::Update(member::Topic::Catalog, _) => 1,
            Self::Vm(_) => 2,
            Self::Update(member::Topic::Applied, _) => 3,
        }
    }

    /// Whether the subject is sent from the reserve once the budget is used up.
    pub(super) fn is_urgent(&self) -> bool {
        self.priority() <= 1
    }
}

/// Queued subjects and how often each has been sent.
#[derive(Debug, Default)]
pub(super) struct Queue {
    order: collections::BTreeSet<(u8, u32, Subject)>,
    sent: collections::HashMap<Subject, u32>,
}

impl Queue {
    /// Queues a subject whose content is new, and resets its count.
    pub(super) fn add(&mut self, subject: Subject) {
        self.remove(&subject);
        self.order.insert((subject.priority(), 0, subject.clone()));
        self.sent.insert(subject, 0);
    }

    pub(super) fn remove(&mut self, subject: &Subject) {
        if let Some(sent) = self.sent.remove(subject) {
            self.order
                .remove(&(subject.priority(), sent, subject.clone()));
        }
    }

    /// Returns the queued subjects in the order of sending.
    pub(super) fn iter(&self) -> impl Iterator<Item = &Subject> {
        self.order.iter().map(|(_, _, subject)| subject)
    }

    /// Counts one transmission of `subject` and removes it after `limit` of them.
    pub(super) fn count_sent(&mut self, subject: &Subject, limit: u32) {
        let Some(sent) = self.sent.get_mut(subject) else {
            return;
        };
        let entry = (subject.priority(), *sent, subject.clone());
        self.order.remove(&entry);
        *sent += 1;
        if *sent >= limit {
            self.sent.remove(subject);
        } else {
            self.order.insert((entry.0, *sent, entry.2));
        }
    }

    pub(super) fn len(&self) -> usize {
        self.order.len()
    }
}
