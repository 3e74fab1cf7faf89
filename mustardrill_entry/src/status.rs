//! What one entry knows of the fleet, for operators.

use kameo::Reply;
use mustardrill_core::entry::EntryReducer;
use mustardrill_types::{InstanceId, Moment};
use serde::{Deserialize, Serialize};

/// The fleet as one entry sees it.
#[derive(Debug, Clone, Reply, Serialize, Deserialize)]
pub struct FleetStatus {
    /// The entry that answers.
    pub entry: Box<str>,
    /// The generation in force there.
    pub generation: u64,
    /// Whether the entry takes no new work.
    pub leaving: bool,
    /// The agents that this entry talks to.
    pub agents: Vec<AgentStatus>,
    /// The instances of the list that this entry does not talk to.
    pub elsewhere: usize,
}

/// One agent as an entry sees it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct AgentStatus {
    /// The instance.
    pub instance: Box<str>,
    /// Its service.
    pub service: Box<str>,
    /// Its data centre.
    pub data_centre: Box<str>,
    /// The generation in force there.
    pub generation: u64,
    /// Since when nothing was heard of it, in milliseconds; absent where nothing ever was.
    pub silent_ms: Option<u64>,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// Requests queued and running.
    pub outstanding: u32,
    /// The manifests that its upstream serves.
    pub serving: Vec<Box<str>>,
    /// The versions that it is to serve.
    pub versions: Vec<VersionStatus>,
}

/// How far one version is at one agent.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct VersionStatus {
    /// The model.
    pub model: Box<str>,
    /// The manifest.
    pub manifest: Box<str>,
    /// Where it stands.
    pub state: Box<str>,
    /// Chunks held.
    pub held: u32,
    /// Chunks in all.
    pub total: u32,
    /// Bytes drawn from the origin.
    pub origin_bytes: u64,
    /// Bytes drawn from peers.
    pub peer_bytes: u64,
    /// Milliseconds until all chunks are held; absent where that can't be told.
    pub remaining_ms: Option<u64>,
    /// What is in the way.
    pub trouble: Box<str>,
}

impl FleetStatus {
    /// Reads the status from a reducer.
    pub(crate) fn of(now: Moment, own: &InstanceId, reducer: &EntryReducer) -> Self {
        let mut agents: Vec<_> = reducer
            .agents()
            .map(|(id, generation, progress)| {
                let record = reducer.members().get(id);
                let view = reducer.routing().get(id);
                AgentStatus {
                    instance: id.as_str().into(),
                    service: record.map_or("".into(), |record| record.service.as_str().into()),
                    data_centre: record
                        .map_or("".into(), |record| record.data_centre.as_str().into()),
                    generation: generation.0,
                    silent_ms: view.map(|view| now.since(view.reported_at()).0),
                    leaving: view.is_some_and(|view| view.report.leaving),
                    outstanding: view.map_or(0, |view| view.report.outstanding),
                    serving: view.map_or_else(Vec::new, |view| {
                        view.report.serving.iter().map(|it| it.to_string().into()).collect()
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

    /// The agents in which the entry's generation is not in force.
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
