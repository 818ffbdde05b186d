//! Makes the attempts at one request: chooses an endpoint, asks for a place, sends, and judges what became of it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hinge_routing::{
    BacklogLimits, Candidate, Holders, KvSource, Prompt, UsageLag, choose_after_refusal,
    choose_endpoint, choose_kv_source, token_copy_time,
};
use hinge_schema::routing::{AdmitAsk, Engine, Route};
use http::StatusCode;
use smallvec::SmallVec;
use tokio::time::Instant;

use crate::admit::Admitted;
use crate::attempt::{self, Answer, Attempt, Outgoing};
use crate::endpoint::Endpoint;
use crate::fleet::Fleet;
use crate::gateway::Shared;
use crate::load::Running;
use crate::refusal::Refusal;
use crate::serve::Origin;
use crate::story::Story;
use crate::teams::Teams;

/// Time that an attempt needs to be of use.
const SHORTEST_ATTEMPT: Duration = Duration::from_millis(10);

/// Connections that are tried for one request without a byte being sent; they cost nothing but time.
const MAX_NOT_SENT: u32 = 4;

/// Admissions that may say for one request that their engine is gone; each costs a round trip.
const MAX_GONE: usize = 4;

/// When a caller may come back if no endpoint takes work: a restart takes seconds, and a failed connection is tried
/// again after half a second.
const NO_ENDPOINT_RETRY: Duration = Duration::from_millis(500);

/// Rank of a stream that goes on; those of the table come after it.
const FIRST_RANK: u32 = 0;

/// Longest pause after which a stream is worth going on: callers give one up after two seconds or more.
const RESUME_BUDGET: Duration = Duration::from_secs(2);

/// Time in which an engine makes a token under load: a step beside prompts that are read.
const TOKEN_TIME: Duration = Duration::from_millis(20);

/// Bytes of the heads of a request and its answer.
const HEAD_BYTES: u64 = 800;

/// Bytes of a stream for each token: an event of some hundred bytes holds a few.
const TOKEN_BYTES: u64 = 30;

/// Holds what stays the same over the attempts at a request.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) gateway: Arc<Shared>,
    pub(crate) fleet: Arc<Fleet>,
    pub(crate) route: Route,
    pub(crate) service: Box<str>,
    pub(crate) outgoing: Outgoing,
    pub(crate) prompt: Option<Prompt>,
    pub(crate) last_event: Option<u64>,
    /// What is known of the service's model engines, if its endpoints are some.
    pub(crate) engine: Option<Engine>,
    pub(crate) rank: u32,
    /// Its place among the requests that this gateway has under way; plain requests need none.
    pub(crate) origin: Origin,
    pub(crate) _running: Option<Running>,
    pub(crate) arrived: Instant,
}

/// Says how the attempts at a request ended.
pub(crate) enum Tried {
    Answered(Box<Answer>),
    Refused(Refusal),
}

impl Job {
    /// Returns whether a planned stop of this instance would cut the answer: another one takes the request at once.
    pub(crate) fn outlasts_stop(&self) -> bool {
        let (Some(stops_at), Some(prompt)) = (self.gateway.stops_at.get(), &self.prompt) else {
            return false;
        };
        Instant::now() + TOKEN_TIME * prompt.max_answer_tokens > *stops_at
    }

    /// Returns whether the request may run more than once.
    pub(crate) fn is_idempotent(&self) -> bool {
        self.outgoing.may_go_on
    }

    /// Returns whether one more endpoint may be sent the request, and counts it if so.
    pub(crate) fn may_repeat(&self, story: &Story) -> bool {
        let has_attempts = story.attempts < self.route.max_attempts.max(1);
        let has_time = Instant::now() + SHORTEST_ATTEMPT < self.outgoing.ends_at;
        let may = has_attempts && has_time && self.gateway.try_repeat(&self.service);
        if may {
            self.gateway.metrics.repeats.inc();
        }
        may
    }

    /// Sends the request to endpoints until one answers.
    pub(crate) async fn attempts(&self, story: &mut Story, last_event: Option<u64>) -> Tried {
        let not_sent_before = story.not_sent;
        loop {
            if Instant::now() + SHORTEST_ATTEMPT >= self.outgoing.ends_at {
                return Tried::Refused(story.refusal(NO_ENDPOINT_RETRY));
            }
            if self.is_held() {
                return Tried::Refused(story.held(self));
            }
            let Some(endpoint) = self.pick(story) else {
                let retry_after = story.retry_after.unwrap_or(NO_ENDPOINT_RETRY);
                return Tried::Refused(story.refusal(retry_after));
            };
            let place = match self.admit(&endpoint, story).await {
                Admitted::Granted(place) => {
                    story.waited_ms = place.waited_ms;
                    story.ahead_tokens = place.ahead_tokens;
                    Some(place)
                }
                Admitted::Unasked => None,
                Admitted::EngineGone => {
                    story.cause = "the engine is gone";
                    story.gone.push(endpoint);
                    if story.gone.len() >= MAX_GONE {
                        return Tried::Refused(story.refusal(NO_ENDPOINT_RETRY));
                    }
                    continue;
                }
                Admitted::Refused { retry_after } => {
                    story.cause = "the admission refused";
                    story.refused.push(Arc::clone(&endpoint));
                    story.retry_after = Some(retry_after);
                    if story.refused.len() < self.lag().max_admissions() {
                        continue;
                    }
                    return Tried::Refused(story.refusal(retry_after));
                }
            };
            // It may have been held while it waited for its turn, and the endpoint may have begun to rest or to leave.
            if self.is_held() {
                return Tried::Refused(story.held(self));
            }
            if endpoint.rest_left().is_some() || endpoint.is_draining() {
                continue;
            }
            let is_tried_again = story
                .tried
                .last()
                .is_some_and(|last| Arc::ptr_eq(last, &endpoint));
            if !is_tried_again {
                story.tried.push(Arc::clone(&endpoint));
            }
            let dialect = &*self.gateway.dialect;
            let fetch_from = self.fetch_source(&endpoint);
            story.fetched_from = fetch_from;
            let outgoing = &self.outgoing;
            let sent = attempt::send(dialect, &endpoint, outgoing, last_event, fetch_from, place);
            match sent.await {
                Attempt::Answered(answer) => {
                    story.attempts += 1;
                    return Tried::Answered(answer);
                }
                Attempt::NotSent => {
                    story.cause = "no connection";
                    story.not_sent += 1;
                    if story.not_sent - not_sent_before >= MAX_NOT_SENT {
                        return Tried::Refused(story.refusal(NO_ENDPOINT_RETRY));
                    }
                }
                Attempt::NotRun(status) => {
                    story.attempts += 1;
                    story.status = status.as_u16();
                    story.cause = "the endpoint refused";
                    if !self.may_repeat(story) {
                        return Tried::Refused(story.refusal(NO_ENDPOINT_RETRY));
                    }
                }
                Attempt::Unknown(cause) => {
                    story.attempts += 1;
                    story.note_run(cause);
                    if !(self.is_idempotent() && self.may_repeat(story)) {
                        return Tried::Refused(Refusal::Unknown);
                    }
                }
                Attempt::TimedOut => {
                    story.attempts += 1;
                    return Tried::Refused(Refusal::TimedOut);
                }
            }
        }
    }

    /// Returns whether endpoints ended under the request one after the other.
    fn is_held(&self) -> bool {
        self.gateway.held.suspects.is_held(&self.outgoing)
    }

    /// Notes that an endpoint has answered to the end, so that those that ended before had another cause.
    pub(crate) fn completed(&self, story: &Story) {
        if story.tried.len() > 1 {
            let key = self.outgoing.key();
            for endpoint in &story.tried {
                endpoint.forgive(&key);
            }
        }
        self.gateway.held.suspects.completed(&self.outgoing);
    }

    /// Returns what the request's team has used lately at the other endpoints of the service.
    fn used_elsewhere(&self, endpoint: &Endpoint) -> u64 {
        let Some(team) = &self.outgoing.team else {
            return 0;
        };
        let everywhere = self.teams().used_by(team);
        everywhere.saturating_sub(endpoint.used_by(team))
    }

    /// Returns how far the use of the request's team lags behind that of the team with the most.
    fn lag(&self) -> UsageLag {
        let team = self.outgoing.team.as_deref();
        team.map_or(UsageLag::Even, |team| self.teams().lag_of(team))
    }

    fn teams(&self) -> Arc<Teams> {
        let listed = self.fleet.of_service(&self.service);
        self.gateway.teams(&self.service, listed)
    }

    /// Asks the admission beside a model engine for a place.
    async fn admit(&self, endpoint: &Arc<Endpoint>, story: &Story) -> Admitted {
        let (Some(admitter), Some(prompt)) = (&endpoint.admitter, &self.prompt) else {
            return Admitted::Unasked;
        };
        if self.engine.is_none() {
            return Admitted::Unasked;
        }
        let engines = self.fleet.of_service(&self.service).len();
        admitter.follow(endpoint, engines, &self.gateway.data_center);
        endpoint.asks(prompt.unshared_tokens());
        let (shared_key, shared_tokens) = prompt.shared_key().unwrap_or_default();
        let (rank, budget) = self.urgency(story);
        let ask = AdmitAsk {
            // The line to the admission gives the number.
            number: 0,
            request_id: self.outgoing.request_id.clone().unwrap_or_default(),
            team: self.outgoing.team.clone().unwrap_or_default(),
            rank,
            prompt_tokens: prompt.prompt_tokens,
            answer_tokens: prompt.max_answer_tokens,
            shared_key,
            shared_tokens,
            budget_ms: u64::try_from(budget.as_millis()).unwrap_or(u64::MAX),
            elsewhere_tokens: self.used_elsewhere(endpoint),
        };
        admitter.ask(endpoint, ask).await
    }

    /// Returns the rank of an ask, and the time in which the answer must begin.
    ///
    /// The load pattern: an endpoint ends under load, and all its streams look for another one at once, where the queues are
    /// full already. One that is refused is lost with all that was done for it, so it goes before what has not begun, and it may
    /// wait for as long as its caller does. A request that was only refused elsewhere has used up some of its time.
    fn urgency(&self, story: &Story) -> (u32, Duration) {
        if story.first_piece.is_some() {
            let left = self
                .outgoing
                .ends_at
                .saturating_duration_since(Instant::now());
            return (FIRST_RANK, left.min(RESUME_BUDGET));
        }
        let target = Duration::from_millis(self.route.target_latency_ms);
        let rank = self.rank.saturating_add(FIRST_RANK + 1);
        (rank, target.saturating_sub(self.arrived.elapsed()))
    }

    /// Sends a stream that broke off to another endpoint, after the last event that the caller has.
    pub(crate) async fn resume(
        &self,
        story: &mut Story,
        last_event: Option<u64>,
    ) -> Option<Box<Answer>> {
        if !self.is_idempotent() || !self.may_repeat(story) {
            return None;
        }
        match self.attempts(story, last_event).await {
            Tried::Answered(answer) if answer.response.status() == StatusCode::OK => {
                self.gateway.metrics.resumed.inc();
                Some(answer)
            }
            Tried::Answered(_) | Tried::Refused(_) => None,
        }
    }

    /// Returns up to which backlog an engine is of use, where another one refused.
    fn room(&self) -> BacklogLimits {
        let target = Duration::from_millis(self.route.target_latency_ms);
        let left = target.saturating_sub(self.arrived.elapsed());
        BacklogLimits {
            idle_tokens: self.gateway.max_spill_tokens,
            prefillable_tokens: self.gateway.choice.prefillable_tokens(left),
        }
    }

    /// Returns about how many bytes of the request and its answer would leave the data centre.
    fn far_bytes(&self) -> u64 {
        let answer_tokens = self
            .prompt
            .as_ref()
            .map_or(0, |prompt| prompt.max_answer_tokens);
        self.outgoing.body.len() as u64 + HEAD_BYTES + u64::from(answer_tokens) * TOKEN_BYTES
    }

    /// Returns the endpoints that should keep the shared parts of the prompt, the one used last first.
    fn holders(&self) -> Holders {
        let prompt = self.prompt.as_ref().filter(|_| self.route.prompts);
        let shared = prompt.and_then(Prompt::shared_key);
        shared.map_or_else(Holders::new, |(key, _)| self.gateway.holders(key))
    }

    /// Notes that an endpoint has the shared parts of the prompt, now that its answer begins.
    pub(crate) fn note_kept(&self, endpoint: &Endpoint) {
        let shared = self.prompt.as_ref().and_then(Prompt::shared_key);
        if let Some((key, _)) = shared.filter(|_| self.route.prompts) {
            self.gateway.note_kept(key, endpoint.incarnation);
        }
    }

    /// Returns the engine from which an endpoint copies the shared parts of the prompt; none where it should keep them itself.
    fn fetch_source(&self, endpoint: &Endpoint) -> Option<SocketAddr> {
        let engine = self.engine.as_ref()?;
        let prompt = self.prompt.as_ref().filter(|_| self.route.prompts)?;
        let copy_token = token_copy_time(engine.token_bytes?, engine.link_mbps?)?;
        let holders = self.holders();
        if holders.contains(&endpoint.incarnation) {
            return None;
        }
        let fleet = self.gateway.held.current();
        let listed = fleet.of_service(&self.service).iter();
        let sound: SmallVec<[&Arc<Endpoint>; 16]> = listed
            .filter(|listed| listed.is_open() && listed.has_fresh_load())
            .collect();
        let sources: SmallVec<[KvSource; 16]> = sound
            .iter()
            .map(|endpoint| KvSource {
                hash: endpoint.hash,
                incarnation: endpoint.incarnation,
            })
            .collect();
        let place = choose_kv_source(&sources, &holders, prompt, copy_token)?;
        let source = sound[place].described.address;
        (source != endpoint.described.address).then_some(source)
    }

    /// Chooses an endpoint: one that was not tried and is not held out, if there is one.
    fn pick(&self, story: &mut Story) -> Option<Arc<Endpoint>> {
        // An endpoint that has left since the request came takes no more of it, and one that has started since then may.
        let fleet = self.gateway.held.current();
        let listed = fleet.of_service(&self.service);
        let listed = listed.iter().filter(|endpoint| !endpoint.is_draining());
        // A rest that is asked for is no preference: no request goes there, whatever else there is.
        let mut shortest_rest: Option<Duration> = None;
        let listed: SmallVec<[&Arc<Endpoint>; 16]> = listed
            .filter(|endpoint| {
                let rest = endpoint.rest_left();
                let rests = rest.into_iter().chain(shortest_rest);
                shortest_rest = rests.min();
                rest.is_none()
            })
            .collect();
        if listed.is_empty() {
            story.note_rest(shortest_rest);
            return None;
        }
        let is_new = |endpoint: &Arc<Endpoint>| {
            let mut known = story.tried.iter().chain(&story.refused).chain(&story.gone);
            !known.any(|known| Arc::ptr_eq(known, endpoint))
        };
        let open = listed.iter().filter(|endpoint| endpoint.is_open());
        let open: SmallVec<[&Arc<Endpoint>; 16]> =
            open.copied().filter(|endpoint| is_new(endpoint)).collect();
        let usable = if open.is_empty() {
            let fresh = listed.iter().copied().filter(|endpoint| is_new(endpoint));
            fresh.collect()
        } else {
            open
        };
        let holders = self.holders();
        let described = usable.iter().map(|endpoint| {
            let has_cached_prefix = holders.contains(&endpoint.incarnation);
            endpoint.candidate(&self.gateway.data_center, has_cached_prefix)
        });
        let (candidates, ages): (Vec<Candidate>, Vec<u128>) = described.unzip();
        story.candidates = candidates.len();
        let rules = &self.gateway.choice;
        let prompt = self.prompt.as_ref().filter(|_| self.route.prompts);
        let (far_bytes, draw) = (self.far_bytes(), rand::random());
        let place = if story.refused.is_empty() {
            choose_endpoint(&candidates, prompt, far_bytes, rules, draw)
        } else {
            let room = self.room();
            choose_after_refusal(
                &candidates,
                prompt,
                far_bytes,
                rules,
                self.lag(),
                room,
                draw,
            )
        }?;
        story.running = candidates[place].running;
        story.load_age_ms = ages[place];
        Some(Arc::clone(usable[place]))
    }
}
