//! Runs the stand-in endpoint, for a first look and for tests.

use std::process::ExitCode;
use std::time::Duration;

use anyhow::{Context as _, Result};
use hinge_fakes::stand_in::{StandIn, StandInSettings};
use hinge_schema::settings::Settings;
use hinge_telemetry::log::Part;

use crate::signals::Signals;

/// Longest time of a planned stop.
const STOP_TIMEOUT: Duration = Duration::from_mins(1);

/// Runs a stand-in until it is told to stop.
pub(super) async fn run(settings: &Settings, signals: &Signals) -> Result<ExitCode> {
    let stand_in = bind(settings).await?;
    signals.stop_or_hangup_requested().await?;
    Ok(super::code_of(stand_in.stop(STOP_TIMEOUT).await))
}

/// Binds a stand-in.
pub(super) async fn bind(settings: &Settings) -> Result<StandIn> {
    let given = &settings.stand_in;
    let wanted = StandInSettings {
        listen: given.listen.to_string().into(),
        slots: given.slots,
        tokens_per_second: u32::try_from(given.tokens_per_second).unwrap_or(u32::MAX),
        first_token: super::millis(given.first_token_ms),
        kv_tokens: given.kv_tokens,
        checks_fence: given.checks_fence,
        ..StandInSettings::default()
    };
    let stand_in = StandIn::bind(wanted)
        .await
        .context("binding the stand-in's address")?;
    hinge_telemetry::info!(
        Part::StandIn,
        "Listening.",
        address = stand_in.local_address()
    );
    Ok(stand_in)
}
