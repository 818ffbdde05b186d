//! Adds up, out of logs, what the engines gave to each team, and how busy they were.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use hinge_telemetry::parse::Line;
use serde::Serialize;

use crate::logs::{ENGINE, GRANTED, LOAD, REFUSED, REQUEST_ENDED, read_lines};
use crate::stages::{DoorEvent, Event, StageTable, events_of_request};

/// Time over which the service of teams is compared; shares are owed over some four seconds.
const WINDOW: Duration = Duration::from_secs(4);

/// Weight of a generated token against a read one, as the admissions count service.
const ANSWER_WEIGHT: u64 = 2;

/// Holds what one team had, in tokens of service.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct TeamShare {
    pub(crate) granted: u64,
    pub(crate) granted_tokens: u64,
    pub(crate) refused: u64,
    pub(crate) refused_tokens: u64,
}

/// Holds how busy one engine was.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct EngineUse {
    /// Looks at the engine, one a second.
    pub(crate) looks: u64,
    /// Looks in which it ran a request.
    pub(crate) busy: u64,
    /// Looks in which prompts waited to be read.
    pub(crate) reading: u64,
}

/// Holds the widest gap in service between two backlogged teams of one window.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Gap {
    /// Seconds from the first decision to the window's start.
    pub(crate) from_s: u64,
    pub(crate) tokens: u64,
    pub(crate) most: Box<str>,
    pub(crate) least: Box<str>,
}

/// Holds what the logs tell.
#[derive(Debug, Default, Serialize)]
pub(crate) struct Shares {
    pub(crate) teams: BTreeMap<Box<str>, TeamShare>,
    pub(crate) engines: BTreeMap<Box<str>, EngineUse>,
    /// One for each window with two backlogged teams or more, in order.
    pub(crate) gaps: Vec<Gap>,
}

#[derive(Default)]
struct Window {
    granted_tokens: BTreeMap<Box<str>, u64>,
    /// Teams of which an ask was refused.
    backlogged: BTreeSet<Box<str>>,
}

/// Adds up logs, each with the name of its process: what the engines gave, and what became of each team's requests.
pub(crate) fn add_up(logs: &[(Box<str>, String)]) -> (Shares, StageTable) {
    let mut shares = Shares::default();
    let mut decisions = Vec::new();
    let mut events = Vec::new();
    let mut doors = Vec::new();
    for logged in read_lines(logs) {
        let line = &logged.line;
        match &*line.sentence {
            GRANTED | REFUSED => decisions.extend(Decision::read(line)),
            ENGINE => note_engine(&mut shares, &logged.process, line),
            REQUEST_ENDED => events.extend(events_of_request(line, &logged.process)),
            LOAD => doors.extend(DoorEvent::read(line, &logged.process)),
            _ => {}
        }
    }
    events.extend(decisions.iter().filter_map(Event::of_decision));
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
    (shares, StageTable::of(&events, doors))
}

/// Holds what an admission decided on an ask.
pub(crate) struct Decision {
    pub(crate) at: Duration,
    pub(crate) team: Box<str>,
    pub(crate) tokens: u64,
    pub(crate) is_granted: bool,
}

impl Decision {
    fn read(line: &Line) -> Option<Self> {
        Some(Self {
            at: unix_time(line)?,
            team: line.get("team")?.into(),
            tokens: service_tokens(line),
            is_granted: &*line.sentence == GRANTED,
        })
    }
}

/// Returns when a line was written, since 1970.
pub(crate) fn unix_time(line: &Line) -> Option<Duration> {
    let time = humantime::parse_rfc3339(&line.time).ok()?;
    time.duration_since(std::time::UNIX_EPOCH).ok()
}

/// Returns what a request counts for, in tokens of service.
pub(crate) fn service_tokens(line: &Line) -> u64 {
    number(line, "prompt_tokens") + number(line, "answer_tokens") * ANSWER_WEIGHT
}

/// Returns the number under a key; 0 where there is none.
pub(crate) fn number(line: &Line, key: &str) -> u64 {
    let value = line.get(key).and_then(|value| value.parse().ok());
    value.unwrap_or_default()
}

fn note_engine(shares: &mut Shares, process: &str, line: &Line) {
    let engine = shares.engines.entry(process.into()).or_default();
    engine.looks += 1;
    engine.busy += u64::from(number(line, "active") > 0);
    engine.reading += u64::from(number(line, "unread_tokens") > 0);
}

fn gaps(decisions: &[Decision]) -> Vec<Gap> {
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
    /// Returns the median and the widest gap; none where no two teams were backlogged at once.
    pub(crate) fn median_and_widest(&self) -> Option<(&Gap, &Gap)> {
        let mut gaps: Vec<&Gap> = self.gaps.iter().collect();
        gaps.sort_by_key(|gap| gap.tokens);
        Some((gaps.get(gaps.len() / 2)?, gaps.last()?))
    }

    /// Returns the parts of the looks at all engines in which they ran a request, and had prompts to read, in thousandths.
    pub(crate) fn busy_and_reading_permille(&self) -> Option<(u64, u64)> {
        let sum = |part: fn(&EngineUse) -> u64| self.engines.values().map(part).sum::<u64>();
        let looks = sum(|engine| engine.looks);
        let permille = |part: u64| (part * 1000).checked_div(looks);
        Some((
            permille(sum(|engine| engine.busy))?,
            permille(sum(|engine| engine.reading))?,
        ))
    }
}
