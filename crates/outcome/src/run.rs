//! The state machine of one run at the sidecar, and a bounded record of the runs that have ended.
//!
//! An entry whose exchange broke asks the sidecar about the run. The answer "never handed over" is also a promise: the run
//! is withdrawn in the same step, so that a bind that is still in flight can't be handed over afterwards.

use std::{
    collections::{HashMap, VecDeque},
    error, fmt,
    time::Duration,
};

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::{ids::ClaimId, outcome::Reason};

/// What a sidecar knows about a run.
#[serde_as]
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "verdict", rename_all = "snake_case")]
pub enum Verdict {
    /// The request was not handed to the endpoint, and never will be.
    NeverHandedOver {
        /// Why it was not handed over.
        reason: Reason,
        /// How long to wait before another attempt.
        #[serde(rename = "retry_after_ms")]
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        retry_after: Duration,
    },
    /// The run is in progress, or its request is about to be handed over.
    Running {
        /// Bytes of the answer so far.
        answer_bytes: u64,
    },
    /// The run ended with a complete answer.
    Completed {
        /// Length of the answer in bytes.
        answer_bytes: u64,
    },
    /// The request was handed over and did not end with a complete answer.
    Failed {
        /// What went wrong.
        reason: Reason,
    },
    /// The sidecar has no record of the run, or no longer has one.
    Unknown,
}

/// The state of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunState {
    /// A slot is reserved for the grant; the request has not arrived completely.
    Granted,
    /// The whole request has arrived.
    Bound,
    /// The idempotency key is claimed.
    KeyClaimed,
    /// The first byte for the endpoint may have been written.
    HandedOver,
    /// The endpoint has sent this many bytes of its answer.
    Streaming {
        /// Bytes of the answer so far.
        answer_bytes: u64,
    },
    /// The run is over.
    Ended(Verdict),
}

/// An input to the state machine of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunEvent {
    /// The whole request has arrived.
    Bound,
    /// Control has granted the key to this run.
    KeyClaimed,
    /// The first byte for the endpoint is about to be written.
    HandedOver,
    /// The endpoint has sent bytes of its answer.
    Answer {
        /// Number of new bytes.
        bytes: u64,
    },
    /// The endpoint has completed its answer.
    Ended,
    /// The run is given up: refused before the hand-over, or failed or cancelled after it.
    GivenUp {
        /// Why it is given up.
        reason: Reason,
        /// How long to wait before another attempt, if the request did not run.
        retry_after: Duration,
    },
}

/// The error for an event that a run's state does not allow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunError {
    /// State of the run, or `None` if the run is not known.
    pub state: Option<RunState>,
}

impl fmt::Display for RunError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.state {
            Some(state) => write!(f, "the run's state {state:?} does not allow this step"),
            None => f.write_str("the run is not known"),
        }
    }
}

impl error::Error for RunError {}

/// One run of a request.
#[derive(Debug, Clone)]
pub struct Run {
    state: RunState,
    needs_key: bool,
}

impl Run {
    /// Creates a run for a grant; a request that must not be repeated needs its key claimed before the hand-over.
    #[must_use]
    pub fn new(needs_key: bool) -> Self {
        Self {
            state: RunState::Granted,
            needs_key,
        }
    }

    /// Returns the state of the run.
    #[must_use]
    pub fn state(&self) -> RunState {
        self.state
    }

    /// Applies an event and returns the new state.
    ///
    /// # Errors
    ///
    /// Returns [`RunError`] and leaves the state unchanged if the state does not allow the event; in particular, a run that
    /// was withdrawn or whose key is not claimed can't be handed over.
    pub fn apply(&mut self, event: RunEvent) -> Result<RunState, RunError> {
        let next = match (self.state, event) {
            (RunState::Granted, RunEvent::Bound) => RunState::Bound,
            (RunState::Bound, RunEvent::KeyClaimed) if self.needs_key => RunState::KeyClaimed,
            (RunState::Bound, RunEvent::HandedOver) if !self.needs_key => RunState::HandedOver,
            (RunState::KeyClaimed, RunEvent::HandedOver) => RunState::HandedOver,
            (RunState::HandedOver, RunEvent::Answer { bytes }) => RunState::Streaming {
                answer_bytes: bytes,
            },
            (RunState::Streaming { answer_bytes }, RunEvent::Answer { bytes }) => {
                RunState::Streaming {
                    answer_bytes: answer_bytes + bytes,
                }
            }
            (RunState::HandedOver, RunEvent::Ended) => {
                RunState::Ended(Verdict::Completed { answer_bytes: 0 })
            }
            (RunState::Streaming { answer_bytes }, RunEvent::Ended) => {
                RunState::Ended(Verdict::Completed { answer_bytes })
            }
            (
                RunState::Granted | RunState::Bound | RunState::KeyClaimed,
                RunEvent::GivenUp {
                    reason,
                    retry_after,
                },
            ) => RunState::Ended(Verdict::NeverHandedOver {
                reason,
                retry_after,
            }),
            (
                RunState::HandedOver | RunState::Streaming { .. },
                RunEvent::GivenUp { reason, .. },
            ) => RunState::Ended(Verdict::Failed { reason }),
            (state, _) => return Err(RunError { state: Some(state) }),
        };
        self.state = next;
        Ok(next)
    }

    /// Returns what the sidecar knows, and withdraws a run whose request has not arrived completely.
    ///
    /// A run whose whole request has arrived continues: the entry resumes it, and no work is lost.
    pub fn verdict_or_withdraw(&mut self) -> Verdict {
        if self.state == RunState::Granted {
            self.state = RunState::Ended(Verdict::NeverHandedOver {
                reason: Reason::SidecarLost,
                retry_after: Duration::ZERO,
            });
        }
        self.verdict()
    }

    /// Returns what the sidecar knows, without the promise that [`Run::verdict_or_withdraw`] gives to entries.
    #[must_use]
    pub fn verdict(&self) -> Verdict {
        match self.state {
            RunState::Granted | RunState::Bound | RunState::KeyClaimed | RunState::HandedOver => {
                Verdict::Running { answer_bytes: 0 }
            }
            RunState::Streaming { answer_bytes } => Verdict::Running { answer_bytes },
            RunState::Ended(verdict) => verdict,
        }
    }
}

/// The limits on remembering ended runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunRetention {
    /// Maximum number of ended runs that are remembered.
    pub max_ended: usize,
    /// How long an ended run is remembered.
    pub keep: Duration,
}

impl Default for RunRetention {
    /// Remembers 4,096 runs for two minutes.
    ///
    /// An entry asks within seconds of a break; two minutes also cover the usual length of a network partition between
    /// regions. 3,600 requests/s over 1,600 sidecars are 2.25/s for each, or 270 in two minutes; a plain service with 30
    /// requests/s also fits. The limit keeps memory small, at an estimated 100 bytes for each run.
    fn default() -> Self {
        Self {
            max_ended: 4096,
            keep: Duration::from_mins(2),
        }
    }
}

/// The runs of one incarnation of a sidecar.
#[derive(Debug)]
pub struct RunTable {
    retention: RunRetention,
    next_claim: ClaimId,
    live: HashMap<ClaimId, Run>,
    ended: HashMap<ClaimId, Verdict>,
    ended_order: VecDeque<(Duration, ClaimId)>,
}

impl RunTable {
    /// Creates an empty table.
    #[must_use]
    pub fn new(retention: RunRetention) -> Self {
        Self {
            retention,
            next_claim: 1,
            live: HashMap::new(),
            ended: HashMap::new(),
            ended_order: VecDeque::new(),
        }
    }

    /// Creates a run and returns the number of its grant; numbers are never reused.
    pub fn grant(&mut self, needs_key: bool) -> ClaimId {
        let claim = self.next_claim;
        self.next_claim += 1;
        self.live.insert(claim, Run::new(needs_key));
        claim
    }

    /// Returns the state of a run that has not ended.
    #[must_use]
    pub fn state(&self, claim: ClaimId) -> Option<RunState> {
        self.live.get(&claim).map(Run::state)
    }

    /// Returns the number of runs that have not ended.
    #[must_use]
    pub fn live_len(&self) -> usize {
        self.live.len()
    }

    /// Returns the number of ended runs that are remembered.
    #[must_use]
    pub fn ended_len(&self) -> usize {
        self.ended.len()
    }

    /// Applies an event to a run; `now` is the span since the start of the process.
    ///
    /// # Errors
    ///
    /// Returns [`RunError`] if the run is not live or its state does not allow the event.
    pub fn apply(
        &mut self,
        claim: ClaimId,
        event: RunEvent,
        now: Duration,
    ) -> Result<RunState, RunError> {
        self.forget_expired(now);
        let Some(run) = self.live.get_mut(&claim) else {
            let state = self
                .ended
                .get(&claim)
                .map(|verdict| RunState::Ended(*verdict));
            return Err(RunError { state });
        };
        let state = run.apply(event)?;
        self.remember_if_ended(claim, state, now);
        Ok(state)
    }

    /// Returns what is known about a run, for an entry whose exchange broke; see [`Run::verdict_or_withdraw`].
    ///
    /// Returns [`Verdict::Unknown`] for a run that is no longer remembered.
    pub fn verdict_or_withdraw(&mut self, claim: ClaimId, now: Duration) -> Verdict {
        self.forget_expired(now);
        let Some(run) = self.live.get_mut(&claim) else {
            return self.ended.get(&claim).copied().unwrap_or(Verdict::Unknown);
        };
        let verdict = run.verdict_or_withdraw();
        let state = run.state();
        self.remember_if_ended(claim, state, now);
        verdict
    }

    fn remember_if_ended(&mut self, claim: ClaimId, state: RunState, now: Duration) {
        let RunState::Ended(verdict) = state else {
            return;
        };
        self.live.remove(&claim);
        self.ended.insert(claim, verdict);
        self.ended_order.push_back((now, claim));
        self.forget_expired(now);
    }

    fn forget_expired(&mut self, now: Duration) {
        while let Some((ended_at, claim)) = self.ended_order.front().copied() {
            let is_old = now.saturating_sub(ended_at) > self.retention.keep;
            if !is_old && self.ended_order.len() <= self.retention.max_ended {
                return;
            }
            self.ended_order.pop_front();
            self.ended.remove(&claim);
        }
    }
}
