//! The client connections of a process: admits them, reserves memory for them and closes those that
//! `mustardrill_core::connections` chooses.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, Error};
use hyper::Request;
use mustardrill_core::connections::{
    ConnectionLimits, ConnectionNumber, ConnectionTable, ListenerNumber, MemoryVerdict, OpenVerdict,
};
use mustardrill_types::{ByteSize, FastMap};
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use crate::clock::{MonotonicClock, ProcessClock};
use crate::supervision;

/// How often connections are looked for whose clients have stopped reading.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);

/// How often a choice that has to wait is made again, as some depend on the time only.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// There is never enough memory for an answer of this size.
#[derive(Debug, Display, Error, Clone, Copy)]
#[display("an answer of {size} is larger than the memory for answers")]
pub struct AnswerTooLargeError {
    /// The size of the answer.
    pub size: ByteSize,
}

/// All client connections of a process; clones share them.
#[derive(Debug, Clone)]
pub struct ClientConnections(Arc<SharedConnections>);

#[derive(Debug)]
struct SharedConnections {
    clock: Box<dyn MonotonicClock>,
    state: Mutex<ConnectionState>,
    /// Notified when a connection was closed or memory released.
    released: Notify,
}

#[derive(Debug)]
struct ConnectionState {
    table: ConnectionTable,
    closers: FastMap<ConnectionNumber, CancellationToken>,
    listeners: u64,
    /// Connections closed and refused since they were last logged.
    closed: u64,
    refused: u64,
}

/// An admitted connection; dropping it frees its place.
#[derive(Debug)]
pub struct AdmittedConnection {
    client: ClientConnection,
    closer: CancellationToken,
}

/// A client's connection, for which memory may be reserved as long as its request is served.
#[derive(Debug, Clone)]
pub struct ClientConnection {
    shared: Arc<SharedConnections>,
    number: ConnectionNumber,
}

/// Memory that is reserved for a part of an answer; dropping it releases the memory.
#[derive(Debug)]
pub struct AnswerReservation {
    client: ClientConnection,
    size: ByteSize,
}

/// Bytes of an answer, with the memory that is reserved for them.
struct ReservedBytes {
    bytes: Bytes,
    _reservation: AnswerReservation,
}

impl ClientConnections {
    /// Opens the table of a process's connections; they are bounded until `halt` is cancelled.
    pub fn open(
        clock: Box<dyn MonotonicClock>,
        limits: ConnectionLimits,
        halt: CancellationToken,
    ) -> Self {
        let connections = Self::new(clock, limits);
        let expiring = connections.clone();
        supervision::spawn("connection-expiry", halt, move || expiring.clone().keep_expired());
        connections
    }

    async fn keep_expired(self) {
        loop {
            tokio::time::sleep(EXPIRY_INTERVAL).await;
            self.0.expire();
            self.0.log_counts();
        }
    }

    /// Opens the table of a process whose clients are trusted.
    pub fn unlimited() -> Self {
        Self::new(Box::new(ProcessClock::start()), ConnectionLimits::UNLIMITED)
    }

    fn new(clock: Box<dyn MonotonicClock>, limits: ConnectionLimits) -> Self {
        let state = ConnectionState {
            table: ConnectionTable::new(limits),
            closers: FastMap::default(),
            listeners: 0,
            closed: 0,
            refused: 0,
        };
        let (state, released) = (Mutex::new(state), Notify::new());
        Self(Arc::new(SharedConnections { clock, state, released }))
    }

    /// Returns the number of a new listener, whose connections are admitted here.
    pub fn add_listener(&self) -> ListenerNumber {
        let mut state = self.0.lock();
        state.listeners += 1;
        ListenerNumber(state.listeners)
    }

    /// Admits a new connection, once another one is closed where there is no room; `None` where it
    /// is to be closed.
    pub async fn admit(&self, listener: ListenerNumber) -> Option<AdmittedConnection> {
        loop {
            // Made first, so that no release between the decision and the wait is missed.
            let released = self.0.released.notified();
            match self.0.decide_open(listener) {
                OpenVerdict::Admit(number) => return Some(self.admitted(number)),
                OpenVerdict::Refuse => {
                    self.0.lock().refused += 1;
                    return None;
                }
                OpenVerdict::CloseFirst(number) => self.0.close(number, "no-room"),
                OpenVerdict::Wait => {}
            }
            let _ = tokio::time::timeout(RETRY_INTERVAL, released).await;
        }
    }

    fn admitted(&self, number: ConnectionNumber) -> AdmittedConnection {
        let closer = CancellationToken::new();
        self.0.lock().closers.insert(number, closer.clone());
        AdmittedConnection { client: ClientConnection { shared: self.0.clone(), number }, closer }
    }
}

impl SharedConnections {
    fn lock(&self) -> MutexGuard<'_, ConnectionState> {
        self.state.lock().expect("no lock holder panics")
    }

    fn decide_open(&self, listener: ListenerNumber) -> OpenVerdict {
        let now = self.clock.now();
        self.lock().table.open(now, listener)
    }

    /// Makes the task of a connection close it.
    fn close(&self, number: ConnectionNumber, reason: &str) {
        log::debug!("connection client={number} decision=close reason={reason}");
        let mut state = self.lock();
        state.closed += 1;
        if let Some(closer) = state.closers.get(&number) {
            closer.cancel();
        }
    }

    /// Logs what was closed and refused in one line: a crowd of clients must not fill the log.
    fn log_counts(&self) {
        let mut state = self.lock();
        let (closed, refused) = (state.closed, state.refused);
        (state.closed, state.refused) = (0, 0);
        drop(state);
        if closed + refused > 0 {
            log::info!("connections closed={closed} refused={refused} reason=limits");
        }
    }

    fn expire(&self) {
        let now = self.clock.now();
        let expired = self.lock().table.expire(now);
        for number in expired {
            self.close(number, "not-read");
        }
    }
}

impl AdmittedConnection {
    /// The handle for which memory is reserved.
    pub fn client(&self) -> &ClientConnection {
        &self.client
    }

    /// Cancelled when the connection has to be closed.
    pub fn closer(&self) -> CancellationToken {
        self.closer.clone()
    }
}

impl Drop for AdmittedConnection {
    fn drop(&mut self) {
        let ClientConnection { shared, number } = &self.client;
        let mut state = shared.lock();
        state.table.close(*number);
        state.closers.remove(number);
        drop(state);
        shared.released.notify_waiters();
    }
}

impl ClientConnection {
    /// The connection on which a server has received a request.
    ///
    /// Panics for a request of another origin.
    pub fn of<B>(request: &Request<B>) -> Self {
        let client = request.extensions().get::<Self>().cloned();
        client.expect("the server names the connection of each request")
    }

    /// Records that the head of a request is complete.
    pub fn begin_request(&self) {
        self.shared.lock().table.begin_request(self.number);
    }

    /// Records that the answer was passed on, or, for a protocol of many requests at once, that the
    /// client has sent something.
    pub fn end_request(&self) {
        let now = self.shared.clock.now();
        self.shared.lock().table.end_request(now, self.number);
    }

    /// Records whether the client reads what it is sent.
    pub fn record_block(&self, is_blocked: bool) {
        let now = self.shared.clock.now();
        let table = &mut self.shared.lock().table;
        if is_blocked {
            table.begin_block(now, self.number);
        } else {
            table.end_block(self.number);
        }
    }

    /// Reserves memory for a large head; returns `false` where there is none.
    pub fn reserve_head(&self, size: ByteSize) -> bool {
        loop {
            let verdict = self.shared.lock().table.reserve_head(self.number, size);
            match verdict {
                MemoryVerdict::Reserved => return true,
                MemoryVerdict::Wait | MemoryVerdict::TooLarge => return false,
                MemoryVerdict::CloseFirst(number) => self.shared.close(number, "no-memory"),
            }
        }
    }

    /// Reserves memory for a part of an answer, once there is enough.
    pub async fn reserve_answer(
        &self,
        size: ByteSize,
    ) -> Result<AnswerReservation, AnswerTooLargeError> {
        let mut reservation = self.reserve_nothing();
        reservation.grow(size).await?;
        Ok(reservation)
    }

    /// A reservation that grows with what is received of an answer.
    pub fn reserve_nothing(&self) -> AnswerReservation {
        AnswerReservation { client: self.clone(), size: ByteSize(0) }
    }
}

impl AnswerReservation {
    /// How much is reserved.
    pub fn size(&self) -> ByteSize {
        self.size
    }

    /// Reserves memory for a further part, once there is enough.
    pub async fn grow(&mut self, part: ByteSize) -> Result<(), AnswerTooLargeError> {
        let shared = self.client.shared.clone();
        loop {
            let released = shared.released.notified();
            if self.try_grow(part)? {
                return Ok(());
            }
            let _ = tokio::time::timeout(RETRY_INTERVAL, released).await;
        }
    }

    /// Reserves memory for a further part; returns `false` where there is too little now.
    pub fn try_grow(&mut self, part: ByteSize) -> Result<bool, AnswerTooLargeError> {
        let ClientConnection { shared, number } = &self.client;
        let now = shared.clock.now();
        // The lock is released before a connection is closed.
        let verdict = shared.lock().table.grow_answer(now, *number, self.size, part);
        match verdict {
            MemoryVerdict::Reserved => {
                self.size.0 += part.0;
                return Ok(true);
            }
            MemoryVerdict::TooLarge => {
                return Err(AnswerTooLargeError { size: ByteSize(self.size.0 + part.0) });
            }
            MemoryVerdict::CloseFirst(number) => shared.close(number, "no-memory"),
            MemoryVerdict::Wait => {}
        }
        Ok(false)
    }

    /// Takes `size`, or all if it is less, out of the reservation.
    pub fn split(&mut self, size: ByteSize) -> Self {
        let size = size.min(self.size);
        self.size.0 -= size.0;
        Self { client: self.client.clone(), size }
    }

    /// Releases what is reserved beyond `size`.
    pub fn shrink_to(&mut self, size: ByteSize) {
        drop(self.split(ByteSize(self.size.0.saturating_sub(size.0))));
    }

    /// Binds the reservation to bytes: it is released once they have been written.
    pub fn attach(self, bytes: Bytes) -> Bytes {
        Bytes::from_owner(ReservedBytes { bytes, _reservation: self })
    }
}

impl Drop for AnswerReservation {
    fn drop(&mut self) {
        let ClientConnection { shared, number } = &self.client;
        shared.lock().table.release_answer(*number, self.size);
        shared.released.notify_waiters();
    }
}

impl AsRef<[u8]> for ReservedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
