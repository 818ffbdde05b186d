//! Reads the settings file again when it changes, with or without a signal.

use std::path::PathBuf;
use std::time::Duration;

use anyhow::{Context as _, Result};
use hinge_config::settings;
use hinge_schema::settings::Settings;
use hinge_telemetry::log::Part;
use hinge_telemetry::{info, warn};
use tokio::time::sleep;

use crate::signals::Signals;

/// Time between two looks at the file, for changes that no signal tells of.
const LOOK_EVERY: Duration = Duration::from_secs(1);

/// Watches the settings file until the process ends, and hands each new content to `apply`.
///
/// A signal that came before, since the process started, makes it read the file at once.
///
/// # Errors
///
/// Returns the system's error when the signal can't be watched.
pub(crate) fn spawn(
    path: Option<PathBuf>,
    held: Settings,
    signals: &Signals,
    apply: impl Fn(&Settings) + Send + 'static,
) -> Result<()> {
    let (mut hangup, mut came_before) = signals.watch_hangup().context("watching for SIGHUP")?;
    tokio::spawn(async move {
        let mut held = held;
        loop {
            let by_signal = std::mem::take(&mut came_before)
                || tokio::select! {
                    _ = hangup.recv() => true,
                    () = sleep(LOOK_EVERY) => false,
                };
            let Some(path) = &path else {
                continue;
            };
            match settings::load(path) {
                Ok(new) if new == held => {
                    if by_signal {
                        info!(Part::Daemon, "Reloaded settings without a change.");
                    }
                }
                Ok(new) => {
                    info!(
                        Part::Daemon,
                        "Reloaded settings.",
                        by_signal = by_signal,
                        control_addresses = new.control_addresses.len()
                    );
                    apply(&new);
                    held = new;
                }
                Err(problems) => {
                    warn!(
                        Part::Daemon,
                        "The changed settings are not valid; the former ones stay in force.",
                        problems = problems
                    );
                }
            }
        }
    });
    Ok(())
}
