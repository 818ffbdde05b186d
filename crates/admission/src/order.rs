//! Orders the requests that wait for a slot at one engine.
//!
//! Streams to continue come first. Then come teams within their fair share, by rank, and then teams above it; among
//! the latter an underserved team goes first. Ties go to the team with the lowest recent usage across all engines,
//! then to the request with the earliest deadline. The order of teams is decided first; among the requests of the team
//! that is next, those with a kept place go before the others of their rank.

use std::collections::HashMap;
use std::time::Duration;

use crate::request::{SlotRequest, SlotRequestId};
use crate::returns::Promise;
use crate::turn::{level_tokens, scheduling_class, usage_level};

/// A request that waits for a slot.
#[derive(Debug)]
pub(crate) struct WaitingRequest {
    pub(crate) id: SlotRequestId,
    pub(crate) request: SlotRequest,
    pub(crate) queued_at: Duration,
    /// The place that was kept for it since an earlier attempt was refused.
    pub(crate) promise: Option<Promise>,
}

/// The usage of a team that decides the order of its requests.
#[derive(Debug, Clone, Copy)]
pub(crate) struct TeamStanding {
    /// Recent usage at all engines, in tokens.
    pub(crate) used: f64,
    /// Short-term usage at this engine, in tokens, if it is far below that of another team. The team with the lowest
    /// value is the most underserved.
    pub(crate) short_term_if_underserved: Option<f64>,
}

/// Returns the indices of the waiting requests in scheduling order.
///
/// Each request placed adds to its team's usage, so that a team with many requests doesn't take all the first
/// positions.
pub(crate) fn scheduling_order(
    waiting: &[WaitingRequest],
    fair_share: f64,
    standing_of: impl Fn(&str) -> TeamStanding,
) -> Vec<usize> {
    let mut standings: HashMap<&str, TeamStanding> = HashMap::new();
    for waiting in waiting {
        let team = &waiting.request.team;
        standings.entry(team).or_insert_with(|| standing_of(team));
    }
    let max_usage = standings
        .values()
        .map(|standing| standing.used)
        .fold(0.0, f64::max);
    let level_tokens = level_tokens(max_usage);
    let mut remaining: Vec<usize> = (0..waiting.len()).collect();
    let mut order = Vec::with_capacity(remaining.len());
    while let Some((position, next)) =
        select_next(waiting, &remaining, &standings, fair_share, level_tokens)
    {
        remaining.swap_remove(position);
        order.push(next);
        let request = &waiting[next].request;
        let standing = standings
            .get_mut(&*request.team)
            .expect("every waiting team has a standing");
        standing.used += f64::from(request.usage_tokens());
        standing.short_term_if_underserved = None;
    }
    order
}

/// Returns the request of the chosen one's team and rank that has the earliest kept place, if any has one.
fn promised_instead(
    waiting: &[WaitingRequest],
    remaining: &[usize],
    chosen: usize,
) -> Option<(usize, usize)> {
    let chosen = &waiting[chosen].request;
    let positions = remaining.iter().copied().enumerate();
    let promised = positions.filter_map(|(position, index)| {
        let WaitingRequest {
            id,
            request,
            promise,
            ..
        } = &waiting[index];
        let is_like_chosen = request.team == chosen.team && request.rank == chosen.rank;
        let due = promise.as_ref().filter(|_| is_like_chosen)?.due;
        Some(((due, *id), (position, index)))
    });
    promised.min().map(|(_, place)| place)
}

fn select_next(
    waiting: &[WaitingRequest],
    remaining: &[usize],
    standings: &HashMap<&str, TeamStanding>,
    fair_share: f64,
    level_tokens: f64,
) -> Option<(usize, usize)> {
    let positions = remaining.iter().copied().enumerate();
    let chosen = positions.min_by(|(_, a), (_, b)| {
        let (a, b) = (&waiting[*a], &waiting[*b]);
        let by_class = {
            let scheduling_class = |request: &SlotRequest| {
                let standing = standings[&*request.team];
                scheduling_class(
                    request.rank,
                    standing.used,
                    fair_share,
                    standing.short_term_if_underserved,
                )
            };
            scheduling_class(&a.request).cmp(&scheduling_class(&b.request))
        };
        let by_usage = {
            let level =
                |request: &SlotRequest| usage_level(standings[&*request.team].used, level_tokens);
            level(&a.request).cmp(&level(&b.request))
        };
        let (a_deadline, b_deadline) = (
            a.queued_at + a.request.budget,
            b.queued_at + b.request.budget,
        );
        by_class
            .then(by_usage)
            .then(a_deadline.cmp(&b_deadline))
            .then(a.id.cmp(&b.id))
    })?;
    if waiting.iter().all(|waiting| waiting.promise.is_none()) {
        return Some(chosen);
    }
    let promised = promised_instead(waiting, remaining, chosen.1);
    Some(promised.unwrap_or(chosen))
}
