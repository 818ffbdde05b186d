//! Estimates an engine's prefill rate while it decodes other requests.

use std::time::Duration;

/// Half-life of older measurements; answers take a second or two.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// Initial rate, in tokens per second: half of what current engines reach when they do nothing but prefill.
const INITIAL_TOKENS_PER_S: f64 = 25_000.0;

/// Lower bound of the estimate, in tokens per second. Without it a network stall would cause every request to be
/// refused.
const MIN_TOKENS_PER_S: f64 = 12_000.0;

/// Weight of the initial rate, as seconds of measurement.
const INITIAL_WEIGHT_S: f64 = 0.2;

/// An exponentially decayed estimate of an engine's prefill rate, from the prefilled tokens and the time the engine
/// had tokens to prefill.
#[derive(Debug)]
pub struct PrefillRate {
    tokens: f64,
    busy_s: f64,
    /// Start of the busy time that isn't measured yet.
    busy_since: Option<Duration>,
}

impl PrefillRate {
    /// Creates an estimate with the initial rate.
    #[must_use]
    pub fn new() -> Self {
        Self {
            tokens: INITIAL_TOKENS_PER_S * INITIAL_WEIGHT_S,
            busy_s: INITIAL_WEIGHT_S,
            busy_since: None,
        }
    }

    /// Records that the engine has tokens to prefill from now on.
    pub fn start(&mut self, now: Duration) {
        self.busy_since.get_or_insert(now);
    }

    /// Records prefilled tokens; `has_more` tells whether other tokens still await prefill.
    pub fn record(&mut self, now: Duration, tokens: u32, has_more: bool) {
        let Some(since) = self.busy_since else {
            return;
        };
        let elapsed_s = now.saturating_sub(since).as_secs_f64();
        let weight = 0.5_f64.powf(elapsed_s / HALF_LIFE.as_secs_f64());
        self.tokens = self.tokens * weight + f64::from(tokens);
        self.busy_s = self.busy_s * weight + elapsed_s;
        self.busy_since = has_more.then_some(now);
    }

    /// Returns the rate in tokens per millisecond.
    #[must_use]
    pub fn tokens_per_ms(&self) -> u64 {
        let elapsed = self.time_for(1_000_000).as_millis().max(1);
        u64::try_from(1_000_000 / elapsed).unwrap_or(u64::MAX)
    }

    /// Returns the time that the engine needs to prefill some tokens.
    #[must_use]
    pub fn time_for(&self, tokens: u64) -> Duration {
        let tokens_per_s = (self.tokens / self.busy_s.max(f64::EPSILON)).max(MIN_TOKENS_PER_S);
        #[expect(
            clippy::cast_precision_loss,
            reason = "tokens in a queue are far below 2^52"
        )]
        let seconds = tokens as f64 / tokens_per_s;
        Duration::from_secs_f64(seconds)
    }
}

impl Default for PrefillRate {
    fn default() -> Self {
        Self::new()
    }
}
