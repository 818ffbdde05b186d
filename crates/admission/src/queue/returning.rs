//! Refuses requests with a time at which their callers have a place, and counts the kept places.

use std::time::Duration;

use super::AdmissionQueue;
use crate::order::WaitingRequest;
use crate::request::{Decision, RefusalCause, SlotRequestId};
use crate::returns::{RefusedRequest, ReturnTime, delayed_by};

/// Thousandths of its budget that a request with a kept place may wait: it is refused only if it can't be on time.
const PROMISED_WAIT_PERMILLE: u32 = 1000;

/// The work of a promised request that has not come back yet.
#[derive(Debug)]
pub(super) struct PromisedWork {
    key: u64,
    team: Box<str>,
    /// The team's recent usage, in tokens.
    used: f64,
    /// Time until it comes.
    until: Duration,
    prefill_time: Duration,
}

impl WaitingRequest {
    /// Returns how long the request may wait, in thousandths of its budget, given the limit without a kept place.
    pub(super) fn max_wait_permille(&self, without_place: u32) -> u32 {
        match self.promise {
            Some(_) => without_place.max(PROMISED_WAIT_PERMILLE),
            None => without_place,
        }
    }

    /// Returns the time until the request starts, given the time without the places that are kept for others.
    ///
    /// Places of its own team and of teams that have used less are ahead of it, as their requests would be.
    pub(super) fn time_behind(
        &self,
        promised: &[PromisedWork],
        used: f64,
        time_to_start: Duration,
    ) -> Duration {
        if self.promise.is_some() {
            return time_to_start;
        }
        let ahead = promised.iter().filter(|work| {
            let goes_first = work.team == self.request.team || work.used < used;
            goes_first && self.request.return_key != Some(work.key)
        });
        delayed_by(
            time_to_start,
            ahead.map(|work| (work.until, work.prefill_time)),
        )
    }
}

impl AdmissionQueue {
    /// Returns the number of places that are kept for callers that come back.
    #[must_use]
    pub fn kept_places(&self) -> usize {
        self.returns.promises().len()
    }

    /// Returns the work of the promised requests that have not come back, in the order of their times.
    pub(super) fn promised_work(&self, now: Duration, max_short_term: f64) -> Vec<PromisedWork> {
        let promises = self.returns.promises().iter();
        let work = promises.map(|promise| PromisedWork {
            key: promise.key,
            team: promise.team.clone(),
            used: self
                .accounting
                .standing(now, &promise.team, max_short_term)
                .used,
            until: promise.due.saturating_sub(now),
            prefill_time: self.time_for(now, u64::from(promise.tokens)),
        });
        work.collect()
    }

    /// Removes a request that waits; its place is kept for the rest of its time.
    pub(super) fn remove_waiting(&mut self, now: Duration, id: SlotRequestId) {
        let Some(position) = self.waiting.iter().position(|waiting| waiting.id == id) else {
            return;
        };
        if let Some(promise) = self.waiting.remove(position).promise {
            self.returns.restore(now, promise);
        }
    }

    /// Refuses a waiting request that would start too late.
    pub(super) fn refuse(
        &mut self,
        now: Duration,
        id: SlotRequestId,
        drain_time: Duration,
        ahead: u64,
    ) -> Option<Decision> {
        let position = self.waiting.iter().position(|waiting| waiting.id == id)?;
        let request = self.waiting.remove(position).request;
        let tokens = self.tokens_to_prefill(&request);
        let told = request.return_key.map(|key| RefusedRequest {
            key,
            team: &request.team,
            tokens,
            prefill_time: self.time_for(now, u64::from(tokens)),
            drain_time,
            budget: request.budget,
            limited_to: self.accounting.part_if_above_share(now, &request.team),
        });
        let ReturnTime {
            retry_after,
            is_promised,
        } = match told {
            Some(refused) => self.returns.refuse(now, refused),
            None => ReturnTime {
                retry_after: drain_time,
                is_promised: false,
            },
        };
        Some(Decision::Refuse {
            id,
            retry_after,
            is_promised,
            ahead_tokens: u32::try_from(ahead).unwrap_or(u32::MAX),
            cause: RefusalCause::Late,
        })
    }
}
