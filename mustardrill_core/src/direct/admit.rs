//! Admission: whether a request may be served under the configuration, which must be confirmed as
//! current.

use log::info;
use mustardrill_types::{Millis, Moment, ResultCode, ServiceName};
use rand::Rng;

use crate::direct::event::{DirectEffect, DirectRequest, RefusalPlan, RequestNumber};
use crate::direct::locality::regions::RegionLimits;
use crate::direct::placement::forecast::EngineForecast;
use crate::direct::reducer::DirectReducer;
use crate::direct::request::RequestState;
use crate::direct::route::{CustomerRecord, RouteDocument, RouteRule};

/// When a caller may retry at an entry whose configuration is not confirmed as current.
///
/// Another entry may have a current one, and the load balancer gives each new connection to another
/// entry.
const NOT_CURRENT_RETRY: Millis = Millis(300);

impl DirectReducer {
    /// Admits a new request, holds it until the store answers, or refuses it.
    pub(super) fn admit_arrival(
        &mut self,
        now: Moment,
        request: DirectRequest,
    ) -> Vec<DirectEffect> {
        // The store is expected to answer soon.
        let may_hold = !self.is_store_unreachable;
        self.admit_or_hold(now, request, may_hold)
    }

    /// Admits or refuses a request that was held.
    pub(super) fn release_held(
        &mut self,
        now: Moment,
        request: DirectRequest,
    ) -> Vec<DirectEffect> {
        self.admit_or_hold(now, request, false)
    }

    fn admit_or_hold(
        &mut self,
        now: Moment,
        request: DirectRequest,
        may_hold: bool,
    ) -> Vec<DirectEffect> {
        let document = self.document.clone();
        match self.check_admission(now, document.as_deref(), &request) {
            Ok((route, customer)) => self.begin_request(now, request, route, customer),
            Err(plan) if may_hold && plan.code == ResultCode::NotCurrent => {
                info!("request={} decision=hold reason=not-current", request.attempt_id);
                self.held_requests.hold(request);
                Vec::new()
            }
            Err(plan) => self.refuse_arrival(now, &request, plan),
        }
    }

    /// Admits or refuses all held requests.
    pub(super) fn release_all_held(&mut self, now: Moment) -> Vec<DirectEffect> {
        let held = self.held_requests.take_all();
        held.flat_map(|request| self.release_held(now, request)).collect()
    }

    /// What is known of a configuration: when it was confirmed as current, and whether peers or the
    /// store show a newer one.
    pub(super) fn config_standing(&self, now: Moment, document: &RouteDocument) -> ConfigStanding {
        let is_confirmed = self.config_freshness.is_fresh(now, self.settings.freshness_limit)
            && self.peer_generation.allows(now, document.generation);
        match (is_confirmed, &self.unreadable_config) {
            (false, _) => ConfigStanding::Unconfirmed,
            (true, Some(_)) => ConfigStanding::Superseded,
            (true, None) => ConfigStanding::Newest,
        }
    }

    fn begin_request(
        &mut self,
        now: Moment,
        request: DirectRequest,
        route: &RouteRule,
        customer: Option<&CustomerRecord>,
    ) -> Vec<DirectEffect> {
        let number = request.number;
        let service = route.choose_service(self.random.random()).clone();
        self.record_earning_request(now, &service);
        self.silence_allowances.entry(service.clone()).or_default().record_request();
        let profile = self.engine_profile(&service);
        let large = profile.is_some_and(|it| EngineForecast::new(it).is_large(request.size));
        let state = RequestState::new(request, route, service, customer, large);
        self.requests.insert(number, state);
        self.record_demand(now, number);
        self.hold_suspect(now, number).unwrap_or_else(|| self.dispatch_or_queue(now, number))
    }

    fn refuse_arrival(
        &self,
        now: Moment,
        request: &DirectRequest,
        plan: RefusalPlan,
    ) -> Vec<DirectEffect> {
        info!(
            "request={} decision=refuse code={} generation={} proof_age={}",
            request.attempt_id,
            plan.code,
            self.document.as_ref().map_or(0, |document| document.generation.0),
            self.config_freshness.age(now).map_or(-1, |age| age.0 as i64),
        );
        vec![DirectEffect::Refuse(request.number, plan)]
    }

    /// Checks the caller and the path. Returns the route and the customer of a request that may be
    /// served.
    fn check_admission<'a>(
        &self,
        now: Moment,
        document: Option<&'a RouteDocument>,
        request: &DirectRequest,
    ) -> Result<(&'a RouteRule, Option<&'a CustomerRecord>), RefusalPlan> {
        let refuse = |code| {
            let is_stale = code == ResultCode::NotCurrent;
            RefusalPlan { code, retry_after: if is_stale { NOT_CURRENT_RETRY } else { Millis(0) } }
        };
        let document = document.ok_or(refuse(ResultCode::NotCurrent))?;
        let standing = self.config_standing(now, document);
        let allowed = check_access(
            document,
            standing,
            &request.host,
            &request.path,
            request.api_key.as_deref(),
        );
        allowed.map_err(refuse)
    }

    /// Checks again, under the configuration in force, whether an admitted request may be sent.
    /// Assigns it to another service or customer where its route or its key now belongs to another.
    pub(super) fn readmit(&mut self, now: Moment, number: RequestNumber) -> Result<(), ResultCode> {
        let document = self.document.clone().ok_or(ResultCode::NotCurrent)?;
        let standing = self.config_standing(now, &document);
        let Some(state) = self.requests.get_mut(&number) else { return Err(ResultCode::Withdrawn) };
        let key = state.api_key.as_deref();
        let (route, customer) = check_access(&document, standing, &state.host, &state.path, key)?;
        state.customer = customer.map(|customer| customer.name.clone());
        state.region_limits = RegionLimits::of(route, customer);
        if !splits_to(route, &state.service) && !state.has_delivered {
            state.service = route.choose_service(self.random.random()).clone();
        }
        Ok(())
    }
}

/// What is known of the configuration in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::direct) enum ConfigStanding {
    /// It is confirmed as the newest one.
    Newest,
    /// There is a newer one that cannot be decoded; until lately this one was the newest.
    Superseded,
    /// Any of its keys may have been revoked since it was last confirmed.
    Unconfirmed,
}

/// Checks the caller and the path.
pub(in crate::direct) fn check_access<'a>(
    document: &'a RouteDocument,
    standing: ConfigStanding,
    host: &str,
    path: &str,
    key: Option<&str>,
) -> Result<(&'a RouteRule, Option<&'a CustomerRecord>), ResultCode> {
    // The newest configuration may know what this older one does not.
    let is_newest = standing == ConfigStanding::Newest;
    let unknown = |code| if is_newest { code } else { ResultCode::NotCurrent };
    let route = document.route(host, path).ok_or(unknown(ResultCode::UnknownModel))?;
    let customer = key.and_then(|key| document.customer(key));
    let needs_key = key.is_some() || !route.is_public;
    if customer.is_none() && needs_key && document.requires_keys() {
        return Err(unknown(ResultCode::UnknownCustomer));
    }
    // A key may have been revoked since the configuration was last confirmed.
    if customer.is_some() && standing == ConfigStanding::Unconfirmed {
        return Err(ResultCode::NotCurrent);
    }
    Ok((route, customer))
}

pub(in crate::direct) fn splits_to(route: &RouteRule, service: &ServiceName) -> bool {
    route.service_shares.iter().any(|(name, _)| name == service)
}
