//! The operator's configuration: routes, services, customers and what callers may send.

use std::net::SocketAddr;

use mustardrill_types::{
    ByteSize, CustomerName, DataCentre, FastMap, Generation, Millis, ModelName, ServiceName,
};

/// One state of the configuration, taken over as a whole.
#[derive(Debug, Default)]
pub struct RouteDocument {
    /// Which state it is; a newer one's is higher.
    pub generation: Generation,
    /// What callers may send.
    pub limits: CallerLimits,
    routes: Vec<RouteRule>,
    services: FastMap<ServiceName, ServiceProfile>,
    customers: Vec<CustomerRecord>,
    /// The routes of a host, longest prefix first.
    by_host: FastMap<Box<str>, Vec<usize>>,
    by_key: FastMap<Box<str>, usize>,
}

/// Where requests of one host and path prefix go.
#[derive(Debug, Clone)]
pub struct RouteRule {
    /// The route's name.
    pub name: Box<str>,
    /// The host, in lower case and without a port.
    pub host: Box<str>,
    /// The path's beginning.
    pub prefix: Box<str>,
    /// The services and their weights; at least one.
    pub split: Vec<(ServiceName, u32)>,
    /// What may be repeated.
    pub repeat: RepeatRule,
    /// The longest that a caller is kept waiting.
    pub timeout: Millis,
    /// Within this an answer, or a stream's first event, has its full value.
    pub objective: Millis,
    /// The longest pause between events of a stream that is still in time.
    pub gap: Millis,
    /// The rank; zero is the most urgent.
    pub priority: u8,
    /// To how many upstreams one request may be sent.
    pub attempts: u32,
    /// Whether callers need no key.
    pub public: bool,
}

/// What may be done twice for one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RepeatRule {
    /// It may run more than once.
    Idempotent,
    /// It may run once at most.
    Once,
    /// A stream that may run once at most.
    StreamOnce,
    /// A stream that another upstream may go on with after the last event that came.
    StreamResumable,
}

/// A customer of the configuration.
#[derive(Debug, Clone)]
pub struct CustomerRecord {
    /// The name, which upstreams are told.
    pub name: CustomerName,
    /// The keys under which it calls.
    pub keys: Vec<Box<str>>,
    /// A rank that goes before the route's.
    pub priority: Option<u8>,
}

/// What a caller may send, and how long it may take.
#[derive(Debug, Clone)]
pub struct CallerLimits {
    /// The largest head of a request.
    pub header: ByteSize,
    /// The largest body of a request.
    pub body: ByteSize,
    /// How long an idle connection is kept.
    pub idle: Millis,
}

/// A service of the configuration.
#[derive(Debug, Clone, Default)]
pub struct ServiceProfile {
    /// The connections that one upstream takes from all callers together; zero where not told.
    pub connections: u32,
    /// How its upstreams work, where they are model engines.
    pub engine: Option<EngineProfile>,
    /// Where weights come from, where the service is their origin.
    pub origin: Option<OriginProfile>,
}

/// Where weights come from.
#[derive(Debug, Clone)]
pub struct OriginProfile {
    /// Where it listens.
    pub address: SocketAddr,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// What its link carries, in Mbit/s; zero where not told.
    pub link_mbps: f64,
    /// The connections that it takes from all callers together; zero where not told.
    pub connections: u32,
}

/// How a model engine works.
#[derive(Debug, Clone, Default)]
pub struct EngineProfile {
    /// Requests that it runs at once.
    pub slots: u32,
    /// The models that it may hold.
    pub models: Vec<ModelProfile>,
    /// Token steps in one pass.
    pub stride: u32,
    /// One token step, in milliseconds.
    pub step_ms: f64,
    /// What each running request adds to a step, in milliseconds.
    pub request_ms: f64,
    /// Prompt tokens read in a millisecond.
    pub read_per_ms: f64,
    /// What a million pairs of a prompt's tokens add to reading it, in milliseconds.
    pub pairs_ms: f64,
    /// The mean prompt, in tokens.
    pub usual_prompt: u32,
    /// The mean answer, in tokens.
    pub usual_answer: u32,
    /// The layers of the model.
    pub layers: u32,
    /// The chunks of a version.
    pub chunks: u32,
    /// The size of a chunk.
    pub chunk_size: ByteSize,
}

/// A model that an engine may hold.
#[derive(Debug, Clone)]
pub struct ModelProfile {
    /// Its name.
    pub name: ModelName,
    /// How long an engine takes to load all layers.
    pub load_time: Millis,
}

impl RouteDocument {
    /// A configuration with its indexes.
    pub fn new(
        generation: Generation,
        routes: Vec<RouteRule>,
        services: FastMap<ServiceName, ServiceProfile>,
        customers: Vec<CustomerRecord>,
        limits: CallerLimits,
    ) -> Self {
        let mut by_host: FastMap<Box<str>, Vec<usize>> = FastMap::default();
        for (place, route) in routes.iter().enumerate() {
            by_host.entry(route.host.clone()).or_default().push(place);
        }
        for places in by_host.values_mut() {
            places.sort_by_key(|place| std::cmp::Reverse(routes[*place].prefix.len()));
        }
        let mut by_key = FastMap::default();
        for (place, customer) in customers.iter().enumerate() {
            by_key.extend(customer.keys.iter().map(|key| (key.clone(), place)));
        }
        Self { generation, limits, routes, services, customers, by_host, by_key }
    }

    /// The route with the longest prefix that begins `path`, among those of `host`.
    pub fn route(&self, host: &str, path: &str) -> Option<&RouteRule> {
        let bare = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let places = match self.by_host.get(bare) {
            Some(places) => places,
            None => self.by_host.get(bare.to_ascii_lowercase().as_str())?,
        };
        let routes = places.iter().map(|place| &self.routes[*place]);
        routes.into_iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// Whose key it is.
    pub fn customer(&self, key: &str) -> Option<&CustomerRecord> {
        self.by_key.get(key).map(|place| &self.customers[*place])
    }

    /// Whether callers need keys at all.
    pub fn has_customers(&self) -> bool {
        !self.customers.is_empty()
    }

    /// A service.
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceProfile> {
        self.services.get(name)
    }

    /// Where weights come from.
    pub fn origin(&self) -> Option<&OriginProfile> {
        self.services.values().find_map(|profile| profile.origin.as_ref())
    }

    /// All services.
    pub fn services(&self) -> impl Iterator<Item = (&ServiceName, &ServiceProfile)> {
        self.services.iter()
    }
}

impl RouteRule {
    /// The service for a request whose lot is `lot`, drawn evenly from all numbers.
    pub fn service_for(&self, lot: u32) -> &ServiceName {
        let total: u64 = self.split.iter().map(|(_, weight)| u64::from(*weight)).sum();
        let mut place = (u64::from(lot) * total.max(1)) >> 32;
        for (service, weight) in &self.split {
            if place < u64::from(*weight) {
                return service;
            }
            place -= u64::from(*weight);
        }
        &self.split.last().expect("a route has a service").0
    }
}

impl RepeatRule {
    /// Whether it may be run again after an attempt that may have run.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::StreamResumable)
    }

    /// Whether the answer is a series of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::StreamOnce | Self::StreamResumable)
    }
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self { header: ByteSize(16_384), body: ByteSize(4_194_304), idle: Millis(15_000) }
    }
}
