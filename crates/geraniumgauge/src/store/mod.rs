//! The platform's object API: versioned objects, conditional writes, watches.

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

/// Maximum size of an object, in bytes.
pub const MAX_OBJECT_BYTES: usize = 1 << 20;

/// An object as it was read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Object {
    /// The object's version; grows with each write of this object.
    pub version: ids::ObjectVersion,
    /// The object's content.
    pub body: bytes::Bytes,
}

/// Precondition of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Condition {
    /// The object must not exist.
    Absent,
    /// The object must have this version.
    Version(ids::ObjectVersion),
    /// The write is unconditional.
    Any,
}

/// One object in the result of a list or a watch.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Change {
    /// The object's key.
    pub key: String,
    /// The object's current version; 0 if it was deleted.
    pub version: ids::ObjectVersion,
}

/// The result of a list or a watch: objects below a prefix, or those of them that
/// changed.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Listing {
    /// The store's revision that the listing reflects.
    pub revision: ids::Revision,
    /// Keys and versions of the objects.
    pub changes: Vec<Change>,
}

/// One VM in the platform's list, which lags behind the VMs' actual state.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Vm {
    /// The VM's name.
    pub vm: ids::Vm,
    /// The VM's mesh address.
    pub address: std::net::SocketAddr,
    /// The data centre that it runs in.
    pub data_centre: ids::DataCentre,
    /// Whether the platform is about to stop it.
    #[serde(default)]
    pub leaving: bool,
}

/// Why a store call failed.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(derive_more::Display, derive_more::Error)]
pub enum Error {
    /// The precondition didn't hold; nothing was written.
    #[display("{key} is at version {current}, not at the one expected")]
    Conflict {
        /// The object's key.
        key: String,
        /// The object's current version.
        current: ids::ObjectVersion,
    },
    /// The object doesn't exist.
    #[display("{key} doesn't exist")]
    Missing {
        /// The object's key.
        key: String,
    },
    /// The call had no effect: it was not sent, or the store refused it.
    #[display("the store is not available: {reason}")]
    Unavailable {
        /// Details of the failure.
        reason: String,
    },
    /// A write's reply was lost: it may or may not have taken effect.
    #[display("whether {key} was written isn't known: {reason}")]
    Unconfirmed {
        /// The object's key.
        key: String,
        /// Details of the failure.
        reason: String,
    },
    /// The store refuses the key or the content, such as an object larger than
    /// [`MAX_OBJECT_BYTES`].
    #[display("the store refuses {key}: {reason}")]
    Refused {
        /// The object's key.
        key: String,
        /// The reason for the refusal.
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

    /// Writes one object if `condition` holds; returns its new version.
    ///
    /// # Errors
    /// Any but [`Error::Missing`]. After [`Error::Unconfirmed`] read the object before
    /// writing it again.
    async fn put(
        &self,
        key: &str,
        body: bytes::Bytes,
        condition: Condition,
    ) -> Result<ids::ObjectVersion, Error>;

    /// Waits until this VM's own budget allows a write below `key` without further
    /// delay. Until then the caller can add more to the write.
    async fn wait_for_write_budget(&self, key: &str) {
        let _ = key;
    }

    /// Deletes one object if `condition` holds.
    ///
    /// # Errors
    /// As for [`Self::put`]; an object that doesn't exist counts as deleted.
    async fn delete(&self, key: &str, condition: Condition) -> Result<(), Error>;

    /// Lists the objects whose keys start with `prefix`.
    ///
    /// # Errors
    /// [`Error::Unavailable`].
    async fn list(&self, prefix: &str) -> Result<Listing, Error>;

    /// Waits up to `wait` for changes below `prefix` after revision `after`. The
    /// listing is empty if there were none.
    ///
    /// # Errors
    /// [`Error::Unavailable`].
    async fn watch(
        &self,
        prefix: &str,
        after: ids::Revision,
        wait: time::Duration,
    ) -> Result<Listing, Error>;

    /// Returns the platform's list of live and leaving VMs, which may be outdated.
    ///
    /// # Errors
    /// [`Error::Unavailable`].
    async fn vms(&self) -> Result<Vec<Vm>, Error>;
}
