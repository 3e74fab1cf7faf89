//! Policies of admission, rate limits, load balancing, retry budgets and rendezvous hashing.

mod common;

use mustardrill_core::admission::{Admission, AdmissionQueue, AdmissionSettings};
use mustardrill_core::budget::{RetryBudget, RetrySettings};
use mustardrill_core::document::{CustomerLimits, RequestClass};
use mustardrill_core::limit::{LimitKey, LimitTable, RoundDemand, share_of};
use mustardrill_core::rendezvous;
use mustardrill_core::roster::EntryRoster;
use mustardrill_core::routing::{RoutingReason, RoutingSettings, RoutingTable, UpstreamReport};
use mustardrill_types::{AttemptId, InstanceId, Millis, Moment, ResultCode};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

fn queue(capacity: u32, length: u32, max_starts_ahead: u32) -> AdmissionQueue {
    AdmissionQueue::new(AdmissionSettings {
        capacity,
        queue: length,
        max_starts_ahead,
        ..Default::default()
    })
}

fn offer(queue: &mut AdmissionQueue, attempt: u128, class: RequestClass) -> Admission {
    queue.offer(Moment(1), AttemptId(attempt), class, Moment(1_000_000))
}

#[test]
fn higher_classes_run_first_and_lower_ones_are_not_starved() {
    let mut queue = queue(1, 100, 4);
    assert_eq!(offer(&mut queue, 0, RequestClass::Urgent), Admission::Run);
    for number in 1..=20 {
        let class = if u128::is_multiple_of(number, 2) {
            RequestClass::Urgent
        } else {
            RequestClass::Background
        };
        assert_eq!(offer(&mut queue, number, class), Admission::Queued);
    }
    let mut order = Vec::new();
    let mut running = AttemptId(0);
    for round in 0..20 {
        queue.finish(Moment(10 * round), running);
        running = queue.start_next(Moment(10 * round)).unwrap();
        order.push(running.0.is_multiple_of(2));
    }
    assert_eq!(
        &order[..5],
        [true, true, true, true, false],
        "one of five starts is of the lower class"
    );
    let last_urgent = order.iter().rposition(|is_urgent| *is_urgent).unwrap();
    assert_eq!(last_urgent, 11, "ten urgent requests with two background ones between them");
}

#[test]
fn lower_classes_start_one_by_one_while_a_higher_class_is_active() {
    // The initial run time is 100 ms, so one of ten slots becomes free every 10 ms.
    let mut queue = queue(10, 100, 1_000);
    let deadline = Moment(1_000_000);
    let urgent = queue.offer(Moment(1_000), AttemptId(0), RequestClass::Urgent, deadline);
    assert_eq!(urgent, Admission::Run);
    for number in 1..=5 {
        let low = queue.offer(Moment(1_000), AttemptId(number), RequestClass::Background, deadline);
        assert_eq!(low, Admission::Queued, "it would finish together with the urgent one");
    }
    assert_eq!(queue.start_next(Moment(1_004)), None);
    assert_eq!(queue.next_start_at(), Some(Moment(1_005)));
    assert_eq!(queue.start_next(Moment(1_005)), Some(AttemptId(1)));
    assert_eq!(queue.start_next(Moment(1_006)), None, "starts are spaced");
    // A request of the higher class starts at once where a slot is free.
    let urgent = queue.offer(Moment(1_006), AttemptId(9), RequestClass::Urgent, deadline);
    assert_eq!(urgent, Admission::Run);
    assert_eq!(queue.start_next(Moment(1_011)), Some(AttemptId(2)));
    // Long after the last request of the higher class, starts are no longer spaced.
    let later = Moment(10_000);
    assert_eq!(queue.start_next(later), Some(AttemptId(3)));
    assert_eq!(queue.start_next(later), Some(AttemptId(4)));
}

#[test]
fn requests_that_overtake_a_held_one_count_towards_its_turn() {
    let mut queue = queue(10, 100, 8);
    let deadline = Moment(1_000_000);
    queue.offer(Moment(1_000), AttemptId(0), RequestClass::Urgent, deadline);
    queue.offer(Moment(1_000), AttemptId(1), RequestClass::Background, deadline);
    for number in 2..10 {
        assert_eq!(queue.start_next(Moment(1_000)), None, "the background request is held");
        let urgent = queue.offer(Moment(1_000), AttemptId(number), RequestClass::Urgent, deadline);
        assert_eq!(urgent, Admission::Run);
    }
    assert_eq!(
        queue.start_next(Moment(1_000)),
        Some(AttemptId(1)),
        "it starts after eight requests of the higher class"
    );
}

#[test]
fn starts_of_a_single_class_are_never_spaced() {
    let mut queue = queue(10, 100, 8);
    let runs = (0..10).map(|number| offer(&mut queue, number, RequestClass::Background));
    assert!(runs.into_iter().all(|admission| admission == Admission::Run));
    assert_eq!(queue.next_start_at(), None);
}

#[test]
fn requests_that_would_miss_their_deadline_are_refused_at_once() {
    let mut queue = queue(1, 100, 4);
    offer(&mut queue, 0, RequestClass::Standard);
    // The initial run time is 100 ms, so a second request would finish at 200 ms.
    let late = queue.offer(Moment(1), AttemptId(1), RequestClass::Standard, Moment(150));
    assert!(
        matches!(late, Admission::Refused(ResultCode::Overloaded, wait) if wait.0 >= 100),
        "{late:?}"
    );
    let expired = queue.offer(Moment(1), AttemptId(2), RequestClass::Standard, Moment(1));
    assert!(matches!(expired, Admission::Refused(ResultCode::DeadlinePassed, _)));
    let fits = queue.offer(Moment(1), AttemptId(3), RequestClass::Standard, Moment(500));
    assert_eq!(fits, Admission::Queued);
    assert_eq!(queue.take_expired(Moment(600)), [AttemptId(3)]);
}

#[test]
fn a_full_queue_refuses_until_a_waiting_request_is_withdrawn() {
    let mut queue = queue(1, 1, 4);
    offer(&mut queue, 0, RequestClass::Standard);
    assert_eq!(offer(&mut queue, 1, RequestClass::Standard), Admission::Queued);
    assert!(matches!(
        offer(&mut queue, 2, RequestClass::Standard),
        Admission::Refused(ResultCode::Overloaded, _)
    ));
    assert!(
        queue.withdraw(AttemptId(1)) && !queue.withdraw(AttemptId(0)),
        "a running request is not withdrawn"
    );
    assert_eq!(offer(&mut queue, 3, RequestClass::Standard), Admission::Queued);
}

#[test]
fn a_full_queue_lets_a_higher_class_displace_the_newest_of_the_lowest() {
    let mut queue = queue(1, 3, 4);
    offer(&mut queue, 0, RequestClass::Background);
    offer(&mut queue, 1, RequestClass::Standard);
    offer(&mut queue, 2, RequestClass::Background);
    offer(&mut queue, 3, RequestClass::Background);
    assert_eq!(offer(&mut queue, 4, RequestClass::Urgent), Admission::Displaced(AttemptId(3)));
    assert_eq!(offer(&mut queue, 5, RequestClass::Urgent), Admission::Displaced(AttemptId(2)));
    assert_eq!(offer(&mut queue, 6, RequestClass::Urgent), Admission::Displaced(AttemptId(1)));
    let full = offer(&mut queue, 7, RequestClass::Urgent);
    assert!(
        matches!(full, Admission::Refused(ResultCode::Overloaded, _)),
        "no request of a lower class waits"
    );
    assert_eq!(queue.queued(), 3);
}

fn key(customer: &str) -> LimitKey {
    (customer.parse().unwrap(), "drafts".parse().unwrap())
}

fn counted(entries: usize) -> EntryRoster {
    let mut roster = EntryRoster::new("entry-0".parse().unwrap());
    roster.record_count(entries);
    roster
}

/// Sends `offered` requests per second to each entry for ten seconds, with a round of shares each
/// second; returns the requests admitted per second after the first three seconds.
fn admitted_rate(offered: &[u64], limits: CustomerLimits) -> f64 {
    let mut tables: Vec<LimitTable> = offered.iter().map(|_| LimitTable::default()).collect();
    let key = key("comedor");
    let counted = counted(offered.len());
    let mut count = 0;
    for now in 0..10_000_u64 {
        for (table, rate) in tables.iter_mut().zip(offered) {
            let due = (now + 1) * rate / 1_000 - now * rate / 1_000;
            for _ in 0..due {
                if table.admit(Moment(now), Moment(now), &key, limits, &counted).is_ok() {
                    table.release(&key);
                    count += u64::from(now >= 3_000);
                }
            }
        }
        if now % 1_000 == 999 {
            let demand: Vec<_> = tables
                .iter_mut()
                .map(|it| it.take_demand().get(&key).copied().unwrap_or(0))
                .collect();
            let all = demand.iter().sum();
            for (table, own) in tables.iter_mut().zip(demand) {
                let limit = limits.requests_per_second;
                table.set_share(&key, RoundDemand { own, all, limit }, offered.len());
            }
        }
    }
    count as f64 / 7.0
}

#[test]
fn a_limit_is_shared_by_entries_and_follows_demand() {
    let limits = CustomerLimits { requests_per_second: 100, in_flight: 50 };
    for offered in [vec![300, 0, 0, 0], vec![100, 100, 100, 100], vec![200, 50, 10, 0], vec![400]] {
        let rate = admitted_rate(&offered, limits);
        let error = (rate - 100.0) / 100.0;
        assert!(
            (-0.12..=0.05).contains(&error),
            "{offered:?}: {rate} requests admitted per second of 100 allowed"
        );
    }
    for (entries, limit) in [(1, 10), (4, 1), (4, 1_000), (100, 2_000)] {
        let all = (0..entries).sum();
        let share = |own| share_of(RoundDemand { own, all, limit }, entries as usize);
        let shares: f64 = (0..entries).map(share).sum();
        assert!((shares - 1.0).abs() < 1e-9, "the shares sum to {shares}");
    }
}

#[test]
fn low_demand_at_another_entry_takes_no_share_away() {
    let limits = CustomerLimits { requests_per_second: 5_000, in_flight: 500 };
    let (mut table, key) = (LimitTable::default(), key("comedor"));
    assert!(table.admit(Moment(1), Moment(1), &key, limits, &counted(2)).is_ok());
    let demand = RoundDemand { own: 0, all: 1, limit: 5_000 };
    table.set_share(&key, demand, 2);
    let admitted = (0..200)
        .filter(|_| table.admit(Moment(2), Moment(2), &key, limits, &counted(2)).is_ok())
        .count();
    assert_eq!(admitted, 200, "half of the 500 requests in flight are allowed at this entry");
}

#[test]
fn a_customer_over_its_limit_does_not_affect_another() {
    let limits = CustomerLimits { requests_per_second: 10, in_flight: 5 };
    let mut table = LimitTable::default();
    let storm = (0..1_000)
        .filter(|_| table.admit(Moment(1), Moment(1), &key("storm"), limits, &counted(1)).is_ok())
        .count();
    assert!(storm <= 5, "{storm} requests were admitted");
    assert!(table.admit(Moment(1), Moment(1), &key("calm"), limits, &counted(1)).is_ok());
    let over = table.admit(Moment(1), Moment(1), &key("storm"), limits, &counted(1)).unwrap_err();
    assert!(over.retry_after.0 > 0);
    assert_eq!(table.in_flight(&key("calm")), 1);
}

#[test]
fn retries_stay_within_their_budget() {
    let mut budget = RetryBudget::new(RetrySettings { percent: 20, reserve: 10, attempts: 4 });
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.earn();
        retries += u32::from(budget.spend(1));
    }
    assert!((200..=210).contains(&retries), "{retries} retries of 1000 requests");
    assert!(!budget.spend(4), "the request has no attempt left");
}

/// Every entry is killed again and again, and every attempt fails.
#[test]
fn entries_that_start_spend_retries_that_no_request_has_earned() {
    let settings = RetrySettings { percent: 20, reserve: 20, attempts: 4 };
    for (entries, lives, requests) in [(1, 50, 4), (36, 5, 4), (340, 1, 4), (340, 3, 1)] {
        let (mut first, mut retries) = (0, 0);
        for _ in 0..entries * lives {
            let mut budget = RetryBudget::new(settings.clone());
            for _ in 0..requests {
                first += 1;
                budget.earn();
                retries += (1..4).filter(|attempts| budget.spend(*attempts)).count();
            }
        }
        let allowed = first * 20 / 100 + 20;
        assert!(retries <= allowed, "{entries} entries, {lives} lives: {retries} of {allowed}");
    }
}

/// Spends all that the budgets of one fleet give in 60 s, in which processes start again and again
/// under the ids of the earlier ones; returns the first attempts and the retries.
fn spend_over_lives(seed: u64, entries: usize, settings: &RetrySettings) -> (usize, usize) {
    let mut random = SmallRng::seed_from_u64(seed);
    let life = |index: usize| {
        let roster = EntryRoster::new(format!("instance-{index}").parse().unwrap());
        (RetryBudget::new(settings.clone()), roster)
    };
    let mut lives: Vec<_> = (0..entries).map(life).collect();
    let restarts = random.random_range(2..300);
    let list = ids(entries);
    let (mut first, mut retries) = (0, 0);
    for now in (1..=60_000).step_by(500) {
        for (index, (budget, roster)) in lives.iter_mut().enumerate() {
            if random.random_ratio(1, restarts) {
                (*budget, *roster) = life(index);
            }
            budget.fill(Moment(now), roster);
            if random.random_ratio(1, 4) {
                roster.record_list(Moment(now), Millis(now), list.clone());
            }
            for _ in 0..random.random_range(0..3) {
                first += 1;
                budget.earn();
            }
            retries += (0..40).filter(|_| budget.spend(1)).count();
        }
    }
    (first, retries)
}

#[test]
fn entries_that_start_again_and_again_spend_more_than_the_reserve() {
    let mut settings = RetrySettings { percent: 20, reserve: 20, attempts: 4 };
    for seed in 0..30 {
        let entries = [1, 2, 7, 19, 20, 36, 60][seed as usize % 7];
        settings.percent = seed as u32 % 2 * 20;
        let (first, retries) = spend_over_lives(seed, entries, &settings);
        let allowed = first * settings.percent as usize / 100 + 6 * 20;
        assert!(retries <= allowed, "seed {seed}, {entries} entries: {retries} of {allowed}");
    }
}

#[test]
fn entries_that_stay_cannot_spend_the_reserve_together() {
    let settings = RetrySettings { percent: 0, reserve: 20, attempts: 4 };
    for entries in [1, 3, 20, 36, 340] {
        let spent = |index: usize| {
            let mut roster = EntryRoster::new(format!("instance-{index}").parse().unwrap());
            roster.record_list(Moment(1), Millis(1), ids(entries));
            let mut budget = RetryBudget::new(settings.clone());
            [1, 5_001, 30_001].iter().for_each(|now| budget.fill(Moment(*now), &roster));
            (0..40).filter(|_| budget.spend(1)).count()
        };
        let all: usize = (0..entries).map(spent).sum();
        assert_eq!(all, 20, "{entries} entries");
    }
}

fn ids(count: usize) -> Vec<InstanceId> {
    (0..count).map(|index| format!("instance-{index}").parse().unwrap()).collect()
}

fn report(outstanding: u32) -> UpstreamReport {
    UpstreamReport { outstanding, capacity: 4, serving: Vec::new(), leaving: false }
}

fn table(count: usize, settings: RoutingSettings) -> (RoutingTable, Vec<InstanceId>) {
    let mut table = RoutingTable::new(settings);
    let ids = ids(count);
    ids.iter().for_each(|id| table.record_report(Moment(1), id, true, report(0)));
    (table, ids)
}

#[test]
fn a_failing_upstream_is_ejected_and_readmitted_by_slow_start() {
    let settings = RoutingSettings { silent_for: Millis(1_000_000), ..RoutingSettings::default() };
    let (mut table, ids) = table(2, settings);
    let mut random = SmallRng::seed_from_u64(1);
    for at in [10, 70, 130] {
        table.record_sent(&ids[0]);
        table.record_ended(Moment(at), &ids[0], false);
    }
    let mut share = |table: &mut RoutingTable, now: u64| {
        let mut picked = 0;
        for number in 0..1_000 {
            let (id, _) = table.choose(Moment(now), &ids, &[], None, &mut random).unwrap();
            table.record_sent(&id);
            picked += u32::from(id == ids[0]);
            if u32::is_multiple_of(number, 7) {
                table.record_ended(Moment(now), &id, true);
            }
        }
        for id in &ids {
            table.record_report(Moment(now), id, true, report(0));
            (0..1_000).for_each(|_| table.record_ended(Moment(now), id, true));
        }
        picked
    };
    assert_eq!(share(&mut table, 200), 0, "it is ejected");
    let picked = share(&mut table, 2_140);
    assert!(picked > 0 && picked < 300, "{picked} of 1000 went to an upstream in slow start");
}

#[test]
fn one_broken_connection_counts_as_one_failure() {
    let (mut table, ids) = table(2, RoutingSettings::default());
    let mut random = SmallRng::seed_from_u64(1);
    (0..20).for_each(|_| table.record_sent(&ids[0]));
    (0..20).for_each(|_| table.record_ended(Moment(10), &ids[0], false));
    let mut choose = || table.choose(Moment(11), &ids, &[], None, &mut random).unwrap().0;
    assert!(
        (0..100).any(|_| choose() == ids[0]),
        "twenty failed attempts on one connection eject no upstream"
    );
}

#[test]
fn where_all_are_ejected_the_first_to_be_readmitted_is_the_last_resort() {
    let (mut table, ids) = table(3, RoutingSettings::default());
    let mut random = SmallRng::seed_from_u64(1);
    for (index, id) in ids.iter().enumerate() {
        for failure in 0..3 {
            table.record_ended(Moment(10 + 100 * failure + index as u64), id, false);
        }
    }
    let mut choose =
        |tried: &[InstanceId]| table.choose(Moment(300), &ids, tried, None, &mut random).unwrap();
    assert_eq!(choose(&[]), (ids[0].clone(), RoutingReason::LastResort));
    assert_eq!(choose(&ids[..1]), (ids[1].clone(), RoutingReason::LastResort));
    assert_eq!(
        choose(&ids),
        (ids[0].clone(), RoutingReason::LastResort),
        "a tried upstream is better than none"
    );
}

#[test]
fn requests_with_one_prefix_go_to_one_upstream_within_the_load_bound() {
    let (mut table, ids) = table(8, RoutingSettings::default());
    let mut random = SmallRng::seed_from_u64(1);
    let mut choose = |table: &RoutingTable| {
        table.choose(Moment(2), &ids, &[], Some("prefix"), &mut random).unwrap()
    };
    let (first, reason) = choose(&table);
    assert_eq!(reason, RoutingReason::Affinity);
    assert_eq!(choose(&table).0, first);
    (0..40).for_each(|_| table.record_sent(&first));
    assert_ne!(choose(&table).0, first, "its load is far above the mean");
}

#[test]
fn a_silent_or_draining_upstream_is_not_chosen() {
    let (mut table, ids) = table(2, RoutingSettings::default());
    let mut random = SmallRng::seed_from_u64(1);
    table.record_report(
        Moment(9_000),
        &ids[0],
        true,
        UpstreamReport { leaving: true, ..report(0) },
    );
    assert!(table.choose(Moment(9_000), &ids, &[], None, &mut random).is_none());
    table.record_report(Moment(9_000), &ids[1], true, report(9));
    let chosen = table.choose(Moment(9_000), &ids, &[], None, &mut random);
    assert_eq!(chosen, Some((ids[1].clone(), RoutingReason::Only)));
}

#[test]
fn removing_a_name_moves_only_its_own_subjects() {
    let before = ids(50);
    let after: Vec<_> = before.iter().filter(|id| id.as_str() != "instance-7").cloned().collect();
    let first = |names: &[InstanceId], subject: u32| {
        rendezvous::ranked(&subject.to_le_bytes(), names, |id| id.as_str())[0].clone()
    };
    for subject in 0..500 {
        let (old, new) = (first(&before, subject), first(&after, subject));
        assert!(old == new || old.as_str() == "instance-7");
    }
}
