//! Defines slot requests and the decisions on them.

use std::time::Duration;

/// Identifier of a slot request, unique within one admission.
pub type SlotRequestId = u64;

/// Usage weight of a generated token relative to a prompt token, the same as in the throughput tables.
const ANSWER_TOKEN_WEIGHT: u32 = 2;

/// The limits of an admission queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueLimits {
    /// Number of granted prompt tokens awaiting prefill from which on no further request is granted.
    pub max_unread_tokens: u32,
    /// Maximum number of requests running on the engine.
    pub max_running: u32,
    /// KV cache capacity, in tokens, until the engine reports it.
    pub kv_tokens: u64,
    /// Fraction of its budget that a request may wait, in thousandths.
    pub max_wait_permille: u32,
}

/// A request for a slot at the engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SlotRequest {
    /// Identifier by which the engine's reports name the request.
    pub request_id: Box<str>,
    /// Team of the request; empty if it has none.
    pub team: Box<str>,
    /// Rank: 0 goes before everything; later ranks count only while the team is within its fair share.
    pub rank: u32,
    /// Length of the prompt.
    pub prompt_tokens: u32,
    /// Maximum length of the answer.
    pub answer_tokens: u32,
    /// Key and length in tokens of the prompt's shared prefix.
    pub shared_prefix: Option<(u64, u32)>,
    /// Time, from the arrival here, within which the answer must begin.
    pub budget: Duration,
    /// The team's recent usage at other engines, in tokens.
    pub elsewhere_tokens: u64,
    /// Key by which the caller is recognised if it is refused and comes back.
    pub return_key: Option<u64>,
}

/// The decision on a slot request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// The request may be sent to the engine.
    Grant {
        /// Identifier of the slot request.
        id: SlotRequestId,
        /// Time that it waited.
        waited: Duration,
        /// Prompt tokens of other requests that the engine prefills first.
        ahead_tokens: u32,
        /// Whether its caller came back to a place that was kept for it.
        has_returned: bool,
    },
    /// The request is refused.
    Refuse {
        /// Identifier of the slot request.
        id: SlotRequestId,
        /// Time until the queue is expected to have room.
        retry_after: Duration,
        /// Whether a place is kept for the caller then.
        is_promised: bool,
        /// Prompt tokens of other requests that the engine would prefill first.
        ahead_tokens: u32,
        /// Why it is refused.
        cause: RefusalCause,
    },
}

/// The reason for a refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalCause {
    /// It would start too late.
    Late,
    /// Nothing listens at the engine's address.
    EngineGone,
}

/// The load of an engine and its queue.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    /// Granted requests that the engine runs.
    pub running: u32,
    /// Prompt tokens of granted requests that await prefill.
    pub unread_tokens: u32,
    /// Prompt tokens of waiting requests.
    pub waiting_tokens: u32,
    /// Whether nothing listens at the engine's address.
    pub engine_is_gone: bool,
    /// Start time of the engine that reported last, in Unix milliseconds, if it reports one.
    pub engine_started_unix_ms: Option<u64>,
}

impl SlotRequest {
    /// Returns the usage charged to the team for the request, in tokens.
    pub(crate) fn usage_tokens(&self) -> u32 {
        self.prompt_tokens
            .saturating_add(self.answer_tokens.saturating_mul(ANSWER_TOKEN_WEIGHT))
    }
}
