//! Shows, out of logs, what the engines gave to each team, and how busy they were.

use std::fmt::{self, Display};

use serde::Serialize;

use crate::args::SharesOptions;
use crate::exit::Exit;
use crate::failure::Failure;
use crate::logs::read_all;
use crate::output::Output;
use crate::shares::{Shares, add_up};

/// Runs `shares`.
pub(crate) fn run(options: &SharesOptions, output: &mut Output<'_, '_>) -> Result<Exit, Failure> {
    let shares = add_up(&read_all(&options.logs)?);
    let exit = if shares.teams.is_empty() {
        Exit::Failed
    } else {
        Exit::Ok
    };
    output.show(&Shown { shares })?;
    Ok(exit)
}

#[derive(Serialize)]
struct Shown {
    #[serde(flatten)]
    shares: Shares,
}

impl Display for Shown {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let shares = &self.shares;
        if let Some((median, widest)) = shares.median_and_widest() {
            writeln!(
                f,
                "gap between backlogged teams, tokens in 4 s: median {}, widest {} (from {} s: {} before {})",
                median.tokens, widest.tokens, widest.from_s, widest.most, widest.least
            )?;
        }
        if let Some((busy, reading)) = shares.busy_and_reading_permille() {
            writeln!(
                f,
                "engines, in thousandths of the looks at them: running {busy}, reading {reading}"
            )?;
        }
        for (team, share) in &shares.teams {
            writeln!(
                f,
                "{team}: granted {} ({} tokens), refused {} ({} tokens)",
                share.granted, share.granted_tokens, share.refused, share.refused_tokens
            )?;
        }
        Ok(())
    }
}
