//! The choice of an upstream from lagging load reports and what this entry itself has running.
//!
//! Two random candidates, the less loaded one (the power of two choices); a request with an
//! affinity key goes to its rendezvous choice while that one's load is within a bound
//! (bounded-load hashing, Mirrokni et al.).

use mustardrill_types::{FastMap, InstanceId, ManifestDigest, Millis, Moment};
use rand::Rng;
use rand::rngs::SmallRng;

use crate::rendezvous;

/// Failures of one upstream closer together than this are one.
const ONE_FAILURE: Millis = Millis(50);

/// How upstreams are chosen.
#[derive(Debug, Clone)]
pub struct RoutingSettings {
    /// Failures in a row after which an upstream is left out.
    pub eject_after: u32,
    /// How long it is left out the first time; each time in a row doubles it.
    pub eject_for: Millis,
    /// How long a returning upstream takes to get its full share.
    pub slow_start: Millis,
    /// How far above the mean an affine choice may be loaded, in percent.
    pub affinity_bound: u32,
    /// How much busier a near upstream may be than a far one, in requests.
    pub near_bonus: f64,
    /// An upstream not heard of for this long is not chosen.
    pub silent_for: Millis,
}

/// What an upstream's agent reported last.
#[derive(Debug, Clone, PartialEq)]
pub struct UpstreamReport {
    /// Requests queued and running at the agent.
    pub outstanding: u32,
    /// Requests that the upstream runs at once.
    pub capacity: u32,
    /// The weights that the upstream serves.
    pub serving: Vec<ManifestDigest>,
    /// Whether it takes no new work.
    pub leaving: bool,
}

/// One upstream as an entry sees it.
#[derive(Debug)]
pub struct UpstreamView {
    /// The last report.
    pub report: UpstreamReport,
    /// Whether it is in the entry's own data centre.
    pub near: bool,
    heard: Moment,
    own: u32,
    since_report: u32,
    failures: u32,
    failed_at: Option<Moment>,
    ejections: u32,
    ejected_until: Moment,
    returned: Option<Moment>,
}

/// The upstreams of one entry.
#[derive(Debug)]
pub struct RoutingTable {
    settings: RoutingSettings,
    views: FastMap<InstanceId, UpstreamView>,
}

/// Why an upstream was chosen; one log line each.
#[derive(Debug, derive_more::Display, Clone, Copy, PartialEq, Eq)]
pub enum RoutingReason {
    /// The choice of the affinity key, within its bound.
    #[display("affinity")]
    Affinity,
    /// The less loaded of two.
    #[display("two-choices")]
    TwoChoices,
    /// The only one.
    #[display("only")]
    Only,
    /// All are left out after failures, and this one comes back first.
    #[display("last-resort")]
    LastResort,
    /// It refused the request for weights that it no longer serves, and told which it does.
    #[display("switched")]
    Switched,
}

impl Default for RoutingSettings {
    fn default() -> Self {
        Self {
            eject_after: 3,
            eject_for: Millis(2_000),
            slow_start: Millis(5_000),
            affinity_bound: 25,
            near_bonus: 1.0,
            silent_for: Millis(3_000),
        }
    }
}

impl RoutingTable {
    /// A table without upstreams.
    pub fn new(settings: RoutingSettings) -> Self {
        Self { settings, views: FastMap::default() }
    }

    /// Takes a report of an upstream's agent.
    pub fn reported(&mut self, now: Moment, id: &InstanceId, near: bool, report: UpstreamReport) {
        match self.views.get_mut(id) {
            Some(view) => {
                view.report = report;
                view.heard = now;
                view.since_report = 0;
            }
            None => {
                self.views.insert(id.clone(), UpstreamView::new(now, near, report));
            }
        }
    }

    /// Notes what an upstream serves, as told with a refusal, ahead of its next report.
    pub fn switched(&mut self, id: &InstanceId, serving: &[ManifestDigest]) {
        if let Some(view) = self.views.get_mut(id) {
            view.report.serving = serving.to_vec();
        }
    }

    /// Forgets an upstream that is no longer listed.
    pub fn forget(&mut self, id: &InstanceId) {
        self.views.remove(id);
    }

    /// The view of an upstream.
    pub fn get(&self, id: &InstanceId) -> Option<&UpstreamView> {
        self.views.get(id)
    }

    /// All views, in no order.
    pub fn views(&self) -> impl Iterator<Item = (&InstanceId, &UpstreamView)> {
        self.views.iter()
    }

    /// Notes that an attempt was sent.
    pub fn sent(&mut self, id: &InstanceId) {
        if let Some(view) = self.views.get_mut(id) {
            view.own += 1;
            view.since_report += 1;
        }
    }

    /// Notes that an attempt ended; `healthy` is false where the upstream or its agent failed.
    pub fn ended(&mut self, now: Moment, id: &InstanceId, healthy: bool) {
        let settings = &self.settings;
        let Some(view) = self.views.get_mut(id) else { return };
        view.own = view.own.saturating_sub(1);
        view.since_report = view.since_report.saturating_sub(1);
        view.judge(now, healthy, settings);
    }

    /// Notes that the agent could not be reached, outside of any attempt.
    pub fn unreachable(&mut self, now: Moment, id: &InstanceId) {
        let settings = &self.settings;
        if let Some(view) = self.views.get_mut(id) {
            view.judge(now, false, settings);
        }
    }

    /// Chooses among `candidates`, leaving out `tried` while there is another.
    pub fn choose(
        &self,
        now: Moment,
        candidates: &[InstanceId],
        tried: &[InstanceId],
        affinity: Option<&str>,
        random: &mut SmallRng,
    ) -> Option<(InstanceId, RoutingReason)> {
        let is_open = |id: &&InstanceId| self.is_open(now, id);
        let open: Vec<_> = candidates.iter().filter(is_open).collect();
        if open.is_empty() {
            return self.last_resort(now, candidates, tried);
        }
        let fresh: Vec<_> = open.iter().copied().filter(|id| !tried.contains(id)).collect();
        let pool = if fresh.is_empty() { open } else { fresh };
        if pool.len() <= 1 {
            return pool.first().map(|id| ((*id).clone(), RoutingReason::Only));
        }
        if let Some(id) = affinity.and_then(|key| self.affine(now, &pool, key)) {
            return Some((id, RoutingReason::Affinity));
        }
        let first = random.random_range(0..pool.len());
        let second = (first + random.random_range(1..pool.len())) % pool.len();
        let load = |place: usize| self.load(now, pool[place]);
        let place = if load(second) < load(first) { second } else { first };
        Some((pool[place].clone(), RoutingReason::TwoChoices))
    }

    /// Where every upstream is left out, the one that comes back first: its agent answers
    /// heartbeats, so it is more likely to run the request than none is.
    fn last_resort(
        &self,
        now: Moment,
        candidates: &[InstanceId],
        tried: &[InstanceId],
    ) -> Option<(InstanceId, RoutingReason)> {
        let heard = candidates.iter().filter(|id| self.is_heard(now, id));
        let rank = |id: &&InstanceId| (tried.contains(id), self.views[*id].ejected_until);
        let best = heard.min_by_key(rank)?;
        Some((best.clone(), RoutingReason::LastResort))
    }

    fn is_open(&self, now: Moment, id: &InstanceId) -> bool {
        self.is_heard(now, id) && self.views[id].ejected_until <= now
    }

    fn is_heard(&self, now: Moment, id: &InstanceId) -> bool {
        self.views.get(id).is_some_and(|view| {
            !view.report.leaving && now.since(view.heard) <= self.settings.silent_for
        })
    }

    fn affine(&self, now: Moment, pool: &[&InstanceId], key: &str) -> Option<InstanceId> {
        let total: f64 = pool.iter().map(|id| self.load(now, id)).sum();
        let mean = total / pool.len() as f64;
        let bound = (mean + 1.0) * (1.0 + f64::from(self.settings.affinity_bound) / 100.0);
        let ranked = rendezvous::ranked(key.as_bytes(), pool, |id| id.as_str());
        ranked.into_iter().find(|id| self.load(now, id) < bound).map(|id| (*id).clone())
    }

    /// The load of an upstream in requests against its capacity; a returning one looks busier.
    fn load(&self, now: Moment, id: &InstanceId) -> f64 {
        let Some(view) = self.views.get(id) else { return f64::MAX };
        // The report lags, so what this entry sent since counts on top of it.
        let reported = view.report.outstanding + view.since_report;
        let outstanding = f64::from(reported.max(view.own));
        let far = if view.near { 0.0 } else { self.settings.near_bonus };
        let share = view.share(now, self.settings.slow_start);
        (outstanding + 1.0 + far) / (f64::from(view.report.capacity.max(1)) * share)
    }
}

impl UpstreamView {
    /// When the agent was last heard of.
    pub fn heard(&self) -> Moment {
        self.heard
    }

    /// How many attempts of this entry it has.
    pub fn own(&self) -> u32 {
        self.own
    }

    fn new(now: Moment, near: bool, report: UpstreamReport) -> Self {
        Self {
            report,
            near,
            heard: now,
            own: 0,
            since_report: 0,
            failures: 0,
            failed_at: None,
            ejections: 0,
            ejected_until: Moment(0),
            returned: None,
        }
    }

    fn judge(&mut self, now: Moment, healthy: bool, settings: &RoutingSettings) {
        const DOUBLINGS: u32 = 5;
        if healthy {
            self.failures = 0;
            self.ejections = 0;
            return;
        }
        // A connection that breaks ends all its attempts in one moment: that is one failure.
        if self.failed_at.is_some_and(|before| now.since(before) < ONE_FAILURE) {
            return;
        }
        self.failed_at = Some(now);
        self.failures += 1;
        if self.failures >= settings.eject_after {
            let span = settings.eject_for.0 << self.ejections.min(DOUBLINGS);
            self.ejected_until = now + Millis(span);
            self.returned = Some(self.ejected_until);
            self.ejections += 1;
            // One more failure after the return leaves it out again.
            self.failures = settings.eject_after.saturating_sub(1);
        }
    }

    fn share(&self, now: Moment, slow_start: Millis) -> f64 {
        const LEAST: f64 = 0.1;
        let Some(returned) = self.returned else { return 1.0 };
        let passed = now.since(returned).0 as f64 / slow_start.0.max(1) as f64;
        passed.clamp(LEAST, 1.0)
    }
}
