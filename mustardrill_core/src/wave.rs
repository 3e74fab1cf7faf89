//! Waves of a switch: who may load a new version now without taking capacity below the floor.

use mustardrill_types::{InstanceId, ManifestDigest};

use crate::rendezvous;

/// Whom an instance must wait for before it switches.
///
/// The instances of a service stand in the order that rendezvous hashing gives for the version.
/// As many as the floor spares switch at once; each further one follows the instance that stands
/// a wave before it. So one question to one peer is enough, however large the service.
pub fn predecessor(
    version: ManifestDigest,
    live: &[InstanceId],
    own: &InstanceId,
    floor_percent: u32,
) -> Option<InstanceId> {
    let (ranked, place) = order_of(version, live, own)?;
    let earlier = place.checked_sub(wave_size(live.len(), floor_percent))?;
    Some(ranked[earlier].clone())
}

/// Who waits for an instance; it is told once that instance has switched.
pub fn successor(
    version: ManifestDigest,
    live: &[InstanceId],
    own: &InstanceId,
    floor_percent: u32,
) -> Option<InstanceId> {
    let (ranked, place) = order_of(version, live, own)?;
    let later = place + wave_size(live.len(), floor_percent);
    ranked.get(later).map(|id| (*id).clone())
}

/// The order in which a service's instances switch, and the place of one of them.
fn order_of<'a>(
    version: ManifestDigest,
    live: &'a [InstanceId],
    own: &InstanceId,
) -> Option<(Vec<&'a InstanceId>, usize)> {
    let ranked = rendezvous::ranked(&version.0, live, |id| id.as_str());
    let place = ranked.iter().position(|id| *id == own)?;
    Some((ranked, place))
}

/// How many of `count` instances may switch at once; at least one, or nothing would ever move.
pub fn wave_size(count: usize, floor_percent: u32) -> usize {
    let spared = count * (100 - floor_percent.min(100)) as usize / 100;
    spared.max(1)
}
