//! The state of one request while it waits and runs.

use std::sync::Arc;
use std::time::Duration;

use hinge_outcome::{Outcome, SidecarId};
use hinge_placement::Sample;
use hinge_schema::messages::{Bind, Header, Offer, UrgencyClass};
use hinge_telemetry::log::Part;
use smallvec::SmallVec;
use tokio::time::Instant;

use crate::body::BufferedBody;
use crate::estimates::CostFeatures;
use crate::metrics::RequestMetrics;
use crate::model::Estimate;
use crate::selection::{PoolSelector, sample_of};
use crate::shared::{OpenRequest, Shared};
use crate::teams::QueuePermit;

/// A request that waits or runs, with everything its attempts need.
#[derive(Debug)]
pub struct RequestContext {
    /// State shared by all requests.
    pub shared: Arc<Shared>,
    /// Counts the request as open.
    pub _open: OpenRequest,
    /// Metrics of the request.
    pub metrics: RequestMetrics,
    /// Its place in the queue of waiting requests.
    pub permit: QueuePermit,
    /// Team that is charged for the request.
    pub team: Box<str>,
    /// Requested pool.
    pub pool: Box<str>,
    /// Selector of the pool's sidecars.
    pub selector: Arc<PoolSelector>,
    /// Sidecars of failed attempts, which are tried last.
    pub avoid: SmallVec<[SidecarId; 2]>,
    /// Urgency class.
    pub class: UrgencyClass,
    /// Arrival time.
    pub arrived: Instant,
    /// Time by which the answer's head must arrive.
    pub deadline: Instant,
    /// Shortest retry delay after a refusal.
    pub min_retry_after: Duration,
    /// Whether the request may run more than once.
    pub is_idempotent: bool,
    /// Idempotency key.
    pub key: Option<Box<str>>,
    /// Hash of the method, the path and the buffered body.
    pub fingerprint: u64,
    /// Estimated cost.
    pub estimate: Estimate,
    /// Inputs of the estimate, for which the actual cost is recorded later.
    pub cost_features: Arc<CostFeatures>,
    /// HTTP method.
    pub method: Box<str>,
    /// Path and query that are sent to the endpoint.
    pub path: Box<str>,
    /// End-to-end headers.
    pub headers: Vec<Header>,
    /// Body.
    pub body: BufferedBody,
}

impl RequestContext {
    /// Returns the offer for one attempt, with the time and configuration of now.
    #[must_use]
    pub fn offer(&self, request_id: u64) -> Offer {
        let left = self.deadline.saturating_duration_since(Instant::now());
        let member = &self.shared.member;
        Offer {
            request_id,
            entry: member.instance().into(),
            entry_incarnation: member.incarnation(),
            team: self.team.clone(),
            pool: self.pool.clone(),
            class: self.class,
            estimated_units: self.estimate.units,
            kv_tokens: self.estimate.kv_tokens,
            prefix_hash: self.estimate.prefix_hash,
            deadline_ms: u64::try_from(left.as_millis()).unwrap_or(u64::MAX),
            config_version: member.config_version(),
            idempotent: self.is_idempotent,
            key: self.key.clone(),
            fingerprint: self.fingerprint,
        }
    }

    /// Returns the bind message for one attempt.
    #[must_use]
    pub fn bind(&self, request_id: u64) -> Bind {
        Bind {
            request_id,
            method: self.method.clone(),
            path: self.path.clone(),
            headers: self.headers.clone(),
            body_bytes: self.body.total_bytes,
            acknowledges: Some(true),
        }
    }
}

impl RequestContext {
    /// Returns whether the caller may send the request again although its outcome is unknown.
    ///
    /// An idempotency key makes a resend safe: it gets the first outcome and never causes a second run.
    #[must_use]
    pub fn is_resend_safe(&self) -> bool {
        self.is_idempotent || self.key.is_some()
    }

    /// Counts the request's outcome in the metrics.
    pub fn count_end(&self, outcome: Outcome) {
        self.metrics.count_end(&self.shared.metrics, outcome);
    }

    /// Records a health sample of a sidecar.
    pub fn observe(&self, sidecar: SidecarId, sample: Sample) {
        if self.selector.observe(sidecar, sample, self.shared.now()) {
            self.shared.metrics.count_ejection();
            hinge_telemetry::warn!(
                Part::Entry,
                "A sidecar is ejected.",
                pool = self.pool,
                sidecar = sidecar,
                sample = format!("{sample:?}"),
            );
        }
    }

    /// Records the health sample of a failed attempt, and avoids its sidecar in the next ones.
    pub fn observe_outcome(&mut self, sidecar: SidecarId, outcome: Outcome) {
        if let Some(sample) = sample_of(outcome) {
            self.observe(sidecar, sample);
            self.avoid.push(sidecar);
        }
    }

    /// Records the health sample of an answer's head; `wait` is the time since the bind.
    pub fn observe_head(&self, sidecar: SidecarId, status: u16, wait: Duration) {
        let units = u32::try_from(self.estimate.prompt_units).unwrap_or(u32::MAX);
        let sample = if status >= 500 {
            Sample::Failed
        } else {
            Sample::Answered {
                wait: wait / units.max(1),
            }
        };
        self.observe(sidecar, sample);
    }
}
