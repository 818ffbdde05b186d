//! The admission role.

use std::process::ExitCode;
use std::time::Duration;

use anyhow::{Context as _, Result, bail};
use hinge_admission::{QueueLimits, Server};
use hinge_platform::EngineClient;
use hinge_telemetry::readiness::Reason;

use crate::context::Context;

/// Limit on a planned stop; a gateway that loses the admission sends without asking it, so no request is cut.
const STOP_TIMEOUT: Duration = Duration::from_secs(2);

/// Runs an admission until it is asked to stop.
pub(super) async fn run(context: Context) -> Result<ExitCode> {
    let Some(section) = context.settings.admission.clone() else {
        bail!("the table `admission` is missing: it states the capacity of the engine");
    };
    // No setting of this role can change at run time; a change takes effect at the next start.
    context.reload(|_settings| {})?;
    let admin = context.bind_admin("admission").await?;
    let address = context.settings.peer_listen.to_string();
    let limits = QueueLimits {
        max_unread_tokens: section.max_unread_tokens,
        max_running: section.slots,
        kv_tokens: section.kv_tokens,
        max_wait_permille: section.turn_permille,
    };
    let reports = section.engine.map(EngineClient::new);
    let engine = reports.map(|reports| (reports, super::millis(section.report_interval_ms)));
    let server = Server::bind(&address, limits, &context.key, &context.registry, engine)
        .await
        .with_context(|| format!("binding the address for gateways {address}"))?;
    context.readiness.clear(Reason::Starting);
    context.signals.stop_requested().await?;
    context.readiness.set(Reason::Leaving);
    let is_clean = server.stop(STOP_TIMEOUT).await;
    admin.stop().await;
    Ok(super::exit_code(is_clean))
}
