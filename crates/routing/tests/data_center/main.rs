//! Replays hot teams on the gateways of one data centre, in virtual time.
//!
//! The load pattern: all callers of one team come to one small gateway, and those of another team to all of them. Engines have room, and
//! yet the first team had a fifth of what the second one had: 1.84 M of 20.3 M tokens in six seconds beside 6.53 M.

mod model;

use hinge_cases::cases;

use model::{DataCenter, LARGE_US_PER_MS, SMALL_US_PER_MS, Team};

/// Returns a data centre of fourteen gateways, of which one is large.
fn data_center(teams: &[Team]) -> DataCenter {
    let mut gateways = [SMALL_US_PER_MS; 14];
    gateways[0] = LARGE_US_PER_MS;
    DataCenter::new(&gateways, teams)
}

/// Describes a team whose callers come to all gateways.
fn spread(requests_per_s: u64) -> Team {
    Team {
        name: "spread",
        from_ms: 0,
        requests_per_s,
        callers: 200,
    }
}

/// Describes a team whose callers come to one gateway at a time.
fn concentrated(name: &'static str, requests_per_s: u64) -> Team {
    Team {
        name,
        from_ms: 2_000,
        requests_per_s,
        callers: 1,
    }
}

fn shares_hold(teams: &[Team]) {
    let mut data_center = data_center(teams);
    data_center.play(20_000);
    data_center.check_owed(3);
}

cases! { shares_hold:
    a_team_behind_one_gateway_beside_a_spread_one => &[spread(330), concentrated("concentrated", 500)],
    a_flood_behind_one_gateway_beside_a_spread_team => &[spread(330), concentrated("concentrated", 900)],
    two_teams_behind_one_gateway_each_beside_a_spread_one => &[
        spread(330),
        concentrated("first", 400),
        concentrated("second", 450),
    ],
}
