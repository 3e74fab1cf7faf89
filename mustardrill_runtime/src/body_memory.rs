//! The memory that bodies take, shared by all requests of a process.

use std::sync::{Arc, Mutex};

use mustardrill_core::direct::BodyBudget;
use mustardrill_types::ByteSize;

/// The shared budget.
#[derive(Debug, Clone)]
pub struct BodyMemory(Arc<Mutex<BodyBudget>>);

/// Room for one body, released when dropped.
#[derive(Debug)]
pub struct BodyReservation {
    memory: BodyMemory,
    size: ByteSize,
}

impl BodyMemory {
    /// Shares a budget; clones share the same one.
    pub fn open(budget: BodyBudget) -> Self {
        Self(Arc::new(Mutex::new(budget)))
    }

    /// Reserves room for a body; `None` where there is too little.
    pub fn reserve(&self, size: ByteSize) -> Option<BodyReservation> {
        let is_reserved = self.0.lock().expect("no lock holder panics").reserve(size);
        is_reserved.then(|| BodyReservation { memory: self.clone(), size })
    }

    /// A reservation that grows with its body.
    pub fn reserve_nothing(&self) -> BodyReservation {
        BodyReservation { memory: self.clone(), size: ByteSize::default() }
    }

    fn release(&self, size: ByteSize) {
        self.0.lock().expect("no lock holder panics").release(size);
    }
}

impl BodyReservation {
    /// Reserves room for a further part; returns `false`, with nothing reserved any more, where there
    /// is too little.
    pub fn grow(&mut self, part: ByteSize) -> bool {
        let whole = ByteSize(self.size.0 + part.0);
        let mut budget = self.memory.0.lock().expect("no lock holder panics");
        // Reserved anew as a whole, so that a large body leaves room to small ones.
        budget.release(self.size);
        let is_reserved = budget.reserve(whole);
        self.size = if is_reserved { whole } else { ByteSize::default() };
        is_reserved
    }

    /// Releases what a body that has been read does not need, as its length was not stated.
    pub fn shrink_to(&mut self, size: ByteSize) {
        let unused = ByteSize(self.size.0.saturating_sub(size.0));
        self.memory.release(unused);
        self.size = ByteSize(self.size.0 - unused.0);
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.memory.release(self.size);
    }
}
