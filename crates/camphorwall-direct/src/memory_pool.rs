//! Parts of the process's memory that requests share.

use std::{cell::Cell, rc::Rc};

/// Memory of the process that is assumed if the settings contain no limit, in MiB.
const DEFAULT_MEMORY_MB: usize = 256;

/// A part of the process's memory.
#[derive(Debug)]
pub(crate) struct MemoryPool {
    held_bytes: Cell<usize>,
    limit_bytes: Cell<usize>,
    /// Divisor of the process's memory that gives the pool's limit.
    divisor: usize,
}

/// Memory that is reserved in a pool until it is dropped.
#[derive(Debug)]
pub(crate) struct MemoryShare {
    pool: Rc<MemoryPool>,
    bytes: usize,
}

impl MemoryPool {
    /// Creates a pool of the process's memory over a divisor.
    pub(crate) fn new(memory_mb: Option<usize>, divisor: usize) -> Rc<Self> {
        let pool = Self {
            held_bytes: Cell::new(0),
            limit_bytes: Cell::new(0),
            divisor,
        };
        pool.set_memory(memory_mb);
        Rc::new(pool)
    }

    /// Applies a changed limit of the process's memory.
    pub(crate) fn set_memory(&self, memory_mb: Option<usize>) {
        let memory_bytes = memory_mb.unwrap_or(DEFAULT_MEMORY_MB) * 1_024 * 1_024;
        self.limit_bytes.set(memory_bytes / self.divisor);
    }

    /// A share of the pool that holds nothing yet.
    pub(crate) fn share(self: &Rc<Self>) -> MemoryShare {
        MemoryShare {
            pool: Rc::clone(self),
            bytes: 0,
        }
    }

    /// Reserves memory; `None` if the pool has too little left.
    pub(crate) fn reserve(self: &Rc<Self>, bytes: usize) -> Option<MemoryShare> {
        let mut share = self.share();
        share.grow_to(bytes).then_some(share)
    }
}

impl MemoryShare {
    /// Extends the reservation to a size; returns whether the pool has enough left. Otherwise the share stays as it is.
    pub(crate) fn grow_to(&mut self, bytes: usize) -> bool {
        let added = bytes.saturating_sub(self.bytes);
        let held = self.pool.held_bytes.get() + added;
        if held > self.pool.limit_bytes.get() {
            return false;
        }
        self.pool.held_bytes.set(held);
        self.bytes += added;
        true
    }
}

impl Drop for MemoryShare {
    fn drop(&mut self) {
        let held = self.pool.held_bytes.get();
        self.pool.held_bytes.set(held - self.bytes);
    }
}
