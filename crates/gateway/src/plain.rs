//! The choice of an endpoint for a request to a service without model engines.

use std::sync::Arc;
use std::time::Duration;

use hinge_routing::{PlainCandidate, PlainOutcome, choose_plain};
use smallvec::SmallVec;

use crate::endpoint::Endpoint;
use crate::history::History;
use crate::job::Job;

/// Shortest retry delay; a caller that comes back sooner finds what it left.
const MIN_RETRY: Duration = Duration::from_millis(20);

impl Job {
    /// Returns whether endpoints are chosen by the time that the request takes there: it has no prompt, and they are no engines.
    pub(crate) fn is_plain(&self) -> bool {
        self.engine.is_none() && self.prompt.is_none()
    }

    /// Chooses the endpoint with the shortest expected end, or `None` if none of them can begin in time.
    pub(crate) fn choose_plain(
        &self,
        usable: &[&Arc<Endpoint>],
        history: &mut History,
    ) -> Option<Arc<Endpoint>> {
        let (far_bytes, gateway) = (self.far_bytes(), &self.gateway);
        let candidates = usable.iter().map(|endpoint| {
            endpoint.plain_candidate(&gateway.data_center, far_bytes, &gateway.choice)
        });
        let candidates: SmallVec<[PlainCandidate; 4]> = candidates.collect();
        history.candidates = candidates.len();
        let left = self.outgoing.ends_at.left();
        match choose_plain(&candidates, left, rand::random())? {
            PlainOutcome::Chosen(expected) => {
                let candidate = &candidates[expected.index];
                history.expected = Some(expected);
                history.running = candidate.expected_requests();
                history.load_age_ms = candidate.load_age.unwrap_or_default().as_millis();
                Some(Arc::clone(usable[expected.index]))
            }
            PlainOutcome::TooLate { free_in } => {
                history.cause = "no endpoint can begin in time";
                history.retry_after = Some(free_in.max(MIN_RETRY));
                None
            }
        }
    }

    /// Records that a plain endpoint was full; the caller may come back when the first of those tried should have a free slot.
    pub(crate) fn record_plain_rejection(&self, endpoint: &Endpoint, history: &mut History) {
        if !self.is_plain() {
            return;
        }
        if let Some(free_in) = endpoint.plain_free_in() {
            let free_in = free_in.max(MIN_RETRY);
            let before = history.retry_after.unwrap_or(free_in);
            history.retry_after = Some(before.min(free_in));
        }
    }
}
