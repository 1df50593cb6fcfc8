//! The platform's object API: versioned objects, conditional updates, watches.

mod backoff;
mod budget;
mod calls;
mod client;
mod fake;
mod objects;

pub use backoff::Backoff;
pub use client::Client;
pub use client::IF_VERSION;
pub use client::OBJECT_VERSION;
#[doc(hidden)]
pub use fake::Count;
#[doc(hidden)]
pub use fake::Fake;
#[doc(hidden)]
pub use fake::Faults;
pub use objects::Objects;

use std::time;

use crate::ids;

/// Largest object the platform takes, in bytes.
pub const MAX_OBJECT: usize = 1 << 20;

/// An object as it was read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Object {
    /// Its version; grows with each write of this object.
    pub version: ids::ObjectVersion,
    /// Its content.
    pub body: bytes::Bytes,
}

/// What must hold for a write to take effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Condition {
    /// The object doesn't exist.
    Absent,
    /// The object has this version.
    Version(ids::ObjectVersion),
    /// Anything.
    Any,
}

/// One object that changed, as a watch or a list tells it.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Change {
    /// The object's key.
    pub key: String,
    /// Its version now; 0 where it was deleted.
    pub version: ids::ObjectVersion,
}

/// Objects below a prefix, or those that changed.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Listing {
    /// The store's revision that this shows.
    pub revision: ids::Revision,
    /// The objects, by key.
    pub changes: Vec<Change>,
}

/// One VM of the platform's list. The list lags.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Vm {
    /// Its name.
    pub vm: ids::Vm,
    /// Its mesh address.
    pub address: std::net::SocketAddr,
    /// Where it runs.
    pub data_centre: ids::DataCentre,
    /// The platform is about to stop it.
    #[serde(default)]
    pub leaving: bool,
}

/// Why a store call failed.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(derive_more::Display, derive_more::Error)]
pub enum Error {
    /// The condition didn't hold; nothing was written.
    #[display("{key} is at version {current}, not at the one expected")]
    Conflict {
        /// The object's key.
        key: String,
        /// Its version now.
        current: ids::ObjectVersion,
    },
    /// There is no such object.
    #[display("{key} doesn't exist")]
    Missing {
        /// The object's key.
        key: String,
    },
    /// The call has had no effect: it was not sent, or the store refused it.
    #[display("the store is not available: {reason}")]
    Unavailable {
        /// What was seen.
        reason: String,
    },
    /// A write's reply was lost: it may or may not have taken effect.
    #[display("whether {key} was written isn't known: {reason}")]
    Unsure {
        /// The object's key.
        key: String,
        /// What was seen.
        reason: String,
    },
    /// The store refuses the content, such as an object over [`MAX_OBJECT`].
    #[display("the store refuses {key}: {reason}")]
    Refused {
        /// The object's key.
        key: String,
        /// What it said.
        reason: String,
    },
}

/// The platform's object API. Each call is bounded in time by its implementation.
#[async_trait::async_trait]
pub trait Api: Send + Sync {
    /// Reads one object.
    ///
    /// # Errors
    /// [`Error::Missing`] or [`Error::Unavailable`].
    async fn get(&self, key: &str) -> Result<Object, Error>;

    /// Writes one object where `condition` holds; returns its new version.
    ///
    /// # Errors
    /// Any but [`Error::Missing`]. After [`Error::Unsure`] read back before
    /// trying again.
    async fn put(
        &self,
        key: &str,
        body: bytes::Bytes,
        condition: Condition,
    ) -> Result<ids::ObjectVersion, Error>;

    /// Waits until a write below `key` can be made at once, as far as this VM's
    /// own budget goes. What gathers meanwhile can still join the write.
    async fn ready(&self, key: &str) {
        let _ = key;
    }

    /// Deletes one object where `condition` holds.
    ///
    /// # Errors
    /// As [`Self::put`]; an object that doesn't exist counts as deleted.
    async fn delete(&self, key: &str, condition: Condition) -> Result<(), Error>;

    /// Lists the objects whose keys start with `prefix`.
    ///
    /// # Errors
    /// [`Error::Unavailable`].
    async fn list(&self, prefix: &str) -> Result<Listing, Error>;

    /// Waits up to `wait` for changes below `prefix` after revision `after`;
    /// an empty listing where none came.
    ///
    /// # Errors
    /// [`Error::Unavailable`].
    async fn watch(
        &self,
        prefix: &str,
        after: ids::Revision,
        wait: time::Duration,
    ) -> Result<Listing, Error>;

    /// The platform's list of live and leaving VMs. It lags.
    ///
    /// # Errors
    /// [`Error::Unavailable`].
    async fn vms(&self) -> Result<Vec<Vm>, Error>;
}
