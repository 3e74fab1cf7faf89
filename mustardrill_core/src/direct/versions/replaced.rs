//! Attempts on weights that a newer version replaces: until when they may begin, and what becomes of
//! those that have not begun by then.
//!
//! Load pattern: an engine turns slow, or admits more urgent requests first, while the time of its
//! weights ends. The forecast at the sending bounds nothing, and an engine drops a request that has not
//! begun when its connection closes. So it is taken back, and sent where newer weights are.

use std::collections::BTreeSet;

use log::{info, warn};
use mustardrill_types::{InstanceId, Millis, Moment, WeightVersion};

use crate::direct::event::{DirectEffect, RequestNumber};
use crate::direct::reducer::DirectReducer;
use crate::direct::request::{RequestStage, RequestState};

/// What is left of the bound on replaced weights when a request begins on them, or is taken back: for
/// the way to the engine, and for the moment at which the newer version was named, which is known to
/// within a call.
pub(in crate::direct) const VERSION_RESERVE: Millis = Millis(250);

/// An attempt on weights that a newer version replaces.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ReplacedAttempt {
    /// The version that the upstream was believed to hold.
    pub(crate) version: WeightVersion,
    /// How long after its sending it was expected to begin.
    pub(crate) forecast: Millis,
    /// From when on nothing may begin on that version.
    pub(crate) replaced_at: Moment,
}

/// The attempts on replaced weights that have not begun, by when they are taken back.
#[derive(Debug, Default)]
pub(crate) struct UnbegunAttempts {
    attempts: BTreeSet<(Moment, RequestNumber)>,
}

impl ReplacedAttempt {
    /// The moment at which it is taken back unless it has begun.
    pub(crate) fn begin_by(&self) -> Moment {
        self.replaced_at - VERSION_RESERVE
    }

    /// Notes that an answer has begun; says whether that was after the time of its weights.
    fn note_begin(&self, now: Moment, state: &RequestState, upstream: &InstanceId) -> bool {
        let line = format!(
            "request={} instance={upstream} outcome=begun weights={} took={} forecast={}",
            state.attempt_id,
            self.version,
            now.since(state.sent_at),
            self.forecast,
        );
        let is_late = now >= self.replaced_at;
        if is_late {
            warn!("{line} replaced_for={}", now.since(self.replaced_at));
        } else {
            info!("{line} replaced_in={}", self.replaced_at.since(now));
        }
        is_late
    }
}

impl UnbegunAttempts {
    /// Awaits the beginning of a request's attempt.
    pub(crate) fn insert(&mut self, number: RequestNumber, attempt: &ReplacedAttempt) {
        self.attempts.insert((attempt.begin_by(), number));
    }

    /// Awaits it no more.
    pub(crate) fn remove(&mut self, number: RequestNumber, attempt: &ReplacedAttempt) {
        self.attempts.remove(&(attempt.begin_by(), number));
    }

    /// When the next one is taken back.
    pub(crate) fn next_overdue(&self) -> Option<Moment> {
        self.attempts.first().map(|(begin_by, _)| *begin_by)
    }

    fn take_overdue(&mut self, now: Moment) -> Option<RequestNumber> {
        let (begin_by, number) = *self.attempts.first()?;
        if begin_by > now {
            return None;
        }
        self.attempts.remove(&(begin_by, number));
        Some(number)
    }
}

impl DirectReducer {
    /// What an attempt on `version` is held to; nothing where no newer one is named.
    pub(in crate::direct) fn replaced_attempt(
        &self,
        state: &RequestState,
        version: WeightVersion,
        forecast: Millis,
    ) -> Option<ReplacedAttempt> {
        let named = self.versions.named_after(state.model.as_ref()?, version)?;
        Some(ReplacedAttempt {
            version,
            forecast,
            replaced_at: named + self.settings.version_bound,
        })
    }

    /// The version on which a request begins at `upstream`, as far as is known; nothing where it is
    /// for no model.
    pub(in crate::direct) fn weights_at(
        &self,
        state: &RequestState,
        upstream: &InstanceId,
    ) -> Option<WeightVersion> {
        self.engine_profile(&state.service)?;
        self.upstreams.get(upstream)?.version_of(state.model.as_ref()?)
    }

    /// What the attempt of a request under way is held to. An engine that is listed no more, or tells
    /// of no weights, may still begin it on those that it had.
    fn current_attempt(
        &self,
        state: &RequestState,
        upstream: &InstanceId,
    ) -> Option<ReplacedAttempt> {
        let version = self.weights_at(state, upstream).or(state.expected_version)?;
        self.replaced_attempt(state, version, state.start_forecast)
    }

    /// Takes that the answer to a request has begun, on `version` where its upstream told that.
    pub(in crate::direct) fn attempt_begun(
        &mut self,
        now: Moment,
        number: RequestNumber,
        version: Option<WeightVersion>,
    ) {
        self.forget_unbegun(number);
        let Some(state) = self.requests.get_mut(&number) else { return };
        state.has_started = true;
        let RequestStage::Sent(upstream) = state.stage.clone() else { return };
        let Some(state) = self.requests.get(&number) else { return };
        let Some(version) = state.expected_version.and(version).or(state.expected_version) else {
            return;
        };
        if let Some(attempt) = self.replaced_attempt(state, version, state.start_forecast) {
            self.started_late += u64::from(attempt.note_begin(now, state, &upstream.id));
        }
    }

    /// Awaits the beginning of a request's attempt no more.
    pub(in crate::direct) fn forget_unbegun(&mut self, number: RequestNumber) {
        let state = self.requests.get_mut(&number);
        if let Some(attempt) = state.and_then(|state| state.superseded_attempt.take()) {
            self.unstarted_attempts.remove(number, &attempt);
        }
    }

    /// Awaits the beginning of a request's attempt where that is held to a moment.
    pub(in crate::direct) fn await_begin(
        &mut self,
        number: RequestNumber,
        attempt: Option<ReplacedAttempt>,
    ) {
        self.forget_unbegun(number);
        let Some(state) = self.requests.get_mut(&number) else { return };
        state.superseded_attempt = attempt;
        if let Some(attempt) = &attempt {
            self.unstarted_attempts.insert(number, attempt);
        }
    }

    /// Holds the attempts under way to what is known of versions now.
    pub(in crate::direct) fn review_attempts(&mut self) {
        let sent = self.requests.values().filter_map(|state| match &state.stage {
            RequestStage::Sent(upstream) if !state.has_started => {
                Some((state.number, self.current_attempt(state, &upstream.id)))
            }
            _ => None,
        });
        for (number, attempt) in sent.collect::<Vec<_>>() {
            self.await_begin(number, attempt);
        }
    }

    /// Takes back the attempts that have not begun in time, unless their engine has newer weights now.
    pub(in crate::direct) fn withdraw_overdue(&mut self, now: Moment) -> Vec<DirectEffect> {
        let mut effects = Vec::new();
        while let Some(number) = self.unstarted_attempts.take_overdue(now) {
            let Some(state) = self.requests.get(&number) else { continue };
            let RequestStage::Sent(upstream) = &state.stage else { continue };
            match self.current_attempt(state, &upstream.id) {
                None => {}
                Some(attempt) if attempt.begin_by() > now => {
                    self.await_begin(number, Some(attempt));
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
