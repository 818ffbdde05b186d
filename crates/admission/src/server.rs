//! Serves an admission queue to gateways.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hinge_link::{
    ClusterKey, FrameReader, FrameSender, Limits, ServerHandle, serve_call, serve_exchange,
};
use hinge_routing::{StreamKey, StreamOrigins, WarmUpLimits};
use hinge_schema::routing::{
    AskLoad, AskWarmUp, EngineLoad, EnginePace, FindStreams, FoundStreams, StreamsBegun,
    TeamTokens, WarmUp,
};
use hinge_telemetry::info;
use hinge_telemetry::log::Component;
use hinge_telemetry::metrics::Registry;
use prometheus_client::metrics::counter::Counter;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{Instant, MissedTickBehavior, interval, timeout};
use viz::{Body, Request, Router};

use crate::engine::{Engine, EngineReport, ReportOutcome};
use crate::queue::AdmissionQueue;
use crate::request::{Decision, QueueLimits, SlotRequest, SlotRequestId};
use crate::session::{self, SlotEvent, SlotEventSender};

/// Path of the exchange over which a gateway requests slots.
pub const ASKS_PATH: &str = "/v1/asks";

/// Path of the exchange over which a gateway follows the load.
pub const LOAD_PATH: &str = "/v1/load";

/// Path on which a gateway asks where streams began.
pub const FIND_STREAMS_PATH: &str = "/v1/streams/find";

/// Interval at which the queue is re-evaluated without other events, so that a late request is refused within a small
/// fraction of any budget.
const REEVALUATE_EVERY: Duration = Duration::from_millis(20);

/// Maximum interval between load messages, so that a dead connection is detected.
const MAX_LOAD_INTERVAL: Duration = Duration::from_millis(500);

/// Time beyond the report interval after which a report counts as late. The engine, this process or the whole machine
/// stalled meanwhile, so the report may be as old as the one before.
const LATE_REPORT_MARGIN: Duration = Duration::from_millis(200);

/// Interval between log lines about the engine's state.
const ENGINE_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Number of load messages for each one that includes team usage.
const LOADS_PER_TEAM_USAGE: u32 = 4;

/// Divisor of the highest usage below which a team's usage isn't sent: an eighth of a usage level of the queue.
const NEGLIGIBLE_USAGE_DIVISOR: f64 = 64.0;

#[derive(Debug)]
struct State {
    queue: AdmissionQueue,
    event_senders: HashMap<SlotRequestId, SlotEventSender>,
    next_id: SlotRequestId,
}

#[derive(Debug)]
pub(crate) struct Shared {
    state: Mutex<State>,
    /// Where the streams began that this engine began or continued.
    streams: Mutex<StreamOrigins>,
    changed: watch::Sender<u64>,
    shutdown_signal: watch::Sender<bool>,
    started_at: Instant,
    granted: Counter,
    refused: Counter,
}

impl State {
    fn send_event(&self, id: SlotRequestId, event: SlotEvent) {
        if let Some(event_sender) = self.event_senders.get(&id) {
            event_sender.send(event);
        }
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Updates the queue and sends the decisions that follow.
    fn update<T>(&self, apply: impl FnOnce(&mut State, Duration) -> T) -> T {
        let now = self.started_at.elapsed();
        let mut state = self.lock();
        let result = apply(&mut state, now);
        for decision in state.queue.decide(now) {
            match decision {
                Decision::Grant { id, .. } => {
                    self.granted.inc();
                    state.send_event(id, SlotEvent::Decided(decision));
                }
                Decision::Refuse { id, .. } => {
                    self.refused.inc();
                    state.send_event(id, SlotEvent::Decided(decision));
                    state.event_senders.remove(&id);
                }
            }
        }
        for (id, missing_for) in state.queue.take_lost() {
            state.send_event(id, SlotEvent::Lost(missing_for));
        }
        drop(state);
        self.changed.send_modify(|count| *count += 1);
        result
    }

    /// Adds a request to the queue, and returns its identifier and whether it still waits.
    pub(crate) fn enqueue(
        &self,
        request: SlotRequest,
        warm_up: Option<&AskWarmUp>,
        event_sender: SlotEventSender,
    ) -> (SlotRequestId, bool) {
        let id = self.update(|state, now| {
            if let Some(AskWarmUp { limits, left_ms }) = warm_up {
                let left = Duration::from_millis(*left_ms);
                let limits = warm_up_limits(limits);
                state.queue.record_warm_up(now, limits, left);
            }
            let id = state.next_id;
            state.next_id += 1;
            state.event_senders.insert(id, event_sender);
            state.queue.enqueue(now, id, request);
            id
        });
        (id, self.lock().queue.is_queued(id))
    }

    /// Records that the answer to a granted request has begun.
    pub(crate) fn answer_began(&self, id: SlotRequestId) {
        self.update(|state, now| state.queue.answer_began(now, id));
    }

    /// Records a stream whose first event a gateway passes on.
    pub(crate) fn stream_began(&self, stream: &StreamsBegun) {
        let now = self.started_at.elapsed();
        self.lock_streams()
            .record_begun(now, std::slice::from_ref(stream));
    }

    fn find_streams(&self, query: &FindStreams) -> FoundStreams {
        let now = self.started_at.elapsed();
        let streams = query.streams.iter().copied().map(StreamKey::from);
        let begun = self.lock_streams().begun_of(now, streams);
        FoundStreams { begun }
    }

    fn lock_streams(&self) -> MutexGuard<'_, StreamOrigins> {
        self.streams.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Ends slot requests, whether waiting or granted.
    pub(crate) fn end(&self, ids: impl ExactSizeIterator<Item = SlotRequestId>) {
        if ids.len() == 0 {
            return;
        }
        self.update(|state, now| {
            for id in ids {
                state.event_senders.remove(&id);
                state.queue.request_ended(now, id);
            }
        });
    }

    /// Returns a receiver that is notified when this process shuts down.
    pub(crate) fn shutdown_signal(&self) -> watch::Receiver<bool> {
        self.shutdown_signal.subscribe()
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
        limits: QueueLimits,
        key: &ClusterKey,
        registry: &Registry,
        engine: Option<(impl Engine, Duration)>,
    ) -> io::Result<Self> {
        let shared = Arc::new(Shared {
            state: Mutex::new(State {
                queue: AdmissionQueue::new(limits),
                event_senders: HashMap::new(),
                next_id: 1,
            }),
            streams: Mutex::default(),
            changed: watch::Sender::new(0),
            shutdown_signal: watch::Sender::new(false),
            started_at: Instant::now(),
            granted: registry.counter("admission_granted", "Requests that were let through."),
            refused: registry.counter("admission_refused", "Requests that were turned away."),
        });
        let router = router(key, &shared);
        let handle = hinge_link::Server::bind(address, router, Limits::default()).await?;
        let mut tasks = vec![tokio::spawn(reevaluate(Arc::clone(&shared)))];
        if let Some((engine, report_interval)) = engine {
            let polling = poll_engine(engine, report_interval, Arc::clone(&shared));
            tasks.push(tokio::spawn(polling));
        }
        info!(
            Component::Admission,
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
        self.shared.shutdown_signal.send_replace(true);
        let all_ended = self.handle.stop(deadline).await;
        for task in &self.tasks {
            task.abort();
        }
        all_ended
    }
}

fn router(key: &ClusterKey, shared: &Arc<Shared>) -> Router {
    let (slots_key, slots_shared) = (key.clone(), Arc::clone(shared));
    let (load_key, load_shared) = (key.clone(), Arc::clone(shared));
    let (find_key, find_shared) = (key.clone(), Arc::clone(shared));
    Router::new()
        .post(ASKS_PATH, move |request: Request| {
            let shared = Arc::clone(&slots_shared);
            let response = serve_exchange(&slots_key, request, |reader, sender| {
                session::serve(shared, reader, sender)
            });
            async move { response }
        })
        .post(LOAD_PATH, move |request: Request| {
            let shared = Arc::clone(&load_shared);
            let response = serve_exchange(&load_key, request, |reader, sender| {
                stream_load(shared, reader, sender)
            });
            async move { response }
        })
        .post(FIND_STREAMS_PATH, move |request: Request| {
            let (key, shared) = (find_key.clone(), Arc::clone(&find_shared));
            async move {
                let answer = async |query: FindStreams| Ok(shared.find_streams(&query));
                serve_call(&key, request, answer).await
            }
        })
}

/// Re-evaluates the queue periodically, since waiting requests become late without any event.
async fn reevaluate(shared: Arc<Shared>) {
    let mut ticks = interval(REEVALUATE_EVERY);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        if shared.lock().queue.has_waiting() {
            shared.update(|_state, _now| ());
        }
    }
}

/// Polls the engine periodically and applies its reports.
async fn poll_engine(engine: impl Engine, report_interval: Duration, shared: Arc<Shared>) {
    let mut ticks = interval(report_interval);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut previous_state = "answers";
    let mut logged_at = Instant::now();
    let mut heard_at = Duration::ZERO;
    loop {
        ticks.tick().await;
        let outcome = engine.fetch_report().await;
        if let ReportOutcome::Report(report) = &outcome
            && logged_at.elapsed() >= ENGINE_LOG_INTERVAL
        {
            logged_at = Instant::now();
            log_engine(&shared, report);
        }
        let engine_state = match outcome {
            ReportOutcome::Report(_) => "answers",
            ReportOutcome::Gone => "gone",
            ReportOutcome::Silent => "silent",
        };
        if engine_state != previous_state {
            info!(
                Component::Admission,
                "The engine's answers have changed.",
                engine = engine_state,
                before = previous_state
            );
            previous_state = engine_state;
        }
        shared.update(|state, now| match &outcome {
            ReportOutcome::Report(report) => {
                let previous = std::mem::replace(&mut heard_at, now);
                if now.saturating_sub(previous) > report_interval + LATE_REPORT_MARGIN {
                    state.queue.engine_silent();
                }
                state.queue.apply_report(now, report);
            }
            ReportOutcome::Gone => {
                heard_at = now;
                state.queue.engine_gone();
            }
            ReportOutcome::Silent => state.queue.engine_silent(),
        });
    }
}

/// Logs the queue's estimates beside the engine's own figures.
fn log_engine(shared: &Shared, report: &EngineReport) {
    let now = shared.started_at.elapsed();
    let state = shared.lock();
    let queue = &state.queue;
    let (load, pace) = (queue.load(), queue.pace());
    info!(
        Component::Admission,
        "Engine.",
        active = report.active,
        queued = report.queued,
        kv_used = report.kv_used_tokens,
        running = load.running,
        unread_tokens = load.unread_tokens,
        waiting_tokens = load.waiting_tokens,
        busy_pace_per_ms = queue.prefill_tokens_per_ms(),
        pace_per_ms = format_args!("{:.1}", pace.tokens_per_s(now) / 1_000.0),
        usual_per_ms = format_args!("{:.1}", pace.usual_tokens_per_s() / 1_000.0),
        first_event_ms = queue.first_event_delay().as_millis(),
        work_ahead_ms = pace.work_ahead(now).as_millis(),
        goes_by_pace = queue.goes_by_pace()
    );
}

/// Waits until this process shuts down.
pub(crate) async fn shutdown_requested(shutdown_signal: &mut watch::Receiver<bool>) {
    // A dropped sender means shutdown as well.
    let _signalled_or_dropped = shutdown_signal.wait_for(|is_stopping| *is_stopping).await;
}

/// Sends the load to a gateway whenever it has changed.
async fn stream_load(shared: Arc<Shared>, mut reader: FrameReader<Body>, sender: FrameSender) {
    let Ok(Some(request)) = reader.next::<AskLoad>().await else {
        return;
    };
    let interval = Duration::from_millis(request.interval_ms);
    let mut changed = shared.changed.subscribe();
    let mut shutdown_signal = shared.shutdown_signal();
    let mut count = 0_u32;
    loop {
        changed.borrow_and_update();
        let load = load(&shared, count.is_multiple_of(LOADS_PER_TEAM_USAGE));
        count = count.wrapping_add(1);
        if sender.send(&load).await.is_err() {
            return;
        }
        let pause = tokio::time::sleep(interval);
        tokio::select! {
            () = pause => {}
            () = sender.closed() => return,
            () = shutdown_requested(&mut shutdown_signal) => return,
        }
        let _changed_or_elapsed = timeout(MAX_LOAD_INTERVAL, changed.changed()).await;
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "usage is not negative, and a cast from floating point saturates"
)]
pub(crate) fn load(shared: &Shared, with_teams: bool) -> EngineLoad {
    let now = shared.started_at.elapsed();
    let state = shared.lock();
    let load = state.queue.load();
    let usage = state.queue.usage();
    let max_usage = usage
        .teams(now)
        .map(|(_, tokens)| tokens)
        .fold(0.0, f64::max);
    let significant = usage
        .teams(now)
        .filter(|(_, tokens)| *tokens >= max_usage / NEGLIGIBLE_USAGE_DIVISOR);
    let teams = significant.filter(|_| with_teams);
    EngineLoad {
        running: load.running,
        unread_tokens: load.unread_tokens,
        waiting_tokens: load.waiting_tokens,
        teams: teams
            .map(|(team, tokens)| TeamTokens {
                team: team.into(),
                tokens: tokens as u64,
            })
            .collect(),
        engine_is_gone: load.engine_is_gone.then_some(true),
        warm_up_ms: state.queue.warm_up_left(now).map(millis),
        pace: told_pace(&state.queue, now),
        engine_born_unix_ms: load.engine_started_unix_ms,
    }
}

/// Returns the pace that gateways are told, once it is measured; none where news of the engine keeps up with it, so that
/// its queue goes by reports.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "rates are positive and bounded"
)]
fn told_pace(queue: &AdmissionQueue, now: Duration) -> Option<EnginePace> {
    let pace = queue.pace();
    let delay = pace.feedback_delay().filter(|_| queue.goes_by_pace())?;
    Some(EnginePace {
        prefill_tokens_per_s: pace.tokens_per_s(now) as u32,
        usual_tokens_per_s: pace.usual_tokens_per_s() as u32,
        first_event_ms: u32::try_from(delay.as_millis()).unwrap_or(u32::MAX),
    })
}

fn warm_up_limits(limits: &WarmUp) -> WarmUpLimits {
    WarmUpLimits {
        duration: Duration::from_millis(limits.duration_ms),
        max_requests_per_s: limits.max_requests_per_s,
    }
}

pub(crate) fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
