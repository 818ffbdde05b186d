//! Runs the attempts of a request until it has an answer or a final refusal.

use std::sync::PoisonError;

use hinge_outcome::{Attempt, Event, FinishedAttempt, Outcome, RetryDecision};
use tokio::time::{Instant, sleep, timeout_at};
use viz::Response;

use crate::answer;
use crate::body::BodyFault;
use crate::bound::{AnswerPart, BoundRequest};
use crate::offers::{RaceResult, race_offers};
use crate::refusal::{Certainty, Refusal};
use crate::request::RequestContext;

/// The result of one attempt.
enum AttemptEnd {
    /// The answer's head arrived.
    Answering(Box<BoundRequest>, hinge_schema::messages::AnswerHead),
    /// The attempt ended without an answer.
    Ended(Outcome, Option<BodyFault>),
}

/// Runs the request and returns its answer or a refusal.
pub async fn run(mut ctx: RequestContext) -> Response {
    let mut attempts = 0;
    ctx.shared
        .budgets
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .record_first_attempt(&ctx.team);
    loop {
        attempts += 1;
        match attempt(&mut ctx).await {
            AttemptEnd::Answering(bound, head) => return answer::response(*bound, ctx, &head),
            AttemptEnd::Ended(outcome, Some(fault)) => return refuse_body(&ctx, outcome, fault),
            AttemptEnd::Ended(outcome, None) => match decide_retry(&ctx, outcome, attempts) {
                RetryDecision::After(wait) => {
                    ctx.shared.metrics.count_retry();
                    sleep(wait).await;
                }
                RetryDecision::Final(outcome) => return refuse(&ctx, outcome),
            },
        }
    }
}

async fn attempt(request: &mut RequestContext) -> AttemptEnd {
    let request_id = rand::random();
    let mut attempt = Attempt::new();
    let grant = match race_offers(request, &mut attempt, request_id).await {
        RaceResult::Granted(grant) => grant,
        RaceResult::Settled(outcome) => return AttemptEnd::Ended(outcome, None),
    };
    let wait = request.arrived.elapsed();
    request.metrics.observe_wait(wait);
    request.permit.leave_queue();
    request
        .shared
        .metrics
        .set_waiting(request.shared.teams.waiting());
    let sidecar = grant.holder.sidecar;
    request.selector.record_assignment(sidecar);
    let bound_at = Instant::now();
    let mut bound = BoundRequest::bind(request, attempt, request_id, *grant).await;
    let first_part = timeout_at(request.deadline, bound.next()).await;
    match first_part {
        Ok(AnswerPart::Head(head)) => {
            request.observe_head(sidecar, head.status, bound_at.elapsed());
            AttemptEnd::Answering(Box::new(bound), head)
        }
        Ok(AnswerPart::Settled(outcome)) => {
            if bound.body_fault.is_none() {
                request.observe_outcome(sidecar, outcome);
            }
            AttemptEnd::Ended(outcome, bound.body_fault)
        }
        // The answer check rejects bytes that come before the head.
        Ok(AnswerPart::Bytes(_)) => AttemptEnd::Ended(
            bound.settle(Event::AnswerBroken(hinge_outcome::Reason::AnswerGarbled)),
            None,
        ),
        Err(_elapsed) => {
            let retry_after = request.min_retry_after;
            AttemptEnd::Ended(bound.settle(Event::Deadline { retry_after }), None)
        }
    }
}

fn decide_retry(request: &RequestContext, outcome: Outcome, attempts: u32) -> RetryDecision {
    // A body that was streamed can't be sent again, even if the retry budgets allow it.
    if !request.body.is_sendable() {
        return RetryDecision::Final(outcome);
    }
    let finished = FinishedAttempt {
        outcome,
        is_idempotent: request.is_idempotent,
        answer_started: false,
        attempts,
    };
    let shared = &request.shared;
    let deadline = request.deadline.saturating_duration_since(shared.started);
    shared
        .budgets
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .decide(
            &request.team,
            &finished,
            shared.now(),
            deadline,
            &mut rand::rng(),
        )
}

fn refuse(request: &RequestContext, outcome: Outcome) -> Response {
    request.count_end(outcome);
    Refusal::of_outcome(outcome, request.min_retry_after, request.is_resend_safe()).response()
}

/// Returns the refusal for a body that failed after the bind.
///
/// The status follows from the fault; whether the request is reported as not run depends on what the sidecar could prove.
fn refuse_body(request: &RequestContext, outcome: Outcome, fault: BodyFault) -> Response {
    request.count_end(outcome);
    let mut refusal = fault.refusal(request.min_retry_after);
    if !outcome.is_not_run() {
        refusal.certainty = Certainty::Unknown;
    }
    refusal.response()
}
