//! Rendezvous hashing.

use crate::SidecarId;

/// The increment of the `SplitMix64` generator: 2^64 divided by the golden ratio.
const GOLDEN_GAMMA: u64 = 0x9e37_79b9_7f4a_7c15;

/// Returns a hash of two numbers that is the same in every process, by applying `SplitMix64`'s finaliser to both.
#[must_use]
pub fn mix(left: u64, right: u64) -> u64 {
    finalise(finalise(left.wrapping_add(GOLDEN_GAMMA)) ^ right)
}

fn finalise(mut value: u64) -> u64 {
    value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// Returns the `count` highest-ranked sidecars for `key`, in order, by rendezvous hashing.
///
/// The relative order of two sidecars doesn't depend on the others, so adding or removing one leaves the rest in place.
#[must_use]
pub fn rank(key: u64, sidecars: &[SidecarId], count: usize) -> Vec<SidecarId> {
    let mut ranked: Vec<_> = sidecars.iter().map(|id| (mix(key, *id), *id)).collect();
    ranked.sort_unstable_by(|left, right| right.cmp(left));
    ranked.truncate(count);
    ranked.into_iter().map(|(_, id)| id).collect()
}
