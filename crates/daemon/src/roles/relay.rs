//! The relay role.

use std::process::ExitCode;
use std::time::Duration;

use anyhow::{Context as _, Result};
use hinge_control::{Relay, RelaySettings};
use hinge_telemetry::log::Component;
use hinge_telemetry::readiness::Reason;

use crate::context::Context;

/// Limit on a planned stop; only open watch calls have to end.
const STOP_TIMEOUT: Duration = Duration::from_secs(5);

/// Runs a relay until it is asked to stop.
pub(super) async fn run(context: Context) -> Result<ExitCode> {
    // No setting of this role can change at run time; a change takes effect at the next start.
    context.reload(|_settings| {})?;
    let admin = context.bind_admin("relay").await?;
    let relay = Relay::open(settings(&context), context.key.clone())
        .await
        .context("opening the relay")?;
    context.readiness.clear(Reason::Starting);
    hinge_telemetry::info!(
        Component::Relay,
        "Listening.",
        address = relay.local_address()
    );
    context.signals.stop_requested().await?;
    context.readiness.set(Reason::Leaving);
    let is_clean = relay.stop(STOP_TIMEOUT).await;
    admin.stop().await;
    Ok(super::exit_code(is_clean))
}

fn settings(context: &Context) -> RelaySettings {
    let common = &context.settings;
    let listen = common.peer_listen.to_string();
    RelaySettings {
        advertise: common
            .peer_advertise
            .map(|address| address.to_string().into()),
        report_interval: super::millis(common.relay.sums_interval_ms),
        watch_timeout: super::millis(common.relay.watch_timeout_ms),
        ..RelaySettings::new(
            &common.instance,
            &common.data_center,
            &listen,
            context.control_addresses(),
        )
    }
}
