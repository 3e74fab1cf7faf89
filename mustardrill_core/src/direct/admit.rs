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
        window.record_request(now, &self.settings.retry);
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
        let refuse = |code| {
            let is_stale = code == ResultCode::NotCurrent;
            RefusalPlan { code, retry_after: if is_stale { PROOF_RETRY } else { Millis(0) } }
        };
        let document = document.ok_or(refuse(ResultCode::NotCurrent))?;
        let is_fresh = self.is_current(now, document);
        let allowed =
            allow(document, is_fresh, &request.host, &request.path, request.key.as_deref());
        allowed.map_err(refuse)
    }

    /// Whether a request that was admitted earlier may still be sent under the configuration in
    /// force; moves it to another service where its route moved, and to another customer where its
    /// key did.
    pub(super) fn readmit(&mut self, now: Moment, number: RequestNumber) -> Result<(), ResultCode> {
        let document = self.document.clone().ok_or(ResultCode::NotCurrent)?;
        let is_fresh = self.is_current(now, &document);
        let Some(state) = self.requests.get_mut(&number) else { return Err(ResultCode::Withdrawn) };
        let key = state.key.as_deref();
        let (route, customer) = allow(&document, is_fresh, &state.host, &state.path, key)?;
        state.customer = customer.map(|customer| customer.name.clone());
        if !serves(route, &state.service) && !state.delivered {
            state.service = route.service_for(self.random.random()).clone();
        }
        Ok(())
    }
}

/// Checks who calls and what, under a configuration that is proved to be the newest or is not.
fn allow<'a>(
    document: &'a RouteDocument,
    is_fresh: bool,
    host: &str,
    path: &str,
    key: Option<&str>,
) -> Result<(&'a RouteRule, Option<&'a CustomerRecord>), ResultCode> {
    // What an older configuration does not know, the newest one may.
    let unknown = |code| if is_fresh { code } else { ResultCode::NotCurrent };
    let route = document.route(host, path).ok_or(unknown(ResultCode::UnknownModel))?;
    let customer = key.and_then(|key| document.customer(key));
    if customer.is_none() && !route.public && document.has_customers() {
        return Err(unknown(ResultCode::UnknownCustomer));
    }
    // A key may have been taken away since the last proof.
    if customer.is_some() && !is_fresh {
        return Err(ResultCode::NotCurrent);
    }
    Ok((route, customer))
}

fn serves(route: &RouteRule, service: &ServiceName) -> bool {
    route.split.iter().any(|(name, _)| name == service)
}
