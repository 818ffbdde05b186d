//! Compares the service that teams received, divided by their shares.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::{self, Display};

use hinge_config::effective::EffectiveConfig;
use serde::Serialize;

use crate::burn_text::{percent, write_coverage};
use crate::increments::{Coverage, coverage, increments};
use crate::recording::{Recording, Scrape};
use crate::text::{span, table};

/// Counter of the service that each team received at a sidecar.
const SERVICE: &str = "hinge_sidecar_service_units_total";

/// Gauge of the offers of each team that wait at a sidecar.
const TEAM_WAITING: &str = "hinge_sidecar_team_waiting";

/// Label under which a sidecar counts the teams beyond its limit of team labels.
const OTHER_TEAMS: &str = "other";

/// Report on the service gap in every pool.
#[derive(Debug, Serialize)]
pub struct GapReport {
    /// Length of the part of the recording that is reported, in milliseconds.
    pub window_ms: u64,
    /// Pools in the order of their names; the name is empty for sidecars whose pool is not known.
    pub pools: Vec<PoolGap>,
    /// How completely each instance was recorded.
    pub coverage: Vec<Coverage>,
    /// Whether the last record of the file was truncated.
    pub is_cut: bool,
}

/// Report on the service gap in increment pool.
#[derive(Debug, Serialize)]
pub struct PoolGap {
    /// Pool.
    pub pool: Box<str>,
    /// Teams, the least normalised service first.
    pub teams: Vec<TeamService>,
    /// Whether the metrics show which teams were backlogged; otherwise the gap covers all teams with service.
    pub backlog_known: bool,
    /// Largest minus smallest normalised service among the compared teams, in units per unit of share.
    pub gap: Option<f64>,
    /// The gap as a fraction of the mean normalised service of the compared teams.
    pub gap_part: Option<f64>,
    /// Units of teams beyond the sidecars' limit of team labels; they are not compared.
    pub unlabelled_units: f64,
}

/// Service of increment team.
#[derive(Debug, Serialize)]
pub struct TeamService {
    /// Team.
    pub team: Box<str>,
    /// Share; none for a team that the configuration doesn't know.
    pub share: Option<u32>,
    /// Service in the window, in units of the pool.
    pub units: f64,
    /// Service divided by the share.
    pub normalised: Option<f64>,
    /// Whether the team had waiting offers on every page of the window.
    pub backlogged: Option<bool>,
}

/// Returns the report on the gap in the last part of a recording.
#[must_use]
pub fn gap(
    effective: &EffectiveConfig,
    recording: &Recording,
    window_ms: Option<u64>,
) -> GapReport {
    let (from_ms, to_ms) = recording.span_ms().unwrap_or_default();
    let window_ms = window_ms.unwrap_or(u64::MAX).min(to_ms - from_ms);
    let from_ms = to_ms - window_ms;
    let mut units: BTreeMap<&str, BTreeMap<&str, f64>> = BTreeMap::new();
    let increments = increments(recording);
    for increment in increments
        .iter()
        .filter(|increment| &*increment.series.name == SERVICE)
    {
        let pool = units
            .entry(pool_of(recording, increment.instance))
            .or_default();
        let amount = increment.amount * increment.fraction_within(from_ms, to_ms);
        *pool.entry(increment.series.label("team")).or_default() += amount;
    }
    let pools = units.into_iter().map(|(pool, units)| {
        pool_gap(
            effective,
            pool,
            &units,
            &Backlog::read(recording, pool, from_ms),
        )
    });
    GapReport {
        window_ms,
        pools: pools.collect(),
        coverage: coverage(recording),
        is_cut: recording.is_cut,
    }
}

/// Returns the pool of a sidecar, or an empty string when it is not known.
pub(crate) fn pool_of<'r>(recording: &'r Recording, instance: &str) -> &'r str {
    let endpoint = recording.endpoints.get(instance);
    endpoint.map_or("", |endpoint| &endpoint.pool)
}

/// The teams that had waiting offers in every round of scrapes.
struct Backlog<'r> {
    teams: Option<BTreeSet<&'r str>>,
}

impl<'r> Backlog<'r> {
    fn read(recording: &'r Recording, pool: &str, from_ms: u64) -> Self {
        let mut rounds: BTreeMap<u64, BTreeSet<&str>> = BTreeMap::new();
        let mut has_metric = false;
        let pool_scrapes = recording
            .scrapes
            .iter()
            .filter(|(instance, _)| pool_of(recording, instance) == pool);
        for scrape in pool_scrapes.flat_map(|(_, scrapes)| scrapes) {
            if scrape.at_ms < from_ms {
                continue;
            }
            let round = rounds.entry(scrape.at_ms).or_default();
            for (team, waiting) in waiting_teams(scrape) {
                has_metric = true;
                if waiting > 0.0 {
                    round.insert(team);
                }
            }
        }
        let teams = rounds.into_values().reduce(|left, right| &left & &right);
        Self {
            teams: teams.filter(|_| has_metric),
        }
    }
}

fn waiting_teams(scrape: &Scrape) -> impl Iterator<Item = (&str, f64)> {
    let samples = scrape.samples.iter();
    let samples = samples.filter(|sample| &*sample.series.name == TEAM_WAITING);
    samples.map(|sample| (sample.series.label("team"), sample.value))
}

fn pool_gap(
    effective: &EffectiveConfig,
    pool: &str,
    units: &BTreeMap<&str, f64>,
    backlog: &Backlog<'_>,
) -> PoolGap {
    let labelled = units.iter().filter(|(team, _)| **team != OTHER_TEAMS);
    let mut teams: Vec<_> = labelled
        .map(|(team, units)| team_service(effective, team, *units, backlog))
        .collect();
    let sort_key = |team: &TeamService| team.normalised.unwrap_or(f64::INFINITY);
    teams.sort_by(|left, right| sort_key(left).total_cmp(&sort_key(right)));
    let compared: Vec<_> = teams
        .iter()
        .filter(|team| team.backlogged.unwrap_or(true))
        .filter_map(|team| team.normalised)
        .collect();
    let gap = match &*compared {
        [least, .., most] => Some(most - least),
        _ => None,
    };
    let count = f64::from(u32::try_from(compared.len()).unwrap_or(u32::MAX));
    let mean = compared.iter().sum::<f64>() / count;
    PoolGap {
        pool: pool.into(),
        teams,
        backlog_known: backlog.teams.is_some(),
        gap,
        gap_part: gap.map(|gap| gap / mean),
        unlabelled_units: units.get(OTHER_TEAMS).copied().unwrap_or(0.0),
    }
}

fn team_service(
    effective: &EffectiveConfig,
    team: &str,
    units: f64,
    backlog: &Backlog<'_>,
) -> TeamService {
    let share = effective.teams.get(team).map(|team| team.share);
    TeamService {
        team: team.into(),
        share,
        units,
        normalised: share.map(|share| units / f64::from(share)),
        backlogged: backlog.teams.as_ref().map(|teams| teams.contains(team)),
    }
}

impl Display for GapReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "service over the last {}", span(self.window_ms))?;
        if self.pools.is_empty() {
            writeln!(f, "the samples hold no growth of {SERVICE}")?;
        }
        for pool in &self.pools {
            write!(f, "\n{pool}")?;
        }
        write_coverage(f, &self.coverage, self.is_cut)
    }
}

impl Display for PoolGap {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let pool = if self.pool.is_empty() {
            "pool unknown"
        } else {
            &self.pool
        };
        match (self.gap, self.gap_part) {
            (Some(gap), Some(part)) => writeln!(
                f,
                "{pool}: gap {gap:.0} units for each unit of share, {} of the mean",
                percent(part)
            )?,
            _ => writeln!(f, "{pool}: fewer than two teams to compare")?,
        }
        if !self.backlog_known {
            writeln!(
                f,
                "  the pages don't tell who was backlogged, so every team with service is compared"
            )?;
        }
        if self.unlabelled_units > 0.0 {
            writeln!(
                f,
                "  {:.0} units of teams without a label of their own are left out",
                self.unlabelled_units
            )?;
        }
        let rows: Vec<_> = self.teams.iter().map(row).collect();
        let head = ["TEAM", "SHARE", "UNITS", "UNITS/SHARE", "BACKLOGGED"];
        let text = table(&head, &rows);
        text.lines().try_for_each(|line| writeln!(f, "  {line}"))
    }
}

fn row(team: &TeamService) -> Vec<String> {
    let unknown = || "?".to_owned();
    vec![
        team.team.to_string(),
        team.share.map_or_else(unknown, |share| share.to_string()),
        format!("{:.0}", team.units),
        team.normalised
            .map_or_else(unknown, |normalised| format!("{normalised:.0}")),
        team.backlogged
            .map_or_else(unknown, |is| if is { "yes" } else { "no" }.to_owned()),
    ]
}
