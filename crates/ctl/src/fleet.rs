//! Asks control, one instance after the other, until one gives a current answer.
//!
//! Every call may be sent again as it is: questions change nothing, and changes carry a number that control answers once. So
//! a lost answer is no reason to give up; the same message goes to the next instance.

use std::collections::BTreeMap;
use std::error::Error;
use std::time::Duration;

use hinge_link::{CallError, Client, ClusterKey};
use hinge_schema::messages::{
    Accepted, Apply, ApplyReply, AskFolder, AskHistory, AskOrders, AskStatus, AskSuspects,
    AskUpgrades, ConfigFile, Conflict, Drain, DrainReply, Drains, Folder, FolderReply, History,
    HistoryReply, Invalid, Orders, OrdersReply, PlaceOrder, RemoveControl, RemoveControlReply,
    RemovedControl, Status, StatusReply, SuspectRecords, SuspectsReply, Unavailable, Upgrades,
    UpgradesReply,
};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::{Instant, sleep, timeout_at};

use crate::failure::Failure;

/// Longest wait for one instance: longer than control's own wait for a majority, so that its answer still comes.
const CALL_WAIT: Duration = Duration::from_secs(6);

/// Wait before the instances are asked again when none of them names a time.
const ROUND_WAIT: Duration = Duration::from_millis(200);

/// Longest wait before the instances are asked again; an election is over by then.
const MAX_ROUND_WAIT: Duration = Duration::from_secs(1);

/// Yields the current answer of a reply, if it holds one.
trait Reply: DeserializeOwned {
    type Answer;

    fn current(self) -> Result<Self::Answer, Unavailable>;
}

macro_rules! reply {
    ($reply:ident, $variant:ident, $answer:ty) => {
        impl Reply for $reply {
            type Answer = $answer;

            fn current(self) -> Result<Self::Answer, Unavailable> {
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

/// Holds what control decided about a change.
#[derive(Debug)]
pub(crate) enum Decision {
    Accepted(Accepted),
    Conflict(Conflict),
    Invalid(Invalid),
}

impl Reply for ApplyReply {
    type Answer = Decision;

    fn current(self) -> Result<Decision, Unavailable> {
        match self {
            Self::Accepted(accepted) => Ok(Decision::Accepted(accepted)),
            Self::Conflict(conflict) => Ok(Decision::Conflict(conflict)),
            Self::Invalid(invalid) => Ok(Decision::Invalid(invalid)),
            Self::Unavailable(unavailable) => Err(unavailable),
        }
    }
}

/// Says that no instance gave a current answer in time.
#[derive(Debug)]
pub(crate) struct NoAnswer {
    /// Whether an instance may have acted on the message.
    pub(crate) may_have_acted: bool,
    /// What each instance said last, by address.
    reasons: BTreeMap<Box<str>, Box<str>>,
}

impl NoAnswer {
    /// Words the failure; `advice` says what to do now.
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

/// Holds the folder in force.
#[derive(Debug)]
pub(crate) struct InForce {
    pub(crate) version: u64,
    pub(crate) files: Vec<ConfigFile>,
}

/// Holds the way to control.
#[derive(Debug)]
pub(crate) struct Fleet {
    addresses: Vec<Box<str>>,
    client: Client,
    timeout: Duration,
}

impl Fleet {
    pub(crate) fn new(addresses: Vec<Box<str>>, key: ClusterKey, timeout: Duration) -> Self {
        Self {
            addresses,
            client: Client::new(key),
            timeout,
        }
    }

    pub(crate) async fn status(&self, ask: &AskStatus) -> Result<Status, Failure> {
        self.ask::<_, StatusReply>("status", ask).await
    }

    pub(crate) async fn history(&self, ask: &AskHistory) -> Result<History, Failure> {
        self.ask::<_, HistoryReply>("history", ask).await
    }

    pub(crate) async fn orders(&self, ask: &AskOrders) -> Result<Orders, Failure> {
        self.ask::<_, OrdersReply>("orders", ask).await
    }

    pub(crate) async fn upgrades(&self, ask: &AskUpgrades) -> Result<Upgrades, Failure> {
        self.ask::<_, UpgradesReply>("upgrades", ask).await
    }

    /// Returns the whole folder in force.
    pub(crate) async fn folder(&self) -> Result<InForce, Failure> {
        let ask = AskFolder { config_version: 0 };
        let folder = self.ask::<_, FolderReply>("folder", &ask).await?;
        let version = folder.config_version;
        let Some(delta) = folder.delta else {
            return Ok(InForce {
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
        Ok(InForce { version, files })
    }

    pub(crate) async fn apply(&self, change: &Apply) -> Result<Decision, NoAnswer> {
        self.call::<_, ApplyReply>("apply", change).await
    }

    pub(crate) async fn drain(&self, drain: &Drain) -> Result<Drains, NoAnswer> {
        self.call::<_, DrainReply>("drain", drain).await
    }

    pub(crate) async fn place(&self, order: &PlaceOrder) -> Result<Orders, NoAnswer> {
        self.call::<_, OrdersReply>("order", order).await
    }

    pub(crate) async fn remove_control(
        &self,
        remove: &RemoveControl,
    ) -> Result<RemovedControl, NoAnswer> {
        self.call::<_, RemoveControlReply>("remove-control", remove)
            .await
    }

    pub(crate) async fn suspects(&self, ask: &AskSuspects) -> Result<SuspectRecords, NoAnswer> {
        self.call::<_, SuspectsReply>("suspects", ask).await
    }

    async fn ask<Q: Serialize, A: Reply>(&self, call: &str, ask: &Q) -> Result<A::Answer, Failure> {
        self.call::<_, A>(call, ask).await.map_err(|no_answer| {
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
                        may_have_acted |= !is_refused(&error);
                        // The end of our own time says less than what the instance said before.
                        if matches!(error, CallError::TimedOut) && reasons.contains_key(address) {
                            continue;
                        }
                        describe_error(&error)
                    }
                };
                reasons.insert(address.clone(), reason);
            }
            let wait = wait.unwrap_or(ROUND_WAIT).min(MAX_ROUND_WAIT);
            if Instant::now() + wait >= deadline || reasons.values().all(|why| is_final(why)) {
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
        let answer = self.client.call::<Q, A>(address, &path, message, CALL_WAIT);
        match timeout_at(deadline, answer).await {
            Ok(reply) => reply.map(Reply::current),
            Err(_elapsed) => Err(CallError::TimedOut),
        }
    }
}

const KEY_REFUSED: &str = "it does not know this operator key; check --operator-key, and that control's operators file holds the same secret";
const NOT_SERVED: &str =
    "it does not serve this call; it may be older than this client, or no control instance";

/// Returns whether asking again can't help.
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
        CallError::NotSent(cause) => format!("no connection: {}", deepest(&**cause)).into(),
        CallError::Lost(cause) => format!("the connection broke: {}", deepest(&**cause)).into(),
        _ => error.to_string().into(),
    }
}

/// Returns the first cause of an error, such as a refused connection.
fn deepest<'e>(mut error: &'e (dyn Error + 'static)) -> &'e (dyn Error + 'static) {
    while let Some(cause) = error.source() {
        error = cause;
    }
    error
}

/// Returns whether the instance certainly did not act on the message.
fn is_refused(error: &CallError) -> bool {
    let refusals = [400, 401, 404, 413];
    match error {
        CallError::Status(status) => refusals.contains(&status.as_u16()),
        _ => error.is_not_sent(),
    }
}
