//! The dispatcher's inputs and outputs: offers, refusals, actions and load.

use std::time::Duration;

use hinge_fair::Class;
use hinge_outcome::{ClaimId, Verdict};
use hinge_schema::messages::NotRunReason;

use crate::reasons::queue_reason;

/// Retry delay when this sidecar can't take the offer soon, but another one may at once.
pub(crate) const RETRY_ELSEWHERE_DELAY: Duration = Duration::from_millis(50);

/// An offer's number at this sidecar.
pub type OfferId = u64;

/// The identity of a request across the fleet.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct RequestKey {
    /// Name of the entry.
    pub entry: Box<str>,
    /// Number drawn when the entry started.
    pub entry_incarnation: u64,
    /// Number within that incarnation.
    pub request_id: u64,
}

/// An offer as the dispatcher needs it.
#[derive(Debug, Clone)]
pub struct NewOffer {
    /// Identity of the request.
    pub request: RequestKey,
    /// Team that is charged.
    pub team: Box<str>,
    /// Rules of the team; `None` when the configuration lacks it.
    pub rules: Option<TeamRules>,
    /// Urgency class.
    pub class: Class,
    /// Estimated cost, in service units.
    pub estimated_units: u64,
    /// Estimated KV cache use, in tokens.
    pub kv_tokens: u64,
    /// Latest useful start.
    pub deadline: Duration,
    /// Whether a key must be claimed before the hand-over.
    pub needs_key: bool,
    /// Configuration version of the entry.
    pub config_version: u64,
}

/// The refusal of an offer; its request did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Reason of the refusal.
    pub reason: NotRunReason,
    /// Delay before the next offer.
    pub retry_after: Duration,
}

impl Refusal {
    /// Returns a refusal for a reason that concerns this sidecar only; another one may take the offer at once.
    #[must_use]
    pub fn retry_elsewhere(reason: NotRunReason) -> Self {
        Self {
            reason,
            retry_after: RETRY_ELSEWHERE_DELAY,
        }
    }

    pub(super) fn from_queue(refusal: &hinge_fair::Refusal) -> Self {
        Self {
            reason: queue_reason(refusal.reason),
            retry_after: refusal.retry_after,
        }
    }
}

/// The cost of a request from its hand-over on.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct HandOverCost {
    /// Estimate for the prompt, in service units.
    pub prompt_units: u64,
    /// Service units for each millisecond that the endpoint is busy.
    pub busy_ms_units: u64,
}

/// What the code around the dispatcher must do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Grants a slot.
    Grant {
        /// Offer that waited.
        offer_id: OfferId,
        /// Claim of the grant.
        claim: ClaimId,
    },
    /// Refuses an offer that waited.
    Refuse {
        /// Offer that waited.
        offer_id: OfferId,
        /// Reason, and delay before the next offer.
        refusal: Refusal,
    },
    /// Stops all work for a grant; its run has ended with this verdict.
    Stop {
        /// Offer of the grant.
        offer_id: OfferId,
        /// Claim of the grant.
        claim: ClaimId,
        /// Verdict on the run.
        verdict: Verdict,
    },
}

/// The configuration of a team.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TeamRules {
    /// Share of the pool.
    pub share: u32,
    /// Most offers of the team that wait at one sidecar.
    pub max_waiting: usize,
    /// Part of the team's service that may go first as urgent, in parts per million.
    pub urgent_allowance_ppm: u32,
}

/// The numbers of taken slots and waiting offers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    /// Slots that are taken.
    pub taken_slots: u32,
    /// Offers that wait, by class: urgent, standard, batch.
    pub waiting: [usize; 3],
}
