//! Holds the state machine above the log.

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

/// Starts the operator's name in drains and orders that a plan or planned stop asked for.
pub const PLANNED: &str = "planned/";

/// Returns whether a plan or planned stop asked for a drain, and no operator.
#[must_use]
pub fn is_planned(operator: &str) -> bool {
    operator.starts_with(PLANNED)
}

/// Names a control instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlName {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Address for other control instances.
    pub address: Box<str>,
    /// Whether it keeps the log in memory only, and so nothing when it ends.
    #[serde(default)]
    pub diskless: bool,
}

/// Holds everything that the log's entries have built up.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct State {
    applied_index: u64,
    now_ms: WallMs,
    changes: Changes,
    keys: KeyTable,
    orders: Orders,
    drains: BTreeMap<InstanceName, DrainRecord>,
    control: BTreeMap<u64, ControlName>,
    /// Missing in snapshots of programs that knew no upgrades.
    #[serde(default)]
    upgrades: Upgrades,
    /// Missing in snapshots of programs that knew no route tables.
    #[serde(default)]
    routing: Routing,
    /// Idempotency keys that a team may hold under the folder in force.
    max_keys_per_team: u32,
}

impl Default for State {
    fn default() -> Self {
        Self {
            applied_index: 0,
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
    /// Panics when an index comes a second time, which would make this instance's state differ from the others'.
    pub fn apply(&mut self, index: u64, term: u64, command: Command) -> Reply {
        assert!(
            index > self.applied_index,
            "entry {index} was applied already, up to {}",
            self.applied_index
        );
        self.applied_index = index;
        match command {
            Command::OpenTerm { now_ms } => {
                self.advance(now_ms);
                self.orders.open_term(term);
                Reply::Done
            }
            Command::ApplyChange(change) => self.apply_change(change),
            Command::ClaimKeys {
                claims,
                finished,
                now_ms,
            } => {
                let now_ms = self.advance(now_ms);
                let rules = self.key_rules();
                let replies = keys::apply(&mut self.keys, &rules, &claims, &finished, now_ms);
                Reply::Claims(replies)
            }
            Command::HolderLost {
                sidecar,
                incarnation,
                now_ms,
            } => {
                let now_ms = self.advance(now_ms);
                self.keys
                    .mark_holder_lost(sidecar_id(&sidecar), incarnation, now_ms);
                Reply::Done
            }
            Command::Sweep { now_ms } => {
                let now_ms = self.advance(now_ms);
                let rules = self.key_rules();
                self.keys.sweep(&rules, now_ms);
                self.changes.forget_answers(now_ms);
                Reply::Done
            }
            Command::Drain(drain) => self.drain(drain),
            Command::PlaceOrder(mut order) => {
                order.now_ms = self.advance(order.now_ms);
                Reply::Order(self.orders.place(order))
            }
            Command::SettleOrder(result) => {
                self.orders.settle(&result);
                Reply::Done
            }
            Command::Upgrade(command) => {
                self.take_steps(command);
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
            Command::Endpoint(command) => {
                self.routing.apply(index, command);
                Reply::Done
            }
            Command::Suspects(command) => Reply::Held(self.routing.note_suspects(index, &command)),
        }
    }

    fn apply_change(&mut self, change: ChangeCommand) -> Reply {
        let now_ms = self.advance(change.accepted_at_ms);
        let (reply, accepted) = self.changes.apply(change, now_ms);
        if let Some(checked) = accepted {
            self.max_keys_per_team = checked.max_keys_per_team;
        }
        Reply::Change(reply)
    }

    fn drain(&mut self, drain: DrainCommand) -> Reply {
        let now_ms = self.advance(drain.now_ms);
        if drain.draining {
            let record = DrainRecord {
                instance: drain.instance.clone(),
                operator: drain.operator,
                note: drain.note,
                asked_at_ms: now_ms,
                deadline_ms: drain.deadline_ms,
            };
            // A request that comes again keeps the time of the first one; an operator takes a plan's drain over.
            let drains = &mut self.drains;
            let known = drains.get(&drain.instance);
            if known.is_none_or(|known| is_planned(&known.operator)) {
                drains.insert(drain.instance, record);
            }
        } else {
            self.drains.remove(&drain.instance);
            // The operator takes the endpoint over from its plan.
            if self.upgrades.end_walk(&drain.instance) {
                self.upgrades.advance();
            }
        }
        Reply::Drains(self.drains())
    }

    /// Takes steps that were decided on what the state still holds; others come late, and change nothing.
    fn take_steps(&mut self, command: UpgradeCommand) {
        let now_ms = self.advance(command.now_ms);
        let is_current = command.revision == self.upgrades.revision()
            && command.config_version == self.changes.folder().version();
        if !is_current {
            return;
        }
        for step in command.steps {
            self.take_step(step, now_ms);
        }
        self.upgrades.advance();
    }

    fn take_step(&mut self, step: UpgradeStep, now_ms: WallMs) {
        match step {
            UpgradeStep::Put {
                instance,
                mut walk,
                order,
            } => {
                walk.step_at_ms = now_ms;
                walk.order_id = order.map_or(0, |order| {
                    let operator = format!("{PLANNED}{}", walk.plan);
                    let command = OrderCommand {
                        // The revision already keeps the step from being taken twice.
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
                self.upgrades.put_walk(instance, walk);
            }
            UpgradeStep::Drain {
                instance,
                by,
                deadline_ms,
            } => {
                let record = DrainRecord {
                    instance: instance.clone(),
                    operator: format!("{PLANNED}{by}").into(),
                    note: Box::default(),
                    asked_at_ms: now_ms,
                    deadline_ms,
                };
                self.drains.entry(instance).or_insert(record);
            }
            UpgradeStep::LetBack { instance, by } => {
                let operator = format!("{PLANNED}{by}");
                let known = self.drains.get(&instance);
                if known.is_some_and(|known| *known.operator == *operator) {
                    self.drains.remove(&instance);
                }
            }
            step => self.upgrades.take(step, now_ms),
        }
    }

    /// Moves the log's time on; a leader whose clock is behind can't turn it back.
    fn advance(&mut self, now_ms: WallMs) -> WallMs {
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

    /// Returns how far upgrades and planned stops have come.
    #[must_use]
    pub fn upgrades(&self) -> &Upgrades {
        &self.upgrades
    }

    /// Returns the orders of the upgrades that are under way, by number.
    #[must_use]
    pub fn walk_orders(&self) -> BTreeMap<OrderId, OrderRecord> {
        let walks = self.upgrades.walks().values();
        let records = walks.filter_map(|walk| self.orders.get(walk.order_id));
        let by_id = records.map(|record| (record.order_id, record.clone()));
        by_id.collect()
    }

    /// Returns the time of the newest command that carried one.
    #[must_use]
    pub fn now_ms(&self) -> WallMs {
        self.now_ms
    }

    /// Returns the number of idempotency keys that are held.
    #[must_use]
    pub fn key_count(&self) -> usize {
        self.keys.len()
    }

    /// Returns the names of the control instances by their incarnation in the log.
    #[must_use]
    pub fn control(&self) -> &BTreeMap<u64, ControlName> {
        &self.control
    }

    /// Encodes the state for a snapshot.
    ///
    /// # Panics
    ///
    /// Panics when the state has no MessagePack form, which it never lacks.
    #[must_use]
    pub fn encode(&self) -> Box<[u8]> {
        rmp_serde::to_vec_named(self)
            .expect("the state has a MessagePack form")
            .into_boxed_slice()
    }

    /// Restores the state of a snapshot; no bytes stand for the state before the first entry.
    ///
    /// # Errors
    ///
    /// Returns an error when the bytes don't hold a state.
    pub fn restore(bytes: &[u8]) -> Result<Self, RestoreError> {
        if bytes.is_empty() {
            return Ok(Self::default());
        }
        rmp_serde::from_slice(bytes).map_err(RestoreError)
    }
}

/// Says that a snapshot's bytes don't hold a state.
#[derive(Debug)]
pub struct RestoreError(rmp_serde::decode::Error);

impl fmt::Display for RestoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the snapshot can't be decoded: {}", self.0)
    }
}

impl Error for RestoreError {}
