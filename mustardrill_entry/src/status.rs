//! The state of the fleet as one entry knows it, for operators.

use kameo::Reply;
use mustardrill_core::entry::EntryReducer;
use mustardrill_types::{InstanceId, Moment};
use serde::{Deserialize, Serialize};

/// The fleet as one entry sees it.
#[derive(Debug, Clone, Reply, Serialize, Deserialize)]
pub struct FleetStatus {
    /// Instance of the entry that reports.
    pub entry: Box<str>,
    /// Generation of the catalogue in force at the entry.
    pub generation: u64,
    /// Whether the entry is draining and refuses new requests.
    pub leaving: bool,
    /// The agents with which the entry exchanges heartbeats.
    pub agents: Vec<AgentStatus>,
    /// Number of listed instances with which the entry exchanges no heartbeats.
    pub elsewhere: usize,
}

/// State of one agent as an entry knows it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct AgentStatus {
    /// Instance that the agent runs on.
    pub instance: Box<str>,
    /// Service of the instance; empty if the instance is not listed.
    pub service: Box<str>,
    /// Data centre of the instance; empty if the instance is not listed.
    pub data_centre: Box<str>,
    /// Generation of the catalogue in force at the agent.
    pub generation: u64,
    /// Milliseconds since its last report; absent if it never reported.
    pub silent_ms: Option<u64>,
    /// Whether the agent is draining and refuses new requests.
    pub leaving: bool,
    /// Requests queued and running at the agent.
    pub outstanding: u32,
    /// Digests of the manifests that its upstream serves.
    pub serving: Vec<Box<str>>,
    /// Progress with the versions that the agent has to serve.
    pub versions: Vec<VersionStatus>,
}

/// Progress of one agent with one version.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct VersionStatus {
    /// Name of the model.
    pub model: Box<str>,
    /// Digest of the version's manifest.
    pub manifest: Box<str>,
    /// `manifest`, `fetching`, `staged`, `loading`, `serving` or `stuck`.
    pub state: Box<str>,
    /// Chunks stored and verified.
    pub held: u32,
    /// Chunks of the version.
    pub total: u32,
    /// Bytes fetched from the origin.
    pub origin_bytes: u64,
    /// Bytes fetched from peers.
    pub peer_bytes: u64,
    /// Estimated milliseconds until all chunks are stored; absent if there is no estimate.
    pub remaining_ms: Option<u64>,
    /// What prevents progress; empty if nothing does.
    pub trouble: Box<str>,
}

impl FleetStatus {
    /// Builds the status from the state of the reducer.
    pub(crate) fn of(now: Moment, own: &InstanceId, reducer: &EntryReducer) -> Self {
        let mut agents: Vec<_> = reducer
            .agents()
            .map(|(id, generation, progress)| {
                let record = reducer.members().get(id);
                let upstream = reducer.routing().get(id);
                AgentStatus {
                    instance: id.as_str().into(),
                    service: record.map_or("".into(), |record| record.service.as_str().into()),
                    data_centre: record
                        .map_or("".into(), |record| record.data_centre.as_str().into()),
                    generation: generation.0,
                    silent_ms: upstream.map(|upstream| now.since(upstream.reported_at()).0),
                    leaving: upstream.is_some_and(|upstream| upstream.report.leaving),
                    outstanding: upstream.map_or(0, |upstream| upstream.report.outstanding),
                    serving: upstream.map_or_else(Vec::new, |upstream| {
                        upstream.report.serving.iter().map(|it| it.to_string().into()).collect()
                    }),
                    versions: progress.iter().map(VersionStatus::of).collect(),
                }
            })
            .collect();
        agents.sort_by(|left, right| left.instance.cmp(&right.instance));
        let listed = reducer.members().records().count();
        Self {
            entry: own.as_str().into(),
            generation: reducer.document().generation.0,
            leaving: reducer.is_draining(),
            elsewhere: listed.saturating_sub(agents.len()),
            agents,
        }
    }

    /// Returns the agents with an older generation than the entry's.
    pub fn behind(&self) -> impl Iterator<Item = &AgentStatus> {
        self.agents.iter().filter(|agent| agent.generation < self.generation)
    }
}

impl VersionStatus {
    fn of(row: &mustardrill_core::agent::WeightsProgress) -> Self {
        Self {
            model: row.model.as_str().into(),
            manifest: row.digest.to_string().into(),
            state: row.state.into(),
            held: row.held,
            total: row.total,
            origin_bytes: row.origin_bytes,
            peer_bytes: row.peer_bytes,
            remaining_ms: row.remaining.map(|left| left.0),
            trouble: row.trouble.clone(),
        }
    }
}
