//! Whether a request may be served, by the configuration and the proof that it is the newest.

use log::info;
use mustardrill_types::{Millis, Moment, ResultCode, ServiceName};
use rand::Rng;

use crate::direct::event::{DirectEffect, DirectRequest, RefusalPlan, RequestNumber};
use crate::direct::placing::forecast::EngineForecast;
use crate::direct::reducer::DirectReducer;
use crate::direct::request::RequestState;
use crate::direct::route::{CustomerRecord, RouteDocument, RouteRule};

/// When a caller may come back to an entry that has no proof of its configuration.
///
/// Another entry may have one, and the balancer gives each new connection to another.
const PROOF_RETRY: Millis = Millis(300);

impl DirectReducer {
    /// Takes a request that came now: begins it, holds it for the store's answer, or refuses it.
    pub(super) fn arrived(&mut self, now: Moment, request: DirectRequest) -> Vec<DirectEffect> {
        // The store is about to answer, as far as is known.
        let may_hold = !self.store_away;
        self.take(now, request, may_hold)
    }

    /// Begins or refuses a request that was held.
    pub(super) fn release_held(
        &mut self,
        now: Moment,
        request: DirectRequest,
    ) -> Vec<DirectEffect> {
        self.take(now, request, false)
    }

    fn take(&mut self, now: Moment, request: DirectRequest, may_hold: bool) -> Vec<DirectEffect> {
        let document = self.document.clone();
        match self.judge(now, document.as_deref(), &request) {
            Ok((route, customer)) => self.begin(now, request, route, customer),
            Err(plan) if may_hold && plan.code == ResultCode::NotCurrent => {
                info!("request={} decision=hold reason=not-current", request.attempt);
                self.held.hold(request);
                Vec::new()
            }
            Err(plan) => self.turn_away(now, &request, plan),
        }
    }

    /// Begins or refuses all requests that were held.
    pub(super) fn release_all_held(&mut self, now: Moment) -> Vec<DirectEffect> {
        let held = self.held.take_all();
        held.flat_map(|request| self.release_held(now, request)).collect()
    }

    /// Whether a configuration is proved to be the newest, and the others know no newer one.
    pub(super) fn is_current(&self, now: Moment, document: &RouteDocument) -> bool {
        self.config_proof.is_fresh(now, self.settings.proof_limit)
            && self.word.allows(now, document.generation)
    }

    fn begin(
        &mut self,
        now: Moment,
        request: DirectRequest,
        route: &RouteRule,
        customer: Option<&CustomerRecord>,
    ) -> Vec<DirectEffect> {
        let number = request.number;
        let service = route.service_for(self.random.random()).clone();
        let window = self.windows.entry(service.clone()).or_default();
        window.earn(now, &self.settings.retry);
        let customer = customer.map(|customer| (customer.name.clone(), customer.priority));
        let profile = self.profile(&service);
        let large = profile.is_some_and(|it| EngineForecast::new(it).is_large(request.size));
        let state = RequestState::new(request, route, service, customer, large);
        self.requests.insert(number, state);
        self.hold_suspect(now, number).unwrap_or_else(|| self.start(now, number))
    }

    fn turn_away(
        &self,
        now: Moment,
        request: &DirectRequest,
        plan: RefusalPlan,
    ) -> Vec<DirectEffect> {
        info!(
            "request={} decision=refuse code={} generation={} proof_age={}",
            request.attempt,
            plan.code,
            self.document.as_ref().map_or(0, |document| document.generation.0),
            self.config_proof.age(now).map_or(-1, |age| age.0 as i64),
        );
        vec![DirectEffect::Refuse(request.number, plan)]
    }

    /// Checks who calls and what: the route and the customer of a request that may be served.
    fn judge<'a>(
        &self,
        now: Moment,
        document: Option<&'a RouteDocument>,
        request: &DirectRequest,
    ) -> Result<(&'a RouteRule, Option<&'a CustomerRecord>), RefusalPlan> {
        let refuse = |code| RefusalPlan { code, retry_after: Millis(0) };
        let stale = RefusalPlan { code: ResultCode::NotCurrent, retry_after: PROOF_RETRY };
        let document = document.ok_or(stale)?;
        let is_fresh = self.is_current(now, document);
        let route = document.route(&request.host, &request.path);
        // What an older configuration does not know, the newest one may.
        let route = route.ok_or(if is_fresh { refuse(ResultCode::UnknownModel) } else { stale })?;
        let customer = request.key.as_deref().and_then(|key| document.customer(key));
        if customer.is_none() && !route.public && document.has_customers() {
            return Err(if is_fresh { refuse(ResultCode::UnknownCustomer) } else { stale });
        }
        // A key may have been taken away since the last proof.
        if customer.is_some() && !is_fresh {
            return Err(stale);
        }
        Ok((route, customer))
    }

    /// Whether a request that was admitted earlier may still be sent under the configuration in
    /// force; moves it to another service where its route moved.
    pub(super) fn readmit(&mut self, now: Moment, number: RequestNumber) -> Result<(), ResultCode> {
        let document = self.document.as_ref();
        let is_current = document.is_some_and(|document| self.is_current(now, document));
        let Some(state) = self.requests.get_mut(&number) else { return Err(ResultCode::Withdrawn) };
        let document = self.document.as_ref().ok_or(ResultCode::NotCurrent)?;
        if state.customer.is_some() {
            if !is_current {
                return Err(ResultCode::NotCurrent);
            }
            let key = state.key.as_deref().and_then(|key| document.customer(key));
            key.ok_or(ResultCode::UnknownCustomer)?;
        }
        let route = document.route(&state.host, &state.path).ok_or(ResultCode::UnknownModel)?;
        if !serves(route, &state.service) && !state.delivered {
            state.service = route.service_for(self.random.random()).clone();
        }
        Ok(())
    }
}

fn serves(route: &RouteRule, service: &ServiceName) -> bool {
    route.split.iter().any(|(name, _)| name == service)
}
