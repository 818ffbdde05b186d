//! Runs the role that the command line names, until a planned stop.

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
use hinge_telemetry::log::Component;
use hinge_telemetry::readiness::{Readiness, Reason};
use tokio::runtime::{Builder, Runtime};

use crate::context::{Context, start_log};
use crate::flags::{Flags, RoleFlag};
use crate::signals::Signals;

/// Built-in settings of the roles `local` and `stand-in`, used when no file is named.
pub(crate) const LOCAL_SETTINGS: &str = include_str!("../../../examples/settings/local.toml");

/// Threads of a role that mostly forwards messages; an entry uses one thread for each core.
const FORWARDING_THREADS: usize = 2;

/// Exit code of a planned stop that had to abort work at its deadline.
const EXIT_STOP_ABORTED_WORK: u8 = 3;

/// Runs a role until it is asked to stop.
///
/// # Errors
///
/// Returns an error when the role can't start.
pub(crate) fn run(flags: &Flags, settings: Settings, signals: &Signals) -> Result<ExitCode> {
    start_log(&settings);
    info!(
        Component::Daemon,
        "Starting.",
        role = flags.role().name(),
        instance = settings.instance
    );
    if signals.is_stop_requested() {
        info!(Component::Daemon, "Stopped before anything was bound.");
        return Ok(ExitCode::SUCCESS);
    }
    let open = |settings| {
        let context = Context::open(settings, signals.clone())?;
        Ok(context.with_file(flags.settings.clone()))
    };
    let open: &dyn Fn(Settings) -> Result<Context> = &open;
    match flags.role() {
        RoleFlag::Entry => multi_core_runtime()?.block_on(entry::run(open(settings)?)),
        RoleFlag::Sidecar => forwarding_runtime()?.block_on(sidecar::run(open(settings)?)),
        RoleFlag::Control => forwarding_runtime()?.block_on(control::run(open(settings)?)),
        RoleFlag::Gateway => single_thread_runtime()?.block_on(gateway::run(open(settings)?)),
        RoleFlag::Admission => single_thread_runtime()?.block_on(admission::run(open(settings)?)),
        RoleFlag::Relay => forwarding_runtime()?.block_on(relay::run(open(settings)?)),
        RoleFlag::StandIn => forwarding_runtime()?.block_on(stand_in::run(&settings, signals)),
        RoleFlag::Local => multi_core_runtime()?.block_on(local::run(flags, settings, signals)),
    }
}

fn multi_core_runtime() -> Result<Runtime> {
    Builder::new_multi_thread()
        .enable_all()
        .build()
        .context("starting the runtime's threads")
}

/// Returns a runtime on the current thread.
///
/// A gateway on a small machine gets a fraction of one core, where a second thread would only add wake-ups.
fn single_thread_runtime() -> Result<Runtime> {
    Builder::new_current_thread()
        .enable_all()
        .build()
        .context("starting the runtime")
}

fn forwarding_runtime() -> Result<Runtime> {
    Builder::new_multi_thread()
        .worker_threads(FORWARDING_THREADS)
        .enable_all()
        .build()
        .context("starting the runtime's threads")
}

fn exit_code(is_clean: bool) -> ExitCode {
    if is_clean {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(EXIT_STOP_ABORTED_WORK)
    }
}

fn millis(time_ms: u64) -> Duration {
    Duration::from_millis(time_ms)
}

/// Marks the process as not ready until it has a current configuration.
fn await_first_config(member: &Member, readiness: &std::sync::Arc<Readiness>) {
    readiness.set(Reason::NoConfig);
    let (member, readiness) = (member.clone(), std::sync::Arc::clone(readiness));
    tokio::spawn(async move {
        let mut changed = member.subscribe();
        while !member.is_current() && changed.changed().await.is_ok() {}
        readiness.clear(Reason::NoConfig);
    });
}
