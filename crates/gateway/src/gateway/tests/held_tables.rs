//! Checks that requests in progress keep no route table in memory.
//!
//! Streams last for many seconds. While the configuration changes several times a second, each of them kept the table
//! of its begin, and a gateway held as many whole tables as there were changes meanwhile.

use std::sync::{Arc, Weak};

use hinge_cases::async_cases;
use hinge_routing::RouteIndex;
use hinge_schema::routing::{
    CallerLimits, Endpoint, EndpointList, EndpointState, RequestKind, Route, RouteTable, Service,
    Target,
};
use serde_bytes::ByteBuf;
use tokio::net::TcpListener;

use super::{Accepting, accept_up_to, bind, connect, exchange, send};

fn table(number: u64) -> RouteTable {
    RouteTable {
        number,
        routes: vec![Route {
            name: "route".into(),
            host: "a.example".into(),
            path_prefix: "/".into(),
            kind: RequestKind::Idempotent,
            timeout_ms: 60_000,
            target_latency_ms: 1_000,
            priority: 1,
            targets: vec![Target {
                service: "one".into(),
                weight: 1,
            }],
            max_attempts: 1,
            public: true,
            prompts: false,
            resumable: false,
            target_gap_ms: None,
            allowed_regions: Vec::new(),
        }],
        services: vec![Service {
            name: "one".into(),
            health_path: "/health".into(),
            max_connections: 10,
            engine: None,
            warm_up: None,
        }],
        limits: CallerLimits {
            max_header_bytes: 16_384,
            max_body_bytes: 1 << 20,
            header_timeout_ms: 60_000,
            idle_timeout_ms: 60_000,
        },
        tokens_per_s: 0,
        teams: Vec::new(),
        document: ByteBuf::new(),
    }
}

/// Starts a gateway with a route to one endpoint, and returns the endpoint's listener.
async fn with_endpoint() -> (Accepting, TcpListener) {
    let (listener, address) = bind().await;
    let gateway = accept_up_to(1_200).await;
    gateway.shared.routing.apply_table(table(1));
    gateway.shared.routing.apply_endpoints(EndpointList {
        version: 1,
        endpoints: vec![Endpoint {
            id: "endpoint-0".into(),
            born_unix_ms: None,
            service: "one".into(),
            address,
            data_center: "here".into(),
            software_version: "v1".into(),
            slots: 4,
            state: EndpointState::Ready,
            warm_up_ms: 0,
            sequence: 1,
        }],
    });
    (gateway, listener)
}

fn table_in_force(gateway: &Accepting) -> Weak<RouteIndex> {
    let snapshot = gateway.shared.routing.current();
    let lookup = snapshot.lookup.as_ref().expect("a table is in force");
    Arc::downgrade(lookup)
}

async_cases! { real
    a_request_at_an_endpoint_holds_no_route_table => {
        let (gateway, listener) = with_endpoint().await;
        let caller = connect(gateway.address);
        send(&caller, b"GET / HTTP/1.1\r\nhost: a.example\r\n\r\n");
        let _request = listener.accept().await.expect("the request is sent to the endpoint");
        let earlier = table_in_force(&gateway);
        gateway.shared.routing.apply_table(table(2));
        assert!(earlier.upgrade().is_none());
    }
    a_request_whose_body_is_not_read_holds_no_route_table => {
        let (gateway, _listener) = with_endpoint().await;
        let caller = connect(gateway.address);
        send(&caller, b"POST / HTTP/1.1\r\nhost: a.example\r\ncontent-length: 9\r\n\r\nbody");
        let other = connect(gateway.address);
        exchange(&other, b"GET / HTTP/1.1\r\nhost: unknown.example\r\n\r\n").await;
        let earlier = table_in_force(&gateway);
        gateway.shared.routing.apply_table(table(2));
        assert!(earlier.upgrade().is_none());
    }
}
