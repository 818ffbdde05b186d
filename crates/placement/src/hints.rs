//! Prefix cache locations, learnt from the engines' cache events.
//!
//! Engines publish these events late and may drop some, so a hint can name a sidecar that doesn't have the prefix cached or
//! miss one that does. Hints only affect the order in which sidecars are offered a request, never which ones are.

use std::collections::{HashMap, VecDeque};

use smallvec::SmallVec;

use crate::{PrefixHash, SidecarId};

/// Maximum sidecars recorded for a prefix; a prefix cached in more places needs no hint.
const MAX_SIDECARS_PER_PREFIX: usize = 4;

/// A bounded map from prefixes to the sidecars that have them cached.
#[derive(Debug)]
pub struct CacheHints {
    max_prefixes: usize,
    prefixes: HashMap<PrefixHash, SmallVec<[SidecarId; MAX_SIDECARS_PER_PREFIX]>>,
    // Oldest first; the oldest prefix is evicted when the map is full.
    insertion_order: VecDeque<PrefixHash>,
}

impl CacheHints {
    /// Returns an empty map for at most `max_prefixes` prefixes.
    #[must_use]
    pub fn new(max_prefixes: usize) -> Self {
        Self {
            max_prefixes,
            prefixes: HashMap::new(),
            insertion_order: VecDeque::new(),
        }
    }

    /// Returns the sidecars reported to have a prefix cached, the most recently reported first.
    #[must_use]
    pub fn get(&self, prefix: PrefixHash) -> &[SidecarId] {
        self.prefixes.get(&prefix).map_or(&[], SmallVec::as_slice)
    }

    /// Returns the number of prefixes in the map.
    #[must_use]
    pub fn len(&self) -> usize {
        self.prefixes.len()
    }

    /// Returns whether the map has no prefixes.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.prefixes.is_empty()
    }

    /// Records that a sidecar's endpoint has cached a prefix.
    pub fn record_cached(&mut self, prefix: PrefixHash, sidecar: SidecarId) {
        if self.max_prefixes == 0 {
            return;
        }
        if !self.prefixes.contains_key(&prefix) {
            self.insertion_order.push_back(prefix);
        }
        let sidecars = self.prefixes.entry(prefix).or_default();
        sidecars.retain(|id| *id != sidecar);
        sidecars.truncate(MAX_SIDECARS_PER_PREFIX - 1);
        sidecars.insert(0, sidecar);
        if self.insertion_order.len() > self.max_prefixes
            && let Some(oldest) = self.insertion_order.pop_front()
        {
            self.prefixes.remove(&oldest);
        }
    }

    /// Records that a sidecar's endpoint has evicted a prefix from its cache.
    ///
    /// The prefix itself stays in the map until it becomes the oldest, which avoids searching the insertion order.
    pub fn record_evicted(&mut self, prefix: PrefixHash, sidecar: SidecarId) {
        if let Some(sidecars) = self.prefixes.get_mut(&prefix) {
            sidecars.retain(|id| *id != sidecar);
        }
    }
}
