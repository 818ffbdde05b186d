//! What every role needs before it starts: logs, metrics, the cluster key and the admin server.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use anyhow::{Context as _, Result, bail};
use hinge_config::secret::Secret;
use hinge_link::{Client, ClusterKey, CounterKind, Direction, MessageClass, Traffic};
use hinge_routing::DataCenters;
use hinge_schema::messages::{Announce, Role};
use hinge_schema::settings::Settings;
use hinge_telemetry::admin::Admin;
use hinge_telemetry::log::{self, Component};
use hinge_telemetry::metrics::Registry;
use hinge_telemetry::readiness::{Readiness, Reason};

use crate::reload;
use crate::signals::Signals;
use crate::suspension;

/// The state that every role shares: settings, keys, metrics, readiness and signals.
#[derive(Debug)]
pub(crate) struct Context {
    /// Path of the settings file, for reloads; none when built-in settings are used.
    pub(crate) settings_file: Option<PathBuf>,
    pub(crate) settings: Settings,
    pub(crate) key: ClusterKey,
    pub(crate) client: Client,
    pub(crate) registry: Arc<Registry>,
    pub(crate) readiness: Arc<Readiness>,
    pub(crate) signals: Signals,
    /// Number that tells this process from earlier processes of the same instance.
    pub(crate) incarnation: u64,
}

impl Context {
    /// Creates the context of a role, with the cluster key from its settings or from its key file.
    pub(crate) fn open(settings: Settings, signals: Signals) -> Result<Self> {
        if let Some(key) = &settings.cluster_key {
            let key = ClusterKey::derive(key.as_bytes());
            return Ok(Self::with_key(settings, key, signals));
        }
        let Some(path) = &settings.cluster_key_file else {
            bail!(
                "the setting `cluster_key_file` is missing: processes use this key to authenticate each other"
            );
        };
        let secret = Secret::read(path).context("reading the cluster key")?;
        let key = ClusterKey::derive(secret.expose());
        Ok(Self::with_key(settings, key, signals))
    }

    /// Returns the context with the path of the settings file that it was read from.
    pub(crate) fn with_file(self, settings_file: Option<PathBuf>) -> Self {
        Self {
            settings_file,
            ..self
        }
    }

    /// Starts to watch the settings file, and calls `apply` with each changed version.
    ///
    /// # Errors
    ///
    /// Returns an error when the signal can't be watched.
    pub(crate) fn reload(&self, apply: impl Fn(&Settings) + Send + 'static) -> Result<()> {
        let (path, held) = (self.settings_file.clone(), self.settings.clone());
        reload::spawn(path, held, &self.signals, apply)
    }

    /// Creates the context of a role with a given cluster key.
    pub(crate) fn with_key(settings: Settings, key: ClusterKey, signals: Signals) -> Self {
        let registry = Registry::new();
        let key = key.with_traffic(register_traffic(&registry));
        Self {
            settings_file: None,
            client: Client::new(key.clone()),
            key,
            registry: Arc::new(registry),
            readiness: Arc::new(Readiness::new(&[Reason::Starting])),
            signals,
            incarnation: new_incarnation(),
            settings,
        }
    }

    /// Starts the admin server of a role: metrics, health, readiness and status.
    pub(crate) async fn bind_admin(&self, role: &str) -> Result<Admin> {
        let version = env!("CARGO_PKG_VERSION");
        self.registry.process_info(self.incarnation, role, version);
        suspension::spawn(&self.registry);
        let address = self.settings.admin_listen;
        let admin = Admin::bind(
            address,
            Arc::clone(&self.registry),
            Arc::clone(&self.readiness),
        )
        .await
        .with_context(|| format!("binding the admin address {address}"))?;
        hinge_telemetry::info!(Component::Admin, "Listening.", address = admin.address());
        Ok(admin)
    }

    /// Returns the addresses of the control or relay instances that this process connects to.
    pub(crate) fn control_addresses(&self) -> Vec<Box<str>> {
        control_addresses(&self.settings)
    }

    /// Returns all data centres with their regions.
    pub(crate) fn data_centers(&self) -> DataCenters {
        let regions = self.settings.data_centers.iter();
        DataCenters::new(regions.map(|(name, region)| (name.as_str().into(), region.clone())))
    }

    /// Returns the announcement of this process, without what only an endpoint announces.
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

/// Returns the addresses of the control or relay instances that the settings name.
pub(crate) fn control_addresses(settings: &Settings) -> Vec<Box<str>> {
    let addresses = settings.control_addresses.iter();
    addresses
        .map(|address| address.to_string().into())
        .collect()
}

/// Lease of processes that have no endpoint; no request is routed to them, so they need to renew it only rarely.
const DEFAULT_LEASE_MS: u64 = 6_000;

/// Registers counters for the messages and bytes exchanged with peers.
fn register_traffic(registry: &Registry) -> Traffic {
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

/// Returns a number greater than that of any earlier process of this instance: the microseconds since 1970.
fn new_incarnation() -> u64 {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let micros = u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX);
    micros.max(1)
}

/// Starts the log at the level that the settings name.
pub(crate) fn start_log(settings: &Settings) {
    log::start(settings.log_level.into());
}
