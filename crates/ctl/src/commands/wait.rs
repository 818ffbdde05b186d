//! Waits until every live process has a version.

use std::fmt::{self, Display};
use std::time::Duration;

use hinge_schema::messages::{AskStatus, Status};
use serde::Serialize;
use tokio::time::{Instant, sleep};

use crate::args::WaitOptions;
use crate::control_client::ControlClient;
use crate::control_config::ControlConfig;
use crate::exit::Exit;
use crate::failure::Failure;
use crate::format;
use crate::output::Output;

/// Longest time for which control holds back one answer, so that progress is shown once a second.
const STATUS_WAIT: Duration = Duration::from_secs(1);

/// Pause between two status calls, which also limits the rate when control answers at once.
const POLL_PAUSE: Duration = Duration::from_millis(50);

#[derive(Serialize)]
struct WaitAnswer {
    version: u64,
    in_force: bool,
    processes: usize,
    lacking: Vec<LaggingProcess>,
    elapsed_ms: u64,
}

/// A live process that has an older version.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
struct LaggingProcess {
    instance: Box<str>,
    config_version: u64,
}

/// Runs `wait`.
pub(crate) async fn run(
    options: &WaitOptions,
    control: &ControlConfig,
    output: &mut Output<'_, '_>,
) -> Result<Exit, Failure> {
    let client = control.client()?;
    let version = match options.version {
        Some(version) => version,
        None => {
            client
                .status(&status_query(0, Duration::ZERO))
                .await?
                .config_version
        }
    };
    wait_for_version(&client, version, control.wait_timeout(), output).await
}

/// Waits for a version, reports which processes lack it, and prints the result.
pub(crate) async fn wait_for_version(
    client: &ControlClient,
    version: u64,
    timeout: Duration,
    output: &mut Output<'_, '_>,
) -> Result<Exit, Failure> {
    let started = Instant::now();
    let mut last_shown = Vec::new();
    loop {
        let remaining = timeout.saturating_sub(started.elapsed());
        let status = client
            .status(&status_query(version, remaining.min(STATUS_WAIT)))
            .await?;
        check_accepted(version, &status)?;
        let lacking = lacking(version, &status);
        let is_timed_out = remaining.is_zero();
        if lacking.is_empty() || is_timed_out {
            let answer = WaitAnswer {
                version,
                in_force: lacking.is_empty(),
                processes: status.members.len(),
                lacking,
                elapsed_ms: u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX),
            };
            output.show(&answer)?;
            return answer.exit();
        }
        if lacking != last_shown {
            output.note(&progress(version, &lacking, status.members.len()));
            last_shown = lacking;
        }
        sleep(POLL_PAUSE.min(remaining)).await;
    }
}

fn status_query(version: u64, wait: Duration) -> AskStatus {
    AskStatus {
        wait_version: version,
        wait_ms: u64::try_from(wait.as_millis()).unwrap_or(u64::MAX),
    }
}

fn check_accepted(version: u64, status: &Status) -> Result<(), Failure> {
    let newest = status.config_version;
    if version <= newest {
        return Ok(());
    }
    Err(Failure::invalid(format!(
        "there is no version {version} yet; the newest is {newest}"
    )))
}

fn lacking(version: u64, status: &Status) -> Vec<LaggingProcess> {
    let behind = status
        .members
        .iter()
        .filter(|member| member.config_version < version);
    behind
        .map(|member| LaggingProcess {
            instance: member.instance.clone(),
            config_version: member.config_version,
        })
        .collect()
}

fn progress(version: u64, lacking: &[LaggingProcess], processes: usize) -> String {
    let count = lacking.len();
    let names: Vec<_> = lacking
        .iter()
        .map(|lacking| format!("{} ({})", lacking.instance, lacking.config_version))
        .collect();
    let names = format::join_names(&names);
    format!("version {version}: {count} of {processes} processes lack it: {names}")
}

impl WaitAnswer {
    fn exit(&self) -> Result<Exit, Failure> {
        if self.in_force {
            return Ok(Exit::Ok);
        }
        Err(Failure::timed_out(format!(
            "version {} is accepted, but the wait ended first; run `sequoiactl wait --version {}` again, or look at the processes that lack it",
            self.version, self.version
        )))
    }
}

impl Display for WaitAnswer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if !self.in_force {
            return f.write_str(&progress(self.version, &self.lacking, self.processes));
        }
        if self.processes == 0 {
            return write!(
                f,
                "version {} is accepted, and no process is announced to control",
                self.version
            );
        }
        write!(
            f,
            "version {} is in force at {} processes after {}",
            self.version,
            self.processes,
            format::span(self.elapsed_ms)
        )
    }
}
