//! What an entry makes of the store's answers, and of its silence.

use std::net::IpAddr;

use log::{info, warn};
use mustardrill_types::{FastSet, InstanceId, Moment};

use crate::direct::event::DirectEffect;
use crate::direct::fleet::page::{FleetChange, FleetPage, UpstreamRecord};
use crate::direct::fleet::upstream::LapseCause;
use crate::direct::reducer::DirectReducer;
use crate::direct::store::freshness::{ProofClock, returned_at};
use crate::direct::versions::table::NamingTime;

impl DirectReducer {
    /// Takes what the store tells; the call was sent, or proves the configuration, at `sent`.
    pub(in crate::direct) fn fleet_seen(
        &mut self,
        now: Moment,
        page: FleetPage,
        sent: Moment,
    ) -> Vec<DirectEffect> {
        let was_away = std::mem::take(&mut self.is_store_unreachable);
        self.note_contact(now, sent, was_away);
        let returned = self.note_return(now, &page);
        let is_start = self.store_freshness.last().is_none();
        self.store_revision = page.at;
        self.store_era = page.era;
        let time = self.naming_time(now, sent, was_away);
        self.store_read_at = now;
        if page.whole {
            self.forget_missing(now, &page, returned);
        }
        let mut effects = if returned {
            self.take_older(now, time, page.changes)
        } else {
            self.take_changes(now, time, page.changes, page.whole)
        };
        if page.whole {
            effects.extend(self.tell_newest());
        }
        if is_start && !self.peers.is_empty() {
            self.peer_generation.await_from(now);
        }
        self.store_freshness.prove(sent);
        self.prove_config(sent);
        self.settle_lapsed(now);
        self.settle_namings(now);
        effects.extend(self.dispatch_all_waiting(now));
        if !self.peer_generation.is_awaited(now) {
            effects.extend(self.release_all_held(now));
        }
        effects
    }

    /// Notes that the store was there at `sent`.
    fn note_contact(&mut self, now: Moment, sent: Moment, was_away: bool) {
        self.store_availability.answered(now, sent, self.settings.forgetting_outage);
        if was_away {
            let answering = self.store_availability.span().map_or(now, |span| span.since);
            info!(
                "dependency=store outcome=regained proof_age={} answering={}",
                age_text(&self.store_freshness, now),
                now.since(answering)
            );
        }
    }

    /// Notes whether a page is the first since the store came back from an older copy.
    fn note_return(&mut self, now: Moment, page: &FleetPage) -> bool {
        let returned =
            page.whole && self.store_freshness.last().is_some() && page.era > self.store_era;
        if returned {
            warn!(
                "dependency=store outcome=returned era={} before={} revision={} read={}",
                page.era, self.store_era, page.at, self.store_revision
            );
            self.store_availability.returned(returned_at(now, self.store_freshness.last()));
            self.store_incomplete_until = now + self.settings.expiry_grace;
        }
        returned
    }

    /// Notes that the store held the newest configuration at `sent`. One that came back from an older
    /// copy may have lost a configuration that nobody had read, until the operator has written again.
    fn prove_config(&mut self, sent: Moment) {
        if sent >= self.store_incomplete_until {
            self.config_freshness.prove(sent);
        }
    }

    fn take_changes(
        &mut self,
        now: Moment,
        time: NamingTime,
        changes: Vec<FleetChange>,
        is_whole: bool,
    ) -> Vec<DirectEffect> {
        let mut effects = Vec::new();
        for change in changes {
            if let (FleetChange::VersionNamed(model, version), false) = (&change, is_whole) {
                let machines = self.near_machines();
                effects.push(DirectEffect::NotifyAgents(model.clone(), *version, machines));
            }
            if let FleetChange::Quarantined(digest) = &change {
                effects.extend(self.quarantine_seen(now, *digest));
            }
            self.apply(now, time, change);
        }
        effects
    }

    /// Takes over what an older copy of the store tells: what is known to be newer stays.
    fn take_older(
        &mut self,
        now: Moment,
        time: NamingTime,
        changes: Vec<FleetChange>,
    ) -> Vec<DirectEffect> {
        for change in changes {
            match change {
                FleetChange::Upstream(record) => {
                    let is_served = self.is_served(&record);
                    self.upstreams.register_older(now, record, is_served);
                }
                // Those that hold are remembered here, and others may have ended since.
                FleetChange::Quarantined(_) => {}
                other => self.apply(now, time, other),
            }
        }
        self.keep_quarantines_again(now)
    }

    /// Whether the configuration names an upstream's service, as far as there is one.
    fn is_served(&self, record: &UpstreamRecord) -> bool {
        let document = self.document.as_ref();
        document.is_none_or(|document| document.service(&record.service).is_some())
    }

    /// Tells agents near by of what was found at a start: it may have been named while no entry ran,
    /// and the calls of agents may hang in a store that fell silent before.
    fn tell_newest(&self) -> Vec<DirectEffect> {
        let machines = self.near_machines();
        let newest = self.versions.all_newest();
        newest
            .map(|(model, version)| DirectEffect::NotifyAgents(model, version, machines.clone()))
            .collect()
    }

    /// The machines of this data centre's engines, beside which agents run.
    ///
    /// An agent that the store turns away, or whose watch hangs, would hear of a version too late
    /// to have it before the engine's older one may no longer be used.
    fn near_machines(&self) -> Vec<IpAddr> {
        let ids = self.upstreams.ids();
        let records = ids.iter().filter_map(|id| Some(&self.upstreams.get(id)?.record));
        let near = records.filter(|it| it.data_centre == self.settings.data_centre);
        let is_engine = |service| {
            let profile = self.document.as_ref().and_then(|document| document.service(service));
            profile.is_some_and(|profile| profile.engine.is_some())
        };
        near.filter(|it| is_engine(&it.service)).map(|it| it.address.ip()).collect()
    }

    fn forget_missing(&mut self, now: Moment, page: &FleetPage, returned: bool) {
        let mut present = FastSet::default();
        if returned {
            // Who is missing may have registered since the copy was made.
            self.unconfirmed_peers = self.peers.iter().map(|peer| peer.id.clone()).collect();
        } else {
            self.peers.drain(..).for_each(|peer| self.entry_counter.note(now, &peer.id));
        }
        let cause = if returned { LapseCause::Return } else { LapseCause::Outage };
        for change in &page.changes {
            if let FleetChange::Upstream(record) = change {
                present.insert(record.id.clone());
            }
        }
        for id in self.upstreams.ids() {
            if !present.contains(&id) {
                self.upstreams.lapse(now, &id, self.return_limit(), cause);
            }
        }
    }

    /// Until when an upstream that the store lists no more may be one that it forgot.
    pub(in crate::direct) fn return_limit(&self) -> Option<Moment> {
        self.store_availability.return_limit(self.settings.expiry_grace)
    }

    /// Forgets upstreams that the store still lists no more after they had the time to be back.
    pub(in crate::direct) fn settle_lapsed(&mut self, now: Moment) {
        if self.return_limit().is_none_or(|limit| self.store_freshness.reaches(limit)) {
            self.upstreams.forget_lapsed(now);
            for id in std::mem::take(&mut self.unconfirmed_peers) {
                self.forget_peer(now, &id);
            }
        }
    }

    fn forget_peer(&mut self, now: Moment, id: &InstanceId) {
        self.entry_counter.note(now, id);
        self.peers.retain(|peer| peer.id != *id);
        self.upstreams.heard.forget(id);
    }

    fn apply(&mut self, now: Moment, time: NamingTime, change: FleetChange) {
        match change {
            FleetChange::Configured(document) => {
                let current = self.document.as_ref().map(|document| document.generation);
                let newer = current.is_none_or(|generation| document.generation > generation);
                info!(
                    "config generation={} before={} outcome={}",
                    document.generation,
                    current.unwrap_or_default(),
                    if newer { "applied" } else { "kept" }
                );
                if newer {
                    self.document = Some(document);
                }
            }
            FleetChange::Upstream(record) => {
                let is_served = self.is_served(&record);
                self.upstreams.register(now, record, is_served);
            }
            FleetChange::UpstreamVoid(id) => self.upstreams.void(&id),
            FleetChange::UpstreamGone(id) => {
                self.upstreams.lapse(now, &id, self.return_limit(), LapseCause::Outage);
            }
            FleetChange::VersionNamed(model, version) => {
                self.version_named(now, &model, version, time);
            }
            // Its effects are those of the page.
            FleetChange::Quarantined(_) => {}
            FleetChange::Peer(record) => {
                if record.id != self.settings.own_id {
                    self.unconfirmed_peers.remove(&record.id);
                    self.peers.retain(|peer| peer.id != record.id);
                    self.peers.push(record);
                }
            }
            FleetChange::PeerGone(id) => self.forget_peer(now, &id),
        }
    }

    /// Notes that the store does not answer: whoever waits for it waits no longer.
    pub(in crate::direct) fn store_failed(&mut self, now: Moment) -> Vec<DirectEffect> {
        if !self.is_store_unreachable {
            warn!(
                "dependency=store outcome=lost proof_age={}",
                age_text(&self.store_freshness, now)
            );
        }
        self.is_store_unreachable = true;
        self.release_all_held(now)
    }
}

fn age_text(proof: &ProofClock, now: Moment) -> String {
    proof.age(now).map_or("none".into(), |age| age.to_string())
}
