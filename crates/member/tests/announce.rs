//! Checks that control hears at once of what changes while an announcement is under way.

mod support;

use std::sync::Arc;
use std::time::Duration;

use hinge_cases::async_cases;
use hinge_link::{Client, ClusterKey, Limits, Server, ServerHandle, serve_call};
use hinge_member::Member;
use hinge_schema::messages::{Announce, Announced, Role};
use tokio::sync::{Semaphore, watch};
use viz::{Request, Router};

use support::announce;

/// Ends a case that hangs; no case waits for it to pass.
const WAIT: Duration = Duration::from_secs(30);

const VERSION: &str = "2";

/// Plays a control instance that holds its reply to an announcement with a run back, and says only there that the sidecar is drained.
struct Control {
    server: ServerHandle,
    announced: watch::Receiver<Vec<Announce>>,
    may_reply: Arc<Semaphore>,
}

impl Control {
    async fn bind() -> Self {
        let (kept, announced) = watch::channel(Vec::new());
        let may_reply = Arc::new(Semaphore::new(0));
        let held = Arc::clone(&may_reply);
        let router = Router::new().post("/v1/announce", move |request: Request| {
            let (kept, held) = (kept.clone(), Arc::clone(&held));
            async move {
                serve_call(&key(), request, |announce: Announce| async move {
                    let has_run = announce.running == Some(1);
                    kept.send_modify(|all: &mut Vec<Announce>| all.push(announce));
                    if has_run {
                        let _permit = held.acquire().await.expect("it is never closed");
                    }
                    Ok(reply(has_run))
                })
                .await
            }
        });
        let server = Server::bind("127.0.0.1:0", router, Limits::default()).await;
        Self {
            server: server.expect("a free port exists"),
            announced,
            may_reply,
        }
    }

    async fn until(&self, condition: impl Fn(&[Announce]) -> bool) {
        let mut announced = self.announced.clone();
        let met = tokio::time::timeout(WAIT, announced.wait_for(|all| condition(all))).await;
        met.expect("it is announced at once")
            .expect("control lives");
    }
}

fn key() -> ClusterKey {
    ClusterKey::derive(b"test")
}

fn reply(drained: bool) -> Announced {
    Announced {
        config_version: 0,
        fence: 1,
        // A third of it is longer than any case waits.
        lease_ms: 600_000,
        members_version: 0,
        drained: Some(drained),
    }
}

fn sidecar() -> Announce {
    Announce {
        peer_address: "127.0.0.1:1".into(),
        pool: "forecast".into(),
        slots: 4,
        ..announce("sidecar-1", Role::Sidecar)
    }
}

/// Lets something change while control holds the reply to an announcement with a run back, and waits until control hears of it.
async fn changes_while_a_reply_is_held(
    change: impl Fn(&Member),
    is_told: impl Fn(&Announce) -> bool,
) {
    let control = Control::bind().await;
    let address = control.server.local_address().to_string();
    let member = Member::spawn(Client::new(key()), sidecar(), vec![address.into()]);
    // The first announcement is answered, so that nothing but the change can lead to another one after the held reply.
    while member.fence().is_none() {
        tokio::task::yield_now().await;
    }
    member.set_running(1);
    member.set_model_version(VERSION);
    let has_run = |announce: &Announce| announce.running == Some(1);
    control.until(|all| all.iter().any(has_run)).await;
    change(&member);
    control.may_reply.add_permits(Semaphore::MAX_PERMITS);
    control
        .until(|all| {
            let busy = all.iter().position(has_run).expect("it was waited for");
            all[busy + 1..].iter().any(&is_told)
        })
        .await;
}

async_cases! { real
    the_end_of_a_run_during_the_reply_that_drains_its_sidecar_is_announced_at_once => {
        changes_while_a_reply_is_held(
            |member| member.set_running(0),
            |announce| announce.running == Some(0),
        )
        .await;
    }
    an_ejection_during_a_reply_is_announced_at_once => {
        changes_while_a_reply_is_held(
            |member| member.set_ejected(true),
            |announce| announce.ejected == Some(true),
        )
        .await;
    }
    a_leave_during_a_reply_is_announced_at_once => {
        changes_while_a_reply_is_held(Member::set_leaving, |announce| announce.leaving).await;
    }
    a_version_during_a_reply_is_announced_at_once => {
        changes_while_a_reply_is_held(
            |member| member.set_model_version("3"),
            |announce| &*announce.model_version == "3",
        )
        .await;
    }
}
