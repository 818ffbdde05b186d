//! Moves nightly upgrades and planned stops on, as the leader.
//!
//! Each look reads the log, the folder and the announcements, decides, and proposes what is due. Nothing is kept from one
//! look to the next but the merged folder, which is the same wherever it is merged.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use hinge_config::effective::Effective;
use hinge_schema::messages::{AskUpgrades, DrainRecord, Member, OrderRecord, Upgrades};
use hinge_state::{Command, Folder, InstanceName, OrderId, State, UpgradeStep, WallMs};
use hinge_telemetry::log::Part;
use hinge_telemetry::{info, warn};
use hinge_upgrade::{Decision, Endpoint, Fleet, decide};

use crate::core::{Core, Place, wall_ms};
use crate::driver::Refused;

#[cfg(test)]
mod tests;

/// Holds the merged folder, and whether a look is under way.
#[derive(Debug, Clone, Default)]
pub(crate) struct Planner(Arc<Kept>);

#[derive(Debug, Default)]
struct Kept {
    is_looking: AtomicBool,
    merged: Mutex<Option<(u64, Arc<Effective>)>>,
    /// Instances whose deadline has passed, so that each is logged once.
    late: Mutex<BTreeSet<InstanceName>>,
}

/// Holds what the log says.
struct FromLog {
    folder: Folder,
    upgrades: hinge_state::Upgrades,
    orders: BTreeMap<OrderId, OrderRecord>,
    drains: Vec<DrainRecord>,
    now_ms: WallMs,
}

impl FromLog {
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

/// Describes a live member beside what it announces.
struct Seen {
    member: Member,
    /// Whether it is kept out of the list, because it flaps or isn't published yet.
    is_held_back: bool,
    /// What runs there, as far as it is known.
    running: Option<u32>,
}

impl Planner {
    /// Looks once, unless the last look is still under way.
    pub(crate) fn look(&self, core: &Arc<Core>) {
        if self.0.is_looking.swap(true, Ordering::AcqRel) {
            return;
        }
        let (planner, core) = (self.clone(), Arc::clone(core));
        tokio::spawn(async move {
            // Whatever is lost on the way is decided again at the next look.
            let _may_be_lost = planner.move_on(&core).await;
            planner.0.is_looking.store(false, Ordering::Release);
        });
    }

    async fn move_on(&self, core: &Arc<Core>) -> Result<(), Refused> {
        let decision = self.decide(core).await?;
        self.log_late(&decision);
        if let Some(command) = decision.command {
            log_steps(&command.steps);
            core.propose(Command::Upgrade(command)).await?;
        }
        Ok(())
    }

    /// Answers an operator.
    pub(crate) async fn report(
        &self,
        core: &Arc<Core>,
        ask: &AskUpgrades,
    ) -> Result<Upgrades, Refused> {
        let decision = self.decide(core).await?;
        let is_asked = |name: &str| ask.name.is_empty() || *ask.name == *name;
        let plans = decision.plans.iter().filter(|plan| is_asked(&plan.plan));
        let stops = decision.stops.iter().filter(|stop| is_asked(&stop.stop));
        Ok(Upgrades {
            plans: plans.map(hinge_upgrade::PlanReport::to_status).collect(),
            stops: stops.map(hinge_upgrade::StopReport::to_status).collect(),
        })
    }

    async fn decide(&self, core: &Arc<Core>) -> Result<Decision, Refused> {
        let Place::Here(term) = core.place() else {
            return Err(Refused::NotLeader);
        };
        let seen = live(core, term).ok_or(Refused::NotLeader)?;
        let log = core.ask(|state, _| FromLog::read(state)).await?;
        let planner = self.clone();
        // Merging a large folder takes milliseconds, which the async threads don't have.
        let decided = tokio::task::spawn_blocking(move || planner.decide_on(&seen, &log)).await;
        decided.map_err(|_stopped| Refused::Stopped)?
    }

    fn decide_on(&self, seen: &[Seen], log: &FromLog) -> Result<Decision, Refused> {
        let effective = self.merged(&log.folder).ok_or(Refused::Stopped)?;
        let endpoints = seen
            .iter()
            .map(|seen| (&*seen.member.instance, seen.into()));
        Ok(decide(&Fleet {
            now_ms: wall_ms().max(log.now_ms),
            config_version: log.folder.version(),
            effective: &effective,
            endpoints: endpoints.collect(),
            upgrades: &log.upgrades,
            orders: &log.orders,
            drained: Fleet::drained_names(&log.drains),
        }))
    }

    /// Returns the merged folder; one that a later program accepted may not be valid here, and then nothing is decided.
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

/// Returns the live members, once every live process had the time to announce itself to this leader.
fn live(core: &Core, term: u64) -> Option<Vec<Seen>> {
    let soft = core.soft();
    let members = soft.members.as_ref().filter(|_| soft.term == term)?;
    if !members.is_complete() {
        return None;
    }
    let roster = members.roster();
    let seen = members.live().map(|member| {
        let listed = roster.get(&member.instance);
        Seen {
            member: member.clone(),
            is_held_back: listed.is_none_or(|listed| listed.leaving && !member.leaving),
            running: members.running(&member.instance),
        }
    });
    Some(seen.collect())
}

impl<'a> From<&'a Seen> for Endpoint<'a> {
    fn from(seen: &'a Seen) -> Self {
        let member = &seen.member;
        Self {
            instance: &member.instance,
            incarnation: member.incarnation,
            role: member.role,
            data_center: &member.data_center,
            pool: &member.pool,
            model_version: &member.model_version,
            is_leaving: member.leaving,
            is_ejected: seen.is_held_back || member.ejected == Some(true),
            running: seen.running,
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
                "An upgrade moves on.",
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
