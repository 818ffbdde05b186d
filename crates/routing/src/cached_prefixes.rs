//! Remembers where the shared parts of prompts were read lately.
//!
//! The load pattern: requests leave the busy home of a part, and those that come after them find copies at several engines,
//! while the home itself may have lost the part or may be new. A copy from where the part was last read takes a tenth of the
//! time of reading it, and an engine that has it already is as good as its home.

use std::collections::HashMap;
use std::time::Duration;

use smallvec::SmallVec;

/// Time for which a part is taken to be kept after its last use: the memory of a busy engine turns over in some seven seconds.
const KEPT_FOR: Duration = Duration::from_secs(6);

/// Engines that are remembered for each part; a hot part is spread over a few.
const MOST_HOLDERS: usize = 4;

/// Parts that are remembered, at most: those of some ten seconds at 400 requests a second, and 400 KB.
const MOST_PARTS: usize = 4_096;

/// Stands for one incarnation of an endpoint; one that starts again keeps nothing of before.
pub type IncarnationHash = u64;

/// Lists the endpoints that should keep a part, the one used last first.
pub type Holders = SmallVec<[IncarnationHash; MOST_HOLDERS]>;

#[derive(Debug, Clone, Copy)]
struct Holder {
    endpoint: IncarnationHash,
    used_at: Duration,
}

/// Holds where shared parts were read lately, as far as one gateway has seen.
#[derive(Debug, Default)]
pub struct CachedPrefixes {
    /// By the number that stands for the parts; the holder used last comes first.
    parts: HashMap<u64, SmallVec<[Holder; MOST_HOLDERS]>>,
}

impl CachedPrefixes {
    /// Notes that an endpoint has read, or had, the parts that a number stands for.
    pub fn record(&mut self, now: Duration, key: u64, endpoint: IncarnationHash) {
        if self.parts.len() >= MOST_PARTS && !self.parts.contains_key(&key) {
            self.forget_old(now);
        }
        let holders = self.parts.entry(key).or_default();
        holders.retain(|holder| holder.endpoint != endpoint);
        holders.truncate(MOST_HOLDERS - 1);
        holders.insert(
            0,
            Holder {
                endpoint,
                used_at: now,
            },
        );
    }

    /// Returns the endpoints that should keep the parts.
    #[must_use]
    pub fn holders(&self, now: Duration, key: u64) -> Holders {
        let holders = self.parts.get(&key).map_or(&[][..], SmallVec::as_slice);
        let fresh = holders.iter().filter(|holder| holder.is_fresh(now));
        fresh.map(|holder| holder.endpoint).collect()
    }

    /// Returns how many parts are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.parts.len()
    }

    /// Returns whether no part is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }

    /// Forgets the parts that nobody keeps any more, and all of them if that makes no room.
    fn forget_old(&mut self, now: Duration) {
        self.parts
            .retain(|_, holders| holders.iter().any(|holder| holder.is_fresh(now)));
        if self.parts.len() >= MOST_PARTS {
            self.parts.clear();
        }
    }
}

impl Holder {
    fn is_fresh(&self, now: Duration) -> bool {
        now < self.used_at + KEPT_FOR
    }
}
