//! Starts the processes that are measured, and measures them.

use std::fmt::Write as _;
use std::fs;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::os::unix::fs::PermissionsExt;
use std::path::PathBuf;
use std::process::Stdio;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use anyhow::{Context as _, Result, bail};
use hinge_link::{Client, ClusterKey};
use hinge_schema::messages::{Apply, ApplyReply, ConfigFile};
use tempfile::TempDir;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, Command};
use tokio::sync::watch;

use crate::reading::{Rates, Reading};

/// Environment variable with the path of the binary to measure; without it, the release build of this workspace is used.
pub const BINARY_ENV: &str = "HINGE_BINARY";

const CLUSTER_SECRET: &str = "cluster-secret-of-the-measurement";

const OPERATOR_SECRET: &str = "operator-secret-of-the-measurement";

/// Timeout of one step; far longer than any step takes.
const STEP_TIMEOUT: Duration = Duration::from_secs(30);

const RETRY_DELAY: Duration = Duration::from_millis(20);

/// A running process, which is killed on drop.
#[derive(Debug)]
pub struct Process {
    /// Role and name, for the tables.
    pub name: Box<str>,
    child: Child,
    log: watch::Receiver<String>,
    admin: Option<SocketAddr>,
}

impl Process {
    /// Returns the address that follows a text in the log.
    ///
    /// # Errors
    ///
    /// Returns an error with the log when the text is not logged in time.
    pub async fn address_after(&self, text: &str) -> Result<SocketAddr> {
        let mut log = self.log.clone();
        let found = tokio::time::timeout(STEP_TIMEOUT, log.wait_for(|log| log.contains(text)));
        if !matches!(found.await, Ok(Ok(_))) {
            bail!(
                "{}: `{text}` was never logged: {}",
                self.name,
                *self.log.borrow()
            );
        }
        let log = self.log.borrow();
        let rest = log.split(text).nth(1).unwrap_or_default();
        let address = rest.split_whitespace().next().unwrap_or_default();
        address
            .parse()
            .with_context(|| format!("after `{text}`: {address}"))
    }

    /// Reads the resources that the process has used so far.
    ///
    /// # Errors
    ///
    /// Returns an error when the process has ended.
    pub async fn read(&self) -> Result<Reading> {
        let pid = self.child.id().context("the process has ended")?;
        let admin = self.admin.context("the process has an admin page")?;
        Reading::take(pid, admin).await
    }
}

/// Measures processes over a window of time.
///
/// # Errors
///
/// Returns an error when one of the processes has ended.
pub async fn measure_rates(processes: &[&Process], window: Duration) -> Result<Vec<Rates>> {
    let sleep = async {
        tokio::time::sleep(window).await;
        Ok(())
    };
    Ok(measure_rates_during(processes, sleep).await?.0)
}

/// Measures processes while a future runs; returns the rates, the result of the future, and the time in seconds.
///
/// # Errors
///
/// Returns an error when one of the processes has ended or the future fails.
pub async fn measure_rates_during<T>(
    processes: &[&Process],
    measured_work: impl Future<Output = Result<T>>,
) -> Result<(Vec<Rates>, T, f64)> {
    let started_at = Instant::now();
    let mut before = Vec::new();
    for process in processes {
        before.push((process.read().await?, Instant::now()));
    }
    let outcome = measured_work.await?;
    let mut rates = Vec::new();
    for (process, (before, at)) in processes.iter().zip(&before) {
        let after = process.read().await?;
        rates.push(Rates::between(before, &after, at.elapsed()));
    }
    Ok((rates, outcome, started_at.elapsed().as_secs_f64()))
}

/// The files and addresses of one fleet.
#[derive(Debug)]
pub struct Fleet {
    folder: TempDir,
    binary: PathBuf,
    host: Ipv4Addr,
    control: Vec<SocketAddr>,
    client: Client,
}

impl Fleet {
    /// Prepares the files and addresses of a fleet with a number of control instances.
    ///
    /// # Errors
    ///
    /// Returns an error when the binary is not built or files can't be written.
    pub fn prepare(control_instances: usize) -> Result<Self> {
        let mut fleet = Self {
            folder: tempfile::tempdir()?,
            binary: binary()?,
            host: unused_loopback_host(),
            control: Vec::new(),
            client: Client::new(ClusterKey::derive(OPERATOR_SECRET.as_bytes())),
        };
        fleet.write_secret("cluster.key", CLUSTER_SECRET)?;
        let operators = format!("measurement = \"{OPERATOR_SECRET}\"\n");
        fleet.write_secret("operators.toml", &operators)?;
        for _ in 0..control_instances {
            fleet.control.push(fleet.free_address()?);
        }
        Ok(fleet)
    }

    /// Returns the key with which processes of this fleet authenticate, with traffic counters of its own.
    #[must_use]
    pub fn cluster_key(&self) -> ClusterKey {
        ClusterKey::derive(CLUSTER_SECRET.as_bytes())
    }

    /// Returns the addresses of the control instances.
    #[must_use]
    pub fn control_addresses(&self) -> &[SocketAddr] {
        &self.control
    }

    /// Starts every control instance.
    ///
    /// # Errors
    ///
    /// Returns an error when a process does not start.
    pub async fn start_control(&self) -> Result<Vec<Process>> {
        let mut started = Vec::new();
        for (idx, address) in self.control.iter().enumerate() {
            let mut settings = format!(
                "peer_listen = \"{address}\"\ndata_folder = \"{}\"\n[control]\nbootstrap = true\noperator_keys_file = \"{}\"\n",
                self.path(&format!("data-{idx}")).display(),
                self.path("operators.toml").display()
            );
            for (peer, address) in self.control.iter().enumerate() {
                let _always_ok = write!(
                    settings,
                    "[[control.peers]]\ninstance = \"control-{peer}\"\naddress = \"{address}\"\n"
                );
            }
            started.push(
                self.start("control", &format!("control-{idx}"), &settings)
                    .await?,
            );
        }
        Ok(started)
    }

    /// Starts a relay that connects to control, and returns its address.
    ///
    /// # Errors
    ///
    /// Returns an error when the process does not start.
    pub async fn start_relay(&self, name: &str) -> Result<(Process, SocketAddr)> {
        let listen = self.free_address()?;
        let settings = format!(
            "peer_listen = \"{listen}\"\n{}",
            control_addresses_setting(&self.control)
        );
        Ok((self.start("relay", name, &settings).await?, listen))
    }

    /// Starts a sidecar that connects to the given control instances or relays.
    ///
    /// # Errors
    ///
    /// Returns an error when the process does not start.
    pub async fn start_sidecar(
        &self,
        name: &str,
        pool: &str,
        slots: u32,
        endpoint: SocketAddr,
        upstream: &[SocketAddr],
    ) -> Result<Process> {
        let settings = format!(
            "{}[sidecar]\nendpoint_address = \"{endpoint}\"\npool = \"{pool}\"\nslots = {slots}\n",
            control_addresses_setting(upstream)
        );
        self.start("sidecar", name, &settings).await
    }

    /// Starts an entry that connects to the given control instances or relays, and returns its address for callers.
    ///
    /// # Errors
    ///
    /// Returns an error when the process does not start.
    pub async fn start_entry(
        &self,
        name: &str,
        upstream: &[SocketAddr],
    ) -> Result<(Process, SocketAddr)> {
        let listen = self.free_address()?;
        let settings = format!(
            "{}[entry]\ncallers_listen = \"{listen}\"\nmax_waiting_requests = 20000\n",
            control_addresses_setting(upstream)
        );
        let process = self.start("entry", name, &settings).await?;
        Ok((process, listen))
    }

    /// Starts a stand-in for an endpoint, and returns its address.
    ///
    /// # Errors
    ///
    /// Returns an error when the process does not start.
    pub async fn start_stand_in(
        &self,
        name: &str,
        slots: u32,
        tokens_per_second: u32,
    ) -> Result<(Process, SocketAddr)> {
        let listen = self.free_address()?;
        let settings = format!(
            "[stand_in]\nlisten = \"{listen}\"\nslots = {slots}\nkv_tokens = 100000000\ntokens_per_second = {tokens_per_second}\n"
        );
        let process = self.start("stand-in", name, &settings).await?;
        Ok((process, listen))
    }

    /// Proposes a change until a control instance accepts it, and returns the resulting version.
    ///
    /// # Errors
    ///
    /// Returns an error when the change is refused or not answered in time.
    pub async fn apply(&self, base_version: u64, put: Vec<ConfigFile>) -> Result<u64> {
        let change = Apply {
            change_id: format!("change-{base_version}").into(),
            operator: "measurement".into(),
            base_version,
            note: "measurement".into(),
            put,
            removed: Vec::new(),
        };
        let started_at = Instant::now();
        for address in self.control.iter().cycle() {
            let address = address.to_string();
            let call = self
                .client
                .call(&address, "/v1/operator/apply", &change, STEP_TIMEOUT);
            match call.await {
                Ok(ApplyReply::Accepted(accepted)) => return Ok(accepted.version),
                Ok(ApplyReply::Unavailable(_)) | Err(_) if started_at.elapsed() < STEP_TIMEOUT => {
                    tokio::time::sleep(RETRY_DELAY).await;
                }
                other => bail!("the change was not taken: {other:?}"),
            }
        }
        bail!("the fleet has no control instance")
    }

    async fn start(&self, role: &str, name: &str, settings: &str) -> Result<Process> {
        let file = self.path(&format!("{name}.toml"));
        let head = format!(
            "instance = \"{name}\"\ndata_center = \"hall-a\"\ncluster_id = \"measurement\"\nadmin_listen = \"{}:0\"\ncluster_key_file = \"{}\"\n",
            self.host,
            self.path("cluster.key").display()
        );
        fs::write(&file, format!("{head}{settings}"))?;
        let mut child = Command::new(&self.binary)
            .arg(role)
            .arg("--settings")
            .arg(&file)
            .stderr(Stdio::piped())
            .stdin(Stdio::null())
            .kill_on_drop(true)
            .spawn()
            .context("starting the binary")?;
        let stderr = child.stderr.take().context("stderr is piped")?;
        let (sender, log) = watch::channel(String::new());
        let mut lines = BufReader::new(stderr).lines();
        tokio::spawn(async move {
            while let Ok(Some(line)) = lines.next_line().await {
                sender.send_modify(|log| {
                    log.push_str(&line);
                    log.push('\n');
                });
            }
        });
        let mut process = Process {
            name: format!("{role} {name}").into(),
            child,
            log,
            admin: None,
        };
        if role == "stand-in" {
            process.address_after("address=").await?;
        } else {
            process.admin = Some(process.address_after("[admin] Listening. address=").await?);
        }
        Ok(process)
    }

    fn write_secret(&self, name: &str, text: &str) -> Result<()> {
        let path = self.path(name);
        fs::write(&path, text)?;
        fs::set_permissions(&path, fs::Permissions::from_mode(0o600))?;
        Ok(())
    }

    fn path(&self, name: &str) -> PathBuf {
        self.folder.path().join(name)
    }

    fn free_address(&self) -> Result<SocketAddr> {
        Ok(TcpListener::bind((self.host, 0))?.local_addr()?)
    }
}

fn control_addresses_setting(upstream: &[SocketAddr]) -> String {
    let quoted: Vec<String> = upstream
        .iter()
        .map(|address| format!("\"{address}\""))
        .collect();
    format!("control_addresses = [{}]\n", quoted.join(", "))
}

fn binary() -> Result<PathBuf> {
    if let Some(path) = std::env::var_os(BINARY_ENV) {
        return Ok(path.into());
    }
    let target =
        PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../target/release/sequoiahinge");
    if !target.exists() {
        bail!("build the daemon first: cargo build --release -p sequoiahinge");
    }
    Ok(target)
}

/// Returns a loopback host that only this fleet uses, so that a free port is not taken by another.
fn unused_loopback_host() -> Ipv4Addr {
    static FLEETS: AtomicU32 = AtomicU32::new(0);
    let fleet = FLEETS.fetch_add(1, Ordering::Relaxed);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let fleet = u8::try_from(fleet % 250).unwrap_or_default();
    Ipv4Addr::new(127, high.max(1), low, fleet + 2)
}
