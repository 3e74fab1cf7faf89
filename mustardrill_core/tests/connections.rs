//! Which client connections are admitted, and which are closed where descriptors or memory run
//! short.

use mustardrill_core::connections::{
    ConnectionLimits, ConnectionNumber, ConnectionTable, ListenerNumber, MemoryVerdict, OpenVerdict,
};
use mustardrill_types::{ByteSize, Millis, Moment};
use proptest::prelude::*;

const MEMORY: ByteSize = ByteSize(64_000_000);
const UNREAD_TIMEOUT: Millis = Millis(30_000);
const CALLERS: ListenerNumber = ListenerNumber(1);
const PEERS: ListenerNumber = ListenerNumber(2);
const START: Moment = Moment::CLOCK_START;
const LARGE: ByteSize = ByteSize(2_000_000);
const SMALL: ByteSize = ByteSize(1_000);

/// A table with room for `connections`.
fn table(connections: usize) -> ConnectionTable {
    ConnectionTable::new(ConnectionLimits::of_process(MEMORY, 2 * connections, UNREAD_TIMEOUT))
}

fn at(ms: u64) -> Moment {
    START + Millis(ms)
}

fn admit(table: &mut ConnectionTable, now: Moment, listener: ListenerNumber) -> ConnectionNumber {
    match table.open(now, listener) {
        OpenVerdict::Admit(number) => number,
        verdict => panic!("{verdict:?}"),
    }
}

#[test]
fn a_connection_that_serves_a_request_is_closed_for_a_new_one() {
    let mut table = table(3);
    let numbers = [0, 1, 2].map(|ms| admit(&mut table, at(ms), CALLERS));
    table.begin_request(numbers[0]);
    assert_eq!(table.open(at(10), CALLERS), OpenVerdict::CloseFirst(numbers[1]));
    assert_eq!(table.open(at(10), CALLERS), OpenVerdict::Wait, "until it is closed");
    table.close(numbers[1]);
    let fourth = admit(&mut table, at(10), CALLERS);
    for number in [numbers[2], fourth] {
        table.begin_request(number);
    }
    assert_eq!(table.open(at(11), CALLERS), OpenVerdict::Refuse);
    table.end_request(at(12), numbers[0]);
    assert_eq!(table.open(at(13), CALLERS), OpenVerdict::CloseFirst(numbers[0]));
}

/// A crowd at one listener pushes out connections of its own, not the older ones of peers.
#[test]
fn a_crowd_of_callers_closes_the_connections_of_peers() {
    let mut table = table(4);
    admit(&mut table, at(0), PEERS);
    let first = admit(&mut table, at(1), CALLERS);
    for ms in 2..4 {
        admit(&mut table, at(ms), CALLERS);
    }
    assert_eq!(table.open(at(5), CALLERS), OpenVerdict::CloseFirst(first));
}

/// A client that is still being sent its answer is not idle.
#[test]
fn a_connection_with_an_unread_answer_is_closed_as_idle() {
    let mut table = table(2);
    let numbers = [0, 1].map(|ms| admit(&mut table, at(ms), CALLERS));
    assert_eq!(table.reserve_answer(at(1), numbers[0], LARGE), MemoryVerdict::Reserved);
    assert_eq!(table.open(at(2), CALLERS), OpenVerdict::CloseFirst(numbers[1]));
}

#[test]
fn unread_answers_fill_the_memory() {
    let mut table = table(100);
    let readers = [(); 4].map(|()| admit(&mut table, at(0), CALLERS));
    for reader in readers {
        assert_eq!(table.reserve_answer(at(0), reader, LARGE), MemoryVerdict::Reserved);
    }
    let next = admit(&mut table, at(1), CALLERS);
    assert_eq!(table.reserve_answer(at(1), next, LARGE), MemoryVerdict::Wait, "all may yet read");
    assert_eq!(table.reserve_answer(at(1), next, SMALL), MemoryVerdict::Reserved);
    table.release_answer(next, SMALL);
    table.begin_block(at(2), readers[1]);
    assert_eq!(table.reserve_answer(at(900), next, LARGE), MemoryVerdict::Wait);
    let verdict = table.reserve_answer(at(1_000), next, LARGE);
    assert_eq!(verdict, MemoryVerdict::CloseFirst(readers[1]), "the one that does not read");
    // Its memory is released when its bytes are dropped, which may be after it was closed.
    table.close(readers[1]);
    assert_eq!(table.reserve_answer(at(1_001), next, LARGE), MemoryVerdict::Wait);
    table.release_answer(readers[1], LARGE);
    assert_eq!(table.reserve_answer(at(1_002), next, LARGE), MemoryVerdict::Reserved);
    assert_eq!(table.reserve_answer(at(1_002), next, MEMORY), MemoryVerdict::TooLarge);
}

#[test]
fn a_client_that_reads_nothing_keeps_its_connection() {
    let mut table = table(10);
    let numbers = [0, 1].map(|ms| admit(&mut table, at(ms), CALLERS));
    numbers.iter().for_each(|number| table.begin_block(at(10), *number));
    table.end_block(numbers[0]);
    assert_eq!(table.expire(at(10) + Millis(UNREAD_TIMEOUT.0 - 1)), []);
    assert_eq!(table.expire(at(10) + UNREAD_TIMEOUT), [numbers[1]]);
    assert_eq!(table.expire(at(11) + UNREAD_TIMEOUT), [], "it is being closed");
}

/// Answers of unknown length grew by parts that each counted as small.
#[test]
fn an_answer_that_grows_takes_the_room_of_small_ones() {
    const PART: ByteSize = ByteSize(60_000);
    let mut table = table(100);
    let (growing, small) = (admit(&mut table, at(0), CALLERS), admit(&mut table, at(0), CALLERS));
    let mut held = ByteSize(0);
    while table.grow_answer(at(1), growing, held, PART) == MemoryVerdict::Reserved {
        held.0 += PART.0;
    }
    assert_eq!(table.reserve_answer(at(2), small, SMALL), MemoryVerdict::Reserved, "{held}");
    // What a refused growth had reserved stays reserved.
    assert_ne!(table.reserve_answer(at(3), small, LARGE), MemoryVerdict::Reserved);
    table.release_answer(growing, held);
    assert_eq!(table.reserve_answer(at(4), small, LARGE), MemoryVerdict::Reserved);
}

#[test]
fn large_heads_fill_the_memory() {
    let mut table = table(1_000);
    let numbers = [0, 1, 2].map(|ms| admit(&mut table, at(ms), CALLERS));
    table.begin_request(numbers[0]);
    let most = ByteSize(5_200_000);
    for number in &numbers[..2] {
        assert_eq!(table.reserve_head(*number, most), MemoryVerdict::Reserved);
    }
    let verdict = table.reserve_head(numbers[2], most);
    assert_eq!(verdict, MemoryVerdict::CloseFirst(numbers[1]));
    table.close(numbers[1]);
    assert_eq!(table.reserve_head(numbers[2], most), MemoryVerdict::Reserved);
    let fourth = admit(&mut table, at(3), CALLERS);
    table.begin_request(numbers[2]);
    assert_eq!(table.reserve_head(fourth, most), MemoryVerdict::TooLarge);
}

proptest! {
    /// Whatever clients do, the limits hold, and what was reserved is released.
    #[test]
    fn connections_and_memory_stay_within_their_limits(
        steps in prop::collection::vec((0..7_u8, 0..12_usize, 1..3_000_000_u64), 1..300)
    ) {
        let mut table = table(8);
        let (mut open, mut reserved) = (Vec::new(), Vec::new());
        for (index, (step, place, size)) in steps.into_iter().enumerate() {
            let now = at(index as u64 * 300);
            let chosen = (!open.is_empty()).then(|| open[place % open.len().max(1)]);
            let mut to_close = None;
            match (step, chosen) {
                (0, _) => match table.open(now, ListenerNumber(place as u64 % 3)) {
                    OpenVerdict::Admit(number) => open.push(number),
                    OpenVerdict::CloseFirst(number) => to_close = Some(number),
                    OpenVerdict::Wait | OpenVerdict::Refuse => {}
                },
                (1, Some(number)) => table.begin_request(number),
                (2, Some(number)) => table.end_request(now, number),
                (3, Some(number)) => table.begin_block(now, number),
                (4, Some(number)) => match table.reserve_answer(now, number, ByteSize(size)) {
                    MemoryVerdict::Reserved => reserved.push((number, size)),
                    MemoryVerdict::CloseFirst(number) => to_close = Some(number),
                    MemoryVerdict::Wait | MemoryVerdict::TooLarge => {}
                },
                (5, Some(_)) => if let Some((number, held)) = reserved.last_mut() {
                    let size = ByteSize(size);
                    match table.grow_answer(now, *number, ByteSize(*held), size) {
                        MemoryVerdict::Reserved => *held += size.0,
                        MemoryVerdict::CloseFirst(number) => to_close = Some(number),
                        MemoryVerdict::Wait | MemoryVerdict::TooLarge => {}
                    }
                },
                (_, _) => if let Some((number, size)) = reserved.pop() {
                    table.release_answer(number, ByteSize(size));
                },
            }
            if let Some(number) = to_close {
                prop_assert!(open.contains(&number), "{number} is not open");
                open.retain(|it| *it != number);
                table.close(number);
            }
            prop_assert!(open.len() <= 8);
            let held: u64 = reserved.iter().map(|(_, size)| size).sum();
            prop_assert!(held <= MEMORY.0 / 6, "{held} bytes");
        }
        reserved.iter().for_each(|(number, size)| table.release_answer(*number, ByteSize(*size)));
        open.iter().for_each(|number| table.close(*number));
        let number = admit(&mut table, at(1_000_000), CALLERS);
        let verdict = table.reserve_answer(at(1_000_000), number, ByteSize(7_900_000));
        prop_assert_eq!(verdict, MemoryVerdict::Reserved, "all memory is free again");
    }
}
