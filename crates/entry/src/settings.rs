//! Settings of an entry, fixed at its start.

use std::time::Duration;

use hinge_outcome::RetryRules;

/// The addresses and limits of one entry; settings of the whole fleet are in the configuration instead.
#[derive(Debug, Clone)]
pub struct EntrySettings {
    /// Listen address for callers.
    pub callers_listen: Box<str>,
    /// Listen address for other processes of the fleet.
    pub peer_listen: Box<str>,
    /// Most concurrent connections of callers.
    pub max_connections: u32,
    /// Longest head of a caller's request, in bytes.
    pub max_header_bytes: usize,
    /// Longest body of a caller's request, in bytes; the configuration may set a lower limit.
    pub max_body_bytes: u64,
    /// Longest time to wait for a caller's body; only time spent waiting for the caller counts.
    pub body_timeout: Duration,
    /// Most requests that wait at the same time.
    pub max_waiting_requests: u32,
    /// Most buffered bytes of request bodies.
    pub max_waiting_bytes: u64,
    /// Longest part of a plain service's body that is buffered before the grant, in bytes; the rest is streamed after it.
    pub buffered_body_bytes: usize,
    /// Timeout of opening an exchange with a sidecar.
    pub open_timeout: Duration,
    /// Timeout of calls to a sidecar that ask for a verdict, cancel a run or end an exchange.
    pub call_timeout: Duration,
    /// Verdict calls to a sidecar, without a new byte in between, before the outcome is unknown.
    pub max_verdict_calls: u32,
    /// Longest time without a new part of an answer.
    pub answer_idle_timeout: Duration,
    /// Rules for retries.
    pub retry: RetryRules,
}

impl Default for EntrySettings {
    /// Returns the defaults.
    ///
    /// 64 KiB hold a typical service call, so that it can be retried, and limit 4,096 buffered ones to 256 MiB. A sidecar in
    /// another region answers within 0.3 s, so one that takes 2 s is lost; three verdict calls with their delays outlast a
    /// reconnect. Engines send a token at least every few seconds; the sidecar's own limits apply before two minutes of silence.
    fn default() -> Self {
        Self {
            callers_listen: "127.0.0.1:0".into(),
            peer_listen: "127.0.0.1:0".into(),
            max_connections: 2_200,
            max_header_bytes: 32 * 1024,
            max_body_bytes: 16 << 20,
            body_timeout: Duration::from_secs(30),
            max_waiting_requests: 4_096,
            max_waiting_bytes: 256 << 20,
            buffered_body_bytes: 64 * 1024,
            open_timeout: Duration::from_secs(2),
            call_timeout: Duration::from_secs(2),
            max_verdict_calls: 3,
            answer_idle_timeout: Duration::from_mins(2),
            retry: RetryRules::default(),
        }
    }
}
