//! Holds what every role needs before it starts: logs, metrics, the cluster key and the admin paths.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use anyhow::{Context as _, Result, bail};
use hinge_config::secret::Secret;
use hinge_link::{Client, ClusterKey, CounterKind, Direction, MessageClass, Traffic};
use hinge_schema::messages::{Announce, Role};
use hinge_schema::settings::Settings;
use hinge_telemetry::admin::Admin;
use hinge_telemetry::log::{self, Part};
use hinge_telemetry::metrics::Registry;
use hinge_telemetry::readiness::{Readiness, Reason};

use crate::reload;
use crate::signals::Signals;

/// Holds what every role needs.
#[derive(Debug)]
pub(crate) struct Context {
    /// Settings file, for reading it again.
    pub(crate) settings_file: Option<PathBuf>,
    pub(crate) settings: Settings,
    pub(crate) key: ClusterKey,
    pub(crate) client: Client,
    pub(crate) registry: Arc<Registry>,
    pub(crate) readiness: Arc<Readiness>,
    pub(crate) signals: Signals,
    /// Number that this process draws at its start.
    pub(crate) incarnation: u64,
}

impl Context {
    /// Reads the cluster key and creates the parts that no role can do without.
    pub(crate) fn open(settings: Settings, signals: Signals) -> Result<Self> {
        if let Some(key) = &settings.cluster_key {
            let key = ClusterKey::derive(key.as_bytes());
            return Ok(Self::with_key(settings, key, signals));
        }
        let Some(path) = &settings.cluster_key_file else {
            bail!(
                "the setting `cluster_key_file` is missing: processes prove to each other that they know this key"
            );
        };
        let secret = Secret::read(path).context("reading the cluster key")?;
        let key = ClusterKey::derive(secret.expose());
        Ok(Self::with_key(settings, key, signals))
    }

    /// Returns the context of a process whose settings stand in a file.
    pub(crate) fn with_file(self, settings_file: Option<PathBuf>) -> Self {
        Self {
            settings_file,
            ..self
        }
    }

    /// Reads the settings file again when it changes.
    ///
    /// # Errors
    ///
    /// Returns an error when the signal can't be watched.
    pub(crate) fn reload(&self, apply: impl Fn(&Settings) + Send + 'static) -> Result<()> {
        let (path, held) = (self.settings_file.clone(), self.settings.clone());
        reload::spawn(path, held, &self.signals, apply)
    }

    /// Creates the parts with a key that is known already.
    pub(crate) fn with_key(settings: Settings, key: ClusterKey, signals: Signals) -> Self {
        let registry = Registry::new();
        let key = key.with_traffic(count_traffic(&registry));
        Self {
            settings_file: None,
            client: Client::new(key.clone()),
            key,
            registry: Arc::new(registry),
            readiness: Arc::new(Readiness::new(&[Reason::Starting])),
            signals,
            incarnation: draw_incarnation(),
            settings,
        }
    }

    /// Starts the admin paths of a role: metrics, health, readiness.
    pub(crate) async fn bind_admin(&self, role: &str) -> Result<Admin> {
        let version = env!("CARGO_PKG_VERSION");
        self.registry.process_info(self.incarnation, role, version);
        let address = self.settings.admin_listen;
        let admin = Admin::bind(
            address,
            Arc::clone(&self.registry),
            Arc::clone(&self.readiness),
        )
        .await
        .with_context(|| format!("binding the admin address {address}"))?;
        hinge_telemetry::info!(Part::Admin, "Listening.", address = admin.address());
        Ok(admin)
    }

    /// Returns the addresses of control or relay instances.
    pub(crate) fn control_addresses(&self) -> Vec<Box<str>> {
        control_addresses(&self.settings)
    }

    /// Returns the template of this process's announcement.
    pub(crate) fn announce(&self, role: Role, peer_address: &str) -> Announce {
        let advertised = self
            .settings
            .peer_advertise
            .map(|address| address.to_string());
        Announce {
            instance: self.settings.instance.clone(),
            incarnation: self.incarnation,
            role,
            data_center: self.settings.data_center.clone(),
            peer_address: advertised.as_deref().unwrap_or(peer_address).into(),
            pool: Box::default(),
            slots: 0,
            kv_tokens: 0,
            model_version: Box::default(),
            config_version: 0,
            highest_fence: 0,
            leaving: false,
            running: None,
            ejected: None,
            lease_ms: DEFAULT_LEASE_MS,
        }
    }
}

/// Returns the addresses of control or relay instances in settings.
pub(crate) fn control_addresses(settings: &Settings) -> Vec<Box<str>> {
    let addresses = settings.control_addresses.iter();
    addresses
        .map(|address| address.to_string().into())
        .collect()
}

/// Lease of processes that are no endpoints, in milliseconds; nobody routes to them, so they renew rarely.
const DEFAULT_LEASE_MS: u64 = 6_000;

/// Puts the counts of bytes between the fleet's processes on the metrics page.
fn count_traffic(registry: &Registry) -> Traffic {
    let sockets = registry.counters::<[(&str, &str); 1]>(
        "peer_socket_bytes",
        "Bytes at the sockets of links to peers, without the headers of TCP and IP.",
    );
    let messages = registry.counters::<[(&str, &str); 2]>(
        "peer_messages",
        "Messages between processes of the fleet, by what they are for.",
    );
    let bytes = registry.counters::<[(&str, &str); 2]>(
        "peer_message_bytes",
        "Bytes of messages between processes of the fleet, by what they are for.",
    );
    let labels = |class: MessageClass, direction: Direction| {
        [("class", class.name()), ("direction", direction.name())]
    };
    Traffic::with_counters(|count, direction| match count {
        CounterKind::SocketBytes => sockets
            .get_or_create(&[("direction", direction.name())])
            .clone(),
        CounterKind::Messages(class) => messages.get_or_create(&labels(class, direction)).clone(),
        CounterKind::MessageBytes(class) => bytes.get_or_create(&labels(class, direction)).clone(),
    })
}

/// Draws a number that no earlier process of this instance had: it must rise, so it begins with the time.
fn draw_incarnation() -> u64 {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let micros = u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX);
    micros.max(1)
}

/// Turns the level of the settings into that of the logs.
pub(crate) fn start_logs(settings: &Settings) {
    log::start(settings.log_level.into());
}
