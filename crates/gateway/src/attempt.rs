//! Sends a request to one endpoint and reads the head of its answer.

use std::net::SocketAddr;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use bytes::Bytes;
use hinge_link::BodyEnd;
use hinge_routing::RequestKey;
use http::header::{CONTENT_ENCODING, CONTENT_LENGTH, EXPECT};
use http::request::Parts;
use http::{HeaderMap, Method, Request, Response, StatusCode, Uri};
use http_body_util::Full;
use hyper::body::Incoming;
use smallvec::SmallVec;

use crate::admission::Grant;
use crate::deadline::{Deadline, DeadlinePassed};
use crate::dialect::{Dialect, Disposition, ForwardFacts, RequestFacts};
use crate::endpoint::{Endpoint, EndpointUse};
use crate::headers;
use crate::pool::{self, Sender};
use crate::request_body::RequestBody;

#[cfg(test)]
pub(crate) mod tests;

/// A caller's request as it is sent to endpoints.
#[derive(Debug)]
pub(crate) struct OutgoingRequest {
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    /// Headers of the caller, without hop-by-hop headers.
    pub(crate) headers: HeaderMap,
    pub(crate) body: RequestBody,
    pub(crate) request_id: Option<Box<str>>,
    pub(crate) team: Option<Box<str>>,
    /// Ids of the prompt's parts, without the last one, which is specific to the request.
    pub(crate) shared_parts: SmallVec<[u64; 3]>,
    /// Prompt tokens that an endpoint has to prefill.
    pub(crate) prompt_tokens: u32,
    /// Whether the request may run again when its answer is lost.
    pub(crate) may_rerun: bool,
    /// The earlier of the caller's deadline and the route's timeout.
    pub(crate) ends_at: Deadline,
    /// Computed on first use.
    pub(crate) key: OnceLock<RequestKey>,
    /// Ids of held prompt parts that are tried with this request, which then runs at one endpoint only.
    pub(crate) trial_parts: SmallVec<[u64; 3]>,
}

impl OutgoingRequest {
    /// Creates the request that endpoints receive from one of a caller.
    pub(crate) fn new(
        parts: Parts,
        body: RequestBody,
        facts: &RequestFacts,
        team: Option<Box<str>>,
        ends_at: Deadline,
        may_rerun: bool,
    ) -> Self {
        let mut headers = parts.headers;
        headers::strip_hop_by_hop(&mut headers);
        // The body was buffered and is sent with its exact length, however it was framed on arrival.
        headers.remove(CONTENT_LENGTH);
        headers.remove(EXPECT);
        let prompt = facts.prompt.as_ref();
        Self {
            method: parts.method,
            uri: origin_form(&parts.uri),
            headers,
            body,
            request_id: facts.request_id.clone(),
            team,
            shared_parts: prompt.map_or_else(SmallVec::new, |prompt| {
                prompt.shared_parts().iter().map(|part| part.id).collect()
            }),
            prompt_tokens: prompt.map_or(0, |prompt| prompt.prompt_tokens),
            may_rerun,
            ends_at,
            key: OnceLock::new(),
            trial_parts: SmallVec::new(),
        }
    }

    /// Returns the key that is the same at every gateway and for every attempt of the caller.
    pub(crate) fn key(&self) -> RequestKey {
        let path = self.uri.path_and_query().map_or("/", |path| path.as_str());
        let team = self.team.as_deref();
        let key = || {
            let body = self.body.bytes();
            let body = body.expect("the key is computed before the body is released");
            RequestKey::of(self.method.as_str(), path, team, &body)
        };
        *self.key.get_or_init(key)
    }

    /// Releases a long body, since no further attempt is made.
    pub(crate) fn release_long_body(&self) {
        if self.body.is_long() {
            let _key = self.key();
            self.body.release();
        }
    }

    /// Returns the keys of the prompt's parts at a service, without the last part, which no other request has.
    pub(crate) fn part_keys(&self, service: &str) -> SmallVec<[RequestKey; 3]> {
        let parts = self.shared_parts.iter();
        parts
            .map(|part| RequestKey::of_part(service, *part))
            .collect()
    }
}

fn origin_form(uri: &Uri) -> Uri {
    let path = uri.path_and_query().cloned();
    path.map_or_else(|| uri.clone(), Uri::from)
}

/// Returns the ids of prompt parts in hexadecimal, joined by commas.
pub(crate) fn part_ids(parts: &[u64]) -> String {
    let ids: SmallVec<[String; 3]> = parts.iter().map(|id| format!("{id:x}")).collect();
    ids.join(",")
}

/// An endpoint's answer, of which the head has arrived.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) response: Response<Incoming>,
    pub(crate) body_end: BodyEnd,
    pub(crate) connection: Connection,
    pub(crate) in_use: EndpointUse,
}

/// The connection of an answer that is still being read.
#[derive(Debug)]
pub(crate) struct Connection {
    endpoint: Arc<Endpoint>,
    sender: Sender,
    keep_alive: Option<Duration>,
    closes: bool,
}

impl Connection {
    /// Records that a part of the answer's body has arrived.
    pub(crate) fn record_body(&self, bytes: usize) {
        self.sender.record_body(bytes);
    }

    /// Returns whether a part of the request is not sent.
    pub(crate) fn has_unsent_part(&self) -> bool {
        self.sender.has_unsent_part()
    }

    /// Returns the connection to the pool once its answer is read whole.
    pub(crate) fn keep(self) {
        if !self.closes && !self.endpoint.is_draining() {
            self.endpoint.pool.keep(self.sender, self.keep_alive);
        }
    }
}

/// The outcome of one attempt.
#[derive(Debug)]
pub(crate) enum AttemptOutcome {
    /// The endpoint answers.
    Answered(Box<Answer>),
    /// No byte of the request was sent.
    NotSent,
    /// The endpoint reports that it did not run the request.
    NotRun(StatusCode),
    /// The request may have run, and there is no answer.
    Unknown(&'static str),
    /// The deadline has passed; the request may have run.
    TimedOut,
}

/// Sends a request once.
pub(crate) async fn send(
    dialect: &dyn Dialect,
    endpoint: &Arc<Endpoint>,
    outgoing: &OutgoingRequest,
    last_event: Option<u64>,
    fetch_from: Option<SocketAddr>,
    grant: Option<Grant>,
) -> AttemptOutcome {
    let mut in_use = endpoint.begin_request(outgoing.prompt_tokens, grant);
    let Some(body) = outgoing.body.bytes() else {
        return AttemptOutcome::NotSent;
    };
    let kept = endpoint.pool.take();
    let is_kept = kept.is_some();
    let sender = match kept {
        Some(sender) => sender,
        None => match outgoing
            .ends_at
            .limit(pool::connect(endpoint.description.address))
            .await
        {
            Ok(Ok(sender)) => sender,
            Ok(Err(cause)) => {
                endpoint.record_connect_failure(&cause);
                in_use.record_failure(&cause.to_string());
                return AttemptOutcome::NotSent;
            }
            Err(DeadlinePassed) => return AttemptOutcome::NotSent,
        },
    };
    // Connecting may have taken long.
    if in_use.is_grant_outdated() || endpoint.is_evacuated() {
        endpoint.pool.keep(sender, None);
        return AttemptOutcome::NotSent;
    }
    let request = request(dialect, endpoint, outgoing, body, last_event, fetch_from);
    in_use.record_sent();
    let sent = tokio::select! {
        biased;
        sent = outgoing.ends_at.limit(exchange(sender, request)) => sent,
        cause = in_use.wait_until_lost(outgoing.may_rerun) => {
            in_use.record_broken(outgoing);
            in_use.record_failure(cause);
            return AttemptOutcome::Unknown(cause);
        }
    };
    let (sender, response) = match sent {
        Err(DeadlinePassed) => {
            return AttemptOutcome::TimedOut;
        }
        Ok(ExchangeOutcome::Answered(sender, response)) => (sender, response),
        Ok(ExchangeOutcome::NotSent) => {
            // An endpoint closes idle connections as a matter of course, so a pooled one that fails is no fault of it.
            if !is_kept {
                in_use.record_failure("the connection closed before the request was sent");
            }
            return AttemptOutcome::NotSent;
        }
        Ok(ExchangeOutcome::Lost) => {
            in_use.record_broken(outgoing);
            in_use.record_failure("the connection broke");
            return AttemptOutcome::Unknown("the connection broke");
        }
    };
    evaluate(dialect, endpoint, outgoing, sender, response, in_use)
}

fn request(
    dialect: &dyn Dialect,
    endpoint: &Endpoint,
    outgoing: &OutgoingRequest,
    body: Bytes,
    last_event: Option<u64>,
    fetch_from: Option<SocketAddr>,
) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = outgoing.method.clone();
    *request.uri_mut() = outgoing.uri.clone();
    *request.headers_mut() = outgoing.headers.clone();
    let forward = ForwardFacts {
        endpoint: &endpoint.description.id,
        team: outgoing.team.as_deref(),
        remaining: outgoing.ends_at.left(),
        last_event,
        fetch_from,
    };
    dialect.write_request(request.headers_mut(), &forward);
    request
}

/// The outcome of a request on one connection.
pub(crate) enum ExchangeOutcome {
    Answered(Sender, Response<Incoming>),
    /// No byte of it was sent.
    NotSent,
    /// It may have been read, and there is no answer.
    Lost,
}

/// Sends a request on a connection, and waits for the head of its answer.
pub(crate) async fn exchange(mut sender: Sender, request: Request<Full<Bytes>>) -> ExchangeOutcome {
    if sender.ready().await.is_err() {
        return ExchangeOutcome::NotSent;
    }
    match sender.try_send_request(request).await {
        Ok(response) => ExchangeOutcome::Answered(sender, response),
        Err(mut error) => match error.take_message() {
            Some(_unsent) => ExchangeOutcome::NotSent,
            None => ExchangeOutcome::Lost,
        },
    }
}

fn evaluate(
    dialect: &dyn Dialect,
    endpoint: &Arc<Endpoint>,
    outgoing: &OutgoingRequest,
    sender: Sender,
    response: Response<Incoming>,
    mut in_use: EndpointUse,
) -> AttemptOutcome {
    let status = response.status();
    let headers = response.headers();
    let body_end = match BodyEnd::read(&outgoing.method, status, headers) {
        Ok(body_end) => body_end,
        // Nothing else that such a head says is believed either; the connection is dropped.
        Err(invalid) => {
            in_use.record_failure(invalid.as_str());
            return AttemptOutcome::Unknown(invalid.as_str());
        }
    };
    let facts = dialect.read_answer(outgoing.request_id.as_deref(), status, headers);
    // The answer to another request says nothing about this one; the connection is dropped.
    if !facts.is_ours {
        in_use.record_failure("the answer belongs to another request");
        return AttemptOutcome::Unknown("the answer belongs to another request");
    }
    if facts.disposition == Disposition::WrongEndpoint {
        in_use.record_replaced();
        return AttemptOutcome::NotRun(status);
    }
    if let Some(load) = facts.load {
        in_use.record_load(load);
    }
    if let Some(backoff) = facts.backoff {
        in_use.record_backoff(backoff);
    }
    if facts.is_leaving {
        in_use.record_leaving();
    }
    if facts.disposition == Disposition::NotRun {
        in_use.record_rejected();
        return AttemptOutcome::NotRun(status);
    }
    if status.is_success() && !facts.is_signed {
        in_use.record_failure("the answer is not signed");
        return AttemptOutcome::Unknown("the answer is not signed");
    }
    if headers.contains_key(CONTENT_ENCODING) {
        in_use.record_failure("the answer has an encoding that nobody asked for");
        return AttemptOutcome::Unknown("the answer has an encoding that nobody asked for");
    }
    if status.is_server_error() {
        in_use.record_failure("the endpoint failed the request");
    } else {
        in_use.record_answer();
    }
    let connection = Connection {
        endpoint: Arc::clone(endpoint),
        sender,
        keep_alive: headers::keep_alive_time(headers),
        closes: headers::closes_connection(headers),
    };
    AttemptOutcome::Answered(Box::new(Answer {
        response,
        body_end,
        connection,
        in_use,
    }))
}
