//! Chooses the engine from which another one copies the KV cache of a shared prompt prefix, instead of
//! prefilling it again.
//!
//! When the home of a prefix is busy, ejected or has refused, its requests go to engines that have never
//! processed the prefix. Prefilling is the bottleneck of the engines under load, and a copy takes a tenth of
//! its time or less.

use std::time::Duration;

use crate::cached_prefixes::IncarnationHash;
use crate::choose::Prompt;
use crate::pace::{Pace, neighbour_pace};
use crate::prefix_homes::{Contender, rank_homes};

/// Time in which an engine of unknown pace prefills a token under load, at 25 to 45 tokens per millisecond.
const PREFILL_TIME_PER_TOKEN: Duration = Duration::from_micros(25);

/// Time that a copy takes whatever its size: a round trip and a step of each engine.
const COPY_SETUP: Duration = Duration::from_millis(6);

/// An engine that may have a shared prefix cached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KvSource {
    /// Hash of the endpoint's id, the same at every gateway.
    pub hash: u64,
    /// Hash of its current incarnation.
    pub incarnation: IncarnationHash,
    /// How fast it works, if that is known.
    pub pace: Option<Pace>,
}

/// Returns the time to copy the KV cache of one token, by its size and the bandwidth of the link.
#[must_use]
pub fn token_copy_time(token_bytes: u64, link_mbps: u64) -> Option<Duration> {
    let bits = token_bytes.checked_mul(8)?;
    let picoseconds = bits.checked_mul(1_000_000)?.checked_div(link_mbps)?;
    (bits > 0).then(|| Duration::from_nanos(picoseconds / 1_000))
}

/// Returns the index of the source to copy the shared prefix from, or `None` where prefilling it is as quick.
///
/// `holders` processed the prefix recently, most recent use first; the first one is the most likely to still
/// have it. Where no holder is known, the source is the first endpoint in rank, which is the prefix's home. A
/// source that no longer has the prefix costs only the setup of the copy. `pace` is that of the engine that would
/// prefill it otherwise.
#[must_use]
pub fn choose_kv_source(
    sources: &[KvSource],
    holders: &[IncarnationHash],
    prompt: &Prompt,
    copy_token: Duration,
    pace: Option<Pace>,
) -> Option<usize> {
    let (key, tokens) = prompt.shared_key()?;
    let prefill = pace.map_or(PREFILL_TIME_PER_TOKEN * tokens, |pace| {
        Duration::from_micros(pace.prefill_us(u64::from(tokens)))
    });
    if prefill.saturating_sub(copy_token * tokens) <= COPY_SETUP {
        return None;
    }
    let index_of = |holder: &IncarnationHash| {
        let mut sources = sources.iter();
        sources.position(|source| source.incarnation == *holder)
    };
    let home = || {
        let neighbours = neighbour_pace(sources.iter().map(|source| source.pace));
        let contenders = sources
            .iter()
            .map(|source| Contender::new(source.hash, source.pace, neighbours));
        rank_homes(contenders, key, 1).first().copied()
    };
    holders.iter().find_map(index_of).or_else(home)
}
