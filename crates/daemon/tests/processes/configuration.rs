//! Tests of configuration changes while instances are killed, frozen and restarted.

use futures::future::join;
use hinge_cases::async_cases;
use hinge_schema::messages::{ApplyReply, ConfigFile, Status};

use crate::operator::{new_team_file, numbered_file};
use crate::running_fleet::{FleetLayout, RunningFleet, fast_endpoint};

/// Changes that are made before every process is restarted.
const CHANGES_BEFORE_RESTART: u64 = 300;

async fn start() -> RunningFleet {
    let sidecars = &[("forecast", fast_endpoint()), ("surf-api", fast_endpoint())];
    RunningFleet::open(FleetLayout {
        control: 3,
        entries: 2,
        sidecars,
        ..FleetLayout::default()
    })
    .await
}

/// Checks that both entries accept the new team's key, and that both pools run its requests.
async fn assert_new_team_is_served(fleet: &mut RunningFleet) {
    for entry in 0..fleet.entries.len() {
        let caller = fleet.caller(entry, "demo-key-new").await;
        let begun = fleet.begun();
        let answer = caller.stream(2).await;
        assert!(answer.is_whole_stream(2), "{answer:?}");
        let answer = caller.post_with(&[("x-idempotent", "true")]).await;
        assert!(answer.status.is_success(), "{answer:?}");
        assert_eq!(fleet.begun(), begun + 2);
    }
}

async fn until_serving(fleet: &mut RunningFleet) {
    for entry in 0..fleet.entries.len() {
        let caller = fleet.caller(entry, "demo-key-small").await;
        caller.until_served().await;
        caller.until_posted().await;
    }
}

/// Returns whether there are three voters, and every member has the whole committed log.
fn is_fully_replicated(status: &Status) -> bool {
    let voters = status.control.iter().filter(|one| one.voter);
    let behind = status
        .control
        .iter()
        .filter(|one| one.matched_index < status.commit_index);
    voters.count() == 3 && behind.count() == 0
}

/// Returns the node id under which an instance votes.
fn voter_id(status: &Status, name: &str) -> Option<u64> {
    let mut voters = status.control.iter().filter(|one| one.voter);
    let voter = voters.find(|one| &*one.instance == name);
    voter.map(|voter| voter.node_id)
}

async_cases! { real
    of_two_changes_on_one_version_exactly_one_wins => {
        let fleet = start().await;
        let (one, two) = (fleet.setup.operator(0), fleet.setup.operator(1));
        let base = fleet.version;
        let (one_put, two_put) = (numbered_file("one", 1), numbered_file("two", 2));
        let replies = join(one.propose("one", base, one_put.clone()), two.propose("two", base, two_put.clone())).await;
        let (accepted, conflict, winner) = match replies {
            (ApplyReply::Accepted(accepted), ApplyReply::Conflict(conflict)) => (accepted, conflict, ("one", "tester", one_put)),
            (ApplyReply::Conflict(conflict), ApplyReply::Accepted(accepted)) => (accepted, conflict, ("two", "rival", two_put)),
            other => panic!("exactly one change wins, not {other:?}"),
        };
        assert_eq!((accepted.version, accepted.resent), (base + 1, false));
        assert_eq!((conflict.base_version, conflict.current_version), (base, base + 1));
        let reported = (&*conflict.winner_change_id, &*conflict.winner_operator, conflict.winner_put);
        assert_eq!(reported, winner);
    }

    a_resent_change_gets_its_first_answer_from_every_instance => {
        let fleet = start().await;
        let operator = fleet.setup.operator(0);
        let first = operator.apply("first", fleet.version, numbered_file("first", 1)).await;
        let second = operator.apply("second", first, numbered_file("second", 2)).await;
        for idx in 0..3 {
            let reply = operator.propose_at(idx, "first", fleet.version, numbered_file("first", 1)).await;
            let Ok(ApplyReply::Accepted(accepted)) = reply else {
                panic!("the first answer is an acceptance, not {reply:?}");
            };
            assert_eq!((accepted.version, accepted.resent), (first, true));
            assert_eq!(operator.version_at(idx).await, Some(second));
        }
    }

    an_accepted_change_comes_into_force_everywhere_and_survives_a_partition => {
        let mut fleet = start().await;
        until_serving(&mut fleet).await;
        let operator = fleet.setup.operator(0);
        let old_leader = operator.leader().await;
        fleet.control[old_leader].freeze();
        let version = operator.apply("new-team", fleet.version, new_team_file()).await;
        fleet.in_force(version).await;
        assert_new_team_is_served(&mut fleet).await;
        fleet.control[old_leader].thaw();
        let late = operator.propose_at(old_leader, "late", fleet.version, numbered_file("late", 1)).await;
        assert!(!matches!(late, Ok(ApplyReply::Accepted(_))), "{late:?}");
        assert!(operator.version_at(old_leader).await.is_none_or(|reported| reported == version));
        fleet.sidecars[0].freeze();
        let next = operator.apply("next", version, numbered_file("next", 1)).await;
        fleet.sidecars[0].thaw();
        fleet.in_force(next).await;
        assert_new_team_is_served(&mut fleet).await;
        fleet.assert_versions_rose().await;
    }

    hundreds_of_changes_survive_the_restart_of_every_process => {
        let mut fleet = start().await;
        let operator = fleet.setup.operator(0);
        let mut version = operator.apply("new-team", fleet.version, new_team_file()).await;
        for change in 0..CHANGES_BEFORE_RESTART {
            version = operator.apply(&format!("change-{change}"), version, numbered_file("changed", change)).await;
        }
        assert_eq!(version, fleet.version + 1 + CHANGES_BEFORE_RESTART);
        fleet.in_force(version).await;
        fleet.assert_versions_rose().await;
        fleet.restart_all().await;
        fleet.in_force(version).await;
        for idx in 0..3 {
            fleet.control[idx].wait_for_log("Listening.").await;
        }
        operator.until_status(is_fully_replicated).await;
        until_serving(&mut fleet).await;
        assert_new_team_is_served(&mut fleet).await;
        assert_eq!(operator.apply("last", version, numbered_file("last", 1)).await, version + 1);
    }

    a_second_instance_lost_right_after_a_repair_loses_no_change => {
        let mut fleet = start().await;
        let operator = fleet.setup.operator(0);
        let mut version = operator.apply("new-team", fleet.version, new_team_file()).await;
        for lost in [0, 1, 2] {
            let name = format!("control-{lost}");
            let voter_id_now = |status: &Status| voter_id(status, &name);
            let status = operator.until_status(|status| is_fully_replicated(status) && voter_id_now(status).is_some()).await;
            let lost_id = voter_id_now(&status);
            let put: Vec<ConfigFile> = numbered_file(&format!("lost-{lost}"), 1);
            version = operator.apply(&format!("before-{lost}"), version, put).await;
            fleet.control[lost].kill().await;
            fleet.setup.delete_data_folder(lost);
            fleet.control[lost].restart();
            // The repair is done when the instance votes under a new node id in place of the lost one.
            operator.until_status(|status| {
                is_fully_replicated(status) && voter_id_now(status).is_some() && voter_id_now(status) != lost_id
            }).await;
        }
        assert_eq!(operator.until_status(is_fully_replicated).await.config_version, version);
        fleet.restart_all().await;
        fleet.in_force(version).await;
        until_serving(&mut fleet).await;
        assert_new_team_is_served(&mut fleet).await;
    }
}
