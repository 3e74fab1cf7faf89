//! State of one version of weights at one agent, from its manifest to a complete staged copy.

use mustardrill_types::{InstanceId, Millis, ModelName, Moment, VersionName};

use crate::membership::MemberTable;
use crate::transfer::TransferPlan;
use crate::transfer_rate::TransferRate;

/// A version that this agent should serve.
#[derive(Debug)]
pub(super) struct VersionState {
    pub(super) model: ModelName,
    pub(super) version: VersionName,
    pub(super) stage: VersionStage,
    /// The instances that should serve the version, sorted by id.
    pub(super) assigned: Vec<InstanceId>,
    pub(super) next_try: Moment,
    pub(super) tries: u32,
    pub(super) wave_wait_since: Option<Moment>,
    /// Earliest time at which the instance before this one in the wave order is asked again.
    pub(super) next_wave_query: Moment,
    pub(super) trouble: Box<str>,
    pub(super) transfer_rate: TransferRate,
}

#[derive(Debug)]
pub(super) enum VersionStage {
    FetchingManifest,
    FetchingChunks(Box<TransferPlan>),
    Staged(Box<TransferPlan>),
}

impl VersionState {
    pub(super) fn new(now: Moment, model: ModelName, version: VersionName) -> Self {
        Self {
            model,
            version,
            stage: VersionStage::FetchingManifest,
            assigned: Vec::new(),
            next_try: now,
            tries: 0,
            wave_wait_since: None,
            next_wave_query: now,
            trouble: "".into(),
            transfer_rate: TransferRate::default(),
        }
    }

    /// The instances that should serve the version and are not suspected to be dead.
    pub(super) fn live_instances(&self, now: Moment, members: &MemberTable) -> Vec<InstanceId> {
        self.assigned.iter().filter(|id| members.is_live(now, id)).cloned().collect()
    }

    /// Estimated time until the copy is complete, if it can be estimated.
    pub(super) fn remaining(&self, now: Moment) -> Option<Millis> {
        let plan = self.plan()?;
        self.transfer_rate.remaining(now, plan.held().count(), plan.manifest().chunk_count())
    }

    pub(super) fn plan(&self) -> Option<&TransferPlan> {
        match &self.stage {
            VersionStage::FetchingChunks(plan) | VersionStage::Staged(plan) => Some(plan),
            VersionStage::FetchingManifest => None,
        }
    }
}
