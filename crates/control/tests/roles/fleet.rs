//! Runs control instances in this process, with links that can be cut.

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use hinge_control::{Control, ControlSettings, Dial, OperatorKeys, Peer, WATCH_ROUTES_PATH};
use hinge_link::{CallError, Client, ClusterKey, Traffic};
use hinge_schema::messages::{
    Announce, Apply, ApplyReply, AskStatus, ConfigFile, Role, Status, StatusReply,
};
use hinge_schema::routing::{
    CallerLimits, PutTable, PutTableReply, RouteTable, RoutesUpdate, WatchRoutes,
};
use hinge_telemetry::metrics::Registry;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_bytes::ByteBuf;

pub const SECRET: &str = "a secret of sixteen bytes or more";
pub const WAIT: Duration = Duration::from_secs(30);

/// A simulated network that maps instance names to sockets and can cut links.
#[derive(Debug, Default)]
pub struct Net {
    sockets: Mutex<BTreeMap<Box<str>, Box<str>>>,
    isolated: Mutex<BTreeSet<Box<str>>>,
    /// Instances on one side of a partition; empty while the network is whole.
    partition: Mutex<BTreeSet<Box<str>>>,
}

#[derive(Debug)]
struct PartitionedDial {
    name: Box<str>,
    net: Arc<Net>,
}

impl Dial for PartitionedDial {
    fn resolve(&self, address: &str) -> Option<Box<str>> {
        let isolated = self.net.isolated.lock().expect("the lock is not poisoned");
        let partition = self.net.partition.lock().expect("the lock is not poisoned");
        let is_between = partition.contains(&self.name) != partition.contains(address);
        let is_cut = is_between || isolated.contains(&self.name) || isolated.contains(address);
        if is_cut && *self.name != *address {
            return None;
        }
        let sockets = self.net.sockets.lock().expect("the lock is not poisoned");
        sockets.get(address).cloned()
    }
}

impl Net {
    pub fn isolate(&self, name: &str) {
        self.isolated
            .lock()
            .expect("the lock is not poisoned")
            .insert(name.into());
    }

    /// Partitions the network: these instances on one side, all others on the other.
    pub fn split(&self, partition: &BTreeSet<Box<str>>) {
        let mut held = self.partition.lock().expect("the lock is not poisoned");
        held.clone_from(partition);
    }

    pub fn heal(&self, name: &str) {
        self.isolated
            .lock()
            .expect("the lock is not poisoned")
            .remove(name);
    }

    pub fn dial(self: &Arc<Self>, name: &str) -> Arc<dyn Dial> {
        Arc::new(PartitionedDial {
            name: name.into(),
            net: Arc::clone(self),
        })
    }

    pub fn socket(&self, name: &str) -> Box<str> {
        self.sockets.lock().expect("the lock is not poisoned")[name].clone()
    }

    pub fn register(&self, name: &str, socket: &str) {
        self.sockets
            .lock()
            .expect("the lock is not poisoned")
            .insert(name.into(), socket.into());
    }
}

/// The running control instances by name.
pub struct Fleet {
    pub net: Arc<Net>,
    pub folder: tempfile::TempDir,
    pub running: BTreeMap<Box<str>, Control>,
    /// Traffic of each instance since its start.
    pub traffic: BTreeMap<Box<str>, Traffic>,
    tolerated_losses: u32,
    names: Vec<Box<str>>,
}

pub fn peer_key() -> ClusterKey {
    ClusterKey::derive(b"the cluster's key")
}

impl Fleet {
    pub async fn start(count: usize) -> Self {
        Self::start_tolerating(count, 0).await
    }

    /// Starts founders that are configured to tolerate this many losses.
    pub async fn start_tolerating(count: usize, tolerated_losses: u32) -> Self {
        let mut fleet = Self::new_unstarted(count, tolerated_losses);
        for name in fleet.names.clone() {
            fleet.open(&name, true).await;
        }
        fleet
    }

    /// Creates a fleet with named founders, and starts none of them.
    pub fn new_unstarted(founders: usize, tolerated_losses: u32) -> Self {
        let names = (0..founders).map(|n| format!("control-{n}").into());
        Self {
            net: Arc::default(),
            folder: tempfile::tempdir().expect("a temporary folder can be created"),
            running: BTreeMap::new(),
            traffic: BTreeMap::new(),
            tolerated_losses,
            names: names.collect(),
        }
    }

    pub fn path(&self, name: &str) -> std::path::PathBuf {
        self.folder.path().join(name)
    }

    pub async fn open(&mut self, name: &str, bootstrap: bool) {
        let settings = self.settings(name, &self.path(name), bootstrap);
        self.open_with_settings(name, settings).await;
    }

    /// Opens an instance that stores its log in memory.
    pub async fn open_diskless(&mut self, name: &str, bootstrap: bool) {
        let mut settings = self.settings(name, &self.path(name), bootstrap);
        settings.data_folder = None;
        self.open_with_settings(name, settings).await;
    }

    async fn open_with_settings(&mut self, name: &str, settings: ControlSettings) {
        let operators =
            OperatorKeys::parse(&format!("ana = \"{SECRET}\"")).expect("the key line is valid");
        let key = peer_key();
        self.traffic.insert(name.into(), key.traffic().clone());
        let opened = Control::open_with(
            settings,
            key,
            operators,
            &Registry::new(),
            self.net.dial(name),
        )
        .await;
        let control = opened.expect("the instance opens");
        self.net
            .register(name, &control.local_address().to_string());
        self.running.insert(name.into(), control);
    }

    fn settings(&self, name: &str, path: &Path, bootstrap: bool) -> ControlSettings {
        let mut settings = ControlSettings::new(name, "test", "127.0.0.1:0");
        settings.advertise = Some(name.into());
        settings.data_folder = Some(path.into());
        settings.bootstrap = bootstrap;
        settings.election_timeout = Duration::from_millis(300);
        settings.heartbeat = Duration::from_millis(50);
        settings.snapshot_every_entries = 100;
        settings.tolerated_losses = self.tolerated_losses;
        let peers = self.names.iter();
        settings.peers = peers
            .map(|name| Peer {
                instance: name.clone(),
                address: name.clone(),
            })
            .collect();
        settings
    }

    /// Stops an instance cleanly.
    pub async fn stop(&mut self, name: &str) -> hinge_control::StopOutcome {
        let control = self.running.remove(name).expect("the instance runs");
        control.stop(Duration::from_secs(10)).await
    }

    /// Waits for a leader and returns its name.
    pub async fn leader(&self) -> Box<str> {
        loop {
            let leading = self
                .running
                .iter()
                .find(|(_, control)| control.is_leading());
            if let Some((name, _)) = leading {
                return name.clone();
            }
            pause().await;
        }
    }

    pub async fn follower(&self) -> Box<str> {
        let leader = self.leader().await;
        let names = self.running.keys();
        let mut others = names.filter(|name| **name != leader);
        others.next().expect("there are several instances").clone()
    }

    pub async fn call<Q: Serialize, A: DeserializeOwned>(
        &self,
        name: &str,
        path: &str,
        message: &Q,
    ) -> Result<A, CallError> {
        Client::new(peer_key())
            .call(&self.net.socket(name), path, message, WAIT)
            .await
    }

    pub async fn call_operator<Q: Serialize, A: DeserializeOwned>(
        &self,
        name: &str,
        path: &str,
        message: &Q,
    ) -> A {
        let client = Client::new(ClusterKey::derive(SECRET.as_bytes()));
        let path = format!("/v1/operator/{path}");
        client
            .call(&self.net.socket(name), &path, message, WAIT)
            .await
            .expect("the instance answers")
    }

    /// Sends a table to an instance, and returns whether it or a newer one is in force afterwards.
    pub async fn try_put_table(&self, name: &str, number: u64) -> bool {
        let put = self
            .call::<_, PutTableReply>(name, "/v1/routes/put", &table(number))
            .await;
        put.is_ok_and(|held| held.number >= number)
    }

    /// Sends a table to an instance until it or a newer one is in force.
    pub async fn put_table(&self, name: &str, table: &RouteTable) {
        let message = PutTable {
            table: table.clone(),
        };
        loop {
            let put: Result<PutTableReply, _> = self.call(name, "/v1/routes/put", &message).await;
            if put.is_ok_and(|held| held.number >= table.number) {
                return;
            }
            pause().await;
        }
    }

    /// Asks an instance for a newer table as a gateway does, and returns whether it has one.
    pub async fn serves_newer_table(&self, name: &str, number: u64) -> bool {
        let watch = WatchRoutes {
            instance: "gateway-1".into(),
            peer_address: None,
            table_number: number - 1,
            endpoints_version: u64::MAX,
            suspects_version: None,
            evacuations_version: None,
            accepts_patches: None,
            accepts_unconfirmed: None,
            wait_ms: 100,
        };
        let watched = self
            .call::<_, RoutesUpdate>(name, WATCH_ROUTES_PATH, &watch)
            .await;
        let table = watched.ok().and_then(|update| update.table);
        table.is_some_and(|table| table.number >= number)
    }

    /// Returns the status from the leader, once there is one that answers.
    pub async fn status(&self) -> Status {
        let ask = AskStatus {
            wait_version: 0,
            wait_ms: 0,
        };
        loop {
            let leader = self.leader().await;
            if let StatusReply::Status(status) = self.call_operator(&leader, "status", &ask).await {
                return status;
            }
            pause().await;
        }
    }

    /// Applies a change at any instance that answers, as an operator who retries would.
    pub async fn apply(&self, apply: &Apply) -> ApplyReply {
        loop {
            for name in self.running.keys() {
                let reply: ApplyReply = self.call_operator(name, "apply", apply).await;
                if !matches!(reply, ApplyReply::Unavailable(_)) {
                    return reply;
                }
            }
            pause().await;
        }
    }
}

/// Returns a table without routes.
fn table(number: u64) -> PutTable {
    let limits = CallerLimits {
        max_header_bytes: 1,
        max_body_bytes: 1,
        header_timeout_ms: 1,
        idle_timeout_ms: 1,
    };
    let table = RouteTable {
        number,
        routes: Vec::new(),
        services: Vec::new(),
        limits,
        tokens_per_s: 0,
        teams: Vec::new(),
        document: ByteBuf::new(),
    };
    PutTable { table }
}

/// Sleeps briefly before a condition is checked again.
pub async fn pause() {
    tokio::time::sleep(Duration::from_millis(5)).await;
}

/// Waits until a condition holds.
pub async fn wait_for(condition: impl Fn() -> bool) {
    while !condition() {
        pause().await;
    }
}

pub fn team(name: &str, share: u64) -> ConfigFile {
    ConfigFile {
        name: format!("{name}.toml").into(),
        text: format!("[teams.{name}]\nshare = {share}\n").into(),
    }
}

pub fn change(id: &str, base_version: u64, files: Vec<ConfigFile>) -> Apply {
    Apply {
        change_id: id.into(),
        operator: Box::default(),
        base_version,
        note: "a test".into(),
        put: files,
        removed: Vec::new(),
    }
}

pub fn announce(name: &str, incarnation: u64) -> Announce {
    Announce {
        instance: name.into(),
        incarnation,
        role: Role::Sidecar,
        data_center: "hall-a".into(),
        peer_address: "127.0.0.1:9".into(),
        pool: "forecast-llm".into(),
        slots: 4,
        kv_tokens: 1000,
        model_version: "v1".into(),
        config_version: 0,
        highest_fence: 0,
        leaving: false,
        running: None,
        ejected: None,
        lease_ms: 10_000,
    }
}
