//! Serves the slot requests of one gateway over a single exchange.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use hinge_link::{FrameReader, FrameSender};
use hinge_schema::routing::{
    AdmitAsk, AdmitLost, AdmitVerdict, AskNumber, EngineLoad, FromAdmission, StreamsBegun,
    ToAdmission,
};
use hinge_telemetry::info;
use hinge_telemetry::log::Component;
use tokio::sync::mpsc;
use viz::Body;

use crate::request::{Decision, RefusalCause, SlotRequest, SlotRequestId};
use crate::server::{Shared, load, millis, shutdown_requested};

/// An event to send to the gateway about one slot request.
#[derive(Debug)]
pub(crate) enum SlotEvent {
    /// It waits in the queue.
    Queued,
    /// It was granted or refused.
    Decided(Decision),
    /// The engine no longer runs it, with the time for which it has been missing from reports.
    Lost(Duration),
}

/// The sender of events about one slot request to its gateway.
#[derive(Debug, Clone)]
pub(crate) struct SlotEventSender {
    request: Arc<AdmitAsk>,
    /// Unbounded, but holds at most three events for each slot request of the gateway, which limits its requests in
    /// flight.
    events: mpsc::UnboundedSender<(Arc<AdmitAsk>, SlotEvent)>,
}

impl SlotEventSender {
    /// Sends an event to the gateway; a gateway that has disconnected ends its slot requests anyway.
    pub(crate) fn send(&self, event: SlotEvent) {
        let _gateway_is_gone = self.events.send((Arc::clone(&self.request), event));
    }
}

/// The open slot requests of one gateway; dropping it ends them, however the exchange ended.
struct GatewaySession {
    shared: Arc<Shared>,
    events: mpsc::UnboundedSender<(Arc<AdmitAsk>, SlotEvent)>,
    open: HashMap<u64, OpenRequest>,
}

/// A slot request that waits or is granted.
struct OpenRequest {
    id: SlotRequestId,
    /// Stream that begins with its first event, if that may continue elsewhere.
    stream: Option<StreamsBegun>,
}

impl Drop for GatewaySession {
    fn drop(&mut self) {
        let open = std::mem::take(&mut self.open);
        self.shared
            .end(open.into_values().map(|request| request.id));
    }
}

impl GatewaySession {
    fn handle_frame(&mut self, frame: ToAdmission) {
        match frame {
            ToAdmission::Ask(request) => self.enqueue(request),
            ToAdmission::Began(AskNumber { number }) => {
                if let Some(request) = self.open.get_mut(&number) {
                    self.shared.answer_began(request.id);
                    if let Some(stream) = request.stream.take() {
                        self.shared.stream_began(&stream);
                    }
                }
            }
            ToAdmission::Ended(AskNumber { number }) => {
                let ended = self.open.remove(&number);
                self.shared.end(ended.into_iter().map(|request| request.id));
            }
        }
    }

    fn enqueue(&mut self, request: AdmitAsk) {
        let slot_request = to_slot_request(&request);
        let event_sender = SlotEventSender {
            request: Arc::new(request),
            events: self.events.clone(),
        };
        let number = event_sender.request.number;
        let (id, is_queued) = {
            let warm_up = event_sender.request.warm_up.as_ref();
            let event_sender = event_sender.clone();
            self.shared.enqueue(slot_request, warm_up, event_sender)
        };
        let stream = event_sender.request.stream.clone();
        self.open.insert(number, OpenRequest { id, stream });
        if is_queued {
            event_sender.send(SlotEvent::Queued);
        }
    }

    /// Returns the frame for an event; a refused request is no longer open after it.
    fn frame(&mut self, request: &AdmitAsk, event: &SlotEvent) -> FromAdmission {
        let number = request.number;
        match event {
            SlotEvent::Queued => FromAdmission::Queued(AskNumber { number }),
            SlotEvent::Decided(decision) => {
                log_decision(request, *decision);
                if matches!(decision, Decision::Refuse { .. }) {
                    self.open.remove(&number);
                }
                let verdict = verdict(number, *decision, load(&self.shared, false));
                FromAdmission::Verdict(verdict)
            }
            SlotEvent::Lost(missing_for) => {
                info!(
                    Component::Admission,
                    "The engine does not run a request any more.",
                    id = request.request_id,
                    missing_ms = missing_for.as_millis()
                );
                let missing_ms = millis(*missing_for);
                FromAdmission::Lost(AdmitLost { number, missing_ms })
            }
        }
    }
}

/// Serves one gateway until its exchange ends or, during shutdown, until it has no open slot request.
pub(crate) async fn serve(shared: Arc<Shared>, mut reader: FrameReader<Body>, sender: FrameSender) {
    let mut shutdown_signal = shared.shutdown_signal();
    let (events, mut pending) = mpsc::unbounded_channel();
    let mut session = GatewaySession {
        shared,
        events,
        open: HashMap::new(),
    };
    loop {
        tokio::select! {
            frame = reader.next::<ToAdmission>() => match frame {
                Ok(Some(frame)) => session.handle_frame(frame),
                Ok(None) | Err(_) => return,
            },
            Some((request, event)) = pending.recv() => {
                let frame = session.frame(&request, &event);
                if sender.send(&frame).await.is_err() {
                    return;
                }
            }
            () = shutdown_requested(&mut shutdown_signal), if session.open.is_empty() => return,
        }
    }
}

fn to_slot_request(request: &AdmitAsk) -> SlotRequest {
    SlotRequest {
        request_id: request.request_id.clone(),
        team: request.team.clone(),
        rank: request.rank,
        prompt_tokens: request.prompt_tokens,
        answer_tokens: request.answer_tokens,
        shared_prefix: (request.shared_key != 0)
            .then_some((request.shared_key, request.shared_tokens)),
        budget: Duration::from_millis(request.budget_ms),
        elsewhere_tokens: request.elsewhere_tokens,
        return_key: request.return_key,
    }
}

fn verdict(number: u64, decision: Decision, load: EngineLoad) -> AdmitVerdict {
    let is_promised = matches!(
        decision,
        Decision::Refuse {
            is_promised: true,
            ..
        }
    );
    let (granted, retry_after, waited, ahead_tokens) = match decision {
        Decision::Grant {
            waited,
            ahead_tokens,
            ..
        } => (true, Duration::ZERO, waited, ahead_tokens),
        Decision::Refuse {
            retry_after,
            ahead_tokens,
            ..
        } => (false, retry_after, Duration::ZERO, ahead_tokens),
    };
    AdmitVerdict {
        number,
        granted,
        retry_after_ms: millis(retry_after),
        wait_ms: millis(waited),
        ahead_tokens,
        load,
        is_promised: is_promised.then_some(true),
    }
}

fn log_decision(request: &AdmitAsk, decision: Decision) {
    match decision {
        Decision::Grant {
            waited,
            ahead_tokens,
            has_returned,
            ..
        } => info!(
            Component::Admission,
            "Granted.",
            id = request.request_id,
            team = request.team,
            rank = request.rank,
            elsewhere_tokens = request.elsewhere_tokens,
            waited_ms = waited.as_millis(),
            has_returned = has_returned,
            ahead_tokens = ahead_tokens,
            prompt_tokens = request.prompt_tokens,
            answer_tokens = request.answer_tokens
        ),
        Decision::Refuse {
            retry_after,
            ahead_tokens,
            cause,
            is_promised,
            ..
        } => info!(
            Component::Admission,
            "Refused.",
            id = request.request_id,
            cause = match cause {
                RefusalCause::Late => "late",
                RefusalCause::EngineGone => "engine_gone",
            },
            team = request.team,
            rank = request.rank,
            elsewhere_tokens = request.elsewhere_tokens,
            budget_ms = request.budget_ms,
            ahead_tokens = ahead_tokens,
            prompt_tokens = request.prompt_tokens,
            answer_tokens = request.answer_tokens,
            retry_after_ms = retry_after.as_millis(),
            is_promised = is_promised
        ),
    }
}
