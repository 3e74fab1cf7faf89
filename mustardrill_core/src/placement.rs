//! Placement of models: which instances of a service serve which model.

use mustardrill_types::{InstanceId, ModelName, ServiceName};

use crate::document::CatalogueDocument;
use crate::rendezvous;

/// Assigns instances of a service to each of its models.
///
/// Models are processed in the order of their names. Each takes its number of replicas, or as many
/// as are left, by rendezvous hashing among the instances that no earlier model took. Agents with
/// the same list of instances compute the same assignment without coordination.
pub fn assign_instances(
    document: &CatalogueDocument,
    service: &ServiceName,
    live: &[InstanceId],
) -> Vec<(ModelName, Vec<InstanceId>)> {
    let mut unassigned = live.to_vec();
    let mut assignments = Vec::new();
    for (model, weights) in document.weights_for_service(service) {
        let ranked = rendezvous::ranked(model.as_str().as_bytes(), &unassigned, |id| id.as_str());
        let mut chosen: Vec<_> =
            ranked.into_iter().take(weights.replicas as usize).cloned().collect();
        chosen.sort();
        unassigned.retain(|id| !chosen.contains(id));
        assignments.push((model.clone(), chosen));
    }
    assignments
}
