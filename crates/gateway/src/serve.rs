//! Serves one request: finds its route and team, and sends it to endpoints until one answers.

use std::sync::{Arc, OnceLock};
use std::time::Duration;

use bytes::Bytes;
use hinge_routing::{Overloaded, RouteIndex};
use hinge_schema::routing::{Engine, RequestKind, Route};
use hinge_telemetry::info;
use hinge_telemetry::log::Part;
use http::header::{CONNECTION, CONTENT_TYPE, HOST};
use http::request::Parts;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use tokio::time::{Instant, timeout_at};

use crate::answer::{NotWhole, is_read_whole, read_whole};
use crate::attempt::{Answer, Outgoing};
use crate::body::AnswerBody;
use crate::dialect::Facts;
use crate::fleet::Fleet;
use crate::gateway::Shared;
use crate::handoff::{Decline, TABLE, hand_off};
use crate::headers::strip_connection;
use crate::job::{Job, Tried};
use crate::load::Running;
use crate::pump;
use crate::refusal::Refusal;
use crate::story::{Story, tokens_of};
use crate::takeover::HELD_AGE;

/// Time between two pieces of a stream that goes to another gateway: a part of the pause that callers bear.
const BATCH_EVERY: Duration = Duration::from_millis(60);

/// Type of an answer of events.
const EVENT_STREAM: &str = "text/event-stream";

/// Says who brings a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Origin {
    Caller,
    /// Another gateway of the data centre, which has no room for it.
    Gateway,
}

impl Origin {
    /// Returns how often pieces of a stream are passed on. Another gateway that has little processor time left passes on fewer larger ones.
    pub(crate) fn batch_every(self) -> Duration {
        match self {
            Self::Caller => Duration::ZERO,
            Self::Gateway => BATCH_EVERY,
        }
    }
}

/// Serves a request.
pub(crate) async fn serve(
    gateway: Arc<Shared>,
    request: Request<Incoming>,
    origin: Origin,
) -> Response<AnswerBody> {
    let arrived = Instant::now();
    let (mut parts, body) = request.into_parts();
    let facts = gateway.dialect.read_request(&parts.headers);
    let fleet = gateway.held.current();
    if origin == Origin::Gateway
        && let Some(decline) = declines(&gateway, &fleet, &mut parts.headers)
    {
        return decline.response();
    }
    let found = find(&fleet, &parts, &facts);
    let Found {
        route,
        service,
        team,
        rank,
        engine,
    } = match found {
        Ok(found) => found,
        Err(refusal) => return refuse_early(&gateway, &fleet, &facts, &parts, refusal),
    };
    let timeout = Duration::from_millis(route.timeout_ms);
    let ends_at = arrived
        + facts
            .deadline
            .map_or(timeout, |deadline| deadline.min(timeout));
    let body = match read_body(&fleet, body, ends_at).await {
        Ok(body) => body,
        Err(refusal) => return refuse_early(&gateway, &fleet, &facts, &parts, refusal),
    };
    let outgoing = Outgoing {
        may_go_on: may_run_again(&route),
        ..outgoing(parts, body, &facts, team, ends_at)
    };
    if gateway.held.suspects.is_held(&outgoing) {
        return refuse_held(&gateway, &route, &outgoing);
    }
    let team = outgoing.team.as_deref();
    let place = match origin {
        Origin::Caller => take_place(&gateway, engine.is_some(), team),
        Origin::Gateway => match take_over(&gateway, engine.is_some(), team) {
            Ok(running) => Ok(running),
            Err(decline) => return decline.response(),
        },
    };
    let running = match place {
        Ok(running) => running,
        Err(overloaded) => {
            let handed_off = hand_off(&gateway, fleet.table_number(), &outgoing, &overloaded);
            return match handed_off.await {
                Some(response) => response,
                None => refuse_overloaded(&gateway, team, &facts, overloaded),
            };
        }
    };
    let job = Arc::new(Job {
        outgoing,
        gateway,
        fleet,
        route,
        service,
        prompt: facts.prompt,
        engine,
        rank,
        origin,
        _running: running,
        last_event: facts.last_event,
        arrived,
    });
    answer(job).await
}

/// Takes a place for a request to a model engine; a plain one needs none, but must not be late.
fn take_place(
    gateway: &Arc<Shared>,
    has_engine: bool,
    team: Option<&str>,
) -> Result<Option<Running>, Overloaded> {
    if has_engine {
        return Running::begin(gateway, team).map(Some);
    }
    gateway.overload().check_plain().map(|()| None)
}

/// Takes a place for a request that another gateway hands off.
fn take_over(
    gateway: &Arc<Shared>,
    has_engine: bool,
    team: Option<&str>,
) -> Result<Option<Running>, Decline> {
    if has_engine {
        let running = Running::take_over(gateway, team);
        return running.map(Some).ok_or(Decline::NoRoom);
    }
    let checked = gateway.overload().check_plain();
    checked.map_or(Err(Decline::NoRoom), |()| Ok(None))
}

/// Returns why this gateway can't take requests of others, and takes the headers off that are between gateways.
///
/// A caller must not be served by an older table than that of the gateway which it came to, nor by a newer one and by the older one
/// again right after.
fn declines(gateway: &Shared, fleet: &Fleet, headers: &mut HeaderMap) -> Option<Decline> {
    let table = headers.remove(TABLE);
    let table = table.and_then(|table| table.to_str().ok()?.parse::<u64>().ok());
    if gateway.stops_at.get().is_some() {
        Some(Decline::Leaving)
    } else if gateway.held.age() > HELD_AGE {
        Some(Decline::WithoutControl)
    } else if table != Some(fleet.table_number()) {
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

/// Holds what the route table says of a request.
struct Found {
    route: Route,
    service: Box<str>,
    team: Option<Box<str>>,
    /// Rank of the team, or else of the route.
    rank: u32,
    /// Engines of the service, if it has any.
    engine: Option<Engine>,
}

/// Finds the route, the service and the team of a request.
fn find(fleet: &Fleet, parts: &Parts, facts: &Facts) -> Result<Found, Refusal> {
    let lookup = fleet.lookup.as_ref().ok_or(Refusal::NoTable)?;
    let host = host_of(parts).ok_or(Refusal::NoRoute)?;
    let route = lookup
        .route(host, parts.uri.path())
        .ok_or(Refusal::NoRoute)?;
    let team = if route.public || !lookup.requires_keys() {
        None
    } else {
        let key = facts.key.as_deref().ok_or(Refusal::NoTeam)?;
        let team = lookup.team(key).ok_or(Refusal::NoTeam)?;
        Some(team)
    };
    let target = RouteIndex::pick_target(route, rand::random()).ok_or(Refusal::NoRoute)?;
    let service = lookup.service(&target.service);
    Ok(Found {
        service: target.service.clone(),
        team: team.map(|team| team.name.clone()),
        rank: team
            .and_then(|team| team.priority)
            .unwrap_or(route.priority),
        engine: service.and_then(|service| service.engine.clone()),
        route: route.clone(),
    })
}

fn host_of(parts: &Parts) -> Option<&str> {
    let host = match parts.headers.get(HOST) {
        Some(host) => host.to_str().ok()?,
        None => parts.uri.host()?,
    };
    Some(host.split(':').next().unwrap_or(host))
}

async fn read_body(fleet: &Fleet, body: Incoming, ends_at: Instant) -> Result<Bytes, Refusal> {
    let lookup = fleet.lookup.as_ref().ok_or(Refusal::NoTable)?;
    let limit = lookup.table().limits.max_body_bytes;
    let limit = usize::try_from(limit).unwrap_or(usize::MAX);
    let whole = timeout_at(ends_at, Limited::new(body, limit).collect()).await;
    match whole {
        Ok(Ok(whole)) => Ok(whole.to_bytes()),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => Err(Refusal::TooLong),
        Ok(Err(_)) | Err(_) => Err(Refusal::BadBody),
    }
}

fn outgoing(
    parts: Parts,
    body: Bytes,
    facts: &Facts,
    team: Option<Box<str>>,
    ends_at: Instant,
) -> Outgoing {
    let mut headers = parts.headers;
    strip_connection(&mut headers);
    // The body is sent with its own length, however it came.
    headers.remove(http::header::CONTENT_LENGTH);
    headers.remove(http::header::EXPECT);
    Outgoing {
        method: parts.method,
        uri: origin_form(&parts.uri),
        headers,
        body,
        request_id: facts.request_id.clone(),
        team,
        prompt_tokens: facts
            .prompt
            .as_ref()
            .map_or(0, |prompt| prompt.prompt_tokens),
        may_go_on: false,
        ends_at,
        key: OnceLock::new(),
    }
}

fn origin_form(uri: &http::Uri) -> http::Uri {
    let path = uri.path_and_query().cloned();
    path.map_or_else(|| uri.clone(), http::Uri::from)
}

fn refuse_early(
    gateway: &Shared,
    fleet: &Fleet,
    facts: &Facts,
    parts: &Parts,
    refusal: Refusal,
) -> Response<AnswerBody> {
    gateway.metrics.refused(refusal.name());
    let id = facts.request_id.as_deref().unwrap_or("-");
    let status = refusal.status().as_u16();
    info!(
        Part::Gateway,
        "Request.",
        id = id,
        outcome = refusal.name(),
        status = status,
        path = parts.uri.path(),
        table = fleet.table_number(),
        table_age_ms = gateway.held.age().as_millis()
    );
    refusal.response()
}

/// Refuses a request for which this gateway has no room.
fn refuse_overloaded(
    gateway: &Shared,
    team: Option<&str>,
    facts: &Facts,
    overloaded: Overloaded,
) -> Response<AnswerBody> {
    let refusal = Refusal::Overloaded(overloaded);
    gateway.metrics.refused(refusal.name());
    let (prompt_tokens, answer_tokens) = tokens_of(facts.prompt.as_ref());
    info!(
        Part::Gateway,
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

/// Refuses a request that is held, before it takes anything of its team's share.
fn refuse_held(gateway: &Shared, route: &Route, outgoing: &Outgoing) -> Response<AnswerBody> {
    let refusal = Refusal::Held;
    gateway.metrics.refused(refusal.name());
    gateway.held.suspects.note_turned_away();
    info!(
        Part::Gateway,
        "Request.",
        id = outgoing.request_id.as_deref().unwrap_or("-"),
        outcome = refusal.name(),
        status = refusal.status().as_u16(),
        route = route.name,
        team = outgoing.team.as_deref().unwrap_or("-"),
        request = outgoing.key(),
        list = gateway.held.suspects.version()
    );
    refusal.response()
}

async fn answer(job: Arc<Job>) -> Response<AnswerBody> {
    let mut story = Story::default();
    if job.outlasts_stop() {
        story.note_cause("this instance stops before the answer would end");
        let refusal = Refusal::NotRun {
            retry_after: Duration::ZERO,
        };
        return refuse(&job, &mut story, refusal);
    }
    job.gateway.note_request(&job.service);
    loop {
        let answer = match job.attempts(&mut story, job.last_event).await {
            Tried::Answered(answer) => answer,
            Tried::Refused(refusal) => return refuse(&job, &mut story, refusal),
        };
        let is_retryable = answer.response.status().is_server_error() && job.is_idempotent();
        if is_retryable && job.may_repeat(&story) {
            story.note_run("the endpoint failed the request");
            continue;
        }
        story.status = answer.response.status().as_u16();
        if is_read_whole(answer.response.body()) {
            match whole(&job, &mut story, *answer).await {
                Ok(response) => return response,
                Err(NotWhole::Broken) if job.is_idempotent() && job.may_repeat(&story) => {
                    story.note_run("the answer broke off");
                }
                Err(NotWhole::Broken) => return refuse(&job, &mut story, Refusal::Unknown),
                Err(NotWhole::TimedOut) => return refuse(&job, &mut story, Refusal::TimedOut),
            }
        } else {
            return stream(job, story, answer);
        }
    }
}

async fn whole(
    job: &Job,
    story: &mut Story,
    answer: Answer,
) -> Result<Response<AnswerBody>, NotWhole> {
    let Answer {
        response,
        connection,
        mut in_use,
    } = answer;
    let (mut head, body) = response.into_parts();
    let body = tokio::select! {
        biased;
        body = read_whole(body, job.outgoing.ends_at) => body,
        _cause = in_use.lost(job.outgoing.may_go_on) => Err(NotWhole::Broken),
    };
    if matches!(body, Err(NotWhole::Broken)) {
        in_use.broke(&job.outgoing);
    }
    let body = body?;
    if head.status.is_success() {
        in_use.began();
        job.completed(story);
    }
    drop(in_use);
    connection.keep();
    strip_connection(&mut head.headers);
    story.note_piece(job);
    job.gateway.metrics.ended(job, outcome_of(head.status));
    story.tell(job, outcome_of(head.status));
    Ok(Response::from_parts(head, AnswerBody::Whole(body)))
}

fn outcome_of(status: StatusCode) -> &'static str {
    if status.is_success() {
        "complete"
    } else {
        "endpoint_status"
    }
}

fn stream(job: Arc<Job>, story: Story, answer: Box<Answer>) -> Response<AnswerBody> {
    let (pieces, body) = AnswerBody::pieces();
    let mut response = Response::new(body);
    *response.status_mut() = answer.response.status();
    let mut headers = answer.response.headers().clone();
    let is_events = is_event_stream(&headers);
    strip_connection(&mut headers);
    *response.headers_mut() = headers;
    tokio::spawn(pump::run(job, story, answer, pieces, is_events));
    response
}

fn is_event_stream(headers: &HeaderMap) -> bool {
    let value = headers
        .get(CONTENT_TYPE)
        .and_then(|value| value.to_str().ok());
    value.is_some_and(|value| value.starts_with(EVENT_STREAM))
}

fn refuse(job: &Job, story: &mut Story, refusal: Refusal) -> Response<AnswerBody> {
    story.status = refusal.status().as_u16();
    job.gateway.metrics.ended(job, refusal.name());
    story.tell(job, refusal.name());
    refusal.response()
}
