//! The memory that the bodies of requests in progress take, shared by all requests of an entry.

use std::sync::{Arc, Mutex};

use mustardrill_core::direct::BodyBudget;
use mustardrill_types::ByteSize;

/// The shared budget.
#[derive(Debug, Clone)]
pub(crate) struct BodyMemory(Arc<Mutex<BodyBudget>>);

/// Room for one body, released when dropped.
#[derive(Debug)]
pub(crate) struct BodyReservation {
    memory: BodyMemory,
    size: ByteSize,
}

impl BodyMemory {
    pub(crate) fn open(budget: BodyBudget) -> Self {
        Self(Arc::new(Mutex::new(budget)))
    }

    /// Reserves room for a body; `None` where there is too little.
    pub(crate) fn reserve(&self, size: ByteSize) -> Option<BodyReservation> {
        let is_reserved = self.0.lock().expect("no lock holder panics").reserve(size);
        is_reserved.then(|| BodyReservation { memory: self.clone(), size })
    }

    fn release(&self, size: ByteSize) {
        self.0.lock().expect("no lock holder panics").release(size);
    }
}

impl BodyReservation {
    /// Releases what a body that has been read does not need, as its length was not stated.
    pub(crate) fn shrink_to(&mut self, size: ByteSize) {
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
