//! Puts the asks that wait before an engine into the order of their turns.
//!
//! Streams that go on come first, then teams within their share by rank, then those above it, of which one that has had far less
//! of late goes first; among these the team with the least use lately at all engines, then the ask whose budget ends first.

use std::collections::HashMap;
use std::time::Duration;

use crate::ask::{Ask, AskId};
use crate::turn::{precedence, step_of, step_tokens};

/// Holds an ask that waits.
#[derive(Debug)]
pub(crate) struct Waiting {
    pub(crate) id: AskId,
    pub(crate) ask: Ask,
    pub(crate) since: Duration,
}

/// Tells what the order needs to know of a team.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Claim {
    /// What it has used lately at all engines, in tokens.
    pub(crate) used: f64,
    /// What it has had here of late, where that is far less than another team; the one with the least is the most overdue.
    pub(crate) overdue_at: Option<f64>,
}

/// Returns the places of the waiting asks in the order of their turns, by the claims of their teams and the use of a share.
///
/// Each turn adds to its team's use, so that a team with many asks does not take all the turns at once.
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
            let precedence = |ask: &Ask| {
                let claim = claims[&*ask.team];
                precedence(ask.rank, claim.used, share, claim.overdue_at)
            };
            precedence(&a.ask).cmp(&precedence(&b.ask))
        };
        let by_use = {
            let step = |ask: &Ask| step_of(claims[&*ask.team].used, step_tokens);
            step(&a.ask).cmp(&step(&b.ask))
        };
        let (a_ends, b_ends) = (a.since + a.ask.budget, b.since + b.ask.budget);
        by_precedence
            .then(by_use)
            .then(a_ends.cmp(&b_ends))
            .then(a.id.cmp(&b.id))
    })
}
