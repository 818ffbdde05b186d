//! Counts what an endpoint has room for: slots, and tokens of its KV cache.
//!
//! The sidecar is the only gate to its endpoint, so its own count is exact the moment it changes, while the engine's load
//! report lags. The report is only used for what the sidecar can't know: load that it did not admit itself, such as runs
//! from before its restart, or cancelled runs that the engine has not dropped yet.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use serde::{Deserialize, Serialize};

/// Numbers a grant; the same number as in `hinge-outcome`.
pub type ClaimId = u64;

/// Steps into which the span of a report's lag is cut, which bounds the memory of past levels.
const LEVEL_STEPS: u32 = 16;

/// Sets an endpoint's room.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotRules {
    /// Requests that may run at once.
    pub slots: u32,
    /// Tokens that fit the engine's KV cache; zero for a plain service, which has no such bound.
    pub kv_tokens: u64,
    /// Slots that only urgent requests may use.
    pub urgent_slots: u32,
    /// KV tokens that only urgent requests may use.
    pub urgent_kv_tokens: u64,
    /// Longest lag of the engine's report behind what it describes.
    pub max_report_lag: Duration,
    /// Age at which a report no longer counts.
    pub max_report_age: Duration,
}

impl SlotRules {
    /// Returns rules for an endpoint with these slots, KV tokens and urgent slots.
    ///
    /// The urgent part of the KV cache is in proportion to that of the slots. Engines report about once a second, so a
    /// report may describe the load of two seconds ago, and two reports in a row may be lost before it stops counting.
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

/// Says what a request needs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Demand {
    /// KV tokens of its prompt and of the answer expected.
    pub kv_tokens: u64,
    /// Whether it may use the urgent headroom.
    pub is_urgent: bool,
}

/// Answers whether a request has room.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Availability {
    /// It may start now.
    Now,
    /// It may start when other requests have ended.
    Later,
    /// It is larger than the endpoint will ever have room for.
    Never,
}

/// Holds a load report of the engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineReport {
    /// Requests in the engine, running and waiting.
    pub running: u32,
    /// KV tokens in use.
    pub kv_tokens: u64,
}

/// Holds an amount of slots and KV tokens.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct Level {
    slots: u32,
    kv_tokens: u64,
}

impl Level {
    fn max(self, other: Self) -> Self {
        Self {
            slots: self.slots.max(other.slots),
            kv_tokens: self.kv_tokens.max(other.kv_tokens),
        }
    }
}

/// Counts what one endpoint runs, and what it has room for.
#[derive(Debug)]
pub struct Slots {
    rules: SlotRules,
    running: HashMap<ClaimId, Demand>,
    own: Level,
    own_urgent: Level,
    // Highest own level in each step of time over the span of a report's lag, oldest first.
    levels: VecDeque<(u128, Level)>,
    foreign: Level,
    reported_at: Option<Duration>,
}

impl Slots {
    /// Opens the count of an endpoint that runs nothing.
    #[must_use]
    pub fn new(rules: SlotRules) -> Self {
        Self {
            rules,
            running: HashMap::new(),
            own: Level::default(),
            own_urgent: Level::default(),
            levels: VecDeque::new(),
            foreign: Level::default(),
            reported_at: None,
        }
    }

    /// Takes over new rules; what runs goes on, even if it is more than the rules allow now.
    pub fn set_rules(&mut self, rules: SlotRules) {
        self.rules = rules;
    }

    /// Returns the rules in force.
    #[must_use]
    pub fn rules(&self) -> &SlotRules {
        &self.rules
    }

    /// Returns the number of requests that the sidecar runs.
    #[must_use]
    pub fn running_count(&self) -> u32 {
        self.own.slots
    }

    /// Returns whether a request has room.
    #[must_use]
    pub fn availability(&self, demand: Demand, now: Duration) -> Availability {
        let limit = self.limit(demand.is_urgent);
        if limit.slots == 0 || demand.kv_tokens > limit.kv_tokens {
            return Availability::Never;
        }
        let foreign = self.foreign(now);
        let total = Level {
            slots: self.own.slots.saturating_add(foreign.slots),
            kv_tokens: self.own.kv_tokens.saturating_add(foreign.kv_tokens),
        };
        if !fits(total, demand, self.limit(true)) {
            return Availability::Later;
        }
        // Urgent work in its own headroom doesn't count against the common part.
        let common = Level {
            slots: total.slots - self.own_urgent.slots,
            kv_tokens: total.kv_tokens - self.own_urgent.kv_tokens,
        };
        if demand.is_urgent || fits(common, demand, limit) {
            Availability::Now
        } else {
            Availability::Later
        }
    }

    /// Takes a slot and KV tokens for a grant, and returns whether there was room.
    ///
    /// # Panics
    ///
    /// Panics if the grant holds a slot already.
    pub fn acquire(&mut self, claim: ClaimId, demand: Demand, now: Duration) -> bool {
        if self.availability(demand, now) != Availability::Now {
            return false;
        }
        let former = self.running.insert(claim, demand);
        assert!(former.is_none(), "a grant takes one slot");
        self.add(demand);
        self.note_level(now);
        true
    }

    /// Corrects the KV tokens of a running request, as its answer grows beyond the estimate or its prompt was cached.
    ///
    /// The count may exceed the endpoint's tokens; nothing further starts until it has fallen.
    pub fn resize(&mut self, claim: ClaimId, kv_tokens: u64, now: Duration) {
        let Some(demand) = self.running.get_mut(&claim) else {
            return;
        };
        let former = *demand;
        demand.kv_tokens = kv_tokens;
        let changed = *demand;
        self.remove(former);
        self.add(changed);
        self.note_level(now);
    }

    /// Frees what a grant holds, and returns whether it held anything.
    pub fn release(&mut self, claim: ClaimId, now: Duration) -> bool {
        let Some(demand) = self.running.remove(&claim) else {
            return false;
        };
        self.note_level(now);
        self.remove(demand);
        true
    }

    /// Takes a load report of the engine that has just arrived.
    ///
    /// The report describes some moment within the longest lag. Only what exceeds the highest own level of that span is
    /// certainly not the sidecar's own, and counts beside its own runs.
    pub fn apply_report(&mut self, report: EngineReport, now: Duration) {
        self.note_level(now);
        let own = self
            .levels
            .iter()
            .fold(Level::default(), |highest, (_, level)| highest.max(*level));
        self.foreign = Level {
            slots: report.running.saturating_sub(own.slots),
            kv_tokens: report.kv_tokens.saturating_sub(own.kv_tokens),
        };
        self.reported_at = Some(now);
    }

    /// Returns the slots that requests which are not urgent could take now.
    #[must_use]
    pub fn free_slots(&self, now: Duration) -> u32 {
        let total = self.own.slots.saturating_add(self.foreign(now).slots);
        let common = total - self.own_urgent.slots;
        let free = self.limit(true).slots.saturating_sub(total);
        free.min(self.limit(false).slots.saturating_sub(common))
    }

    fn foreign(&self, now: Duration) -> Level {
        match self.reported_at {
            Some(at) if now.saturating_sub(at) <= self.rules.max_report_age => self.foreign,
            _ => Level::default(),
        }
    }

    fn limit(&self, is_urgent: bool) -> Level {
        let rules = &self.rules;
        let kv_tokens = if rules.kv_tokens == 0 {
            u64::MAX
        } else {
            rules.kv_tokens
        };
        if is_urgent {
            return Level {
                slots: rules.slots,
                kv_tokens,
            };
        }
        Level {
            slots: rules.slots.saturating_sub(rules.urgent_slots),
            kv_tokens: kv_tokens.saturating_sub(rules.urgent_kv_tokens),
        }
    }

    fn add(&mut self, demand: Demand) {
        self.own.slots += 1;
        self.own.kv_tokens += demand.kv_tokens;
        if demand.is_urgent {
            self.own_urgent.slots += 1;
            self.own_urgent.kv_tokens += demand.kv_tokens;
        }
    }

    fn remove(&mut self, demand: Demand) {
        self.own.slots -= 1;
        self.own.kv_tokens -= demand.kv_tokens;
        if demand.is_urgent {
            self.own_urgent.slots -= 1;
            self.own_urgent.kv_tokens -= demand.kv_tokens;
        }
    }

    /// Notes the present own level in the current step of time, and drops the steps that no report can describe any more.
    fn note_level(&mut self, now: Duration) {
        let step = (self.rules.max_report_lag / LEVEL_STEPS).max(Duration::from_millis(1));
        let current = now.as_nanos() / step.as_nanos();
        match self.levels.back_mut() {
            Some((at, level)) if *at == current => *level = level.max(self.own),
            _ => self.levels.push_back((current, self.own)),
        }
        let oldest = current.saturating_sub(u128::from(LEVEL_STEPS));
        // The level of the last step before the span lasted into it, so that one is kept.
        while self.levels.get(1).is_some_and(|(at, _)| *at <= oldest) {
            self.levels.pop_front();
        }
    }
}

fn fits(used: Level, demand: Demand, limit: Level) -> bool {
    used.slots < limit.slots && used.kv_tokens.saturating_add(demand.kv_tokens) <= limit.kv_tokens
}
