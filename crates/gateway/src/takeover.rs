//! Takes requests that other gateways of the data centre hand off.

use std::convert::Infallible;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::ops::RangeInclusive;
use std::sync::Arc;
use std::time::Duration;

use hinge_link::ClusterKey;
use http::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::{GracefulShutdown, Watcher};
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use crate::gateway::{ACCEPT_RETRY, MAX_HEADER_BYTES, Shared};
use crate::serve::{Origin, serve};

/// Longest wait for the proof of the key on a new connection.
const PROOF_TIMEOUT: Duration = Duration::from_secs(1);

/// Time after which an idle connection is closed: longer than other gateways use one again.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Age from which on what this gateway holds is too old to serve others by: control is asked several times in it.
pub(crate) const HELD_AGE: Duration = Duration::from_millis(1_500);

/// Binds the first free port of a range.
///
/// # Errors
///
/// Returns the system's error for the last port.
pub(crate) async fn bind(address: IpAddr, ports: RangeInclusive<u16>) -> io::Result<TcpListener> {
    let mut last = io::Error::from(io::ErrorKind::InvalidInput);
    for port in ports {
        match TcpListener::bind(SocketAddr::new(address, port)).await {
            Ok(listener) => return Ok(listener),
            Err(cause) => last = cause,
        }
    }
    Err(last)
}

/// Takes requests until the gateway stops; then ends with the answers that are under way.
pub(crate) async fn run(
    listener: TcpListener,
    key: ClusterKey,
    shared: Arc<Shared>,
    mut stopped: watch::Receiver<bool>,
) {
    let graceful = GracefulShutdown::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _stopped = stopped.wait_for(|stop| *stop) => break,
        };
        let Ok((stream, _remote)) = accepted else {
            sleep(ACCEPT_RETRY).await;
            continue;
        };
        let serving = serve_gateway(stream, key.clone(), Arc::clone(&shared), graceful.watcher());
        tokio::spawn(serving);
    }
    drop(listener);
    graceful.shutdown().await;
}

async fn serve_gateway(
    mut stream: TcpStream,
    key: ClusterKey,
    shared: Arc<Shared>,
    watcher: Watcher,
) {
    // Without it pieces are only held back a little, so a failure to set it is no reason to refuse the gateway.
    let _is_set = stream.set_nodelay(true);
    let proof = timeout(PROOF_TIMEOUT, is_proved(&mut stream, &key));
    if !matches!(proof.await, Ok(Ok(true))) {
        return;
    }
    let service = service_fn(move |request: Request<Incoming>| {
        let shared = Arc::clone(&shared);
        async move { Ok::<_, Infallible>(serve(shared, request, Origin::Gateway).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(IDLE_TIMEOUT)
        .max_buf_size(MAX_HEADER_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    // A gateway that leaves is noted where its request is served.
    let _ended_or_broken = watcher.watch(connection).await;
}

/// Reads the first line of a connection, and returns whether it proves the key.
async fn is_proved(stream: &mut TcpStream, key: &ClusterKey) -> io::Result<bool> {
    let mut line = vec![0; key.header_value().len() + 1];
    stream.read_exact(&mut line).await?;
    let proof = line.strip_suffix(b"\n");
    Ok(proof.is_some_and(|proof| key.matches_header_value(proof)))
}
