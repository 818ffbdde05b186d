//! Multiplexes all asks of this gateway to one admission over a single exchange.
//!
//! An exchange per ask would cost a small gateway more than the rest of a short request: an HTTP/2 stream of its own, with
//! headers in both directions, a reset at its end, and a wake-up for each of these.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hinge_admission::ASKS_PATH;
use hinge_link::{CallError, Client, Exchange, FrameSender};
use hinge_schema::routing::{
    AdmitAsk, AdmitVerdict, AskNumber, FromAdmission, ToAdmission, WarmUp,
};
use tokio::sync::{mpsc, oneshot};

/// The channels through which one ask receives its replies.
#[derive(Debug)]
struct Waiter {
    verdict: Option<oneshot::Sender<AdmitVerdict>>,
    lost: Option<oneshot::Sender<()>>,
    is_queued: bool,
}

#[derive(Debug, Default)]
struct Asks {
    waiters: HashMap<u64, Waiter>,
    /// Warm-up limits that the admission has been told in this exchange.
    told_limits: Option<WarmUp>,
    next_number: u64,
    is_closed: bool,
}

impl Asks {
    /// Removes what the admission knows already.
    fn shorten_warm_up(&mut self, ask: &mut AdmitAsk) {
        let Some(warm_up) = &ask.warm_up else {
            return;
        };
        if self.told_limits.as_ref() == Some(&warm_up.limits) && warm_up.left_ms == 0 {
            ask.warm_up = None;
        } else {
            self.told_limits = Some(warm_up.limits.clone());
        }
    }
}

/// An open exchange with one admission, which ends once its owner and all of its asks are dropped.
#[derive(Debug)]
pub(crate) struct AdmissionStream {
    /// Unbounded, because each request sends at most three messages and the gateway bounds the requests in progress.
    messages: mpsc::UnboundedSender<ToAdmission>,
    asks: Arc<Mutex<Asks>>,
}

impl AdmissionStream {
    /// Opens the exchange.
    ///
    /// # Errors
    ///
    /// Returns a [`CallError`] when the admission does not accept the exchange in time.
    pub(crate) async fn open(
        client: &Client,
        address: &str,
        wait: Duration,
    ) -> Result<Self, CallError> {
        let exchange = client.open(address, ASKS_PATH, wait).await?;
        let (messages, to_send) = mpsc::unbounded_channel();
        let asks = Arc::new(Mutex::new(Asks::default()));
        tokio::spawn(transfer(exchange, to_send, Arc::clone(&asks)));
        Ok(Self { messages, asks })
    }

    /// Returns whether the exchange has ended.
    pub(crate) fn is_closed(&self) -> bool {
        lock(&self.asks).is_closed
    }

    /// Sends an ask; if the exchange has ended, its verdict is `None`.
    pub(crate) fn ask(self: &Arc<Self>, mut ask: AdmitAsk) -> SentAsk {
        let (verdict, verdict_receiver) = oneshot::channel();
        let (lost, is_lost) = oneshot::channel();
        let waiter = Waiter {
            verdict: Some(verdict),
            lost: Some(lost),
            is_queued: false,
        };
        {
            let mut asks = lock(&self.asks);
            ask.number = asks.next_number;
            asks.next_number += 1;
            asks.shorten_warm_up(&mut ask);
            if !asks.is_closed {
                asks.waiters.insert(ask.number, waiter);
            }
        }
        let sent_ask = SentAsk {
            stream: Arc::clone(self),
            number: ask.number,
            verdict: verdict_receiver,
            is_lost,
            is_cut_off: false,
            is_refused: false,
        };
        self.send(ToAdmission::Ask(ask));
        sent_ask
    }

    fn send(&self, message: ToAdmission) {
        // A send fails only after the exchange has ended, which ends all of its asks as well.
        let _exchange_has_ended = self.messages.send(message);
    }
}

/// A sent ask; dropping it tells the admission that the request has ended or that its caller no longer waits.
#[derive(Debug)]
pub(crate) struct SentAsk {
    stream: Arc<AdmissionStream>,
    number: u64,
    verdict: oneshot::Receiver<AdmitVerdict>,
    is_lost: oneshot::Receiver<()>,
    /// Whether the exchange has ended, after which no loss can be reported.
    is_cut_off: bool,
    is_refused: bool,
}

impl SentAsk {
    /// Waits for the verdict; `None` when the exchange has ended. Cancel-safe.
    pub(crate) async fn verdict(&mut self) -> Option<AdmitVerdict> {
        let verdict = (&mut self.verdict).await.ok()?;
        self.is_refused = !verdict.granted;
        Some(verdict)
    }

    /// Returns whether the admission has reported that the ask is queued.
    pub(crate) fn is_queued(&self) -> bool {
        let asks = lock(&self.stream.asks);
        let waiter = asks.waiters.get(&self.number);
        waiter.is_some_and(|waiter| waiter.is_queued)
    }

    /// Waits until the admission reports that the engine no longer runs the request.
    ///
    /// Cancel-safe; must not be called again once it has returned.
    pub(crate) async fn wait_until_lost(&mut self) {
        if !self.is_cut_off && (&mut self.is_lost).await.is_ok() {
            return;
        }
        // The loss of the admission says nothing about the request at the engine.
        self.is_cut_off = true;
        std::future::pending::<()>().await;
    }

    /// Tells the admission that the prompt has been prefilled.
    pub(crate) fn report_prefilled(&self) {
        let number = self.number;
        self.stream.send(ToAdmission::Began(AskNumber { number }));
    }
}

impl Drop for SentAsk {
    fn drop(&mut self) {
        let number = self.number;
        lock(&self.stream.asks).waiters.remove(&number);
        if !self.is_refused {
            self.stream.send(ToAdmission::Ended(AskNumber { number }));
        }
    }
}

/// Transfers messages in both directions until the exchange ends or all of its handles are dropped.
async fn transfer(
    exchange: Exchange,
    to_send: mpsc::UnboundedReceiver<ToAdmission>,
    asks: Arc<Mutex<Asks>>,
) {
    let Exchange { sender, mut reader } = exchange;
    let receive = async {
        while let Ok(Some(message)) = reader.next::<FromAdmission>().await {
            deliver(&mut lock(&asks), message);
        }
    };
    // Sending and receiving run concurrently, so that neither side blocks on the other.
    tokio::select! {
        () = send_all(to_send, sender) => {}
        () = receive => {}
    }
    let mut asks = lock(&asks);
    asks.is_closed = true;
    asks.waiters.clear();
}

async fn send_all(mut to_send: mpsc::UnboundedReceiver<ToAdmission>, sender: FrameSender) {
    while let Some(message) = to_send.recv().await {
        if sender.send(&message).await.is_err() {
            return;
        }
    }
}

/// Delivers a message to its ask; a dropped ask has already reported its end.
fn deliver(asks: &mut Asks, message: FromAdmission) {
    match message {
        FromAdmission::Queued(AskNumber { number }) => {
            if let Some(waiter) = asks.waiters.get_mut(&number) {
                waiter.is_queued = true;
            }
        }
        FromAdmission::Verdict(verdict) => {
            let waiter = asks.waiters.get_mut(&verdict.number);
            let sender = waiter.and_then(|waiter| waiter.verdict.take());
            let _ask_was_dropped = sender.map(|sender| sender.send(verdict));
        }
        FromAdmission::Lost(lost) => {
            let waiter = asks.waiters.get_mut(&lost.number);
            let sender = waiter.and_then(|waiter| waiter.lost.take());
            let _ask_was_dropped = sender.map(|sender| sender.send(()));
        }
    }
}

fn lock(asks: &Mutex<Asks>) -> MutexGuard<'_, Asks> {
    asks.lock().unwrap_or_else(PoisonError::into_inner)
}

#[cfg(test)]
mod tests;
