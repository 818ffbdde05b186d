//! Counts the waiting requests of each team at this entry, and sheds from the team that is furthest above its share.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use arc_swap::ArcSwap;
use hinge_config::effective::{Effective, Team};
use hinge_outcome::Reason;
use tokio::sync::Notify;

/// Microseconds in a second.
const SECOND_US: u64 = 1_000_000;

/// The queue and rate-limit state of one team.
#[derive(Debug, Default)]
pub struct TeamState {
    waiting: AtomicU32,
    /// Theoretical arrival time of the team's rate limiter (GCRA), in microseconds; the burst is full from then on.
    theoretical_arrival_us: AtomicU64,
    shed: Notify,
}

impl TeamState {
    /// Returns the number of the team's waiting requests.
    #[must_use]
    pub fn waiting(&self) -> u32 {
        self.waiting.load(Ordering::Relaxed)
    }

    /// Waits until this request is chosen to be shed; the most recent waiter is chosen first.
    pub async fn wait_for_shed(&self) {
        self.shed.notified().await;
    }

    /// Admits one request under a rate limit with a burst of one second; a rate of 0 sets no limit.
    ///
    /// # Errors
    ///
    /// Returns the wait until the next request is admitted.
    pub fn take_rate_token(&self, per_second: u32, now: Duration) -> Result<(), Duration> {
        if per_second == 0 {
            return Ok(());
        }
        let now_us = u64::try_from(now.as_micros()).unwrap_or(u64::MAX);
        let step_us = SECOND_US / u64::from(per_second);
        let taken = self.theoretical_arrival_us.fetch_update(
            Ordering::Relaxed,
            Ordering::Relaxed,
            |arrival_us| {
                let next = arrival_us.max(now_us) + step_us;
                (next <= now_us + SECOND_US).then_some(next)
            },
        );
        match taken {
            Ok(_before) => Ok(()),
            Err(arrival_us) => Err(Duration::from_micros(
                (arrival_us + step_us).saturating_sub(now_us + SECOND_US),
            )),
        }
    }
}

#[derive(Debug)]
struct TeamRow {
    share: u32,
    state: Arc<TeamState>,
}

#[derive(Debug, Default)]
struct TeamTable {
    version: u64,
    rows: HashMap<Box<str>, TeamRow>,
}

/// The queue state of all teams and of the entry as a whole.
#[derive(Debug)]
pub struct Teams {
    table: ArcSwap<TeamTable>,
    waiting: AtomicU32,
    max_waiting: u32,
    buffered_bytes: AtomicU64,
    max_buffered_bytes: u64,
}

impl Teams {
    /// Creates the state with the entry's limits.
    #[must_use]
    pub fn new(max_waiting: u32, max_buffered_bytes: u64) -> Self {
        Self {
            table: ArcSwap::default(),
            waiting: AtomicU32::new(0),
            max_waiting,
            buffered_bytes: AtomicU64::new(0),
            max_buffered_bytes,
        }
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn waiting(&self) -> u32 {
        self.waiting.load(Ordering::Relaxed)
    }

    /// Returns the state of a team, after applying a newer configuration if there is one.
    #[must_use]
    pub fn state(&self, name: &str, version: u64, config: &Effective) -> Arc<TeamState> {
        if self.table.load().version < version {
            self.refresh(version, config);
        }
        let table = self.table.load();
        let row = table.rows.get(name);
        // A team that was removed in the meantime gets a state of its own, which lasts as long as the request.
        row.map_or_else(Arc::default, |row| Arc::clone(&row.state))
    }

    fn refresh(&self, version: u64, config: &Effective) {
        self.table.rcu(|old| {
            if old.version >= version {
                return Arc::clone(old);
            }
            let rows = config.teams.iter().map(|(name, team)| {
                let state = old.rows.get(name).map(|row| Arc::clone(&row.state));
                let state = state.unwrap_or_default();
                let share = team.share;
                (Box::from(name), TeamRow { share, state })
            });
            Arc::new(TeamTable {
                version,
                rows: rows.collect(),
            })
        });
    }

    /// Adds a request to the queue.
    ///
    /// When the entry is full, a request is shed from the team with the most waiting requests relative to its share, which
    /// may be the new request.
    ///
    /// # Errors
    ///
    /// Returns the reason when the request is refused.
    pub fn enter_queue(
        self: &Arc<Self>,
        state: &Arc<TeamState>,
        team: &Team,
    ) -> Result<QueuePermit, Reason> {
        let team_waiting = state.waiting.fetch_add(1, Ordering::Relaxed) + 1;
        let entry_waiting = self.waiting.fetch_add(1, Ordering::Relaxed) + 1;
        let permit = QueuePermit {
            teams: Arc::clone(self),
            state: Arc::clone(state),
            buffered_bytes: 0,
            is_waiting: true,
        };
        if team_waiting > team.max_waiting {
            return Err(Reason::QueueFull);
        }
        if entry_waiting > self.max_waiting {
            self.shed_one(state, team.share)?;
        }
        Ok(permit)
    }

    fn shed_one(&self, new_team: &Arc<TeamState>, share: u32) -> Result<(), Reason> {
        let table = self.table.load();
        let load = |waiting: u32, share: u32| f64::from(waiting) / f64::from(share.max(1));
        let most_loaded = table
            .rows
            .values()
            .max_by(|a, b| {
                load(a.state.waiting(), a.share).total_cmp(&load(b.state.waiting(), b.share))
            })
            .ok_or(Reason::Shed)?;
        let is_self = Arc::ptr_eq(&most_loaded.state, new_team);
        if is_self
            || load(most_loaded.state.waiting(), most_loaded.share)
                <= load(new_team.waiting(), share)
        {
            return Err(Reason::Shed);
        }
        most_loaded.state.shed.notify_last();
        Ok(())
    }
}

/// A request's place in the queue; dropping it releases the place and the counted bytes.
#[derive(Debug)]
pub struct QueuePermit {
    teams: Arc<Teams>,
    state: Arc<TeamState>,
    buffered_bytes: u64,
    is_waiting: bool,
}

impl QueuePermit {
    /// Counts further bytes of the body as buffered.
    ///
    /// # Errors
    ///
    /// Returns the reason when the entry has too many buffered bytes.
    pub fn reserve_bytes(&mut self, bytes: u64) -> Result<(), Reason> {
        self.buffered_bytes += bytes;
        let buffered = self
            .teams
            .buffered_bytes
            .fetch_add(bytes, Ordering::Relaxed)
            + bytes;
        if buffered > self.teams.max_buffered_bytes {
            return Err(Reason::Shed);
        }
        Ok(())
    }

    /// Leaves the queue, as the request has a slot; its bytes stay counted.
    pub fn leave_queue(&mut self) {
        if std::mem::take(&mut self.is_waiting) {
            self.state.waiting.fetch_sub(1, Ordering::Relaxed);
            self.teams.waiting.fetch_sub(1, Ordering::Relaxed);
        }
    }

    /// Waits until this request is chosen to be shed.
    pub async fn wait_for_shed(&self) {
        self.state.wait_for_shed().await;
    }
}

impl Drop for QueuePermit {
    fn drop(&mut self) {
        self.leave_queue();
        self.teams
            .buffered_bytes
            .fetch_sub(self.buffered_bytes, Ordering::Relaxed);
    }
}
