//! A simulation of entries whose upstreams fall silent, with the tasks of their requests.

use std::collections::BTreeMap;

use mustardrill_core::direct::{
    AttemptOutcome, CustomerRecord, DirectEffect, DirectEvent, DirectReducer, DirectRequest,
    DirectSettings, EngineNotice, FleetChange, FleetUpdate, LoadUpdate, PeerLoad, RepeatRule,
    RequestNumber, RetryShare, RouteDocument, RouteRule, SendPlan, ServedWeights, ServiceProfile,
    SilenceReport, StatedValue, UpstreamRecord, UpstreamStatement,
};
use mustardrill_types::{
    Generation, InstanceId, Millis, Moment, ResultCode, StartStamp, StoreRevision, WeightVersion,
};
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

use super::common::{desk, desk_id, desk_request, direct_settings, engine_profile, public_route};

const START: u64 = 100_000;
const ARRIVALS_SPAN: u64 = 6_000;
const REQUESTS: usize = 60;

/// All requests, changes and silences have ended by then, and the timers of what they caused.
const END: u64 = START + 60_000;

const SILENCE_TIMEOUT: u64 = 1_200;
const REPORT_INTERVAL: u64 = 400;

const RULES: [(&str, RepeatRule); 4] = [
    ("/idempotent", RepeatRule::Idempotent),
    ("/once", RepeatRule::Once),
    ("/stream-once", RepeatRule::StreamOnce),
    ("/resumable", RepeatRule::StreamResumable),
];

/// How often what happened in a schedule.
pub type ScheduleTally = BTreeMap<&'static str, u64>;

/// What an upstream does next for an attempt.
#[derive(Debug, Clone, Copy)]
enum Step {
    Connected,
    Head,
    Part,
    End(AttemptOutcome),
}

struct OpenAttempt {
    id: u64,
    number: RequestNumber,
    upstream: InstanceId,
    steps: Vec<(u64, Step)>,
    waiting_since: u64,
    next_part: u32,
    version: WeightVersion,
    is_sent: bool,
    has_head: bool,
    is_silent: bool,
    is_backup: bool,
}

/// The task of one request.
struct Task {
    entry: usize,
    number: RequestNumber,
    rule: RepeatRule,
    open: Vec<OpenAttempt>,
    is_contest: bool,
    delivered: u32,
    version: Option<WeightVersion>,
    has_failure: bool,
    reached: u32,
    may_have_run: bool,
    has_ended: bool,
    /// When the last event and the last command of the task arrive, which stay in order.
    event_at: u64,
    command_at: u64,
}

struct Upstream {
    record: UpstreamRecord,
    version: WeightVersion,
    silent_until: u64,
    is_down: bool,
}

enum Happening {
    Arrival(usize),
    Event(usize, DirectEvent),
    Command(usize, DirectEffect),
    Step(usize, u64),
    Deadline(usize, u64),
    SilenceReport(usize, u64, u64),
    Leave(usize),
    Change(u8),
    Restore(u8, InstanceId),
    Serving(InstanceId, WeightVersion),
    Contact,
}

pub struct SilenceSimulation {
    now: u64,
    random: SmallRng,
    entries: Vec<DirectReducer>,
    upstreams: Vec<Upstream>,
    tasks: Vec<Task>,
    agenda: BTreeMap<(u64, u64), Happening>,
    sequence: u64,
    generation: u64,
    announced: u64,
    profile: ServiceProfile,
    /// How many retries each request earns.
    ratio: f64,
    attempt_limit: u32,
    /// The share of messages that take long.
    slow_share: f64,
    tally: ScheduleTally,
}

fn entry_id(index: usize) -> InstanceId {
    format!("entry-{index}").parse().unwrap()
}

impl SilenceSimulation {
    /// Plays a schedule to its end. Panics where a promise is broken.
    pub fn play(entries: usize, seed: u64) -> ScheduleTally {
        let mut simulation = Self::new(entries, seed);
        while let Some(((at, _), happening)) = simulation.agenda.pop_first() {
            assert!(at <= END, "timers never end");
            simulation.now = at;
            simulation.handle(happening);
        }
        simulation.check_end();
        simulation.tally
    }

    fn new(entries: usize, seed: u64) -> Self {
        let mut random = SmallRng::seed_from_u64(seed);
        let engine = random.random_bool(0.5).then(engine_profile);
        let ratio = *[0.05, 0.5, 100.0].choose(&mut random).unwrap();
        let retry_share = RetryShare { ratio, allowance: 0.0, window: Millis(10_000) };
        let reducers = (0..entries).map(|index| {
            let own_id = entry_id(index);
            let retry_share = retry_share.clone();
            let version_bound = Millis(2_500);
            let settings =
                DirectSettings { own_id, retry_share, version_bound, ..direct_settings() };
            DirectReducer::new(settings, random.random())
        });
        let mut simulation = Self {
            now: START,
            entries: reducers.collect(),
            upstreams: Vec::new(),
            tasks: Vec::new(),
            agenda: BTreeMap::new(),
            sequence: 0,
            generation: 0,
            announced: 1,
            profile: ServiceProfile { engine, ..ServiceProfile::default() },
            ratio,
            attempt_limit: random.random_range(1..5),
            slow_share: *[0.0, 0.1, 0.6].choose(&mut random).unwrap(),
            tally: ScheduleTally::default(),
            random,
        };
        simulation.start();
        simulation
    }

    fn start(&mut self) {
        self.upstreams = (0..self.random.random_range(2..7)).map(upstream).collect();
        let records = self.upstreams.iter().map(|it| FleetChange::Upstream(it.record.clone()));
        let mut changes = vec![FleetChange::VersionAnnounced(model(), WeightVersion(1))];
        changes.extend(records);
        changes.extend(
            (0..self.entries.len())
                .map(|index| FleetChange::Peer(super::common::peer(&entry_id(index)))),
        );
        changes.push(self.document(u8::MAX));
        self.store(changes);
        for _ in 0..REQUESTS {
            let entry = self.random.random_range(0..self.entries.len());
            let at = self.random.random_range(0..ARRIVALS_SPAN);
            self.schedule(at, Happening::Arrival(entry));
        }
        for _ in 0..self.random.random_range(0..8) {
            let (at, kind) =
                (self.random.random_range(0..ARRIVALS_SPAN), self.random.random_range(0..9));
            self.schedule(at, Happening::Change(kind));
        }
        (1..16).for_each(|second| self.schedule(second * 1_000, Happening::Contact));
    }

    fn count(&mut self, name: &'static str, has_happened: bool) {
        *self.tally.entry(name).or_default() += u64::from(has_happened);
    }

    fn schedule(&mut self, after: u64, happening: Happening) {
        self.sequence += 1;
        self.agenda.insert((self.now + after, self.sequence), happening);
    }

    fn handle(&mut self, happening: Happening) {
        match happening {
            Happening::Arrival(entry) => self.arrive(entry),
            Happening::Event(entry, event) => self.reduce(entry, event),
            Happening::Command(task, command) => self.obey(task, command),
            Happening::Step(task, attempt) => self.step(task, attempt),
            Happening::Deadline(task, attempt) => {
                if let Some(open) = self.attempt(task, attempt) {
                    let sent = open.is_sent;
                    let outcome = if sent { self.lost(task) } else { AttemptOutcome::NotSent };
                    self.end_attempt(task, attempt, outcome);
                }
            }
            Happening::SilenceReport(task, attempt, since) => {
                self.report_silence(task, attempt, since)
            }
            Happening::Leave(task) => {
                if !self.tasks[task].has_ended {
                    self.count("left", true);
                    self.end_task(task);
                }
            }
            Happening::Change(kind) => self.change(kind),
            Happening::Restore(kind, id) => self.restore(kind, &id),
            Happening::Serving(id, version) => self.serve(&id, version),
            Happening::Contact => self.contact(),
        }
    }

    fn reduce(&mut self, entry: usize, event: DirectEvent) {
        let now = Moment(self.now);
        for effect in self.entries[entry].reduce(now, event) {
            let number = match &effect {
                DirectEffect::SetTimer(at) => {
                    let after = at.0.saturating_sub(self.now);
                    self.schedule(after, Happening::Event(entry, DirectEvent::TimerFired));
                    continue;
                }
                DirectEffect::Send(number, _)
                | DirectEffect::SendBackup(number, _)
                | DirectEffect::Refuse(number, _)
                | DirectEffect::Withdraw(number)
                | DirectEffect::WithdrawUnsent(number)
                | DirectEffect::ForwardFailure(number) => *number,
                _ => continue,
            };
            let index = number.0.min(number.sibling().0) as usize;
            let delay = self.delay();
            let at = self.tasks[index].command_at.max(self.now + delay);
            self.tasks[index].command_at = at;
            self.schedule(at - self.now, Happening::Command(index, effect));
        }
    }

    /// How long a message between a task and its entry's reducer takes; longer at a busy process.
    fn delay(&mut self) -> u64 {
        let longest = if self.random.random_bool(self.slow_share) { 400 } else { 4 };
        self.random.random_range(0..longest)
    }

    /// Reports an event of a task, after those that it reported before.
    fn report(&mut self, task: usize, event: DirectEvent) {
        let delay = self.delay();
        let state = &mut self.tasks[task];
        state.event_at = state.event_at.max(self.now + delay);
        let (after, entry) = (state.event_at - self.now, state.entry);
        self.schedule(after, Happening::Event(entry, event));
    }

    fn store(&mut self, changes: Vec<FleetChange>) {
        for entry in 0..self.entries.len() {
            let own = entry_id(entry);
            let others = changes
                .iter()
                .filter(|change| !matches!(change, FleetChange::Peer(it) if it.id == own));
            let update = FleetUpdate {
                changes: others.cloned().collect(),
                revision: StoreRevision(1),
                ..FleetUpdate::default()
            };
            self.reduce(entry, DirectEvent::StoreAnswered(update, Moment(self.now)));
        }
    }

    /// The entries hear from the store, and of each other's load.
    fn contact(&mut self) {
        self.store(Vec::new());
        if self.entries.len() > 4 {
            return;
        }
        for from in 0..self.entries.len() {
            let update = LoadUpdate {
                rows: self.entries[from].outstanding_load(),
                is_snapshot: true,
                waiting: self.entries[from].waiting_counts(),
                paces: self.entries[from].pace_reports(Moment(self.now)),
            };
            for to in (0..self.entries.len()).filter(|to| *to != from) {
                let load = PeerLoad { from: entry_id(from), update: update.clone() };
                self.reduce(to, DirectEvent::PeerLoadReceived(load));
            }
        }
    }

    fn arrive(&mut self, entry: usize) {
        let index = self.tasks.len();
        let (path, rule) = *RULES.choose(&mut self.random).unwrap();
        let number = RequestNumber(index as u64);
        self.tasks.push(Task {
            entry,
            number,
            rule,
            open: Vec::new(),
            is_contest: false,
            delivered: 0,
            version: None,
            has_failure: false,
            reached: 0,
            may_have_run: false,
            has_ended: false,
            event_at: self.now,
            command_at: self.now,
        });
        self.count("requests", true);
        let request = DirectRequest {
            path: path.into(),
            content_digest: mustardrill_types::RequestDigest::of(&[&number.0.to_be_bytes()]),
            api_key: Some("key-1".into()),
            model: Some(model()),
            ..desk_request(number.0, Moment(self.now))
        };
        self.report(index, DirectEvent::RequestArrived(request));
        if self.random.random_bool(0.1) {
            let after = self.random.random_range(0..6_000);
            self.schedule(after, Happening::Leave(index));
        }
    }

    fn obey(&mut self, index: usize, command: DirectEffect) {
        if self.tasks[index].has_ended {
            return;
        }
        match command {
            DirectEffect::Send(number, plan) => {
                let task = &self.tasks[index];
                assert!(task.open.is_empty(), "{number} is sent beside an open attempt");
                self.begin(index, number, plan, false);
            }
            DirectEffect::SendBackup(number, plan) => {
                let open = &self.tasks[index].open;
                assert!(open.iter().all(|it| it.number != number), "{number} is open");
                if open.iter().any(|it| it.number == number.sibling() && it.is_silent) {
                    self.count("backups", true);
                    self.tasks[index].is_contest = true;
                    self.begin(index, number, plan, true);
                } else {
                    self.count("unsent_backups", true);
                    let outcome = AttemptOutcome::Withdrawn { sent: false };
                    self.report(index, DirectEvent::AttemptEnded(number, outcome));
                }
            }
            DirectEffect::Withdraw(number) => {
                let attempt =
                    self.tasks[index].open.iter().find(|it| it.number == number && !it.has_head);
                if let Some((id, sent)) = attempt.map(|it| (it.id, it.is_sent)) {
                    self.count("withdrawn", true);
                    self.end_attempt(index, id, AttemptOutcome::Withdrawn { sent });
                }
            }
            DirectEffect::WithdrawUnsent(number) => {
                let attempt =
                    self.tasks[index].open.iter().find(|it| it.number == number && !it.is_sent);
                if let Some(id) = attempt.map(|it| it.id) {
                    self.end_attempt(index, id, AttemptOutcome::Withdrawn { sent: false });
                }
            }
            DirectEffect::Refuse(number, plan) => {
                let task = &self.tasks[index];
                assert!(task.open.is_empty(), "{number} is refused while an attempt is open");
                assert_eq!(task.delivered > 0, plan.code == ResultCode::AnswerCut, "{plan:?}");
                assert!(!task.may_have_run || !plan.code.is_not_run(), "{number}: {plan:?}");
                let is_cut = task.delivered > 0;
                self.count("cut", is_cut);
                self.count("refused", !is_cut);
                self.end_task(index);
            }
            DirectEffect::ForwardFailure(number) => {
                let task = &self.tasks[index];
                assert!(
                    task.open.is_empty() && task.has_failure && task.delivered == 0,
                    "{number}"
                );
                self.count("failed", true);
                self.end_task(index);
            }
            _ => {}
        }
    }

    fn end_task(&mut self, index: usize) {
        let task = &mut self.tasks[index];
        assert!(!std::mem::replace(&mut task.has_ended, true), "{} ends twice", task.number);
        let dropped = std::mem::take(&mut task.open);
        task.reached += dropped.iter().filter(|it| it.is_sent).count() as u32;
        let number = task.number;
        self.report(index, DirectEvent::CallerGone(number));
    }

    fn begin(&mut self, index: usize, number: RequestNumber, plan: SendPlan, is_backup: bool) {
        self.sequence += 1;
        let (id, steps) = (self.sequence, self.script(index, &plan));
        let task = &mut self.tasks[index];
        let runs_once = matches!(task.rule, RepeatRule::Once | RepeatRule::StreamOnce);
        assert!(!runs_once || !(task.may_have_run || is_backup), "{number} runs twice");
        let version =
            self.upstreams.iter().find(|it| it.record.id == plan.upstream).unwrap().version;
        task.open.push(OpenAttempt {
            id,
            number,
            upstream: plan.upstream,
            steps,
            waiting_since: self.now,
            next_part: task.delivered,
            version,
            is_sent: false,
            has_head: false,
            is_silent: false,
            is_backup,
        });
        let left = plan.deadline.0.saturating_sub(self.now);
        self.schedule(left, Happening::Deadline(index, id));
        self.await_step(index, id);
    }

    /// The steps of an attempt, in reverse order, each with the pause before it.
    fn script(&mut self, index: usize, plan: &SendPlan) -> Vec<(u64, Step)> {
        let upstream = self.upstreams.iter().find(|it| it.record.id == plan.upstream).unwrap();
        let is_current = upstream.record.start == plan.start && !upstream.is_down;
        let has_weights = plan.pinned_version.is_none_or(|pinned| pinned == upstream.version);
        let rule = self.tasks[index].rule;
        let end = match self.random.random_range(0..100) {
            _ if !is_current => AttemptOutcome::NotSent,
            _ if self.profile.engine.is_some() && !has_weights => AttemptOutcome::Misdirected,
            0..70 => AttemptOutcome::Whole,
            70..73 => AttemptOutcome::Undelimited,
            73..78 => AttemptOutcome::Failed,
            78..82 => AttemptOutcome::Full,
            82..84 => AttemptOutcome::Misdirected,
            84..87 => AttemptOutcome::NotSent,
            87..90 => AttemptOutcome::Withdrawn { sent: false },
            _ => AttemptOutcome::Lost { delivered: false, crashed: false },
        };
        let is_run = end.is_run();
        let mut steps = vec![(self.random.random_range(0..20), Step::Connected)];
        let breaks_early =
            matches!(end, AttemptOutcome::Lost { .. }) && self.random.random_bool(0.5);
        if is_run && !breaks_early {
            steps.push((self.pause(), Step::Head));
            if rule.is_stream() && end != AttemptOutcome::Failed {
                let parts = self.random.random_range(1..8);
                steps.extend((0..parts).map(|_| (0, Step::Part)));
                steps.iter_mut().skip(2).for_each(|step| step.0 = self.pause());
            }
        }
        steps.push((self.pause(), Step::End(end)));
        steps.reverse();
        steps
    }

    /// The time until an upstream sends more; it is silent at times.
    fn pause(&mut self) -> u64 {
        match self.random.random_range(0..100) {
            0..80 => self.random.random_range(5..120),
            80..97 => self.random.random_range(300..3_000),
            _ => self.random.random_range(3_000..9_000),
        }
    }

    fn attempt(&mut self, index: usize, id: u64) -> Option<&mut OpenAttempt> {
        self.tasks[index].open.iter_mut().find(|it| it.id == id)
    }

    fn await_step(&mut self, index: usize, id: u64) {
        let now = self.now;
        let Some(attempt) = self.attempt(index, id) else { return };
        attempt.waiting_since = now;
        let Some((pause, _)) = attempt.steps.last() else { return };
        let pause = *pause;
        self.schedule(pause, Happening::Step(index, id));
        self.schedule(SILENCE_TIMEOUT, Happening::SilenceReport(index, id, now));
    }

    fn report_silence(&mut self, index: usize, id: u64, since: u64) {
        let (now, delivered) = (self.now, self.tasks[index].delivered > 0);
        let Some(attempt) = self.attempt(index, id) else { return };
        if attempt.waiting_since != since || !attempt.is_sent {
            return;
        }
        let is_first = !std::mem::replace(&mut attempt.is_silent, true);
        let number = attempt.number;
        self.count("silences", is_first);
        let is_reachable = self.random.random_bool(0.9);
        let report = SilenceReport {
            silent_for: Millis(now - since),
            delivered,
            is_reachable,
            is_upstream_heard: false,
        };
        self.report(index, DirectEvent::AttemptSilent(number, report));
        self.schedule(REPORT_INTERVAL, Happening::SilenceReport(index, id, since));
    }

    fn step(&mut self, index: usize, id: u64) {
        let now = self.now;
        let Some(attempt) = self.attempt(index, id) else { return };
        let (number, upstream) = (attempt.number, attempt.upstream.clone());
        let silent_until =
            self.upstreams.iter().find(|it| it.record.id == upstream).unwrap().silent_until;
        if silent_until > now {
            return self.schedule(silent_until - now, Happening::Step(index, id));
        }
        let Some(attempt) = self.attempt(index, id) else { return };
        let Some((_, step)) = attempt.steps.pop() else { return };
        let was_silent = std::mem::replace(&mut attempt.is_silent, false);
        if was_silent
            && !matches!(
                step,
                Step::End(
                    AttemptOutcome::Lost { .. }
                        | AttemptOutcome::NotSent
                        | AttemptOutcome::Withdrawn { .. }
                )
            )
        {
            self.report(index, DirectEvent::AttemptHeard(number));
        }
        match step {
            Step::Connected => self.attempt(index, id).unwrap().is_sent = true,
            Step::Head => {
                let attempt = self.attempt(index, id).unwrap();
                attempt.has_head = true;
                let version = attempt.version;
                self.report(index, DirectEvent::AnswerStarted(number, None, Some(version)));
            }
            Step::Part => self.deliver(index, id),
            Step::End(outcome) => self.end_by_upstream(index, id, outcome),
        }
        self.await_step(index, id);
    }

    /// The attempt passes something on, which drops the other one.
    fn claim(&mut self, index: usize, id: u64) {
        let task = &mut self.tasks[index];
        if !std::mem::replace(&mut task.is_contest, false) {
            return;
        }
        let (won, lost): (Vec<_>, Vec<_>) = task.open.drain(..).partition(|it| it.id == id);
        task.reached += lost.iter().filter(|it| it.is_sent).count() as u32;
        task.may_have_run |= lost.iter().any(|it| it.is_sent);
        let (number, is_backup) = (won[0].number, won[0].is_backup);
        task.open = won;
        self.count("won_by_backup", is_backup);
        self.count("won_by_first", !is_backup);
        self.report(index, DirectEvent::AttemptWon(number));
    }

    fn deliver(&mut self, index: usize, id: u64) {
        self.claim(index, id);
        let is_pinned = self.profile.engine.is_some();
        let task = &mut self.tasks[index];
        let attempt = task.open.iter_mut().find(|it| it.id == id).unwrap();
        assert_eq!(
            attempt.next_part, task.delivered,
            "{} comes twice or with a gap",
            attempt.number
        );
        attempt.next_part += 1;
        task.delivered += 1;
        let version = *task.version.get_or_insert(attempt.version);
        assert!(!is_pinned || version == attempt.version, "{} joins versions", attempt.number);
    }

    fn lost(&self, index: usize) -> AttemptOutcome {
        AttemptOutcome::Lost { delivered: self.tasks[index].delivered > 0, crashed: false }
    }

    fn end_by_upstream(&mut self, index: usize, id: u64, outcome: AttemptOutcome) {
        let task = &mut self.tasks[index];
        let outcome = match outcome {
            AttemptOutcome::Failed if task.delivered > 0 => self.lost(index),
            AttemptOutcome::Lost { .. } => self.lost(index),
            other => other,
        };
        if outcome == AttemptOutcome::Full && self.random.random_bool(0.5) {
            let number = self.attempt(index, id).unwrap().number;
            let rest = Millis(self.random.random_range(200..2_000));
            let statement =
                UpstreamStatement { rest: StatedValue::valid(rest), ..Default::default() };
            self.report(index, DirectEvent::UpstreamStated(number, statement));
        }
        self.end_attempt(index, id, outcome);
    }

    fn end_attempt(&mut self, index: usize, id: u64, outcome: AttemptOutcome) {
        let is_whole = matches!(outcome, AttemptOutcome::Whole | AttemptOutcome::Undelimited);
        if is_whole {
            self.claim(index, id);
        }
        let task = &mut self.tasks[index];
        let position = task.open.iter().position(|it| it.id == id).unwrap();
        let ended = task.open.remove(position);
        task.is_contest = false;
        let has_reached =
            !matches!(outcome, AttemptOutcome::NotSent | AttemptOutcome::Withdrawn { sent: false });
        task.reached += u32::from(has_reached);
        task.may_have_run |= has_reached && outcome.is_run();
        task.has_failure |= outcome == AttemptOutcome::Failed;
        let is_another_open = !task.open.is_empty();
        self.count("ended_beside_another", is_another_open);
        self.report(index, DirectEvent::AttemptEnded(ended.number, outcome));
        if is_whole {
            self.count("answered", true);
            self.end_task(index);
        }
    }

    fn change(&mut self, kind: u8) {
        let index = self.random.random_range(0..self.upstreams.len());
        let (id, now) = (desk_id(index as u16), self.now);
        match kind {
            0..=3 => {
                let change = self.document(kind);
                self.store(vec![change]);
            }
            4 => {
                self.announced += 1;
                let version = WeightVersion(self.announced);
                self.store(vec![FleetChange::VersionAnnounced(model(), version)]);
                for number in 0..self.upstreams.len() {
                    let after = self.random.random_range(500..9_000);
                    self.schedule(after, Happening::Serving(desk_id(number as u16), version));
                }
            }
            5 => self.store(vec![FleetChange::UpstreamGone(id.clone())]),
            6 => self.crash(index),
            _ => {
                let span = self.random.random_range(300..4_000);
                self.upstreams[index].silent_until = now + span;
            }
        }
        let after = self.random.random_range(300..2_000);
        self.schedule(after, Happening::Restore(kind, id));
    }

    fn crash(&mut self, index: usize) {
        self.upstreams[index].is_down = true;
        let id = self.upstreams[index].record.id.clone();
        for task in 0..self.tasks.len() {
            let attempts =
                self.tasks[task].open.iter().filter(|it| it.upstream == id && it.is_sent);
            for attempt in attempts.map(|it| it.id).collect::<Vec<_>>() {
                let delivered = self.tasks[task].delivered > 0;
                self.end_attempt(task, attempt, AttemptOutcome::Lost { delivered, crashed: true });
            }
        }
    }

    fn restore(&mut self, kind: u8, id: &InstanceId) {
        match kind {
            0..=3 => {
                let change = self.document(u8::MAX);
                self.store(vec![change]);
            }
            5 | 6 => {
                let upstream = self.upstreams.iter_mut().find(|it| it.record.id == *id).unwrap();
                if std::mem::replace(&mut upstream.is_down, false) {
                    upstream.record.start = StartStamp(upstream.record.start.0 + 1);
                }
                upstream.record.serving[0].version = upstream.version;
                let change = FleetChange::Upstream(upstream.record.clone());
                self.store(vec![change]);
            }
            _ => {}
        }
    }

    /// An engine has loaded a version.
    fn serve(&mut self, id: &InstanceId, version: WeightVersion) {
        let upstream = self.upstreams.iter_mut().find(|it| it.record.id == *id).unwrap();
        if version <= upstream.version {
            return;
        }
        upstream.version = version;
        upstream.record.serving[0].version = version;
        let (address, model) = (upstream.record.address, model());
        let start = Some(upstream.record.start);
        for entry in 0..self.entries.len() {
            let notice = EngineNotice::Serving(version);
            let model = model.clone();
            self.reduce(entry, DirectEvent::EngineNoticeReceived { address, model, start, notice });
        }
    }

    /// The next configuration: without routes, with another key, with a shorter timeout, with
    /// another service, or as at the start.
    fn document(&mut self, kind: u8) -> FleetChange {
        self.generation += 1;
        let (service, key) =
            (if kind == 3 { "other" } else { "desk" }, if kind == 1 { "key-2" } else { "key-1" });
        let timeout = if kind == 2 { Millis(1_500) } else { Millis(6_000) };
        let routes = RULES.iter().filter(|_| kind != 0).map(|(path, rule)| RouteRule {
            attempt_limit: self.attempt_limit,
            is_public: false,
            timeout,
            ..public_route(&path[1..], path, service, *rule)
        });
        let services = ["desk", "other"].map(|name| (name.parse().unwrap(), self.profile.clone()));
        let customer = CustomerRecord {
            name: "comedor".parse().unwrap(),
            api_keys: vec![key.into()],
            priority: None,
            allowed_regions: Box::default(),
        };
        let document = RouteDocument::new(
            Generation(self.generation),
            routes.collect(),
            services.into_iter().collect(),
            vec![customer],
            Default::default(),
        );
        FleetChange::Configured(document.into())
    }

    /// Each request has ended, within its attempts and the budget, and has left nothing.
    fn check_end(&self) {
        for task in &self.tasks {
            assert!(task.has_ended, "{} has not ended", task.number);
            assert!(
                task.reached <= self.attempt_limit,
                "{}: {} attempts",
                task.number,
                task.reached
            );
        }
        let retries: u32 = self.tasks.iter().map(|task| task.reached.saturating_sub(1)).sum();
        // A part of an entry's first credit counts as earned from the start, for each service.
        let earned = self.ratio * self.tasks.len() as f64 + 2.0 * self.entries.len() as f64;
        assert!(f64::from(retries) <= earned, "{retries} retries, {earned} earned");
        for entry in &self.entries {
            let status = entry.status(Moment(self.now));
            assert_eq!((status.requests, status.waiting), (0, 0));
            assert!(entry.outstanding_load().is_empty(), "{:?}", entry.outstanding_load());
        }
    }
}

trait IsRun {
    /// Whether the upstream may have run the request.
    fn is_run(&self) -> bool;
}

impl IsRun for AttemptOutcome {
    fn is_run(&self) -> bool {
        !matches!(
            self,
            Self::Full | Self::Misdirected | Self::NotSent | Self::Withdrawn { sent: false }
        )
    }
}

fn model() -> mustardrill_types::ModelName {
    "m".parse().unwrap()
}

fn upstream(number: u16) -> Upstream {
    let version = WeightVersion(1);
    let serving = vec![ServedWeights { model: model(), version }];
    let record = UpstreamRecord { serving, ..desk(number) };
    Upstream { record, version, silent_until: 0, is_down: false }
}
