//! Tests that evacuations outlive leaders, processes and members.

use hinge_cases::async_cases;
use hinge_control::WATCH_ROUTES_PATH;
use hinge_schema::routing::{
    AskEvacuation, EvacuationOrder, EvacuationState, OrderEvacuation, OrderEvacuationReply,
    RoutesUpdate, WatchRoutes,
};

use crate::fleet::{Fleet, pause};

/// Starts or ends the evacuation of a data centre at an instance, and asks again until it is done.
async fn order(fleet: &Fleet, name: &str, data_center: &str, order: EvacuationOrder) {
    loop {
        if let Some(state) = ask(fleet, name, data_center).await {
            let message = OrderEvacuation {
                data_center: data_center.into(),
                order,
                revision: state.revision,
                operator: "ana".into(),
            };
            let ordered = fleet
                .call::<_, OrderEvacuationReply>(name, "/v1/evacuations/order", &message)
                .await;
            if ordered.is_ok_and(|reply| reply.is_done) {
                return;
            }
        }
        pause().await;
    }
}

async fn ask(fleet: &Fleet, name: &str, data_center: &str) -> Option<EvacuationState> {
    let question = AskEvacuation {
        data_center: data_center.into(),
    };
    let asked = fleet.call(name, "/v1/evacuations/ask", &question).await;
    asked.ok()
}

/// Returns whether a data centre is evacuated, once any instance answers.
async fn is_evacuated(fleet: &Fleet, data_center: &str) -> bool {
    loop {
        for name in fleet.running.keys() {
            if let Some(state) = ask(fleet, name, data_center).await {
                return state.is_evacuated;
            }
        }
        pause().await;
    }
}

/// Waits until a gateway that follows an instance learns which data centres are evacuated.
async fn wait_until_told(fleet: &Fleet, name: &str, expected: &[&str]) {
    let watch = WatchRoutes {
        instance: "gateway-1".into(),
        peer_address: None,
        // With a table, the instance answers from what is applied there.
        table_number: 1,
        endpoints_version: u64::MAX,
        suspects_version: None,
        evacuations_version: Some(0),
        wait_ms: 100,
    };
    loop {
        let told = fleet
            .call::<_, RoutesUpdate>(name, WATCH_ROUTES_PATH, &watch)
            .await;
        let list = told.ok().and_then(|update| update.evacuations);
        let names: Vec<Box<str>> = list.map_or_else(Vec::new, |list| {
            let evacuations = list.evacuations.into_iter();
            evacuations
                .map(|evacuation| evacuation.data_center)
                .collect()
        });
        if names
            .iter()
            .map(|name| &**name)
            .eq(expected.iter().copied())
        {
            return;
        }
        pause().await;
    }
}

async_cases! { real
    an_evacuation_outlives_the_leader_that_acknowledged_it => {
        let mut fleet = Fleet::start(3).await;
        let (leader, follower) = (fleet.leader().await, fleet.follower().await);
        order(&fleet, &follower, "hall-a", EvacuationOrder::Start).await;
        fleet.stop(&leader).await;
        assert!(is_evacuated(&fleet, "hall-a").await);
        assert!(!is_evacuated(&fleet, "hall-b").await);
        for name in fleet.running.keys() {
            wait_until_told(&fleet, name, &["hall-a"]).await;
        }
        order(&fleet, &follower, "hall-a", EvacuationOrder::End).await;
        assert!(!is_evacuated(&fleet, "hall-a").await);
        for name in fleet.running.keys() {
            wait_until_told(&fleet, name, &[]).await;
        }
    }
    an_evacuation_outlives_a_stop_of_every_instance => {
        let mut fleet = Fleet::start(3).await;
        let leader = fleet.leader().await;
        order(&fleet, &leader, "hall-a", EvacuationOrder::Start).await;
        order(&fleet, &leader, "hall-b", EvacuationOrder::Start).await;
        order(&fleet, &leader, "hall-b", EvacuationOrder::End).await;
        let names: Vec<Box<str>> = fleet.running.keys().cloned().collect();
        for name in &names {
            fleet.stop(name).await;
        }
        for name in &names {
            fleet.open(name, false).await;
        }
        assert!(is_evacuated(&fleet, "hall-a").await);
        assert!(!is_evacuated(&fleet, "hall-b").await);
    }
    an_instance_that_joins_learns_of_an_evacuation => {
        let mut fleet = Fleet::start(3).await;
        let leader = fleet.leader().await;
        order(&fleet, &leader, "hall-a", EvacuationOrder::Start).await;
        fleet.open("control-new", false).await;
        wait_until_told(&fleet, "control-new", &["hall-a"]).await;
    }
    // Guards against an acknowledged withdrawal that an order undoes which was held up at a cut-off leader.
    an_order_of_a_leader_that_was_cut_off_has_no_effect => {
        let fleet = Fleet::start(3).await;
        let leader = fleet.leader().await;
        order(&fleet, &leader, "hall-a", EvacuationOrder::Start).await;
        let state = ask(&fleet, &leader, "hall-a").await.expect("the leader answers");
        fleet.net.isolate(&leader);
        let held_up = OrderEvacuation {
            data_center: "hall-a".into(),
            order: EvacuationOrder::End,
            revision: state.revision,
            operator: "ana".into(),
        };
        let ordered = fleet.call::<_, OrderEvacuationReply>(&leader, "/v1/evacuations/order", &held_up).await;
        assert!(ordered.is_err(), "it is not acknowledged");
        let others = fleet.running.keys().filter(|name| **name != leader);
        let other = others.into_iter().next().expect("there are several").clone();
        order(&fleet, &other, "hall-a", EvacuationOrder::End).await;
        order(&fleet, &other, "hall-a", EvacuationOrder::Start).await;
        fleet.net.heal(&leader);
        wait_until_told(&fleet, &leader, &["hall-a"]).await;
        assert!(is_evacuated(&fleet, "hall-a").await);
    }
}
