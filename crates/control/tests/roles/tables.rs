//! Tests that a change of the route table costs bytes in proportion to the change, from the operator to the gateways.

use hinge_cases::async_cases;
use hinge_control::WATCH_ROUTES_PATH;
use hinge_link::{CallError, CounterKind, Direction, MessageClass};
use hinge_routing::patch_table;
use hinge_schema::routing::{
    AskTable, CallerLimits, CurrentTable, RequestKind, Route, RouteTable, RoutesUpdate, Target,
    WatchRoutes,
};
use serde_bytes::ByteBuf;

use crate::fleet::{Fleet, pause};

/// Routes of a large configuration.
const ROUTES: usize = 1_800;

const CHANGES: u64 = 20;

/// Most bytes of a change between the instances, in parts of the operator's document.
const DOCUMENT_PARTS: u64 = 10;

fn table() -> RouteTable {
    let route = |name: usize| Route {
        name: format!("route-{name}").into(),
        host: "a.example".into(),
        path_prefix: format!("/{name}/").into(),
        kind: RequestKind::Idempotent,
        timeout_ms: 1_000,
        target_latency_ms: 100,
        priority: 1,
        targets: vec![Target {
            service: "one".into(),
            weight: 1,
        }],
        max_attempts: 2,
        public: false,
        prompts: false,
        resumable: false,
        target_gap_ms: None,
        allowed_regions: Vec::new(),
    };
    RouteTable {
        number: 1,
        routes: (0..ROUTES).map(route).collect(),
        services: Vec::new(),
        limits: CallerLimits {
            max_header_bytes: 1,
            max_body_bytes: 1,
            header_timeout_ms: 1,
            idle_timeout_ms: 1,
        },
        tokens_per_s: 0,
        teams: Vec::new(),
        document: document(1, 1_000),
    }
}

fn document(number: u64, timeout_ms: u64) -> ByteBuf {
    let routes = (0..ROUTES).map(|name| {
        let timeout_ms = if name == 7 { timeout_ms } else { 1_000 };
        format!(
            "{{\"name\":\"route-{name}\",\"prefix\":\"/{name}/\",\"timeoutMs\":{timeout_ms},\"service\":\"one\"}}"
        )
    });
    let routes = routes.collect::<Vec<_>>().join(",");
    ByteBuf::from(format!("{{\"version\":{number},\"routes\":[{routes}]}}"))
}

/// Changes one value of the table.
fn change(table: &mut RouteTable) {
    table.number += 1;
    let timeout_ms = 1_000 + table.number;
    table.routes[7].timeout_ms = timeout_ms;
    table.document = document(table.number, timeout_ms);
}

/// Returns the bytes that all instances have sent for the log and for calls on tables.
fn sent_bytes(fleet: &Fleet) -> u64 {
    let classes = [MessageClass::Raft, MessageClass::Other];
    let counters = fleet.traffic.values().flat_map(|traffic| {
        classes.map(|class| traffic.get(CounterKind::MessageBytes(class), Direction::Sent))
    });
    counters.sum()
}

fn watch(table_number: u64) -> WatchRoutes {
    WatchRoutes {
        instance: "gateway-1".into(),
        peer_address: None,
        table_number,
        endpoints_version: u64::MAX,
        suspects_version: None,
        evacuations_version: None,
        accepts_patches: Some(true),
        accepts_unconfirmed: None,
        wait_ms: 5_000,
    }
}

/// Returns a fleet with the first table in force everywhere, in which every member knows patches.
async fn fleet_with_table() -> (Fleet, RouteTable) {
    let fleet = Fleet::start(3).await;
    let leader = fleet.leader().await;
    let mut table = table();
    // The first changes may be sent whole: the format of the log is raised once every member has reported the version.
    for _ in 0..CHANGES {
        fleet.put_table(&leader, &table).await;
        change(&mut table);
        pause().await;
    }
    fleet.put_table(&leader, &table).await;
    for name in fleet.running.keys() {
        while !fleet.serves_newer_table(name, table.number).await {
            pause().await;
        }
    }
    (fleet, table)
}

async fn read_table(fleet: &Fleet, name: &str) -> RouteTable {
    let current: CurrentTable = fleet
        .call(name, "/v1/routes/ask", &AskTable {})
        .await
        .expect("the instance knows the leader");
    current.table.expect("a table is in force")
}

async_cases! { real
    // Guards against a change of one value that is sent between data centres as the whole configuration, several times.
    changes_of_one_value_cost_few_bytes_between_instances => {
        let (fleet, mut table) = fleet_with_table().await;
        let document_bytes = table.document.len() as u64;
        let bytes = loop {
            let (leader, follower) = (fleet.leader().await, fleet.follower().await);
            let (term, before) = (fleet.status().await.term, sent_bytes(&fleet));
            for number in 0..CHANGES {
                change(&mut table);
                let name = if number % 2 == 0 { &leader } else { &follower };
                fleet.put_table(name, &table).await;
            }
            let bytes = (sent_bytes(&fleet) - before) / CHANGES;
            // The first table of a term may be sent whole.
            if fleet.status().await.term == term {
                break bytes;
            }
        };
        assert!(bytes <= document_bytes / DOCUMENT_PARTS, "{bytes} bytes a change, for a document of {document_bytes}");
        for name in fleet.running.keys() {
            assert_eq!(read_table(&fleet, name).await, table, "{name}");
        }
    }

    a_gateway_that_lags_gets_the_changes_and_not_the_whole_table => {
        let (fleet, mut table) = fleet_with_table().await;
        let follower = fleet.follower().await;
        let held = RouteTable { document: ByteBuf::new(), ..table.clone() };
        for _ in 0..3 {
            change(&mut table);
            fleet.put_table(&follower, &table).await;
        }
        while !fleet.serves_newer_table(&follower, table.number).await {
            pause().await;
        }
        let update: RoutesUpdate = fleet.call(&follower, WATCH_ROUTES_PATH, &watch(held.number)).await.expect("it knows the leader");
        assert!(update.table.is_none());
        let patched = update.table_patches.iter().try_fold(held, |base, patch| patch_table(&base, patch));
        assert_eq!(patched, Ok(RouteTable { document: ByteBuf::new(), ..table }));
    }

    // Guards against a change that was acknowledged and reaches no gateway, because the leader was lost just after.
    an_instance_without_a_leader_tells_what_is_newer_and_nothing_else => {
        let (fleet, mut table) = fleet_with_table().await;
        let leader = fleet.leader().await;
        let held = table.number;
        change(&mut table);
        fleet.put_table(&leader, &table).await;
        while !fleet.serves_newer_table(&leader, table.number).await {
            pause().await;
        }
        fleet.net.isolate(&leader);
        let accepts = |table_number| WatchRoutes { accepts_unconfirmed: Some(true), ..watch(table_number) };
        let update = loop {
            // Until it gives up the leader that it knew, it answers as one that follows.
            let answered: Result<RoutesUpdate, _> = fleet.call(&leader, WATCH_ROUTES_PATH, &accepts(held)).await;
            let update = answered.expect("it has a newer table");
            if update.is_unconfirmed == Some(true) {
                break update;
            }
            pause().await;
        };
        assert_eq!(update.table_patches.last().map(|patch| patch.number), Some(table.number));
        for current_or_earlier_version in [accepts(table.number), watch(held)] {
            let refused = fleet.call::<_, RoutesUpdate>(&leader, WATCH_ROUTES_PATH, &current_or_earlier_version).await;
            assert!(matches!(refused, Err(CallError::Status(status)) if status == 503));
        }
    }

    a_gateway_with_an_unknown_table_gets_the_whole_one => {
        let (fleet, table) = fleet_with_table().await;
        let follower = fleet.follower().await;
        let watch = WatchRoutes { table_number: 1, ..watch(0) };
        let mut asked = WatchRoutes { accepts_patches: None, ..watch.clone() };
        for accepts_patches in [None, Some(false)] {
            asked.accepts_patches = accepts_patches;
            let update: RoutesUpdate = fleet.call(&follower, WATCH_ROUTES_PATH, &asked).await.expect("it knows the leader");
            assert_eq!(update.table.map(|whole| whole.number), Some(table.number));
        }
    }
}
