//! Weighs what one gateway sees of prompt parts that are suspected of crashing endpoints.
//!
//! Requests that differ in everything else may share a prompt part that crashes each endpoint which begins to write
//! an answer on it. Sound requests share the other parts of their prompts, and run beside the poison ones when an
//! endpoint crashes. An answer that went on after its beginning speaks for all parts of its prompt, so a part is only
//! suspected of a crash if no such answer began shortly before or after it.

use std::collections::HashMap;
use std::time::Duration;

use crate::request_key::RequestKey;

/// Time after which an answer that is still being written has survived the parts of its prompt; a poison part
/// crashes its endpoint
/// within a fifth of that.
const SURVIVAL_TIME: Duration = Duration::from_millis(500);

/// Longest time from a crash until every gateway knows of it. An answer that began earlier than this before the
/// gateway learned of the crash proves nothing, because a part may turn poisonous at any time.
const NOTICE_LAG: Duration = Duration::from_millis(500);

/// Number of parts remembered as sound; beyond it the older half is forgotten.
const MAX_SOUND: usize = 4_096;

/// Longest pause between two chunks of an answer that is being written steadily. Chunks that a stalled gateway reads
/// late say nothing of how long the endpoint went on writing.
const MAX_CHUNK_PAUSE: Duration = Duration::from_millis(250);

/// How far an answer has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerProgress {
    began_at: Duration,
    steady_since: Duration,
    last_chunk_at: Duration,
}

impl AnswerProgress {
    /// Starts with the first chunk of an answer.
    #[must_use]
    pub fn begin(now: Duration) -> Self {
        Self {
            began_at: now,
            steady_since: now,
            last_chunk_at: now,
        }
    }

    /// Records a further chunk.
    pub fn record_chunk(&mut self, now: Duration) {
        if now > self.last_chunk_at + MAX_CHUNK_PAUSE {
            self.steady_since = now;
        }
        self.last_chunk_at = now;
    }

    /// Returns when the first chunk arrived.
    #[must_use]
    pub fn began_at(&self) -> Duration {
        self.began_at
    }

    /// Returns for how long chunks have arrived without a long pause.
    #[must_use]
    pub fn steady_for(&self) -> Duration {
        self.last_chunk_at.saturating_sub(self.steady_since)
    }

    /// Returns whether the answer has gone on for long enough to survive the parts of its prompt.
    #[must_use]
    pub fn has_survived(&self) -> bool {
        self.steady_for() >= SURVIVAL_TIME
    }
}

/// The answers and crashes that a gateway knows of, by prompt part.
#[derive(Debug, Default)]
pub struct PartEvidence {
    /// When the latest answer that survived began.
    survivals: HashMap<RequestKey, Duration>,
    /// When the gateway learned of the latest crash that counts against the part.
    suspicions: HashMap<RequestKey, Duration>,
}

impl PartEvidence {
    /// Records an answer that survived a part, and returns whether this clears the part of the crashes known so far.
    pub fn record_survival(&mut self, part: RequestKey, began_at: Duration) -> bool {
        if self.survivals.len() >= MAX_SOUND && !self.survivals.contains_key(&part) {
            self.forget_older_half();
        }
        let latest = self.survivals.entry(part).or_default();
        *latest = began_at.max(*latest);
        let suspected_at = self.suspicions.get(&part);
        suspected_at.is_some_and(|suspected_at| speaks_for(began_at, *suspected_at))
    }

    /// Records that the gateway learns of a crash that may count against a part, and returns whether an answer that
    /// it has seen already clears the part.
    pub fn record_suspicion(&mut self, part: RequestKey, now: Duration) -> bool {
        self.suspicions.insert(part, now);
        let began_at = self.survivals.get(&part);
        began_at.is_some_and(|began_at| speaks_for(*began_at, now))
    }

    /// Returns whether an answer on a part has survived as far as the gateway remembers.
    #[must_use]
    pub fn was_sound(&self, part: &RequestKey) -> bool {
        self.survivals.contains_key(part)
    }

    /// Forgets the crashes of parts that are no longer suspected.
    pub fn retain_suspicions(&mut self, is_suspected: impl Fn(&RequestKey) -> bool) {
        self.suspicions.retain(|part, _| is_suspected(part));
    }

    /// Returns when the gateway learned of the latest crash that counts against a part.
    #[must_use]
    pub fn suspected_at(&self, part: &RequestKey) -> Option<Duration> {
        self.suspicions.get(part).copied()
    }

    fn forget_older_half(&mut self) {
        let mut times: Vec<Duration> = self.survivals.values().copied().collect();
        let middle = times.len() / 2;
        let (_, median, _) = times.select_nth_unstable(middle);
        let median = *median;
        self.survivals.retain(|_, began_at| *began_at > median);
    }
}

fn speaks_for(began_at: Duration, suspected_at: Duration) -> bool {
    began_at + NOTICE_LAG >= suspected_at
}
