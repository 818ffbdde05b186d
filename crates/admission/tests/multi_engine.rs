//! Checks fair shares across the queues of several engines that learn each other's team usage with a delay.
//!
//! The case behind these tests: a team has most of the engines to itself, and then others exceed their shares as
//! well. Its lead may be taken back, but over any six seconds it must get at least half the service of every other
//! hot team.

mod model;

use hinge_cases::cases;

use model::{HotTeam, LoadUpdates, Outage, Simulation, hot};

const LOAD_UPDATE_MODES: [LoadUpdates; 2] = [LoadUpdates::Immediate, LoadUpdates::Periodic];

fn hot_teams_get_similar_service((teams, until_ms): (&[HotTeam], u64)) {
    let from_ms = teams.iter().map(|team| team.from_ms).max();
    for load_updates in LOAD_UPDATE_MODES {
        let sim = Simulation::run(teams, &[], load_updates, until_ms);
        sim.assert_similar_service(teams, from_ms.expect("there are hot teams"));
    }
}

cases! { hot_teams_get_similar_service:
    one_other_team_joins_later => (&[hot("first", 0, 5, 4_000), hot("second", 5_000, 9, 5_000)], 18_000),
    three_other_teams_join_later => (
        &[
            hot("first", 0, 5, 4_000),
            hot("second", 5_000, 9, 4_000),
            hot("third", 5_000, 11, 5_000),
            hot("fourth", 5_200, 12, 3_000),
        ],
        18_000,
    ),
    two_teams_with_unequal_request_rates => (&[hot("first", 0, 4, 4_000), hot("second", 0, 18, 5_500)], 16_000),
    five_other_teams_join_later => (
        &[
            hot("first", 0, 5, 4_000),
            hot("second", 5_000, 12, 4_000),
            hot("third", 5_000, 14, 5_000),
            hot("fourth", 5_200, 15, 3_000),
            hot("fifth", 5_200, 12, 3_000),
            hot("sixth", 5_200, 16, 4_500),
        ],
        18_000,
    ),
    teams_join_one_after_the_other => (
        &[
            hot("first", 0, 6, 4_000),
            hot("second", 3_000, 8, 4_500),
            hot("third", 6_000, 8, 3_500),
            hot("fourth", 9_000, 8, 4_000),
        ],
        24_000,
    ),
}

fn teams_get_the_service_owed((teams, until_ms): (&[HotTeam], u64)) {
    for load_updates in LOAD_UPDATE_MODES {
        let sim = Simulation::run(teams, &[], load_updates, until_ms);
        sim.assert_owed_service(teams, 5_000);
    }
}

/// Runs a load while a quarter of the engines is gone for two seconds. Their admissions still answer, but gateways
/// can't connect to the engines.
fn teams_get_the_service_owed_in_an_outage((teams, until_ms): (&[HotTeam], u64)) {
    let cases = LOAD_UPDATE_MODES.map(|load_updates| [(load_updates, false), (load_updates, true)]);
    for (load_updates, is_noticed) in cases.into_iter().flatten() {
        let outage = Outage {
            engines: 0..3,
            at_ms: 5_000,
            until_ms: 7_000,
            is_noticed,
        };
        let sim = Simulation::run(teams, &[outage], load_updates, until_ms);
        sim.assert_owed_service(teams, 1_000);
    }
}

cases! { teams_get_the_service_owed:
    a_low_rate_team_is_not_refused_permanently_by_one_engine => (
        &[
            hot("seldom", 0, 40, 4_000),
            hot("often", 5_000, 4, 3_000),
            hot("third", 0, 9, 3_000),
            hot("fourth", 0, 11, 3_500),
            hot("fifth", 0, 13, 4_000),
        ],
        12_000,
    ),
    a_low_rate_team_beside_a_high_rate_team => (
        &[hot("seldom", 0, 13, 4_000), hot("often", 5_000, 3, 3_000)],
        12_000,
    ),
}

/// Returns five hot teams, of which the first sends most often.
fn hot_teams() -> [HotTeam; 5] {
    [
        hot("often", 0, 6, 3_000),
        hot("second", 0, 7, 3_500),
        hot("third", 0, 8, 4_000),
        hot("fourth", 0, 9, 4_500),
        hot("fifth", 0, 10, 5_000),
    ]
}

cases! { teams_get_the_service_owed_in_an_outage:
    the_team_with_the_highest_rate_is_not_charged_for_gone_engines => (
        &[&hot_teams()[..], &[hot("small", 0, 25, 4_000)]].concat(),
        12_000,
    ),
    a_team_with_prefixes_cached_on_gone_engines => (
        &[&hot_teams()[..], &[HotTeam { cached_on: 0..3, ..hot("at-home", 0, 25, 4_000) }]].concat(),
        12_000,
    ),
    a_team_whose_requests_all_go_to_one_engine_first => (
        &[&[HotTeam { cached_on: 0..1, ..hot("at-home", 0, 40, 4_000) }], &hot_teams()[..]].concat(),
        13_000,
    ),
    a_team_with_prefixes_cached_on_remaining_engines => (
        &[&hot_teams()[..], &[HotTeam { cached_on: 3..6, ..hot("at-home", 0, 25, 4_000) }]].concat(),
        12_000,
    ),
}
