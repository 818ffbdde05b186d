//! Tests control while its instances are partitioned into two sides.
//!
//! Guards against a quorum on the smaller side only. Seven instances were partitioned for seven seconds. Five of them were
//! voters, whichever had caught up first, and three of the five were on the side with three instances, which went on and
//! accepted 20 route tables. The other side had four instances, two of them voters, and no leader. The gateways on its machines
//! reached only those four, and routed by the old table until the partition healed: a new route got 404, a moved route its old
//! target. The gateways of all other machines followed within a second.

use std::collections::BTreeSet;

use hinge_cases::async_cases;

use crate::fleet::{Fleet, pause};

/// Attempts after which a side has no leader; an election takes some 200 of them, 5 ms apart.
const MAX_ATTEMPTS: usize = 3_000;

/// Consecutive polls without a membership change after which the membership counts as settled.
const SETTLED_POLLS: usize = 300;

/// Starts seven instances that tolerate two losses, and waits until the membership has settled.
async fn start_seven() -> Fleet {
    let mut fleet = Fleet::start_tolerating(3, 2).await;
    for name in ["control-3", "control-4", "control-5", "control-6"] {
        fleet.open(name, false).await;
    }
    let (mut voters, mut polls) = (0, 0);
    while polls < SETTLED_POLLS {
        let control = fleet.status().await.control;
        let counted = control.iter().filter(|instance| instance.voter).count();
        let is_unchanged = control.len() == 7 && counted == voters;
        polls = if is_unchanged { polls + 1 } else { 0 };
        voters = counted;
        pause().await;
    }
    fleet
}

/// Returns the smaller side of the partition: the leader and two other voters.
async fn leader_and_two_voters(fleet: &Fleet) -> BTreeSet<Box<str>> {
    let leader = fleet.leader().await;
    let control = fleet.status().await.control;
    let voters = control.into_iter().filter(|instance| instance.voter);
    let voters = voters.map(|instance| instance.instance);
    let mut others: Vec<Box<str>> = voters.filter(|name| *name != leader).collect();
    others.truncate(2);
    others.into_iter().chain([leader]).collect()
}

/// Sends a table to both sides of the partition, as an operator may, and returns whether any instance accepted it.
async fn put_table_anywhere(fleet: &Fleet, number: u64) -> bool {
    for _ in 0..MAX_ATTEMPTS {
        for name in fleet.running.keys() {
            if fleet.try_put_table(name, number).await {
                return true;
            }
        }
        pause().await;
    }
    false
}

/// Returns whether a gateway that reaches only some instances receives a table.
async fn is_table_served(fleet: &Fleet, reached: &[&str], number: u64) -> bool {
    for _ in 0..MAX_ATTEMPTS {
        for name in reached {
            if fleet.serves_newer_table(name, number).await {
                return true;
            }
        }
        pause().await;
    }
    false
}

async_cases! { real
    a_change_takes_effect_on_the_larger_side => {
        let fleet = start_seven().await;
        assert!(put_table_anywhere(&fleet, 1).await, "control accepts a table before the partition");
        let smaller = leader_and_two_voters(&fleet).await;
        let all = || fleet.running.keys().map(|name| &**name);
        let larger: Vec<&str> = all().filter(|name| !smaller.contains(*name)).collect();
        assert_eq!((smaller.len(), larger.len()), (3, 4));
        fleet.net.split(&smaller);
        assert!(put_table_anywhere(&fleet, 2).await, "one side accepts a table");
        assert!(is_table_served(&fleet, &larger, 2).await, "the larger side serves the accepted table");
        fleet.net.split(&BTreeSet::new());
        assert!(put_table_anywhere(&fleet, 3).await, "control accepts a table after the partition");
        for name in all() {
            assert!(is_table_served(&fleet, &[name], 3).await, "{name} serves the table");
        }
    }
}
