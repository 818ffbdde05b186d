//! Connection pools for endpoints and for other gateways.

use std::io;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

/// Connect timeout. Endpoints are milliseconds away; a lost SYN would cost a second until it is sent again.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Time after which unacknowledged data closes the connection (`TCP_USER_TIMEOUT`).
const USER_TIMEOUT: Duration = Duration::from_secs(2);

/// Time for which an idle connection is reused when the endpoint states no keep-alive time.
const DEFAULT_REUSE_TIME: Duration = Duration::from_secs(4);

/// Part of an endpoint's keep-alive time for which a connection is reused, in thousandths. The margin avoids sending a request
/// while the endpoint closes the connection: such a request may have run.
const KEEP_ALIVE_PERMILLE: u32 = 700;

/// Idle connections kept to each endpoint; it never needs more at once than it has slots.
pub(crate) const MAX_IDLE: usize = 64;

/// The sending half of an HTTP/1 connection.
pub(crate) type Sender = SendRequest<Full<Bytes>>;

#[derive(Debug)]
struct Idle {
    sender: Sender,
    use_until: Instant,
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
        let now = Instant::now();
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
                use_until: Instant::now() + keep_for,
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
    handshake(stream).await
}

/// Opens a TCP connection that closes when its data is not acknowledged in time.
///
/// # Errors
///
/// Returns the system's error.
pub(crate) async fn dial(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    SockRef::from(&stream).set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    Ok(stream)
}

/// Makes a TCP connection ready for HTTP/1 requests.
///
/// # Errors
///
/// Returns an error when the connection has closed.
pub(crate) async fn handshake(stream: TcpStream) -> io::Result<Sender> {
    let (sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(io::Error::other)?;
    tokio::spawn(async move {
        // A connection error is reported to the request that uses the connection.
        let _ended_or_broken = connection.await;
    });
    Ok(sender)
}
