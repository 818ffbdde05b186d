//! Describes what asks for a place at an engine, and what becomes of it.

use std::time::Duration;

/// Numbers an ask.
pub type AskId = u64;

/// Weight of a generated token against a read one in a team's use, as the tables count throughput.
const ANSWER_WEIGHT: u32 = 2;

/// Sets the bounds of an admission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rules {
    /// Prompt tokens that the engine may have before it besides the request that goes next.
    pub max_unread_tokens: u32,
    /// Requests that the engine runs at once.
    pub max_running: u32,
    /// Memory of the engine, in tokens, until it reports it.
    pub kv_tokens: u64,
    /// Part of a request's budget in which its turn must come, in thousandths.
    pub turn_permille: u32,
}

/// Describes a request that asks for a place.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ask {
    /// Number of the request, by which the engine's reports name it.
    pub request_id: Box<str>,
    /// Team; empty when it has none.
    pub team: Box<str>,
    /// Rank: 0 goes before everything; later ones count while the team is within its share.
    pub rank: u32,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Most tokens of the answer.
    pub answer_tokens: u32,
    /// Number and tokens of the shared parts of the prompt.
    pub shared: Option<(u64, u32)>,
    /// Time from the ask in which the answer must begin to be on time.
    pub budget: Duration,
    /// What the team has used lately at other engines, in tokens.
    pub elsewhere_tokens: u64,
}

/// Says what becomes of an ask.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// The request may be sent.
    Grant {
        /// Ask.
        id: AskId,
        /// How long it waited.
        waited: Duration,
        /// Tokens that the engine reads first.
        ahead_tokens: u32,
    },
    /// The request can't be on time.
    Refuse {
        /// Ask.
        id: AskId,
        /// When room is expected.
        retry_after: Duration,
        /// Tokens that would be read first.
        ahead_tokens: u32,
        /// Why it can't.
        cause: RefusalCause,
    },
}

/// Says why an ask is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalCause {
    /// Its turn would come too late.
    Late,
    /// The engine is gone.
    EngineGone,
}

/// Describes the load.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests that run.
    pub running: u32,
    /// Prompt tokens that are admitted and not read.
    pub unread_tokens: u32,
    /// Prompt tokens of asks that wait.
    pub waiting_tokens: u32,
    /// Whether nothing listens at the engine's address.
    pub engine_is_gone: bool,
}

impl Ask {
    /// Returns what the request counts for in its team's use, in tokens.
    pub(crate) fn service_tokens(&self) -> u32 {
        self.prompt_tokens
            .saturating_add(self.answer_tokens.saturating_mul(ANSWER_WEIGHT))
    }
}
