//! Serves the requests on one connection of a caller or of another gateway.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use hinge_link::{DrainGuard, OpenConnection};
use hinge_telemetry::info;
use hinge_telemetry::log::Component;
use http::header::CONNECTION;
use http::{HeaderValue, Request, Response};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpStream;

use crate::body::AnswerBody;
use crate::gateway::Shared;
use crate::refusal::Refusal;
use crate::serve::{Origin, serve};

/// Maximum size of a request's headers, in bytes; route tables ask for 16 KiB. A connection's read buffer grows up to this size
/// and never shrinks, so it bounds the memory of an idle connection as well.
pub(crate) const MAX_HEADER_BYTES: usize = 20 * 1024;

/// Returns the future that serves a connection until it ends, gives way, or is idle for a time.
pub(crate) fn serve_connection(
    stream: TcpStream,
    shared: &Arc<Shared>,
    origin: Origin,
    idle_timeout: Duration,
    guard: DrainGuard,
    open: OpenConnection,
) -> impl Future<Output = ()> + Send + use<> {
    let (for_requests, stopping) = (Arc::clone(shared), guard.stopping());
    let peer = open.peer().clone();
    let service = service_fn(move |request: Request<Incoming>| {
        let (shared, stopping) = (Arc::clone(&for_requests), stopping.clone());
        let (peer, in_progress) = (peer.clone(), peer.begin_request());
        async move {
            let served = serve(Arc::clone(&shared), request, origin, peer);
            let mut response = tokio::select! {
                biased;
                response = served => response,
                () = shared.planned_stop.requests_end() => refuse_at_stop(&shared),
            };
            let asks_to_close = *stopping.borrow()
                || origin == Origin::Caller && shared.connections.are_nearly_full();
            if asks_to_close {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, close);
            }
            Ok::<_, Infallible>(response.map(|body| in_progress.track(body)))
        }
    });
    let stream = guard.wrap(stream, open.peer().clone());
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle_timeout)
        .max_buf_size(MAX_HEADER_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    open.serve(guard, connection)
}

/// Tells a caller that its request has no answer by the end of a planned stop.
fn refuse_at_stop(shared: &Shared) -> Response<AnswerBody> {
    let refusal = Refusal::Stopped;
    shared.metrics.record_refused(refusal.name());
    info!(
        Component::Gateway,
        "Request.",
        outcome = refusal.name(),
        status = refusal.status().as_u16()
    );
    refusal.response()
}
