//! Counts the good and bad requests of one objective.

use std::collections::BTreeMap;

use hinge_config::effective::{Objective, ObjectiveKind};

use crate::cause::{Cause, Verdict, classify};
use crate::increments::{Increment, fraction_within};
use crate::page::Series;

/// Counter of requests at an entry, by outcome.
const REQUESTS: &str = "hinge_entry_requests_total";

/// Histogram of the time to the first bytes of an answer, at an entry.
const FIRST_BYTE: &str = "hinge_entry_first_byte_seconds";

/// Histogram of the time between two writes of an answer, at an entry.
const BETWEEN_CHUNKS: &str = "hinge_entry_between_chunks_seconds";

/// Histogram of the time from arrival to grant, at an entry.
const WAIT: &str = "hinge_entry_wait_seconds";

/// Label with the upper bound of a histogram bucket.
const BOUND: &str = "le";

/// Tolerance for the rounding of a bound that was printed and parsed.
const BOUND_TOLERANCE: f64 = 1e-9;

/// Team, class and pool of requests; fields that the metrics don't have are empty.
#[derive(Clone, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct Origin {
    pub(crate) team: Box<str>,
    pub(crate) class: Box<str>,
    pub(crate) pool: Box<str>,
}

/// Requests between two pages of one instance.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Count {
    pub(crate) from_ms: u64,
    pub(crate) to_ms: u64,
    pub(crate) origin: Origin,
    pub(crate) total: f64,
    pub(crate) bad: f64,
    /// Cause of the bad requests, if the metric names one.
    pub(crate) cause: Option<Cause>,
}

impl Count {
    pub(crate) fn fraction_within(&self, from_ms: u64, to_ms: u64) -> f64 {
        fraction_within(self.from_ms, self.to_ms, from_ms, to_ms)
    }
}

/// The counts of one objective.
#[derive(Debug)]
pub(crate) struct Counts {
    pub(crate) counts: Vec<Count>,
    /// Bucket bound that is used for the threshold, in seconds; a lower one when no bound equals the threshold.
    pub(crate) bound_s: Option<f64>,
}

/// Counts the requests of an objective.
///
/// # Errors
///
/// Returns what the metrics lack for measuring the objective.
pub(crate) fn counts(
    objective: &Objective,
    increments: &[Increment<'_>],
) -> Result<Counts, String> {
    let threshold_s = seconds(objective.threshold_ms);
    match objective.what {
        ObjectiveKind::AnsweredWhole => count_outcomes(objective, increments),
        ObjectiveKind::FirstTokenMs => {
            count_durations(objective, FIRST_BYTE, threshold_s, increments)
        }
        ObjectiveKind::BetweenTokensMs => {
            count_durations(objective, BETWEEN_CHUNKS, threshold_s, increments)
        }
        ObjectiveKind::WaitingMs => count_durations(objective, WAIT, threshold_s, increments),
    }
}

/// Counts waits beyond the threshold of a first-token objective: those requests were late before an endpoint got them.
pub(crate) fn late_waits(objective: &Objective, increments: &[Increment<'_>]) -> Option<Counts> {
    count_durations(objective, WAIT, seconds(objective.threshold_ms), increments).ok()
}

#[expect(
    clippy::cast_precision_loss,
    reason = "a threshold is at most a day, far below 2^52 ms"
)]
fn seconds(span_ms: u64) -> f64 {
    span_ms as f64 / 1000.0
}

fn count_outcomes(objective: &Objective, increments: &[Increment<'_>]) -> Result<Counts, String> {
    let mut counts = Vec::new();
    for increment in matching(objective, REQUESTS, REQUESTS, increments)? {
        let series = increment.series;
        let (bad, cause) = match classify(series.label("outcome"), series.label("reason")) {
            Verdict::NotCounted => continue,
            Verdict::Good => (0.0, None),
            Verdict::Bad(cause) => (increment.amount, Some(cause)),
        };
        counts.push(Count {
            from_ms: increment.from_ms,
            to_ms: increment.to_ms,
            origin: origin(series),
            total: increment.amount,
            bad,
            cause,
        });
    }
    Ok(Counts {
        counts,
        bound_s: None,
    })
}

/// Instance, times of two pages, and labels that identify one histogram.
type HistogramKey<'r> = (&'r str, u64, u64, Origin);

fn count_durations(
    objective: &Objective,
    metric: &str,
    threshold_s: f64,
    increments: &[Increment<'_>],
) -> Result<Counts, String> {
    let buckets = matching(objective, &format!("{metric}_bucket"), metric, increments)?;
    let bound_s = nearest_bound(&buckets, threshold_s)
        .ok_or_else(|| format!("{metric} has no bound at or below {threshold_s} s"))?;
    let mut good: BTreeMap<HistogramKey<'_>, f64> = BTreeMap::new();
    for bucket in &buckets {
        if bound(bucket.series).is_some_and(|bound| is_same_bound(bound, bound_s)) {
            *good.entry(key(bucket)).or_default() += bucket.amount;
        }
    }
    let mut totals: BTreeMap<HistogramKey<'_>, f64> = BTreeMap::new();
    for total in matching(objective, &format!("{metric}_count"), metric, increments)? {
        *totals.entry(key(total)).or_default() += total.amount;
    }
    let counts = totals.into_iter().map(|(key, total)| {
        let good = good.get(&key).copied().unwrap_or(0.0);
        let (_, from_ms, to_ms, origin) = key;
        Count {
            from_ms,
            to_ms,
            origin,
            total,
            bad: (total - good).max(0.0),
            cause: None,
        }
    });
    Ok(Counts {
        counts: counts.collect(),
        bound_s: Some(bound_s),
    })
}

/// Returns the highest bucket bound at or below a threshold, so that no late request counts as good.
fn nearest_bound(buckets: &[&Increment<'_>], threshold_s: f64) -> Option<f64> {
    let bounds = buckets.iter().filter_map(|bucket| bound(bucket.series));
    bounds
        .filter(|bound| *bound <= threshold_s + BOUND_TOLERANCE)
        .max_by(f64::total_cmp)
}

fn bound(series: &Series) -> Option<f64> {
    series.label(BOUND).parse().ok()
}

fn is_same_bound(left: f64, right: f64) -> bool {
    (left - right).abs() < BOUND_TOLERANCE
}

fn key<'r>(increment: &Increment<'r>) -> HistogramKey<'r> {
    (
        increment.instance,
        increment.from_ms,
        increment.to_ms,
        origin(increment.series),
    )
}

fn origin(series: &Series) -> Origin {
    Origin {
        team: series.label("team").into(),
        class: series.label("class").into(),
        pool: series.label("pool").into(),
    }
}

/// Returns the increments of a metric that match an objective's team, class and pool.
fn matching<'a, 'r>(
    objective: &Objective,
    name: &str,
    metric: &str,
    increments: &'a [Increment<'r>],
) -> Result<Vec<&'a Increment<'r>>, String> {
    let named: Vec<_> = increments
        .iter()
        .filter(|increment| *increment.series.name == *name)
        .collect();
    if named.is_empty() {
        return Err(format!("the samples hold no growth of {metric}"));
    }
    let class = objective.class.map(|class| class.to_string());
    let wanted = [
        ("team", objective.team.as_deref()),
        ("class", class.as_deref()),
        ("pool", objective.pool.as_deref()),
    ];
    for (label, value) in wanted {
        let has_label = named
            .iter()
            .any(|increment| increment.series.labels.contains_key(label));
        if value.is_some() && !has_label {
            return Err(format!("{metric} has no label {label}"));
        }
    }
    let is_wanted = |series: &Series| {
        wanted
            .iter()
            .all(|(label, value)| value.is_none_or(|value| series.label(label) == value))
    };
    Ok(named
        .into_iter()
        .filter(|increment| is_wanted(increment.series))
        .collect())
}
