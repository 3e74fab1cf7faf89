//! Waves of a rolling update: which instances may switch to a new version at the same time without
//! taking the service's capacity below a floor.

use mustardrill_types::{InstanceId, ManifestDigest};

use crate::rendezvous;

/// Returns the instance that must have switched before `own` may; nothing for the first wave, and
/// where `own` is not in `live`.
///
/// The instances of a service are ordered by rendezvous hashing for the version. A first wave of as
/// many as the floor allows switches at once; each later instance waits for the one that is a
/// wave's size before it in the order. So each instance asks a single peer, however large the
/// service is.
pub fn predecessor(
    version: ManifestDigest,
    live: &[InstanceId],
    own: &InstanceId,
    floor_percent: u32,
) -> Option<InstanceId> {
    let (ranked, position) = switch_order(version, live, own)?;
    let earlier = position.checked_sub(wave_size(live.len(), floor_percent))?;
    Some(ranked[earlier].clone())
}

/// Returns the instance that waits for `own`, to be notified once `own` has switched; nothing in
/// the last wave.
pub fn successor(
    version: ManifestDigest,
    live: &[InstanceId],
    own: &InstanceId,
    floor_percent: u32,
) -> Option<InstanceId> {
    let (ranked, position) = switch_order(version, live, own)?;
    let later = position + wave_size(live.len(), floor_percent);
    ranked.get(later).map(|id| (*id).clone())
}

/// The order in which a service's instances switch, and the position of `own` in it.
fn switch_order<'a>(
    version: ManifestDigest,
    live: &'a [InstanceId],
    own: &InstanceId,
) -> Option<(Vec<&'a InstanceId>, usize)> {
    let ranked = rendezvous::ranked(&version.0, live, |id| id.as_str());
    let position = ranked.iter().position(|id| *id == own)?;
    Some((ranked, position))
}

/// How many of `count` instances may switch at once; at least one, or no instance would ever
/// switch.
pub fn wave_size(count: usize, floor_percent: u32) -> usize {
    let allowed = count * (100 - floor_percent.min(100)) as usize / 100;
    allowed.max(1)
}
