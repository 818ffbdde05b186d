//! Runs control instances in this process, and has the helpers that the measurements share.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use hinge_control::{Control, ControlSettings, Dial, Direct, OperatorKeys, Peer};
use hinge_link::{Client, ClusterKey};
use hinge_schema::messages::{Announce, Apply, ApplyReply, ClaimBatch, ClaimKey, ConfigFile, Role};
use hinge_telemetry::metrics::Registry;
use tokio::net::TcpListener;

pub const SECRET: &str = "a secret of sixteen bytes or more";
pub const WAIT: Duration = Duration::from_mins(1);

/// Number of teams and files in a configuration folder of the target size.
pub const TEAMS: usize = 1500;
pub const FILES: usize = 30;

pub fn key() -> ClusterKey {
    ClusterKey::derive(b"the cluster's key")
}

/// Returns free addresses on the loopback interface.
pub async fn free_addresses(count: usize) -> Vec<Box<str>> {
    let mut listeners = Vec::new();
    for _ in 0..count {
        listeners.push(
            TcpListener::bind("127.0.0.1:0")
                .await
                .expect("a free port exists"),
        );
    }
    let addresses = listeners.iter();
    addresses
        .map(|listener| {
            listener
                .local_addr()
                .expect("the listener is bound")
                .to_string()
                .into()
        })
        .collect()
}

pub fn settings(folder: &Path, addresses: &[Box<str>], index: usize) -> ControlSettings {
    let name = |index: usize| format!("control-{index}");
    let mut settings = ControlSettings::new(&name(index), "figures", &addresses[index]);
    settings.data_folder = Some(folder.join(name(index)));
    settings.bootstrap = true;
    let peers = addresses.iter().enumerate();
    settings.peers = peers
        .map(|(index, address)| Peer {
            instance: name(index).into(),
            address: address.clone(),
        })
        .collect();
    settings
}

/// A dialler that refuses every address once it is cut; other instances can still reach this one.
#[derive(Debug, Default)]
pub struct Cut(pub AtomicBool);

impl Dial for Cut {
    fn resolve(&self, address: &str) -> Option<Box<str>> {
        let is_cut = self.0.load(Ordering::Relaxed);
        (!is_cut).then(|| address.into())
    }
}

pub async fn open(settings: ControlSettings) -> Control {
    open_with(settings, Arc::new(Direct)).await
}

pub async fn open_with(settings: ControlSettings, dial: Arc<dyn Dial>) -> Control {
    let operators =
        OperatorKeys::parse(&format!("ana = \"{SECRET}\"")).expect("the key line is valid");
    let opened = Control::open_with(settings, key(), operators, &Registry::new(), dial).await;
    opened.expect("the instance opens")
}

/// The running control instances.
pub struct Fleet {
    pub folder: tempfile::TempDir,
    pub addresses: Vec<Box<str>>,
    pub running: Vec<Option<Control>>,
}

impl Fleet {
    pub async fn start(count: usize) -> Self {
        let folder = tempfile::tempdir().expect("a temporary folder can be created");
        let addresses = free_addresses(count).await;
        let mut running = Vec::new();
        for index in 0..count {
            running.push(Some(open(settings(folder.path(), &addresses, index)).await));
        }
        let fleet = Self {
            folder,
            addresses,
            running,
        };
        fleet.leader().await;
        fleet
    }

    pub async fn stop(self) {
        for control in self.running.into_iter().flatten() {
            control.stop(Duration::from_secs(10)).await;
        }
    }

    pub async fn leader(&self) -> usize {
        loop {
            let leads =
                |control: &Option<Control>| control.as_ref().is_some_and(Control::is_leading);
            if let Some(index) = self.running.iter().position(leads) {
                return index;
            }
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    }

    pub async fn apply(&self, number: u64, put: Vec<ConfigFile>) {
        let leader = self.leader().await;
        let apply = Apply {
            change_id: format!("change-{number}").into(),
            operator: Box::default(),
            base_version: number,
            note: Box::default(),
            put,
            removed: Vec::new(),
        };
        let operator = Client::new(ClusterKey::derive(SECRET.as_bytes()));
        let reply: ApplyReply = operator
            .call(&self.addresses[leader], "/v1/operator/apply", &apply, WAIT)
            .await
            .expect("the leader answers");
        assert!(matches!(reply, ApplyReply::Accepted(_)), "{reply:?}");
    }
}

/// Returns a folder of the target size; `share` is the share of its first team.
pub fn folder(share: u64) -> Vec<ConfigFile> {
    let file = |file: usize| {
        let teams = (0..TEAMS / FILES).map(|team| {
            let hash = format!("{:064x}", file * TEAMS + team + 1);
            let share = if file + team == 0 { share } else { 10 };
            format!("[teams.team-{file}-{team}]\nshare = {share}\nkey_sha256 = [\"{hash}\"]\n")
        });
        ConfigFile {
            name: format!("{file:02}-teams.toml").into(),
            text: teams.collect::<String>().into(),
        }
    };
    (0..FILES).map(file).collect()
}

pub fn median(mut times: Vec<Duration>) -> (Duration, Duration) {
    times.sort_unstable();
    (times[times.len() / 2], times[times.len() - 1])
}

pub fn claims(count: u64, from: u64) -> ClaimBatch {
    let claim = |number: u64| ClaimKey {
        team: format!("team-{}", number % 100).into(),
        key: format!("key-{number}").into(),
        fingerprint: 1,
        sidecar: "sidecar-1".into(),
        incarnation: 1,
        claim_id: number,
        request_id: number,
    };
    ClaimBatch {
        claims: (from..from + count).map(claim).collect(),
        finished: Vec::new(),
    }
}

/// Returns the announcement of a sidecar.
pub fn announce(name: String) -> Announce {
    Announce {
        instance: name.into(),
        incarnation: 1_764_000_000_000,
        role: Role::Sidecar,
        data_center: "miraflores".into(),
        peer_address: "10.0.0.1:7000".into(),
        pool: "analista-llm".into(),
        slots: 16,
        kv_tokens: 400_000,
        model_version: "2026-12-01".into(),
        config_version: 1,
        highest_fence: 1 << 24,
        leaving: false,
        running: None,
        ejected: None,
        lease_ms: 10_000,
    }
}
