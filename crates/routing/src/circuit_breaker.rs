//! Keeps an endpoint out that fails, and lets it back step by step.
//!
//! The load pattern: an endpoint dies or fails a part of its requests while it still reports itself. It is held out for
//! a short time that doubles with each further failure, and comes back with one request at a time.

use std::time::Duration;

/// Sets when an endpoint is held out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CircuitBreakerRules {
    /// Failures in a row that hold it out.
    pub consecutive_failures: u32,
    /// First time for which it is held out.
    pub min_ejection: Duration,
    /// Longest time for which it is held out.
    pub max_ejection: Duration,
}

impl Default for CircuitBreakerRules {
    /// Returns 2 failures, 0.5 s and 4 s.
    ///
    /// One failure may be a connection that was closed while idle; two in a row of an endpoint that fails one request in
    /// fifty are a 1 in 2,500 event, and cost it half a second. Longer than 4 s is what a restart takes.
    fn default() -> Self {
        Self {
            consecutive_failures: 2,
            min_ejection: Duration::from_millis(500),
            max_ejection: Duration::from_secs(4),
        }
    }
}

/// Judges one endpoint by what became of the requests that it was sent.
#[derive(Debug, Clone, Default)]
pub struct CircuitBreaker {
    failures: u32,
    held_until: Option<Duration>,
    /// Whether one request is under way that tries the endpoint again.
    is_trying: bool,
}

impl CircuitBreaker {
    /// Notes an answer.
    pub fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Notes a failure, and returns for how long the endpoint is held out if it begins now.
    pub fn record_failure(
        &mut self,
        now: Duration,
        rules: &CircuitBreakerRules,
    ) -> Option<Duration> {
        self.failures = self.failures.saturating_add(1);
        self.is_trying = false;
        let beyond = self.failures.checked_sub(rules.consecutive_failures)?;
        let hold = rules.min_ejection * 2_u32.saturating_pow(beyond.min(16));
        let hold = hold.min(rules.max_ejection);
        self.held_until = Some(now + hold);
        Some(hold)
    }

    /// Returns whether the endpoint may be sent a request now.
    #[must_use]
    pub fn allows_request(&self, now: Duration) -> bool {
        match self.held_until {
            None => true,
            Some(until) => now >= until && !self.is_trying,
        }
    }

    /// Notes that a request is sent; while the endpoint is tried again, no second one is.
    pub fn record_sent(&mut self) {
        self.is_trying = self.held_until.is_some();
    }

    /// Notes that a request ended without word on the endpoint, such as when its caller left.
    pub fn record_abandoned(&mut self) {
        self.is_trying = false;
    }
}
