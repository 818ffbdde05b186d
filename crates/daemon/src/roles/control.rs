//! Runs the control role.

use std::process::ExitCode;
use std::time::Duration;

use anyhow::{Context as _, Result, bail};
use hinge_control::{Control, ControlSettings, OperatorKeys, Peer};
use hinge_telemetry::info;
use hinge_telemetry::log::Part;
use hinge_telemetry::readiness::Reason;

use crate::context::Context;

/// Longest time of a planned stop: handing over leadership takes a few heartbeats, and no request runs here.
const STOP_TIMEOUT: Duration = Duration::from_secs(10);

/// Runs a control instance until it is told to stop.
pub(super) async fn run(context: Context) -> Result<ExitCode> {
    let is_diskless = context.settings.control.diskless;
    if context.settings.data_folder.is_none() && !is_diskless {
        bail!(
            "the setting `data_folder` is missing: a control instance keeps the replicated log on its disk, unless it is `control.diskless`"
        );
    }
    if is_diskless {
        info!(
            Part::Control,
            "This instance has no disk: it follows those that have one, and has no vote beside them."
        );
    }
    let operators = match &context.settings.control.operator_keys_file {
        Some(path) => OperatorKeys::read(path).context("reading the operators' keys")?,
        None => OperatorKeys::default(),
    };
    // Nothing of this role can change while it runs; what is new holds from the next start on.
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
    Ok(super::code_of(stopped.calls_ended && stopped.log_ended))
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
        Part::Control,
        "Listening.",
        address = control.local_address()
    );
    Ok(control)
}

fn settings(context: &Context) -> ControlSettings {
    let given = &context.settings.control;
    let common = &context.settings;
    let own_address = common.peer_advertise.unwrap_or(common.peer_listen);
    let has_names = given.founders.is_empty();
    let instance = if has_names {
        common.instance.clone()
    } else {
        own_address.to_string().into()
    };
    let bootstrap = given.bootstrap && (has_names || given.founders.contains(&own_address));
    ControlSettings {
        advertise: common
            .peer_advertise
            .map(|address| address.to_string().into()),
        data_folder: common.data_folder.clone(),
        peers: peers(context),
        bootstrap,
        tolerated_losses: given.tolerated_losses,
        election_timeout: super::millis(given.election_timeout_ms),
        heartbeat: super::millis(given.heartbeat_ms),
        snapshot_every_entries: given.snapshot_every_entries,
        max_log_bytes: usize::try_from(given.max_log_bytes).unwrap_or(usize::MAX),
        watch_timeout: super::millis(given.watch_timeout_ms),
        ..ControlSettings::new(
            &instance,
            &common.cluster_id,
            &common.peer_listen.to_string(),
        )
    }
}

/// Returns the control instances of the first start, by their names or by their addresses.
fn peers(context: &Context) -> Vec<Peer> {
    let given = &context.settings.control;
    let named = given.peers.iter().map(|peer| Peer {
        instance: peer.instance.clone(),
        address: peer.address.to_string().into(),
    });
    let founders = given.founders.iter().map(|address| Peer {
        instance: address.to_string().into(),
        address: address.to_string().into(),
    });
    named.chain(founders).collect()
}
