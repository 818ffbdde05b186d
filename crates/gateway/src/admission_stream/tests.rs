//! Checks which reported losses make a gateway give a request up.

use std::sync::Arc;
use std::time::Duration;

use hinge_cases::async_cases;
use hinge_clock::BootInstant;
use hinge_schema::routing::{AdmitAsk, AdmitLost, AdmitVerdict, EngineLoad, FromAdmission};
use tokio::sync::mpsc;
use tokio::time::{advance, timeout};

use super::{AdmissionStream, deliver, lock};
use crate::admission::Grant;

const LOST_GRACE: Duration = Duration::from_millis(200);

/// Time after its grant at which an admission reports a request that no report has listed.
const LOST_AFTER_MS: u64 = 1_010;

/// Returns whether a gateway gives a request up that it asked for, was granted after `wait_ms` in the queue, and sent
/// `sent_after_ms` after that.
async fn is_given_up(wait_ms: u64, sent_after_ms: u64) -> bool {
    let (messages, _to_send) = mpsc::unbounded_channel();
    let asks = Arc::default();
    let stream = Arc::new(AdmissionStream { messages, asks });
    let asked_at = BootInstant::now();
    let sent_ask = stream.ask(AdmitAsk {
        number: 0,
        request_id: "id-1".into(),
        team: "a".into(),
        rank: 1,
        prompt_tokens: 1_000,
        answer_tokens: 50,
        shared_key: 0,
        shared_tokens: 0,
        budget_ms: 2_000,
        elsewhere_tokens: 0,
        warm_up: None,
        return_key: None,
        stream: None,
    });
    let verdict = AdmitVerdict {
        is_promised: None,
        number: 0,
        granted: true,
        retry_after_ms: 0,
        wait_ms,
        ahead_tokens: 0,
        load: EngineLoad {
            running: 1,
            unread_tokens: 0,
            waiting_tokens: 0,
            teams: Vec::new(),
            engine_is_gone: None,
            warm_up_ms: None,
            pace: None,
            engine_born_unix_ms: None,
        },
    };
    let mut grant = Grant::new(sent_ask, &verdict, asked_at, LOST_GRACE);
    let sent_after = Duration::from_millis(wait_ms + sent_after_ms);
    advance(sent_after).await;
    grant.record_sent(asked_at + sent_after);
    advance(Duration::from_millis(
        LOST_AFTER_MS.saturating_sub(sent_after_ms),
    ))
    .await;
    let lost = AdmitLost {
        number: 0,
        missing_ms: 900,
    };
    deliver(&mut lock(&stream.asks), FromAdmission::Lost(lost));
    timeout(Duration::from_mins(1), grant.wait_until_lost())
        .await
        .is_ok()
}

async_cases! {
    // Guards against a second run beside the first: a stalled gateway sends after the loss was reported, and the engine runs it.
    a_request_sent_after_its_loss_was_reported_is_not_given_up => {
        assert!(!is_given_up(0, 1_200).await);
    }
    // Guards against giving a request up that has just arrived, for it was sent shortly before the loss was reported.
    a_request_sent_shortly_before_its_loss_was_reported_is_not_given_up => {
        assert!(!is_given_up(0, 1_000).await);
    }
    // Guards against callers who wait until their deadline for an answer that the engine has lost.
    a_lost_request_is_given_up => {
        assert!(is_given_up(0, 50).await);
    }
    // Guards against counting the wait in the queue as a late send.
    a_lost_request_is_given_up_however_long_it_was_queued => {
        assert!(is_given_up(1_500, 50).await);
    }
}
