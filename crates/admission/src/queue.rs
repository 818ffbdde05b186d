//! Decides which request is sent to an engine next, and which is refused.
//!
//! Under overload callers ask for several times what the engines can serve, some teams for most of it, and an engine
//! that accepts everything serves everyone late. So the engine is granted only enough prompt tokens to stay busy over
//! a round trip. All other requests wait in the queue, where their order can still change. A request that would start
//! too late is refused at once, with the time in which the queue is expected to drain.

mod missing;
mod returning;

use std::collections::HashMap;
use std::time::Duration;

use hinge_routing::{WarmUp, WarmUpLimits};
use smallvec::SmallVec;

use crate::accounts::UsageAccounting;
use crate::cache::PrefixCache;
use crate::engine::{EngineReport, EngineRequest};
use crate::order::{TeamStanding, WaitingRequest, scheduling_order};
use crate::pace::Pace;
use crate::prefill_rate::PrefillRate;
use crate::request::{Decision, Load, QueueLimits, RefusalCause, SlotRequest, SlotRequestId};
use crate::returns::Returns;
use crate::turn::max_wait_permille;
use crate::usage::TeamUsage;
use missing::Absence;

/// Initial estimate of the time from the end of prefill to the first event: the decode steps of one event beside
/// other prefills, and the way back.
const INITIAL_FIRST_EVENT_DELAY: Duration = Duration::from_millis(60);

/// Divisor of the budget that gives how long one late request of each team is kept in the queue before it is refused.
/// An eighth of the budget leaves the caller most of its time after a refusal.
///
/// When two teams far above the others ask for several times the capacity, a free slot that goes to the next arrival
/// goes more often to the team that sends more often. Among requests kept for a moment, the team with the lowest
/// usage is chosen instead.
const LATE_GRACE_DIVISOR: u32 = 8;

/// The same divisor for a team with far less usage than the highest; its request is chosen before those of the team
/// with the highest.
const LOW_USAGE_GRACE_DIVISOR: u32 = 2;

/// Fraction of the highest usage below which a team has far less usage.
const LOW_USAGE_RATIO: f64 = 0.75;

/// Longest prefill time of one prompt with which a team above its fair share may block a contended engine: half of
/// the time within which an answer has to begin.
const MAX_BLOCKING_PREFILL: Duration = Duration::from_millis(250);

/// Time for which teams within their fair share are expected to need the engine again after one of them had to wait
/// for it: about the prefill time of the longest prompts.
const CONTENTION_WINDOW: Duration = Duration::from_secs(1);

/// Time after the start during which every shared prefix counts as cached. The engine keeps running while its
/// admission restarts, and a queue that assumed a cold cache would refuse three times too many requests. Reports
/// correct wrong assumptions.
const ASSUME_CACHED_FOR: Duration = Duration::from_secs(6);

/// Minimum retry delay; a few requests are prefilled in it.
pub const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Retry delay while the engine is gone; a restart takes a second or more.
const ENGINE_GONE_RETRY_AFTER: Duration = Duration::from_millis(500);

#[derive(Debug)]
struct RunningRequest {
    request: SlotRequest,
    /// Prompt tokens that the engine has prefilled.
    prefilled_tokens: u32,
    unread_tokens: u32,
    kv_tokens: u64,
    granted_at: Duration,
    /// Time at which a report first showed its prefill complete.
    prefilled_at: Option<Duration>,
    absence: Absence,
    /// Whether its answer has begun, which implies that its prefill is complete.
    has_begun: bool,
    /// Whether its slot was released because it is missing from reports.
    is_released: bool,
}

/// What shows how far the engine has prefilled its prompts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ProgressNews {
    /// Its reports list the requests, and answers begin.
    ReportsAndAnswers,
    /// Its reports list no requests.
    AnswersOnly,
}

/// The queue of requests that wait for a slot at one engine.
#[derive(Debug)]
pub struct AdmissionQueue {
    limits: QueueLimits,
    waiting: Vec<WaitingRequest>,
    running: HashMap<SlotRequestId, RunningRequest>,
    unread_tokens: u32,
    running_kv_tokens: u64,
    /// Whether shared prefixes count as cached, because this queue may be younger than the engine's cache.
    assumes_warm_cache: bool,
    /// Time of the engine's latest report.
    reported_at: Duration,
    /// Time of the report after which the engine has been silent.
    silent_since: Option<Duration>,
    /// Start time of the engine in its latest report.
    engine_started_unix_ms: Option<u64>,
    progress_news: ProgressNews,
    /// Whether nothing listens at the engine's address, as far as known.
    engine_is_gone: bool,
    warm_up: WarmUp,
    /// Whether the engine has restarted since this queue was created, so that this queue knows everything in its
    /// cache.
    engine_restarted: bool,
    cache: PrefixCache,
    prefill_rate: PrefillRate,
    pace: Pace,
    /// Measured time from the end of prefill to the first event.
    first_event_delay: Duration,
    /// Number of entries of `running` whose slots were released.
    released_count: u32,
    lost: Vec<(SlotRequestId, Duration)>,
    accounting: UsageAccounting,
    /// Time until which teams within their fair share are expected to need the engine.
    contended_until: Duration,
    returns: Returns,
}

impl AdmissionQueue {
    /// Creates an empty queue. The `now` passed to its methods is the time since its creation.
    #[must_use]
    pub fn new(limits: QueueLimits) -> Self {
        Self {
            cache: PrefixCache::new(limits.kv_tokens),
            limits,
            waiting: Vec::new(),
            running: HashMap::new(),
            unread_tokens: 0,
            running_kv_tokens: 0,
            assumes_warm_cache: true,
            reported_at: Duration::ZERO,
            silent_since: None,
            engine_started_unix_ms: None,
            progress_news: ProgressNews::ReportsAndAnswers,
            engine_is_gone: false,
            warm_up: WarmUp::default(),
            engine_restarted: false,
            prefill_rate: PrefillRate::new(),
            pace: Pace::new(),
            first_event_delay: INITIAL_FIRST_EVENT_DELAY,
            released_count: 0,
            lost: Vec::new(),
            accounting: UsageAccounting::new(),
            contended_until: Duration::ZERO,
            returns: Returns::default(),
        }
    }

    /// Adds a request to the queue; [`AdmissionQueue::decide`] returns the decision on it.
    pub fn enqueue(&mut self, now: Duration, id: SlotRequestId, request: SlotRequest) {
        self.accounting.record_remote_usage(now, &request);
        let key = request.return_key;
        self.waiting.push(WaitingRequest {
            id,
            request,
            queued_at: now,
            promise: key.and_then(|key| self.returns.redeem(now, key)),
        });
    }

    /// Records that the answer to a granted request has begun.
    pub fn answer_began(&mut self, now: Duration, id: SlotRequestId) {
        let Some(running) = self.running.get_mut(&id) else {
            return;
        };
        running.has_begun = true;
        self.pace.answered(now, id);
        if let Some(prefilled_at) = running.prefilled_at {
            let sample = now.saturating_sub(prefilled_at);
            self.first_event_delay = (self.first_event_delay * 7 + sample) / 8;
        }
        let tokens = std::mem::take(&mut running.unread_tokens);
        running.prefilled_tokens += tokens;
        if tokens > 0 {
            self.unread_tokens -= tokens;
            self.prefill_rate
                .record(now, tokens, self.unread_tokens > 0);
        }
    }

    /// Records what a gateway knows of the engine's warm-up: the limits, and for how much longer it lasts.
    pub fn record_warm_up(&mut self, now: Duration, limits: WarmUpLimits, left: Duration) {
        self.warm_up.record_told(now, limits, left);
    }

    /// Applies an engine's report, which tells how far each prompt is prefilled.
    pub fn apply_report(&mut self, now: Duration, report: &EngineReport) {
        let was_silent = self.silent_since.is_some();
        if self.engine_is_gone || (was_silent && report.has_reconnected) {
            self.warm_up.record_start(now);
        }
        self.engine_is_gone = false;
        self.discount_silence(now);
        self.detect_restart(now, report.started_unix_ms);
        if let Some(kv_tokens) = report.kv_total_tokens.filter(|tokens| *tokens > 0) {
            self.limits.kv_tokens = kv_tokens;
            self.cache.resize(kv_tokens);
        }
        if report.active > 0 {
            self.progress_news = if report.requests.is_empty() {
                ProgressNews::AnswersOnly
            } else {
                ProgressNews::ReportsAndAnswers
            };
        }
        let requests = report.requests.iter();
        let requests: HashMap<&str, &EngineRequest> = requests
            .map(|request| (&*request.request_id, request))
            .collect();
        let (mut prefilled, mut added) = (0, 0);
        for (id, running) in &mut self.running {
            let reported = requests.get(&*running.request.request_id);
            let Some(reported) = reported.filter(|_| !running.has_begun && !running.is_released)
            else {
                continue;
            };
            let unread = running
                .request
                .prompt_tokens
                .saturating_sub(reported.kv_tokens);
            let unread = if reported.events > 0 { 0 } else { unread };
            // A prefix that was assumed to be cached and isn't shows here first.
            let newly_added = unread.saturating_sub(running.unread_tokens);
            if newly_added > 0 {
                self.pace.raise_tokens(*id, newly_added);
            }
            added += newly_added;
            let newly_prefilled = running.unread_tokens.saturating_sub(unread);
            prefilled += newly_prefilled;
            running.prefilled_tokens += newly_prefilled;
            running.unread_tokens = unread;
            if unread == 0 && running.prefilled_at.is_none() {
                running.prefilled_at = Some(now);
            }
        }
        self.unread_tokens = self.unread_tokens + added - prefilled;
        self.prefill_rate
            .record(now, prefilled, self.unread_tokens > 0);
        let is_listed = |id: &str| requests.contains_key(id);
        if report.queued == 0 && report.active as usize == report.requests.len() {
            self.release_missing(now, is_listed);
        }
    }

    /// Records that the engine didn't report; until the next report only answers show its progress.
    pub fn engine_silent(&mut self) {
        self.engine_is_gone = false;
        self.silent_since = Some(self.reported_at);
        for running in self.running.values_mut() {
            running.prefilled_at = None;
        }
    }

    /// Records that nothing listens at the engine's address; no request is granted until a poll ends otherwise.
    ///
    /// Engines can end under load while their admissions keep running. Every gateway prefers an empty engine, so a
    /// queue that kept granting slots would attract a large part of all requests to an engine that accepts no
    /// connection.
    pub fn engine_gone(&mut self) {
        self.engine_silent();
        // No request waits to be read where nothing listens.
        self.silent_since = None;
        self.engine_is_gone = true;
    }

    /// Records that a request has ended, or that its caller no longer waits.
    pub fn request_ended(&mut self, now: Duration, id: SlotRequestId) {
        self.remove_waiting(now, id);
        self.pace.removed(id);
        let Some(running) = self.running.remove(&id) else {
            return;
        };
        if !running.has_begun {
            let (prefilled_tokens, granted_at) = (running.prefilled_tokens, running.granted_at);
            self.accounting
                .refund(now, &running.request, prefilled_tokens, granted_at);
        }
        if running.is_released {
            self.released_count -= 1;
            return;
        }
        self.unread_tokens -= running.unread_tokens;
        self.running_kv_tokens -= running.kv_tokens;
        if running.unread_tokens > 0 {
            // Tokens that were never prefilled say nothing about the rate, but the clock runs on for the others.
            self.prefill_rate.record(now, 0, self.unread_tokens > 0);
        }
        // Its own tokens stay in the engine's KV cache until evicted.
        self.cache.touch(
            private_cache_key(id),
            running.kv_tokens,
            self.running_kv_tokens,
        );
    }

    /// Returns the decisions on waiting requests that are due.
    pub fn decide(&mut self, now: Duration) -> Vec<Decision> {
        self.returns.expire(now);
        self.assumes_warm_cache = now < ASSUME_CACHED_FOR && !self.engine_restarted;
        if self.engine_is_gone {
            return self.refuse_all();
        }
        let mut decisions = Vec::new();
        self.refuse_late(now, &mut decisions);
        while self.has_room(now) && self.warm_up.wait(now, 0).is_zero() {
            let Some(next) = self.scheduling_order(now).first().copied() else {
                break;
            };
            let next = self.waiting.swap_remove(next);
            decisions.push(self.grant(now, next));
        }
        decisions
    }

    /// Returns the load of the engine and this queue.
    #[must_use]
    pub fn load(&self) -> Load {
        let waiting = self.waiting.iter();
        Load {
            running: self.running_count(),
            unread_tokens: self.unread_tokens,
            waiting_tokens: waiting
                .map(|waiting| self.tokens_to_prefill(&waiting.request))
                .sum(),
            engine_is_gone: self.engine_is_gone,
            engine_started_unix_ms: self.engine_started_unix_ms,
        }
    }

    /// Returns for how much longer the engine warms up, if it does.
    #[must_use]
    pub fn warm_up_left(&self, now: Duration) -> Option<Duration> {
        self.warm_up.in_progress(now).map(|(_limits, left)| left)
    }

    /// Returns the measured prefill rate in tokens per millisecond.
    #[must_use]
    pub fn prefill_tokens_per_ms(&self) -> u64 {
        self.prefill_rate.tokens_per_ms()
    }

    /// Returns the measured time from the end of prefill to the first event.
    #[must_use]
    pub fn first_event_delay(&self) -> Duration {
        let delay = self.pace.feedback_delay();
        delay
            .filter(|_| self.goes_by_pace())
            .unwrap_or(self.first_event_delay)
    }

    /// Returns whether times follow from the answers alone, because reports show no progress, or too late to keep the engine
    /// busy.
    #[must_use]
    pub fn goes_by_pace(&self) -> bool {
        match self.progress_news {
            ProgressNews::ReportsAndAnswers => {
                self.pace.has_late_news(self.limits.max_unread_tokens)
            }
            ProgressNews::AnswersOnly => self.pace.is_measured(),
        }
    }

    /// Returns the engine's pace.
    #[must_use]
    pub fn pace(&self) -> &Pace {
        &self.pace
    }

    /// Returns the recent usage of the teams at this engine.
    #[must_use]
    pub fn usage(&self) -> &TeamUsage {
        self.accounting.usage()
    }

    /// Returns whether a request still waits for a slot.
    #[must_use]
    pub fn is_queued(&self, id: SlotRequestId) -> bool {
        self.waiting.iter().any(|waiting| waiting.id == id)
    }

    /// Returns whether any request waits.
    #[must_use]
    pub fn has_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    fn has_room(&self, now: Duration) -> bool {
        let running = self.running_count();
        self.may_add_work(now, 0)
            && running < self.limits.max_running
            && (running == 0 || self.running_kv_tokens < self.limits.kv_tokens)
    }

    /// Returns whether more work may be granted behind that of the engine and some further tokens.
    fn may_add_work(&self, now: Duration, tokens: u64) -> bool {
        let deadlines = self.waiting.iter();
        let deadlines = deadlines.map(|waiting| waiting.queued_at + waiting.request.budget);
        let earliest = deadlines.min().unwrap_or(Duration::MAX);
        let shortest_budget = earliest.saturating_sub(now);
        let (unread, floor) = (self.unread_tokens, self.limits.max_unread_tokens);
        let is_deep = self.goes_by_pace();
        self.pace
            .has_room(now, tokens, unread, floor, shortest_budget, is_deep)
    }

    /// Returns the time in which the engine prefills some tokens.
    fn time_for(&self, now: Duration, tokens: u64) -> Duration {
        if self.goes_by_pace() {
            self.pace.time_for(now, tokens)
        } else {
            self.prefill_rate.time_for(tokens)
        }
    }

    /// Returns the time in which the engine prefills all that was granted and some further tokens.
    fn time_until_prefilled(&self, now: Duration, tokens: u64) -> Duration {
        if self.goes_by_pace() {
            self.pace.longest_work_ahead(now) + self.pace.time_for(now, tokens)
        } else {
            self.prefill_rate
                .time_for(u64::from(self.unread_tokens) + tokens)
        }
    }

    fn running_count(&self) -> u32 {
        u32::try_from(self.running.len()).unwrap_or(u32::MAX) - self.released_count
    }

    fn tokens_to_prefill(&self, request: &SlotRequest) -> u32 {
        let cached = request
            .shared_prefix
            .filter(|(key, _)| self.assumes_warm_cache || self.cache.contains(*key));
        let cached = cached.map_or(0, |(_, tokens)| tokens);
        request.prompt_tokens.saturating_sub(cached)
    }

    /// Refuses the requests that would start too late and keeps the others.
    fn refuse_late(&mut self, now: Duration, decisions: &mut Vec<Decision>) {
        let teams = self.waiting.iter().map(|waiting| &*waiting.request.team);
        let fair_share = self.accounting.refresh_fair_share(now, teams);
        let max_short_term = self.accounting.max_short_term(now);
        let granted_tokens = u64::from(self.unread_tokens);
        let mut ahead = 0;
        let mut late = Vec::new();
        let mut teams_in_grace: SmallVec<[Box<str>; 8]> = SmallVec::new();
        let mut is_contended = false;
        let mut waiting_before = 0;
        let promised = self.promised_work(now, max_short_term);
        for index in self.scheduling_order(now) {
            let waiting = &self.waiting[index];
            let own_tokens = u64::from(self.tokens_to_prefill(&waiting.request));
            let TeamStanding {
                used,
                short_term_if_underserved,
            } = self
                .accounting
                .standing(now, &waiting.request.team, max_short_term);
            let is_underserved = short_term_if_underserved.is_some();
            // An underserved team may wait as long as a team within its fair share.
            let effective_used = if is_underserved {
                used.min(fair_share)
            } else {
                used
            };
            let wait_permille =
                max_wait_permille(self.limits.max_wait_permille, effective_used, fair_share);
            let wait_permille = waiting.max_wait_permille(wait_permille);
            let budget = waiting
                .request
                .budget
                .saturating_sub(self.first_event_delay());
            // No other prompt is prefilled during a long one, so a long prompt of a team above its fair share counts
            // towards its own wait. Other prompts don't, or long ones would be refused under any load.
            let is_above_share = used > fair_share;
            let is_long = self.time_for(now, own_tokens) > MAX_BLOCKING_PREFILL;
            let blocks_others = is_above_share && is_long && now < self.contended_until;
            let ahead_of_start = if blocks_others {
                ahead + own_tokens
            } else {
                ahead
            };
            let warm_up_wait = self.warm_up.wait(now, waiting_before);
            let time_to_start = self
                .time_until_prefilled(now, ahead_of_start)
                .max(warm_up_wait);
            let time_to_start = waiting.time_behind(&promised, used, time_to_start);
            let expected_wait = now.saturating_sub(waiting.queued_at) + time_to_start;
            // A request that could start now does: fairness must not leave the engine idle.
            let has_room = self.may_add_work(now, ahead);
            let can_start = has_room && warm_up_wait.is_zero() && !blocks_others;
            if !is_above_share && !has_room {
                is_contended = true;
            }
            let team = &waiting.request.team;
            let divisor = if is_underserved || used < self.accounting.max_usage() * LOW_USAGE_RATIO
            {
                LOW_USAGE_GRACE_DIVISOR
            } else {
                LATE_GRACE_DIVISOR
            };
            let grace_until = waiting.queued_at + waiting.request.budget / divisor;
            let max_wait = budget * wait_permille / 1000;
            // The limit of a warm-up does not depend on which team goes first, so a stay would be in vain.
            let has_grace = !blocks_others
                && now < grace_until
                && warm_up_wait <= max_wait
                && !teams_in_grace.contains(team);
            if expected_wait <= max_wait || can_start {
                ahead += own_tokens;
                waiting_before += 1;
            } else if has_grace {
                teams_in_grace.push(team.clone());
            } else {
                late.push((waiting.id, granted_tokens + ahead));
            }
        }
        if is_contended {
            self.contended_until = now + CONTENTION_WINDOW;
        }
        let drain_time = self.time_until_prefilled(now, ahead);
        let drain_time = drain_time.max(self.warm_up.wait(now, waiting_before));
        let drain_time = drain_time.max(MIN_RETRY_AFTER);
        for (id, ahead) in late {
            decisions.extend(self.refuse(now, id, drain_time, ahead));
        }
    }

    /// Refuses all waiting requests because the engine is gone.
    fn refuse_all(&mut self) -> Vec<Decision> {
        self.returns.clear();
        let refused = self.waiting.drain(..).map(|waiting| Decision::Refuse {
            id: waiting.id,
            retry_after: ENGINE_GONE_RETRY_AFTER,
            is_promised: false,
            ahead_tokens: 0,
            cause: RefusalCause::EngineGone,
        });
        refused.collect()
    }

    /// Returns the indices of the waiting requests in scheduling order.
    fn scheduling_order(&self, now: Duration) -> Vec<usize> {
        let max_short_term = self.accounting.max_short_term(now);
        scheduling_order(&self.waiting, self.accounting.fair_share(), |team| {
            self.accounting.standing(now, team, max_short_term)
        })
    }

    fn grant(&mut self, now: Duration, next: WaitingRequest) -> Decision {
        let WaitingRequest {
            id,
            request,
            queued_at,
            promise,
        } = next;
        if let Some(key) = request.return_key {
            self.returns.forget(key);
        }
        let ahead_tokens = self.unread_tokens;
        let unread_tokens = self.tokens_to_prefill(&request);
        let shared_tokens = request.shared_prefix.map_or(0, |(_, tokens)| tokens);
        let own_tokens = request.prompt_tokens.saturating_sub(shared_tokens);
        let kv_tokens = u64::from(own_tokens) + u64::from(request.answer_tokens);
        self.running_kv_tokens += kv_tokens;
        if let Some((key, tokens)) = request.shared_prefix {
            self.cache
                .touch(key, u64::from(tokens), self.running_kv_tokens);
        }
        self.accounting.charge(now, &request);
        self.warm_up.record_granted(now);
        self.unread_tokens += unread_tokens;
        self.prefill_rate.start(now);
        self.pace.granted(now, id, unread_tokens);
        let running = RunningRequest {
            request,
            prefilled_tokens: 0,
            unread_tokens,
            kv_tokens,
            granted_at: now,
            prefilled_at: None,
            absence: Absence::default(),
            has_begun: false,
            is_released: false,
        };
        self.running.insert(id, running);
        Decision::Grant {
            id,
            waited: now.saturating_sub(queued_at),
            ahead_tokens,
            has_returned: promise.is_some(),
        }
    }
}

/// Returns the cache key of a request's own tokens. It doesn't collide with those of shared prefixes, which are
/// spread over the whole range.
fn private_cache_key(id: SlotRequestId) -> u64 {
    id
}
