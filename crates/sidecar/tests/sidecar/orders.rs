//! Tests of the calls between a sidecar and control: orders, configuration, announcements, sums and claims.

use std::time::Duration;

use hinge_cases::async_cases;
use hinge_config::current::Applied;
use hinge_fakes::stand_in::{Fault, StandInSettings};
use hinge_link::{Client, Limits, Server, ServerHandle, serve_call};
use hinge_member::Member;
use hinge_schema::messages::{
    Announce, Announced, ClaimBatch, ClaimBatchReply, ClaimKey, ClaimReply, ClaimVerdict,
    FinishKey, KeyOutcome, NotRunReason, Offer, Order, OrderKind, OrderReply, OrderVerdict,
    ServiceEpoch, ServiceReport, ServiceTotals,
};
use hinge_sidecar::claims::{Claims, HttpClaims};
use tokio::sync::watch;
use viz::{Request, Router};

use crate::faults::{run_into_fault, short_timeouts};
use crate::support::{TestBed, WAIT, announce, config, key, offer};

/// A fake control instance that drains every sidecar and whose lowest valid fencing number is 5.
///
/// It keeps the last report with any sums, and all announcements.
struct Control {
    server: ServerHandle,
    reports: watch::Receiver<Option<ServiceReport>>,
    announced: watch::Receiver<Vec<Announce>>,
}

impl Control {
    async fn bind() -> Self {
        let (sender, reports) = watch::channel(None);
        let (announces, kept) = watch::channel(Vec::new());
        let router = Router::new()
            .post("/v1/announce", move |request: Request| {
                let announces = announces.clone();
                async move {
                    serve_call(&key(), request, |announce: Announce| async move {
                        announces.send_modify(|kept| kept.push(announce));
                        Ok(announced())
                    })
                    .await
                }
            })
            .post("/v1/claims", |request: Request| async move {
                serve_call(&key(), request, |batch: ClaimBatch| async move {
                    Ok(claimed(&batch))
                })
                .await
            })
            .post("/v1/sums", move |request: Request| {
                let sender = sender.clone();
                async move {
                    serve_call(&key(), request, |report: ServiceReport| async move {
                        let totals = totals(&report);
                        if !report.sums.is_empty() {
                            sender.send_replace(Some(report));
                        }
                        Ok(totals)
                    })
                    .await
                }
            });
        let server = Server::bind("127.0.0.1:0", router, Limits::default()).await;
        Self {
            server: server.expect("a free port exists"),
            reports,
            announced: kept,
        }
    }

    fn address(&self) -> String {
        self.server.local_address().to_string()
    }
}

fn announced() -> Announced {
    Announced {
        config_version: 4,
        fence: 5,
        // Announcements are renewed after a third of the lease, which is longer than any test waits.
        lease_ms: 600_000,
        members_version: 0,
        drained: Some(true),
    }
}

/// Binds a control instance that answers claims once a condition on its switch holds.
///
/// The switch is marked as changed when a claim arrives.
async fn answering_when(
    is_due: impl Fn(&bool) -> bool + Copy + Send + Sync + 'static,
) -> (ServerHandle, watch::Sender<bool>) {
    let switch = watch::Sender::new(false);
    let arrived = switch.clone();
    let router = Router::new().post("/v1/claims", move |request: Request| {
        let switch = arrived.clone();
        async move {
            serve_call(&key(), request, |batch: ClaimBatch| async move {
                let mut changes = switch.subscribe();
                switch.send_modify(|_| ());
                let due = changes.wait_for(is_due).await;
                drop(due.expect("the switch lives"));
                Ok(claimed(&batch))
            })
            .await
        }
    });
    let server = Server::bind("127.0.0.1:0", router, Limits::default()).await;
    (server.expect("a free port exists"), switch)
}

/// Grants keys that begin with `free`, and answers that others are already running.
fn claimed(batch: &ClaimBatch) -> ClaimBatchReply {
    let answer = |claim: &ClaimKey| ClaimReply {
        verdict: if claim.key.starts_with("free") {
            ClaimVerdict::Granted
        } else {
            ClaimVerdict::AlreadyRunning
        },
        outcome: None,
        retry_after_ms: 0,
    };
    ClaimBatchReply {
        replies: batch.claims.iter().map(answer).collect(),
    }
}

fn totals(report: &ServiceReport) -> ServiceTotals {
    ServiceTotals {
        pool: report.pool.clone(),
        incarnation: report.incarnation,
        generation: report.generation,
        epoch: ServiceEpoch {
            root: 1,
            merger: 1,
            turn: 0,
        },
        restart: false,
        mark: report.mark,
        rooted_mark: report.mark,
        floor_units: None,
        rejoin_count: 0,
        totals: Vec::new(),
    }
}

fn claim(key: &str) -> ClaimKey {
    ClaimKey {
        team: "school".into(),
        key: key.into(),
        fingerprint: 1,
        sidecar: "sidecar-1".into(),
        incarnation: 7,
        claim_id: 1,
        request_id: 1,
    }
}

async fn order(bed: &TestBed, fence: u64) -> OrderReply {
    let order = Order {
        order_id: fence,
        fence,
        kind: OrderKind::SetVersion,
        subject: "surf".into(),
        version: "2".into(),
    };
    let reply = bed
        .client
        .call(&bed.address, "/v1/order", &order, WAIT)
        .await;
    reply.expect("the sidecar answers")
}

async_cases! { real
    an_order_before_the_fencing_number_is_known_is_not_ready => {
        let bed = TestBed::open(|_| ()).await;
        assert_eq!(order(&bed, 9).await.verdict, OrderVerdict::NotReady);
        assert!(bed.stand_in.orders().is_empty());
    }
    older_orders_are_fenced_even_at_an_engine_that_ignores_fencing_numbers => {
        let control = Control::bind().await;
        let unfenced = StandInSettings { checks_fence: false, ..StandInSettings::default() };
        let bed = TestBed::with_control(&control.address(), unfenced, |_| ()).await;
        bed.until_announced().await;
        assert_eq!(order(&bed, 4).await.verdict, OrderVerdict::Fenced);
        assert_eq!(order(&bed, 6).await.verdict, OrderVerdict::Done);
        let refused = order(&bed, 5).await;
        assert_eq!((refused.verdict, refused.highest_fence), (OrderVerdict::Fenced, 6));
        assert_eq!(order(&bed, 6).await.verdict, OrderVerdict::Done);
        let forwarded: Vec<u64> = bed.stand_in.orders().iter().map(|order| order.fence).collect();
        assert_eq!(forwarded, [6, 6]);
    }
    a_sidecar_with_an_older_configuration_than_control_refuses_offers => {
        let control = Control::bind().await;
        let member = Member::spawn(Client::new(key()), announce(), vec![control.address().into()]);
        let bed = TestBed::with_member(member, StandInSettings::default(), |_| ()).await;
        bed.until_announced().await;
        assert_eq!(bed.member.apply_config(&config(3)), Applied::Advanced(3));
        let refused = bed.offer(offer(1)).await.refused().await;
        assert_eq!(refused.reason, NotRunReason::NotReady);
        assert_eq!(bed.member.apply_config(&config(4)), Applied::Advanced(4));
        bed.granted(Offer { config_version: 4, ..offer(2) }).await;
    }
    the_end_of_the_last_run_of_a_drained_sidecar_is_announced_at_once => {
        let control = Control::bind().await;
        let held = StandInSettings { fault: Some(Fault::HoldEnd), ..StandInSettings::default() };
        let bed = TestBed::with_control(&control.address(), held, |_| ()).await;
        bed.until_announced().await;
        let (mut entry, _) = bed.stream(offer(1), 20).await;
        bed.member.set_model_version("2");
        // The run must end only after control has heard of it; otherwise its end need not be announced at once.
        let mut announced = control.announced.clone();
        let is_busy = |all: &Vec<Announce>| all.iter().any(|announce| announce.running == Some(1));
        let announcement = tokio::time::timeout(WAIT, announced.wait_for(is_busy)).await;
        announcement.expect("the new version is announced").expect("control lives");
        bed.stand_in.set_fault(None);
        entry.whole().await.expect("the answer is whole");
        let has_announced_end = |all: &Vec<Announce>| {
            let busy = all.iter().position(|announce| announce.running == Some(1));
            busy.is_some_and(|at| all[at..].iter().any(|announce| announce.running == Some(0)))
        };
        let mut announced = control.announced.clone();
        let announcement = tokio::time::timeout(WAIT, announced.wait_for(has_announced_end)).await;
        announcement.expect("the announcement does not wait for the lease's renewal").expect("control lives");
    }
    an_ejection_is_announced_at_once => {
        let control = Control::bind().await;
        let bed = TestBed::with_control(&control.address(), StandInSettings::default(), |settings| {
            short_timeouts(settings);
            settings.health.max_failures_in_row = 1;
        }).await;
        bed.until_announced().await;
        run_into_fault(&bed, Fault::Hang).await;
        let has_announced_ejection = |all: &Vec<Announce>| all.iter().any(|announce| announce.ejected == Some(true));
        let mut announced = control.announced.clone();
        let announcement = tokio::time::timeout(WAIT, announced.wait_for(has_announced_ejection)).await;
        announcement.expect("the announcement does not wait for the lease's renewal").expect("control lives");
    }
    sums_of_service_reach_control => {
        let control = Control::bind().await;
        let quick = |settings: &mut hinge_sidecar::SidecarSettings| settings.sums_interval = Duration::from_millis(5);
        let bed = TestBed::with_control(&control.address(), StandInSettings::default(), quick).await;
        let (mut entry, _) = bed.stream(offer(1), 20).await;
        entry.whole().await.expect("the answer is whole");
        let mut reports = control.reports.clone();
        let is_final = |report: &Option<ServiceReport>| {
            report.as_ref().is_some_and(|report| report.sums.iter().any(|sum| sum.service_units == 91))
        };
        let report = tokio::time::timeout(WAIT, reports.wait_for(is_final)).await;
        let report = report.expect("the sums come").expect("control lives").clone().expect("it was checked");
        assert_eq!((&*report.pool, &*report.source, report.incarnation), ("forecast", "sidecar-1", 7));
    }
    claims_go_to_the_instance_that_answers_and_come_back_in_order => {
        let control = Control::bind().await;
        let dead = Control::bind().await;
        let addresses = vec![dead.address().into(), control.address().into()];
        assert!(dead.server.stop(WAIT).await);
        let claims = HttpClaims::spawn(Client::new(key()), addresses, WAIT);
        let (first, second) = tokio::join!(claims.claim(claim("free")), claims.claim(claim("taken")));
        assert_eq!(first.expect("control answers").verdict, ClaimVerdict::Granted);
        assert_eq!(second.expect("control answers").verdict, ClaimVerdict::AlreadyRunning);
        let finished = FinishKey {
            team: "school".into(),
            key: "free".into(),
            sidecar: "sidecar-1".into(),
            incarnation: 7,
            claim_id: 1,
            outcome: KeyOutcome::Completed,
        };
        tokio::time::timeout(WAIT, claims.finish(finished)).await.expect("control takes the end");
    }
    // Guards against a claim that is given up while the instance that was asked first still works on it.
    a_claim_is_answered_by_a_slow_instance_after_another_was_asked => {
        let (slow, answer) = answering_when(|answered| *answered).await;
        let (other, asked) = answering_when(|_| false).await;
        let addresses = [&slow, &other].map(|server| server.local_address().to_string().into()).to_vec();
        // The other instance is asked after half of this time.
        let claims = HttpClaims::spawn(Client::new(key()), addresses, WAIT / 3);
        let claimed = claims.claim(claim("free"));
        let mut is_asked = asked.subscribe();
        let answering = async {
            let asked = tokio::time::timeout(WAIT, is_asked.changed()).await;
            asked.expect("the other instance is asked").expect("it lives");
            answer.send_replace(true);
        };
        let (claimed, ()) = tokio::join!(claimed, answering);
        assert_eq!(claimed.expect("the slow instance answers").verdict, ClaimVerdict::Granted);
    }
    a_claim_without_control_is_unreachable => {
        let claims = HttpClaims::spawn(Client::new(key()), Vec::new(), Duration::from_millis(50));
        claims.claim(claim("free")).await.expect_err("nobody answers");
    }
}
