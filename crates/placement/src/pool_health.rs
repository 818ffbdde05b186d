//! The health of a pool's sidecars as seen by one entry, with a limit on the ejected fraction of the pool.

use std::{collections::HashMap, time::Duration};

use rand::Rng;
use smallvec::SmallVec;

use crate::{
    SidecarId,
    health::{EndpointHealth, FULL_SHARE_PERMILLE, HealthRules, Sample},
};

/// Minimum sidecars with enough samples to compute a median; of two, neither can be called the slow one.
const MIN_SIDECARS_FOR_MEDIAN: usize = 3;

/// The health of one pool's sidecars as seen by one entry.
///
/// A sidecar counts against the pool's limit until its ramp is over. Otherwise, a fault that moves from one sidecar to the
/// next could eject the whole pool step by step.
#[derive(Debug)]
pub struct PoolHealth {
    rules: HealthRules,
    sidecars: HashMap<SidecarId, EndpointHealth>,
}

impl PoolHealth {
    /// Returns the health of a pool without sidecars.
    #[must_use]
    pub fn new(rules: HealthRules) -> Self {
        Self {
            rules,
            sidecars: HashMap::new(),
        }
    }

    /// Sets the members; if too many are now below full share, restores those closest to it.
    pub fn set_members(&mut self, members: &[SidecarId], now: Duration) {
        let previous = std::mem::take(&mut self.sidecars);
        self.sidecars = members
            .iter()
            .map(|id| {
                (
                    *id,
                    previous
                        .get(id)
                        .cloned()
                        .unwrap_or_else(|| EndpointHealth::new(now)),
                )
            })
            .collect();
        while self.reduced_count(now) > self.max_reduced() {
            self.restore_one(now);
        }
    }

    /// Records an outcome and returns whether it caused an ejection.
    pub fn observe(
        &mut self,
        sidecar: SidecarId,
        sample: Sample,
        now: Duration,
        rng: &mut impl Rng,
    ) -> bool {
        let Some(health) = self.sidecars.get_mut(&sidecar) else {
            return false;
        };
        health.finish_ramp(&self.rules, now);
        health.observe(sample);
        let is_reduced = health.share_permille(&self.rules, now) < FULL_SHARE_PERMILLE;
        let should_eject = health.is_failing(&self.rules) || self.is_slow(sidecar);
        let is_allowed = is_reduced || self.reduced_count(now) < self.max_reduced();
        if should_eject
            && is_allowed
            && let Some(health) = self.sidecars.get_mut(&sidecar)
        {
            health.eject(&self.rules, now, rng);
            return true;
        }
        false
    }

    /// Returns the sidecars whose probes are due, and schedules their next ones after the probe timeout.
    pub fn start_probes(&mut self, now: Duration) -> SmallVec<[SidecarId; 4]> {
        let rules = &self.rules;
        let mut due: SmallVec<[SidecarId; 4]> = self
            .sidecars
            .iter_mut()
            .filter_map(|(id, health)| health.start_probe(rules, now).then_some(*id))
            .collect();
        due.sort_unstable();
        due
    }

    /// Records the result of a probe.
    pub fn record_probe(
        &mut self,
        sidecar: SidecarId,
        is_ok: bool,
        now: Duration,
        rng: &mut impl Rng,
    ) {
        if let Some(health) = self.sidecars.get_mut(&sidecar) {
            health.record_probe(is_ok, &self.rules, now, rng);
        }
    }

    /// Returns the share of its usual offers that a sidecar gets at `now`, in thousandths; an unknown one has the full share.
    #[must_use]
    pub fn share_permille(&self, sidecar: SidecarId, now: Duration) -> u32 {
        self.sidecars
            .get(&sidecar)
            .map_or(FULL_SHARE_PERMILLE, |health| {
                health.share_permille(&self.rules, now)
            })
    }

    /// Returns the number of sidecars that are below their full share at `now`.
    #[must_use]
    pub fn reduced_count(&self, now: Duration) -> usize {
        self.sidecars
            .values()
            .filter(|health| health.share_permille(&self.rules, now) < FULL_SHARE_PERMILLE)
            .count()
    }

    /// Returns how many sidecars may be below their full share at once.
    #[must_use]
    pub fn max_reduced(&self) -> usize {
        self.sidecars.len() * self.rules.max_reduced_permille as usize
            / FULL_SHARE_PERMILLE as usize
    }

    /// Returns whether a sidecar's mean wait is far above the pool's median.
    fn is_slow(&self, sidecar: SidecarId) -> bool {
        let Some(wait_us) = self.sidecars[&sidecar].mean_wait_us(&self.rules) else {
            return false;
        };
        let mut waits: Vec<_> = self
            .sidecars
            .values()
            .filter_map(|health| health.mean_wait_us(&self.rules))
            .collect();
        if waits.len() < MIN_SIDECARS_FOR_MEDIAN {
            return false;
        }
        let middle = (waits.len() - 1) / 2;
        let (_, median_us, _) = waits.select_nth_unstable(middle);
        let limit_us = u128::from((*median_us).max(1)) * u128::from(self.rules.slow_permille)
            / u128::from(FULL_SHARE_PERMILLE);
        u128::from(wait_us) > limit_us
    }

    fn restore_one(&mut self, now: Duration) {
        let rules = &self.rules;
        let nearest = self
            .sidecars
            .iter_mut()
            .map(|(id, health)| (health.share_permille(rules, now), *id, health))
            .filter(|(share, _, _)| *share < FULL_SHARE_PERMILLE)
            .max_by_key(|(share, id, _)| (*share, *id));
        if let Some((_, _, health)) = nearest {
            health.restore_full_share(now);
        }
    }
}
