//! Claims idempotency keys at control, before a request is handed over.

use std::collections::VecDeque;
use std::fmt::{self, Debug};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use futures::future::BoxFuture;
use futures::stream::{FuturesUnordered, StreamExt};
use hinge_link::Client;
use hinge_schema::messages::{ClaimBatch, ClaimBatchReply, ClaimKey, ClaimReply, FinishKey};
use hinge_telemetry::log::Component;
use tokio::sync::{Notify, oneshot};
use tokio::time::timeout;
use tokio_util::sync::{CancellationToken, DropGuard};

/// Path of claim batches at control.
const CLAIMS_PATH: &str = "/v1/claims";

/// Most claims, and most finished runs, in one batch; a batch is one entry of the replicated log.
const MAX_BATCH: usize = 256;

/// Delay before finished runs are reported again after a failure.
const FINISH_RETRY: Duration = Duration::from_secs(1);

/// Most finished runs queued for control; beyond it the oldest are dropped, and their keys stay taken until they expire.
const MAX_FINISHED: usize = 65_536;

/// The error when no control instance answered a claim; the request must not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Unreachable;

impl fmt::Display for Unreachable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("no control instance answered the claim")
    }
}

impl std::error::Error for Unreachable {}

/// A store of idempotency keys: control, or a fake in tests.
pub trait Claims: Debug + Send + Sync + 'static {
    /// Claims a key for one run.
    ///
    /// # Errors
    ///
    /// Returns [`Unreachable`] when it is not known whether the claim was granted.
    fn claim(&self, claim: ClaimKey) -> BoxFuture<'_, Result<ClaimReply, Unreachable>>;

    /// Reports the outcome of a run with a claimed key; the future ends once control has the report.
    ///
    /// The report is still sent when the future is dropped.
    fn finish(&self, finished: FinishKey) -> BoxFuture<'_, ()>;
}

/// A claim that waits for its batch.
#[derive(Debug)]
struct PendingClaim {
    claim: ClaimKey,
    reply: oneshot::Sender<ClaimReply>,
}

/// A finished run that waits for its batch.
#[derive(Debug)]
struct PendingFinish {
    finished: FinishKey,
    reported: oneshot::Sender<()>,
}

#[derive(Debug, Default)]
struct Queues {
    claims: VecDeque<PendingClaim>,
    ended: VecDeque<PendingFinish>,
}

#[derive(Debug)]
struct Outbox {
    queues: Mutex<Queues>,
    wake: Notify,
}

/// A client that claims keys at control; claims that arrive while a batch is in flight form the next batch.
#[derive(Debug)]
pub struct HttpClaims {
    outbox: Arc<Outbox>,
    timeout: Duration,
    _stop: DropGuard,
}

impl HttpClaims {
    /// Starts the task that sends batches; the task ends when the client is dropped.
    #[must_use]
    pub fn spawn(client: Client, control: Vec<Box<str>>, timeout: Duration) -> Self {
        let outbox = Arc::new(Outbox {
            queues: Mutex::default(),
            wake: Notify::new(),
        });
        let stop = CancellationToken::new();
        let sender = BatchSender {
            outbox: Arc::clone(&outbox),
            client,
            control,
            preferred: 0,
            timeout,
        };
        tokio::spawn(stop.clone().run_until_cancelled_owned(sender.run()));
        Self {
            outbox,
            timeout,
            _stop: stop.drop_guard(),
        }
    }
}

impl Claims for HttpClaims {
    fn claim(&self, claim: ClaimKey) -> BoxFuture<'_, Result<ClaimReply, Unreachable>> {
        let (reply, answered) = oneshot::channel();
        self.outbox.update(|queues| {
            queues.claims.push_back(PendingClaim { claim, reply });
        });
        Box::pin(async move {
            match timeout(self.timeout, answered).await {
                Ok(Ok(reply)) => Ok(reply),
                Ok(Err(_dropped)) => Err(Unreachable),
                Err(_elapsed) => Err(Unreachable),
            }
        })
    }

    fn finish(&self, finished: FinishKey) -> BoxFuture<'_, ()> {
        let (reported, has_reported) = oneshot::channel();
        self.outbox.update(|queues| {
            queues.ended.push_back(PendingFinish { finished, reported });
            if queues.ended.len() > MAX_FINISHED {
                queues.ended.pop_front();
            }
        });
        Box::pin(async move {
            // A report that was dropped from a full queue is never sent.
            let _reported_or_dropped = has_reported.await;
        })
    }
}

impl Outbox {
    fn update(&self, apply: impl FnOnce(&mut Queues)) {
        apply(&mut self.queues.lock().unwrap_or_else(PoisonError::into_inner));
        self.wake.notify_one();
    }

    /// Removes the next batch from the queues; claims whose caller no longer waits are dropped unsent.
    fn next_batch(&self) -> (Vec<PendingClaim>, Vec<PendingFinish>) {
        let mut queues = self.queues.lock().unwrap_or_else(PoisonError::into_inner);
        queues.claims.retain(|pending| !pending.reply.is_closed());
        let claims = queues.claims.len().min(MAX_BATCH);
        let ended = queues.ended.len().min(MAX_BATCH);
        (
            queues.claims.drain(..claims).collect(),
            queues.ended.drain(..ended).collect(),
        )
    }

    fn requeue(&self, ended: Vec<PendingFinish>) {
        let mut queues = self.queues.lock().unwrap_or_else(PoisonError::into_inner);
        for end in ended.into_iter().rev() {
            queues.ended.push_front(end);
        }
    }
}

/// The task that sends batches one at a time.
struct BatchSender {
    outbox: Arc<Outbox>,
    client: Client,
    control: Vec<Box<str>>,
    preferred: usize,
    timeout: Duration,
}

impl BatchSender {
    async fn run(mut self) {
        loop {
            let (pending, ended) = self.outbox.next_batch();
            if pending.is_empty() && ended.is_empty() {
                self.outbox.wake.notified().await;
                continue;
            }
            let batch = ClaimBatch {
                claims: pending
                    .iter()
                    .map(|pending| pending.claim.clone())
                    .collect(),
                finished: ended.iter().map(|end| end.finished.clone()).collect(),
            };
            if let Some(reply) = self.send(&batch).await {
                deliver(pending, reply, ended);
            } else {
                hinge_telemetry::debug!(
                    Component::Sidecar,
                    "Control did not answer claims.",
                    claims = batch.claims.len(),
                    finished = batch.finished.len()
                );
                // Reports of finished runs may be sent twice, as control keeps the first. Claims are not sent again, as their
                // callers give up.
                drop(pending);
                self.outbox.requeue(ended);
                let wake = self.outbox.wake.notified();
                let _woken_or_elapsed = timeout(FINISH_RETRY, wake).await;
            }
        }
    }

    /// Sends a batch to the instance that answered last, and to the others in turn while none answers.
    ///
    /// An instance that is slow may still be the first to answer, as when the leader's disk stalls. So its call stays open while
    /// others are asked; control grants a claim that reaches it twice to the same run.
    async fn send(&mut self, batch: &ClaimBatch) -> Option<ClaimBatchReply> {
        let count = self.control.len();
        let patience = self.timeout / 2;
        let asked = u32::try_from(count).unwrap_or(u32::MAX);
        let limit = self.timeout.max(patience.saturating_mul(asked));
        let (client, control) = (&self.client, &self.control);
        let call = |instance: usize| async move {
            let called = client.call(&control[instance], CLAIMS_PATH, batch, limit);
            (instance, called.await)
        };
        let mut next = (0..count).map(|step| (self.preferred + step) % count);
        let mut calls = FuturesUnordered::new();
        let answered = async {
            calls.extend(next.next().map(call));
            loop {
                match timeout(patience, calls.next()).await {
                    Ok(Some((instance, Ok(reply)))) => return Some((instance, reply)),
                    Ok(Some((_, Err(_)))) | Err(_) => calls.extend(next.next().map(call)),
                    Ok(None) => return None,
                }
            }
        };
        let (instance, reply) = timeout(limit, answered).await.ok().flatten()?;
        self.preferred = instance;
        Some(reply)
    }
}

fn deliver(pending: Vec<PendingClaim>, reply: ClaimBatchReply, ended: Vec<PendingFinish>) {
    for (pending, reply) in pending.into_iter().zip(reply.replies) {
        // A caller that no longer waits frees its key itself.
        let _delivered_or_gone = pending.reply.send(reply);
    }
    for end in ended {
        let _told_or_gone = end.reported.send(());
    }
}
