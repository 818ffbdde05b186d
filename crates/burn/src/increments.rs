//! Computes the increments of counters across restarts and missing pages.
//!
//! A counter starts from zero when its process restarts. A restart shows as another incarnation on the page, or as a counter of
//! the instance that fell or disappeared; then all counters of the instance started from zero, and their values are the
//! increments. What a process counted between its last page and its end is lost; the report says how often that happened.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::page::Series;
use crate::recording::{Recording, Scrape};

/// Suffixes of the names of series that only grow.
const COUNTER_SUFFIXES: [&str; 4] = ["_total", "_count", "_bucket", "_sum"];

/// Metric that has the incarnation of the process as a label.
const INFO: &str = "hinge_process_info";

/// Multiple of the usual interval between pages above which an interval is a gap; one lost page doubles the interval.
const GAP_FACTOR: f64 = 1.5;

/// The growth of one series of one instance between two pages.
#[derive(Clone, Debug, PartialEq)]
pub struct Increment<'r> {
    /// Instance.
    pub instance: &'r str,
    /// Time of the earlier page, in milliseconds since 1970.
    pub from_ms: u64,
    /// Time of the later page, in milliseconds since 1970.
    pub to_ms: u64,
    /// Series.
    pub series: &'r Series,
    /// Growth.
    pub amount: f64,
}

impl Increment<'_> {
    /// Returns the fraction of the increment that falls between two times, if it grew evenly.
    #[must_use]
    pub fn fraction_within(&self, from_ms: u64, to_ms: u64) -> f64 {
        fraction_within(self.from_ms, self.to_ms, from_ms, to_ms)
    }
}

/// Returns the fraction of a span that falls between two times.
pub(crate) fn fraction_within(span_from_ms: u64, span_to_ms: u64, from_ms: u64, to_ms: u64) -> f64 {
    let overlap_ms = span_to_ms
        .min(to_ms)
        .saturating_sub(span_from_ms.max(from_ms));
    ratio(overlap_ms, span_to_ms - span_from_ms)
}

/// Returns the quotient of two spans, and zero when the divisor is zero.
#[expect(
    clippy::cast_precision_loss,
    reason = "spans of a recording are far below 2^52 ms"
)]
pub(crate) fn ratio(dividend: u64, divisor: u64) -> f64 {
    if divisor == 0 {
        0.0
    } else {
        dividend as f64 / divisor as f64
    }
}

/// How completely one instance was recorded.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Coverage {
    /// Instance.
    pub instance: Box<str>,
    /// Pages that were read.
    pub pages: usize,
    /// Pages that were requested and not received.
    pub missing: usize,
    /// Why the last of them was not received.
    pub cause: Option<Box<str>>,
    /// Restarts that were detected; the counts between the last page and each restart are lost.
    pub restarts: usize,
    /// Longest interval between two pages if it is a gap, in milliseconds.
    pub longest_gap_ms: Option<u64>,
    /// Whether there are too few pages to compute an increment.
    pub is_unusable: bool,
}

/// Returns the increments of every counter.
#[must_use]
pub fn increments(recording: &Recording) -> Vec<Increment<'_>> {
    let mut increments = Vec::new();
    for scrapes in recording.scrapes.values() {
        for pair in scrapes.windows(2) {
            add_increments(&pair[0], &pair[1], &mut increments);
        }
    }
    increments
}

fn add_increments<'r>(earlier: &'r Scrape, later: &'r Scrape, increments: &mut Vec<Increment<'r>>) {
    let before = counters(earlier);
    let after = counters(later);
    let has_restarted = has_restarted(earlier, later);
    for (series, value) in after {
        let base = if has_restarted {
            0.0
        } else {
            before.get(series).copied().unwrap_or(0.0)
        };
        let amount = value - base;
        if amount > 0.0 {
            increments.push(Increment {
                instance: &later.instance,
                from_ms: earlier.at_ms,
                to_ms: later.at_ms,
                series,
                amount,
            });
        }
    }
}

fn counters(scrape: &Scrape) -> BTreeMap<&Series, f64> {
    let samples = scrape.samples.iter();
    let counters = samples.filter(|sample| is_counter(&sample.series.name));
    counters
        .map(|sample| (&sample.series, sample.value))
        .collect()
}

fn is_counter(name: &str) -> bool {
    COUNTER_SUFFIXES.iter().any(|suffix| name.ends_with(suffix))
}

fn has_restarted(earlier: &Scrape, later: &Scrape) -> bool {
    let incarnations = (incarnation(earlier), incarnation(later));
    if let (Some(before), Some(after)) = incarnations {
        return before != after;
    }
    let after = counters(later);
    let has_fallen =
        |(series, value): (&Series, f64)| after.get(series).is_none_or(|now| *now < value);
    counters(earlier).into_iter().any(has_fallen)
}

fn incarnation(scrape: &Scrape) -> Option<&str> {
    let mut series = scrape.samples.iter().map(|sample| &sample.series);
    let info = series.find(|series| &*series.name == INFO)?;
    info.labels.get("incarnation").map(|text| &**text)
}

/// Returns how completely each instance was recorded.
#[must_use]
pub fn coverage(recording: &Recording) -> Vec<Coverage> {
    let mut instances: Vec<_> = recording
        .scrapes
        .keys()
        .chain(recording.missing.keys())
        .collect();
    instances.sort_unstable();
    instances.dedup();
    instances
        .into_iter()
        .map(|instance| instance_coverage(recording, instance))
        .collect()
}

fn instance_coverage(recording: &Recording, instance: &str) -> Coverage {
    let scrapes = recording.scrapes.get(instance).map_or(&[][..], |all| all);
    let missing = recording.missing.get(instance).map_or(&[][..], |all| all);
    let pairs = scrapes.windows(2);
    Coverage {
        instance: instance.into(),
        pages: scrapes.len(),
        missing: missing.len(),
        cause: missing.last().map(|missing| missing.cause.clone()),
        restarts: pairs
            .filter(|pair| has_restarted(&pair[0], &pair[1]))
            .count(),
        longest_gap_ms: longest_gap(scrapes),
        is_unusable: scrapes.len() < 2,
    }
}

fn longest_gap(scrapes: &[Scrape]) -> Option<u64> {
    let longest_ms = intervals_ms(scrapes).max()?;
    let median_ms = median_interval_ms(scrapes)?;
    is_gap(longest_ms, median_ms).then_some(longest_ms)
}

fn intervals_ms(scrapes: &[Scrape]) -> impl Iterator<Item = u64> {
    scrapes.windows(2).map(|pair| pair[1].at_ms - pair[0].at_ms)
}

/// Returns the median interval between two pages.
pub(crate) fn median_interval_ms(scrapes: &[Scrape]) -> Option<u64> {
    let mut intervals_ms: Vec<_> = intervals_ms(scrapes).collect();
    intervals_ms.sort_unstable();
    intervals_ms.get(intervals_ms.len() / 2).copied()
}

/// Returns whether the interval between two pages is so long that pages are missing.
pub(crate) fn is_gap(interval_ms: u64, median_ms: u64) -> bool {
    ratio(interval_ms, median_ms) > GAP_FACTOR
}
