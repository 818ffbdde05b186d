//! The start of upgrades of further endpoints.

use hinge_config::effective::Upgrade;
use hinge_state::UpgradeStep;
use hinge_state::upgrades::{EndpointStep, UpgradeProgress};

use crate::decide::Draft;
use crate::fleet::{Endpoint, Fleet};
use crate::progress::{drain_owner, load_order, subject};
use crate::report::{PlanReport, WaitReason};
use crate::window;

/// Clears the records of stopped plans that have changed in the folder, and of adapters that it no longer names.
pub(crate) fn clear(fleet: &Fleet<'_>, draft: &mut Draft<'_>) {
    for (plan, stopped) in fleet.upgrades.stopped() {
        if fleet.effective.upgrades.get(plan) != Some(&stopped.upgrade) {
            draft
                .steps
                .push(UpgradeStep::ClearPlan { plan: plan.clone() });
        }
    }
    forget_adapters(fleet, draft);
}

fn forget_adapters(fleet: &Fleet<'_>, draft: &mut Draft<'_>) {
    for adapter in fleet.upgrades.adapters() {
        let mut plans = fleet.effective.upgrades.iter();
        if !plans.any(|(_, plan)| plan.adapter.as_deref() == Some(adapter)) {
            let adapter = adapter.into();
            draft.steps.push(UpgradeStep::ForgetAdapter { adapter });
        }
    }
}

/// Begins the upgrades that may begin, and reports on every plan.
pub(crate) fn begin<'a>(fleet: &Fleet<'a>, draft: &mut Draft<'a>) -> Vec<PlanReport> {
    let plans = fleet.effective.upgrades.iter();
    plans
        .map(|(name, upgrade)| begin_plan(fleet, name, upgrade, draft))
        .collect()
}

fn begin_plan<'a>(
    fleet: &Fleet<'a>,
    name: &str,
    upgrade: &Upgrade,
    draft: &mut Draft<'a>,
) -> PlanReport {
    let mut report = report(fleet, name, upgrade, draft);
    if report.stopped.is_some() {
        return report;
    }
    let outdated: Vec<_> = fleet
        .pool(&upgrade.pool)
        .filter(|endpoint| !has_version(fleet, endpoint, upgrade))
        .copied()
        .collect();
    if let Some(other) = conflicting_plan(fleet, name, upgrade) {
        report.wait = (!outdated.is_empty()).then(|| WaitReason::OtherPlan { plan: other.into() });
        return report;
    }
    let ready: Vec<_> = outdated
        .iter()
        .filter(|endpoint| is_ready(fleet, endpoint, draft))
        .collect();
    for endpoint in &ready {
        if draft.is_full() {
            return report;
        }
        if let Err(wait) = may_begin(fleet, upgrade, report.upgrading, draft) {
            report.wait = Some(wait);
            return report;
        }
        begin_endpoint(fleet, name, upgrade, endpoint, draft);
        report.upgrading += 1;
    }
    report.wait = remaining_wait(fleet, &report, &outdated, ready.len());
    report
}

fn report(fleet: &Fleet<'_>, name: &str, upgrade: &Upgrade, draft: &Draft<'_>) -> PlanReport {
    let endpoints = fleet.pool(&upgrade.pool);
    let done = endpoints.filter(|endpoint| has_version(fleet, endpoint, upgrade));
    let in_progress = fleet.upgrades.in_progress().values();
    let upgrading = in_progress.filter(|progress| *progress.plan == *name);
    let in_log = fleet.upgrades.stopped().get(name);
    let in_log = in_log.filter(|stopped| stopped.upgrade == *upgrade);
    let in_log = in_log.map(|stopped| &stopped.reason);
    PlanReport {
        plan: name.into(),
        pool: upgrade.pool.clone(),
        version: upgrade.version.clone(),
        done: to_u64(done.count()),
        upgrading: to_u64(upgrading.count()),
        total: draft.pools.get(&upgrade.pool).total,
        stopped: draft.stopped.get(name).or(in_log).cloned(),
        wait: None,
    }
}

/// Returns whether an endpoint serves the plan's version.
fn has_version(fleet: &Fleet<'_>, endpoint: &Endpoint<'_>, upgrade: &Upgrade) -> bool {
    let version = &*upgrade.version;
    match &upgrade.adapter {
        Some(adapter) => fleet.upgrades.adapter(endpoint.instance, adapter) == Some(version),
        None => endpoint.model_version == version,
    }
}

/// Returns an earlier plan for the same target; two plans with different versions would undo each other forever.
fn conflicting_plan<'a>(fleet: &'a Fleet<'_>, name: &str, upgrade: &Upgrade) -> Option<&'a str> {
    let earlier = fleet.effective.upgrades.iter();
    let mut earlier = earlier.take_while(|(other, _)| *other != name);
    let same = earlier.find(|(_, other)| {
        // An endpoint announces only one model version, so a pool can have one plan for models.
        other.pool == upgrade.pool
            && other.adapter.is_some() == upgrade.adapter.is_some()
            && (upgrade.adapter.is_none() || subject(other) == subject(upgrade))
    });
    same.map(|(other, _)| other)
}

fn is_ready(fleet: &Fleet<'_>, endpoint: &Endpoint<'_>, draft: &Draft<'_>) -> bool {
    let is_upgrading = fleet.upgrades.in_progress().contains_key(endpoint.instance);
    fleet.is_in_service(endpoint) && !is_upgrading && !draft.drained.contains(endpoint.instance)
}

/// Checks whether a further endpoint of a plan may begin now; the store comes last, because the check reserves its bytes.
fn may_begin(
    fleet: &Fleet<'_>,
    upgrade: &Upgrade,
    upgrading: u64,
    draft: &mut Draft<'_>,
) -> Result<(), WaitReason> {
    if let Some(until_ms) = window::opens_at_ms(upgrade.window.as_ref(), fleet.now_ms) {
        return Err(WaitReason::Window { until_ms });
    }
    if upgrading >= u64::from(upgrade.max_parallel) {
        return Err(WaitReason::Parallel);
    }
    let capacity = draft.pools.get(&upgrade.pool);
    if capacity.needs_all() {
        return Err(WaitReason::FloorNeedsAll);
    }
    if !capacity.has_room() {
        return Err(WaitReason::Floor {
            in_service: capacity.in_service,
            needed: capacity.needed,
        });
    }
    let reserved = draft.store.reserve(fleet.now_ms, upgrade.weight_bytes);
    match reserved {
        Ok(None) => Ok(()),
        Ok(Some(busy_until_ms)) => {
            draft
                .steps
                .push(UpgradeStep::ReserveStore { busy_until_ms });
            Ok(())
        }
        Err(until_ms) => Err(WaitReason::Store { until_ms }),
    }
}

fn begin_endpoint<'a>(
    fleet: &Fleet<'a>,
    plan: &str,
    upgrade: &Upgrade,
    endpoint: &Endpoint<'a>,
    draft: &mut Draft<'a>,
) {
    let instance = endpoint.instance;
    let from_version = match &upgrade.adapter {
        Some(adapter) => fleet.upgrades.adapter(instance, adapter),
        None => Some(endpoint.model_version),
    };
    // Requests running there have at most the pool's deadline left, unless their callers set longer ones.
    let pool = fleet.effective.pools.get(&upgrade.pool);
    let drain_ms = pool.map_or(0, |pool| pool.deadline_ms);
    draft.steps.push(UpgradeStep::Drain {
        instance: instance.into(),
        by: drain_owner(plan),
        deadline_ms: drain_ms,
    });
    draft.steps.push(UpgradeStep::Put {
        instance: instance.into(),
        progress: UpgradeProgress {
            plan: plan.into(),
            upgrade: upgrade.clone(),
            from_version: from_version.unwrap_or_default().into(),
            drained_by_ms: fleet.now_ms.saturating_add(drain_ms),
            step: EndpointStep::Loading,
            step_at_ms: fleet.now_ms,
            order_id: 0,
        },
        order: Some(load_order(upgrade)),
    });
    draft.pools.remove_one(endpoint.pool);
    draft.drained.insert(instance);
}

/// Returns why a plan isn't done although no endpoint is ready.
fn remaining_wait(
    fleet: &Fleet<'_>,
    report: &PlanReport,
    outdated: &[Endpoint<'_>],
    begun: usize,
) -> Option<WaitReason> {
    let in_progress = fleet.upgrades.in_progress();
    let is_own = |endpoint: &&Endpoint<'_>| {
        let progress: Option<&UpgradeProgress> = in_progress.get(endpoint.instance);
        progress.is_some_and(|progress| progress.plan == report.plan)
    };
    let own = outdated.iter().filter(is_own).count();
    let others = to_u64(outdated.len().saturating_sub(own + begun));
    if others > 0 {
        return Some(WaitReason::OutOfService { endpoints: others });
    }
    let live = report.done + to_u64(outdated.len());
    let gone = report.total.saturating_sub(live);
    (gone > 0).then_some(WaitReason::Gone { endpoints: gone })
}

fn to_u64(count: usize) -> u64 {
    u64::try_from(count).unwrap_or(u64::MAX)
}
