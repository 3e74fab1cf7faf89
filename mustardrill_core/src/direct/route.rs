//! The operator's configuration: routes, services, customers and limits on requests.

use std::net::SocketAddr;

use mustardrill_types::{
    ByteSize, CustomerLabel, DataCentre, FastMap, FastSet, Generation, Millis, ModelName,
    RegionName, ServiceName,
};

use crate::direct::warmup::limit::WarmupLimit;

/// One generation of the configuration, always applied as a whole.
#[derive(Debug, Clone, Default)]
pub struct RouteDocument {
    /// The generation; a newer configuration has a higher one.
    pub generation: Generation,
    /// Limits on what callers may send.
    pub limits: CallerLimits,
    routes: Vec<RouteRule>,
    services: FastMap<ServiceName, ServiceProfile>,
    customers: Vec<CustomerRecord>,
    requires_keys: bool,
    /// Indexes into `routes` by host, longest prefix first.
    by_host: FastMap<Box<str>, Vec<usize>>,
    by_key: FastMap<Box<str>, usize>,
    /// The services to which routes of unlike priorities lead.
    unlike_services: FastSet<ServiceName>,
}

/// Maps requests of one host and path prefix to services.
#[derive(Debug, Clone)]
pub struct RouteRule {
    /// The name that the operator gave the route.
    pub name: Box<str>,
    /// The host that it matches, in lower case and without a port.
    pub host: Box<str>,
    /// The path prefix that it matches.
    pub prefix: Box<str>,
    /// The services and their traffic weights; at least one.
    pub service_shares: Vec<(ServiceName, u32)>,
    /// Whether a request may run more than once.
    pub repeat_rule: RepeatRule,
    /// The upper limit of a caller's timeout, and the timeout where the caller states none.
    pub timeout: Millis,
    /// The latency objective: within it an answer, or a stream's first event, has its full value.
    pub objective: Millis,
    /// The longest gap between events of a stream that still counts as in time.
    pub event_gap: Millis,
    /// How long callers wait for the first part of an answer before they leave; `None` where that is
    /// their timeout.
    pub patience: Option<Millis>,
    /// The priority; zero is the most urgent.
    pub priority: u8,
    /// To how many upstreams a request may be sent.
    pub attempt_limit: u32,
    /// Whether callers may omit the API key. A key that is sent must be valid all the same.
    pub is_public: bool,
    /// The regions in which its requests may be served; empty for any.
    pub allowed_regions: Box<[RegionName]>,
}

/// Whether a request may run again after an attempt that may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RepeatRule {
    /// Idempotent: it may run any number of times.
    Idempotent,
    /// It must not run more than once.
    Once,
    /// A stream that must not run more than once.
    StreamOnce,
    /// A stream that another upstream may continue after the last event received.
    StreamResumable,
}

/// A customer that the configuration knows.
#[derive(Debug, Clone)]
pub struct CustomerRecord {
    /// The customer's name, forwarded to upstreams.
    pub name: CustomerLabel,
    /// The customer's API keys.
    pub api_keys: Vec<Box<str>>,
    /// A priority that overrides the route's.
    pub priority: Option<u8>,
    /// The regions in which the customer's requests may be served; empty for any.
    pub allowed_regions: Box<[RegionName]>,
}

/// Limits on requests and connections of callers.
#[derive(Debug, Clone)]
pub struct CallerLimits {
    /// The maximum size of a request head.
    pub max_header: ByteSize,
    /// The maximum size of a request body.
    pub max_body: ByteSize,
    /// How long a caller may take to send the head of a request.
    pub header_timeout: Millis,
    /// How long an idle connection is kept open.
    pub idle_timeout: Millis,
}

/// The configured properties of a service.
#[derive(Debug, Clone, Default)]
pub struct ServiceProfile {
    /// The connections that one upstream accepts from all entries together; zero where not
    /// configured.
    pub connection_limit: u32,
    /// The performance profile of its upstreams, where they are model engines.
    pub engine: Option<EngineProfile>,
    /// The service's address as an origin, where it is the origin of weights.
    pub origin: Option<OriginProfile>,
    /// What its upstreams take while they are cold; `None` where they take any rate.
    pub warmup: Option<WarmupLimit>,
}

/// The origin, from which weights are fetched.
#[derive(Debug, Clone)]
pub struct OriginProfile {
    /// The origin's address.
    pub address: SocketAddr,
    /// The origin's data centre.
    pub data_centre: DataCentre,
    /// The bandwidth of its link, in Mbit/s; zero where not configured.
    pub link_mbps: f64,
    /// The connections that it accepts from all entries together; zero where not configured.
    pub connection_limit: u32,
}

/// The performance profile of a model engine, on which forecasts rely.
#[derive(Debug, Clone, Default)]
pub struct EngineProfile {
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// The models that it may serve.
    pub models: Vec<ModelProfile>,
    /// Decoding steps in one pass of the engine.
    pub steps_per_pass: u32,
    /// Duration of one decoding step, in milliseconds, without what running requests add.
    pub step_ms: f64,
    /// What each running request adds to a decoding step, in milliseconds.
    pub step_ms_per_request: f64,
    /// Prompt tokens prefilled per millisecond.
    pub prefill_tokens_per_ms: f64,
    /// What each million pairs of prompt tokens adds to the prefill, in milliseconds.
    pub prefill_ms_per_million_pairs: f64,
    /// The mean prompt length, in tokens.
    pub mean_prompt: u32,
    /// The mean answer length, in tokens.
    pub mean_answer: u32,
    /// The number of layers of the model.
    pub layers: u32,
    /// The number of chunks of a version.
    pub chunks: u32,
    /// The size of one chunk, in bytes.
    pub chunk_size: ByteSize,
}

/// A model that an engine may serve.
#[derive(Debug, Clone)]
pub struct ModelProfile {
    /// The model's name.
    pub name: ModelName,
    /// How long an engine takes to load all layers.
    pub load_time: Millis,
}

impl RouteDocument {
    /// Builds the indexes by host and by key. Without customers callers need no keys, unless
    /// [`Self::with_customers`] sets the empty list.
    pub fn new(
        generation: Generation,
        routes: Vec<RouteRule>,
        services: FastMap<ServiceName, ServiceProfile>,
        customers: Vec<CustomerRecord>,
        limits: CallerLimits,
    ) -> Self {
        let mut by_host: FastMap<Box<str>, Vec<usize>> = FastMap::default();
        for (index, route) in routes.iter().enumerate() {
            by_host.entry(route.host.clone()).or_default().push(index);
        }
        for indexes in by_host.values_mut() {
            indexes.sort_by_key(|index| std::cmp::Reverse(routes[*index].prefix.len()));
        }
        let unlike_services = services_of_unlike_priorities(&routes);
        let document = Self {
            generation,
            limits,
            routes,
            services,
            by_host,
            unlike_services,
            ..Self::default()
        };
        if customers.is_empty() { document } else { document.with_customers(customers) }
    }

    /// Replaces the customers, of which there may be none. Callers need keys from then on.
    pub fn with_customers(mut self, customers: Vec<CustomerRecord>) -> Self {
        self.by_key.clear();
        for (index, customer) in customers.iter().enumerate() {
            self.by_key.extend(customer.api_keys.iter().map(|key| (key.clone(), index)));
        }
        self.customers = customers;
        self.requires_keys = true;
        self
    }

    /// The route of `host` with the longest prefix of `path`. The port of `host` and its letter
    /// case are ignored.
    pub fn route(&self, host: &str, path: &str) -> Option<&RouteRule> {
        let host_name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let indexes = match self.by_host.get(host_name) {
            Some(indexes) => indexes,
            None => self.by_host.get(host_name.to_ascii_lowercase().as_str())?,
        };
        let routes = indexes.iter().map(|index| &self.routes[*index]);
        routes.into_iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// The customer that owns an API key.
    pub fn customer(&self, key: &str) -> Option<&CustomerRecord> {
        self.by_key.get(key).map(|index| &self.customers[*index])
    }

    /// Whether callers need keys: there is a list of customers, if only an empty one.
    pub fn requires_keys(&self) -> bool {
        self.requires_keys
    }

    /// The profile of a service; `None` where the configuration does not list it.
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceProfile> {
        self.services.get(name)
    }

    /// Whether routes of unlike priorities lead to a service.
    pub fn has_unlike_priorities(&self, service: &ServiceName) -> bool {
        self.unlike_services.contains(service)
    }

    /// The origin of weights: a service that is configured as one.
    pub fn origin(&self) -> Option<&OriginProfile> {
        self.services.values().find_map(|profile| profile.origin.as_ref())
    }

    /// All services, in no particular order.
    pub fn services(&self) -> impl Iterator<Item = (&ServiceName, &ServiceProfile)> {
        self.services.iter()
    }
}

fn services_of_unlike_priorities(routes: &[RouteRule]) -> FastSet<ServiceName> {
    let mut first: FastMap<&ServiceName, u8> = FastMap::default();
    let mut unlike = FastSet::default();
    for route in routes {
        for (service, _) in &route.service_shares {
            if *first.entry(service).or_insert(route.priority) != route.priority {
                unlike.insert(service.clone());
            }
        }
    }
    unlike
}

impl RouteRule {
    /// Chooses a service by its traffic weight. `random` is uniformly random over all of `u32`.
    pub fn choose_service(&self, random: u32) -> &ServiceName {
        let total: u64 = self.service_shares.iter().map(|(_, weight)| u64::from(*weight)).sum();
        let mut remaining = (u64::from(random) * total.max(1)) >> 32;
        for (service, weight) in &self.service_shares {
            if remaining < u64::from(*weight) {
                return service;
            }
            remaining -= u64::from(*weight);
        }
        &self.service_shares.last().expect("the split of a route lists at least one service").0
    }
}

impl RepeatRule {
    /// Whether the request may run again after an attempt that may have run.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::StreamResumable)
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::StreamOnce | Self::StreamResumable)
    }
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            max_header: ByteSize(16_384),
            max_body: ByteSize(4_194_304),
            header_timeout: Millis(10_000),
            idle_timeout: Millis(15_000),
        }
    }
}
