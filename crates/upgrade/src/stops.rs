//! The steps of planned stops.

use hinge_config::effective::Stop;
use hinge_schema::messages::Role;
use hinge_state::UpgradeStep;
use hinge_state::upgrades::{StopPhase, StopRecord};

use crate::decide::{Draft, is_older};
use crate::fleet::{Endpoint, Fleet};
use crate::report::StopReport;

/// Advances every planned stop, and reports on each stop of the folder.
pub(crate) fn advance<'a>(fleet: &Fleet<'a>, draft: &mut Draft<'a>) -> Vec<StopReport> {
    for (name, record) in fleet.upgrades.stops() {
        if fleet.effective.stops.get(name) != Some(&record.stop) {
            clear(name, record, draft);
        }
    }
    let stops = fleet.effective.stops.iter();
    stops
        .map(|(name, stop)| advance_one(fleet, name, stop, draft))
        .collect()
}

/// Ends a stop that was removed from the folder or changed; a changed one begins again a tick later.
fn clear(name: &str, record: &StopRecord, draft: &mut Draft<'_>) {
    for (instance, phase) in &record.instances {
        if matches!(phase, StopPhase::Draining { .. }) {
            draft.steps.push(UpgradeStep::EndDrain {
                instance: instance.clone(),
                by: drain_owner(name),
            });
        }
    }
    draft
        .steps
        .push(UpgradeStep::ClearStop { name: name.into() });
}

fn advance_one<'a>(
    fleet: &Fleet<'a>,
    name: &str,
    stop: &Stop,
    draft: &mut Draft<'a>,
) -> StopReport {
    let mut report = StopReport {
        stop: name.into(),
        ..StopReport::default()
    };
    let record = fleet.upgrades.stops().get(name);
    match record {
        Some(record) if record.stop == *stop => {
            report.has_begun = true;
            for (instance, phase) in &record.instances {
                report.total += 1;
                advance_instance(fleet, stop, instance, *phase, draft, &mut report);
            }
            if is_whole_data_center(stop) {
                report.below_floor = below_floor(fleet, record, draft);
            }
        }
        Some(_changed) => {}
        None if fleet.now_ms >= stop.from => begin(fleet, name, stop, draft),
        None => {}
    }
    report
}

/// Begins a stop of the instances that are live now, so that instances started later aren't stopped needlessly.
fn begin(fleet: &Fleet<'_>, name: &str, stop: &Stop, draft: &mut Draft<'_>) {
    let endpoints = fleet.endpoints.values();
    let affected = endpoints.filter(|endpoint| is_affected(stop, endpoint));
    let instances = affected.map(|endpoint| {
        let incarnation = endpoint.incarnation;
        let phase = StopPhase::Waiting { incarnation };
        (Fleet::instance_name(endpoint.instance), phase)
    });
    draft.steps.push(UpgradeStep::BeginStop {
        name: name.into(),
        record: StopRecord {
            stop: stop.clone(),
            instances: instances.collect(),
        },
    });
}

fn is_affected(stop: &Stop, endpoint: &Endpoint<'_>) -> bool {
    let is_instance = stop.instance.as_deref();
    if let Some(instance) = is_instance {
        return instance == endpoint.instance;
    }
    let is_there = |data_center: &str| data_center == endpoint.data_center;
    let is_of = |pool: &str| endpoint.role == Role::Sidecar && pool == endpoint.pool;
    stop.data_center.as_deref().is_none_or(is_there) && stop.pool.as_deref().is_none_or(is_of)
}

/// Returns whether the stop covers a whole data centre, which by the operator's decision overrides the floor.
fn is_whole_data_center(stop: &Stop) -> bool {
    stop.data_center.is_some() && stop.pool.is_none()
}

fn advance_instance<'a>(
    fleet: &Fleet<'a>,
    stop: &Stop,
    instance: &str,
    phase: StopPhase,
    draft: &mut Draft<'a>,
    report: &mut StopReport,
) {
    let endpoint = fleet.endpoints.get(instance);
    let (incarnation, asked_at_ms) = match phase {
        StopPhase::Waiting { incarnation } => (incarnation, None),
        StopPhase::Draining {
            incarnation,
            asked_at_ms,
        } => (incarnation, Some(asked_at_ms)),
        StopPhase::Done => {
            report.done += 1;
            return;
        }
    };
    if endpoint.is_some_and(|endpoint| endpoint.incarnation != incarnation) {
        end(&report.stop, instance, draft);
        report.done += 1;
        return;
    }
    match (asked_at_ms, endpoint) {
        (Some(asked_at_ms), Some(_)) => {
            report.draining += 1;
            if is_older(asked_at_ms, stop.deadline_ms, fleet.now_ms) {
                report.late.push(instance.into());
            }
        }
        (Some(_), None) => report.draining += 1,
        (None, Some(endpoint)) if may_drain(fleet, stop, endpoint, draft) => {
            drain(fleet, stop, endpoint, draft, report);
        }
        (None, _) => report.waiting += 1,
    }
}

fn may_drain(fleet: &Fleet<'_>, stop: &Stop, endpoint: &Endpoint<'_>, draft: &Draft<'_>) -> bool {
    let is_upgrading = fleet.upgrades.in_progress().contains_key(endpoint.instance);
    if draft.is_full() || is_upgrading {
        return false;
    }
    // Another stop of this decision may already drain it.
    let serves = endpoint.role == Role::Sidecar
        && fleet.is_in_service(endpoint)
        && !draft.drained.contains(endpoint.instance);
    is_whole_data_center(stop) || !serves || draft.pools.get(endpoint.pool).has_room()
}

fn drain<'a>(
    fleet: &Fleet<'a>,
    stop: &Stop,
    endpoint: &Endpoint<'a>,
    draft: &mut Draft<'a>,
    report: &mut StopReport,
) {
    let instance = Fleet::instance_name(endpoint.instance);
    let is_first = draft.drained.insert(endpoint.instance);
    if is_first && endpoint.role == Role::Sidecar && fleet.is_in_service(endpoint) {
        draft.pools.remove_one(endpoint.pool);
    }
    draft.steps.push(UpgradeStep::Drain {
        instance: instance.clone(),
        by: drain_owner(&report.stop),
        deadline_ms: stop.deadline_ms,
    });
    draft.steps.push(UpgradeStep::MoveStop {
        name: report.stop.clone(),
        instance,
        phase: StopPhase::Draining {
            incarnation: endpoint.incarnation,
            asked_at_ms: fleet.now_ms,
        },
    });
    report.draining += 1;
}

/// Ends the drain of an instance that was stopped and started again.
fn end(name: &str, instance: &str, draft: &mut Draft<'_>) {
    draft.steps.push(UpgradeStep::EndDrain {
        instance: instance.into(),
        by: drain_owner(name),
    });
    draft.steps.push(UpgradeStep::MoveStop {
        name: name.into(),
        instance: instance.into(),
        phase: StopPhase::Done,
    });
}

fn below_floor(fleet: &Fleet<'_>, record: &StopRecord, draft: &Draft<'_>) -> Vec<Box<str>> {
    let endpoints = record
        .instances
        .keys()
        .filter_map(|name| fleet.endpoints.get(&**name));
    let affected: Vec<_> = endpoints.map(|endpoint| endpoint.pool).collect();
    let below = draft.pools.below_floor();
    below
        .filter(|pool| affected.contains(pool))
        .map(Box::from)
        .collect()
}

fn drain_owner(stop: &str) -> Box<str> {
    format!("stop/{stop}").into()
}
