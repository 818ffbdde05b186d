//! A gateway's state of one endpoint.

use std::collections::HashMap;
use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hinge_clock::BootInstant;
use hinge_routing::{
    AnswerProgress, Backlog, Candidate, ChoiceRules, CircuitBreaker, CircuitBreakerRules,
    CrashTracker, IncarnationHash, Pace, PlainCandidate, PlainRequest, PlainSpeed, RequestKey,
    WarmUpLimits, WarmUpShare,
};
use hinge_schema::routing::{Endpoint as Description, EngineLoad};
use hinge_telemetry::log::Component;
use hinge_telemetry::{info, warn};
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout};

use crate::admission::{AdmissionClient, Grant};
use crate::attempt::OutgoingRequest;
use crate::dialect::EndpointLoad;
use crate::incarnation::{hash, incarnation};
use crate::notices::Notices;
use crate::pool::{self, MAX_IDLE, Pool};
use crate::suspects::{BrokenRequest, Evidence, Suspects};

#[cfg(test)]
mod tests;

/// Time left to an answer once its endpoint is known to have restarted. What the endpoint sent before may still wait to be read,
/// and a gateway short of CPU time reads it within a few tens of milliseconds.
const RESTART_GRACE: Duration = Duration::from_millis(200);

/// Time after which an endpoint's crash at the end of an answer would be known.
const SETTLE_TIME: Duration = Duration::from_secs(1);

/// Time in which the system closes the sockets of a process that has ended, its listener often last.
const CLOSE_TIME: Duration = Duration::from_millis(50);

/// Time in which a running endpoint accepts a connection; an answer is held up for as long at its end.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);

/// Age beyond which a reported load is no longer used; requests last about a second.
const MAX_LOAD_AGE: Duration = Duration::from_millis(1500);

/// Longest age of a grant with which a request is sent to an endpoint that warms up, whose limit is paced by the grants.
const MAX_WARM_UP_GRANT_AGE: Duration = Duration::from_millis(250);

/// What this gateway knows of an endpoint's load and health.
#[derive(Debug, Default)]
struct LocalState {
    breaker: CircuitBreaker,
    /// Requests from this gateway that the endpoint runs.
    own_running: u32,
    /// Prompt tokens of this gateway's requests whose answers have not begun.
    unread_tokens: u32,
    load: Option<(EndpointLoad, Instant)>,
    /// Requests sent minus requests ended since the load was reported.
    sent_since_load: i32,
    /// Speed and load for requests without a prompt.
    plain: PlainSpeed,
    /// Load reported by the admission beside the endpoint.
    admission_load: Option<(EngineLoad, Instant)>,
    /// Last plausible pace that the admission reported.
    pace: Option<(Pace, Instant)>,
    /// Tokens that each team has used there recently.
    team_usage: HashMap<Box<str>, u64>,
    /// Prompt tokens of this gateway's asks since the admission's last report.
    asked_tokens: u32,
    /// Time since `began` until which it warms up, as far as control or the admission has reported.
    warms_until: Duration,
    warm_up_share: WarmUpShare,
}

impl LocalState {
    /// Returns the load reported by the admission and its age, unless it is too old to be used.
    fn fresh_admission_load(&self) -> Option<(&EngineLoad, Duration)> {
        let (load, reported_at) = self.admission_load.as_ref()?;
        let age = reported_at.elapsed();
        (age < MAX_LOAD_AGE).then_some((load, age))
    }

    /// Returns the pace that the admission reported and its age.
    ///
    /// It is not outdated by old news: without any, the endpoint counts as working at its usual pace.
    fn pace(&self) -> Option<(Pace, Duration)> {
        let (pace, reported_at) = self.pace?;
        let age = reported_at.elapsed();
        Some((pace.after(age), age))
    }

    /// Returns whether the admission recently reported that its engine is gone.
    fn engine_is_gone(&self) -> bool {
        let reported = self.fresh_admission_load();
        reported.is_some_and(|(load, _)| load.engine_is_gone == Some(true))
    }
}

/// One endpoint, in one incarnation.
#[derive(Debug)]
pub(crate) struct Endpoint {
    pub(crate) description: Description,
    /// Hash of its id, which survives a restart, so that the home of a prompt prefix stays where it is.
    pub(crate) hash: u64,
    /// Hash of this incarnation, whose cache is empty after a restart.
    pub(crate) incarnation: IncarnationHash,
    pub(crate) pool: Pool,
    /// Client of the admission beside it, if there is one.
    pub(crate) admission: Option<AdmissionClient>,
    is_draining: AtomicBool,
    /// Whether its data centre is evacuated, so that it gets no more requests.
    is_evacuated: watch::Sender<bool>,
    /// Whether it has restarted, so that no request that was sent to it runs any more.
    has_restarted: watch::Sender<bool>,
    began: Instant,
    state: Mutex<LocalState>,
    crashes: Mutex<CrashTracker<BrokenRequest>>,
    /// Whether a probe connection is being opened to find out whether it has ended.
    is_probing: AtomicBool,
    suspects: Arc<Suspects>,
    notices: Arc<Notices>,
}

impl Endpoint {
    pub(crate) fn new(
        description: Description,
        admission: Option<AdmissionClient>,
        suspects: Arc<Suspects>,
        notices: Arc<Notices>,
    ) -> Self {
        Self {
            admission,
            hash: hash(&description.id),
            incarnation: incarnation(&description),
            is_draining: AtomicBool::new(false),
            is_evacuated: watch::Sender::new(false),
            has_restarted: watch::Sender::new(false),
            description,
            pool: Pool::new(MAX_IDLE),
            began: Instant::now(),
            state: Mutex::default(),
            crashes: Mutex::default(),
            is_probing: AtomicBool::new(false),
            suspects,
            notices,
        }
    }

    /// Returns for how much longer it wants no requests from this instance.
    pub(crate) fn backoff_left(&self) -> Option<Duration> {
        self.notices.backoff_left()
    }

    /// Records that it shuts down as planned.
    pub(crate) fn record_planned_stop(&self) {
        self.lock_crashes().record_planned_stop();
        self.drain();
    }

    /// Records that the answer to a request broke off.
    pub(crate) fn record_broken(self: &Arc<Self>, request: BrokenRequest) {
        let now = self.began.elapsed();
        let taken = self.lock_crashes().record_broken(now, request);
        match taken {
            Some(request) => self
                .suspects
                .record_end(&request, self, Evidence::KnownBefore),
            None => self.probe(),
        }
    }

    /// Records that it has ended.
    pub(crate) fn record_ended(&self, evidence: Evidence) {
        let now = self.began.elapsed();
        let taken = self.lock_crashes().record_crash(now);
        for request in taken {
            self.suspects.record_end(&request, self, evidence);
        }
    }

    /// Forgets a request that broke off here, because another endpoint has completed it.
    pub(crate) fn forget_broken(&self, request: &RequestKey) {
        self.lock_crashes()
            .forget_broken(|broken| broken.key == *request);
    }

    /// Returns whether it is known to have outlived the answers that ended a while ago.
    async fn has_outlived_answers(&self) -> bool {
        let is_up = if self.has_admission_report() {
            self.has_fresh_load() && !self.lock().engine_is_gone()
        } else {
            self.accepts_connection().await == Some(true)
        };
        is_up && !self.lock_crashes().has_crashed()
    }

    /// Opens a connection, which is kept, and returns whether it was accepted or refused; `None` if neither is known in time.
    async fn accepts_connection(&self) -> Option<bool> {
        let connected = timeout(PROBE_TIMEOUT, pool::connect(self.description.address)).await;
        match connected.ok()? {
            Ok(sender) => {
                self.pool.keep(sender, None);
                Some(true)
            }
            Err(cause) => {
                self.record_connect_failure(&cause);
                (cause.kind() == io::ErrorKind::ConnectionRefused).then_some(false)
            }
        }
    }

    /// Opens a connection to find out whether anything listens, unless an admission reports that.
    fn probe(self: &Arc<Self>) {
        if self.has_admission_report() || self.is_probing.swap(true, Ordering::AcqRel) {
            return;
        }
        let endpoint = Arc::clone(self);
        tokio::spawn(async move {
            match pool::connect(endpoint.description.address).await {
                Ok(sender) => endpoint.pool.keep(sender, None),
                Err(cause) => endpoint.record_connect_failure(&cause),
            }
            endpoint.is_probing.store(false, Ordering::Release);
        });
    }

    /// Records that a connection could not be opened.
    ///
    /// A refused connection proves that a plain endpoint has ended. A model engine's admission knows better: it runs on the same
    /// machine, so a network fault can't mislead it.
    pub(crate) fn record_connect_failure(&self, cause: &io::Error) {
        if cause.kind() == io::ErrorKind::ConnectionRefused && !self.has_admission_report() {
            self.record_ended(Evidence::ConnectionRefused);
        }
    }

    /// Returns whether an admission beside it has reported on it.
    fn has_admission_report(&self) -> bool {
        self.lock().admission_load.is_some()
    }

    fn lock_crashes(&self) -> MutexGuard<'_, CrashTracker<BrokenRequest>> {
        self.crashes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Marks the endpoint as taking no new requests.
    pub(crate) fn drain(&self) {
        self.is_draining.store(true, Ordering::Release);
        self.pool.clear();
    }

    /// Returns whether a load is that of a later start of the engine, which may run another software version.
    ///
    /// Control lists the later start with its first report, which may take seconds to arrive.
    fn is_outlived_by(&self, load: &EngineLoad) -> bool {
        let listed = self.description.born_unix_ms;
        let is_later = listed.is_some() && load.engine_born_unix_ms > listed;
        is_later && !self.has_restarted()
    }

    /// Returns whether the endpoint is known to have restarted, so that its description is of its previous incarnation.
    pub(crate) fn has_restarted(&self) -> bool {
        *self.has_restarted.borrow()
    }

    /// Records that the endpoint has restarted: this incarnation takes no new requests, and its open ones end.
    pub(crate) fn record_restart(&self) {
        self.record_ended(Evidence::Replaced);
        self.drain();
        self.has_restarted.send_replace(true);
        info!(
            Component::Gateway,
            "An endpoint has restarted; the outcome of requests sent to its previous incarnation is unknown.",
            endpoint = self.description.id,
            born_unix_ms = self.description.born_unix_ms.unwrap_or_default(),
            running = self.lock().own_running
        );
    }

    /// Waits until the endpoint has restarted, then for answers that its previous incarnation has already sent.
    async fn wait_for_restart(&self) {
        let mut restarted = self.has_restarted.subscribe();
        let reported = restarted.wait_for(|restarted| *restarted).await.is_ok();
        assert!(reported, "the sender is held here");
        sleep(RESTART_GRACE).await;
    }

    /// Returns whether a description is of this incarnation of the endpoint.
    pub(crate) fn is_same_incarnation(&self, description: &Description) -> bool {
        self.description.address == description.address
            && self.description.born_unix_ms == description.born_unix_ms
            && self.description.software_version == description.software_version
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.is_draining.load(Ordering::Acquire) || self.notices.is_leaving()
    }

    /// Returns whether it may be sent a request now, given its circuit breaker and its reports.
    pub(crate) fn is_open(&self) -> bool {
        let state = self.lock();
        !self.is_draining()
            && !state.engine_is_gone()
            && state.breaker.allows_request(self.began.elapsed())
    }

    /// Records whether its data centre is evacuated.
    pub(crate) fn set_evacuated(&self, is_evacuated: bool) {
        self.is_evacuated.send_if_modified(|known| {
            let is_new = *known != is_evacuated;
            *known = is_evacuated;
            is_new
        });
    }

    /// Returns whether its data centre is evacuated.
    pub(crate) fn is_evacuated(&self) -> bool {
        *self.is_evacuated.borrow()
    }

    /// Waits until its data centre is evacuated.
    pub(crate) async fn wait_until_evacuated(&self) {
        let mut is_evacuated = self.is_evacuated.subscribe();
        let reported = is_evacuated
            .wait_for(|is_evacuated| *is_evacuated)
            .await
            .is_ok();
        assert!(reported, "the sender is held here");
    }

    /// Records for how much longer it warms up, as just reported; a later end that is known stays.
    pub(crate) fn record_warm_up(&self, left: Duration) {
        let until = self.began.elapsed() + left;
        let mut state = self.lock();
        state.warms_until = state.warms_until.max(until);
    }

    /// Returns for how much longer it warms up; zero if it does not.
    pub(crate) fn warm_up_left(&self) -> Duration {
        let warms_until = self.lock().warms_until;
        warms_until.saturating_sub(self.began.elapsed())
    }

    /// Returns whether this gateway's share of the warm-up limit allows one more request, and counts it if so.
    pub(crate) fn try_warm_up_share(&self, limits: WarmUpLimits, gateways: u32) -> bool {
        let now = self.began.elapsed();
        let mut state = self.lock();
        let until = state.warms_until;
        let draw = rand::random();
        state
            .warm_up_share
            .try_send(now, until, limits, gateways, draw)
    }

    pub(crate) fn is_in(&self, data_center: &str) -> bool {
        *self.description.data_center == *data_center
    }

    /// Returns its description for choosing an endpoint, with the age of its load in milliseconds.
    pub(crate) fn candidate(
        &self,
        data_center: &str,
        has_cached_prefix: bool,
    ) -> (Candidate, u128) {
        let state = self.lock();
        let pace = state.pace().map(|(pace, _age)| pace);
        let is_warming_up = state.warms_until > self.began.elapsed();
        if let Some((load, age)) = state.fresh_admission_load() {
            let candidate = Candidate {
                hash: self.hash,
                running: load.running,
                slots: self.description.slots,
                backlog: Backlog {
                    unread_tokens: load.unread_tokens + state.asked_tokens,
                    waiting_tokens: load.waiting_tokens,
                },
                pace,
                is_local: self.is_in(data_center),
                has_cached_prefix,
                is_warming_up,
            };
            return (candidate, age.as_millis());
        }
        let (running, age) = match state.load {
            Some((load, reported_at)) if reported_at.elapsed() < MAX_LOAD_AGE => {
                let reported = load.running + load.waiting;
                let running = reported.saturating_add_signed(state.sent_since_load);
                (
                    running.max(state.own_running),
                    reported_at.elapsed().as_millis(),
                )
            }
            _ => (state.own_running, MAX_LOAD_AGE.as_millis()),
        };
        let candidate = Candidate {
            hash: self.hash,
            running,
            slots: self.description.slots,
            backlog: Backlog {
                unread_tokens: state.unread_tokens,
                waiting_tokens: 0,
            },
            pace,
            is_local: self.is_in(data_center),
            has_cached_prefix,
            is_warming_up,
        };
        (candidate, age)
    }

    /// Returns how fast it works, as far as its admission has reported, and the age of that report.
    pub(crate) fn pace(&self) -> Option<(Pace, Duration)> {
        self.lock().pace()
    }

    /// Returns its description for choosing an endpoint for a request without a prompt.
    ///
    /// `remote_bytes` is the number of bytes that would leave the data centre. The round trip is part of its service time as
    /// seen from here.
    pub(crate) fn plain_candidate(
        &self,
        data_center: &str,
        remote_bytes: u64,
        rules: &ChoiceRules,
    ) -> PlainCandidate {
        let now = self.began.elapsed();
        let state = self.lock();
        let slots = self.description.slots;
        let mut candidate = state.plain.candidate(now, state.own_running, slots);
        candidate.hash = self.hash;
        if !self.is_in(data_center) {
            candidate.price += Duration::from_micros(remote_bytes * rules.remote_kb_us / 1_000);
        }
        if state.warms_until > now {
            candidate.price += Duration::from_micros(rules.warm_up_us);
        }
        candidate
    }

    /// Returns the time until a request of now would begin there, as far as its answers have shown.
    pub(crate) fn plain_free_in(&self) -> Option<Duration> {
        let state = self.lock();
        let (now, slots) = (self.began.elapsed(), self.description.slots);
        let candidate = state.plain.candidate(now, state.own_running, slots);
        candidate.free_in()
    }

    /// Records that a request is sent; dropping the handle records that it has ended.
    pub(crate) fn begin_request(
        self: &Arc<Self>,
        tokens: u32,
        grant: Option<Grant>,
    ) -> EndpointUse {
        let mut state = self.lock();
        state.breaker.record_sent();
        state.own_running += 1;
        state.sent_since_load += 1;
        state.unread_tokens += tokens;
        drop(state);
        EndpointUse {
            endpoint: Arc::clone(self),
            tokens,
            grant,
            plain: None,
            has_outcome: false,
            progress: None,
        }
    }

    /// Records a load report of the admission.
    pub(crate) fn record_admission_load(&self, load: &EngineLoad) {
        if self.is_outlived_by(load) {
            self.record_restart();
        }
        let mut state = self.lock();
        if !load.teams.is_empty() {
            let teams = load.teams.iter();
            state.team_usage = teams.map(|team| (team.team.clone(), team.tokens)).collect();
        }
        let now = Instant::now();
        let pace = load.pace.as_ref().and_then(|pace| {
            let first_event = Duration::from_millis(u64::from(pace.first_event_ms));
            Pace::reported(
                pace.prefill_tokens_per_s,
                pace.usual_tokens_per_s,
                first_event,
            )
        });
        state.pace = pace.map(|pace| (pace, now)).or(state.pace);
        state.admission_load = Some((load.clone(), now));
        state.asked_tokens = 0;
        drop(state);
        if let Some(left_ms) = load.warm_up_ms {
            self.record_warm_up(Duration::from_millis(left_ms));
        }
        if load.engine_is_gone == Some(true) {
            self.record_ended(Evidence::AdmissionReport);
        }
    }

    /// Returns whether the admission has reported recently, which shows that the endpoint is up and reachable.
    pub(crate) fn has_fresh_load(&self) -> bool {
        self.lock().fresh_admission_load().is_some()
    }

    /// Returns a team's recent usage there in tokens, as last reported.
    pub(crate) fn used_by(&self, team: &str) -> u64 {
        let state = self.lock();
        let is_fresh = state.fresh_admission_load().is_some();
        let used = state.team_usage.get(team).filter(|_| is_fresh);
        used.copied().unwrap_or_default()
    }

    /// Calls `visit` with each team's recent usage there in tokens, as last reported.
    pub(crate) fn for_each_usage(&self, mut visit: impl FnMut(&str, u64)) {
        let state = self.lock();
        if state.fresh_admission_load().is_some() {
            for (team, tokens) in &state.team_usage {
                visit(team, *tokens);
            }
        }
    }

    /// Records the prompt tokens of an ask.
    pub(crate) fn record_ask(&self, tokens: u32) {
        self.lock().asked_tokens += tokens;
    }

    fn lock(&self) -> MutexGuard<'_, LocalState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A request in progress at an endpoint; dropping it records the end.
#[derive(Debug)]
pub(crate) struct EndpointUse {
    endpoint: Arc<Endpoint>,
    tokens: u32,
    grant: Option<Grant>,
    /// The request as its endpoint's speed knows it, until it is answered.
    plain: Option<PlainRequest>,
    /// Whether the circuit breaker has been told how the request fared.
    has_outcome: bool,
    /// How far the answer has come, once its first whole chunk has arrived.
    progress: Option<AnswerProgress>,
}

impl EndpointUse {
    pub(crate) fn endpoint(&self) -> &Endpoint {
        &self.endpoint
    }

    /// Returns whether the grant is so old that an endpoint that warms up could get it together with later ones.
    pub(crate) fn is_grant_outdated(&self) -> bool {
        let grant = self.grant.as_ref();
        !self.endpoint.warm_up_left().is_zero()
            && grant.is_some_and(|grant| grant.age() > MAX_WARM_UP_GRANT_AGE)
    }

    /// Records that the request is sent now.
    pub(crate) fn record_sent(&mut self) {
        if let Some(grant) = &mut self.grant {
            grant.record_sent(BootInstant::now());
            return;
        }
        let endpoint = &self.endpoint;
        let mut state = endpoint.lock();
        let others_of_ours = state.own_running - 1;
        let now = endpoint.began.elapsed();
        let sent = state
            .plain
            .record_sent(now, others_of_ours, endpoint.description.slots);
        self.plain = Some(sent);
    }

    /// Records the load that the endpoint reported.
    pub(crate) fn record_load(&self, load: EndpointLoad) {
        let mut state = self.endpoint.lock();
        state.load = Some((load, Instant::now()));
        state.sent_since_load = 0;
        if self.plain.is_some() {
            let now = self.endpoint.began.elapsed();
            let reported = load.running.saturating_add(load.waiting);
            let own = state.own_running;
            state
                .plain
                .record_load(now, reported, own, load.work_permille);
        }
    }

    /// Records that the endpoint wants no requests from this instance for some time.
    pub(crate) fn record_backoff(&self, backoff: Duration) {
        if self.endpoint.notices.record_backoff(backoff) {
            info!(
                Component::Gateway,
                "An endpoint asks for rest.",
                endpoint = self.endpoint.description.id,
                rest_ms = backoff.as_millis()
            );
        }
    }

    /// Records that the endpoint announced its shutdown in an answer.
    pub(crate) fn record_leaving(&self) {
        if self.endpoint.notices.record_leaving() {
            info!(
                Component::Gateway,
                "An endpoint says that it leaves.",
                endpoint = self.endpoint.description.id
            );
        }
        self.endpoint.record_planned_stop();
    }

    /// Records that the endpoint was full and has not run the request.
    pub(crate) fn record_rejected(&mut self) {
        if let Some(request) = self.plain.take() {
            let endpoint = &self.endpoint;
            let mut state = endpoint.lock();
            state.plain.record_end(request);
            let now = endpoint.began.elapsed();
            state.plain.record_rejected(now, endpoint.description.slots);
        }
        self.record_answer();
    }

    /// Records that the endpoint has begun to answer.
    pub(crate) fn record_answer(&mut self) {
        self.has_outcome = true;
        let mut state = self.endpoint.lock();
        if let Some(request) = self.plain.take() {
            state.plain.record_end(request);
            let now = self.endpoint.began.elapsed();
            state.plain.record_answer(now, request);
        }
        state.breaker.record_success();
        state.unread_tokens -= self.tokens;
        self.tokens = 0;
    }

    /// Waits until it is certain that the endpoint no longer runs the request, and returns why. Cancel-safe.
    ///
    /// On the admission's report alone, only a request that may be resumed elsewhere gains from giving up, because its answer may
    /// still arrive. After a restart of the endpoint no answer arrives.
    pub(crate) async fn wait_until_lost(&mut self, may_rerun: bool) -> &'static str {
        let Self {
            endpoint, grant, ..
        } = self;
        let no_longer_run = async {
            match grant {
                Some(grant) if may_rerun => grant.wait_until_lost().await,
                Some(_) | None => std::future::pending().await,
            }
        };
        tokio::select! {
            () = endpoint.wait_for_restart() => "the endpoint has started again",
            () = no_longer_run => "the engine does not run the request any more",
        }
    }

    /// Records that another endpoint listens at the address: this one has ended, even if it is still listed.
    pub(crate) fn record_replaced(&mut self) {
        self.has_outcome = true;
        if !self.endpoint.is_draining() {
            warn!(
                Component::Gateway,
                "Another endpoint listens at an endpoint's address; the former one has ended.",
                endpoint = self.endpoint.description.id,
                address = self.endpoint.description.address
            );
        }
        self.endpoint.record_ended(Evidence::Replaced);
        self.endpoint.drain();
    }

    /// Records that the answer to the request broke off or can no longer arrive.
    pub(crate) fn record_broken(&self, outgoing: &OutgoingRequest) {
        self.endpoint.record_broken(self.broken_request(outgoing));
    }

    /// Returns whether nothing listens at the endpoint's address, so that its crash has ended the answer.
    ///
    /// An endpoint that stops as planned closes its listener before it has sent its last answers.
    pub(crate) async fn is_endpoint_gone(&self) -> bool {
        if self.endpoint.lock_crashes().is_leaving() {
            return false;
        }
        sleep(CLOSE_TIME).await;
        self.endpoint.accepts_connection().await == Some(false)
    }

    /// Records that the answer ended with its connection, so that a crash of the endpoint may have cut it off.
    ///
    /// It counts as whole once the endpoint is known to have outlived it.
    pub(crate) fn record_unproven_end(&self, outgoing: &OutgoingRequest) {
        let endpoint = Arc::clone(&self.endpoint);
        let request = self.broken_request(outgoing);
        endpoint.record_broken(request.clone());
        tokio::spawn(async move {
            sleep(SETTLE_TIME).await;
            if endpoint.has_outlived_answers().await {
                endpoint.forget_broken(&request.key);
                endpoint.suspects.record_whole(&request, &endpoint);
            }
        });
    }

    fn broken_request(&self, outgoing: &OutgoingRequest) -> BrokenRequest {
        BrokenRequest {
            key: outgoing.key(),
            request_id: outgoing.request_id.clone().unwrap_or_default(),
            shared_parts: outgoing.shared_parts.clone(),
            progress: self.progress,
        }
    }

    /// Records that the first chunk of the answer, or the whole of a buffered answer, has arrived.
    pub(crate) fn record_first_chunk(&mut self) {
        self.progress = Some(AnswerProgress::begin(self.endpoint.suspects.now()));
        if let Some(grant) = &self.grant {
            grant.report_prefilled();
        }
    }

    /// Records a further chunk, and returns when the answer began if it has now gone on for long enough to speak for its prompt.
    pub(crate) fn record_chunk(&mut self) -> Option<Duration> {
        let now = self.endpoint.suspects.now();
        let progress = self.progress.as_mut()?;
        let had_survived = progress.has_survived();
        progress.record_chunk(now);
        let survives = progress.has_survived() && !had_survived;
        survives.then(|| progress.began_at())
    }

    /// Returns when the first whole chunk of the answer arrived.
    pub(crate) fn began_at(&self) -> Option<Duration> {
        self.progress.map(|progress| progress.began_at())
    }

    /// Records a failure of the endpoint or of the network path to it.
    pub(crate) fn record_failure(&mut self, cause: &str) {
        self.has_outcome = true;
        let endpoint = &self.endpoint;
        let ejection = {
            let mut state = endpoint.lock();
            let now = endpoint.began.elapsed();
            state
                .breaker
                .record_failure(now, &CircuitBreakerRules::default())
        };
        if let Some(hold) = ejection {
            warn!(
                Component::Gateway,
                "An endpoint is held out.",
                endpoint = endpoint.description.id,
                hold_ms = hold.as_millis(),
                cause = cause
            );
        }
    }
}

impl Drop for EndpointUse {
    fn drop(&mut self) {
        let mut state = self.endpoint.lock();
        state.own_running -= 1;
        state.sent_since_load -= 1;
        state.unread_tokens -= self.tokens;
        if let Some(request) = self.plain.take() {
            state.plain.record_end(request);
        }
        if !self.has_outcome {
            state.breaker.record_abandoned();
        }
    }
}
