//! A TCP stream that sends no request after its write deadline, or once it was withdrawn.
//!
//! A process may be suspended between any two steps, so a clock that is read before a write may be
//! outdated when the write is made. Bytes with a deadline are therefore first handed to the kernel,
//! which holds them; the clock is read again, and they are released or discarded. If the process is
//! suspended before the release, the kernel sends them by itself: after the round-trip time and
//! 0.2 s.
//!
//! A request may also be withdrawn as long as nothing of it has been written.
//!
//! Reads fail once too many bytes, or bytes for too long, have brought the answer no further. They are
//! counted here, as the HTTP library passes on no bytes of a head, of interim answers, of chunk sizes
//! and of trailers.

use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};

use mustardrill_core::direct::{ReadCut, ReadMeter};
use mustardrill_runtime::clock::MonotonicClock;
use mustardrill_types::Moment;
use rustix::net::{connect_unspec, sockopt};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Value of `write_by` for a request that may be written at any time.
const NO_DEADLINE: u64 = u64::MAX;

/// What has happened to the request that a connection currently carries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum WriteStage {
    Unwritten,
    Written,
    /// Withdrawn before anything was written.
    Withdrawn,
}

/// Controls the writing of the request that a connection currently carries, and the reading of its
/// answer.
#[derive(Debug)]
pub struct SendGate {
    /// Held during each write, so that no write runs beside a withdrawal.
    stage: Mutex<WriteStage>,
    /// In milliseconds of the process clock.
    write_by: AtomicU64,
    has_refused: AtomicBool,
    meter: Mutex<ReadMeter>,
}

/// A connection whose writes fail, and send nothing, once the deadline of its gate has passed.
#[derive(Debug)]
pub struct GatedStream {
    stream: TcpStream,
    clock: Box<dyn MonotonicClock>,
    gate: Arc<SendGate>,
}

impl SendGate {
    fn new() -> Self {
        Self {
            stage: Mutex::new(WriteStage::Unwritten),
            write_by: AtomicU64::new(NO_DEADLINE),
            has_refused: AtomicBool::new(false),
            meter: Mutex::default(),
        }
    }

    /// Changes the count of what was read of the answer.
    fn with_meter<T>(&self, change: impl FnOnce(&mut ReadMeter) -> T) -> T {
        change(&mut self.meter.lock().expect("no lock holder panics"))
    }

    /// Records that the head of the answer is complete.
    pub(crate) fn record_head(&self) {
        self.with_meter(ReadMeter::record_head);
    }

    /// Records that the body has brought the answer further.
    pub(crate) fn record_progress(&self) {
        self.with_meter(ReadMeter::record_progress);
    }

    /// Records that something complete came that brings the answer no further.
    pub(crate) fn record_sign(&self) {
        self.with_meter(ReadMeter::record_sign);
    }

    /// How the connection was cut for what its upstream sent, if it was.
    pub(crate) fn cut(&self) -> Option<ReadCut> {
        self.with_meter(|meter| meter.cut())
    }

    /// Counts a read; fails once the connection is to be closed.
    fn record_read(&self, now: Moment, bytes: usize) -> io::Result<()> {
        let recorded = self.with_meter(|meter| meter.record_read(now, bytes as u64));
        recorded.map_err(|cut| io::Error::new(io::ErrorKind::InvalidData, cut.reason.to_string()))
    }

    /// Starts a request. Nothing of it is written after `write_by`.
    pub fn start_request(&self, write_by: Option<Moment>) {
        self.write_by.store(write_by.map_or(NO_DEADLINE, |moment| moment.0), Ordering::Relaxed);
    }

    /// Records that the answer has started; the rest of a long request may be written at any time.
    pub(crate) fn record_answer_start(&self) {
        self.write_by.store(NO_DEADLINE, Ordering::Relaxed);
    }

    /// Prepares the gate for the next request, after the last answer has ended.
    pub(crate) fn reset(&self) {
        self.with_meter(|meter| *meter = ReadMeter::default());
        *self.stage.lock().expect("no lock holder panics") = WriteStage::Unwritten;
    }

    /// Withdraws the request unless a part of it has been written; returns whether it is withdrawn.
    pub fn withdraw_unwritten(&self) -> bool {
        let mut stage = self.stage.lock().expect("no lock holder panics");
        if *stage == WriteStage::Unwritten {
            *stage = WriteStage::Withdrawn;
        }
        *stage == WriteStage::Withdrawn
    }

    /// Runs a write and records whether it wrote anything.
    fn write(&self, write: impl FnOnce() -> Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        let mut stage = self.stage.lock().expect("no lock holder panics");
        if *stage == WriteStage::Withdrawn {
            let error = "request withdrawn before it was sent";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::ConnectionAborted, error)));
        }
        let written = write();
        if matches!(written, Poll::Ready(Ok(count)) if count > 0) {
            *stage = WriteStage::Written;
        }
        written
    }

    fn has_deadline(&self) -> bool {
        self.write_by.load(Ordering::Relaxed) != NO_DEADLINE
    }

    /// Fails, and records that, if the deadline has passed.
    fn check_deadline(&self, now: Moment) -> io::Result<()> {
        if now.0 < self.write_by.load(Ordering::Relaxed) {
            return Ok(());
        }
        self.has_refused.store(true, Ordering::Relaxed);
        Err(io::Error::new(
            io::ErrorKind::TimedOut,
            "write deadline of the request passed before it was sent completely",
        ))
    }

    /// Whether a write was refused because the deadline had passed.
    pub(crate) fn has_refused(&self) -> bool {
        self.has_refused.load(Ordering::Relaxed)
    }
}

impl GatedStream {
    /// Wraps a stream; returns it with the gate that controls it.
    pub fn new(stream: TcpStream, clock: Box<dyn MonotonicClock>) -> (Self, Arc<SendGate>) {
        let gate = Arc::new(SendGate::new());
        (Self { stream, clock, gate: gate.clone() }, gate)
    }

    /// Runs a write unless the gate forbids it.
    fn write(
        &mut self,
        write: impl FnOnce(Pin<&mut TcpStream>) -> Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        let Self { stream, clock, gate } = self;
        if !gate.has_deadline() {
            return gate.write(|| write(Pin::new(stream)));
        }
        gate.check_deadline(clock.now())?;
        let is_held = set_held(stream, true);
        // Recorded before the clock is read again: what the kernel was given may leave at any time.
        let written = gate.write(|| write(Pin::new(&mut *stream)));
        if !is_held {
            return written;
        }
        if let Err(error) = gate.check_deadline(clock.now()) {
            discard(stream);
            return Poll::Ready(Err(error));
        }
        set_held(stream, false);
        written
    }
}

/// Makes the kernel hold what is written, or release it; returns whether it does so.
fn set_held(stream: &TcpStream, is_held: bool) -> bool {
    let outcome = sockopt::set_tcp_cork(stream, is_held);
    if let Err(error) = &outcome {
        log::warn!("connection held={is_held} outcome=refused reason=\"{error}\"");
    }
    outcome.is_ok()
}

/// Resets a connection, so that the kernel sends nothing of what it holds.
fn discard(stream: &TcpStream) {
    if let Err(error) = connect_unspec(stream) {
        log::warn!(
            "connection outcome=not_reset reason=\"{error}\"; a request may be sent after its deadline"
        );
    }
}

impl AsyncRead for GatedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        let bytes = buffer.filled().len() - filled;
        if bytes > 0 {
            self.gate.record_read(self.clock.now(), bytes)?;
        }
        read
    }
}

impl AsyncWrite for GatedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.write(|stream| stream.poll_write(context, bytes))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.write(|stream| stream.poll_write_vectored(context, parts))
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
