//! Asks control to let single requests with held prompt parts through.
//!
//! A part may be held by mistake, and then no answer can show that it is sound. Control grants few trials, so that the fleet
//! spends few endpoints on a part that does crash them.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hinge_control::TRY_PARTS_PATH;
use hinge_link::Client;
use hinge_routing::RequestKey;
use hinge_schema::routing::{AskTrial, AskTrialReply};
use hinge_telemetry::info;
use hinge_telemetry::log::Component;
use hinge_telemetry::metrics::Registry;
use prometheus_client::metrics::counter::Counter;
use smallvec::SmallVec;
use tokio::sync::{Notify, oneshot};
use tokio::time::{Instant, timeout};

use crate::attempt::part_ids;
use crate::routing_state::RoutingState;

/// Minimum time between two questions of this gateway; control grants a trial of a part every two seconds at most.
const ASK_INTERVAL: Duration = Duration::from_secs(1);

/// Timeout of a question, during which a request waits.
const ASK_TIMEOUT: Duration = Duration::from_millis(300);

/// The held parts of a request's prompt.
pub(crate) type TrialParts = SmallVec<[RequestKey; 3]>;

#[derive(Debug)]
struct Ask {
    parts: TrialParts,
    granted: oneshot::Sender<bool>,
}

#[derive(Debug, Default)]
struct Asks {
    next: Option<Ask>,
    asked_at: Option<Instant>,
}

/// The questions of this gateway, of which there is one at a time.
#[derive(Debug)]
pub(crate) struct PartTrials {
    asks: Mutex<Asks>,
    added: Notify,
    granted: Counter,
}

impl PartTrials {
    pub(crate) fn register(registry: &Registry) -> Self {
        Self {
            asks: Mutex::default(),
            added: Notify::new(),
            granted: registry.counter(
                "gateway_part_trials",
                "Requests with held prompt parts that were let through as trials.",
            ),
        }
    }

    /// Asks control whether a request with these held parts may be sent, and returns whether it may.
    pub(crate) async fn ask(&self, parts: TrialParts) -> bool {
        let Some(granted) = self.enqueue(parts) else {
            return false;
        };
        let is_granted = matches!(timeout(ASK_TIMEOUT, granted).await, Ok(Ok(true)));
        if is_granted {
            self.granted.inc();
        }
        is_granted
    }

    /// Enqueues a question, unless another one was asked a moment ago.
    fn enqueue(&self, parts: TrialParts) -> Option<oneshot::Receiver<bool>> {
        let (sender, granted) = oneshot::channel();
        let mut asks = self.lock();
        let last = asks.asked_at;
        if last.is_some_and(|asked_at| asked_at.elapsed() < ASK_INTERVAL) {
            return None;
        }
        asks.asked_at = Some(Instant::now());
        asks.next = Some(Ask {
            parts,
            granted: sender,
        });
        drop(asks);
        self.added.notify_one();
        Some(granted)
    }

    fn lock(&self) -> MutexGuard<'_, Asks> {
        self.asks.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Sends the questions to control, until the task is aborted.
pub(crate) async fn run(client: Client, instance: Box<str>, routing: Arc<RoutingState>) {
    let trials = &routing.suspects.trials;
    loop {
        trials.added.notified().await;
        let Some(ask) = trials.lock().next.take() else {
            continue;
        };
        let parts = ask.parts.iter().map(|part| part.to_string().into());
        let message = AskTrial {
            instance: instance.clone(),
            parts: parts.collect(),
        };
        let granted = ask_any(&client, &routing, &message).await;
        let ids: SmallVec<[u64; 3]> = ask.parts.iter().filter_map(RequestKey::part).collect();
        info!(
            Component::Gateway,
            "Asked control for a trial of held prompt parts.",
            parts = part_ids(&ids),
            granted = granted
        );
        // A request that has waited for too long was refused.
        let _sent_or_refused = ask.granted.send(granted);
    }
}

/// Returns the reply of the first control instance that answers; without one a trial is not granted.
async fn ask_any(client: &Client, routing: &RoutingState, message: &AskTrial) -> bool {
    for address in routing.control.load().iter() {
        let replied = client.call(address, TRY_PARTS_PATH, message, ASK_TIMEOUT);
        let replied: Result<AskTrialReply, _> = replied.await;
        if let Ok(reply) = replied {
            return reply.granted;
        }
    }
    false
}
