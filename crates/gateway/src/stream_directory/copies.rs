//! Sends the origins of new streams to a gateway of this data centre and to one of another.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hinge_link::{Client, Exchange};
use hinge_routing::{PeerList, by_origin};
use hinge_schema::routing::RecordStreams;
use tokio::time::sleep;

use super::{Peers, RECORD_PATH, StreamDirectory, lock};

/// Delay that lets many streams share a message; those that began within it are lost with their gateway.
const BATCH_DELAY: Duration = Duration::from_millis(20);

/// Timeout of opening an exchange; copies to the other gateway wait for it.
const OPEN_TIMEOUT: Duration = Duration::from_millis(200);

/// Time for which a gateway that can't be reached receives no copies.
const UNREACHABLE_BACKOFF: Duration = Duration::from_secs(2);

/// Gateways tried for one message.
const MAX_TRIES: usize = 3;

/// An exchange with the gateway that holds the copies.
struct Holder {
    /// Selects the gateways from which the holder is chosen.
    list: fn(&mut Peers) -> &mut PeerList,
    exchange: Option<(SocketAddr, Exchange)>,
}

/// Sends copies until the task is aborted.
pub(super) async fn run(directory: Arc<StreamDirectory>, client: Client, own: SocketAddr) {
    let mut near = Holder::new(|peers| &mut peers.near);
    let mut far = Holder::new(|peers| &mut peers.far);
    loop {
        directory.unsent_added.notified().await;
        sleep(BATCH_DELAY).await;
        let unsent = std::mem::take(&mut *lock(&directory.unsent));
        let count = unsent.len() as u64;
        let message = RecordStreams {
            begun: by_origin(unsent),
        };
        let (is_near, is_far) = futures::join!(
            near.send(&directory, &client, own, &message),
            far.send(&directory, &client, own, &message)
        );
        for is_sent in [is_near, is_far] {
            let counter = if is_sent {
                &directory.copies_sent
            } else {
                &directory.copies_failed
            };
            counter.inc_by(count);
        }
    }
}

impl Holder {
    fn new(list: fn(&mut Peers) -> &mut PeerList) -> Self {
        Self {
            list,
            exchange: None,
        }
    }

    /// Sends a message to the holder, or to the next gateway if it can't be reached, and returns whether it was sent.
    async fn send(
        &mut self,
        directory: &StreamDirectory,
        client: &Client,
        own: SocketAddr,
        message: &RecordStreams,
    ) -> bool {
        for _ in 0..MAX_TRIES {
            let now = directory.began.elapsed();
            let Some(address) = (self.list)(&mut lock(&directory.peers)).successor(now, own) else {
                return false;
            };
            if self
                .exchange
                .as_ref()
                .is_none_or(|(open, _)| *open != address)
            {
                let text = address.to_string();
                let opened = client.open(&text, RECORD_PATH, OPEN_TIMEOUT).await;
                self.exchange = opened.ok().map(|exchange| (address, exchange));
            }
            let sent = self
                .exchange
                .as_ref()
                .map(|(_, exchange)| exchange.sender.try_send(message));
            if matches!(sent, Some(Ok(()))) {
                return true;
            }
            self.exchange = None;
            let now = directory.began.elapsed();
            (self.list)(&mut lock(&directory.peers)).suspend(now, address, UNREACHABLE_BACKOFF);
        }
        false
    }
}
