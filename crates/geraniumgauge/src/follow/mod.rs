//! Kinds of objects in the platform's store, read by lists and watches.
//!
//! A watch alone can miss changes without a sign: the store may drop it
//! silently, or answer it from a stale copy. So what is held has a digest
//! ([`Held`]), by which it is compared with a linearizable list. A store that
//! can't be reached is no news: what was read stays as it was. Who reads, and
//! how the other VMs hear of it, is the matter of [`crate::spread`].

mod held;

pub use held::Digest;
pub use held::Held;
pub use held::Since;

use crate::ids;
use crate::time as clock;

/// An object as it was read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Item<T> {
    /// Its name, unique in its kind.
    pub name: String,
    /// The revision of its last change.
    pub revision: ids::Revision,
    /// What it says; `None` where it can't be used.
    pub value: Option<T>,
}

/// Objects of one kind at one revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Snapshot<T> {
    /// Every object.
    pub items: Vec<Item<T>>,
    /// The store's revision that this shows.
    pub revision: ids::Revision,
}

/// One change of an object.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change<T> {
    /// It was written.
    Put(Item<T>),
    /// It was deleted.
    Gone(String),
}

/// What is told of a kind.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum News<T> {
    /// Everything there is.
    All(Vec<Item<T>>),
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
    /// What an object of the kind says.
    type Value;

    /// When bytes of the store came last.
    fn heard(&self) -> clock::Latest;

    /// Everything there is, by a linearizable read.
    ///
    /// # Errors
    /// Where the store doesn't tell.
    async fn list(&mut self) -> Result<Snapshot<Self::Value>, Error>;

    /// What changed after `revision`; waits for a change, but not for ever. May
    /// lag. The revision that the changes lead to.
    ///
    /// # Errors
    /// Where the store doesn't tell.
    async fn watch(
        &mut self,
        revision: ids::Revision,
    ) -> Result<(Vec<Change<Self::Value>>, ids::Revision), Error>;
}

#[cfg(test)]
mod tests;
