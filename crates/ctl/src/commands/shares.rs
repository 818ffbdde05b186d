//! Shows, out of logs, what the engines gave to each team, and how busy they were.

use std::fmt::{self, Display};

use serde::Serialize;

use crate::args::SharesOptions;
use crate::exit::Exit;
use crate::failure::Failure;
use crate::logs::read_all;
use crate::output::Output;
use crate::shares::{Shares, add_up};
use crate::stages::{Door, Short, StageTable, Stages};

/// Runs `shares`.
pub(crate) fn run(options: &SharesOptions, output: &mut Output<'_, '_>) -> Result<Exit, Failure> {
    let (shares, table) = add_up(&read_all(&options.logs)?);
    let exit = if shares.teams.is_empty() {
        Exit::Failed
    } else {
        Exit::Ok
    };
    let short = table.short_teams();
    let team = options.team.as_deref().unwrap_or_default();
    let stages = table.of_team(team);
    let stages = stages.map(|(second, stages)| Second { second, stages });
    output.show(&Shown {
        shares,
        short,
        stages: stages.collect(),
        gateways: if options.gateways {
            at_gateways(&table, team)
        } else {
            Vec::new()
        },
    })?;
    Ok(exit)
}

fn at_gateways(table: &StageTable, team: &str) -> Vec<AtGateway> {
    let places = table.at_gateways(team);
    let places = places.map(|(second, gateway, stages, door)| AtGateway {
        second,
        gateway: gateway.into(),
        stages,
        door,
    });
    places.collect()
}

/// Holds what became of a team's requests in one second from the first line on.
#[derive(Serialize)]
struct Second {
    second: u64,
    #[serde(flatten)]
    stages: Stages,
}

/// Holds what became of them at one gateway.
#[derive(Serialize)]
struct AtGateway {
    second: u64,
    gateway: Box<str>,
    #[serde(flatten)]
    stages: Stages,
    /// None where the gateway turned nothing away.
    door: Option<Door>,
}

#[derive(Serialize)]
struct Shown {
    #[serde(flatten)]
    shares: Shares,
    short: Vec<Short>,
    stages: Vec<Second>,
    gateways: Vec<AtGateway>,
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
        for short in &self.short {
            writeln!(
                f,
                "short from {} s, in 6 s: {}: {}; {} began {}",
                short.from_s, short.team, short.stages, short.best, short.best_begun_tokens
            )?;
        }
        for Second { second, stages } in &self.stages {
            writeln!(f, "{second} s: {stages}")?;
        }
        for at in &self.gateways {
            write!(f, "{} s, {}: {}", at.second, at.gateway, at.stages)?;
            if let Some(Door {
                connections,
                shut_ms,
            }) = at.door
            {
                write!(f, "; connections {connections}, shut {shut_ms} ms")?;
            }
            writeln!(f)?;
        }
        Ok(())
    }
}

impl Display for Stages {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "asked {}, overloaded {}, not run {}, granted {}, began {}",
            self.asked_tokens,
            self.overloaded_tokens,
            self.not_run_tokens,
            self.granted_tokens,
            self.begun_tokens
        )
    }
}
