//! Checks that changes during an announcement are announced at once after its reply.

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

/// Timeout of a hanging case; a passing case never waits that long.
const WAIT: Duration = Duration::from_secs(30);

const VERSION: &str = "2";

/// A fake control instance that delays its reply to an announcement with a running request; only that reply says `drained`.
struct FakeControl {
    server: ServerHandle,
    announced: watch::Receiver<Vec<Announce>>,
    may_reply: Arc<Semaphore>,
}

impl FakeControl {
    async fn bind() -> Self {
        let (sender, announced) = watch::channel(Vec::new());
        let may_reply = Arc::new(Semaphore::new(0));
        let held = Arc::clone(&may_reply);
        let router = Router::new().post("/v1/announce", move |request: Request| {
            let (sender, held) = (sender.clone(), Arc::clone(&held));
            async move {
                serve_call(&key(), request, |announce: Announce| async move {
                    let is_running = announce.running == Some(1);
                    sender.send_modify(|all: &mut Vec<Announce>| all.push(announce));
                    if is_running {
                        let _permit = held.acquire().await.expect("the semaphore is never closed");
                    }
                    Ok(reply(is_running))
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

    async fn wait_until(&self, condition: impl Fn(&[Announce]) -> bool) {
        let mut announced = self.announced.clone();
        let met = tokio::time::timeout(WAIT, announced.wait_for(|all| condition(all))).await;
        met.expect("the change is announced at once")
            .expect("the fake control is running");
    }
}

fn key() -> ClusterKey {
    ClusterKey::derive(b"test")
}

fn reply(drained: bool) -> Announced {
    Announced {
        config_version: 0,
        fence: 1,
        // No case lasts a third of it, which is the interval of announcements.
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

/// Makes a change while control delays the reply to an announcement with a running request, and waits until it is announced.
async fn is_announced_after_the_delayed_reply(
    change: impl Fn(&Member),
    announces_change: impl Fn(&Announce) -> bool,
) {
    let control = FakeControl::bind().await;
    let address = control.server.local_address().to_string();
    let member = Member::spawn(Client::new(key()), sidecar(), vec![address.into()]);
    // Waits for the reply to the first announcement, so that only the change can cause another one after the delayed reply.
    while member.fence().is_none() {
        tokio::task::yield_now().await;
    }
    member.set_running(1);
    member.set_model_version(VERSION);
    let is_running = |announce: &Announce| announce.running == Some(1);
    control.wait_until(|all| all.iter().any(is_running)).await;
    change(&member);
    control.may_reply.add_permits(Semaphore::MAX_PERMITS);
    control
        .wait_until(|all| {
            let busy = all
                .iter()
                .position(is_running)
                .expect("this announcement was awaited above");
            all[busy + 1..].iter().any(&announces_change)
        })
        .await;
}

async_cases! { real
    the_end_of_the_last_request_during_the_reply_that_drains_a_sidecar_is_announced_at_once => {
        is_announced_after_the_delayed_reply(
            |member| member.set_running(0),
            |announce| announce.running == Some(0),
        )
        .await;
    }
    an_ejection_during_a_reply_is_announced_at_once => {
        is_announced_after_the_delayed_reply(
            |member| member.set_ejected(true),
            |announce| announce.ejected == Some(true),
        )
        .await;
    }
    leaving_during_a_reply_is_announced_at_once => {
        is_announced_after_the_delayed_reply(Member::set_leaving, |announce| announce.leaving).await;
    }
    a_model_version_change_during_a_reply_is_announced_at_once => {
        is_announced_after_the_delayed_reply(
            |member| member.set_model_version("3"),
            |announce| &*announce.model_version == "3",
        )
        .await;
    }
}
