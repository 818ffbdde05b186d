//! Checks which route tables are valid, and which route a request gets.

use hinge_cases::cases;
use hinge_routing::{RouteIndex, TableError, check_table};
use hinge_schema::routing::{
    CallerLimits, RequestKind, Route, RouteTable, Service, Target, TeamKeys,
};
use serde_bytes::ByteBuf;

fn route(name: &str, prefix: &str) -> Route {
    Route {
        name: name.into(),
        host: "a.example".into(),
        path_prefix: prefix.into(),
        kind: RequestKind::Idempotent,
        timeout_ms: 1_000,
        target_latency_ms: 100,
        priority: 1,
        targets: vec![target("one", 1)],
        max_attempts: 2,
        public: false,
        prompts: false,
        resumable: false,
        target_gap_ms: None,
        allowed_regions: Vec::new(),
    }
}

fn target(service: &str, weight: u32) -> Target {
    Target {
        service: service.into(),
        weight,
    }
}

fn team(name: &str, key: &str) -> TeamKeys {
    TeamKeys {
        name: name.into(),
        keys: vec![key.into()],
        priority: None,
        allowed_regions: Vec::new(),
    }
}

fn table(routes: Vec<Route>, teams: Vec<TeamKeys>) -> RouteTable {
    RouteTable {
        number: 7,
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
        teams,
        document: ByteBuf::new(),
    }
}

type Change = fn(&mut Route);

type Expected = fn(&TableError) -> bool;

fn rejects((change, is_expected): (Change, Expected)) {
    let mut changed = route("r", "/a/");
    change(&mut changed);
    let error = check_table(&table(vec![changed], Vec::new())).expect_err("the route is not valid");
    assert!(is_expected(&error), "{error}");
}

cases! {
    rejects:
    an_unknown_service => (|r| r.targets[0].service = "two".into(), |e| matches!(e, TableError::UnknownService { .. })),
    weights_of_zero => (|r| r.targets[0].weight = 0, |e| matches!(e, TableError::NoWeight { .. })),
    no_targets => (|r| r.targets.clear(), |e| matches!(e, TableError::NoWeight { .. })),
    a_timeout_of_zero => (|r| r.timeout_ms = 0, |e| matches!(e, TableError::NoTimeout { .. })),
    a_prefix_without_its_last_slash => (|r| r.path_prefix = "/a".into(), |e| matches!(e, TableError::BadPrefix { .. })),
}

cases! {
    two_routes_with_one_host_and_prefix_are_rejected => {
        let error = check_table(&table(vec![route("r", "/a/"), route("s", "/a/")], Vec::new()));
        assert_eq!(error, Err(TableError::SameRoute { route: "s".into() }));
    }
    one_key_of_two_teams_is_rejected => {
        let error = check_table(&table(Vec::new(), vec![team("a", "key"), team("b", "key")]));
        assert_eq!(error, Err(TableError::SharedKey { team: "b".into() }));
    }
    a_key_listed_twice_by_one_team_is_accepted => {
        let twice = TeamKeys { keys: vec!["key".into(), "key".into()], ..team("a", "key") };
        assert_eq!(check_table(&table(Vec::new(), vec![twice])), Ok(()));
    }
    the_longest_prefix_wins => {
        let lookup = RouteIndex::new(table(vec![route("short", "/a/"), route("long", "/a/b/")], Vec::new()));
        let name = |path| lookup.route("a.example", path).map(|route| &*route.name);
        assert_eq!(name("/a/b/c"), Some("long"));
        assert_eq!(name("/a/bc"), Some("short"));
        assert_eq!(name("/b/"), None);
        assert!(lookup.route("b.example", "/a/").is_none());
        assert!(lookup.route("A.Example", "/a/").is_some());
    }
    targets_are_picked_by_weight => {
        let mut shared = route("r", "/a/");
        shared.targets = vec![target("one", 3), target("none", 0), target("two", 1)];
        let draws = (0..400).filter_map(|draw| RouteIndex::pick_target(&shared, draw));
        let names: Vec<&str> = draws.map(|target| &*target.service).collect();
        assert_eq!(names.iter().filter(|name| **name == "one").count(), 300);
        assert_eq!(names.iter().filter(|name| **name == "two").count(), 100);
    }
    a_key_finds_its_team_and_no_other => {
        let lookup = RouteIndex::new(table(Vec::new(), vec![team("a", "key-a"), team("b", "key-b")]));
        assert_eq!(lookup.team("key-b").map(|team| &*team.name), Some("b"));
        assert!(lookup.team("key").is_none());
    }
}
