//! Checks control while its instances are cut in two.
//!
//! Seven instances were cut in two for seven seconds. Five of them voted, whichever had been ready first, and three of the
//! five were on the side with three instances: it went on and took in 20 route tables. The other side had four
//! instances, two voters and no leader. The gateways on its machines reached no control but those four, and served by
//! the table from before the cut until its end: a new route got 404, a route that had been moved its old target. The lines
//! of one of them settled it; nothing stands between them, and the gateways of all other machines followed within a second:
//!
//! ```text
//! 09:22.342 san-isidro-2/control info [control] Took a route table. number=29 in_force=29
//! 09:23.507 la-molina-2/control warn [control] A configuration got no answer. number=41 cause="no leader answered in time; ..."
//! 09:25.705 la-molina-2/gateway info [gateway] Request. outcome=complete status=200 attempts=1 table=8
//! 09:28.293 la-molina-2/gateway info [gateway] Following control. address=10.2.0.7:8584
//! 09:28.293 la-molina-2/gateway info [gateway] A route table is in force. number=75 before=8
//! ```

use std::collections::BTreeSet;

use hinge_cases::async_cases;

use crate::fleet::{Fleet, pause};

/// Tries after which a side has no leader: an election takes some 200 of them, each with a pause of 5 ms.
const MAX_ATTEMPTS: usize = 3_000;

/// Looks in a row in which nobody joins or is promoted, after which the members stay as they are.
const SETTLED_POLLS: usize = 300;

/// Starts seven instances, of which two may be lost at once, and waits until no further one is promoted.
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

/// Returns the smaller side of a cut: the leader and two other voters.
async fn leader_and_two_voters(fleet: &Fleet) -> BTreeSet<Box<str>> {
    let leader = fleet.leader().await;
    let control = fleet.status().await.control;
    let voters = control.into_iter().filter(|instance| instance.voter);
    let voters = voters.map(|instance| instance.instance);
    let mut others: Vec<Box<str>> = voters.filter(|name| *name != leader).collect();
    others.truncate(2);
    others.into_iter().chain([leader]).collect()
}

/// Puts a table as an operator does who reaches both sides, and returns whether any instance took it.
async fn is_table_accepted(fleet: &Fleet, number: u64) -> bool {
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

/// Returns whether a gateway that reaches only some instances learns of a table.
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
    a_change_is_in_force_where_most_instances_are => {
        let fleet = start_seven().await;
        assert!(is_table_accepted(&fleet, 1).await, "a whole control takes a table");
        let smaller = leader_and_two_voters(&fleet).await;
        let all = || fleet.running.keys().map(|name| &**name);
        let larger: Vec<&str> = all().filter(|name| !smaller.contains(*name)).collect();
        assert_eq!((smaller.len(), larger.len()), (3, 4));
        fleet.net.split(&smaller);
        assert!(is_table_accepted(&fleet, 2).await, "one side goes on");
        assert!(is_table_served(&fleet, &larger, 2).await, "an accepted table is in force on the machines of the larger side");
        fleet.net.split(&BTreeSet::new());
        assert!(is_table_accepted(&fleet, 3).await, "control goes on after the cut");
        for name in all() {
            assert!(is_table_served(&fleet, &[name], 3).await, "{name} is told");
        }
    }
}
