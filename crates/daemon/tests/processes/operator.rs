//! A client of the operators' API.

use std::net::SocketAddr;
use std::time::Duration;

use hinge_link::{CallError, Client, ClusterKey};
use hinge_schema::messages::{
    Apply, ApplyReply, AskFolder, AskStatus, ConfigFile, FolderReply, Status, StatusReply,
};

use crate::process::{POLL, STEP_TIMEOUT};

/// Timeout of one call, since a frozen instance never answers.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// A client that calls control with an operator's key.
#[derive(Debug)]
pub(crate) struct Operator {
    name: &'static str,
    client: Client,
    control: Vec<String>,
}

impl Operator {
    pub(crate) fn new(name: &'static str, secret: &str, control: &[SocketAddr]) -> Self {
        Self {
            name,
            client: Client::new(ClusterKey::derive(secret.as_bytes())),
            control: control.iter().map(ToString::to_string).collect(),
        }
    }

    /// Proposes a change until some control instance answers, and returns the version that it made.
    pub(crate) async fn apply(
        &self,
        change_id: &str,
        base_version: u64,
        put: Vec<ConfigFile>,
    ) -> u64 {
        match self.propose(change_id, base_version, put).await {
            ApplyReply::Accepted(accepted) => accepted.version,
            other => panic!("the change was not accepted: {other:?}"),
        }
    }

    /// Proposes a change until some control instance answers it.
    pub(crate) async fn propose(
        &self,
        change_id: &str,
        base_version: u64,
        put: Vec<ConfigFile>,
    ) -> ApplyReply {
        let proposing = async {
            for idx in (0..self.control.len()).cycle() {
                match self
                    .propose_at(idx, change_id, base_version, put.clone())
                    .await
                {
                    Ok(ApplyReply::Unavailable(_)) | Err(_) => tokio::time::sleep(POLL).await,
                    Ok(reply) => return reply,
                }
            }
            unreachable!("the list of control instances is not empty")
        };
        tokio::time::timeout(STEP_TIMEOUT, proposing)
            .await
            .expect("control answers in time")
    }

    /// Proposes a change to one control instance, once.
    pub(crate) async fn propose_at(
        &self,
        idx: usize,
        change_id: &str,
        base_version: u64,
        put: Vec<ConfigFile>,
    ) -> Result<ApplyReply, CallError> {
        let change = Apply {
            change_id: change_id.into(),
            operator: self.name.into(),
            base_version,
            note: String::new().into(),
            put,
            removed: Vec::new(),
        };
        self.client
            .call(
                &self.control[idx],
                "/v1/operator/apply",
                &change,
                CALL_TIMEOUT,
            )
            .await
    }

    /// Returns the current version according to one control instance, or none when it can't say.
    pub(crate) async fn version_at(&self, idx: usize) -> Option<u64> {
        let ask = AskFolder { config_version: 0 };
        let path = "/v1/operator/folder";
        match self
            .client
            .call(&self.control[idx], path, &ask, CALL_TIMEOUT)
            .await
        {
            Ok(FolderReply::Folder(folder)) => Some(folder.config_version),
            Ok(FolderReply::Unavailable(_)) | Err(_) => None,
        }
    }

    /// Waits until control returns a status for which `is_wanted` holds.
    pub(crate) async fn until_status(&self, is_wanted: impl Fn(&Status) -> bool) -> Status {
        let ask = AskStatus {
            wait_ms: 0,
            wait_version: 0,
        };
        let mut last = None;
        let asking = async {
            for address in self.control.iter().cycle() {
                let path = "/v1/operator/status";
                let reply = self.client.call(address, path, &ask, CALL_TIMEOUT).await;
                if let Ok(StatusReply::Status(status)) = reply {
                    if is_wanted(&status) {
                        return status;
                    }
                    last = Some(status);
                }
                tokio::time::sleep(POLL).await;
            }
            unreachable!("the list of control instances is not empty")
        };
        let status = tokio::time::timeout(STEP_TIMEOUT, asking).await;
        status.unwrap_or_else(|_elapsed| panic!("the status never fitted; the last is {last:?}"))
    }

    /// Returns the index of the control instance that leads.
    pub(crate) async fn leader(&self) -> usize {
        let index_of = |instance: &str| instance.strip_prefix("control-")?.parse().ok();
        let status = self
            .until_status(|status| status.control.iter().any(|one| one.leader))
            .await;
        let leader = status.control.iter().find(|one| one.leader);
        leader
            .and_then(|one| index_of(&one.instance))
            .expect("the leader has a name of the tests")
    }
}

/// Returns a file with one more team, whose key is the text `demo-key-new`.
pub(crate) fn new_team_file() -> Vec<ConfigFile> {
    vec![ConfigFile {
        name: "40-new.toml".into(),
        text: format!("[teams.new]\nshare = 1\nkey_sha256 = [\"{NEW_KEY_SHA256}\"]\n").into(),
    }]
}

/// Returns a small file whose content differs for each number.
pub(crate) fn numbered_file(name: &str, number: u64) -> Vec<ConfigFile> {
    vec![ConfigFile {
        name: format!("{name}.toml").into(),
        text: format!("[teams.small-school]\nmax_waiting = {}\n", number + 1).into(),
    }]
}

/// SHA-256 of `demo-key-new`.
const NEW_KEY_SHA256: &str = "65e18a04bc3a0a8eed69aefc93919557e6d49757499530de5708e266aeb20c22";
