//! Models which shared prompt prefixes an engine keeps in its KV cache.

use std::collections::{BTreeMap, HashMap};

/// Maximum number of tracked prefixes; far more than fit any engine's KV cache.
const MAX_PREFIXES: usize = 65_536;

#[derive(Debug, Clone, Copy)]
struct CachedPrefix {
    tokens: u64,
    last_use: u64,
}

/// A model of an engine's prefix cache with LRU eviction.
#[derive(Debug)]
pub struct PrefixCache {
    capacity_tokens: u64,
    cached_tokens: u64,
    prefixes: HashMap<u64, CachedPrefix>,
    /// Keys by time of last use.
    keys_by_last_use: BTreeMap<u64, u64>,
    use_count: u64,
}

impl PrefixCache {
    /// Creates an empty cache.
    #[must_use]
    pub fn new(capacity_tokens: u64) -> Self {
        Self {
            capacity_tokens,
            cached_tokens: 0,
            prefixes: HashMap::new(),
            keys_by_last_use: BTreeMap::new(),
            use_count: 0,
        }
    }

    /// Changes the capacity; entries that no longer fit are evicted at the next [`PrefixCache::touch`].
    pub fn resize(&mut self, capacity_tokens: u64) {
        self.capacity_tokens = capacity_tokens;
    }

    /// Returns whether a prefix should be cached.
    #[must_use]
    pub fn contains(&self, key: u64) -> bool {
        self.prefixes.contains_key(&key)
    }

    /// Records a use of a prefix and evicts the least recently used entries over the capacity. Running requests
    /// occupy `running_tokens` of it, which can't be evicted.
    pub fn touch(&mut self, key: u64, tokens: u64, running_tokens: u64) {
        self.use_count += 1;
        let last_use = self.use_count;
        if let Some(previous) = self.prefixes.insert(key, CachedPrefix { tokens, last_use }) {
            self.keys_by_last_use.remove(&previous.last_use);
            self.cached_tokens -= previous.tokens;
        }
        self.keys_by_last_use.insert(last_use, key);
        self.cached_tokens += tokens;
        let available_tokens = self.capacity_tokens.saturating_sub(running_tokens);
        while self.cached_tokens > available_tokens || self.prefixes.len() > MAX_PREFIXES {
            let Some((_, oldest)) = self.keys_by_last_use.pop_first() else {
                break;
            };
            if let Some(evicted) = self.prefixes.remove(&oldest) {
                self.cached_tokens -= evicted.tokens;
            }
        }
    }
}
