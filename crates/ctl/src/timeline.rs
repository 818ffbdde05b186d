//! Timeline of one request over the logs of all processes, with the gaps in these logs.

use std::fmt::Write as _;
use std::time::Duration;

use hinge_telemetry::log::Level;
use hinge_telemetry::parse::Line;
use serde::Serialize;

use crate::logs::{ENGINE, GRANTED, LogLine, REFUSED, REQUEST_ENDED, read_lines};

/// Log key of a request's id.
const REQUEST_ID_KEY: &str = "id";

/// Message of the line that gives the number of dropped lines.
const LINES_DROPPED: &str = "Dropped lines that nobody took in time.";

/// Part that runs in every role, and whose lines are not about requests.
const ADMIN_PART: &str = "admin";

/// Message that a role logs at its start.
const LISTENING: &str = "Listening.";

/// Time before a request's first line in which a change of state may have affected it: an endpoint is held out, and a load
/// report is trusted, for a few seconds at most.
const CONTEXT_BEFORE: Duration = Duration::from_secs(2);

/// Most context lines that are shown; the last ones are kept, as they are nearest to the request.
const MAX_CONTEXT_LINES: usize = 20;

/// A log line in a timeline.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct TimelineLine {
    pub(crate) time: Box<str>,
    pub(crate) process: Box<str>,
    /// The line without its timestamp.
    pub(crate) text: Box<str>,
}

/// What the logs contain about a request.
#[derive(Debug, Serialize)]
pub(crate) struct Timeline {
    pub(crate) id: Box<str>,
    /// How it ended, and why, in one line.
    pub(crate) outcome: Box<str>,
    /// Its own lines, in order.
    pub(crate) lines: Vec<TimelineLine>,
    /// Changes of state of the processes and endpoints involved, shortly before and during the request.
    #[serde(rename = "around")]
    pub(crate) context: Vec<TimelineLine>,
    /// Lines that are missing from the logs.
    pub(crate) gaps: Vec<Box<str>>,
}

impl LogLine {
    fn to_timeline_line(&self) -> TimelineLine {
        TimelineLine {
            time: self.line.time.clone(),
            process: self.process.clone(),
            text: self.text.clone(),
        }
    }

    fn names_request(&self, id: &str) -> bool {
        self.line.get(REQUEST_ID_KEY) == Some(id)
    }
}

/// Builds the timeline of a request from logs, each given with the name of its process.
pub(crate) fn build_timeline(id: &str, logs: &[(Box<str>, String)]) -> Timeline {
    let mut all: Vec<LogLine> = read_lines(logs).collect();
    // The sort is stable, so lines of one process with equal times keep their order.
    all.sort_by(|a, b| a.line.time.cmp(&b.line.time));
    let request_lines: Vec<&LogLine> = all
        .iter()
        .filter(|logged| logged.names_request(id))
        .collect();
    let end = request_lines
        .iter()
        .rev()
        .find(|logged| &*logged.line.sentence == REQUEST_ENDED);
    Timeline {
        id: id.into(),
        outcome: outcome(end.map(|logged| &logged.line), request_lines.is_empty()),
        lines: request_lines
            .iter()
            .map(|logged| logged.to_timeline_line())
            .collect(),
        context: context(&all, &request_lines),
        gaps: gaps(&all, &request_lines, end.copied()),
    }
}

fn outcome(end: Option<&Line>, has_no_lines: bool) -> Box<str> {
    let Some(end) = end else {
        let text = if has_no_lines {
            "no line of these logs names it"
        } else {
            "no line tells its end"
        };
        return text.into();
    };
    let value = |key| end.get(key).unwrap_or_default();
    let mut text = format!("{}, status {}", value("outcome"), value("status"));
    for (key, title) in [("cause", "cause"), ("endpoints", "endpoints"), ("ms", "ms")] {
        let value = value(key);
        if !value.is_empty() {
            // Writing to a string never fails.
            let _written = write!(text, ", {title}: {value}");
        }
    }
    text.into()
}

/// Returns changes of state from the processes that logged the request, and warnings from other processes about its endpoints.
fn context(all: &[LogLine], request_lines: &[&LogLine]) -> Vec<TimelineLine> {
    let (Some(first), Some(last)) = (request_lines.first(), request_lines.last()) else {
        return Vec::new();
    };
    let from = subtract_from_time(&first.line.time, CONTEXT_BEFORE);
    let request_endpoints = endpoints(request_lines);
    let is_context = |logged: &&LogLine| {
        let is_in_period = *from <= *logged.line.time && logged.line.time <= last.line.time;
        let endpoint = logged.line.get("endpoint");
        let is_of_endpoint = endpoint.is_some_and(|endpoint| request_endpoints.contains(&endpoint));
        let concerns_request = if has_line_of(request_lines, &logged.process) {
            endpoint.is_none() || is_of_endpoint
        } else {
            is_of_endpoint && logged.line.level <= Level::Warn
        };
        let is_state_change =
            logged.line.get(REQUEST_ID_KEY).is_none() && logged.line.level <= Level::Info;
        is_in_period && is_state_change && concerns_request
    };
    let mut context_lines: Vec<&LogLine> = all.iter().filter(is_context).collect();
    keep_last_engine_lines(&mut context_lines);
    let skipped = context_lines.len().saturating_sub(MAX_CONTEXT_LINES);
    context_lines[skipped..]
        .iter()
        .map(|logged| logged.to_timeline_line())
        .collect()
}

fn has_line_of(request_lines: &[&LogLine], process: &str) -> bool {
    request_lines
        .iter()
        .any(|logged| *logged.process == *process)
}

/// Keeps only the last engine line of each process, which logs one every second.
fn keep_last_engine_lines(context_lines: &mut Vec<&LogLine>) {
    let mut kept: Vec<&LogLine> = Vec::with_capacity(context_lines.len());
    for logged in context_lines.iter().rev() {
        let is_repeated = &*logged.line.sentence == ENGINE
            && kept.iter().any(|later| {
                later.process == logged.process && later.line.sentence == logged.line.sentence
            });
        if !is_repeated {
            kept.push(logged);
        }
    }
    kept.reverse();
    *context_lines = kept;
}

/// Returns the endpoints that a request was sent to, or whose admission refused it.
fn endpoints<'a>(request_lines: &[&'a LogLine]) -> Vec<&'a str> {
    let values = request_lines
        .iter()
        .flat_map(|logged| [logged.line.get("endpoints"), logged.line.get("refused_by")]);
    let listed = values.flatten().flat_map(|value| value.split(','));
    listed.filter(|endpoint| !endpoint.is_empty()).collect()
}

/// Describes the lines about a request that are missing from the logs.
fn gaps(all: &[LogLine], request_lines: &[&LogLine], end: Option<&LogLine>) -> Vec<Box<str>> {
    let mut gaps: Vec<Box<str>> = Vec::new();
    let (Some(first), Some(last)) = (request_lines.first(), request_lines.last()) else {
        return gaps;
    };
    let has_sentence = |sentence| {
        request_lines
            .iter()
            .any(|logged| &*logged.line.sentence == sentence)
    };
    match end {
        None => gaps.push(
            "no gateway tells the end: its log is not among these, it was killed, or the request still runs"
                .into(),
        ),
        Some(end) => {
            let value = |key| end.line.get(key).unwrap_or_default();
            if !value("refused_by").is_empty() && !has_sentence(REFUSED) {
                gaps.push("an admission refused it, and the line of that is missing".into());
            }
            let was_asked = value("ahead_tokens").parse().is_ok_and(|tokens: u64| tokens > 0);
            if was_asked && !has_sentence(GRANTED) && !value("endpoints").is_empty() {
                gaps.push("an admission granted it a place, and the line of that is missing".into());
            }
        }
    }
    let from = subtract_from_time(&first.line.time, CONTEXT_BEFORE);
    for logged in all.iter().filter(|logged| &*logged.line.part != ADMIN_PART) {
        let is_in_period = *from <= *logged.line.time && logged.line.time <= last.line.time;
        let count = logged.line.get("count").unwrap_or("some");
        let process = &logged.process;
        let time = &logged.line.time;
        match &*logged.line.sentence {
            // The count is logged once lines are written again, which may be after the request.
            LINES_DROPPED if *logged.line.time >= *from && has_line_of(request_lines, process) => {
                gaps.push(format!("{process} dropped {count} lines before {time}").into());
            }
            LISTENING if is_in_period && has_line_of(request_lines, process) => {
                gaps.push(
                    format!("{process} started at {time}, and knows of nothing before").into(),
                );
            }
            _ => {}
        }
    }
    gaps
}

/// Returns a log timestamp moved back by a duration, or the text itself if it isn't a timestamp.
fn subtract_from_time(time: &str, by: Duration) -> Box<str> {
    let Ok(parsed) = humantime::parse_rfc3339(time) else {
        return time.into();
    };
    humantime::format_rfc3339_millis(parsed - by)
        .to_string()
        .into()
}
