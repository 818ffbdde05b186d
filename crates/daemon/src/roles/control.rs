//! The control role.

use std::process::ExitCode;
use std::time::Duration;

use anyhow::{Context as _, Result, bail};
use hinge_control::{Control, ControlSettings, OperatorKeys, Peer};
use hinge_telemetry::info;
use hinge_telemetry::log::Component;
use hinge_telemetry::readiness::Reason;

use crate::context::Context;

/// Limit on a planned stop: a leadership transfer takes a few heartbeats, and control runs no requests.
const STOP_TIMEOUT: Duration = Duration::from_secs(10);

/// Runs a control instance until it is asked to stop.
pub(super) async fn run(context: Context) -> Result<ExitCode> {
    let is_diskless = context.settings.control.diskless;
    if context.settings.data_folder.is_none() && !is_diskless {
        bail!(
            "the setting `data_folder` is missing: a control instance keeps the replicated log on its disk, unless it is `control.diskless`"
        );
    }
    if is_diskless {
        info!(
            Component::Control,
            "This instance has no disk: it follows the instances that have one, and does not vote while they do."
        );
    }
    let operators = match &context.settings.control.operator_keys_file {
        Some(path) => OperatorKeys::read(path).context("reading the operators' keys")?,
        None => OperatorKeys::default(),
    };
    // No setting of this role can change at run time; a change takes effect at the next start.
    context.reload(|_settings| {})?;
    let admin = context.bind_admin("control").await?;
    let control = open(&context, operators).await?;
    tokio::select! {
        requested = context.signals.stop_requested() => requested?,
        cause = control.failed() => bail!("the replicated log has stopped: {cause}"),
    }
    context.readiness.set(Reason::Leaving);
    let stopped = control.stop(STOP_TIMEOUT).await;
    admin.stop().await;
    Ok(super::exit_code(stopped.calls_ended && stopped.log_ended))
}

/// Opens a control instance.
pub(super) async fn open(context: &Context, operators: OperatorKeys) -> Result<Control> {
    let control = Control::open_extended(
        settings(context),
        context.key.clone(),
        operators,
        &context.registry,
        |router, calls| hinge_platform::add_calls(router, &calls),
    )
    .await
    .context("opening the control instance")?;
    context.readiness.clear(Reason::Starting);
    info!(
        Component::Control,
        "Listening.",
        address = control.local_address()
    );
    Ok(control)
}

fn settings(context: &Context) -> ControlSettings {
    let section = &context.settings.control;
    let common = &context.settings;
    let advertised_address = common.peer_advertise.unwrap_or(common.peer_listen);
    let has_named_peers = section.founders.is_empty();
    let instance = if has_named_peers {
        common.instance.clone()
    } else {
        advertised_address.to_string().into()
    };
    let bootstrap =
        section.bootstrap && (has_named_peers || section.founders.contains(&advertised_address));
    ControlSettings {
        advertise: common
            .peer_advertise
            .map(|address| address.to_string().into()),
        data_folder: common.data_folder.clone(),
        peers: peers(context),
        bootstrap,
        tolerated_losses: section.tolerated_losses,
        election_timeout: super::millis(section.election_timeout_ms),
        heartbeat: super::millis(section.heartbeat_ms),
        snapshot_every_entries: section.snapshot_every_entries,
        max_log_bytes: usize::try_from(section.max_log_bytes).unwrap_or(usize::MAX),
        watch_timeout: super::millis(section.watch_timeout_ms),
        data_centers: context.data_centers(),
        ..ControlSettings::new(
            &instance,
            &common.cluster_id,
            &common.peer_listen.to_string(),
        )
    }
}

/// Returns the control instances of the first start, named by their instance or else by their address.
fn peers(context: &Context) -> Vec<Peer> {
    let section = &context.settings.control;
    let named = section.peers.iter().map(|peer| Peer {
        instance: peer.instance.clone(),
        address: peer.address.to_string().into(),
    });
    let founders = section.founders.iter().map(|address| Peer {
        instance: address.to_string().into(),
        address: address.to_string().into(),
    });
    named.chain(founders).collect()
}
