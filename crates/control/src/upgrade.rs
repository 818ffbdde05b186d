//! Advances nightly upgrades and planned stops, on the leader.
//!
//! Each run reads the log, the folder and the announcements, decides, and proposes the next steps. Nothing is kept
//! between runs except the merged folder, which is the same wherever it is merged.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use hinge_config::effective::Effective;
use hinge_schema::messages::{AskUpgrades, DrainRecord, Member, OrderRecord, Upgrades};
use hinge_state::{Command, Folder, InstanceName, OrderId, State, UpgradeStep, WallMs};
use hinge_telemetry::log::Part;
use hinge_telemetry::{info, warn};
use hinge_upgrade::{Decision, Endpoint, Fleet, decide};

use crate::core::{Core, Leadership, unix_now_ms};
use crate::driver::LogError;

#[cfg(test)]
mod tests;

/// The upgrade planner, with the cached merged folder and whether a run is in progress.
#[derive(Debug, Clone, Default)]
pub(crate) struct Planner(Arc<PlannerState>);

#[derive(Debug, Default)]
struct PlannerState {
    is_running: AtomicBool,
    merged: Mutex<Option<(u64, Arc<Effective>)>>,
    /// Instances past their deadline, so that each is logged once.
    late: Mutex<BTreeSet<InstanceName>>,
}

/// The inputs to the planner that come from the log.
struct LogState {
    folder: Folder,
    upgrades: hinge_state::Upgrades,
    orders: BTreeMap<OrderId, OrderRecord>,
    drains: Vec<DrainRecord>,
    now_ms: WallMs,
}

impl LogState {
    fn read(state: &State) -> Self {
        Self {
            folder: state.changes().folder().clone(),
            upgrades: state.upgrades().clone(),
            orders: state.upgrade_orders(),
            drains: state.drains(),
            now_ms: state.now_ms(),
        }
    }
}

/// A live member, and what control knows of it beyond its announcement.
struct LiveMember {
    member: Member,
    /// Whether it is kept out of the published list, because it flaps or isn't published yet.
    is_held_back: bool,
    /// Number of running requests, if known.
    running: Option<u32>,
}

impl Planner {
    /// Starts a run, unless the last one is still in progress.
    pub(crate) fn run(&self, core: &Arc<Core>) {
        if self.0.is_running.swap(true, Ordering::AcqRel) {
            return;
        }
        let (planner, core) = (self.clone(), Arc::clone(core));
        tokio::spawn(async move {
            // A lost proposal is decided again in the next run.
            let _may_be_lost = planner.step(&core).await;
            planner.0.is_running.store(false, Ordering::Release);
        });
    }

    async fn step(&self, core: &Arc<Core>) -> Result<(), LogError> {
        let decision = self.decide(core).await?;
        self.log_late(&decision);
        if let Some(command) = decision.command {
            log_steps(&command.steps);
            core.propose(Command::Upgrade(command)).await?;
        }
        Ok(())
    }

    /// Returns the status of upgrades and planned stops for an operator.
    pub(crate) async fn report(
        &self,
        core: &Arc<Core>,
        ask: &AskUpgrades,
    ) -> Result<Upgrades, LogError> {
        let decision = self.decide(core).await?;
        let is_asked = |name: &str| ask.name.is_empty() || *ask.name == *name;
        let plans = decision.plans.iter().filter(|plan| is_asked(&plan.plan));
        let stops = decision.stops.iter().filter(|stop| is_asked(&stop.stop));
        Ok(Upgrades {
            plans: plans.map(hinge_upgrade::PlanReport::to_status).collect(),
            stops: stops.map(hinge_upgrade::StopReport::to_status).collect(),
        })
    }

    async fn decide(&self, core: &Arc<Core>) -> Result<Decision, LogError> {
        let Leadership::Local(term) = core.leadership() else {
            return Err(LogError::NotLeader);
        };
        let live = live_members(core, term).ok_or(LogError::NotLeader)?;
        let log = core.read(|state, _| LogState::read(state)).await?;
        let planner = self.clone();
        // Merging a large folder takes milliseconds, too long for the async threads.
        let decided = tokio::task::spawn_blocking(move || planner.decide_on(&live, &log)).await;
        decided.map_err(|_stopped| LogError::Stopped)?
    }

    fn decide_on(&self, live: &[LiveMember], log: &LogState) -> Result<Decision, LogError> {
        let effective = self.merged(&log.folder).ok_or(LogError::Stopped)?;
        let endpoints = live
            .iter()
            .map(|live| (&*live.member.instance, live.into()));
        Ok(decide(&Fleet {
            now_ms: unix_now_ms().max(log.now_ms),
            config_version: log.folder.version(),
            effective: &effective,
            endpoints: endpoints.collect(),
            upgrades: &log.upgrades,
            orders: &log.orders,
            drained: Fleet::drained_names(&log.drains),
        }))
    }

    /// Returns the merged folder, or `None` if a newer version accepted one that is not valid here; nothing is decided
    /// then.
    fn merged(&self, folder: &Folder) -> Option<Arc<Effective>> {
        let mut merged = self.0.merged.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some((version, effective)) = &*merged
            && *version == folder.version()
        {
            return Some(Arc::clone(effective));
        }
        let effective = Arc::new(Effective::merge(folder.files()).ok()?);
        *merged = Some((folder.version(), Arc::clone(&effective)));
        Some(effective)
    }

    fn log_late(&self, decision: &Decision) {
        let stops = decision.stops.iter();
        let late = stops.flat_map(|stop| stop.late.iter().map(move |name| (&stop.stop, name)));
        let mut logged = self.0.late.lock().unwrap_or_else(PoisonError::into_inner);
        let mut now_late = BTreeSet::new();
        for (stop, name) in late {
            if !logged.contains(name) {
                warn!(
                    Part::Control,
                    "The deadline of a planned stop has passed.",
                    stop = stop,
                    instance = name
                );
            }
            now_late.insert(name.clone());
        }
        *logged = now_late;
    }
}

/// Returns the live members, once every live process has had the time to announce itself to this leader.
fn live_members(core: &Core, term: u64) -> Option<Vec<LiveMember>> {
    let soft = core.soft();
    let members = soft.members.as_ref().filter(|_| soft.term == term)?;
    if !members.is_complete() {
        return None;
    }
    let roster = members.roster();
    let live = members.live().map(|member| {
        let listed = roster.get(&member.instance);
        LiveMember {
            member: member.clone(),
            is_held_back: listed.is_none_or(|listed| listed.leaving && !member.leaving),
            running: members.running(&member.instance),
        }
    });
    Some(live.collect())
}

impl<'a> From<&'a LiveMember> for Endpoint<'a> {
    fn from(live: &'a LiveMember) -> Self {
        let member = &live.member;
        Self {
            instance: &member.instance,
            incarnation: member.incarnation,
            role: member.role,
            data_center: &member.data_center,
            pool: &member.pool,
            model_version: &member.model_version,
            is_leaving: member.leaving,
            is_ejected: live.is_held_back || member.ejected == Some(true),
            running: live.running,
        }
    }
}

fn log_steps(steps: &[UpgradeStep]) {
    for step in steps {
        match step {
            UpgradeStep::Put {
                instance, progress, ..
            } => info!(
                Part::Control,
                "An upgrade advances.",
                plan = progress.plan,
                instance = instance,
                step = progress.step
            ),
            UpgradeStep::StopPlan { plan, reason, .. } => warn!(
                Part::Control,
                "An upgrade plan has stopped.",
                plan = plan,
                cause = reason
            ),
            UpgradeStep::BeginStop { name, record } => info!(
                Part::Control,
                "A planned stop begins.",
                stop = name,
                instances = record.instances.len()
            ),
            _ => {}
        }
    }
}
