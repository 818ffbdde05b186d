//! Settings, addresses and processes of one fleet.

use std::fmt::Write as _;
use std::fs;
use std::net::{Ipv4Addr, SocketAddr};
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU16, AtomicU32, Ordering};

use hinge_config::folder;
use hinge_fakes::stand_in::{StandIn, StandInSettings};
use hinge_link::{Client, ClusterKey};
use hinge_schema::messages::{FromSidecar, Offer, ToSidecar, UrgencyClass};
use tempfile::TempDir;

use crate::operator::Operator;
use crate::process::{self, Process, STEP_TIMEOUT};
use crate::reserve::reserve;

/// First port of a fleet; it lies below the range from which the system assigns ports.
const FIRST_PORT: u16 = 10_000;

const CLUSTER_SECRET: &str = "cluster-secret-of-the-tests";

/// Names of the operators.
const OPERATORS: [&str; 2] = ["tester", "rival"];

fn operator_secret(operator: &str) -> String {
    format!("operator-secret-of-{operator}")
}

/// The settings files and the addresses of one fleet.
#[derive(Debug)]
pub(crate) struct Fleet {
    folder: TempDir,
    host: Ipv4Addr,
    next_port: AtomicU16,
    control: Vec<SocketAddr>,
}

impl Fleet {
    /// Reserves addresses for a fleet with this many control instances.
    pub(crate) fn new(control_instances: usize) -> Self {
        let folder = tempfile::tempdir().expect("a temporary folder can be created");
        let fleet = Self {
            host: unique_loopback_address(),
            next_port: AtomicU16::new(FIRST_PORT),
            control: Vec::new(),
            folder,
        };
        fleet.write_secret("cluster.key", CLUSTER_SECRET);
        let operators = OPERATORS.map(|name| format!("{name} = \"{}\"\n", operator_secret(name)));
        fleet.write_secret("operators.toml", &operators.concat());
        let control = (0..control_instances)
            .map(|_| fleet.free_address())
            .collect();
        Self { control, ..fleet }
    }

    /// Starts every control instance and returns them in order.
    pub(crate) fn start_control(&self) -> Vec<Process> {
        (0..self.control.len())
            .map(|idx| self.start_control_instance(idx))
            .collect()
    }

    /// Starts one control instance, with the data folder of its former run if there was one.
    pub(crate) fn start_control_instance(&self, idx: usize) -> Process {
        let mut section = format!(
            "data_folder = \"{}\"\n[control]\nbootstrap = true\noperator_keys_file = \"{}\"\n",
            self.path(&format!("data-{idx}")).display(),
            self.path("operators.toml").display()
        );
        for (peer, address) in self.control.iter().enumerate() {
            let _always_ok = write!(
                section,
                "[[control.peers]]\ninstance = \"control-{peer}\"\naddress = \"{address}\"\n"
            );
        }
        let listen = format!("peer_listen = \"{}\"\n", self.control[idx]);
        self.start(
            "control",
            &format!("control-{idx}"),
            &format!("{listen}{section}"),
        )
    }

    /// Deletes the data folder of a control instance that does not run.
    pub(crate) fn delete_data_folder(&self, idx: usize) {
        fs::remove_dir_all(self.path(&format!("data-{idx}"))).expect("the folder can be deleted");
    }

    /// Makes an offer to a sidecar as an entry would, and returns its answer.
    pub(crate) async fn offer(&self, sidecar: SocketAddr, pool: &str) -> FromSidecar {
        let client = Client::new(ClusterKey::derive(CLUSTER_SECRET.as_bytes()));
        let address = sidecar.to_string();
        let opened = client.open(&address, "/v1/offer", STEP_TIMEOUT);
        let mut exchange = opened.await.expect("the sidecar takes the exchange");
        let offer = ToSidecar::Offer(Offer {
            class: UrgencyClass::Standard,
            config_version: u64::MAX,
            deadline_ms: 60_000,
            entry: "entry-of-the-test".into(),
            entry_incarnation: 1,
            estimated_units: 1,
            fingerprint: 1,
            idempotent: true,
            key: None,
            kv_tokens: 0,
            pool: pool.into(),
            prefix_hash: 0,
            request_id: 1,
            team: "small-school".into(),
        });
        exchange
            .sender
            .send(&offer)
            .await
            .expect("the offer is sent");
        let answer = exchange
            .reader
            .next()
            .await
            .expect("the sidecar answers in frames");
        answer.expect("the sidecar answers before the end")
    }

    /// Starts an entry.
    pub(crate) fn start_entry(&self, name: &str) -> Process {
        let listen = self.free_address();
        self.start(
            "entry",
            name,
            &format!(
                "{}[entry]\ncallers_listen = \"{listen}\"\n",
                self.member_settings()
            ),
        )
    }

    /// Starts a sidecar with four slots for an endpoint, one of them reserved for urgent requests.
    pub(crate) fn start_sidecar(&self, name: &str, pool: &str, endpoint: SocketAddr) -> Process {
        self.start_sidecar_with(name, pool, endpoint, "")
    }

    /// Starts a sidecar with additional settings in its section.
    pub(crate) fn start_sidecar_with(
        &self,
        name: &str,
        pool: &str,
        endpoint: SocketAddr,
        settings: &str,
    ) -> Process {
        let section = format!(
            "[sidecar]\nendpoint_address = \"{endpoint}\"\npool = \"{pool}\"\nslots = 4\n{settings}\n"
        );
        self.start(
            "sidecar",
            name,
            &format!("{}{section}", self.member_settings()),
        )
    }

    /// Binds a stand-in endpoint in the process of the test.
    pub(crate) async fn stand_in(&self, settings: StandInSettings) -> StandIn {
        StandIn::bind(settings).await.expect("a free port exists")
    }

    /// Applies the example folder as an operator, and returns its version.
    pub(crate) async fn apply_example(&self) -> u64 {
        let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/folder");
        let files = folder::read(&path).expect("the example folder is readable");
        self.operator(0).apply("example", 0, files).await
    }

    /// Returns the client of an operator, by its index in [`OPERATORS`].
    pub(crate) fn operator(&self, idx: usize) -> Operator {
        Operator::new(
            OPERATORS[idx],
            &operator_secret(OPERATORS[idx]),
            &self.control,
        )
    }

    fn start(&self, role: &str, name: &str, settings: &str) -> Process {
        let file = self.path(&format!("{name}.toml"));
        let head = format!(
            "instance = \"{name}\"\ndata_center = \"hall-a\"\ncluster_id = \"tests\"\ncluster_key_file = \"{}\"\n",
            self.path("cluster.key").display()
        );
        fs::write(&file, format!("{head}{settings}")).expect("the settings can be written");
        process::spawn(role, file)
    }

    /// Returns the settings that an entry and a sidecar have in common; the address stays the same over a restart.
    fn member_settings(&self) -> String {
        let quoted: Vec<String> = self
            .control
            .iter()
            .map(|address| format!("\"{address}\""))
            .collect();
        let listen = self.free_address();
        format!(
            "peer_listen = \"{listen}\"\ncontrol_addresses = [{}]\n",
            quoted.join(", ")
        )
    }

    fn write_secret(&self, name: &str, text: &str) {
        let path = self.path(name);
        fs::write(&path, text).expect("the key can be written");
        fs::set_permissions(&path, fs::Permissions::from_mode(0o600)).expect("the mode can be set");
    }

    fn path(&self, name: &str) -> PathBuf {
        self.folder.path().join(name)
    }

    /// Returns an address that no other process of the machine uses, and that no later call returns.
    fn free_address(&self) -> SocketAddr {
        loop {
            let port = self.next_port.fetch_add(1, Ordering::Relaxed);
            let address = SocketAddr::from((self.host, port));
            if reserve(address).is_ok() {
                return address;
            }
        }
    }
}

/// Returns a loopback address that only this fleet uses, so that a port that is free now stays free.
fn unique_loopback_address() -> Ipv4Addr {
    static FLEETS: AtomicU32 = AtomicU32::new(0);
    let fleet = FLEETS.fetch_add(1, Ordering::Relaxed);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let fleet = u8::try_from(fleet % 250).expect("the remainder is small");
    Ipv4Addr::new(127, high.max(1), low, fleet + 2)
}
