//! Serves the asks of one gateway, all of them over one exchange.

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

use crate::ask::{Ask, AskId, Decision, RefusalCause};
use crate::serve::{Shared, load, millis, stopped};

/// Says what a gateway is told of an ask.
#[derive(Debug)]
pub(crate) enum News {
    /// It waits for its turn.
    Queued,
    /// It is decided.
    Decided(Decision),
    /// The engine does not run its request any more, and for how long not.
    Lost(Duration),
}

/// Holds who is told what becomes of an ask.
#[derive(Debug, Clone)]
pub(crate) struct Asker {
    ask: Arc<AdmitAsk>,
    /// As many words wait here as three for each ask of the gateway, which bounds its requests under way.
    news: mpsc::UnboundedSender<(Arc<AdmitAsk>, News)>,
}

impl Asker {
    /// Tells the gateway; one that is gone ends its asks by itself.
    pub(crate) fn tell(&self, news: News) {
        let _gateway_is_gone = self.news.send((Arc::clone(&self.ask), news));
    }
}

/// Holds the open asks of one gateway, and ends them when it is dropped, however the exchange ended.
struct Asks {
    shared: Arc<Shared>,
    news: mpsc::UnboundedSender<(Arc<AdmitAsk>, News)>,
    open: HashMap<u64, AskId>,
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

    /// Returns the frame that tells the news, and forgets an ask that is refused.
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

/// Serves the asks of one gateway until its exchange ends; while this process stops, until none of them is open.
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

fn read_ask(ask: &AdmitAsk) -> Ask {
    Ask {
        request_id: ask.request_id.clone(),
        team: ask.team.clone(),
        rank: ask.rank,
        prompt_tokens: ask.prompt_tokens,
        answer_tokens: ask.answer_tokens,
        shared: (ask.shared_key != 0).then_some((ask.shared_key, ask.shared_tokens)),
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
