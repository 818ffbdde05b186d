//! Decides which requests a gateway turns away because it is itself short of processor time.
//!
//! The load pattern: connections are spread over the gateways by a hash of the caller, so that one caller with ten times
//! its usual load falls upon one gateway. A gateway that takes all of it passes every stream on late, and in the end
//! answers nobody. One that refuses at once what it can't bear serves the rest.
//!
//! What finds no room is handed off to another gateway of the data centre, or refused where none takes it. Both cost processor time,
//! and a caller's next attempt may fall upon the same gateway. So one that goes on refusing asks the balancer for no new connections
//! until it has had room for a while, and asks those that it refuses to connect anew. New connections are bounded by what it keeps up
//! with (`Intake`).
//!
//! The sign of overload is a *standing* lag: tasks that are ready wait, and go on waiting over a whole window. The
//! least lag of a window tells that from a burst or from a processor that is handed out in slices, which the greatest lag
//! would not. The number of requests under way is the limit that follows it, since streams go on costing for seconds.

use std::collections::HashMap;
use std::time::Duration;

use crate::connection_limit::{Intake, Window};
use crate::counts::{LimitKind, OverloadCounts};
use crate::team_demand::Asked;

/// Sets when a gateway turns requests away.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OverloadRules {
    /// Standing lag from which on the limit falls.
    pub target_lag: Duration,
    /// Standing lag from which on plain requests are turned away as well.
    pub plain_lag: Duration,
    /// Time over which the least lag is taken.
    pub window: Duration,
    /// Least and greatest limit.
    pub min_limit: u32,
    /// Greatest limit: memory for requests under way.
    pub max_limit: u32,
}

impl Default for OverloadRules {
    /// Returns the defaults.
    ///
    /// 10 ms is a tenth of the pause that a stream bears on its way, and more than a tick of a busy but able process
    /// is late by; a plain request is worth serving until the lag is a large part of its 100 ms. In 200 ms a processor that is
    /// handed out in tenths of a second begins anew at least once. Some 24 streams are less than half of the smallest
    /// gateway of today, beside as many refusals, and 700 hold some 40 MB with their bodies.
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

/// Part of the limit that remains after a window of overload, in thousandths: as long as the lag is a few times the target,
/// and beyond.
const FALL_PERMILLE: u32 = 850;
const STEEP_FALL_PERMILLE: u32 = 500;

/// Times the target from which on the limit falls steeply. A gateway that a hot caller falls upon takes a second's work
/// in its first window, and every window at that limit adds to it.
const STEEP_TIMES: u32 = 8;

/// Part of the limit by which it rises after a window without, in thousandths, while it is used or requests are refused: where tasks
/// had to wait, and where none did, so that the limit is far below what the gateway can bear.
const RISE_PERMILLE: u32 = 80;
const IDLE_RISE_PERMILLE: u32 = 200;

/// Part of the target below which a standing lag counts as none, in thousandths.
const IDLE_LAG_PERMILLE: u32 = 200;

/// Most and least part of the limit that hot teams may fill, in thousandths; the rest is for the others. It falls while
/// one of these is turned away, and rises while none is.
const SHARED_PERMILLE: u32 = 750;
const LEAST_SHARED_PERMILLE: u32 = 150;

/// Part of it that remains after a window in which another team was turned away, and what it gains after one in which none
/// was, in thousandths.
const SHARED_FALL_PERMILLE: u32 = 600;
const SHARED_RISE_PERMILLE: u32 = 30;

/// What the others may fill of the limit, in thousandths: a little more than all of it, since hot teams brought it down.
const OTHERS_PERMILLE: u32 = 1_250;

/// Windows in a row with many requests turned away, after which new connections are asked to go elsewhere.
const FULL_AFTER_WINDOWS: u32 = 2;

/// Part of the requests of a window that must be turned away to count as many, in thousandths. A gateway that serves the
/// larger part is where its callers are served best: the next one may have a third of its processor time.
const MANY_PERMILLE: u32 = 600;

/// Windows in a row without overload, without refusals and with room, after which new connections are welcome again the
/// first time: two seconds, in which the balancer asks twice.
const ROOM_AFTER_WINDOWS: u32 = 10;

/// Most windows of that kind. Callers are spread by a hash, so that a hot one comes back as soon as it may: each time
/// it does, it has to stay away for twice as long.
const LONGEST_ROOM_WINDOWS: u32 = 80;

/// Windows without overload after which the first time counts again.
const FORGET_AFTER_WINDOWS: u32 = 150;

/// Windows after which the balancer knows that a gateway is full: it asks once a second, and believes the second answer.
const BALANCER_WINDOWS: u32 = 10;

/// Part of the limit that may be in use when there is room, in thousandths.
const ROOM_PERMILLE: u32 = 700;

/// Says why a request is turned away.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Overloaded {
    /// Limit that there was no room within.
    pub limit_kind: LimitKind,
    /// Requests under way, and how many there may be.
    pub running: u32,
    /// Limit at the moment.
    pub limit: u32,
    /// Requests of the team under way.
    pub team_running: u32,
    /// Standing lag of the last whole window.
    pub lag: Duration,
}

/// Limits the requests under way at one gateway.
#[derive(Debug)]
pub struct OverloadControl {
    rules: OverloadRules,
    limit: u32,
    running: u32,
    teams: HashMap<Box<str>, u32>,
    /// Most requests under way in this window.
    used: u32,
    /// Least lag in this window.
    least_lag: Option<Duration>,
    window_ends: Duration,
    /// Standing lag of the last whole window.
    lag: Duration,
    /// Requests that began here or elsewhere, those of them that other gateways took, and those turned away, in this window.
    begun: u32,
    handed_off: u32,
    refused: u32,
    /// Those of teams that are not hot turned away in this window.
    refused_others: u32,
    /// Part of the limit that hot teams may fill now, in thousandths.
    shared_permille: u32,
    asked: Asked,
    /// Windows in a row that were full, or had room.
    full_windows: u32,
    room_windows: u32,
    /// Windows with room that are needed after the next time.
    room_needed: u32,
    is_full: bool,
    /// Windows since it became full.
    windows_full: u32,
    /// Windows that are left of those after one in which nobody listened for a part of it.
    guarded_windows: u32,
    intake: Intake,
    tally: OverloadCounts,
    ticked_at: Duration,
}

impl OverloadControl {
    /// Starts at the greatest limit.
    #[must_use]
    pub fn new(rules: OverloadRules) -> Self {
        Self {
            limit: rules.max_limit,
            rules,
            running: 0,
            teams: HashMap::new(),
            used: 0,
            least_lag: None,
            window_ends: rules.window,
            lag: Duration::ZERO,
            begun: 0,
            handed_off: 0,
            refused: 0,
            refused_others: 0,
            shared_permille: SHARED_PERMILLE,
            asked: Asked::default(),
            full_windows: 0,
            room_windows: 0,
            room_needed: ROOM_AFTER_WINDOWS,
            is_full: false,
            windows_full: 0,
            guarded_windows: 0,
            intake: Intake::new(),
            tally: OverloadCounts::default(),
            ticked_at: Duration::ZERO,
        }
    }

    /// Notes how late a tick came.
    pub fn record_tick(&mut self, now: Duration, lag: Duration) {
        if self.refuses_connections() {
            self.tally.closed_time += now.saturating_sub(self.ticked_at);
        }
        self.ticked_at = now;
        self.intake.ticked();
        self.least_lag = Some(self.least_lag.map_or(lag, |least| least.min(lag)));
        if now < self.window_ends {
            return;
        }
        self.lag = self.least_lag.take().unwrap_or_default();
        self.window_ends = now + self.rules.window;
        let (used, limit) = (self.used, self.limit);
        self.used = self.running;
        let has_refused = self.refused > 0;
        let handed_off = std::mem::take(&mut self.handed_off);
        let is_wasted = has_refused && self.is_overloaded();
        let intake = self.intake.end_window(self.lag, self.begun, is_wasted);
        self.note_window(used, intake);
        if self.is_overloaded() {
            // A limit far above what is under way would take many windows to bite.
            let from = limit.min(used.max(self.rules.min_limit));
            let is_steep = self.lag > self.rules.target_lag * STEEP_TIMES;
            let left = if is_steep {
                STEEP_FALL_PERMILLE
            } else {
                FALL_PERMILLE
            };
            self.limit = (from * left / 1000).max(self.rules.min_limit);
        } else if intake != Window::Open && handed_off > 0 {
            // What is handed off costs less than what is served here, and more of it would come.
        } else if used >= limit * SHARED_PERMILLE / 1000 || (has_refused && self.is_idle()) {
            // Rounded as the room of a hot team is, which may be all that asks.
            // After a burst that is over, a limit that rose slowly would turn a team away for seconds beside an idle processor.
            let permille = if self.is_idle() {
                IDLE_RISE_PERMILLE
            } else {
                RISE_PERMILLE
            };
            let rise = (limit * permille / 1000).max(1);
            self.limit = (limit + rise).min(self.rules.max_limit);
        }
    }

    /// Notes whether the last window was full or had room, and follows it after some windows in a row.
    fn note_window(&mut self, used: u32, intake: Window) {
        let refused = std::mem::take(&mut self.refused);
        self.asked.fade();
        self.shared_permille = if std::mem::take(&mut self.refused_others) > 0 {
            (self.shared_permille * SHARED_FALL_PERMILLE / 1000).max(LEAST_SHARED_PERMILLE)
        } else {
            (self.shared_permille + SHARED_RISE_PERMILLE).min(SHARED_PERMILLE)
        };
        let asked = refused + std::mem::take(&mut self.begun);
        let has_room = !self.is_overloaded()
            && refused == 0
            && intake == Window::Open
            && used * 1000 <= self.limit * ROOM_PERMILLE;
        self.room_windows = if has_room { self.room_windows + 1 } else { 0 };
        let are_many = (refused > 0 && refused * 1000 >= asked * MANY_PERMILLE)
            || intake == Window::MostlyShut;
        self.full_windows = if are_many { self.full_windows + 1 } else { 0 };
        self.windows_full = if self.is_full {
            self.windows_full + 1
        } else {
            0
        };
        self.guarded_windows = if intake == Window::Open {
            self.guarded_windows.saturating_sub(1)
        } else {
            BALANCER_WINDOWS
        };
        if self.full_windows >= FULL_AFTER_WINDOWS {
            self.is_full = true;
        } else if self.is_full && self.room_windows >= self.room_needed {
            self.is_full = false;
            self.room_needed = (self.room_needed * 2).min(LONGEST_ROOM_WINDOWS);
        } else if self.room_windows >= FORGET_AFTER_WINDOWS {
            self.room_needed = ROOM_AFTER_WINDOWS;
        }
    }

    /// Lets a request of a team begin, unless there is no room for it.
    ///
    /// # Errors
    ///
    /// Returns what there was no room for; the request is then handed off or refused.
    pub fn try_begin(&mut self, team: &str) -> Result<(), Overloaded> {
        let team_running = self.teams.get(team).copied().unwrap_or_default();
        let is_hot = self.asked.note(team);
        let (limit_kind, permille) = match (is_hot, self.asked.has_hot) {
            (true, _) => (LimitKind::HotTeams, self.shared_permille),
            (false, true) => (LimitKind::OtherTeams, OTHERS_PERMILLE),
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

    /// Lets a request of a team begin that another gateway hands off, and returns whether there is room for it.
    ///
    /// It has the room that hot teams share, and only while this gateway keeps up, so that its own callers don't wait for it.
    pub fn try_take_over(&mut self, team: &str) -> bool {
        let room = self.limit * self.shared_permille / 1000;
        let may = !self.is_overloaded() && !self.is_full && self.running < room;
        if may {
            self.begin(team);
            self.tally.taken_over += 1;
        } else {
            self.tally.declined += 1;
        }
        may
    }

    fn begin(&mut self, team: &str) {
        self.running += 1;
        self.begun += 1;
        self.tally.begun += 1;
        self.used = self.used.max(self.running);
        if let Some(count) = self.teams.get_mut(team) {
            *count += 1;
        } else {
            self.teams.insert(team.into(), 1);
        }
    }

    /// Notes that a gateway took a request that was handed off.
    pub fn record_handoff(&mut self) {
        self.begun += 1;
        self.handed_off += 1;
        self.tally.handed_off += 1;
    }

    /// Notes that a request that found no room is refused.
    pub fn record_refusal(&mut self, overloaded: &Overloaded) {
        self.tally.refuse(overloaded.limit_kind);
        // A plain request that the lag would make late says nothing of the room for others.
        if overloaded.limit_kind != LimitKind::Lag {
            self.refused += 1;
            self.refused_others += u32::from(overloaded.limit_kind != LimitKind::HotTeams);
        }
    }

    /// Notes that a request that had begun has ended.
    ///
    /// # Panics
    ///
    /// Panics when no request of the team is under way, which is a broken invariant.
    pub fn request_ended(&mut self, team: &str) {
        self.running -= 1;
        let count = self
            .teams
            .get_mut(team)
            .expect("the team's request had begun");
        *count -= 1;
        if *count == 0 {
            self.teams.remove(team);
        }
    }

    /// Lets a plain request pass, unless the lag alone would make it late; it costs little and is over at once.
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

    /// Returns whether the last whole window was one of overload.
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

    /// Notes that a connection was taken.
    pub fn record_connection(&mut self) {
        self.intake.connected();
        self.tally.connections += 1;
    }

    /// Takes the counts since they were last taken.
    pub fn take_counts(&mut self) -> OverloadCounts {
        std::mem::take(&mut self.tally)
    }

    /// Returns whether the connection of an answer should close after it, since there are more than the processor keeps up with.
    pub fn should_close_connection(&mut self) -> bool {
        self.intake.closes_one()
    }

    /// Returns whether connections were refused lately, since the processor did not keep up.
    #[must_use]
    pub fn limits_connections(&self) -> bool {
        self.guarded_windows > 0
    }

    /// Returns whether no new connection is taken now.
    #[must_use]
    pub fn refuses_connections(&self) -> bool {
        self.intake.is_shut()
    }

    /// Returns whether callers that are turned away should connect anew: the balancer knows by then that this gateway is
    /// full, and a connection before that would come back here, unless none is taken.
    #[must_use]
    pub fn should_reconnect(&self) -> bool {
        self.windows_full >= BALANCER_WINDOWS || self.limits_connections()
    }

    /// Returns how many requests may be under way.
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
