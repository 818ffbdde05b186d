//! The stand-in endpoint, for trying out the fleet and for tests.

use std::process::ExitCode;
use std::time::Duration;

use anyhow::{Context as _, Result};
use hinge_fakes::stand_in::{StandIn, StandInSettings};
use hinge_schema::settings::Settings;
use hinge_telemetry::log::Component;

use crate::signals::Signals;

/// Limit on a planned stop.
const STOP_TIMEOUT: Duration = Duration::from_mins(1);

/// Runs a stand-in until it is asked to stop.
pub(super) async fn run(settings: &Settings, signals: &Signals) -> Result<ExitCode> {
    let stand_in = bind(settings).await?;
    signals.stop_or_hangup_requested().await?;
    Ok(super::exit_code(stand_in.stop(STOP_TIMEOUT).await))
}

/// Binds a stand-in with the settings of its section.
pub(super) async fn bind(settings: &Settings) -> Result<StandIn> {
    let section = &settings.stand_in;
    let stand_in_settings = StandInSettings {
        listen: section.listen.to_string().into(),
        slots: section.slots,
        tokens_per_second: u32::try_from(section.tokens_per_second).unwrap_or(u32::MAX),
        first_token: super::millis(section.first_token_ms),
        kv_tokens: section.kv_tokens,
        checks_fence: section.checks_fence,
        ..StandInSettings::default()
    };
    let stand_in = StandIn::bind(stand_in_settings)
        .await
        .context("binding the stand-in's address")?;
    hinge_telemetry::info!(
        Component::StandIn,
        "Listening.",
        address = stand_in.local_address()
    );
    Ok(stand_in)
}
