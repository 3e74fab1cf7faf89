//! How urgent a request is.

use derive_more::Display;

/// The urgency of a request; the least goes first.
///
/// A customer's priority takes precedence over the route's. Among requests of customers with the
/// same priority, the route's decides.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[display("{priority}.{route_priority}")]
pub struct Urgency {
    /// The customer's priority, or the route's where the customer has none.
    pub priority: u8,
    /// The priority of the route.
    pub route_priority: u8,
}
