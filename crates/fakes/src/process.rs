//! Starts, observes and kills a process of the daemon, by its process id.

use std::net::SocketAddr;
use std::os::unix::process::ExitStatusExt as _;
use std::path::{Path, PathBuf};
use std::process::{ExitStatus, Stdio};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::Uri;
use http_body_util::{BodyExt, Empty};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, Command};
use tokio::sync::watch;

/// Time that a test waits for one step; far longer than any step takes, so reaching it fails the test.
pub const STEP_TIMEOUT: Duration = Duration::from_mins(1);

/// Time between two checks of a condition.
pub const POLL: Duration = Duration::from_millis(20);

const SIGHUP: i32 = 1;
const SIGTERM: i32 = 15;
const SIGCONT: i32 = 18;
const SIGSTOP: i32 = 19;

/// Returns the path of the daemon's binary, relative to the binary of the test that runs.
///
/// # Panics
///
/// Panics when the daemon is not built.
#[must_use]
pub fn daemon_binary() -> PathBuf {
    let own = std::env::current_exe().expect("a process has a file");
    let folder = own
        .parent()
        .and_then(Path::parent)
        .expect("tests lie in a subfolder of the build folder");
    let binary = folder.join("sequoiahinge");
    assert!(
        binary.exists(),
        "build the daemon first: cargo build --package sequoiahinge"
    );
    binary
}

/// Text with which the Rust runtime reports a panic.
const PANICKED: &str = "panicked at";

/// The panics that processes reported on standard error; clones share one list.
#[derive(Debug, Clone, Default)]
pub struct Panics {
    lines: Arc<Mutex<Vec<String>>>,
}

impl Panics {
    /// Returns the reports in the order in which they were read, each after its process's role.
    #[must_use]
    pub fn lines(&self) -> Vec<String> {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, Vec<String>> {
        self.lines.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// How a process ended.
#[derive(Debug, Clone, Copy)]
pub struct End {
    /// Status with which it ended.
    pub status: ExitStatus,
    /// Whether a signal of this module's ended it before any code of its program ran.
    pub is_before_main: bool,
}

/// What a process is started with.
#[derive(Debug, Clone)]
struct Launch {
    binary: PathBuf,
    role: String,
    settings: PathBuf,
    panics: Panics,
    /// Variables added to its environment.
    variables: Vec<(&'static str, PathBuf)>,
}

/// A running process and what it has logged.
#[derive(Debug)]
pub struct Process {
    launch: Launch,
    child: Child,
    log: watch::Receiver<String>,
    /// Numbers of the signals sent to it.
    sent: Mutex<Vec<i32>>,
}

impl Process {
    /// Starts the daemon's binary with a role and a settings file.
    ///
    /// # Panics
    ///
    /// Panics when the binary does not start.
    #[must_use]
    pub fn spawn(binary: &Path, role: &str, settings: PathBuf) -> Self {
        Self::spawn_recording_panics(binary, role, settings, Panics::default())
    }

    /// Does the same as [`Self::spawn`], and adds panics of the process and of its restarts to a list.
    ///
    /// # Panics
    ///
    /// Panics when the binary does not start.
    #[must_use]
    pub fn spawn_recording_panics(
        binary: &Path,
        role: &str,
        settings: PathBuf,
        panics: Panics,
    ) -> Self {
        Self::spawn_with_variables(binary, role, settings, panics, Vec::new())
    }

    /// Does the same as [`Self::spawn_recording_panics`], and adds variables to the environment of the process.
    ///
    /// # Panics
    ///
    /// Panics when the binary does not start.
    #[must_use]
    pub fn spawn_with_variables(
        binary: &Path,
        role: &str,
        settings: PathBuf,
        panics: Panics,
        variables: Vec<(&'static str, PathBuf)>,
    ) -> Self {
        Self::launch(Launch {
            binary: binary.into(),
            role: role.to_owned(),
            settings,
            panics,
            variables,
        })
    }

    fn launch(launch: Launch) -> Self {
        let variables = launch.variables.iter();
        let mut child = Command::new(&launch.binary)
            .envs(variables.map(|(name, value)| (name, value)))
            .arg(&launch.role)
            .arg("--settings")
            .arg(&launch.settings)
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .stdin(Stdio::null())
            .kill_on_drop(true)
            .spawn()
            .expect("the binary starts");
        let (log_sender, log) = watch::channel(String::new());
        let mut lines = BufReader::new(child.stdout.take().expect("stdout is piped")).lines();
        tokio::spawn(async move {
            while let Ok(Some(line)) = lines.next_line().await {
                log_sender.send_modify(|log| {
                    log.push_str(&line);
                    log.push('\n');
                });
            }
        });
        let mut errors = BufReader::new(child.stderr.take().expect("stderr is piped")).lines();
        let recorded = launch.panics.clone();
        let name = launch.role.clone();
        tokio::spawn(async move {
            while let Ok(Some(line)) = errors.next_line().await {
                eprintln!("{name}: {line}");
                if line.contains(PANICKED) {
                    recorded.lock().push(format!("{name}: {line}"));
                }
            }
        });
        Self {
            launch,
            child,
            log,
            sent: Mutex::default(),
        }
    }

    /// Returns the process id.
    ///
    /// # Panics
    ///
    /// Panics when the process has ended and was reaped.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id().expect("the process runs")
    }

    /// Starts the process again, with the same settings and an empty log.
    pub fn restart(&mut self) {
        *self = Self::launch(self.launch.clone());
    }

    /// Kills the process and starts it again.
    ///
    /// # Panics
    ///
    /// Panics when the process can't be killed.
    pub async fn kill_and_restart(&mut self) {
        self.kill().await;
        self.restart();
    }

    /// Waits until the process logs that this version of the configuration is in force.
    ///
    /// # Panics
    ///
    /// Panics when the version does not come into force in time.
    pub async fn wait_until_in_force(&mut self, version: u64) {
        self.wait_for_log(&format!("Configuration is in force. version={version}\n"))
            .await;
    }

    /// Returns the versions of the configuration that came into force since the process started, in order.
    ///
    /// # Panics
    ///
    /// Panics when a log line names no version.
    pub fn applied_versions(&self) -> Vec<u64> {
        let log = self.log.borrow();
        let records = log.split("Configuration is in force. version=").skip(1);
        let versions = records.map(|rest| rest.lines().next().and_then(|text| text.parse().ok()));
        versions
            .collect::<Option<_>>()
            .expect("a log line names its version")
    }

    /// Waits until a metric, named with its labels, has a value that meets a condition.
    ///
    /// # Panics
    ///
    /// Panics when the metric does not meet the condition in time.
    pub async fn wait_for_metric(&mut self, name: &str, fits: impl Fn(u64) -> bool) {
        let admin = self.address_after("[admin] Listening. address=").await;
        let http = Client::builder(TokioExecutor::new()).build_http::<Empty<Bytes>>();
        let page: Uri = format!("http://{admin}/metrics")
            .parse()
            .expect("an address makes a URI");
        let mut last = String::new();
        let condition_met = async {
            loop {
                let response = http
                    .get(page.clone())
                    .await
                    .expect("the metrics page is served");
                let body = response.into_body().collect().await;
                let body = body.expect("the metrics page is complete").to_bytes();
                last = String::from_utf8_lossy(&body).into_owned();
                let value = last.lines().find_map(|line| line.strip_prefix(name));
                let value = value.and_then(|value| value.trim().parse().ok());
                if value.is_some_and(&fits) {
                    return;
                }
                tokio::time::sleep(POLL).await;
            }
        };
        let is_met = tokio::time::timeout(STEP_TIMEOUT, condition_met)
            .await
            .is_ok();
        assert!(
            is_met,
            "the metric `{name}` did not meet the condition in time; the page is:\n{last}"
        );
    }

    /// Waits until the log contains a text.
    ///
    /// # Panics
    ///
    /// Panics when the text is not logged in time.
    pub async fn wait_for_log(&mut self, text: &str) {
        let mut log = self.log.clone();
        let recorded = tokio::time::timeout(STEP_TIMEOUT, log.wait_for(|log| log.contains(text)));
        let is_found = matches!(recorded.await, Ok(Ok(_)));
        assert!(
            is_found,
            "`{text}` was never logged; the log is:\n{}",
            *self.log.borrow()
        );
    }

    /// Returns whether the log contains a text by now.
    #[must_use]
    pub fn has_logged(&self, text: &str) -> bool {
        self.log.borrow().contains(text)
    }

    /// Returns what the process has logged so far, after a line with its role and its settings file.
    #[must_use]
    pub fn log(&self) -> String {
        format!(
            "{} {}\n{}",
            self.launch.role,
            self.launch.settings.display(),
            *self.log.borrow()
        )
    }

    /// Returns the address that follows a text in the log.
    ///
    /// # Panics
    ///
    /// Panics when no address follows.
    pub async fn address_after(&mut self, text: &str) -> SocketAddr {
        self.wait_for_log(text).await;
        let log = self.log.borrow();
        let rest = log.split(text).nth(1).expect("the text was just recorded");
        let address = rest.split_whitespace().next().expect("an address follows");
        address.parse().expect("an address follows")
    }

    /// Asks the process to shut down gracefully, with SIGTERM.
    ///
    /// # Panics
    ///
    /// Panics when the process has ended.
    pub fn terminate(&self) {
        self.signal(SIGTERM);
    }

    /// Asks the process to reload its settings, with SIGHUP.
    ///
    /// # Panics
    ///
    /// Panics when the process has ended.
    pub fn hang_up(&self) {
        self.signal(SIGHUP);
    }

    /// Stops the process with SIGSTOP, which it can't notice, to test an instance that hangs.
    ///
    /// # Panics
    ///
    /// Panics when the process has ended.
    pub fn freeze(&self) {
        self.signal(SIGSTOP);
    }

    /// Lets a stopped process go on, with SIGCONT.
    ///
    /// # Panics
    ///
    /// Panics when the process has ended.
    pub fn thaw(&self) {
        self.signal(SIGCONT);
    }

    /// Kills the process at once, with SIGKILL.
    ///
    /// # Panics
    ///
    /// Panics when the process can't be killed.
    pub async fn kill(&mut self) {
        self.child.kill().await.expect("the process can be killed");
    }

    /// Waits until the process exits by itself.
    ///
    /// # Panics
    ///
    /// Panics when it does not exit in time.
    pub async fn wait_for_exit(&mut self) -> ExitStatus {
        let ended = tokio::time::timeout(STEP_TIMEOUT, self.child.wait()).await;
        ended
            .expect("the process ends in time")
            .expect("its status can be read")
    }

    /// Returns how the process ended, the first time that it is called after the end.
    ///
    /// No signal can be sent to the process after that.
    ///
    /// # Panics
    ///
    /// Panics when its state can't be read, or its output stays open.
    pub async fn end(&mut self) -> Option<End> {
        let pid = self.child.id()?;
        // Read before the process is reaped, since its state is gone then.
        let state = std::fs::read_to_string(format!("/proc/{pid}/status"));
        let state = state.expect("the state of a process that was not reaped can be read");
        if field(&state, "State:").is_none_or(|state| !state.starts_with('Z')) {
            return None;
        }
        let status = self.child.try_wait().expect("its status can be read")?;
        let drained = async { while self.log.changed().await.is_ok() {} };
        tokio::time::timeout(STEP_TIMEOUT, drained)
            .await
            .expect("its output is read to the end");
        let sent = self.sent.lock().unwrap_or_else(PoisonError::into_inner);
        let is_by_own_signal = status.signal().is_some_and(|number| sent.contains(&number));
        // A process that writes its log in the background may lose lines; but the Rust runtime installs handlers before `main`.
        let has_handlers = field(&state, "SigCgt:")
            .is_none_or(|caught| !caught.bytes().all(|digit| digit == b'0'));
        let has_logged = !self.log.borrow().is_empty();
        Some(End {
            status,
            is_before_main: is_by_own_signal && !has_handlers && !has_logged,
        })
    }

    /// Waits until the process exits by itself, and returns how it ended.
    ///
    /// # Panics
    ///
    /// Panics when it does not exit in time.
    pub async fn wait_for_end(&mut self) -> End {
        let ended = async {
            loop {
                if let Some(end) = self.end().await {
                    return end;
                }
                tokio::time::sleep(POLL).await;
            }
        };
        tokio::time::timeout(STEP_TIMEOUT, ended)
            .await
            .expect("the process ends in time")
    }

    fn signal(&self, number: i32) {
        let mut sent = self.sent.lock().unwrap_or_else(PoisonError::into_inner);
        sent.push(number);
        drop(sent);
        let pid = self.child.id().expect("the process runs").to_string();
        let sent = std::process::Command::new("kill")
            .args([&format!("-{number}"), &pid])
            .status();
        assert!(sent.expect("kill runs").success());
    }
}

/// Returns the value of a field of a process's state, as the system shows it.
fn field<'a>(state: &'a str, name: &str) -> Option<&'a str> {
    let value = state.lines().find_map(|line| line.strip_prefix(name));
    value.map(str::trim)
}
