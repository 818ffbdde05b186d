//! Keeps copies of the origins of streams at a gateway of this data centre and at one of another.
//!
//! A holder that stops, ends or can't be reached is replaced, and the next one is sent everything anew.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hinge_link::{CallError, Client, Exchange};
use hinge_routing::{CopyProgress, PeerList};
use hinge_schema::routing::RecordedStreams;
use http::StatusCode;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, sleep_until, timeout};

use super::{Peers, RECORD_PATH, StreamDirectory, lock};

/// Delay that lets many streams share a message; those that began within it are lost with their gateway if it is killed.
const BATCH_DELAY: Duration = Duration::from_millis(20);

/// Timeout of opening an exchange.
const OPEN_TIMEOUT: Duration = Duration::from_millis(200);

/// Longest time for a holder to confirm a message.
const CONFIRM_TIMEOUT: Duration = Duration::from_secs(1);

/// Time for which a gateway that can't be reached receives no copies, and one that is leaving.
const UNREACHABLE_BACKOFF: Duration = Duration::from_secs(2);
const LEAVING_BACKOFF: Duration = Duration::from_millis(500);

/// Delay until a holder is searched again after none of the known gateways was usable, and while none is known.
const SEARCH_DELAY: Duration = Duration::from_millis(100);
const DISCOVERY_DELAY: Duration = Duration::from_secs(1);

/// Which of a gateway's two holders.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Ring {
    /// In its data centre.
    Near,
    /// In another one.
    Far,
}

impl Ring {
    fn peers(self, peers: &mut Peers) -> &mut PeerList {
        match self {
            Self::Near => &mut peers.near,
            Self::Far => &mut peers.far,
        }
    }
}

/// Why a holder no longer keeps copies for this gateway.
enum HolderEnd {
    Leaving,
    Unreachable,
}

/// Keeps copies at one holder after the other until the task is aborted.
pub(super) async fn run(
    directory: Arc<StreamDirectory>,
    client: Client,
    own: SocketAddr,
    ring: Ring,
    confirmed: watch::Sender<u64>,
) {
    let mut added = directory.log_end.subscribe();
    // Without anything to copy no connection is opened.
    while *added.borrow_and_update() == 0 {
        if added.changed().await.is_err() {
            return;
        }
    }
    loop {
        let now = directory.began.elapsed();
        let (holder, is_alone) = {
            let mut peers = lock(&directory.peers);
            let list = ring.peers(&mut peers);
            (list.successor(now, own), list.addresses().next().is_none())
        };
        let Some(holder) = holder else {
            sleep(if is_alone {
                DISCOVERY_DELAY
            } else {
                SEARCH_DELAY
            })
            .await;
            continue;
        };
        let opened = client
            .open(&holder.to_string(), RECORD_PATH, OPEN_TIMEOUT)
            .await;
        let end = match opened {
            Ok(exchange) => copy(&directory, exchange, added.clone(), &confirmed).await,
            Err(CallError::Status(StatusCode::SERVICE_UNAVAILABLE)) => HolderEnd::Leaving,
            Err(_unreachable) => HolderEnd::Unreachable,
        };
        confirmed.send_replace(0);
        let backoff = match end {
            HolderEnd::Leaving => LEAVING_BACKOFF,
            HolderEnd::Unreachable => {
                directory.holders_lost.inc();
                UNREACHABLE_BACKOFF
            }
        };
        let now = directory.began.elapsed();
        ring.peers(&mut lock(&directory.peers))
            .suspend(now, holder, backoff);
    }
}

/// Sends a holder everything, and then what is added, until it no longer keeps copies.
async fn copy(
    directory: &StreamDirectory,
    exchange: Exchange,
    mut added: watch::Receiver<u64>,
    confirmed: &watch::Sender<u64>,
) -> HolderEnd {
    let Exchange { sender, mut reader } = exchange;
    let mut progress = CopyProgress::default();
    let mut confirm_by = Instant::now();
    // A gateway of an earlier version confirms nothing.
    let mut confirms = false;
    added.mark_changed();
    loop {
        tokio::select! {
            biased;
            reply = reader.next::<RecordedStreams>() => match reply {
                Ok(Some(reply)) if reply.is_leaving => return HolderEnd::Leaving,
                Ok(Some(reply)) => {
                    confirms = true;
                    confirm_by = Instant::now() + CONFIRM_TIMEOUT;
                    progress.confirm(reply.messages);
                    confirmed.send_replace(progress.confirmed());
                }
                Ok(None) | Err(_) => return HolderEnd::Unreachable,
            },
            is_added = added.changed() => {
                if is_added.is_err() {
                    return HolderEnd::Unreachable;
                }
                sleep(BATCH_DELAY).await;
                added.mark_unchanged();
                if !progress.is_waiting() {
                    confirm_by = Instant::now() + CONFIRM_TIMEOUT;
                }
                while let Some(message) = directory.next_message(&mut progress) {
                    let sent = timeout(CONFIRM_TIMEOUT, sender.send(&message)).await;
                    if !matches!(sent, Ok(Ok(()))) {
                        return HolderEnd::Unreachable;
                    }
                }
            }
            () = sleep_until(confirm_by), if confirms && progress.is_waiting() => {
                return HolderEnd::Unreachable;
            }
        }
    }
}
