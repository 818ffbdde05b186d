//! Accepts requests that other gateways of the data centre hand off.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::ops::RangeInclusive;
use std::sync::Arc;
use std::time::Duration;

use hinge_link::{
    Buffers, ClusterKey, Drain, DrainGuard, Inbound, OpenConnection, close_listener, listen,
};
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::timeout;

use crate::capacity;
use crate::connection::serve_connection;
use crate::gateway::Shared;
use crate::serve::Origin;

/// Time within which a new connection must present the cluster key.
const KEY_TIMEOUT: Duration = Duration::from_secs(1);

/// Idle timeout of a connection, longer than the time for which other gateways reuse one.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Binds the first free port of a range.
///
/// # Errors
///
/// Returns the system's error for the last port.
pub(crate) fn bind(address: IpAddr, ports: RangeInclusive<u16>) -> io::Result<TcpListener> {
    let mut last = io::Error::from(io::ErrorKind::InvalidInput);
    for port in ports {
        match listen(SocketAddr::new(address, port), Buffers::CALLERS) {
            Ok(listener) => return Ok(listener),
            Err(cause) => last = cause,
        }
    }
    Err(last)
}

/// Accepts connections until the gateway stops, then waits for the answers in progress.
pub(crate) async fn run(
    listener: TcpListener,
    key: ClusterKey,
    shared: Arc<Shared>,
    mut stopped: watch::Receiver<bool>,
) {
    let drain = Drain::default();
    let callers = shared.connections.inbound();
    let inbound: Arc<Inbound> = callers.beside(capacity::handoff_limits(callers.limits()));
    let serve = |stream, open| {
        tokio::spawn(serve_gateway(
            stream,
            key.clone(),
            Arc::clone(&shared),
            drain.guard(),
            open,
        ));
    };
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _stopped = stopped.wait_for(|stop| *stop) => break,
        };
        let Ok((stream, _remote)) = accepted else {
            inbound.accept_failed().await;
            continue;
        };
        // Without a place it is closed, and the other gateway tries the next one.
        if let Some(open) = inbound.try_open() {
            serve(stream, open);
        }
    }
    close_listener(listener, |stream, _remote| serve(stream, inbound.open()));
    drain.finish().await;
}

async fn serve_gateway(
    mut stream: TcpStream,
    key: ClusterKey,
    shared: Arc<Shared>,
    guard: DrainGuard,
    open: OpenConnection,
) {
    // Without TCP_NODELAY chunks are only delayed a little, so a failure to set it is no reason to refuse the gateway.
    let _is_set = stream.set_nodelay(true);
    let proof = timeout(KEY_TIMEOUT, has_valid_key(&mut stream, &key));
    let is_proven = tokio::select! {
        proof = proof => matches!(proof, Ok(Ok(true))),
        () = open.gave_way() => false,
    };
    if !is_proven {
        return;
    }
    serve_connection(stream, &shared, Origin::Gateway, IDLE_TIMEOUT, guard, open).await;
}

/// Reads the first line of a connection, and returns whether it matches the cluster key.
async fn has_valid_key(stream: &mut TcpStream, key: &ClusterKey) -> io::Result<bool> {
    let mut line = vec![0; key.header_value().len() + 1];
    stream.read_exact(&mut line).await?;
    let proof = line.strip_suffix(b"\n");
    Ok(proof.is_some_and(|proof| key.matches_header_value(proof)))
}
