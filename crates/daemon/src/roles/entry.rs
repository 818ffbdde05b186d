//! Runs the entry role.

use std::process::ExitCode;
use std::sync::Arc;

use anyhow::{Context as _, Result};
use hinge_entry::{Entry, EntrySettings};
use hinge_member::Member;
use hinge_schema::messages::Role;
use hinge_telemetry::readiness::Reason;

use crate::context::Context;

/// Runs an entry until it is told to stop.
pub(super) async fn run(context: Context) -> Result<ExitCode> {
    // Nothing of this role can change while it runs; what is new holds from the next start on.
    context.reload(|_settings| {})?;
    let admin = context.bind_admin("entry").await?;
    let (entry, _member) = bind(&context).await?;
    context.signals.stop_requested().await?;
    context.readiness.set(Reason::Leaving);
    let report = entry
        .drain(super::millis(context.settings.entry.drain_timeout_ms))
        .await;
    admin.stop().await;
    Ok(super::code_of(report.is_clean()))
}

/// Binds an entry that announces itself, and returns what it knows of the fleet as well.
pub(super) async fn bind(context: &Context) -> Result<(Entry, Member)> {
    let announce = context.announce(Role::Entry, "");
    let member = Member::spawn(
        context.client.clone(),
        announce,
        context.control_addresses(),
    );
    super::follow_config(&member, &context.readiness);
    let entry = Entry::bind(
        settings(context),
        member.clone(),
        context.client.clone(),
        &context.key,
        &context.registry,
        Arc::clone(&context.readiness),
    )
    .await
    .context("binding the entry's addresses")?;
    member.set_peer_address(&entry.peer_address().to_string());
    context.readiness.clear(Reason::Starting);
    Ok((entry, member))
}

fn settings(context: &Context) -> EntrySettings {
    let given = &context.settings.entry;
    EntrySettings {
        callers_listen: given.callers_listen.to_string().into(),
        peer_listen: context.settings.peer_listen.to_string().into(),
        max_header_bytes: given.max_header_bytes as usize,
        max_body_bytes: given.max_body_bytes,
        body_timeout: super::millis(given.body_timeout_ms),
        max_waiting_requests: given.max_waiting_requests,
        max_waiting_bytes: given.max_waiting_bytes,
        ..EntrySettings::default()
    }
}
