//! Which versions of a model's weights a request may still start on.
//!
//! Versions may be announced while some entries are cut off from the store, or suspended. An entry
//! that learns of a version late must not grant the older one its full time once more, so the
//! announcement time is combined from what all entries know.

use mustardrill_types::{FastMap, Millis, ModelName, Moment, WeightVersion};

/// The bounds known for the time at which a version was announced.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnnouncementTime {
    /// The version was not announced before this.
    pub earliest: Moment,
    /// Some process knew of the version at this time.
    pub known_at: Moment,
}

/// What another entry knows of a version's announcement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AnnouncementReport {
    /// The model that the version belongs to.
    pub model: ModelName,
    /// The announced version.
    pub version: WeightVersion,
    /// The announcement time according to the reporting entry's own observations.
    pub time: AnnouncementTime,
}

/// A version and its announcement time.
#[derive(Debug)]
struct AnnouncedVersion {
    version: WeightVersion,
    /// From the store's answers to this process; `None` if only other entries reported the version.
    own_time: Option<AnnouncementTime>,
    /// From all sources.
    time: AnnouncementTime,
}

/// The announced versions of each model, with their announcement times.
#[derive(Debug, Default)]
pub struct VersionTable {
    /// In ascending order of versions.
    announced: FastMap<ModelName, Vec<AnnouncedVersion>>,
}

impl AnnouncementTime {
    /// An announcement that is learned of at `now`, and that was made between `earliest` and then.
    pub fn bounded(earliest: Moment, now: Moment) -> Self {
        Self { earliest, known_at: now }
    }

    /// The moment from which the version is taken to be announced: the earliest possible one.
    pub fn effective_at(&self) -> Moment {
        self.earliest.min(self.known_at)
    }

    /// Merges the bounds of another process.
    fn refine(&mut self, other: Self) {
        self.known_at = self.known_at.min(other.known_at);
        // A process that was suspended takes an old answer of the store for one of that moment, so
        // a lower bound past the time at which the version was known is dropped.
        let bounds = [self.earliest, other.earliest].into_iter();
        let consistent = bounds.filter(|earliest| *earliest <= self.known_at).max();
        self.earliest = consistent.unwrap_or(self.known_at);
    }
}

impl VersionTable {
    /// Records a version that the store shows; returns whether it is newer than all known before.
    pub fn announce(
        &mut self,
        model: &ModelName,
        version: WeightVersion,
        time: AnnouncementTime,
    ) -> bool {
        let versions = self.announced.entry(model.clone()).or_default();
        if let Some(announced) = versions.iter_mut().find(|announced| announced.version == version)
            && announced.own_time.is_none()
        {
            // Peers reported it before this process saw it.
            announced.own_time = Some(time);
            announced.time.refine(time);
        }
        if versions.last().is_some_and(|newest| newest.version >= version) {
            return false;
        }
        versions.push(AnnouncedVersion { version, own_time: Some(time), time });
        true
    }

    /// Merges what another entry knows of a version; returns whether the announcement time of any
    /// version changed.
    pub fn refine(&mut self, report: &AnnouncementReport) -> bool {
        let versions = self.announced.entry(report.model.clone()).or_default();
        let index = versions.partition_point(|announced| announced.version < report.version);
        match versions.get_mut(index) {
            Some(announced) if announced.version == report.version => {
                let before = announced.time.effective_at();
                announced.time.refine(report.time);
                announced.time.effective_at() != before
            }
            _ => {
                let announced =
                    AnnouncedVersion { version: report.version, own_time: None, time: report.time };
                versions.insert(index, announced);
                true
            }
        }
    }

    /// Takes versions learned of since the store came back at `returned` as announced then, if the
    /// store had answered nobody for `min_outage` or longer: the platform counts in the same way.
    pub fn count_from_return(&mut self, returned: Moment, min_outage: Millis) {
        for AnnouncedVersion { time, .. } in self.announced.values_mut().flatten() {
            let is_learned_after_return = time.known_at >= returned;
            // Versions present when this process started may have been announced at any time
            // before.
            let is_from_process_start = time.earliest == Moment(0);
            if is_learned_after_return
                && !is_from_process_start
                && returned.since(time.earliest) >= min_outage
            {
                time.earliest = returned;
            }
        }
    }

    /// Reports for other entries: the versions announced at `from` or later, by this process's own
    /// observations.
    pub fn reports(&self, from: Moment) -> Vec<AnnouncementReport> {
        let all = self.announced.iter().flat_map(|(model, versions)| {
            versions.iter().filter_map(|announced| {
                let (version, time) = (announced.version, announced.own_time?);
                Some(AnnouncementReport { model: model.clone(), version, time })
            })
        });
        all.filter(|report| report.time.effective_at() >= from).collect()
    }

    /// The newest version announced for a model.
    pub fn newest(&self, model: &ModelName) -> Option<WeightVersion> {
        self.announced.get(model)?.last().map(|newest| newest.version)
    }

    /// The newest announced version of each model.
    pub fn all_newest(&self) -> impl Iterator<Item = (ModelName, WeightVersion)> {
        let newest = self.announced.iter();
        newest.filter_map(|(model, versions)| Some((model.clone(), versions.last()?.version)))
    }

    /// The announcement time of the version that supersedes `version`: the earliest among all newer
    /// ones.
    pub fn superseded_at(&self, model: &ModelName, version: WeightVersion) -> Option<Moment> {
        let versions = self.announced.get(model)?;
        let newer = versions.iter().filter(|announced| announced.version > version);
        newer.map(|announced| announced.time.effective_at()).min()
    }

    /// The announcement time of a version, or `None` if it is not known.
    pub fn announced_at(&self, model: &ModelName, version: WeightVersion) -> Option<Moment> {
        let versions = self.announced.get(model)?;
        let announced = versions.iter().find(|announced| announced.version == version);
        announced.map(|announced| announced.time.effective_at())
    }

    /// The lowest version that a request may start on at `starts_at`: every version announced at
    /// least `bound` earlier has superseded those before it.
    pub fn floor(
        &self,
        starts_at: Moment,
        model: &ModelName,
        bound: Millis,
    ) -> Option<WeightVersion> {
        let versions = self.announced.get(model)?;
        let superseding = versions
            .iter()
            .rev()
            .find(|announced| starts_at.since(announced.time.effective_at()) >= bound);
        superseding.map(|announced| announced.version)
    }
}
