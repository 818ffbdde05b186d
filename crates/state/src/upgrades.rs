//! The record of the progress of upgrades and planned stops.
//!
//! The planner is stateless: it reads this record, the orders, the drains and the announcements, and proposes steps for
//! exactly one revision of the record. Steps for another revision are ignored, so a step that two leaders propose, or that
//! arrives late, is applied once.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use hinge_config::effective::{Stop, Upgrade};
use hinge_schema::messages::OrderKind;
use serde::{Deserialize, Serialize};

use crate::{InstanceName, OrderId, WallMs};

/// The step that an endpoint's upgrade is at.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndpointStep {
    /// The endpoint takes no new work, and loads the new version beside the old one.
    Loading,
    /// The endpoint is ordered to serve the new version.
    Switching,
    /// The endpoint is back in service, and must report that it serves the new version.
    Verifying,
    /// The endpoint serves the new version, and unloads the old one.
    Unloading,
    /// The endpoint goes back to the old version.
    RollingBack,
}

impl EndpointStep {
    /// Returns whether the endpoint is out of service.
    #[must_use]
    pub fn is_out_of_service(self) -> bool {
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

/// The progress of one endpoint's upgrade.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpgradeProgress {
    /// Name of the plan.
    pub plan: Box<str>,
    /// Plan as it was when this upgrade began; later changes of the folder don't affect what was ordered.
    pub upgrade: Upgrade,
    /// Version to roll back to; empty if the endpoint announced none.
    pub from_version: Box<str>,
    /// Deadline of running work.
    pub drained_by_ms: WallMs,
    /// Current step.
    pub step: EndpointStep,
    /// Start of the step.
    pub step_at_ms: WallMs,
    /// Order of the step; 0 if there is none.
    pub order_id: OrderId,
}

/// The reason why a plan has stopped.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StopReason {
    /// An endpoint failed an order.
    OrderFailed {
        /// Endpoint.
        instance: InstanceName,
        /// Kind of the order.
        kind: OrderKind,
        /// Text of the endpoint's answer.
        detail: Box<str>,
    },
    /// An operator's later order replaced the plan's, or the order is no longer recorded.
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

/// A plan that has stopped; it resumes once the folder holds a different plan under its name.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoppedPlan {
    /// Plan that stopped.
    pub upgrade: Upgrade,
    /// Reason.
    pub reason: StopReason,
    /// Time of the stop.
    pub at_ms: WallMs,
}

/// The recorded size of a pool, by which missing endpoints count as out of service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolSize {
    /// Endpoints.
    pub endpoints: u64,
    /// Time of the count.
    pub at_ms: WallMs,
}

/// The phase of one instance's planned stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum StopPhase {
    /// The instance still takes work, because the floor allows no further stop or its upgrade is in progress.
    Waiting {
        /// Incarnation that was live when the stop began.
        incarnation: u64,
    },
    /// The instance takes no new work.
    Draining {
        /// Incarnation to stop; a later one means that the instance was stopped and is back.
        incarnation: u64,
        /// Time at which the drain was requested.
        asked_at_ms: WallMs,
    },
    /// The instance was stopped and is back.
    Done,
}

/// A planned stop that has begun.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StopRecord {
    /// Stop as it was when it began.
    pub stop: Stop,
    /// Instances that were live then, by name.
    pub instances: BTreeMap<InstanceName, StopPhase>,
}

/// An order that is placed with a step.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepOrder {
    /// Kind of order.
    pub kind: OrderKind,
    /// Model or adapter.
    pub subject: Box<str>,
    /// Version.
    pub version: Box<str>,
}

/// One change of the upgrade record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum UpgradeStep {
    /// Records the size of a pool.
    Count {
        /// Pool.
        pool: Box<str>,
        /// Endpoints.
        endpoints: u64,
    },
    /// Reserves the weight store for a load.
    #[serde(rename = "TakeStore")]
    ReserveStore {
        /// Time by which everything ordered so far has been read at the store's rate.
        busy_until_ms: WallMs,
    },
    /// Begins or advances an endpoint's upgrade, with an order if one is due; the state sets the order's number and the time.
    Put {
        /// Endpoint.
        instance: InstanceName,
        /// New progress.
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
    /// Records the version of an adapter on an endpoint; announcements cover only models.
    #[serde(rename = "Hold")]
    RecordAdapter {
        /// Endpoint.
        instance: InstanceName,
        /// Adapter.
        adapter: Box<str>,
        /// Version.
        version: Box<str>,
    },
    /// Removes the record of an adapter that no plan of the folder names; a plan that returns loads it again.
    ForgetAdapter {
        /// Adapter.
        adapter: Box<str>,
    },
    /// Drains an instance.
    Drain {
        /// Instance.
        instance: InstanceName,
        /// Plan or planned stop that asks for the drain.
        by: Box<str>,
        /// Time within which running work must end, in milliseconds.
        deadline_ms: u64,
    },
    /// Ends the drain of an instance, unless an operator has drained it since.
    #[serde(rename = "LetBack")]
    EndDrain {
        /// Instance.
        instance: InstanceName,
        /// Plan or planned stop that drained it.
        by: Box<str>,
    },
    /// Stops a plan.
    StopPlan {
        /// Name of the plan.
        plan: Box<str>,
        /// Plan that stops.
        upgrade: Upgrade,
        /// Reason.
        reason: StopReason,
    },
    /// Removes the record that a plan stopped.
    ClearPlan {
        /// Name of the plan.
        plan: Box<str>,
    },
    /// Begins a planned stop.
    BeginStop {
        /// Name of the stop.
        name: Box<str>,
        /// Stop and its instances.
        record: StopRecord,
    },
    /// Records the phase of an instance's planned stop.
    MoveStop {
        /// Name of the stop.
        name: Box<str>,
        /// Instance.
        instance: InstanceName,
        /// New phase.
        phase: StopPhase,
    },
    /// Removes the record of a planned stop that is no longer in the folder.
    ClearStop {
        /// Name of the stop.
        name: Box<str>,
    },
}

/// Steps that were decided on one revision; either all of them are applied or none.
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

/// The upgrades and planned stops in progress, and the records that outlive them.
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
    /// Returns the revision, which increases with every change of this record.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the endpoint upgrades in progress, by instance.
    #[must_use]
    pub fn in_progress(&self) -> &BTreeMap<InstanceName, UpgradeProgress> {
        &self.in_progress
    }

    /// Returns the plans that have stopped, by name.
    #[must_use]
    pub fn stopped(&self) -> &BTreeMap<Box<str>, StoppedPlan> {
        &self.stopped
    }

    /// Returns the recorded size of a pool.
    #[must_use]
    pub fn pool_size(&self, pool: &str) -> Option<PoolSize> {
        self.pool_sizes.get(pool).copied()
    }

    /// Returns the time by which the weight store has read everything ordered so far.
    #[must_use]
    pub fn store_busy_until_ms(&self) -> WallMs {
        self.store_busy_until_ms
    }

    /// Returns the version of an adapter that was last loaded on an endpoint.
    #[must_use]
    pub fn adapter(&self, instance: &str, adapter: &str) -> Option<&str> {
        let version = self.adapters.get(instance)?.get(adapter)?;
        Some(version)
    }

    /// Returns the names of the adapters recorded on any endpoint.
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

    /// Applies a step that changes only this record.
    pub(crate) fn apply(&mut self, step: UpgradeStep, now_ms: WallMs) {
        match step {
            UpgradeStep::Count { pool, endpoints } => {
                let at_ms = now_ms;
                self.pool_sizes.insert(pool, PoolSize { endpoints, at_ms });
            }
            UpgradeStep::ReserveStore { busy_until_ms } => self.store_busy_until_ms = busy_until_ms,
            UpgradeStep::End { instance } => _ = self.in_progress.remove(&instance),
            UpgradeStep::RecordAdapter {
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
