//! Reads the logs of processes from files or from standard input.

use std::io::{self, Read};
use std::path::Path;

use hinge_telemetry::parse::Line;

use crate::failure::Failure;

/// Name that stands for standard input.
const STANDARD_INPUT: &str = "-";

/// Sentence of the line that ends a request at a gateway.
pub(crate) const REQUEST_ENDED: &str = "Request.";

/// Sentences of an admission's two decisions.
pub(crate) const GRANTED: &str = "Granted.";
pub(crate) const REFUSED: &str = "Refused.";

/// Sentence of the line that an admission writes of its engine once a second.
pub(crate) const ENGINE: &str = "Engine.";

/// Sentence of the line that a gateway writes of its load, for a second in which it turned something away.
pub(crate) const LOAD: &str = "Load.";

/// Holds one line with the process that wrote it.
pub(crate) struct Logged {
    pub(crate) process: Box<str>,
    pub(crate) line: Line,
    /// The line without its time.
    pub(crate) text: Box<str>,
}

/// Reads logs, each with the name of its process: that of the file without its ending.
pub(crate) fn read_all(names: &[String]) -> Result<Vec<(Box<str>, String)>, Failure> {
    if names.is_empty() {
        let message = "which logs? give a file for each process, or - for standard input";
        return Err(Failure::invalid(message));
    }
    names.iter().map(|name| read(name)).collect()
}

fn read(name: &str) -> Result<(Box<str>, String), Failure> {
    let unusable =
        |error: io::Error| Failure::failed(format!("the log {name} can't be read: {error}"));
    if name == STANDARD_INPUT {
        let mut bytes = Vec::new();
        io::stdin().read_to_end(&mut bytes).map_err(unusable)?;
        return Ok((name.into(), String::from_utf8_lossy(&bytes).into_owned()));
    }
    let bytes = std::fs::read(name).map_err(unusable)?;
    let stem = Path::new(name).file_stem().unwrap_or_default();
    let process = stem.to_string_lossy().into();
    Ok((process, String::from_utf8_lossy(&bytes).into_owned()))
}

/// Reads the lines of logs, each with the name of its process, one log after the other.
pub(crate) fn read_lines(logs: &[(Box<str>, String)]) -> impl Iterator<Item = Logged> {
    let logs = logs.iter();
    logs.flat_map(|(process, log)| log.lines().filter_map(|text| read_line(process, text)))
}

/// Reads a line; what stands before its time names its process, and else the log does.
fn read_line(process: &str, text: &str) -> Option<Logged> {
    let mut start = 0;
    loop {
        if let Some(line) = Line::parse(&text[start..]) {
            let before = text[..start].trim();
            let process = if before.is_empty() { process } else { before };
            let level_at = start + line.time.len() + 1;
            return Some(Logged {
                process: process.into(),
                text: text[level_at..].into(),
                line,
            });
        }
        start += text[start..].find(' ')? + 1;
    }
}
