//! Tells the story of one request out of the logs of the processes.

use std::fmt::{self, Display};
use std::io::{self, Read};
use std::path::Path;

use serde::Serialize;

use crate::args::ExplainOptions;
use crate::exit::Exit;
use crate::failure::Failure;
use crate::output::Output;
use crate::story::{Story, tell};

/// Name that stands for standard input.
const STANDARD_INPUT: &str = "-";

/// Runs `explain`.
pub(crate) fn run(options: &ExplainOptions, output: &mut Output<'_, '_>) -> Result<Exit, Failure> {
    if options.logs.is_empty() {
        let message = "which logs? give a file for each process, or - for standard input";
        return Err(Failure::invalid(message));
    }
    let logs = options.logs.iter().map(|name| read(name));
    let logs = logs.collect::<Result<Vec<_>, _>>()?;
    let story = tell(&options.id, &logs);
    let exit = if story.lines.is_empty() {
        Exit::Failed
    } else {
        Exit::Ok
    };
    output.show(&Told { story })?;
    Ok(exit)
}

/// Reads one log, with the name of its process: that of the file without its ending.
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

#[derive(Serialize)]
struct Told {
    #[serde(flatten)]
    story: Story,
}

impl Display for Told {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let story = &self.story;
        writeln!(f, "{}: {}", story.id, story.outcome)?;
        for (title, lines) in [("lines", &story.lines), ("around it", &story.around)] {
            if lines.is_empty() {
                continue;
            }
            writeln!(f, "\n{title}:")?;
            for line in lines {
                writeln!(f, "  {} {} {}", line.time, line.process, line.text)?;
            }
        }
        if !story.gaps.is_empty() {
            writeln!(f, "\ngaps:")?;
        }
        for gap in &story.gaps {
            writeln!(f, "  {gap}")?;
        }
        Ok(())
    }
}
