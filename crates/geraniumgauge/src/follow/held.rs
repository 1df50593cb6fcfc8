//! What this VM holds of one kind, by name and revision.

use std::cell;
use std::collections;
use std::rc;

use crate::follow;
use crate::ids;

/// A hash of a set of objects, the same in any order. Equal sets have equal
/// digests; different ones differ but for one chance in 2^64.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(derive_more::Display)]
#[display("{_0:016x}")]
pub struct Digest(pub u64);

impl Digest {
    /// Adds an object, or takes it out where it is in.
    fn toggle(&mut self, name: &str, revision: ids::Revision) {
        self.0 ^= xxhash_rust::xxh3::xxh3_64_with_seed(name.as_bytes(), revision.0);
    }

    /// The digest of a whole list.
    pub fn of<T>(items: &[follow::Item<T>]) -> Self {
        let mut digest = Self::default();
        for item in items {
            digest.toggle(&item.name, item.revision);
        }
        digest
    }
}

/// Names and revisions of the objects held, shared by those who read them.
pub type Shared = rc::Rc<cell::RefCell<Held>>;

/// Names and revisions of the objects held.
#[derive(Debug, Default)]
pub struct Held {
    objects: collections::HashMap<String, ids::Revision>,
    digest: Digest,
    at: Option<ids::Revision>,
}

impl Held {
    /// Takes a list; false where it is older than what is held.
    pub fn list<T>(&mut self, snapshot: &follow::Snapshot<T>) -> bool {
        if self.at.is_some_and(|at| at > snapshot.revision) {
            return false;
        }
        let items = snapshot.items.iter();
        self.objects = items
            .map(|item| (item.name.clone(), item.revision))
            .collect();
        self.digest = Digest::of(&snapshot.items);
        self.at = Some(snapshot.revision);
        true
    }

    /// Takes changes that lead to `revision`. Keeps those that are newer than
    /// what is held: a copy that lags may tell of what a list told before.
    pub fn change<T>(
        &mut self,
        changes: Vec<follow::Change<T>>,
        revision: ids::Revision,
    ) -> Vec<follow::Change<T>> {
        self.at = self.at.max(Some(revision));
        changes
            .into_iter()
            .filter(|change| self.apply(change))
            .collect()
    }

    fn apply<T>(&mut self, change: &follow::Change<T>) -> bool {
        match change {
            follow::Change::Put(item) => {
                let known = self.objects.get(&item.name).copied();
                if known.is_some_and(|known| known >= item.revision) {
                    return false;
                }
                if let Some(known) = known {
                    self.digest.toggle(&item.name, known);
                }
                self.digest.toggle(&item.name, item.revision);
                self.objects.insert(item.name.clone(), item.revision);
                true
            }
            follow::Change::Gone(name) => {
                let Some(known) = self.objects.remove(name) else {
                    return false;
                };
                self.digest.toggle(name, known);
                true
            }
        }
    }

    /// The revision of an object that is held.
    pub fn revision(&self, name: &str) -> Option<ids::Revision> {
        self.objects.get(name).copied()
    }

    /// The digest of what is held.
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// The store's revision that is held; `None` before the first list.
    pub fn at(&self) -> Option<ids::Revision> {
        self.at
    }
}
