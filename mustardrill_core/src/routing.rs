//! Load balancing over the upstreams of a service.
//!
//! Load reports from agents lag, so they are combined with the attempts that this entry has in
//! progress. A request goes to the less loaded of two random candidates (power of two choices).
//! A request with an affinity key goes to the first upstream in its rendezvous order whose load is
//! within a bound of the mean (consistent hashing with bounded loads, Mirrokni et al.).

use mustardrill_types::{FastMap, InstanceId, ManifestDigest, Millis, Moment};
use rand::Rng;
use rand::rngs::SmallRng;

use crate::rendezvous;

/// Failures of one upstream within this time count as one: a broken connection fails all attempts
/// on it at once.
const FAILURE_WINDOW: Millis = Millis(50);

/// Settings of load balancing and outlier ejection.
#[derive(Debug, Clone)]
pub struct RoutingSettings {
    /// Consecutive failures after which an upstream is ejected.
    pub eject_after: u32,
    /// Duration of the first ejection; doubles with each ejection that follows without a success.
    pub eject_for: Millis,
    /// Time after an ejection in which an upstream's share of traffic grows back to the full one.
    pub slow_start: Millis,
    /// How far the load of an upstream chosen by affinity may exceed the mean, in percent.
    pub affinity_bound: u32,
    /// Requests added to the load of an upstream in another data centre when loads are compared.
    pub remote_penalty: f64,
    /// An upstream without a load report for longer than this is not chosen.
    pub silent_for: Millis,
}

/// The latest load report of an upstream's agent.
#[derive(Debug, Clone, PartialEq)]
pub struct UpstreamReport {
    /// Requests queued and running at the agent.
    pub outstanding: u32,
    /// Requests that the upstream runs concurrently.
    pub capacity: u32,
    /// The weights that the upstream serves, by manifest digest.
    pub serving: Vec<ManifestDigest>,
    /// Whether the upstream is draining and accepts no new requests.
    pub leaving: bool,
}

/// What an entry knows of one upstream: its last report and the results of the entry's attempts.
#[derive(Debug)]
pub struct UpstreamView {
    /// The last report, with `serving` updated from refusals that came after it.
    pub report: UpstreamReport,
    /// Whether the upstream is in the entry's own data centre.
    pub is_local: bool,
    reported_at: Moment,
    /// Attempts of this entry in progress.
    own_attempts: u32,
    /// Attempts sent since the last report that have not ended.
    attempts_since_report: u32,
    /// Consecutive failures.
    failures: u32,
    last_failure: Option<Moment>,
    /// Consecutive ejections.
    ejections: u32,
    ejected_until: Moment,
    /// When the last ejection ends; slow start counts from here.
    readmitted_at: Option<Moment>,
}

/// The upstreams that one entry balances over.
#[derive(Debug)]
pub struct RoutingTable {
    settings: RoutingSettings,
    views: FastMap<InstanceId, UpstreamView>,
}

/// Why an upstream was chosen, as written to the log.
#[derive(Debug, derive_more::Display, Clone, Copy, PartialEq, Eq)]
pub enum RoutingReason {
    /// First in the rendezvous order of the affinity key with a load within the bound.
    #[display("affinity")]
    Affinity,
    /// The less loaded of two random candidates.
    #[display("two-choices")]
    TwoChoices,
    /// The only candidate.
    #[display("only")]
    Only,
    /// All candidates are ejected, and the ejection of this one ends first.
    #[display("last-resort")]
    LastResort,
    /// It had refused the request for weights that it no longer serves and reported the weights
    /// that it serves now.
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
            remote_penalty: 1.0,
            silent_for: Millis(3_000),
        }
    }
}

impl RoutingTable {
    /// Creates a table without upstreams.
    pub fn new(settings: RoutingSettings) -> Self {
        Self { settings, views: FastMap::default() }
    }

    /// Stores a load report; an upstream that is not in the table is added.
    ///
    /// `is_local` is read only when the upstream is added.
    pub fn record_report(
        &mut self,
        now: Moment,
        id: &InstanceId,
        is_local: bool,
        report: UpstreamReport,
    ) {
        match self.views.get_mut(id) {
            Some(view) => {
                view.report = report;
                view.reported_at = now;
                view.attempts_since_report = 0;
            }
            None => {
                self.views.insert(id.clone(), UpstreamView::new(now, is_local, report));
            }
        }
    }

    /// Updates the weights that an upstream serves from a refusal, ahead of its next report.
    pub fn update_serving(&mut self, id: &InstanceId, serving: &[ManifestDigest]) {
        if let Some(view) = self.views.get_mut(id) {
            view.report.serving = serving.to_vec();
        }
    }

    /// Records that an upstream is draining, from a refusal of its agent ahead of its next report.
    pub fn record_leaving(&mut self, id: &InstanceId) {
        if let Some(view) = self.views.get_mut(id) {
            view.report.leaving = true;
        }
    }

    /// Removes an upstream that is no longer a member of the fleet.
    pub fn remove(&mut self, id: &InstanceId) {
        self.views.remove(id);
    }

    /// Returns an upstream that has sent a report and was not removed since.
    pub fn get(&self, id: &InstanceId) -> Option<&UpstreamView> {
        self.views.get(id)
    }

    /// Iterates over all upstreams in arbitrary order.
    pub fn views(&self) -> impl Iterator<Item = (&InstanceId, &UpstreamView)> {
        self.views.iter()
    }

    /// Counts an attempt sent to an upstream as part of its load.
    pub fn record_sent(&mut self, id: &InstanceId) {
        if let Some(view) = self.views.get_mut(id) {
            view.own_attempts += 1;
            view.attempts_since_report += 1;
        }
    }

    /// Counts an attempt as ended; `healthy` is false where the upstream or its agent failed.
    pub fn record_ended(&mut self, now: Moment, id: &InstanceId, healthy: bool) {
        let settings = &self.settings;
        let Some(view) = self.views.get_mut(id) else { return };
        view.own_attempts = view.own_attempts.saturating_sub(1);
        view.attempts_since_report = view.attempts_since_report.saturating_sub(1);
        view.record_result(now, healthy, settings);
    }

    /// Counts a failure where the agent could not be reached outside of any attempt.
    pub fn record_unreachable(&mut self, now: Moment, id: &InstanceId) {
        let settings = &self.settings;
        if let Some(view) = self.views.get_mut(id) {
            view.record_result(now, false, settings);
        }
    }

    /// Chooses one of `candidates`; one of `tried` is chosen only where no other is available.
    ///
    /// Returns nothing where every candidate is draining, unknown or silent for too long.
    pub fn choose(
        &self,
        now: Moment,
        candidates: &[InstanceId],
        tried: &[InstanceId],
        affinity: Option<&str>,
        random: &mut SmallRng,
    ) -> Option<(InstanceId, RoutingReason)> {
        let is_available = |id: &&InstanceId| self.is_available(now, id);
        let available: Vec<_> = candidates.iter().filter(is_available).collect();
        if available.is_empty() {
            return self.last_resort(now, candidates, tried);
        }
        let untried: Vec<_> = available.iter().copied().filter(|id| !tried.contains(id)).collect();
        let pool = if untried.is_empty() { available } else { untried };
        if pool.len() <= 1 {
            return pool.first().map(|id| ((*id).clone(), RoutingReason::Only));
        }
        if let Some(id) = affinity.and_then(|key| self.choose_by_affinity(now, &pool, key)) {
            return Some((id, RoutingReason::Affinity));
        }
        let first = random.random_range(0..pool.len());
        let second = (first + random.random_range(1..pool.len())) % pool.len();
        let load = |index: usize| self.load(now, pool[index]);
        let index = if load(second) < load(first) { second } else { first };
        Some((pool[index].clone(), RoutingReason::TwoChoices))
    }

    /// Chooses the upstream whose ejection ends first, where all are ejected. Its agent still sends
    /// heartbeats, so the request is more likely to run there than if it had no upstream.
    fn last_resort(
        &self,
        now: Moment,
        candidates: &[InstanceId],
        tried: &[InstanceId],
    ) -> Option<(InstanceId, RoutingReason)> {
        let responsive = candidates.iter().filter(|id| self.is_responsive(now, id));
        let rank = |id: &&InstanceId| (tried.contains(id), self.views[*id].ejected_until);
        let best = responsive.min_by_key(rank)?;
        Some((best.clone(), RoutingReason::LastResort))
    }

    fn is_available(&self, now: Moment, id: &InstanceId) -> bool {
        self.is_responsive(now, id) && self.views[id].ejected_until <= now
    }

    /// Whether the upstream's agent has reported recently that it accepts requests.
    pub fn is_responsive(&self, now: Moment, id: &InstanceId) -> bool {
        self.views.get(id).is_some_and(|view| {
            !view.report.leaving && now.since(view.reported_at) <= self.settings.silent_for
        })
    }

    fn choose_by_affinity(
        &self,
        now: Moment,
        pool: &[&InstanceId],
        key: &str,
    ) -> Option<InstanceId> {
        let total: f64 = pool.iter().map(|id| self.load(now, id)).sum();
        let mean = total / pool.len() as f64;
        let bound = (mean + 1.0) * (1.0 + f64::from(self.settings.affinity_bound) / 100.0);
        let ranked = rendezvous::ranked(key.as_bytes(), pool, |id| id.as_str());
        ranked.into_iter().find(|id| self.load(now, id) < bound).map(|id| (*id).clone())
    }

    /// Load of an upstream: requests divided by capacity. It is raised during slow start, so that
    /// an upstream that was ejected gets fewer requests at first.
    fn load(&self, now: Moment, id: &InstanceId) -> f64 {
        let Some(view) = self.views.get(id) else { return f64::MAX };
        // The report lags, so attempts that this entry sent since are added.
        let estimated = view.report.outstanding + view.attempts_since_report;
        let outstanding = f64::from(estimated.max(view.own_attempts));
        let remote_penalty = if view.is_local { 0.0 } else { self.settings.remote_penalty };
        let share = view.traffic_share(now, self.settings.slow_start);
        (outstanding + 1.0 + remote_penalty) / (f64::from(view.report.capacity.max(1)) * share)
    }
}

impl UpstreamView {
    /// Time of the agent's last load report.
    pub fn reported_at(&self) -> Moment {
        self.reported_at
    }

    /// Number of this entry's attempts in progress at the upstream.
    pub fn own_attempts(&self) -> u32 {
        self.own_attempts
    }

    fn new(now: Moment, is_local: bool, report: UpstreamReport) -> Self {
        Self {
            report,
            is_local,
            reported_at: now,
            own_attempts: 0,
            attempts_since_report: 0,
            failures: 0,
            last_failure: None,
            ejections: 0,
            ejected_until: Moment(0),
            readmitted_at: None,
        }
    }

    fn record_result(&mut self, now: Moment, healthy: bool, settings: &RoutingSettings) {
        const MAX_DOUBLINGS: u32 = 5;
        if healthy {
            self.failures = 0;
            self.ejections = 0;
            return;
        }
        // A connection that breaks fails all its attempts at once; that counts as one failure.
        if self.last_failure.is_some_and(|before| now.since(before) < FAILURE_WINDOW) {
            return;
        }
        self.last_failure = Some(now);
        self.failures += 1;
        if self.failures >= settings.eject_after {
            let span = settings.eject_for.0 << self.ejections.min(MAX_DOUBLINGS);
            self.ejected_until = now + Millis(span);
            self.readmitted_at = Some(self.ejected_until);
            self.ejections += 1;
            // A single failure after the ejection ejects it again.
            self.failures = settings.eject_after.saturating_sub(1);
        }
    }

    fn traffic_share(&self, now: Moment, slow_start: Millis) -> f64 {
        const MIN_SHARE: f64 = 0.1;
        let Some(readmitted_at) = self.readmitted_at else { return 1.0 };
        let progress = now.since(readmitted_at).0 as f64 / slow_start.0.max(1) as f64;
        progress.clamp(MIN_SHARE, 1.0)
    }
}
