//! The server for connections from peers and from callers.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::TryFutureExt;
use http::header::{CONNECTION, CONTENT_LENGTH};
use http::{HeaderValue, StatusCode, Version};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::service::{Service, service_fn};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto::Builder;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::{TcpListener, TcpStream, lookup_host};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use viz::{Body, IntoResponse, Request, Responder, Response, Router, Tree};

use crate::auth::ClusterKey;
use crate::body::FREE_BODY_BYTES;
use crate::buffers::{Buffers, listen, max_descriptors};
use crate::byte_budget::HeldBudget;
use crate::client::MAX_MESSAGE_BYTES;
use crate::codec::{decode, encode};
use crate::counted::CountedStream;
use crate::drain::{Drain, DrainGuard, close_listener};
use crate::frames::{FrameReader, FrameSender, counted_frame_body};
use crate::inbound::{Inbound, InboundLimits, OpenConnection};
use crate::traffic::{Direction, MessageClass, MessageCounter, SocketCounter};

/// Longest time for a call's message to arrive; the longest calls wait less for their answer.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(10);

/// Length up to which a call need not wait for others with long messages.
const SHORT_MESSAGE_BYTES: usize = 64 << 10;

/// Size of the bodies of calls without a key that one listener holds, in bytes: of short ones, and of long ones besides one.
const SHORT_BODIES_BYTES: usize = 4 << 20;
const LONG_BODIES_BYTES: usize = 4 << 20;

/// Maximum number of such bodies that wait for memory of the long ones.
const WAITING_BODIES: u32 = 16;

/// Maximum number of calls without a key whose bodies are being read.
const READING_CALLS: u32 = 512;

/// Part of the connections whose peers may leave their answers unread: `1 / UNREAD_DIVISOR`.
const UNREAD_DIVISOR: u32 = 32;

/// Part of the process's descriptors that the connections of one listener may take, in thousandths.
const DESCRIPTOR_PERMILLE: u32 = 750;

/// The resource limits of one listener.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Maximum number of open connections, of which the one that is silent for longest is closed for a further one.
    pub connections: u32,
    /// Timeout for the headers of an HTTP/1 request.
    pub header_timeout: Duration,
    /// Maximum size of the headers, in bytes.
    pub header_bytes: usize,
    /// Maximum number of headers of an HTTP/1 request; `None` for that of the HTTP library, which allocates nothing for them.
    pub headers: Option<usize>,
    /// Maximum number of concurrent HTTP/2 streams on one connection; 0 turns HTTP/2 off.
    pub exchanges: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connections: 2_200,
            header_timeout: Duration::from_secs(10),
            header_bytes: 16 * 1024,
            headers: None,
            exchanges: 4_096,
        }
    }
}

impl Limits {
    /// Returns the most memory that connections and calls without a key take, in user space and in the system, in bytes.
    ///
    /// Calls and exchanges with a key come from other processes of the fleet, which bound what they send.
    #[must_use]
    pub fn max_bytes(self) -> u64 {
        let inbound = self.inbound();
        let received = Buffers::PEERS.max_received_bytes();
        u64::from(inbound.connections) * Self::bytes_without_calls(self.header_bytes)
            + u64::from(inbound.requests) * (self.header_bytes + FREE_BODY_BYTES) as u64
            + u64::from(inbound.waiting_bodies) * received
            + (inbound.short_body_bytes + 2 * inbound.long_body_bytes) as u64
    }

    /// Returns the most memory that one connection takes on average at a listener without such calls, in bytes.
    #[must_use]
    pub fn bytes_without_calls(header_bytes: usize) -> u64 {
        let sent = u64::from(Buffers::PEERS.sent_bytes) * 3 / 2;
        header_bytes as u64 + sent / u64::from(UNREAD_DIVISOR)
    }

    /// Returns the limits of what connections make this process hold.
    fn inbound(self) -> InboundLimits {
        let descriptors = u64::from(max_descriptors()) * u64::from(DESCRIPTOR_PERMILLE) / 1_000;
        let descriptors = u32::try_from(descriptors).unwrap_or(u32::MAX);
        let connections = self.connections.min(descriptors).max(1);
        InboundLimits {
            connections,
            requests: READING_CALLS,
            unread: (connections / UNREAD_DIVISOR).max(1),
            short_body_bytes: SHORT_BODIES_BYTES,
            long_body_bytes: LONG_BODIES_BYTES,
            waiting_bodies: WAITING_BODIES,
        }
    }
}

/// The server of one listener; see [`Server::bind`].
#[derive(Debug)]
pub struct Server;

impl Server {
    /// Binds a listener and serves it until the handle stops it.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error when the address can't be bound.
    pub async fn bind(address: &str, router: Router, limits: Limits) -> io::Result<ServerHandle> {
        let mut addresses = lookup_host(address).await?;
        let address = addresses.next().ok_or(io::ErrorKind::AddrNotAvailable)?;
        let listener = listen(address, Buffers::PEERS)?;
        let local_address = listener.local_addr()?;
        let (stop, stopped) = watch::channel(false);
        let task = tokio::spawn(accept_until_stopped(
            listener,
            router.into(),
            limits,
            stopped,
        ));
        Ok(ServerHandle {
            local_address,
            stop,
            task,
        })
    }
}

/// A handle to a running server; if it is dropped, the server runs until the process ends.
#[derive(Debug)]
pub struct ServerHandle {
    local_address: SocketAddr,
    stop: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl ServerHandle {
    /// Returns the bound address, which includes the assigned port if port 0 was requested.
    #[must_use]
    pub fn local_address(&self) -> SocketAddr {
        self.local_address
    }

    /// Stops accepting, lets open requests finish, and returns whether all finished within the deadline.
    pub async fn stop(self, deadline: Duration) -> bool {
        self.stop.send_replace(true);
        let abort = self.task.abort_handle();
        let ended = tokio::time::timeout(deadline, self.task).await.is_ok();
        abort.abort();
        ended
    }
}

async fn accept_until_stopped(
    listener: TcpListener,
    tree: Tree,
    limits: Limits,
    mut stopped: watch::Receiver<bool>,
) {
    let tree = Arc::new(tree);
    let inbound = Inbound::new(limits.inbound());
    let drain = Drain::default();
    let serve = |stream, remote, open| {
        let serving = serve_connection(
            stream,
            remote,
            Arc::clone(&tree),
            limits,
            drain.guard(),
            open,
        );
        tokio::spawn(serving);
    };
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop_requested(&mut stopped) => break,
        };
        let Ok((stream, remote)) = accepted else {
            inbound.accept_failed().await;
            continue;
        };
        let open = tokio::select! {
            open = inbound.open_when_free() => open,
            () = stop_requested(&mut stopped) => inbound.open(),
        };
        serve(stream, remote, open);
    }
    // These are accepted beyond the limit of open connections, for which no other one gives way.
    close_listener(listener, |stream, remote| {
        serve(stream, remote, inbound.open());
    });
    drain.finish().await;
}

/// Returns the future that serves a connection until it ends.
fn serve_connection(
    stream: TcpStream,
    remote: SocketAddr,
    tree: Arc<Tree>,
    limits: Limits,
    guard: DrainGuard,
    open: OpenConnection,
) -> impl Future<Output = ()> + Send {
    // Without TCP_NODELAY messages are only delayed a little, so a failure to set it is no reason to refuse the peer.
    let _is_set = stream.set_nodelay(true);
    let responder = Responder::new(tree, Some(Arc::new(remote)));
    let counter = Arc::new(SocketCounter::default());
    let for_requests = Arc::clone(&counter);
    let stopping = guard.stopping();
    let peer = open.peer().clone();
    let service = service_fn(move |mut request: hyper::Request<Incoming>| {
        request.extensions_mut().insert(Arc::clone(&for_requests));
        request.extensions_mut().insert(peer.clone());
        // HTTP/2 has a frame for it instead of this header.
        let may_close = request.version() <= Version::HTTP_11;
        let stopping = stopping.clone();
        let in_progress = peer.begin_request();
        responder.call(request).map_ok(move |response| {
            let mut response = response.map(|body| Body::wrap(in_progress.track(body)));
            if may_close && *stopping.borrow() {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, close);
            }
            response
        })
    });
    let builder = builder(limits);
    let stream = CountedStream::new(guard.wrap(stream, open.peer().clone()), counter);
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    open.serve(guard, connection.into_owned())
}

/// Waits until a stop is requested; never returns if the handle is dropped without a request.
async fn stop_requested(stopped: &mut watch::Receiver<bool>) {
    if stopped.wait_for(|stop| *stop).await.is_err() {
        std::future::pending::<()>().await;
    }
}

fn builder(limits: Limits) -> Builder<TokioExecutor> {
    let mut builder = Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.header_timeout)
        .max_buf_size(limits.header_bytes.max(8 * 1024))
        .http2()
        .timer(TokioTimer::new())
        .max_header_list_size(u32::try_from(limits.header_bytes).unwrap_or(u32::MAX))
        .max_concurrent_streams(limits.exchanges);
    if let Some(headers) = limits.headers {
        builder.http1().max_headers(headers);
    }
    if limits.exchanges == 0 {
        builder.http1_only()
    } else {
        builder
    }
}

/// Serves one call from a peer: checks the key, decodes the message and sends the answer.
///
/// `answer` may return a status instead of a message, such as 503 from an instance that can't answer now.
///
/// # Errors
///
/// Never returns an error: viz requires a `Result` from handlers, but every failure is a response.
pub async fn serve_call<Q, A, F, R>(
    key: &ClusterKey,
    request: Request,
    answer: F,
) -> viz::Result<Response>
where
    Q: DeserializeOwned,
    A: Serialize,
    F: FnOnce(Q) -> R + Send,
    R: Future<Output = Result<A, StatusCode>> + Send,
{
    if !key.authenticates(request.headers()) {
        return Ok(StatusCode::UNAUTHORIZED.into_response());
    }
    let class = MessageClass::of_path(request.uri().path());
    count_as_peer(key, &request);
    let _held = hold_long_message(key, class, &request).await;
    let whole = Limited::new(request.into_body(), MAX_MESSAGE_BYTES).collect();
    let Ok(whole) = tokio::time::timeout(MESSAGE_TIMEOUT, whole).await else {
        return Ok(StatusCode::REQUEST_TIMEOUT.into_response());
    };
    let Ok(whole) = whole else {
        return Ok(StatusCode::PAYLOAD_TOO_LARGE.into_response());
    };
    let whole = whole.to_bytes();
    key.traffic()
        .record_message(class, Direction::Received, whole.len());
    let Ok(message) = decode(&whole) else {
        return Ok(StatusCode::BAD_REQUEST.into_response());
    };
    drop(whole);
    let answered = match answer(message).await {
        Ok(answered) => answered,
        Err(status) => return Ok(status.into_response()),
    };
    match encode(&answered) {
        Ok(bytes) => {
            let traffic = key.traffic();
            traffic.record_message(class, Direction::Sent, bytes.len());
            Ok(traffic.hold_unsent(bytes).into_response())
        }
        Err(_no_form) => Ok(StatusCode::INTERNAL_SERVER_ERROR.into_response()),
    }
}

/// Waits until a call with a long message may be read, and holds its bytes until the answer is made.
///
/// Messages of the log are bounded by their sender and by the queue that takes them, and calls in progress may wait for them.
async fn hold_long_message(
    key: &ClusterKey,
    class: MessageClass,
    request: &Request,
) -> Option<HeldBudget> {
    let declared = request.headers().get(CONTENT_LENGTH);
    let declared = declared.and_then(|bytes| bytes.to_str().ok()?.parse().ok());
    let bytes: usize = declared.unwrap_or(MAX_MESSAGE_BYTES);
    if class == MessageClass::Raft || bytes <= SHORT_MESSAGE_BYTES {
        return None;
    }
    Some(key.received().acquire(bytes).await)
}

/// Serves one exchange from a peer: checks the key, then spawns the given task with both directions.
///
/// The task is not cancelled when the exchange breaks; it learns of this from the reader or [`FrameSender::closed`].
///
/// # Errors
///
/// Never returns an error: viz requires a `Result` from handlers, but every failure is a response.
pub fn serve_exchange<F, R>(key: &ClusterKey, request: Request, run: F) -> viz::Result<Response>
where
    F: FnOnce(FrameReader<Body>, FrameSender) -> R + Send,
    R: Future<Output = ()> + Send + 'static,
{
    if !key.authenticates(request.headers()) {
        return Ok(StatusCode::UNAUTHORIZED.into_response());
    }
    count_as_peer(key, &request);
    let path = request.uri().path();
    let (sender, body) =
        counted_frame_body(MessageCounter::new(key.traffic(), Direction::Sent, path));
    let counter = MessageCounter::new(key.traffic(), Direction::Received, path);
    tokio::spawn(run(
        FrameReader::counted(request.into_body(), counter),
        sender,
    ));
    Ok(Response::new(Body::wrap(body)))
}

/// Counts the connection of an authenticated request as a peer's; connections of callers are not the fleet's own traffic.
fn count_as_peer(key: &ClusterKey, request: &Request) {
    if let Some(counter) = request.extensions().get::<Arc<SocketCounter>>() {
        counter.attach(key.traffic());
    }
}
