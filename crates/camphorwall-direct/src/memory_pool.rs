//! The account of the memory that an entry holds for others: buffers of connections, bodies, answers, pages of the store.
//!
//! Bytes are reserved as they arrive. When memory is short, bodies that are still arriving yield what they hold: those
//! that have stalled first, then large ones, of each kind the newest first. What has been admitted keeps its memory.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;

use crate::{blocks::Blocks, clock::Moment, notify::Notify};

/// Memory of the process that is assumed if the settings contain no limit, in MiB.
const DEFAULT_MEMORY_MB: usize = 256;

/// Size up to which a body counts as small. Larger ones yield to it, and leave a part of the pool to small ones.
const SMALL_BODY_BYTES: usize = 64 * 1024;

/// Divisor of the pool that gives the part which large bodies leave to small bodies.
const SMALL_BODIES_PART: usize = 8;

/// Divisor of the pool that gives the part which answers leave to requests. An answer without room is passed on as it
/// arrives; a request without room is refused.
const REQUESTS_PART: usize = 4;

/// Time without further bytes after which a body yields before all others. A client inside the limits may pause longer, and
/// keeps its body while there is memory.
const STALLED_AFTER: Duration = Duration::from_secs(1);

/// Size of the first block of a body.
const FIRST_BLOCK_BYTES: usize = 1024;

/// Largest block of a body. Blocks of one size leave no gaps in the heap when they are freed.
const MAX_BLOCK_BYTES: usize = 16 * 1024;

/// An account of memory.
#[derive(Debug)]
pub(crate) struct MemoryPool {
    held_bytes: Cell<usize>,
    limit_bytes: Cell<usize>,
    /// Divisor of the process's memory that gives the pool's limit.
    divisor: usize,
    /// Bodies that are still arriving, the oldest first.
    arriving: RefCell<BTreeMap<u64, Rc<Arriving>>>,
    next_body: Cell<u64>,
}

/// Memory that is reserved in a pool until it is dropped.
#[derive(Debug)]
pub(crate) struct MemoryShare {
    pool: Rc<MemoryPool>,
    bytes: usize,
}

/// A body of which bytes are still to come.
#[derive(Debug)]
struct Arriving {
    blocks: RefCell<Vec<Vec<u8>>>,
    body_bytes: Cell<usize>,
    reserved_bytes: Cell<usize>,
    arrived_at: Cell<Moment>,
    has_yielded: Cell<bool>,
    yielded: Notify,
}

/// A body that is being received; dropping it frees its memory.
#[derive(Debug)]
pub(crate) struct ArrivingBody {
    pool: Rc<MemoryPool>,
    number: u64,
    arriving: Rc<Arriving>,
}

impl MemoryPool {
    /// Creates a pool of the process's memory over a divisor.
    pub(crate) fn new(memory_mb: Option<usize>, divisor: usize) -> Rc<Self> {
        let pool = Self {
            held_bytes: Cell::new(0),
            limit_bytes: Cell::new(0),
            divisor,
            arriving: RefCell::default(),
            next_body: Cell::new(0),
        };
        pool.set_memory(memory_mb);
        Rc::new(pool)
    }

    /// Applies a changed limit of the process's memory.
    pub(crate) fn set_memory(&self, memory_mb: Option<usize>) {
        let memory_bytes = memory_mb.unwrap_or(DEFAULT_MEMORY_MB) * 1_024 * 1_024;
        self.limit_bytes.set(memory_bytes / self.divisor);
    }

    /// Maximum number of bytes that the pool lends.
    pub(crate) fn limit_bytes(&self) -> usize {
        self.limit_bytes.get()
    }

    /// Number of bytes that are reserved.
    pub(crate) fn held_bytes(&self) -> usize {
        self.held_bytes.get()
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

    /// Reserves memory for what an admitted request or a connection needs, for which arriving bodies yield; `None` if
    /// the pool has too little even then.
    pub(crate) fn reserve_first(self: &Rc<Self>, bytes: usize, now: Moment) -> Option<MemoryShare> {
        self.make_room(bytes, now);
        self.reserve(bytes)
    }

    /// Frees memory for what the entry needs itself, as far as arriving bodies can yield it.
    fn make_room(&self, bytes: usize, now: Moment) {
        while self.held_bytes.get() + bytes > self.limit_bytes.get() {
            let Some(number) = self.next_to_yield(now) else {
                return;
            };
            self.take_back(number);
        }
    }

    /// Starts to receive a body.
    pub(crate) fn begin_body(self: &Rc<Self>, now: Moment) -> ArrivingBody {
        let number = self.next_body.get();
        self.next_body.set(number + 1);
        let arriving = Rc::new(Arriving {
            blocks: RefCell::default(),
            body_bytes: Cell::new(0),
            reserved_bytes: Cell::new(0),
            arrived_at: Cell::new(now),
            has_yielded: Cell::new(false),
            yielded: Notify::default(),
        });
        let mut bodies = self.arriving.borrow_mut();
        bodies.insert(number, Rc::clone(&arriving));
        ArrivingBody {
            pool: Rc::clone(self),
            number,
            arriving,
        }
    }

    /// Whether a body of an announced size fits if all that are still arriving yield.
    pub(crate) fn may_fit(&self, body_bytes: usize) -> bool {
        let bodies = self.arriving.borrow();
        let arriving: usize = bodies.values().map(|body| body.reserved_bytes.get()).sum();
        let kept = self.held_bytes.get() - arriving;
        kept + body_bytes <= self.limit_for(body_bytes)
    }

    /// Limit of what is held once a body of a size has grown.
    fn limit_for(&self, body_bytes: usize) -> usize {
        let limit = self.limit_bytes.get();
        if body_bytes <= SMALL_BODY_BYTES {
            limit
        } else {
            limit - limit / SMALL_BODIES_PART
        }
    }

    /// Number of the arriving body that yields next; `None` if none holds memory.
    fn next_to_yield(&self, now: Moment) -> Option<u64> {
        let bodies = self.arriving.borrow();
        let holding = bodies
            .iter()
            .filter(|(_, body)| body.reserved_bytes.get() > 0);
        let next = holding.max_by_key(|(number, body)| {
            let is_stalled = now.since(body.arrived_at.get()) >= STALLED_AFTER;
            let is_large = body.body_bytes.get() > SMALL_BODY_BYTES;
            (is_stalled, is_large, **number)
        });
        next.map(|(number, _)| *number)
    }

    /// Frees what an arriving body holds, and notifies the task that reads it.
    fn take_back(&self, number: u64) {
        let body = self.arriving.borrow_mut().remove(&number);
        if let Some(body) = body {
            self.free(&body);
            body.has_yielded.set(true);
            body.yielded.notify();
        }
    }

    fn free(&self, body: &Arriving) {
        body.blocks.take();
        let held = self.held_bytes.get();
        self.held_bytes.set(held - body.reserved_bytes.take());
    }
}

impl MemoryShare {
    /// Extends the reservation to a size; returns whether the pool has enough left. Otherwise the share stays as it is.
    pub(crate) fn grow_to(&mut self, bytes: usize) -> bool {
        self.grow_within(bytes, self.pool.limit_bytes.get())
    }

    /// Extends the reservation to a size that the entry can't do without, even beyond the pool's limit. Its users have
    /// limits of their own.
    pub(crate) fn grow_anyway_to(&mut self, bytes: usize, now: Moment) {
        let added = bytes.saturating_sub(self.bytes);
        self.pool.make_room(added, now);
        self.pool.held_bytes.set(self.pool.held_bytes.get() + added);
        self.bytes += added;
    }

    /// Extends the reservation of an answer to a size, as [`Self::grow_to`] does, and leaves a part to requests.
    pub(crate) fn grow_answer_to(&mut self, bytes: usize) -> bool {
        let limit = self.pool.limit_bytes.get();
        self.grow_within(bytes, limit - limit / REQUESTS_PART)
    }

    fn grow_within(&mut self, bytes: usize, limit: usize) -> bool {
        let added = bytes.saturating_sub(self.bytes);
        let held = self.pool.held_bytes.get() + added;
        if held > limit {
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

impl ArrivingBody {
    /// Keeps further bytes; returns whether there is memory for them. Without it, the body has yielded what it held.
    pub(crate) fn keep(&self, mut bytes: &[u8], now: Moment) -> bool {
        self.arriving.arrived_at.set(now);
        while !bytes.is_empty() {
            if self.arriving.has_yielded.get() || !self.has_room(now) {
                return false;
            }
            let mut blocks = self.arriving.blocks.borrow_mut();
            let Some(block) = blocks.last_mut() else {
                return false;
            };
            let count = bytes.len().min(block.capacity() - block.len());
            block.extend_from_slice(&bytes[..count]);
            bytes = &bytes[count..];
            let kept = self.arriving.body_bytes.get() + count;
            self.arriving.body_bytes.set(kept);
        }
        true
    }

    /// Makes room for at least one byte.
    fn has_room(&self, now: Moment) -> bool {
        let body_bytes = self.arriving.body_bytes.get();
        let has_room = |block: &Vec<u8>| block.len() < block.capacity();
        if self.arriving.blocks.borrow().last().is_some_and(has_room) {
            return true;
        }
        let block_bytes = body_bytes.clamp(FIRST_BLOCK_BYTES, MAX_BLOCK_BYTES);
        let limit = self.pool.limit_for(body_bytes + block_bytes);
        while self.pool.held_bytes.get() + block_bytes > limit {
            // A body that holds nothing yet has nothing to yield, and waits for no other.
            let Some(next) = self.pool.next_to_yield(now) else {
                return false;
            };
            self.pool.take_back(next);
            if next == self.number {
                return false;
            }
        }
        let held = self.pool.held_bytes.get();
        self.pool.held_bytes.set(held + block_bytes);
        let reserved = self.arriving.reserved_bytes.get();
        self.arriving.reserved_bytes.set(reserved + block_bytes);
        let mut blocks = self.arriving.blocks.borrow_mut();
        blocks.push(Vec::with_capacity(block_bytes));
        true
    }

    /// Waits until the body had to yield.
    pub(crate) async fn yielded(&self) {
        self.arriving.yielded.notified().await;
    }

    /// The whole body with its memory, which it keeps from now on; `None` if it had to yield.
    pub(crate) fn finish(self) -> Option<(Blocks, MemoryShare)> {
        if self.arriving.has_yielded.get() {
            return None;
        }
        let mut share = self.pool.share();
        share.bytes = self.arriving.reserved_bytes.take();
        let blocks = self.arriving.blocks.take();
        let blocks = blocks.into_iter().map(Bytes::from);
        Some((Blocks::new(blocks.collect()), share))
    }
}

impl Drop for ArrivingBody {
    fn drop(&mut self) {
        self.pool.arriving.borrow_mut().remove(&self.number);
        self.pool.free(&self.arriving);
    }
}
