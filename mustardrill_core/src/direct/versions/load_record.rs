//! What agents record about the loads of their engines, and which weights an entry may use by that.
//!
//! An engine takes its staged chunks as they are when it accepts a load order, and checks none. Its
//! agent therefore records each order before giving it, and the outcome once it has read the chunks
//! back after the load. Until then entries send the engine no request for the new weights.

use std::net::SocketAddr;

use derive_more::Display;
use log::info;
use mustardrill_types::{FastMap, ModelName, StartStamp, WeightVersion};

/// How far a load has been proven; later states of one load are greater.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum LoadState {
    /// The load may be ordered or may have taken place; nothing proves that its chunks were intact.
    #[display("ordered")]
    Ordered,
    /// The engine has, or may have, taken a damaged chunk.
    #[display("damaged")]
    Damaged,
    /// All chunks were intact when the engine took them.
    #[display("proven")]
    Proven,
}

/// The latest load of an engine, as recorded by its agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadRecord {
    /// Address at which the engine listens.
    pub engine: SocketAddr,
    /// The incarnation of the engine; zero where engines do not tell theirs.
    pub start: StartStamp,
    /// Counts the loads at this address; a later one has a greater number.
    pub number: u64,
    /// The model whose weights are loaded.
    pub model: ModelName,
    /// The version that is loaded.
    pub version: WeightVersion,
    /// The version that the engine holds until then, if that is proven.
    pub proven_before: Option<WeightVersion>,
    /// How far the load has been proven.
    pub state: LoadState,
}

/// The latest load of each engine.
#[derive(Debug, Default)]
pub(crate) struct LoadTable {
    records: FastMap<SocketAddr, LoadRecord>,
}

impl LoadRecord {
    /// The record of a load whose chunks were intact.
    pub fn proven(
        engine: SocketAddr,
        start: StartStamp,
        number: u64,
        model: &ModelName,
        version: WeightVersion,
    ) -> Self {
        let (model, state) = (model.clone(), LoadState::Proven);
        Self { engine, start, number, model, version, proven_before: None, state }
    }

    /// Whether requests may run on a version that the engine is believed to hold.
    pub fn allows(&self, version: WeightVersion) -> bool {
        let proven = match self.state {
            LoadState::Proven => Some(self.version),
            LoadState::Ordered => self.proven_before,
            LoadState::Damaged => None,
        };
        proven.is_some_and(|proven| version <= proven)
    }

    /// Whether it is about a model of an engine incarnation, or of one whose start is not known.
    pub fn is_about(&self, start: StartStamp, model: &ModelName) -> bool {
        self.model == *model && (self.start == StartStamp(0) || self.start >= start)
    }
}

impl LoadTable {
    /// Applies a record of an agent, from the store or from the agent itself, unless a later one is
    /// known.
    pub(crate) fn apply(&mut self, record: LoadRecord) {
        if let Some(known) = self.records.get(&record.engine) {
            let is_other_incarnation = known.start != record.start;
            let is_known = (known.number, known.state) >= (record.number, record.state);
            // A store that was restored from an older copy may have lost the numbers; versions never
            // fall within one incarnation.
            let is_newer_version = !is_other_incarnation
                && known.model == record.model
                && known.version < record.version;
            // A write of a killed agent that came late may bear the same number.
            let is_outdated = known.number > record.number || (is_known && !is_other_incarnation);
            if is_outdated && !is_newer_version {
                return;
            }
        }
        info!(
            "load engine={} start={} number={} version={}:{} outcome={}",
            record.engine, record.start, record.number, record.model, record.version, record.state
        );
        self.records.insert(record.engine, record);
    }

    /// The record about a model at an engine incarnation, if an agent has made one.
    pub(crate) fn get(
        &self,
        engine: SocketAddr,
        start: StartStamp,
        model: &ModelName,
    ) -> Option<&LoadRecord> {
        self.records.get(&engine).filter(|record| record.is_about(start, model))
    }

    /// Counts the engines whose latest load is not proven.
    pub(crate) fn unproven_count(&self) -> usize {
        self.records.values().filter(|record| record.state != LoadState::Proven).count()
    }
}
