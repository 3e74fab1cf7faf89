//! One version of weights at one agent, from its manifest to a whole staged copy.

use mustardrill_types::{InstanceId, Millis, ModelName, Moment, VersionName};

use crate::membership::MemberTable;
use crate::transfer::TransferPlan;
use crate::transfer_rate::TransferRate;

/// One version that this agent is to serve.
#[derive(Debug)]
pub(super) struct VersionState {
    pub(super) model: ModelName,
    pub(super) version: VersionName,
    pub(super) stage: VersionStage,
    /// The instances that are to serve the version, in the order of their names.
    pub(super) assigned: Vec<InstanceId>,
    pub(super) next_try: Moment,
    pub(super) tries: u32,
    pub(super) waiting_since: Option<Moment>,
    /// When the instance before this one in the wave order may be asked again.
    pub(super) next_question: Moment,
    pub(super) trouble: Box<str>,
    pub(super) pace: TransferRate,
}

#[derive(Debug)]
pub(super) enum VersionStage {
    Manifest,
    Drawing(Box<TransferPlan>),
    Staged(Box<TransferPlan>),
}

impl VersionState {
    pub(super) fn new(now: Moment, model: ModelName, version: VersionName) -> Self {
        Self {
            model,
            version,
            stage: VersionStage::Manifest,
            assigned: Vec::new(),
            next_try: now,
            tries: 0,
            waiting_since: None,
            next_question: now,
            trouble: "".into(),
            pace: TransferRate::default(),
        }
    }

    /// The instances that are to serve the version and are not believed dead.
    pub(super) fn live_instances(&self, now: Moment, members: &MemberTable) -> Vec<InstanceId> {
        self.assigned.iter().filter(|id| members.is_live(now, id)).cloned().collect()
    }

    /// How long until the copy is whole, where that can be told.
    pub(super) fn remaining(&self, now: Moment) -> Option<Millis> {
        let plan = self.plan()?;
        self.pace.remaining(now, plan.held().count(), plan.manifest().chunk_count())
    }

    pub(super) fn plan(&self) -> Option<&TransferPlan> {
        match &self.stage {
            VersionStage::Drawing(plan) | VersionStage::Staged(plan) => Some(plan),
            VersionStage::Manifest => None,
        }
    }
}
