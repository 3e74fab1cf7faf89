//! Which requests are quarantined because upstreams crash under them, and which are merely present.

use mustardrill_core::crash_report_relay::CrashReportRelay;
use mustardrill_core::direct::{
    AttemptOutcome, DirectEffect, DirectEvent, DirectReducer, DirectRequest, FleetUpdate,
    RequestNumber,
};
use mustardrill_core::quarantine::{CrashReport, CrashedRun, QUARANTINE_SPAN, QuarantineTable};
use mustardrill_types::{
    FastMap, FastSet, Millis, Moment, PartSet, RequestDigest, ResultCode, StartStamp, StoreRevision,
};
use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

mod common;

const START: Moment = Moment(100_000);

/// Longer than it takes until the reports of all entries on one crash have arrived.
const SETTLED: Millis = Millis(500);

/// An entry with a plain service whose requests may be retried.
fn entry(upstreams: u16) -> DirectReducer {
    let mut reducer = DirectReducer::new(common::direct_settings(), 7);
    let changes = common::desk_fleet(upstreams);
    let update = FleetUpdate {
        changes,
        revision: StoreRevision(1),
        is_snapshot: false,
        ..FleetUpdate::default()
    };
    reducer.reduce(START, DirectEvent::StoreAnswered(update, START));
    reducer
}

fn request(number: u64, path: &str, now: Moment) -> DirectRequest {
    DirectRequest {
        path: path.into(),
        content_digest: RequestDigest::of(&[path.as_bytes()]),
        ..common::desk_request(number, now)
    }
}

fn arrive(reducer: &mut DirectReducer, now: Moment, number: u64, path: &str) -> Vec<DirectEffect> {
    reducer.reduce(now, DirectEvent::RequestArrived(request(number, path, now)))
}

fn end_attempt(reducer: &mut DirectReducer, now: Moment, number: u64, outcome: AttemptOutcome) {
    reducer.reduce(now, DirectEvent::AttemptEnded(RequestNumber(number), outcome));
}

/// The digest of requests to a path, as an entry reports it when an upstream crashes under one.
fn digest_of(path: &str) -> RequestDigest {
    let mut reducer = entry(2);
    arrive(&mut reducer, START, 1, path);
    end_attempt(&mut reducer, START, 1, AttemptOutcome::Lost { delivered: false, crashed: true });
    let mut reports = reducer.due_crash_reports(START);
    let Some(CrashReport::Crashed(run)) = reports.pop() else { panic!("the crash is reported") };
    run.digest
}

/// A peer reports that an upstream crashed while it ran a request.
fn report_crash(
    reducer: &mut DirectReducer,
    now: Moment,
    path: &str,
    upstream: &str,
    sent: Moment,
) {
    let run = CrashedRun {
        digest: digest_of(path),
        parts: PartSet::default(),
        upstream: upstream.parse().unwrap(),
        start: StartStamp(1),
        sent,
        ended: now,
    };
    reducer.reduce(now, DirectEvent::CrashReportReceived(CrashReport::Crashed(run)));
}

/// Whether a request that arrives now is sent to an upstream, and not refused as quarantined.
fn is_sent_to_upstream(reducer: &mut DirectReducer, now: Moment, number: u64, path: &str) -> bool {
    reducer.reduce(now, DirectEvent::TimerFired);
    let effects = arrive(reducer, now, number, path);
    match &effects[..] {
        [DirectEffect::Refuse(_, plan), ..] => {
            assert_eq!(plan.code, ResultCode::Quarantined);
            assert!(plan.retry_after > Millis(0));
            false
        }
        [DirectEffect::Send(..), ..] => true,
        other => panic!("{other:?}"),
    }
}

/// Other requests ran on each engine that the culprit crashed, and one of them was retried on the
/// same engine as the culprit three times. It was present as often, and its callers were refused
/// for ten minutes.
#[test]
fn a_request_that_was_only_present_still_runs() {
    let mut reducer = entry(8);
    let mut now = START;
    for upstream in ["v1", "v2", "v3"] {
        let sent = now;
        now = now + Millis(400);
        report_crash(&mut reducer, now, "/only-there", upstream, sent);
        report_crash(&mut reducer, now, "/cause", upstream, sent);
    }
    assert!(is_sent_to_upstream(&mut reducer, now + SETTLED, 1, "/only-there"));
    now = now + SETTLED + Millis(400);
    report_crash(&mut reducer, now, "/cause", "v4", now - Millis(100));
    assert!(!is_sent_to_upstream(&mut reducer, now + SETTLED, 2, "/cause"));
    assert!(is_sent_to_upstream(&mut reducer, now + SETTLED, 3, "/only-there"));
}

/// Engines crashed for a reason of their own, half of them at once, while many callers sent the
/// same request to all of them. That request was present at each crash and was taken for the cause.
#[test]
fn identical_requests_at_engines_that_crash_at_once_are_not_the_cause() {
    let mut reducer = entry(8);
    let ended = START + Millis(300);
    for upstream in ["v1", "v2", "v3", "v4", "v5", "v6"] {
        report_crash(&mut reducer, ended, "/hot", upstream, START);
    }
    assert!(is_sent_to_upstream(&mut reducer, ended + SETTLED, 1, "/hot"));
}

/// A request was answered completely between two crashes, so it does not cause them. Reports on the
/// earlier crashes arrived again, as each is sent several times, and were counted once more.
#[test]
fn crashes_before_a_complete_answer_no_longer_count() {
    let mut reducer = entry(8);
    let (first, second) = (START + Millis(400), START + Millis(800));
    report_crash(&mut reducer, first, "/hot", "v1", START);
    report_crash(&mut reducer, second, "/hot", "v2", first);
    assert!(is_sent_to_upstream(&mut reducer, second + Millis(10), 1, "/hot"));
    end_attempt(&mut reducer, second + Millis(200), 1, AttemptOutcome::Whole);
    let reported_again = second + Millis(260);
    report_crash(&mut reducer, reported_again, "/hot", "v1", reported_again - Millis(660));
    report_crash(&mut reducer, reported_again, "/hot", "v2", reported_again - Millis(400));
    let third = second + Millis(900);
    report_crash(&mut reducer, third, "/hot", "v3", third - Millis(100));
    assert!(is_sent_to_upstream(&mut reducer, third + SETTLED, 2, "/hot"));
}

/// For a second, a crashed engine was still treated as one that merely refuses connections: other
/// requests were sent to it, one after the other, until their attempts were spent.
#[test]
fn a_crashed_upstream_is_avoided_by_all_at_once() {
    let mut reducer = entry(2);
    for number in 1..=2 {
        assert!(is_sent_to_upstream(&mut reducer, START, number, "/x"));
        end_attempt(&mut reducer, START, number, AttemptOutcome::Whole);
    }
    let received_at = START + Millis(10);
    report_crash(&mut reducer, received_at, "/cause", "desk-0", START);
    let mut chosen = FastSet::default();
    for number in 10..14 {
        let effects = arrive(&mut reducer, received_at, number, &format!("/{number}"));
        chosen.extend(effects.iter().filter_map(|effect| match effect {
            DirectEffect::Send(_, plan) => Some(plan.upstream.to_string()),
            _ => None,
        }));
    }
    assert_eq!(chosen.into_iter().collect::<Vec<_>>(), ["desk-1"]);
}

/// Each entry counts the reports that it received. One that received fewer kept sending what the
/// others refused, and requests queued there were sent as soon as an engine had capacity.
#[test]
fn a_verdict_of_one_entry_applies_at_all() {
    let mut reducer = entry(1);
    let limit = 1 + common::direct_settings().requests_ahead + 4;
    let mut waiting = Vec::new();
    for number in 1..=u64::from(limit) {
        let effects = arrive(&mut reducer, START, number, "/cause");
        if effects.iter().all(|effect| !matches!(effect, DirectEffect::Send(..))) {
            waiting.push(number);
        }
    }
    assert!(!waiting.is_empty());
    let report = CrashReport::Quarantined(digest_of("/cause").into(), Millis(60_000));
    let received_at = START + Millis(10);
    let effects = reducer.reduce(received_at, DirectEvent::CrashReportReceived(report));
    let refused: Vec<_> = effects
        .iter()
        .filter_map(|effect| match effect {
            DirectEffect::Refuse(number, plan) if plan.code == ResultCode::Quarantined => {
                Some(number.0)
            }
            _ => None,
        })
        .collect();
    assert_eq!(refused, waiting);
    assert!(effects.iter().any(|effect| matches!(effect, DirectEffect::StoreQuarantine(..))));
    assert!(!is_sent_to_upstream(&mut reducer, received_at, 100, "/cause"));
}

/// An entry reached a verdict, and learned of a complete answer before it had broadcast the verdict
/// for the last time: all entries quarantined the request again.
#[test]
fn a_verdict_is_no_longer_broadcast_after_a_complete_answer() {
    let mut reducer = entry(8);
    let mut now = START;
    for number in 1..=3 {
        now = now + Millis(300);
        assert!(is_sent_to_upstream(&mut reducer, now, number, "/sound"));
        now = now + Millis(100);
        let crashed = AttemptOutcome::Lost { delivered: false, crashed: true };
        end_attempt(&mut reducer, now, number, crashed);
        reducer.reduce(now, DirectEvent::CallerGone(RequestNumber(number)));
    }
    now = now + SETTLED;
    assert!(!is_sent_to_upstream(&mut reducer, now, 10, "/sound"));
    let is_verdict = |report: &CrashReport| matches!(report, CrashReport::Quarantined(..));
    assert!(reducer.due_crash_reports(now).iter().any(is_verdict));
    let sound = CrashReport::Sound(digest_of("/sound"), now);
    reducer.reduce(now + Millis(10), DirectEvent::CrashReportReceived(sound));
    let later = reducer.due_crash_reports(now + Millis(5_000));
    assert!(!later.iter().any(is_verdict), "{later:?}");
    assert!(is_sent_to_upstream(&mut reducer, now + Millis(5_000), 11, "/sound"));
}

/// An entry had written its verdict when a peer reported an answer. The record stayed, and all entries
/// read the quarantine from it again.
#[test]
fn the_record_of_a_quarantine_outlives_the_answer_that_ended_it() {
    let mut reducer = entry(8);
    let verdict = CrashReport::Quarantined(digest_of("/sound").into(), Millis(60_000));
    let effects = reducer.reduce(START, DirectEvent::CrashReportReceived(verdict));
    assert!(effects.iter().any(|effect| matches!(effect, DirectEffect::StoreQuarantine(..))));
    let sound = CrashReport::Sound(digest_of("/sound"), START);
    let effects = reducer.reduce(START, DirectEvent::CrashReportReceived(sound));
    assert!(effects.iter().any(|effect| matches!(effect, DirectEffect::RemoveQuarantine(..))));
}

/// An entry that started heard of crashes for the last time, and 250 ms later of the answers that had
/// cleared them, 3 s before. One more crash in between condemned a request that was served all the
/// time.
#[test]
fn an_entry_that_starts_counts_crashes_that_an_answer_has_cleared() {
    let (mut running, mut started) = (entry(8), entry(8));
    let crashed = AttemptOutcome::Lost { delivered: false, crashed: true };
    let mut now = START;
    for (number, outcome) in [(1, crashed), (2, crashed), (3, AttemptOutcome::Whole)] {
        assert!(is_sent_to_upstream(&mut running, now, number, "/hot"));
        now = now + Millis(250);
        end_attempt(&mut running, now, number, outcome);
        running.reduce(now, DirectEvent::CallerGone(RequestNumber(number)));
        running.due_crash_reports(now);
    }
    let (start, third) = (now + Millis(2_000), now + Millis(2_900));
    for at in (now.0..third.0).step_by(50).map(Moment) {
        for report in running.due_crash_reports(at).into_iter().filter(|_| at > start) {
            started.reduce(at, DirectEvent::CrashReportReceived(report));
        }
    }
    report_crash(&mut started, third, "/hot", "v3", third - Millis(100));
    assert!(is_sent_to_upstream(&mut started, third + SETTLED, 1, "/hot"));
}

/// A crash reported by another entry.
fn crashed_run(path: &str, upstream: usize, sent: u64, ended: u64) -> CrashedRun {
    CrashedRun {
        digest: RequestDigest::of(&[path.as_bytes()]),
        parts: PartSet::default(),
        upstream: format!("v{upstream}").parse().unwrap(),
        start: StartStamp(1),
        sent: START + Millis(sent),
        ended: START + Millis(ended),
    }
}

/// A request was sent to an upstream that had crashed 400 ms before under others, by an entry that
/// had not heard of it. That counted as a third crash under the request.
#[test]
fn a_run_sent_after_the_crash_of_its_upstream_counts_as_another_crash() {
    let present = |upstream, sent, ended| crashed_run("/sound", upstream, sent, ended);
    let reports = [
        present(1, 347, 360),
        crashed_run("/other", 0, 200, 330),
        present(0, 758, 782),
        present(2, 2_145, 2_200),
    ];
    for order in [[0, 1, 2, 3], [0, 2, 1, 3], [2, 3, 0, 1]] {
        let mut table = QuarantineTable::new(Millis(80));
        for index in order {
            let run: CrashedRun = reports[index].clone();
            table.record_crash(run.ended.max(START + Millis(2_200)), run);
        }
        let verdicts = table.take_verdicts(START + Millis(2_200) + SETTLED);
        assert!(verdicts.is_empty(), "reports in order {order:?}");
    }
}

#[test]
fn two_requests_always_present_together_are_quarantined_in_the_end() {
    let mut table = QuarantineTable::new(SETTLED);
    let mut quarantined = Vec::new();
    for round in 0..5 {
        let (sent, ended) = (round * 400, round * 400 + 100);
        let now = START + Millis(ended);
        table.record_crash(now, crashed_run("/one", round as usize, sent, ended));
        table.record_crash(now, crashed_run("/other", round as usize, sent, ended));
        quarantined = table.take_verdicts(now + SETTLED);
        assert_eq!(quarantined.is_empty(), round < 4, "round {round}");
    }
    assert!(!quarantined.is_empty());
}

#[test]
fn after_a_quarantine_one_crash_ends_the_trial() {
    let mut table = QuarantineTable::new(SETTLED);
    for round in 0..3 {
        let ended = round * 400 + 100;
        table.record_crash(
            START + Millis(ended),
            crashed_run("/cause", round as usize, round * 400, ended),
        );
    }
    let digest = RequestDigest::of(&[b"/cause"]);
    let verdict_at = START + Millis(900) + SETTLED;
    assert_eq!(table.take_verdicts(verdict_at), [digest]);
    assert_eq!(table.remaining(verdict_at, digest), Some(QUARANTINE_SPAN));
    let trial = verdict_at + QUARANTINE_SPAN;
    assert_eq!(table.remaining(trial, digest), None);
    let sent = trial.since(START).0;
    table.record_crash(trial + Millis(100), crashed_run("/cause", 7, sent, sent + 100));
    assert_eq!(table.take_verdicts(trial + Millis(100) + SETTLED), [digest]);
}

#[test]
fn an_answer_ends_a_quarantine() {
    let mut table = QuarantineTable::new(SETTLED);
    let digest = RequestDigest::of(&[b"/sound"]);
    assert!(table.start(START, digest, QUARANTINE_SPAN));
    let answered = START + Millis(10);
    assert!(table.record_success(answered, digest, answered));
    assert_eq!(table.remaining(START + Millis(10), digest), None);
}

/// A sender of ever new requests that crash engines must not exhaust an entry's memory.
#[test]
fn the_number_of_remembered_suspects_is_bounded() {
    let mut table = QuarantineTable::new(SETTLED);
    for number in 0..20_000u64 {
        let run = crashed_run(&format!("/{number}"), number as usize, number, number + 1);
        table.record_crash(START + Millis(number + 1), run);
    }
    assert!(table.suspect_count() <= 1_024, "{}", table.suspect_count());
}

/// A restarted agent has received nothing; entries send it their reports again with each heartbeat.
#[test]
fn an_agent_relays_reports_for_some_heartbeats_and_quarantines_until_they_end() {
    let mut relay = CrashReportRelay::default();
    let run = crashed_run("/cause", 1, 0, 100);
    let quarantine = CrashReport::Quarantined(run.digest.into(), Millis(60_000));
    relay.record(START, CrashReport::Crashed(run.clone()));
    relay.record(START + Millis(500), CrashReport::Crashed(run.clone()));
    relay.record(START, quarantine);
    assert_eq!(relay.active_reports(START + Millis(500)).len(), 2);
    let late = START + Millis(40_000);
    assert_eq!(
        relay.active_reports(late),
        [CrashReport::Quarantined(run.digest.into(), Millis(20_000))]
    );
    relay.record(late, CrashReport::Sound(run.digest, late));
    assert_eq!(relay.active_reports(late), [CrashReport::Sound(run.digest, late)]);
    for number in 0..5_000 {
        relay.record(late, CrashReport::Crashed(crashed_run(&number.to_string(), number, 0, 1)));
    }
    assert!(relay.active_reports(late).len() <= 512);
}

/// The number of crashes until `entries` that report to each other, over links that lose half of
/// what is sent, quarantine the culprit.
fn crashes_until_quarantine(entries: usize, seed: u64) -> usize {
    const ENGINES: u64 = 60;
    let mut random = StdRng::seed_from_u64(seed);
    let mut fleet: Vec<_> = (0..entries).map(|_| entry(ENGINES as u16)).collect();
    let mut crashed = 0;
    for step in 0..600u64 {
        let now = START + Millis(1_000 + step * 10);
        if step.is_multiple_of(10) {
            // The culprit arrives again through any entry, and crashes the engine that receives it.
            let entry_index = random.random_range(0..entries);
            let number = step + 1;
            if is_sent_to_upstream(&mut fleet[entry_index], now, number, "/cause") {
                crashed += 1;
                let lost = AttemptOutcome::Lost { delivered: false, crashed: true };
                end_attempt(&mut fleet[entry_index], now + Millis(5), number, lost);
                fleet[entry_index]
                    .reduce(now + Millis(5), DirectEvent::CallerGone(RequestNumber(number)));
            }
        }
        let due_reports: Vec<_> =
            fleet.iter_mut().map(|it| it.due_crash_reports(now + Millis(6))).collect();
        for (from, reports) in
            due_reports.into_iter().enumerate().filter(|(_, reports)| !reports.is_empty())
        {
            for to in (0..entries).filter(|to| *to != from) {
                if random.random() {
                    for report in reports.clone() {
                        fleet[to].reduce(now + Millis(8), DirectEvent::CrashReportReceived(report));
                    }
                }
            }
        }
    }
    crashed
}

/// A few entries soon send the culprit three times each. Of many entries, each may see it only once
/// and has to learn of the others' crashes although half of the reports are lost.
#[test]
fn few_and_many_entries_quarantine_a_culprit_although_reports_are_lost() {
    for entries in [1, 4, 36, 340] {
        let crashed = crashes_until_quarantine(entries, entries as u64);
        // Three crashes reveal the culprit, and three more requests may reach engines in the
        // meantime.
        assert!((3..=6).contains(&crashed), "{crashed} crashes with {entries} entries");
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(common::cases(64)))]

    /// Entries receive crash reports in different orders and must reach the same verdicts.
    #[test]
    fn the_order_of_reports_does_not_matter(
        runs in prop::collection::vec((0..4usize, 0..6usize, 0..2_000u64, 1..500u64), 1..20),
        seed in any::<u64>(),
    ) {
        let runs: Vec<_> = runs
            .iter()
            .map(|(path, upstream, sent, took)| crashed_run(&path.to_string(), *upstream, *sent, sent + took))
            .collect();
        // An engine crashes once, so only one crash is known of each request on it.
        let mut known = FastMap::default();
        let runs: Vec<_> = runs
            .into_iter()
            .filter(|run| known.insert((run.digest, run.upstream.clone()), ()).is_none())
            .collect();
        let mut shuffled = runs.clone();
        let mut random = StdRng::seed_from_u64(seed);
        (1..shuffled.len()).for_each(|last| shuffled.swap(last, random.random_range(0..=last)));
        let now = START + Millis(3_000);
        let verdicts = |runs: Vec<CrashedRun>| {
            let mut table = QuarantineTable::new(SETTLED);
            runs.into_iter().for_each(|run| {
                table.record_crash(now, run);
            });
            let mut quarantined = table.take_verdicts(now + SETTLED);
            quarantined.sort_unstable();
            quarantined
        };
        prop_assert_eq!(verdicts(runs), verdicts(shuffled));
    }
}
