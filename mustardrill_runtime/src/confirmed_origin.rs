//! An origin whose chunk lists are read until two answers agree.

use std::net::SocketAddr;
use std::sync::Mutex;

use bytes::Bytes;
use futures_util::future::BoxFuture;
use mustardrill_core::list_confirmation::{ListConfirmation, ListVerdict};
use mustardrill_core::provisioning::VersionId;
use mustardrill_types::{ChunkIndex, ModelName, WeightVersion};

use crate::adapters::{ChunkList, ChunkOrigin};

/// How many times a chunk list is read for one call until two answers agree.
const MAX_LIST_READS: u32 = 3;

/// Passes calls to an origin, and confirms its chunk lists.
pub struct ConfirmedOrigin {
    origin: Box<dyn ChunkOrigin>,
    confirmation: Mutex<ListConfirmation>,
}

impl ConfirmedOrigin {
    /// Confirms the lists of `origin`, which must read each list over a connection of its own: on a
    /// kept one, a late copy of the answer before could confirm it.
    pub fn open(origin: Box<dyn ChunkOrigin>) -> Self {
        Self { origin, confirmation: Mutex::default() }
    }
}

impl ChunkOrigin for ConfirmedOrigin {
    fn list<'a>(
        &'a self,
        origin: SocketAddr,
        model: &'a ModelName,
        version: WeightVersion,
    ) -> BoxFuture<'a, Result<ChunkList, Box<str>>> {
        Box::pin(async move {
            let id = VersionId { model: model.clone(), version };
            for _ in 0..MAX_LIST_READS {
                let list = self.origin.list(origin, model, version).await?;
                let mut confirmation = self.confirmation.lock().expect("no lock holder panics");
                match confirmation.judge(&id, &list.digests) {
                    ListVerdict::Confirmed => return Ok(list),
                    ListVerdict::First => {}
                    ListVerdict::Differs => {
                        log::warn!("list version={id} source=origin outcome=differs");
                    }
                }
            }
            Err("the origin's chunk lists differ from each other".into())
        })
    }

    fn read_list(&self, published: Bytes) -> Result<ChunkList, Box<str>> {
        self.origin.read_list(published)
    }

    fn chunk<'a>(
        &'a self,
        origin: SocketAddr,
        model: &'a ModelName,
        version: WeightVersion,
        index: ChunkIndex,
    ) -> BoxFuture<'a, Result<Bytes, Box<str>>> {
        self.origin.chunk(origin, model, version, index)
    }

    fn verifies(&self, list: &ChunkList, index: ChunkIndex, bytes: &[u8]) -> bool {
        self.origin.verifies(list, index, bytes)
    }
}
