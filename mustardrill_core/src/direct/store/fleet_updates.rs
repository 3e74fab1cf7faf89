//! Applies the store's answers, and its failure to answer, to the state of an entry.

use std::net::IpAddr;
use std::sync::Arc;

use log::{info, warn};
use mustardrill_types::{FastSet, InstanceId, Moment};

use crate::direct::event::DirectEffect;
use crate::direct::fleet::update::{
    FleetChange, FleetUpdate, UnreadableConfiguration, UpstreamRecord,
};
use crate::direct::fleet::upstream::ExpiryCause;
use crate::direct::reducer::DirectReducer;
use crate::direct::route::RouteDocument;
use crate::direct::store::availability::StoreOutage;
use crate::direct::store::freshness::{FreshnessClock, earliest_restore_time};
use crate::direct::versions::table::AnnouncementTime;

impl DirectReducer {
    /// Applies an update from the store. `sent` is when the call was sent, or a later moment for
    /// which its answer confirms the configuration as current. An update that may continue confirms
    /// nothing.
    pub(in crate::direct) fn apply_fleet_update(
        &mut self,
        now: Moment,
        update: FleetUpdate,
        sent: Moment,
    ) -> Vec<DirectEffect> {
        let was_unavailable = std::mem::take(&mut self.is_store_unreachable);
        self.record_availability(now, sent, was_unavailable);
        let is_restored = self.detect_restore(now, &update);
        let is_first_read = self.store_contact.last_confirmed().is_none();
        self.store_revision = update.revision;
        self.store_era = update.era;
        let time = self.announcement_time(now);
        if self.is_listing_known(now) {
            self.membership.record_answer(now, self.settings.retry_share.window);
        }
        if update.is_snapshot {
            self.expire_missing(now, &update, is_restored);
            self.upstreams.evacuations.drop_missing(now, &update, is_restored);
        }
        let mut effects = if is_restored {
            self.apply_older_copy(now, time, update.changes)
        } else {
            self.apply_changes(now, time, update.changes, update.is_snapshot)
        };
        if update.is_snapshot {
            effects.extend(self.notify_agents_of_newest());
        }
        if is_first_read && !self.peers.is_empty() {
            self.peer_generation.start_wait(now);
        }
        self.store_contact.confirm(sent);
        if !update.may_continue {
            effects.extend(self.confirm_read(now, sent));
            return effects;
        }
        self.update_shares(now);
        self.settle_announcements(now);
        effects.extend(self.leave_evacuated(now));
        effects.extend(self.dispatch_all_waiting(now));
        effects
    }

    /// Records that everything the store held at `moment` has been applied.
    pub(in crate::direct) fn confirm_read(
        &mut self,
        now: Moment,
        moment: Moment,
    ) -> Vec<DirectEffect> {
        self.store_freshness.confirm(moment);
        self.update_shares(now);
        self.confirm_config(moment);
        self.remove_unreturned(now);
        self.settle_announcements(now);
        let mut effects = self.leave_evacuated(now);
        effects.extend(self.dispatch_all_waiting(now));
        if !self.peer_generation.is_awaited(now) {
            effects.extend(self.release_all_held(now));
        }
        effects
    }

    /// Records that the store was available at `sent`.
    fn record_availability(&mut self, now: Moment, sent: Moment, was_unavailable: bool) {
        self.store_availability.record_answer(now, sent, self.settings.registration_expiry);
        let answered_before = std::mem::replace(&mut self.store_answered_at, now);
        if was_unavailable {
            self.store_outage = Some(StoreOutage { answered_before, answered_again: now });
            let answering = self.store_availability.span().map_or(now, |span| span.since);
            info!(
                "dependency=store outcome=regained proof_age={} answering={}",
                format_age(&self.store_freshness, now),
                now.since(answering)
            );
        }
    }

    /// Returns whether an update is the first one since the store was restored from an older copy,
    /// and records the restore.
    fn detect_restore(&mut self, now: Moment, update: &FleetUpdate) -> bool {
        let is_restored = update.is_snapshot
            && self.store_contact.last_confirmed().is_some()
            && update.era > self.store_era;
        if is_restored {
            warn!(
                "dependency=store outcome=returned era={} before={} revision={} read={}",
                update.era, self.store_era, update.revision, self.store_revision
            );
            self.store_availability
                .record_restore(earliest_restore_time(now, self.store_contact.last_confirmed()));
            self.store_incomplete_until = now + self.settings.expiry_grace;
        }
        is_restored
    }

    /// Records that the store held the newest configuration at `sent`. A store restored from an
    /// older copy may lack a configuration that no entry had read, until the operator has written
    /// again. One that cannot be decoded may have revoked any key of the one in force.
    fn confirm_config(&mut self, sent: Moment) {
        if sent >= self.store_incomplete_until && self.unreadable_config.is_none() {
            self.config_freshness.confirm(sent);
        }
    }

    fn apply_changes(
        &mut self,
        now: Moment,
        time: AnnouncementTime,
        changes: Vec<FleetChange>,
        is_snapshot: bool,
    ) -> Vec<DirectEffect> {
        let mut effects = Vec::new();
        for change in changes {
            if let (FleetChange::VersionAnnounced(model, version), false) = (&change, is_snapshot) {
                let machines = self.local_engine_machines();
                effects.push(DirectEffect::NotifyAgents(model.clone(), *version, machines));
            }
            if let FleetChange::Quarantined(subject, span) = &change {
                effects.extend(self.apply_stored_quarantine(now, subject.clone(), *span));
            }
            self.apply_change(now, time, change);
        }
        effects
    }

    /// Applies a snapshot from an older copy of the store, without reverting what is known to be
    /// newer.
    fn apply_older_copy(
        &mut self,
        now: Moment,
        time: AnnouncementTime,
        changes: Vec<FleetChange>,
    ) -> Vec<DirectEffect> {
        for change in changes {
            match change {
                FleetChange::Upstream(record) => {
                    let is_served = self.is_service_configured(&record);
                    self.upstreams.register_from_older_copy(now, record, is_served);
                }
                // Quarantines in force are known here, and others in the copy may have ended since.
                FleetChange::Quarantined(..) => {}
                other => self.apply_change(now, time, other),
            }
        }
        self.rewrite_quarantines(now)
    }

    /// Whether the configuration names an upstream's service; true as long as there is none.
    fn is_service_configured(&self, record: &UpstreamRecord) -> bool {
        let document = self.document.as_ref();
        document.is_none_or(|document| document.service(&record.service).is_some())
    }

    /// Notifies local agents of the newest versions in a snapshot. A version may have been
    /// announced while no entry was running, and the agents' calls may hang in a store that had
    /// stopped answering.
    fn notify_agents_of_newest(&self) -> Vec<DirectEffect> {
        let machines = self.local_engine_machines();
        let newest = self.versions.all_newest();
        newest
            .map(|(model, version)| DirectEffect::NotifyAgents(model, version, machines.clone()))
            .collect()
    }

    /// Returns the machines of this data centre's engines; an agent runs on each of them.
    ///
    /// An agent that the store refuses, or whose watch hangs, would learn of a version too late to
    /// provide it before its engine's older version may no longer be used.
    fn local_engine_machines(&self) -> Vec<IpAddr> {
        let ids = self.upstreams.ids();
        let records = ids.iter().filter_map(|id| Some(&self.upstreams.get(id)?.record));
        let local = records.filter(|record| record.data_centre == self.settings.data_centre);
        let is_engine = |service| {
            let profile = self.document.as_ref().and_then(|document| document.service(service));
            profile.is_some_and(|profile| profile.engine.is_some())
        };
        local
            .filter(|record| is_engine(&record.service))
            .map(|record| record.address.ip())
            .collect()
    }

    fn expire_missing(&mut self, now: Moment, update: &FleetUpdate, is_restored: bool) {
        let mut present = FastSet::default();
        if is_restored {
            // A missing entry may have registered after the copy was made.
            self.unconfirmed_peers = self.peers.iter().map(|peer| peer.id.clone()).collect();
        } else {
            self.peers.drain(..).for_each(|peer| self.entry_counter.record_activity(now, &peer.id));
        }
        let cause = if is_restored { ExpiryCause::Restore } else { ExpiryCause::Outage };
        for change in &update.changes {
            if let FleetChange::Upstream(record) = change {
                present.insert(record.id.clone());
            }
        }
        for id in self.upstreams.ids() {
            if !present.contains(&id) {
                self.upstreams.expire(now, &id, self.reregistration_deadline(), cause);
            }
        }
    }

    /// Returns the moment until which a missing registration may be one that the store has lost.
    pub(in crate::direct) fn reregistration_deadline(&self) -> Option<Moment> {
        self.store_availability.reregistration_deadline(self.settings.expiry_grace)
    }

    /// Removes upstreams and peers that are still missing after they had the time to register
    /// again.
    pub(in crate::direct) fn remove_unreturned(&mut self, now: Moment) {
        if self
            .reregistration_deadline()
            .is_none_or(|limit| self.store_freshness.is_confirmed_since(limit))
        {
            self.upstreams.remove_expired(now);
            self.upstreams.evacuations.drop_unconfirmed(now);
            for id in std::mem::take(&mut self.unconfirmed_peers) {
                self.remove_peer(now, &id);
            }
        }
    }

    fn remove_peer(&mut self, now: Moment, id: &InstanceId) {
        self.entry_counter.record_activity(now, id);
        self.peers.retain(|peer| peer.id != *id);
        self.upstreams.peer_loads.remove_peer(id);
    }

    fn apply_change(&mut self, now: Moment, time: AnnouncementTime, change: FleetChange) {
        match change {
            FleetChange::Configured(document) => self.apply_configuration(document),
            FleetChange::ConfigurationUnreadable(unreadable) => {
                self.record_unreadable_configuration(unreadable)
            }
            FleetChange::Upstream(record) => {
                let is_served = self.is_service_configured(&record);
                self.upstreams.register(now, record, is_served);
            }
            FleetChange::UpstreamInvalid(id) => self.upstreams.remove_invalid(now, &id),
            FleetChange::UpstreamGone(id) => {
                self.upstreams.expire(
                    now,
                    &id,
                    self.reregistration_deadline(),
                    ExpiryCause::Outage,
                );
            }
            FleetChange::VersionAnnounced(model, version) => {
                self.record_announcement(now, &model, version, time);
            }
            FleetChange::LoadRecorded(record) => self.upstreams.loads.apply(record),
            FleetChange::EvacuationRequested(data_centre) => {
                self.begin_evacuation(now, data_centre)
            }
            FleetChange::EvacuationEnded(data_centre) => {
                self.upstreams.evacuations.end(now, &data_centre)
            }
            // Handled in `apply_changes`, which collects the effects.
            FleetChange::Quarantined(..) => {}
            FleetChange::Peer(record) => {
                if record.id != self.settings.own_id {
                    self.unconfirmed_peers.remove(&record.id);
                    self.peers.retain(|peer| peer.id != record.id);
                    self.peers.push(record);
                }
            }
            FleetChange::PeerGone(id) => self.remove_peer(now, &id),
        }
    }

    fn apply_configuration(&mut self, document: Arc<RouteDocument>) {
        let current = self.document.as_ref().map(|document| document.generation);
        let is_newer = current.is_none_or(|generation| document.generation > generation);
        info!(
            "config generation={} before={} outcome={}",
            document.generation,
            current.unwrap_or_default(),
            if is_newer { "applied" } else { "kept" }
        );
        // Of a generation that could not be decoded either, the order of the store decides.
        let unreadable = self.unreadable_config.as_ref().and_then(|it| it.generation);
        if unreadable.is_none_or(|generation| document.generation >= generation) {
            self.unreadable_config = None;
        }
        if is_newer {
            self.refresh_region_limits(&document);
            self.document = Some(document);
        }
    }

    /// Records a configuration that cannot be decoded, and applies its keys where those can be.
    fn record_unreadable_configuration(&mut self, unreadable: UnreadableConfiguration) {
        let current = self.document.as_ref().map(|document| document.generation);
        if unreadable.generation.is_some_and(|generation| Some(generation) <= current) {
            return;
        }
        warn!(
            "config generation={} before={} outcome=unreadable keys={}",
            unreadable.generation.map_or("unknown".into(), |generation| generation.to_string()),
            current.unwrap_or_default(),
            if unreadable.customers.is_some() { "applied" } else { "unknown" }
        );
        if let (Some(document), Some(customers)) = (&self.document, &unreadable.customers) {
            let document = RouteDocument::clone(document).with_customers(customers.clone());
            self.refresh_region_limits(&document);
            self.document = Some(Arc::new(document));
        }
        self.unreadable_config = Some(unreadable);
    }

    /// Records that the store does not answer, and releases the requests that are held for its
    /// answer.
    pub(in crate::direct) fn record_store_failure(&mut self, now: Moment) -> Vec<DirectEffect> {
        if !self.is_store_unreachable {
            warn!(
                "dependency=store outcome=lost proof_age={}",
                format_age(&self.store_freshness, now)
            );
        }
        self.is_store_unreachable = true;
        self.release_all_held(now)
    }
}

fn format_age(clock: &FreshnessClock, now: Moment) -> String {
    clock.age(now).map_or("none".into(), |age| age.to_string())
}
