//! Simulates hot teams at the gateways of one data centre, in virtual time.
//!
//! Guards against a team that is starved at its gateway: all callers of one team connect to one small
//! gateway, and those of another team to all of them. Although engines had capacity, the first team got a
//! fifth of the second one's tokens: 1.84 M of 20.3 M tokens in six seconds beside 6.53 M.

mod model;

use hinge_cases::cases;

use model::{DataCenter, LARGE_US_PER_MS, SMALL_US_PER_MS, Team};

/// Returns a data centre with fourteen gateways, one of them large.
fn data_center(teams: &[Team]) -> DataCenter {
    let mut gateways = [SMALL_US_PER_MS; 14];
    gateways[0] = LARGE_US_PER_MS;
    DataCenter::new(&gateways, teams)
}

/// Returns a team whose callers connect to all gateways.
fn spread(requests_per_s: u64) -> Team {
    Team {
        name: "spread",
        start_ms: 0,
        requests_per_s,
        callers: 200,
    }
}

/// Returns a team whose callers connect to one gateway at a time.
fn on_one_gateway(name: &'static str, requests_per_s: u64) -> Team {
    Team {
        name,
        start_ms: 2_000,
        requests_per_s,
        callers: 1,
    }
}

fn teams_get_their_shares(teams: &[Team]) {
    let mut data_center = data_center(teams);
    data_center.run(20_000);
    data_center.check_fair_shares(3);
}

cases! { teams_get_their_shares:
    a_team_on_one_gateway_beside_a_spread_team => &[spread(330), on_one_gateway("concentrated", 500)],
    a_flood_on_one_gateway_beside_a_spread_team => &[spread(330), on_one_gateway("concentrated", 900)],
    two_teams_on_one_gateway_each_beside_a_spread_team => &[
        spread(330),
        on_one_gateway("first", 400),
        on_one_gateway("second", 450),
    ],
}
