//! Remembers which endpoints have processed a shared prompt prefix recently.
//!
//! Requests leave a busy home of a prefix and create copies at several engines, while the home itself may
//! have evicted the prefix or may be new. Copying the prefix from where it was last used takes a tenth of the
//! time of prefilling it, and an engine that has it cached is as good as its home.

use std::collections::HashMap;
use std::time::Duration;

use smallvec::SmallVec;

/// Time for which a prefix counts as cached after its last use; the memory of a busy engine turns over in
/// some seven seconds.
const CACHE_LIFETIME: Duration = Duration::from_secs(6);

/// Engines remembered for each prefix; a hot prefix is spread over a few.
const MAX_HOLDERS: usize = 4;

/// Highest number of prefixes remembered: those of some ten seconds at 400 requests a second, taking 400 KB.
const MAX_PREFIXES: usize = 4_096;

/// Hash of one incarnation of an endpoint; a restarted endpoint has nothing cached from before.
pub type IncarnationHash = u64;

/// The endpoints that should have a prefix cached, most recent use first.
pub type Holders = SmallVec<[IncarnationHash; MAX_HOLDERS]>;

#[derive(Debug, Clone, Copy)]
struct Holder {
    endpoint: IncarnationHash,
    used_at: Duration,
}

/// The endpoints that processed shared prefixes recently, as far as one gateway has seen.
#[derive(Debug, Default)]
pub struct CachedPrefixes {
    /// Holders by the key of the prefix, most recent use first.
    prefixes: HashMap<u64, SmallVec<[Holder; MAX_HOLDERS]>>,
}

impl CachedPrefixes {
    /// Records that an endpoint has prefilled or reused a prefix.
    pub fn record(&mut self, now: Duration, key: u64, endpoint: IncarnationHash) {
        if self.prefixes.len() >= MAX_PREFIXES && !self.prefixes.contains_key(&key) {
            self.evict(now);
        }
        let holders = self.prefixes.entry(key).or_default();
        holders.retain(|holder| holder.endpoint != endpoint);
        holders.truncate(MAX_HOLDERS - 1);
        holders.insert(
            0,
            Holder {
                endpoint,
                used_at: now,
            },
        );
    }

    /// Returns the endpoints that should have a prefix cached.
    #[must_use]
    pub fn holders(&self, now: Duration, key: u64) -> Holders {
        let holders = self.prefixes.get(&key).map_or(&[][..], SmallVec::as_slice);
        let fresh = holders.iter().filter(|holder| holder.is_fresh(now));
        fresh.map(|holder| holder.endpoint).collect()
    }

    /// Returns the number of remembered prefixes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.prefixes.len()
    }

    /// Returns whether no prefix is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.prefixes.is_empty()
    }

    /// Evicts the prefixes that no endpoint should still have cached, and all of them if that frees nothing.
    fn evict(&mut self, now: Duration) {
        self.prefixes
            .retain(|_, holders| holders.iter().any(|holder| holder.is_fresh(now)));
        if self.prefixes.len() >= MAX_PREFIXES {
            self.prefixes.clear();
        }
    }
}

impl Holder {
    fn is_fresh(&self, now: Duration) -> bool {
        now < self.used_at + CACHE_LIFETIME
    }
}
