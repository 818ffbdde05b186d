//! Shows from logs the service that each team received, and the load of the engines.

use std::fmt::{self, Display};

use serde::Serialize;

use crate::args::SharesOptions;
use crate::exit::Exit;
use crate::failure::Failure;
use crate::logs::read_logs;
use crate::output::Output;
use crate::shares::{Shares, sum_up};
use crate::stages::{ConnectionCount, ShortTeam, StageTable, StageTokens};

/// Runs `shares`.
pub(crate) fn run(options: &SharesOptions, output: &mut Output<'_, '_>) -> Result<Exit, Failure> {
    let (shares, table) = sum_up(&read_logs(&options.logs)?);
    let exit = if shares.teams.is_empty() {
        Exit::Failed
    } else {
        Exit::Ok
    };
    let short = table.short_teams();
    let team = options.team.as_deref().unwrap_or_default();
    let stages = table.of_team(team);
    let stages = stages.map(|(second, stages)| SecondOfTeam { second, stages });
    output.show(&SharesAnswer {
        shares,
        short,
        stages: stages.collect(),
        gateways: if options.gateways {
            by_gateway(&table, team)
        } else {
            Vec::new()
        },
    })?;
    Ok(exit)
}

fn by_gateway(table: &StageTable, team: &str) -> Vec<SecondAtGateway> {
    let seconds = table.by_gateway(team);
    let seconds = seconds.map(
        |(second, gateway, stages, connection_count)| SecondAtGateway {
            second,
            gateway: gateway.into(),
            stages,
            connection_count,
        },
    );
    seconds.collect()
}

/// Stages of a team's requests in one second, counted from the first line.
#[derive(Serialize)]
struct SecondOfTeam {
    second: u64,
    #[serde(flatten)]
    stages: StageTokens,
}

/// Stages of a team's requests in one second at one gateway.
#[derive(Serialize)]
struct SecondAtGateway {
    second: u64,
    gateway: Box<str>,
    #[serde(flatten)]
    stages: StageTokens,
    /// None where the gateway rejected nothing.
    #[serde(rename = "door")]
    connection_count: Option<ConnectionCount>,
}

#[derive(Serialize)]
struct SharesAnswer {
    #[serde(flatten)]
    shares: Shares,
    short: Vec<ShortTeam>,
    stages: Vec<SecondOfTeam>,
    gateways: Vec<SecondAtGateway>,
}

impl Display for SharesAnswer {
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
        for SecondOfTeam { second, stages } in &self.stages {
            writeln!(f, "{second} s: {stages}")?;
        }
        for at in &self.gateways {
            write!(f, "{} s, {}: {}", at.second, at.gateway, at.stages)?;
            if let Some(ConnectionCount {
                connections,
                shut_ms,
            }) = at.connection_count
            {
                write!(f, "; connections {connections}, shut {shut_ms} ms")?;
            }
            writeln!(f)?;
        }
        Ok(())
    }
}

impl Display for StageTokens {
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
