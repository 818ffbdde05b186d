//! Computes error budgets and burn rates.
//!
//! The error budget of an objective is the fraction of its requests that may be bad. The burn rate is the fraction of bad
//! requests in a window, divided by the budget: at 1 the budget lasts exactly its period. An alert needs a high burn rate over
//! a long window, so that it stands for a significant part of the budget, and over a short one, so that it ends soon after the
//! fault does.

use std::collections::BTreeMap;

use hinge_config::effective::{EffectiveConfig, Objective, ObjectiveKind};
use serde::Serialize;

use crate::cause::Cause;
use crate::increments::{Coverage, Increment, coverage, increments, ratio};
use crate::outcomes::{Count, Counts, counts, late_waits};
use crate::recording::Recording;

/// Period of an error budget, in milliseconds: 30 days, as is usual for service level objectives.
pub const BUDGET_PERIOD_MS: u64 = 30 * 24 * 60 * 60 * 1000;

/// Fraction of the whole budget that may be used within an objective's first, second and further windows before it alerts.
///
/// With the default windows of an hour, six hours and three days these are burn rates of 14.4, 6 and 1: a page when the budget
/// would last two days, a ticket when it would last five, and a trend when it would last the period.
const ALERT_BUDGET_FRACTIONS: [f64; 3] = [0.02, 0.05, 0.10];

/// Length of the long window divided by that of the short one; a twelfth of an hour is five minutes, longer than a few scrapes.
const SHORT_WINDOW_DIVISOR: u64 = 12;

/// Fewest requests in the long window for an alert; with fewer, a single bad request could be a burn rate of 100.
const MIN_REQUESTS: f64 = 10.0;

/// Fraction of a window that must be recorded before it can alert; otherwise five minutes could be reported as an hour.
const MIN_COVERED_FRACTION: f64 = 0.5;

/// Most combinations of team, class, pool and cause that are listed for one objective.
const MAX_BURNERS: usize = 10;

/// Most points of a line in the chart; more than one in four pixels would not be visible.
const MAX_CHART_POINTS: usize = 240;

/// The whole in parts per million, the unit of an objective's target.
const WHOLE_PPM: f64 = 1_000_000.0;

/// Urgency of an alert.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Level {
    /// Someone must act now.
    Page,
    /// Someone must act within days.
    Ticket,
    /// At this rate the budget would not last its period.
    Trend,
}

/// Report on all objectives.
#[derive(Debug, Serialize)]
pub struct BurnReport {
    /// Time of the first page of the recording, in milliseconds since 1970.
    pub from_ms: u64,
    /// Time of the last page of the recording, in milliseconds since 1970.
    pub to_ms: u64,
    /// Objectives that were measured.
    pub objectives: Vec<ObjectiveReport>,
    /// Objectives that the recording can't measure, with the reason.
    pub unmeasured: Vec<Unmeasured>,
    /// How completely each instance was recorded.
    pub coverage: Vec<Coverage>,
    /// Whether the last record of the file was truncated.
    pub is_cut: bool,
    /// Longest sliding window of the histories, in milliseconds.
    #[serde(skip)]
    pub(crate) history_window_ms: u64,
}

/// An objective that the recording can't measure.
#[derive(Debug, Serialize)]
pub struct Unmeasured {
    /// Objective.
    pub objective: Box<str>,
    /// What is missing.
    pub reason: String,
}

/// Report on one objective.
#[derive(Debug, Serialize)]
pub struct ObjectiveReport {
    /// Name.
    pub objective: Box<str>,
    /// What is measured, and for which team, class and pool.
    pub description: String,
    /// Fraction of the requests that must be good.
    pub target: f64,
    /// Bucket bound that is used instead of the threshold, in seconds, when the histogram has no bound at the threshold.
    pub measured_at_s: Option<f64>,
    /// Requests in the recording, within the last period of the budget.
    pub requests: f64,
    /// Bad ones among them.
    pub bad: f64,
    /// Fraction of the budget for these requests that is left; negative when it is exceeded.
    pub budget_left: Option<f64>,
    /// Burn rates over the objective's windows.
    pub windows: Vec<WindowReport>,
    /// Largest contributions to the bad requests of the longest window.
    pub burners: Vec<Burner>,
    /// Burn rate over time, for the chart.
    #[serde(skip)]
    pub(crate) history: Vec<Point>,
}

/// Report on one window.
#[derive(Debug, Serialize)]
pub struct WindowReport {
    /// Length of the long window, in milliseconds.
    pub window_ms: u64,
    /// Time of it that is recorded, in milliseconds.
    pub covered_ms: u64,
    /// Requests in it.
    pub requests: f64,
    /// Bad ones among them.
    pub bad: f64,
    /// Burn rate over the long window; none without requests.
    pub burn_rate: Option<f64>,
    /// Length of the short window, in milliseconds.
    pub short_window_ms: u64,
    /// Burn rate over the short window.
    pub short_burn_rate: Option<f64>,
    /// Burn rate that both windows must reach for an alert.
    pub alert_at: f64,
    /// Alert, if both windows reach that rate.
    pub alert: Option<Level>,
}

/// Bad requests of one team, class, pool and cause; fields that the metrics don't have are empty.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Burner {
    /// Team.
    pub team: Box<str>,
    /// Urgency class.
    pub class: Box<str>,
    /// Pool.
    pub pool: Box<str>,
    /// Cause.
    pub cause: Cause,
    /// Bad requests.
    pub bad: f64,
    /// Fraction of all bad requests of the window.
    pub part: f64,
}

/// The burn rate over the window that ends at a time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Point {
    pub(crate) at_ms: u64,
    pub(crate) burn_rate: f64,
}

/// Returns the burn report on every objective of a configuration, at the end of the recording.
#[must_use]
pub fn burn(effective: &EffectiveConfig, recording: &Recording) -> BurnReport {
    let increments = increments(recording);
    let (from_ms, to_ms) = recording.span_ms().unwrap_or_default();
    let mut report = BurnReport {
        from_ms,
        to_ms,
        objectives: Vec::new(),
        unmeasured: Vec::new(),
        coverage: coverage(recording),
        is_cut: recording.is_cut,
        history_window_ms: 0,
    };
    for (name, objective) in effective.objectives.iter() {
        match counts(objective, &increments) {
            Ok(counts) => {
                let measurement =
                    Measurement::new(objective, counts, &increments, (from_ms, to_ms));
                let window_ms = history_window(objective, to_ms - from_ms);
                report.history_window_ms = report.history_window_ms.max(window_ms);
                report.objectives.push(measurement.report(name));
            }
            Err(reason) => report.unmeasured.push(Unmeasured {
                objective: name.into(),
                reason,
            }),
        }
    }
    report
}

/// The data from which the report on one objective is computed.
struct Measurement<'o> {
    objective: &'o Objective,
    counts: Counts,
    late_waits: Option<Counts>,
    from_ms: u64,
    to_ms: u64,
}

/// Number of requests and of bad requests in a window.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    requests: f64,
    bad: f64,
}

impl<'o> Measurement<'o> {
    fn new(
        objective: &'o Objective,
        counts: Counts,
        increments: &[Increment<'_>],
        (from_ms, to_ms): (u64, u64),
    ) -> Self {
        let splits_by_queue = objective.what == ObjectiveKind::FirstTokenMs;
        Self {
            objective,
            counts,
            late_waits: splits_by_queue
                .then(|| late_waits(objective, increments))
                .flatten(),
            from_ms,
            to_ms,
        }
    }

    fn report(&self, name: &str) -> ObjectiveReport {
        let whole = self.sums(self.to_ms.saturating_sub(BUDGET_PERIOD_MS), self.to_ms);
        let windows = self.objective.windows_ms.iter().enumerate();
        ObjectiveReport {
            objective: name.into(),
            description: describe(self.objective),
            target: 1.0 - self.allowed_bad_fraction(),
            measured_at_s: self.substituted_bound_s(),
            requests: whole.requests,
            bad: whole.bad,
            budget_left: self.burn_rate(whole).map(|burn_rate| 1.0 - burn_rate),
            windows: windows
                .map(|(index, window_ms)| self.window(index, *window_ms))
                .collect(),
            burners: self.burners(),
            history: self.history(),
        }
    }

    /// Returns the fraction of the requests that may be bad.
    fn allowed_bad_fraction(&self) -> f64 {
        1.0 - f64::from(self.objective.target) / WHOLE_PPM
    }

    fn substituted_bound_s(&self) -> Option<f64> {
        let bound_ms = self.counts.bound_s? * 1000.0;
        #[expect(
            clippy::cast_precision_loss,
            reason = "a threshold is at most a day, far below 2^52 ms"
        )]
        let threshold_ms = self.objective.threshold_ms as f64;
        (threshold_ms - bound_ms > 0.5).then_some(bound_ms / 1000.0)
    }

    fn sums(&self, from_ms: u64, to_ms: u64) -> Tally {
        sums(&self.counts.counts, from_ms, to_ms)
    }

    fn burn_rate(&self, sums: Tally) -> Option<f64> {
        (sums.requests > 0.0).then(|| sums.bad / sums.requests / self.allowed_bad_fraction())
    }

    fn window(&self, index: usize, window_ms: u64) -> WindowReport {
        let short_window_ms = window_ms / SHORT_WINDOW_DIVISOR;
        let long = self.sums(self.to_ms.saturating_sub(window_ms), self.to_ms);
        let short = self.sums(self.to_ms.saturating_sub(short_window_ms), self.to_ms);
        let covered_ms = window_ms.min(self.to_ms - self.from_ms);
        let (burn_rate, short_burn_rate) = (self.burn_rate(long), self.burn_rate(short));
        let alert_at = alert_at(index, window_ms);
        let is_over = |rate: Option<f64>| rate.is_some_and(|rate| rate >= alert_at);
        let has_enough_data =
            long.requests >= MIN_REQUESTS && ratio(covered_ms, window_ms) >= MIN_COVERED_FRACTION;
        let alerts = has_enough_data && is_over(burn_rate) && is_over(short_burn_rate);
        WindowReport {
            window_ms,
            covered_ms,
            requests: long.requests,
            bad: long.bad,
            burn_rate,
            short_window_ms,
            short_burn_rate,
            alert_at,
            alert: alerts.then_some(level(index)),
        }
    }

    fn burners(&self) -> Vec<Burner> {
        let longest_window_ms = self.objective.windows_ms.iter().max().copied();
        let from_ms = self
            .to_ms
            .saturating_sub(longest_window_ms.unwrap_or_default());
        let mut bad: BTreeMap<_, f64> = BTreeMap::new();
        for count in self.counts.counts.iter().filter(|count| count.bad > 0.0) {
            let part = count.bad * count.fraction_within(from_ms, self.to_ms);
            for (cause, part) in self.causes(count, part, from_ms) {
                if part > 0.0 {
                    *bad.entry((&count.origin, cause)).or_default() += part;
                }
            }
        }
        let whole: f64 = bad.values().sum();
        let mut burners: Vec<_> = bad
            .into_iter()
            .map(|((origin, cause), bad)| Burner {
                team: origin.team.clone(),
                class: origin.class.clone(),
                pool: origin.pool.clone(),
                cause,
                bad,
                part: bad / whole,
            })
            .collect();
        burners.sort_by(|left, right| right.bad.total_cmp(&left.bad));
        burners.truncate(MAX_BURNERS);
        burners
    }

    /// Divides bad requests among causes.
    fn causes(&self, count: &Count, bad: f64, from_ms: u64) -> Vec<(Cause, f64)> {
        if let Some(cause) = count.cause {
            return vec![(cause, bad)];
        }
        match self.objective.what {
            ObjectiveKind::WaitingMs => vec![(Cause::Queue, bad)],
            ObjectiveKind::BetweenTokensMs => vec![(Cause::Endpoint, bad)],
            ObjectiveKind::AnsweredWhole => vec![(Cause::Unknown, bad)],
            ObjectiveKind::FirstTokenMs => {
                let queue = bad * self.queue_fraction(from_ms);
                vec![(Cause::Queue, queue), (Cause::Endpoint, bad - queue)]
            }
        }
    }

    /// Returns the fraction of late first tokens whose requests had already waited too long when an endpoint got them.
    fn queue_fraction(&self, from_ms: u64) -> f64 {
        let Some(waits) = &self.late_waits else {
            return 0.0;
        };
        let late = self.sums(from_ms, self.to_ms).bad;
        let waited = sums(&waits.counts, from_ms, self.to_ms).bad;
        if late > 0.0 {
            (waited / late).min(1.0)
        } else {
            0.0
        }
    }

    /// Returns the burn rate over a sliding window, at the times of the pages.
    fn history(&self) -> Vec<Point> {
        let window_ms = history_window(self.objective, self.to_ms - self.from_ms);
        let mut times: Vec<_> = self.counts.counts.iter().map(|count| count.to_ms).collect();
        times.sort_unstable();
        times.dedup();
        let step = times.len().div_ceil(MAX_CHART_POINTS).max(1);
        // Thinned from the end, so that the last page is always kept.
        let kept = times.iter().rev().step_by(step).rev();
        let points = kept.filter_map(|at_ms| {
            let at_ms = *at_ms;
            let sums = self.sums(at_ms.saturating_sub(window_ms), at_ms);
            let burn_rate = self.burn_rate(sums)?;
            Some(Point { at_ms, burn_rate })
        });
        points.collect()
    }
}

/// Returns the sliding window of the chart: the objective's first window, at most a tenth of the recording.
fn history_window(objective: &Objective, recorded_ms: u64) -> u64 {
    let first_ms = objective.windows_ms.first().copied().unwrap_or(recorded_ms);
    first_ms.min(recorded_ms / 10).max(1)
}

fn sums(counts: &[Count], from_ms: u64, to_ms: u64) -> Tally {
    counts.iter().fold(Tally::default(), |sums, count| {
        let part = count.fraction_within(from_ms, to_ms);
        Tally {
            requests: sums.requests + count.total * part,
            bad: sums.bad + count.bad * part,
        }
    })
}

/// Returns the burn rate at which a window uses up its fraction of the budget.
fn alert_at(index: usize, window_ms: u64) -> f64 {
    let last = ALERT_BUDGET_FRACTIONS.len() - 1;
    ALERT_BUDGET_FRACTIONS[index.min(last)] * ratio(BUDGET_PERIOD_MS, window_ms)
}

fn level(index: usize) -> Level {
    match index {
        0 => Level::Page,
        1 => Level::Ticket,
        _ => Level::Trend,
    }
}

fn describe(objective: &Objective) -> String {
    let what = match objective.what {
        ObjectiveKind::AnsweredWhole => "answered whole".to_owned(),
        ObjectiveKind::FirstTokenMs => format!("first token within {} ms", objective.threshold_ms),
        ObjectiveKind::BetweenTokensMs => {
            format!("at most {} ms between tokens", objective.threshold_ms)
        }
        ObjectiveKind::WaitingMs => format!("waited at most {} ms", objective.threshold_ms),
    };
    let class = objective.class.map(|class| class.to_string());
    let scope = [
        ("team", objective.team.as_deref()),
        ("class", class.as_deref()),
        ("pool", objective.pool.as_deref()),
    ];
    let scope = scope
        .iter()
        .filter_map(|(label, value)| Some(format!(", {label} {}", (*value)?)));
    what + &scope.collect::<String>()
}
