//! The decision which steps are due, assembled from its parts.

use std::collections::{BTreeMap, BTreeSet};

use hinge_config::effective::Upgrade;
use hinge_state::upgrades::{StopPhase, StopReason, UpgradeCommand};
use hinge_state::{UpgradeStep, WallMs};

use crate::capacity::Pools;
use crate::fleet::Fleet;
use crate::report::{PlanReport, StopReport};
use crate::store::StoreBudget;
use crate::{plans, progress, stops};

/// Steps of one decision after which nothing new begins, so that the command stays below 256 KB; the rest follows a tick later.
pub const MAX_STEPS: usize = 512;

/// Age after which the recorded size of a pool may decrease; a night's upgrade is over by then.
const POOL_SIZE_AGE_MS: u64 = 12 * 60 * 60 * 1000;

/// The steps that are due, and the status of plans and stops before them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Decision {
    /// Steps to propose; none if nothing is due.
    pub command: Option<UpgradeCommand>,
    /// Plans of the folder, by name.
    pub plans: Vec<PlanReport>,
    /// Planned stops of the folder, by name.
    pub stops: Vec<StopReport>,
}

/// The steps of a decision so far, and their effects on later steps.
#[derive(Debug)]
pub(crate) struct Draft<'a> {
    pub(crate) steps: Vec<UpgradeStep>,
    pub(crate) pools: Pools<'a>,
    pub(crate) store: StoreBudget,
    /// Plans that this decision stops because of a failure.
    pub(crate) stopped: BTreeMap<Box<str>, StopReason>,
    /// Instances that this decision drains, at which nothing else may begin.
    pub(crate) drained: BTreeSet<&'a str>,
}

impl Draft<'_> {
    pub(crate) fn is_full(&self) -> bool {
        self.steps.len() >= MAX_STEPS
    }

    /// Stops a plan at its first failure.
    pub(crate) fn stop_plan(&mut self, plan: &str, upgrade: &Upgrade, reason: StopReason) {
        if self.stopped.contains_key(plan) {
            return;
        }
        self.stopped.insert(plan.into(), reason.clone());
        self.steps.push(UpgradeStep::StopPlan {
            plan: plan.into(),
            upgrade: upgrade.clone(),
            reason,
        });
    }
}

/// Decides which steps are due.
///
/// Upgrades in progress come first, then planned stops, then further endpoints, so that a stop isn't delayed by an upgrade
/// that could wait.
#[must_use]
pub fn decide(fleet: &Fleet<'_>) -> Decision {
    let rate = fleet.effective.limits.weight_store_bytes_per_second;
    let mut draft = Draft {
        steps: Vec::new(),
        pools: Pools::count(fleet),
        store: StoreBudget::new(rate, fleet.upgrades.store_busy_until_ms()),
        stopped: BTreeMap::new(),
        drained: BTreeSet::new(),
    };
    count_pools(fleet, &mut draft);
    plans::clear(fleet, &mut draft);
    for (instance, progress) in fleet.upgrades.in_progress() {
        progress::advance(fleet, instance, progress, &mut draft);
    }
    let stops = stops::advance(fleet, &mut draft);
    let plans = plans::begin(fleet, &mut draft);
    Decision {
        command: to_command(fleet, draft.steps),
        plans,
        stops,
    }
}

fn to_command(fleet: &Fleet<'_>, steps: Vec<UpgradeStep>) -> Option<UpgradeCommand> {
    if steps.is_empty() {
        return None;
    }
    Some(UpgradeCommand {
        revision: fleet.upgrades.revision(),
        config_version: fleet.config_version,
        steps,
        now_ms: fleet.now_ms,
    })
}

/// Records the sizes of the pools if any plan or stop may take endpoints out of service.
fn count_pools(fleet: &Fleet<'_>, draft: &mut Draft<'_>) {
    if fleet.effective.upgrades.is_empty() && fleet.effective.stops.is_empty() {
        return;
    }
    let busy = busy_pools(fleet);
    for (name, _) in fleet.effective.pools.iter() {
        let live = u64::try_from(fleet.pool(name).count()).unwrap_or(u64::MAX);
        let is_due = match fleet.upgrades.pool_size(name) {
            None => live > 0,
            Some(size) if live > size.endpoints => true,
            // Without this, a pool that has shrunk for good would block its plans forever.
            Some(size) => {
                let is_old = is_older(size.at_ms, POOL_SIZE_AGE_MS, fleet.now_ms);
                live < size.endpoints && is_old && !busy.contains(name)
            }
        };
        if is_due {
            draft.steps.push(UpgradeStep::Count {
                pool: name.into(),
                endpoints: live,
            });
        }
    }
}

/// Returns the pools with an endpoint that is being upgraded or stopped.
fn busy_pools<'a>(fleet: &'a Fleet<'_>) -> BTreeSet<&'a str> {
    let in_progress = fleet.upgrades.in_progress().values();
    let mut busy: BTreeSet<_> = in_progress
        .map(|progress| &*progress.upgrade.pool)
        .collect();
    for record in fleet.upgrades.stops().values() {
        let is_draining = |phase: &StopPhase| matches!(phase, StopPhase::Draining { .. });
        if !record.instances.values().any(is_draining) {
            continue;
        }
        match &record.stop.pool {
            Some(pool) => _ = busy.insert(pool),
            // An instance that is gone has no pool in the record, so every pool may be affected.
            None => busy.extend(fleet.effective.pools.iter().map(|(name, _)| name)),
        }
    }
    busy
}

/// Returns whether a time is more than an age ago.
pub(crate) fn is_older(at_ms: WallMs, age_ms: u64, now_ms: WallMs) -> bool {
    now_ms.saturating_sub(at_ms) > age_ms
}
