//! Hands requests for which there is no room off to other gateways of the data centre.
//!
//! The other gateway takes a request as if its caller had come there, does all the work before the endpoint, and its answer is passed on as
//! it comes. It says whether it takes the request before it does anything for it; a request goes one step, and never on from there.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use hinge_link::ClusterKey;
use hinge_routing::{Overloaded, PeerGateways};
use hinge_telemetry::log::Part;
use hinge_telemetry::{info, warn};
use http::header::{CONNECTION, HeaderName};
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode};
use http_body::{Body, Frame, SizeHint};
use http_body_util::Full;
use hyper::body::Incoming;
use smallvec::SmallVec;
use tokio::io::AsyncWriteExt;
use tokio::time::{Instant, timeout, timeout_at};

use crate::attempt::{Exchanged, Outgoing, exchange};
use crate::body::{AnswerBody, BrokenOff};
use crate::gateway::Shared;
use crate::headers::{closes, strip_connection};
use crate::pool::{self, Pool, Sender};
use crate::refusal::Refusal;

/// Number of the route table by which the request was read; another gateway takes it only if it has the same one.
pub(crate) const TABLE: HeaderName = HeaderName::from_static("hinge-table");

/// Says why a gateway does not take a request that was handed off; it has done nothing for it.
pub(crate) const DECLINED: HeaderName = HeaderName::from_static("hinge-declined");

/// Requests that are handed off and under way at most: memory for two connections each.
const MOST_UNDER_WAY: u32 = 400;

/// Gateways that are asked to take one request.
const MOST_ASKED: usize = 2;

/// Idle connections to one gateway that are kept; requests go to many.
const MAX_IDLE: usize = 8;

/// Longest wait for a connection inside a data centre.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

/// Time for which a gateway is left out that has another table, that has no room, that can't take requests now, or that can't be reached.
const OTHER_TABLE_REST: Duration = Duration::from_millis(100);
const NO_ROOM_REST: Duration = Duration::from_millis(200);
const UNABLE_REST: Duration = Duration::from_secs(1);
const UNREACHABLE_REST: Duration = Duration::from_secs(2);

/// Says why a gateway does not take a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Decline {
    NoRoom,
    /// It has another route table.
    OtherTable,
    /// It has not heard from control for a while.
    WithoutControl,
    /// It stops.
    Leaving,
}

impl Decline {
    const ALL: [Self; 4] = [
        Self::NoRoom,
        Self::OtherTable,
        Self::WithoutControl,
        Self::Leaving,
    ];

    fn name(self) -> &'static str {
        match self {
            Self::NoRoom => "no-room",
            Self::OtherTable => "other-table",
            Self::WithoutControl => "without-control",
            Self::Leaving => "leaving",
        }
    }

    fn rest(self) -> Duration {
        match self {
            Self::OtherTable => OTHER_TABLE_REST,
            Self::NoRoom => NO_ROOM_REST,
            Self::WithoutControl | Self::Leaving => UNABLE_REST,
        }
    }

    /// Reads it from the head of an answer.
    fn read(status: StatusCode, headers: &HeaderMap) -> Option<Self> {
        let name = headers.get(DECLINED)?;
        let known = Self::ALL.into_iter();
        let mut known = known.filter(|_| status == StatusCode::SERVICE_UNAVAILABLE);
        known.find(|decline| name.as_bytes() == decline.name().as_bytes())
    }

    /// Returns the answer that says it.
    pub(crate) fn response(self) -> Response<AnswerBody> {
        let mut response = Response::new(AnswerBody::Whole(Bytes::new()));
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        let name = HeaderValue::from_static(self.name());
        response.headers_mut().insert(DECLINED, name);
        response
    }
}

/// Holds the other gateways of the data centre, and the connections to them.
#[derive(Debug)]
pub(crate) struct Handoffs {
    key: ClusterKey,
    began: Instant,
    nearby: Mutex<PeerGateways>,
    pools: Mutex<HashMap<SocketAddr, Arc<Pool>>>,
}

impl Handoffs {
    pub(crate) fn new(key: ClusterKey) -> Self {
        Self {
            key,
            began: Instant::now(),
            nearby: Mutex::default(),
            pools: Mutex::default(),
        }
    }

    /// Takes in the addresses of other gateways.
    pub(crate) fn named(&self, addresses: &[SocketAddr]) {
        let mut nearby = self.nearby();
        nearby.record_listed(self.began.elapsed(), addresses);
        self.pools().retain(|address, _| nearby.contains(*address));
    }

    fn choose(&self, except: &[SocketAddr]) -> Option<SocketAddr> {
        let draw = || rand::random::<u32>() as usize;
        self.nearby().choose(self.began.elapsed(), except, draw)
    }

    fn rests(&self, address: SocketAddr, rest: Duration) {
        self.nearby().suspend(self.began.elapsed(), address, rest);
    }

    fn pool(&self, address: SocketAddr) -> Arc<Pool> {
        let pool = || Arc::new(Pool::new(MAX_IDLE));
        Arc::clone(self.pools().entry(address).or_insert_with(pool))
    }

    fn nearby(&self) -> MutexGuard<'_, PeerGateways> {
        self.nearby.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn pools(&self) -> MutexGuard<'_, HashMap<SocketAddr, Arc<Pool>>> {
        self.pools.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns a connection to a gateway, on which the key is proved.
    async fn connect(&self, address: SocketAddr, pool: &Pool) -> Option<Sender> {
        if let Some(kept) = pool.take() {
            return Some(kept);
        }
        let opened = async {
            let mut stream = pool::dial(address).await?;
            stream.write_all(self.key.header_value().as_bytes()).await?;
            stream.write_all(b"\n").await?;
            pool::handshake(stream).await
        };
        timeout(CONNECT_TIMEOUT, opened).await.ok()?.ok()
    }
}

/// Holds a request's use of another gateway, until it is dropped.
#[derive(Debug)]
struct Use {
    shared: Arc<Shared>,
    address: SocketAddr,
}

impl Drop for Use {
    fn drop(&mut self) {
        self.shared.handoffs.nearby().request_ended(self.address);
    }
}

/// Holds an answer that another gateway passes on.
#[derive(Debug)]
pub(crate) struct HandedOff {
    body: Incoming,
    /// Connection to keep once the answer has ended.
    connection: Option<(Arc<Pool>, Sender)>,
    _in_use: Use,
}

impl HandedOff {
    pub(crate) fn poll(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenOff>>> {
        let next = Pin::new(&mut self.body).poll_frame(cx);
        if matches!(next, Poll::Ready(None)) {
            self.keep();
        }
        next.map(|frame| frame.map(|frame| frame.map_err(|_broken| BrokenOff)))
    }

    pub(crate) fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    pub(crate) fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }

    fn keep(&mut self) {
        if let Some((pool, sender)) = self.connection.take() {
            pool.keep(sender, None);
        }
    }
}

impl Drop for HandedOff {
    fn drop(&mut self) {
        // A server asks no further for a body of which it has everything.
        if self.body.is_end_stream() {
            self.keep();
        }
    }
}

/// Says what became of a request at another gateway.
enum Handed {
    Answered(Response<AnswerBody>),
    Declined(Decline),
    Unreachable,
    /// It may have run, and there is no answer.
    Failed(Refusal),
}

/// Hands a request off, and returns its answer, or none where no gateway takes it.
pub(crate) async fn hand_off(
    shared: &Arc<Shared>,
    table: u64,
    outgoing: &Outgoing,
    overloaded: &Overloaded,
) -> Option<Response<AnswerBody>> {
    // What is handed off now may outlast this gateway.
    if shared.stops_at.get().is_some() {
        return None;
    }
    if shared.handoffs.nearby().in_flight() >= MOST_UNDER_WAY {
        return None;
    }
    let mut asked: SmallVec<[SocketAddr; MOST_ASKED]> = SmallVec::new();
    while asked.len() < MOST_ASKED {
        let address = shared.handoffs.choose(&asked)?;
        asked.push(address);
        let in_use = Use {
            shared: Arc::clone(shared),
            address,
        };
        match send(in_use, table, outgoing).await {
            Handed::Answered(response) => {
                shared.overload().record_handoff();
                tell(outgoing, address, asked.len(), overloaded);
                return Some(response);
            }
            Handed::Declined(decline) => shared.handoffs.rests(address, decline.rest()),
            Handed::Unreachable => shared.handoffs.rests(address, UNREACHABLE_REST),
            Handed::Failed(refusal) => {
                shared.handoffs.rests(address, UNREACHABLE_REST);
                tell_failure(outgoing, address, refusal);
                return Some(refusal.response());
            }
        }
    }
    None
}

async fn send(in_use: Use, table: u64, outgoing: &Outgoing) -> Handed {
    let shared = Arc::clone(&in_use.shared);
    let pool = shared.handoffs.pool(in_use.address);
    let Some(sender) = shared.handoffs.connect(in_use.address, &pool).await else {
        return Handed::Unreachable;
    };
    let request = request(&shared, table, outgoing);
    let sent = timeout_at(outgoing.ends_at, exchange(sender, request)).await;
    let (sender, response) = match sent {
        Ok(Exchanged::Answered(sender, response)) => (sender, response),
        Ok(Exchanged::NotSent) => return Handed::Unreachable,
        Ok(Exchanged::Lost) => return Handed::Failed(Refusal::Unknown),
        Err(_elapsed) => return Handed::Failed(Refusal::TimedOut),
    };
    let (mut head, body) = response.into_parts();
    if let Some(decline) = Decline::read(head.status, &head.headers) {
        pool.keep(sender, None);
        return Handed::Declined(decline);
    }
    let is_kept = !closes(&head.headers);
    strip_connection(&mut head.headers);
    if shared.overload().should_close_connection() {
        let close = HeaderValue::from_static("close");
        head.headers.insert(CONNECTION, close);
    }
    let body = HandedOff {
        body,
        connection: is_kept.then_some((pool, sender)),
        _in_use: in_use,
    };
    Handed::Answered(Response::from_parts(head, AnswerBody::HandedOff(body)))
}

fn request(shared: &Shared, table: u64, outgoing: &Outgoing) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(outgoing.body.clone()));
    *request.method_mut() = outgoing.method.clone();
    *request.uri_mut() = outgoing.uri.clone();
    let mut headers = outgoing.headers.clone();
    let remaining = outgoing.ends_at.saturating_duration_since(Instant::now());
    shared.dialect.write_remaining(&mut headers, remaining);
    headers.insert(TABLE, table.into());
    *request.headers_mut() = headers;
    request
}

fn tell(outgoing: &Outgoing, address: SocketAddr, asked: usize, overloaded: &Overloaded) {
    info!(
        Part::Gateway,
        "Handed off.",
        id = outgoing.request_id.as_deref().unwrap_or("-"),
        team = outgoing.team.as_deref().unwrap_or("-"),
        to = address,
        asked = asked,
        bound = overloaded.limit_kind.name(),
        running = overloaded.running,
        limit = overloaded.limit,
        lag_ms = overloaded.lag.as_millis()
    );
}

fn tell_failure(outgoing: &Outgoing, address: SocketAddr, refusal: Refusal) {
    warn!(
        Part::Gateway,
        "A request that was handed off has no answer.",
        id = outgoing.request_id.as_deref().unwrap_or("-"),
        team = outgoing.team.as_deref().unwrap_or("-"),
        to = address,
        outcome = refusal.name()
    );
}
