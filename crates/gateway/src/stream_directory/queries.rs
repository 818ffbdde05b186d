//! Asks other gateways and admissions where streams began.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use hinge_link::Client;
use hinge_routing::Known;
use hinge_schema::routing::{FindStreams, FoundStreams};
use tokio::time::sleep;

use super::{FIND_STREAMS_PATH, Query, StreamDirectory, lock};

/// Delay that lets many queries share a message: all streams of a gateway are taken up at once when it ends.
const GATHER_DELAY: Duration = Duration::from_millis(5);

/// Timeout of a call; a round of calls to this data centre and one to the others fit in the timeout of a query.
const CALL_TIMEOUT: Duration = Duration::from_millis(150);

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
    let mut queries = ask(directory, client, &near, queries).await;
    let admissions: BTreeSet<SocketAddr> = queries
        .iter()
        .flat_map(|query| &query.admissions)
        .copied()
        .collect();
    let elsewhere: Vec<SocketAddr> = far.into_iter().chain(admissions).collect();
    queries = ask(directory, client, &elsewhere, queries).await;
    for query in queries {
        // A caller that no longer waits needs no answer.
        let _caller_left = query.answer.send(Known::Nothing);
    }
}

/// Asks some processes concurrently, and returns the queries that none of them answered.
async fn ask(
    directory: &StreamDirectory,
    client: &Client,
    peers: &[SocketAddr],
    mut open: Vec<Query>,
) -> Vec<Query> {
    if open.is_empty() {
        return open;
    }
    let streams = open.iter().map(|query| query.stream.into()).collect();
    let message = FindStreams { streams };
    let calls = peers.iter().map(|address| {
        let (address, message) = (address.to_string(), &message);
        async move {
            let called = client.call(&address, FIND_STREAMS_PATH, message, CALL_TIMEOUT);
            // A process that does not answer may be the one that has ended.
            let found: Option<FoundStreams> = called.await.ok();
            found
        }
    });
    let mut calls: FuturesUnordered<_> = calls.collect();
    while let Some(found) = calls.next().await {
        let Some(found) = found.filter(|found| !found.begun.is_empty()) else {
            continue;
        };
        directory.record_copies(&found.begun);
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
    open
}
