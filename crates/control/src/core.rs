//! The state that the calls of a control instance share.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use hinge_clock::BootInstant;
use hinge_schema::messages::{JoinControl, JoinedControl, Unavailable};
use hinge_state::{Command, Reply};
use http::StatusCode;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::sync::watch;
use tokio::time::timeout;

use crate::driver::{Driver, LogError};
use crate::peer_client::{Dial, PeerClient};
use crate::settings::ControlSettings;
use crate::soft_state::SoftState;
use crate::upgrade::Planner;

/// Timeout of a call forwarded to the leader; longer than the commit timeout there.
const FORWARD_TIMEOUT: Duration = Duration::from_secs(6);

/// Timeout of a commit or a read; it outlasts an election, and callers retry after it.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(5);

/// Time after which a caller without an answer should retry; an election takes a second or two.
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// Path prefix of forwarded calls, which are not forwarded again.
pub(crate) const FORWARDED_PREFIX: &str = "/v1/forwarded";

/// Where the leader is, as far as this instance knows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Leadership {
    /// This instance leads in this term and holds the lease, so no other can be the leader.
    Local(u64),
    /// Another instance, at this address, is the last known leader.
    Remote(Box<str>),
    /// No leader is known, this instance can't be sure that it still leads, or the log has stalled.
    Unknown,
}

/// Returns this instance's wall-clock time, in milliseconds since the Unix epoch.
pub(crate) fn unix_now_ms() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

/// The shared state of one control instance.
#[derive(Debug)]
pub(crate) struct Core {
    pub(crate) settings: ControlSettings,
    pub(crate) address: Box<str>,
    pub(crate) client: PeerClient,
    pub(crate) dial: Arc<dyn Dial>,
    pub(crate) driver: Driver,
    pub(crate) published: watch::Sender<u64>,
    pub(crate) planner: Planner,
    soft: Mutex<SoftState>,
    started_at: BootInstant,
}

impl Core {
    pub(crate) fn new(
        settings: ControlSettings,
        address: Box<str>,
        client: PeerClient,
        dial: Arc<dyn Dial>,
        driver: Driver,
        published: watch::Sender<u64>,
    ) -> Self {
        Self {
            settings,
            address,
            client,
            dial,
            driver,
            published,
            planner: Planner::default(),
            soft: Mutex::new(SoftState::new()),
            started_at: BootInstant::now(),
        }
    }

    pub(crate) fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    pub(crate) fn soft(&self) -> MutexGuard<'_, SoftState> {
        self.soft.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Wakes pending watches.
    pub(crate) fn publish(&self) {
        self.published.send_modify(|count| *count += 1);
    }

    pub(crate) fn leadership(&self) -> Leadership {
        if self.driver.is_stalled() {
            return Leadership::Unknown;
        }
        let node_status = self.driver.node_status.borrow();
        if node_status.is_leader {
            return if node_status.may_answer && self.driver.holds_lease() {
                Leadership::Local(node_status.term)
            } else {
                Leadership::Unknown
            };
        }
        match &node_status.leader {
            Some(leader) => Leadership::Remote(leader.address.clone()),
            None => Leadership::Unknown,
        }
    }

    /// Forwards a call to the leader.
    pub(crate) async fn forward<Q, A>(
        &self,
        client: &PeerClient,
        address: &str,
        path: &str,
        message: &Q,
    ) -> Result<A, StatusCode>
    where
        Q: Serialize,
        A: DeserializeOwned,
    {
        let path = format!("{FORWARDED_PREFIX}{path}");
        let answer = client.call(address, &path, message, FORWARD_TIMEOUT).await;
        answer.map_err(|_no_answer| StatusCode::SERVICE_UNAVAILABLE)
    }

    pub(crate) async fn propose(&self, command: Command) -> Result<Reply, LogError> {
        timeout(COMMIT_TIMEOUT, self.driver.propose(command))
            .await
            .map_err(|_elapsed| LogError::OutcomeUnknown)?
    }

    pub(crate) async fn read<T: Send + 'static>(
        &self,
        query: impl FnOnce(&hinge_state::State, &hinge_raft::Status) -> T + Send + 'static,
    ) -> Result<T, LogError> {
        timeout(COMMIT_TIMEOUT, self.driver.read(query))
            .await
            .map_err(|_elapsed| LogError::NotLeader)?
    }

    pub(crate) async fn join(&self, join: JoinControl) -> Result<JoinedControl, LogError> {
        timeout(COMMIT_TIMEOUT, self.driver.join(join))
            .await
            .map_err(|_elapsed| LogError::OutcomeUnknown)?
    }

    /// Returns the reply to an operator when the current state can't be determined.
    pub(crate) fn unavailable(&self, detail: &str) -> Unavailable {
        let node_status = self.driver.node_status.borrow();
        let leader = node_status
            .leader
            .as_ref()
            .filter(|_| !node_status.is_leader);
        Unavailable {
            leader: leader
                .map(|leader| leader.instance.clone())
                .unwrap_or_default(),
            retry_after_ms: u64::try_from(RETRY_AFTER.as_millis()).unwrap_or(u64::MAX),
            detail: detail.into(),
        }
    }
}
