//! Primary holders of chunks: balanced, the same for all instances, and mostly stable when members
//! change.

use mustardrill_core::chunk_assignment::ChunkAssignment;
use mustardrill_core::transfer::TransferPeer;
use mustardrill_types::{ChunkIndex, FastMap, InstanceId, ManifestDigest};
use proptest::prelude::*;

mod common;

const TOTAL: u32 = 96;

fn peers(counts: &[usize]) -> Vec<TransferPeer> {
    let centres = counts.iter().enumerate();
    let members = centres.flat_map(|(centre, count)| (0..*count).map(move |host| (centre, host)));
    members
        .map(|(centre, host)| TransferPeer {
            id: format!("10.{centre}.0.{host}").parse().unwrap(),
            data_centre: format!("hall-{centre}").parse().unwrap(),
        })
        .collect()
}

fn digest(seed: u8) -> ManifestDigest {
    ManifestDigest([seed; 32])
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(common::cases(32)))]

    #[test]
    fn primary_holders_are_balanced_and_all_instances_agree(
        counts in prop::collection::vec(1usize..9, 1..4),
        seed in 0u8..255,
    ) {
        let all = peers(&counts);
        let tables: Vec<_> =
            all.iter().map(|own| ChunkAssignment::new(digest(seed), TOTAL, &all, own, usize::MAX)).collect();
        for (own, table) in all.iter().zip(&tables) {
            let size = all.iter().filter(|peer| peer.data_centre == own.data_centre).count();
            let held = (0..TOTAL).filter(|index| table.holder_rank(ChunkIndex(*index)) == 0).count();
            prop_assert!(held <= (TOTAL as usize).div_ceil(size));
        }
        for index in (0..TOTAL).map(ChunkIndex) {
            let seeders = tables.iter().filter(|table| table.origin_rank(index) == 0).count();
            prop_assert_eq!(seeders, 1, "one instance fetches a chunk from the origin");
        }
    }
}

#[test]
fn removing_one_member_moves_few_primary_holders() {
    let all = peers(&[7]);
    let fewer = &all[..6];
    let holders_among = |members: &[TransferPeer]| {
        let table = ChunkAssignment::new(digest(3), TOTAL, members, &all[0], usize::MAX);
        let holders =
            (0..TOTAL).map(|index| table.primary_holder(ChunkIndex(index)).cloned().unwrap());
        holders.collect::<Vec<InstanceId>>()
    };
    let (before, after) = (holders_among(&all), holders_among(fewer));
    let mut moved: FastMap<bool, usize> = FastMap::default();
    for (old, new) in before.iter().zip(&after) {
        *moved.entry(old != new).or_default() += 1;
    }
    // The member that left was primary holder of 14 chunks; others move only for balance.
    assert!(moved[&true] <= 40, "{} of {TOTAL} chunks moved", moved[&true]);
}

/// The origin accepts few connections, which share its link.
#[test]
fn a_large_fleet_has_few_seeders_equally_many_in_each_data_centre() {
    const SEEDERS: usize = 12;
    let all = peers(&[25, 26, 25]);
    let mut chunks_of = FastMap::default();
    for own in &all {
        let table = ChunkAssignment::new(digest(5), TOTAL, &all, own, SEEDERS);
        let is_first = |index: &u32| table.origin_rank(ChunkIndex(*index)) == 0;
        let chunks = (0..TOTAL).filter(is_first).count();
        if chunks > 0 {
            chunks_of.insert(own.clone().id, (own.data_centre.clone(), chunks));
        }
    }
    assert_eq!(chunks_of.len(), SEEDERS);
    assert!(chunks_of.values().all(|(_, chunks)| *chunks == TOTAL as usize / SEEDERS));
    for centre in 0..3 {
        let centre = format!("hall-{centre}").parse().unwrap();
        assert_eq!(chunks_of.values().filter(|(name, _)| *name == centre).count(), SEEDERS / 3);
    }
}

/// Where no seeder of a chunk responds, its holders fetch it from the origin, one after the other.
#[test]
fn instances_that_are_not_seeders_rank_after_all_seeders() {
    let all = peers(&[5, 5]);
    for index in (0..TOTAL).map(ChunkIndex) {
        let ranks = all.iter().map(|own| ChunkAssignment::new(digest(5), TOTAL, &all, own, 4));
        let mut ranks: Vec<_> = ranks.map(|table| table.origin_rank(index)).collect();
        ranks.sort_unstable();
        assert_eq!(ranks[..4], [0, 1, 2, 3]);
        assert!(ranks[4] >= 4);
        ranks.dedup();
        assert_eq!(ranks.len(), all.len());
    }
}
