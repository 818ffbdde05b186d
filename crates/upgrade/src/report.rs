//! Reports on the status of plans and stops.

use std::fmt;

use hinge_schema::messages::{StopState, StopStatus, UpgradeState, UpgradeStatus};
use hinge_state::WallMs;
use hinge_state::upgrades::StopReason;

/// The reason why no further endpoint of a plan begins.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WaitReason {
    /// The plan's window is closed.
    Window {
        /// Time at which it opens.
        until_ms: WallMs,
    },
    /// One endpoint fewer would leave the pool below its floor.
    Floor {
        /// Endpoints that take work.
        in_service: u64,
        /// Endpoints that must take work.
        needed: u64,
    },
    /// The floor needs every endpoint, so none can ever be upgraded.
    FloorNeedsAll,
    /// As many upgrades as allowed are in progress.
    Parallel,
    /// The weight store is busy.
    Store {
        /// Time at which it has room.
        until_ms: WallMs,
    },
    /// Endpoints without the version are drained, leaving, ejected or part of another plan.
    OutOfService {
        /// Endpoints.
        endpoints: u64,
    },
    /// Endpoints are missing.
    Gone {
        /// Endpoints.
        endpoints: u64,
    },
    /// An earlier plan brings the same model or adapter to the pool.
    OtherPlan {
        /// Name of the earlier plan.
        plan: Box<str>,
    },
}

impl WaitReason {
    /// Returns the time at which the reason ends, if it is known.
    #[must_use]
    pub fn until_ms(&self) -> Option<WallMs> {
        match self {
            Self::Window { until_ms } | Self::Store { until_ms } => Some(*until_ms),
            _ => None,
        }
    }
}

impl fmt::Display for WaitReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Window { .. } => f.write_str("the window is closed"),
            Self::Floor { in_service, needed } => write!(
                f,
                "the floor needs {needed} endpoints, and {in_service} take work"
            ),
            Self::FloorNeedsAll => {
                f.write_str("the floor needs every endpoint of the pool; lower it or add endpoints")
            }
            Self::Parallel => f.write_str("max_parallel endpoints are under way"),
            Self::Store { .. } => f.write_str("the weight store is busy"),
            Self::OutOfService { endpoints } => {
                write!(f, "{endpoints} endpoints are out of service")
            }
            Self::Gone { endpoints } => write!(f, "{endpoints} endpoints are gone"),
            Self::OtherPlan { plan } => {
                write!(f, "the plan {plan} brings the same to this pool")
            }
        }
    }
}

/// The status of a plan.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlanReport {
    /// Name of the plan.
    pub plan: Box<str>,
    /// Pool.
    pub pool: Box<str>,
    /// Version.
    pub version: Box<str>,
    /// Endpoints that serve the version.
    pub done: u64,
    /// Endpoints that are being upgraded.
    pub upgrading: u64,
    /// Endpoints of the pool.
    pub total: u64,
    /// Reason why the plan has stopped.
    pub stopped: Option<StopReason>,
    /// Reason why no further endpoint begins.
    pub wait: Option<WaitReason>,
}

impl PlanReport {
    /// Returns the state that the report amounts to.
    #[must_use]
    pub fn state(&self) -> UpgradeState {
        if self.stopped.is_some() {
            UpgradeState::Stopped
        } else if self.upgrading > 0 {
            UpgradeState::Walking
        } else if self.done >= self.total {
            UpgradeState::Done
        } else {
            UpgradeState::Waiting
        }
    }

    /// Converts the report to the operators' message.
    #[must_use]
    pub fn to_status(&self) -> UpgradeStatus {
        let waits = self.wait.as_ref().map(WaitReason::to_string);
        let stops = self.stopped.as_ref().map(StopReason::to_string);
        UpgradeStatus {
            plan: self.plan.clone(),
            pool: self.pool.clone(),
            version: self.version.clone(),
            state: self.state(),
            done: to_count(self.done),
            walking: to_count(self.upgrading),
            total: to_count(self.total),
            detail: stops.or(waits).unwrap_or_default().into(),
            until_ms: self
                .wait
                .as_ref()
                .and_then(WaitReason::until_ms)
                .unwrap_or(0),
        }
    }
}

/// The status of a planned stop.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StopReport {
    /// Name of the stop.
    pub stop: Box<str>,
    /// Whether the stop has begun.
    pub has_begun: bool,
    /// Instances that were stopped and are back.
    pub done: u64,
    /// Instances that take no new work.
    pub draining: u64,
    /// Instances of the stop.
    pub total: u64,
    /// Instances that still run after their deadline.
    pub late: Vec<Box<str>>,
    /// Pools that the stop takes below their floor.
    pub below_floor: Vec<Box<str>>,
    /// Instances that wait because of the floor or an upgrade.
    pub waiting: u64,
}

impl StopReport {
    /// Returns the state that the report amounts to.
    #[must_use]
    pub fn state(&self) -> StopState {
        if !self.has_begun {
            StopState::Planned
        } else if !self.late.is_empty() {
            StopState::Late
        } else if self.done >= self.total {
            StopState::Done
        } else {
            StopState::Draining
        }
    }

    /// Converts the report to the operators' message.
    #[must_use]
    pub fn to_status(&self) -> StopStatus {
        let detail = match self.waiting {
            0 => String::new(),
            waiting => format!("{waiting} instances wait for the floor or for their upgrade"),
        };
        StopStatus {
            stop: self.stop.clone(),
            state: self.state(),
            done: to_count(self.done),
            draining: to_count(self.draining),
            total: to_count(self.total),
            late: self.late.clone(),
            below_floor: self.below_floor.clone(),
            detail: detail.into(),
        }
    }
}

fn to_count(count: u64) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}
