//! The state that a sidecar's tasks share: the dispatcher behind one lock, and the delivery of its actions to the waiting tasks.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use std::sync::Arc;

use hinge_clock::BootInstant;
use hinge_fair::Limits;
use hinge_member::Member;
use hinge_outcome::{ClaimId, Verdict};
use hinge_placement::{EngineReport, LocalEndpointHealth, Sample, SlotRules};
use hinge_schema::messages::{FailureKind, NotRunReason};
use hinge_telemetry::log::Component;
use tokio::sync::{mpsc, watch};
use tokio_util::sync::CancellationToken;

use crate::answer::Answer;
use crate::claims::Claims;
use crate::dispatch::{Action, Dispatcher, NewOffer, OfferId, Refusal};
use crate::fence::Fence;
use crate::metrics::Metrics;
use crate::reasons::{whole_ms, wire_reason};
use crate::rules;
use crate::settings::SidecarSettings;

/// A notification to the exchange of an offer.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Signal {
    Granted(ClaimId),
    Refused(Refusal),
    Stopped,
}

/// A run whose whole request has arrived.
#[derive(Debug, Clone)]
pub(crate) struct LiveRun {
    pub(crate) answer: Arc<Answer>,
    pub(crate) stop: CancellationToken,
}

#[derive(Debug)]
struct State {
    dispatcher: Dispatcher,
    signal_senders: HashMap<OfferId, mpsc::UnboundedSender<Signal>>,
    live: HashMap<ClaimId, LiveRun>,
    health: LocalEndpointHealth,
    /// The dispatcher's current slot rules, so that it is updated only when they change.
    slot_rules: SlotRules,
}

/// Everything that the tasks of one sidecar share.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) settings: SidecarSettings,
    pub(crate) member: Member,
    pub(crate) claims: Arc<dyn Claims>,
    pub(crate) metrics: Metrics,
    /// Locked during both the check and the forwarding, so that no order overtakes a newer one on its way to the endpoint.
    pub(crate) fence: tokio::sync::Mutex<Fence>,
    /// Notified whenever a run, an offer or a kept answer may have ended.
    changes: watch::Sender<()>,
    started: BootInstant,
    state: Mutex<State>,
}

/// The numbers of runs and answers that a stop would cut off now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Unfinished {
    /// Grants and runs.
    pub(crate) runs: usize,
    /// Ended answers that the entry may not have received whole.
    pub(crate) answers: usize,
}

impl Unfinished {
    pub(crate) fn is_none(self) -> bool {
        self.runs == 0 && self.answers == 0
    }
}

impl Shared {
    pub(crate) fn new(
        settings: SidecarSettings,
        member: Member,
        claims: Arc<dyn Claims>,
        metrics: Metrics,
    ) -> Self {
        let effective = &member.config().effective;
        let slot_rules = rules::slots(effective, &settings, settings.slots);
        let limits = Limits {
            max_waiting: settings.max_waiting,
            max_request_units: settings.max_request_units,
        };
        let health = LocalEndpointHealth::new(settings.health, Duration::ZERO);
        Self {
            settings,
            member,
            claims,
            metrics,
            fence: tokio::sync::Mutex::default(),
            changes: watch::Sender::new(()),
            started: BootInstant::now(),
            state: Mutex::new(State {
                dispatcher: Dispatcher::new(slot_rules, limits),
                signal_senders: HashMap::new(),
                live: HashMap::new(),
                health,
                slot_rules,
            }),
        }
    }

    /// Returns the time since the start of the sidecar.
    pub(crate) fn now(&self) -> Duration {
        self.started.elapsed()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Updates the dispatcher, and runs the actions that follow.
    pub(crate) fn update<R>(&self, apply: impl FnOnce(&mut Dispatcher, Duration) -> R) -> R {
        let now = self.now();
        let mut state = self.lock();
        let result = apply(&mut state.dispatcher, now);
        self.run_actions(&mut state);
        drop(state);
        self.changes.send_replace(());
        result
    }

    /// Runs the dispatcher's due actions, and publishes its counts.
    fn run_actions(&self, state: &mut State) {
        // Set before an entry hears of a grant, so that every later announcement counts the grant.
        let running = u32::try_from(state.dispatcher.open_grants()).unwrap_or(u32::MAX);
        self.member.set_running(running);
        for action in state.dispatcher.take_actions() {
            self.run_action(state, action);
        }
        for change in state.dispatcher.take_waiting_changes() {
            self.metrics.record_waiting_change(&change);
        }
        self.metrics.set_load(state.dispatcher.load());
    }

    fn run_action(&self, state: &mut State, action: Action) {
        match action {
            Action::Grant { offer_id, claim } => {
                self.metrics.granted.inc();
                signal(state, offer_id, Signal::Granted(claim));
            }
            Action::Refuse { offer_id, refusal } => {
                signal(state, offer_id, Signal::Refused(refusal));
            }
            Action::Stop {
                offer_id,
                claim,
                verdict,
            } => {
                if let Some(live) = state.live.get(&claim) {
                    fail_answer(&live.answer, verdict);
                    live.stop.cancel();
                }
                signal(state, offer_id, Signal::Stopped);
            }
        }
    }

    /// Queues an offer, and returns a guard for it and the receiver of its signals.
    pub(crate) fn offer(
        self: &Arc<Self>,
        new_offer: NewOffer,
    ) -> Result<(OfferGuard, mpsc::UnboundedReceiver<Signal>), Refusal> {
        let own_version = self.member.config_version();
        let (sender, signals) = mpsc::unbounded_channel();
        let now = self.now();
        let mut state = self.lock();
        let offer_id = state.dispatcher.offer(now, new_offer, own_version)?;
        state.signal_senders.insert(offer_id, sender);
        self.run_actions(&mut state);
        drop(state);
        let guard = OfferGuard {
            shared: Arc::clone(self),
            offer_id,
        };
        Ok((guard, signals))
    }

    /// Registers a run, so that it can be resumed and cancelled.
    pub(crate) fn add_live(&self, claim: ClaimId, live: LiveRun) {
        self.lock().live.insert(claim, live);
    }

    /// Returns the run of a grant, if the request's id matches.
    pub(crate) fn live(&self, claim: ClaimId, request_id: u64) -> Option<LiveRun> {
        let live = self.lock().live.get(&claim).cloned()?;
        (live.answer.request_id() == request_id).then_some(live)
    }

    /// Drops delivered answers, and those that were not resumed in time; a run behind such an answer is cancelled.
    pub(crate) fn sweep(&self) {
        let now = self.now();
        let window = self.settings.resume_window;
        let mut late = Vec::new();
        let mut state = self.lock();
        state.live.retain(|claim, live| {
            if live.answer.is_ended() && live.answer.is_delivered() {
                return false;
            }
            let detached_at = live.answer.detached_at();
            let is_late = detached_at.is_some_and(|since| now.saturating_sub(since) > window);
            if is_late && !live.answer.is_ended() {
                late.push(*claim);
            }
            !(is_late && live.answer.is_ended())
        });
        forget_oldest(&mut state.live, self.settings.max_kept_answers);
        drop(state);
        for claim in late {
            self.update(|dispatcher, now| dispatcher.cancel(claim, now));
        }
        self.update(Dispatcher::expire_offers);
    }

    /// Records a run's health sample of the endpoint.
    pub(crate) fn record_sample(&self, sample: Sample) {
        let now = self.now();
        let mut state = self.lock();
        let is_ejected = state.health.observe(sample, now, &mut rand::rng());
        drop(state);
        if is_ejected {
            let endpoint = &self.settings.endpoint_address;
            hinge_telemetry::warn!(
                Component::Sidecar,
                "The endpoint is ejected.",
                endpoint = endpoint
            );
        }
        self.refresh_slot_rules();
    }

    /// Returns whether an ejected endpoint should be probed now.
    pub(crate) fn start_probe(&self) -> bool {
        let now = self.now();
        self.lock().health.start_probe(now)
    }

    /// Records the result of a probe.
    pub(crate) fn record_probe(&self, is_ok: bool) {
        let now = self.now();
        self.lock()
            .health
            .record_probe(is_ok, now, &mut rand::rng());
        self.refresh_slot_rules();
    }

    /// Records a load report of the engine.
    pub(crate) fn record_load(&self, report: EngineReport) {
        self.update(|dispatcher, now| dispatcher.apply_load_report(report, now));
    }

    /// Updates the dispatcher's slot rules from the endpoint's health and the configuration.
    pub(crate) fn refresh_slot_rules(&self) {
        let now = self.now();
        let mut state = self.lock();
        let allowed = state.health.slot_limit(self.settings.slots, now);
        let effective = &self.member.config().effective;
        let slot_rules = rules::slots(effective, &self.settings, allowed);
        if slot_rules == state.slot_rules {
            return;
        }
        let was_ejected = state.slot_rules.slots == 0;
        let is_ejected = slot_rules.slots == 0;
        state.slot_rules = slot_rules;
        state.dispatcher.set_slot_rules(slot_rules, now);
        state.dispatcher.set_ejected(is_ejected, now);
        self.run_actions(&mut state);
        drop(state);
        self.metrics.ejected.set(i64::from(is_ejected));
        self.member.set_ejected(is_ejected);
        if was_ejected && !is_ejected {
            let endpoint = &self.settings.endpoint_address;
            hinge_telemetry::info!(
                Component::Sidecar,
                "The endpoint is readmitted.",
                endpoint = endpoint
            );
        }
    }

    pub(crate) fn is_ejected(&self) -> bool {
        self.lock().slot_rules.slots == 0
    }

    /// Returns the numbers of runs and answers that a stop would cut off now.
    pub(crate) fn unfinished(&self) -> Unfinished {
        let state = self.lock();
        let kept = state.live.values();
        let kept = kept.filter(|live| live.answer.is_ended() && !live.answer.is_delivered());
        Unfinished {
            runs: state.dispatcher.open_grants(),
            answers: kept.count(),
        }
    }

    /// Notifies a waiting drain that a run may have ended.
    pub(crate) fn notify_change(&self) {
        self.changes.send_replace(());
    }

    pub(crate) fn changes(&self) -> watch::Receiver<()> {
        self.changes.subscribe()
    }
}

fn signal(state: &State, offer_id: OfferId, signal: Signal) {
    if let Some(sender) = state.signal_senders.get(&offer_id) {
        // An exchange that has ended withdraws its offer itself.
        let _sent_or_gone = sender.send(signal);
    }
}

/// Returns the kind, the reason and the retry delay in milliseconds that an entry is told for a verdict.
pub(crate) fn wire_failure(verdict: Verdict) -> (FailureKind, NotRunReason, u64) {
    match verdict {
        Verdict::NeverHandedOver {
            reason,
            retry_after,
        } => (
            FailureKind::NotRun,
            wire_reason(reason),
            whole_ms(retry_after),
        ),
        Verdict::Failed { reason } => (FailureKind::Unknown, wire_reason(reason), 0),
        Verdict::Running { .. } | Verdict::Completed { .. } | Verdict::Unknown => {
            (FailureKind::Unknown, NotRunReason::SidecarLost, 0)
        }
    }
}

pub(crate) fn fail_answer(answer: &Answer, verdict: Verdict) {
    let (kind, reason, retry_after_ms) = wire_failure(verdict);
    answer.fail(kind, reason, retry_after_ms);
}

/// Drops the oldest ended answers above the limit, to bound memory when many entries are lost at once.
fn forget_oldest(live: &mut HashMap<ClaimId, LiveRun>, max_kept: usize) {
    let ended = live.iter().filter(|(_, live)| live.answer.is_ended());
    let mut ended: Vec<ClaimId> = ended.map(|(claim, _)| *claim).collect();
    ended.sort_unstable();
    let too_many = ended.len().saturating_sub(max_kept);
    for claim in &ended[..too_many] {
        live.remove(claim);
    }
}

/// A guard that withdraws an offer, or its unbound grant, when its exchange ends in any way.
#[derive(Debug)]
pub(crate) struct OfferGuard {
    shared: Arc<Shared>,
    offer_id: OfferId,
}

impl Drop for OfferGuard {
    fn drop(&mut self) {
        self.shared.lock().signal_senders.remove(&self.offer_id);
        self.shared
            .update(|dispatcher, now| dispatcher.withdraw(self.offer_id, now));
    }
}
