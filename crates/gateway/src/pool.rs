//! Keeps connections to one endpoint, or to another gateway.

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

/// Longest wait for a connection; endpoints are milliseconds away, and a first packet that is lost costs a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Time after which data that the endpoint does not acknowledge breaks the connection.
const USER_TIMEOUT: Duration = Duration::from_secs(2);

/// For how long an idle connection is used again when the endpoint does not say how long it keeps it.
const KEEP_IDLE: Duration = Duration::from_secs(4);

/// Part of the time that an endpoint names for which a connection is used again, in thousandths: a request that meets
/// the close on its way may have run.
const KEEP_PERMILLE: u32 = 700;

/// Idle connections to an endpoint that are kept; more than its slots are never needed at once.
pub(crate) const MAX_IDLE: usize = 64;

/// Sends requests on one connection.
pub(crate) type Sender = SendRequest<Full<Bytes>>;

#[derive(Debug)]
struct Idle {
    sender: Sender,
    use_until: Instant,
}

/// Holds the idle connections to one endpoint; the one used last is used first.
#[derive(Debug)]
pub(crate) struct Pool {
    idle: Mutex<Vec<Idle>>,
    max_idle: usize,
}

impl Pool {
    /// Creates one without connections that keeps so many.
    pub(crate) fn new(max_idle: usize) -> Self {
        Self {
            idle: Mutex::default(),
            max_idle,
        }
    }

    /// Returns an idle connection that is still good, as far as is known.
    pub(crate) fn take(&self) -> Option<Sender> {
        let now = Instant::now();
        let mut idle = self.lock();
        idle.retain(|idle| now < idle.use_until && !idle.sender.is_closed());
        let ready = idle.iter().rposition(|idle| idle.sender.is_ready())?;
        Some(idle.swap_remove(ready).sender)
    }

    /// Keeps a connection whose answer has ended.
    pub(crate) fn keep(&self, sender: Sender, keep_alive: Option<Duration>) {
        let keep_for = keep_alive.map_or(KEEP_IDLE, |time| time * KEEP_PERMILLE / 1000);
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

/// Opens a connection that breaks when its data is not acknowledged.
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

/// Makes an open connection ready for requests.
///
/// # Errors
///
/// Returns an error when the connection has closed.
pub(crate) async fn handshake(stream: TcpStream) -> io::Result<Sender> {
    let (sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(io::Error::other)?;
    tokio::spawn(async move {
        // How it ended shows at the request that used it.
        let _ended_or_broken = connection.await;
    });
    Ok(sender)
}
