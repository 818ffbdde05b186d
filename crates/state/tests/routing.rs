//! Tests route tables and endpoints as commands of the log.

use std::time::Duration;

use hinge_cases::cases;
use hinge_schema::routing::{CallerLimits, Endpoint, EndpointState, RouteTable};
use hinge_state::routing::REPORT_TIMEOUT;
use hinge_state::{Command, EndpointCommand, Incarnation, LastReports, Reply, State, WarmUps};
use quickcheck::quickcheck;
use serde_bytes::ByteBuf;

fn table(number: u64, document: &str) -> RouteTable {
    RouteTable {
        number,
        routes: Vec::new(),
        services: Vec::new(),
        limits: CallerLimits {
            max_header_bytes: 1,
            max_body_bytes: 1,
            header_timeout_ms: 1,
            idle_timeout_ms: 1,
        },
        tokens_per_s: 0,
        teams: Vec::new(),
        document: ByteBuf::from(document.as_bytes()),
    }
}

fn endpoint(id: &str, sequence: u64) -> Endpoint {
    Endpoint {
        id: id.into(),
        born_unix_ms: None,
        service: "llm".into(),
        address: ([10, 0, 0, 1], 8_080).into(),
        data_center: "a".into(),
        software_version: "v1".into(),
        slots: 64,
        state: EndpointState::Ready,
        warm_up_ms: 0,
        sequence,
    }
}

fn draining(id: &str, sequence: u64) -> Endpoint {
    Endpoint {
        state: EndpointState::Draining,
        ..endpoint(id, sequence)
    }
}

/// Returns a report of an endpoint that started at a given Unix millisecond.
fn started(id: &str, born_unix_ms: u64, sequence: u64) -> Endpoint {
    Endpoint {
        born_unix_ms: Some(born_unix_ms),
        ..endpoint(id, sequence)
    }
}

fn end(id: &str, born_unix_ms: Option<u64>) -> EndpointCommand {
    EndpointCommand::Retire(Incarnation {
        id: id.into(),
        born_unix_ms,
    })
}

/// Returns the start time and the state of a listed endpoint.
fn listed(state: &State, id: &str) -> Option<(Option<u64>, EndpointState)> {
    let list = state.routing().list();
    let found = list.endpoints.iter().find(|endpoint| *endpoint.id == *id);
    found.map(|endpoint| (endpoint.born_unix_ms, endpoint.state))
}

fn put(state: &mut State, number: u64, document: &str) -> Reply {
    let index = state.applied_index() + 1;
    state.apply(
        index,
        1,
        Command::PutTable(Box::new(table(number, document))),
    )
}

fn change(state: &mut State, command: EndpointCommand) {
    let index = state.applied_index() + 1;
    state.apply(index, 1, Command::Endpoint(command));
}

fn state_of(state: &State, id: &str) -> Option<EndpointState> {
    let list = state.routing().list();
    let found = list.endpoints.iter().find(|endpoint| *endpoint.id == *id);
    found.map(|endpoint| endpoint.state)
}

fn report(state: &mut State, endpoint: Endpoint) {
    change(state, EndpointCommand::Report(endpoint));
}

fn raise_format(state: &mut State) {
    let index = state.applied_index() + 1;
    state.apply(index, 1, Command::RaiseFormat { format: 1 });
}

fn warming_up(id: &str, sequence: u64, warm_up_ms: u64) -> Endpoint {
    Endpoint {
        warm_up_ms,
        ..endpoint(id, sequence)
    }
}

fn ms(time_ms: u64) -> Duration {
    Duration::from_millis(time_ms)
}

cases! {
    a_report_of_another_warm_up_changes_the_list => {
        let mut state = State::default();
        raise_format(&mut state);
        report(&mut state, endpoint("one", 1));
        let version = state.routing().endpoints_version();
        let again = warming_up("one", 2, 3_000);
        assert!(!state.routing().is_change(&again));
        assert!(state.routing().may_warm_up_again(&again));
        report(&mut state, again.clone());
        assert!(state.routing().endpoints_version() > version);
        assert_eq!(state.routing().list().endpoints, std::slice::from_ref(&again));
        assert!(!state.routing().may_warm_up_again(&again), "a late copy tells nothing");
        assert!(!state.routing().may_warm_up_again(&endpoint("one", 3)));
    }
    // Guards against lists that differ between members of two versions.
    a_log_of_format_0_ignores_another_warm_up => {
        let mut state = State::default();
        report(&mut state, endpoint("one", 1));
        let version = state.routing().endpoints_version();
        report(&mut state, warming_up("one", 2, 3_000));
        assert_eq!(state.routing().endpoints_version(), version);
    }
    a_warm_up_counts_down => {
        let mut state = State::default();
        raise_format(&mut state);
        report(&mut state, warming_up("one", 1, 3_000));
        let mut warm_ups = WarmUps::default();
        warm_ups.note(ms(10_000), state.routing());
        assert_eq!(warm_ups.left(ms(10_000), "one"), ms(3_000));
        warm_ups.note(ms(11_000), state.routing());
        let mut list = state.routing().list();
        warm_ups.count_down(ms(11_000), &mut list);
        assert_eq!(list.endpoints[0].warm_up_ms, 2_000, "the same report starts no other warm-up");
        assert!(!warm_ups.is_news(ms(11_000), &warming_up("one", 2, 2_100)));
        assert!(warm_ups.is_news(ms(11_000), &warming_up("one", 2, 3_000)));
        assert_eq!(warm_ups.left(ms(14_000), "one"), Duration::ZERO);
        assert!(!warm_ups.is_news(ms(14_000), &endpoint("one", 3)));
        assert!(warm_ups.is_news(ms(14_000), &warming_up("one", 3, 2_000)));
    }
    a_restarted_endpoint_warms_up_for_the_whole_time => {
        let mut state = State::default();
        report(&mut state, Endpoint { warm_up_ms: 3_000, ..started("one", 5, 1) });
        let mut warm_ups = WarmUps::default();
        warm_ups.note(ms(0), state.routing());
        report(&mut state, Endpoint { warm_up_ms: 3_000, ..started("one", 6, 1) });
        warm_ups.note(ms(2_000), state.routing());
        assert_eq!(warm_ups.left(ms(2_000), "one"), ms(3_000));
    }
    the_highest_number_is_in_force_and_lower_ones_change_nothing => {
        let mut state = State::default();
        assert_eq!(put(&mut state, 5, "five"), Reply::TableNumber(5));
        assert_eq!(put(&mut state, 3, "three"), Reply::TableNumber(5));
        assert_eq!(put(&mut state, 5, "other content"), Reply::TableNumber(5));
        let held = state.routing().table().expect("a table is held");
        assert_eq!(held.document.as_ref(), b"five");
        assert_eq!(put(&mut state, 9, "nine"), Reply::TableNumber(9));
    }
    a_snapshot_keeps_tables_and_endpoints => {
        let mut state = State::default();
        put(&mut state, 5, "five");
        change(&mut state, EndpointCommand::Report(endpoint("e", 1)));
        change(&mut state, end("gone", None));
        let restored = State::restore(&state.encode()).expect("a snapshot can be read");
        assert_eq!(restored.routing().table(), state.routing().table());
        assert_eq!(restored.routing().list(), state.routing().list());
        assert!(restored.routing().is_retired("gone", None));
    }
    a_late_report_does_not_end_a_drain => {
        let mut state = State::default();
        change(&mut state, EndpointCommand::Report(endpoint("e", 4)));
        change(&mut state, EndpointCommand::Report(draining("e", 6)));
        change(&mut state, EndpointCommand::Report(endpoint("e", 5)));
        assert_eq!(state_of(&state, "e"), Some(EndpointState::Draining));
        change(&mut state, EndpointCommand::Report(endpoint("e", 7)));
        assert_eq!(state_of(&state, "e"), Some(EndpointState::Draining));
    }
    a_late_report_does_not_revive_an_endpoint_that_has_retired => {
        let mut state = State::default();
        change(&mut state, EndpointCommand::Report(endpoint("e", 4)));
        change(&mut state, end("e", None));
        change(&mut state, EndpointCommand::Report(endpoint("e", 9)));
        assert_eq!(state_of(&state, "e"), None);
        // An endpoint whose end overtook its first report is not listed either.
        change(&mut state, end("f", None));
        change(&mut state, EndpointCommand::Report(endpoint("f", 1)));
        assert_eq!(state_of(&state, "f"), None);
    }
    an_endpoint_that_restarts_under_its_id_is_listed_though_its_sequence_starts_over => {
        let mut state = State::default();
        change(&mut state, EndpointCommand::Report(started("e", 100, 900)));
        change(&mut state, EndpointCommand::Report(started("e", 200, 1)));
        assert_eq!(listed(&state, "e"), Some((Some(200), EndpointState::Ready)));
        // A late report of the former start changes nothing, whatever its number.
        assert!(!state.routing().is_change(&started("e", 100, 901)));
        change(&mut state, EndpointCommand::Report(started("e", 100, 901)));
        assert_eq!(listed(&state, "e"), Some((Some(200), EndpointState::Ready)));
    }
    a_drain_ends_with_the_incarnation_that_drains => {
        let mut state = State::default();
        change(&mut state, EndpointCommand::Report(started("e", 100, 5)));
        change(&mut state, EndpointCommand::Report(Endpoint {
            state: EndpointState::Draining,
            ..started("e", 100, 6)
        }));
        change(&mut state, EndpointCommand::Report(started("e", 100, 7)));
        assert_eq!(listed(&state, "e"), Some((Some(100), EndpointState::Draining)));
        change(&mut state, EndpointCommand::Report(started("e", 200, 1)));
        assert_eq!(listed(&state, "e"), Some((Some(200), EndpointState::Ready)));
    }
    an_end_holds_for_the_incarnation_that_ended_and_those_before_it => {
        let mut state = State::default();
        change(&mut state, EndpointCommand::Report(started("e", 100, 5)));
        change(&mut state, end("e", Some(100)));
        assert_eq!(listed(&state, "e"), None);
        change(&mut state, EndpointCommand::Report(started("e", 100, 6)));
        change(&mut state, EndpointCommand::Report(started("e", 90, 7)));
        change(&mut state, EndpointCommand::Report(endpoint("e", 8)));
        assert_eq!(listed(&state, "e"), None);
        change(&mut state, EndpointCommand::Report(started("e", 200, 1)));
        assert_eq!(listed(&state, "e"), Some((Some(200), EndpointState::Ready)));
        // A late end of the former start does not take the new one away.
        change(&mut state, end("e", Some(100)));
        assert_eq!(listed(&state, "e"), Some((Some(200), EndpointState::Ready)));
    }
    an_end_without_a_start_time_means_the_known_incarnation => {
        let mut state = State::default();
        change(&mut state, EndpointCommand::Report(started("e", 100, 5)));
        change(&mut state, end("e", None));
        change(&mut state, EndpointCommand::Report(started("e", 100, 6)));
        assert_eq!(listed(&state, "e"), None);
        change(&mut state, EndpointCommand::Report(started("e", 200, 1)));
        assert_eq!(listed(&state, "e"), Some((Some(200), EndpointState::Ready)));
    }
    a_report_that_contradicts_its_incarnation_changes_nothing => {
        let mut state = State::default();
        change(&mut state, EndpointCommand::Report(started("e", 100, 5)));
        let elsewhere = Endpoint { address: ([10, 9, 9, 9], 1).into(), ..started("e", 100, 6) };
        let renamed = Endpoint { service: "other".into(), ..started("e", 100, 7) };
        for report in [elsewhere, renamed] {
            assert!(state.routing().contradicts(&report));
            change(&mut state, EndpointCommand::Report(report));
        }
        let list = state.routing().list();
        assert_eq!(list.endpoints, [started("e", 100, 5)]);
        // A newer incarnation may listen anywhere.
        let moved = Endpoint { address: ([10, 9, 9, 9], 1).into(), ..started("e", 200, 1) };
        assert!(!state.routing().contradicts(&moved));
        assert!(state.routing().is_change(&moved));
    }
    reports_of_a_former_incarnation_are_outdated => {
        let mut state = State::default();
        change(&mut state, EndpointCommand::Report(started("e", 200, 5)));
        assert!(state.routing().is_outdated(&started("e", 100, 9)));
        assert!(state.routing().is_outdated(&endpoint("e", 9)));
        assert!(!state.routing().is_outdated(&started("e", 200, 1)));
        assert!(!state.routing().is_outdated(&started("e", 300, 1)));
    }
    ends_in_older_snapshots_are_read => {
        let written = rmp_serde::to_vec_named(&"gone").expect("text can be written");
        let read: Incarnation = rmp_serde::from_slice(&written).expect("an older end is read");
        assert_eq!(read, Incarnation { id: "gone".into(), born_unix_ms: None });
        let written = rmp_serde::to_vec_named(&Incarnation { id: "e".into(), born_unix_ms: Some(7) });
        let read: Incarnation = rmp_serde::from_slice(&written.expect("it can be written")).expect("an end is read");
        assert_eq!(read, Incarnation { id: "e".into(), born_unix_ms: Some(7) });
    }
    an_endpoint_is_not_listed_once_another_one_reports_its_address => {
        let mut state = State::default();
        for number in 0..8_u8 {
            let address = ([10, 0, 0, number], 8_080).into();
            let old = Endpoint { address, ..endpoint(&format!("old-{number}"), 40) };
            change(&mut state, EndpointCommand::Report(old));
        }
        // All lose power and come back at their addresses under new ids, within a second.
        for number in 0..8_u8 {
            let address = ([10, 0, 0, number], 8_080).into();
            let new = Endpoint { address, ..endpoint(&format!("new-{number}"), 1) };
            change(&mut state, EndpointCommand::Report(new));
        }
        let ids = |state: &State| {
            let list = state.routing().list();
            list.endpoints.into_iter().map(|endpoint| endpoint.id).collect::<Vec<_>>()
        };
        assert_eq!(ids(&state).len(), 8);
        assert!(ids(&state).iter().all(|id| id.starts_with("new-")));
        // A report of the former endpoint that a network partition has delayed changes nothing.
        let late = Endpoint { address: ([10, 0, 0, 0], 8_080).into(), ..draining("old-0", 41) };
        change(&mut state, EndpointCommand::Report(late));
        assert!(!ids(&state).contains(&"old-0".into()));
        // Once the newer endpoint is dropped, the older one is listed again, until its own reports time out.
        change(&mut state, EndpointCommand::Drop("new-1".into()));
        assert!(ids(&state).contains(&"old-1".into()));
        change(&mut state, EndpointCommand::Drop("old-1".into()));
        assert_eq!(ids(&state).len(), 7);
    }
    a_report_that_only_repeats_the_state_is_no_change => {
        let mut state = State::default();
        change(&mut state, EndpointCommand::Report(endpoint("e", 1)));
        assert!(!state.routing().is_change(&endpoint("e", 2)));
        assert!(state.routing().is_change(&draining("e", 3)));
        assert!(state.routing().is_change(&endpoint("new", 1)));
    }
    a_silent_endpoint_is_dropped_and_comes_back_with_its_next_report => {
        let mut state = State::default();
        change(&mut state, EndpointCommand::Report(endpoint("e", 1)));
        let mut last_reports = LastReports::default();
        assert!(last_reports.silent(Duration::ZERO, state.routing()).is_empty());
        let later = REPORT_TIMEOUT.saturating_sub(Duration::from_millis(1));
        assert!(last_reports.silent(later, state.routing()).is_empty());
        assert_eq!(last_reports.silent(REPORT_TIMEOUT, state.routing()), vec!["e".into()]);
        change(&mut state, EndpointCommand::Drop("e".into()));
        assert_eq!(state_of(&state, "e"), None);
        change(&mut state, EndpointCommand::Report(endpoint("e", 2)));
        assert_eq!(state_of(&state, "e"), Some(EndpointState::Ready));
    }
    an_endpoint_whose_address_another_one_reports_times_out_sooner => {
        let mut state = State::default();
        change(&mut state, EndpointCommand::Report(endpoint("old", 1)));
        change(&mut state, EndpointCommand::Report(endpoint("new", 1)));
        assert!(state_of(&state, "old").is_none());
        let mut last_reports = LastReports::default();
        last_reports.record(Duration::ZERO, "old");
        for second in 1..=4 {
            last_reports.record(Duration::from_secs(second), "new");
        }
        assert!(last_reports.silent(Duration::from_secs(2), state.routing()).is_empty());
        assert_eq!(last_reports.silent(Duration::from_secs(4), state.routing()), vec!["old".into()]);
    }
    a_new_leader_gives_every_endpoint_the_full_report_timeout => {
        let mut state = State::default();
        change(&mut state, EndpointCommand::Report(endpoint("e", 1)));
        let mut last_reports = LastReports::default();
        last_reports.record(Duration::ZERO, "e");
        last_reports.clear();
        let now = REPORT_TIMEOUT * 3;
        assert!(last_reports.silent(now, state.routing()).is_empty());
        assert!(!last_reports.silent(now + REPORT_TIMEOUT, state.routing()).is_empty());
    }
}

quickcheck! {
    fn tables_in_any_order_leave_the_highest_number_in_force(numbers: Vec<u8>) -> bool {
        let mut state = State::default();
        let mut highest = 0;
        for number in &numbers {
            highest = highest.max(u64::from(*number));
            if put(&mut state, u64::from(*number), "") != Reply::TableNumber(highest) {
                return false;
            }
        }
        state.routing().table_number() == highest
    }

    fn an_older_incarnation_never_replaces_a_newer_one(reports: Vec<(u8, u8, bool)>) -> bool {
        let mut state = State::default();
        let mut newest = None;
        reports.iter().all(|(start, sequence, ends)| {
            let start = u64::from(*start % 8);
            let before = listed(&state, "e");
            change(&mut state, if *ends {
                end("e", Some(start))
            } else {
                EndpointCommand::Report(started("e", start, u64::from(*sequence)))
            });
            newest = newest.max(before.and_then(|(start, _)| start));
            listed(&state, "e").is_none_or(|(start, _)| start >= newest)
        })
    }

    fn every_change_of_the_list_increases_its_version(commands: Vec<(u8, u8, u8)>) -> bool {
        let mut state = State::default();
        commands.iter().all(|(id, kind, sequence)| {
            let before = (state.routing().list(), state.routing().endpoints_version());
            let id = format!("e{}", id % 4);
            let sequence = u64::from(*sequence);
            change(&mut state, match kind % 4 {
                0 => EndpointCommand::Report(endpoint(&id, sequence)),
                1 => EndpointCommand::Report(draining(&id, sequence)),
                2 => end(&id, None),
                _ => EndpointCommand::Drop(id.as_str().into()),
            });
            let after = state.routing();
            // A gateway that has the current version must have the current list.
            after.endpoints_version() > before.1 || after.list() == before.0
        })
    }
}
