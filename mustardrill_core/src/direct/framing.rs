//! Bytes of an upstream that bring its answer no further, and when they end its connection.

use derive_more::Display;
use mustardrill_types::{ByteSize, Millis, Moment};

/// The most bytes without progress. An event, and what a slow caller leaves unread in buffers, are
/// far smaller.
pub const MAX_STRAY_BYTES: ByteSize = ByteSize(512 << 10);

/// The longest that bytes may go on coming without progress.
pub const MAX_STRAY_TIME: Millis = Millis(1_000);

/// The most that one pause between two reads counts of that time. An upstream may pause anywhere
/// and go on: a part of an answer that comes in up to ten reads is never cut by time.
const MAX_COUNTED_PAUSE: Millis = Millis(100);

/// The part of an answer that an upstream is sending.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum AnswerSection {
    /// Interim answers belong to it as well.
    #[default]
    Head,
    Body,
}

/// Why a connection was closed although its upstream went on sending.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub enum CutReason {
    /// The head has too many bytes.
    #[display("endless-head")]
    EndlessHead,
    /// The head goes on for too long.
    #[display("slow-head")]
    SlowHead,
    /// Too many bytes of the body bring the answer no further.
    #[display("endless-body")]
    EndlessBody,
    /// For too long, bytes of the body bring the answer no further.
    #[display("slow-body")]
    SlowBody,
}

/// A connection that was closed for what its upstream sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadCut {
    /// Why it was closed.
    pub reason: CutReason,
    /// Bytes read since the last progress.
    pub stray_bytes: u64,
    /// For how long they came.
    pub stray_time: Millis,
}

/// Counts what is read of a connection since the answer last made progress: its head was complete, a
/// part of its body arrived, or, in a stream, an event was complete.
#[derive(Debug, Clone, Default)]
pub struct ReadMeter {
    section: AnswerSection,
    stray_bytes: u64,
    stray_time: Millis,
    /// The last read since the last progress.
    last_read_at: Option<Moment>,
    cut: Option<ReadCut>,
}

impl ReadMeter {
    /// Records that the head is complete.
    pub fn record_head(&mut self) {
        self.section = AnswerSection::Body;
        self.record_progress();
    }

    /// Records that the body has brought the answer further.
    pub fn record_progress(&mut self) {
        self.stray_bytes = 0;
        self.record_sign();
    }

    /// Records that what came is complete, as a comment is, but brings the answer no further. It may
    /// go on for any time, and not for any number of bytes.
    pub fn record_sign(&mut self) {
        self.stray_time = Millis(0);
        self.last_read_at = None;
    }

    /// Records a read; fails once the connection is to be closed.
    pub fn record_read(&mut self, now: Moment, bytes: u64) -> Result<(), ReadCut> {
        if let Some(cut) = self.cut {
            return Err(cut);
        }
        let pause = self.last_read_at.map_or(Millis(0), |last| now.since(last));
        self.last_read_at = Some(now);
        self.stray_bytes += bytes;
        self.stray_time = Millis(self.stray_time.0 + pause.min(MAX_COUNTED_PAUSE).0);
        self.cut = self.exceeded_limit().map(|reason| {
            let Self { stray_bytes, stray_time, .. } = *self;
            ReadCut { reason, stray_bytes, stray_time }
        });
        self.cut.map_or(Ok(()), Err)
    }

    /// How the connection was cut, if it was.
    pub fn cut(&self) -> Option<ReadCut> {
        self.cut
    }

    fn exceeded_limit(&self) -> Option<CutReason> {
        let is_endless = self.stray_bytes > MAX_STRAY_BYTES.0;
        let is_slow = self.stray_time > MAX_STRAY_TIME;
        match self.section {
            AnswerSection::Head if is_endless => Some(CutReason::EndlessHead),
            AnswerSection::Body if is_endless => Some(CutReason::EndlessBody),
            AnswerSection::Head if is_slow => Some(CutReason::SlowHead),
            AnswerSection::Body if is_slow => Some(CutReason::SlowBody),
            _ => None,
        }
    }
}
