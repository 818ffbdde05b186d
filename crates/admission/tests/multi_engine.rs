//! Replays loads on the queues of several engines, which tell each other late what the teams have used.
//!
//! The load pattern: a team has most of a fleet to itself, and then others ask for more than their shares as well. What it had
//! too much of may be taken back, but in no six seconds may it get less than half of what another hot team gets.

mod model;

use hinge_cases::cases;

use model::{Hot, News, Outage, World, hot};

const BOTH: [News; 2] = [News::AtOnce, News::Late];

fn shares_hold((teams, until_ms): (&[Hot], u64)) {
    let from_ms = teams.iter().map(|team| team.from_ms).max();
    for news in BOTH {
        let world = World::play(teams, &[], news, until_ms);
        world.check_shares(teams, from_ms.expect("there are hot teams"));
    }
}

cases! { shares_hold:
    a_team_that_was_ahead_of_one_other => (&[hot("first", 0, 5, 4_000), hot("second", 5_000, 9, 5_000)], 18_000),
    a_team_that_was_ahead_of_three_others => (
        &[
            hot("first", 0, 5, 4_000),
            hot("second", 5_000, 9, 4_000),
            hot("third", 5_000, 11, 5_000),
            hot("fourth", 5_200, 12, 3_000),
        ],
        18_000,
    ),
    a_team_with_few_asks_beside_one_with_many => (&[hot("first", 0, 4, 4_000), hot("second", 0, 18, 5_500)], 16_000),
    a_team_that_was_ahead_of_five_others => (
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
    teams_that_come_one_after_the_other => (
        &[
            hot("first", 0, 6, 4_000),
            hot("second", 3_000, 8, 4_500),
            hot("third", 6_000, 8, 3_500),
            hot("fourth", 9_000, 8, 4_000),
        ],
        24_000,
    ),
}

fn shares_of_what_is_asked_hold((teams, until_ms): (&[Hot], u64)) {
    for news in BOTH {
        let world = World::play(teams, &[], news, until_ms);
        world.check_owed(teams, 5_000);
    }
}

/// Replays a load while a quarter of the engines is gone for two seconds: their admissions still answer, and their gateways find no
/// connection.
fn shares_hold_in_an_outage((teams, until_ms): (&[Hot], u64)) {
    let cases = BOTH.map(|news| [(news, false), (news, true)]);
    for (news, is_noticed) in cases.into_iter().flatten() {
        let outage = Outage {
            engines: 0..3,
            at_ms: 5_000,
            until_ms: 7_000,
            is_noticed,
        };
        let world = World::play(teams, &[outage], news, until_ms);
        world.check_owed(teams, 1_000);
    }
}

cases! { shares_of_what_is_asked_hold:
    a_team_that_asks_seldom_is_not_refused_for_good_by_one_engine => (
        &[
            hot("seldom", 0, 40, 4_000),
            hot("often", 5_000, 4, 3_000),
            hot("third", 0, 9, 3_000),
            hot("fourth", 0, 11, 3_500),
            hot("fifth", 0, 13, 4_000),
        ],
        12_000,
    ),
    a_team_that_asks_seldom_beside_one_that_asks_often => (
        &[hot("seldom", 0, 13, 4_000), hot("often", 5_000, 3, 3_000)],
        12_000,
    ),
}

/// Returns five hot teams, of which the first one asks most often.
fn hot_teams() -> [Hot; 5] {
    [
        hot("often", 0, 6, 3_000),
        hot("second", 0, 7, 3_500),
        hot("third", 0, 8, 4_000),
        hot("fourth", 0, 9, 4_500),
        hot("fifth", 0, 10, 5_000),
    ]
}

cases! { shares_hold_in_an_outage:
    the_team_that_asks_most_often_does_not_pay_for_engines_that_are_gone => (
        &[&hot_teams()[..], &[hot("small", 0, 25, 4_000)]].concat(),
        12_000,
    ),
    a_team_whose_parts_are_kept_by_engines_that_are_gone => (
        &[&hot_teams()[..], &[Hot { homes: 0..3, ..hot("at-home", 0, 25, 4_000) }]].concat(),
        12_000,
    ),
    a_team_all_of_whose_requests_come_to_one_engine_first => (
        &[&[Hot { homes: 0..1, ..hot("at-home", 0, 40, 4_000) }], &hot_teams()[..]].concat(),
        13_000,
    ),
    a_team_whose_parts_are_kept_by_engines_that_stay => (
        &[&hot_teams()[..], &[Hot { homes: 3..6, ..hot("at-home", 0, 25, 4_000) }]].concat(),
        12_000,
    ),
}
