//! Tells the story of one request out of the logs of the processes.

use std::fmt::{self, Display};

use serde::Serialize;

use crate::args::ExplainOptions;
use crate::exit::Exit;
use crate::failure::Failure;
use crate::logs::read_all;
use crate::output::Output;
use crate::story::{Story, tell};

/// Runs `explain`.
pub(crate) fn run(options: &ExplainOptions, output: &mut Output<'_, '_>) -> Result<Exit, Failure> {
    let story = tell(&options.id, &read_all(&options.logs)?);
    let exit = if story.lines.is_empty() {
        Exit::Failed
    } else {
        Exit::Ok
    };
    output.show(&Told { story })?;
    Ok(exit)
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
