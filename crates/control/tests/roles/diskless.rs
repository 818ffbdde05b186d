//! Tests control with some instances that have no disk.
//!
//! The platform starts control on some of its instances, and of 16 only five had a disk. The others rejected their
//! settings and were restarted 1,500 times a day. Now they replicate from the instances with a disk, without a vote.

use std::collections::BTreeSet;

use hinge_cases::async_cases;

use crate::fleet::{Fleet, pause};

/// Sends a table to one instance until it is accepted.
async fn put_table_until_accepted(fleet: &Fleet, name: &str, number: u64) {
    while !fleet.try_put_table(name, number).await {
        pause().await;
    }
}

/// Waits until an instance serves a table to a gateway.
async fn wait_until_served(fleet: &Fleet, name: &str, number: u64) {
    while !fleet.serves_newer_table(name, number).await {
        pause().await;
    }
}

/// Waits until exactly these instances are voters.
async fn wait_for_voters(fleet: &Fleet, names: &[&str]) {
    let wanted: BTreeSet<&str> = names.iter().copied().collect();
    loop {
        let control = fleet.status().await.control;
        let voters = control.iter().filter(|instance| instance.voter);
        let voters: BTreeSet<&str> = voters.map(|instance| &*instance.instance).collect();
        if voters == wanted {
            return;
        }
        pause().await;
    }
}

/// Waits until the log has this many members, voters and learners together.
async fn wait_for_member_count(fleet: &Fleet, count: usize) {
    while fleet.status().await.control.len() != count {
        pause().await;
    }
}

async_cases! { real
    an_instance_without_a_disk_follows_and_forwards => {
        let mut fleet = Fleet::start_tolerating(3, 1).await;
        fleet.open_diskless("control-3", false).await;
        fleet.open_diskless("control-4", false).await;
        put_table_until_accepted(&fleet, "control-3", 1).await;
        wait_until_served(&fleet, "control-4", 1).await;
        wait_for_voters(&fleet, &["control-0", "control-1", "control-2"]).await;
    }
    founders_without_a_disk_are_replaced_as_voters => {
        let mut fleet = Fleet::new_unstarted(3, 1);
        for name in ["control-0", "control-1", "control-2"] {
            fleet.open_diskless(name, true).await;
        }
        for name in ["control-3", "control-4", "control-5"] {
            fleet.open(name, false).await;
        }
        put_table_until_accepted(&fleet, "control-0", 1).await;
        wait_for_voters(&fleet, &["control-3", "control-4", "control-5"]).await;
        wait_until_served(&fleet, "control-2", 1).await;
    }
    acknowledged_changes_survive_the_loss_of_all_diskless_instances => {
        let mut fleet = Fleet::new_unstarted(3, 1);
        fleet.open("control-0", true).await;
        fleet.open_diskless("control-1", true).await;
        fleet.open_diskless("control-2", true).await;
        fleet.open("control-3", false).await;
        fleet.open("control-4", false).await;
        put_table_until_accepted(&fleet, "control-1", 1).await;
        fleet.stop("control-1").await;
        fleet.stop("control-2").await;
        wait_until_served(&fleet, "control-3", 1).await;
        put_table_until_accepted(&fleet, "control-4", 2).await;
    }
    diskless_founders_rejoin_the_fleet_after_all_instances_restart => {
        let mut fleet = Fleet::new_unstarted(2, 1);
        fleet.open_diskless("control-0", true).await;
        fleet.open_diskless("control-1", true).await;
        for name in ["control-2", "control-3", "control-4"] {
            fleet.open(name, false).await;
        }
        put_table_until_accepted(&fleet, "control-0", 1).await;
        wait_for_voters(&fleet, &["control-2", "control-3", "control-4"]).await;
        wait_for_member_count(&fleet, 5).await;
        let names: Vec<Box<str>> = fleet.running.keys().cloned().collect();
        for name in &names {
            fleet.stop(name).await;
        }
        // Processes are configured with the addresses of the first two instances, which have lost all their state.
        fleet.open_diskless("control-0", false).await;
        fleet.open_diskless("control-1", false).await;
        for name in ["control-2", "control-3", "control-4"] {
            fleet.open(name, false).await;
        }
        wait_until_served(&fleet, "control-0", 1).await;
        put_table_until_accepted(&fleet, "control-1", 2).await;
        wait_for_voters(&fleet, &["control-2", "control-3", "control-4"]).await;
    }
    all_diskless_instances_rejoin_after_losing_power_together => {
        // All of them lose power, and come back without state at the same moment.
        let mut fleet = Fleet::start_tolerating(3, 1).await;
        let diskless: Vec<String> = (3..9).map(|n| format!("control-{n}")).collect();
        for name in &diskless {
            fleet.open_diskless(name, false).await;
        }
        put_table_until_accepted(&fleet, "control-0", 1).await;
        wait_for_member_count(&fleet, 9).await;
        for name in &diskless {
            fleet.stop(name).await;
        }
        for name in &diskless {
            fleet.open_diskless(name, false).await;
        }
        put_table_until_accepted(&fleet, "control-0", 2).await;
        for name in &diskless {
            wait_until_served(&fleet, name, 2).await;
        }
    }
    a_fleet_without_any_disk_accepts_changes => {
        let mut fleet = Fleet::new_unstarted(3, 1);
        for name in ["control-0", "control-1", "control-2"] {
            fleet.open_diskless(name, true).await;
        }
        put_table_until_accepted(&fleet, "control-0", 1).await;
        fleet.stop("control-0").await;
        put_table_until_accepted(&fleet, "control-1", 2).await;
        fleet.open_diskless("control-0", false).await;
        wait_until_served(&fleet, "control-0", 2).await;
    }
}
