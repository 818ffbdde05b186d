//! Logs of processes, read from files or from standard input.

use std::io::{self, Read};
use std::path::Path;

use hinge_telemetry::parse::Line;

use crate::failure::Failure;

/// File name that stands for standard input.
const STDIN_NAME: &str = "-";

/// Message that a gateway logs at the end of a request.
pub(crate) const REQUEST_ENDED: &str = "Request.";

/// Messages that an admission logs for its two decisions.
pub(crate) const GRANTED: &str = "Granted.";
pub(crate) const REFUSED: &str = "Refused.";

/// Message that an admission logs about its engine once a second.
pub(crate) const ENGINE: &str = "Engine.";

/// Message that a gateway logs about its load, for each second in which it rejected work.
pub(crate) const LOAD: &str = "Load.";

/// A log line with the process that wrote it.
pub(crate) struct LogLine {
    pub(crate) process: Box<str>,
    pub(crate) line: Line,
    /// The line without its timestamp.
    pub(crate) text: Box<str>,
}

/// Reads logs, each with the name of its process, which is the file name without its extension.
pub(crate) fn read_logs(names: &[String]) -> Result<Vec<(Box<str>, String)>, Failure> {
    if names.is_empty() {
        let message = "which logs? give a file for each process, or - for standard input";
        return Err(Failure::invalid(message));
    }
    names.iter().map(|name| read(name)).collect()
}

fn read(name: &str) -> Result<(Box<str>, String), Failure> {
    let read_failure =
        |error: io::Error| Failure::failed(format!("the log {name} can't be read: {error}"));
    if name == STDIN_NAME {
        let mut bytes = Vec::new();
        io::stdin().read_to_end(&mut bytes).map_err(read_failure)?;
        return Ok((name.into(), String::from_utf8_lossy(&bytes).into_owned()));
    }
    let bytes = std::fs::read(name).map_err(read_failure)?;
    let stem = Path::new(name).file_stem().unwrap_or_default();
    let process = stem.to_string_lossy().into();
    Ok((process, String::from_utf8_lossy(&bytes).into_owned()))
}

/// Parses the lines of logs, one log after the other, each log given with the name of its process.
pub(crate) fn read_lines(logs: &[(Box<str>, String)]) -> impl Iterator<Item = LogLine> {
    let logs = logs.iter();
    logs.flat_map(|(process, log)| log.lines().filter_map(|text| read_line(process, text)))
}

/// Parses a line. Text before its timestamp names the process; without it, the name of the log does.
fn read_line(process: &str, text: &str) -> Option<LogLine> {
    let mut start = 0;
    loop {
        if let Some(line) = Line::read(&text[start..]) {
            let before = text[..start].trim();
            let process = if before.is_empty() { process } else { before };
            let level_at = start + line.time.len() + 1;
            return Some(LogLine {
                process: process.into(),
                text: text[level_at..].into(),
                line,
            });
        }
        start += text[start..].find(' ')? + 1;
    }
}
