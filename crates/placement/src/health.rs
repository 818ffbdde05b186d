//! Judges one endpoint by the outcomes of the work that it was given.

use std::time::Duration;

use rand::{Rng, RngExt};
use serde::{Deserialize, Serialize};

/// Share of an endpoint that gets all the offers it would get by itself, in thousandths.
pub const FULL_SHARE_PERMILLE: u32 = 1000;

/// Sets when an endpoint is ejected and how it comes back.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HealthRules {
    /// Failures in a row that eject.
    pub max_failures_in_row: u32,
    /// Mean share of failures, in thousandths, that ejects.
    pub max_failure_permille: u32,
    /// Samples needed before a mean counts.
    pub min_samples: u32,
    /// Times the pool's median wait, in thousandths, from which on an endpoint counts as slow.
    pub slow_permille: u64,
    /// Greatest part of a pool, in thousandths, that may be below its full share at once.
    pub max_reduced_permille: u32,
    /// Time from an ejection to the first probe; it doubles with each further ejection.
    pub probe_after: Duration,
    /// Longest time from an ejection to a probe.
    pub max_probe_after: Duration,
    /// Time after which a probe without a result is made again.
    pub probe_timeout: Duration,
    /// Probes in a row that must succeed.
    pub probes_needed: u32,
    /// Time over which an endpoint that comes back gets its full share.
    pub ramp: Duration,
    /// Share at the start of that time, in thousandths.
    pub ramp_start_permille: u32,
    /// Time at full share after which former ejections no longer count.
    #[serde(rename = "forgive_after")]
    pub reset_backoff_after: Duration,
}

impl Default for HealthRules {
    /// Returns the defaults.
    ///
    /// Five failures in a row are a 1 in 100,000 event for an endpoint that fails one request in ten by chance. A third of
    /// a pool allows one of three plain services to be ejected, and leaves two thirds to serve. A wait of three times the
    /// median is beyond what batching and prompt length explain on average. The ramp is long enough to fill a prefix cache.
    fn default() -> Self {
        Self {
            max_failures_in_row: 5,
            max_failure_permille: 500,
            min_samples: 16,
            slow_permille: 3000,
            max_reduced_permille: 334,
            probe_after: Duration::from_secs(1),
            max_probe_after: Duration::from_mins(1),
            probe_timeout: Duration::from_secs(5),
            probes_needed: 2,
            ramp: Duration::from_secs(30),
            ramp_start_permille: 50,
            reset_backoff_after: Duration::from_mins(5),
        }
    }
}

/// Holds one outcome as far as it speaks about the endpoint; a refusal for load says nothing and is not fed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sample {
    /// The endpoint answered.
    Answered {
        /// Time from the hand-over to the first byte, for each unit of estimated prompt cost.
        wait: Duration,
    },
    /// The endpoint, or the way to it, failed.
    Failed,
    /// The endpoint was silent beyond the limit.
    TimedOut,
}

/// Says how an endpoint stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Standing {
    Admitted {
        since: Duration,
    },
    Ejected {
        probe_at: Duration,
        probes_passed: u32,
    },
    Ramping {
        since: Duration,
    },
}

/// Judges one endpoint.
#[derive(Debug, Clone)]
pub struct EndpointHealth {
    standing: Standing,
    failures_in_row: u32,
    samples: u32,
    failure_permille: u32,
    wait_us: u64,
    ejections: u32,
}

/// Weight of a new sample in the running means is one in this many; about the last dozen samples count.
const MEAN_WEIGHT: u32 = 8;

impl EndpointHealth {
    /// Opens the record of an endpoint at full share.
    #[must_use]
    pub fn new(now: Duration) -> Self {
        Self {
            standing: Standing::Admitted { since: now },
            failures_in_row: 0,
            samples: 0,
            failure_permille: 0,
            wait_us: 0,
            ejections: 0,
        }
    }

    /// Returns the share of its offers that the endpoint gets now, in thousandths.
    #[must_use]
    pub fn share_permille(&self, rules: &HealthRules, now: Duration) -> u32 {
        match self.standing {
            Standing::Admitted { .. } => FULL_SHARE_PERMILLE,
            Standing::Ejected { .. } => 0,
            Standing::Ramping { since } => ramp_share(rules, now.saturating_sub(since)),
        }
    }

    /// Returns whether the endpoint is ejected.
    #[must_use]
    pub fn is_ejected(&self) -> bool {
        matches!(self.standing, Standing::Ejected { .. })
    }

    /// Returns the mean wait, once there are enough samples.
    #[must_use]
    pub fn wait_us(&self, rules: &HealthRules) -> Option<u64> {
        (self.samples >= rules.min_samples && !self.is_ejected()).then_some(self.wait_us)
    }

    /// Takes an outcome; those of an ejected endpoint are late and change nothing.
    pub fn observe(&mut self, sample: Sample) {
        if self.is_ejected() {
            return;
        }
        self.samples = self.samples.saturating_add(1);
        match sample {
            Sample::Answered { wait } => {
                let wait_us = u64::try_from(wait.as_micros()).unwrap_or(u64::MAX / 2);
                self.failures_in_row = 0;
                self.failure_permille -= self.failure_permille.div_ceil(MEAN_WEIGHT);
                self.wait_us = mean(self.wait_us, wait_us, self.samples);
            }
            Sample::Failed | Sample::TimedOut => {
                self.failures_in_row = self.failures_in_row.saturating_add(1);
                self.failure_permille +=
                    (FULL_SHARE_PERMILLE - self.failure_permille) / MEAN_WEIGHT;
            }
        }
    }

    /// Returns whether its failures call for an ejection.
    #[must_use]
    pub fn is_failing(&self, rules: &HealthRules) -> bool {
        let has_failed_often = self.samples >= rules.min_samples
            && self.failure_permille >= rules.max_failure_permille;
        !self.is_ejected()
            && (self.failures_in_row >= rules.max_failures_in_row || has_failed_often)
    }

    /// Ejects the endpoint until a probe, at a time drawn from the upper half of its doubling wait.
    pub fn eject(&mut self, rules: &HealthRules, now: Duration, rng: &mut impl Rng) {
        let is_forgiven = match self.standing {
            Standing::Admitted { since } => now.saturating_sub(since) >= rules.reset_backoff_after,
            Standing::Ejected { .. } | Standing::Ramping { .. } => false,
        };
        if is_forgiven {
            self.ejections = 0;
        }
        let wait = rules
            .probe_after
            .saturating_mul(1 << self.ejections.min(16));
        let wait = wait.min(rules.max_probe_after);
        let wait = wait.mul_f64(rng.random_range(0.5..=1.0));
        self.ejections = self.ejections.saturating_add(1);
        self.standing = Standing::Ejected {
            probe_at: now + wait,
            probes_passed: 0,
        };
        self.clear_means();
    }

    /// Returns whether a probe is due, and puts off the next one by the probe's timeout.
    pub fn start_probe(&mut self, rules: &HealthRules, now: Duration) -> bool {
        let Standing::Ejected { probe_at, .. } = &mut self.standing else {
            return false;
        };
        if now < *probe_at {
            return false;
        }
        *probe_at = now + rules.probe_timeout;
        true
    }

    /// Takes the result of a probe.
    pub fn record_probe(
        &mut self,
        is_ok: bool,
        rules: &HealthRules,
        now: Duration,
        rng: &mut impl Rng,
    ) {
        let Standing::Ejected { probes_passed, .. } = self.standing else {
            return;
        };
        if !is_ok {
            self.eject(rules, now, rng);
            return;
        }
        let probes_passed = probes_passed + 1;
        self.standing = if probes_passed >= rules.probes_needed {
            Standing::Ramping { since: now }
        } else {
            let probe_at = now + rules.probe_after;
            Standing::Ejected {
                probe_at,
                probes_passed,
            }
        };
    }

    /// Gives the endpoint its full share at once.
    pub fn admit(&mut self, now: Duration) {
        self.standing = Standing::Admitted { since: now };
        self.clear_means();
    }

    /// Turns a ramp that is over into a full share.
    pub fn settle(&mut self, rules: &HealthRules, now: Duration) {
        if let Standing::Ramping { since } = self.standing
            && now.saturating_sub(since) >= rules.ramp
        {
            self.standing = Standing::Admitted {
                since: since + rules.ramp,
            };
        }
    }

    fn clear_means(&mut self) {
        self.failures_in_row = 0;
        self.samples = 0;
        self.failure_permille = 0;
        self.wait_us = 0;
    }
}

/// Judges the one endpoint of a sidecar, and limits its slots.
///
/// The sidecar ejects only for failures and silence: it can't compare waits, which is left to the entries. An endpoint
/// that fails has no use for slots, so no fraction of the pool is kept up here; the sidecar refuses with a proven
/// "not run".
#[derive(Debug)]
pub struct LocalEndpointHealth {
    rules: HealthRules,
    health: EndpointHealth,
}

impl LocalEndpointHealth {
    /// Opens the record of an endpoint at full share.
    #[must_use]
    pub fn new(rules: HealthRules, now: Duration) -> Self {
        Self {
            rules,
            health: EndpointHealth::new(now),
        }
    }

    /// Takes an outcome, and returns whether the endpoint is ejected by it.
    pub fn observe(&mut self, sample: Sample, now: Duration, rng: &mut impl Rng) -> bool {
        self.health.settle(&self.rules, now);
        self.health.observe(sample);
        let is_failing = self.health.is_failing(&self.rules);
        if is_failing {
            self.health.eject(&self.rules, now, rng);
        }
        is_failing
    }

    /// Returns how many of the endpoint's slots may be in use; at least one unless it is ejected.
    #[must_use]
    pub fn slot_limit(&self, slots: u32, now: Duration) -> u32 {
        let share = self.health.share_permille(&self.rules, now);
        slots.saturating_mul(share).div_ceil(FULL_SHARE_PERMILLE)
    }

    /// Returns whether the sidecar should probe its endpoint now.
    pub fn start_probe(&mut self, now: Duration) -> bool {
        self.health.start_probe(&self.rules, now)
    }

    /// Takes the result of a probe.
    pub fn record_probe(&mut self, is_ok: bool, now: Duration, rng: &mut impl Rng) {
        self.health.record_probe(is_ok, &self.rules, now, rng);
    }
}

/// Returns the share after this time of a ramp, in thousandths.
fn ramp_share(rules: &HealthRules, elapsed: Duration) -> u32 {
    if elapsed >= rules.ramp {
        return FULL_SHARE_PERMILLE;
    }
    let start = rules.ramp_start_permille.min(FULL_SHARE_PERMILLE);
    let gained = u128::from(FULL_SHARE_PERMILLE - start) * elapsed.as_micros()
        / rules.ramp.as_micros().max(1);
    start + u32::try_from(gained).expect("less than a full share")
}

/// Returns the running mean after a sample; the first samples count evenly.
fn mean(former: u64, sample: u64, samples: u32) -> u64 {
    let weight = u64::from(samples.min(MEAN_WEIGHT));
    (former * (weight - 1) + sample) / weight
}
