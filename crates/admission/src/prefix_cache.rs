//! Models which shared prompt prefixes an engine keeps in its KV cache.

use std::collections::{BTreeMap, HashMap};

/// Maximum number of tracked prefixes; far more than fit any engine's KV cache.
const MAX_PARTS: usize = 65_536;

#[derive(Debug, Clone, Copy)]
struct Kept {
    tokens: u64,
    last_use: u64,
}

/// A model of an engine's prefix cache with LRU eviction.
#[derive(Debug)]
pub struct PrefixCache {
    capacity_tokens: u64,
    kept_tokens: u64,
    parts: HashMap<u64, Kept>,
    /// Keys by time of last use.
    by_use: BTreeMap<u64, u64>,
    uses: u64,
}

impl PrefixCache {
    /// Creates an empty cache.
    #[must_use]
    pub fn new(capacity_tokens: u64) -> Self {
        Self {
            capacity_tokens,
            kept_tokens: 0,
            parts: HashMap::new(),
            by_use: BTreeMap::new(),
            uses: 0,
        }
    }

    /// Changes the capacity; entries that no longer fit are evicted at the next [`PrefixCache::touch`].
    pub fn resize(&mut self, capacity_tokens: u64) {
        self.capacity_tokens = capacity_tokens;
    }

    /// Returns whether a prefix should be cached.
    #[must_use]
    pub fn contains(&self, key: u64) -> bool {
        self.parts.contains_key(&key)
    }

    /// Records a use of a prefix and evicts the least recently used entries over the capacity. Running requests
    /// occupy `running_tokens` of it, which can't be evicted.
    pub fn touch(&mut self, key: u64, tokens: u64, running_tokens: u64) {
        self.uses += 1;
        let last_use = self.uses;
        if let Some(before) = self.parts.insert(key, Kept { tokens, last_use }) {
            self.by_use.remove(&before.last_use);
            self.kept_tokens -= before.tokens;
        }
        self.by_use.insert(last_use, key);
        self.kept_tokens += tokens;
        let room = self.capacity_tokens.saturating_sub(running_tokens);
        while self.kept_tokens > room || self.parts.len() > MAX_PARTS {
            let Some((_, oldest)) = self.by_use.pop_first() else {
                break;
            };
            if let Some(gone) = self.parts.remove(&oldest) {
                self.kept_tokens -= gone.tokens;
            }
        }
    }
}
