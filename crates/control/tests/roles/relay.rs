//! Tests a relay between three control instances and the processes of a data centre.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::fleet::{Fleet, SECRET, WAIT, announce, change, pause, peer_key, team, wait_for};
use hinge_cases::async_cases;
use hinge_control::{Relay, RelaySettings};
use hinge_link::{Client, ClusterKey, Limits, Server, serve_call};
use hinge_schema::messages::{
    Announce, Announced, AskOrders, AskStatus, ClaimBatch, ClaimBatchReply, ClaimKey, ClaimVerdict,
    Order, OrderKind, OrderReply, OrderState, OrderVerdict, Orders, OrdersReply, PlaceOrder,
    ServiceReport, ServiceSum, ServiceTotals, StatusReply, Update, Watch,
};
use viz::{Request, Router};

async fn open_relay(fleet: &Fleet) -> Relay {
    let control = fleet.running.keys().cloned().collect();
    let mut settings = RelaySettings::new("relay-1", "hall-a", "127.0.0.1:0", control);
    settings.report_interval = Duration::from_millis(50);
    let relay = Relay::open_with(settings, peer_key(), fleet.net.dial("relay-1"))
        .await
        .expect("the relay opens");
    fleet
        .net
        .register("relay-1", &relay.local_address().to_string());
    relay
}

fn watch(config_version: u64) -> Watch {
    Watch {
        instance: "sidecar-1".into(),
        config_version,
        members_epoch: u64::MAX,
        members_version: 0,
        wait_ms: 20_000,
        pools: Vec::new(),
    }
}

async fn is_live(fleet: &Fleet, name: &str) -> bool {
    let leader = fleet.leader().await;
    let ask = AskStatus {
        wait_version: 0,
        wait_ms: 0,
    };
    match fleet.call_operator(&leader, "status", &ask).await {
        StatusReply::Status(status) => status
            .members
            .iter()
            .any(|member| *member.instance == *name),
        StatusReply::Unavailable(_) => false,
    }
}

fn claim(claim_id: u64) -> ClaimBatch {
    let claim = ClaimKey {
        team: "surf".into(),
        key: "push-1".into(),
        fingerprint: 1,
        sidecar: "sidecar-1".into(),
        incarnation: 1,
        claim_id,
        request_id: claim_id,
    };
    ClaimBatch {
        claims: vec![claim],
        finished: Vec::new(),
    }
}

async_cases! { real
    a_relay_keeps_serving_while_control_is_stopped => {
        let mut fleet = Fleet::start(3).await;
        let relay = open_relay(&fleet).await;
        fleet.apply(&change("one", 0, vec![team("surf", 3)])).await;
        let update: Update = fleet.call("relay-1", "/v1/watch", &watch(0)).await.expect("the relay answers");
        assert_eq!(update.config.expect("the change arrives").version, 1);
        let names: Vec<_> = fleet.running.keys().cloned().collect();
        for name in &names {
            fleet.stop(name).await;
        }
        let update: Update = fleet.call("relay-1", "/v1/watch", &watch(0)).await.expect("the relay answers");
        assert_eq!(update.config.expect("the folder arrives").version, 1);
        let announced: Announced = fleet.call("relay-1", "/v1/announce", &announce("sidecar-1", 1)).await.expect("the relay grants leases");
        assert!(announced.lease_ms > 0);
        let client = Client::new(ClusterKey::derive(SECRET.as_bytes()));
        let ask = AskStatus { wait_version: 0, wait_ms: 0 };
        let reply: StatusReply = client.call(&fleet.net.socket("relay-1"), "/v1/operator/status", &ask, WAIT).await.expect("the relay answers");
        assert!(matches!(reply, StatusReply::Unavailable(_)));
        for name in &names {
            fleet.open(name, false).await;
        }
        fleet.apply(&change("two", 1, vec![team("board", 3)])).await;
        wait_for(|| relay.config_version() == 2).await;
        while !is_live(&fleet, "sidecar-1").await || !is_live(&fleet, "relay-1").await {
            pause().await;
        }
    }
    a_key_claimed_through_a_relay_is_granted_once => {
        let fleet = Fleet::start(3).await;
        fleet.leader().await;
        let _relay = open_relay(&fleet).await;
        let mut verdicts = Vec::new();
        for claim_id in 1..=2 {
            loop {
                let asked = fleet.call::<_, ClaimBatchReply>("relay-1", "/v1/claims", &claim(claim_id)).await;
                if let Ok(reply) = asked {
                    verdicts.push(reply.replies[0].verdict);
                    break;
                }
            }
        }
        assert_eq!(verdicts, [ClaimVerdict::Granted, ClaimVerdict::AlreadyRunning]);
    }
    sums_reach_the_root_through_a_relay => {
        let fleet = Fleet::start(3).await;
        let _relay = open_relay(&fleet).await;
        let sum = ServiceSum {
            team: "surf".into(), version: 1, service_units: 10, normalised_units: 10, backlogged: true, backlog_count: 1, lift_units: 0,
        };
        let mut report = ServiceReport {
            pool: "forecast-llm".into(), source: "sidecar-1".into(), incarnation: 1, generation: 0, epoch: None, mark: 1, sums: vec![sum],
        };
        loop {
            let asked = fleet.call::<_, ServiceTotals>("relay-1", "/v1/sums", &report).await;
            if let Ok(totals) = asked {
                if totals.rooted_mark == 1 {
                    assert_eq!((totals.totals[0].normalised_units, totals.totals[0].yours_units), (10, 10));
                    break;
                }
                report.epoch = Some(totals.epoch);
            }
            pause().await;
        }
    }
    an_order_reaches_its_endpoint_once_with_a_valid_fence => {
        let fleet = Fleet::start(3).await;
        let seen: Arc<Mutex<Vec<Order>>> = Arc::default();
        let (key, orders) = (peer_key(), Arc::clone(&seen));
        let router = Router::new().post("/v1/order", move |request: Request| {
            let (key, orders) = (key.clone(), Arc::clone(&orders));
            async move {
                serve_call(&key, request, |order: Order| async move {
                    let reply = OrderReply { verdict: OrderVerdict::Done, highest_fence: order.fence, detail: "loaded".into() };
                    orders.lock().expect("the lock is not poisoned").push(order);
                    Ok(reply)
                }).await
            }
        });
        let sidecar = Server::bind("127.0.0.1:0", router, Limits::default()).await.expect("a free port exists");
        fleet.net.register("sidecar-1", &sidecar.local_address().to_string());
        let announcement = Announce { peer_address: "sidecar-1".into(), ..announce("sidecar-1", 1) };
        let leader = fleet.leader().await;
        let announced: Announced = fleet.call(&leader, "/v1/announce", &announcement).await.expect("the leader answers");
        let place = PlaceOrder {
            change_id: "load".into(), instance: "sidecar-1".into(), kind: OrderKind::LoadModel, subject: "m".into(), version: "v2".into(),
        };
        let follower = fleet.follower().await;
        let placed: OrdersReply = fleet.call_operator(&follower, "order", &place).await;
        let OrdersReply::Orders(Orders { orders }) = placed else { panic!("the order is placed") };
        assert!(orders[0].fence > announced.fence);
        loop {
            let ask = AskOrders { instance: "sidecar-1".into(), limit: 1 };
            let listed: OrdersReply = fleet.call_operator(&follower, "orders", &ask).await;
            if matches!(listed, OrdersReply::Orders(Orders { orders }) if orders[0].state == OrderState::Done) {
                break;
            }
            pause().await;
        }
        let seen = seen.lock().expect("the lock is not poisoned");
        assert_eq!((seen.len(), seen[0].fence), (1, orders[0].fence));
    }
}
