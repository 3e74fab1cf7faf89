//! Which version an attempt demands of its engine, and what follows when the engine has another.
//!
//! The belief in an engine's weights may be newer than the truth. An engine refuses an attempt that
//! demands another version than it has when the attempt arrives, and its version never falls
//! within one start. An attempt that demands a version therefore never starts on an older one.

use log::warn;
use mustardrill_types::{Moment, WeightVersion};

use crate::direct::event::{AttemptOutcome, RequestNumber};
use crate::direct::fleet::upstream::{UpstreamStart, UpstreamState};
use crate::direct::reducer::DirectReducer;
use crate::direct::request::RequestState;

/// The version that engines hold before any is announced.
const INITIAL_VERSION: WeightVersion = WeightVersion(1);

impl DirectReducer {
    /// The version that an attempt at `target` demands. While an older one is allowed, nothing is
    /// demanded of an engine whose answer has contradicted the belief, until it reports again.
    ///
    /// An engine that its agent loads may hold a newer version whose load is not proven. It is always
    /// asked for the believed one, and so is an engine that is believed to hold the initial version,
    /// as its first load may not be known here yet.
    pub(in crate::direct) fn demanded_version(
        &self,
        now: Moment,
        state: &RequestState,
        target: &UpstreamState,
    ) -> Option<WeightVersion> {
        if state.pinned_version.is_some() {
            return state.pinned_version;
        }
        let model = state.model.as_ref()?;
        let believed = target.served_version(model)?;
        let is_demanded = believed == INITIAL_VERSION
            || target.belief(Some(model)).is_uncontradicted()
            || self.upstreams.load_record(target, model).is_some();
        let is_older_forbidden = || {
            let oldest_allowed = self.oldest_allowed_version(now, state, target);
            oldest_allowed.is_some_and(|oldest| oldest > INITIAL_VERSION)
        };
        (is_demanded || is_older_forbidden()).then_some(believed)
    }

    /// The oldest version on which an attempt may start: the one that it demands, or any that the
    /// engine may hold. `None` if the request is not for a model.
    pub(in crate::direct) fn oldest_start_version(
        &self,
        state: &RequestState,
        target: &UpstreamState,
        demanded: Option<WeightVersion>,
    ) -> Option<WeightVersion> {
        self.believed_version(state, &target.record.id)?;
        Some(demanded.unwrap_or(INITIAL_VERSION))
    }

    /// Records that an upstream refused the version that an attempt demanded. Returns whether the
    /// attempt was sent before that version was known to be wrong, so that the refusal tells
    /// nothing else about the upstream.
    pub(in crate::direct) fn record_refused_version(
        &mut self,
        now: Moment,
        number: RequestNumber,
        upstream: &UpstreamStart,
        outcome: AttemptOutcome,
    ) -> bool {
        if outcome != AttemptOutcome::Misdirected {
            return false;
        }
        let Some(state) = self.requests.get(&number) else { return false };
        let Some(demanded) = state.demanded_version else { return false };
        let Some(target) = self.upstreams.incarnation_mut(upstream) else { return false };
        let Some(model) = &state.model else { return false };
        let belief = target.belief(Some(model));
        // The belief has changed since the attempt was sent.
        if target.served_version(model) != Some(demanded) || state.sent_at < belief.since {
            return true;
        }
        if belief.is_uncontradicted() {
            warn!(
                "request={} instance={} believed={demanded} source={} age={} outcome=contradicted by=refusal",
                state.attempt_id,
                upstream.id,
                belief.source,
                now.since(belief.since),
            );
            self.contradicted_beliefs += 1;
        }
        target.record_contradiction(now, model);
        belief.was_relied_on(state.sent_at)
    }
}
