//! Bounds the descriptors and the memory that client connections take, and chooses which one is
//! closed where they run short.

use derive_more::Display;
use mustardrill_types::{ByteSize, FastMap, Millis, Moment};

use crate::direct::BodyBudget;

/// The part of the process's descriptors that clients may take, as a divisor: upstreams and the
/// platform need the others.
const DESCRIPTOR_DIVISOR: usize = 2;

/// The part of the process's memory that connections may take, and as much again for what they have
/// not read of their answers, as a divisor.
const MEMORY_DIVISOR: u64 = 6;

/// What a connection takes besides large heads and answers: its task and its first buffers.
const CONNECTION_MEMORY: ByteSize = ByteSize(16 << 10);

/// How long a client may take to read what it was sent before its connection may be closed for the
/// memory.
const READ_GRACE: Millis = Millis(1_000);

/// Identifies a client connection of this process.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ConnectionNumber(u64);

/// Identifies a listener of this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ListenerNumber(pub u64);

/// What all client connections of a process may take together.
#[derive(Debug, Clone, Copy)]
pub struct ConnectionLimits {
    connections: usize,
    head_memory: ByteSize,
    answer_memory: ByteSize,
    unread_timeout: Millis,
}

impl ConnectionLimits {
    /// No limits, for clients that are trusted.
    pub const UNLIMITED: Self = Self {
        connections: usize::MAX,
        head_memory: ByteSize(u64::MAX / 2),
        answer_memory: ByteSize(u64::MAX / 2),
        unread_timeout: Millis(u64::MAX),
    };

    /// The limits of a process that may use `memory` and open `descriptors`. A connection whose
    /// client reads nothing for `unread_timeout` is closed.
    pub fn of_process(memory: ByteSize, descriptors: usize, unread_timeout: Millis) -> Self {
        let share = ByteSize(memory.0 / MEMORY_DIVISOR);
        let by_memory = usize::try_from(share.0 / CONNECTION_MEMORY.0).unwrap_or(usize::MAX);
        Self {
            connections: (descriptors / DESCRIPTOR_DIVISOR).min(by_memory).max(1),
            head_memory: share,
            answer_memory: share,
            unread_timeout,
        }
    }
}

/// Where a connection is between two requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ConnectionPhase {
    /// No request, or only a part of its head, was received since then.
    Waiting(Moment),
    /// A request is being served.
    Serving,
}

#[derive(Debug)]
struct OpenConnection {
    listener: ListenerNumber,
    phase: ConnectionPhase,
    head_memory: ByteSize,
    answer_memory: ByteSize,
    /// Since when it has held answers without a pause.
    holds_since: Option<Moment>,
    /// Since when the client has read nothing although there is more to send.
    blocked_since: Option<Moment>,
    is_closing: bool,
}

/// What to do with a connection that a client has opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OpenVerdict {
    /// Serve it under this number.
    Admit(ConnectionNumber),
    /// Close that connection, and try again once one has been closed.
    CloseFirst(ConnectionNumber),
    /// Try again once one of those that are being closed has been closed.
    Wait,
    /// Close the new connection: requests are being served on all others.
    Refuse,
}

/// What to do where memory is needed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemoryVerdict {
    /// It is reserved.
    Reserved,
    /// Close that connection, and try again.
    CloseFirst(ConnectionNumber),
    /// Try again once some has been released.
    Wait,
    /// There is never that much.
    TooLarge,
}

/// The open client connections of a process.
#[derive(Debug)]
pub struct ConnectionTable {
    limits: ConnectionLimits,
    next_number: u64,
    open: FastMap<ConnectionNumber, OpenConnection>,
    head_memory: ByteSize,
    answers: BodyBudget,
}

impl ConnectionTable {
    /// A table without connections.
    pub fn new(limits: ConnectionLimits) -> Self {
        Self {
            limits,
            next_number: 0,
            open: FastMap::default(),
            head_memory: ByteSize(0),
            answers: BodyBudget::of_size(limits.answer_memory),
        }
    }

    /// Decides on a connection that a client has opened at `listener`.
    pub fn open(&mut self, now: Moment, listener: ListenerNumber) -> OpenVerdict {
        let has_memory = self.head_memory.0 + CONNECTION_MEMORY.0 <= self.limits.head_memory.0;
        if self.open.len() >= self.limits.connections || !has_memory {
            return self.make_room(now);
        }
        self.next_number += 1;
        let number = ConnectionNumber(self.next_number);
        self.head_memory.0 += CONNECTION_MEMORY.0;
        let connection = OpenConnection {
            listener,
            phase: ConnectionPhase::Waiting(now),
            head_memory: CONNECTION_MEMORY,
            answer_memory: ByteSize(0),
            holds_since: None,
            blocked_since: None,
            is_closing: false,
        };
        self.open.insert(number, connection);
        OpenVerdict::Admit(number)
    }

    fn make_room(&mut self, now: Moment) -> OpenVerdict {
        if self.open.values().any(|connection| connection.is_closing) {
            return OpenVerdict::Wait;
        }
        match self.longest_waiting().or_else(|| self.longest_blocked(now, READ_GRACE)) {
            Some(number) => OpenVerdict::CloseFirst(self.begin_close(number)),
            None => OpenVerdict::Refuse,
        }
    }

    /// Records that the head of a request is complete.
    pub fn begin_request(&mut self, number: ConnectionNumber) {
        if let Some(connection) = self.open.get_mut(&number) {
            connection.phase = ConnectionPhase::Serving;
        }
    }

    /// Records that the answer to a request has been passed to the connection.
    pub fn end_request(&mut self, now: Moment, number: ConnectionNumber) {
        if let Some(connection) = self.open.get_mut(&number) {
            connection.phase = ConnectionPhase::Waiting(now);
        }
    }

    /// Records that the connection takes no more bytes, as its client does not read.
    pub fn begin_block(&mut self, now: Moment, number: ConnectionNumber) {
        if let Some(connection) = self.open.get_mut(&number) {
            connection.blocked_since.get_or_insert(now);
        }
    }

    /// Records that the connection has taken bytes again.
    pub fn end_block(&mut self, number: ConnectionNumber) {
        if let Some(connection) = self.open.get_mut(&number) {
            connection.blocked_since = None;
        }
    }

    /// Reserves memory for a head that is larger than the first buffers, until the connection is
    /// closed. Never waits: the head is refused where nothing can be closed instead.
    pub fn reserve_head(&mut self, number: ConnectionNumber, size: ByteSize) -> MemoryVerdict {
        if self.head_memory.0 + size.0 > self.limits.head_memory.0 {
            let victim = self.longest_waiting().filter(|victim| *victim != number);
            let Some(victim) = victim else { return MemoryVerdict::TooLarge };
            return MemoryVerdict::CloseFirst(self.begin_close(victim));
        }
        if let Some(connection) = self.open.get_mut(&number) {
            connection.head_memory.0 += size.0;
            self.head_memory.0 += size.0;
        }
        MemoryVerdict::Reserved
    }

    /// Reserves memory for a part of an answer, until [`Self::release_answer`].
    pub fn reserve_answer(
        &mut self,
        now: Moment,
        number: ConnectionNumber,
        size: ByteSize,
    ) -> MemoryVerdict {
        self.grow_answer(now, number, ByteSize(0), size)
    }

    /// Reserves memory for a further part, of `size`, of what holds `held` already.
    pub fn grow_answer(
        &mut self,
        now: Moment,
        number: ConnectionNumber,
        held: ByteSize,
        size: ByteSize,
    ) -> MemoryVerdict {
        if !self.answers.fits(ByteSize(held.0.saturating_add(size.0))) {
            return MemoryVerdict::TooLarge;
        }
        if !self.answers.grow(held, size) {
            return match self.longest_holder(now).filter(|victim| *victim != number) {
                Some(victim) => MemoryVerdict::CloseFirst(self.begin_close(victim)),
                None => MemoryVerdict::Wait,
            };
        }
        if let Some(connection) = self.open.get_mut(&number) {
            connection.answer_memory.0 += size.0;
            connection.holds_since.get_or_insert(now);
        }
        MemoryVerdict::Reserved
    }

    /// Releases memory that was reserved for a part of an answer. The connection may have been
    /// closed before.
    pub fn release_answer(&mut self, number: ConnectionNumber, size: ByteSize) {
        self.answers.release(size);
        let Some(connection) = self.open.get_mut(&number) else { return };
        connection.answer_memory.0 = connection.answer_memory.0.saturating_sub(size.0);
        if connection.answer_memory.0 == 0 {
            connection.holds_since = None;
        }
    }

    /// Records that a connection has been closed. Its answers are released by themselves.
    pub fn close(&mut self, number: ConnectionNumber) {
        if let Some(connection) = self.open.remove(&number) {
            self.head_memory.0 -= connection.head_memory.0;
        }
    }

    /// The connections to close, as their clients have read nothing for too long.
    pub fn expire(&mut self, now: Moment) -> Vec<ConnectionNumber> {
        let mut expired = Vec::new();
        while let Some(number) = self.longest_blocked(now, self.limits.unread_timeout) {
            expired.push(self.begin_close(number));
        }
        expired
    }

    /// The connection without a request that has waited longest, at the listener with the most
    /// connections.
    fn longest_waiting(&self) -> Option<ConnectionNumber> {
        let mut counts = FastMap::<ListenerNumber, usize>::default();
        for connection in self.open.values() {
            *counts.entry(connection.listener).or_default() += 1;
        }
        let waiting = self.open.iter().filter_map(|(number, connection)| match connection.phase {
            ConnectionPhase::Waiting(since) if !connection.has_answer() => {
                Some((counts[&connection.listener], since, *number))
            }
            _ => None,
        });
        let longest = waiting
            .min_by_key(|(count, since, number)| (std::cmp::Reverse(*count), *since, number.0));
        longest.map(|(_, _, number)| number)
    }

    fn longest_blocked(&self, now: Moment, grace: Millis) -> Option<ConnectionNumber> {
        self.longest_since(now, grace, |connection| connection.blocked_since)
    }

    /// The connection that has held answers longest, of those whose clients do not read now.
    fn longest_holder(&self, now: Moment) -> Option<ConnectionNumber> {
        self.longest_since(now, READ_GRACE, |connection| {
            connection.holds_since.filter(|_| connection.blocked_since.is_some())
        })
    }

    /// The connection for which `since` is the earliest moment, if that is at least `grace` ago.
    fn longest_since(
        &self,
        now: Moment,
        grace: Millis,
        since: impl Fn(&OpenConnection) -> Option<Moment>,
    ) -> Option<ConnectionNumber> {
        let open = self.open.iter().filter(|(_, connection)| !connection.is_closing);
        let moments = open.filter_map(|(number, connection)| Some((since(connection)?, *number)));
        let (since, number) = moments.min_by_key(|(since, number)| (*since, number.0))?;
        (now.since(since) >= grace).then_some(number)
    }

    fn begin_close(&mut self, number: ConnectionNumber) -> ConnectionNumber {
        if let Some(connection) = self.open.get_mut(&number) {
            connection.is_closing = true;
        }
        number
    }
}

impl OpenConnection {
    /// Whether its client has not read all of an answer, or the connection is being closed.
    fn has_answer(&self) -> bool {
        self.holds_since.is_some() || self.blocked_since.is_some() || self.is_closing
    }
}
