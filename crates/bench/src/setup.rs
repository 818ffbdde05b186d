//! Says what one run of the bench is made of.

use std::time::Duration;

use hinge_estimate::Rules;
use hinge_placement::SelectionRules;

use crate::{candidates::Method, faults::Fault, workload::Shape};

/// Slots of each endpoint.
pub(crate) const SLOTS: u32 = 8;

/// Time in which an endpoint serves one unit to each running request: 50 tokens a second.
pub(crate) const UNIT_TIME: Duration = Duration::from_millis(20);

/// One-way delay to another data centre and to clients, and within one.
pub(crate) const FAR_DELAY: Duration = Duration::from_millis(1);
pub(crate) const NEAR_DELAY: Duration = Duration::from_micros(200);

/// Data centres of both deployments.
pub(crate) const DATA_CENTRES: usize = 3;

/// Who decides which request runs next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Policy {
    /// A fair queue at each sidecar, sampled offers, and the first grant binds.
    LateBinding,
    /// One exact fair queue for the pool, a hop away.
    OneScheduler,
    /// Least-loaded routing with a first-come queue at each endpoint.
    Naive,
}

impl Policy {
    /// All policies.
    pub const ALL: [Self; 3] = [Self::LateBinding, Self::OneScheduler, Self::Naive];

    /// Returns the name in tables.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::LateBinding => "late_binding",
            Self::OneScheduler => "one_scheduler",
            Self::Naive => "naive",
        }
    }
}

/// Settings that a sweep varies.
#[derive(Clone, Copy, Debug)]
pub struct Tuning {
    /// Offers of a request's first round.
    pub first_offers: usize,
    /// Wait before the second round of offers.
    pub widen_after: Duration,
    /// Time between two reports of sums.
    pub sums_interval: Duration,
    /// Open offers that a request keeps.
    pub max_open: usize,
    /// Longest wait before an open offer moves to another sidecar.
    pub max_rotate_after: Duration,
    /// Longest such wait of an urgent request.
    pub max_urgent_rotate_after: Duration,
    /// Sidecars that see the narrow teams; 0 when all teams are seen by all.
    pub narrow_sidecars: usize,
    /// How a request's cost is estimated.
    pub method: Method,
    /// Part of the expected answer that is set aside in the KV cache, in thousandths; for methods without rules of their own.
    pub kv_part_permille: u64,
    /// KV tokens of each endpoint for each of its slots.
    pub kv_tokens_per_slot: u64,
    /// One slot is kept for urgent requests at every so many-th endpoint; 0 keeps none.
    pub reserved_every: usize,
    /// KV tokens of each endpoint that only urgent requests may use.
    pub urgent_kv_tokens: u64,
}

impl Default for Tuning {
    fn default() -> Self {
        let rules = SelectionRules::default();
        Self {
            first_offers: rules.first_offers,
            widen_after: rules.widen_after,
            sums_interval: Duration::from_secs(1),
            method: Method::Learnt(Rules::default()),
            max_open: rules.max_open,
            max_rotate_after: rules.max_rotate_after,
            max_urgent_rotate_after: rules.max_urgent_rotate_after,
            kv_part_permille: 1000,
            narrow_sidecars: 0,
            kv_tokens_per_slot: 2000,
            reserved_every: 1,
            urgent_kv_tokens: 0,
        }
    }
}

/// One run of the bench.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Shape of the deployment and its requests.
    pub shape: Shape,
    /// Who decides.
    pub policy: Policy,
    /// What goes wrong.
    pub faults: Vec<Fault>,
    /// Settings.
    pub tuning: Tuning,
    /// Virtual time of arrivals.
    pub length: Duration,
    /// Seed of all random choices.
    pub seed: u64,
}
