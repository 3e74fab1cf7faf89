//! How an entry sends requests to upstreams, lets them wait, and goes on after an attempt.

use log::info;
use mustardrill_types::{InstanceId, Millis, Moment, ResultCode, ServiceName, WeightVersion};
use rand::Rng;

use crate::direct::event::{
    AttemptOutcome, DirectEffect, LoadReport, RefusalPlan, RequestNumber, SendPlan,
};
use crate::direct::placing::forecast::{EngineForecast, WorkSize};
use crate::direct::reducer::DirectReducer;
use crate::direct::request::{RequestStage, RequestState};
use crate::direct::waiting::queue::WaitRank;

/// When a caller may come back where no upstream is listed.
const NO_UPSTREAM_RETRY: Millis = Millis(500);

/// The least after which a caller may come back to a full fleet.
const FULL_RETRY: Millis = Millis(150);

/// The most after which a caller may come back to a full fleet; callers wait no longer than a
/// third of the time that they have left.
const LONGEST_RETRY: Millis = Millis(1_800);

/// How long a request that was sent once waits for another upstream.
const REPEAT_WAIT: Millis = Millis(1_000);

/// What must be left of a caller's time when its request is sent: less is not worth a run.
const LEAST_LEFT: Millis = Millis(100);

/// Upstreams that can't be reached before a request is given up.
const UNREACHED_LIMIT: usize = 4;

/// Requests for each slot that wait for a plain service, whose times nobody tells.
const PLAIN_QUEUE: usize = 2;

impl DirectReducer {
    /// Sends a request that came now, lets it wait, or refuses it at once.
    pub(super) fn start(&mut self, now: Moment, number: RequestNumber) -> Vec<DirectEffect> {
        let Some(state) = self.requests.get(&number) else { return Vec::new() };
        let service = state.service.clone();
        let rank = state.rank(now >= self.in_time_until(state));
        let first = self.queues.get(&service).and_then(|queue| queue.first());
        if first.is_none_or(|first| rank < first)
            && let Some(upstream) = self.choose(now, state)
        {
            return self.send(now, number, upstream);
        }
        self.wait(now, number, rank)
    }

    /// Lets a request wait, or refuses it where that would be in vain.
    fn wait(&mut self, now: Moment, number: RequestNumber, rank: WaitRank) -> Vec<DirectEffect> {
        let Some(state) = self.requests.get(&number) else { return Vec::new() };
        let until = self.wait_end(now, state);
        let ahead = self.queues.get(&state.service).map_or(0, |queue| queue.ahead(&rank));
        if !self.is_possible(now, state) {
            return self.refuse(now, number, ResultCode::NoUpstream, NO_UPSTREAM_RETRY);
        }
        let expected = self.expected_wait(state, ahead);
        if now + expected > until {
            let retry_after = self.spread(expected);
            return self.refuse(now, number, ResultCode::Overloaded, retry_after);
        }
        let service = state.service.clone();
        self.queues.entry(service).or_default().push(rank, until);
        if let Some(state) = self.requests.get_mut(&number) {
            state.stage = RequestStage::Waiting(rank);
        }
        Vec::new()
    }

    /// Until when a request waits for an upstream: first to be in time, then to be served at all.
    fn wait_end(&self, now: Moment, state: &RequestState) -> Moment {
        let longest = if state.tried.is_empty() { self.settings.late_wait } else { REPEAT_WAIT };
        let since = if state.tried.is_empty() { state.arrived } else { now };
        (since + longest).min(state.deadline - LEAST_LEFT)
    }

    /// Until when a request counts as one that can be in time.
    pub(super) fn in_time_until(&self, state: &RequestState) -> Moment {
        let share = state.objective_span().0 * u64::from(self.settings.wait_percent) / 100;
        state.arrived + Millis(share)
    }

    /// Whether an upstream is expected to take the request soon: one that may run it, or one whose
    /// engine loads weights or is about to. Waiting for anything else would most often be in vain.
    fn is_possible(&self, now: Moment, state: &RequestState) -> bool {
        let usable = self.upstreams.usable(now, &state.service);
        usable.iter().any(|upstream| self.fits(now, state, upstream))
            || self.upstreams.is_loading(now, &state.service)
    }

    /// How long a request waits behind `ahead` others, where the profile lets that be told.
    fn expected_wait(&self, state: &RequestState, ahead: usize) -> Millis {
        let Some(profile) = self.profile(&state.service) else {
            let places = self.upstreams.slots(&state.service) as usize * PLAIN_QUEUE;
            return if ahead >= places { Millis(u64::MAX / 4) } else { Millis(0) };
        };
        let forecast = EngineForecast::new(profile);
        let usual = WorkSize { prompt: profile.usual_prompt, answer: profile.usual_answer };
        let whole = forecast.whole_ms(profile.slots, usual);
        // Others ask for the freed slots as well, so this entry gets its share of them.
        let entries = self.peers().len() + 1;
        let slots = self.upstreams.slots(&state.service).max(1);
        let turn = whole * entries as f64 / f64::from(slots);
        Millis((turn * (ahead + 1) as f64) as u64)
    }

    /// A time to come back after `expected`, spread so that callers don't return all at once.
    fn spread(&mut self, expected: Millis) -> Millis {
        let least = expected.0.clamp(FULL_RETRY.0, LONGEST_RETRY.0 / 2);
        Millis(least + self.random.random_range(0..=least))
    }

    /// Sends waiting requests while upstreams have room.
    pub(super) fn pump(&mut self, now: Moment, service: &ServiceName) -> Vec<DirectEffect> {
        let mut effects = Vec::new();
        self.demote_late(now, service);
        while let Some(rank) = self.queues.get(service).and_then(|queue| queue.first()) {
            let Some(state) = self.requests.get(&rank.number) else { break };
            let Some(upstream) = self.choose(now, state) else { break };
            if let Some(queue) = self.queues.get_mut(service) {
                queue.remove(&rank);
            }
            effects.extend(self.send(now, rank.number, upstream));
        }
        if self.queues.get(service).is_some_and(|queue| !queue.is_empty()) {
            let open = self.next_place(now, service);
            self.place_at = self.place_at.into_iter().chain(open).min();
        }
        effects
    }

    /// Puts those that can't be in time any more behind those that can: served first come first
    /// served, a queue that is a little too long makes every request late.
    fn demote_late(&mut self, now: Moment, service: &ServiceName) {
        while let Some(rank) = self.queues.get(service).and_then(|queue| queue.first()) {
            let Some(state) = self.requests.get(&rank.number) else { break };
            if rank.late || now < self.in_time_until(state) {
                break;
            }
            let later = WaitRank { late: true, ..rank };
            let Some(queue) = self.queues.get_mut(service) else { break };
            queue.replace(&rank, later);
            if let Some(state) = self.requests.get_mut(&rank.number) {
                state.stage = RequestStage::Waiting(later);
            }
        }
    }

    fn send(
        &mut self,
        now: Moment,
        number: RequestNumber,
        upstream: InstanceId,
    ) -> Vec<DirectEffect> {
        if let Err(code) = self.readmit(now, number) {
            return self.refuse(now, number, code, Millis(0));
        }
        let Some(state) = self.requests.get(&number) else { return Vec::new() };
        let Some(target) = self.upstreams.get(&upstream) else { return Vec::new() };
        // Its route has moved to another service while it waited.
        if target.record.service != state.service {
            return self.start(now, number);
        }
        if state.deadline <= now {
            return self.refuse(now, number, ResultCode::DeadlinePassed, Millis(0));
        }
        let address = target.record.address;
        let profile = self.document.as_ref().and_then(|it| it.service(&state.service));
        let entries = self.peers().len() as u32 + 1;
        // A version that has replaced all others is demanded, should the belief be wrong.
        let pinned = state.pinned.or_else(|| {
            let newest = self.versions.newest(state.model.as_ref()?)?;
            let floor = self.floor(now, state, target)?;
            (floor == newest && floor.0 > 1).then_some(floor)
        });
        let plan = SendPlan {
            upstream: upstream.clone(),
            address,
            connections: profile.map_or(0, |profile| profile.connections) / entries,
            customer: state.customer.clone(),
            pinned,
            deadline: state.deadline,
            silence: self.settings.silence,
            repeat: state.repeat,
            priority: state.priority,
        };
        info!(
            "request={} decision=send instance={upstream} waited={} attempt={} present={} pinned={} \
             evidence={} digest={}",
            state.attempt,
            now.since(state.arrived),
            state.tried.len() + 1,
            self.upstreams.present(&upstream).requests,
            plan.pinned.map_or(0, |version| version.0),
            target.evidence(now, self.proof.age(now).unwrap_or_default()),
            state.digest,
        );
        let reading = self.reading_time(state);
        let start = target.start();
        self.upstreams.sent(&start, reading);
        if let Some(state) = self.requests.get_mut(&number) {
            state.reading = reading;
            state.sent = now;
            state.tried.push(upstream);
            state.stage = RequestStage::Sent(start);
        }
        vec![DirectEffect::Send(number, plan)]
    }

    pub(super) fn answering(
        &mut self,
        now: Moment,
        number: RequestNumber,
        load: Option<LoadReport>,
        version: Option<WeightVersion>,
    ) {
        let Some(state) = self.requests.get_mut(&number) else { return };
        let RequestStage::Sent(upstream) = &state.stage else { return };
        self.upstreams.read(upstream, std::mem::take(&mut state.reading));
        if state.pinned.is_none() && state.repeat.is_stream() {
            state.pinned = version;
        }
        self.upstreams.answering(now, upstream, load, state.model.as_ref(), version);
    }

    pub(super) fn ended(
        &mut self,
        now: Moment,
        number: RequestNumber,
        outcome: AttemptOutcome,
    ) -> Vec<DirectEffect> {
        let Some(state) = self.requests.get_mut(&number) else { return Vec::new() };
        let RequestStage::Sent(upstream) = state.stage.clone() else { return Vec::new() };
        state.stage = RequestStage::Between;
        let service = state.service.clone();
        let (attempt, digest) = (state.attempt.clone(), state.digest);
        self.upstreams.read(&upstream, std::mem::take(&mut state.reading));
        self.upstreams.left(&upstream);
        self.upstreams.judge(now, &upstream, outcome, self.settings.ejection);
        let mut effects = Vec::new();
        match outcome {
            AttemptOutcome::Whole => effects.extend(self.run_succeeded(now, digest)),
            AttemptOutcome::Lost { crashed: true, .. } => self.run_crashed(now, number, &upstream),
            _ => {}
        }
        if outcome != AttemptOutcome::Whole {
            info!("request={attempt} instance={} outcome={outcome:?} digest={digest}", upstream.id);
        }
        effects.extend(self.go_on(now, number, outcome));
        effects.extend(self.pump(now, &service));
        effects
    }

    fn go_on(
        &mut self,
        now: Moment,
        number: RequestNumber,
        outcome: AttemptOutcome,
    ) -> Vec<DirectEffect> {
        let Some(state) = self.requests.get_mut(&number) else { return Vec::new() };
        state.reached += u32::from(outcome != AttemptOutcome::NotSent);
        match outcome {
            AttemptOutcome::Whole => {
                self.requests.remove(&number);
                Vec::new()
            }
            AttemptOutcome::Failed => {
                state.may_have_run = true;
                if state.is_repeatable() && self.may_repeat(now, number) {
                    return self.again(now, number);
                }
                self.requests.remove(&number);
                vec![DirectEffect::PassOn(number)]
            }
            AttemptOutcome::Full | AttemptOutcome::Misdirected => {
                if self.may_repeat(now, number) {
                    return self.again(now, number);
                }
                let retry_after = self.spread(FULL_RETRY);
                self.refuse(now, number, ResultCode::Overloaded, retry_after)
            }
            AttemptOutcome::NotSent => {
                if state.tried.len() < UNREACHED_LIMIT {
                    return self.again(now, number);
                }
                self.refuse(now, number, ResultCode::NoUpstream, NO_UPSTREAM_RETRY)
            }
            AttemptOutcome::Lost { delivered, .. } => {
                state.may_have_run = true;
                state.delivered |= delivered;
                self.hold_suspect(now, number).unwrap_or_else(|| self.repeat_lost(now, number))
            }
        }
    }

    /// Sends a request whose last attempt was lost once more, or gives it up.
    pub(super) fn repeat_lost(&mut self, now: Moment, number: RequestNumber) -> Vec<DirectEffect> {
        let Some(state) = self.requests.get(&number) else { return Vec::new() };
        if state.is_repeatable() && self.may_repeat(now, number) {
            return self.again(now, number);
        }
        self.refuse(now, number, ResultCode::Unknown, Millis(0))
    }

    /// Whether the request may be sent once more: by its route's attempts, its deadline and the
    /// budget of its service.
    fn may_repeat(&mut self, now: Moment, number: RequestNumber) -> bool {
        let Some(state) = self.requests.get(&number) else { return false };
        if state.reached >= state.attempts_limit || state.deadline <= now {
            return false;
        }
        let share = &self.settings.retry;
        let entries = self.census.count(now, share.window, &self.peers);
        let window = self.windows.entry(state.service.clone()).or_default();
        let granted = window.spend(now, share, entries);
        if !granted {
            info!("request={} decision=no-repeat reason=budget entries={entries}", state.attempt);
        }
        granted
    }

    fn again(&mut self, now: Moment, number: RequestNumber) -> Vec<DirectEffect> {
        let Some(state) = self.requests.get(&number) else { return Vec::new() };
        if !self.is_possible(now, state) {
            let code = ResultCode::NoUpstream;
            return self.refuse(now, number, code, NO_UPSTREAM_RETRY);
        }
        let rank = state.rank(now >= self.in_time_until(state));
        match self.choose(now, state) {
            Some(upstream) => self.send(now, number, upstream),
            None => self.wait(now, number, rank),
        }
    }

    /// Gives up a request that found no upstream with room in time.
    pub(super) fn waited_in_vain(
        &mut self,
        now: Moment,
        number: RequestNumber,
    ) -> Vec<DirectEffect> {
        if let Some(state) = self.requests.get_mut(&number) {
            state.stage = RequestStage::Between;
        }
        let retry_after = self.spread(FULL_RETRY);
        self.refuse(now, number, ResultCode::Overloaded, retry_after)
    }

    /// Ends a request without a whole answer, at once.
    pub(super) fn refuse(
        &mut self,
        now: Moment,
        number: RequestNumber,
        code: ResultCode,
        retry_after: Millis,
    ) -> Vec<DirectEffect> {
        let Some(state) = self.requests.remove(&number) else { return Vec::new() };
        self.release(&state);
        // A later attempt's refusal says nothing of an earlier one that may have run.
        let code = match code {
            _ if state.delivered => ResultCode::AnswerCut,
            code if state.may_have_run && code.is_not_run() => ResultCode::Unknown,
            code => code,
        };
        let usable = self.upstreams.usable(now, &state.service);
        info!(
            "request={} decision=refuse code={code} waited={} attempts={} queue={} usable={} fitting={} retry_after={retry_after} digest={}",
            state.attempt,
            now.since(state.arrived),
            state.tried.len(),
            self.queues.get(&state.service).map_or(0, |queue| queue.len()),
            usable.len(),
            usable.iter().filter(|upstream| self.fits(now, &state, upstream)).count(),
            state.digest,
        );
        vec![DirectEffect::Refuse(number, RefusalPlan { code, retry_after })]
    }
}
