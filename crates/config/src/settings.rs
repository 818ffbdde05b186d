//! Loads and checks the settings of a process.

use std::fmt::{self, Display};
use std::fs::File;
use std::io::Read;
use std::path::Path;
use std::sync::LazyLock;

use hinge_schema::messages::Role;
pub use hinge_schema::settings::{
    ControlPeer, ControlSettings, EndpointKind, EntrySettings, LogLevel, RelaySettings, Settings,
    SidecarSettings, StandInSettings,
};

use crate::ConfigProblem;
use crate::check::{Report, Schema};
use crate::secret::Secret;
use crate::tree::{self, Node, Position};

/// Size of the largest settings file; one with every key set has under 8 KiB.
const MAX_SETTINGS_BYTES: u64 = 1024 * 1024;

/// File name in the problems of a text that was not read from a file.
const UNNAMED_FILE: &str = "settings";

static SCHEMA: LazyLock<Schema> =
    LazyLock::new(|| Schema::read(hinge_schema::settings::SCHEMA, "Settings"));

/// The problems of invalid settings.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SettingsError {
    /// Every problem, in the order of lines.
    pub problems: Vec<ConfigProblem>,
}

impl Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<_> = self.problems.iter().map(crate::describe).collect();
        f.write_str(&lines.join("\n"))
    }
}

impl std::error::Error for SettingsError {}

/// Reads and checks a settings file, and checks the key files that it names.
///
/// # Errors
///
/// Returns every problem that was found.
pub fn load(path: &Path) -> Result<Settings, SettingsError> {
    let name = path.display().to_string();
    let text = read(path, &name)?;
    let (settings, tree) = parse_and_check(&name, &text)?;
    let mut report = Report::new(vec![&name]);
    let keys = [
        ("cluster_key_file", settings.cluster_key_file.as_deref()),
        (
            "control.operator_keys_file",
            settings.control.operator_keys_file.as_deref(),
        ),
    ];
    for (key, path) in keys {
        if let Some(Err(error)) = path.map(Secret::read) {
            report.add(tree.nearest(key).position, key, error.to_string());
        }
    }
    finish_report(&mut report, settings)
}

/// Reads and checks a settings file like [`load`], and checks that it has every key that a role needs.
///
/// # Errors
///
/// Returns every problem that was found.
pub fn load_for_role(path: &Path, role: Role) -> Result<Settings, SettingsError> {
    let settings = load(path)?;
    let problems = missing_keys(&path.display().to_string(), &settings, role);
    if problems.is_empty() {
        return Ok(settings);
    }
    Err(SettingsError { problems })
}

/// Returns a problem for each key that a role needs but the settings lack.
#[must_use]
pub fn missing_keys(file: &str, settings: &Settings, role: Role) -> Vec<ConfigProblem> {
    let control = &settings.control;
    let needs: &[(&str, bool)] = match role {
        Role::Entry | Role::Relay => &[],
        Role::Sidecar => &[("sidecar", settings.sidecar.is_some())],
        Role::Control => &[
            (
                "data_folder",
                settings.data_folder.is_some() || control.diskless,
            ),
            (
                "control.peers",
                !(control.peers.is_empty() && control.founders.is_empty()),
            ),
            (
                "control.operator_keys_file",
                control.operator_keys_file.is_some(),
            ),
        ],
    };
    // A control instance finds the others by its list of peers or founders.
    let finds_control = role == Role::Control || !settings.control_addresses.is_empty();
    let shared = [
        (
            "cluster_key_file",
            settings.cluster_key_file.is_some() || settings.cluster_key.is_some(),
        ),
        ("control_addresses", finds_control),
    ];
    let all = shared.iter().chain(needs);
    let missing = all.filter(|(_, is_present)| !is_present);
    missing
        .map(|(key, _)| ConfigProblem {
            file: file.into(),
            key: (*key).into(),
            line: 0,
            message: format!("this key is missing; the role {role} needs it").into(),
        })
        .collect()
}

/// Checks the text of a settings file, but not the files that it names.
///
/// # Errors
///
/// Returns every problem that was found.
pub fn check(text: &str) -> Result<Settings, SettingsError> {
    parse_and_check(UNNAMED_FILE, text).map(|(settings, _)| settings)
}

fn read(path: &Path, name: &str) -> Result<String, SettingsError> {
    let mut text = String::new();
    let outcome = File::open(path)
        .and_then(|file| file.take(MAX_SETTINGS_BYTES + 1).read_to_string(&mut text));
    let message = match outcome {
        Err(error) => format!("the settings can't be read: {error}"),
        Ok(_) if text.len() as u64 > MAX_SETTINGS_BYTES => {
            format!("the settings are too long; allowed are {MAX_SETTINGS_BYTES} bytes")
        }
        Ok(_) => return Ok(text),
    };
    let mut report = Report::new(vec![name]);
    report.add(Position { file: 0, line: 0 }, "", message);
    finish_report(&mut report, text)
}

fn parse_and_check(name: &str, text: &str) -> Result<(Settings, Node), SettingsError> {
    let mut report = Report::new(vec![name]);
    let mut node = match tree::parse(0, text) {
        Ok(node) => node,
        Err(error) => {
            let position = Position {
                file: 0,
                line: error.line,
            };
            report.add(position, "", error.message);
            return Err(finish_report(&mut report, ()).expect_err("a problem was just added"));
        }
    };
    SCHEMA.check(&mut node, &mut report);
    finish_report(&mut report, ())?;
    let value = SCHEMA.complete(&node, &mut report);
    finish_report(&mut report, ())?;
    let settings: Settings = match serde_json::from_value(value) {
        Ok(settings) => settings,
        Err(error) => {
            report.add(node.position, "", error.to_string());
            return Err(finish_report(&mut report, ()).expect_err("a problem was just added"));
        }
    };
    check_key_combinations(&settings, &node, &mut report);
    finish_report(&mut report, (settings, node))
}

fn finish_report<T>(report: &mut Report<'_>, value: T) -> Result<T, SettingsError> {
    report
        .finish(value)
        .map_err(|problems| SettingsError { problems })
}

// Checks constraints between several keys.
fn check_key_combinations(settings: &Settings, node: &Node, report: &mut Report<'_>) {
    let mut reject = |key: &str, message: String| {
        report.add(node.nearest(key).position, key, message);
    };
    if settings.peer_listen.ip().is_unspecified() && settings.peer_advertise.is_none() {
        let message = "this address is a wildcard, which no other process can reach; add it, or bind one address";
        reject("peer_advertise", message.to_owned());
    }
    let entry = &settings.entry;
    if entry.max_waiting_bytes < entry.max_body_bytes {
        let least = entry.max_body_bytes;
        reject(
            "entry.max_waiting_bytes",
            format!(
                "a single body may be longer than this; allowed are {least} (entry.max_body_bytes) or more"
            ),
        );
    }
    let control = &settings.control;
    if control.heartbeat_ms * 2 > control.election_timeout_ms {
        let most = control.election_timeout_ms / 2;
        reject(
            "control.heartbeat_ms",
            format!(
                "one lost heartbeat would start an election; allowed are up to {most}, half of control.election_timeout_ms"
            ),
        );
    }
    if control.diskless && settings.data_folder.is_some() {
        let message = "an instance with a data folder has a disk; allowed is one of the two";
        reject("control.diskless", message.to_owned());
    }
    let mut names: Vec<_> = control.peers.iter().map(|peer| &peer.instance).collect();
    names.sort_unstable();
    if names.windows(2).any(|pair| pair[0] == pair[1]) {
        reject(
            "control.peers",
            "an instance is listed twice; allowed is once".to_owned(),
        );
    }
    let is_peer = names.contains(&&settings.instance);
    if control.bootstrap && control.founders.is_empty() && !is_peer {
        let message = "a first start needs the list of control instances, with this instance in it";
        reject("control.peers", message.to_owned());
    }
}
