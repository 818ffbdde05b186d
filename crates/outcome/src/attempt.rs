//! The state machine of one attempt at a request, at the entry.
//!
//! An attempt offers the request to some sidecars, binds it to at most one grant, and ends with exactly one [`Outcome`].
//! [`Outcome::NotRun`] is reported only with proof: either the bind was never sent, or the sidecar that granted, still in the
//! same incarnation, states that it never handed the request over to the endpoint.

use std::time::Duration;

use crate::{
    ids::{GrantId, Incarnation, SidecarId},
    outcome::{Outcome, Reason},
    retry::FinishedAttempt,
    run::Verdict,
};

/// The state of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptState {
    /// Offers have been sent or are about to be sent, and none is granted.
    Offered,
    /// A sidecar has granted an offer; no part of the request has been sent.
    Granted(GrantId),
    /// The request has been sent, at least in part.
    Bound(GrantId),
    /// The head of the answer has been passed to the caller.
    HeadPassed(GrantId),
    /// Bytes of the answer's body have been passed to the caller.
    Streaming(GrantId),
    /// The attempt has its final outcome.
    Done(Outcome),
}

/// An input to the state machine of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// An offer is sent.
    OfferSent,
    /// A sidecar refuses an offer.
    OfferRefused {
        /// Why the offer was refused.
        reason: Reason,
        /// How long to wait before the sidecar is offered the request again.
        retry_after: Duration,
    },
    /// A sidecar grants an offer.
    Granted(GrantId),
    /// The bind is about to be sent; must be applied before its first byte is written.
    BindSent,
    /// The exchange with a sidecar broke off.
    ExchangeBroken(SidecarId),
    /// The sidecar reports the state of the run, on the exchange itself or when asked after a break.
    Verdict {
        /// Incarnation of the sidecar that reports.
        incarnation: Incarnation,
        /// The reported state.
        verdict: Verdict,
    },
    /// The sidecar could not be asked for its verdict, and the entry stops trying.
    VerdictUnavailable,
    /// The sidecar can no longer send the rest of the answer.
    ResumeRefused,
    /// The head of the answer is valid and can be passed to the caller.
    Head,
    /// Bytes of the answer are valid and can be passed to the caller.
    Chunk {
        /// Number of new bytes.
        bytes: u64,
    },
    /// The end of the answer is valid.
    End,
    /// The answer is invalid; see [`crate::AnswerError::reason`].
    AnswerBroken(Reason),
    /// The caller disconnected.
    CallerDisconnected,
    /// The caller's deadline passed.
    Deadline {
        /// How long the caller should wait before a retry, if the request did not run.
        retry_after: Duration,
    },
    /// The entry gives up because no further offer can be made.
    GiveUp {
        /// Why it gives up.
        reason: Reason,
        /// How long the caller should wait before a retry, if the request did not run.
        retry_after: Duration,
    },
}

/// The action that the entry must take after an event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Wait for the next event.
    Wait,
    /// Every offer has been answered: make further offers, or apply [`Event::GiveUp`].
    OfferMore,
    /// Bind the request to this grant, and withdraw the other offers.
    Bind(GrantId),
    /// Release this grant, which came too late.
    Release(GrantId),
    /// Pass the frame to the caller.
    Pass,
    /// Ask this sidecar for the state of the run, and apply [`Event::Verdict`] or [`Event::VerdictUnavailable`].
    AskVerdict(GrantId),
    /// Fetch the rest of the answer from this sidecar, from this offset.
    Resume {
        /// Grant to which the run belongs.
        grant: GrantId,
        /// Number of body bytes that the caller already has.
        offset: u64,
        /// Whether the caller already has the head.
        has_head: bool,
    },
    /// Report this final outcome to the caller immediately.
    Finish {
        /// The final outcome.
        outcome: Outcome,
        /// Run to cancel because nobody waits for it any more.
        cancel: Option<GrantId>,
    },
}

/// One attempt at a request.
#[derive(Debug, Clone)]
pub struct Attempt {
    state: AttemptState,
    open_offers: u32,
    passed_bytes: u64,
    has_head: bool,
    has_asked: bool,
}

impl Default for Attempt {
    fn default() -> Self {
        Self::new()
    }
}

impl Attempt {
    /// Creates an attempt without offers.
    #[must_use]
    pub fn new() -> Self {
        Self {
            state: AttemptState::Offered,
            open_offers: 0,
            passed_bytes: 0,
            has_head: false,
            has_asked: false,
        }
    }

    /// Returns the state of the attempt.
    #[must_use]
    pub fn state(&self) -> AttemptState {
        self.state
    }

    /// Returns the final outcome, once there is one.
    #[must_use]
    pub fn outcome(&self) -> Option<Outcome> {
        match self.state {
            AttemptState::Done(outcome) => Some(outcome),
            _ => None,
        }
    }

    /// Returns the number of body bytes passed to the caller.
    #[must_use]
    pub fn passed_bytes(&self) -> u64 {
        self.passed_bytes
    }

    /// Returns the finished attempt as input to the retry decision, or `None` while it has no outcome.
    ///
    /// `attempts` is the number of attempts at the request so far, including this one.
    #[must_use]
    pub fn finished(&self, is_idempotent: bool, attempts: u32) -> Option<FinishedAttempt> {
        let outcome = self.outcome()?;
        Some(FinishedAttempt {
            outcome,
            is_idempotent,
            answer_started: self.has_head,
            attempts,
        })
    }

    /// Applies an event and returns the next action.
    ///
    /// Events that are not valid in the current state (late, repeated or forged) are ignored.
    pub fn apply(&mut self, event: Event) -> Step {
        match self.state {
            AttemptState::Offered => self.on_offered(event),
            AttemptState::Granted(grant) => self.on_granted(grant, event),
            AttemptState::Bound(grant)
            | AttemptState::HeadPassed(grant)
            | AttemptState::Streaming(grant) => self.on_bound(grant, event),
            AttemptState::Done(_) => release_late_grant(event),
        }
    }

    fn on_offered(&mut self, event: Event) -> Step {
        match event {
            Event::OfferSent => {
                self.open_offers += 1;
                Step::Wait
            }
            Event::OfferRefused { .. } | Event::ExchangeBroken(_) => self.offer_answered(),
            Event::Granted(grant) => {
                self.open_offers = self.open_offers.saturating_sub(1);
                self.state = AttemptState::Granted(grant);
                Step::Bind(grant)
            }
            other => self.finish_unbound(other, None),
        }
    }

    fn on_granted(&mut self, grant: GrantId, event: Event) -> Step {
        match event {
            Event::BindSent => {
                self.state = AttemptState::Bound(grant);
                Step::Wait
            }
            Event::Granted(other) if other != grant => Step::Release(other),
            Event::ExchangeBroken(sidecar) if sidecar == grant.sidecar => {
                // Nothing was sent, so only the grant is lost and the other offers are still valid.
                self.state = AttemptState::Offered;
                self.offer_more_or_wait()
            }
            Event::OfferRefused { .. } | Event::ExchangeBroken(_) => {
                self.open_offers = self.open_offers.saturating_sub(1);
                Step::Wait
            }
            other => self.finish_unbound(other, Some(grant)),
        }
    }

    fn offer_answered(&mut self) -> Step {
        self.open_offers = self.open_offers.saturating_sub(1);
        self.offer_more_or_wait()
    }

    fn offer_more_or_wait(&self) -> Step {
        if self.open_offers == 0 {
            Step::OfferMore
        } else {
            Step::Wait
        }
    }

    /// Ends an attempt whose bind was never sent, which proves that the request did not run.
    fn finish_unbound(&mut self, event: Event, cancel: Option<GrantId>) -> Step {
        let Some((reason, retry_after)) = given_up(event) else {
            return Step::Wait;
        };
        self.finish(
            Outcome::NotRun {
                reason,
                retry_after,
            },
            cancel,
        )
    }

    fn on_bound(&mut self, grant: GrantId, event: Event) -> Step {
        match event {
            Event::Granted(other) if other != grant => Step::Release(other),
            Event::ExchangeBroken(sidecar) if sidecar == grant.sidecar => {
                self.has_asked = true;
                Step::AskVerdict(grant)
            }
            Event::Verdict {
                incarnation,
                verdict,
            } => self.on_verdict(grant, incarnation, verdict),
            Event::VerdictUnavailable => self.finish_unknown(Reason::SidecarLost, Some(grant)),
            Event::ResumeRefused => self.finish_unknown(Reason::AnswerTruncated, Some(grant)),
            Event::Head => self.on_head(grant),
            Event::Chunk { bytes } => self.on_chunk(grant, bytes),
            Event::End => self.on_end(grant),
            Event::AnswerBroken(reason) => self.finish_unknown(reason, Some(grant)),
            other => match given_up(other) {
                // The sidecar could still be asked for proof, but the caller gets its final answer without delay.
                Some((reason, _)) => self.finish_unknown(reason, Some(grant)),
                None => Step::Wait,
            },
        }
    }

    fn on_head(&mut self, grant: GrantId) -> Step {
        if self.has_head {
            return Step::Wait;
        }
        self.has_asked = false;
        self.has_head = true;
        self.state = AttemptState::HeadPassed(grant);
        Step::Pass
    }

    fn on_chunk(&mut self, grant: GrantId, bytes: u64) -> Step {
        if !self.has_head {
            return Step::Wait;
        }
        self.has_asked = false;
        self.passed_bytes += bytes;
        self.state = AttemptState::Streaming(grant);
        Step::Pass
    }

    fn on_end(&mut self, grant: GrantId) -> Step {
        if !self.has_head {
            // An end without a head is not a complete answer.
            return self.finish_unknown(Reason::AnswerTruncated, Some(grant));
        }
        self.finish(Outcome::Completed, None)
    }

    fn on_verdict(&mut self, grant: GrantId, incarnation: Incarnation, verdict: Verdict) -> Step {
        if incarnation != grant.incarnation {
            // A restarted sidecar has no record of the runs of its previous incarnations.
            return self.finish_unknown(Reason::SidecarLost, None);
        }
        let has_head = self.has_head;
        match verdict {
            // Received answer bytes prove that the request ran, so this verdict contradicts them.
            Verdict::NeverHandedOver { .. } if has_head => {
                self.finish_unknown(Reason::AnswerGarbled, None)
            }
            Verdict::NeverHandedOver {
                reason,
                retry_after,
            } => self.finish(
                Outcome::NotRun {
                    reason,
                    retry_after,
                },
                None,
            ),
            Verdict::Completed { answer_bytes }
                if has_head && answer_bytes == self.passed_bytes =>
            {
                self.finish(Outcome::Completed, None)
            }
            Verdict::Running { .. } | Verdict::Completed { .. } if self.has_asked => {
                self.has_asked = false;
                Step::Resume {
                    grant,
                    offset: self.passed_bytes,
                    has_head,
                }
            }
            Verdict::Running { .. } | Verdict::Completed { .. } => Step::Wait,
            Verdict::Failed { reason } => self.finish_unknown(reason, None),
            Verdict::Unknown => self.finish_unknown(Reason::VerdictForgotten, Some(grant)),
        }
    }

    fn finish_unknown(&mut self, reason: Reason, cancel: Option<GrantId>) -> Step {
        self.finish(Outcome::Unknown { reason }, cancel)
    }

    fn finish(&mut self, outcome: Outcome, cancel: Option<GrantId>) -> Step {
        self.state = AttemptState::Done(outcome);
        Step::Finish { outcome, cancel }
    }
}

/// Returns the reason and the retry delay if the entry or the caller gives up with this event.
fn given_up(event: Event) -> Option<(Reason, Duration)> {
    match event {
        Event::CallerDisconnected => Some((Reason::Cancelled, Duration::ZERO)),
        Event::Deadline { retry_after } => Some((Reason::Deadline, retry_after)),
        Event::GiveUp {
            reason,
            retry_after,
        } => Some((reason, retry_after)),
        _ => None,
    }
}

fn release_late_grant(event: Event) -> Step {
    match event {
        Event::Granted(grant) => Step::Release(grant),
        _ => Step::Wait,
    }
}
