//! Requests that peer entries have reported at each upstream, aggregated as the reports arrive.
//!
//! Every request is routed by comparing all engines of the fleet. Adding up the reports at that
//! point would take entries times engines look-ups; with running totals it takes one look-up per
//! engine.

use mustardrill_types::{FastMap, InstanceId, Millis, Moment, ServiceName};

use crate::direct::event::{PeerLoad, UpstreamLoad};

/// Load of all peer entries at each upstream, and the requests queued in each peer.
#[derive(Debug, Default)]
pub(crate) struct PeerLoadTotals {
    peers: FastMap<InstanceId, PeerState>,
    totals: FastMap<InstanceId, UpstreamLoad>,
    /// Lower bound for the time of the last report of every peer, so that most calls of
    /// [`Self::expire_silent`] need not look at the peers.
    oldest_report_at: Moment,
}

/// The last reported state of one peer entry.
#[derive(Debug, Default)]
struct PeerState {
    reported_at: Moment,
    loads: FastMap<InstanceId, UpstreamLoad>,
    waiting: FastMap<ServiceName, u32>,
}

impl PeerLoadTotals {
    /// Applies a load update of a peer entry. A snapshot replaces all that the peer reported
    /// before.
    pub(crate) fn apply_update(&mut self, now: Moment, load: PeerLoad) {
        let peer = self.peers.entry(load.from).or_default();
        peer.reported_at = now;
        peer.waiting = load.update.waiting.into_iter().collect();
        if load.update.is_snapshot {
            peer.loads.drain().for_each(|(id, before)| subtract(&mut self.totals, &id, before));
        }
        for (id, load) in load.update.rows {
            if let Some(before) = peer.loads.insert(id.clone(), load) {
                subtract(&mut self.totals, &id, before);
            }
            let total = self.totals.entry(id).or_default();
            total.requests = total.requests.saturating_add(load.requests);
            total.pending_prefill = total.pending_prefill + load.pending_prefill;
        }
    }

    /// Drops a peer entry and subtracts its load from the totals.
    pub(crate) fn remove_peer(&mut self, id: &InstanceId) {
        let Some(peer) = self.peers.remove(id) else { return };
        peer.loads.into_iter().for_each(|(id, before)| subtract(&mut self.totals, &id, before));
    }

    /// Drops the peers whose last report is `timeout` old or older.
    pub(crate) fn expire_silent(&mut self, now: Moment, timeout: Millis) {
        if now.since(self.oldest_report_at) < timeout {
            return;
        }
        let silent = self.peers.iter().filter(|(_, peer)| now.since(peer.reported_at) >= timeout);
        let silent: Vec<_> = silent.map(|(id, _)| id.clone()).collect();
        silent.iter().for_each(|id| self.remove_peer(id));
        self.oldest_report_at =
            self.peers.values().map(|peer| peer.reported_at).min().unwrap_or(now);
    }

    /// Returns the load of all peers together at an upstream.
    pub(crate) fn total_at(&self, id: &InstanceId) -> UpstreamLoad {
        self.totals.get(id).copied().unwrap_or_default()
    }

    /// Returns the peers that have requests queued for a service, with the number of requests.
    pub(crate) fn waiting_peers(
        &self,
        service: &ServiceName,
    ) -> impl Iterator<Item = (&InstanceId, u32)> {
        let peers = self.peers.iter();
        peers.filter_map(move |(id, peer)| Some((id, *peer.waiting.get(service)?)))
    }
}

fn subtract(totals: &mut FastMap<InstanceId, UpstreamLoad>, id: &InstanceId, load: UpstreamLoad) {
    let Some(total) = totals.get_mut(id) else { return };
    total.requests = total.requests.saturating_sub(load.requests);
    total.pending_prefill = Millis(total.pending_prefill.0.saturating_sub(load.pending_prefill.0));
    if *total == UpstreamLoad::default() {
        totals.remove(id);
    }
}
