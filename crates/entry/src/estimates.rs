//! Estimates the cost of a request from the actual costs of similar requests at this entry.
//!
//! Every entry learns on its own: the samples of a group of similar requests are used after a few answers. The sidecar charges
//! the actual cost, so the estimates of two entries need not agree.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use hinge_config::effective::{Pool, PoolKind, Weights};
use hinge_estimate::{Estimator, Features, Rules};
use hinge_fair::Class;
use hinge_schema::messages::UrgencyClass;

use crate::model::Estimate;

/// Converts weights per token to the estimator's weights per thousand tokens.
const PERMILLE: u64 = 1000;

/// The properties of a request from which its cost is estimated before it runs.
#[derive(Debug, Clone)]
pub struct CostFeatures {
    /// Requested pool.
    pub pool: Box<str>,
    /// Team that is charged for the request.
    pub team: Box<str>,
    /// Urgency class.
    pub class: UrgencyClass,
    /// Requested model; empty for a plain service.
    pub model: Box<str>,
    /// Estimated tokens of the prompt; 0 for a plain service.
    pub prompt_tokens: u64,
    /// The caller's limit on generated tokens; 0 for none.
    pub max_tokens: u64,
    /// Cost estimated by the caller, in service units of the pool.
    pub hint_units: Option<u64>,
    /// Hash of the prompt's prefix; 0 for none.
    pub prefix_hash: u64,
}

/// The cost estimators of all pools; the lock is held for about a microsecond at the start and end of a request.
#[derive(Debug, Default)]
pub struct Estimates {
    pools: Mutex<HashMap<Box<str>, PoolEstimator>>,
}

#[derive(Debug)]
struct PoolEstimator {
    weights: (PoolKind, Weights),
    estimator: Estimator,
}

impl Estimates {
    /// Estimates the cost of a request to a pool.
    ///
    /// The samples of a pool are dropped when its kind or unit weights change.
    #[must_use]
    pub fn estimate(&self, pool: &Pool, request: &CostFeatures) -> Estimate {
        let weights = unit_weights(pool);
        let features = features(request, weights);
        let mut pools = self.lock();
        let pool_estimator = pools
            .entry(request.pool.clone())
            .or_insert_with(|| PoolEstimator::new(pool));
        if pool_estimator.weights != (pool.kind, pool.weights.clone()) {
            *pool_estimator = PoolEstimator::new(pool);
        }
        let is_known = pool_estimator.estimator.has_samples(&features);
        let estimate = pool_estimator.estimator.estimate(&features);
        drop(pools);
        let hinted = request.hint_units.filter(|_| !is_known);
        Estimate {
            units: hinted.unwrap_or(estimate.service_units).max(1),
            prompt_units: request.prompt_tokens.saturating_mul(weights.prompt),
            kv_tokens: match pool.kind {
                PoolKind::Model => estimate.kv_tokens,
                PoolKind::Service => 0,
            },
            prefix_hash: request.prefix_hash,
        }
    }

    /// Records the actual cost of a request, in service units of its pool.
    pub fn record_cost(&self, request: &CostFeatures, service_units: u64) {
        let mut pools = self.lock();
        if let Some(pool_estimator) = pools.get_mut(&request.pool) {
            let weights = pool_estimator.unit_weights();
            pool_estimator
                .estimator
                .learn(&features(request, weights), service_units);
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Box<str>, PoolEstimator>> {
        self.pools.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl PoolEstimator {
    fn new(pool: &Pool) -> Self {
        let weights = unit_weights(pool);
        let rules = Rules {
            prompt_units_permille: weights.prompt * PERMILLE,
            generated_units_permille: weights.generated * PERMILLE,
            default_generated_tokens: match pool.kind {
                PoolKind::Model => Rules::default().default_generated_tokens,
                // Nothing is known in advance about a service call; the sidecar charges its actual cost.
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
        weights_of_kind(*kind, weights)
    }
}

/// Service units per prompt token and per generated token; a plain service counts busy milliseconds as generated tokens.
#[derive(Debug, Clone, Copy)]
struct UnitWeights {
    prompt: u64,
    generated: u64,
}

fn unit_weights(pool: &Pool) -> UnitWeights {
    weights_of_kind(pool.kind, &pool.weights)
}

fn weights_of_kind(kind: PoolKind, weights: &Weights) -> UnitWeights {
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

fn features(request: &CostFeatures, weights: UnitWeights) -> Features<'_> {
    let prompt_units = request.prompt_tokens.saturating_mul(weights.prompt);
    let hinted_tokens = request
        .hint_units
        .map(|units| units.saturating_sub(prompt_units) / weights.generated.max(1));
    Features {
        team: &request.team,
        class: match request.class {
            UrgencyClass::Urgent => Class::Urgent,
            UrgencyClass::Standard => Class::Standard,
            UrgencyClass::Batch => Class::Batch,
        },
        model: &request.model,
        prompt_tokens: request.prompt_tokens,
        max_tokens: request.max_tokens,
        hinted_tokens,
    }
}
