//! Holds what a gateway knows of one endpoint.

use std::collections::HashMap;
use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hinge_routing::{
    Backlog, Candidate, CircuitBreaker, CircuitBreakerRules, CrashTracker, IncarnationHash,
    RequestKey,
};
use hinge_schema::routing::{Endpoint as Described, EngineLoad};
use hinge_telemetry::log::Part;
use hinge_telemetry::{info, warn};
use tokio::sync::watch;
use tokio::time::{Instant, sleep};

use crate::admit::{Admitter, Place};
use crate::attempt::Outgoing;
use crate::dialect::Load;
use crate::pool::{self, MAX_IDLE, Pool};
use crate::said::Said;
use crate::suspects::{BrokenRequest, Evidence, Suspects};

/// Time that is left to an answer once it is known that its endpoint has started again: what the former start sent may wait to be
/// read, and a gateway that is short of processor time reads it within a few tens of milliseconds.
const LAST_BYTES: Duration = Duration::from_millis(200);

/// Age from which on a load that an endpoint told is no longer used; requests last about a second.
const LOAD_AGE: Duration = Duration::from_millis(1500);

#[derive(Debug, Default)]
struct Known {
    standing: CircuitBreaker,
    /// Requests that this gateway has there.
    own_running: u32,
    /// Prompt tokens of requests that have not begun to answer.
    unread_tokens: u32,
    load: Option<(Load, Instant)>,
    /// Requests sent less requests ended since the load was told.
    since_load: i32,
    /// Load that the admission beside the endpoint told.
    engine: Option<(EngineLoad, Instant)>,
    /// What the teams have used there lately.
    team_use: HashMap<Box<str>, u64>,
    /// Prompt tokens of requests that this gateway has asked a place for since then.
    since_engine: u32,
}

impl Known {
    /// Returns the load that the admission told, and its age, unless it is too old to be used.
    fn fresh_engine(&self) -> Option<(&EngineLoad, Duration)> {
        let (load, told_at) = self.engine.as_ref()?;
        let age = told_at.elapsed();
        (age < LOAD_AGE).then_some((load, age))
    }

    /// Returns whether the admission beside it said lately that its engine is gone.
    fn engine_is_gone(&self) -> bool {
        let told = self.fresh_engine();
        told.is_some_and(|(load, _)| load.engine_is_gone == Some(true))
    }
}

/// Holds one endpoint.
#[derive(Debug)]
pub(crate) struct Endpoint {
    pub(crate) described: Described,
    /// Stands for its id, under which it may start again: the home of a part stays where it is.
    pub(crate) hash: u64,
    /// Stands for this start of it, which knows nothing of the one before.
    pub(crate) incarnation: IncarnationHash,
    pub(crate) pool: Pool,
    /// The admission beside it, where there is one.
    pub(crate) admitter: Option<Admitter>,
    is_draining: AtomicBool,
    /// Whether it has ended and started again, so that nothing that was sent to it runs any more.
    has_restarted: watch::Sender<bool>,
    began: Instant,
    known: Mutex<Known>,
    ends: Mutex<CrashTracker<BrokenRequest>>,
    /// Whether a connection is being opened to learn whether it has ended.
    is_probed: AtomicBool,
    suspects: Arc<Suspects>,
    said: Arc<Said>,
}

impl Endpoint {
    pub(crate) fn new(
        described: Described,
        admitter: Option<Admitter>,
        suspects: Arc<Suspects>,
        said: Arc<Said>,
    ) -> Self {
        Self {
            admitter,
            hash: hash(&described.id),
            incarnation: incarnation(&described),
            is_draining: AtomicBool::new(false),
            has_restarted: watch::Sender::new(false),
            described,
            pool: Pool::new(MAX_IDLE),
            began: Instant::now(),
            known: Mutex::default(),
            ends: Mutex::default(),
            is_probed: AtomicBool::new(false),
            suspects,
            said,
        }
    }

    /// Returns for how much longer it wants no request from this instance.
    pub(crate) fn rest_left(&self) -> Option<Duration> {
        self.said.rest_left()
    }

    /// Notes that it leaves as planned.
    pub(crate) fn leaves(&self) {
        self.lock_ends().record_planned_stop();
        self.drain();
    }

    /// Notes that the answer to a request broke off.
    pub(crate) fn broke(self: &Arc<Self>, request: BrokenRequest) {
        let now = self.began.elapsed();
        let taken = self.lock_ends().record_broken(now, request);
        match taken {
            Some(request) => self
                .suspects
                .ended_under(&request, self, Evidence::KnownBefore),
            None => self.probe(),
        }
    }

    /// Notes word that it has ended.
    pub(crate) fn ended(&self, evidence: Evidence) {
        let now = self.began.elapsed();
        let taken = self.lock_ends().record_crash(now);
        for request in taken {
            self.suspects.ended_under(&request, self, evidence);
        }
    }

    /// Notes that a request whose answer broke off here was answered elsewhere.
    pub(crate) fn forgive(&self, request: &RequestKey) {
        self.lock_ends()
            .forget_broken(|broken| broken.key == *request);
    }

    /// Opens a connection to learn whether anything listens, where no admission tells it.
    fn probe(self: &Arc<Self>) {
        if self.is_watched() || self.is_probed.swap(true, Ordering::AcqRel) {
            return;
        }
        let endpoint = Arc::clone(self);
        tokio::spawn(async move {
            match pool::connect(endpoint.described.address).await {
                Ok(sender) => endpoint.pool.keep(sender, None),
                Err(cause) => endpoint.not_connected(&cause),
            }
            endpoint.is_probed.store(false, Ordering::Release);
        });
    }

    /// Notes that a connection could not be opened.
    ///
    /// A refused one proves that a plain endpoint has ended. Of a model engine the admission knows more: it is on the same machine,
    /// so that a cut on the way can't mislead it.
    pub(crate) fn not_connected(&self, cause: &io::Error) {
        if cause.kind() == io::ErrorKind::ConnectionRefused && !self.is_watched() {
            self.ended(Evidence::ConnectionRefused);
        }
    }

    /// Returns whether an admission beside it has told of it.
    fn is_watched(&self) -> bool {
        self.lock().engine.is_some()
    }

    fn lock_ends(&self) -> MutexGuard<'_, CrashTracker<BrokenRequest>> {
        self.ends.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes that the endpoint takes no new work.
    pub(crate) fn drain(&self) {
        self.is_draining.store(true, Ordering::Release);
        self.pool.clear();
    }

    /// Notes that the endpoint has started again: this start of it takes no new work, and ends what it has.
    pub(crate) fn started_again(&self) {
        self.ended(Evidence::Replaced);
        self.drain();
        self.has_restarted.send_replace(true);
        info!(
            Part::Gateway,
            "An endpoint has started again; what was sent to its former start has no known end.",
            endpoint = self.described.id,
            born_unix_ms = self.described.born_unix_ms.unwrap_or_default(),
            running = self.lock().own_running
        );
    }

    /// Waits until the endpoint has started again, and a while longer for what its former start has sent.
    async fn restarted(&self) {
        let mut restarted = self.has_restarted.subscribe();
        let told = restarted.wait_for(|restarted| *restarted).await.is_ok();
        assert!(told, "the sender is held here");
        sleep(LAST_BYTES).await;
    }

    /// Returns whether a description is of this start of the endpoint.
    pub(crate) fn is_same_start(&self, described: &Described) -> bool {
        self.described.address == described.address
            && self.described.born_unix_ms == described.born_unix_ms
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.is_draining.load(Ordering::Acquire) || self.said.is_leaving()
    }

    /// Returns whether it may be sent a request now.
    pub(crate) fn is_open(&self) -> bool {
        let known = self.lock();
        !self.is_draining()
            && !known.engine_is_gone()
            && known.standing.allows_request(self.began.elapsed())
    }

    pub(crate) fn is_in(&self, data_center: &str) -> bool {
        *self.described.data_center == *data_center
    }

    /// Describes it for the choice, with the age of its load in milliseconds.
    pub(crate) fn candidate(
        &self,
        data_center: &str,
        has_cached_prefix: bool,
    ) -> (Candidate, u128) {
        let known = self.lock();
        if let Some((load, age)) = known.fresh_engine() {
            let candidate = Candidate {
                hash: self.hash,
                running: load.running,
                slots: self.described.slots,
                backlog: Backlog {
                    unread_tokens: load.unread_tokens + known.since_engine,
                    waiting_tokens: load.waiting_tokens,
                },
                is_local: self.is_in(data_center),
                has_cached_prefix,
            };
            return (candidate, age.as_millis());
        }
        let (running, age) = match known.load {
            Some((load, told_at)) if told_at.elapsed() < LOAD_AGE => {
                let told = load.running + load.waiting;
                let running = told.saturating_add_signed(known.since_load);
                (
                    running.max(known.own_running),
                    told_at.elapsed().as_millis(),
                )
            }
            _ => (known.own_running, LOAD_AGE.as_millis()),
        };
        let candidate = Candidate {
            hash: self.hash,
            running,
            slots: self.described.slots,
            backlog: Backlog {
                unread_tokens: known.unread_tokens,
                waiting_tokens: 0,
            },
            is_local: self.is_in(data_center),
            has_cached_prefix,
        };
        (candidate, age)
    }

    /// Notes that a request is sent; the use ends when the handle is dropped.
    pub(crate) fn begin(self: &Arc<Self>, tokens: u32, place: Option<Place>) -> Use {
        let mut known = self.lock();
        known.standing.record_sent();
        known.own_running += 1;
        known.since_load += 1;
        known.unread_tokens += tokens;
        drop(known);
        Use {
            endpoint: Arc::clone(self),
            tokens,
            place,
            is_judged: false,
        }
    }

    /// Notes the load that the admission told.
    pub(crate) fn saw_engine_load(&self, load: &EngineLoad) {
        let mut known = self.lock();
        if !load.teams.is_empty() {
            let teams = load.teams.iter();
            known.team_use = teams.map(|team| (team.team.clone(), team.tokens)).collect();
        }
        known.engine = Some((load.clone(), Instant::now()));
        known.since_engine = 0;
        drop(known);
        if load.engine_is_gone == Some(true) {
            self.ended(Evidence::AdmissionSays);
        }
    }

    /// Returns whether the admission beside it has told its load lately, so that it is there and can be reached.
    pub(crate) fn has_fresh_load(&self) -> bool {
        self.lock().fresh_engine().is_some()
    }

    /// Returns what a team has used there lately, in tokens, as far as it was told.
    pub(crate) fn used_by(&self, team: &str) -> u64 {
        let known = self.lock();
        let is_fresh = known.fresh_engine().is_some();
        let used = known.team_use.get(team).filter(|_| is_fresh);
        used.copied().unwrap_or_default()
    }

    /// Goes through what the teams have used there lately, in tokens, as far as it was told.
    pub(crate) fn each_use(&self, mut visit: impl FnMut(&str, u64)) {
        let known = self.lock();
        if known.fresh_engine().is_some() {
            for (team, tokens) in &known.team_use {
                visit(team, *tokens);
            }
        }
    }

    /// Notes that a place is asked for.
    pub(crate) fn asks(&self, tokens: u32) {
        self.lock().since_engine += tokens;
    }

    fn lock(&self) -> MutexGuard<'_, Known> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Holds one request's use of an endpoint.
#[derive(Debug)]
pub(crate) struct Use {
    endpoint: Arc<Endpoint>,
    tokens: u32,
    place: Option<Place>,
    is_judged: bool,
}

impl Use {
    pub(crate) fn endpoint(&self) -> &Endpoint {
        &self.endpoint
    }

    /// Notes the load that the endpoint told.
    pub(crate) fn saw_load(&self, load: Load) {
        let mut known = self.endpoint.lock();
        known.load = Some((load, Instant::now()));
        known.since_load = 0;
    }

    /// Notes that the endpoint wants no request from this instance for some time.
    pub(crate) fn asks_for_rest(&self, rest: Duration) {
        if self.endpoint.said.asks_for_rest(rest) {
            info!(
                Part::Gateway,
                "An endpoint asks for rest.",
                endpoint = self.endpoint.described.id,
                rest_ms = rest.as_millis()
            );
        }
    }

    /// Notes that the endpoint says in an answer that it leaves.
    pub(crate) fn says_that_it_leaves(&self) {
        if self.endpoint.said.leaves() {
            info!(
                Part::Gateway,
                "An endpoint says that it leaves.",
                endpoint = self.endpoint.described.id
            );
        }
        self.endpoint.leaves();
    }

    /// Notes that the endpoint has begun to answer.
    pub(crate) fn answered(&mut self) {
        self.is_judged = true;
        let mut known = self.endpoint.lock();
        known.standing.record_success();
        known.unread_tokens -= self.tokens;
        self.tokens = 0;
    }

    /// Waits until it is certain that the endpoint does not run the request any more, and returns why.
    ///
    /// By the word of the admission alone only a request that may go on elsewhere gains from giving up, since the answer of
    /// another one may still come; after a new start of the endpoint nothing comes. It may be dropped while it waits.
    pub(crate) async fn lost(&mut self, may_go_on: bool) -> &'static str {
        let Self {
            endpoint, place, ..
        } = self;
        let no_longer_run = async {
            match place {
                Some(place) if may_go_on => place.lost().await,
                Some(_) | None => std::future::pending().await,
            }
        };
        tokio::select! {
            () = endpoint.restarted() => "the endpoint has started again",
            () = no_longer_run => "the engine does not run the request any more",
        }
    }

    /// Notes that another endpoint listens at the address: this one has ended, whatever the list says yet.
    pub(crate) fn is_gone(&mut self) {
        self.is_judged = true;
        if !self.endpoint.is_draining() {
            warn!(
                Part::Gateway,
                "An endpoint is gone; another one listens at its address.",
                endpoint = self.endpoint.described.id,
                address = self.endpoint.described.address
            );
        }
        self.endpoint.ended(Evidence::Replaced);
        self.endpoint.drain();
    }

    /// Notes that the answer to the request broke off, or can't come any more.
    pub(crate) fn broke(&self, outgoing: &Outgoing) {
        self.endpoint.broke(BrokenRequest {
            key: outgoing.key(),
            request_id: outgoing.request_id.clone().unwrap_or_default(),
        });
    }

    /// Notes that the first piece of the answer has come, or all of one that is not passed on in pieces.
    pub(crate) fn began(&self) {
        if let Some(place) = &self.place {
            place.began();
        }
    }

    /// Notes that the endpoint, or the way to it, failed.
    pub(crate) fn failed(&mut self, cause: &str) {
        self.is_judged = true;
        let endpoint = &self.endpoint;
        let held = {
            let mut known = endpoint.lock();
            let now = endpoint.began.elapsed();
            known
                .standing
                .record_failure(now, &CircuitBreakerRules::default())
        };
        if let Some(hold) = held {
            warn!(
                Part::Gateway,
                "An endpoint is held out.",
                endpoint = endpoint.described.id,
                hold_ms = hold.as_millis(),
                cause = cause
            );
        }
    }
}

impl Drop for Use {
    fn drop(&mut self) {
        let mut known = self.endpoint.lock();
        known.own_running -= 1;
        known.since_load -= 1;
        known.unread_tokens -= self.tokens;
        if !self.is_judged {
            known.standing.record_abandoned();
        }
    }
}

/// Returns a number that stands for one start of an endpoint.
fn incarnation(described: &Described) -> IncarnationHash {
    let born = described.born_unix_ms.unwrap_or_default();
    hash(&described.id).wrapping_add(born)
}

/// Returns a number that stands for an id, the same in every process (FNV-1a).
fn hash(id: &str) -> u64 {
    id.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}
