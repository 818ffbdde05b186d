//! Serves an admission queue to gateways.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hinge_link::{ClusterKey, FrameReader, FrameSender, Limits, ServerHandle, exchange};
use hinge_schema::routing::{AskLoad, EngineLoad, TeamUse};
use hinge_telemetry::info;
use hinge_telemetry::log::Part;
use hinge_telemetry::metrics::Registry;
use prometheus_client::metrics::counter::Counter;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{Instant, MissedTickBehavior, interval, timeout};
use viz::{Body, Request, Router};

use crate::engine::{Engine, EngineReport, ReportOutcome};
use crate::queue::AdmissionQueue;
use crate::request::{Decision, QueueLimits, SlotRequest, SlotRequestId};
use crate::session::{self, Asker, News};

/// Path of the exchange over which a gateway requests slots.
pub const ASKS_PATH: &str = "/v1/asks";

/// Path of the exchange over which a gateway follows the load.
pub const LOAD_PATH: &str = "/v1/load";

/// Interval at which the queue is re-evaluated without other events, so that a late request is refused within a small
/// fraction of any budget.
const LOOK_EVERY: Duration = Duration::from_millis(20);

/// Maximum interval between load messages, so that a dead connection is detected.
const LOAD_AT_LEAST: Duration = Duration::from_millis(500);

/// Interval between log lines about the engine's state.
const TELL_EVERY: Duration = Duration::from_secs(1);

/// Number of load messages for each one that includes team usage.
const TEAMS_EVERY: u32 = 4;

/// Divisor of the highest usage below which a team's usage isn't sent: an eighth of a usage level of the queue.
const SMALL_PART: f64 = 64.0;

#[derive(Debug)]
struct State {
    admission: AdmissionQueue,
    askers: HashMap<SlotRequestId, Asker>,
    next_id: SlotRequestId,
}

#[derive(Debug)]
pub(crate) struct Shared {
    state: Mutex<State>,
    changed: watch::Sender<u64>,
    stopping: watch::Sender<bool>,
    began: Instant,
    granted: Counter,
    refused: Counter,
}

impl State {
    fn tell(&self, id: SlotRequestId, news: News) {
        if let Some(asker) = self.askers.get(&id) {
            asker.tell(news);
        }
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Updates the queue and sends the decisions that follow.
    fn change<T>(&self, act: impl FnOnce(&mut State, Duration) -> T) -> T {
        let now = self.began.elapsed();
        let mut state = self.lock();
        let result = act(&mut state, now);
        for decision in state.admission.decide(now) {
            match decision {
                Decision::Grant { id, .. } => {
                    self.granted.inc();
                    state.tell(id, News::Decided(decision));
                }
                Decision::Refuse { id, .. } => {
                    self.refused.inc();
                    state.tell(id, News::Decided(decision));
                    state.askers.remove(&id);
                }
            }
        }
        for (id, missing) in state.admission.take_lost() {
            state.tell(id, News::Lost(missing));
        }
        drop(state);
        self.changed.send_modify(|count| *count += 1);
        result
    }

    /// Adds a request to the queue, and returns its identifier and whether it still waits.
    pub(crate) fn ask(&self, ask: SlotRequest, asker: Asker) -> (SlotRequestId, bool) {
        let id = self.change(|state, now| {
            let id = state.next_id;
            state.next_id += 1;
            state.askers.insert(id, asker);
            state.admission.enqueue(now, id, ask);
            id
        });
        (id, self.lock().admission.is_queued(id))
    }

    /// Records that the answer to a granted request has begun.
    pub(crate) fn began(&self, id: SlotRequestId) {
        self.change(|state, now| state.admission.answer_began(now, id));
    }

    /// Ends slot requests, whether waiting or granted.
    pub(crate) fn end(&self, ids: impl ExactSizeIterator<Item = SlotRequestId>) {
        if ids.len() == 0 {
            return;
        }
        self.change(|state, now| {
            for id in ids {
                state.askers.remove(&id);
                state.admission.request_ended(now, id);
            }
        });
    }

    /// Returns a receiver that is notified when this process shuts down.
    pub(crate) fn stopping(&self) -> watch::Receiver<bool> {
        self.stopping.subscribe()
    }
}

/// A running admission server.
#[derive(Debug)]
pub struct Server {
    handle: ServerHandle,
    shared: Arc<Shared>,
    tasks: Vec<JoinHandle<()>>,
}

impl Server {
    /// Binds the address for gateways and starts serving.
    ///
    /// If an engine is given, it is polled at the given interval.
    ///
    /// # Errors
    ///
    /// Returns the system's error if the address can't be bound.
    pub async fn bind(
        address: &str,
        rules: QueueLimits,
        key: &ClusterKey,
        registry: &Registry,
        engine: Option<(impl Engine, Duration)>,
    ) -> io::Result<Self> {
        let shared = Arc::new(Shared {
            state: Mutex::new(State {
                admission: AdmissionQueue::new(rules),
                askers: HashMap::new(),
                next_id: 1,
            }),
            changed: watch::Sender::new(0),
            stopping: watch::Sender::new(false),
            began: Instant::now(),
            granted: registry.counter("admission_granted", "Requests that were let through."),
            refused: registry.counter("admission_refused", "Requests that were turned away."),
        });
        let router = router(key, &shared);
        let handle = hinge_link::Server::bind(address, router, Limits::default()).await?;
        let mut tasks = vec![tokio::spawn(look(Arc::clone(&shared)))];
        if let Some((engine, report_interval)) = engine {
            let followed = follow_engine(engine, report_interval, Arc::clone(&shared));
            tasks.push(tokio::spawn(followed));
        }
        info!(
            Part::Admission,
            "Listening.",
            address = handle.local_address()
        );
        Ok(Self {
            handle,
            shared,
            tasks,
        })
    }

    /// Returns the bound address.
    #[must_use]
    pub fn local_address(&self) -> SocketAddr {
        self.handle.local_address()
    }

    /// Stops accepting slot requests, waits for granted ones to end, and returns whether all ended before the
    /// deadline.
    pub async fn stop(self, deadline: Duration) -> bool {
        self.shared.stopping.send_replace(true);
        let has_ended = self.handle.stop(deadline).await;
        for task in &self.tasks {
            task.abort();
        }
        has_ended
    }
}

fn router(key: &ClusterKey, shared: &Arc<Shared>) -> Router {
    let (ask_key, ask_shared) = (key.clone(), Arc::clone(shared));
    let (load_key, load_shared) = (key.clone(), Arc::clone(shared));
    Router::new()
        .post(ASKS_PATH, move |request: Request| {
            let shared = Arc::clone(&ask_shared);
            let answered = exchange(&ask_key, request, |reader, sender| {
                session::serve(shared, reader, sender)
            });
            async move { answered }
        })
        .post(LOAD_PATH, move |request: Request| {
            let shared = Arc::clone(&load_shared);
            let answered = exchange(&load_key, request, |reader, sender| {
                tell_load(shared, reader, sender)
            });
            async move { answered }
        })
}

/// Re-evaluates the queue periodically, since waiting requests become late without any event.
async fn look(shared: Arc<Shared>) {
    let mut ticks = interval(LOOK_EVERY);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        if shared.lock().admission.has_waiting() {
            shared.change(|_state, _now| ());
        }
    }
}

/// Polls the engine periodically and applies its reports.
async fn follow_engine(engine: impl Engine, report_interval: Duration, shared: Arc<Shared>) {
    let mut ticks = interval(report_interval);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut state_before = "answers";
    let mut told_at = Instant::now();
    loop {
        ticks.tick().await;
        let answer = engine.fetch_report().await;
        if let ReportOutcome::Report(report) = &answer
            && told_at.elapsed() >= TELL_EVERY
        {
            told_at = Instant::now();
            tell_engine(&shared, report);
        }
        let engine_state = match answer {
            ReportOutcome::Report(_) => "answers",
            ReportOutcome::Gone => "gone",
            ReportOutcome::Silent => "silent",
        };
        if engine_state != state_before {
            info!(
                Part::Admission,
                "The engine's answers have changed.",
                engine = engine_state,
                before = state_before
            );
            state_before = engine_state;
        }
        shared.change(|state, now| match &answer {
            ReportOutcome::Report(report) => state.admission.apply_report(now, report),
            ReportOutcome::Gone => state.admission.engine_gone(),
            ReportOutcome::Silent => state.admission.engine_silent(),
        });
    }
}

/// Logs the queue's estimates beside the engine's own figures.
fn tell_engine(shared: &Shared, report: &EngineReport) {
    let (load, pace, first_event) = {
        let state = shared.lock();
        let admission = &state.admission;
        (
            admission.load(),
            admission.prefill_tokens_per_ms(),
            admission.first_event_delay(),
        )
    };
    info!(
        Part::Admission,
        "Engine.",
        active = report.active,
        queued = report.queued,
        kv_used = report.kv_used_tokens,
        running = load.running,
        unread_tokens = load.unread_tokens,
        waiting_tokens = load.waiting_tokens,
        pace_per_ms = pace,
        first_event_ms = first_event.as_millis()
    );
}

/// Waits until this process shuts down.
pub(crate) async fn stopped(stopping: &mut watch::Receiver<bool>) {
    // A dropped sender means shutdown as well.
    let _told_or_gone = stopping.wait_for(|is_stopping| *is_stopping).await;
}

/// Sends the load to a gateway whenever it has changed.
async fn tell_load(shared: Arc<Shared>, mut reader: FrameReader<Body>, sender: FrameSender) {
    let Ok(Some(ask)) = reader.next::<AskLoad>().await else {
        return;
    };
    let interval = Duration::from_millis(ask.interval_ms);
    let mut changed = shared.changed.subscribe();
    let mut stopping = shared.stopping();
    let mut count = 0_u32;
    loop {
        changed.borrow_and_update();
        let load = load(&shared, count.is_multiple_of(TEAMS_EVERY));
        count = count.wrapping_add(1);
        if sender.send(&load).await.is_err() {
            return;
        }
        let quiet = tokio::time::sleep(interval);
        tokio::select! {
            () = quiet => {}
            () = sender.closed() => return,
            () = stopped(&mut stopping) => return,
        }
        let _changed_or_elapsed = timeout(LOAD_AT_LEAST, changed.changed()).await;
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a use is no less than nothing, and a cast from floating point saturates"
)]
pub(crate) fn load(shared: &Shared, with_teams: bool) -> EngineLoad {
    let now = shared.began.elapsed();
    let state = shared.lock();
    let load = state.admission.load();
    let usage = state.admission.usage();
    let most = usage
        .teams(now)
        .map(|(_, tokens)| tokens)
        .fold(0.0, f64::max);
    let told = usage
        .teams(now)
        .filter(|(_, tokens)| *tokens >= most / SMALL_PART);
    let teams = told.filter(|_| with_teams);
    EngineLoad {
        running: load.running,
        unread_tokens: load.unread_tokens,
        waiting_tokens: load.waiting_tokens,
        teams: teams
            .map(|(team, tokens)| TeamUse {
                team: team.into(),
                tokens: tokens as u64,
            })
            .collect(),
        engine_is_gone: load.engine_is_gone.then_some(true),
    }
}

pub(crate) fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
