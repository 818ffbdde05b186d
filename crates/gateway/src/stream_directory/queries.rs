//! Asks other gateways and admissions where streams began.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use hinge_link::{CallError, Client};
use hinge_routing::Known;
use hinge_schema::routing::{FindStreams, FoundStreams};
use tokio::time::sleep;

use super::{FIND_STREAMS_PATH, Query, StreamDirectory, lock};

/// Delay that lets many queries share a message: all streams of a gateway are taken up at once when it ends.
const GATHER_DELAY: Duration = Duration::from_millis(5);

/// Timeout of a call; a round of calls to this data centre, one to the others, and one to those that did not answer fit in the
/// timeout of a query.
const CALL_TIMEOUT: Duration = Duration::from_millis(150);

/// Timeout of the second call to a process that did not answer the first one, as a busy machine may take long.
const SECOND_TIMEOUT: Duration = Duration::from_millis(300);

/// A round of calls.
struct Round {
    /// Queries that no process has answered yet.
    open: Vec<Query>,
    /// Processes that may still know.
    silent: Vec<SocketAddr>,
}

/// Answers queries until the task is aborted.
pub(super) async fn run(directory: Arc<StreamDirectory>, client: Client) {
    loop {
        directory.query_added.notified().await;
        sleep(GATHER_DELAY).await;
        let queries = std::mem::take(&mut *lock(&directory.queries));
        let (directory, client) = (Arc::clone(&directory), client.clone());
        tokio::spawn(async move { answer(&directory, &client, queries).await });
    }
}

/// Asks the gateways of this data centre, and those of others and the admissions about the streams that are still not known.
async fn answer(directory: &StreamDirectory, client: &Client, queries: Vec<Query>) {
    let (near, far): (Vec<SocketAddr>, Vec<SocketAddr>) = {
        let peers = lock(&directory.peers);
        (
            peers.near.addresses().collect(),
            peers.far.addresses().collect(),
        )
    };
    let near = ask(directory, client, &near, CALL_TIMEOUT, queries).await;
    let admissions: BTreeSet<SocketAddr> = near
        .open
        .iter()
        .flat_map(|query| &query.admissions)
        .copied()
        .collect();
    let elsewhere: Vec<SocketAddr> = far.into_iter().chain(admissions).collect();
    let far = ask(directory, client, &elsewhere, CALL_TIMEOUT, near.open).await;
    let silent: Vec<SocketAddr> = near.silent.into_iter().chain(far.silent).collect();
    let last = ask(directory, client, &silent, SECOND_TIMEOUT, far.open).await;
    for query in last.open {
        // A caller that no longer waits needs no answer.
        let _caller_left = query.answer.send(Known::Nothing);
    }
}

/// Asks some processes concurrently.
async fn ask(
    directory: &StreamDirectory,
    client: &Client,
    peers: &[SocketAddr],
    call_timeout: Duration,
    mut open: Vec<Query>,
) -> Round {
    let mut silent = Vec::new();
    if open.is_empty() {
        return Round { open, silent };
    }
    let streams = open.iter().map(|query| query.stream.into()).collect();
    let message = FindStreams { streams };
    let calls = peers.iter().map(|peer| {
        let (address, message) = (peer.to_string(), &message);
        async move {
            let called = client.call(&address, FIND_STREAMS_PATH, message, call_timeout);
            let found: Result<FoundStreams, CallError> = called.await;
            (*peer, found)
        }
    });
    let mut calls: FuturesUnordered<_> = calls.collect();
    while let Some((peer, found)) = calls.next().await {
        let begun = match found {
            Ok(found) => found.begun,
            Err(CallError::TimedOut) => {
                silent.push(peer);
                continue;
            }
            // A process that can't be reached may be the one that has ended.
            Err(_ended) => continue,
        };
        if begun.is_empty() {
            continue;
        }
        directory.record_copies(&begun);
        let mut left = Vec::new();
        for query in open {
            match directory.known(query.stream) {
                Known::Nothing => left.push(query),
                known @ (Known::At(_) | Known::Ambiguous) => {
                    let _caller_left = query.answer.send(known);
                }
            }
        }
        open = left;
        if open.is_empty() {
            break;
        }
    }
    Round { open, silent }
}
