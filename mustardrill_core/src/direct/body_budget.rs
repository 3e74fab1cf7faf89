//! Bounds the memory that bodies take: those of requests in progress, or of answers that are not read.

use mustardrill_types::ByteSize;

/// The part of an entry's memory that bodies may take, as a divisor: a body exists twice for a moment
/// once it has been read, and the rest of the process needs memory as well.
const MEMORY_DIVISOR: u64 = 3;

/// Bodies up to this size may fill the budget; larger ones leave a quarter of it to them.
const SMALL_BODY: ByteSize = ByteSize(64 << 10);

/// The memory reserved for bodies.
#[derive(Debug)]
pub struct BodyBudget {
    limit: ByteSize,
    reserved: ByteSize,
}

impl BodyBudget {
    /// The budget of an entry that may use `memory` in all.
    pub fn of_memory(memory: ByteSize) -> Self {
        Self::of_size(ByteSize(memory.0 / MEMORY_DIVISOR))
    }

    /// A budget of `limit` in all.
    pub fn of_size(limit: ByteSize) -> Self {
        Self { limit, reserved: ByteSize(0) }
    }

    /// Whether there is room for a body of `size` while no other has any.
    pub fn fits(&self, size: ByteSize) -> bool {
        size <= self.limit_for(size)
    }

    /// What bodies may take together once one of `size` is among them.
    fn limit_for(&self, size: ByteSize) -> ByteSize {
        let is_small = size <= SMALL_BODY;
        if is_small { self.limit } else { ByteSize(self.limit.0 - self.limit.0 / 4) }
    }

    /// Reserves room for a body of `size`; returns `false` where there is too little.
    pub fn reserve(&mut self, size: ByteSize) -> bool {
        let limit = self.limit_for(size).0;
        let reserved = self.reserved.0.saturating_add(size.0);
        // A request without a body takes no room.
        let is_admitted = size.0 == 0 || reserved <= limit;
        if is_admitted {
            self.reserved = ByteSize(reserved);
        }
        is_admitted
    }

    /// Reserves room for a further `part` of a body that holds `held`; returns `false`, with `held`
    /// still reserved, where there is too little. A large body that grows leaves room to small ones.
    pub fn grow(&mut self, held: ByteSize, part: ByteSize) -> bool {
        self.release(held);
        let is_admitted = self.reserve(ByteSize(held.0.saturating_add(part.0)));
        if !is_admitted {
            self.reserved.0 += held.0;
        }
        is_admitted
    }

    /// Releases the room of a body for which it was reserved.
    pub fn release(&mut self, size: ByteSize) {
        self.reserved = ByteSize(self.reserved.0.saturating_sub(size.0));
    }
}
