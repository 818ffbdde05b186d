//! Connection pools for endpoints and for other gateways.

use std::io;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use hinge_clock::BootInstant;
use hinge_link::Buffers;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::TrySendError;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::timeout;

use crate::guarded_stream::{GuardedStream, UnsentPart, UnusedBytes};

#[cfg(test)]
mod tests;

/// Connect timeout. Endpoints are milliseconds away; a lost SYN would cost a second until it is sent again.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Time after which unacknowledged data closes the connection (`TCP_USER_TIMEOUT`).
const USER_TIMEOUT: Duration = Duration::from_secs(2);

/// Time for which an idle connection is reused when the endpoint states no keep-alive time.
const DEFAULT_REUSE_TIME: Duration = Duration::from_secs(4);

/// Part of an endpoint's keep-alive time for which a connection is reused, in thousandths. The margin avoids sending a request
/// while the endpoint closes the connection: such a request may have run.
const KEEP_ALIVE_PERMILLE: u32 = 700;

/// Bytes of an answer that are read ahead, and with that the longest head; bounds the memory of a connection whose endpoint
/// sends bytes without end.
const MAX_READ_BYTES: usize = 64 * 1024;

/// The system's buffers of a connection to an endpoint or to another gateway, which fill up while a caller does not read.
pub(crate) const ENDPOINT_BUFFERS: Buffers = Buffers {
    received_bytes: 8 << 10,
    sent_bytes: 64 << 10,
};

/// Idle connections kept to each endpoint; it never needs more at once than it has slots.
pub(crate) const MAX_IDLE: usize = 64;

/// The sending half of an HTTP/1 connection.
#[derive(Debug)]
pub(crate) struct Sender {
    requests: SendRequest<Full<Bytes>>,
    unused: UnusedBytes,
    unsent: UnsentPart,
}

impl Sender {
    /// Waits until the connection takes a request.
    pub(crate) async fn ready(&mut self) -> hyper::Result<()> {
        self.requests.ready().await
    }

    /// Sends a request, and returns its answer once the head has arrived.
    pub(crate) async fn try_send_request(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, TrySendError<Request<Full<Bytes>>>> {
        self.unused.reset();
        let response = self.requests.try_send_request(request).await;
        self.unused.reset();
        response
    }

    /// Records that a part of an answer's body has arrived.
    pub(crate) fn record_body(&self, bytes: usize) {
        self.unused.record_used(bytes);
    }

    /// Returns whether a part of the last request is not sent.
    pub(crate) fn has_unsent_part(&self) -> bool {
        self.unsent.is_some()
    }

    fn is_ready(&self) -> bool {
        self.requests.is_ready()
    }

    fn is_closed(&self) -> bool {
        self.requests.is_closed()
    }
}

#[derive(Debug)]
struct Idle {
    sender: Sender,
    use_until: BootInstant,
}

/// The idle connections to one endpoint, of which the most recently used is taken first.
#[derive(Debug)]
pub(crate) struct Pool {
    idle: Mutex<Vec<Idle>>,
    max_idle: usize,
}

impl Pool {
    /// Creates an empty pool that keeps at most `max_idle` connections.
    pub(crate) fn new(max_idle: usize) -> Self {
        Self {
            idle: Mutex::default(),
            max_idle,
        }
    }

    /// Takes an idle connection that is still usable, as far as is known.
    pub(crate) fn take(&self) -> Option<Sender> {
        let now = BootInstant::now();
        let mut idle = self.lock();
        idle.retain(|idle| now < idle.use_until && !idle.sender.is_closed());
        let ready = idle.iter().rposition(|idle| idle.sender.is_ready())?;
        Some(idle.swap_remove(ready).sender)
    }

    /// Returns a connection whose answer has ended to the pool.
    pub(crate) fn keep(&self, sender: Sender, keep_alive: Option<Duration>) {
        let keep_for =
            keep_alive.map_or(DEFAULT_REUSE_TIME, |time| time * KEEP_ALIVE_PERMILLE / 1000);
        let mut idle = self.lock();
        if idle.len() < self.max_idle && !sender.is_closed() {
            idle.push(Idle {
                sender,
                use_until: BootInstant::now() + keep_for,
            });
        }
    }

    /// Closes all idle connections.
    pub(crate) fn clear(&self) {
        self.lock().clear();
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Idle>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Opens a connection for requests.
///
/// # Errors
///
/// Returns the system's error; nothing was sent.
pub(crate) async fn connect(address: SocketAddr) -> io::Result<Sender> {
    let connected = timeout(CONNECT_TIMEOUT, dial(address)).await;
    let stream = connected.map_err(|_elapsed| io::Error::from(io::ErrorKind::TimedOut))??;
    handshake(stream, UnusedBytes::limited()).await
}

/// Opens a TCP connection that closes when its data is not acknowledged in time.
///
/// # Errors
///
/// Returns the system's error.
pub(crate) async fn dial(address: SocketAddr) -> io::Result<TcpStream> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_recv_buffer_size(ENDPOINT_BUFFERS.received_bytes)?;
    socket.set_send_buffer_size(ENDPOINT_BUFFERS.sent_bytes)?;
    let stream = socket.connect(address).await?;
    stream.set_nodelay(true)?;
    SockRef::from(&stream).set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    Ok(stream)
}

/// Makes a connection ready for HTTP/1 requests.
///
/// # Errors
///
/// Returns an error when the connection has closed.
pub(crate) async fn handshake<S>(stream: S, unused: UnusedBytes) -> io::Result<Sender>
where
    S: AsyncRead + AsyncWrite + Send + Unpin + 'static,
{
    let unsent = UnsentPart::default();
    let stream = GuardedStream::new(stream, unused.clone(), unsent.clone());
    let (requests, connection) = http1::Builder::new()
        .max_buf_size(MAX_READ_BYTES)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(io::Error::other)?;
    tokio::spawn(async move {
        // A connection error is reported to the request that uses the connection.
        let _ended_or_broken = connection.await;
    });
    Ok(Sender {
        requests,
        unused,
        unsent,
    })
}
