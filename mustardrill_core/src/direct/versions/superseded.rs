//! Attempts on superseded weights: until when they may start, and what happens to those that have
//! not started by then.
//!
//! An engine may slow down, or admit more urgent requests first, while the time allowed to its
//! weights runs out. The forecast made when the request is sent guarantees nothing, but an engine
//! drops a request that has not started when its connection closes. The entry therefore withdraws
//! the request and sends it to an engine with newer weights.

use std::collections::BTreeSet;

use log::{info, warn};
use mustardrill_types::{InstanceId, Millis, Moment, WeightVersion};

use crate::direct::event::{DirectEffect, RequestNumber};
use crate::direct::fleet::upstream::UpstreamStart;
use crate::direct::reducer::DirectReducer;
use crate::direct::request::{RequestStage, RequestState};

/// Safety margin before the time limit of superseded weights at which a request must have started
/// or is withdrawn. It covers the network path to the engine and the uncertainty of the
/// announcement time, which is known to within one call to the store.
pub(in crate::direct) const SUPERSEDED_START_MARGIN: Millis = Millis(250);

/// An attempt on weights for which a newer version has been announced.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct SupersededAttempt {
    /// The oldest version that it may start on.
    pub(crate) version: WeightVersion,
    /// Time from sending to the expected start of the answer.
    pub(crate) forecast: Millis,
    /// From this moment nothing may start on `version`.
    pub(crate) usable_until: Moment,
}

/// Attempts on superseded weights that have not started, ordered by the time at which they are
/// withdrawn.
#[derive(Debug, Default)]
pub(crate) struct UnstartedAttempts {
    attempts: BTreeSet<(Moment, RequestNumber)>,
}

impl SupersededAttempt {
    /// When the attempt is withdrawn unless it has started.
    pub(crate) fn start_by(&self) -> Moment {
        self.usable_until - SUPERSEDED_START_MARGIN
    }

    /// Logs that the answer has started; returns whether that was past the time limit of its
    /// weights.
    fn log_start(&self, now: Moment, state: &RequestState, upstream: &InstanceId) -> bool {
        let line = format!(
            "request={} instance={upstream} outcome=begun weights={} took={} forecast={}",
            state.attempt_id,
            self.version,
            now.since(state.sent_at),
            self.forecast,
        );
        let is_late = now >= self.usable_until;
        if is_late {
            warn!("{line} replaced_for={}", now.since(self.usable_until));
        } else {
            info!("{line} replaced_in={}", self.usable_until.since(now));
        }
        is_late
    }
}

impl UnstartedAttempts {
    /// Tracks an attempt until it starts or is withdrawn.
    pub(crate) fn insert(&mut self, number: RequestNumber, attempt: &SupersededAttempt) {
        self.attempts.insert((attempt.start_by(), number));
    }

    pub(crate) fn remove(&mut self, number: RequestNumber, attempt: &SupersededAttempt) {
        self.attempts.remove(&(attempt.start_by(), number));
    }

    /// When the next attempt is to be withdrawn.
    pub(crate) fn next_overdue(&self) -> Option<Moment> {
        self.attempts.first().map(|(start_by, _)| *start_by)
    }

    fn take_overdue(&mut self, now: Moment) -> Option<RequestNumber> {
        let (start_by, number) = *self.attempts.first()?;
        if start_by > now {
            return None;
        }
        self.attempts.remove(&(start_by, number));
        Some(number)
    }
}

impl DirectReducer {
    /// Returns the time limit of an attempt on `version`, or `None` if no newer version has been
    /// announced.
    pub(in crate::direct) fn superseded_attempt(
        &self,
        state: &RequestState,
        version: WeightVersion,
        forecast: Millis,
    ) -> Option<SupersededAttempt> {
        let announced_at = self.versions.superseded_at(state.model.as_ref()?, version)?;
        Some(SupersededAttempt {
            version,
            forecast,
            usable_until: announced_at + self.settings.version_bound,
        })
    }

    /// The version on which a request would start at `upstream`, as far as known. `None` if the
    /// request is not for a model.
    pub(in crate::direct) fn believed_version(
        &self,
        state: &RequestState,
        upstream: &InstanceId,
    ) -> Option<WeightVersion> {
        self.engine_profile(&state.service)?;
        self.upstreams.get(upstream)?.served_version(state.model.as_ref()?)
    }

    /// Returns the time limit of a request's attempt that is under way. Only the answers of the very
    /// incarnation that has it prove newer weights: what it or its agent reports may be ahead of
    /// what it holds.
    fn current_superseded_attempt(
        &self,
        state: &RequestState,
        upstream: &UpstreamStart,
    ) -> Option<SupersededAttempt> {
        let expected = state.expected_version?;
        let target = self.upstreams.incarnation(upstream);
        let answered = target.and_then(|target| target.answered_version(state.model.as_ref()?));
        let version = answered.map_or(expected, |answered| answered.max(expected));
        self.superseded_attempt(state, version, state.start_forecast)
    }

    /// Records that the answer to a request has started, on `version` if its upstream reported one.
    pub(in crate::direct) fn record_attempt_start(
        &mut self,
        now: Moment,
        number: RequestNumber,
        version: Option<WeightVersion>,
    ) {
        self.untrack_attempt(number);
        let Some(state) = self.requests.get_mut(&number) else { return };
        state.has_started = true;
        let RequestStage::Sent(upstream) = state.stage.clone() else { return };
        let Some(state) = self.requests.get(&number) else { return };
        let Some(version) = state.expected_version.and(version).or(state.expected_version) else {
            return;
        };
        if let Some(attempt) = self.superseded_attempt(state, version, state.start_forecast) {
            self.started_late += u64::from(attempt.log_start(now, state, &upstream.id));
        }
    }

    pub(in crate::direct) fn untrack_attempt(&mut self, number: RequestNumber) {
        let state = self.requests.get_mut(&number);
        if let Some(attempt) = state.and_then(|state| state.superseded_attempt.take()) {
            self.unstarted_attempts.remove(number, &attempt);
        }
    }

    /// Starts tracking the attempt if it has a time limit; stops tracking any earlier one.
    pub(in crate::direct) fn track_attempt(
        &mut self,
        number: RequestNumber,
        attempt: Option<SupersededAttempt>,
    ) {
        self.untrack_attempt(number);
        let Some(state) = self.requests.get_mut(&number) else { return };
        state.superseded_attempt = attempt;
        if let Some(attempt) = &attempt {
            self.unstarted_attempts.insert(number, attempt);
        }
    }

    /// Recomputes the time limits of all attempts that have not started, after the known
    /// announcements changed.
    pub(in crate::direct) fn refresh_attempt_limits(&mut self) {
        let sent_attempts = self.requests.values().filter_map(|state| match &state.stage {
            RequestStage::Sent(upstream) if !state.has_started => {
                Some((state.number, self.current_superseded_attempt(state, upstream)))
            }
            _ => None,
        });
        for (number, attempt) in sent_attempts.collect::<Vec<_>>() {
            self.track_attempt(number, attempt);
        }
    }

    /// Withdraws the attempts that did not start in time, unless their engine now has newer
    /// weights.
    pub(in crate::direct) fn withdraw_overdue_attempts(
        &mut self,
        now: Moment,
    ) -> Vec<DirectEffect> {
        let mut effects = Vec::new();
        while let Some(number) = self.unstarted_attempts.take_overdue(now) {
            let Some(state) = self.requests.get(&number) else { continue };
            let RequestStage::Sent(upstream) = &state.stage else { continue };
            match self.current_superseded_attempt(state, upstream) {
                None => {}
                Some(attempt) if attempt.start_by() > now => {
                    self.track_attempt(number, Some(attempt));
                }
                Some(attempt) => {
                    info!(
                        "request={} instance={} decision=withdraw weights={} waited={}",
                        state.attempt_id,
                        upstream.id,
                        attempt.version,
                        now.since(state.sent_at),
                    );
                    effects.push(DirectEffect::Withdraw(number));
                }
            }
        }
        effects
    }
}
