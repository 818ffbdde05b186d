//! Measures a gateway's scheduling lag, and counts its requests in progress against the overload limits.

use std::sync::Arc;
use std::time::Duration;

use hinge_routing::{LimitKind, OfferFailure, OverloadCounts, Overloaded};
use hinge_telemetry::log::Component;
use hinge_telemetry::readiness::{Readiness, Reason};
use hinge_telemetry::{info, warn};
use tokio::time::{Instant, sleep_until};

use crate::gateway::Shared;

/// Interval of the timer that measures lag; a window has five ticks, and each costs a small gateway some 40 µs.
const TICK: Duration = Duration::from_millis(40);

/// Minimum interval between log lines about the lag during an overload.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Interval at which accepted and rejected requests are counted and logged.
const COUNT_INTERVAL: Duration = Duration::from_secs(1);

/// Measures how late timer ticks fire, until the task is aborted.
pub(crate) async fn watch_lag(shared: Arc<Shared>, readiness: Arc<Readiness>) {
    let began = Instant::now();
    let (mut was_overloaded, mut was_full, mut was_limiting) = (false, false, false);
    let mut logged_at = began;
    let mut counted_at = began;
    loop {
        let due = Instant::now() + TICK;
        sleep_until(due).await;
        let now = Instant::now();
        let (limit, lag, is_overloaded, is_full, is_limiting) = {
            let mut overload = shared.overload();
            overload.record_tick(now - began, now - due);
            let (limit, lag) = (overload.limit(), overload.lag());
            let (is_overloaded, is_full) = (overload.is_overloaded(), overload.is_full());
            (
                limit,
                lag,
                is_overloaded,
                is_full,
                overload.limits_connections(),
            )
        };
        shared.apply_overload();
        if is_limiting != was_limiting {
            was_limiting = is_limiting;
            info!(
                Component::Gateway,
                "Overload control has started or stopped limiting connections.",
                refused = is_limiting,
                limit = limit,
                lag_ms = lag.as_millis()
            );
        }
        if is_full != was_full {
            was_full = is_full;
            info!(
                Component::Gateway,
                "This instance has started or stopped reporting itself full to the load balancer.",
                full = is_full,
                limit = limit,
                lag_ms = lag.as_millis()
            );
            if is_full {
                readiness.set(Reason::Full);
            } else {
                readiness.clear(Reason::Full);
            }
        }
        if is_overloaded && (!was_overloaded || logged_at.elapsed() >= LOG_INTERVAL) {
            logged_at = now;
            warn!(
                Component::Gateway,
                "Short of processor time.",
                lag_ms = lag.as_millis(),
                limit = limit
            );
        }
        if was_overloaded && !is_overloaded {
            info!(
                Component::Gateway,
                "Processor time suffices again.",
                limit = limit
            );
        }
        was_overloaded = is_overloaded;
        if counted_at.elapsed() >= COUNT_INTERVAL {
            counted_at = now;
            let counts = shared.overload().take_counts();
            shared.metrics.add_counts(&counts);
            if counts.has_excess() {
                log_counts(&counts, limit, lag);
            }
        }
    }
}

/// Logs how many requests were accepted and rejected, and why.
fn log_counts(counts: &OverloadCounts, limit: u32, lag: Duration) {
    info!(
        Component::Gateway,
        "Load.",
        connections = counts.connections,
        begun = counts.begun,
        handed_off = counts.handed_off,
        taken_over = counts.taken_over,
        declined = counts.declined,
        none_left = counts.offers_failed_as(OfferFailure::NoneLeft),
        too_many = counts.offers_failed_as(OfferFailure::TooMany),
        unreachable = counts.offers_failed_as(OfferFailure::Unreachable),
        others_full = counts.offers_failed_as(OfferFailure::Full),
        others_unable = counts.offers_failed_as(OfferFailure::Unable),
        refused_all = counts.refused_at(LimitKind::All),
        refused_hot_teams = counts.refused_at(LimitKind::HotTeams),
        refused_other_teams = counts.refused_at(LimitKind::OtherTeams),
        refused_lag = counts.refused_at(LimitKind::Lag),
        shut_ms = counts.closed_time.as_millis(),
        limit = limit,
        lag_ms = lag.as_millis()
    );
}

/// A request in progress, counted against the overload limits until it is dropped.
#[derive(Debug)]
pub(crate) struct RunningRequest {
    shared: Arc<Shared>,
    team: Box<str>,
}

impl RunningRequest {
    /// Admits a caller's request, unless this gateway is overloaded.
    ///
    /// # Errors
    ///
    /// Returns the limit that the request exceeds.
    pub(crate) fn begin(shared: &Arc<Shared>, team: Option<&str>) -> Result<Self, Overloaded> {
        let team = team.unwrap_or_default();
        shared.overload().try_begin(team)?;
        Ok(Self {
            shared: Arc::clone(shared),
            team: team.into(),
        })
    }
}

impl RunningRequest {
    /// Admits a request that another gateway hands off, if the limits allow it.
    pub(crate) fn take_over(shared: &Arc<Shared>, team: Option<&str>) -> Option<Self> {
        let team = team.unwrap_or_default();
        let is_allowed = shared.overload().try_take_over(team);
        is_allowed.then(|| Self {
            shared: Arc::clone(shared),
            team: team.into(),
        })
    }
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        self.shared.overload().request_ended(&self.team);
    }
}
