//! Estimates what a request costs, from what similar requests have cost here.
//!
//! Every entry learns by itself: a group of similar requests is believed after a few answers, and the sidecar charges what a
//! request really took, so that estimates of two entries need not agree.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use hinge_config::effective::{Pool, PoolKind, Weights};
use hinge_estimate::{Estimator, Features, Rules};
use hinge_fair::Class;
use hinge_schema::messages::UrgencyClass;

use crate::model::Estimate;

/// Thousandths in a whole; the estimator's weights are in units of a thousand tokens.
const PERMILLE: u64 = 1000;

/// Holds what the entry knows of a request before it runs.
#[derive(Debug, Clone)]
pub struct CostFeatures {
    /// Pool that is asked for.
    pub pool: Box<str>,
    /// Team that is charged.
    pub team: Box<str>,
    /// Urgency class.
    pub class: UrgencyClass,
    /// Model that is asked for; empty for a plain service.
    pub model: Box<str>,
    /// Tokens of the prompt; 0 for a plain service.
    pub prompt_tokens: u64,
    /// Most tokens that the caller lets the model generate; 0 when it does not say.
    pub max_tokens: u64,
    /// Cost that the caller expects, in service units of the pool.
    pub hint_units: Option<u64>,
    /// Hash of the prompt's beginning; 0 for none.
    pub prefix_hash: u64,
}

/// Learns the costs of each pool; a lock is held for about a microsecond at the start and at the end of a request.
#[derive(Debug, Default)]
pub struct Estimates {
    pools: Mutex<HashMap<Box<str>, Learnt>>,
}

#[derive(Debug)]
struct Learnt {
    weights: (PoolKind, Weights),
    estimator: Estimator,
}

impl Estimates {
    /// Estimates the cost of a request to a pool.
    ///
    /// What a pool has taught is dropped when its unit changes.
    #[must_use]
    pub fn estimate(&self, pool: &Pool, asked: &CostFeatures) -> Estimate {
        let weights = unit_weights(pool);
        let features = features(asked, weights);
        let mut pools = self.lock();
        let learnt = pools
            .entry(asked.pool.clone())
            .or_insert_with(|| Learnt::open(pool));
        if learnt.weights != (pool.kind, pool.weights.clone()) {
            *learnt = Learnt::open(pool);
        }
        let is_known = learnt.estimator.has_samples(&features);
        let estimate = learnt.estimator.estimate(&features);
        drop(pools);
        let hinted = asked.hint_units.filter(|_| !is_known);
        Estimate {
            units: hinted.unwrap_or(estimate.service_units).max(1),
            prompt_units: asked.prompt_tokens.saturating_mul(weights.prompt),
            kv_tokens: match pool.kind {
                PoolKind::Model => estimate.kv_tokens,
                PoolKind::Service => 0,
            },
            prefix_hash: asked.prefix_hash,
        }
    }

    /// Learns what a request has cost, in service units of its pool.
    pub fn learn(&self, asked: &CostFeatures, service_units: u64) {
        let mut pools = self.lock();
        if let Some(learnt) = pools.get_mut(&asked.pool) {
            let weights = learnt.unit_weights();
            learnt
                .estimator
                .learn(&features(asked, weights), service_units);
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Box<str>, Learnt>> {
        self.pools.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Learnt {
    fn open(pool: &Pool) -> Self {
        let weights = unit_weights(pool);
        let rules = Rules {
            prompt_units_permille: weights.prompt * PERMILLE,
            generated_units_permille: weights.generated * PERMILLE,
            default_generated_tokens: match pool.kind {
                PoolKind::Model => Rules::default().default_generated_tokens,
                // Nothing is known of a plain call but that it takes a while; the sidecar charges what it took.
                PoolKind::Service => 1,
            },
            ..Rules::default()
        };
        Self {
            weights: (pool.kind, pool.weights.clone()),
            estimator: Estimator::new(rules),
        }
    }

    fn unit_weights(&self) -> UnitWeights {
        let (kind, weights) = &self.weights;
        of_kind(*kind, weights)
    }
}

/// Weighs a prompt's token and a generated one, in service units; a plain service has busy milliseconds in place of the latter.
#[derive(Debug, Clone, Copy)]
struct UnitWeights {
    prompt: u64,
    generated: u64,
}

fn unit_weights(pool: &Pool) -> UnitWeights {
    of_kind(pool.kind, &pool.weights)
}

fn of_kind(kind: PoolKind, weights: &Weights) -> UnitWeights {
    match kind {
        PoolKind::Model => UnitWeights {
            prompt: u64::from(weights.prompt_units),
            generated: u64::from(weights.generated_units),
        },
        PoolKind::Service => UnitWeights {
            prompt: 0,
            generated: u64::from(weights.busy_ms_units),
        },
    }
}

fn features(asked: &CostFeatures, weights: UnitWeights) -> Features<'_> {
    let prompt_units = asked.prompt_tokens.saturating_mul(weights.prompt);
    let hinted_tokens = asked
        .hint_units
        .map(|units| units.saturating_sub(prompt_units) / weights.generated.max(1));
    Features {
        team: &asked.team,
        class: match asked.class {
            UrgencyClass::Urgent => Class::Urgent,
            UrgencyClass::Standard => Class::Standard,
            UrgencyClass::Batch => Class::Batch,
        },
        model: &asked.model,
        prompt_tokens: asked.prompt_tokens,
        max_tokens: asked.max_tokens,
        hinted_tokens,
    }
}
