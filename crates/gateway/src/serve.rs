//! Serves one request: looks up its route and team, admits it or hands it off, and returns an endpoint's answer or a refusal.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;
use std::time::Duration;

use hinge_link::{NoRoom, Peer};
use hinge_routing::{Overloaded, RequestKey, StreamOrigin};
use hinge_schema::routing::{RequestKind, Route};
use hinge_telemetry::info;
use hinge_telemetry::log::Component;
use http::header::{CONNECTION, CONTENT_TYPE};
use http::request::Parts;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode};
use hyper::body::Incoming;
use smallvec::SmallVec;
use tokio::time::Instant;

use crate::answer::{ReadError, is_read_whole, read_whole};
use crate::attempt::{Answer, OutgoingRequest, part_ids};
use crate::body::AnswerBody;
use crate::contact::MAX_STATE_AGE;
use crate::deadline::Deadline;
use crate::dialect::RequestFacts;
use crate::gateway::Shared;
use crate::handoff::{Decline, TABLE_HEADER, hand_off};
use crate::headers::strip_hop_by_hop;
use crate::history::{History, tokens_of};
use crate::job::{Job, JobOutcome};
use crate::lookup::{Match, look_up, properties_of};
use crate::overload::RunningRequest;
use crate::refusal::Refusal;
use crate::request_body::{self, RequestBody};
use crate::resumption::origin_of;
use crate::routing_state::RoutingSnapshot;
use crate::streaming;
use crate::suspects::Verdict;

/// Interval between two chunks of a stream to another gateway, a fraction of the pause that callers tolerate.
const BATCH_INTERVAL: Duration = Duration::from_millis(60);

/// Content type of server-sent events.
const EVENT_STREAM: &str = "text/event-stream";

/// Where a request comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Origin {
    Caller,
    /// Another gateway of the data centre, which is overloaded.
    Gateway,
}

impl Origin {
    /// Returns the minimum interval between chunks of a stream.
    ///
    /// Fewer, larger chunks save CPU time of an overloaded gateway that passes them on.
    pub(crate) fn batch_interval(self) -> Duration {
        match self {
            Self::Caller => Duration::ZERO,
            Self::Gateway => BATCH_INTERVAL,
        }
    }
}

/// Serves a request.
pub(crate) async fn serve(
    gateway: Arc<Shared>,
    request: Request<Incoming>,
    origin: Origin,
    peer: Peer,
) -> Response<AnswerBody> {
    let arrived = Instant::now();
    let (mut parts, body) = request.into_parts();
    let facts = gateway.dialect.read_request(&parts.headers);
    let snapshot = gateway.routing.current();
    if origin == Origin::Gateway
        && let Some(decline) = decline_reason(&gateway, &snapshot, &mut parts.headers)
    {
        return decline.response();
    }
    let matched = look_up(&snapshot, &parts, &facts);
    let table_number = snapshot.table_number();
    let endpoints_version = snapshot.endpoints_version();
    // The body may take as long as the request, and tables of before must not stay in memory for it.
    drop(snapshot);
    let Match {
        route,
        service,
        team,
        rank,
        engine,
        warm_up,
        homes,
        max_body_bytes,
    } = match matched {
        Ok(matched) => matched,
        Err(refusal) => return refuse_early(&gateway, table_number, &facts, &parts, refusal),
    };
    let ends_at = Deadline::after(time_limit(&route, &facts));
    let read = read_body(&peer, team.as_deref(), max_body_bytes, body, ends_at);
    let body = match read.await {
        Ok(body) => body,
        Err(refusal) => return refuse_early(&gateway, table_number, &facts, &parts, refusal),
    };
    let may_rerun = may_run_again(&route);
    let mut outgoing = OutgoingRequest::new(parts, body, &facts, team, ends_at, may_rerun);
    let suspects = &gateway.routing.suspects;
    match suspects.verdict(&outgoing, &service) {
        Verdict::Allowed => {}
        Verdict::Held(parts) => return refuse_held(&gateway, &route, &outgoing, &parts),
        Verdict::MayTry(parts) => {
            let held = parts.iter().filter_map(RequestKey::part);
            let held: SmallVec<[u64; 3]> = held.collect();
            if !suspects.trials.ask(parts).await {
                return refuse_held(&gateway, &route, &outgoing, &held);
            }
            outgoing.trial_parts = held;
        }
    }
    let team = outgoing.team.as_deref();
    let admitted = match origin {
        // A trial is rare, and another gateway would hold it.
        _ if !outgoing.trial_parts.is_empty() => Ok(None),
        Origin::Caller => admit_caller(&gateway, engine.is_some(), team),
        Origin::Gateway => match admit_handoff(&gateway, engine.is_some(), team) {
            Ok(running) => Ok(running),
            Err(decline) => return decline.response(),
        },
    };
    let running = match admitted {
        Ok(running) => running,
        Err(overloaded) => {
            // The others are in this data centre, and only the gateway that the caller reached may be outside of the homes.
            let may_hand_off = homes.allow(&gateway.data_centers, &gateway.data_center);
            let table = may_hand_off.then_some(table_number);
            return without_room(&gateway, table, &outgoing, &facts, overloaded).await;
        }
    };
    let found_at = Instant::now();
    let found = origin_of(&gateway, &route, &facts, team).await;
    let origin_lookup = found_at.elapsed();
    let stream_origin = found.as_ref().ok().and_then(Option::as_ref);
    let service = stream_origin.map_or(service, |origin| origin.service.clone());
    let (engine, warm_up) = match stream_origin {
        Some(_) => properties_of(&gateway.routing.current(), &service),
        None => (engine, warm_up),
    };
    let job = Arc::new(Job {
        outgoing,
        gateway,
        table_number,
        endpoints_version,
        route,
        service,
        prompt: facts.prompt,
        engine,
        warm_up,
        rank,
        homes,
        origin,
        _running: running,
        last_event: facts.last_event,
        resumes: facts.resumes,
        origin_lookup,
        arrived,
    });
    match found {
        Ok(stream_origin) => run_job(job, stream_origin).await,
        Err(cause) => refuse_resumption(&job, cause),
    }
}

/// Admits a request of a team, and reads its body.
async fn read_body(
    peer: &Peer,
    team: Option<&str>,
    max_bytes: u64,
    body: Incoming,
    ends_at: Deadline,
) -> Result<RequestBody, Refusal> {
    let admitted = peer.admit_request(team_hash(team));
    admitted.map_err(|NoRoom| Refusal::NoPlace)?;
    request_body::read(peer, max_bytes, body, ends_at).await
}

/// Returns the hash that tells a team's requests from those of others.
fn team_hash(team: Option<&str>) -> u64 {
    let mut hasher = DefaultHasher::new();
    team.hash(&mut hasher);
    hasher.finish()
}

/// Returns the earlier of the caller's deadline and the route's timeout, from the request's arrival.
fn time_limit(route: &Route, facts: &RequestFacts) -> Duration {
    let timeout = Duration::from_millis(route.timeout_ms);
    facts
        .deadline
        .map_or(timeout, |deadline| deadline.min(timeout))
}

/// Hands a request without room off to a gateway with the same table if it may be handed off, and refuses it otherwise.
async fn without_room(
    gateway: &Arc<Shared>,
    table: Option<u64>,
    outgoing: &OutgoingRequest,
    facts: &RequestFacts,
    overloaded: Overloaded,
) -> Response<AnswerBody> {
    if let Some(table) = table
        && gateway.overload().try_hand_off(&overloaded)
        && let Some(response) = hand_off(gateway, table, outgoing, &overloaded).await
    {
        return response;
    }
    refuse_overloaded(gateway, outgoing.team.as_deref(), facts, overloaded)
}

/// Admits a caller's request.
///
/// Only requests to model engines count against the limits; a plain one is only rejected when the gateway lags behind.
fn admit_caller(
    gateway: &Arc<Shared>,
    has_engine: bool,
    team: Option<&str>,
) -> Result<Option<RunningRequest>, Overloaded> {
    if has_engine {
        return RunningRequest::begin(gateway, team).map(Some);
    }
    gateway.overload().check_plain().map(|()| None)
}

/// Admits a request that another gateway hands off.
fn admit_handoff(
    gateway: &Arc<Shared>,
    has_engine: bool,
    team: Option<&str>,
) -> Result<Option<RunningRequest>, Decline> {
    if has_engine {
        let running = RunningRequest::take_over(gateway, team);
        return running.map(Some).ok_or(Decline::NoRoom);
    }
    let checked = gateway.overload().check_plain();
    checked.map_or(Err(Decline::NoRoom), |()| Ok(None))
}

/// Returns why this gateway can't accept a handed-off request, if it can't, and removes the headers used between gateways.
///
/// Both gateways must have the same route table: a caller must not be served by an older table than that of the gateway it
/// connected to, nor by a newer one and then by the older one again.
fn decline_reason(
    gateway: &Shared,
    snapshot: &RoutingSnapshot,
    headers: &mut HeaderMap,
) -> Option<Decline> {
    let table = headers.remove(TABLE_HEADER);
    let table = table.and_then(|table| table.to_str().ok()?.parse::<u64>().ok());
    if gateway.planned_stop.has_begun() {
        Some(Decline::Leaving)
    } else if gateway.routing.contact.age() > MAX_STATE_AGE {
        Some(Decline::WithoutControl)
    } else if table != Some(snapshot.table_number()) {
        Some(Decline::OtherTable)
    } else {
        None
    }
}

/// Returns whether the requests of a route may run more than once.
fn may_run_again(route: &Route) -> bool {
    match route.kind {
        RequestKind::Idempotent => true,
        RequestKind::NonIdempotent => false,
        RequestKind::Streaming => route.resumable,
    }
}

fn refuse_early(
    gateway: &Shared,
    table_number: u64,
    facts: &RequestFacts,
    parts: &Parts,
    refusal: Refusal,
) -> Response<AnswerBody> {
    gateway.metrics.record_refused(refusal.name());
    let id = facts.request_id.as_deref().unwrap_or("-");
    let status = refusal.status().as_u16();
    info!(
        Component::Gateway,
        "Request.",
        id = id,
        outcome = refusal.name(),
        status = status,
        path = parts.uri.path(),
        table = table_number,
        table_age_ms = gateway.routing.contact.age().as_millis()
    );
    refusal.response()
}

/// Refuses a request because this gateway is overloaded.
fn refuse_overloaded(
    gateway: &Shared,
    team: Option<&str>,
    facts: &RequestFacts,
    overloaded: Overloaded,
) -> Response<AnswerBody> {
    let refusal = Refusal::Overloaded(overloaded);
    gateway.metrics.record_refused(refusal.name());
    let (prompt_tokens, answer_tokens) = tokens_of(facts.prompt.as_ref());
    info!(
        Component::Gateway,
        "Request.",
        id = facts.request_id.as_deref().unwrap_or("-"),
        outcome = refusal.name(),
        status = refusal.status().as_u16(),
        team = team.unwrap_or("-"),
        prompt_tokens = prompt_tokens,
        answer_tokens = answer_tokens,
        bound = overloaded.limit_kind.name(),
        running = overloaded.running,
        limit = overloaded.limit,
        team_running = overloaded.team_running,
        lag_ms = overloaded.lag.as_millis()
    );
    let mut response = refusal.response();
    let mut overload = gateway.overload();
    overload.record_refusal(&overloaded);
    if overload.should_reconnect() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}

/// Refuses a held request, or one with held prompt parts, before it uses any of its team's share.
fn refuse_held(
    gateway: &Shared,
    route: &Route,
    outgoing: &OutgoingRequest,
    held_parts: &[u64],
) -> Response<AnswerBody> {
    let refusal = Refusal::held(!held_parts.is_empty());
    gateway.metrics.record_refused(refusal.name());
    gateway
        .routing
        .suspects
        .record_rejection(!held_parts.is_empty());
    info!(
        Component::Gateway,
        "Request.",
        id = outgoing.request_id.as_deref().unwrap_or("-"),
        outcome = refusal.name(),
        status = refusal.status().as_u16(),
        route = route.name,
        team = outgoing.team.as_deref().unwrap_or("-"),
        request = outgoing.key(),
        held_parts = part_ids(held_parts),
        list = gateway.routing.suspects.version()
    );
    refusal.response()
}

/// Refuses a stream that a caller takes up, because no endpoint can be shown to be of the version that began it.
fn refuse_resumption(job: &Job, cause: &'static str) -> Response<AnswerBody> {
    let mut history = History::default();
    history.record_cause(cause);
    refuse(job, &mut history, Refusal::CannotResume)
}

async fn run_job(job: Arc<Job>, stream_origin: Option<Arc<StreamOrigin>>) -> Response<AnswerBody> {
    let mut history = History {
        stream_origin,
        ..History::default()
    };
    if job.outlasts_stop() {
        history.record_cause("this instance stops before the answer would end");
        let refusal = Refusal::NotRun {
            retry_after: Duration::ZERO,
        };
        return refuse(&job, &mut history, refusal);
    }
    job.gateway.record_request(&job.service);
    loop {
        let answer = match job.run_attempts(&mut history, job.last_event).await {
            JobOutcome::Answered(answer) => answer,
            JobOutcome::Refused(refusal) => return refuse(&job, &mut history, refusal),
        };
        let is_retryable = answer.response.status().is_server_error() && job.is_idempotent();
        if is_retryable && job.may_retry(&history) {
            history.record_possible_run("the endpoint failed the request");
            continue;
        }
        history.status = answer.response.status().as_u16();
        if !job.is_idempotent() {
            job.outgoing.release_long_body();
        }
        if is_read_whole(answer.response.body()) {
            match buffered_answer(&job, &mut history, *answer).await {
                Ok(response) => return response,
                Err(ReadError::Broken) if job.is_idempotent() && job.may_retry(&history) => {
                    history.record_possible_run("the answer broke off");
                }
                Err(ReadError::Broken) => return refuse(&job, &mut history, Refusal::Unknown),
                Err(ReadError::TimedOut) => return refuse(&job, &mut history, Refusal::TimedOut),
            }
        } else {
            return streamed_answer(job, history, answer);
        }
    }
}

async fn buffered_answer(
    job: &Job,
    history: &mut History,
    answer: Answer,
) -> Result<Response<AnswerBody>, ReadError> {
    let Answer {
        response,
        connection,
        mut in_use,
        ..
    } = answer;
    let (mut head, body) = response.into_parts();
    let body = tokio::select! {
        biased;
        body = read_whole(body, job.outgoing.ends_at) => body,
        _cause = in_use.wait_until_lost(job.outgoing.may_rerun) => Err(ReadError::Broken),
    };
    if matches!(body, Err(ReadError::Broken)) {
        in_use.record_broken(&job.outgoing);
    }
    let body = body?;
    if head.status.is_success() {
        in_use.record_first_chunk();
        job.record_completed(history);
        if let Some(began_at) = in_use.began_at() {
            job.record_survival(began_at);
        }
    }
    drop(in_use);
    connection.keep();
    strip_hop_by_hop(&mut head.headers);
    history.record_chunk(job);
    job.gateway.metrics.record_end(job, outcome_of(head.status));
    history.log(job, outcome_of(head.status));
    Ok(Response::from_parts(head, AnswerBody::Whole(body)))
}

fn outcome_of(status: StatusCode) -> &'static str {
    if status.is_success() {
        "complete"
    } else {
        "endpoint_status"
    }
}

fn streamed_answer(
    job: Arc<Job>,
    mut history: History,
    answer: Box<Answer>,
) -> Response<AnswerBody> {
    let (chunks, body) = AnswerBody::chunks();
    let mut response = Response::new(body);
    *response.status_mut() = answer.response.status();
    let mut headers = answer.response.headers().clone();
    let is_events = is_event_stream(&headers);
    // What the caller has of another answer can't be continued, and a stream only does if it breaks off.
    if !is_events || job.gateway.connections.inbound().is_memory_scarce() {
        job.outgoing.release_long_body();
    }
    if is_events && history.stream_origin.is_none() {
        history.stream_origin = job.origin_at(answer.in_use.endpoint());
    }
    strip_hop_by_hop(&mut headers);
    *response.headers_mut() = headers;
    tokio::spawn(streaming::run(job, history, answer, chunks, is_events));
    response
}

fn is_event_stream(headers: &HeaderMap) -> bool {
    let value = headers
        .get(CONTENT_TYPE)
        .and_then(|value| value.to_str().ok());
    value.is_some_and(|value| value.starts_with(EVENT_STREAM))
}

fn refuse(job: &Job, history: &mut History, refusal: Refusal) -> Response<AnswerBody> {
    history.status = refusal.status().as_u16();
    job.gateway.metrics.record_end(job, refusal.name());
    history.log(job, refusal.name());
    refusal.response()
}
