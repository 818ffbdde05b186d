//! Counts, out of logs, at which stage each team's requests to the engines were lost, second by second.
//!
//! An admission's word covers what was asked of it. What a gateway turned away before, and what was granted and never began, shows in the
//! gateways' lines of the requests' ends only.

use std::collections::BTreeMap;
use std::time::Duration;

use hinge_telemetry::parse::Line;
use serde::Serialize;

use crate::shares::{Decision, number, service_tokens, unix_time};

/// Seconds over which the service of teams is compared.
const WINDOW_S: u64 = 6;

/// Part of what it could have had below which a team is short, as a divisor.
const SHORT_DIVISOR: u64 = 2;

/// Largest requests of a team that don't count when it is compared.
const SLACK_REQUESTS: u64 = 3;

/// Time over which a gateway counts connections; its line stands at the end of it.
const COUNTED_OVER: Duration = Duration::from_secs(1);

/// Outcome of a request that a gateway had no room for.
const OVERLOADED: &str = "overloaded";

/// Holds what became of one team's requests in one second, in tokens of service.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
#[expect(clippy::struct_field_names, reason = "fields carry their unit")]
pub(crate) struct Stages {
    /// Arrived at gateways.
    pub(crate) asked_tokens: u64,
    /// Turned away by a gateway that had no room.
    pub(crate) overloaded_tokens: u64,
    /// Ended without a first piece for any other reason: refused by admissions, failed, or left by the caller.
    pub(crate) not_run_tokens: u64,
    /// Granted by admissions.
    pub(crate) granted_tokens: u64,
    /// Begun, by the first piece of the answer.
    pub(crate) begun_tokens: u64,
}

/// Holds a team that had far less than its share while it waited.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Short {
    /// Seconds from the first line to the window's start.
    pub(crate) from_s: u64,
    pub(crate) team: Box<str>,
    /// What became of its requests in the window.
    pub(crate) stages: Stages,
    pub(crate) best: Box<str>,
    pub(crate) best_begun_tokens: u64,
}

/// Holds how a gateway took connections in one second in which it turned something away.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub(crate) struct Door {
    pub(crate) connections: u64,
    /// Time for which it did not listen; attempts in it are in no line.
    pub(crate) shut_ms: u64,
}

/// Holds the stages of each team in each second from the first line on.
#[derive(Debug, Default)]
pub(crate) struct StageTable {
    teams: BTreeMap<Box<str>, Team>,
    doors: BTreeMap<(u64, Box<str>), Door>,
}

#[derive(Debug, Default)]
struct Team {
    seconds: BTreeMap<u64, Stages>,
    /// The same by second and gateway; grants are no gateway's.
    gateways: BTreeMap<(u64, Box<str>), Stages>,
    largest_tokens: u64,
}

impl Stages {
    fn add(&mut self, event: &Event) {
        *match event.stage {
            Stage::Asked => &mut self.asked_tokens,
            Stage::Overloaded => &mut self.overloaded_tokens,
            Stage::NotRun => &mut self.not_run_tokens,
            Stage::Granted => &mut self.granted_tokens,
            Stage::Begun => &mut self.begun_tokens,
        } += event.tokens;
    }
}

enum Stage {
    Asked,
    Overloaded,
    NotRun,
    Granted,
    Begun,
}

impl StageTable {
    /// Sorts events, in any order, by team and second.
    pub(crate) fn of(events: &[Event], doors: Vec<DoorEvent>) -> Self {
        let mut table = Self::default();
        let first = events.iter().map(|event| event.at).min();
        let first = first.unwrap_or_default();
        for event in events {
            table.add(event, first);
        }
        for DoorEvent { at, gateway, door } in doors {
            let second = at.saturating_sub(first).as_secs();
            table.doors.insert((second, gateway), door);
        }
        table
    }

    fn add(&mut self, event: &Event, first: Duration) {
        let second = event.at.saturating_sub(first).as_secs();
        let team = self.teams.entry(event.team.clone()).or_default();
        team.largest_tokens = team.largest_tokens.max(event.tokens);
        team.seconds.entry(second).or_default().add(event);
        if let Some(gateway) = &event.gateway {
            let place = (second, gateway.clone());
            team.gateways.entry(place).or_default().add(event);
        }
    }

    /// Returns the seconds of one team, in order.
    pub(crate) fn of_team(&self, team: &str) -> impl Iterator<Item = (u64, Stages)> {
        let team = self.teams.get(team).into_iter();
        team.flat_map(|team| team.seconds.iter())
            .map(|(second, stages)| (*second, *stages))
    }

    /// Returns the seconds of one team at each gateway, in order, with how the gateway took connections.
    pub(crate) fn at_gateways(
        &self,
        team: &str,
    ) -> impl Iterator<Item = (u64, &str, Stages, Option<Door>)> {
        let team = self.teams.get(team).into_iter();
        let places = team.flat_map(|team| team.gateways.iter());
        places.map(|(place, stages)| {
            let (second, gateway) = place;
            (*second, &**gateway, *stages, self.doors.get(place).copied())
        })
    }

    /// Returns the teams that were turned away in each second of a window and had less than half of what they asked for or the best
    /// served team had, whichever is less, second by second.
    pub(crate) fn short_teams(&self) -> Vec<Short> {
        let seconds = self.teams.values().flat_map(|team| team.seconds.keys());
        let last = seconds.copied().max().unwrap_or_default();
        let starts = 0..=last.saturating_sub(WINDOW_S - 1);
        starts.flat_map(|from_s| self.short_from(from_s)).collect()
    }

    fn short_from(&self, from_s: u64) -> Vec<Short> {
        let teams = self.teams.iter();
        let best = teams.max_by_key(|(_, team)| team.sum(from_s).begun_tokens);
        let Some((best_name, best)) = best else {
            return Vec::new();
        };
        let teams = self.teams.iter();
        let short = teams.filter(|(_, team)| team.is_short(best, from_s));
        let short = short.map(|(name, team)| Short {
            from_s,
            team: name.clone(),
            stages: team.sum(from_s),
            best: best_name.clone(),
            best_begun_tokens: best.sum(from_s).begun_tokens,
        });
        short.collect()
    }
}

impl Team {
    fn at(&self, second: u64) -> Stages {
        self.seconds.get(&second).copied().unwrap_or_default()
    }

    /// Returns whether it waited and had far less than it could have had beside the best served team.
    fn is_short(&self, best: &Self, from_s: u64) -> bool {
        let seconds = from_s..from_s + WINDOW_S;
        let could_have_had = seconds.map(|second| {
            let asked = self.at(second).asked_tokens;
            asked.min(best.at(second).begun_tokens)
        });
        let owed = could_have_had.sum::<u64>() / SHORT_DIVISOR;
        let had = self.sum(from_s).begun_tokens + SLACK_REQUESTS * self.largest_tokens;
        self.waits_throughout(from_s) && had < owed
    }

    fn waits_throughout(&self, from_s: u64) -> bool {
        let mut seconds = from_s..from_s + WINDOW_S;
        seconds.all(|second| {
            let stages = self.at(second);
            stages.overloaded_tokens + stages.not_run_tokens > 0
        })
    }

    fn sum(&self, from_s: u64) -> Stages {
        let seconds = self.seconds.range(from_s..from_s + WINDOW_S);
        seconds.fold(Stages::default(), |sum, (_, stages)| Stages {
            asked_tokens: sum.asked_tokens + stages.asked_tokens,
            overloaded_tokens: sum.overloaded_tokens + stages.overloaded_tokens,
            not_run_tokens: sum.not_run_tokens + stages.not_run_tokens,
            granted_tokens: sum.granted_tokens + stages.granted_tokens,
            begun_tokens: sum.begun_tokens + stages.begun_tokens,
        })
    }
}

/// Tells that a request of a team has come to a stage.
pub(crate) struct Event {
    at: Duration,
    team: Box<str>,
    tokens: u64,
    stage: Stage,
    /// Gateway that wrote of it; none where an admission did.
    gateway: Option<Box<str>>,
}

/// Tells how a gateway took connections in the second before a moment.
pub(crate) struct DoorEvent {
    at: Duration,
    gateway: Box<str>,
    door: Door,
}

impl DoorEvent {
    pub(crate) fn read(line: &Line, gateway: &str) -> Option<Self> {
        Some(Self {
            at: unix_time(line)?.saturating_sub(COUNTED_OVER / 2),
            gateway: gateway.into(),
            door: Door {
                connections: number(line, "connections"),
                shut_ms: number(line, "shut_ms"),
            },
        })
    }
}

impl Event {
    /// Returns that of a grant; none of a refusal, which the request's end tells.
    pub(crate) fn of_decision(decision: &Decision) -> Option<Self> {
        decision.is_granted.then(|| Self {
            at: decision.at,
            team: decision.team.clone(),
            tokens: decision.tokens,
            stage: Stage::Granted,
            gateway: None,
        })
    }
}

/// Returns the stages of a request that has ended, by the line of its end; none of a plain one.
pub(crate) fn events_of_request(line: &Line, gateway: &str) -> Vec<Event> {
    let (Some(ended), Some(team)) = (unix_time(line), line.get("team")) else {
        return Vec::new();
    };
    let tokens = service_tokens(line);
    if tokens == 0 {
        return Vec::new();
    }
    let arrived = ended.saturating_sub(Duration::from_millis(number(line, "ms")));
    let first_ms = number(line, "first_ms");
    let fate = match line.get("outcome") {
        _ if first_ms > 0 => (arrived + Duration::from_millis(first_ms), Stage::Begun),
        Some(OVERLOADED) => (ended, Stage::Overloaded),
        _ => (ended, Stage::NotRun),
    };
    let stages = [(arrived, Stage::Asked), fate].into_iter();
    stages
        .map(|(at, stage)| Event {
            at,
            team: team.into(),
            tokens,
            stage,
            gateway: Some(gateway.into()),
        })
        .collect()
}
