//! Tests that many concurrent calls with long messages hold a bounded number of bytes at the process that serves them.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use hinge_cases::async_cases;
use hinge_link::{ByteBudget, Client, ClusterKey, Limits, Server, serve_call};
use serde_bytes::ByteBuf;
use tokio::sync::Semaphore;
use tokio::task::JoinSet;
use viz::{Request, Router};

const WAIT: Duration = Duration::from_secs(30);

/// Length of a message, a quarter of what may be held.
const LONG_BYTES: usize = 4 << 20;

/// Calls with long messages that may be in progress together.
const MAX_CALLS: usize = 4;

/// Calls that come at the same time.
const CALLS: usize = 20;

/// The calls that are being answered, and those that may end.
#[derive(Debug)]
struct Progress {
    entered: AtomicUsize,
    most: AtomicUsize,
    may_end: Semaphore,
}

/// Serves calls that don't end before they may.
async fn serve(key: &ClusterKey, path: &str, progress: &Arc<Progress>) -> String {
    let (key, progress) = (key.clone(), Arc::clone(progress));
    let router = Router::new().post(path, move |request: Request| {
        let (key, progress) = (key.clone(), Arc::clone(&progress));
        async move {
            let answer = async |message: ByteBuf| {
                let entered = progress.entered.fetch_add(1, Ordering::Relaxed) + 1;
                progress.most.fetch_max(entered, Ordering::Relaxed);
                let ended = progress.may_end.acquire().await;
                ended.expect("the semaphore stays open").forget();
                progress.entered.fetch_sub(1, Ordering::Relaxed);
                Ok(message.len())
            };
            serve_call(&key, request, answer).await
        }
    });
    let server = Server::bind("127.0.0.1:0", router, Limits::default()).await;
    server.expect("a port is free").local_address().to_string()
}

fn progress() -> Arc<Progress> {
    Arc::new(Progress {
        entered: AtomicUsize::new(0),
        most: AtomicUsize::new(0),
        may_end: Semaphore::new(0),
    })
}

async fn wait_for(progress: &Progress, entered: usize) {
    while progress.entered.load(Ordering::Relaxed) < entered {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Starts calls with messages of a length.
fn start_calls(
    key: &ClusterKey,
    address: &str,
    path: &'static str,
    bytes: usize,
) -> JoinSet<usize> {
    let mut calls = JoinSet::new();
    for _ in 0..CALLS {
        let (client, address) = (Client::new(key.clone()), address.to_owned());
        calls.spawn(async move {
            let message = ByteBuf::from(vec![0; bytes]);
            let answered = client.call(&address, path, &message, WAIT).await;
            answered.expect("the call is answered")
        });
    }
    calls
}

async_cases! { real
    // Guards against a process that holds as many long messages as calls come at once.
    long_messages_of_concurrent_calls_are_bounded_in_bytes => {
        let (key, progress) = (ClusterKey::derive(b"one"), progress());
        let address = serve(&key, "/ask", &progress).await;
        let mut calls = start_calls(&key, &address, "/ask", LONG_BYTES);
        for _ in 0..CALLS {
            // The others have the time of a whole call to be read.
            wait_for(&progress, 1).await;
            progress.may_end.add_permits(1);
            let answer = calls.join_next().await.expect("a call is in progress");
            assert_eq!(answer.expect("the client runs"), LONG_BYTES);
        }
        assert!(progress.most.load(Ordering::Relaxed) <= MAX_CALLS);
    }
    short_messages_do_not_wait_for_long_ones => {
        let (key, progress) = (ClusterKey::derive(b"one"), progress());
        let address = serve(&key, "/ask", &progress).await;
        let long = start_calls(&key, &address, "/ask", LONG_BYTES);
        wait_for(&progress, MAX_CALLS - 1).await;
        let short = start_calls(&key, &address, "/ask", 100);
        wait_for(&progress, MAX_CALLS - 1 + CALLS).await;
        progress.may_end.add_permits(2 * CALLS);
        assert_eq!(short.join_all().await, [100; CALLS]);
        assert_eq!(long.join_all().await, [LONG_BYTES; CALLS]);
    }
    // Messages of the log are bounded by their sender, and calls in progress may wait for them.
    messages_of_the_log_do_not_wait_for_calls => {
        let (key, progress) = (ClusterKey::derive(b"one"), progress());
        let address = serve(&key, "/v1/raft", &progress).await;
        let calls = start_calls(&key, &address, "/v1/raft", LONG_BYTES);
        wait_for(&progress, CALLS).await;
        progress.may_end.add_permits(2 * CALLS);
        assert_eq!(calls.join_all().await, [LONG_BYTES; CALLS]);
    }

    a_budget_gives_a_longer_request_all_of_it => {
        let budget = ByteBudget::new(1 << 20);
        let all = budget.acquire(8 << 20).await;
        let mut next = std::pin::pin!(budget.acquire(1));
        assert!(futures::poll!(&mut next).is_pending());
        drop(all);
        let _one = next.await;
    }
}
