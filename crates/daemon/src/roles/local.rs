//! Runs every role as tasks of one process, with a stand-in endpoint.

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

/// Longest wait for one answer of control.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Wait before control is asked again while it elects itself.
const RETRY: Duration = Duration::from_millis(50);

/// Longest time until the configuration is in force.
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// Longest time of a planned stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(30);

const OPERATOR: &str = "local";

/// Pool of the stand-in as a model engine, in the built-in folder.
const MODEL_POOL: &str = "forecast";

/// Pool of the stand-in as a plain service, in the built-in folder.
const SERVICE_POOL: &str = "surf-api";

/// Runs all roles until the process is told to stop.
pub(super) async fn run(flags: &Flags, settings: Settings, signals: &Signals) -> Result<ExitCode> {
    let secret = draw_secret();
    let key = ClusterKey::derive(secret.as_bytes());
    let mut context = Context::with_key(settings, key, signals.clone());
    let admin = context.bind_admin("local").await?;

    let operators = OperatorKeys::parse(&format!("{OPERATOR} = \"{secret}\""))?;
    let part = |settings| Context::with_key(settings, context.key.clone(), signals.clone());
    let control_context = part(alone(&context.settings));
    let control = control::open(&control_context, operators).await?;
    context.settings.control_addresses = vec![control.local_address()];

    let stand_in = stand_in::bind(&context.settings).await?;
    let endpoint = guarded(
        &context.settings,
        stand_in.local_address(),
        EndpointKind::Model,
        MODEL_POOL,
    );
    let sidecar_context = part(renamed(&context.settings, "sidecar"));
    let sidecar = sidecar::bind(&sidecar_context, &endpoint).await?;
    let service = guarded(
        &context.settings,
        stand_in.local_address(),
        EndpointKind::Service,
        SERVICE_POOL,
    );
    let service_context = part(renamed(&context.settings, "service"));
    let service = sidecar::bind(&service_context, &service).await?;
    let (entry, member) = entry::bind(&context).await?;

    let files = read_folder(flags.folder.as_deref())?;
    let control_address = control.local_address().to_string();
    let start = async {
        apply(&control_address, &secret, files).await?;
        wait_until_ready(&context, &member).await
    };
    // The terminal may be closed at any time; there are no settings to read again.
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
    Ok(super::code_of(is_clean))
}

fn draw_secret() -> String {
    let mut rng = rand::rng();
    format!("{:032x}{:032x}", rng.random::<u128>(), rng.random::<u128>())
}

/// Returns the settings under another instance's name, with addresses that the system chooses.
fn renamed(settings: &Settings, instance: &str) -> Settings {
    let any_port = std::net::SocketAddr::from(([127, 0, 0, 1], 0));
    Settings {
        instance: format!("{}-{instance}", settings.instance).into(),
        peer_listen: any_port,
        peer_advertise: None,
        ..settings.clone()
    }
}

/// Returns the settings of a control instance that is a quorum by itself and keeps its log in memory.
fn alone(settings: &Settings) -> Settings {
    let mut settings = renamed(settings, "control");
    settings.control.bootstrap = true;
    settings.control.peers = vec![ControlPeer {
        instance: settings.instance.clone(),
        address: settings.peer_listen,
    }];
    settings.data_folder = None;
    settings
}

fn guarded(
    settings: &Settings,
    endpoint: std::net::SocketAddr,
    kind: EndpointKind,
    pool: &str,
) -> SidecarSettings {
    let defaults = settings.sidecar.clone();
    let defaults = defaults
        .expect("the built-in settings have a section [sidecar], and a file must have one too");
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

/// Puts the files in force, as an operator would.
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
    match applied.context("control accepted nothing in time")? {
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
            Ok(ApplyReply::Unavailable(_)) | Err(_) => tokio::time::sleep(RETRY).await,
            Ok(reply) => return reply,
        }
    }
}

/// Waits until the entry holds the configuration and knows the endpoints of both pools, so that the first request is served.
async fn wait_until_ready(context: &Context, member: &Member) -> Result<()> {
    let ready = async {
        while !context.readiness.is_ready() || !knows_endpoints(member) {
            tokio::time::sleep(RETRY).await;
        }
    };
    tokio::time::timeout(START_TIMEOUT, ready)
        .await
        .context("the entry did not get its configuration in time")
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
