//! Serves the slot requests of one gateway over a single exchange.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use hinge_link::{FrameReader, FrameSender};
use hinge_schema::routing::{
    AdmitAsk, AdmitLost, AdmitVerdict, AskNumber, EngineLoad, FromAdmission, ToAdmission,
};
use hinge_telemetry::info;
use hinge_telemetry::log::Part;
use tokio::sync::mpsc;
use viz::Body;

use crate::request::{Decision, RefusalCause, SlotRequest, SlotRequestId};
use crate::server::{Shared, load, millis, stopped};

/// An event to send to the gateway about one slot request.
#[derive(Debug)]
pub(crate) enum News {
    /// It waits in the queue.
    Queued,
    /// It was granted or refused.
    Decided(Decision),
    /// The engine no longer runs it, with the time for which it has been missing from reports.
    Lost(Duration),
}

/// The sender of events about one slot request to its gateway.
#[derive(Debug, Clone)]
pub(crate) struct Asker {
    ask: Arc<AdmitAsk>,
    /// Unbounded, but holds at most three events for each slot request of the gateway, which limits its requests in
    /// flight.
    news: mpsc::UnboundedSender<(Arc<AdmitAsk>, News)>,
}

impl Asker {
    /// Sends an event to the gateway; a gateway that has disconnected ends its slot requests anyway.
    pub(crate) fn tell(&self, news: News) {
        let _gateway_is_gone = self.news.send((Arc::clone(&self.ask), news));
    }
}

/// The open slot requests of one gateway; dropping it ends them, however the exchange ended.
struct Asks {
    shared: Arc<Shared>,
    news: mpsc::UnboundedSender<(Arc<AdmitAsk>, News)>,
    open: HashMap<u64, SlotRequestId>,
}

impl Drop for Asks {
    fn drop(&mut self) {
        let open = std::mem::take(&mut self.open);
        self.shared.end(open.into_values());
    }
}

impl Asks {
    fn hear(&mut self, word: ToAdmission) {
        match word {
            ToAdmission::Ask(ask) => self.ask(ask),
            ToAdmission::Began(AskNumber { number }) => {
                if let Some(id) = self.open.get(&number) {
                    self.shared.began(*id);
                }
            }
            ToAdmission::Ended(AskNumber { number }) => {
                let ended = self.open.remove(&number);
                self.shared.end(ended.into_iter());
            }
        }
    }

    fn ask(&mut self, ask: AdmitAsk) {
        let queued = read_ask(&ask);
        let asker = Asker {
            ask: Arc::new(ask),
            news: self.news.clone(),
        };
        let number = asker.ask.number;
        let (id, is_queued) = self.shared.ask(queued, asker.clone());
        self.open.insert(number, id);
        if is_queued {
            asker.tell(News::Queued);
        }
    }

    /// Returns the frame for an event; a refused request is no longer open after it.
    fn frame(&mut self, ask: &AdmitAsk, news: &News) -> FromAdmission {
        let number = ask.number;
        match news {
            News::Queued => FromAdmission::Queued(AskNumber { number }),
            News::Decided(decision) => {
                tell_decision(ask, *decision);
                if matches!(decision, Decision::Refuse { .. }) {
                    self.open.remove(&number);
                }
                let verdict = verdict(number, *decision, load(&self.shared, false));
                FromAdmission::Verdict(verdict)
            }
            News::Lost(missing) => {
                info!(
                    Part::Admission,
                    "The engine does not run a request any more.",
                    id = ask.request_id,
                    missing_ms = missing.as_millis()
                );
                let missing_ms = millis(*missing);
                FromAdmission::Lost(AdmitLost { number, missing_ms })
            }
        }
    }
}

/// Serves one gateway until its exchange ends or, during shutdown, until it has no open slot request.
pub(crate) async fn serve(shared: Arc<Shared>, mut reader: FrameReader<Body>, sender: FrameSender) {
    let mut stopping = shared.stopping();
    let (news, mut to_tell) = mpsc::unbounded_channel();
    let mut asks = Asks {
        shared,
        news,
        open: HashMap::new(),
    };
    loop {
        tokio::select! {
            word = reader.next::<ToAdmission>() => match word {
                Ok(Some(word)) => asks.hear(word),
                Ok(None) | Err(_) => return,
            },
            Some((ask, news)) = to_tell.recv() => {
                let frame = asks.frame(&ask, &news);
                if sender.send(&frame).await.is_err() {
                    return;
                }
            }
            () = stopped(&mut stopping), if asks.open.is_empty() => return,
        }
    }
}

fn read_ask(ask: &AdmitAsk) -> SlotRequest {
    SlotRequest {
        request_id: ask.request_id.clone(),
        team: ask.team.clone(),
        rank: ask.rank,
        prompt_tokens: ask.prompt_tokens,
        answer_tokens: ask.answer_tokens,
        shared_prefix: (ask.shared_key != 0).then_some((ask.shared_key, ask.shared_tokens)),
        budget: Duration::from_millis(ask.budget_ms),
        elsewhere_tokens: ask.elsewhere_tokens,
    }
}

fn verdict(number: u64, decision: Decision, load: EngineLoad) -> AdmitVerdict {
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
    }
}

fn tell_decision(ask: &AdmitAsk, decision: Decision) {
    match decision {
        Decision::Grant {
            waited,
            ahead_tokens,
            ..
        } => info!(
            Part::Admission,
            "Granted.",
            id = ask.request_id,
            team = ask.team,
            rank = ask.rank,
            elsewhere_tokens = ask.elsewhere_tokens,
            waited_ms = waited.as_millis(),
            ahead_tokens = ahead_tokens,
            prompt_tokens = ask.prompt_tokens,
            answer_tokens = ask.answer_tokens
        ),
        Decision::Refuse {
            retry_after,
            ahead_tokens,
            cause,
            ..
        } => info!(
            Part::Admission,
            "Refused.",
            id = ask.request_id,
            cause = match cause {
                RefusalCause::Late => "late",
                RefusalCause::EngineGone => "engine_gone",
            },
            team = ask.team,
            rank = ask.rank,
            elsewhere_tokens = ask.elsewhere_tokens,
            budget_ms = ask.budget_ms,
            ahead_tokens = ahead_tokens,
            prompt_tokens = ask.prompt_tokens,
            answer_tokens = ask.answer_tokens,
            retry_after_ms = retry_after.as_millis()
        ),
    }
}
