//! Sums up from logs the service that each team received, and the load of the engines.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use hinge_telemetry::parse::Line;
use serde::Serialize;

use crate::logs::{ENGINE, GRANTED, LOAD, REFUSED, REQUEST_ENDED, read_lines};
use crate::stages::{ConnectionEvent, StageEvent, StageTable, request_events};

/// Length of the windows in which the service of teams is compared; shares hold over about four seconds.
const WINDOW: Duration = Duration::from_secs(4);

/// Weight of a generated token relative to a prompt token, as in the service counts of admissions.
const ANSWER_WEIGHT: u64 = 2;

/// Requests granted and refused to one team, with their tokens of service.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct TeamShare {
    pub(crate) granted: u64,
    pub(crate) granted_tokens: u64,
    pub(crate) refused: u64,
    pub(crate) refused_tokens: u64,
}

/// Load of one engine.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct EngineUse {
    /// Samples of the engine, one a second.
    #[serde(rename = "looks")]
    pub(crate) samples: u64,
    /// Samples in which it ran a request.
    pub(crate) busy: u64,
    /// Samples in which it had prompt tokens left to read.
    pub(crate) reading: u64,
}

/// The widest gap in service between two backlogged teams in one window.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Gap {
    /// Start of the window, in seconds from the first decision.
    pub(crate) from_s: u64,
    pub(crate) tokens: u64,
    pub(crate) most: Box<str>,
    pub(crate) least: Box<str>,
}

/// Service and load found in the logs.
#[derive(Debug, Default, Serialize)]
pub(crate) struct Shares {
    pub(crate) teams: BTreeMap<Box<str>, TeamShare>,
    pub(crate) engines: BTreeMap<Box<str>, EngineUse>,
    /// One gap for each window with at least two backlogged teams, in order.
    pub(crate) gaps: Vec<Gap>,
}

#[derive(Default)]
struct Window {
    granted_tokens: BTreeMap<Box<str>, u64>,
    /// Teams with a refused request.
    backlogged: BTreeSet<Box<str>>,
}

/// Sums up logs, each given with the name of its process, into the service of teams and the stages of their requests.
pub(crate) fn sum_up(logs: &[(Box<str>, String)]) -> (Shares, StageTable) {
    let mut shares = Shares::default();
    let mut decisions = Vec::new();
    let mut events = Vec::new();
    let mut connection_events = Vec::new();
    for logged in read_lines(logs) {
        let line = &logged.line;
        match &*line.sentence {
            GRANTED | REFUSED => decisions.extend(AdmissionDecision::read(line)),
            ENGINE => count_engine_sample(&mut shares, &logged.process, line),
            REQUEST_ENDED => events.extend(request_events(line, &logged.process)),
            LOAD => connection_events.extend(ConnectionEvent::read(line, &logged.process)),
            _ => {}
        }
    }
    events.extend(decisions.iter().filter_map(StageEvent::from_decision));
    decisions.sort_by_key(|decision| decision.at);
    shares.gaps = gaps(&decisions);
    for decision in decisions {
        let share = shares.teams.entry(decision.team).or_default();
        if decision.is_granted {
            share.granted += 1;
            share.granted_tokens += decision.tokens;
        } else {
            share.refused += 1;
            share.refused_tokens += decision.tokens;
        }
    }
    (shares, StageTable::new(&events, connection_events))
}

/// Decision of an admission on a request.
pub(crate) struct AdmissionDecision {
    pub(crate) at: Duration,
    pub(crate) team: Box<str>,
    pub(crate) tokens: u64,
    pub(crate) is_granted: bool,
}

impl AdmissionDecision {
    fn read(line: &Line) -> Option<Self> {
        Some(Self {
            at: unix_time(line)?,
            team: line.get("team")?.into(),
            tokens: service_tokens(line),
            is_granted: &*line.sentence == GRANTED,
        })
    }
}

/// Returns the timestamp of a line, as time since the Unix epoch.
pub(crate) fn unix_time(line: &Line) -> Option<Duration> {
    let time = humantime::parse_rfc3339(&line.time).ok()?;
    time.duration_since(std::time::UNIX_EPOCH).ok()
}

/// Returns the tokens of service that a request counts for.
pub(crate) fn service_tokens(line: &Line) -> u64 {
    number(line, "prompt_tokens") + number(line, "answer_tokens") * ANSWER_WEIGHT
}

/// Returns the number under a key, or 0 without one.
pub(crate) fn number(line: &Line, key: &str) -> u64 {
    let value = line.get(key).and_then(|value| value.parse().ok());
    value.unwrap_or_default()
}

fn count_engine_sample(shares: &mut Shares, process: &str, line: &Line) {
    let engine = shares.engines.entry(process.into()).or_default();
    engine.samples += 1;
    engine.busy += u64::from(number(line, "active") > 0);
    engine.reading += u64::from(number(line, "unread_tokens") > 0);
}

fn gaps(decisions: &[AdmissionDecision]) -> Vec<Gap> {
    let Some(first) = decisions.first() else {
        return Vec::new();
    };
    let mut windows: BTreeMap<u64, Window> = BTreeMap::new();
    for decision in decisions {
        let number = decision.at.saturating_sub(first.at).as_secs() / WINDOW.as_secs();
        let window = windows.entry(number).or_default();
        let team = decision.team.clone();
        if decision.is_granted {
            *window.granted_tokens.entry(team).or_default() += decision.tokens;
        } else {
            window.backlogged.insert(team);
        }
    }
    let gaps = windows.iter().filter_map(|(number, window)| {
        let backlogged = window.backlogged.iter().map(|team| {
            let had = window.granted_tokens.get(team).copied();
            (had.unwrap_or_default(), team)
        });
        let (most, least) = (backlogged.clone().max()?, backlogged.min()?);
        (most.1 != least.1).then(|| Gap {
            from_s: number * WINDOW.as_secs(),
            tokens: most.0 - least.0,
            most: most.1.clone(),
            least: least.1.clone(),
        })
    });
    gaps.collect()
}

impl Shares {
    /// Returns the median and the widest gap; none when no two teams were backlogged in the same window.
    pub(crate) fn median_and_widest(&self) -> Option<(&Gap, &Gap)> {
        let mut gaps: Vec<&Gap> = self.gaps.iter().collect();
        gaps.sort_by_key(|gap| gap.tokens);
        Some((gaps.get(gaps.len() / 2)?, gaps.last()?))
    }

    /// Returns in thousandths the parts of all engine samples with a running request, and with prompt tokens left to read.
    pub(crate) fn busy_and_reading_permille(&self) -> Option<(u64, u64)> {
        let sum = |part: fn(&EngineUse) -> u64| self.engines.values().map(part).sum::<u64>();
        let samples = sum(|engine| engine.samples);
        let permille = |part: u64| (part * 1000).checked_div(samples);
        Some((
            permille(sum(|engine| engine.busy))?,
            permille(sum(|engine| engine.reading))?,
        ))
    }
}
