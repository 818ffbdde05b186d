//! Holds what cache events say about prompt prefixes.
//!
//! Engines publish these events late and with gaps, so a hint may be wrong in either way. It only changes the order in
//! which sidecars are offered a request, never which of them are.

use std::collections::{HashMap, VecDeque};

use smallvec::SmallVec;

use crate::{PrefixHash, SidecarId};

/// Sidecars remembered for a prefix; a prefix cached at more places needs no hint.
const MAX_PER_PREFIX: usize = 4;

/// Remembers, up to a bound, which sidecars have cached a prefix.
#[derive(Debug)]
pub struct CacheHints {
    max_prefixes: usize,
    prefixes: HashMap<PrefixHash, SmallVec<[SidecarId; MAX_PER_PREFIX]>>,
    // Order in which the prefixes came; the oldest makes room for a new one.
    order: VecDeque<PrefixHash>,
}

impl CacheHints {
    /// Opens an empty memory for at most `max_prefixes` prefixes.
    #[must_use]
    pub fn new(max_prefixes: usize) -> Self {
        Self {
            max_prefixes,
            prefixes: HashMap::new(),
            order: VecDeque::new(),
        }
    }

    /// Returns the sidecars that are said to have cached a prefix, the last one named first.
    #[must_use]
    pub fn get(&self, prefix: PrefixHash) -> &[SidecarId] {
        self.prefixes.get(&prefix).map_or(&[], SmallVec::as_slice)
    }

    /// Returns the number of prefixes remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.prefixes.len()
    }

    /// Returns whether no prefix is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.prefixes.is_empty()
    }

    /// Notes that a sidecar's endpoint has cached a prefix.
    pub fn record_cached(&mut self, prefix: PrefixHash, sidecar: SidecarId) {
        if self.max_prefixes == 0 {
            return;
        }
        if !self.prefixes.contains_key(&prefix) {
            self.order.push_back(prefix);
        }
        let sidecars = self.prefixes.entry(prefix).or_default();
        sidecars.retain(|id| *id != sidecar);
        sidecars.truncate(MAX_PER_PREFIX - 1);
        sidecars.insert(0, sidecar);
        if self.order.len() > self.max_prefixes
            && let Some(oldest) = self.order.pop_front()
        {
            self.prefixes.remove(&oldest);
        }
    }

    /// Notes that a sidecar's endpoint has dropped a prefix.
    ///
    /// The prefix itself stays until it makes room, so that its place in the order needs no search.
    pub fn record_evicted(&mut self, prefix: PrefixHash, sidecar: SidecarId) {
        if let Some(sidecars) = self.prefixes.get_mut(&prefix) {
            sidecars.retain(|id| *id != sidecar);
        }
    }
}
