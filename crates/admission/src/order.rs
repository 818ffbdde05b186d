//! Puts the asks that wait before an engine into the order of their turns.
//!
//! Streams that go on come first, then teams within their share by rank, then those above it; among these the team with the
//! least use lately at all engines, then the ask whose budget ends first.

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

/// Returns the places of the waiting asks in the order of their turns, by the use of their teams and the use of a share.
///
/// Each turn adds to its team's use, so that a team with many asks does not take all the turns at once.
pub(crate) fn order_of(
    waiting: &[Waiting],
    share: f64,
    used_by: impl Fn(&str) -> f64,
) -> Vec<usize> {
    let mut used: HashMap<&str, f64> = HashMap::new();
    for waiting in waiting {
        let team = &waiting.ask.team;
        used.entry(team).or_insert_with(|| used_by(team));
    }
    let most = used.values().copied().fold(0.0, f64::max);
    let step_tokens = step_tokens(most);
    let mut left: Vec<usize> = (0..waiting.len()).collect();
    let mut order = Vec::with_capacity(left.len());
    while let Some((place, next)) = next_of(waiting, &left, &used, share, step_tokens) {
        left.swap_remove(place);
        order.push(next);
        let ask = &waiting[next].ask;
        let team_use = used.get_mut(&*ask.team).expect("every team was put there");
        *team_use += f64::from(ask.service_tokens());
    }
    order
}

fn next_of(
    waiting: &[Waiting],
    left: &[usize],
    used: &HashMap<&str, f64>,
    share: f64,
    step_tokens: f64,
) -> Option<(usize, usize)> {
    let places = left.iter().copied().enumerate();
    places.min_by(|(_, a), (_, b)| {
        let (a, b) = (&waiting[*a], &waiting[*b]);
        let by_precedence = {
            let precedence = |ask: &Ask| precedence(ask.rank, used[&*ask.team], share);
            precedence(&a.ask).cmp(&precedence(&b.ask))
        };
        let by_use = {
            let step = |ask: &Ask| step_of(used[&*ask.team], step_tokens);
            step(&a.ask).cmp(&step(&b.ask))
        };
        let (a_ends, b_ends) = (a.since + a.ask.budget, b.since + b.ask.budget);
        by_precedence
            .then(by_use)
            .then(a_ends.cmp(&b_ends))
            .then(a.id.cmp(&b.id))
    })
}
