//! Defines what an admission asks its engine.

/// Describes one request that an engine runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Run {
    /// Number of the request.
    pub request_id: Box<str>,
    /// Tokens that it has in memory: what is read of its prompt, and what is generated.
    pub kv_tokens: u32,
    /// Events that it has made.
    pub events: u32,
}

/// Describes what an engine does at a moment.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Report {
    /// Unix millisecond of the engine's start; none where it does not say.
    pub born_unix_ms: Option<u64>,
    /// Requests that wait for a place in the batch.
    pub queued: u32,
    /// Requests in the batch.
    pub active: u32,
    /// Tokens in memory that can't yield.
    pub kv_used_tokens: u64,
    /// Tokens that fit its memory; none where it does not say.
    pub kv_total_tokens: Option<u64>,
    /// Requests that run; empty where the engine doesn't list them.
    pub runs: Vec<Run>,
}

/// Says what became of a question to an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// It answered.
    Report(Report),
    /// Nothing listens at its address.
    Gone,
    /// There is no answer, which does not tell whether it runs.
    Silent,
}

/// Asks an engine; the admission's edge towards the wire.
pub trait Engine: Send + Sync + 'static {
    /// Asks what the engine does now.
    fn report(&self) -> impl Future<Output = Answer> + Send;
}
