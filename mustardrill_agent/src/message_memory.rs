//! The memory that requests of entries and agents take, from their first bytes to the end of what
//! they ask for.

use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use hyper::Request;
use hyper::body::{Body as HttpBody, Frame, SizeHint};
use mustardrill_runtime::agents::NOT_RUN_METADATA;
use mustardrill_runtime::body_memory::{BodyMemory, BodyReservation};
use mustardrill_types::ByteSize;
use tonic::Status;
use tonic::body::Body;
use tonic::codegen::Service;
use tonic::metadata::{MetadataMap, MetadataValue};
use tonic::server::NamedService;

/// What one request takes; released when the last holder drops it.
pub(crate) type MessageReservation = Mutex<BodyReservation>;

/// A service whose requests are read into reserved memory. Each request carries its
/// [`MessageReservation`] as an extension.
#[derive(Debug, Clone)]
pub(crate) struct BudgetedService<S> {
    inner: S,
    memory: BodyMemory,
}

/// A request's body, which fails where there is no memory for more of it.
struct BudgetedBody {
    body: Body,
    reservation: Arc<MessageReservation>,
}

impl<S> BudgetedService<S> {
    pub(crate) fn new(inner: S, memory: BodyMemory) -> Self {
        Self { inner, memory }
    }
}

impl<S: Service<Request<Body>>> Service<Request<Body>> for BudgetedService<S> {
    type Response = S::Response;
    type Error = S::Error;
    type Future = S::Future;

    fn poll_ready(&mut self, context: &mut Context<'_>) -> Poll<Result<(), S::Error>> {
        self.inner.poll_ready(context)
    }

    fn call(&mut self, request: Request<Body>) -> S::Future {
        let reservation = Arc::new(Mutex::new(self.memory.reserve_nothing()));
        let body_reservation = reservation.clone();
        let mut request =
            request.map(|body| Body::new(BudgetedBody { body, reservation: body_reservation }));
        request.extensions_mut().insert(reservation);
        self.inner.call(request)
    }
}

impl<S: NamedService> NamedService for BudgetedService<S> {
    const NAME: &'static str = S::NAME;
}

impl BudgetedBody {
    fn grow(&self, part: ByteSize) -> bool {
        self.reservation.lock().expect("no lock holder panics").grow(part)
    }
}

impl HttpBody for BudgetedBody {
    type Data = Bytes;
    type Error = Status;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Status>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(context));
        let length = match &frame {
            Some(Ok(frame)) => frame.data_ref().map_or(0, Bytes::len),
            _ => 0,
        };
        if length == 0 || self.grow(ByteSize(length as u64)) {
            return Poll::Ready(frame);
        }
        Poll::Ready(Some(Err(no_memory())))
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// The refusal of a request that has not been read completely, and so has not run.
fn no_memory() -> Status {
    let mut metadata = MetadataMap::new();
    metadata.insert(NOT_RUN_METADATA, MetadataValue::from_static("1"));
    Status::with_metadata(tonic::Code::ResourceExhausted, "no memory for the request", metadata)
}
