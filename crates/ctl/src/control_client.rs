//! Client that tries the control instances in turn until one gives a current answer.
//!
//! Every call is idempotent: queries change nothing, and changes carry an id that control acts on only once. So after a lost
//! answer the same message is sent to the next instance.

use std::collections::BTreeMap;
use std::error::Error;
use std::time::Duration;

use hinge_link::{CallError, Client, ClusterKey};
use hinge_schema::messages::{
    Accepted, Apply, ApplyReply, AskEvacuations, AskFolder, AskHistory, AskOrders, AskStatus,
    AskSuspects, AskUpgrades, ConfigFile, Conflict, Drain, DrainReply, Drains, Evacuations,
    EvacuationsReply, Folder, FolderReply, History, HistoryReply, Invalid, Orders, OrdersReply,
    PlaceOrder, RemoveControl, RemoveControlReply, RemovedControl, Status, StatusReply,
    SuspectRecords, SuspectsReply, Unavailable, Upgrades, UpgradesReply,
};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::{Instant, sleep, timeout_at};

use crate::failure::Failure;

/// Time limit of a call to one instance; longer than control's own wait for a majority, so that its answer still arrives.
const CALL_TIMEOUT: Duration = Duration::from_secs(6);

/// Delay before the instances are tried again, unless one of them gave a retry time.
const RETRY_WAIT: Duration = Duration::from_millis(200);

/// Longest delay before the instances are tried again; an election is over by then.
const MAX_RETRY_WAIT: Duration = Duration::from_secs(1);

/// A reply from control: a current answer, or the reason why the instance has none.
trait Reply: DeserializeOwned {
    type Answer;

    fn into_answer(self) -> Result<Self::Answer, Unavailable>;
}

macro_rules! reply {
    ($reply:ident, $variant:ident, $answer:ty) => {
        impl Reply for $reply {
            type Answer = $answer;

            fn into_answer(self) -> Result<Self::Answer, Unavailable> {
                match self {
                    Self::$variant(answer) => Ok(answer),
                    Self::Unavailable(unavailable) => Err(unavailable),
                }
            }
        }
    };
}

reply!(StatusReply, Status, Status);
reply!(HistoryReply, History, History);
reply!(FolderReply, Folder, Folder);
reply!(DrainReply, Drains, Drains);
reply!(OrdersReply, Orders, Orders);
reply!(UpgradesReply, Upgrades, Upgrades);
reply!(RemoveControlReply, Removed, RemovedControl);
reply!(SuspectsReply, Suspects, SuspectRecords);
reply!(EvacuationsReply, Evacuations, Evacuations);

/// Control's decision on a change.
#[derive(Debug)]
pub(crate) enum ChangeDecision {
    Accepted(Accepted),
    Conflict(Conflict),
    Invalid(Invalid),
}

impl Reply for ApplyReply {
    type Answer = ChangeDecision;

    fn into_answer(self) -> Result<ChangeDecision, Unavailable> {
        match self {
            Self::Accepted(accepted) => Ok(ChangeDecision::Accepted(accepted)),
            Self::Conflict(conflict) => Ok(ChangeDecision::Conflict(conflict)),
            Self::Invalid(invalid) => Ok(ChangeDecision::Invalid(invalid)),
            Self::Unavailable(unavailable) => Err(unavailable),
        }
    }
}

/// The error when no instance gave a current answer in time.
#[derive(Debug)]
pub(crate) struct NoAnswer {
    /// Whether an instance may have acted on the message.
    pub(crate) may_have_acted: bool,
    /// The last error from each instance, by address.
    reasons: BTreeMap<Box<str>, Box<str>>,
}

impl NoAnswer {
    /// Converts to a failure; `advice` tells the operator what to do next.
    pub(crate) fn into_failure(self, advice: &str) -> Failure {
        let reasons = self.reasons.iter();
        let reasons: Vec<_> = reasons
            .map(|(address, reason)| format!("\n  {address}: {reason}"))
            .collect();
        let reasons = reasons.concat();
        Failure::unavailable(format!(
            "no control instance gave a current answer{reasons}\n{advice}"
        ))
    }
}

/// The configuration folder in force.
#[derive(Debug)]
pub(crate) struct FolderInForce {
    pub(crate) version: u64,
    pub(crate) files: Vec<ConfigFile>,
}

/// Client for the control instances.
#[derive(Debug)]
pub(crate) struct ControlClient {
    addresses: Vec<Box<str>>,
    client: Client,
    timeout: Duration,
}

impl ControlClient {
    pub(crate) fn new(addresses: Vec<Box<str>>, key: ClusterKey, timeout: Duration) -> Self {
        Self {
            addresses,
            client: Client::new(key),
            timeout,
        }
    }

    pub(crate) async fn status(&self, query: &AskStatus) -> Result<Status, Failure> {
        self.query::<_, StatusReply>("status", query).await
    }

    pub(crate) async fn history(&self, query: &AskHistory) -> Result<History, Failure> {
        self.query::<_, HistoryReply>("history", query).await
    }

    pub(crate) async fn orders(&self, query: &AskOrders) -> Result<Orders, Failure> {
        self.query::<_, OrdersReply>("orders", query).await
    }

    pub(crate) async fn upgrades(&self, query: &AskUpgrades) -> Result<Upgrades, Failure> {
        self.query::<_, UpgradesReply>("upgrades", query).await
    }

    /// Returns the whole folder in force.
    pub(crate) async fn folder(&self) -> Result<FolderInForce, Failure> {
        let query = AskFolder { config_version: 0 };
        let folder = self.query::<_, FolderReply>("folder", &query).await?;
        let version = folder.config_version;
        let Some(delta) = folder.delta else {
            return Ok(FolderInForce {
                version,
                files: Vec::new(),
            });
        };
        let mut files = delta.put;
        files.sort_unstable_by(|left, right| left.name.cmp(&right.name));
        if delta.base_version != 0 || hinge_config::folder::digest(&files) != delta.digest {
            return Err(Failure::failed(
                "control's folder does not match its own digest; nothing was changed, ask again",
            ));
        }
        Ok(FolderInForce { version, files })
    }

    pub(crate) async fn apply(&self, change: &Apply) -> Result<ChangeDecision, NoAnswer> {
        self.call::<_, ApplyReply>("apply", change).await
    }

    pub(crate) async fn drain(&self, drain: &Drain) -> Result<Drains, NoAnswer> {
        self.call::<_, DrainReply>("drain", drain).await
    }

    pub(crate) async fn place_order(&self, order: &PlaceOrder) -> Result<Orders, NoAnswer> {
        self.call::<_, OrdersReply>("order", order).await
    }

    pub(crate) async fn remove_control(
        &self,
        remove: &RemoveControl,
    ) -> Result<RemovedControl, NoAnswer> {
        self.call::<_, RemoveControlReply>("remove-control", remove)
            .await
    }

    pub(crate) async fn suspects(&self, query: &AskSuspects) -> Result<SuspectRecords, NoAnswer> {
        self.call::<_, SuspectsReply>("suspects", query).await
    }

    pub(crate) async fn evacuations(&self, ask: &AskEvacuations) -> Result<Evacuations, NoAnswer> {
        self.call::<_, EvacuationsReply>("evacuations", ask).await
    }

    async fn query<Q: Serialize, A: Reply>(
        &self,
        call: &str,
        query: &Q,
    ) -> Result<A::Answer, Failure> {
        self.call::<_, A>(call, query).await.map_err(|no_answer| {
            no_answer.into_failure("check --control, then ask again, or give a longer --timeout")
        })
    }

    async fn call<Q: Serialize, A: Reply>(
        &self,
        call: &str,
        message: &Q,
    ) -> Result<A::Answer, NoAnswer> {
        let deadline = Instant::now() + self.timeout;
        let mut may_have_acted = false;
        let mut reasons = BTreeMap::new();
        loop {
            let mut wait = None;
            for address in &self.addresses {
                let reason = match self
                    .call_one::<Q, A>(address, call, message, deadline)
                    .await
                {
                    Ok(Ok(answer)) => return Ok(answer),
                    Ok(Err(unavailable)) => {
                        may_have_acted = true;
                        wait = wait.max(Some(Duration::from_millis(unavailable.retry_after_ms)));
                        describe_unavailable(&unavailable)
                    }
                    Err(error) => {
                        may_have_acted |= !was_not_executed(&error);
                        // An earlier error from this instance says more than our own timeout.
                        if matches!(error, CallError::TimedOut) && reasons.contains_key(address) {
                            continue;
                        }
                        describe_error(&error)
                    }
                };
                reasons.insert(address.clone(), reason);
            }
            let wait = wait.unwrap_or(RETRY_WAIT).min(MAX_RETRY_WAIT);
            if Instant::now() + wait >= deadline || reasons.values().all(|reason| is_final(reason))
            {
                return Err(NoAnswer {
                    may_have_acted,
                    reasons,
                });
            }
            sleep(wait).await;
        }
    }

    async fn call_one<Q: Serialize, A: Reply>(
        &self,
        address: &str,
        call: &str,
        message: &Q,
        deadline: Instant,
    ) -> Result<Result<A::Answer, Unavailable>, CallError> {
        let path = format!("/v1/operator/{call}");
        let answer = self
            .client
            .call::<Q, A>(address, &path, message, CALL_TIMEOUT);
        match timeout_at(deadline, answer).await {
            Ok(reply) => reply.map(Reply::into_answer),
            Err(_elapsed) => Err(CallError::TimedOut),
        }
    }
}

const KEY_REFUSED: &str = "it does not know this operator key; check --operator-key, and that control's operators file holds the same secret";
const NOT_SERVED: &str =
    "it does not serve this call; it may be older than this client, or no control instance";

/// Returns whether a retry is pointless.
fn is_final(reason: &str) -> bool {
    reason == KEY_REFUSED || reason == NOT_SERVED
}

fn describe_unavailable(unavailable: &Unavailable) -> Box<str> {
    let Unavailable { detail, leader, .. } = unavailable;
    if leader.is_empty() {
        detail.clone()
    } else {
        format!("{detail} (instance {leader} may lead)").into()
    }
}

fn describe_error(error: &CallError) -> Box<str> {
    match error {
        CallError::Status(status) if status.as_u16() == 401 => KEY_REFUSED.into(),
        CallError::Status(status) if status.as_u16() == 404 => NOT_SERVED.into(),
        CallError::NotSent(cause) => format!("no connection: {}", root_cause(&**cause)).into(),
        CallError::Lost(cause) => format!("the connection broke: {}", root_cause(&**cause)).into(),
        _ => error.to_string().into(),
    }
}

/// Returns the root cause of an error, such as a refused connection.
fn root_cause<'e>(mut error: &'e (dyn Error + 'static)) -> &'e (dyn Error + 'static) {
    while let Some(cause) = error.source() {
        error = cause;
    }
    error
}

/// Returns whether the instance certainly did not act on the message.
fn was_not_executed(error: &CallError) -> bool {
    let refusal_statuses = [400, 401, 404, 413];
    match error {
        CallError::Status(status) => refusal_statuses.contains(&status.as_u16()),
        _ => error.is_not_sent(),
    }
}
