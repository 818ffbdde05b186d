//! Ranks the endpoints that may be the home of a shared prompt prefix (weighted rendezvous hashing).
//!
//! Every gateway computes the same order from the ids and the usual rates of the endpoints. An endpoint is first for
//! a share of the prefixes that is proportional to its rate. A change of one rate moves only prefixes to or from
//! that endpoint, and only in proportion to the change; an endpoint that leaves moves only its own.

use smallvec::SmallVec;

use crate::choose::home_rank;
use crate::pace::Pace;

/// An endpoint that may be a home.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Contender {
    /// Hash of its id, the same at every gateway.
    pub(crate) hash: u64,
    /// Rate by which it is weighed: the tokens that it usually prefills in a second.
    pub(crate) weight: u32,
}

impl Contender {
    /// Describes an endpoint, with the pace of its neighbours where its own is unknown.
    pub(crate) fn new(hash: u64, pace: Option<Pace>, neighbours: Option<Pace>) -> Self {
        let pace = pace.or(neighbours);
        let weight = pace.map_or(1, Pace::usual_tokens_per_s);
        Self { hash, weight }
    }
}

/// Rank of a contender; the lowest one is the first home.
#[derive(Debug, Clone, Copy)]
struct Rank {
    /// Time until the first of a stream of random events that come at the endpoint's rate.
    score: f64,
    /// Hash of the prefix and the endpoint; the highest one precedes where the scores are equal.
    draw: u64,
    index: usize,
}

impl Rank {
    fn precedes(&self, other: &Self) -> bool {
        let order = self.score.total_cmp(&other.score);
        order.then_with(|| other.draw.cmp(&self.draw)).is_lt()
    }
}

/// Returns the indexes of the first homes of a prefix, best first.
pub(crate) fn rank_homes(
    contenders: impl Iterator<Item = Contender> + Clone,
    key: u64,
    count: usize,
) -> SmallVec<[usize; 4]> {
    let first = contenders.clone().next();
    let is_even = contenders
        .clone()
        .all(|other| first.is_some_and(|first| first.weight == other.weight));
    let mut best: SmallVec<[Rank; 4]> = SmallVec::new();
    for (index, contender) in contenders.enumerate() {
        let draw = home_rank(key, contender.hash);
        // Equal weights leave the order to the hash alone.
        let score = if is_even {
            0.0
        } else {
            -unit(draw).ln() / f64::from(contender.weight)
        };
        let rank = Rank { score, draw, index };
        let place = best.iter().position(|other| rank.precedes(other));
        best.insert(place.unwrap_or(best.len()), rank);
        best.truncate(count);
    }
    best.iter().map(|rank| rank.index).collect()
}

/// Maps a hash to a number between 0 and 1, both excluded.
fn unit(hash: u64) -> f64 {
    const BITS: u32 = 52;
    let high = u32::try_from(hash >> 32).unwrap_or_default();
    let low = u32::try_from((hash >> (64 - BITS)) & ((1 << (BITS - 32)) - 1)).unwrap_or_default();
    let steps = f64::from(1_u32 << (BITS - 32));
    (f64::from(high) * steps + f64::from(low) + 0.5) / (f64::from(u32::MAX) + 1.0) / steps
}
