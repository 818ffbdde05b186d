//! Decides which requests a gateway refuses because it is short of processor time.
//!
//! A load balancer spreads connections over the gateways by a hash of the caller, so that one caller with ten
//! times its usual load hits a single gateway. A gateway that takes all of it delays every stream, and in the
//! end completes none. One that refuses at once what it can't handle serves the rest.
//!
//! A request without capacity is handed off to another gateway of the data centre, or refused where none
//! takes it. Both cost processor time, and a caller's next attempt may reach the same gateway. A gateway that
//! keeps refusing therefore asks the load balancer for no new connections until it has had capacity for a
//! while, and asks the callers that it refuses to reconnect. New connections are limited to what it keeps up
//! with (`ConnectionLimit`).
//!
//! The sign of overload is a *standing* lag: tasks that are ready to run wait throughout a whole window. The
//! minimum lag of a window tells that from a burst or from a processor whose quota is handed out in slices,
//! which the maximum lag would not. The limit of the requests in flight follows the lag, since streams go on
//! costing processor time for seconds.

use std::collections::HashMap;
use std::time::Duration;

use crate::connection_limit::{ConnectionLimit, ListenerState};
use crate::counts::{LimitKind, OfferFailure, OverloadCounts};
use crate::handoff_limit::HandoffLimit;
use crate::team_demand::TeamDemand;

/// The settings of an [`OverloadControl`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OverloadRules {
    /// Standing lag above which the limit falls.
    pub target_lag: Duration,
    /// Standing lag above which plain requests are refused as well.
    pub plain_lag: Duration,
    /// Time over which the minimum lag is taken.
    pub window: Duration,
    /// Lowest limit of requests in flight.
    pub min_limit: u32,
    /// Highest limit, for which memory has to suffice.
    pub max_limit: u32,
}

impl Default for OverloadRules {
    /// Returns the defaults.
    ///
    /// 10 ms is a tenth of the pause that a stream tolerates on its way, and more than a tick is late by in a
    /// process that is busy but keeps up. A plain request is worth serving until the lag is a large part of
    /// its 100 ms. In 200 ms, a processor whose quota is handed out in tenths of a second starts a new slice
    /// at least once. 24 streams use less than half of the smallest gateway, beside as many refusals, and 700
    /// take some 40 MB with their bodies.
    fn default() -> Self {
        Self {
            target_lag: Duration::from_millis(10),
            plain_lag: Duration::from_millis(60),
            window: Duration::from_millis(200),
            min_limit: 24,
            max_limit: 700,
        }
    }
}

/// Fraction of the limit that remains after a window of overload, in thousandths: up to `STEEP_LAG_FACTOR`
/// times the target lag, and above it.
const DECREASE_PERMILLE: u32 = 850;
const STEEP_DECREASE_PERMILLE: u32 = 500;

/// Multiple of the target lag above which the limit falls steeply. A gateway that a hot caller hits takes a
/// second's work in its first window, and every window at that limit adds to it.
const STEEP_LAG_FACTOR: u32 = 8;

/// Increase of the limit after a window without overload, in thousandths, while it is used or requests are
/// refused: where tasks had to wait, and where none did, so that the limit is far below the capacity of the
/// gateway.
const INCREASE_PERMILLE: u32 = 80;
const IDLE_INCREASE_PERMILLE: u32 = 200;

/// Fraction of the target lag below which a standing lag counts as none, in thousandths.
const IDLE_LAG_PERMILLE: u32 = 200;

/// Upper and lower bound of the share of the limit for hot teams, in thousandths; the rest is for the other
/// teams. The share falls while one of these is refused, and rises while none is.
const MAX_HOT_PERMILLE: u32 = 750;
const MIN_HOT_PERMILLE: u32 = 150;

/// Fraction of that share that remains after a window in which another team was refused, and its increase
/// after a window in which none was, in thousandths.
const HOT_DECREASE_PERMILLE: u32 = 600;
const HOT_INCREASE_PERMILLE: u32 = 30;

/// Share of the limit for the other teams, in thousandths: a little more than all of it, since hot teams
/// lowered it.
const OTHER_TEAMS_PERMILLE: u32 = 1_250;

/// Consecutive windows with many refusals after which new connections are asked to go elsewhere.
const FULL_AFTER_WINDOWS: u32 = 2;

/// Fraction of the requests of a window that must be refused to count as many, in thousandths. The callers of
/// a gateway that serves the larger part are served best there: the next gateway may have a third of its
/// processor time.
const MANY_REFUSALS_PERMILLE: u32 = 600;

/// Consecutive windows with spare capacity, without overload and refusals, after which new connections are
/// welcome again the first time: two seconds, in which the load balancer probes twice.
const SPARE_WINDOWS: u32 = 10;

/// Upper bound of that number. Callers are spread by a hash, so that a hot one comes back as soon as it may:
/// each time it does, it has to stay away for twice as long.
const MAX_SPARE_WINDOWS: u32 = 80;

/// Consecutive windows with spare capacity after which that number is `SPARE_WINDOWS` again.
const RESET_AFTER_WINDOWS: u32 = 150;

/// Windows after which the load balancer knows that a gateway is full: it probes once a second and acts on
/// the second answer.
const BALANCER_WINDOWS: u32 = 10;

/// Fraction of the limit that may be in use in a window with spare capacity, in thousandths.
const SPARE_PERMILLE: u32 = 700;

/// The reason why there is no capacity for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Overloaded {
    /// Limit that was reached.
    pub limit_kind: LimitKind,
    /// Requests in flight.
    pub running: u32,
    /// Current limit of requests in flight.
    pub limit: u32,
    /// Requests of the team in flight.
    pub team_running: u32,
    /// Standing lag of the last whole window.
    pub lag: Duration,
}

/// An adaptive limit of the requests in flight at one gateway.
#[derive(Debug)]
pub struct OverloadControl {
    rules: OverloadRules,
    limit: u32,
    running: u32,
    teams: HashMap<Box<str>, u32>,
    /// Most requests in flight in this window.
    peak_running: u32,
    /// Minimum lag in this window.
    min_lag: Option<Duration>,
    window_ends: Duration,
    /// Standing lag of the last whole window.
    lag: Duration,
    /// Requests started here or elsewhere in this window, those of them that other gateways took, and those
    /// refused.
    begun: u32,
    handed_off: u32,
    refused: u32,
    /// Refused requests of teams that are not hot, in this window.
    refused_others: u32,
    /// Current share of the limit for hot teams, in thousandths.
    hot_permille: u32,
    demand: TeamDemand,
    /// Consecutive windows that were full, and that had spare capacity.
    full_windows: u32,
    spare_windows: u32,
    /// Consecutive windows with spare capacity after which a full gateway is no longer full.
    spare_windows_needed: u32,
    is_full: bool,
    /// Windows since the gateway became full.
    windows_since_full: u32,
    /// Remaining windows for which callers are still asked to reconnect after the listener was closed for a
    /// time.
    limited_windows: u32,
    connection_limit: ConnectionLimit,
    handoff_limit: HandoffLimit,
    counts: OverloadCounts,
    last_tick_at: Duration,
}

impl OverloadControl {
    /// Creates a control that starts at the highest limit.
    #[must_use]
    pub fn new(rules: OverloadRules) -> Self {
        Self {
            limit: rules.max_limit,
            rules,
            running: 0,
            teams: HashMap::new(),
            peak_running: 0,
            min_lag: None,
            window_ends: rules.window,
            lag: Duration::ZERO,
            begun: 0,
            handed_off: 0,
            refused: 0,
            refused_others: 0,
            hot_permille: MAX_HOT_PERMILLE,
            demand: TeamDemand::default(),
            full_windows: 0,
            spare_windows: 0,
            spare_windows_needed: SPARE_WINDOWS,
            is_full: false,
            windows_since_full: 0,
            limited_windows: 0,
            connection_limit: ConnectionLimit::new(),
            handoff_limit: HandoffLimit::default(),
            counts: OverloadCounts::default(),
            last_tick_at: Duration::ZERO,
        }
    }

    /// Records a tick and how late it came, and adapts the limits at the end of a window.
    pub fn record_tick(&mut self, now: Duration, lag: Duration) {
        if self.refuses_connections() {
            self.counts.closed_time += now.saturating_sub(self.last_tick_at);
        }
        self.last_tick_at = now;
        self.connection_limit.record_tick();
        self.min_lag = Some(self.min_lag.map_or(lag, |min| min.min(lag)));
        if now < self.window_ends {
            return;
        }
        self.lag = self.min_lag.take().unwrap_or_default();
        self.window_ends = now + self.rules.window;
        let (peak_running, limit) = (self.peak_running, self.limit);
        self.peak_running = self.running;
        let has_refused = self.refused > 0;
        let handed_off = std::mem::take(&mut self.handed_off);
        self.handoff_limit.end_window();
        let is_wasted = has_refused && self.is_overloaded();
        let listener = self
            .connection_limit
            .end_window(self.lag, self.begun, is_wasted);
        self.end_window(peak_running, listener);
        if self.is_overloaded() {
            // A limit far above the requests in flight would take many windows to have an effect.
            let from = limit.min(peak_running.max(self.rules.min_limit));
            let is_steep = self.lag > self.rules.target_lag * STEEP_LAG_FACTOR;
            let remaining = if is_steep {
                STEEP_DECREASE_PERMILLE
            } else {
                DECREASE_PERMILLE
            };
            self.limit = (from * remaining / 1000).max(self.rules.min_limit);
        } else if listener != ListenerState::Open && handed_off > 0 {
            // The limit stays: a request handed off costs less than one served here, and more of them would
            // come.
        } else if peak_running >= limit * MAX_HOT_PERMILLE / 1000 || (has_refused && self.is_idle())
        {
            // Rounded like the share of a hot team, which may be the only one that sends requests. After a
            // burst, a limit that rises slowly would refuse a team for seconds beside an idle processor.
            let permille = if self.is_idle() {
                IDLE_INCREASE_PERMILLE
            } else {
                INCREASE_PERMILLE
            };
            let increase = (limit * permille / 1000).max(1);
            self.limit = (limit + increase).min(self.rules.max_limit);
        }
    }

    /// Ends a window, and changes whether the gateway is full after several windows of a kind in a row.
    fn end_window(&mut self, peak_running: u32, listener: ListenerState) {
        let refused = std::mem::take(&mut self.refused);
        self.demand.decay();
        self.hot_permille = if std::mem::take(&mut self.refused_others) > 0 {
            (self.hot_permille * HOT_DECREASE_PERMILLE / 1000).max(MIN_HOT_PERMILLE)
        } else {
            (self.hot_permille + HOT_INCREASE_PERMILLE).min(MAX_HOT_PERMILLE)
        };
        let requests = refused + std::mem::take(&mut self.begun);
        let has_spare_capacity = !self.is_overloaded()
            && refused == 0
            && listener == ListenerState::Open
            && peak_running * 1000 <= self.limit * SPARE_PERMILLE;
        self.spare_windows = if has_spare_capacity {
            self.spare_windows + 1
        } else {
            0
        };
        let has_many_refusals = (refused > 0
            && refused * 1000 >= requests * MANY_REFUSALS_PERMILLE)
            || listener == ListenerState::MostlyClosed;
        self.full_windows = if has_many_refusals {
            self.full_windows + 1
        } else {
            0
        };
        self.windows_since_full = if self.is_full {
            self.windows_since_full + 1
        } else {
            0
        };
        self.limited_windows = if listener == ListenerState::Open {
            self.limited_windows.saturating_sub(1)
        } else {
            BALANCER_WINDOWS
        };
        if self.full_windows >= FULL_AFTER_WINDOWS {
            self.is_full = true;
        } else if self.is_full && self.spare_windows >= self.spare_windows_needed {
            self.is_full = false;
            self.spare_windows_needed = (self.spare_windows_needed * 2).min(MAX_SPARE_WINDOWS);
        } else if self.spare_windows >= RESET_AFTER_WINDOWS {
            self.spare_windows_needed = SPARE_WINDOWS;
        }
    }

    /// Starts a request of a team if there is capacity for it.
    ///
    /// # Errors
    ///
    /// Returns the limit that was reached; the request is then handed off or refused.
    pub fn try_begin(&mut self, team: &str) -> Result<(), Overloaded> {
        let team_running = self.teams.get(team).copied().unwrap_or_default();
        let is_hot = self.demand.record(team);
        let (limit_kind, permille) = match (is_hot, self.demand.has_hot_team) {
            (true, _) => (LimitKind::HotTeams, self.hot_permille),
            (false, true) => (LimitKind::OtherTeams, OTHER_TEAMS_PERMILLE),
            (false, false) => (LimitKind::All, 1_000),
        };
        let room = self.limit * permille / 1000;
        if self.running >= room.max(1) {
            return Err(Overloaded {
                limit_kind,
                running: self.running,
                limit: self.limit,
                team_running,
                lag: self.lag,
            });
        }
        self.begin(team);
        Ok(())
    }

    /// Starts a request that another gateway hands off if there is capacity for it, and returns whether there
    /// is.
    ///
    /// It may use the share of the limit for hot teams, and only while this gateway keeps up, so that its own
    /// callers don't wait for it.
    pub fn try_take_over(&mut self, team: &str) -> bool {
        let room = self.limit * self.hot_permille / 1000;
        let is_taken = !self.is_overloaded() && !self.is_full && self.running < room;
        if is_taken {
            self.begin(team);
            self.counts.taken_over += 1;
        } else {
            self.counts.declined += 1;
        }
        is_taken
    }

    fn begin(&mut self, team: &str) {
        self.running += 1;
        self.begun += 1;
        self.counts.begun += 1;
        self.peak_running = self.peak_running.max(self.running);
        if let Some(count) = self.teams.get_mut(team) {
            *count += 1;
        } else {
            self.teams.insert(team.into(), 1);
        }
    }

    /// Returns whether a request without capacity may be handed off, and counts it if so.
    ///
    /// Only requests of hot teams are limited: they ask for more than they can get.
    pub fn try_hand_off(&mut self, overloaded: &Overloaded) -> bool {
        overloaded.limit_kind != LimitKind::HotTeams || self.handoff_limit.try_hand_off()
    }

    /// Records whether a request that another gateway took was served.
    pub fn record_handoff_outcome(&mut self, is_served: bool) {
        self.handoff_limit.record_outcome(is_served);
    }

    /// Records that another gateway took a request that was handed off.
    pub fn record_handoff(&mut self) {
        self.begun += 1;
        self.handed_off += 1;
        self.counts.handed_off += 1;
    }

    /// Records that a request could not be handed off, or not to the gateway that was asked.
    pub fn record_offer_failure(&mut self, failure: OfferFailure) {
        self.counts.record_offer_failure(failure);
    }

    /// Records that a request without capacity is refused.
    pub fn record_refusal(&mut self, overloaded: &Overloaded) {
        self.counts.record_refusal(overloaded.limit_kind);
        // A plain request that the lag would make late says nothing about the capacity for others.
        if overloaded.limit_kind != LimitKind::Lag {
            self.refused += 1;
            self.refused_others += u32::from(overloaded.limit_kind != LimitKind::HotTeams);
        }
    }

    /// Records that a started request has ended.
    ///
    /// # Panics
    ///
    /// Panics when no request of the team is in flight, which is a broken invariant.
    pub fn request_ended(&mut self, team: &str) {
        self.running -= 1;
        let count = self
            .teams
            .get_mut(team)
            .expect("the team has a request in flight");
        *count -= 1;
        if *count == 0 {
            self.teams.remove(team);
        }
    }

    /// Accepts a plain request unless the lag alone would make it late.
    ///
    /// Plain requests go to services without model engines; they cost little and are short, so no limit
    /// applies to them.
    ///
    /// # Errors
    ///
    /// Returns the lag.
    pub fn check_plain(&self) -> Result<(), Overloaded> {
        if self.lag <= self.rules.plain_lag {
            return Ok(());
        }
        Err(Overloaded {
            limit_kind: LimitKind::Lag,
            running: self.running,
            limit: self.limit,
            team_running: 0,
            lag: self.lag,
        })
    }

    /// Returns whether the standing lag of the last whole window was above its target.
    #[must_use]
    pub fn is_overloaded(&self) -> bool {
        self.lag > self.rules.target_lag
    }

    /// Returns whether tasks hardly waited in the last whole window.
    fn is_idle(&self) -> bool {
        self.lag < self.rules.target_lag * IDLE_LAG_PERMILLE / 1000
    }

    /// Returns whether callers should connect to other gateways.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.is_full
    }

    /// Records an accepted connection.
    pub fn record_connection(&mut self) {
        self.connection_limit.record_accepted();
        self.counts.connections += 1;
    }

    /// Returns the counts since the last call, and resets them.
    pub fn take_counts(&mut self) -> OverloadCounts {
        std::mem::take(&mut self.counts)
    }

    /// Returns whether the connection of a response should close after it, since more are open than the
    /// processor keeps up with.
    pub fn should_close_connection(&mut self) -> bool {
        self.connection_limit.should_close_connection()
    }

    /// Returns whether connections were refused recently because the processor did not keep up.
    #[must_use]
    pub fn limits_connections(&self) -> bool {
        self.limited_windows > 0
    }

    /// Returns whether no new connection is accepted now.
    #[must_use]
    pub fn refuses_connections(&self) -> bool {
        self.connection_limit.is_closed()
    }

    /// Returns whether callers that are refused should reconnect.
    ///
    /// They should once the load balancer knows that this gateway is full, since an earlier connection would
    /// come back here, or while the gateway limits its connections.
    #[must_use]
    pub fn should_reconnect(&self) -> bool {
        self.windows_since_full >= BALANCER_WINDOWS || self.limits_connections()
    }

    /// Returns the current limit of requests in flight.
    #[must_use]
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Returns the standing lag of the last whole window.
    #[must_use]
    pub fn lag(&self) -> Duration {
        self.lag
    }
}
