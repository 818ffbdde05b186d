//! The sidecar role.

use std::process::ExitCode;
use std::sync::Arc;

use anyhow::{Context as _, Result};
use hinge_member::Member;
use hinge_schema::messages::{Announce, Role};
use hinge_schema::settings::{EndpointKind, SidecarSettings as SidecarSection};
use hinge_sidecar::claims::HttpClaims;
use hinge_sidecar::{PoolKind, Sidecar, SidecarSettings, UnitWeights};
use hinge_telemetry::readiness::Reason;

use crate::context::Context;

/// Runs a sidecar until it is asked to stop.
pub(super) async fn run(context: Context) -> Result<ExitCode> {
    let section = context.settings.sidecar.clone();
    let section =
        section.context("the section [sidecar] is missing: it names the endpoint and the pool")?;
    // No setting of this role can change at run time; a change takes effect at the next start.
    context.reload(|_settings| {})?;
    let admin = context.bind_admin("sidecar").await?;
    let sidecar = bind(&context, &section).await?;
    context.signals.stop_requested().await?;
    context.readiness.set(Reason::Leaving);
    let report = sidecar.drain(super::millis(section.drain_timeout_ms)).await;
    admin.stop().await;
    Ok(super::exit_code(report.is_clean()))
}

/// Binds a sidecar that announces itself to control.
pub(super) async fn bind(context: &Context, section: &SidecarSection) -> Result<Sidecar> {
    let control = context.control_addresses();
    let member = Member::spawn(
        context.client.clone(),
        announce(context, section),
        control.clone(),
    );
    super::await_first_config(&member, &context.readiness);
    let settings = settings(context, section);
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

fn announce(context: &Context, section: &SidecarSection) -> Announce {
    Announce {
        pool: section.pool.clone(),
        slots: section.slots,
        kv_tokens: section.kv_tokens,
        model_version: section.model_version.clone(),
        lease_ms: section.lease_ms,
        ..context.announce(Role::Sidecar, "")
    }
}

fn settings(context: &Context, section: &SidecarSection) -> SidecarSettings {
    SidecarSettings {
        endpoint_address: section.endpoint_address.to_string().into(),
        pool: section.pool.clone(),
        listen: context.settings.peer_listen.to_string().into(),
        kind: match section.kind {
            EndpointKind::Model => PoolKind::Model(UnitWeights::default()),
            EndpointKind::Service => PoolKind::Service { busy_ms_units: 1 },
        },
        slots: section.slots,
        kv_tokens: section.kv_tokens,
        max_waiting: section.max_waiting_offers as usize,
        grant_lease: super::millis(section.grant_lease_ms),
        resume_window: super::millis(section.resume_window_ms),
        replay_bytes: usize::try_from(section.replay_bytes).unwrap_or(usize::MAX),
        ..SidecarSettings::default()
    }
}
