//! Decides which request is sent to an engine next, and which is refused.
//!
//! Under overload callers ask for several times what the engines can serve, some teams for most of it, and an engine
//! that accepts everything serves everyone late. So the engine is granted only enough prompt tokens to stay busy over
//! a round trip. All other requests wait in the queue, where their order can still change. A request that would start
//! too late is refused at once, with the time in which the queue is expected to drain.

use std::collections::HashMap;
use std::time::Duration;

use smallvec::SmallVec;

use crate::accounting::Accounts;
use crate::engine::{EngineReport, EngineRequest};
use crate::order::{Claim, Waiting, order_of};
use crate::prefill_rate::PrefillRate;
use crate::prefix_cache::PrefixCache;
use crate::priority::turn_permille;
use crate::request::{Decision, Load, QueueLimits, RefusalCause, SlotRequest, SlotRequestId};
use crate::usage::TeamUsage;

/// Initial estimate of the time from the end of prefill to the first event: the decode steps of one event beside
/// other prefills, and the way back.
const FIRST_EVENT: Duration = Duration::from_millis(60);

/// Time for which a request must be missing from the engine's reports before its slot is released. Its last bytes and
/// the notice of its end take milliseconds to arrive.
const GIVE_UP_AFTER: Duration = Duration::from_millis(300);

/// Time after which a missing request counts as lost; a lost packet is retransmitted within a second.
const LOST_AFTER: Duration = Duration::from_millis(900);

/// Divisor of the budget that gives how long one late request of each team is kept in the queue before it is refused.
/// An eighth of the budget leaves the caller most of its time after a refusal.
///
/// When two teams far above the others ask for several times the capacity, a free slot that goes to the next arrival
/// goes more often to the team that sends more often. Among requests kept for a moment, the team with the lowest
/// usage is chosen instead.
const STAY_PART: u32 = 8;

/// The same divisor for a team with far less usage than the highest; its request is chosen before those of the team
/// with the highest.
const STAY_PART_BEHIND: u32 = 2;

/// Fraction of the highest usage below which a team has far less usage.
const FAR_LESS: f64 = 0.75;

/// Longest prefill time of one prompt with which a team above its fair share may block a contended engine: half of
/// the time within which an answer has to begin.
const LONGEST_HOLD: Duration = Duration::from_millis(250);

/// Time for which teams within their fair share are expected to need the engine again after one of them had to wait
/// for it: about the prefill time of the longest prompts.
const CROWDED_FOR: Duration = Duration::from_secs(1);

/// Time after the start during which every shared prefix counts as cached. The engine keeps running while its
/// admission restarts, and a queue that assumed a cold cache would refuse three times too many requests. Reports
/// correct wrong assumptions.
const ASSUME_KEPT: Duration = Duration::from_secs(6);

/// Minimum retry delay; a few requests are prefilled in it.
pub const SHORTEST_RETRY: Duration = Duration::from_millis(100);

/// Retry delay while the engine is gone; a restart takes a second or more.
const GONE_RETRY: Duration = Duration::from_millis(500);

#[derive(Debug)]
struct Running {
    ask: SlotRequest,
    /// Prompt tokens that the engine has prefilled.
    read_tokens: u32,
    unread_tokens: u32,
    kv_tokens: u64,
    granted_at: Duration,
    /// When a report first showed its prefill complete.
    read_at: Option<Duration>,
    /// Since when the engine's reports don't list it.
    missing_since: Option<Duration>,
    /// Whether its answer has begun, which implies that its prefill is complete.
    has_begun: bool,
    /// Whether its slot was released because it is missing from reports.
    is_given_up: bool,
}

/// The queue of requests that wait for a slot at one engine.
#[derive(Debug)]
pub struct AdmissionQueue {
    rules: QueueLimits,
    waiting: Vec<Waiting>,
    running: HashMap<SlotRequestId, Running>,
    unread_tokens: u32,
    running_kv: u64,
    /// Whether shared prefixes count as cached, because this queue may be younger than the engine's cache.
    is_young: bool,
    /// Start time of the engine in its latest report.
    engine_born_unix_ms: Option<u64>,
    /// Whether nothing listens at the engine's address, as far as known.
    engine_is_gone: bool,
    /// Whether the engine has restarted since this queue was created, so that this queue knows everything in its
    /// cache.
    engine_restarted: bool,
    cache: PrefixCache,
    pace: PrefillRate,
    /// Measured time from the end of prefill to the first event.
    first_event: Duration,
    /// Number of entries of `running` whose slots were released.
    given_up: u32,
    lost: Vec<(SlotRequestId, Duration)>,
    accounts: Accounts,
    /// Until when teams within their fair share are expected to need the engine.
    crowded_until: Duration,
}

impl AdmissionQueue {
    /// Creates an empty queue; the `now` of all calls counts from its creation.
    #[must_use]
    pub fn new(rules: QueueLimits) -> Self {
        Self {
            cache: PrefixCache::new(rules.kv_tokens),
            rules,
            waiting: Vec::new(),
            running: HashMap::new(),
            unread_tokens: 0,
            running_kv: 0,
            is_young: true,
            engine_born_unix_ms: None,
            engine_is_gone: false,
            engine_restarted: false,
            pace: PrefillRate::new(),
            first_event: FIRST_EVENT,
            given_up: 0,
            lost: Vec::new(),
            accounts: Accounts::new(),
            crowded_until: Duration::ZERO,
        }
    }

    /// Adds a request to the queue; [`AdmissionQueue::decide`] returns the decision on it.
    pub fn enqueue(&mut self, now: Duration, id: SlotRequestId, ask: SlotRequest) {
        self.accounts.heard_elsewhere(now, &ask);
        self.waiting.push(Waiting {
            id,
            ask,
            since: now,
        });
    }

    /// Records that the answer to a granted request has begun.
    pub fn answer_began(&mut self, now: Duration, id: SlotRequestId) {
        let Some(running) = self.running.get_mut(&id) else {
            return;
        };
        running.has_begun = true;
        if let Some(read_at) = running.read_at {
            let sample = now.saturating_sub(read_at);
            self.first_event = (self.first_event * 7 + sample) / 8;
        }
        let tokens = std::mem::take(&mut running.unread_tokens);
        running.read_tokens += tokens;
        if tokens > 0 {
            self.unread_tokens -= tokens;
            self.pace.record(now, tokens, self.unread_tokens > 0);
        }
    }

    /// Applies an engine's report, which tells how far each prompt is prefilled.
    pub fn apply_report(&mut self, now: Duration, report: &EngineReport) {
        self.engine_is_gone = false;
        self.note_birth(now, report.started_unix_ms);
        if let Some(kv_tokens) = report.kv_total_tokens.filter(|tokens| *tokens > 0) {
            self.rules.kv_tokens = kv_tokens;
            self.cache.resize(kv_tokens);
        }
        let requests = report.requests.iter();
        let requests: HashMap<&str, &EngineRequest> =
            requests.map(|run| (&*run.request_id, run)).collect();
        let (mut read, mut more) = (0, 0);
        for running in self.running.values_mut() {
            let run = requests.get(&*running.ask.request_id);
            let Some(run) = run.filter(|_| !running.has_begun && !running.is_given_up) else {
                continue;
            };
            let left = running.ask.prompt_tokens.saturating_sub(run.kv_tokens);
            let left = if run.events > 0 { 0 } else { left };
            // A prefix that was assumed to be cached and isn't shows here first.
            more += left.saturating_sub(running.unread_tokens);
            let read_now = running.unread_tokens.saturating_sub(left);
            read += read_now;
            running.read_tokens += read_now;
            running.unread_tokens = left;
            if left == 0 && running.read_at.is_none() {
                running.read_at = Some(now);
            }
        }
        self.unread_tokens = self.unread_tokens + more - read;
        self.pace.record(now, read, self.unread_tokens > 0);
        let is_listed = |id: &str| requests.contains_key(id);
        if report.queued == 0 && report.active as usize == report.requests.len() {
            self.give_up_missing(now, is_listed);
        }
    }

    /// Drops the state of the previous engine process once a report comes from a new one.
    ///
    /// An engine can end under load and restart under the same name before anyone notices. The new process runs
    /// nothing and has an empty cache, while the queue would still count all its slots as taken and every known
    /// prefix as cached.
    fn note_birth(&mut self, now: Duration, started_unix_ms: Option<u64>) {
        let Some(born) = started_unix_ms else {
            return;
        };
        let before = self.engine_born_unix_ms.replace(born);
        if before.is_none_or(|before| before == born) {
            return;
        }
        self.engine_restarted = true;
        self.cache = PrefixCache::new(self.rules.kv_tokens);
        for (id, running) in &mut self.running {
            if !running.is_given_up {
                running.is_given_up = true;
                self.given_up += 1;
                self.unread_tokens -= std::mem::take(&mut running.unread_tokens);
                self.running_kv -= running.kv_tokens;
            }
            self.lost.push((*id, Duration::ZERO));
        }
        self.pace.record(now, 0, false);
    }

    /// Releases the slots of requests that the engine no longer runs although no gateway reported their end.
    ///
    /// An endpoint may lose the answers or drop requests silently. The gateways then wait until the deadline, and
    /// without a release the slots would stay taken on an idle engine.
    fn give_up_missing(&mut self, now: Duration, is_listed: impl Fn(&str) -> bool) {
        for (id, running) in &mut self.running {
            if is_listed(&running.ask.request_id) {
                running.missing_since = None;
                continue;
            }
            let since = *running.missing_since.get_or_insert(now);
            let is_missing = now >= since.max(running.granted_at) + GIVE_UP_AFTER;
            if is_missing && !running.is_given_up {
                running.is_given_up = true;
                self.given_up += 1;
                self.unread_tokens -= std::mem::take(&mut running.unread_tokens);
                self.running_kv -= running.kv_tokens;
            }
            if now >= since + LOST_AFTER {
                self.lost.push((*id, now.saturating_sub(since)));
            }
        }
    }

    /// Takes the requests that are certainly lost, each with the time for which it has been missing.
    pub fn take_lost(&mut self) -> Vec<(SlotRequestId, Duration)> {
        std::mem::take(&mut self.lost)
    }

    /// Records that the engine didn't report; until the next report only answers show its progress.
    pub fn engine_silent(&mut self) {
        self.engine_is_gone = false;
        for running in self.running.values_mut() {
            running.read_at = None;
        }
    }

    /// Records that nothing listens at the engine's address; no request is granted until a poll ends otherwise.
    ///
    /// Engines can end under load while their admissions keep running. Every gateway prefers an empty engine, so a
    /// queue that kept granting slots would attract a large part of all requests to an engine that accepts no
    /// connection.
    pub fn engine_gone(&mut self) {
        self.engine_silent();
        self.engine_is_gone = true;
    }

    /// Records that a request has ended, or that its caller no longer waits.
    pub fn request_ended(&mut self, now: Duration, id: SlotRequestId) {
        self.waiting.retain(|waiting| waiting.id != id);
        let Some(running) = self.running.remove(&id) else {
            return;
        };
        if !running.has_begun {
            let (read_tokens, granted_at) = (running.read_tokens, running.granted_at);
            self.accounts
                .take_back(now, &running.ask, read_tokens, granted_at);
        }
        if running.is_given_up {
            self.given_up -= 1;
            return;
        }
        self.unread_tokens -= running.unread_tokens;
        self.running_kv -= running.kv_tokens;
        if running.unread_tokens > 0 {
            // Tokens that were never prefilled say nothing about the rate, but the clock runs on for the others.
            self.pace.record(now, 0, self.unread_tokens > 0);
        }
        // Its own tokens stay in the engine's KV cache until evicted.
        self.cache
            .touch(own_part(id), running.kv_tokens, self.running_kv);
    }

    /// Returns the decisions on waiting requests that are due.
    pub fn decide(&mut self, now: Duration) -> Vec<Decision> {
        self.is_young = now < ASSUME_KEPT && !self.engine_restarted;
        if self.engine_is_gone {
            return self.refuse_all();
        }
        let mut decisions = Vec::new();
        self.turn_away(now, &mut decisions);
        while self.has_room() {
            let Some(next) = self.order(now).first().copied() else {
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
                .map(|waiting| self.tokens_to_read(&waiting.ask))
                .sum(),
            engine_is_gone: self.engine_is_gone,
        }
    }

    /// Returns the measured prefill rate in tokens per millisecond.
    #[must_use]
    pub fn prefill_tokens_per_ms(&self) -> u64 {
        self.pace.tokens_per_ms()
    }

    /// Returns the measured time from the end of prefill to the first event.
    #[must_use]
    pub fn first_event_delay(&self) -> Duration {
        self.first_event
    }

    /// Returns the recent usage of the teams at this engine.
    #[must_use]
    pub fn usage(&self) -> &TeamUsage {
        self.accounts.usage()
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

    fn has_room(&self) -> bool {
        let running = self.running_count();
        self.unread_tokens < self.rules.max_unread_tokens
            && running < self.rules.max_running
            && (running == 0 || self.running_kv < self.rules.kv_tokens)
    }

    fn running_count(&self) -> u32 {
        u32::try_from(self.running.len()).unwrap_or(u32::MAX) - self.given_up
    }

    fn tokens_to_read(&self, ask: &SlotRequest) -> u32 {
        let kept = ask
            .shared_prefix
            .filter(|(key, _)| self.is_young || self.cache.contains(*key));
        let kept = kept.map_or(0, |(_, tokens)| tokens);
        ask.prompt_tokens.saturating_sub(kept)
    }

    /// Refuses the requests that would start too late and keeps the others.
    fn turn_away(&mut self, now: Duration, decisions: &mut Vec<Decision>) {
        let teams = self.waiting.iter().map(|waiting| &*waiting.ask.team);
        let share = self.accounts.measure_share(now, teams);
        let most_had = self.accounts.most_had(now);
        let mut ahead = u64::from(self.unread_tokens);
        let mut late = Vec::new();
        let mut staying: SmallVec<[Box<str>; 8]> = SmallVec::new();
        let mut crowded = false;
        for place in self.order(now) {
            let waiting = &self.waiting[place];
            let own = u64::from(self.tokens_to_read(&waiting.ask));
            let Claim { used, overdue_at } = self.accounts.claim(now, &waiting.ask.team, most_had);
            let is_overdue = overdue_at.is_some();
            // An underserved team may wait as long as a team within its fair share.
            let counted = if is_overdue { used.min(share) } else { used };
            let permille = turn_permille(self.rules.max_wait_permille, counted, share);
            let budget = waiting.ask.budget.saturating_sub(self.first_event);
            // No other prompt is prefilled during a long one, so a long prompt of a team above its fair share counts
            // towards its own wait. Other prompts don't, or long ones would be refused under any load.
            let is_above = used > share;
            let is_long = self.pace.time_for(own) > LONGEST_HOLD;
            let keeps_others_out = is_above && is_long && now < self.crowded_until;
            let before_others = if keeps_others_out { ahead + own } else { ahead };
            let turn = now.saturating_sub(waiting.since) + self.pace.time_for(before_others);
            // A request that could start now does: fairness must not leave the engine idle.
            let has_room = ahead < u64::from(self.rules.max_unread_tokens);
            let could_go = has_room && !keeps_others_out;
            if !is_above && !has_room {
                crowded = true;
            }
            let team = &waiting.ask.team;
            let part = if is_overdue || used < self.accounts.most_used() * FAR_LESS {
                STAY_PART_BEHIND
            } else {
                STAY_PART
            };
            let stays_until = waiting.since + waiting.ask.budget / part;
            let may_stay = !keeps_others_out && now < stays_until && !staying.contains(team);
            if turn <= budget * permille / 1000 || could_go {
                ahead += own;
            } else if may_stay {
                staying.push(team.clone());
            } else {
                late.push((waiting.id, ahead));
            }
        }
        if crowded {
            self.crowded_until = now + CROWDED_FOR;
        }
        let drained = self.pace.time_for(ahead).max(SHORTEST_RETRY);
        for (id, ahead) in late {
            self.waiting.retain(|waiting| waiting.id != id);
            decisions.push(Decision::Refuse {
                id,
                retry_after: drained,
                ahead_tokens: u32::try_from(ahead).unwrap_or(u32::MAX),
                cause: RefusalCause::Late,
            });
        }
    }

    /// Refuses all waiting requests because the engine is gone.
    fn refuse_all(&mut self) -> Vec<Decision> {
        let refused = self.waiting.drain(..).map(|waiting| Decision::Refuse {
            id: waiting.id,
            retry_after: GONE_RETRY,
            ahead_tokens: 0,
            cause: RefusalCause::EngineGone,
        });
        refused.collect()
    }

    /// Returns the indices of the waiting requests in scheduling order.
    fn order(&self, now: Duration) -> Vec<usize> {
        let most_had = self.accounts.most_had(now);
        order_of(&self.waiting, self.accounts.share(), |team| {
            self.accounts.claim(now, team, most_had)
        })
    }

    fn grant(&mut self, now: Duration, next: Waiting) -> Decision {
        let Waiting { id, ask, since } = next;
        let ahead_tokens = self.unread_tokens;
        let unread_tokens = self.tokens_to_read(&ask);
        let shared_tokens = ask.shared_prefix.map_or(0, |(_, tokens)| tokens);
        let own = ask.prompt_tokens.saturating_sub(shared_tokens);
        let kv_tokens = u64::from(own) + u64::from(ask.answer_tokens);
        self.running_kv += kv_tokens;
        if let Some((key, tokens)) = ask.shared_prefix {
            self.cache.touch(key, u64::from(tokens), self.running_kv);
        }
        self.accounts.charge(now, &ask);
        self.unread_tokens += unread_tokens;
        self.pace.start(now);
        let running = Running {
            ask,
            read_tokens: 0,
            unread_tokens,
            kv_tokens,
            granted_at: now,
            read_at: None,
            missing_since: None,
            has_begun: false,
            is_given_up: false,
        };
        self.running.insert(id, running);
        Decision::Grant {
            id,
            waited: now.saturating_sub(since),
            ahead_tokens,
        }
    }
}

/// Returns the cache key of a request's own tokens. It doesn't collide with those of shared prefixes, which are
/// spread over the whole range.
fn own_part(id: SlotRequestId) -> u64 {
    id
}
