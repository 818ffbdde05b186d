//! Defines the commands that the log carries, and the replies to them.

use hinge_config::effective::EffectiveConfig;
use hinge_routing::{IncarnationHash, RequestKey};
use hinge_schema::messages::{
    ApplyReply, ClaimBatchReply, ClaimKey, ConfigFile, ConfigProblem, DrainRecord, FinishKey,
    OrderKind, OrderRecord,
};
use hinge_schema::routing::RouteTable;
use serde::{Deserialize, Serialize};

use crate::routing::EndpointCommand;
use crate::upgrades::UpgradeCommand;
use crate::{ChangeId, Fence, InstanceName, OrderId, WallMs};

/// Problems in one refusal; an operator mends the first ones first.
const MAX_PROBLEMS: usize = 20;

/// Holds one command of the state machine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Opens a leader's term; orders of earlier terms are fenced off from here on.
    OpenTerm {
        /// Time of the leader.
        now_ms: WallMs,
    },
    /// Changes the operators' folder.
    ApplyChange(ChangeCommand),
    /// Claims idempotency keys, and notes ends of earlier claims.
    ClaimKeys {
        /// Claims, answered in order.
        claims: Vec<ClaimKey>,
        /// Ends, which take effect before the claims.
        finished: Vec<FinishKey>,
        /// Time of the leader.
        now_ms: WallMs,
    },
    /// Notes that earlier incarnations of a sidecar are gone.
    HolderLost {
        /// Name of the sidecar.
        sidecar: InstanceName,
        /// Lowest incarnation that may still live.
        incarnation: u64,
        /// Time of the leader.
        now_ms: WallMs,
    },
    /// Drops expired keys and answers.
    Sweep {
        /// Time of the leader.
        now_ms: WallMs,
    },
    /// Drains an instance, or ends its drain.
    Drain(DrainCommand),
    /// Places an order to an endpoint.
    PlaceOrder(OrderCommand),
    /// Notes what an endpoint answered to an order.
    SettleOrder(OrderResult),
    /// Moves upgrades and planned stops on.
    Upgrade(UpgradeCommand),
    /// Notes the name and address of a control instance.
    NameControl {
        /// Incarnation in the log.
        node_id: u64,
        /// Name of the instance.
        instance: InstanceName,
        /// Address for other control instances.
        address: Box<str>,
        /// Whether it keeps the log in memory only; missing in entries of programs that knew no such instances.
        #[serde(default)]
        diskless: bool,
    },
    /// Forgets a control instance that left the log.
    ForgetControl {
        /// Incarnation in the log.
        node_id: u64,
    },
    /// Puts a route table in force, if its number is the highest so far.
    PutTable(Box<RouteTable>),
    /// Changes what is known of the endpoints.
    Endpoint(EndpointCommand),
    /// Notes ends of endpoints under requests.
    Suspects(SuspectsCommand),
}

/// Holds what a gateway has seen of suspected requests.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectsCommand {
    /// Requests with the start of the endpoint that ended while it worked on them.
    pub ends: Vec<(RequestKey, IncarnationHash)>,
    /// Suspected requests that have completed since.
    pub completed: Vec<RequestKey>,
}

/// Holds an operator's change of the folder.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeCommand {
    /// Number that the operator drew.
    pub change_id: ChangeId,
    /// Who proposes.
    pub operator: Box<str>,
    /// Version that the change was based on.
    pub base_version: u64,
    /// Why.
    pub note: Box<str>,
    /// Files to add or change.
    pub put: Vec<ConfigFile>,
    /// Names of files to remove.
    pub removed: Vec<Box<str>>,
    /// Time of the leader that took the change in.
    pub accepted_at_ms: WallMs,
    /// What the leader found in the folder that results from the change on its base version.
    ///
    /// It only counts where the base is the version in force, and so it is about exactly the folder that results. With it
    /// a restart needs no check of every change in the log, and instances of different programs can't differ on one.
    #[serde(default)]
    pub checked: Option<Checked>,
}

/// Holds what was found in a folder.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Checked {
    /// Mistakes; none for a valid folder.
    pub problems: Vec<ConfigProblem>,
    /// Idempotency keys that a team may hold under it.
    pub max_keys_per_team: u32,
}

impl Checked {
    /// Checks a folder.
    #[must_use]
    pub fn of(files: &[ConfigFile]) -> Self {
        match EffectiveConfig::merge(files) {
            Ok(effective) => Self {
                problems: Vec::new(),
                max_keys_per_team: effective.limits.max_keys_per_team,
            },
            Err(mut problems) => {
                problems.truncate(MAX_PROBLEMS);
                Self {
                    problems,
                    max_keys_per_team: 0,
                }
            }
        }
    }
}

/// Holds an operator's request to drain an instance or to end its drain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainCommand {
    /// Instance.
    pub instance: InstanceName,
    /// Whether the instance takes no new work.
    pub draining: bool,
    /// Who asks.
    pub operator: Box<str>,
    /// Why.
    pub note: Box<str>,
    /// Time in which running work ends, in milliseconds.
    pub deadline_ms: u64,
    /// Time of the leader.
    pub now_ms: WallMs,
}

/// Holds an operator's order to an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderCommand {
    /// Number that the operator drew.
    pub change_id: ChangeId,
    /// Sidecar of the endpoint.
    pub instance: InstanceName,
    /// Who asks.
    pub operator: Box<str>,
    /// What to do.
    pub kind: OrderKind,
    /// Model, adapter or role.
    pub subject: Box<str>,
    /// Version; empty when it does not matter.
    pub version: Box<str>,
    /// Time of the leader.
    pub now_ms: WallMs,
}

/// Holds an endpoint's last word on an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderResult {
    /// Number of the order.
    pub order_id: OrderId,
    /// Fencing number under which it was given.
    pub fence: Fence,
    /// Whether the endpoint has done it.
    pub done: bool,
    /// What the endpoint said.
    pub detail: Box<str>,
}

/// Answers a command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// The command takes effect, and there is nothing to say.
    Done,
    /// What became of a change.
    Change(ApplyReply),
    /// What became of claims.
    Claims(ClaimBatchReply),
    /// All drained instances.
    Drains(Vec<DrainRecord>),
    /// The order as it stands.
    Order(OrderRecord),
    /// Number of the route table in force.
    TableNumber(u64),
    /// Requests that are held now and were not before.
    Held(Vec<RequestKey>),
}

impl Command {
    /// Encodes the command for the log, with named fields.
    ///
    /// # Panics
    ///
    /// Panics when a command has no MessagePack form, which none lacks.
    #[must_use]
    pub fn encode(&self) -> Box<[u8]> {
        rmp_serde::to_vec_named(self)
            .expect("every command has a MessagePack form")
            .into_boxed_slice()
    }

    /// Decodes a command of the log.
    ///
    /// # Errors
    ///
    /// Returns an error when a later program wrote a command that this one doesn't know; skipping it would let the
    /// instances' states drift apart.
    pub fn decode(bytes: &[u8]) -> Result<Self, rmp_serde::decode::Error> {
        rmp_serde::from_slice(bytes)
    }
}
