//! Tests that evacuations outlive leaders, processes and members.

use hinge_cases::async_cases;
use hinge_control::WATCH_ROUTES_PATH;
use hinge_schema::messages::{AskEvacuations, Evacuations, EvacuationsReply};
use hinge_schema::routing::{
    AskEvacuation, Endpoint, EndpointReply, EndpointState, EvacuationOrder, EvacuationState,
    OrderEvacuation, OrderEvacuationReply, ReportEndpoint, RoutesUpdate, WatchRoutes,
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
        accepts_patches: None,
        accepts_unconfirmed: None,
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

/// Reports an endpoint in the data centre `hall-a`, and asks again until that is accepted.
async fn report_endpoint(fleet: &Fleet, name: &str) {
    let endpoint = Endpoint {
        id: "one".into(),
        born_unix_ms: None,
        service: "llm".into(),
        address: ([10, 0, 0, 1], 8_080).into(),
        data_center: "hall-a".into(),
        software_version: "v1".into(),
        slots: 64,
        state: EndpointState::Ready,
        warm_up_ms: 0,
        sequence: 1,
    };
    let report = ReportEndpoint { endpoint };
    while fleet
        .call::<_, EndpointReply>(name, "/v1/endpoints/report", &report)
        .await
        .is_err()
    {
        pause().await;
    }
}

/// Sends an operator's order to an instance until one that can act on it has answered.
async fn operate(fleet: &Fleet, name: &str, ask: AskEvacuations) -> Evacuations {
    loop {
        match fleet.call_operator(name, "evacuations", &ask).await {
            EvacuationsReply::Evacuations(evacuations) => return evacuations,
            EvacuationsReply::Unavailable(_) => pause().await,
        }
    }
}

async_cases! { real
    an_operator_starts_and_ends_an_evacuation => {
        let fleet = Fleet::start(3).await;
        let follower = fleet.follower().await;
        let list = AskEvacuations { start: None, end: None, force: false };
        let start = AskEvacuations { start: Some("hall-a".into()), ..list.clone() };
        for _repeat in 0..2 {
            let evacuations = operate(&fleet, &follower, start.clone()).await;
            assert_eq!(evacuations.rejected, None);
            assert_eq!(&*evacuations.evacuated[0].data_center, "hall-a");
        }
        let end = AskEvacuations { end: Some("hall-a".into()), ..list.clone() };
        assert!(operate(&fleet, &follower, end).await.evacuated.is_empty());
        assert!(!is_evacuated(&fleet, "hall-a").await);
    }
    an_evacuation_that_leaves_a_service_without_endpoints_needs_force => {
        let fleet = Fleet::start(3).await;
        let leader = fleet.leader().await;
        report_endpoint(&fleet, &leader).await;
        let start = AskEvacuations { start: Some("hall-a".into()), end: None, force: false };
        let evacuations = operate(&fleet, &leader, start.clone()).await;
        assert!(evacuations.rejected.is_some());
        assert!(evacuations.evacuated.is_empty());
        assert_eq!((evacuations.services[0].endpoints, evacuations.services[0].in_use), (1, 0));
        let evacuations = operate(&fleet, &leader, AskEvacuations { force: true, ..start }).await;
        assert_eq!(evacuations.rejected, None);
        assert!(is_evacuated(&fleet, "hall-a").await);
    }
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
