//! Runs the admission role.

use std::process::ExitCode;
use std::time::Duration;

use anyhow::{Context as _, Result, bail};
use hinge_admission::{QueueLimits, Server};
use hinge_platform::EngineClient;
use hinge_telemetry::readiness::Reason;

use crate::context::Context;

/// Longest time of a planned stop; gateways that lose the admission send unasked, so nothing is cut.
const STOP_TIMEOUT: Duration = Duration::from_secs(2);

/// Runs an admission until it is told to stop.
pub(super) async fn run(context: Context) -> Result<ExitCode> {
    let Some(given) = context.settings.admission.clone() else {
        bail!("the table `admission` is missing: it tells the size of the engine");
    };
    // Nothing of this role can change while it runs; what is new holds from the next start on.
    context.reload(|_settings| {})?;
    let admin = context.bind_admin("admission").await?;
    let address = context.settings.peer_listen.to_string();
    let limits = QueueLimits {
        max_unread_tokens: given.max_unread_tokens,
        max_running: given.slots,
        kv_tokens: given.kv_tokens,
        max_wait_permille: given.turn_permille,
    };
    let reports = given.engine.map(EngineClient::new);
    let engine = reports.map(|reports| (reports, super::millis(given.report_interval_ms)));
    let server = Server::bind(&address, limits, &context.key, &context.registry, engine)
        .await
        .with_context(|| format!("binding the address for gateways {address}"))?;
    context.readiness.clear(Reason::Starting);
    context.signals.stop_requested().await?;
    context.readiness.set(Reason::Leaving);
    let is_clean = server.stop(STOP_TIMEOUT).await;
    admin.stop().await;
    Ok(super::code_of(is_clean))
}
