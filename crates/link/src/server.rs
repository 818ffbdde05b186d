//! The server for connections from peers and from callers.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::{FutureExt, TryFutureExt};
use http::header::{CONNECTION, CONTENT_LENGTH};
use http::{HeaderValue, StatusCode, Version};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::service::{Service, service_fn};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto::Builder;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};
use tokio::task::JoinHandle;
use viz::{Body, IntoResponse, Request, Responder, Response, Router, Tree};

use crate::auth::ClusterKey;
use crate::byte_budget::HeldBudget;
use crate::client::MAX_MESSAGE_BYTES;
use crate::codec::{decode, encode};
use crate::counted::CountedStream;
use crate::drain::{Drain, DrainGuard, close_listener};
use crate::frames::{FrameReader, FrameSender, counted_frame_body};
use crate::traffic::{Direction, MessageClass, MessageCounter, SocketCounter};

/// Longest time for a call's message to arrive; the longest calls wait less for their answer.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(10);

/// Length up to which a call need not wait for others with long messages.
const SHORT_MESSAGE_BYTES: usize = 64 << 10;

/// The resource limits of one listener.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Maximum number of open connections; further ones wait to be accepted.
    pub connections: usize,
    /// Timeout for the headers of an HTTP/1 request.
    pub header_timeout: Duration,
    /// Maximum size of the headers, in bytes.
    pub header_bytes: usize,
    /// Maximum number of concurrent HTTP/2 streams on one connection.
    pub exchanges: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connections: 4_096,
            header_timeout: Duration::from_secs(10),
            header_bytes: 32 * 1024,
            exchanges: 4_096,
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
        let listener = TcpListener::bind(address).await?;
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
    let permits = Arc::new(Semaphore::new(limits.connections));
    let drain = Drain::default();
    loop {
        let accepted = tokio::select! {
            accepted = accept_one(&listener, &permits) => accepted,
            () = stop_requested(&mut stopped) => break,
        };
        // A failed accept concerns one connection or a temporary lack of file descriptors; the listener is still usable.
        let Ok((stream, remote, permit)) = accepted else {
            tokio::task::yield_now().await;
            continue;
        };
        let serving = serve_connection(stream, remote, Arc::clone(&tree), limits, drain.guard());
        tokio::spawn(async move {
            serving.await;
            drop(permit);
        });
    }
    // These are accepted beyond the limit of open connections, whose permits would come too late.
    close_listener(listener, |stream, remote| {
        let serving = serve_connection(stream, remote, Arc::clone(&tree), limits, drain.guard());
        tokio::spawn(serving);
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
) -> impl Future<Output = ()> + Send {
    // Without TCP_NODELAY messages are only delayed a little, so a failure to set it is no reason to refuse the peer.
    let _is_set = stream.set_nodelay(true);
    let responder = Responder::new(tree, Some(Arc::new(remote)));
    let counter = Arc::new(SocketCounter::default());
    let for_requests = Arc::clone(&counter);
    let stopping = guard.stopping();
    let service = service_fn(move |mut request: hyper::Request<Incoming>| {
        request.extensions_mut().insert(Arc::clone(&for_requests));
        // HTTP/2 has a frame for it instead of this header.
        let may_close = request.version() <= Version::HTTP_11;
        let stopping = stopping.clone();
        responder.call(request).map_ok(move |mut response| {
            if may_close && *stopping.borrow() {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, close);
            }
            response
        })
    });
    let builder = builder(limits);
    let stream = CountedStream::new(guard.wrap(stream), counter);
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    let served = guard.serve(connection.into_owned());
    served.map(|_ended_or_broken| ())
}

/// Waits until a stop is requested; never returns if the handle is dropped without a request.
async fn stop_requested(stopped: &mut watch::Receiver<bool>) {
    if stopped.wait_for(|stop| *stop).await.is_err() {
        std::future::pending::<()>().await;
    }
}

async fn accept_one(
    listener: &TcpListener,
    permits: &Arc<Semaphore>,
) -> io::Result<(TcpStream, SocketAddr, tokio::sync::OwnedSemaphorePermit)> {
    let permit = Arc::clone(permits)
        .acquire_owned()
        .await
        .map_err(io::Error::other)?;
    let (stream, remote) = listener.accept().await?;
    Ok((stream, remote, permit))
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
    builder
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
