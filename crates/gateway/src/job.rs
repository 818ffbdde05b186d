//! Attempts one request: chooses an endpoint, requests a slot, sends, and evaluates the outcome.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hinge_routing::{
    Candidate, Holders, Homes, KvSource, Prompt, RequestKey, SpillLimits, UsageLag, WarmUpLimits,
    choose_after_refusal, choose_endpoint, choose_kv_source, return_key, token_copy_time,
};
use hinge_schema::routing::{AdmitAsk, AskWarmUp, Engine, Route, WarmUp};
use http::StatusCode;
use smallvec::SmallVec;
use tokio::time::Instant;

use crate::admission::{AskOutcome, Grant};
use crate::attempt::{self, Answer, AttemptOutcome, OutgoingRequest};
use crate::endpoint::Endpoint;
use crate::gateway::Shared;
use crate::history::History;
use crate::overload::RunningRequest;
use crate::refusal::Refusal;
use crate::serve::Origin;
use crate::suspects::Verdict;
use crate::team_usage::TeamUsage;
use crate::units::millis;

/// Minimum time left to the deadline for an attempt to be worth making.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(10);

/// Maximum number of attempts for one request in which no byte is sent; they cost nothing but time.
const MAX_NOT_SENT: u32 = 4;

/// Maximum number of admissions that may report a gone engine for one request; each costs a round trip.
const MAX_GONE_ENGINES: usize = 4;

/// Retry delay when no endpoint accepts requests: a restart takes seconds, and a failed connection is tried again after half
/// a second.
const NO_ENDPOINT_RETRY: Duration = Duration::from_millis(500);

/// Rank of a resumed stream; the priorities of the route table rank after it.
const RESUMED_RANK: u32 = 0;

/// Longest pause after which a stream is worth resuming: callers give up after two seconds or more.
const RESUME_BUDGET: Duration = Duration::from_secs(2);

/// Time per generated token of an engine under load: one decoding step alongside prefills.
const TOKEN_TIME: Duration = Duration::from_millis(20);

/// How many times the target latency an answer without a prompt takes at most, as a rule.
const MAX_TARGETS: u32 = 4;

/// Estimated bytes of the heads of a request and its answer.
const HEAD_BYTES: u64 = 800;

/// Estimated bytes of a stream per token: an event of a few hundred bytes carries several tokens.
const TOKEN_BYTES: u64 = 30;

/// A request in progress: what stays the same over all of its attempts.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) gateway: Arc<Shared>,
    /// Number of the route table and version of the endpoint list in force when the request arrived.
    ///
    /// A job holds no table: streams last for seconds, and the configuration may change many times meanwhile.
    pub(crate) table_number: u64,
    pub(crate) endpoints_version: u64,
    pub(crate) route: Route,
    pub(crate) service: Box<str>,
    pub(crate) outgoing: OutgoingRequest,
    pub(crate) prompt: Option<Prompt>,
    pub(crate) last_event: Option<u64>,
    /// Id of the caller's attempt that brought the first event of the stream that this request resumes.
    pub(crate) resumes: Option<Box<str>>,
    /// Time that finding the origin of that stream took.
    pub(crate) origin_lookup: Duration,
    /// Description of the service's model engines, if its endpoints are engines.
    pub(crate) engine: Option<Engine>,
    /// Limits of the service's endpoints while they warm up, if there are any.
    pub(crate) warm_up: Option<WarmUp>,
    pub(crate) rank: u32,
    pub(crate) homes: Homes,
    pub(crate) origin: Origin,
    /// Counts the request against the overload limits; `None` for plain requests.
    pub(crate) _running: Option<RunningRequest>,
    pub(crate) arrived: Instant,
}

/// The outcome of all attempts at a request.
pub(crate) enum JobOutcome {
    Answered(Box<Answer>),
    Refused(Refusal),
}

/// The choice of an endpoint for one attempt.
enum Choice {
    Endpoint(Arc<Endpoint>),
    /// None takes requests now, or none that has not been tried.
    NoneAvailable,
    /// None has the software version that began the stream.
    VersionGone,
}

/// The outcome of a request for a slot at an endpoint.
enum Slot {
    /// The request may be sent there, with a grant if its admission has given one.
    Free(Option<Grant>),
    /// The request can't be sent there, but maybe elsewhere.
    TryAnother,
    Refused(Refusal),
}

impl Job {
    /// Returns whether a planned stop of this instance would cut the answer off, so that the caller had better retry elsewhere.
    pub(crate) fn outlasts_stop(&self) -> bool {
        let target = Duration::from_millis(self.route.target_latency_ms);
        let longest = self.prompt.as_ref().map_or_else(
            || target * MAX_TARGETS,
            |prompt| TOKEN_TIME * prompt.max_answer_tokens,
        );
        let takes = longest.min(self.outgoing.ends_at.left());
        !self.gateway.planned_stop.leaves_time_for(takes)
    }

    /// Returns whether the request may run more than once.
    pub(crate) fn is_idempotent(&self) -> bool {
        self.outgoing.may_rerun
    }

    /// Returns whether the request may be sent to one more endpoint, and counts the retry if so.
    pub(crate) fn may_retry(&self, history: &History) -> bool {
        let has_attempts = history.attempts < self.route.max_attempts.max(1);
        let has_time = self.outgoing.ends_at.left() > MIN_ATTEMPT_TIME;
        let is_allowed = has_attempts && has_time && self.gateway.try_retry(&self.service);
        if is_allowed {
            self.gateway.metrics.retries.inc();
        }
        is_allowed
    }

    /// Sends the request to endpoints until one answers.
    pub(crate) async fn run_attempts(
        &self,
        history: &mut History,
        last_event: Option<u64>,
    ) -> JobOutcome {
        let not_sent_before = history.not_sent;
        loop {
            if self.outgoing.ends_at.left() <= MIN_ATTEMPT_TIME {
                return JobOutcome::Refused(history.refusal(NO_ENDPOINT_RETRY));
            }
            if let Some(refusal) = self.held_refusal(history) {
                return JobOutcome::Refused(refusal);
            }
            let endpoint = match self.pick_endpoint(history) {
                Choice::Endpoint(endpoint) => endpoint,
                Choice::NoneAvailable => {
                    let retry_after = history.retry_after.unwrap_or(NO_ENDPOINT_RETRY);
                    return JobOutcome::Refused(history.refusal(retry_after));
                }
                Choice::VersionGone => return JobOutcome::Refused(history.version_gone()),
            };
            let grant = match self.request_slot(&endpoint, history).await {
                Slot::Free(grant) => grant,
                Slot::TryAnother => continue,
                Slot::Refused(refusal) => return JobOutcome::Refused(refusal),
            };
            // While the request was queued it may have become held, and the endpoint may have asked for a pause, begun to
            // drain, or been evacuated.
            if let Some(refusal) = self.held_refusal(history) {
                return JobOutcome::Refused(refusal);
            }
            if endpoint.backoff_left().is_some()
                || endpoint.is_draining()
                || endpoint.is_evacuated()
            {
                continue;
            }
            let is_tried_again = history
                .tried
                .last()
                .is_some_and(|last| Arc::ptr_eq(last, &endpoint));
            if !is_tried_again {
                history.tried.push(Arc::clone(&endpoint));
            }
            let dialect = &*self.gateway.dialect;
            let fetch_from = self.kv_source(&endpoint);
            history.fetched_from = fetch_from;
            let outgoing = &self.outgoing;
            let sent = attempt::send(dialect, &endpoint, outgoing, last_event, fetch_from, grant);
            match sent.await {
                AttemptOutcome::Answered(answer) => {
                    history.attempts += 1;
                    return JobOutcome::Answered(answer);
                }
                AttemptOutcome::NotSent => {
                    history.cause = "no connection";
                    history.not_sent += 1;
                    if history.not_sent - not_sent_before >= MAX_NOT_SENT {
                        return JobOutcome::Refused(history.refusal(NO_ENDPOINT_RETRY));
                    }
                }
                AttemptOutcome::NotRun(status) => {
                    history.attempts += 1;
                    history.status = status.as_u16();
                    history.cause = "the endpoint refused";
                    self.record_plain_rejection(&endpoint, history);
                    if !self.may_retry(history) {
                        let told = history.retry_after.filter(|_| self.is_plain());
                        let retry_after = told.unwrap_or(NO_ENDPOINT_RETRY);
                        return JobOutcome::Refused(history.refusal(retry_after));
                    }
                }
                AttemptOutcome::Unknown(cause) => {
                    history.attempts += 1;
                    history.record_possible_run(cause);
                    if !(self.is_idempotent() && self.may_retry(history)) {
                        return JobOutcome::Refused(Refusal::Unknown);
                    }
                }
                AttemptOutcome::TimedOut => {
                    history.attempts += 1;
                    return JobOutcome::Refused(Refusal::TimedOut);
                }
            }
        }
    }

    /// Requests a slot at an endpoint, and tells what to do next.
    async fn request_slot(&self, endpoint: &Arc<Endpoint>, history: &mut History) -> Slot {
        match self.admit(endpoint, history).await {
            AskOutcome::Granted(grant) => {
                history.waited_ms = grant.waited_ms;
                history.ahead_tokens = grant.ahead_tokens;
                Slot::Free(Some(grant))
            }
            AskOutcome::Unasked if self.may_send_ungranted(endpoint) => Slot::Free(None),
            AskOutcome::Unasked => {
                history.cause = "the endpoint warms up";
                history.warming_up.push(Arc::clone(endpoint));
                Slot::TryAnother
            }
            AskOutcome::Evacuated => Slot::TryAnother,
            AskOutcome::EngineGone => {
                history.cause = "the engine is gone";
                history.gone.push(Arc::clone(endpoint));
                if history.gone.len() >= MAX_GONE_ENGINES {
                    return Slot::Refused(history.refusal(NO_ENDPOINT_RETRY));
                }
                Slot::TryAnother
            }
            AskOutcome::Refused(told) => {
                history.cause = "the admission refused";
                history.refused.push(Arc::clone(endpoint));
                let retry_after = history.record_told(told);
                if history.refused.len() < self.lag().max_admissions() {
                    return Slot::TryAnother;
                }
                Slot::Refused(history.refusal(retry_after))
            }
        }
    }

    /// Returns the refusal of the request if several endpoints have ended while they ran it or requests with a part of its prompt.
    fn held_refusal(&self, history: &mut History) -> Option<Refusal> {
        let suspects = &self.gateway.routing.suspects;
        let held = match suspects.verdict(&self.outgoing, &self.service) {
            Verdict::Allowed => return None,
            Verdict::Held(parts) => parts,
            Verdict::MayTry(parts) => parts.iter().filter_map(RequestKey::part).collect(),
        };
        let trial = &self.outgoing.trial_parts;
        let is_tried = !held.is_empty() && held.iter().all(|part| trial.contains(part));
        if is_tried && history.attempts == 0 {
            return None;
        }
        let has_held_parts = !held.is_empty();
        suspects.record_rejection(has_held_parts);
        Some(history.held_refusal(has_held_parts))
    }

    /// Records that an answer that began at this time has gone on, so that no part of the prompt crashes endpoints.
    pub(crate) fn record_survival(&self, began_at: Duration) {
        let parts = &self.outgoing.shared_parts;
        if !parts.is_empty() {
            let suspects = &self.gateway.routing.suspects;
            suspects.record_survival(&self.service, parts, began_at);
        }
    }

    /// Records that an endpoint has completed the request, so the ends of earlier endpoints had another cause.
    pub(crate) fn record_completed(&self, history: &History) {
        if history.tried.len() > 1 {
            let key = self.outgoing.key();
            for endpoint in &history.tried {
                endpoint.forget_broken(&key);
            }
        }
        self.gateway
            .routing
            .suspects
            .record_completed(&self.outgoing);
    }

    /// Returns the recent usage of the request's team at the other endpoints of the service.
    fn used_elsewhere(&self, endpoint: &Endpoint) -> u64 {
        let Some(team) = &self.outgoing.team else {
            return 0;
        };
        let everywhere = self.team_usage().used_by(team);
        everywhere.saturating_sub(endpoint.used_by(team))
    }

    /// Returns how far the usage of the request's team lags behind that of the team with the most.
    fn lag(&self) -> UsageLag {
        let team = self.outgoing.team.as_deref();
        team.map_or(UsageLag::Even, |team| self.team_usage().lag_of(team))
    }

    fn team_usage(&self) -> Arc<TeamUsage> {
        let snapshot = self.gateway.routing.current();
        let listed = snapshot.of_service(&self.service);
        self.gateway.team_usage(&self.service, listed)
    }

    /// Requests a slot from the admission beside a model engine.
    async fn admit(&self, endpoint: &Arc<Endpoint>, history: &History) -> AskOutcome {
        let (Some(admission), Some(prompt)) = (&endpoint.admission, &self.prompt) else {
            return AskOutcome::Unasked;
        };
        if self.engine.is_none() {
            return AskOutcome::Unasked;
        }
        let engines = self.gateway.routing.current();
        let engines = engines.of_service(&self.service).len();
        admission.follow(endpoint, engines, &self.gateway.data_center);
        endpoint.record_ask(prompt.unshared_tokens());
        let (shared_key, shared_tokens) = prompt.shared_key().unwrap_or_default();
        let (rank, budget) = self.urgency(history);
        let ask = AdmitAsk {
            // Assigned when the ask is sent.
            number: 0,
            request_id: self.outgoing.request_id.clone().unwrap_or_default(),
            team: self.outgoing.team.clone().unwrap_or_default(),
            rank,
            prompt_tokens: prompt.prompt_tokens,
            answer_tokens: prompt.max_answer_tokens,
            shared_key,
            shared_tokens,
            budget_ms: millis(budget),
            elsewhere_tokens: self.used_elsewhere(endpoint),
            warm_up: self.warm_up.as_ref().map(|limits| AskWarmUp {
                limits: limits.clone(),
                left_ms: millis(endpoint.warm_up_left()),
            }),
            return_key: self.return_key(prompt),
            stream: self.stream_at(endpoint),
        };
        tokio::select! {
            biased;
            () = endpoint.wait_until_evacuated() => AskOutcome::Evacuated,
            outcome = admission.ask(endpoint, ask) => outcome,
        }
    }

    /// Returns the key by which an admission recognises the request when its caller comes back, if places are kept.
    fn return_key(&self, prompt: &Prompt) -> Option<u64> {
        let team = self.outgoing.team.as_deref();
        let key = || return_key(team, &self.route.name, prompt);
        self.gateway.keeps_returns.then(key).flatten()
    }

    /// Returns whether the request may be sent to an endpoint that has granted no slot for it, and counts it if so.
    ///
    /// While an endpoint warms up, each gateway has a share of the requests that it bears. The admission beside an engine
    /// divides them as they are needed, so an engine whose admission does not reply gets none.
    fn may_send_ungranted(&self, endpoint: &Endpoint) -> bool {
        if endpoint.warm_up_left().is_zero() {
            return true;
        }
        let Some(limits) = self.warm_up.as_ref() else {
            return true;
        };
        let limits = WarmUpLimits {
            duration: Duration::from_millis(limits.duration_ms),
            max_requests_per_s: limits.max_requests_per_s,
        };
        self.engine.is_none()
            && endpoint.try_warm_up_share(limits, self.gateway.gateway_count.current())
    }

    /// Returns the rank of an ask, and the time within which the answer must begin.
    ///
    /// When an endpoint ends under load, all of its streams look for other endpoints at once, where the queues are already full.
    /// A refused stream loses all work that was done for it, so a resumed stream ranks before requests that have not begun, and
    /// may wait for as long as its caller does. A request that was only refused elsewhere has used up part of its time.
    ///
    /// So does a trial of held prompt parts, on which other requests depend.
    fn urgency(&self, history: &History) -> (u32, Duration) {
        if history.first_chunk.is_some() || !self.outgoing.trial_parts.is_empty() {
            let left = self.outgoing.ends_at.left();
            return (RESUMED_RANK, left.min(RESUME_BUDGET));
        }
        let target = Duration::from_millis(self.route.target_latency_ms);
        let rank = self.rank.saturating_add(RESUMED_RANK + 1);
        (rank, target.saturating_sub(self.arrived.elapsed()))
    }

    /// Resumes a broken stream at another endpoint, after the last event that the caller has received.
    pub(crate) async fn resume(
        &self,
        history: &mut History,
        last_event: Option<u64>,
    ) -> Option<Box<Answer>> {
        if self.outgoing.body.bytes().is_none() {
            history.record_cause("its long body was released");
            return None;
        }
        if !self.is_idempotent() || !self.may_retry(history) {
            return None;
        }
        match self.run_attempts(history, last_event).await {
            JobOutcome::Answered(answer) if answer.response.status() == StatusCode::OK => {
                self.gateway.metrics.resumed.inc();
                history.continued += 1;
                Some(answer)
            }
            JobOutcome::Answered(_) | JobOutcome::Refused(_) => None,
        }
    }

    /// Returns how much an engine may have to do to be worth trying after another one refused.
    fn spill_limits(&self) -> SpillLimits {
        let target = Duration::from_millis(self.route.target_latency_ms);
        SpillLimits {
            idle_tokens: self.gateway.max_spill_tokens,
            left: target.saturating_sub(self.arrived.elapsed()),
            own_tokens: self.prompt.as_ref().map_or(0, Prompt::unshared_tokens),
        }
    }

    /// Estimates the bytes of the request and its answer that would leave the data centre.
    pub(crate) fn far_bytes(&self) -> u64 {
        let answer_tokens = self
            .prompt
            .as_ref()
            .map_or(0, |prompt| prompt.max_answer_tokens);
        self.outgoing.body.length() as u64 + HEAD_BYTES + u64::from(answer_tokens) * TOKEN_BYTES
    }

    /// Returns the endpoints that probably cache the prompt's shared prefix, the most recent first.
    fn holders(&self) -> Holders {
        let prompt = self.prompt.as_ref().filter(|_| self.route.prompts);
        let shared = prompt.and_then(Prompt::shared_key);
        shared.map_or_else(Holders::new, |(key, _)| self.gateway.holders(key))
    }

    /// Records that an endpoint caches the prompt's shared prefix, now that its answer has begun.
    pub(crate) fn record_cached(&self, endpoint: &Endpoint) {
        let shared = self.prompt.as_ref().and_then(Prompt::shared_key);
        if let Some((key, _)) = shared.filter(|_| self.route.prompts) {
            self.gateway.record_cached(key, endpoint.incarnation);
        }
    }

    /// Returns the engine from which an endpoint fetches the prompt's shared prefix; `None` if it should have the prefix itself.
    fn kv_source(&self, endpoint: &Endpoint) -> Option<SocketAddr> {
        let engine = self.engine.as_ref()?;
        let prompt = self.prompt.as_ref().filter(|_| self.route.prompts)?;
        let copy_token = token_copy_time(engine.token_bytes?, engine.link_mbps?)?;
        let holders = self.holders();
        if holders.contains(&endpoint.incarnation) {
            return None;
        }
        let snapshot = self.gateway.routing.current();
        let listed = snapshot.of_service(&self.service).iter();
        let usable: SmallVec<[&Arc<Endpoint>; 16]> = listed
            .filter(|listed| listed.is_open() && listed.has_fresh_load() && self.may_use(listed))
            .collect();
        let sources: SmallVec<[KvSource; 16]> = usable
            .iter()
            .map(|endpoint| KvSource {
                hash: endpoint.hash,
                incarnation: endpoint.incarnation,
                pace: endpoint.pace().map(|(pace, _age)| pace),
            })
            .collect();
        let pace = endpoint.pace().map(|(pace, _age)| pace);
        let index = choose_kv_source(&sources, &holders, prompt, copy_token, pace)?;
        let source = usable[index].description.address;
        (source != endpoint.description.address).then_some(source)
    }

    /// Returns whether an endpoint is outside of every evacuated data centre and within the request's homes.
    ///
    /// That holds for the cached prefixes of an engine as well: an evacuated one is left alone and may end at any moment.
    fn may_use(&self, endpoint: &Endpoint) -> bool {
        let data_centers = &self.gateway.data_centers;
        !endpoint.is_evacuated()
            && self
                .homes
                .allow(data_centers, &endpoint.description.data_center)
    }

    /// Chooses an endpoint, preferably one that was not tried and is not ejected by its circuit breaker.
    fn pick_endpoint(&self, history: &mut History) -> Choice {
        // The current list, not that of the request's arrival: endpoints may have left or started since then.
        let snapshot = self.gateway.routing.current();
        let listed = snapshot.of_service(&self.service);
        let listed = listed
            .iter()
            .filter(|endpoint| !endpoint.is_draining() && self.may_use(endpoint))
            .filter(|endpoint| history.allows(endpoint));
        // A requested pause is binding: no request goes to such an endpoint, even if no other is left.
        let mut shortest_backoff: Option<Duration> = None;
        let listed: SmallVec<[&Arc<Endpoint>; 16]> = listed
            .filter(|endpoint| {
                let backoff = endpoint.backoff_left();
                let backoffs = backoff.into_iter().chain(shortest_backoff);
                shortest_backoff = backoffs.min();
                backoff.is_none()
            })
            .collect();
        if listed.is_empty() {
            if self.homes.is_bound() {
                history.record_cause("no endpoint within the allowed regions takes requests");
            }
            if shortest_backoff.is_none() && history.stream_origin.is_some() {
                return Choice::VersionGone;
            }
            history.record_backoff(shortest_backoff);
            return Choice::NoneAvailable;
        }
        let is_new = |endpoint: &Arc<Endpoint>| {
            let mut known = history
                .tried
                .iter()
                .chain(&history.refused)
                .chain(&history.gone)
                .chain(&history.warming_up);
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
        if self.is_plain() {
            return match self.choose_plain(&usable, history) {
                Some(chosen) => Choice::Endpoint(chosen),
                None => Choice::NoneAvailable,
            };
        }
        let holders = self.holders();
        let with_ages = usable.iter().map(|endpoint| {
            let has_cached_prefix = holders.contains(&endpoint.incarnation);
            endpoint.candidate(&self.gateway.data_center, has_cached_prefix)
        });
        let (candidates, ages): (Vec<Candidate>, Vec<u128>) = with_ages.unzip();
        history.candidates = candidates.len();
        let rules = &self.gateway.choice;
        let prompt = self.prompt.as_ref().filter(|_| self.route.prompts);
        let (far_bytes, draw) = (self.far_bytes(), rand::random());
        let index = if history.refused.is_empty() {
            choose_endpoint(&candidates, prompt, far_bytes, rules, draw)
        } else {
            let limits = self.spill_limits();
            choose_after_refusal(
                &candidates,
                prompt,
                far_bytes,
                rules,
                self.lag(),
                limits,
                draw,
            )
        };
        let Some(index) = index else {
            return Choice::NoneAvailable;
        };
        history.running = candidates[index].running;
        history.load_age_ms = ages[index];
        history.pace = usable[index].pace();
        Choice::Endpoint(Arc::clone(usable[index]))
    }
}
