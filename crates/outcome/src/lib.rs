//! The outcomes that may be reported for a request, and the proof that each of them requires.
//!
//! The crate does no I/O. Time is passed in as the span since the start of the process (or, for the key table, as the time
//! of the replicated log) and randomness as a generator, so that every decision is reproducible.
//!
//! - [`attempt`] is the state machine of one attempt at the entry, [`run`] that of one run at the sidecar.
//! - [`retry`] decides whether another attempt is allowed.
//! - [`answer`] validates at the entry that an answer is complete, and [`replay`] buffers at the sidecar what a resume needs.
//! - [`keys`] is the replicated table of idempotency keys.

pub mod answer;
pub mod attempt;
pub mod ids;
pub mod keys;
pub mod outcome;
pub mod replay;
pub mod retry;
pub mod run;

pub use answer::{Accepted, AnswerError, AnswerValidator, Frame};
pub use attempt::{Attempt, AttemptState, Event, Step};
pub use ids::{AttemptId, ClaimId, GrantId, Incarnation, SidecarId, TeamId, sidecar_id};
pub use outcome::{Outcome, Reason};
pub use replay::{AckPacer, ReplayBuffer, ReplayError};
pub use retry::{FinishedAttempt, RetryBudgets, RetryDecision, RetryRules};
pub use run::{Run, RunEvent, RunState, RunTable, Verdict};
