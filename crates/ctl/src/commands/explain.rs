//! Prints the timeline of one request from the logs of the processes.

use std::fmt::{self, Display};

use serde::Serialize;

use crate::args::ExplainOptions;
use crate::exit::Exit;
use crate::failure::Failure;
use crate::logs::read_logs;
use crate::output::Output;
use crate::timeline::{Timeline, build_timeline};

/// Runs `explain`.
pub(crate) fn run(options: &ExplainOptions, output: &mut Output<'_, '_>) -> Result<Exit, Failure> {
    let story = build_timeline(&options.id, &read_logs(&options.logs)?);
    let exit = if story.lines.is_empty() {
        Exit::Failed
    } else {
        Exit::Ok
    };
    output.show(&ExplainAnswer { story })?;
    Ok(exit)
}

#[derive(Serialize)]
struct ExplainAnswer {
    #[serde(flatten)]
    story: Timeline,
}

impl Display for ExplainAnswer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let timeline = &self.story;
        writeln!(f, "{}: {}", timeline.id, timeline.outcome)?;
        for (title, lines) in [("lines", &timeline.lines), ("around it", &timeline.context)] {
            if lines.is_empty() {
                continue;
            }
            writeln!(f, "\n{title}:")?;
            for line in lines {
                writeln!(f, "  {} {} {}", line.time, line.process, line.text)?;
            }
        }
        if !timeline.gaps.is_empty() {
            writeln!(f, "\ngaps:")?;
        }
        for gap in &timeline.gaps {
            writeln!(f, "  {gap}")?;
        }
        Ok(())
    }
}
