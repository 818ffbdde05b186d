//! Runs the sidecar role.

use std::process::ExitCode;
use std::sync::Arc;

use anyhow::{Context as _, Result};
use hinge_member::Member;
use hinge_schema::messages::{Announce, Role};
use hinge_schema::settings::{EndpointKind, SidecarSettings as Given};
use hinge_sidecar::claims::HttpClaims;
use hinge_sidecar::{PoolKind, Sidecar, SidecarSettings, UnitWeights};
use hinge_telemetry::readiness::Reason;

use crate::context::Context;

/// Runs a sidecar until it is told to stop.
pub(super) async fn run(context: Context) -> Result<ExitCode> {
    let given = context.settings.sidecar.clone();
    let given =
        given.context("the section [sidecar] is missing: it names the endpoint and the pool")?;
    // Nothing of this role can change while it runs; what is new holds from the next start on.
    context.reload(|_settings| {})?;
    let admin = context.bind_admin("sidecar").await?;
    let sidecar = bind(&context, &given).await?;
    context.signals.stop_requested().await?;
    context.readiness.set(Reason::Leaving);
    let report = sidecar.drain(super::millis(given.drain_timeout_ms)).await;
    admin.stop().await;
    Ok(super::code_of(report.is_clean()))
}

/// Binds a sidecar that announces itself.
pub(super) async fn bind(context: &Context, given: &Given) -> Result<Sidecar> {
    let control = context.control_addresses();
    let member = Member::spawn(
        context.client.clone(),
        announce(context, given),
        control.clone(),
    );
    super::follow_config(&member, &context.readiness);
    let settings = settings(context, given);
    let claims = HttpClaims::spawn(context.client.clone(), control, settings.claim_timeout);
    let sidecar = Sidecar::bind(
        settings,
        member.clone(),
        Arc::new(claims),
        context.client.clone(),
        context.key.clone(),
        &context.registry,
    )
    .await
    .context("binding the sidecar's address")?;
    member.set_peer_address(&sidecar.local_address().to_string());
    context.readiness.clear(Reason::Starting);
    Ok(sidecar)
}

fn announce(context: &Context, given: &Given) -> Announce {
    Announce {
        pool: given.pool.clone(),
        slots: given.slots,
        kv_tokens: given.kv_tokens,
        model_version: given.model_version.clone(),
        lease_ms: given.lease_ms,
        ..context.announce(Role::Sidecar, "")
    }
}

fn settings(context: &Context, given: &Given) -> SidecarSettings {
    SidecarSettings {
        endpoint_address: given.endpoint_address.to_string().into(),
        pool: given.pool.clone(),
        listen: context.settings.peer_listen.to_string().into(),
        kind: match given.kind {
            EndpointKind::Model => PoolKind::Model(UnitWeights::default()),
            EndpointKind::Service => PoolKind::Service { busy_ms_units: 1 },
        },
        slots: given.slots,
        kv_tokens: given.kv_tokens,
        max_waiting: given.max_waiting_offers as usize,
        grant_lease: super::millis(given.grant_lease_ms),
        resume_window: super::millis(given.resume_window_ms),
        replay_bytes: usize::try_from(given.replay_bytes).unwrap_or(usize::MAX),
        ..SidecarSettings::default()
    }
}
