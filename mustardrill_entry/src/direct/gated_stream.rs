//! A TCP stream that refuses to write a request after its write deadline.
//!
//! A process may be suspended between the decision to send a request and the write to the socket. A
//! request that was sent in time by that decision would then reach the upstream too late.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::task::{Context, Poll};

use mustardrill_runtime::clock::ProcessClock;
use mustardrill_types::Moment;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Value of `write_by` for a request that may be written at any time.
const NO_DEADLINE: u64 = u64::MAX;

/// The write deadline of the request that a connection currently carries.
#[derive(Debug)]
pub(crate) struct SendGate {
    /// In milliseconds of the process clock.
    write_by: AtomicU64,
    has_refused: AtomicBool,
}

/// A connection whose writes fail once the deadline of its gate has passed.
#[derive(Debug)]
pub(crate) struct GatedStream {
    stream: TcpStream,
    clock: ProcessClock,
    gate: Arc<SendGate>,
}

impl SendGate {
    fn new() -> Self {
        Self { write_by: AtomicU64::new(NO_DEADLINE), has_refused: AtomicBool::new(false) }
    }

    /// Starts a request. Nothing of it is written after `write_by`.
    pub(crate) fn start_request(&self, write_by: Option<Moment>) {
        self.write_by.store(write_by.map_or(NO_DEADLINE, |moment| moment.0), Ordering::Relaxed);
    }

    /// Records that the answer has started; the rest of a long request may be written at any time.
    pub(crate) fn record_answer_start(&self) {
        self.write_by.store(NO_DEADLINE, Ordering::Relaxed);
    }

    /// Whether a write was refused because the deadline had passed.
    pub(crate) fn has_refused(&self) -> bool {
        self.has_refused.load(Ordering::Relaxed)
    }
}

impl GatedStream {
    /// Wraps a stream; returns it with the gate that controls it.
    pub(crate) fn new(stream: TcpStream, clock: ProcessClock) -> (Self, Arc<SendGate>) {
        let gate = Arc::new(SendGate::new());
        (Self { stream, clock, gate: gate.clone() }, gate)
    }

    fn check_deadline(&self) -> io::Result<()> {
        let write_by = self.gate.write_by.load(Ordering::Relaxed);
        if write_by == NO_DEADLINE || self.clock.now().0 < write_by {
            return Ok(());
        }
        self.gate.has_refused.store(true, Ordering::Relaxed);
        Err(io::Error::new(
            io::ErrorKind::TimedOut,
            "write deadline of the request passed before it was sent completely",
        ))
    }
}

impl AsyncRead for GatedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for GatedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if let Err(error) = self.check_deadline() {
            return Poll::Ready(Err(error));
        }
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        if let Err(error) = self.check_deadline() {
            return Poll::Ready(Err(error));
        }
        Pin::new(&mut self.stream).poll_write_vectored(context, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
