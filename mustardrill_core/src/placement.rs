//! Which instances serve which model: worked out alike by everybody who sees the same list.

use mustardrill_types::{InstanceId, ModelName, ServiceName};

use crate::document::CatalogueDocument;
use crate::rendezvous;

/// The instances that are to serve each model of a service.
///
/// Models choose in the order of their names, each by rendezvous hashing among the instances
/// that no earlier one took. Agents that see the same list agree without talking.
pub fn assigned(
    document: &CatalogueDocument,
    service: &ServiceName,
    live: &[InstanceId],
) -> Vec<(ModelName, Vec<InstanceId>)> {
    let mut free = live.to_vec();
    let mut result = Vec::new();
    for (model, weights) in document.weights_of(service) {
        let ranked = rendezvous::ranked(model.as_str().as_bytes(), &free, |id| id.as_str());
        let mut chosen: Vec<_> =
            ranked.into_iter().take(weights.replicas as usize).cloned().collect();
        chosen.sort();
        free.retain(|id| !chosen.contains(id));
        result.push((model.clone(), chosen));
    }
    result
}
