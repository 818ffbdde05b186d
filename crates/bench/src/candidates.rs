//! Holds the ways of estimating costs that are compared; the one that is kept is `hinge-estimate`.

use std::collections::HashMap;

use hinge_estimate::{Estimate, Estimator, Features, Rules};
use hinge_fair::Class;

/// How a request's cost is estimated.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Method {
    /// The true cost, as nobody knows it.
    Oracle,
    /// The caller's hint.
    Hint,
    /// The running mean of the pool.
    PoolMean,
    /// The last actual use in the group of similar requests.
    LastActual,
    /// Successive approximation in the group of similar requests, with its learning rate and how that falls.
    Successive {
        /// Factor by which an estimate falls after a run that fitted.
        alpha: f64,
        /// Exponent by which the factor falls after a run that did not.
        beta: f64,
    },
    /// Quantiles of the costs in a group of requests, as `hinge-estimate` learns them.
    Learnt(Rules),
}

impl Method {
    /// Returns the name in tables.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Oracle => "oracle",
            Self::Hint => "hint",
            Self::PoolMean => "pool_mean",
            Self::LastActual => "last_actual",
            Self::Successive { .. } => "successive",
            Self::Learnt(_) => "learnt",
        }
    }
}

/// Weight of one answer in the pool's mean is one in this many.
const MEAN_OF: f64 = 256.0;

/// Team, class, most tokens, and doubling of the prompt's length.
type Key = (Box<str>, Class, u64, u32);

#[derive(Debug)]
enum State {
    Fixed,
    Mean(f64),
    /// Last or approximated generated tokens, with the learning rate, by group.
    Groups(HashMap<Key, (f64, f64)>),
    Learnt(Estimator),
}

/// The estimator of one entry.
#[derive(Debug)]
pub(crate) struct Candidate {
    method: Method,
    state: State,
    /// Part of the expected answer that is set aside in the KV cache, in thousandths; rules of `Learnt` have their own.
    kv_part_permille: u64,
}

impl Candidate {
    pub(crate) fn open(method: Method, kv_part_permille: u64) -> Self {
        let state = match method {
            Method::Oracle | Method::Hint => State::Fixed,
            Method::PoolMean => State::Mean(256.0),
            Method::LastActual | Method::Successive { .. } => State::Groups(HashMap::new()),
            Method::Learnt(rules) => State::Learnt(Estimator::new(rules)),
        };
        Self {
            method,
            state,
            kv_part_permille,
        }
    }

    /// Returns the estimate of a request; the true cost is for the oracle alone.
    pub(crate) fn estimate(&self, features: &Features<'_>, generated: u64) -> Estimate {
        let hint = features.hinted_tokens.unwrap_or(256);
        let tokens = match &self.state {
            State::Learnt(estimator) => return estimator.estimate(features),
            State::Fixed if self.method == Method::Oracle => generated,
            State::Fixed => hint,
            State::Mean(mean) => round(*mean),
            State::Groups(groups) => groups
                .get(&key(features))
                .map_or(hint, |(tokens, _)| round(*tokens)),
        };
        let tokens = tokens.min(features.max_tokens);
        Estimate {
            service_units: features.prompt_tokens / 10 + tokens,
            kv_tokens: features.prompt_tokens + tokens * self.kv_part_permille / 1000,
        }
    }

    pub(crate) fn learn(&mut self, features: &Features<'_>, actual_units: u64) {
        let generated = to_f64(actual_units.saturating_sub(features.prompt_tokens / 10));
        let hint = to_f64(features.hinted_tokens.unwrap_or(256));
        match (&mut self.state, self.method) {
            (State::Mean(mean), _) => *mean += (generated - *mean) / MEAN_OF,
            (State::Groups(groups), Method::Successive { alpha, beta }) => {
                let group = groups.entry(key(features)).or_insert((hint, alpha));
                *group = approximate(*group, generated, beta);
            }
            (State::Groups(groups), _) => {
                groups.insert(key(features), (generated, 1.0));
            }
            (State::Learnt(estimator), _) => estimator.learn(features, actual_units),
            (State::Fixed, _) => {}
        }
    }
}

/// Takes one step of the paper's successive approximation: a run fits if it generated no more than the estimate.
fn approximate((estimate, alpha): (f64, f64), generated: f64, beta: f64) -> (f64, f64) {
    if generated <= estimate {
        return (estimate / alpha, alpha);
    }
    let restored = estimate * alpha;
    let alpha = alpha.powf(beta).max(1.0);
    (restored / alpha, alpha)
}

fn key(features: &Features<'_>) -> Key {
    let doubling = features.prompt_tokens.max(1).ilog2();
    (
        features.team.into(),
        features.class,
        features.max_tokens,
        doubling,
    )
}

#[expect(clippy::cast_precision_loss, reason = "token counts are small")]
fn to_f64(tokens: u64) -> f64 {
    tokens as f64
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "token counts are positive and small"
)]
fn round(tokens: f64) -> u64 {
    tokens.round() as u64
}
