//! The gateway role.

use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context as _, Result, bail};
use hinge_gateway::{Gateway, GatewaySettings, capacity};
use hinge_link::max_descriptors;
use hinge_platform::Headers;
use hinge_routing::{ChoiceRules, OverloadRules, RetryBudgetRules};
use hinge_telemetry::log::Component;
use hinge_telemetry::readiness::Reason;

use crate::context::{Context, control_addresses};

/// Length of each of two waits for the rest of an answer that the engine no longer works on.
///
/// It is long enough for TCP to retransmit a lost packet.
const LOST_GRACE: Duration = Duration::from_millis(200);

/// Runs a gateway until it is asked to stop.
pub(super) async fn run(context: Context) -> Result<ExitCode> {
    let Some(section) = context.settings.gateway.clone() else {
        bail!("the table `gateway` is missing: it names the addresses that the gateway binds");
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
        data_centers: context.data_centers(),
        max_state_age: super::millis(section.max_state_age_ms),
        listen: section.listen,
        ready_listen: section.ready_listen,
        control,
        handoff_ports: section
            .handoff_first_port
            .zip(section.handoff_last_port)
            .map(|(first, last)| first..=last),
        admission_port: section.admission_port,
        retry_budget: RetryBudgetRules {
            retry_permille: section.retry_permille,
            burst_retries: section.retry_burst,
            window: Duration::from_millis(section.retry_window_ms),
        },
        choice: ChoiceRules {
            missing_token_us: section.missing_token_us,
            ..ChoiceRules::default()
        },
        max_spill_tokens: section.max_spill_tokens,
        keeps_returns: section.keeps_returns,
        callers: capacity::caller_limits(
            section.max_connections,
            u64::from(section.memory_mb) << 20,
            section.descriptors.min(max_descriptors()),
        ),
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
    hinge_telemetry::info!(Component::Gateway, "Stopping as planned.");
    let is_clean = gateway
        .drain(
            super::millis(section.rotation_ms),
            super::millis(section.stop_timeout_ms),
        )
        .await;
    hinge_telemetry::info!(Component::Gateway, "Stopped.", clean = is_clean);
    admin.stop().await;
    Ok(super::exit_code(is_clean))
}
