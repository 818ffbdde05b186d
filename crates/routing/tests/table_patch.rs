//! Checks that a patch leads to exactly the later table, and that its size follows the change and not the table.

use std::fmt::Write as _;

use hinge_cases::cases;
use hinge_routing::{
    PatchError, RecentPatches, diff_tables, is_patch_worthwhile, patch_bytes, patch_table,
};
use hinge_schema::routing::{
    CallerLimits, RequestKind, Route, RouteTable, Service, Target, TeamKeys,
};
use quickcheck::QuickCheck;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_bytes::ByteBuf;

/// Most bytes of a patch for one changed value, whatever the size of the table.
const ONE_VALUE_BYTES: usize = 4_096;

/// Routes of a large configuration.
const MANY_ROUTES: usize = 1_800;

fn route(name: usize, timeout_ms: u64) -> Route {
    Route {
        name: format!("route-{name}").into(),
        host: "a.example".into(),
        path_prefix: format!("/{name}/").into(),
        kind: RequestKind::Idempotent,
        timeout_ms,
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
    }
}

fn table(number: u64, routes: Vec<Route>) -> RouteTable {
    let mut table = RouteTable {
        number,
        routes,
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
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        },
        tokens_per_s: 0,
        teams: vec![TeamKeys {
            name: "surf".into(),
            keys: vec!["a-key".into()],
            priority: None,
            allowed_regions: Vec::new(),
        }],
        document: ByteBuf::new(),
    };
    table.document = document(&table);
    table
}

/// Writes a table as an operator's document in JSON.
fn document(table: &RouteTable) -> ByteBuf {
    let mut text = format!("{{\"version\":{},\"routes\":[", table.number);
    for route in &table.routes {
        let (name, prefix, timeout_ms) = (&route.name, &route.path_prefix, route.timeout_ms);
        write!(
            text,
            "{{\"name\":\"{name}\",\"prefix\":\"{prefix}\",\"timeoutMs\":{timeout_ms},\"backends\":[{{\"service\":\"one\",\"weight\":1}}]}},"
        )
        .expect("a string takes any text");
    }
    text.push_str("]}");
    ByteBuf::from(text)
}

fn many_routes() -> Vec<Route> {
    (0..MANY_ROUTES).map(|name| route(name, 1_000)).collect()
}

fn leads_to(base: &RouteTable, next: &RouteTable) -> usize {
    let patch = diff_tables(base, next);
    assert_eq!(patch_table(base, &patch).as_ref(), Ok(next));
    patch_bytes(&patch)
}

/// Changes the routes of a table at random: replaces, inserts, removes, moves and repeats some.
fn change(rng: &mut StdRng, routes: &mut Vec<Route>) {
    for _ in 0..rng.random_range(0..6) {
        let at = rng.random_range(0..=routes.len());
        let name = rng.random_range(0..12);
        match rng.random_range(0..5) {
            0 => routes.insert(at, route(name, rng.random_range(1..3))),
            1 if at < routes.len() => _ = routes.remove(at),
            2 if at < routes.len() => routes[at].timeout_ms += 1,
            3 if at < routes.len() => {
                let moved = routes.remove(at);
                routes.insert(rng.random_range(0..=routes.len()), moved);
            }
            _ => routes.rotate_left(at),
        }
    }
}

fn any_two_tables_differ_by_a_patch(seed: u64) -> bool {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut routes = Vec::new();
    change(&mut rng, &mut routes);
    let base = table(1, routes.clone());
    change(&mut rng, &mut routes);
    let mut next = table(2, routes);
    if rng.random() {
        next.services.clear();
        next.teams.rotate_left(1);
        next.tokens_per_s = 9;
        next.document = ByteBuf::from(vec![b'}'; rng.random_range(0..9_000)]);
    }
    leads_to(&base, &next);
    leads_to(&next, &base);
    true
}

cases! {
    a_patch_leads_to_exactly_the_later_table => {
        QuickCheck::new()
            .tests(2_000)
            .quickcheck(any_two_tables_differ_by_a_patch as fn(u64) -> bool);
    }

    // Guards against a change of one value that costs as many bytes as the whole configuration.
    one_changed_value_costs_few_bytes_whatever_the_size_of_the_table => {
        let mut routes = many_routes();
        let base = table(1, routes.clone());
        routes[MANY_ROUTES / 2].timeout_ms = 2_000;
        let next = table(2, routes);
        let bytes = leads_to(&base, &next);
        assert!(bytes <= ONE_VALUE_BYTES, "{bytes} bytes of {}", base.document.len());
    }
    an_inserted_route_costs_few_bytes => {
        let mut routes = many_routes();
        let base = table(1, routes.clone());
        routes.insert(1, route(MANY_ROUTES, 1_000));
        let bytes = leads_to(&base, &table(2, routes));
        assert!(bytes <= ONE_VALUE_BYTES, "{bytes} bytes");
    }
    a_removed_route_costs_few_bytes => {
        let mut routes = many_routes();
        let base = table(1, routes.clone());
        routes.remove(MANY_ROUTES / 3);
        let bytes = leads_to(&base, &table(2, routes));
        assert!(bytes <= ONE_VALUE_BYTES, "{bytes} bytes");
    }
    a_table_with_nothing_in_common_is_sent_whole => {
        let base = table(1, many_routes());
        let next = table(2, (0..50).map(|name| route(MANY_ROUTES + name, 9)).collect());
        assert!(!is_patch_worthwhile(&diff_tables(&base, &next), &next));
    }

    a_patch_of_another_table_is_refused => {
        let (base, next) = (table(1, many_routes()), table(2, Vec::new()));
        let patch = diff_tables(&base, &next);
        assert_eq!(patch_table(&next, &patch), Err(PatchError::OtherBase));
        let other = table(1, Vec::new());
        let patch = diff_tables(&base, &table(2, many_routes()));
        assert_eq!(patch_table(&other, &patch), Err(PatchError::OutOfRange));
    }

    recent_patches_lead_a_gateway_that_lags_to_the_newest_table => {
        let mut recent = RecentPatches::default();
        let mut tables = vec![table(1, many_routes())];
        for number in 2..5 {
            let last = &tables[tables.len() - 1];
            let mut routes = last.routes.clone();
            routes[number].timeout_ms = 2_000;
            let next = table(number as u64, routes);
            recent.record(&diff_tables(last, &next));
            tables.push(next);
        }
        let newest = &tables[3];
        let patches = recent.since(2, newest).expect("both patches are kept");
        let mut lagging = RouteTable { document: ByteBuf::new(), ..tables[1].clone() };
        for patch in &patches {
            lagging = patch_table(&lagging, patch).expect("it is based on the table");
        }
        assert_eq!(lagging, RouteTable { document: ByteBuf::new(), ..newest.clone() });
        assert!(recent.since(9, newest).is_none(), "no patch is based on it");
        assert!(recent.since(1, &tables[2]).is_none(), "they lead to another table");
    }

    // Guards against a history of patches that grows with the number of changes.
    recent_patches_are_bounded_in_bytes => {
        let mut recent = RecentPatches::default();
        let mut last = table(1, many_routes());
        for number in 2..200 {
            let mut routes = last.routes.clone();
            for route in &mut routes[..400] {
                route.timeout_ms = 1_000 + number;
            }
            let next = table(number, routes);
            recent.record(&diff_tables(&last, &next));
            last = next;
        }
        let kept = (1..200).filter_map(|number| recent.since(number, &last)).max_by_key(Vec::len);
        let bytes: usize = kept.iter().flatten().map(patch_bytes).sum();
        assert!(bytes <= 256 << 10, "{bytes} bytes");
    }
}
