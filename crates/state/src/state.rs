//! The state machine above the log.

use std::collections::BTreeMap;
use std::error::Error;
use std::fmt;

use hinge_outcome::keys::{KeyRules, KeyTable};
use hinge_outcome::sidecar_id;
use hinge_schema::messages::{DrainRecord, OrderRecord};
use serde::{Deserialize, Serialize};

use crate::changes::Changes;
use crate::command::{ChangeCommand, Checked, Command, DrainCommand, OrderCommand, Reply};
use crate::orders::Orders;
use crate::routing::Routing;
use crate::upgrades::{UpgradeCommand, UpgradeStep, Upgrades};
use crate::{InstanceName, OrderId, WallMs, keys};

/// Highest format of the log that this version knows.
///
/// Format 1 has evacuations, homes of routes and teams, and endpoints that warm up again; format 2 has patches of the route
/// table.
pub const LOG_FORMAT: u32 = 2;

/// Start of a snapshot of format 1 or later, which versions that know format 0 only can't decode.
///
/// They skip fields that they don't know, and would lose evacuations.
const SNAPSHOT_MARK: &[u8] = b"hinge-state-1\n";

/// Prefix of the operator's name in drains and orders that an upgrade plan or planned stop asked for.
pub const PLANNED_PREFIX: &str = "planned/";

/// Returns whether a plan or planned stop, rather than an operator, asked for a drain.
#[must_use]
pub fn is_planned(operator: &str) -> bool {
    operator.starts_with(PLANNED_PREFIX)
}

/// The name and address of a control instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlName {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Address for other control instances.
    pub address: Box<str>,
    /// Whether it keeps the log in memory only, and so loses it when it stops.
    #[serde(default)]
    pub diskless: bool,
}

/// The state that results from applying the log's entries.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct State {
    applied_index: u64,
    /// Format of the log; missing in snapshots of versions before formats.
    #[serde(default)]
    format: u32,
    now_ms: WallMs,
    changes: Changes,
    keys: KeyTable,
    orders: Orders,
    drains: BTreeMap<InstanceName, DrainRecord>,
    control: BTreeMap<u64, ControlName>,
    /// Missing in snapshots of versions before upgrades.
    #[serde(default)]
    upgrades: Upgrades,
    /// Missing in snapshots of versions before route tables.
    #[serde(default)]
    routing: Routing,
    /// Idempotency keys that a team may hold under the folder in force.
    max_keys_per_team: u32,
}

impl Default for State {
    fn default() -> Self {
        Self {
            applied_index: 0,
            format: 0,
            now_ms: 0,
            changes: Changes::default(),
            keys: KeyTable::new(),
            orders: Orders::default(),
            drains: BTreeMap::new(),
            control: BTreeMap::new(),
            upgrades: Upgrades::default(),
            routing: Routing::default(),
            max_keys_per_team: Checked::of(&[]).max_keys_per_team,
        }
    }
}

impl State {
    /// Applies a committed command.
    ///
    /// # Panics
    ///
    /// Panics if an index is not above the last one, because applying an entry twice would make the instances' states diverge.
    pub fn apply(&mut self, index: u64, term: u64, command: Command) -> Reply {
        assert!(
            index > self.applied_index,
            "entry {index} was already applied; the last applied index is {}",
            self.applied_index
        );
        self.applied_index = index;
        match command {
            Command::OpenTerm { now_ms } => {
                self.advance_clock(now_ms);
                self.orders.open_term(term);
                Reply::Done
            }
            Command::ApplyChange(change) => self.apply_change(change),
            Command::ClaimKeys {
                claims,
                finished,
                now_ms,
            } => {
                let now_ms = self.advance_clock(now_ms);
                let rules = self.key_rules();
                let replies = keys::apply(&mut self.keys, &rules, &claims, &finished, now_ms);
                Reply::Claims(replies)
            }
            Command::HolderLost {
                sidecar,
                incarnation,
                now_ms,
            } => {
                let now_ms = self.advance_clock(now_ms);
                self.keys
                    .mark_holder_lost(sidecar_id(&sidecar), incarnation, now_ms);
                Reply::Done
            }
            Command::Sweep { now_ms } => {
                let now_ms = self.advance_clock(now_ms);
                let rules = self.key_rules();
                self.keys.sweep(&rules, now_ms);
                self.changes.forget_answers(now_ms);
                Reply::Done
            }
            Command::Drain(drain) => self.drain(drain),
            Command::PlaceOrder(mut order) => {
                order.now_ms = self.advance_clock(order.now_ms);
                Reply::Order(self.orders.place(order))
            }
            Command::SettleOrder(result) => {
                self.orders.settle(&result);
                Reply::Done
            }
            Command::Upgrade(command) => {
                self.apply_steps(command);
                Reply::Done
            }
            Command::NameControl {
                node_id,
                instance,
                address,
                diskless,
            } => {
                let name = ControlName {
                    instance,
                    address,
                    diskless,
                };
                self.control.insert(node_id, name);
                Reply::Done
            }
            Command::ForgetControl { node_id } => {
                self.control.remove(&node_id);
                Reply::Done
            }
            Command::PutTable(table) => Reply::TableNumber(self.routing.put_table(*table)),
            Command::PatchTable(patch) => Reply::TableNumber(self.routing.patch_table(&patch)),
            Command::Endpoint(command) => {
                self.routing.apply(index, self.format, command);
                Reply::Done
            }
            Command::Suspects(command) => {
                let held = self.routing.record_suspects(index, &command);
                match &command.trial {
                    Some(trial) => Reply::Trial(self.routing.grant_trial(trial)),
                    None => Reply::Held(held),
                }
            }
            Command::RaiseFormat { format } => {
                self.format = self.format.max(format);
                Reply::Done
            }
            Command::Evacuation(mut command) => {
                command.now_ms = self.advance_clock(command.now_ms);
                Reply::Evacuation(self.routing.apply_evacuation(index, command))
            }
        }
    }

    fn apply_change(&mut self, change: ChangeCommand) -> Reply {
        let now_ms = self.advance_clock(change.accepted_at_ms);
        let (reply, accepted) = self.changes.apply(change, now_ms);
        if let Some(checked) = accepted {
            self.max_keys_per_team = checked.max_keys_per_team;
        }
        Reply::Change(reply)
    }

    fn drain(&mut self, drain: DrainCommand) -> Reply {
        let now_ms = self.advance_clock(drain.now_ms);
        if drain.draining {
            let record = DrainRecord {
                instance: drain.instance.clone(),
                operator: drain.operator,
                note: drain.note,
                asked_at_ms: now_ms,
                deadline_ms: drain.deadline_ms,
            };
            // A repeated request keeps the time of the first one; an operator's request replaces a plan's drain.
            let drains = &mut self.drains;
            let known = drains.get(&drain.instance);
            if known.is_none_or(|known| is_planned(&known.operator)) {
                drains.insert(drain.instance, record);
            }
        } else {
            self.drains.remove(&drain.instance);
            // An operator who ends the drain takes the endpoint out of its plan's control.
            if self.upgrades.end_progress(&drain.instance) {
                self.upgrades.advance();
            }
        }
        Reply::Drains(self.drains())
    }

    /// Returns whether any key is running under an earlier incarnation of a sidecar.
    #[must_use]
    pub fn has_earlier_holder(&self, sidecar: &str, incarnation: u64) -> bool {
        self.keys
            .has_holder_before(sidecar_id(sidecar), incarnation)
    }

    /// Applies steps that were decided on the current revision; outdated steps are ignored.
    fn apply_steps(&mut self, command: UpgradeCommand) {
        let now_ms = self.advance_clock(command.now_ms);
        let is_current = command.revision == self.upgrades.revision()
            && command.config_version == self.changes.folder().version();
        if !is_current {
            return;
        }
        for step in command.steps {
            self.apply_step(step, now_ms);
        }
        self.upgrades.advance();
    }

    fn apply_step(&mut self, step: UpgradeStep, now_ms: WallMs) {
        match step {
            UpgradeStep::Put {
                instance,
                mut progress,
                order,
            } => {
                progress.step_at_ms = now_ms;
                progress.order_id = order.map_or(0, |order| {
                    let operator = format!("{PLANNED_PREFIX}{}", progress.plan);
                    let command = OrderCommand {
                        // The revision already keeps the step from being applied twice.
                        change_id: Box::default(),
                        instance: instance.clone(),
                        operator: operator.into(),
                        kind: order.kind,
                        subject: order.subject,
                        version: order.version,
                        now_ms,
                    };
                    self.orders.place(command).order_id
                });
                self.upgrades.put_progress(instance, progress);
            }
            UpgradeStep::Drain {
                instance,
                by,
                deadline_ms,
            } => {
                let record = DrainRecord {
                    instance: instance.clone(),
                    operator: format!("{PLANNED_PREFIX}{by}").into(),
                    note: Box::default(),
                    asked_at_ms: now_ms,
                    deadline_ms,
                };
                self.drains.entry(instance).or_insert(record);
            }
            UpgradeStep::EndDrain { instance, by } => {
                let operator = format!("{PLANNED_PREFIX}{by}");
                let known = self.drains.get(&instance);
                if known.is_some_and(|known| *known.operator == *operator) {
                    self.drains.remove(&instance);
                }
            }
            step => self.upgrades.apply(step, now_ms),
        }
    }

    /// Advances the log's time; a leader whose clock is behind can't set it back.
    fn advance_clock(&mut self, now_ms: WallMs) -> WallMs {
        self.now_ms = self.now_ms.max(now_ms);
        self.now_ms
    }

    fn key_rules(&self) -> KeyRules {
        KeyRules {
            max_keys_per_team: usize::try_from(self.max_keys_per_team).unwrap_or(usize::MAX),
            ..KeyRules::default()
        }
    }

    /// Returns the index of the last command that was applied.
    #[must_use]
    pub fn applied_index(&self) -> u64 {
        self.applied_index
    }

    /// Returns the format of the log, which every member knows.
    #[must_use]
    pub fn format(&self) -> u32 {
        self.format
    }

    /// Returns the operators' folder and its history.
    #[must_use]
    pub fn changes(&self) -> &Changes {
        &self.changes
    }

    /// Returns the route table and the endpoints.
    #[must_use]
    pub fn routing(&self) -> &Routing {
        &self.routing
    }

    /// Returns the orders.
    #[must_use]
    pub fn orders(&self) -> &Orders {
        &self.orders
    }

    /// Returns the drained instances.
    #[must_use]
    pub fn drains(&self) -> Vec<DrainRecord> {
        self.drains.values().cloned().collect()
    }

    /// Returns the progress of upgrades and planned stops.
    #[must_use]
    pub fn upgrades(&self) -> &Upgrades {
        &self.upgrades
    }

    /// Returns the orders of the upgrades in progress, by order number.
    #[must_use]
    pub fn upgrade_orders(&self) -> BTreeMap<OrderId, OrderRecord> {
        let in_progress = self.upgrades.in_progress().values();
        let records = in_progress.filter_map(|progress| self.orders.get(progress.order_id));
        let by_id = records.map(|record| (record.order_id, record.clone()));
        by_id.collect()
    }

    /// Returns the time of the newest command that carried one.
    #[must_use]
    pub fn now_ms(&self) -> WallMs {
        self.now_ms
    }

    /// Returns the number of idempotency keys in the table.
    #[must_use]
    pub fn key_count(&self) -> usize {
        self.keys.len()
    }

    /// Returns the names of the control instances, by node id.
    #[must_use]
    pub fn control(&self) -> &BTreeMap<u64, ControlName> {
        &self.control
    }

    /// Encodes the state for a snapshot.
    ///
    /// # Panics
    ///
    /// Panics if the state can't be encoded as MessagePack; it always can.
    #[must_use]
    pub fn encode(&self) -> Box<[u8]> {
        let mut bytes = if self.format == 0 {
            Vec::new()
        } else {
            SNAPSHOT_MARK.to_vec()
        };
        rmp_serde::encode::write_named(&mut bytes, self)
            .expect("the state can be encoded as MessagePack");
        bytes.into_boxed_slice()
    }

    /// Restores the state from a snapshot; an empty snapshot is the state before the first entry.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes don't decode to a state.
    pub fn restore(bytes: &[u8]) -> Result<Self, RestoreError> {
        if bytes.is_empty() {
            return Ok(Self::default());
        }
        let bytes = bytes.strip_prefix(SNAPSHOT_MARK).unwrap_or(bytes);
        rmp_serde::from_slice(bytes).map_err(RestoreError)
    }
}

/// The error for a snapshot that does not decode to a state.
#[derive(Debug)]
pub struct RestoreError(rmp_serde::decode::Error);

impl fmt::Display for RestoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the snapshot can't be decoded: {}", self.0)
    }
}

impl Error for RestoreError {}
