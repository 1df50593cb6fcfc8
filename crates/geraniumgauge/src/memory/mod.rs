//! Bounds the memory that others' messages take up in a VM.
//!
//! A [`Budget`] is a number of bytes that all messages share. Whatever buffers bytes of a message
//! has a [`Hold`] of the budget, takes its part before it allocates, and gives the part back when
//! it is dropped. A [`Buffer`] does so by itself.

mod buffer;

pub use buffer::Buffer;
pub use buffer::Size;

use std::sync;
use std::sync::atomic;

use crate::rate;

/// Holders of up to this size may use the whole budget. Larger ones leave some of it, so that
/// small messages find room beside large ones.
const SMALL_HOLD: rate::Bytes = rate::Bytes(16 << 10);
/// The part of a budget that is left for small holders: one part in this many.
const SMALL_PART: u64 = 8;

/// Not enough of a budget is left.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(derive_more::Display, derive_more::Error)]
#[display("no memory left for {missing} more")]
pub struct Exhausted {
    /// How much more was asked for.
    pub missing: rate::Bytes,
}

/// A number of bytes that holders share. Clones are the same budget.
#[derive(Debug, Clone)]
pub struct Budget {
    shared: sync::Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    limit: rate::Bytes,
    used: atomic::AtomicU64,
}

impl Budget {
    /// Creates a budget of `limit` bytes.
    pub fn new(limit: rate::Bytes) -> Self {
        let used = atomic::AtomicU64::new(0);
        Self {
            shared: sync::Arc::new(Shared { limit, used }),
        }
    }

    /// Creates a budget that is never exhausted.
    pub fn unlimited() -> Self {
        Self::new(rate::Bytes(u64::MAX))
    }

    /// Returns a holder that has nothing yet.
    pub fn hold(&self) -> Hold {
        Hold {
            budget: self.clone(),
            held: rate::Bytes(0),
        }
    }

    /// Returns how much is held.
    pub fn used(&self) -> rate::Bytes {
        rate::Bytes(self.shared.used.load(atomic::Ordering::Relaxed))
    }

    /// Returns whether a large holder may take so many bytes more.
    pub fn has_room_for(&self, bytes: rate::Bytes) -> bool {
        let limit = self.shared.limit.0;
        self.used().0.saturating_add(bytes.0) <= limit - limit / SMALL_PART
    }

    /// Returns the size of the budget.
    pub fn limit(&self) -> rate::Bytes {
        self.shared.limit
    }

    /// Returns how much a holder that has `held` afterwards may bring the use to.
    fn limit_of(&self, held: rate::Bytes) -> u64 {
        let limit = self.shared.limit.0;
        if held <= SMALL_HOLD {
            limit
        } else {
            limit - limit / SMALL_PART
        }
    }
}

/// A part of a budget, given back when it is dropped.
#[derive(Debug)]
pub struct Hold {
    budget: Budget,
    held: rate::Bytes,
}

impl Hold {
    /// Returns the budget that it has a part of.
    pub fn budget(&self) -> &Budget {
        &self.budget
    }

    /// Returns how much is held.
    pub fn held(&self) -> rate::Bytes {
        self.held
    }

    /// Holds `bytes` in place of what is held.
    ///
    /// # Errors
    /// If that is more, and not enough of the budget is left. Nothing changes then.
    pub fn resize(&mut self, bytes: rate::Bytes) -> Result<(), Exhausted> {
        let used = &self.budget.shared.used;
        let Some(missing) = bytes.0.checked_sub(self.held.0) else {
            used.fetch_sub(self.held.0 - bytes.0, atomic::Ordering::Relaxed);
            self.held = bytes;
            return Ok(());
        };
        let limit = self.budget.limit_of(bytes);
        let add = |used: u64| used.checked_add(missing).filter(|sum| *sum <= limit);
        let relaxed = atomic::Ordering::Relaxed;
        let updated = used.fetch_update(relaxed, relaxed, add);
        updated.map_err(|_| Exhausted {
            missing: rate::Bytes(missing),
        })?;
        self.held = bytes;
        Ok(())
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        let used = &self.budget.shared.used;
        used.fetch_sub(self.held.0, atomic::Ordering::Relaxed);
    }
}

#[cfg(test)]
mod tests;
