//! Chooses the engine from which another one copies the shared parts of a prompt, in place of reading them again.
//!
//! The load pattern: the home of a part is busy, held out or has refused, and its requests go to engines that have never
//! read the part. Reading is what limits the engines under load, and a copy takes a tenth of its time or less.

use std::time::Duration;

use crate::cached_prefixes::IncarnationHash;
use crate::choose::{Prompt, home_rank};

/// Time in which an engine reads a token under load: 25 to 45 tokens in a millisecond were measured.
const READ_TOKEN: Duration = Duration::from_micros(25);

/// Time that a copy takes whatever its size: the way there and back, and a step of either engine.
const COPY_SETUP: Duration = Duration::from_millis(6);

/// Describes an engine that may keep the shared parts of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KvSource {
    /// Number that stands for the endpoint's id, the same at every gateway.
    pub hash: u64,
    /// Number that stands for its present incarnation.
    pub incarnation: IncarnationHash,
}

/// Returns the time in which one token's memory goes from one engine to another, by the size of a token and the link.
#[must_use]
pub fn token_copy_time(token_bytes: u64, link_mbps: u64) -> Option<Duration> {
    let bits = token_bytes.checked_mul(8)?;
    let picoseconds = bits.checked_mul(1_000_000)?.checked_div(link_mbps)?;
    (bits > 0).then(|| Duration::from_nanos(picoseconds / 1_000))
}

/// Returns the place of the source from which the shared parts are copied; none where reading them is as quick.
///
/// `holders` read the parts lately, the last one first; it is the one to keep them if any does. Where nobody is known to have read
/// them, the first in rank is asked, which is their home. A source that no longer keeps them costs the setup alone.
#[must_use]
pub fn choose_kv_source(
    sources: &[KvSource],
    holders: &[IncarnationHash],
    prompt: &Prompt,
    copy_token: Duration,
) -> Option<usize> {
    let (key, tokens) = prompt.shared_key()?;
    let saved = READ_TOKEN.saturating_sub(copy_token) * tokens;
    if saved <= COPY_SETUP {
        return None;
    }
    let place_of = |holder: &IncarnationHash| {
        let mut sources = sources.iter();
        sources.position(|source| source.incarnation == *holder)
    };
    let home = || {
        let ranked = sources.iter().enumerate();
        let best = ranked.max_by_key(|(_, source)| home_rank(key, source.hash));
        best.map(|(place, _)| place)
    };
    holders.iter().find_map(place_of).or_else(home)
}
