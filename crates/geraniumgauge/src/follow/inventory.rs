//! Names and revisions of the objects of one kind that this VM has read.

use std::collections;

use crate::follow;
use crate::ids;

/// Number of deletions that are kept. A VM that lags by more of them is sent all
/// objects.
const MAX_DELETIONS: usize = 4096;

/// An order-independent hash of a set of objects' names and revisions. Digests of
/// different sets collide with a probability of 1 in 2^64.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(derive_more::Display)]
#[display("{_0:016x}")]
pub struct Digest(pub u64);

impl Digest {
    /// Adds an object, or removes it if it is part of the digest.
    fn toggle(&mut self, name: &str, revision: ids::Revision) {
        self.0 ^= xxhash_rust::xxh3::xxh3_64_with_seed(name.as_bytes(), revision.0);
    }

    /// Computes the digest of `items`.
    pub fn of<T>(items: &[follow::Item<T>]) -> Self {
        let mut digest = Self::default();
        for item in items {
            digest.toggle(&item.name, item.revision);
        }
        digest
    }
}

/// The changes since an earlier revision, by object name.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Difference {
    /// Objects written since that revision, with the revision of their last change.
    pub put: Vec<(String, ids::Revision)>,
    /// Objects deleted since that revision.
    pub gone: Vec<String>,
}

/// Names, revisions and digest of the objects read so far, and the latest
/// deletions.
#[derive(Debug, Default)]
pub struct Inventory {
    objects: collections::HashMap<String, ids::Revision>,
    digest: Digest,
    /// The store's revision that the objects reflect; `None` before the first list.
    revision: Option<ids::Revision>,
    /// Deletions with the revision at which they were received, oldest first.
    deletions: collections::VecDeque<(ids::Revision, String)>,
    /// All deletions after this revision are kept.
    deletions_after: ids::Revision,
}

impl Inventory {
    /// Replaces the objects by a list. Returns false, and changes nothing, if the
    /// list is older than the objects held.
    pub fn apply_list<T>(&mut self, snapshot: &follow::Snapshot<T>) -> bool {
        let Some(revision) = self.revision else {
            self.deletions_after = snapshot.revision;
            self.replace(snapshot);
            return true;
        };
        if revision > snapshot.revision {
            return false;
        }
        let before = std::mem::take(&mut self.objects);
        self.replace(snapshot);
        for name in before.into_keys() {
            if !self.objects.contains_key(&name) {
                self.add_deletion(snapshot.revision, name);
            }
        }
        true
    }

    fn replace<T>(&mut self, snapshot: &follow::Snapshot<T>) {
        let items = snapshot.items.iter();
        self.objects = items
            .map(|item| (item.name.clone(), item.revision))
            .collect();
        self.digest = Digest::of(&snapshot.items);
        self.revision = Some(snapshot.revision);
    }

    /// Applies changes that lead to `revision`, and returns those that took effect.
    /// Changes that aren't newer than the objects held are dropped: a watch of a
    /// lagging copy repeats changes that a list has already shown.
    pub fn apply_changes<T>(
        &mut self,
        changes: Vec<follow::Change<T>>,
        revision: ids::Revision,
    ) -> Vec<follow::Change<T>> {
        self.revision = self.revision.max(Some(revision));
        changes
            .into_iter()
            .filter(|change| self.apply(change, revision))
            .collect()
    }

    fn apply<T>(&mut self, change: &follow::Change<T>, received: ids::Revision) -> bool {
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
            follow::Change::Deleted(name) => {
                // The object was written again after this deletion.
                if self.revision_of(name).is_some_and(|known| known > received) {
                    return false;
                }
                let Some(known) = self.objects.remove(name) else {
                    return false;
                };
                self.digest.toggle(name, known);
                self.add_deletion(received, name.clone());
                true
            }
        }
    }

    fn add_deletion(&mut self, revision: ids::Revision, name: String) {
        self.deletions.push_back((revision, name));
        while self.deletions.len() > MAX_DELETIONS {
            let Some((dropped, _)) = self.deletions.pop_front() else {
                return;
            };
            self.deletions_after = self.deletions_after.max(dropped);
        }
    }

    /// Records that the objects held also reflect the store at `revision`.
    pub fn advance(&mut self, revision: ids::Revision) {
        self.revision = self.revision.max(Some(revision));
    }

    /// Returns the changes after `revision`; `None` if some deletions since then
    /// are no longer kept.
    pub fn since(&self, revision: ids::Revision) -> Option<Difference> {
        if self.revision.is_none() || revision < self.deletions_after {
            return None;
        }
        let newer = self.objects.iter().filter(|(_, known)| **known > revision);
        let gone = self.deletions.iter().filter(|(at, _)| *at > revision);
        let gone = gone.filter(|(_, name)| !self.objects.contains_key(name));
        Some(Difference {
            put: newer.map(|(name, known)| (name.clone(), *known)).collect(),
            gone: gone.map(|(_, name)| name.clone()).collect(),
        })
    }

    /// Returns all objects, as changes since an empty state.
    pub fn all(&self) -> Difference {
        let objects = self.objects.iter();
        Difference {
            put: objects
                .map(|(name, known)| (name.clone(), *known))
                .collect(),
            gone: Vec::new(),
        }
    }

    fn revision_of(&self, name: &str) -> Option<ids::Revision> {
        self.objects.get(name).copied()
    }

    /// Returns the digest of the objects held.
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// Returns the store's revision that the objects reflect; `None` before the
    /// first list.
    pub fn revision(&self) -> Option<ids::Revision> {
        self.revision
    }
}
