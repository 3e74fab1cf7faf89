//! What an agent knows of its engine's loads: which one is recorded in the store, and which weights
//! are proven to have been taken from intact chunks.
//!
//! An engine takes the staged chunks as they are when it accepts an order, at a moment that the agent
//! doesn't learn. A chunk that turns bad stays bad until it is staged again. A load is therefore
//! proven by reading all chunks back after it, provided that none was staged since.

use std::net::SocketAddr;

use mustardrill_types::{ModelName, StartStamp, WeightVersion};

use crate::direct::{LoadRecord, LoadState, ServedWeights};
use crate::provisioning::event::{EngineView, LayerRange, VersionId};

/// The record in the store, as far as known.
#[derive(Debug, Default, PartialEq, Eq)]
enum StoredRecord {
    #[default]
    Unread,
    BeingRead,
    Read,
}

/// Loads of the engine of one agent.
#[derive(Debug, Default)]
pub(super) struct LoadLedger {
    stored: StoredRecord,
    /// The record that was read or written last.
    latest: Option<LoadRecord>,
    /// The greatest number of a record that was read or written. A store that is restored from an
    /// older copy may have lost it.
    last_number: u64,
    /// Whether the store holds `latest`.
    is_stored: bool,
    /// Whether the record that was read has been applied to the weights that the engine holds.
    is_settled: bool,
    /// Whether this process has staged a chunk.
    has_staged: bool,
    /// The number of orders that the engine is known to have accepted, by its answers.
    accepted: u64,
    /// The weights of the current incarnation that are proven.
    proven: Option<ServedWeights>,
    /// Nothing was staged since the engine had accepted this number of orders.
    unchanged_since: Option<u64>,
    /// An order may still be accepted whose outcome this process does not know.
    pub(super) has_pending_order: bool,
    /// The engine holds, or is about to hold, weights that can't be proven any more.
    pub(super) needs_reload: bool,
    /// The layers that are to be taken anew; all where it is not known which are damaged.
    pub(super) reload_layers: Option<LayerRange>,
}

impl LoadLedger {
    /// Whether weights are proven to have been taken from intact chunks.
    pub(super) fn is_proven(&self, weights: &VersionId) -> bool {
        self.proven.as_ref().is_some_and(|proven| {
            proven.model == weights.model && proven.version == weights.version
        })
    }

    /// Whether the record of an earlier agent process has been read.
    pub(super) fn is_read(&self) -> bool {
        self.stored == StoredRecord::Read
    }

    /// Whether the record is to be read now; once until it has been.
    pub(super) fn begin_read(&mut self) -> bool {
        if self.stored != StoredRecord::Unread {
            return false;
        }
        self.stored = StoredRecord::BeingRead;
        true
    }

    /// Handles the first report of an engine incarnation. An incarnation that has accepted no order
    /// holds what it started with.
    pub(super) fn begin_incarnation(&mut self, view: &EngineView) {
        self.proven = view.serving.first().filter(|_| view.sequence == 0).cloned();
        self.unchanged_since = None;
        self.has_pending_order = false;
        self.cancel_reload();
        self.accepted = view.sequence;
    }

    /// Handles a later report. An engine that serves newer weights than the proven ones no longer
    /// holds these.
    pub(super) fn observe(&mut self, view: &EngineView) {
        // Without an order the engine holds what others gave it.
        if view.sequence == 0 && self.is_current(view) {
            self.proven = view.serving.first().cloned();
        }
        let is_newer = |proven: &mut ServedWeights| {
            let mut serving = view.serving.iter();
            serving.any(|it| it.model == proven.model && it.version > proven.version)
        };
        self.proven.take_if(is_newer);
    }

    /// Applies a record that was read: that of an earlier agent process, or one that it wrote late.
    pub(super) fn apply_read(&mut self, record: Option<LoadRecord>, view: Option<&EngineView>) {
        self.is_settled |= self.is_read();
        self.stored = StoredRecord::Read;
        self.is_stored = true;
        self.latest = record;
        self.count_record();
        let state = self.latest.as_ref().map(|latest| latest.state);
        self.has_pending_order |= state.is_some_and(|state| state != LoadState::Proven);
        if let Some(view) = view {
            self.settle(view);
        }
    }

    /// Judges the weights that the engine holds by the record that an earlier process left, once both
    /// are known. Without a record of this incarnation, nothing speaks against them.
    pub(super) fn settle(&mut self, view: &EngineView) {
        if !self.is_read() || self.is_settled {
            return;
        }
        let Some(served) = view.serving.first() else { return };
        self.is_settled = true;
        if self.proven.is_some() {
            return;
        }
        match self.latest.as_ref().filter(|it| it.is_about(view.start, &served.model)) {
            Some(record) if !record.allows(served.version) => {
                let is_ordered = record.version == served.version
                    && record.state == LoadState::Ordered
                    && !self.has_staged;
                // The earlier process staged nothing after it had recorded the order, unless it
                // recorded the damage first.
                self.unchanged_since = view.sequence.checked_sub(1).filter(|_| is_ordered);
                self.needs_reload = !is_ordered;
            }
            _ => self.proven = Some(served.clone()),
        }
    }

    /// Records that the store holds a record.
    pub(super) fn record_stored(&mut self, record: &LoadRecord) {
        self.is_stored |= self.latest.as_ref() == Some(record);
    }

    /// The record of the proven weights, if the store holds one that speaks against them.
    pub(super) fn reaffirm(&mut self, engine: SocketAddr, start: StartStamp) -> Option<LoadRecord> {
        let ServedWeights { model, version } = self.proven.clone()?;
        let latest = self.latest.as_ref().filter(|latest| latest.is_about(start, &model))?;
        let number = self.last_number.saturating_add(1);
        let is_denied = !latest.allows(version);
        let record = LoadRecord::proven(engine, start, number, &model, version);
        is_denied.then(|| self.replace(record))
    }

    /// Records that a chunk is about to be staged.
    pub(super) fn record_staging(&mut self) {
        self.unchanged_since = None;
        self.has_staged = true;
    }

    /// Records that all chunks are staged while the engine has accepted `sequence` orders.
    pub(super) fn record_complete(&mut self, sequence: u64) {
        self.unchanged_since.get_or_insert(sequence.max(self.accepted));
    }

    /// Records that the engine answered that it accepted an order, its `sequence`th.
    pub(super) fn record_accepted(&mut self, sequence: u64) {
        self.accepted = self.accepted.max(sequence);
    }

    /// Whether a report of the engine is from after all orders that it is known to have accepted.
    pub(super) fn is_current(&self, view: &EngineView) -> bool {
        view.sequence >= self.accepted
    }

    /// Whether nothing was staged since a report of the engine.
    pub(super) fn is_unchanged(&self) -> bool {
        self.unchanged_since.is_some()
    }

    /// Whether the engine's last load took the copy that is staged now.
    pub(super) fn is_copy_of_load(&self, sequence: u64) -> bool {
        !self.needs_reload && self.unchanged_since.is_some_and(|since| since < sequence)
    }

    /// Records that an order for `weights` is about to be given, or that its outcome can't be
    /// proven. Returns the record to be stored, if it is not the latest one.
    pub(super) fn record_order(
        &mut self,
        engine: SocketAddr,
        start: StartStamp,
        weights: &VersionId,
    ) -> Option<LoadRecord> {
        let state = if self.needs_reload { LoadState::Damaged } else { LoadState::Ordered };
        if self.is_proven(weights) {
            // The engine lost these weights and is to take them again.
            self.proven = None;
        }
        let proven_before = self.proven_version(&weights.model).filter(|_| !self.needs_reload);
        let number = self.last_number.saturating_add(1);
        let VersionId { model, version } = weights.clone();
        let record = LoadRecord { engine, start, number, model, version, proven_before, state };
        let is_same = self.latest.as_ref().is_some_and(|latest| {
            LoadRecord { number: latest.number, ..record.clone() } == *latest
        });
        (!is_same).then(|| self.replace(record))
    }

    /// Whether the store holds the record of an order for `weights`.
    pub(super) fn is_order_stored(&self, start: StartStamp, weights: &VersionId) -> bool {
        let latest = self.latest.as_ref().filter(|_| self.is_stored);
        latest.is_some_and(|latest| {
            latest.state != LoadState::Proven
                && latest.start == start
                && latest.model == weights.model
                && latest.version == weights.version
                && (latest.state == LoadState::Damaged) == self.needs_reload
        })
    }

    /// Records that the weights of the latest load are proven, and returns the record to be stored.
    pub(super) fn record_proof(&mut self, weights: &VersionId) -> Option<LoadRecord> {
        let VersionId { model, version } = weights.clone();
        self.proven = Some(ServedWeights { model, version });
        self.cancel_reload();
        self.has_pending_order = false;
        let latest = self.latest.clone().filter(|latest| latest.version == version)?;
        let proven = LoadRecord { proven_before: None, state: LoadState::Proven, ..latest };
        Some(self.replace(proven))
    }

    /// The number of the load that gave the engine its proven weights; `None` if it started with
    /// them.
    pub(super) fn proven_load(&self, weights: &VersionId) -> Option<u64> {
        let latest = self.latest.as_ref().filter(|latest| {
            latest.state == LoadState::Proven
                && latest.version == weights.version
                && latest.model == weights.model
        })?;
        Some(latest.number)
    }

    /// Records that no layers have to be taken anew.
    pub(super) fn cancel_reload(&mut self) {
        self.needs_reload = false;
        self.reload_layers = None;
    }

    fn proven_version(&self, model: &ModelName) -> Option<WeightVersion> {
        let proven = self.proven.as_ref().filter(|proven| proven.model == *model)?;
        Some(proven.version)
    }

    fn replace(&mut self, record: LoadRecord) -> LoadRecord {
        self.is_stored = false;
        self.is_settled = true;
        self.latest = Some(record.clone());
        self.count_record();
        record
    }

    fn count_record(&mut self) {
        let number = self.latest.as_ref().map_or(0, |latest| latest.number);
        self.last_number = self.last_number.max(number);
    }
}
