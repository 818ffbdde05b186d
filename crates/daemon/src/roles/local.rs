//! The local role: a control instance, an entry, sidecars and a stand-in endpoint in one process.

use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use anyhow::{Context as _, Result, bail};
use hinge_config::folder;
use hinge_control::OperatorKeys;
use hinge_entry::Entry;
use hinge_link::{Client, ClusterKey};
use hinge_member::Member;
use hinge_schema::messages::{Apply, ApplyReply, ConfigFile};
use hinge_schema::settings::{ControlPeer, EndpointKind, Settings, SidecarSettings};
use rand::RngExt;

use super::{control, entry, sidecar, stand_in};
use crate::context::Context;
use crate::flags::Flags;
use crate::signals::Signals;

/// Timeout of one call to control.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Wait between two attempts while control elects itself and the fleet starts.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Limit on the time until the configuration is in force.
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// Limit on the planned stop of each role.
const STOP_TIMEOUT: Duration = Duration::from_secs(30);

const OPERATOR: &str = "local";

/// Pool that the stand-in serves as a model engine, in the built-in folder.
const MODEL_POOL: &str = "forecast";

/// Pool that the stand-in serves as a plain service, in the built-in folder.
const SERVICE_POOL: &str = "surf-api";

/// Runs all roles until the process is asked to stop.
pub(super) async fn run(flags: &Flags, settings: Settings, signals: &Signals) -> Result<ExitCode> {
    let secret = random_secret();
    let key = ClusterKey::derive(secret.as_bytes());
    let mut context = Context::with_key(settings, key, signals.clone());
    let admin = context.bind_admin("local").await?;

    let operators = OperatorKeys::parse(&format!("{OPERATOR} = \"{secret}\""))?;
    let role_context = |settings| Context::with_key(settings, context.key.clone(), signals.clone());
    let control_context = role_context(single_control_settings(&context.settings));
    let control = control::open(&control_context, operators).await?;
    context.settings.control_addresses = vec![control.local_address()];

    let stand_in = stand_in::bind(&context.settings).await?;
    let endpoint = sidecar_settings(
        &context.settings,
        stand_in.local_address(),
        EndpointKind::Model,
        MODEL_POOL,
    );
    let sidecar_context = role_context(instance_settings(&context.settings, "sidecar"));
    let sidecar = sidecar::bind(&sidecar_context, &endpoint).await?;
    let service = sidecar_settings(
        &context.settings,
        stand_in.local_address(),
        EndpointKind::Service,
        SERVICE_POOL,
    );
    let service_context = role_context(instance_settings(&context.settings, "service"));
    let service = sidecar::bind(&service_context, &service).await?;
    let (entry, member) = entry::bind(&context).await?;

    let files = read_folder(flags.folder.as_deref())?;
    let control_address = control.local_address().to_string();
    let start = async {
        apply(&control_address, &secret, files).await?;
        wait_until_ready(&context, &member).await
    };
    // A closed terminal (SIGHUP) stops the process: the local role reloads no settings.
    let stop = signals.stop_or_hangup_requested();
    tokio::pin!(stop);
    tokio::select! {
        started = start => {
            started?;
            print_first_request(&entry);
            stop.await?;
        }
        requested = &mut stop => requested?,
    }
    let entry_report = entry.drain(STOP_TIMEOUT).await;
    let sidecar_report = sidecar.drain(STOP_TIMEOUT).await;
    let service_report = service.drain(STOP_TIMEOUT).await;
    control.stop(STOP_TIMEOUT).await;
    stand_in.stop(STOP_TIMEOUT).await;
    admin.stop().await;
    let is_clean =
        entry_report.is_clean() && sidecar_report.is_clean() && service_report.is_clean();
    Ok(super::exit_code(is_clean))
}

fn random_secret() -> String {
    let mut rng = rand::rng();
    format!("{:032x}{:032x}", rng.random::<u128>(), rng.random::<u128>())
}

/// Returns the settings for another instance of this process, with ports that the system chooses.
fn instance_settings(settings: &Settings, instance: &str) -> Settings {
    let any_port = std::net::SocketAddr::from(([127, 0, 0, 1], 0));
    Settings {
        instance: format!("{}-{instance}", settings.instance).into(),
        peer_listen: any_port,
        peer_advertise: None,
        ..settings.clone()
    }
}

/// Returns the settings of a control instance that is the only voter and keeps its log in memory.
fn single_control_settings(settings: &Settings) -> Settings {
    let mut settings = instance_settings(settings, "control");
    settings.control.bootstrap = true;
    settings.control.peers = vec![ControlPeer {
        instance: settings.instance.clone(),
        address: settings.peer_listen,
    }];
    settings.data_folder = None;
    settings
}

fn sidecar_settings(
    settings: &Settings,
    endpoint: std::net::SocketAddr,
    kind: EndpointKind,
    pool: &str,
) -> SidecarSettings {
    let defaults = settings.sidecar.clone();
    let defaults = defaults
        .expect("the built-in settings have a [sidecar] section, and so must a settings file");
    SidecarSettings {
        endpoint_address: endpoint,
        kind,
        pool: pool.into(),
        ..defaults
    }
}

fn read_folder(path: Option<&Path>) -> Result<Vec<ConfigFile>> {
    if let Some(path) = path {
        return folder::read(path).context("reading the operators' folder");
    }
    let built_in = [
        (
            "10-pools.toml",
            include_str!("../../../../examples/folder/10-pools.toml"),
        ),
        (
            "20-teams.toml",
            include_str!("../../../../examples/folder/20-teams.toml"),
        ),
        (
            "30-objectives.toml",
            include_str!("../../../../examples/folder/30-objectives.toml"),
        ),
    ];
    let files = built_in.into_iter().map(|(name, text)| ConfigFile {
        name: name.into(),
        text: text.into(),
    });
    Ok(files.collect())
}

/// Applies the files as the first configuration, through the operators' API.
async fn apply(control: &str, secret: &str, files: Vec<ConfigFile>) -> Result<()> {
    let client = Client::new(ClusterKey::derive(secret.as_bytes()));
    let change = Apply {
        change_id: "first".into(),
        operator: OPERATOR.into(),
        base_version: 0,
        note: "first configuration".into(),
        put: files,
        removed: Vec::new(),
    };
    let applied = tokio::time::timeout(
        START_TIMEOUT,
        apply_until_answered(&client, control, &change),
    )
    .await;
    match applied.context("control did not answer the first configuration in time")? {
        ApplyReply::Accepted(_) => Ok(()),
        ApplyReply::Invalid(invalid) => {
            let lines: Vec<String> = invalid
                .problems
                .iter()
                .map(hinge_config::describe)
                .collect();
            bail!("the operators' folder is not valid:\n{}", lines.join("\n"));
        }
        other => bail!("control did not accept the configuration: {other:?}"),
    }
}

async fn apply_until_answered(client: &Client, control: &str, change: &Apply) -> ApplyReply {
    loop {
        let reply = client
            .call(control, "/v1/operator/apply", change, CALL_TIMEOUT)
            .await;
        match reply {
            Ok(ApplyReply::Unavailable(_)) | Err(_) => tokio::time::sleep(RETRY_INTERVAL).await,
            Ok(reply) => return reply,
        }
    }
}

/// Waits until the entry has the configuration and knows the endpoints of both pools, so that it can serve a first request.
async fn wait_until_ready(context: &Context, member: &Member) -> Result<()> {
    let ready = async {
        while !context.readiness.is_ready() || !knows_endpoints(member) {
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
    };
    tokio::time::timeout(START_TIMEOUT, ready)
        .await
        .context("the entry did not become ready in time")
}

fn knows_endpoints(member: &Member) -> bool {
    let members = member.members();
    [MODEL_POOL, SERVICE_POOL]
        .iter()
        .all(|pool| !members.pool(pool).is_empty())
}

fn print_first_request(entry: &Entry) {
    println!(
        "Ready. Ask for a streamed answer with:\n\n  curl -N http://{}/v1/chat/completions \\\n    -H 'Authorization: Bearer demo-key-small' -H 'Content-Type: application/json' \\\n    -d '{{\"model\":\"forecast-llm\",\"stream\":true,\"messages\":[{{\"role\":\"user\",\"content\":\"How is the surf?\"}}]}}'\n\nStop with Ctrl-C.",
        entry.callers_address()
    );
}
