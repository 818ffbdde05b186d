//! The entry role.

use std::process::ExitCode;
use std::sync::Arc;

use anyhow::{Context as _, Result};
use hinge_entry::{Entry, EntrySettings};
use hinge_member::Member;
use hinge_schema::messages::Role;
use hinge_telemetry::readiness::Reason;

use crate::context::Context;

/// Runs an entry until it is asked to stop.
pub(super) async fn run(context: Context) -> Result<ExitCode> {
    // No setting of this role can change at run time; a change takes effect at the next start.
    context.reload(|_settings| {})?;
    let admin = context.bind_admin("entry").await?;
    let (entry, _member) = bind(&context).await?;
    context.signals.stop_requested().await?;
    context.readiness.set(Reason::Leaving);
    let report = entry
        .drain(super::millis(context.settings.entry.drain_timeout_ms))
        .await;
    admin.stop().await;
    Ok(super::exit_code(report.is_clean()))
}

/// Binds an entry that announces itself to control; returns it with its membership client.
pub(super) async fn bind(context: &Context) -> Result<(Entry, Member)> {
    let announce = context.announce(Role::Entry, "");
    let member = Member::spawn(
        context.client.clone(),
        announce,
        context.control_addresses(),
    );
    super::await_first_config(&member, &context.readiness);
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
    let section = &context.settings.entry;
    EntrySettings {
        callers_listen: section.callers_listen.to_string().into(),
        peer_listen: context.settings.peer_listen.to_string().into(),
        max_header_bytes: section.max_header_bytes as usize,
        max_body_bytes: section.max_body_bytes,
        body_timeout: super::millis(section.body_timeout_ms),
        max_waiting_requests: section.max_waiting_requests,
        max_waiting_bytes: section.max_waiting_bytes,
        ..EntrySettings::default()
    }
}
