//! Ejects an endpoint that fails, and lets it back step by step.
//!
//! An endpoint can crash or fail a part of its requests while it still reports itself. It is ejected for a
//! short time that doubles with each further failure, and comes back with one request at a time.

use std::time::Duration;

/// The settings of a [`CircuitBreaker`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CircuitBreakerRules {
    /// Consecutive failures after which an endpoint is ejected.
    pub consecutive_failures: u32,
    /// Duration of the first ejection.
    pub min_ejection: Duration,
    /// Longest duration of an ejection.
    pub max_ejection: Duration,
}

impl Default for CircuitBreakerRules {
    /// Returns 2 failures, 0.5 s and 4 s.
    ///
    /// A single failure may be a connection that was closed while idle. Two in a row of an endpoint that
    /// fails one request in fifty happen once in 2,500 requests and cost it half a second. Only a restart
    /// takes longer than 4 s.
    fn default() -> Self {
        Self {
            consecutive_failures: 2,
            min_ejection: Duration::from_millis(500),
            max_ejection: Duration::from_secs(4),
        }
    }
}

/// A circuit breaker for one endpoint, by the outcome of the requests sent to it.
#[derive(Debug, Clone, Default)]
pub struct CircuitBreaker {
    failures: u32,
    ejected_until: Option<Duration>,
    /// Whether a request is in flight that probes the endpoint after an ejection.
    is_probing: bool,
}

impl CircuitBreaker {
    /// Records a response, which ends the ejection.
    pub fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Records a failure, and returns the duration of the ejection if one begins now.
    pub fn record_failure(
        &mut self,
        now: Duration,
        rules: &CircuitBreakerRules,
    ) -> Option<Duration> {
        self.failures = self.failures.saturating_add(1);
        self.is_probing = false;
        let repeats = self.failures.checked_sub(rules.consecutive_failures)?;
        let ejection = rules.min_ejection * 2_u32.saturating_pow(repeats.min(16));
        let ejection = ejection.min(rules.max_ejection);
        self.ejected_until = Some(now + ejection);
        Some(ejection)
    }

    /// Returns whether the endpoint may be sent a request now.
    #[must_use]
    pub fn allows_request(&self, now: Duration) -> bool {
        match self.ejected_until {
            None => true,
            Some(until) => now >= until && !self.is_probing,
        }
    }

    /// Records that a request is sent; while it probes the endpoint, no second one is sent.
    pub fn record_sent(&mut self) {
        self.is_probing = self.ejected_until.is_some();
    }

    /// Records that a request ended without an outcome, for example because its caller left.
    pub fn record_abandoned(&mut self) {
        self.is_probing = false;
    }
}
