//! Reloads the settings file when it changes or when SIGHUP is received.

use std::path::PathBuf;
use std::time::Duration;

use anyhow::{Context as _, Result};
use hinge_config::settings;
use hinge_schema::settings::Settings;
use hinge_telemetry::log::Component;
use hinge_telemetry::{info, warn};
use tokio::time::sleep;

use crate::signals::Signals;

/// Time between two reads of the file, to notice changes that no signal announces.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Watches the settings file until the process ends, and calls `apply` with each changed version.
///
/// A SIGHUP that the process received before this call triggers a reload at once.
///
/// # Errors
///
/// Returns the system's error when the signal can't be watched.
pub(crate) fn spawn(
    path: Option<PathBuf>,
    current: Settings,
    signals: &Signals,
    apply: impl Fn(&Settings) + Send + 'static,
) -> Result<()> {
    let (mut hangup, mut already_received) = signals
        .watch_hangup()
        .context("installing the SIGHUP handler")?;
    tokio::spawn(async move {
        let mut current = current;
        loop {
            let by_signal = std::mem::take(&mut already_received)
                || tokio::select! {
                    _ = hangup.recv() => true,
                    () = sleep(POLL_INTERVAL) => false,
                };
            let Some(path) = &path else {
                continue;
            };
            match settings::load(path) {
                Ok(new) if new == current => {
                    if by_signal {
                        info!(Component::Daemon, "Reloaded settings without a change.");
                    }
                }
                Ok(new) => {
                    info!(
                        Component::Daemon,
                        "Reloaded settings.",
                        by_signal = by_signal,
                        control_addresses = new.control_addresses.len()
                    );
                    apply(&new);
                    current = new;
                }
                Err(problems) => {
                    warn!(
                        Component::Daemon,
                        "The changed settings are not valid; the former ones stay in force.",
                        problems = problems
                    );
                }
            }
        }
    });
    Ok(())
}
