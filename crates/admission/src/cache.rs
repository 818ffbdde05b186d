//! Models what an engine keeps of the prompts that it has read.

use std::collections::{BTreeMap, HashMap};

/// Shared parts whose last use is remembered, at most; far more than fit any engine's memory.
const MAX_PARTS: usize = 65_536;

#[derive(Debug, Clone, Copy)]
struct Kept {
    tokens: u64,
    last_use: u64,
}

/// Holds the parts that an engine should still keep: the least recently used ones yield.
#[derive(Debug)]
pub struct Cache {
    capacity_tokens: u64,
    kept_tokens: u64,
    parts: HashMap<u64, Kept>,
    /// Parts by their last use.
    by_use: BTreeMap<u64, u64>,
    uses: u64,
}

impl Cache {
    /// Creates the model of an empty cache.
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

    /// Takes in how many tokens fit the memory; what does not fit yields at the next use of a part.
    pub fn resize(&mut self, capacity_tokens: u64) {
        self.capacity_tokens = capacity_tokens;
    }

    /// Returns whether a part should be kept.
    #[must_use]
    pub fn holds(&self, key: u64) -> bool {
        self.parts.contains_key(&key)
    }

    /// Notes the use of a part; `running_tokens` of the memory belong to running requests and don't yield.
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
