//! Computes the use of slots, and the capacity that was idle while work waited.

use std::collections::BTreeMap;
use std::fmt::{self, Display};

use serde::Serialize;

use crate::burn_text::{percent, write_coverage};
use crate::gap::pool_of;
use crate::increments::{Coverage, coverage, is_gap, median_interval_ms, ratio};
use crate::recording::{Recording, Scrape};
use crate::text::{span, table};

/// Gauge of the occupied slots of a sidecar.
const RUNNING: &str = "hinge_sidecar_running";

/// Gauge of the offers that wait at a sidecar, by class.
const WAITING: &str = "hinge_sidecar_waiting";

/// Report on the use of capacity in every pool.
#[derive(Debug, Serialize)]
pub struct UtilisationReport {
    /// Length of the part of the recording that is reported, in milliseconds.
    pub window_ms: u64,
    /// Pools in the order of their names; the name is empty for sidecars whose pool is not known.
    pub pools: Vec<PoolUse>,
    /// How completely each instance was recorded.
    pub coverage: Vec<Coverage>,
    /// Whether the last record of the file was truncated.
    pub is_cut: bool,
}

/// Use of capacity in one pool.
#[derive(Debug, Default, Serialize)]
pub struct PoolUse {
    /// Pool.
    pub pool: Box<str>,
    /// Sidecars with pages.
    pub endpoints: usize,
    /// Sidecars whose slots are not known; their time is left out of the fractions.
    pub without_slots: usize,
    /// Recorded time of all sidecars together, in milliseconds.
    pub recorded_ms: u64,
    /// Mean number of occupied slots in the whole pool.
    pub mean_running: f64,
    /// Fraction of the slots that was occupied.
    pub used: Option<f64>,
    /// Fraction of the sidecars' time in which a slot was free while offers waited at the same sidecar.
    pub idle_while_waiting: Option<f64>,
}

/// Sums over the sidecars of one pool.
#[derive(Default)]
struct PoolTotals {
    endpoints: usize,
    without_slots: usize,
    recorded_ms: u64,
    known_ms: u64,
    running_ms: f64,
    used_ms: f64,
    slots_ms: f64,
    idle_ms: u64,
}

/// Returns the report on the use of capacity in the last part of a recording.
#[must_use]
pub fn utilisation(recording: &Recording, window_ms: Option<u64>) -> UtilisationReport {
    let (from_ms, to_ms) = recording.span_ms().unwrap_or_default();
    let window_ms = window_ms.unwrap_or(u64::MAX).min(to_ms - from_ms);
    let from_ms = to_ms - window_ms;
    let mut totals_by_pool: BTreeMap<&str, PoolTotals> = BTreeMap::new();
    for (instance, scrapes) in &recording.scrapes {
        if scrapes
            .iter()
            .any(|scrape| gauge(scrape, RUNNING).is_some())
        {
            let totals = totals_by_pool
                .entry(pool_of(recording, instance))
                .or_default();
            totals.add(slots_of(recording, instance), scrapes, from_ms);
        }
    }
    let pools = totals_by_pool.into_iter();
    UtilisationReport {
        window_ms,
        pools: pools
            .map(|(pool, totals)| totals.report(pool, window_ms))
            .collect(),
        coverage: coverage(recording),
        is_cut: recording.is_cut,
    }
}

fn slots_of(recording: &Recording, instance: &str) -> Option<u32> {
    let endpoint = recording.endpoints.get(instance);
    endpoint
        .map(|endpoint| endpoint.slots)
        .filter(|slots| *slots > 0)
}

/// Returns the sum of a gauge over its labels.
fn gauge(scrape: &Scrape, name: &str) -> Option<f64> {
    let samples = scrape.samples.iter();
    let values = samples.filter(|sample| *sample.series.name == *name);
    values
        .map(|sample| sample.value)
        .reduce(|left, right| left + right)
}

impl PoolTotals {
    /// Adds one sidecar; the values of a page last until the next page, and a gap is not recorded time.
    fn add(&mut self, slots: Option<u32>, scrapes: &[Scrape], from_ms: u64) {
        self.endpoints += 1;
        self.without_slots += usize::from(slots.is_none());
        let median_ms = median_interval_ms(scrapes).unwrap_or(u64::MAX);
        for pair in scrapes.windows(2) {
            let (page, next) = (&pair[0], &pair[1]);
            let duration_ms = next.at_ms.saturating_sub(page.at_ms.max(from_ms));
            if !is_gap(next.at_ms - page.at_ms, median_ms) && duration_ms > 0 {
                self.add_page(slots, page, duration_ms);
            }
        }
    }

    fn add_page(&mut self, slots: Option<u32>, page: &Scrape, duration_ms: u64) {
        let weight_ms = ratio(duration_ms, 1);
        let running = gauge(page, RUNNING).unwrap_or(0.0);
        self.recorded_ms += duration_ms;
        self.running_ms += running * weight_ms;
        let Some(slots) = slots.map(f64::from) else {
            return;
        };
        self.known_ms += duration_ms;
        self.used_ms += running.min(slots) * weight_ms;
        self.slots_ms += slots * weight_ms;
        if running < slots && gauge(page, WAITING).unwrap_or(0.0) > 0.0 {
            self.idle_ms += duration_ms;
        }
    }

    fn report(self, pool: &str, window_ms: u64) -> PoolUse {
        let is_known = self.known_ms > 0;
        PoolUse {
            pool: pool.into(),
            endpoints: self.endpoints,
            without_slots: self.without_slots,
            recorded_ms: self.recorded_ms,
            mean_running: if window_ms == 0 {
                0.0
            } else {
                self.running_ms / ratio(window_ms, 1)
            },
            used: is_known.then(|| self.used_ms / self.slots_ms),
            idle_while_waiting: is_known.then(|| ratio(self.idle_ms, self.known_ms)),
        }
    }
}

impl Display for UtilisationReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "slots over the last {}", span(self.window_ms))?;
        if self.pools.is_empty() {
            writeln!(f, "the samples hold no page with {RUNNING}")?;
        } else {
            let rows: Vec<_> = self.pools.iter().map(row).collect();
            let head = [
                "POOL",
                "ENDPOINTS",
                "RUNNING",
                "USED",
                "IDLE WHILE WORK WAITED",
            ];
            write!(f, "{}", table(&head, &rows))?;
        }
        for pool in self.pools.iter().filter(|pool| pool.without_slots > 0) {
            writeln!(
                f,
                "{} endpoints have no known slots; give --control while samples are collected, so that they are recorded",
                pool.without_slots
            )?;
        }
        write_coverage(f, &self.coverage, self.is_cut)
    }
}

fn row(pool: &PoolUse) -> Vec<String> {
    let unknown = || "?".to_owned();
    let name = if pool.pool.is_empty() {
        "?"
    } else {
        &pool.pool
    };
    vec![
        name.to_owned(),
        pool.endpoints.to_string(),
        format!("{:.2}", pool.mean_running),
        pool.used.map_or_else(unknown, percent),
        pool.idle_while_waiting.map_or_else(unknown, percent),
    ]
}
