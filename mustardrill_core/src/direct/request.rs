//! The state of a request in progress at an entry.

use mustardrill_types::{
    CustomerName, InstanceId, Millis, ModelName, Moment, RequestDigest, ServiceName, WeightVersion,
};

use crate::direct::event::{DirectRequest, RequestNumber};
use crate::direct::fleet::upstream::UpstreamStart;
use crate::direct::placement::forecast::WorkSize;
use crate::direct::route::{RepeatRule, RouteRule};
use crate::direct::versions::replaced::ReplacedAttempt;
use crate::direct::waiting::queue::WaitRank;

/// An admitted request, from its admission until its caller is gone.
#[derive(Debug)]
pub(crate) struct RequestState {
    pub(crate) number: RequestNumber,
    pub(crate) attempt: Box<str>,
    /// Identifies the content: equal for each attempt and each retry of the caller.
    pub(crate) digest: RequestDigest,
    pub(crate) host: Box<str>,
    pub(crate) path: Box<str>,
    pub(crate) key: Option<Box<str>>,
    pub(crate) customer: Option<CustomerName>,
    pub(crate) service: ServiceName,
    pub(crate) model: Option<ModelName>,
    pub(crate) size: WorkSize,
    /// Whether its work is much more than a usual request's, see `EngineForecast::is_large`.
    pub(crate) large: bool,
    /// The prefill time still counted as pending at its upstream.
    pub(crate) reading: Millis,
    pub(crate) repeat: RepeatRule,
    pub(crate) priority: u8,
    pub(crate) attempts_limit: u32,
    pub(crate) arrived: Moment,
    /// When the last attempt was sent.
    pub(crate) sent: Moment,
    /// Until this moment an answer, or a stream's first event, has its full value.
    pub(crate) objective: Moment,
    pub(crate) deadline: Moment,
    pub(crate) stage: RequestStage,
    /// Upstreams to which attempts were sent.
    pub(crate) tried: Vec<InstanceId>,
    /// Attempts that reached an upstream.
    pub(crate) reached: u32,
    /// Whether an attempt may have run.
    pub(crate) may_have_run: bool,
    /// Whether the caller has received events.
    pub(crate) delivered: bool,
    /// The version that produced the events that the caller has received.
    pub(crate) pinned: Option<WeightVersion>,
    /// The version that the current attempt was expected to start on.
    pub(crate) weights: Option<WeightVersion>,
    /// How long after its sending the current attempt was expected to start.
    pub(crate) forecast: Millis,
    /// Whether the answer to the current attempt has started.
    pub(crate) begun: bool,
    /// The limits of the current attempt, where its weights are being superseded.
    pub(crate) replaced: Option<ReplacedAttempt>,
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
        customer: Option<(CustomerName, Option<u8>)>,
        large: bool,
    ) -> Self {
        let timeout = request.patience.unwrap_or(route.timeout).min(route.timeout);
        let priority = customer.as_ref().and_then(|(_, priority)| *priority);
        let customer = customer.map(|(name, _)| name);
        let caller = customer.as_ref().map_or("", CustomerName::as_str);
        let content_digest = request.content.0.to_be_bytes();
        let digest =
            RequestDigest::of(&[route.host.as_bytes(), caller.as_bytes(), &content_digest]);
        Self {
            number: request.number,
            attempt: request.attempt,
            digest,
            host: request.host,
            path: request.path,
            key: request.key,
            customer,
            service,
            model: request.model,
            size: request.size,
            large,
            reading: Millis(0),
            repeat: route.repeat,
            priority: priority.unwrap_or(route.priority),
            attempts_limit: route.attempts.max(1),
            arrived: request.arrived,
            sent: request.arrived,
            objective: request.arrived + route.objective,
            deadline: request.arrived + timeout,
            stage: RequestStage::Between,
            tried: Vec::new(),
            reached: 0,
            may_have_run: false,
            delivered: false,
            pinned: None,
            weights: None,
            forecast: Millis(0),
            begun: false,
            replaced: None,
        }
    }

    /// The queue position, by whether the request can still meet its objective.
    pub(crate) fn rank(&self, late: bool) -> WaitRank {
        let Self { priority, large, number, .. } = *self;
        WaitRank { late, priority, large, since: self.arrived, number }
    }

    /// The latency objective, counted from the arrival.
    pub(crate) fn objective_span(&self) -> Millis {
        self.objective.since(self.arrived)
    }

    /// Whether another attempt is allowed after one that may have run.
    pub(crate) fn is_repeatable(&self) -> bool {
        match self.repeat {
            RepeatRule::Idempotent => !self.delivered,
            RepeatRule::StreamResumable => true,
            RepeatRule::Once | RepeatRule::StreamOnce => false,
        }
    }
}
