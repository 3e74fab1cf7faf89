//! The state of a request in progress at an entry.

use mustardrill_types::{
    CustomerLabel, InstanceId, Millis, ModelName, Moment, PartSet, RequestDigest, ServiceName,
    WeightVersion,
};

use crate::direct::admission::urgency::Urgency;
use crate::direct::event::{DirectRequest, RequestNumber};
use crate::direct::fleet::upstream::UpstreamStart;
use crate::direct::locality::regions::RegionLimits;
use crate::direct::placement::forecast::WorkSize;
use crate::direct::retries::retry_budget::RetryGrant;
use crate::direct::route::{CustomerRecord, RepeatRule, RouteRule};
use crate::direct::silence::WaitReason;
use crate::direct::versions::superseded::SupersededAttempt;
use crate::direct::waiting::queue::WaitRank;

/// The time that an answer needs at least: the delivery to its caller, and the delays of a busy entry.
const MIN_ANSWER_TIME: Millis = Millis(100);

/// An admitted request, from its admission until its caller is gone.
#[derive(Debug, Clone)]
pub(crate) struct RequestState {
    pub(crate) number: RequestNumber,
    pub(crate) attempt_id: Box<str>,
    /// Identifies the content: equal for each attempt and each retry of the caller.
    pub(crate) digest: RequestDigest,
    /// The parts of its prompt that other requests may share.
    pub(crate) parts: PartSet,
    pub(crate) host: Box<str>,
    pub(crate) path: Box<str>,
    pub(crate) api_key: Option<Box<str>>,
    pub(crate) customer: Option<CustomerLabel>,
    /// The regions in which it may be served.
    pub(crate) region_limits: RegionLimits,
    pub(crate) service: ServiceName,
    pub(crate) model: Option<ModelName>,
    pub(crate) size: WorkSize,
    /// Whether its work is much more than a usual request's, see `EngineForecast::is_large`.
    pub(crate) large: bool,
    /// The prefill time still counted as pending at its upstream.
    pub(crate) pending_prefill: Millis,
    pub(crate) repeat_rule: RepeatRule,
    pub(crate) urgency: Urgency,
    pub(crate) attempt_limit: u32,
    pub(crate) arrived_at: Moment,
    /// When the last attempt was sent.
    pub(crate) sent_at: Moment,
    /// Until this moment an answer, or a stream's first event, has its full value.
    pub(crate) objective_until: Moment,
    pub(crate) deadline: Moment,
    /// When the caller leaves if it has no part of the answer, as far as that is known.
    pub(crate) first_part_until: Option<Moment>,
    pub(crate) stage: RequestStage,
    /// Upstreams to which attempts were sent.
    pub(crate) tried_upstreams: Vec<InstanceId>,
    /// Attempts that reached an upstream.
    pub(crate) attempts_reached: u32,
    /// What pays for the next attempt, or for the current one, if it is a retry.
    pub(crate) retry_grant: Option<RetryGrant>,
    /// Whether it is the second attempt of a request whose first one is silent and still open. When
    /// the first one ends, the request goes on under the number of the second.
    pub(crate) is_backup: bool,
    /// Why the silence of the current attempt has not led to a second one.
    pub(crate) silence_verdict: Option<WaitReason>,
    /// Whether the caller resumes a stream that started on another connection.
    pub(crate) is_resumed: bool,
    /// Whether it is tried although its prompt has quarantined parts.
    pub(crate) is_trial: bool,
    /// Whether an upstream crashed while it ran an attempt.
    pub(crate) has_crashed_upstream: bool,
    /// Whether an upstream's error answer is available, from an attempt beside the current one.
    pub(crate) has_error_answer: bool,
    /// Whether an attempt may have run.
    pub(crate) may_have_run: bool,
    /// Whether the caller has received events.
    pub(crate) has_delivered: bool,
    /// The version that produced the events that the caller has received.
    pub(crate) pinned_version: Option<WeightVersion>,
    /// The version that the current attempt demands of its upstream.
    pub(crate) demanded_version: Option<WeightVersion>,
    /// The oldest version that the current attempt may start on.
    pub(crate) expected_version: Option<WeightVersion>,
    /// How long after its sending the current attempt was expected to start.
    pub(crate) start_forecast: Millis,
    /// How long after its sending the current attempt should start, by the pace of its upstream;
    /// zero where that states none.
    pub(crate) paced_start: Millis,
    /// Whether the answer to the current attempt has started.
    pub(crate) has_started: bool,
    /// Whether the answer to the current attempt stated which request rate its upstream accepts.
    pub(crate) has_stated_intake: bool,
    /// The limits of the current attempt, where its weights are being superseded.
    pub(crate) superseded_attempt: Option<SupersededAttempt>,
}

/// The stage of a request in progress.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum RequestStage {
    /// Queued until an upstream has capacity.
    Waiting(WaitRank),
    /// Sent to this incarnation of an upstream.
    Sent(UpstreamStart),
    /// Neither queued nor sent.
    Between,
}

impl RequestState {
    /// Starts the state of a request on `route`. The route's timeout also limits the timeout that
    /// the caller states.
    pub(crate) fn new(
        request: DirectRequest,
        route: &RouteRule,
        service: ServiceName,
        customer: Option<&CustomerRecord>,
        large: bool,
    ) -> Self {
        let timeout = request.timeout.unwrap_or(route.timeout).min(route.timeout);
        let patience = request.timeout.into_iter().chain(route.patience).min();
        let region_limits = RegionLimits::of(route, customer);
        let priority = customer.and_then(|customer| customer.priority);
        let customer = customer.map(|customer| customer.name.clone());
        let caller = customer.as_ref().map_or("", CustomerLabel::as_str);
        let content_digest = request.content_digest.0.to_be_bytes();
        let digest =
            RequestDigest::of(&[route.host.as_bytes(), caller.as_bytes(), &content_digest]);
        Self {
            number: request.number,
            attempt_id: request.attempt_id,
            digest,
            parts: request.shared_parts.value.unwrap_or_default(),
            host: request.host,
            path: request.path,
            api_key: request.api_key,
            customer,
            region_limits,
            service,
            model: request.model,
            size: request.size,
            large,
            pending_prefill: Millis(0),
            repeat_rule: route.repeat_rule,
            urgency: Urgency {
                priority: priority.unwrap_or(route.priority),
                route_priority: route.priority,
            },
            attempt_limit: route.attempt_limit.max(1),
            arrived_at: request.arrived_at,
            sent_at: request.arrived_at,
            objective_until: request.arrived_at + route.objective,
            deadline: request.arrived_at + timeout,
            first_part_until: patience.map(|patience| request.arrived_at + patience),
            stage: RequestStage::Between,
            tried_upstreams: Vec::new(),
            attempts_reached: 0,
            retry_grant: None,
            is_backup: false,
            silence_verdict: None,
            is_resumed: request.is_resumed,
            is_trial: false,
            has_crashed_upstream: false,
            has_error_answer: false,
            may_have_run: false,
            has_delivered: false,
            pinned_version: None,
            demanded_version: None,
            expected_version: None,
            start_forecast: Millis(0),
            paced_start: Millis(0),
            has_started: false,
            has_stated_intake: false,
            superseded_attempt: None,
        }
    }

    /// The state of a second attempt beside the current one, not sent yet.
    pub(crate) fn backup(&self) -> Self {
        Self {
            number: self.number.sibling(),
            pending_prefill: Millis(0),
            stage: RequestStage::Between,
            attempts_reached: self.attempts_reached + 1,
            retry_grant: None,
            is_backup: true,
            silence_verdict: None,
            may_have_run: true,
            // The head of an answer binds the request to its weights only once the caller has
            // received some of the answer.
            pinned_version: self.pinned_version.filter(|_| self.has_delivered),
            has_started: false,
            has_stated_intake: false,
            superseded_attempt: None,
            ..self.clone()
        }
    }

    /// The queue position, by whether the request can still meet its objective.
    pub(crate) fn wait_rank(&self, late: bool) -> WaitRank {
        let Self { urgency, large, number, .. } = *self;
        WaitRank { late, urgency, large, since: self.arrived_at, number }
    }

    /// The latency objective, counted from the arrival.
    pub(crate) fn objective_span(&self) -> Millis {
        self.objective_until.since(self.arrived_at)
    }

    /// Whether a complete answer shows that the request does not crash upstreams. If the answer began
    /// at another upstream or on another connection, only its rest was run.
    pub(crate) fn is_run_from_start(&self) -> bool {
        !self.is_resumed && !self.has_delivered
    }

    /// The moment from which no attempt can answer before the caller leaves, where it has no part of
    /// the answer.
    pub(crate) fn first_part_limit(&self) -> Option<Moment> {
        let until = self.first_part_until.filter(|_| !self.has_delivered)?;
        Some(until - MIN_ANSWER_TIME)
    }

    /// Whether an attempt could no longer answer before the caller leaves.
    pub(crate) fn is_too_late(&self, now: Moment) -> bool {
        self.deadline <= now || self.first_part_limit().is_some_and(|limit| limit <= now)
    }

    /// Whether another attempt is allowed after one that may have run.
    pub(crate) fn is_repeatable(&self) -> bool {
        match self.repeat_rule {
            RepeatRule::Idempotent => !self.has_delivered,
            RepeatRule::StreamResumable => true,
            RepeatRule::Once | RepeatRule::StreamOnce => false,
        }
    }
}
