//! What one caller may send, as the configuration in force says.

use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use kameo::prelude::*;
use mustardrill_core::direct::CallerLimits;
use mustardrill_runtime::http_server::{ListenerLimits, ListenerPolicy};
use mustardrill_types::{ByteSize, Millis};

use crate::direct::actor::{DirectActor, LimitsQuery};

/// The room for the first line of a request, which a configuration may leave out of its limit.
const REQUEST_LINE: ByteSize = ByteSize(8 << 10);

/// Tells the limits of the caller listener.
pub(crate) struct CallerPolicy {
    actor: ActorRef<DirectActor>,
}

impl CallerPolicy {
    pub(crate) fn new(actor: ActorRef<DirectActor>) -> Self {
        Self { actor }
    }
}

impl ListenerPolicy for CallerPolicy {
    fn limits(&self) -> BoxFuture<'_, ListenerLimits> {
        async {
            let limits = self.actor.ask(LimitsQuery).await.map(|reply| reply.0);
            listener_limits(&limits.unwrap_or_default())
        }
        .boxed()
    }
}

/// The limits of a configuration, but no less than those of other listeners: a connection keeps its
/// limits when a newer configuration allows more.
fn listener_limits(limits: &CallerLimits) -> ListenerLimits {
    let least = ListenerLimits::default();
    let head = ByteSize(limits.max_header.0.saturating_add(REQUEST_LINE.0));
    let head_timeout = Millis(limits.idle_timeout.0.saturating_add(limits.header_timeout.0));
    ListenerLimits {
        head: least.head.max(head),
        head_timeout: least.head_timeout.max(head_timeout),
    }
}
