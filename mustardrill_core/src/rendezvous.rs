//! Rendezvous hashing: processes with the same set of names compute the same order without
//! coordination.

use std::hash::Hasher;

use rustc_hash::FxHasher;

/// Hashes `name` for `subject`; the name with the highest weight comes first.
pub fn weight(subject: &[u8], name: &str) -> u64 {
    let mut hasher = FxHasher::default();
    hasher.write(subject);
    hasher.write(name.as_bytes());
    mix(hasher.finish())
}

/// The rank of `own` for `subject` in front of `others`, from 0; names with equal weights are
/// ordered by name, the highest first.
pub fn rank<'a>(subject: &[u8], own: &str, others: impl Iterator<Item = &'a str>) -> usize {
    let own_key = (weight(subject, own), own);
    others.filter(|other| (weight(subject, other), *other) > own_key).count()
}

/// Scores `name` for `subject`, the highest first, such that over many subjects each name comes
/// first in proportion to its weight (weighted rendezvous hashing).
pub fn weighted_score(subject: &[u8], name: &str, weight_of_name: u32) -> f64 {
    // In (0, 1], so that the logarithm is finite.
    (1.0 - uniform_hash(subject, name)).ln() / f64::from(weight_of_name.max(1))
}

/// Maps `name` and `subject` to a hash that is uniform in [0, 1).
pub fn uniform_hash(subject: &[u8], name: &str) -> f64 {
    // An f64 holds integers of this many bits exactly.
    const MANTISSA_BITS: u32 = 53;
    (weight(subject, name) >> (u64::BITS - MANTISSA_BITS)) as f64 / (1u64 << MANTISSA_BITS) as f64
}

/// Orders `names` by their weight for `subject`, highest first, and by name where weights are
/// equal.
pub fn ranked<'a, T, F>(subject: &[u8], names: &'a [T], name_of: F) -> Vec<&'a T>
where
    F: Fn(&T) -> &str,
{
    let mut weighted: Vec<_> =
        names.iter().map(|item| (weight(subject, name_of(item)), item)).collect();
    weighted.sort_by(|left, right| {
        right.0.cmp(&left.0).then_with(|| name_of(left.1).cmp(name_of(right.1)))
    });
    weighted.into_iter().map(|(_, item)| item).collect()
}

/// Avalanches the bits of a hash (the finaliser of `SplitMix64`).
fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
