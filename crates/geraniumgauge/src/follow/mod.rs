//! Follows what the platform's store holds.
//!
//! [`poll`] lists one kind again and again by linearizable reads, and so learns
//! the store's revision. [`follow`] lists another kind once and then watches
//! it by reads that may lag; where the store turns out to be further than the
//! watch tells, it lists again. A watch alone can miss changes without a sign:
//! the store may drop it silently, or answer it from a stale copy. A store that
//! can't be reached is no news: what was read stays as it was.

mod peers;
mod poll;
mod watch;

pub use peers::Peers;
pub use peers::Roster;
pub use poll::poll;
pub use watch::Pace;
pub use watch::follow;

use crate::ids;

/// Objects of one kind at one revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Snapshot<T> {
    /// Every object that could be read.
    pub items: Vec<T>,
    /// The revision that this shows.
    pub revision: ids::Revision,
}

/// One change of an object.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change<T> {
    /// It was written.
    Put(T),
    /// It was deleted, or what was written can't be used.
    Gone(String),
}

/// What a follower is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum News<T> {
    /// Everything there is.
    All(Vec<T>),
    /// What changed.
    Changes(Vec<Change<T>>),
}

/// Why the store told nothing.
#[derive(Debug)]
#[derive(derive_more::Display, derive_more::Error)]
pub enum Error {
    /// The history asked for is gone: list again.
    #[display("the store has dropped the history asked for")]
    Expired,
    /// The store refused, or can't be reached.
    #[display("the store told nothing: {_0}")]
    #[error(ignore)]
    Unavailable(String),
}

/// Objects of one kind in the store. Each call is bounded in time.
#[expect(async_fn_in_trait, reason = "followers run on one thread")]
pub trait Source {
    /// An object of the kind.
    type Item;

    /// Everything there is, by linearizable reads.
    ///
    /// # Errors
    /// Where the store doesn't tell.
    async fn list(&mut self) -> Result<Snapshot<Self::Item>, Error>;

    /// What changed after `revision`; waits for a change, but not for ever. May
    /// lag. The revision that the changes lead to.
    ///
    /// # Errors
    /// Where the store doesn't tell.
    async fn watch(
        &mut self,
        revision: ids::Revision,
    ) -> Result<(Vec<Change<Self::Item>>, ids::Revision), Error>;
}

#[cfg(test)]
mod tests;
