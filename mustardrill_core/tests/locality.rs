//! Where requests may be sent: not to evacuated data centres, and only to allowed regions.

use std::collections::BTreeMap;
use std::sync::Arc;

use mustardrill_core::direct::{
    AttemptOutcome, CallerLimits, CustomerRecord, DirectEffect, DirectEvent, DirectReducer,
    DirectRequest, DirectSettings, FleetChange, RegionMap, RepeatRule, RequestNumber,
    RouteDocument, RouteRule, ServiceProfile, SilenceReport, UpstreamRecord,
};
use mustardrill_types::{DataCentre, FastMap, Generation, Millis, Moment, RegionName, ResultCode};
use proptest::prelude::*;

mod common;

use common::{answer_from_store, end_attempt, plan_of, refusal_of};

const START: Moment = Moment(100_000);

/// The data centres, each with its region; the settings name no region of the last one.
const PLACES: [(&str, &str); 3] = [("hall-a", "north"), ("hall-b", "south"), ("hall-c", "")];

/// The number of upstreams in each data centre.
const UPSTREAMS: u16 = 2;

fn place(name: &str) -> DataCentre {
    name.parse().unwrap()
}

fn regions(names: &[&str]) -> Box<[RegionName]> {
    names.iter().map(|name| name.parse().unwrap()).collect()
}

fn evacuated(name: &str) -> FleetChange {
    FleetChange::EvacuationRequested(place(name))
}

fn taken_back(name: &str) -> FleetChange {
    FleetChange::EvacuationEnded(place(name))
}

fn upstream(index: usize, number: u16) -> UpstreamRecord {
    let mut record = common::desk(index as u16 * UPSTREAMS + number);
    record.data_centre = place(PLACES[index].0);
    record
}

/// The data centre of the upstream that a plan names.
fn place_of(upstream: &str) -> &'static str {
    let number: usize = upstream.strip_prefix("desk-").unwrap().parse().unwrap();
    PLACES[number / usize::from(UPSTREAMS)].0
}

/// A configuration whose route and customer are bound to these regions.
fn document(generation: u64, route: &[&str], customer: &[&str]) -> FleetChange {
    let route = RouteRule {
        allowed_regions: regions(route),
        attempt_limit: 4,
        ..common::public_route("status", "/", "desk", RepeatRule::Idempotent)
    };
    let customer = CustomerRecord {
        name: "bound".parse().unwrap(),
        api_keys: vec!["key-1".into()],
        priority: None,
        allowed_regions: regions(customer),
    };
    let mut services = FastMap::default();
    services.insert("desk".parse().unwrap(), ServiceProfile::default());
    let limits = CallerLimits::default();
    let generation = Generation(generation);
    let document = RouteDocument::new(generation, vec![route], services, vec![customer], limits);
    FleetChange::Configured(Arc::new(document))
}

fn settings() -> DirectSettings {
    let named = PLACES.iter().filter(|(_, region)| !region.is_empty());
    let regions: RegionMap =
        named.map(|(name, region)| (place(name), region.parse().unwrap())).collect();
    DirectSettings { regions, ..common::direct_settings() }
}

/// Everything that the store holds at the start of an entry.
fn snapshot(route: &[&str], customer: &[&str]) -> Vec<FleetChange> {
    let places = 0..PLACES.len();
    let upstreams =
        places.flat_map(|index| (0..UPSTREAMS).map(move |number| upstream(index, number)));
    let document = document(1, route, customer);
    std::iter::once(document).chain(upstreams.map(FleetChange::Upstream)).collect()
}

/// An entry that has read a snapshot with `more` changes at `START`.
fn entry_with(route: &[&str], customer: &[&str], more: Vec<FleetChange>) -> DirectReducer {
    let mut reducer = DirectReducer::new(settings(), 1);
    let changes = snapshot(route, customer).into_iter().chain(more).collect();
    answer_from_store(&mut reducer, START, changes, true, 1);
    reducer
}

fn entry() -> DirectReducer {
    entry_with(&[], &[], Vec::new())
}

/// The store reports changes; returns the effects, without timers.
fn report(
    reducer: &mut DirectReducer,
    now: Moment,
    changes: Vec<FleetChange>,
) -> Vec<DirectEffect> {
    let update = mustardrill_core::direct::FleetUpdate {
        changes,
        revision: mustardrill_types::StoreRevision(2),
        era: mustardrill_types::StoreEra(1),
        is_snapshot: false,
        ..mustardrill_core::direct::FleetUpdate::default()
    };
    without_timers(reducer.reduce(now, DirectEvent::StoreAnswered(update, now)))
}

fn without_timers(mut effects: Vec<DirectEffect>) -> Vec<DirectEffect> {
    effects.retain(|effect| !matches!(effect, DirectEffect::SetTimer(_)));
    effects
}

fn request(number: u64, now: Moment, key: Option<&str>) -> DirectRequest {
    DirectRequest { api_key: key.map(Into::into), ..common::desk_request(number, now) }
}

fn arrive(
    reducer: &mut DirectReducer,
    number: u64,
    now: Moment,
    key: Option<&str>,
) -> Vec<DirectEffect> {
    let arrival = DirectEvent::RequestArrived(request(number, now, key));
    without_timers(reducer.reduce(now, arrival))
}

/// Sends `count` requests and returns how many each data centre got; none is ended.
fn spread(
    reducer: &mut DirectReducer,
    first: u64,
    count: u64,
    now: Moment,
    key: Option<&str>,
) -> BTreeMap<&'static str, usize> {
    let mut reached = BTreeMap::new();
    for number in first..first + count {
        for effect in arrive(reducer, number, now, key) {
            if let DirectEffect::Send(_, plan) = effect {
                *reached.entry(place_of(plan.upstream.as_str())).or_default() += 1;
            }
        }
    }
    reached
}

#[test]
fn nothing_is_sent_to_an_evacuated_data_centre_until_it_is_taken_back() {
    let mut reducer = entry();
    report(&mut reducer, START, vec![evacuated("hall-a")]);
    let reached = spread(&mut reducer, 1, 12, START, None);
    assert!(!reached.contains_key("hall-a"), "{reached:?}");
    assert_eq!(reached.values().sum::<usize>(), 12, "{reached:?}");
    let status = reducer.status(START);
    assert_eq!((status.evacuations, status.evacuated), (1, 2));
    report(&mut reducer, START + Millis(10), vec![taken_back("hall-a")]);
    let reached = spread(&mut reducer, 100, 10, START + Millis(10), None);
    assert!(reached.contains_key("hall-a"), "{reached:?}");
}

#[test]
fn a_request_that_waits_is_sent_elsewhere_and_not_to_freed_slots_of_an_evacuated_data_centre() {
    let mut reducer = entry_with(&["north"], &[], Vec::new());
    // `hall-a` alone is in the region: its slots fill up, and two more wait.
    let reached = spread(&mut reducer, 1, 14, START, None);
    assert_eq!(reached["hall-a"], 12, "{reached:?}");
    let moved = document(2, &[], &[]);
    let effects = report(&mut reducer, START + Millis(5), vec![moved, evacuated("hall-a")]);
    let sends: Vec<_> = effects
        .iter()
        .filter_map(|effect| match effect {
            DirectEffect::Send(_, plan) => Some(place_of(plan.upstream.as_str())),
            _ => None,
        })
        .collect();
    assert_eq!(sends.len(), 2, "{effects:?}");
    assert!(!sends.contains(&"hall-a"), "{sends:?}");
}

#[test]
fn attempts_that_are_not_written_are_withdrawn_and_sent_elsewhere_without_a_retry() {
    let mut reducer = entry();
    let effects = arrive(&mut reducer, 1, START, None);
    let left = place_of(plan_of(&effects).upstream.as_str());
    let effects = report(&mut reducer, START + Millis(5), vec![evacuated(left)]);
    assert_eq!(effects, [DirectEffect::WithdrawUnsent(RequestNumber(1))]);
    let withdrawn = AttemptOutcome::Withdrawn { sent: false };
    let effects = without_timers(end_attempt(&mut reducer, START + Millis(6), 1, withdrawn));
    assert_ne!(place_of(plan_of(&effects).upstream.as_str()), left);
}

#[test]
fn an_attempt_whose_answer_has_started_goes_on() {
    let mut reducer = entry();
    let effects = arrive(&mut reducer, 1, START, None);
    let left = place_of(plan_of(&effects).upstream.as_str());
    reducer.reduce(START, DirectEvent::AnswerStarted(RequestNumber(1), None, None));
    assert_eq!(report(&mut reducer, START, vec![evacuated(left)]), []);
}

#[test]
fn retries_and_second_attempts_avoid_an_evacuated_data_centre() {
    for seed in 0..12 {
        let mut reducer = entry();
        let now = START + Millis(seed);
        spread(&mut reducer, 100, seed, now, None);
        let left = place_of(plan_of(&arrive(&mut reducer, 1, now, None)).upstream.as_str());
        let other = PLACES.iter().map(|(name, _)| *name).find(|name| *name != left).unwrap();
        report(&mut reducer, now, vec![evacuated(left), evacuated(other)]);
        let is_silent = DirectEvent::AttemptSilent(
            RequestNumber(1),
            SilenceReport {
                silent_for: Millis(3_000),
                delivered: false,
                is_reachable: false,
                is_upstream_heard: false,
            },
        );
        let effects = reducer.reduce(now + Millis(1_200), is_silent);
        let lost = AttemptOutcome::Lost { delivered: false, crashed: false };
        let retried = end_attempt(&mut reducer, now + Millis(1_300), 1, lost);
        let sends = effects.iter().chain(&retried).filter_map(|effect| match effect {
            DirectEffect::Send(_, plan) | DirectEffect::SendBackup(_, plan) => Some(plan),
            _ => None,
        });
        let places: Vec<_> = sends.map(|plan| place_of(plan.upstream.as_str())).collect();
        assert!(!places.is_empty(), "{effects:?} {retried:?}");
        assert!(places.iter().all(|name| *name != left && *name != other), "{places:?}");
    }
}

#[test]
fn two_evacuations_overlap_and_each_ends_by_itself() {
    let mut reducer = entry();
    report(&mut reducer, START, vec![evacuated("hall-a")]);
    report(&mut reducer, START + Millis(1), vec![evacuated("hall-b"), evacuated("hall-a")]);
    let reached = spread(&mut reducer, 1, 8, START + Millis(2), None);
    assert_eq!(reached.keys().collect::<Vec<_>>(), [&"hall-c"]);
    report(&mut reducer, START + Millis(3), vec![taken_back("hall-a")]);
    let reached = spread(&mut reducer, 100, 8, START + Millis(4), None);
    assert!(reached.contains_key("hall-a") && !reached.contains_key("hall-b"), "{reached:?}");
}

#[test]
fn requests_are_refused_at_once_where_all_data_centres_are_evacuated() {
    let mut reducer = entry_with(&["north"], &[], Vec::new());
    // Two of these wait.
    spread(&mut reducer, 1, 14, START, None);
    let all = PLACES.map(|(name, _)| evacuated(name)).to_vec();
    let effects = report(&mut reducer, START + Millis(1), all);
    let refused = effects.iter().filter(|effect| {
        matches!(effect, DirectEffect::Refuse(_, plan)
            if plan.code == ResultCode::NoUpstream && plan.retry_after > Millis(0))
    });
    assert_eq!(refused.count(), 2, "{effects:?}");
    let effects = arrive(&mut reducer, 100, START + Millis(1), None);
    assert_eq!(refusal_of(&effects).code, ResultCode::NoUpstream);
}

#[test]
fn an_unknown_data_centre_changes_nothing() {
    let mut reducer = entry();
    assert_eq!(report(&mut reducer, START, vec![evacuated("nowhere")]), []);
    assert_eq!(spread(&mut reducer, 1, 12, START, None).len(), PLACES.len());
    report(&mut reducer, START, vec![taken_back("elsewhere")]);
    assert_eq!(reducer.status(START).evacuations, 1);
}

#[test]
fn an_entry_that_starts_during_an_evacuation_knows_it_with_its_first_snapshot() {
    let mut reducer = entry_with(&[], &[], vec![evacuated("hall-b")]);
    let reached = spread(&mut reducer, 1, 12, START, None);
    assert!(!reached.contains_key("hall-b"), "{reached:?}");
}

#[test]
fn an_upstream_that_registers_during_the_evacuation_is_not_sent_to() {
    let mut reducer = entry_with(&[], &[], vec![evacuated("hall-c")]);
    let more = UpstreamRecord { data_centre: place("hall-c"), slots: 100, ..upstream(2, 0) };
    let more = UpstreamRecord { id: "desk-5".parse().unwrap(), ..more };
    report(&mut reducer, START, vec![FleetChange::Upstream(more)]);
    let reached = spread(&mut reducer, 1, 12, START, None);
    assert!(!reached.contains_key("hall-c"), "{reached:?}");
}

#[test]
fn a_snapshot_without_it_ends_an_evacuation() {
    let mut reducer = entry_with(&[], &[], vec![evacuated("hall-b")]);
    answer_from_store(&mut reducer, START + Millis(500), snapshot(&[], &[]), true, 1);
    assert_eq!(reducer.status(START).evacuations, 0);
}

#[test]
fn an_older_copy_of_the_store_without_it_does_not_end_an_evacuation_at_once() {
    let mut reducer = entry_with(&[], &[], vec![evacuated("hall-a"), evacuated("hall-b")]);
    let back = START + Millis(3_000);
    answer_from_store(&mut reducer, back, snapshot(&[], &[]), true, 2);
    let reached = spread(&mut reducer, 1, 8, back, None);
    assert_eq!(reached.keys().collect::<Vec<_>>(), [&"hall-c"]);
    // The operator writes one of them again.
    answer_from_store(&mut reducer, back + Millis(500), vec![evacuated("hall-a")], false, 2);
    for after in [1_500, 2_000, 2_500] {
        answer_from_store(&mut reducer, back + Millis(after), Vec::new(), false, 2);
    }
    let later = back + Millis(2_500);
    let reached = spread(&mut reducer, 100, 8, later, None);
    assert!(reached.contains_key("hall-b") && !reached.contains_key("hall-a"), "{reached:?}");
}

/// The regions of the route and of the customer, a request's key, and the data centres that it may
/// reach.
type RegionCase = (
    &'static [&'static str],
    &'static [&'static str],
    Option<&'static str>,
    &'static [&'static str],
);

#[test]
fn requests_stay_in_the_regions_of_their_route_and_of_their_customer() {
    let cases: [RegionCase; 6] = [
        (&["north"], &[], None, &["hall-a"]),
        (&[], &["south"], Some("key-1"), &["hall-b"]),
        // The customer's regions bind only the customer.
        (&[], &["south"], None, &["hall-a", "hall-b", "hall-c"]),
        (&["north", "south"], &["south"], Some("key-1"), &["hall-b"]),
        (&["north"], &["south"], Some("key-1"), &[]),
        (&["east"], &[], None, &[]),
    ];
    for (route, customer, key, expected) in cases {
        let mut reducer = entry_with(route, customer, Vec::new());
        let reached = spread(&mut reducer, 1, 9, START, key);
        assert_eq!(reached.into_keys().collect::<Vec<_>>(), expected, "{route:?} {customer:?}");
    }
}

#[test]
fn a_request_without_an_upstream_in_its_regions_is_refused_at_once() {
    let mut reducer = entry_with(&["north"], &["south"], Vec::new());
    let effects = arrive(&mut reducer, 1, START, Some("key-1"));
    let refusal = refusal_of(&effects);
    assert_eq!(refusal.code, ResultCode::OutsideRegions);
    assert!(refusal.retry_after > Millis(0));
    // Its region is evacuated, but not empty of upstreams.
    let mut reducer = entry_with(&["north"], &[], vec![evacuated("hall-a")]);
    let effects = arrive(&mut reducer, 1, START, None);
    assert_eq!(refusal_of(&effects).code, ResultCode::NoUpstream);
}

#[test]
fn a_bound_request_does_not_hold_up_those_that_may_go_elsewhere() {
    let mut reducer = entry_with(&[], &["north"], Vec::new());
    // Two of these wait for their region.
    assert_eq!(spread(&mut reducer, 1, 14, START, Some("key-1"))["hall-a"], 12);
    let reached = spread(&mut reducer, 100, 6, START, None);
    assert_eq!(reached.values().sum::<usize>(), 6, "{reached:?}");
    // A slot elsewhere goes to one that waits for any, behind the bound ones.
    let reached = spread(&mut reducer, 200, 19, START, None);
    assert_eq!(reached.values().sum::<usize>(), 18, "{reached:?}");
    let effects = end_attempt(&mut reducer, START + Millis(20), 100, AttemptOutcome::Whole);
    assert!(effects.iter().any(|it| matches!(it, DirectEffect::Send(RequestNumber(218), _))));
}

#[test]
fn a_new_configuration_moves_waiting_requests_to_its_regions() {
    let mut reducer = entry_with(&["north"], &[], Vec::new());
    spread(&mut reducer, 1, 13, START, None);
    let moved = document(2, &["south"], &[]);
    let effects = report(&mut reducer, START + Millis(5), vec![moved]);
    assert_eq!(place_of(plan_of(&effects).upstream.as_str()), "hall-b");
}

/// What a property test does next.
#[derive(Debug, Clone)]
enum Step {
    Arrive { has_key: bool },
    End { request: usize, outcome: AttemptOutcome },
    Silence { request: usize },
    Evacuate(usize),
    TakeBack(usize),
    Configure { route: usize, customer: usize },
    Restore,
    Wait(u64),
}

const REGION_SETS: [&[&str]; 4] = [&[], &["north"], &["south"], &["north", "south"]];

fn step() -> impl Strategy<Value = Step> {
    let outcome = prop_oneof![
        Just(AttemptOutcome::Whole),
        Just(AttemptOutcome::Full),
        Just(AttemptOutcome::NotSent),
        Just(AttemptOutcome::Withdrawn { sent: false }),
        Just(AttemptOutcome::Failed),
        Just(AttemptOutcome::Lost { delivered: false, crashed: true }),
    ];
    prop_oneof![
        6 => any::<bool>().prop_map(|has_key| Step::Arrive { has_key }),
        4 => (any::<usize>(), outcome).prop_map(|(request, outcome)| Step::End { request, outcome }),
        1 => any::<usize>().prop_map(|request| Step::Silence { request }),
        1 => (0..PLACES.len()).prop_map(Step::Evacuate),
        1 => (0..PLACES.len()).prop_map(Step::TakeBack),
        1 => (0..REGION_SETS.len(), 0..REGION_SETS.len())
            .prop_map(|(route, customer)| Step::Configure { route, customer }),
        1 => Just(Step::Restore),
        2 => (1..400_u64).prop_map(Step::Wait),
    ]
}

/// An entry with what the operator has asked of it.
struct Play {
    reducer: DirectReducer,
    now: Moment,
    era: u64,
    generation: u64,
    evacuated: Vec<&'static str>,
    route: &'static [&'static str],
    customer: &'static [&'static str],
    /// The requests, each with whether it has a key.
    requests: Vec<bool>,
}

impl Play {
    fn new() -> Self {
        Self {
            reducer: entry(),
            now: START,
            era: 1,
            generation: 1,
            evacuated: Vec::new(),
            route: &[],
            customer: &[],
            requests: Vec::new(),
        }
    }

    fn take(&mut self, step: Step) {
        let effects = match step {
            Step::Arrive { has_key } => {
                self.requests.push(has_key);
                let key = has_key.then_some("key-1");
                let arrived = request(self.requests.len() as u64, self.now, key);
                self.reducer.reduce(self.now, DirectEvent::RequestArrived(arrived))
            }
            Step::End { request, outcome } => {
                let Some(number) = self.number(request) else { return };
                self.reducer.reduce(self.now, DirectEvent::AttemptEnded(number, outcome))
            }
            Step::Silence { request } => {
                let Some(number) = self.number(request) else { return };
                let report = SilenceReport {
                    silent_for: Millis(3_000),
                    delivered: false,
                    is_reachable: false,
                    is_upstream_heard: false,
                };
                self.reducer.reduce(self.now, DirectEvent::AttemptSilent(number, report))
            }
            Step::Evacuate(index) => {
                self.evacuated.push(PLACES[index].0);
                self.answer(vec![evacuated(PLACES[index].0)], false)
            }
            Step::TakeBack(index) => {
                self.evacuated.retain(|name| *name != PLACES[index].0);
                self.answer(vec![taken_back(PLACES[index].0)], false)
            }
            Step::Configure { route, customer } => {
                (self.route, self.customer) = (REGION_SETS[route], REGION_SETS[customer]);
                self.generation += 1;
                self.answer(vec![document(self.generation, self.route, self.customer)], false)
            }
            // The copy has lost each evacuation; the operator writes them again.
            Step::Restore => {
                self.era += 1;
                let mut changes = snapshot(&[], &[]);
                changes.remove(0);
                let effects = self.answer(changes, true);
                self.check(&effects);
                self.now = self.now + Millis(300);
                let again = self.evacuated.iter().map(|name| evacuated(name)).collect();
                self.answer(again, false)
            }
            Step::Wait(span) => {
                self.now = self.now + Millis(span);
                self.answer(Vec::new(), false)
            }
        };
        self.check(&effects);
    }

    fn number(&self, request: usize) -> Option<RequestNumber> {
        (!self.requests.is_empty())
            .then(|| RequestNumber((request % self.requests.len()) as u64 + 1))
    }

    fn answer(&mut self, changes: Vec<FleetChange>, is_snapshot: bool) -> Vec<DirectEffect> {
        let update = mustardrill_core::direct::FleetUpdate {
            changes,
            revision: mustardrill_types::StoreRevision(2),
            era: mustardrill_types::StoreEra(self.era),
            is_snapshot,
            ..mustardrill_core::direct::FleetUpdate::default()
        };
        self.reducer.reduce(self.now, DirectEvent::StoreAnswered(update, self.now))
    }

    /// No attempt goes to an evacuated data centre or leaves its regions.
    fn check(&self, effects: &[DirectEffect]) {
        for effect in effects {
            let (DirectEffect::Send(number, plan) | DirectEffect::SendBackup(number, plan)) =
                effect
            else {
                continue;
            };
            let name = place_of(plan.upstream.as_str());
            assert!(!self.evacuated.contains(&name), "{name} is evacuated");
            let region = PLACES.iter().find(|(known, _)| *known == name).unwrap().1;
            let first = number.0.min(number.sibling().0);
            let has_key = self.requests[first as usize - 1];
            let customer = if has_key { self.customer } else { &[] };
            for list in [self.route, customer] {
                assert!(list.is_empty() || list.contains(&region), "{name} is not in {list:?}");
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(common::cases(400)))]

    #[test]
    fn no_attempt_goes_to_a_forbidden_upstream(
        steps in proptest::collection::vec(step(), 1..120),
    ) {
        let mut play = Play::new();
        for step in steps {
            play.take(step);
        }
    }
}
