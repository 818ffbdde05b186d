//! Outlier detection for a single endpoint, based on the outcomes of its requests.

use std::time::Duration;

use rand::{Rng, RngExt};
use serde::{Deserialize, Serialize};

/// Share of an endpoint whose offers aren't reduced, in thousandths.
pub const FULL_SHARE_PERMILLE: u32 = 1000;

/// The settings of ejection and readmission.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HealthRules {
    /// Consecutive failures after which an endpoint is ejected.
    pub max_failures_in_row: u32,
    /// Mean failure rate, in thousandths, from which on an endpoint is ejected.
    pub max_failure_permille: u32,
    /// Samples needed before a mean is used.
    pub min_samples: u32,
    /// Multiple of the pool's median wait, in thousandths, above which an endpoint counts as slow.
    pub slow_permille: u64,
    /// Maximum fraction of a pool, in thousandths, that may be below its full share at once.
    pub max_reduced_permille: u32,
    /// Time from an ejection to the first probe; it doubles with each further ejection.
    pub probe_after: Duration,
    /// Maximum time from an ejection to the first probe.
    pub max_probe_after: Duration,
    /// Time after which a probe without a result is repeated.
    pub probe_timeout: Duration,
    /// Consecutive probes that must succeed before readmission.
    pub probes_needed: u32,
    /// Time over which a readmitted endpoint regains its full share.
    pub ramp: Duration,
    /// Share at the start of the ramp, in thousandths.
    pub ramp_start_permille: u32,
    /// Time at full share after which earlier ejections no longer lengthen the wait for a probe.
    #[serde(rename = "forgive_after")]
    pub reset_backoff_after: Duration,
}

impl Default for HealthRules {
    /// Returns the default settings.
    ///
    /// An endpoint that fails one request in ten at random has five consecutive failures with a probability of 1 in 100,000.
    /// The limit of one third allows ejecting one of three plain services and leaves two thirds of the pool in service.
    /// Batching and prompt length don't explain a mean wait of three times the median. The ramp is long enough to fill a
    /// prefix cache.
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

/// The outcome of a request that is evidence about the endpoint's health; refusals due to load are not.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sample {
    /// The endpoint answered.
    Answered {
        /// Time from handing the request to the endpoint to the first byte, divided by the units of estimated prompt cost.
        wait: Duration,
    },
    /// The endpoint or the connection to it failed.
    Failed,
    /// The endpoint sent nothing within the time limit.
    TimedOut,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum HealthState {
    Healthy {
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

/// The health of one endpoint.
#[derive(Debug, Clone)]
pub struct EndpointHealth {
    state: HealthState,
    failures_in_row: u32,
    samples: u32,
    mean_failure_permille: u32,
    mean_wait_us: u64,
    ejections: u32,
}

/// Inverse weight of a new sample in the exponentially weighted means; about the last dozen samples matter.
const EWMA_DIVISOR: u32 = 8;

impl EndpointHealth {
    /// Returns the health of an endpoint at full share.
    #[must_use]
    pub fn new(now: Duration) -> Self {
        Self {
            state: HealthState::Healthy { since: now },
            failures_in_row: 0,
            samples: 0,
            mean_failure_permille: 0,
            mean_wait_us: 0,
            ejections: 0,
        }
    }

    /// Returns the share of its usual offers that the endpoint gets at `now`, in thousandths.
    #[must_use]
    pub fn share_permille(&self, rules: &HealthRules, now: Duration) -> u32 {
        match self.state {
            HealthState::Healthy { .. } => FULL_SHARE_PERMILLE,
            HealthState::Ejected { .. } => 0,
            HealthState::Ramping { since } => ramp_share(rules, now.saturating_sub(since)),
        }
    }

    /// Returns whether the endpoint is ejected.
    #[must_use]
    pub fn is_ejected(&self) -> bool {
        matches!(self.state, HealthState::Ejected { .. })
    }

    /// Returns the mean wait in microseconds, or `None` if there are too few samples or the endpoint is ejected.
    #[must_use]
    pub fn mean_wait_us(&self, rules: &HealthRules) -> Option<u64> {
        (self.samples >= rules.min_samples && !self.is_ejected()).then_some(self.mean_wait_us)
    }

    /// Records an outcome; while the endpoint is ejected, outcomes are late and are ignored.
    pub fn observe(&mut self, sample: Sample) {
        if self.is_ejected() {
            return;
        }
        self.samples = self.samples.saturating_add(1);
        match sample {
            Sample::Answered { wait } => {
                let wait_us = u64::try_from(wait.as_micros()).unwrap_or(u64::MAX / 2);
                self.failures_in_row = 0;
                self.mean_failure_permille -= self.mean_failure_permille.div_ceil(EWMA_DIVISOR);
                self.mean_wait_us = ewma(self.mean_wait_us, wait_us, self.samples);
            }
            Sample::Failed | Sample::TimedOut => {
                self.failures_in_row = self.failures_in_row.saturating_add(1);
                self.mean_failure_permille +=
                    (FULL_SHARE_PERMILLE - self.mean_failure_permille) / EWMA_DIVISOR;
            }
        }
    }

    /// Returns whether the endpoint has failed often enough to be ejected.
    #[must_use]
    pub fn is_failing(&self, rules: &HealthRules) -> bool {
        let has_failed_often = self.samples >= rules.min_samples
            && self.mean_failure_permille >= rules.max_failure_permille;
        !self.is_ejected()
            && (self.failures_in_row >= rules.max_failures_in_row || has_failed_often)
    }

    /// Ejects the endpoint and schedules a probe after between half and all of an exponential backoff, at random.
    pub fn eject(&mut self, rules: &HealthRules, now: Duration, rng: &mut impl Rng) {
        let resets_backoff = match self.state {
            HealthState::Healthy { since } => {
                now.saturating_sub(since) >= rules.reset_backoff_after
            }
            HealthState::Ejected { .. } | HealthState::Ramping { .. } => false,
        };
        if resets_backoff {
            self.ejections = 0;
        }
        let wait = rules
            .probe_after
            .saturating_mul(1 << self.ejections.min(16));
        let wait = wait.min(rules.max_probe_after);
        let wait = wait.mul_f64(rng.random_range(0.5..=1.0));
        self.ejections = self.ejections.saturating_add(1);
        self.state = HealthState::Ejected {
            probe_at: now + wait,
            probes_passed: 0,
        };
        self.reset_means();
    }

    /// Returns whether a probe is due; if so, schedules the next one after the probe timeout.
    pub fn start_probe(&mut self, rules: &HealthRules, now: Duration) -> bool {
        let HealthState::Ejected { probe_at, .. } = &mut self.state else {
            return false;
        };
        if now < *probe_at {
            return false;
        }
        *probe_at = now + rules.probe_timeout;
        true
    }

    /// Records the result of a probe.
    pub fn record_probe(
        &mut self,
        is_ok: bool,
        rules: &HealthRules,
        now: Duration,
        rng: &mut impl Rng,
    ) {
        let HealthState::Ejected { probes_passed, .. } = self.state else {
            return;
        };
        if !is_ok {
            self.eject(rules, now, rng);
            return;
        }
        let probes_passed = probes_passed + 1;
        self.state = if probes_passed >= rules.probes_needed {
            HealthState::Ramping { since: now }
        } else {
            let probe_at = now + rules.probe_after;
            HealthState::Ejected {
                probe_at,
                probes_passed,
            }
        };
    }

    /// Restores the endpoint's full share immediately.
    pub fn restore_full_share(&mut self, now: Duration) {
        self.state = HealthState::Healthy { since: now };
        self.reset_means();
    }

    /// Marks the endpoint as healthy if its ramp is over.
    pub fn finish_ramp(&mut self, rules: &HealthRules, now: Duration) {
        if let HealthState::Ramping { since } = self.state
            && now.saturating_sub(since) >= rules.ramp
        {
            self.state = HealthState::Healthy {
                since: since + rules.ramp,
            };
        }
    }

    fn reset_means(&mut self) {
        self.failures_in_row = 0;
        self.samples = 0;
        self.mean_failure_permille = 0;
        self.mean_wait_us = 0;
    }
}

/// The health of a sidecar's own endpoint, which limits the endpoint's slots.
///
/// The sidecar ejects only for failures and timeouts: it sees one endpoint, so comparing waits is left to the entries. The
/// limit on the ejected fraction of a pool doesn't apply here, as a failing endpoint has no use for slots and the sidecar's
/// refusals prove that the request did not run.
#[derive(Debug)]
pub struct LocalEndpointHealth {
    rules: HealthRules,
    health: EndpointHealth,
}

impl LocalEndpointHealth {
    /// Returns the health of an endpoint at full share.
    #[must_use]
    pub fn new(rules: HealthRules, now: Duration) -> Self {
        Self {
            rules,
            health: EndpointHealth::new(now),
        }
    }

    /// Records an outcome and returns whether it caused an ejection.
    pub fn observe(&mut self, sample: Sample, now: Duration, rng: &mut impl Rng) -> bool {
        self.health.finish_ramp(&self.rules, now);
        self.health.observe(sample);
        let is_failing = self.health.is_failing(&self.rules);
        if is_failing {
            self.health.eject(&self.rules, now, rng);
        }
        is_failing
    }

    /// Returns how many of the endpoint's slots may be in use: at least one unless the endpoint is ejected.
    #[must_use]
    pub fn slot_limit(&self, slots: u32, now: Duration) -> u32 {
        let share = self.health.share_permille(&self.rules, now);
        slots.saturating_mul(share).div_ceil(FULL_SHARE_PERMILLE)
    }

    /// Returns whether a probe is due; if so, schedules the next one after the probe timeout.
    pub fn start_probe(&mut self, now: Duration) -> bool {
        self.health.start_probe(&self.rules, now)
    }

    /// Records the result of a probe.
    pub fn record_probe(&mut self, is_ok: bool, now: Duration, rng: &mut impl Rng) {
        self.health.record_probe(is_ok, &self.rules, now, rng);
    }
}

/// Returns the share, in thousandths, at `elapsed` into the ramp.
fn ramp_share(rules: &HealthRules, elapsed: Duration) -> u32 {
    if elapsed >= rules.ramp {
        return FULL_SHARE_PERMILLE;
    }
    let start = rules.ramp_start_permille.min(FULL_SHARE_PERMILLE);
    let gained = u128::from(FULL_SHARE_PERMILLE - start) * elapsed.as_micros()
        / rules.ramp.as_micros().max(1);
    start + u32::try_from(gained).expect("a ramp gains less than a full share")
}

/// Returns the exponentially weighted mean after a sample; the first samples are weighted equally.
fn ewma(previous: u64, sample: u64, samples: u32) -> u64 {
    let weight = u64::from(samples.min(EWMA_DIVISOR));
    (previous * (weight - 1) + sample) / weight
}
