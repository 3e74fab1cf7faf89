//! Health, load and served weights of one upstream, as seen by one entry.

use log::{info, warn};
use mustardrill_types::{
    FastMap, InstanceId, Millis, ModelName, Moment, StartStamp, WeightVersion,
};

use crate::direct::event::{AttemptOutcome, UpstreamLoad};
use crate::direct::fleet::update::{ServedWeights, UpstreamRecord};
use crate::direct::fleet::version_belief::{BeliefSource, VersionBelief};
use crate::direct::placement::pace::PaceEstimate;
use crate::direct::silence::SilencePeriod;
use crate::direct::statements::conditions::StatedConditions;

/// Weight of one outcome in the moving average of failures.
///
/// One tenth covers about ten answers: enough to detect a failing upstream within a second of usual
/// traffic, and few enough for it to recover as quickly.
const FAILURE_WEIGHT: f64 = 0.1;

/// Number of attempts lost in a row after which an upstream is ejected.
const MAX_FAILURES_IN_A_ROW: u32 = 3;

/// Longest ejection of an upstream that loses the requests it is sent.
const MAX_LOST_EJECTION: Millis = Millis(8_000);

/// Longest ejection of an upstream that cannot be reached. Trying it costs a request time but not
/// its answer, and after a restart of the whole fleet most upstreams are unreachable for some
/// seconds because links are full.
const MAX_UNREACHABLE_EJECTION: Millis = Millis(2_000);

/// An upstream that answered within this time is alive; it refuses connections because too many are
/// open.
///
/// With more requests than slots, upstreams with a long queue accept fewer connections. Ejecting
/// them would send their share to the others, whose queues would grow in turn.
const ALIVE_WINDOW: Millis = Millis(1_000);

/// Cool-down of an upstream after it turned a request away: about the time in which a fully loaded
/// engine completes one of its requests.
///
/// An entry that starts, or whose messages get lost, does not know what its peers have sent. A
/// rejected request is back within some milliseconds, so the fullest upstream looks like the
/// emptiest one and would get the next request as well. The same happens if the upstream was
/// restarted or serves other weights than this entry assumes.
const FIRST_COOLDOWN: Millis = Millis(150);

/// Number of times the cool-down is doubled at most: an upstream with a long queue of its own needs
/// that long to work it off.
const MAX_COOLDOWN_DOUBLINGS: u32 = 3;

/// One incarnation of an upstream. Requests sent to it are not counted for a later incarnation,
/// which does not have them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct UpstreamStart {
    pub(crate) id: InstanceId,
    pub(crate) start: StartStamp,
}

/// What one entry knows about an upstream.
#[derive(Debug)]
pub(crate) struct UpstreamState {
    pub(crate) record: UpstreamRecord,
    /// What the versions in `record.serving` rest on, where that is not its first registration.
    beliefs: FastMap<ModelName, VersionBelief>,
    /// The belief in all other versions.
    registered: VersionBelief,
    /// The newest versions on which it has answered.
    answered: Vec<ServedWeights>,
    /// This entry's own requests there.
    pub(crate) own_load: UpstreamLoad,
    /// Moving average of failures over its latest answers, from 0 to 1.
    pub(crate) failure_rate: f64,
    /// It accepts no requests until then because it loads weights.
    pub(crate) paused_until: Moment,
    /// When it is scheduled to pause for loading newer weights.
    pub(crate) reload_at: Option<Moment>,
    /// Newer weights are expected there until then, as its agent announced.
    pub(crate) reload_expected_until: Moment,
    /// When capacity last became available after there was none: a peer entry reported fewer
    /// requests or a shorter prefill there, or the upstream resumed after a pause.
    pub(crate) capacity_freed_at: Moment,
    /// Number of requests that this entry has sent there since then.
    pub(crate) sent_since_freed: u32,
    /// When it last answered anything; zero if it never did.
    last_answer_at: Moment,
    failures_in_a_row: u32,
    ejections: u32,
    pub(crate) ejected_until: Moment,
    /// It has crashed and is sent nothing until then, unless it answers a request sent before.
    pub(crate) crashed_until: Moment,
    /// It turned a request away and is sent nothing until then.
    pub(crate) cooldown_until: Moment,
    /// Number of cool-downs since it last accepted a request.
    cooldowns: u32,
    /// Set while it sends nothing although requests wait for it.
    silence: Option<SilencePeriod>,
    /// How long work takes there.
    pub(crate) pace: PaceEstimate,
    /// What it has stated of itself in its answers.
    pub(crate) conditions: StatedConditions,
    /// Set once its registration has expired, if the upstream may still be running.
    pub(crate) expired_registration: Option<ExpiredRegistration>,
}

/// A registration that has expired although its upstream may still be running.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ExpiredRegistration {
    /// When this entry learned of it.
    pub(crate) at: Moment,
    pub(crate) cause: ExpiryCause,
}

/// Why the store may have lost a registration.
#[derive(Debug, derive_more::Display, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ExpiryCause {
    /// The store was unavailable for longer than registrations are kept without renewal.
    #[display("store-was-away")]
    Outage,
    /// The store was restored from a copy made before the registration.
    #[display("store-returned")]
    Restore,
}

/// Why an upstream is listed, with the age of that evidence.
#[derive(Debug, derive_more::Display, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ListingEvidence {
    /// The store lists it; the age is that of the store's last answer.
    #[display("registered age={_0}")]
    Registered(Millis),
    /// Its registration was found expired this long ago.
    #[display("lapsed age={_0}")]
    Expired(Millis),
}

impl UpstreamState {
    /// Returns the incarnation that this entry assumes to be running.
    pub(crate) fn start(&self) -> UpstreamStart {
        UpstreamStart { id: self.record.id.clone(), start: self.record.start }
    }

    /// Returns why it is listed; `confirmed_ago` is the age of the store's last answer.
    pub(crate) fn evidence(&self, now: Moment, confirmed_ago: Millis) -> ListingEvidence {
        match self.expired_registration {
            Some(expired) => ListingEvidence::Expired(now.since(expired.at)),
            None => ListingEvidence::Registered(confirmed_ago),
        }
    }

    /// Whether it is leaving, by its registration or by its own answers.
    pub(crate) fn is_leaving(&self) -> bool {
        self.record.leaving || self.conditions.is_leaving()
    }

    /// Whether it may have shut down during an outage of the store instead of being lost by it. An
    /// older copy of the store raises no such doubt, since recent registrations are missing there.
    pub(crate) fn may_have_shut_down(&self) -> bool {
        self.expired_registration.is_some_and(|expired| expired.cause == ExpiryCause::Outage)
    }

    pub(crate) fn new(now: Moment, record: UpstreamRecord) -> Self {
        Self {
            record,
            beliefs: FastMap::default(),
            registered: VersionBelief::new(BeliefSource::Registration, now),
            answered: Vec::new(),
            own_load: UpstreamLoad::default(),
            failure_rate: 0.0,
            paused_until: Moment(0),
            reload_at: None,
            reload_expected_until: Moment(0),
            capacity_freed_at: Moment(0),
            sent_since_freed: 0,
            last_answer_at: Moment(0),
            failures_in_a_row: 0,
            ejections: 0,
            ejected_until: Moment(0),
            crashed_until: Moment(0),
            cooldown_until: Moment(0),
            cooldowns: 0,
            silence: None,
            pace: PaceEstimate::default(),
            conditions: StatedConditions::default(),
            expired_registration: None,
        }
    }

    /// Records the outcome of an attempt; `first_ejection` is doubled with each further ejection.
    pub(crate) fn record_outcome(
        &mut self,
        now: Moment,
        outcome: AttemptOutcome,
        first_ejection: Millis,
    ) {
        match outcome {
            AttemptOutcome::Whole | AttemptOutcome::Undelimited => self.record_success(now),
            AttemptOutcome::Full | AttemptOutcome::Misdirected => self.record_rejection(now),
            AttemptOutcome::Failed => {
                self.record_answer(now);
                self.failure_rate += FAILURE_WEIGHT * (1.0 - self.failure_rate);
            }
            // No answer failed, so the average over its answers stays as it is.
            AttemptOutcome::NotSent => {
                if self.last_answer_at == Moment(0)
                    || now.since(self.last_answer_at) >= ALIVE_WINDOW
                {
                    self.eject(now, first_ejection, MAX_UNREACHABLE_EJECTION);
                }
            }
            // Withdrawing an attempt is this entry's decision and tells nothing about the upstream.
            AttemptOutcome::Withdrawn { .. } => {}
            AttemptOutcome::Lost { .. } => {
                self.failure_rate += FAILURE_WEIGHT * (1.0 - self.failure_rate);
                self.failures_in_a_row += 1;
                if self.failures_in_a_row >= MAX_FAILURES_IN_A_ROW {
                    self.eject(now, first_ejection, MAX_LOST_EJECTION);
                }
            }
        }
    }

    /// Records that it crashed at `at`, unless it has answered since.
    pub(crate) fn record_crash(&mut self, at: Moment) {
        if self.last_answer_at <= at {
            self.crashed_until = at + MAX_LOST_EJECTION;
        }
    }

    /// Records that it sends nothing to a request.
    pub(crate) fn record_silence(&mut self, now: Moment) {
        self.silence.get_or_insert(SilencePeriod::new(now));
    }

    /// Records that a request is sent to it, which tells whether it is silent still. `first_pause`
    /// is the first pause between such requests.
    pub(crate) fn record_trial(&mut self, now: Moment, first_pause: Millis) {
        if let Some(silence) = &mut self.silence {
            silence.record_trial(now, first_pause);
        }
    }

    /// How long work takes there compared with usual; 1.0 where nothing is known.
    pub(crate) fn pace(&self, now: Moment) -> f64 {
        self.pace.factor(now)
    }

    /// Whether it sends nothing although requests wait for it.
    pub(crate) fn is_silent(&self) -> bool {
        self.silence.is_some()
    }

    /// When it may be sent the next request, if it is silent.
    pub(crate) fn next_trial_at(&self) -> Option<Moment> {
        self.silence.map(|silence| silence.next_trial_at())
    }

    /// Records that it has capacity again.
    pub(crate) fn record_free_capacity(&mut self, now: Moment) {
        self.capacity_freed_at = now;
        self.sent_since_freed = 0;
    }

    /// Records that it accepts requests again and serves a version of a model.
    /// `start` is the incarnation that its agent named, if any.
    pub(crate) fn record_resume(
        &mut self,
        now: Moment,
        model: &ModelName,
        version: WeightVersion,
        start: Option<StartStamp>,
    ) {
        if self.paused_until > now {
            self.record_free_capacity(now);
        }
        self.paused_until = Moment(0);
        self.reload_at = None;
        if self.cooldown_until > now {
            info!("cooldown instance={} outcome=ended reason=engine-serves", self.record.id);
        }
        self.cooldown_until = Moment(0);
        let source = match start {
            Some(_) => BeliefSource::Notice,
            None => BeliefSource::AddressNotice,
        };
        self.set_served_version(model, version, VersionBelief::new(source, now));
    }

    /// What the version of a model rests on.
    pub(crate) fn belief(&self, model: Option<&ModelName>) -> VersionBelief {
        let belief = model.and_then(|model| self.beliefs.get(model));
        belief.copied().unwrap_or(self.registered)
    }

    /// Records that an answer contradicted the version of a model.
    pub(crate) fn record_contradiction(&mut self, now: Moment, model: &ModelName) {
        let registered = self.registered;
        self.beliefs.entry(model.clone()).or_insert(registered).record_contradiction(now);
    }

    /// Replaces the registration. The versions that it changes rest on it from now on.
    pub(crate) fn replace_record(&mut self, now: Moment, record: UpstreamRecord) {
        let former = std::mem::replace(&mut self.record, record);
        if former.serving == self.record.serving {
            return;
        }
        for served in self.record.serving.iter().filter(|served| !former.serving.contains(served)) {
            let belief = VersionBelief::new(BeliefSource::Registration, now);
            self.beliefs.insert(served.model.clone(), belief);
        }
        self.paused_until = Moment(0);
        self.reload_at = None;
    }

    /// Records the version of a model that it serves, and what that rests on.
    pub(crate) fn set_served_version(
        &mut self,
        model: &ModelName,
        version: WeightVersion,
        belief: VersionBelief,
    ) {
        self.beliefs.insert(model.clone(), belief);
        let served = self.record.serving.iter_mut().find(|served| served.model == *model);
        match served {
            Some(served) => served.version = version,
            None => self.record.serving.push(ServedWeights { model: model.clone(), version }),
        }
    }

    /// Records the version that an answer to an attempt sent at `sent_at` reports. Returns whether it
    /// contradicts what was believed. An attempt sent before the evidence of a newer version may
    /// have started before the engine loaded that.
    pub(crate) fn record_answered_version(
        &mut self,
        now: Moment,
        sent_at: Moment,
        model: &ModelName,
        version: WeightVersion,
    ) -> bool {
        self.raise_answered_version(model, version);
        let newer = self.served_version(model).filter(|known| *known > version);
        let belief = self.belief(Some(model));
        if newer.is_some() && sent_at < belief.since {
            return false;
        }
        if let Some(known) = newer {
            warn!(
                "instance={} believed={known} source={} age={} served={version} \
                 outcome=contradicted by=answer",
                self.record.id,
                belief.source,
                now.since(belief.since)
            );
        }
        self.set_served_version(model, version, VersionBelief::new(BeliefSource::Answer, now));
        newer.is_some()
    }

    fn raise_answered_version(&mut self, model: &ModelName, version: WeightVersion) {
        match self.answered.iter_mut().find(|answered| answered.model == *model) {
            Some(answered) => answered.version = answered.version.max(version),
            None => self.answered.push(ServedWeights { model: model.clone(), version }),
        }
    }

    /// Returns the newest version of a model on which it has answered. It holds that or a newer one,
    /// as versions never fall within one start.
    pub(crate) fn answered_version(&self, model: &ModelName) -> Option<WeightVersion> {
        let answered = self.answered.iter().find(|answered| answered.model == *model);
        answered.map(|answered| answered.version)
    }

    /// Raises the versions in a registration of the same incarnation to those known by newer
    /// evidence: within one start they never fall.
    pub(crate) fn keep_newer_versions(&self, record: &mut UpstreamRecord) {
        for served in &mut record.serving {
            let known = self.served_version(&served.model);
            let evident = known.filter(|_| self.belief(Some(&served.model)).is_evidence());
            served.version = served.version.max(evident.unwrap_or(served.version));
        }
    }

    /// Returns the version of a model that it has loaded completely.
    pub(crate) fn served_version(&self, model: &ModelName) -> Option<WeightVersion> {
        let served = self.record.serving.iter().find(|served| served.model == *model);
        served.map(|served| served.version)
    }

    /// Records a rejected request. Rejections of requests that were sent before the cool-down
    /// started do not prolong it.
    fn record_rejection(&mut self, now: Moment) {
        self.record_answer(now);
        if self.cooldown_until > now {
            return;
        }
        let span = Millis(FIRST_COOLDOWN.0 << self.cooldowns.min(MAX_COOLDOWN_DOUBLINGS));
        self.cooldown_until = now + span;
        self.cooldowns += 1;
        info!("cooldown instance={} span={span} times={}", self.record.id, self.cooldowns);
    }

    /// Records that it accepted a request, which ends the series of cool-downs.
    pub(crate) fn record_acceptance(&mut self, now: Moment) {
        self.record_answer(now);
        self.conditions.rest.record_acceptance(now);
        self.cooldowns = 0;
    }

    /// Records a sign that it is running.
    pub(crate) fn record_answer(&mut self, now: Moment) {
        self.last_answer_at = now;
        self.silence = None;
        self.crashed_until = Moment(0);
    }

    fn record_success(&mut self, now: Moment) {
        self.record_answer(now);
        self.failure_rate -= FAILURE_WEIGHT * self.failure_rate;
        self.failures_in_a_row = 0;
        self.ejections = 0;
    }

    fn eject(&mut self, now: Moment, first: Millis, longest: Millis) {
        let span = Millis(first.0 << self.ejections.min(8)).min(longest);
        self.ejections += 1;
        self.failures_in_a_row = 0;
        self.ejected_until = now + span;
        info!("ejection instance={} span={span} times={}", self.record.id, self.ejections);
    }
}
