//! The regions to which routes and customers bind their requests.

use mustardrill_types::{DataCentre, FastMap, RegionName};

use crate::direct::admit::{ConfigStanding, check_access};
use crate::direct::reducer::DirectReducer;
use crate::direct::route::{CustomerRecord, RouteDocument, RouteRule};

/// The region of each data centre that the settings name.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RegionMap(FastMap<DataCentre, RegionName>);

/// The regions in which one request may be served. Both its route and its customer may bind it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct RegionLimits {
    /// Each list binds; a list that names nothing is not among them.
    lists: Vec<Box<[RegionName]>>,
}

impl RegionMap {
    /// The region of a data centre; `None` where the settings do not name it.
    pub fn region_of(&self, data_centre: &DataCentre) -> Option<&RegionName> {
        self.0.get(data_centre)
    }
}

impl FromIterator<(DataCentre, RegionName)> for RegionMap {
    fn from_iter<T: IntoIterator<Item = (DataCentre, RegionName)>>(regions: T) -> Self {
        Self(regions.into_iter().collect())
    }
}

impl RegionLimits {
    /// The limits of a request on `route` by `customer`.
    pub(crate) fn of(route: &RouteRule, customer: Option<&CustomerRecord>) -> Self {
        let lists = [Some(&route.allowed_regions), customer.map(|it| &it.allowed_regions)];
        let lists = lists.into_iter().flatten().filter(|list| !list.is_empty());
        Self { lists: lists.cloned().collect() }
    }

    /// Whether the request is bound to regions at all.
    pub(crate) fn is_bound(&self) -> bool {
        !self.lists.is_empty()
    }

    /// Whether the request may be served in a region; `None` for a region that is not known, where
    /// no bound request may be served.
    pub(crate) fn permits(&self, region: Option<&RegionName>) -> bool {
        self.lists.iter().all(|list| region.is_some_and(|region| list.contains(region)))
    }
}

impl DirectReducer {
    /// Applies a new configuration's regions to the requests in progress. One whose route or key
    /// the configuration does not have keeps its limits until it is admitted anew.
    pub(in crate::direct) fn refresh_region_limits(&mut self, document: &RouteDocument) {
        for state in self.requests.values_mut() {
            let key = state.api_key.as_deref();
            let access =
                check_access(document, ConfigStanding::Newest, &state.host, &state.path, key);
            if let Ok((route, customer)) = access {
                state.region_limits = RegionLimits::of(route, customer);
            }
        }
    }
}
