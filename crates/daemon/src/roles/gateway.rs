//! Runs the gateway role.

use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context as _, Result, bail};
use hinge_gateway::{Gateway, GatewaySettings};
use hinge_platform::Headers;
use hinge_routing::{ChoiceRules, OverloadRules, RetryBudgetRules};
use hinge_telemetry::log::Part;
use hinge_telemetry::readiness::Reason;

use crate::context::{Context, control_addresses};

/// Each of two waits for the rest of an answer that an engine no longer works on; a lost packet is sent again in it.
const LOST_GRACE: Duration = Duration::from_millis(200);

/// Runs a gateway until it is told to stop.
pub(super) async fn run(context: Context) -> Result<ExitCode> {
    let Some(given) = context.settings.gateway.clone() else {
        bail!("the table `gateway` is missing: it names the addresses that a gateway binds");
    };
    let control = context.control_addresses();
    if control.is_empty() {
        bail!(
            "the setting `control_addresses` is missing: a gateway learns its routes from control"
        );
    }
    let admin = context.bind_admin("gateway").await?;
    let settings = GatewaySettings {
        instance: context.settings.instance.clone(),
        data_center: context.settings.data_center.clone(),
        listen: given.listen,
        ready_listen: given.ready_listen,
        control,
        handoff_ports: given
            .handoff_first_port
            .zip(given.handoff_last_port)
            .map(|(first, last)| first..=last),
        admission_port: given.admission_port,
        retry_budget: RetryBudgetRules {
            retry_permille: given.retry_permille,
            burst_retries: given.retry_burst,
            window: Duration::from_millis(given.retry_window_ms),
        },
        choice: ChoiceRules {
            missing_token_us: given.missing_token_us,
            ..ChoiceRules::default()
        },
        max_spill_tokens: given.max_spill_tokens,
        max_connections: given.max_connections,
        lost_grace: LOST_GRACE,
        overload: OverloadRules::default(),
    };
    let gateway = Gateway::bind(
        settings,
        Arc::new(Headers),
        context.client.clone(),
        context.key.clone(),
        &context.registry,
        Arc::clone(&context.readiness),
    )
    .await
    .context("binding the gateway's addresses")?;
    let seeds = gateway.control_seeds();
    context.reload(move |settings| {
        seeds.send_replace(control_addresses(settings));
    })?;
    context.readiness.clear(Reason::Starting);
    context.signals.stop_requested().await?;
    hinge_telemetry::info!(Part::Gateway, "Stopping as planned.");
    let is_clean = gateway
        .drain(
            super::millis(given.rotation_ms),
            super::millis(given.stop_timeout_ms),
        )
        .await;
    hinge_telemetry::info!(Part::Gateway, "Stopped.", clean = is_clean);
    admin.stop().await;
    Ok(super::code_of(is_clean))
}
