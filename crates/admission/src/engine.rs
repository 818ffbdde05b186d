//! Defines the interface between an admission and its engine.

/// A running request, as the engine reports it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineRequest {
    /// Identifier of the request.
    pub request_id: Box<str>,
    /// Tokens in the KV cache: the prefilled part of the prompt and the generated tokens.
    pub kv_tokens: u32,
    /// Stream events that the engine has produced for it.
    pub events: u32,
}

/// A snapshot of an engine's state.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EngineReport {
    /// Start time of the engine, in Unix milliseconds, if it reports one.
    pub started_unix_ms: Option<u64>,
    /// Whether a new connection to the engine was opened for the report.
    pub has_reconnected: bool,
    /// Requests that wait to join the batch.
    pub queued: u32,
    /// Requests in the batch.
    pub active: u32,
    /// Tokens in the KV cache that can't be evicted.
    pub kv_used_tokens: u64,
    /// Capacity of the KV cache, in tokens, if the engine reports it.
    pub kv_total_tokens: Option<u64>,
    /// Running requests; empty if the engine doesn't list them.
    pub requests: Vec<EngineRequest>,
}

/// The outcome of polling an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReportOutcome {
    /// The engine replied.
    Report(EngineReport),
    /// Nothing listens at the engine's address.
    Gone,
    /// There was no reply, which doesn't tell whether the engine runs.
    Silent,
}

/// An engine that can be polled; implemented by the platform on top of its wire protocol.
pub trait Engine: Send + Sync + 'static {
    /// Polls the engine for its current state.
    fn fetch_report(&self) -> impl Future<Output = ReportOutcome> + Send;
}
