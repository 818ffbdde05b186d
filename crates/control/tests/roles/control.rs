//! Tests control instances in one process, over sockets and folders.

use crate::fleet::{Fleet, announce, change, pause, team, wait_for};
use hinge_cases::async_cases;
use hinge_link::CallError;
use hinge_schema::messages::{
    Announced, Apply, ApplyReply, AskHistory, AskStatus, ConfigDelta, HistoryReply, Status,
    StatusReply, Update, Watch,
};

fn watch(config_version: u64, epoch: u64, version: u64) -> Watch {
    Watch {
        instance: "sidecar-1".into(),
        config_version,
        members_epoch: epoch,
        members_version: version,
        wait_ms: 20_000,
        pools: Vec::new(),
    }
}

fn version(reply: &ApplyReply) -> u64 {
    match reply {
        ApplyReply::Accepted(accepted) => accepted.version,
        other => panic!("accepted, not {other:?}"),
    }
}

/// Watches an instance until a configuration arrives, as a new process does.
async fn next_config(fleet: &Fleet, name: &str) -> ConfigDelta {
    let mut asked = watch(0, 0, 0);
    loop {
        let update: Update = fleet
            .call(name, "/v1/watch", &asked)
            .await
            .expect("the watch is answered");
        if let Some(config) = update.config {
            return config;
        }
        if let Some(members) = update.members {
            (asked.members_epoch, asked.members_version) = (members.epoch, members.version);
        }
    }
}

/// Waits until an instance is a voter.
async fn wait_until_voter(fleet: &Fleet, node_id: u64) {
    let is_voter = |status: Status| {
        let mut control = status.control.into_iter();
        control.any(|instance| instance.node_id == node_id && instance.voter)
    };
    while !is_voter(fleet.status().await) {
        pause().await;
    }
}

async_cases! { real
    a_change_at_a_follower_reaches_a_watcher_at_another => {
        let fleet = Fleet::start(3).await;
        let (leader, follower) = (fleet.leader().await, fleet.follower().await);
        let waiting = next_config(&fleet, &leader);
        let applied = async {
            let first = change("one", 0, vec![team("surf", 3)]);
            assert_eq!(version(&fleet.apply(&first).await), 1);
            let again: ApplyReply = fleet.call_operator(&follower, "apply", &first).await;
            assert!(matches!(again, ApplyReply::Accepted(accepted) if accepted.resent && accepted.version == 1));
        };
        let (config, ()) = futures::join!(waiting, applied);
        assert_eq!((config.base_version, config.version), (0, 1));
    }
    an_announcement_at_a_follower_is_seen_at_every_instance => {
        let fleet = Fleet::start(3).await;
        let follower = fleet.follower().await;
        let announced: Announced = fleet.call(&follower, "/v1/announce", &announce("sidecar-1", 1)).await.expect("the leader answers");
        assert!(announced.lease_ms > 0 && announced.fence > 0);
        for name in fleet.running.keys() {
            let mut asked = watch(u64::MAX, 0, 0);
            loop {
                let update: Update = fleet.call(name, "/v1/watch", &asked).await.expect("the watch is answered");
                let Some(members) = update.members else { continue };
                if members.put.iter().any(|member| *member.instance == *"sidecar-1") {
                    break;
                }
                (asked.members_epoch, asked.members_version) = (members.epoch, members.version);
            }
        }
    }
    a_stopped_leader_hands_over_and_loses_nothing => {
        let mut fleet = Fleet::start(3).await;
        let leader = fleet.leader().await;
        assert_eq!(version(&fleet.apply(&change("one", 0, vec![team("surf", 3)])).await), 1);
        let stopped = fleet.stop(&leader).await;
        assert!(stopped.log_ended);
        assert_eq!(version(&fleet.apply(&change("two", 1, vec![team("board", 3)])).await), 2);
        let again = fleet.apply(&change("one", 0, vec![team("surf", 3)])).await;
        assert!(matches!(again, ApplyReply::Accepted(accepted) if accepted.resent && accepted.version == 1));
    }
    an_isolated_instance_answers_nothing_as_current => {
        let fleet = Fleet::start(3).await;
        let leader = fleet.leader().await;
        assert_eq!(version(&fleet.apply(&change("one", 0, vec![team("surf", 3)])).await), 1);
        fleet.net.isolate(&leader);
        wait_for(|| !fleet.running[&leader].is_ready()).await;
        let asked = fleet.call::<_, Announced>(&leader, "/v1/announce", &announce("sidecar-1", 1)).await;
        assert!(matches!(asked, Err(CallError::Status(status)) if status == 503));
        let asked = fleet.call::<_, Update>(&leader, "/v1/watch", &watch(0, 0, 0)).await;
        assert!(matches!(asked, Err(CallError::Status(status)) if status == 503));
        let status = AskStatus { wait_version: 0, wait_ms: 0 };
        let reply: StatusReply = fleet.call_operator(&leader, "status", &status).await;
        assert!(matches!(reply, StatusReply::Unavailable(_)));
        let reply: ApplyReply = fleet.call_operator(&leader, "apply", &change("two", 1, vec![team("board", 1)])).await;
        assert!(matches!(reply, ApplyReply::Unavailable(_)));
        fleet.net.heal(&leader);
        wait_for(|| fleet.running[&leader].is_ready()).await;
        assert_eq!(version(&fleet.apply(&change("two", 1, vec![team("board", 1)])).await), 2);
    }
    the_name_of_an_operator_comes_from_the_key => {
        let fleet = Fleet::start(1).await;
        let claimed = Apply { operator: "somebody else".into(), ..change("one", 0, vec![team("surf", 1)]) };
        fleet.apply(&claimed).await;
        let ask = AskHistory { before_version: 0, limit: 5 };
        let HistoryReply::History(history) = fleet.call_operator("control-0", "history", &ask).await else { panic!("it is current") };
        assert_eq!((history.entries.len(), &*history.entries[0].operator), (1, "ana"));
    }
    the_cluster_key_does_not_authorise_operator_calls => {
        let fleet = Fleet::start(1).await;
        let status = AskStatus { wait_version: 0, wait_ms: 0 };
        for path in ["/v1/operator/status", "/v1/forwarded/operator/status"] {
            let asked = fleet.call::<_, StatusReply>("control-0", path, &status).await;
            assert!(matches!(asked, Err(CallError::Status(status)) if status == 401));
        }
    }
    hundreds_of_changes_survive_a_restart_of_every_instance => {
        let mut fleet = Fleet::start(3).await;
        for number in 0..300 {
            let reply = fleet.apply(&change(&format!("change-{number}"), number, vec![team("surf", 1 + number)])).await;
            assert_eq!(version(&reply), number + 1);
        }
        let names: Vec<_> = fleet.running.keys().cloned().collect();
        for name in &names {
            fleet.stop(name).await;
        }
        for name in &names {
            fleet.open(name, false).await;
        }
        let again = fleet.apply(&change("change-7", 7, vec![team("surf", 8)])).await;
        assert!(matches!(again, ApplyReply::Accepted(accepted) if accepted.resent && accepted.version == 8));
        let late = fleet.apply(&change("late", 299, vec![team("board", 1)])).await;
        let ApplyReply::Conflict(conflict) = late else { panic!("a conflict, not {late:?}") };
        assert_eq!((conflict.current_version, &*conflict.winner_change_id), (300, "change-299"));
        // An instance that lost its folder is sent the state as a snapshot, since the log is truncated.
        let lost = fleet.follower().await;
        fleet.stop(&lost).await;
        std::fs::remove_dir_all(fleet.path(&lost)).expect("the folder can be removed");
        fleet.open(&lost, false).await;
        wait_for(|| fleet.running[&lost].config_version() == 300).await;
    }
    a_second_instance_may_be_lost_right_after_a_repair => {
        let mut fleet = Fleet::start(3).await;
        for number in 0..5 {
            fleet.apply(&change(&format!("change-{number}"), number, vec![team("surf", 1 + number)])).await;
        }
        let lost = fleet.follower().await;
        let lost_id = fleet.running[&lost].node_id();
        fleet.stop(&lost).await;
        std::fs::remove_dir_all(fleet.path(&lost)).expect("the folder can be removed");
        // The settings of the first start still apply, but the instance must not start afresh.
        fleet.open(&lost, true).await;
        assert_ne!(fleet.running[&lost].node_id(), lost_id);
        let repaired = fleet.running[&lost].node_id();
        loop {
            let leader = fleet.leader().await;
            let status = AskStatus { wait_version: 0, wait_ms: 0 };
            if let StatusReply::Status(status) = fleet.call_operator(&leader, "status", &status).await
                && status.control.len() == 3
                && status.control.iter().any(|instance| instance.node_id == repaired && instance.voter)
            {
                break;
            }
            pause().await;
        }
        let second = fleet.running.keys().find(|name| **name != lost).expect("two others run").clone();
        fleet.stop(&second).await;
        assert_eq!(version(&fleet.apply(&change("after", 5, vec![team("board", 2)])).await), 6);
        let again = fleet.apply(&change("change-3", 3, vec![team("surf", 4)])).await;
        assert!(matches!(again, ApplyReply::Accepted(accepted) if accepted.resent && accepted.version == 4));
    }
    an_instance_at_a_new_address_replaces_a_lost_one => {
        let mut fleet = Fleet::start(3).await;
        fleet.apply(&change("before", 0, vec![team("surf", 1)])).await;
        let gone = fleet.follower().await;
        fleet.stop(&gone).await;
        fleet.open("control-new", false).await;
        let new_id = fleet.running["control-new"].node_id();
        wait_until_voter(&fleet, new_id).await;
        // There are three voters again, so one of the other two may be lost.
        let second = fleet.running.keys().find(|name| &***name != "control-new").expect("two others run").clone();
        fleet.stop(&second).await;
        assert_eq!(version(&fleet.apply(&change("after", 1, vec![team("board", 2)])).await), 2);
        // The replaced instance comes back after all, and waits to become a voter.
        fleet.open(&gone, false).await;
        let back_id = fleet.running[&gone].node_id();
        wait_until_voter(&fleet, back_id).await;
    }
    more_voters_than_founders_tolerate_the_loss_of_two_disks => {
        // The settings name three founders; two simultaneous losses need five voters.
        let mut fleet = Fleet::start_tolerating(3, 2).await;
        for name in ["control-3", "control-4", "control-5"] {
            fleet.open(name, false).await;
        }
        let voters = loop {
            let status = fleet.status().await;
            let voters = status.control.iter().filter(|instance| instance.voter).count();
            if status.control.len() == 6 && voters >= 5 {
                break voters;
            }
            pause().await;
        };
        assert_eq!(voters, 5, "an even number of voters tolerates no more losses than one less");
        assert_eq!(version(&fleet.apply(&change("before", 0, vec![team("surf", 1)])).await), 1);
        let leader = fleet.leader().await;
        let lost: Vec<Box<str>> = fleet.status().await.control.iter()
            .filter(|instance| instance.voter && instance.instance != leader)
            .map(|instance| instance.instance.clone())
            .take(2)
            .collect();
        for name in &lost {
            fleet.stop(name).await;
            std::fs::remove_dir_all(fleet.path(name)).expect("the folder can be removed");
        }
        assert_eq!(version(&fleet.apply(&change("after", 1, vec![team("board", 2)])).await), 2);
    }
}
