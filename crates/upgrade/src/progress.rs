//! The steps of endpoint upgrades in progress.

use hinge_config::effective::Upgrade;
use hinge_schema::messages::{OrderKind, OrderState};
use hinge_schema::operator::OnFailure;
use hinge_state::UpgradeStep;
use hinge_state::upgrades::{EndpointStep, StepOrder, StopReason, UpgradeProgress};

use crate::decide::{Draft, is_older};
use crate::fleet::{Endpoint, Fleet};

/// Longest time for a step other than loading; switching takes seconds, and the limit leaves time for a restart of the endpoint.
pub const STEP_TIMEOUT_MS: u64 = 5 * 60 * 1000;

/// Longest time for loading apart from reading the weight store; moving large weights onto accelerators takes minutes.
pub const LOAD_GRACE_MS: u64 = 30 * 60 * 1000;

/// Factor on the reading time at the store's rate, because other readers share the store.
const LOAD_TIME_FACTOR: u64 = 4;

/// Time for which an endpoint serves the new version before the old one is unloaded.
const UNLOAD_DELAY_MS: u64 = 10_000;

/// Returns the model or adapter that a plan upgrades.
pub(crate) fn subject(upgrade: &Upgrade) -> &str {
    let subject = upgrade.adapter.as_deref().or(upgrade.model.as_deref());
    subject.unwrap_or_default()
}

/// Returns the name under which a plan drains instances.
pub(crate) fn drain_owner(plan: &str) -> Box<str> {
    format!("upgrade/{plan}").into()
}

/// Returns the order that loads the plan's version.
pub(crate) fn load_order(upgrade: &Upgrade) -> StepOrder {
    let kind = match upgrade.adapter {
        Some(_) => OrderKind::LoadAdapter,
        None => OrderKind::LoadModel,
    };
    order(upgrade, kind, &upgrade.version)
}

fn unload_order(upgrade: &Upgrade, version: &str) -> StepOrder {
    let kind = match upgrade.adapter {
        Some(_) => OrderKind::UnloadAdapter,
        None => OrderKind::UnloadModel,
    };
    order(upgrade, kind, version)
}

/// Returns the order that rolls an endpoint back; none if there is no version to roll back to.
fn roll_back_order(progress: &UpgradeProgress) -> Option<StepOrder> {
    let upgrade = &progress.upgrade;
    if upgrade.adapter.is_some() {
        return Some(unload_order(upgrade, &upgrade.version));
    }
    let has_version = !progress.from_version.is_empty();
    has_version.then(|| order(upgrade, OrderKind::SetVersion, &progress.from_version))
}

fn order(upgrade: &Upgrade, kind: OrderKind, version: &str) -> StepOrder {
    StepOrder {
        kind,
        subject: subject(upgrade).into(),
        version: version.into(),
    }
}

/// Returns whether two plans bring the same version of the same model or adapter to the same pool.
pub(crate) fn has_same_target(left: &Upgrade, right: &Upgrade) -> bool {
    left.pool == right.pool
        && left.model == right.model
        && left.adapter == right.adapter
        && left.version == right.version
}

/// One endpoint's upgrade, and what its next step is decided on.
struct StepContext<'a, 'f> {
    fleet: &'a Fleet<'f>,
    instance: &'a str,
    progress: &'a UpgradeProgress,
    endpoint: Option<&'a Endpoint<'f>>,
}

/// Advances an endpoint's upgrade by the step that is due, if any.
pub(crate) fn advance(
    fleet: &Fleet<'_>,
    instance: &str,
    progress: &UpgradeProgress,
    draft: &mut Draft<'_>,
) {
    let endpoint = fleet.endpoints.get(instance);
    let context = StepContext {
        fleet,
        instance,
        progress,
        endpoint,
    };
    match progress.step {
        EndpointStep::Loading => context.load(draft),
        EndpointStep::Switching => context.switch(draft),
        EndpointStep::Verifying => context.verify(draft),
        EndpointStep::Unloading => context.unload(draft),
        EndpointStep::RollingBack => context.roll_back(draft),
    }
}

impl StepContext<'_, '_> {
    fn load(&self, draft: &mut Draft<'_>) {
        match self.order_state() {
            OrderState::Open if self.is_overdue(self.load_timeout_ms()) => self.time_out(draft),
            OrderState::Open => {}
            OrderState::Failed => {
                // The endpoint still serves the old version, so there is nothing to roll back.
                self.stop_failed(draft);
                self.end_drain(draft);
                self.end(draft);
            }
            OrderState::Superseded => self.yield_to_operator(draft),
            OrderState::Done if self.must_roll_back(draft) => {
                self.end_drain(draft);
                self.end(draft);
            }
            OrderState::Done if self.is_stuck() => {
                // The endpoint still serves the old version, and its running requests continue.
                self.stop_timed_out(draft);
                self.end_drain(draft);
                self.end(draft);
            }
            OrderState::Done if !self.is_drained() => {}
            OrderState::Done if self.progress.upgrade.adapter.is_some() => {
                draft.steps.push(UpgradeStep::RecordAdapter {
                    instance: self.instance.into(),
                    adapter: subject(&self.progress.upgrade).into(),
                    version: self.progress.upgrade.version.clone(),
                });
                self.end_drain(draft);
                self.put(draft, EndpointStep::Verifying, None);
            }
            OrderState::Done => {
                let upgrade = &self.progress.upgrade;
                let switch = order(upgrade, OrderKind::SetVersion, &upgrade.version);
                self.put(draft, EndpointStep::Switching, Some(switch));
            }
        }
    }

    fn switch(&self, draft: &mut Draft<'_>) {
        match self.order_state() {
            OrderState::Failed => {
                self.stop_failed(draft);
                self.put(
                    draft,
                    EndpointStep::RollingBack,
                    roll_back_order(self.progress),
                );
            }
            OrderState::Superseded => self.yield_to_operator(draft),
            OrderState::Done if self.must_roll_back(draft) => {
                self.put(
                    draft,
                    EndpointStep::RollingBack,
                    roll_back_order(self.progress),
                );
            }
            OrderState::Done if self.serves(&self.progress.upgrade.version) => {
                self.end_drain(draft);
                self.put(draft, EndpointStep::Verifying, None);
            }
            OrderState::Open | OrderState::Done if self.is_overdue(STEP_TIMEOUT_MS) => {
                self.time_out(draft);
            }
            OrderState::Open | OrderState::Done => {}
        }
    }

    fn verify(&self, draft: &mut Draft<'_>) {
        let endpoint = self.endpoint;
        let is_new = self.serves(&self.progress.upgrade.version);
        let is_in_service = endpoint.is_some_and(|endpoint| self.fleet.is_in_service(endpoint));
        let is_out_of_service = self.fleet.drained.contains(self.instance)
            || endpoint.is_some_and(|endpoint| endpoint.is_leaving);
        if is_new && is_in_service {
            if self.must_roll_back(draft) || !self.has_old_version() {
                self.end(draft);
            } else if self.is_overdue(UNLOAD_DELAY_MS) {
                let unload = unload_order(&self.progress.upgrade, &self.progress.from_version);
                self.put(draft, EndpointStep::Unloading, Some(unload));
            }
        } else if is_new && is_out_of_service {
            // An operator or a planned stop drains it; the old version stays loaded, which does no harm.
            self.end(draft);
        } else if self.is_overdue(STEP_TIMEOUT_MS) {
            // The endpoint is gone or has restarted with another version, which it announces itself.
            self.stop_timed_out(draft);
            self.end(draft);
        }
    }

    fn unload(&self, draft: &mut Draft<'_>) {
        match self.order_state() {
            OrderState::Open if self.is_overdue(STEP_TIMEOUT_MS) => {
                self.stop_timed_out(draft);
                self.end(draft);
            }
            OrderState::Open => {}
            OrderState::Failed => {
                self.stop_failed(draft);
                self.end(draft);
            }
            OrderState::Done | OrderState::Superseded => self.end(draft),
        }
    }

    /// Ends a roll-back once it is done.
    ///
    /// An endpoint that can't roll back stays drained until an operator ends its drain, because it isn't known what it serves.
    fn roll_back(&self, draft: &mut Draft<'_>) {
        match self.order_state() {
            OrderState::Done if self.serves(&self.progress.from_version) => {
                self.end_drain(draft);
                self.end(draft);
            }
            OrderState::Superseded if self.progress.order_id != 0 => self.yield_to_operator(draft),
            _ => {}
        }
    }

    /// Returns the state of the step's order; an order that the log no longer holds counts as superseded.
    fn order_state(&self) -> OrderState {
        let order = self.fleet.order(self.progress.order_id);
        order.map_or(OrderState::Superseded, |order| order.state)
    }

    fn is_overdue(&self, limit_ms: u64) -> bool {
        is_older(self.progress.step_at_ms, limit_ms, self.fleet.now_ms)
    }

    fn load_timeout_ms(&self) -> u64 {
        let rate = self.fleet.effective.limits.weight_store_bytes_per_second;
        let bytes = u128::from(self.progress.upgrade.weight_bytes);
        let read_ms = (bytes * 1000).checked_div(u128::from(rate)).unwrap_or(0);
        let read_ms = u64::try_from(read_ms).unwrap_or(u64::MAX);
        LOAD_GRACE_MS.saturating_add(read_ms.saturating_mul(LOAD_TIME_FACTOR))
    }

    /// Returns whether running work has ended; if that isn't known, whether its deadline has passed.
    fn is_drained(&self) -> bool {
        match self.endpoint.and_then(|endpoint| endpoint.running) {
            Some(running) => running == 0,
            None => self.fleet.now_ms >= self.progress.drained_by_ms,
        }
    }

    /// Returns whether work still runs long after its deadline; a plan doesn't wait for it forever.
    fn is_stuck(&self) -> bool {
        let has_had_time = self.fleet.now_ms >= self.progress.drained_by_ms;
        has_had_time && !self.is_drained() && self.is_overdue(self.load_timeout_ms())
    }

    /// Returns whether the endpoint announces a version; always true for adapters, which announcements don't cover.
    fn serves(&self, version: &str) -> bool {
        let is_adapter = self.progress.upgrade.adapter.is_some();
        self.endpoint
            .is_some_and(|endpoint| is_adapter || endpoint.model_version == version)
    }

    fn has_old_version(&self) -> bool {
        let progress = self.progress;
        !progress.from_version.is_empty() && progress.from_version != progress.upgrade.version
    }

    /// Returns whether the plan was stopped, removed or given another target, and rolls its endpoints back in that case.
    fn must_roll_back(&self, draft: &Draft<'_>) -> bool {
        let (plan, began) = (&self.progress.plan, &self.progress.upgrade);
        let planned = self.fleet.effective.upgrades.get(plan);
        let is_planned = planned.is_some_and(|planned| has_same_target(planned, began));
        let stopped = self.fleet.upgrades.stopped().get(plan);
        let is_stopped = draft.stopped.contains_key(plan)
            || stopped.is_some_and(|stopped| has_same_target(&stopped.upgrade, began));
        began.on_failure == OnFailure::RollBack && (is_stopped || !is_planned)
    }

    fn stop_failed(&self, draft: &mut Draft<'_>) {
        let Some(order) = self.fleet.order(self.progress.order_id) else {
            return;
        };
        let reason = StopReason::OrderFailed {
            instance: self.instance.into(),
            kind: order.kind,
            detail: order.detail.clone(),
        };
        self.stop(draft, reason);
    }

    /// Stops the plan and ends the upgrade in favour of the operator's later order.
    fn yield_to_operator(&self, draft: &mut Draft<'_>) {
        let instance = self.instance.into();
        self.stop(draft, StopReason::OrderReplaced { instance });
        self.end_drain(draft);
        self.end(draft);
    }

    /// Stops the plan after a timeout and rolls back.
    ///
    /// The order may still be carried out later, so the order that rolls back supersedes it with a higher fencing number.
    fn time_out(&self, draft: &mut Draft<'_>) {
        self.stop_timed_out(draft);
        self.put(
            draft,
            EndpointStep::RollingBack,
            roll_back_order(self.progress),
        );
    }

    fn stop_timed_out(&self, draft: &mut Draft<'_>) {
        let reason = StopReason::TimedOut {
            instance: self.instance.into(),
            step: self.progress.step,
        };
        self.stop(draft, reason);
    }

    /// Stops the plan as it is in the folder; a plan that has another target by now isn't affected.
    fn stop(&self, draft: &mut Draft<'_>, reason: StopReason) {
        let plan = &self.progress.plan;
        let planned = self.fleet.effective.upgrades.get(plan);
        let is_stopped = self.fleet.upgrades.stopped().get(plan);
        let is_stopped = is_stopped.is_some_and(|stopped| Some(&stopped.upgrade) == planned);
        if let Some(planned) = planned
            && has_same_target(planned, &self.progress.upgrade)
            && !is_stopped
        {
            draft.stop_plan(plan, planned, reason);
        }
    }

    fn put(&self, draft: &mut Draft<'_>, step: EndpointStep, order: Option<StepOrder>) {
        draft.steps.push(UpgradeStep::Put {
            instance: self.instance.into(),
            progress: UpgradeProgress {
                step,
                ..self.progress.clone()
            },
            order,
        });
    }

    fn end_drain(&self, draft: &mut Draft<'_>) {
        draft.steps.push(UpgradeStep::EndDrain {
            instance: self.instance.into(),
            by: drain_owner(&self.progress.plan),
        });
    }

    fn end(&self, draft: &mut Draft<'_>) {
        let instance = self.instance.into();
        draft.steps.push(UpgradeStep::End { instance });
    }
}
