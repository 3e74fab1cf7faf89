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
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.memory.0.lock().expect("no lock holder panics").release(self.size);
    }
}
