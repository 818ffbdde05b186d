//! Starts the role that the command line names, and stops it as planned.

mod admission;
mod control;
mod entry;
mod gateway;
mod local;
mod relay;
mod sidecar;
mod stand_in;

use std::process::ExitCode;
use std::time::Duration;

use anyhow::{Context as _, Result};
use hinge_member::Member;
use hinge_schema::settings::Settings;
use hinge_telemetry::info;
use hinge_telemetry::log::Part;
use hinge_telemetry::readiness::{Readiness, Reason};
use tokio::runtime::{Builder, Runtime};

use crate::context::{Context, start_logs};
use crate::flags::{Flags, RoleFlag};
use crate::signals::Signals;

/// Settings of the roles `local` and `stand-in` when no file is named.
pub(crate) const LOCAL_SETTINGS: &str = include_str!("../../../examples/settings/local.toml");

/// Threads of a process that only passes messages on; an entry uses one for each core.
const FEW_THREADS: usize = 2;

/// Exit code of a planned stop that had to cut something off at its deadline.
const EXIT_CUT: u8 = 3;

/// Runs a role until it is told to stop.
///
/// # Errors
///
/// Returns an error when the role can't start.
pub(crate) fn run(flags: &Flags, settings: Settings, signals: &Signals) -> Result<ExitCode> {
    start_logs(&settings);
    info!(
        Part::Daemon,
        "Starting.",
        role = flags.role().name(),
        instance = settings.instance
    );
    if signals.is_stop_requested() {
        info!(Part::Daemon, "Stopped before anything was bound.");
        return Ok(ExitCode::SUCCESS);
    }
    let open = |settings| {
        let context = Context::open(settings, signals.clone())?;
        Ok(context.with_file(flags.settings.clone()))
    };
    let open: &dyn Fn(Settings) -> Result<Context> = &open;
    match flags.role() {
        RoleFlag::Entry => all_cores()?.block_on(entry::run(open(settings)?)),
        RoleFlag::Sidecar => few_threads()?.block_on(sidecar::run(open(settings)?)),
        RoleFlag::Control => few_threads()?.block_on(control::run(open(settings)?)),
        RoleFlag::Gateway => one_thread()?.block_on(gateway::run(open(settings)?)),
        RoleFlag::Admission => one_thread()?.block_on(admission::run(open(settings)?)),
        RoleFlag::Relay => few_threads()?.block_on(relay::run(open(settings)?)),
        RoleFlag::StandIn => few_threads()?.block_on(stand_in::run(&settings, signals)),
        RoleFlag::Local => all_cores()?.block_on(local::run(flags, settings, signals)),
    }
}

fn all_cores() -> Result<Runtime> {
    Builder::new_multi_thread()
        .enable_all()
        .build()
        .context("starting the threads")
}

/// A gateway on a small machine has a part of one core; a second thread would only add wake-ups.
fn one_thread() -> Result<Runtime> {
    Builder::new_current_thread()
        .enable_all()
        .build()
        .context("starting the thread")
}

fn few_threads() -> Result<Runtime> {
    Builder::new_multi_thread()
        .worker_threads(FEW_THREADS)
        .enable_all()
        .build()
        .context("starting the threads")
}

fn code_of(is_clean: bool) -> ExitCode {
    if is_clean {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(EXIT_CUT)
    }
}

fn millis(time_ms: u64) -> Duration {
    Duration::from_millis(time_ms)
}

/// Keeps the readiness in step with what the process has learnt of the fleet.
fn follow_config(member: &Member, readiness: &std::sync::Arc<Readiness>) {
    readiness.set(Reason::NoConfig);
    let (member, readiness) = (member.clone(), std::sync::Arc::clone(readiness));
    tokio::spawn(async move {
        let mut changed = member.subscribe();
        while !member.is_current() && changed.changed().await.is_ok() {}
        readiness.clear(Reason::NoConfig);
    });
}
