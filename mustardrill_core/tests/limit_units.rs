//! Limits on requests in flight that are too small, or not even, for the entries that divide them.

use mustardrill_core::document::CustomerLimits;
use mustardrill_core::limit::{LimitKey, LimitTable};
use mustardrill_core::roster::EntryRoster;
use mustardrill_types::{InstanceId, Millis, Moment};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const SECOND: u64 = 1_000;
const MINUTE: u64 = 60 * SECOND;

fn ids(numbers: impl IntoIterator<Item = u64>) -> Vec<InstanceId> {
    numbers.into_iter().map(|number| format!("entry-{number}").parse().unwrap()).collect()
}

/// An entry process, which may start later and under the id of an earlier one.
struct EntryModel {
    number: u64,
    roster: EntryRoster,
    table: LimitTable,
    /// The zero of its clock in the simulation's time, which is the Unix time of an exact clock.
    zero: u64,
    /// How far its wall clock is ahead, in milliseconds.
    ahead: u64,
    /// When the requests in flight end.
    ends: Vec<u64>,
    /// Until when its reads of the list fail.
    cut_off_until: u64,
    is_listed: bool,
    /// Whether it has read a list; before, it knows no upstream to send requests to.
    has_list: bool,
}

impl EntryModel {
    fn new(number: u64, now: u64, ahead: u64) -> Self {
        let roster = EntryRoster::new(ids([number]).remove(0));
        let (table, ends) = (LimitTable::default(), Vec::new());
        let zero = now.saturating_sub(MINUTE);
        let (is_listed, has_list) = (true, false);
        Self { number, roster, table, zero, ahead, ends, cut_off_until: 0, is_listed, has_list }
    }

    fn read_list(&mut self, now: u64, list: Vec<InstanceId>) {
        self.has_list = true;
        let wall = Millis(now + self.ahead);
        self.roster.record_list(Moment(now - self.zero), wall, list);
    }

    /// Asks for a request that may last this long, and does.
    fn ask(&mut self, now: u64, lasts: u64, limit: u32) -> Result<(), Millis> {
        let limits = CustomerLimits { requests_per_second: 1_000_000, in_flight: limit };
        let own_now = Moment(now - self.zero);
        let deadline = own_now + Millis(lasts);
        let admitted = self.table.admit(own_now, deadline, &key(), limits, &self.roster);
        self.ends.extend(admitted.is_ok().then_some(now + lasts));
        admitted.map_err(|over| over.retry_after)
    }

    fn end_requests(&mut self, now: u64) {
        let before = self.ends.len();
        self.ends.retain(|end| *end > now);
        (self.ends.len()..before).for_each(|_| self.table.release(&key()));
    }
}

fn key() -> LimitKey {
    ("comedor".parse().unwrap(), "desk".parse().unwrap())
}

fn fleet(entries: u64, now: u64) -> Vec<EntryModel> {
    (0..entries).map(|number| EntryModel::new(number, now, 0)).collect()
}

/// All entries read the list until `end`.
fn read_lists(fleet: &mut [EntryModel], start: u64, end: u64) {
    let list = ids(0..fleet.len() as u64);
    for now in (start..=end).step_by(9 * SECOND as usize) {
        fleet.iter_mut().for_each(|entry| entry.read_list(now, list.clone()));
    }
}

/// Entries start, are killed, restarted and taken off the list, which lags and can't be read at
/// times; wall clocks differ by up to a second.
#[test]
fn units_held_twice_exceed_a_limit_while_entries_start_and_end() {
    for seed in 0..30 {
        let mut random = SmallRng::seed_from_u64(seed);
        let limit = random.random_range(1..12);
        let mut now = 10_000 * MINUTE + random.random_range(0..60 * MINUTE);
        let mut fleet = fleet(u64::from(limit) + random.random_range(1..20), now);
        let mut lists: Vec<Vec<InstanceId>> = Vec::new();
        let (mut next_number, mut admitted) = (1_000, 0);
        let change_every = random.random_range(5..60);
        for _ in 0..20 * 60 {
            now += SECOND;
            if random.random_ratio(1, change_every) {
                change_fleet(&mut fleet, &mut random, now, limit, &mut next_number);
            }
            lists.push(ids(fleet.iter().filter(|it| it.is_listed).map(|it| it.number)));
            for entry in &mut fleet {
                entry.end_requests(now);
                if now >= entry.cut_off_until && random.random_ratio(1, 2) {
                    let lag = random.random_range(0..3).min(lists.len() - 1);
                    entry.read_list(now, lists[lists.len() - 1 - lag].clone());
                }
                if !entry.has_list {
                    continue;
                }
                let lasts = random.random_range(1..90) * SECOND;
                admitted += u32::from(entry.ask(now, lasts, limit).is_ok());
            }
            let in_flight: usize = fleet.iter().map(|entry| entry.ends.len()).sum();
            assert!(in_flight <= limit as usize, "seed {seed}: {in_flight} of {limit} at {now}");
        }
        assert!(admitted >= limit, "seed {seed}: {admitted} requests admitted in 20 minutes");
    }
}

fn change_fleet(
    fleet: &mut Vec<EntryModel>,
    random: &mut SmallRng,
    now: u64,
    limit: u32,
    next_number: &mut u64,
) {
    let index = random.random_range(0..fleet.len());
    let ahead = random.random_range(0..SECOND);
    let listed = fleet.iter().filter(|entry| entry.is_listed).count();
    match random.random_range(0..5) {
        0 => {
            fleet.push(EntryModel::new(*next_number, now, ahead));
            *next_number += 1;
        }
        1 => fleet[index] = EntryModel::new(fleet[index].number, now, ahead),
        2 => fleet[index].cut_off_until = now + random.random_range(1..120) * SECOND,
        // The limit is divided into units only while the entries are more.
        _ if listed <= limit as usize + 1 => {}
        3 => fleet[index].is_listed = false,
        _ => {
            fleet.remove(index);
        }
    }
}

#[test]
fn some_entries_never_hold_a_unit_of_a_small_limit() {
    for (entries, limit, turns) in [(36, 4, 100), (100, 20, 60), (36, 40, 60)] {
        let mut now = 10_000 * MINUTE;
        let mut fleet = fleet(entries, now);
        let mut served = vec![0; fleet.len()];
        for _ in 0..turns {
            read_lists(&mut fleet, now, now + 2 * MINUTE);
            now += 2 * MINUTE;
            let mut in_flight = 0;
            for (entry, served) in fleet.iter_mut().zip(&mut served) {
                entry.end_requests(now);
                let parts = (0..2).filter(|_| entry.ask(now, 30 * SECOND, limit).is_ok()).count();
                *served += usize::from(parts > (limit as usize) / entries as usize);
                in_flight += parts;
            }
            assert_eq!(in_flight, limit as usize, "{entries} entries use all of the limit");
        }
        let starved = served.iter().filter(|count| **count == 0).count();
        assert_eq!(starved, 0, "{entries} entries, limit {limit}");
    }
}

#[test]
fn a_refused_request_is_told_a_time_at_which_it_is_refused_again() {
    let start = 10_000 * MINUTE;
    for (timeout, later) in [(1, 30), (2, 90), (10, 5), (11, 55)] {
        let mut fleet = fleet(36, start);
        let mut ask_all = |now: u64| -> Vec<_> {
            read_lists(&mut fleet, now - 171 * SECOND, now);
            fleet.iter_mut().map(|entry| entry.ask(now, timeout * MINUTE, 4)).collect()
        };
        let now = start + later * MINUTE + 80 * SECOND;
        let refusals: Vec<_> = ask_all(now).into_iter().filter_map(Result::err).collect();
        assert_eq!(refusals.len(), 36, "{timeout} minutes fit in no turn at {later}");
        let again = ask_all(now + refusals[0].0);
        assert_eq!(again.iter().filter(|admitted| admitted.is_ok()).count(), 4, "{refusals:?}");
    }
}
