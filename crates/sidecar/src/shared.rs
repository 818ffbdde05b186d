//! Guards the core with one lock, and carries its actions to the tasks that wait for them.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use std::sync::Arc;

use hinge_fair::Limits;
use hinge_member::Member;
use hinge_outcome::{ClaimId, Verdict};
use hinge_placement::{EngineReport, LocalEndpointHealth, Sample, SlotRules};
use hinge_schema::messages::{FailureKind, NotRunReason};
use hinge_telemetry::log::Part;
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

/// Tells the exchange of an offer what became of it.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Signal {
    Granted(ClaimId),
    Refused(Refusal),
    Stopped,
}

/// A run whose whole request has arrived.
#[derive(Debug, Clone)]
pub(crate) struct Live {
    pub(crate) answer: Arc<Answer>,
    pub(crate) stop: CancellationToken,
}

#[derive(Debug)]
struct State {
    dispatcher: Dispatcher,
    doors: HashMap<OfferId, mpsc::UnboundedSender<Signal>>,
    live: HashMap<ClaimId, Live>,
    health: LocalEndpointHealth,
    /// Rules that the core holds, so that it is told only of changes.
    room: SlotRules,
}

/// Everything that the tasks of one sidecar share.
#[derive(Debug)]
pub(crate) struct Shell {
    pub(crate) settings: SidecarSettings,
    pub(crate) member: Member,
    pub(crate) claims: Arc<dyn Claims>,
    pub(crate) metrics: Metrics,
    /// Held over check and forwarding, so that no order overtakes a newer one on its way to the endpoint.
    pub(crate) fence: tokio::sync::Mutex<Fence>,
    /// Bumped whenever a run, an offer or a kept answer has ended.
    changes: watch::Sender<()>,
    started: Instant,
    state: Mutex<State>,
}

/// Counts what would be cut off by a stop now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Open {
    /// Grants and runs.
    pub(crate) runs: usize,
    /// Ended answers that the entry may not hold whole.
    pub(crate) answers: usize,
}

impl Open {
    pub(crate) fn is_none(self) -> bool {
        self.runs == 0 && self.answers == 0
    }
}

impl Shell {
    pub(crate) fn new(
        settings: SidecarSettings,
        member: Member,
        claims: Arc<dyn Claims>,
        metrics: Metrics,
    ) -> Self {
        let effective = &member.config().effective;
        let room = rules::slots(effective, &settings, settings.slots);
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
            started: Instant::now(),
            state: Mutex::new(State {
                dispatcher: Dispatcher::new(room, limits),
                doors: HashMap::new(),
                live: HashMap::new(),
                health,
                room,
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

    /// Tells the core something, and carries out what follows.
    pub(crate) fn tell<R>(&self, say: impl FnOnce(&mut Dispatcher, Duration) -> R) -> R {
        let now = self.now();
        let mut state = self.lock();
        let told = say(&mut state.dispatcher, now);
        self.settle(&mut state);
        drop(state);
        self.changes.send_replace(());
        told
    }

    /// Carries out what followed from what the core was told.
    fn settle(&self, state: &mut State) {
        // Before an entry hears of a grant, so that every later announcement counts it.
        let running = u32::try_from(state.dispatcher.open_grants()).unwrap_or(u32::MAX);
        self.member.set_running(running);
        for action in state.dispatcher.take_actions() {
            self.carry_out(state, action);
        }
        for change in state.dispatcher.take_waiting_changes() {
            self.metrics.note_waiting(&change);
        }
        self.metrics.set_load(state.dispatcher.load());
    }

    fn carry_out(&self, state: &mut State, action: Action) {
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

    /// Takes an offer, and returns where its signals come from.
    pub(crate) fn offer(
        self: &Arc<Self>,
        new_offer: NewOffer,
    ) -> Result<(OfferGuard, mpsc::UnboundedReceiver<Signal>), Refusal> {
        let own_version = self.member.config_version();
        let (door, signals) = mpsc::unbounded_channel();
        let now = self.now();
        let mut state = self.lock();
        let offer_id = state.dispatcher.offer(now, new_offer, own_version)?;
        state.doors.insert(offer_id, door);
        self.settle(&mut state);
        drop(state);
        let guard = OfferGuard {
            shell: Arc::clone(self),
            offer_id,
        };
        Ok((guard, signals))
    }

    /// Makes a run known to resumes and cancels.
    pub(crate) fn add_live(&self, claim: ClaimId, live: Live) {
        self.lock().live.insert(claim, live);
    }

    /// Returns the run of a grant, if the request's number fits.
    pub(crate) fn live(&self, claim: ClaimId, request_id: u64) -> Option<Live> {
        let live = self.lock().live.get(&claim).cloned()?;
        (live.answer.request_id() == request_id).then_some(live)
    }

    /// Forgets answers that the entry holds, and those that nobody asked for in time; a run behind such an answer ends.
    pub(crate) fn sweep(&self) {
        let now = self.now();
        let window = self.settings.resume_window;
        let mut late = Vec::new();
        let mut state = self.lock();
        state.live.retain(|claim, live| {
            if live.answer.is_ended() && live.answer.is_taken() {
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
            self.tell(|dispatcher, now| dispatcher.cancel(claim, now));
        }
        self.tell(Dispatcher::expire_offers);
    }

    /// Takes what a run says about the endpoint.
    pub(crate) fn note_run(&self, sample: Sample) {
        let now = self.now();
        let mut state = self.lock();
        let is_ejected = state.health.observe(sample, now, &mut rand::rng());
        drop(state);
        if is_ejected {
            let endpoint = &self.settings.endpoint_address;
            hinge_telemetry::warn!(
                Part::Sidecar,
                "The endpoint is ejected.",
                endpoint = endpoint
            );
        }
        self.refresh_room();
    }

    /// Returns whether an ejected endpoint should be probed now.
    pub(crate) fn start_probe(&self) -> bool {
        let now = self.now();
        self.lock().health.start_probe(now)
    }

    /// Takes the result of a probe.
    pub(crate) fn note_probe(&self, is_ok: bool) {
        let now = self.now();
        self.lock()
            .health
            .record_probe(is_ok, now, &mut rand::rng());
        self.refresh_room();
    }

    /// Takes what the engine says about its load.
    pub(crate) fn note_load(&self, report: EngineReport) {
        self.tell(|dispatcher, now| dispatcher.apply_load_report(report, now));
    }

    /// Tells the core what the endpoint has room for, as health and the configuration have it now.
    pub(crate) fn refresh_room(&self) {
        let now = self.now();
        let mut state = self.lock();
        let allowed = state.health.slot_limit(self.settings.slots, now);
        let effective = &self.member.config().effective;
        let room = rules::slots(effective, &self.settings, allowed);
        if room == state.room {
            return;
        }
        let was_ejected = state.room.slots == 0;
        let is_ejected = room.slots == 0;
        state.room = room;
        state.dispatcher.set_slot_rules(room, now);
        state.dispatcher.set_ejected(is_ejected, now);
        self.settle(&mut state);
        drop(state);
        self.metrics.ejected.set(i64::from(is_ejected));
        self.member.set_ejected(is_ejected);
        if was_ejected && !is_ejected {
            let endpoint = &self.settings.endpoint_address;
            hinge_telemetry::info!(
                Part::Sidecar,
                "The endpoint is readmitted.",
                endpoint = endpoint
            );
        }
    }

    pub(crate) fn is_ejected(&self) -> bool {
        self.lock().room.slots == 0
    }

    /// Returns what would be cut off by a stop now.
    pub(crate) fn open(&self) -> Open {
        let state = self.lock();
        let kept = state.live.values();
        let kept = kept.filter(|live| live.answer.is_ended() && !live.answer.is_taken());
        Open {
            runs: state.dispatcher.open_grants(),
            answers: kept.count(),
        }
    }

    /// Tells waiting drains that something has ended.
    pub(crate) fn note_change(&self) {
        self.changes.send_replace(());
    }

    pub(crate) fn changes(&self) -> watch::Receiver<()> {
        self.changes.subscribe()
    }
}

fn signal(state: &State, offer_id: OfferId, signal: Signal) {
    if let Some(door) = state.doors.get(&offer_id) {
        // An exchange that is gone withdraws its offer by itself.
        let _sent_or_gone = door.send(signal);
    }
}

/// Returns how a verdict on a run that did not end whole is said to an entry.
pub(crate) fn failure(verdict: Verdict) -> (FailureKind, NotRunReason, u64) {
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
    let (kind, reason, retry_after_ms) = failure(verdict);
    answer.fail(kind, reason, retry_after_ms);
}

/// Keeps memory bounded when many entries are lost at once.
fn forget_oldest(live: &mut HashMap<ClaimId, Live>, max_kept: usize) {
    let ended = live.iter().filter(|(_, live)| live.answer.is_ended());
    let mut ended: Vec<ClaimId> = ended.map(|(claim, _)| *claim).collect();
    ended.sort_unstable();
    let too_many = ended.len().saturating_sub(max_kept);
    for claim in &ended[..too_many] {
        live.remove(claim);
    }
}

/// Withdraws an offer, or its unbound grant, when its exchange ends in any way.
#[derive(Debug)]
pub(crate) struct OfferGuard {
    shell: Arc<Shell>,
    offer_id: OfferId,
}

impl Drop for OfferGuard {
    fn drop(&mut self) {
        self.shell.lock().doors.remove(&self.offer_id);
        self.shell
            .tell(|dispatcher, now| dispatcher.withdraw(self.offer_id, now));
    }
}
