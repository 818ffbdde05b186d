//! Checks that callers whose connections the system has established get an answer when the gateway pauses or stops.
//!
//! All tasks share one thread and the clients' calls block, so no task of the gateway runs between two steps of a case that
//! has no `await` between them.

mod held_tables;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};

use hinge_cases::async_cases;
use hinge_clock::BootInstant;
use hinge_link::{ClusterKey, Inbound, InboundLimits};
use hinge_routing::{ChoiceRules, DataCenters, OverloadRules, RetryBudgetRules};
use hinge_telemetry::metrics::Registry;
use http::{HeaderMap, StatusCode};
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::yield_now;
use tokio::time::Duration;

use super::{Shared, accept_callers};
use crate::connections::Connections;
use crate::dialect::{AnswerFacts, Dialect, ForwardFacts, RequestFacts};
use crate::gateway_count::GatewayCount;
use crate::handoff::Handoffs;
use crate::metrics::Metrics;
use crate::planned_stop::PlannedStop;
use crate::routing_state::RoutingState;
use crate::stream_directory::StreamDirectory;
use crate::suspects::Suspects;
use crate::takeover;

/// A request without a route, which the gateway refuses by itself.
const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: a.example\r\n\r\n";

/// Connections that wait together; a loop that ends at random after each accept leaves some of them almost surely.
const MANY: usize = 32;

#[derive(Debug)]
struct NoHeaders;

impl Dialect for NoHeaders {
    fn read_request(&self, _headers: &HeaderMap) -> RequestFacts {
        RequestFacts::default()
    }

    fn write_request(&self, _headers: &mut HeaderMap, _forward: &ForwardFacts<'_>) {}

    fn write_remaining(&self, _headers: &mut HeaderMap, _remaining: Duration) {}

    fn read_answer(
        &self,
        _request_id: Option<&str>,
        _status: StatusCode,
        _headers: &HeaderMap,
    ) -> AnswerFacts {
        unreachable!("no endpoint is known")
    }
}

/// Returns limits that only connections can reach.
fn limits(connections: u32) -> InboundLimits {
    InboundLimits {
        connections,
        requests: u32::MAX,
        unread: u32::MAX,
        short_body_bytes: 0,
        long_body_bytes: 0,
        waiting_bodies: 0,
    }
}

/// Returns the state of a gateway without control, with a limit of open connections.
pub(crate) fn shared(max_connections: u32) -> Arc<Shared> {
    let registry = Registry::new();
    let retry_budget_rules = RetryBudgetRules {
        retry_permille: 200,
        burst_retries: 160,
        window: Duration::from_secs(10),
    };
    Arc::new(Shared {
        dialect: Arc::new(NoHeaders),
        routing: Arc::new(RoutingState::new(None, Suspects::register(&registry))),
        metrics: Metrics::register(&registry),
        data_center: "here".into(),
        data_centers: DataCenters::default(),
        choice: ChoiceRules::default(),
        max_spill_tokens: 3_000,
        keeps_returns: true,
        connections: Connections::new(Inbound::new(limits(max_connections))),
        is_paused: watch::Sender::new(false),
        planned_stop: PlannedStop::default(),
        overload: Mutex::new(super::OverloadControl::new(OverloadRules::default())),
        retry_budget_rules,
        retry_budgets: Mutex::default(),
        team_usage: Mutex::default(),
        cached_prefixes: Mutex::default(),
        handoffs: Handoffs::new(key()),
        gateway_count: GatewayCount::default(),
        streams: Arc::new(StreamDirectory::register(&registry)),
        began: BootInstant::now(),
    })
}

fn key() -> ClusterKey {
    ClusterKey::derive(b"one")
}

/// A running accept loop.
struct Accepting {
    address: SocketAddr,
    shared: Arc<Shared>,
    stop: watch::Sender<bool>,
}

/// Starts to accept callers, at most so many at once.
async fn accept_up_to(max_connections: u32) -> Accepting {
    let (shared, (stop, stopped)) = (shared(max_connections), watch::channel(false));
    let (listener, address) = bind().await;
    tokio::spawn(accept_callers(listener, Arc::clone(&shared), stopped));
    yield_now().await;
    Accepting {
        address,
        shared,
        stop,
    }
}

/// Starts to accept other gateways.
async fn accept_gateways() -> Accepting {
    let (shared, (stop, stopped)) = (shared(1_200), watch::channel(false));
    let (listener, address) = bind().await;
    let running = takeover::run(listener, key(), Arc::clone(&shared), stopped);
    tokio::spawn(running);
    yield_now().await;
    Accepting {
        address,
        shared,
        stop,
    }
}

async fn bind() -> (TcpListener, SocketAddr) {
    let bound = TcpListener::bind("127.0.0.1:0").await;
    let listener = bound.expect("a port is free");
    let address = listener.local_addr().expect("it is bound");
    (listener, address)
}

/// Connects without letting other tasks run.
fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("the address is bound");
    // Otherwise the system holds back a second write until the first is acknowledged, and the paused clock jumps meanwhile.
    stream.set_nodelay(true).expect("the socket is open");
    stream
}

/// Writes without letting other tasks run.
fn send(mut stream: &TcpStream, bytes: &[u8]) {
    stream
        .write_all(bytes)
        .expect("the connection takes a few bytes");
}

/// Makes connections that all carry the same first bytes, without letting other tasks run.
fn connect_many(address: SocketAddr, first_bytes: &[u8]) -> Vec<TcpStream> {
    let callers: Vec<TcpStream> = (0..MANY).map(|_| connect(address)).collect();
    for caller in &callers {
        send(caller, first_bytes);
    }
    callers
}

/// Returns the line with which another gateway proves that it has the cluster key.
fn proof() -> Vec<u8> {
    [key().header_value().as_bytes(), b"\n"].concat()
}

/// Reads up to the end of an answer's headers, and returns them unless the connection ends before.
async fn read_headers(stream: &TcpStream) -> Option<String> {
    let stream = stream.try_clone().expect("a descriptor is free");
    stream.set_nonblocking(true).expect("the socket is open");
    let mut stream = tokio::net::TcpStream::from_std(stream).expect("the runtime takes it");
    let mut answer = Vec::new();
    while !answer.windows(4).any(|end| end == b"\r\n\r\n") {
        match stream.read_buf(&mut answer).await {
            Ok(0) | Err(_) => return None,
            Ok(_) => {}
        }
    }
    String::from_utf8(answer).ok()
}

/// Reads up to the end of an answer's headers, and returns whether it came whole.
async fn is_answered(stream: &TcpStream) -> bool {
    let headers = read_headers(stream).await;
    headers.is_some_and(|headers| headers.starts_with("HTTP/1.1 "))
}

/// Reads an answer without a body to its end, so that its connection is idle.
async fn exchange(stream: &TcpStream, bytes: &[u8]) {
    send(stream, bytes);
    assert!(is_answered(stream).await, "the gateway serves");
    stream.set_nonblocking(true).expect("the socket is open");
    let mut rest = [0; 4096];
    while matches!((&*stream).read(&mut rest), Ok(count) if count > 0) {}
    stream.set_nonblocking(false).expect("the socket is open");
}

/// Waits until connections made before are accepted and idle; a listener accepts in order.
async fn accept_all(address: SocketAddr, first_bytes: &[u8]) {
    let last = connect(address);
    exchange(&last, &[first_bytes, REQUEST].concat()).await;
}

async fn count_answered(callers: &[TcpStream]) -> usize {
    let mut answered = 0;
    for caller in callers {
        answered += usize::from(is_answered(caller).await);
    }
    answered
}

async_cases! {
    callers_that_wait_at_a_pause_are_answered => {
        // A pause closes the listener, which resets what is in its accept queue.
        let gateway = accept_up_to(1_200).await;
        let callers = connect_many(gateway.address, REQUEST);
        gateway.shared.is_paused.send_replace(true);
        assert_eq!(count_answered(&callers).await, MANY);
    }
    a_caller_on_a_kept_connection_is_answered_during_a_pause => {
        // A pause is for new connections only.
        let gateway = accept_up_to(1_200).await;
        let caller = connect(gateway.address);
        exchange(&caller, REQUEST).await;
        send(&caller, REQUEST);
        gateway.shared.is_paused.send_replace(true);
        assert!(is_answered(&caller).await);
    }
    a_caller_beyond_the_bound_is_answered => {
        // A connection beyond the bound is dropped with its request unread.
        let gateway = accept_up_to(1).await;
        let (_kept, caller) = (connect(gateway.address), connect(gateway.address));
        send(&caller, REQUEST);
        assert!(is_answered(&caller).await);
    }
    callers_that_wait_at_a_stop_are_answered => {
        // The accept task ends before the driver has told it of the connections.
        let gateway = accept_up_to(1_200).await;
        let callers = connect_many(gateway.address, REQUEST);
        gateway.stop.send_replace(true);
        assert_eq!(count_answered(&callers).await, MANY);
    }
    callers_known_to_wait_at_a_stop_are_accepted => {
        // The accept task knows of the connections and of the stop, and chooses between them at random.
        let gateway = accept_up_to(1_200).await;
        let callers = connect_many(gateway.address, REQUEST);
        yield_now().await;
        gateway.stop.send_replace(true);
        let _answered = count_answered(&callers).await;
        assert_eq!(gateway.shared.metrics.connections.get(), MANY as u64);
    }
    callers_known_to_wait_at_a_stop_are_answered => {
        // Those that are accepted are closed unread by the shutdown that follows at once.
        let gateway = accept_up_to(1_200).await;
        let callers = connect_many(gateway.address, REQUEST);
        yield_now().await;
        gateway.stop.send_replace(true);
        assert_eq!(count_answered(&callers).await, MANY);
    }
    a_caller_whose_request_is_unread_at_a_stop_is_answered => {
        // The connection is accepted and nothing was read from it, so a graceful shutdown closes it unread.
        let gateway = accept_up_to(1_200).await;
        let caller = connect(gateway.address);
        accept_all(gateway.address, b"").await;
        send(&caller, REQUEST);
        gateway.stop.send_replace(true);
        assert!(is_answered(&caller).await);
    }
    a_caller_whose_next_request_is_unread_at_a_stop_is_answered => {
        // The kept connection counts as idle, so a graceful shutdown closes it unread.
        let gateway = accept_up_to(1_200).await;
        let caller = connect(gateway.address);
        exchange(&caller, REQUEST).await;
        send(&caller, REQUEST);
        gateway.stop.send_replace(true);
        assert!(is_answered(&caller).await);
    }
    a_caller_whose_request_is_half_read_at_a_stop_is_answered => {
        // A graceful shutdown must not take the connection for an unused one.
        let gateway = accept_up_to(1_200).await;
        let caller = connect(gateway.address);
        let (first, second) = REQUEST.split_at(REQUEST.len() / 2);
        send(&caller, first);
        accept_all(gateway.address, b"").await;
        gateway.stop.send_replace(true);
        yield_now().await;
        send(&caller, second);
        assert!(is_answered(&caller).await);
    }
    a_caller_whose_next_request_is_half_read_at_a_stop_is_answered => {
        // A kept connection counts as idle until the whole head of its next request is read.
        let gateway = accept_up_to(1_200).await;
        let caller = connect(gateway.address);
        exchange(&caller, REQUEST).await;
        let (first, second) = REQUEST.split_at(REQUEST.len() / 2);
        send(&caller, first);
        accept_all(gateway.address, b"").await;
        send(&caller, second);
        gateway.stop.send_replace(true);
        assert!(is_answered(&caller).await);
    }
    answers_after_a_stop_ask_callers_to_close => {
        // A caller that sends a further request while its connection is being closed gets no answer.
        let gateway = accept_up_to(1_200).await;
        let caller = connect(gateway.address);
        exchange(&caller, REQUEST).await;
        gateway.stop.send_replace(true);
        send(&caller, REQUEST);
        let headers = read_headers(&caller).await.expect("the request is answered");
        assert!(headers.contains("connection: close"), "{headers}");
    }
    a_refusal_beyond_the_bound_survives_a_long_body => {
        // Closing a connection with unread input resets it, and the caller may lose the answer.
        let gateway = accept_up_to(1).await;
        let (_kept, caller) = (connect(gateway.address), connect(gateway.address));
        send(&caller, b"POST / HTTP/1.1\r\nhost: a.example\r\ncontent-length: 60000\r\n\r\n");
        send(&caller, "a".repeat(60_000).as_bytes());
        let headers = read_headers(&caller).await.expect("the request is answered");
        assert!(headers.starts_with("HTTP/1.1 503 ") && headers.contains("retry-after: "), "{headers}");
    }
    callers_beyond_the_bound_of_refusals_at_a_stop_are_answered => {
        // Pending connections are accepted in one step, and none of the refusals ends meanwhile.
        let gateway = accept_up_to(1).await;
        let _held: Vec<TcpStream> = (0..100).map(|_| connect(gateway.address)).collect();
        let accepted = || gateway.shared.metrics.connections.get();
        while accepted() < 100 {
            yield_now().await;
        }
        let callers = connect_many(gateway.address, REQUEST);
        gateway.stop.send_replace(true);
        assert_eq!(count_answered(&callers).await, MANY);
    }
    gateways_that_wait_at_a_stop_are_answered => {
        // The listener for handed-off requests is dropped with its accept queue.
        let gateway = accept_gateways().await;
        let callers = connect_many(gateway.address, &[proof().as_slice(), REQUEST].concat());
        gateway.stop.send_replace(true);
        assert_eq!(count_answered(&callers).await, MANY);
    }
    a_gateway_whose_key_is_unread_at_a_stop_is_answered => {
        // The connection is served only once its key is read, when the shutdown has already begun.
        let gateway = accept_gateways().await;
        let caller = connect(gateway.address);
        accept_all(gateway.address, &proof()).await;
        send(&caller, &[proof().as_slice(), REQUEST].concat());
        gateway.stop.send_replace(true);
        assert!(is_answered(&caller).await);
    }
    a_gateway_whose_request_is_unread_at_a_stop_is_answered => {
        // The key is read and the request is not, so the connection counts as unused.
        let gateway = accept_gateways().await;
        let caller = connect(gateway.address);
        send(&caller, &proof());
        accept_all(gateway.address, &proof()).await;
        send(&caller, REQUEST);
        gateway.stop.send_replace(true);
        assert!(is_answered(&caller).await);
    }
    a_gateway_whose_next_request_is_unread_at_a_stop_is_answered => {
        // Other gateways keep their connections for further handoffs.
        let gateway = accept_gateways().await;
        let caller = connect(gateway.address);
        exchange(&caller, &[proof().as_slice(), REQUEST].concat()).await;
        send(&caller, REQUEST);
        gateway.stop.send_replace(true);
        assert!(is_answered(&caller).await);
    }
}
