//! Puts the lines of one request over all processes in order, and names what is missing.

use std::fmt::Write as _;
use std::time::Duration;

use hinge_telemetry::log::Level;
use hinge_telemetry::parse::Line;
use serde::Serialize;

use crate::logs::{ENGINE, GRANTED, Logged, REFUSED, REQUEST_ENDED, read_lines};

/// Key of a request's number.
const ID: &str = "id";

/// Sentence of the line that tells how many lines were dropped.
const DROPPED: &str = "Dropped lines that nobody took in time.";

/// Part that every role has, and whose lines say nothing of requests.
const ADMIN: &str = "admin";

/// Sentence of the line with which a role begins.
const STARTED: &str = "Listening.";

/// Time before a request's first line in which a changed belief may have decided it: an endpoint is held out, and a load is
/// believed, for a few seconds at most.
const BEFORE: Duration = Duration::from_secs(2);

/// Most lines that are shown around a request; the last ones are the nearest.
const MOST_AROUND: usize = 20;

/// Holds one line with the process that wrote it.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Told {
    pub(crate) time: Box<str>,
    pub(crate) process: Box<str>,
    /// The line without its time.
    pub(crate) text: Box<str>,
}

/// Holds what the logs tell of a request.
#[derive(Debug, Serialize)]
pub(crate) struct Story {
    pub(crate) id: Box<str>,
    /// What became of it, and why, in one line.
    pub(crate) outcome: Box<str>,
    /// Its own lines, in order.
    pub(crate) lines: Vec<Told>,
    /// Changes of belief of the processes and endpoints that it met, shortly before and during it.
    pub(crate) around: Vec<Told>,
    /// What the logs lack.
    pub(crate) gaps: Vec<Box<str>>,
}

impl Logged {
    fn told(&self) -> Told {
        Told {
            time: self.line.time.clone(),
            process: self.process.clone(),
            text: self.text.clone(),
        }
    }

    fn is_of(&self, id: &str) -> bool {
        self.line.get(ID) == Some(id)
    }
}

/// Tells the story of a request out of logs, each with the name of its process.
pub(crate) fn tell(id: &str, logs: &[(Box<str>, String)]) -> Story {
    let mut all: Vec<Logged> = read_lines(logs).collect();
    // Lines of one process keep their order where their times are equal.
    all.sort_by(|a, b| a.line.time.cmp(&b.line.time));
    let own: Vec<&Logged> = all.iter().filter(|read| read.is_of(id)).collect();
    let end = own
        .iter()
        .rev()
        .find(|read| &*read.line.sentence == REQUEST_ENDED);
    Story {
        id: id.into(),
        outcome: outcome(end.map(|read| &read.line), own.is_empty()),
        lines: own.iter().map(|read| read.told()).collect(),
        around: around(&all, &own),
        gaps: gaps(&all, &own, end.copied()),
    }
}

fn outcome(end: Option<&Line>, is_unknown: bool) -> Box<str> {
    let Some(end) = end else {
        let text = if is_unknown {
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
            // A string takes every write.
            let _written = write!(text, ", {title}: {value}");
        }
    }
    text.into()
}

/// Returns the changes of belief of the processes that wrote of the request, and what went wrong elsewhere with its endpoints.
fn around(all: &[Logged], own: &[&Logged]) -> Vec<Told> {
    let (Some(first), Some(last)) = (own.first(), own.last()) else {
        return Vec::new();
    };
    let from = earlier(&first.line.time, BEFORE);
    let met = endpoints(own);
    let is_near = |read: &&Logged| {
        let is_in_time = *from <= *read.line.time && read.line.time <= last.line.time;
        let endpoint = read.line.get("endpoint");
        let is_of_endpoint = endpoint.is_some_and(|endpoint| met.contains(&endpoint));
        let concerns_it = if is_among(own, &read.process) {
            endpoint.is_none() || is_of_endpoint
        } else {
            is_of_endpoint && read.line.level <= Level::Warn
        };
        let is_belief = read.line.get(ID).is_none() && read.line.level <= Level::Info;
        is_in_time && is_belief && concerns_it
    };
    let mut near: Vec<&Logged> = all.iter().filter(is_near).collect();
    keep_last_of_each(&mut near);
    let skipped = near.len().saturating_sub(MOST_AROUND);
    near[skipped..].iter().map(|read| read.told()).collect()
}

fn is_among(own: &[&Logged], process: &str) -> bool {
    own.iter().any(|own| *own.process == *process)
}

/// Keeps only the last of the lines that a process writes once a second.
fn keep_last_of_each(near: &mut Vec<&Logged>) {
    let mut kept: Vec<&Logged> = Vec::with_capacity(near.len());
    for read in near.iter().rev() {
        let is_again = &*read.line.sentence == ENGINE
            && kept.iter().any(|later| {
                later.process == read.process && later.line.sentence == read.line.sentence
            });
        if !is_again {
            kept.push(read);
        }
    }
    kept.reverse();
    *near = kept;
}

/// Returns the endpoints that a request was sent to, or that were asked for a place.
fn endpoints<'a>(own: &[&'a Logged]) -> Vec<&'a str> {
    let values = own
        .iter()
        .flat_map(|read| [read.line.get("endpoints"), read.line.get("refused_by")]);
    let listed = values.flatten().flat_map(|value| value.split(','));
    listed.filter(|endpoint| !endpoint.is_empty()).collect()
}

/// Names what the logs lack of a request.
fn gaps(all: &[Logged], own: &[&Logged], end: Option<&Logged>) -> Vec<Box<str>> {
    let mut gaps: Vec<Box<str>> = Vec::new();
    let (Some(first), Some(last)) = (own.first(), own.last()) else {
        return gaps;
    };
    let has = |sentence| own.iter().any(|read| &*read.line.sentence == sentence);
    match end {
        None => gaps.push(
            "no gateway tells the end: its log is not among these, it was killed, or the request still runs"
                .into(),
        ),
        Some(end) => {
            let value = |key| end.line.get(key).unwrap_or_default();
            if !value("refused_by").is_empty() && !has(REFUSED) {
                gaps.push("an admission refused it, and the line of that is missing".into());
            }
            let was_asked = value("ahead_tokens").parse().is_ok_and(|tokens: u64| tokens > 0);
            if was_asked && !has(GRANTED) && !value("endpoints").is_empty() {
                gaps.push("an admission granted it a place, and the line of that is missing".into());
            }
        }
    }
    let from = earlier(&first.line.time, BEFORE);
    for read in all.iter().filter(|read| &*read.line.component != ADMIN) {
        let is_in_time = *from <= *read.line.time && read.line.time <= last.line.time;
        let count = read.line.get("count").unwrap_or("some");
        let process = &read.process;
        let time = &read.line.time;
        match &*read.line.sentence {
            // The count is written when lines are taken again, which may be after the request.
            DROPPED if *read.line.time >= *from && is_among(own, process) => {
                gaps.push(format!("{process} dropped {count} lines before {time}").into());
            }
            STARTED if is_in_time && is_among(own, process) => {
                gaps.push(
                    format!("{process} started at {time}, and knows of nothing before").into(),
                );
            }
            _ => {}
        }
    }
    gaps
}

/// Returns a time as it is written in logs, earlier by a while; the time itself when it is none.
fn earlier(time: &str, by: Duration) -> Box<str> {
    let Ok(time_of) = humantime::parse_rfc3339(time) else {
        return time.into();
    };
    humantime::format_rfc3339_millis(time_of - by)
        .to_string()
        .into()
}
