//! Changes the configuration while instances are lost, frozen and restarted.

use futures::future::join;
use hinge_cases::async_cases;
use hinge_schema::messages::{ApplyReply, ConfigFile, Status};

use crate::operator::{new_team, numbered};
use crate::started::{Plan, Started, fast};

/// Changes after which every process restarts.
const MANY: u64 = 300;

async fn start() -> Started {
    let sidecars = &[("forecast", fast()), ("surf-api", fast())];
    Started::open(Plan {
        control: 3,
        entries: 2,
        sidecars,
        ..Plan::default()
    })
    .await
}

/// Checks that both entries take the new team's key, and both pools run its requests.
async fn assert_new_team_is_served(started: &mut Started) {
    for entry in 0..started.entries.len() {
        let caller = started.caller(entry, "demo-key-new").await;
        let begun = started.begun();
        let answer = caller.stream(2).await;
        assert!(answer.is_whole_stream(2), "{answer:?}");
        let answer = caller.post_with(&[("x-idempotent", "true")]).await;
        assert!(answer.status.is_success(), "{answer:?}");
        assert_eq!(started.begun(), begun + 2);
    }
}

async fn until_serving(started: &mut Started) {
    for entry in 0..started.entries.len() {
        let caller = started.caller(entry, "demo-key-small").await;
        caller.until_served().await;
        caller.until_posted().await;
    }
}

/// Returns whether every voter is in touch and holds the whole log.
fn is_whole(status: &Status) -> bool {
    let voters = status.control.iter().filter(|one| one.voter);
    let behind = status
        .control
        .iter()
        .filter(|one| one.matched_index < status.commit_index);
    voters.count() == 3 && behind.count() == 0
}

/// Returns the incarnation under which an instance counts.
fn id_of(status: &Status, name: &str) -> Option<u64> {
    let mut voters = status.control.iter().filter(|one| one.voter);
    let voter = voters.find(|one| &*one.instance == name);
    voter.map(|voter| voter.node_id)
}

async_cases! { real
    of_two_changes_on_one_version_exactly_one_wins => {
        let started = start().await;
        let (one, two) = (started.fleet.operator(0), started.fleet.operator(1));
        let base = started.version;
        let (one_put, two_put) = (numbered("one", 1), numbered("two", 2));
        let replies = join(one.propose("one", base, one_put.clone()), two.propose("two", base, two_put.clone())).await;
        let (accepted, conflict, winner) = match replies {
            (ApplyReply::Accepted(accepted), ApplyReply::Conflict(conflict)) => (accepted, conflict, ("one", "tester", one_put)),
            (ApplyReply::Conflict(conflict), ApplyReply::Accepted(accepted)) => (accepted, conflict, ("two", "rival", two_put)),
            other => panic!("exactly one change wins, not {other:?}"),
        };
        assert_eq!((accepted.version, accepted.resent), (base + 1, false));
        assert_eq!((conflict.base_version, conflict.current_version), (base, base + 1));
        let told = (&*conflict.winner_change_id, &*conflict.winner_operator, conflict.winner_put);
        assert_eq!(told, winner);
    }

    a_resent_change_gets_its_first_answer_from_every_instance => {
        let started = start().await;
        let operator = started.fleet.operator(0);
        let first = operator.apply("first", started.version, numbered("first", 1)).await;
        let second = operator.apply("second", first, numbered("second", 2)).await;
        for idx in 0..3 {
            let reply = operator.propose_at(idx, "first", started.version, numbered("first", 1)).await;
            let Ok(ApplyReply::Accepted(accepted)) = reply else {
                panic!("the first answer is an acceptance, not {reply:?}");
            };
            assert_eq!((accepted.version, accepted.resent), (first, true));
            assert_eq!(operator.version_at(idx).await, Some(second));
        }
    }

    an_accepted_change_is_in_force_everywhere_and_outlives_a_silent_partition => {
        let mut started = start().await;
        until_serving(&mut started).await;
        let operator = started.fleet.operator(0);
        let old_leader = operator.leader().await;
        started.control[old_leader].freeze();
        let version = operator.apply("new-team", started.version, new_team()).await;
        started.in_force(version).await;
        assert_new_team_is_served(&mut started).await;
        started.control[old_leader].thaw();
        let late = operator.propose_at(old_leader, "late", started.version, numbered("late", 1)).await;
        assert!(!matches!(late, Ok(ApplyReply::Accepted(_))), "{late:?}");
        assert!(operator.version_at(old_leader).await.is_none_or(|told| told == version));
        started.sidecars[0].freeze();
        let next = operator.apply("next", version, numbered("next", 1)).await;
        started.sidecars[0].thaw();
        started.in_force(next).await;
        assert_new_team_is_served(&mut started).await;
        started.assert_versions_rose().await;
    }

    hundreds_of_changes_outlive_the_restart_of_every_process => {
        let mut started = start().await;
        let operator = started.fleet.operator(0);
        let mut version = operator.apply("new-team", started.version, new_team()).await;
        for change in 0..MANY {
            version = operator.apply(&format!("change-{change}"), version, numbered("changed", change)).await;
        }
        assert_eq!(version, started.version + 1 + MANY);
        started.in_force(version).await;
        started.assert_versions_rose().await;
        started.restart_all().await;
        started.in_force(version).await;
        for idx in 0..3 {
            started.control[idx].wait_for_log("Listening.").await;
        }
        operator.until_status(is_whole).await;
        until_serving(&mut started).await;
        assert_new_team_is_served(&mut started).await;
        assert_eq!(operator.apply("last", version, numbered("last", 1)).await, version + 1);
    }

    a_second_instance_lost_right_after_a_repair_loses_no_change => {
        let mut started = start().await;
        let operator = started.fleet.operator(0);
        let mut version = operator.apply("new-team", started.version, new_team()).await;
        for lost in [0, 1, 2] {
            let name = format!("control-{lost}");
            let named = |status: &Status| id_of(status, &name);
            let status = operator.until_status(|status| is_whole(status) && named(status).is_some()).await;
            let old_id = named(&status);
            let put: Vec<ConfigFile> = numbered(&format!("lost-{lost}"), 1);
            version = operator.apply(&format!("before-{lost}"), version, put).await;
            started.control[lost].kill().await;
            started.fleet.lose_folder(lost);
            started.control[lost].restart();
            // Repaired means that a new incarnation counts in the place of the lost one.
            operator.until_status(|status| {
                is_whole(status) && named(status).is_some() && named(status) != old_id
            }).await;
        }
        assert_eq!(operator.until_status(is_whole).await.config_version, version);
        started.restart_all().await;
        started.in_force(version).await;
        until_serving(&mut started).await;
        assert_new_team_is_served(&mut started).await;
    }
}
