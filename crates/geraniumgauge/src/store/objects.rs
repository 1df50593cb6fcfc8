//! An in-memory implementation of the object API without clock or sockets. The
//! simulator of the platform serves it over HTTP, and tests use it directly.

use std::collections;

use crate::ids;
use crate::store;

/// An in-memory object store with versions and conditional writes. Fake stores are made
/// from it.
#[derive(Debug, Clone, Default)]
pub struct Objects {
    revision: ids::Revision,
    objects: collections::BTreeMap<String, store::Object>,
    /// The newest change of each key, deletions included, by revision.
    log: collections::BTreeMap<ids::Revision, store::Change>,
    /// The revision of each key's newest change.
    latest: collections::BTreeMap<String, ids::Revision>,
}

impl Objects {
    /// Reads one object.
    ///
    /// # Errors
    /// [`store::Error::Missing`].
    pub fn get(&self, key: &str) -> Result<store::Object, store::Error> {
        let found = self.objects.get(key).cloned();
        found.ok_or_else(|| store::Error::Missing {
            key: key.to_owned(),
        })
    }

    /// Writes one object if `condition` holds.
    ///
    /// # Errors
    /// [`store::Error::Conflict`], or [`store::Error::Refused`] for a body larger than
    /// [`store::MAX_OBJECT_BYTES`].
    pub fn put(
        &mut self,
        key: &str,
        body: bytes::Bytes,
        condition: store::Condition,
    ) -> Result<ids::ObjectVersion, store::Error> {
        if body.len() > store::MAX_OBJECT_BYTES {
            let reason = format!("{} bytes exceed {}", body.len(), store::MAX_OBJECT_BYTES);
            return Err(store::Error::Refused {
                key: key.to_owned(),
                reason,
            });
        }
        self.check(key, condition)?;
        let version = ids::ObjectVersion(self.revision.0 + 1);
        self.objects
            .insert(key.to_owned(), store::Object { version, body });
        self.record_change(key, version);
        Ok(version)
    }

    /// Deletes one object if `condition` holds.
    ///
    /// # Errors
    /// [`store::Error::Conflict`].
    pub fn delete(&mut self, key: &str, condition: store::Condition) -> Result<(), store::Error> {
        self.check(key, condition)?;
        if self.objects.remove(key).is_some() {
            self.record_change(key, ids::ObjectVersion(0));
        }
        Ok(())
    }

    /// Lists the objects whose keys start with `prefix`.
    pub fn list(&self, prefix: &str) -> store::Listing {
        let from = self.objects.range(prefix.to_owned()..);
        let below = from.take_while(|(key, _)| key.starts_with(prefix));
        let change = |(key, object): (&String, &store::Object)| store::Change {
            key: key.clone(),
            version: object.version,
        };
        store::Listing {
            revision: self.revision,
            changes: below.map(change).collect(),
        }
    }

    /// Returns the newest change of each key below `prefix` after revision `after`.
    pub fn changes(&self, prefix: &str, after: ids::Revision) -> store::Listing {
        let since = self.log.range(ids::Revision(after.0 + 1)..);
        let below = since.filter(|(_, change)| change.key.starts_with(prefix));
        let changes = below.map(|(_, change)| change.clone()).collect();
        store::Listing {
            revision: self.revision,
            changes,
        }
    }

    /// Returns the store's revision.
    pub fn revision(&self) -> ids::Revision {
        self.revision
    }

    fn check(&self, key: &str, condition: store::Condition) -> Result<(), store::Error> {
        let none = ids::ObjectVersion(0);
        let current = self.objects.get(key).map_or(none, |object| object.version);
        let holds = match condition {
            store::Condition::Absent => current == none,
            store::Condition::Version(version) => current == version,
            store::Condition::Any => true,
        };
        if holds {
            Ok(())
        } else {
            Err(store::Error::Conflict {
                key: key.to_owned(),
                current,
            })
        }
    }

    fn record_change(&mut self, key: &str, version: ids::ObjectVersion) {
        self.revision = ids::Revision(self.revision.0 + 1);
        if let Some(earlier) = self.latest.insert(key.to_owned(), self.revision) {
            self.log.remove(&earlier);
        }
        let change = store::Change {
            key: key.to_owned(),
            version,
        };
        self.log.insert(self.revision, change);
    }
}
