//! The entries that divide a limit, and which of them hold its spare units.
//!
//! What is left of a limit after equal whole parts, or all of it where the entries are more, is
//! held in units by the entries that rank first. The order changes with each turn of the wall
//! clock. A unit admits only requests that end within the turn, so the next holder needs no word
//! from the one before. An entry yields to any other as soon as it is listed, and holds a unit only
//! from the first turn on at whose start all others have known it for a while.

use mustardrill_types::{FastMap, InstanceId, Millis, Moment};

use crate::rendezvous;

/// How old the last list of entries may be for an entry that admits requests on its unit.
const LIST_LIFETIME: Millis = Millis(10_000);

/// How long before a turn an entry must have been listed to hold a unit in it, and to be counted in
/// it though it is no longer listed. Longer than `LIST_LIFETIME` by the lag of the list.
const LISTING_SPAN: Millis = Millis(15_000);

/// The largest difference between the entries' wall clocks, and the time within which a request
/// whose deadline has passed is over.
const CLOCK_MARGIN: Millis = Millis(2_000);

/// The length of most turns.
const SHORT_TURN: Millis = Millis(120_000);

/// The number of short turns before a long one.
const SHORT_TURNS: u64 = 24;

/// The length of the others, in which requests with the longest timeouts find room.
const LONG_TURN: Millis = Millis(720_000);

/// The time from one long turn to the next.
const TURN_CYCLE: Millis = Millis(SHORT_TURN.0 * SHORT_TURNS + LONG_TURN.0);

/// The entries that this one knows of.
#[derive(Debug)]
pub struct EntryRoster {
    own_id: InstanceId,
    /// The number of entries, once it is known.
    count: Option<usize>,
    /// This entry's rank among those that are listed, where it is one.
    rank: Option<usize>,
    /// When each entry was last in the list.
    listings: FastMap<InstanceId, Moment>,
    listed_at: Option<Moment>,
    /// Since when this entry has been in each list, and has read it without a longer gap.
    listed_since: Option<Moment>,
    /// The Unix time at the zero of this process's clock.
    wall_zero: Millis,
}

/// A span of the wall clock in which the same entries hold the units; `start` and `end` are moments
/// of this process's clock.
#[derive(Debug, Clone, Copy)]
struct UnitTurn {
    /// The Unix time of its start, which is the same at all entries.
    number: u64,
    start: Moment,
    end: Moment,
}

impl EntryRoster {
    /// Creates a roster of this entry alone, without a list.
    pub fn new(own_id: InstanceId) -> Self {
        Self {
            own_id,
            count: None,
            rank: None,
            listings: FastMap::default(),
            listed_at: None,
            listed_since: None,
            wall_zero: Millis(0),
        }
    }

    /// Records the number of entries, this one included.
    pub fn record_count(&mut self, count: usize) {
        self.count = Some(count.max(1));
    }

    /// Records the complete list of entries, read at `now`, which is the Unix time `wall`.
    pub fn record_list(&mut self, now: Moment, wall: Millis, ids: Vec<InstanceId>) {
        self.wall_zero = Millis(wall.0.saturating_sub(now.0));
        let since = self.listed_since.filter(|_| self.is_list_current(now)).unwrap_or(now);
        self.listed_since = ids.contains(&self.own_id).then_some(since);
        self.listed_at = Some(now);
        self.record_count(ids.len());
        self.listings.extend(ids.into_iter().map(|id| (id, now)));
        let turn = self.turn_at(now);
        self.listings.retain(|_, last| *last + LISTING_SPAN >= turn.start);
        self.rank = self.listed_since.map(|_| self.rank_for(b""));
    }

    fn is_list_current(&self, now: Moment) -> bool {
        self.listed_at.is_some_and(|at| now.since(at) < LIST_LIFETIME)
    }

    /// The number of entries, this one included.
    pub fn entries(&self) -> usize {
        self.count.unwrap_or(1)
    }

    /// This entry's part of `amount`: a whole number, zero until the number of entries is known.
    pub(crate) fn part_of(&self, amount: u32) -> u32 {
        if self.count.is_none() {
            return 0;
        }
        let divisor = self.divisor() as u32;
        let has_more = self.rank.is_some_and(|rank| (rank as u32) < amount % divisor);
        amount / divisor + u32::from(has_more)
    }

    /// The number of entries that limits are divided among: those that were listed lately, too.
    pub fn divisor(&self) -> usize {
        self.entries().max(self.listings.len())
    }

    /// Whether this entry may admit a request with this deadline on one of the `units` that the
    /// entries hold for `subject`; if not, the time to retry after.
    pub fn admit_on_unit(
        &self,
        now: Moment,
        deadline: Moment,
        subject: &[u8],
        units: u32,
    ) -> Result<(), Millis> {
        /// Another entry may have a unit at once.
        const OTHER_ENTRY_RETRY: Millis = Millis(1_000);
        let turn = self.turn_at(now);
        if !turn.fits(deadline) {
            return Err(self.next_fitting(turn, deadline.since(now)).since(now));
        }
        if self.holds_unit(now, turn, subject, units) { Ok(()) } else { Err(OTHER_ENTRY_RETRY) }
    }

    fn holds_unit(&self, now: Moment, turn: UnitTurn, subject: &[u8], units: u32) -> bool {
        let is_known_to_all =
            self.listed_since.is_some_and(|since| since + LISTING_SPAN <= turn.start);
        if !is_known_to_all || !self.is_list_current(now) {
            return false;
        }
        let subject = [subject, &turn.number.to_be_bytes()].concat();
        self.rank_for(&subject) < units as usize
    }

    fn rank_for(&self, subject: &[u8]) -> usize {
        let others = self.listings.keys().filter(|id| **id != self.own_id);
        rendezvous::rank(subject, self.own_id.as_str(), others.map(InstanceId::as_str))
    }

    fn turn_at(&self, now: Moment) -> UnitTurn {
        let wall = self.wall_zero.0 + now.0;
        let in_cycle = wall % TURN_CYCLE.0;
        let index = (in_cycle / SHORT_TURN.0).min(SHORT_TURNS);
        let length = if index < SHORT_TURNS { SHORT_TURN } else { LONG_TURN };
        let number = wall - in_cycle + index * SHORT_TURN.0;
        let start = Moment(number.saturating_sub(self.wall_zero.0));
        UnitTurn { number, start, end: Moment(number + length.0) - self.wall_zero }
    }

    /// The start of the next turn in which a request that lasts `span` fits; of the next long one
    /// where none is long enough.
    fn next_fitting(&self, mut turn: UnitTurn, span: Millis) -> Moment {
        for _ in 0..=SHORT_TURNS {
            turn = self.turn_at(turn.end);
            if turn.fits(turn.start + span) || turn.end.since(turn.start) == LONG_TURN {
                break;
            }
        }
        turn.start
    }
}

impl UnitTurn {
    fn fits(&self, deadline: Moment) -> bool {
        deadline + CLOCK_MARGIN <= self.end
    }
}
