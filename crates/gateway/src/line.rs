//! Carries the asks of this gateway to one admission, all of them over one exchange.
//!
//! An exchange for each ask would cost a small gateway more than the rest of a short request: a stream of its own, with
//! heads both ways, a reset at its end, and a wake-up for each of them.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hinge_admission::ASKS_PATH;
use hinge_link::{CallError, Client, Exchange, FrameSender};
use hinge_schema::routing::{AdmitAsk, AdmitVerdict, AskNumber, FromAdmission, ToAdmission};
use tokio::sync::{mpsc, oneshot};

/// Holds who waits for word of an ask.
#[derive(Debug)]
struct Waiter {
    verdict: Option<oneshot::Sender<AdmitVerdict>>,
    lost: Option<oneshot::Sender<()>>,
    is_queued: bool,
}

#[derive(Debug, Default)]
struct Asks {
    waiters: HashMap<u64, Waiter>,
    next_number: u64,
    is_closed: bool,
}

/// Holds the open exchange with one admission; it ends with the last ask when its owner has dropped it.
#[derive(Debug)]
pub(crate) struct Line {
    /// As many words wait here as three for each request under way, which the gateway bounds.
    words: mpsc::UnboundedSender<ToAdmission>,
    asks: Arc<Mutex<Asks>>,
}

impl Line {
    /// Opens the exchange.
    ///
    /// # Errors
    ///
    /// Returns a [`CallError`] when the admission does not accept it in time.
    pub(crate) async fn open(
        client: &Client,
        address: &str,
        wait: Duration,
    ) -> Result<Self, CallError> {
        let exchange = client.open(address, ASKS_PATH, wait).await?;
        let (words, to_send) = mpsc::unbounded_channel();
        let asks = Arc::new(Mutex::new(Asks::default()));
        tokio::spawn(carry(exchange, to_send, Arc::clone(&asks)));
        Ok(Self { words, asks })
    }

    /// Returns whether the exchange has ended.
    pub(crate) fn is_closed(&self) -> bool {
        lock(&self.asks).is_closed
    }

    /// Sends an ask; where the exchange has ended, no verdict comes.
    pub(crate) fn ask(self: &Arc<Self>, mut ask: AdmitAsk) -> Asked {
        let (verdict, told) = oneshot::channel();
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
            if !asks.is_closed {
                asks.waiters.insert(ask.number, waiter);
            }
        }
        let asked = Asked {
            line: Arc::clone(self),
            number: ask.number,
            verdict: told,
            is_lost,
            is_cut_off: false,
            is_refused: false,
        };
        self.say(ToAdmission::Ask(ask));
        asked
    }

    fn say(&self, word: ToAdmission) {
        // The end of the exchange ends all of its asks.
        let _exchange_has_ended = self.words.send(word);
    }
}

/// Holds an ask; its end tells the admission that the request has ended, or that its caller no longer waits.
#[derive(Debug)]
pub(crate) struct Asked {
    line: Arc<Line>,
    number: u64,
    verdict: oneshot::Receiver<AdmitVerdict>,
    is_lost: oneshot::Receiver<()>,
    /// Whether the exchange has ended, after which no word of a loss comes.
    is_cut_off: bool,
    is_refused: bool,
}

impl Asked {
    /// Waits for the verdict; none when the exchange has ended. It may be dropped while it waits.
    pub(crate) async fn verdict(&mut self) -> Option<AdmitVerdict> {
        let verdict = (&mut self.verdict).await.ok()?;
        self.is_refused = !verdict.granted;
        Some(verdict)
    }

    /// Returns whether the admission has said that the ask waits for its turn.
    pub(crate) fn is_queued(&self) -> bool {
        let asks = lock(&self.line.asks);
        let waiter = asks.waiters.get(&self.number);
        waiter.is_some_and(|waiter| waiter.is_queued)
    }

    /// Waits until the admission says that the engine does not run the request any more.
    ///
    /// It may be dropped while it waits, and called again until it has returned.
    pub(crate) async fn lost(&mut self) {
        if !self.is_cut_off && (&mut self.is_lost).await.is_ok() {
            return;
        }
        // An admission that is gone says nothing about the request.
        self.is_cut_off = true;
        std::future::pending::<()>().await;
    }

    /// Tells the admission that the prompt is read.
    pub(crate) fn began(&self) {
        let number = self.number;
        self.line.say(ToAdmission::Began(AskNumber { number }));
    }
}

impl Drop for Asked {
    fn drop(&mut self) {
        let number = self.number;
        lock(&self.line.asks).waiters.remove(&number);
        if !self.is_refused {
            self.line.say(ToAdmission::Ended(AskNumber { number }));
        }
    }
}

/// Carries the words of both sides until the exchange ends, or nobody holds the line any more.
async fn carry(
    exchange: Exchange,
    to_send: mpsc::UnboundedReceiver<ToAdmission>,
    asks: Arc<Mutex<Asks>>,
) {
    let Exchange { sender, mut reader } = exchange;
    let hear = async {
        while let Ok(Some(word)) = reader.next::<FromAdmission>().await {
            heard(&mut lock(&asks), word);
        }
    };
    // Both go on at once, so that neither side waits for the other to read.
    tokio::select! {
        () = send_all(to_send, sender) => {}
        () = hear => {}
    }
    let mut asks = lock(&asks);
    asks.is_closed = true;
    asks.waiters.clear();
}

async fn send_all(mut to_send: mpsc::UnboundedReceiver<ToAdmission>, sender: FrameSender) {
    while let Some(word) = to_send.recv().await {
        if sender.send(&word).await.is_err() {
            return;
        }
    }
}

/// Passes a word on to the one that waits for it; one that is gone has told its end.
fn heard(asks: &mut Asks, word: FromAdmission) {
    match word {
        FromAdmission::Queued(AskNumber { number }) => {
            if let Some(waiter) = asks.waiters.get_mut(&number) {
                waiter.is_queued = true;
            }
        }
        FromAdmission::Verdict(verdict) => {
            let waiter = asks.waiters.get_mut(&verdict.number);
            let teller = waiter.and_then(|waiter| waiter.verdict.take());
            let _asker_is_gone = teller.map(|teller| teller.send(verdict));
        }
        FromAdmission::Lost(lost) => {
            let waiter = asks.waiters.get_mut(&lost.number);
            let teller = waiter.and_then(|waiter| waiter.lost.take());
            let _asker_is_gone = teller.map(|teller| teller.send(()));
        }
    }
}

fn lock(asks: &Mutex<Asks>) -> MutexGuard<'_, Asks> {
    asks.lock().unwrap_or_else(PoisonError::into_inner)
}
