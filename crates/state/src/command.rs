//! The commands that the log carries, and the replies to them.

use hinge_config::effective::EffectiveConfig;
use hinge_routing::{IncarnationHash, RequestKey};
use hinge_schema::messages::{
    ApplyReply, ClaimBatchReply, ClaimKey, ConfigFile, ConfigProblem, DrainRecord, FinishKey,
    OrderKind, OrderRecord,
};
use hinge_schema::routing::{RouteTable, TablePatch};
use serde::{Deserialize, Serialize};

use crate::evacuations::EvacuationCommand;
use crate::routing::EndpointCommand;
use crate::upgrades::UpgradeCommand;
use crate::{ChangeId, Fence, InstanceName, OrderId, WallMs};

/// Problems listed in one refusal; the rest show up once the first ones are fixed.
const MAX_PROBLEMS: usize = 20;

/// A command of the state machine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Opens a leader's term; orders of earlier terms are invalid from here on.
    OpenTerm {
        /// Time of the leader.
        now_ms: WallMs,
    },
    /// Changes the operators' folder.
    ApplyChange(ChangeCommand),
    /// Claims idempotency keys, and records the outcomes of earlier claims.
    ClaimKeys {
        /// Claims; the replies have the same order.
        claims: Vec<ClaimKey>,
        /// Outcomes, which take effect before the claims.
        finished: Vec<FinishKey>,
        /// Time of the leader.
        now_ms: WallMs,
    },
    /// Records that earlier incarnations of a sidecar are gone.
    HolderLost {
        /// Name of the sidecar.
        sidecar: InstanceName,
        /// Lowest incarnation that may still be alive.
        incarnation: u64,
        /// Time of the leader.
        now_ms: WallMs,
    },
    /// Removes expired keys and answers.
    Sweep {
        /// Time of the leader.
        now_ms: WallMs,
    },
    /// Drains an instance, or ends its drain.
    Drain(DrainCommand),
    /// Places an order to an endpoint.
    PlaceOrder(OrderCommand),
    /// Records an endpoint's answer to an order.
    SettleOrder(OrderResult),
    /// Advances upgrades and planned stops.
    Upgrade(UpgradeCommand),
    /// Records the name and address of a control instance.
    NameControl {
        /// Node id of the instance's incarnation in the log.
        node_id: u64,
        /// Name of the instance.
        instance: InstanceName,
        /// Address for other control instances.
        address: Box<str>,
        /// Whether it keeps the log in memory only; missing in entries of versions before diskless instances.
        #[serde(default)]
        diskless: bool,
    },
    /// Removes a control instance that has left the log's members.
    ForgetControl {
        /// Node id of the instance's incarnation in the log.
        node_id: u64,
    },
    /// Puts a route table in force, if its number is the highest so far.
    PutTable(Box<RouteTable>),
    /// Puts in force the route table that results from a patch of the one in force; from format 2 on.
    ///
    /// A patch of another table has no effect: the leader only proposes patches of the table that the log holds before.
    PatchTable(Box<TablePatch>),
    /// Updates the list of endpoints.
    Endpoint(EndpointCommand),
    /// Records which requests endpoints were working on when they ended, or grants a trial of held prompt parts.
    Suspects(SuspectsCommand),
    /// Allows commands and state of a later format; a version that doesn't know the format stops at this entry.
    RaiseFormat {
        /// Format of the log.
        format: u32,
    },
    /// Starts or ends the evacuation of a data centre.
    Evacuation(EvacuationCommand),
}

/// A gateway's report on requests that are suspected of ending endpoints.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectsCommand {
    /// Requests, each with the incarnation of the endpoint that ended while working on it.
    pub ends: Vec<(RequestKey, IncarnationHash)>,
    /// Suspected requests that have completed since, and suspected prompt parts on which an answer went on.
    pub completed: Vec<RequestKey>,
    /// Suspected prompt parts on which answers went on before.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub sound: Vec<RequestKey>,
    /// A request with held prompt parts that is to be tried, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub trial: Option<TrialCommand>,
}

/// A gateway's question whether a request may be sent although prompt parts of it are held.
///
/// Versions before trials ignore it, so that their records of the last trials stay empty.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrialCommand {
    /// All held parts of the request.
    pub parts: Vec<RequestKey>,
    /// Time of the leader.
    pub now_ms: WallMs,
}

/// An operator's change of the configuration folder.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeCommand {
    /// Id that the operator drew.
    pub change_id: ChangeId,
    /// Operator who proposes the change.
    pub operator: Box<str>,
    /// Version that the change was based on.
    pub base_version: u64,
    /// Reason that the operator gives.
    pub note: Box<str>,
    /// Files to add or change.
    pub put: Vec<ConfigFile>,
    /// Names of files to remove.
    pub removed: Vec<Box<str>>,
    /// Time of the leader that accepted the change.
    pub accepted_at_ms: WallMs,
    /// Result of the leader's check of the folder that results from the change on its base version.
    ///
    /// It is used only if the base is the version in force, since only then was exactly the resulting folder checked. It saves
    /// a restart from checking every change in the log, and keeps instances of different versions from differing on a change.
    #[serde(default)]
    pub checked: Option<Checked>,
}

/// The result of checking a folder.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Checked {
    /// Problems; empty for a valid folder.
    pub problems: Vec<ConfigProblem>,
    /// Idempotency keys that a team may hold under this folder.
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

/// An operator's request to drain an instance or to end its drain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainCommand {
    /// Instance.
    pub instance: InstanceName,
    /// Whether the instance takes no new work.
    pub draining: bool,
    /// Operator who asks.
    pub operator: Box<str>,
    /// Reason that the operator gives.
    pub note: Box<str>,
    /// Time within which running work must end, in milliseconds.
    pub deadline_ms: u64,
    /// Time of the leader.
    pub now_ms: WallMs,
}

/// An operator's order to an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderCommand {
    /// Id that the operator drew.
    pub change_id: ChangeId,
    /// Sidecar of the endpoint.
    pub instance: InstanceName,
    /// Operator who asks.
    pub operator: Box<str>,
    /// What to do.
    pub kind: OrderKind,
    /// Model, adapter or role.
    pub subject: Box<str>,
    /// Version; empty if the order needs none.
    pub version: Box<str>,
    /// Time of the leader.
    pub now_ms: WallMs,
}

/// An endpoint's final answer to an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderResult {
    /// Number of the order.
    pub order_id: OrderId,
    /// Fencing number under which the order was sent.
    pub fence: Fence,
    /// Whether the endpoint has carried out the order.
    pub done: bool,
    /// Text of the endpoint's answer.
    pub detail: Box<str>,
}

/// The reply to a command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// The command was applied and returns no data.
    Done,
    /// The result of a change.
    Change(ApplyReply),
    /// The results of claims.
    Claims(ClaimBatchReply),
    /// All drained instances.
    Drains(Vec<DrainRecord>),
    /// The current record of the order.
    Order(OrderRecord),
    /// Number of the route table in force.
    TableNumber(u64),
    /// Requests and prompt parts that are newly held.
    Held(Vec<RequestKey>),
    /// Whether a trial is granted.
    Trial(bool),
    /// Whether the data centre is in the state that the order asked for.
    Evacuation(bool),
}

impl Command {
    /// Encodes the command for the log, with named fields.
    ///
    /// # Panics
    ///
    /// Panics if the command can't be encoded as MessagePack; every command can.
    #[must_use]
    pub fn encode(&self) -> Box<[u8]> {
        rmp_serde::to_vec_named(self)
            .expect("every command can be encoded as MessagePack")
            .into_boxed_slice()
    }

    /// Decodes a command of the log.
    ///
    /// # Errors
    ///
    /// Returns an error when a newer version wrote a command that this version doesn't know; skipping it would let the
    /// instances' states diverge.
    pub fn decode(bytes: &[u8]) -> Result<Self, rmp_serde::decode::Error> {
        rmp_serde::from_slice(bytes)
    }
}
