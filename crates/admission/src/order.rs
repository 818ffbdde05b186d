//! Orders the requests that wait for a slot at one engine.
//!
//! Streams to continue come first. Then come teams within their fair share, by rank, and then teams above it; among
//! the latter an underserved team goes first. Ties go to the team with the lowest recent usage across all engines,
//! then to the request with the earliest deadline.

use std::collections::HashMap;
use std::time::Duration;

use crate::priority::{precedence, step_of, step_tokens};
use crate::request::{SlotRequest, SlotRequestId};

/// A request that waits for a slot.
#[derive(Debug)]
pub(crate) struct Waiting {
    pub(crate) id: SlotRequestId,
    pub(crate) ask: SlotRequest,
    pub(crate) since: Duration,
}

/// The usage of a team that decides the order of its requests.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Claim {
    /// Recent usage at all engines, in tokens.
    pub(crate) used: f64,
    /// Short-term usage at this engine, in tokens, if it is far below that of another team. The team with the lowest
    /// value is the most underserved.
    pub(crate) overdue_at: Option<f64>,
}

/// Returns the indices of the waiting requests in scheduling order.
///
/// Each request placed adds to its team's usage, so that a team with many requests doesn't take all the first
/// positions.
pub(crate) fn order_of(
    waiting: &[Waiting],
    share: f64,
    claim_of: impl Fn(&str) -> Claim,
) -> Vec<usize> {
    let mut claims: HashMap<&str, Claim> = HashMap::new();
    for waiting in waiting {
        let team = &waiting.ask.team;
        claims.entry(team).or_insert_with(|| claim_of(team));
    }
    let most = claims.values().map(|claim| claim.used).fold(0.0, f64::max);
    let step_tokens = step_tokens(most);
    let mut left: Vec<usize> = (0..waiting.len()).collect();
    let mut order = Vec::with_capacity(left.len());
    while let Some((place, next)) = next_of(waiting, &left, &claims, share, step_tokens) {
        left.swap_remove(place);
        order.push(next);
        let ask = &waiting[next].ask;
        let claim = claims
            .get_mut(&*ask.team)
            .expect("every team was put there");
        claim.used += f64::from(ask.service_tokens());
        claim.overdue_at = None;
    }
    order
}

fn next_of(
    waiting: &[Waiting],
    left: &[usize],
    claims: &HashMap<&str, Claim>,
    share: f64,
    step_tokens: f64,
) -> Option<(usize, usize)> {
    let places = left.iter().copied().enumerate();
    places.min_by(|(_, a), (_, b)| {
        let (a, b) = (&waiting[*a], &waiting[*b]);
        let by_precedence = {
            let precedence = |ask: &SlotRequest| {
                let claim = claims[&*ask.team];
                precedence(ask.rank, claim.used, share, claim.overdue_at)
            };
            precedence(&a.ask).cmp(&precedence(&b.ask))
        };
        let by_use = {
            let step = |ask: &SlotRequest| step_of(claims[&*ask.team].used, step_tokens);
            step(&a.ask).cmp(&step(&b.ask))
        };
        let (a_ends, b_ends) = (a.since + a.ask.budget, b.since + b.ask.budget);
        by_precedence
            .then(by_use)
            .then(a_ends.cmp(&b_ends))
            .then(a.id.cmp(&b.id))
    })
}
