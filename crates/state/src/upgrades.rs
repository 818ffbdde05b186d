//! Keeps how far upgrades and planned stops have come.
//!
//! Whoever plans holds nothing: it reads this record, the orders, the drains and the announcements, and proposes steps
//! for exactly one revision of the record. Steps for another revision change nothing, so a step that two leaders propose,
//! or that comes late, is taken once.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use hinge_config::effective::{Stop, Upgrade};
use hinge_schema::messages::OrderKind;
use serde::{Deserialize, Serialize};

use crate::{InstanceName, OrderId, WallMs};

/// Says how far an endpoint has come in its upgrade.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndpointStep {
    /// It takes no new work, and loads the new version beside the old one.
    Loading,
    /// It is told to serve the new version.
    Switching,
    /// It is back in service, and must be seen to serve the new version.
    Verifying,
    /// It serves the new version, and unloads the old one.
    Unloading,
    /// It goes back to the old version.
    RollingBack,
}

impl EndpointStep {
    /// Returns whether the endpoint is out of service.
    #[must_use]
    pub fn is_absent(self) -> bool {
        match self {
            Self::Loading | Self::Switching | Self::RollingBack => true,
            Self::Verifying | Self::Unloading => false,
        }
    }
}

impl fmt::Display for EndpointStep {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Loading => "loading",
            Self::Switching => "switching",
            Self::Verifying => "verifying",
            Self::Unloading => "unloading",
            Self::RollingBack => "rolling back",
        })
    }
}

/// Describes the upgrade of one endpoint that is under way.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpgradeProgress {
    /// Name of the plan.
    pub plan: Box<str>,
    /// Plan as it was when the endpoint began; a later change of the folder doesn't change what was ordered.
    pub upgrade: Upgrade,
    /// Version to go back to; empty when the endpoint announced none.
    pub from_version: Box<str>,
    /// When running work has ended at the latest.
    pub drained_by_ms: WallMs,
    /// How far it has come.
    pub step: EndpointStep,
    /// When the step began.
    pub step_at_ms: WallMs,
    /// Order of the step; 0 for none.
    pub order_id: OrderId,
}

/// Says why a plan has stopped.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StopReason {
    /// An endpoint failed an order.
    OrderFailed {
        /// Endpoint.
        instance: InstanceName,
        /// What it was told.
        kind: OrderKind,
        /// What it said.
        detail: Box<str>,
    },
    /// A later order of an operator took the place of the plan's, or the order is no longer on record.
    OrderReplaced {
        /// Endpoint.
        instance: InstanceName,
    },
    /// An endpoint took too long for a step.
    TimedOut {
        /// Endpoint.
        instance: InstanceName,
        /// Step.
        step: EndpointStep,
    },
}

impl fmt::Display for StopReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::OrderFailed {
                instance,
                kind,
                detail,
            } => write!(f, "{instance} failed {kind}: {detail}"),
            Self::OrderReplaced { instance } => {
                write!(
                    f,
                    "another order took the place of the plan's at {instance}"
                )
            }
            Self::TimedOut { instance, step } => {
                write!(f, "{instance} took too long while {step}")
            }
        }
    }
}

/// Describes a plan that has stopped; it goes on once the folder holds another plan under its name.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoppedPlan {
    /// Plan that stopped.
    pub upgrade: Upgrade,
    /// Why.
    pub reason: StopReason,
    /// When.
    pub at_ms: WallMs,
}

/// Counts the endpoints of a pool, so that ones that are gone count as absent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolSize {
    /// Endpoints.
    pub endpoints: u64,
    /// When they were counted.
    pub at_ms: WallMs,
}

/// Says how far a planned stop of one instance has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum StopPhase {
    /// It still takes work, because the floor allows no further stop or its upgrade is under way.
    Waiting {
        /// Incarnation that lived when the stop began.
        incarnation: u64,
    },
    /// It takes no new work.
    Draining {
        /// Incarnation that stops; a later one has been stopped and is back.
        incarnation: u64,
        /// When it was told.
        asked_at_ms: WallMs,
    },
    /// It was stopped and is back.
    Done,
}

/// Describes a planned stop that has begun.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StopRecord {
    /// Stop as it was when it began.
    pub stop: Stop,
    /// Instances that lived then, by name.
    pub instances: BTreeMap<InstanceName, StopPhase>,
}

/// Holds an order that comes with a step.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepOrder {
    /// What to do.
    pub kind: OrderKind,
    /// Model or adapter.
    pub subject: Box<str>,
    /// Version.
    pub version: Box<str>,
}

/// Changes the record by one step.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum UpgradeStep {
    /// Notes the size of a pool.
    Count {
        /// Pool.
        pool: Box<str>,
        /// Endpoints.
        endpoints: u64,
    },
    /// Notes until when the weight store is taken.
    #[serde(rename = "TakeStore")]
    ReserveStore {
        /// When everything ordered so far has been read at the store's rate.
        busy_until_ms: WallMs,
    },
    /// Begins or moves on an endpoint's upgrade, with an order if one is due; the state fills in its number and the time.
    Put {
        /// Endpoint.
        instance: InstanceName,
        /// How it stands from now on.
        #[serde(rename = "walk")]
        progress: UpgradeProgress,
        /// Order to place.
        order: Option<StepOrder>,
    },
    /// Ends an endpoint's upgrade.
    End {
        /// Endpoint.
        instance: InstanceName,
    },
    /// Notes the version of an adapter that an endpoint holds; announcements name only models.
    #[serde(rename = "Hold")]
    NoteAdapter {
        /// Endpoint.
        instance: InstanceName,
        /// Adapter.
        adapter: Box<str>,
        /// Version.
        version: Box<str>,
    },
    /// Forgets an adapter that no plan of the folder names; a plan that comes back loads it once more.
    ForgetAdapter {
        /// Adapter.
        adapter: Box<str>,
    },
    /// Tells an instance to take no new work.
    Drain {
        /// Instance.
        instance: InstanceName,
        /// Plan or stop that asks.
        by: Box<str>,
        /// Time in which running work ends, in milliseconds.
        deadline_ms: u64,
    },
    /// Lets an instance take work again, unless an operator has drained it since.
    #[serde(rename = "LetBack")]
    EndDrain {
        /// Instance.
        instance: InstanceName,
        /// Plan or stop that drained it.
        by: Box<str>,
    },
    /// Stops a plan.
    StopPlan {
        /// Name of the plan.
        plan: Box<str>,
        /// Plan that stops.
        upgrade: Upgrade,
        /// Why.
        reason: StopReason,
    },
    /// Forgets that a plan stopped.
    ClearPlan {
        /// Name of the plan.
        plan: Box<str>,
    },
    /// Begins a planned stop.
    BeginStop {
        /// Name of the stop.
        name: Box<str>,
        /// Stop with its instances.
        record: StopRecord,
    },
    /// Notes how far a planned stop of an instance has come.
    MoveStop {
        /// Name of the stop.
        name: Box<str>,
        /// Instance.
        instance: InstanceName,
        /// How far.
        phase: StopPhase,
    },
    /// Forgets a planned stop that is no longer in the folder.
    ClearStop {
        /// Name of the stop.
        name: Box<str>,
    },
}

/// Holds steps that were decided on one revision; they are taken all or not at all.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpgradeCommand {
    /// Revision of the record.
    pub revision: u64,
    /// Version of the folder.
    pub config_version: u64,
    /// Steps, in order.
    pub steps: Vec<UpgradeStep>,
    /// Time of the leader.
    pub now_ms: WallMs,
}

/// Holds the upgrades and stops that are under way, and what must outlast them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Upgrades {
    revision: u64,
    #[serde(rename = "walks")]
    in_progress: BTreeMap<InstanceName, UpgradeProgress>,
    stopped: BTreeMap<Box<str>, StoppedPlan>,
    #[serde(rename = "census")]
    pool_sizes: BTreeMap<Box<str>, PoolSize>,
    store_busy_until_ms: WallMs,
    /// Versions of adapters by endpoint and adapter.
    adapters: BTreeMap<InstanceName, BTreeMap<Box<str>, Box<str>>>,
    stops: BTreeMap<Box<str>, StopRecord>,
}

impl Upgrades {
    /// Returns the number that rises with every change of this record.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the upgrades of endpoints that are under way.
    #[must_use]
    pub fn in_progress(&self) -> &BTreeMap<InstanceName, UpgradeProgress> {
        &self.in_progress
    }

    /// Returns the plans that have stopped, by name.
    #[must_use]
    pub fn stopped(&self) -> &BTreeMap<Box<str>, StoppedPlan> {
        &self.stopped
    }

    /// Returns the last count of a pool's endpoints.
    #[must_use]
    pub fn pool_size(&self, pool: &str) -> Option<PoolSize> {
        self.pool_sizes.get(pool).copied()
    }

    /// Returns when the weight store has read everything ordered so far.
    #[must_use]
    pub fn store_busy_until_ms(&self) -> WallMs {
        self.store_busy_until_ms
    }

    /// Returns the version of an adapter that an endpoint was last brought to.
    #[must_use]
    pub fn adapter(&self, instance: &str, adapter: &str) -> Option<&str> {
        let version = self.adapters.get(instance)?.get(adapter)?;
        Some(version)
    }

    /// Returns the names of the adapters that any endpoint holds.
    #[must_use]
    pub fn adapters(&self) -> BTreeSet<&str> {
        let held = self.adapters.values().flat_map(BTreeMap::keys);
        held.map(|adapter| &**adapter).collect()
    }

    /// Returns the planned stops that have begun, by name.
    #[must_use]
    pub fn stops(&self) -> &BTreeMap<Box<str>, StopRecord> {
        &self.stops
    }

    pub(crate) fn advance(&mut self) {
        self.revision += 1;
    }

    pub(crate) fn put_progress(&mut self, instance: InstanceName, progress: UpgradeProgress) {
        self.in_progress.insert(instance, progress);
    }

    /// Ends an endpoint's upgrade; returns whether there was one.
    pub(crate) fn end_progress(&mut self, instance: &str) -> bool {
        self.in_progress.remove(instance).is_some()
    }

    /// Takes a step that concerns this record alone.
    pub(crate) fn apply(&mut self, step: UpgradeStep, now_ms: WallMs) {
        match step {
            UpgradeStep::Count { pool, endpoints } => {
                let at_ms = now_ms;
                self.pool_sizes.insert(pool, PoolSize { endpoints, at_ms });
            }
            UpgradeStep::ReserveStore { busy_until_ms } => self.store_busy_until_ms = busy_until_ms,
            UpgradeStep::End { instance } => _ = self.in_progress.remove(&instance),
            UpgradeStep::NoteAdapter {
                instance,
                adapter,
                version,
            } => {
                let held = self.adapters.entry(instance).or_default();
                held.insert(adapter, version);
            }
            UpgradeStep::ForgetAdapter { adapter } => {
                for held in self.adapters.values_mut() {
                    held.remove(&adapter);
                }
                self.adapters.retain(|_, held| !held.is_empty());
            }
            UpgradeStep::StopPlan {
                plan,
                upgrade,
                reason,
            } => {
                let at_ms = now_ms;
                let stopped = StoppedPlan {
                    upgrade,
                    reason,
                    at_ms,
                };
                self.stopped.insert(plan, stopped);
            }
            UpgradeStep::ClearPlan { plan } => _ = self.stopped.remove(&plan),
            UpgradeStep::BeginStop { name, record } => _ = self.stops.insert(name, record),
            UpgradeStep::MoveStop {
                name,
                instance,
                phase,
            } => {
                if let Some(record) = self.stops.get_mut(&name) {
                    record.instances.insert(instance, phase);
                }
            }
            UpgradeStep::ClearStop { name } => _ = self.stops.remove(&name),
            UpgradeStep::Put { .. } | UpgradeStep::Drain { .. } | UpgradeStep::EndDrain { .. } => {}
        }
    }
}
