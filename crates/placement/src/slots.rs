//! Tracks an endpoint's free slots and KV cache tokens.
//!
//! All requests to an endpoint go through its sidecar, so the sidecar's own count is always exact, while the engine's load
//! reports lag behind. The reports are used only for load that the sidecar doesn't count, such as requests from before its
//! restart or cancelled requests that the engine hasn't stopped yet.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use serde::{Deserialize, Serialize};

/// The id of a grant, the same as in `hinge-outcome`.
pub type ClaimId = u64;

/// Steps into which the maximum report lag is divided, which bounds the length of the usage history.
const USAGE_HISTORY_STEPS: u32 = 16;

/// The capacity of an endpoint and the settings of its load reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotRules {
    /// Maximum concurrent requests.
    pub slots: u32,
    /// Size of the engine's KV cache in tokens; zero for a plain service, which has no such limit.
    pub kv_tokens: u64,
    /// Slots reserved for urgent requests.
    pub urgent_slots: u32,
    /// KV cache tokens reserved for urgent requests.
    pub urgent_kv_tokens: u64,
    /// Maximum time between a load that the engine reports and the arrival of the report.
    pub max_report_lag: Duration,
    /// Age beyond which a report is ignored.
    pub max_report_age: Duration,
}

impl SlotRules {
    /// Returns rules for an endpoint with this capacity, with default settings for reports.
    ///
    /// The same fraction of the KV cache as of the slots is reserved for urgent requests. Engines report about once a second,
    /// so a report may describe the load of two seconds ago, and two consecutive reports may be lost before it expires.
    #[must_use]
    pub fn new(slots: u32, kv_tokens: u64, urgent_slots: u32) -> Self {
        let urgent_kv_tokens = kv_tokens * u64::from(urgent_slots) / u64::from(slots.max(1));
        Self {
            slots,
            kv_tokens,
            urgent_slots,
            urgent_kv_tokens,
            max_report_lag: Duration::from_secs(2),
            max_report_age: Duration::from_secs(4),
        }
    }
}

/// The resources that a request needs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Demand {
    /// KV cache tokens of the prompt and the expected answer.
    pub kv_tokens: u64,
    /// Whether the request may use the reserved capacity.
    pub is_urgent: bool,
}

/// Whether an endpoint has capacity for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Availability {
    /// The request can start now.
    Now,
    /// The request can start once other requests have ended.
    Later,
    /// The request exceeds the total capacity available to its class.
    Never,
}

/// A load report from the engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineReport {
    /// Running and waiting requests in the engine.
    pub running: u32,
    /// KV cache tokens in use.
    pub kv_tokens: u64,
}

/// An amount of slots and KV cache tokens.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct Usage {
    slots: u32,
    kv_tokens: u64,
}

impl Usage {
    fn max(self, other: Self) -> Self {
        Self {
            slots: self.slots.max(other.slots),
            kv_tokens: self.kv_tokens.max(other.kv_tokens),
        }
    }
}

/// The capacity of one endpoint and its current usage.
#[derive(Debug)]
pub struct Slots {
    rules: SlotRules,
    running: HashMap<ClaimId, Demand>,
    own_usage: Usage,
    own_urgent_usage: Usage,
    // Peak own usage in each time step within the maximum report lag, oldest first.
    usage_history: VecDeque<(u128, Usage)>,
    external_usage: Usage,
    reported_at: Option<Duration>,
}

impl Slots {
    /// Returns the slots of an idle endpoint.
    #[must_use]
    pub fn new(rules: SlotRules) -> Self {
        Self {
            rules,
            running: HashMap::new(),
            own_usage: Usage::default(),
            own_urgent_usage: Usage::default(),
            usage_history: VecDeque::new(),
            external_usage: Usage::default(),
            reported_at: None,
        }
    }

    /// Replaces the rules; running requests continue even if they exceed the new limits.
    pub fn set_rules(&mut self, rules: SlotRules) {
        self.rules = rules;
    }

    /// Returns the current rules.
    #[must_use]
    pub fn rules(&self) -> &SlotRules {
        &self.rules
    }

    /// Returns the number of running requests that the sidecar has admitted.
    #[must_use]
    pub fn running_count(&self) -> u32 {
        self.own_usage.slots
    }

    /// Returns whether there is capacity for a request.
    #[must_use]
    pub fn availability(&self, demand: Demand, now: Duration) -> Availability {
        let limit = self.limit(demand.is_urgent);
        if limit.slots == 0 || demand.kv_tokens > limit.kv_tokens {
            return Availability::Never;
        }
        let external_usage = self.external_usage(now);
        let total = Usage {
            slots: self.own_usage.slots.saturating_add(external_usage.slots),
            kv_tokens: self
                .own_usage
                .kv_tokens
                .saturating_add(external_usage.kv_tokens),
        };
        if !fits(total, demand, self.limit(true)) {
            return Availability::Later;
        }
        // Urgent requests don't count against the unreserved capacity.
        let common = Usage {
            slots: total.slots - self.own_urgent_usage.slots,
            kv_tokens: total.kv_tokens - self.own_urgent_usage.kv_tokens,
        };
        if demand.is_urgent || fits(common, demand, limit) {
            Availability::Now
        } else {
            Availability::Later
        }
    }

    /// Allocates a slot and KV cache tokens to a grant, and returns whether there was capacity.
    ///
    /// # Panics
    ///
    /// Panics if the grant already has a slot.
    pub fn acquire(&mut self, claim: ClaimId, demand: Demand, now: Duration) -> bool {
        if self.availability(demand, now) != Availability::Now {
            return false;
        }
        let previous = self.running.insert(claim, demand);
        assert!(previous.is_none(), "each grant acquires a slot only once");
        self.add(demand);
        self.record_usage(now);
        true
    }

    /// Updates the KV cache tokens of a running request whose answer outgrew the estimate or whose prompt was cached.
    ///
    /// The total may exceed the endpoint's capacity; no further request starts until it is back below the limit.
    pub fn resize(&mut self, claim: ClaimId, kv_tokens: u64, now: Duration) {
        let Some(demand) = self.running.get_mut(&claim) else {
            return;
        };
        let previous = *demand;
        demand.kv_tokens = kv_tokens;
        let changed = *demand;
        self.remove(previous);
        self.add(changed);
        self.record_usage(now);
    }

    /// Frees the resources of a grant, and returns whether it had any.
    pub fn release(&mut self, claim: ClaimId, now: Duration) -> bool {
        let Some(demand) = self.running.remove(&claim) else {
            return false;
        };
        self.record_usage(now);
        self.remove(demand);
        true
    }

    /// Applies a load report from the engine that has just arrived.
    ///
    /// The report describes some moment within the maximum report lag. Only load that exceeds the peak own usage in that
    /// period is certain to be external, and is counted in addition to the sidecar's own requests.
    pub fn apply_report(&mut self, report: EngineReport, now: Duration) {
        self.record_usage(now);
        let own_usage = self
            .usage_history
            .iter()
            .fold(Usage::default(), |highest, (_, usage)| highest.max(*usage));
        self.external_usage = Usage {
            slots: report.running.saturating_sub(own_usage.slots),
            kv_tokens: report.kv_tokens.saturating_sub(own_usage.kv_tokens),
        };
        self.reported_at = Some(now);
    }

    /// Returns the number of slots that are free for requests that aren't urgent.
    #[must_use]
    pub fn free_slots(&self, now: Duration) -> u32 {
        let total = self
            .own_usage
            .slots
            .saturating_add(self.external_usage(now).slots);
        let common = total - self.own_urgent_usage.slots;
        let free = self.limit(true).slots.saturating_sub(total);
        free.min(self.limit(false).slots.saturating_sub(common))
    }

    fn external_usage(&self, now: Duration) -> Usage {
        match self.reported_at {
            Some(at) if now.saturating_sub(at) <= self.rules.max_report_age => self.external_usage,
            _ => Usage::default(),
        }
    }

    fn limit(&self, is_urgent: bool) -> Usage {
        let rules = &self.rules;
        let kv_tokens = if rules.kv_tokens == 0 {
            u64::MAX
        } else {
            rules.kv_tokens
        };
        if is_urgent {
            return Usage {
                slots: rules.slots,
                kv_tokens,
            };
        }
        Usage {
            slots: rules.slots.saturating_sub(rules.urgent_slots),
            kv_tokens: kv_tokens.saturating_sub(rules.urgent_kv_tokens),
        }
    }

    fn add(&mut self, demand: Demand) {
        self.own_usage.slots += 1;
        self.own_usage.kv_tokens += demand.kv_tokens;
        if demand.is_urgent {
            self.own_urgent_usage.slots += 1;
            self.own_urgent_usage.kv_tokens += demand.kv_tokens;
        }
    }

    fn remove(&mut self, demand: Demand) {
        self.own_usage.slots -= 1;
        self.own_usage.kv_tokens -= demand.kv_tokens;
        if demand.is_urgent {
            self.own_urgent_usage.slots -= 1;
            self.own_urgent_usage.kv_tokens -= demand.kv_tokens;
        }
    }

    /// Records the own usage in the current time step, and drops the steps that no report can describe any more.
    fn record_usage(&mut self, now: Duration) {
        let step = (self.rules.max_report_lag / USAGE_HISTORY_STEPS).max(Duration::from_millis(1));
        let current = now.as_nanos() / step.as_nanos();
        match self.usage_history.back_mut() {
            Some((at, usage)) if *at == current => *usage = usage.max(self.own_usage),
            _ => self.usage_history.push_back((current, self.own_usage)),
        }
        let oldest = current.saturating_sub(u128::from(USAGE_HISTORY_STEPS));
        // The usage of the last step before the period persisted into it, so that step is kept.
        while self
            .usage_history
            .get(1)
            .is_some_and(|(at, _)| *at <= oldest)
        {
            self.usage_history.pop_front();
        }
    }
}

fn fits(used: Usage, demand: Demand, limit: Usage) -> bool {
    used.slots < limit.slots && used.kv_tokens.saturating_add(demand.kv_tokens) <= limit.kv_tokens
}
