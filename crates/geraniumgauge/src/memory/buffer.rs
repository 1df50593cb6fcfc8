//! A buffer that has a part of a budget.

use crate::memory;
use crate::rate;

/// Capacity of a buffer after its first bytes, in bytes, unless it needs less.
const MIN_CAPACITY: usize = 1 << 10;
/// Largest capacity on the heap, in bytes. Larger buffers are mapped by themselves: on the heap,
/// those that come and go leave gaps that take up as much memory again.
const MAX_HEAP_CAPACITY: usize = 32 << 10;

/// What is known of how many bytes a buffer will have.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Size {
    /// There will be exactly so many. Their part of the budget is taken at once, so that a
    /// message that has begun never lacks memory later.
    Known(usize),
    /// There will be so many at most. Their part of the budget is taken as they come.
    AtMost(usize),
}

/// Bytes of a message, with the part of a budget that they take up.
#[derive(Debug)]
pub struct Buffer {
    storage: Storage,
    hold: memory::Hold,
}

#[derive(Debug)]
enum Storage {
    Heap(Vec<u8>),
    Mapped { map: memmap2::MmapMut, len: usize },
}

impl Buffer {
    /// Creates an empty buffer that takes its part of `budget` as it grows.
    pub fn new(budget: &memory::Budget) -> Self {
        Self {
            storage: Storage::Heap(Vec::new()),
            hold: budget.hold(),
        }
    }

    /// Returns the number of bytes.
    pub fn len(&self) -> usize {
        match &self.storage {
            Storage::Heap(bytes) => bytes.len(),
            Storage::Mapped { len, .. } => *len,
        }
    }

    /// Returns whether there are no bytes.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns how much of the budget it holds.
    pub fn held(&self) -> rate::Bytes {
        self.hold.held()
    }

    /// Appends bytes. `size` is what is known of how many there will be.
    ///
    /// # Errors
    /// If the budget is exhausted, or the system has no memory. Nothing is appended then.
    pub fn append(&mut self, bytes: &[u8], size: Size) -> Result<(), memory::Exhausted> {
        let len = self.len() + bytes.len();
        if len > self.capacity() {
            self.grow(len, size)?;
        }
        match &mut self.storage {
            Storage::Heap(heap) => heap.extend_from_slice(bytes),
            Storage::Mapped { map, len: old_len } => {
                map[*old_len..len].copy_from_slice(bytes);
                *old_len = len;
            }
        }
        Ok(())
    }

    /// Returns how many bytes there is room for, in what it holds of the budget.
    fn capacity(&self) -> usize {
        match &self.storage {
            Storage::Heap(heap) => heap.capacity(),
            Storage::Mapped { .. } => usize::try_from(self.hold.held().0).unwrap_or(usize::MAX),
        }
    }

    /// Makes room for `len` bytes.
    fn grow(&mut self, len: usize, size: Size) -> Result<(), memory::Exhausted> {
        let doubled = (2 * self.capacity()).max(MIN_CAPACITY);
        let (capacity, max_capacity) = match size {
            Size::Known(known) => (known.max(len), known.max(len)),
            Size::AtMost(max) => (doubled.min(max).max(len), max.max(len)),
        };
        self.hold.resize(rate::Bytes(capacity as u64))?;
        let Storage::Heap(heap) = &mut self.storage else {
            return Ok(());
        };
        if capacity <= MAX_HEAP_CAPACITY {
            heap.reserve_exact(capacity - heap.len());
            return Ok(());
        }
        // The system takes memory for what is written only.
        let map = memmap2::MmapMut::map_anon(max_capacity);
        let mut map = map.map_err(|_| memory::Exhausted {
            missing: rate::Bytes(max_capacity as u64),
        })?;
        map[..heap.len()].copy_from_slice(heap);
        let len = heap.len();
        self.storage = Storage::Mapped { map, len };
        Ok(())
    }

    /// Leaves an empty buffer and returns the one before.
    pub fn take(&mut self) -> Self {
        let empty = Self::new(self.hold.budget());
        std::mem::replace(self, empty)
    }

    /// Returns the bytes, which give the part of the budget back when the last clone of them is
    /// dropped.
    pub fn freeze(mut self) -> bytes::Bytes {
        if self.is_empty() {
            return bytes::Bytes::new();
        }
        if let Storage::Heap(heap) = &mut self.storage {
            heap.shrink_to_fit();
            let taken = rate::Bytes(heap.len() as u64);
            // Holding less always succeeds.
            let _ = self.hold.resize(taken.min(self.hold.held()));
        }
        bytes::Bytes::from_owner(self)
    }
}

impl AsRef<[u8]> for Buffer {
    fn as_ref(&self) -> &[u8] {
        match &self.storage {
            Storage::Heap(bytes) => bytes,
            Storage::Mapped { map, len } => &map[..*len],
        }
    }
}
