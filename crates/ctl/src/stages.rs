//! Counts from logs at which stage each team's requests to the engines were lost, second by second.
//!
//! Admissions only log the requests that reached them. Requests that a gateway rejected earlier, and requests that were granted
//! but never began, appear only in the lines that gateways log at the end of requests.

use std::collections::BTreeMap;
use std::time::Duration;

use hinge_telemetry::parse::Line;
use serde::Serialize;

use crate::shares::{AdmissionDecision, number, service_tokens, unix_time};

/// Length of the windows in which the service of teams is compared, in seconds.
const WINDOW_S: u64 = 6;

/// A team is short when it got less than what it could have had, divided by this.
const SHORT_DIVISOR: u64 = 2;

/// Tolerance in the comparison, in requests of a team's largest size.
const SLACK_REQUESTS: u64 = 3;

/// Time over which a gateway counts connections; it logs the count at the end.
const COUNT_PERIOD: Duration = Duration::from_secs(1);

/// Outcome of a request that an overloaded gateway rejected.
const OVERLOADED: &str = "overloaded";

/// Tokens of service that one team's requests had at each stage in one second.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
#[expect(clippy::struct_field_names, reason = "fields carry their unit")]
pub(crate) struct StageTokens {
    /// Arrived at gateways.
    pub(crate) asked_tokens: u64,
    /// Rejected by an overloaded gateway.
    pub(crate) overloaded_tokens: u64,
    /// Ended before the first part of an answer for any other reason: refused by admissions, failed, or cancelled by the caller.
    pub(crate) not_run_tokens: u64,
    /// Granted by admissions.
    pub(crate) granted_tokens: u64,
    /// Begun, counted at the first part of the answer.
    pub(crate) begun_tokens: u64,
}

/// A team that got far less than its share while it had requests waiting.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct ShortTeam {
    /// Start of the window, in seconds from the first line.
    pub(crate) from_s: u64,
    pub(crate) team: Box<str>,
    /// Its tokens at each stage in the window.
    pub(crate) stages: StageTokens,
    /// The team with the most service in the window.
    pub(crate) best: Box<str>,
    pub(crate) best_begun_tokens: u64,
}

/// Connections that a gateway accepted in one second in which it rejected work.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub(crate) struct ConnectionCount {
    pub(crate) connections: u64,
    /// Time in which it did not listen; connection attempts in that time are not logged.
    pub(crate) shut_ms: u64,
}

/// Tokens at each stage by team and second, counted from the first line.
#[derive(Debug, Default)]
pub(crate) struct StageTable {
    teams: BTreeMap<Box<str>, TeamStages>,
    connection_counts: BTreeMap<(u64, Box<str>), ConnectionCount>,
}

#[derive(Debug, Default)]
struct TeamStages {
    seconds: BTreeMap<u64, StageTokens>,
    /// The same by second and gateway, without grants, which admissions log.
    gateways: BTreeMap<(u64, Box<str>), StageTokens>,
    largest_request_tokens: u64,
}

impl StageTokens {
    fn add(&mut self, event: &StageEvent) {
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
    /// Creates a table by team and second from events in any order.
    pub(crate) fn new(events: &[StageEvent], connection_counts: Vec<ConnectionEvent>) -> Self {
        let mut table = Self::default();
        let first = events.iter().map(|event| event.at).min();
        let first = first.unwrap_or_default();
        for event in events {
            table.add(event, first);
        }
        for ConnectionEvent { at, gateway, count } in connection_counts {
            let second = at.saturating_sub(first).as_secs();
            table.connection_counts.insert((second, gateway), count);
        }
        table
    }

    fn add(&mut self, event: &StageEvent, first: Duration) {
        let second = event.at.saturating_sub(first).as_secs();
        let team = self.teams.entry(event.team.clone()).or_default();
        team.largest_request_tokens = team.largest_request_tokens.max(event.tokens);
        team.seconds.entry(second).or_default().add(event);
        if let Some(gateway) = &event.gateway {
            let key = (second, gateway.clone());
            team.gateways.entry(key).or_default().add(event);
        }
    }

    /// Returns the seconds of one team, in order.
    pub(crate) fn of_team(&self, team: &str) -> impl Iterator<Item = (u64, StageTokens)> {
        let team = self.teams.get(team).into_iter();
        team.flat_map(|team| team.seconds.iter())
            .map(|(second, stages)| (*second, *stages))
    }

    /// Returns the seconds of one team at each gateway, in order, with the gateway's connections.
    pub(crate) fn by_gateway(
        &self,
        team: &str,
    ) -> impl Iterator<Item = (u64, &str, StageTokens, Option<ConnectionCount>)> {
        let team = self.teams.get(team).into_iter();
        let seconds = team.flat_map(|team| team.gateways.iter());
        seconds.map(|(key, stages)| {
            let (second, gateway) = key;
            (
                *second,
                &**gateway,
                *stages,
                self.connection_counts.get(key).copied(),
            )
        })
    }

    /// Returns the teams that had requests rejected in each second of a window and got less than half of what they could have
    /// had: in each second, the lesser of what they asked for and what the best served team got.
    pub(crate) fn short_teams(&self) -> Vec<ShortTeam> {
        let seconds = self.teams.values().flat_map(|team| team.seconds.keys());
        let last = seconds.copied().max().unwrap_or_default();
        let starts = 0..=last.saturating_sub(WINDOW_S - 1);
        starts
            .flat_map(|from_s| self.short_teams_from(from_s))
            .collect()
    }

    fn short_teams_from(&self, from_s: u64) -> Vec<ShortTeam> {
        let teams = self.teams.iter();
        let best = teams.max_by_key(|(_, team)| team.sum(from_s).begun_tokens);
        let Some((best_name, best)) = best else {
            return Vec::new();
        };
        let teams = self.teams.iter();
        let short = teams.filter(|(_, team)| team.is_short(best, from_s));
        let short = short.map(|(name, team)| ShortTeam {
            from_s,
            team: name.clone(),
            stages: team.sum(from_s),
            best: best_name.clone(),
            best_begun_tokens: best.sum(from_s).begun_tokens,
        });
        short.collect()
    }
}

impl TeamStages {
    fn at(&self, second: u64) -> StageTokens {
        self.seconds.get(&second).copied().unwrap_or_default()
    }

    /// Returns whether the team had requests waiting and got far less than it could have had next to the best served team.
    fn is_short(&self, best: &Self, from_s: u64) -> bool {
        let seconds = from_s..from_s + WINDOW_S;
        let could_have_had = seconds.map(|second| {
            let asked = self.at(second).asked_tokens;
            asked.min(best.at(second).begun_tokens)
        });
        let minimum = could_have_had.sum::<u64>() / SHORT_DIVISOR;
        let had = self.sum(from_s).begun_tokens + SLACK_REQUESTS * self.largest_request_tokens;
        self.has_rejections_throughout(from_s) && had < minimum
    }

    fn has_rejections_throughout(&self, from_s: u64) -> bool {
        let mut seconds = from_s..from_s + WINDOW_S;
        seconds.all(|second| {
            let stages = self.at(second);
            stages.overloaded_tokens + stages.not_run_tokens > 0
        })
    }

    fn sum(&self, from_s: u64) -> StageTokens {
        let seconds = self.seconds.range(from_s..from_s + WINDOW_S);
        seconds.fold(StageTokens::default(), |sum, (_, stages)| StageTokens {
            asked_tokens: sum.asked_tokens + stages.asked_tokens,
            overloaded_tokens: sum.overloaded_tokens + stages.overloaded_tokens,
            not_run_tokens: sum.not_run_tokens + stages.not_run_tokens,
            granted_tokens: sum.granted_tokens + stages.granted_tokens,
            begun_tokens: sum.begun_tokens + stages.begun_tokens,
        })
    }
}

/// A request of a team that reached a stage.
pub(crate) struct StageEvent {
    at: Duration,
    team: Box<str>,
    tokens: u64,
    stage: Stage,
    /// Gateway that logged it; none for an event logged by an admission.
    gateway: Option<Box<str>>,
}

/// Connections of a gateway in the second around a point in time.
pub(crate) struct ConnectionEvent {
    at: Duration,
    gateway: Box<str>,
    count: ConnectionCount,
}

impl ConnectionEvent {
    pub(crate) fn read(line: &Line, gateway: &str) -> Option<Self> {
        Some(Self {
            at: unix_time(line)?.saturating_sub(COUNT_PERIOD / 2),
            gateway: gateway.into(),
            count: ConnectionCount {
                connections: number(line, "connections"),
                shut_ms: number(line, "shut_ms"),
            },
        })
    }
}

impl StageEvent {
    /// Returns the event of a grant; none for a refusal, which is counted at the end of the request.
    pub(crate) fn from_decision(decision: &AdmissionDecision) -> Option<Self> {
        decision.is_granted.then(|| Self {
            at: decision.at,
            team: decision.team.clone(),
            tokens: decision.tokens,
            stage: Stage::Granted,
            gateway: None,
        })
    }
}

/// Returns the stages of a request from the line of its end; none for a request without tokens of service.
pub(crate) fn request_events(line: &Line, gateway: &str) -> Vec<StageEvent> {
    let (Some(ended), Some(team)) = (unix_time(line), line.get("team")) else {
        return Vec::new();
    };
    let tokens = service_tokens(line);
    if tokens == 0 {
        return Vec::new();
    }
    let arrived = ended.saturating_sub(Duration::from_millis(number(line, "ms")));
    let first_ms = number(line, "first_ms");
    let last_stage = match line.get("outcome") {
        _ if first_ms > 0 => (arrived + Duration::from_millis(first_ms), Stage::Begun),
        Some(OVERLOADED) => (ended, Stage::Overloaded),
        _ => (ended, Stage::NotRun),
    };
    let stages = [(arrived, Stage::Asked), last_stage].into_iter();
    stages
        .map(|(at, stage)| StageEvent {
            at,
            team: team.into(),
            tokens,
            stage,
            gateway: Some(gateway.into()),
        })
        .collect()
}
