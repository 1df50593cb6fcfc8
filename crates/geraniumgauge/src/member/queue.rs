//! News still to be passed on: the least-told first, each a bounded number of times.

use std::collections;
use std::sync;

use crate::ids;
use crate::member;

/// What a piece of news is about; its content is looked up when it's sent, so
/// a newer saying takes the older one's place without being queued twice.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) enum Subject {
    Vm(ids::Vm),
    Rumour(member::Topic, sync::Arc<str>),
}

impl Subject {
    /// Lower goes first. When a data centre is lost, hundreds of sayings wait;
    /// marks and accepted documents must not wait behind them. What each VM
    /// applies is only counted.
    fn class(&self) -> u8 {
        match self {
            Self::Rumour(member::Topic::Mark, _) => 0,
            Self::Rumour(member::Topic::Catalog, _) => 1,
            Self::Vm(_) => 2,
            Self::Rumour(member::Topic::Applied, _) => 3,
        }
    }

    /// Whether it's sent from the reserve when all else is spent.
    pub(super) fn is_urgent(&self) -> bool {
        self.class() <= 1
    }
}

/// The queue.
#[derive(Debug, Default)]
pub(super) struct Queue {
    order: collections::BTreeSet<(u8, u32, Subject)>,
    told: collections::HashMap<Subject, u32>,
}

impl Queue {
    /// `subject` has news: it's told from the start again.
    pub(super) fn add(&mut self, subject: Subject) {
        self.remove(&subject);
        self.order.insert((subject.class(), 0, subject.clone()));
        self.told.insert(subject, 0);
    }

    pub(super) fn remove(&mut self, subject: &Subject) {
        if let Some(told) = self.told.remove(subject) {
            self.order.remove(&(subject.class(), told, subject.clone()));
        }
    }

    /// The subjects to be told next, in order.
    pub(super) fn next(&self) -> impl Iterator<Item = &Subject> {
        self.order.iter().map(|(_, _, subject)| subject)
    }

    /// `subject` was told once more; at `limit` times it's dropped.
    pub(super) fn told(&mut self, subject: &Subject, limit: u32) {
        let Some(told) = self.told.get_mut(subject) else {
            return;
        };
        let entry = (subject.class(), *told, subject.clone());
        self.order.remove(&entry);
        *told += 1;
        if *told >= limit {
            self.told.remove(subject);
        } else {
            self.order.insert((entry.0, *told, entry.2));
        }
    }

    pub(super) fn len(&self) -> usize {
        self.order.len()
    }
}
