//! Measures the service units of one answer while it streams.

use std::time::Duration;

use serde::Deserialize;

use crate::dispatch::HandOverCost;
use crate::settings::{PoolKind, UnitWeights};

/// Bytes of a prompt that count as one token until the engine reports its usage; about right for English text.
const BYTES_PER_TOKEN: u64 = 4;

/// Longest line that is parsed as an event; engines send one token, or the usage, in far less.
const MAX_LINE_BYTES: usize = 64 * 1024;

/// Longest plain answer that is parsed for its usage; the usage is at the end, so the whole object has to be read.
const MAX_USAGE_BODY_BYTES: usize = 1 << 20;

const EVENT_PREFIX: &[u8] = b"data:";
const DONE_EVENT: &[u8] = b"[DONE]";

/// The token counts that an engine reports for a request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt.
    #[serde(default)]
    pub prompt_tokens: u64,
    /// Tokens that were generated.
    #[serde(default)]
    pub completion_tokens: u64,
    /// Details of the prompt.
    #[serde(default)]
    pub prompt_tokens_details: Option<PromptDetails>,
}

/// Details of a prompt's tokens.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
pub struct PromptDetails {
    /// Tokens that came from the prefix cache.
    #[serde(default)]
    pub cached_tokens: u64,
}

#[derive(Deserialize)]
struct WithUsage {
    usage: Option<Usage>,
}

/// Returns the cost of a request from its hand-over on, as far as it is known at that time.
#[must_use]
pub fn hand_over_cost(kind: PoolKind, request_bytes: usize) -> HandOverCost {
    match kind {
        PoolKind::Model(weights) => HandOverCost {
            prompt_units: prompt_units(weights, request_bytes as u64),
            busy_ms_units: 0,
        },
        PoolKind::Service { busy_ms_units } => HandOverCost {
            prompt_units: 0,
            busy_ms_units,
        },
    }
}

fn prompt_units(weights: UnitWeights, request_bytes: u64) -> u64 {
    (request_bytes / BYTES_PER_TOKEN).saturating_mul(weights.prompt)
}

/// A meter of one answer's service units.
#[derive(Debug)]
pub struct Meter {
    kind: PoolKind,
    request_bytes: u64,
    is_event_stream: bool,
    line: Vec<u8>,
    line_overflows: bool,
    body: Vec<u8>,
    events: u64,
    is_done: bool,
    usage: Option<Usage>,
    began_at: Duration,
    charged_units: u64,
}

impl Meter {
    /// Starts the meter for the answer to a request of this many bytes.
    #[must_use]
    pub fn start(
        kind: PoolKind,
        request_bytes: usize,
        is_event_stream: bool,
        now: Duration,
    ) -> Self {
        Self {
            kind,
            request_bytes: request_bytes as u64,
            is_event_stream,
            line: Vec::new(),
            line_overflows: false,
            body: Vec::new(),
            events: 0,
            is_done: false,
            usage: None,
            began_at: now,
            charged_units: 0,
        }
    }

    /// Counts bytes of the answer, and returns the service units to charge for them.
    pub fn count(&mut self, bytes: &[u8], now: Duration) -> u64 {
        match self.kind {
            PoolKind::Service { busy_ms_units } => {
                self.charge_up_to(self.busy_ms(now).saturating_mul(busy_ms_units))
            }
            PoolKind::Model(weights) => {
                self.scan(bytes);
                self.charge_up_to(self.events.saturating_mul(weights.generated))
            }
        }
    }

    /// Returns whether the last event of an event stream has arrived.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.is_done
    }

    /// Returns the sum of the units that [`Meter::count`] has returned.
    #[must_use]
    pub fn charged_units(&self) -> u64 {
        self.charged_units
    }

    /// Returns the cost of the whole request, in service units.
    #[must_use]
    pub fn total_units(&self, now: Duration) -> u64 {
        match self.kind {
            PoolKind::Service { busy_ms_units } => self.busy_ms(now).saturating_mul(busy_ms_units),
            PoolKind::Model(weights) => self.model_units(weights),
        }
    }

    fn model_units(&self, weights: UnitWeights) -> u64 {
        let from_body = || serde_json::from_slice::<WithUsage>(&self.body).ok()?.usage;
        let Some(usage) = self.usage.or_else(from_body) else {
            let prompt = prompt_units(weights, self.request_bytes);
            return prompt.saturating_add(self.events.saturating_mul(weights.generated));
        };
        let details = usage.prompt_tokens_details.unwrap_or_default();
        let cached = details.cached_tokens.min(usage.prompt_tokens);
        let computed = usage.prompt_tokens - cached;
        computed
            .saturating_mul(weights.prompt)
            .saturating_add(cached.saturating_mul(weights.cached))
            .saturating_add(usage.completion_tokens.saturating_mul(weights.generated))
    }

    fn busy_ms(&self, now: Duration) -> u64 {
        u64::try_from(now.saturating_sub(self.began_at).as_millis()).unwrap_or(u64::MAX)
    }

    /// Returns the part of `units` that was not charged yet, and counts it as charged.
    fn charge_up_to(&mut self, units: u64) -> u64 {
        let more = units.saturating_sub(self.charged_units);
        self.charged_units += more;
        more
    }

    fn scan(&mut self, bytes: &[u8]) {
        if !self.is_event_stream {
            let room = MAX_USAGE_BODY_BYTES - self.body.len();
            self.body.extend_from_slice(&bytes[..bytes.len().min(room)]);
            return;
        }
        let mut rest = bytes;
        while let Some(end) = rest.iter().position(|byte| *byte == b'\n') {
            self.append_to_line(&rest[..end]);
            self.end_line();
            rest = &rest[end + 1..];
        }
        self.append_to_line(rest);
    }

    fn append_to_line(&mut self, part: &[u8]) {
        if self.line.len() + part.len() > MAX_LINE_BYTES {
            self.line_overflows = true;
        }
        let room = MAX_LINE_BYTES - self.line.len();
        self.line.extend_from_slice(&part[..part.len().min(room)]);
    }

    fn end_line(&mut self) {
        let line = std::mem::take(&mut self.line);
        let overflows = std::mem::take(&mut self.line_overflows);
        let Some(data) = line.strip_prefix(EVENT_PREFIX) else {
            return;
        };
        let data = data.trim_ascii();
        if data == DONE_EVENT {
            self.is_done = true;
            return;
        }
        let usage = if overflows { None } else { parse_usage(data) };
        match usage {
            // Most engines send the usage in an event without a token; the total uses the usage in any case.
            Some(usage) => self.usage = Some(usage),
            None => self.events += 1,
        }
    }
}

fn parse_usage(data: &[u8]) -> Option<Usage> {
    const NAME: &[u8] = b"\"usage\"";
    // Parsing every event would cost more than the rest of this path, and only one event in hundreds has a usage.
    if !data.windows(NAME.len()).any(|window| window == NAME) {
        return None;
    }
    serde_json::from_slice::<WithUsage>(data).ok()?.usage
}
