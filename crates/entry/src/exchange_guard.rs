//! Cancels a request at its sidecar when nobody waits for it any more.

use std::sync::Arc;

use hinge_link::{Exchange, FrameError};
use hinge_outcome::GrantId;
use hinge_schema::messages::{Cancel, CancelRun, FromSidecar, ToSidecar, VerdictReply};
use tokio::runtime::Handle;
use tokio::time::timeout;

use crate::shared::{OpenRequest, Shared};

/// A guard that owns the exchange of an offer, and cancels the request when it is dropped.
///
/// When a caller disconnects, the request's future is dropped at whichever await it has reached, so only a `Drop`
/// implementation frees the slot in every case.
#[derive(Debug)]
pub struct ExchangeGuard {
    /// Address of the sidecar.
    pub address: Box<str>,
    shared: Arc<Shared>,
    request_id: u64,
    grant: Option<GrantId>,
    exchange: Option<Exchange>,
    is_lost: bool,
}

impl ExchangeGuard {
    /// Creates a guard for an exchange.
    #[must_use]
    pub fn new(
        shared: Arc<Shared>,
        exchange: Exchange,
        address: Box<str>,
        request_id: u64,
    ) -> Self {
        Self {
            address,
            shared,
            request_id,
            grant: None,
            exchange: Some(exchange),
            is_lost: false,
        }
    }

    /// Returns the exchange.
    ///
    /// # Panics
    ///
    /// Panics after the guard was disarmed or the exchange was lost, when no frame can be read or sent.
    pub fn exchange(&mut self) -> &mut Exchange {
        self.exchange
            .as_mut()
            .expect("the guard owns an exchange until the request has its outcome")
    }

    /// Sends a frame if the exchange is open and has room for it, and returns whether it was sent.
    pub fn try_send(&self, frame: &ToSidecar) -> bool {
        let exchange = self.exchange.as_ref();
        exchange.is_some_and(|exchange| exchange.sender.try_send(frame).is_ok())
    }

    /// Replaces a broken exchange.
    pub fn replace(&mut self, exchange: Exchange) {
        self.exchange = Some(exchange);
        self.is_lost = false;
    }

    /// Records that the exchange broke, so that the run can only be cancelled by a separate call.
    pub fn mark_lost(&mut self) {
        self.exchange = None;
        self.is_lost = true;
    }

    /// Records the grant, so that the run can be cancelled after its exchange is lost.
    pub fn set_grant(&mut self, holder: GrantId) {
        self.grant = Some(holder);
    }

    /// Ends the exchange without a cancel, as the request has ended at the sidecar.
    ///
    /// The sidecar drops its copy of an answer once the entry ends its side of the exchange; a reset would make it keep the
    /// answer for a resume. So the reading half stays open until the sidecar has ended its side, too.
    pub fn disarm(&mut self) {
        self.is_lost = false;
        let Some(Exchange { sender, mut reader }) = self.exchange.take() else {
            return;
        };
        drop(sender);
        // Counts as an open request, so that a draining entry does not exit before the sidecar has seen the end.
        let open = OpenRequest::begin(&self.shared);
        let wait = self.shared.settings.call_timeout;
        tokio::spawn(async move {
            let ended = timeout(wait, async {
                while let Ok(Some(FromSidecar::Granted(_))) = reader.next().await {}
            });
            let _ended_or_reset = ended.await;
            drop(open);
        });
    }
}

impl Drop for ExchangeGuard {
    fn drop(&mut self) {
        let Ok(runtime) = Handle::try_current() else {
            return;
        };
        let cancellation = Cancellation {
            shared: Arc::clone(&self.shared),
            address: std::mem::take(&mut self.address),
            request_id: self.request_id,
            grant: self.grant,
        };
        match self.exchange.take() {
            Some(exchange) => drop(runtime.spawn(cancellation.cancel_on_exchange(exchange))),
            None if self.is_lost => drop(runtime.spawn(cancellation.cancel_by_call())),
            None => {}
        }
    }
}

/// A request that is being cancelled at its sidecar.
struct Cancellation {
    shared: Arc<Shared>,
    address: Box<str>,
    request_id: u64,
    grant: Option<GrantId>,
}

impl Cancellation {
    /// Sends the cancel frame and waits for the sidecar to end the exchange.
    ///
    /// Dropping the reading half at once would reset the exchange, and the reset overtakes the cancel: the sidecar would
    /// treat it as a broken link, and keep a bound run going for a resume that never comes.
    async fn cancel_on_exchange(self, exchange: Exchange) {
        let Exchange { sender, mut reader } = exchange;
        let cancel = ToSidecar::Cancel(Cancel {
            request_id: self.request_id,
        });
        let wait = self.shared.settings.call_timeout;
        let sent = timeout(wait, sender.send(&cancel)).await;
        drop(sender);
        let drained = timeout(wait, async {
            while let Some(frame) = reader.next::<FromSidecar>().await? {
                if matches!(frame, FromSidecar::Granted(_)) {
                    self.shared.metrics.count_lost_grant();
                }
            }
            Ok::<(), FrameError>(())
        })
        .await;
        if !matches!((sent, drained), (Ok(Ok(())), Ok(Ok(())))) {
            self.cancel_by_call().await;
        }
    }

    async fn cancel_by_call(self) {
        let Some(holder) = self.grant else {
            return;
        };
        let cancel = CancelRun {
            request_id: self.request_id,
            claim_id: holder.claim,
            incarnation: holder.incarnation,
        };
        let wait = self.shared.settings.call_timeout;
        let client = &self.shared.client;
        // The reply is not needed, and a sidecar that can't be reached ends a run without an entry by itself.
        let _reply: Result<VerdictReply, _> = client
            .call(&self.address, "/v1/cancel", &cancel, wait)
            .await;
    }
}
