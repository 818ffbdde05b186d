//! Hands requests that exceed this gateway's limits off to other gateways of the data centre.
//!
//! The other gateway serves the request as if its caller had connected there, and its answer is streamed back through this
//! one. It accepts or declines before it does any work. A request is handed off once at most and never forwarded further.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use hinge_clock::BootInstant;
use hinge_link::ClusterKey;
use hinge_routing::{OfferFailure, Overloaded, PeerGateways};
use hinge_telemetry::log::Component;
use hinge_telemetry::{info, warn};
use http::header::{CONNECTION, HeaderName};
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode};
use http_body::{Body, Frame, SizeHint};
use http_body_util::Full;
use hyper::body::Incoming;
use smallvec::SmallVec;
use tokio::io::AsyncWriteExt;
use tokio::time::timeout;

use crate::attempt::{ExchangeOutcome, OutgoingRequest, exchange};
use crate::body::{AnswerBody, BrokenOff};
use crate::deadline::{DeadlinePassed, DeadlineTimer};
use crate::gateway::Shared;
use crate::guarded_stream::UnusedBytes;
use crate::headers::{closes_connection, strip_hop_by_hop};
use crate::pool::{self, Pool, Sender};
use crate::refusal::Refusal;

#[cfg(test)]
mod tests;

/// Header with the number of the sender's route table; a gateway accepts a request only if it has the same table.
pub(crate) const TABLE_HEADER: HeaderName = HeaderName::from_static("hinge-table");

/// Header with the reason why a gateway declined a request, for which it has done no work.
pub(crate) const DECLINED_HEADER: HeaderName = HeaderName::from_static("hinge-declined");

/// Maximum number of handed-off requests in progress; each takes memory for two connections.
const MAX_IN_PROGRESS: u32 = 400;

/// Maximum number of gateways that one request is offered to.
const MAX_OFFERS: usize = 2;

/// Idle connections kept to each gateway; few, because requests are spread over many gateways.
const MAX_IDLE: usize = 8;

/// Time after its deadline at which an answer is broken off here. The other gateway breaks off a stream earlier, so this is for one that
/// hangs or is out of reach.
const DEADLINE_GRACE: Duration = Duration::from_millis(200);

/// Timeout for connecting within a data centre.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

/// How long a gateway is not chosen after it has declined for another table or for overload, can't accept, or is unreachable.
const OTHER_TABLE_BACKOFF: Duration = Duration::from_millis(100);
const NO_ROOM_BACKOFF: Duration = Duration::from_millis(200);
const UNABLE_BACKOFF: Duration = Duration::from_secs(1);
const UNREACHABLE_BACKOFF: Duration = Duration::from_secs(2);

/// The reason why a gateway declines a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Decline {
    NoRoom,
    /// It has another route table.
    OtherTable,
    /// It has lost contact with control for too long.
    WithoutControl,
    /// It is shutting down.
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

    fn failure(self) -> OfferFailure {
        match self {
            Self::NoRoom => OfferFailure::Full,
            Self::OtherTable | Self::WithoutControl | Self::Leaving => OfferFailure::Unable,
        }
    }

    fn backoff(self) -> Duration {
        match self {
            Self::OtherTable => OTHER_TABLE_BACKOFF,
            Self::NoRoom => NO_ROOM_BACKOFF,
            Self::WithoutControl | Self::Leaving => UNABLE_BACKOFF,
        }
    }

    /// Parses the reason from the head of an answer; `None` if the answer declines nothing.
    fn parse(status: StatusCode, headers: &HeaderMap) -> Option<Self> {
        let name = headers.get(DECLINED_HEADER)?;
        let known = Self::ALL.into_iter();
        let mut known = known.filter(|_| status == StatusCode::SERVICE_UNAVAILABLE);
        known.find(|decline| name.as_bytes() == decline.name().as_bytes())
    }

    /// Returns the answer that declines a request for this reason.
    pub(crate) fn response(self) -> Response<AnswerBody> {
        let mut response = Response::new(AnswerBody::Whole(Bytes::new()));
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        let name = HeaderValue::from_static(self.name());
        response.headers_mut().insert(DECLINED_HEADER, name);
        response
    }
}

/// The other gateways of the data centre, with pooled connections to them.
#[derive(Debug)]
pub(crate) struct Handoffs {
    key: ClusterKey,
    began: BootInstant,
    peers: Mutex<PeerGateways>,
    pools: Mutex<HashMap<SocketAddr, Arc<Pool>>>,
}

impl Handoffs {
    pub(crate) fn new(key: ClusterKey) -> Self {
        Self {
            key,
            began: BootInstant::now(),
            peers: Mutex::default(),
            pools: Mutex::default(),
        }
    }

    /// Replaces the addresses of the other gateways.
    pub(crate) fn set_peers(&self, addresses: &[SocketAddr]) {
        let mut peers = self.peers();
        peers.record_listed(self.began.elapsed(), addresses);
        self.pools().retain(|address, _| peers.contains(*address));
    }

    fn choose(&self, except: &[SocketAddr]) -> Option<SocketAddr> {
        let draw = || rand::random::<u32>() as usize;
        self.peers().choose(self.began.elapsed(), except, draw)
    }

    fn suspend(&self, address: SocketAddr, backoff: Duration) {
        self.peers().suspend(self.began.elapsed(), address, backoff);
    }

    fn pool(&self, address: SocketAddr) -> Arc<Pool> {
        let pool = || Arc::new(Pool::new(MAX_IDLE));
        Arc::clone(self.pools().entry(address).or_insert_with(pool))
    }

    fn peers(&self) -> MutexGuard<'_, PeerGateways> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn pools(&self) -> MutexGuard<'_, HashMap<SocketAddr, Arc<Pool>>> {
        self.pools.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns a connection to a gateway, authenticated with the cluster key.
    async fn connect(&self, address: SocketAddr, pool: &Pool) -> Option<Sender> {
        if let Some(kept) = pool.take() {
            return Some(kept);
        }
        let opened = async {
            let mut stream = pool::dial(address).await?;
            stream.write_all(self.key.header_value().as_bytes()).await?;
            stream.write_all(b"\n").await?;
            pool::handshake(stream, UnusedBytes::unlimited()).await
        };
        timeout(CONNECT_TIMEOUT, opened).await.ok()?.ok()
    }
}

/// A request in progress at another gateway; dropping it records the end.
#[derive(Debug)]
struct PeerUse {
    shared: Arc<Shared>,
    address: SocketAddr,
}

impl PeerUse {
    /// Records that an answer from the gateway did not end in time.
    fn record_timeout(&self) {
        self.shared
            .handoffs
            .suspend(self.address, UNREACHABLE_BACKOFF);
        warn!(
            Component::Gateway,
            "An answer that another gateway passes on has not ended in time.",
            from = self.address
        );
    }
}

impl Drop for PeerUse {
    fn drop(&mut self) {
        self.shared.handoffs.peers().request_ended(self.address);
    }
}

/// The body of an answer that is streamed through another gateway.
#[derive(Debug)]
pub(crate) struct HandedOff {
    body: Incoming,
    /// When the answer is broken off if it has not ended.
    deadline: DeadlineTimer,
    /// Connection to return to its pool once the answer has ended.
    connection: Option<(Arc<Pool>, Sender)>,
    in_use: PeerUse,
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
        if next.is_pending() && Pin::new(&mut self.deadline).poll(cx).is_ready() {
            self.connection = None;
            self.in_use.record_timeout();
            return Poll::Ready(Some(Err(BrokenOff)));
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
        // The server does not poll a body again once it is at its end.
        if self.body.is_end_stream() {
            self.keep();
        }
    }
}

/// The outcome of offering a request to another gateway.
enum OfferOutcome {
    Answered(Box<Response<AnswerBody>>),
    Declined(Decline),
    Unreachable,
    /// The request may have run, and there is no answer.
    Failed(Refusal),
}

/// Hands a request off, and returns its answer, or `None` if no gateway accepts it.
pub(crate) async fn hand_off(
    shared: &Arc<Shared>,
    table: u64,
    outgoing: &OutgoingRequest,
    overloaded: &Overloaded,
) -> Option<Response<AnswerBody>> {
    // During a planned stop a handed-off request might outlast this gateway, which passes its answer on.
    if shared.planned_stop.has_begun() {
        return None;
    }
    if shared.handoffs.peers().in_flight() >= MAX_IN_PROGRESS {
        shared
            .overload()
            .record_offer_failure(OfferFailure::TooMany);
        return None;
    }
    let mut offered: SmallVec<[SocketAddr; MAX_OFFERS]> = SmallVec::new();
    while offered.len() < MAX_OFFERS {
        let Some(address) = shared.handoffs.choose(&offered) else {
            shared
                .overload()
                .record_offer_failure(OfferFailure::NoneLeft);
            return None;
        };
        offered.push(address);
        let in_use = PeerUse {
            shared: Arc::clone(shared),
            address,
        };
        match send(in_use, table, outgoing).await {
            OfferOutcome::Answered(response) => {
                let mut overload = shared.overload();
                overload.record_handoff();
                overload.record_handoff_outcome(response.status().is_success());
                drop(overload);
                log_handoff(outgoing, address, offered.len(), overloaded);
                return Some(*response);
            }
            OfferOutcome::Declined(decline) => {
                shared.overload().record_offer_failure(decline.failure());
                shared.handoffs.suspend(address, decline.backoff());
            }
            OfferOutcome::Unreachable => {
                shared
                    .overload()
                    .record_offer_failure(OfferFailure::Unreachable);
                shared.handoffs.suspend(address, UNREACHABLE_BACKOFF);
            }
            OfferOutcome::Failed(refusal) => {
                shared.handoffs.suspend(address, UNREACHABLE_BACKOFF);
                log_failure(outgoing, address, refusal);
                return Some(refusal.response());
            }
        }
    }
    None
}

async fn send(in_use: PeerUse, table: u64, outgoing: &OutgoingRequest) -> OfferOutcome {
    let shared = Arc::clone(&in_use.shared);
    let pool = shared.handoffs.pool(in_use.address);
    let Some(sender) = shared.handoffs.connect(in_use.address, &pool).await else {
        return OfferOutcome::Unreachable;
    };
    let Some(body) = outgoing.body.bytes() else {
        return OfferOutcome::Unreachable;
    };
    let request = request(&shared, table, outgoing, body);
    let sent = outgoing.ends_at.limit(exchange(sender, request)).await;
    let (sender, response) = match sent {
        Ok(ExchangeOutcome::Answered(sender, response)) => (sender, response),
        Ok(ExchangeOutcome::NotSent) => return OfferOutcome::Unreachable,
        Ok(ExchangeOutcome::Lost) => return OfferOutcome::Failed(Refusal::Unknown),
        Err(DeadlinePassed) => return OfferOutcome::Failed(Refusal::TimedOut),
    };
    let (mut head, body) = response.into_parts();
    if let Some(decline) = Decline::parse(head.status, &head.headers) {
        pool.keep(sender, None);
        return OfferOutcome::Declined(decline);
    }
    let is_kept = !closes_connection(&head.headers);
    strip_hop_by_hop(&mut head.headers);
    if shared.overload().should_close_connection() {
        let close = HeaderValue::from_static("close");
        head.headers.insert(CONNECTION, close);
    }
    let body = HandedOff {
        body,
        deadline: (outgoing.ends_at + DEADLINE_GRACE).timer(),
        connection: is_kept.then_some((pool, sender)),
        in_use,
    };
    let response = Response::from_parts(head, AnswerBody::HandedOff(body));
    OfferOutcome::Answered(Box::new(response))
}

fn request(
    shared: &Shared,
    table: u64,
    outgoing: &OutgoingRequest,
    body: Bytes,
) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = outgoing.method.clone();
    *request.uri_mut() = outgoing.uri.clone();
    let mut headers = outgoing.headers.clone();
    let remaining = outgoing.ends_at.left();
    shared.dialect.write_remaining(&mut headers, remaining);
    headers.insert(TABLE_HEADER, table.into());
    *request.headers_mut() = headers;
    request
}

fn log_handoff(
    outgoing: &OutgoingRequest,
    address: SocketAddr,
    offered: usize,
    overloaded: &Overloaded,
) {
    info!(
        Component::Gateway,
        "Handed off.",
        id = outgoing.request_id.as_deref().unwrap_or("-"),
        team = outgoing.team.as_deref().unwrap_or("-"),
        to = address,
        asked = offered,
        bound = overloaded.limit_kind.name(),
        running = overloaded.running,
        limit = overloaded.limit,
        lag_ms = overloaded.lag.as_millis()
    );
}

fn log_failure(outgoing: &OutgoingRequest, address: SocketAddr, refusal: Refusal) {
    warn!(
        Component::Gateway,
        "A request that was handed off has no answer.",
        id = outgoing.request_id.as_deref().unwrap_or("-"),
        team = outgoing.team.as_deref().unwrap_or("-"),
        to = address,
        outcome = refusal.name()
    );
}
