//! What other entries told of their requests, summed for each upstream as their words come.
//!
//! Load pattern: a choice among all engines of a fleet for each request. Added up for each choice,
//! the look-ups would be as many as entries times engines; kept as sums they are one for each engine.

use mustardrill_types::{FastMap, InstanceId, Millis, Moment, ServiceName};

use crate::direct::event::{PeerLoad, UpstreamLoad};

/// What the other entries have at upstreams, and what waits there.
#[derive(Debug, Default)]
pub(crate) struct HeardLoads {
    peers: FastMap<InstanceId, HeardPeer>,
    sums: FastMap<InstanceId, UpstreamLoad>,
    /// No entry's last word is older than this.
    oldest: Moment,
}

/// What one entry told.
#[derive(Debug, Default)]
struct HeardPeer {
    at: Moment,
    loads: FastMap<InstanceId, UpstreamLoad>,
    waiting: FastMap<ServiceName, u32>,
}

impl HeardLoads {
    /// Takes another entry's word.
    pub(crate) fn hear(&mut self, now: Moment, load: PeerLoad) {
        let peer = self.peers.entry(load.from).or_default();
        peer.at = now;
        peer.waiting = load.update.waiting.into_iter().collect();
        if load.update.whole {
            peer.loads.drain().for_each(|(id, before)| subtract(&mut self.sums, &id, before));
        }
        for (id, load) in load.update.rows {
            if let Some(before) = peer.loads.insert(id.clone(), load) {
                subtract(&mut self.sums, &id, before);
            }
            let sum = self.sums.entry(id).or_default();
            sum.requests += load.requests;
            sum.pending_prefill = Millis(sum.pending_prefill.0 + load.pending_prefill.0);
        }
    }

    /// Forgets an entry.
    pub(crate) fn forget(&mut self, id: &InstanceId) {
        let Some(peer) = self.peers.remove(id) else { return };
        peer.loads.into_iter().for_each(|(id, before)| subtract(&mut self.sums, &id, before));
    }

    /// Forgets entries whose last word is older than `patience`.
    pub(crate) fn expire(&mut self, now: Moment, patience: Millis) {
        if now.since(self.oldest) < patience {
            return;
        }
        let silent = self.peers.iter().filter(|(_, peer)| now.since(peer.at) >= patience);
        let silent: Vec<_> = silent.map(|(id, _)| id.clone()).collect();
        silent.iter().for_each(|id| self.forget(id));
        self.oldest = self.peers.values().map(|peer| peer.at).min().unwrap_or(now);
    }

    /// What all of them have at an upstream.
    pub(crate) fn sum(&self, id: &InstanceId) -> UpstreamLoad {
        self.sums.get(id).copied().unwrap_or_default()
    }

    /// The entries in which requests wait for a service, and how many.
    pub(crate) fn waiting(
        &self,
        service: &ServiceName,
    ) -> impl Iterator<Item = (&InstanceId, u32)> {
        let peers = self.peers.iter();
        peers.filter_map(move |(id, peer)| Some((id, *peer.waiting.get(service)?)))
    }
}

fn subtract(sums: &mut FastMap<InstanceId, UpstreamLoad>, id: &InstanceId, load: UpstreamLoad) {
    let Some(sum) = sums.get_mut(id) else { return };
    sum.requests = sum.requests.saturating_sub(load.requests);
    sum.pending_prefill = Millis(sum.pending_prefill.0.saturating_sub(load.pending_prefill.0));
    if *sum == UpstreamLoad::default() {
        sums.remove(id);
    }
}
