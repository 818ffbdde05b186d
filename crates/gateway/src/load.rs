//! Measures how far behind a gateway is, and holds the places of the requests that it has under way.

use std::sync::Arc;
use std::time::Duration;

use hinge_routing::{LimitKind, OverloadCounts, Overloaded};
use hinge_telemetry::log::Part;
use hinge_telemetry::readiness::{Readiness, Reason};
use hinge_telemetry::{info, warn};
use tokio::time::{Instant, sleep_until};

use crate::gateway::Shared;

/// Time between two ticks; five of them are in a window, and each costs a small gateway some 40 µs.
const TICK: Duration = Duration::from_millis(40);

/// Least time between two lines about the load, while it is too much.
const TELL_EVERY: Duration = Duration::from_secs(1);

/// Time over which what is taken and turned away is counted.
const COUNT_EVERY: Duration = Duration::from_secs(1);

/// Notes how late ticks come, until the task is aborted.
pub(crate) async fn watch_lag(shared: Arc<Shared>, readiness: Arc<Readiness>) {
    let began = Instant::now();
    let (mut was_short, mut was_full, mut was_guarded) = (false, false, false);
    let mut told_at = began;
    let mut counted_at = began;
    loop {
        let due = Instant::now() + TICK;
        sleep_until(due).await;
        let now = Instant::now();
        let (limit, lag, is_short, is_full, is_guarded) = {
            let mut overload = shared.overload();
            overload.record_tick(now - began, now - due);
            let (limit, lag) = (overload.limit(), overload.lag());
            let (is_short, is_full) = (overload.is_overloaded(), overload.is_full());
            (limit, lag, is_short, is_full, overload.limits_connections())
        };
        shared.follow_overload();
        if is_guarded != was_guarded {
            was_guarded = is_guarded;
            info!(
                Part::Gateway,
                "Connections are refused for which there is no room, or not any more.",
                refused = is_guarded,
                limit = limit,
                lag_ms = lag.as_millis()
            );
        }
        if is_full != was_full {
            was_full = is_full;
            info!(
                Part::Gateway,
                "New connections are asked to go elsewhere, or not any more.",
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
        if is_short && (!was_short || told_at.elapsed() >= TELL_EVERY) {
            told_at = now;
            warn!(
                Part::Gateway,
                "Short of processor time.",
                lag_ms = lag.as_millis(),
                limit = limit
            );
        }
        if was_short && !is_short {
            info!(
                Part::Gateway,
                "Processor time suffices again.",
                limit = limit
            );
        }
        was_short = is_short;
        if counted_at.elapsed() >= COUNT_EVERY {
            counted_at = now;
            let tally = shared.overload().take_counts();
            shared.metrics.count(&tally);
            if tally.has_excess() {
                tell(&tally, limit, lag);
            }
        }
    }
}

/// Writes what was taken and turned away, and why.
fn tell(tally: &OverloadCounts, limit: u32, lag: Duration) {
    info!(
        Part::Gateway,
        "Load.",
        connections = tally.connections,
        begun = tally.begun,
        handed_off = tally.handed_off,
        taken_over = tally.taken_over,
        declined = tally.declined,
        refused_all = tally.refused_at(LimitKind::All),
        refused_hot_teams = tally.refused_at(LimitKind::HotTeams),
        refused_other_teams = tally.refused_at(LimitKind::OtherTeams),
        refused_lag = tally.refused_at(LimitKind::Lag),
        shut_ms = tally.closed_time.as_millis(),
        limit = limit,
        lag_ms = lag.as_millis()
    );
}

/// Holds the place of a request under way.
#[derive(Debug)]
pub(crate) struct Running {
    shared: Arc<Shared>,
    team: Box<str>,
}

impl Running {
    /// Lets a request begin, unless this gateway has too much to do.
    ///
    /// # Errors
    ///
    /// Returns what there was no room for.
    pub(crate) fn begin(shared: &Arc<Shared>, team: Option<&str>) -> Result<Self, Overloaded> {
        let team = team.unwrap_or_default();
        shared.overload().try_begin(team)?;
        Ok(Self {
            shared: Arc::clone(shared),
            team: team.into(),
        })
    }
}

impl Running {
    /// Lets a request begin that another gateway hands off, if there is room for it.
    pub(crate) fn take_over(shared: &Arc<Shared>, team: Option<&str>) -> Option<Self> {
        let team = team.unwrap_or_default();
        let may = shared.overload().try_take_over(team);
        may.then(|| Self {
            shared: Arc::clone(shared),
            team: team.into(),
        })
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.shared.overload().request_ended(&self.team);
    }
}
