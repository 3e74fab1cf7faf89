//! A request in progress at an entry.

use mustardrill_types::{
    CustomerName, InstanceId, Millis, ModelName, Moment, RequestDigest, ServiceName, WeightVersion,
};

use crate::direct::event::{DirectRequest, RequestNumber};
use crate::direct::fleet::upstream::UpstreamStart;
use crate::direct::placing::forecast::WorkSize;
use crate::direct::route::{RepeatRule, RouteRule};
use crate::direct::versions::superseded::SupersededAttempt;
use crate::direct::waiting::queue::WaitRank;

/// One request in progress.
#[derive(Debug)]
pub(crate) struct RequestState {
    pub(crate) number: RequestNumber,
    pub(crate) attempt: Box<str>,
    /// The same for each sending of this request by its caller.
    pub(crate) digest: RequestDigest,
    pub(crate) host: Box<str>,
    pub(crate) path: Box<str>,
    pub(crate) key: Option<Box<str>>,
    pub(crate) customer: Option<CustomerName>,
    pub(crate) service: ServiceName,
    pub(crate) model: Option<ModelName>,
    pub(crate) size: WorkSize,
    /// Whether it takes much more of an engine than a usual one.
    pub(crate) large: bool,
    /// What of its prompt is counted as unread at the upstream where it is.
    pub(crate) reading: Millis,
    pub(crate) repeat: RepeatRule,
    pub(crate) priority: u8,
    pub(crate) attempts_limit: u32,
    pub(crate) arrived: Moment,
    /// When it was sent to an upstream last.
    pub(crate) sent: Moment,
    /// Until then an answer, or a stream's first event, has its full value.
    pub(crate) objective: Moment,
    pub(crate) deadline: Moment,
    pub(crate) stage: RequestStage,
    /// Upstreams that were sent the request.
    pub(crate) tried: Vec<InstanceId>,
    /// Attempts that reached an upstream.
    pub(crate) reached: u32,
    /// Whether an attempt was sent that may have run.
    pub(crate) may_have_run: bool,
    /// Whether the caller has events already.
    pub(crate) delivered: bool,
    /// The weights of the events that the caller has.
    pub(crate) pinned: Option<WeightVersion>,
    /// The weights on which the attempt under way was expected to begin.
    pub(crate) weights: Option<WeightVersion>,
    /// How long after its sending it was expected to begin.
    pub(crate) forecast: Millis,
    /// Whether the answer to the attempt under way has begun.
    pub(crate) begun: bool,
    /// What the attempt under way is held to, where its weights are being replaced.
    pub(crate) replaced: Option<SupersededAttempt>,
}

/// Where a request stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum RequestStage {
    /// It waits for an upstream.
    Waiting(WaitRank),
    /// It is at an upstream.
    Sent(UpstreamStart),
    /// It is between two attempts.
    Between,
}

impl RequestState {
    /// The state of a request on `route`, with the longest time that it may take where the caller
    /// names none.
    pub(crate) fn new(
        request: DirectRequest,
        route: &RouteRule,
        service: ServiceName,
        customer: Option<(CustomerName, Option<u8>)>,
        large: bool,
    ) -> Self {
        let patience = request.patience.unwrap_or(route.timeout).min(route.timeout);
        let priority = customer.as_ref().and_then(|(_, priority)| *priority);
        let customer = customer.map(|(name, _)| name);
        let caller = customer.as_ref().map_or("", CustomerName::as_str);
        let content = request.content.0.to_be_bytes();
        let digest = RequestDigest::of(&[route.host.as_bytes(), caller.as_bytes(), &content]);
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
            deadline: request.arrived + patience,
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

    /// Its place among those that wait, by whether it can still be in time.
    pub(crate) fn rank(&self, late: bool) -> WaitRank {
        let Self { priority, large, number, .. } = *self;
        WaitRank { late, priority, large, since: self.arrived, number }
    }

    /// How long after its arrival an answer is still in time.
    pub(crate) fn objective_span(&self) -> Millis {
        self.objective.since(self.arrived)
    }

    /// Whether it may be sent once more after an attempt that may have run.
    pub(crate) fn is_repeatable(&self) -> bool {
        match self.repeat {
            RepeatRule::Idempotent => !self.delivered,
            RepeatRule::StreamResumable => true,
            RepeatRule::Once | RepeatRule::StreamOnce => false,
        }
    }
}
