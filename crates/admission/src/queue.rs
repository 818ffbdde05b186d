//! Decides which request is sent to an engine next, and which is turned away.
//!
//! The load pattern: callers ask for up to several times of what the engines can do, some teams for most of it, and an
//! engine that takes everything answers everybody late. So the engine gets only as much to read as keeps it busy over a
//! round trip; the rest waits here, where the order can still change. A request whose turn would come too late to be on time
//! is turned away at once, with the time at which the queue is expected to be read.

use std::collections::HashMap;
use std::time::Duration;

use smallvec::SmallVec;

use crate::accounts::Accounts;
use crate::ask::{Ask, AskId, Decision, Load, RefusalCause, Rules};
use crate::cache::Cache;
use crate::engine::{Report, Run};
use crate::order::{Claim, Waiting, order_of};
use crate::pace::Pace;
use crate::turn::turn_permille;
use crate::usage::Usage;

/// Time from a prompt's reading to the first piece of its answer that is assumed at first: the steps of one event beside
/// prompts that are read, and the way back.
const FIRST_EVENT: Duration = Duration::from_millis(60);

/// Time for which a request must be missing in the engine's reports before its place is given to others: its last bytes
/// and the word of its end are on their way for milliseconds.
const GIVE_UP_AFTER: Duration = Duration::from_millis(300);

/// Time after which it counts as lost: a lost packet is sent again within a second.
const LOST_AFTER: Duration = Duration::from_millis(900);

/// Part of its budget for which one ask of each team stays in the queue though its turn would come too late: an eighth, after which
/// a refusal still leaves its caller most of the time.
///
/// The load pattern: two teams far above the others ask for several times what there is, one of them more often. A free place that
/// goes to whoever asks next goes to that one more often; of those that stay for a moment, the team with the least use is chosen.
const STAY_PART: u32 = 8;

/// Part of its budget for which an ask stays whose team has used far less than the one with the most: it is chosen before that one's.
const STAY_PART_BEHIND: u32 = 2;

/// Part of the most use below which a team has used far less.
const FAR_LESS: f64 = 0.75;

/// Longest time for which a team that has used more than its share may keep an engine to itself with one prompt: half of the
/// time in which an answer has to begin.
const LONGEST_HOLD: Duration = Duration::from_millis(250);

/// Time for which teams within their share are expected to need an engine again, after one of them had to wait for it: about the
/// time in which the longest prompts are read.
const CROWDED_FOR: Duration = Duration::from_secs(1);

/// Time from the start for which every shared part is taken for kept. The engine goes on while its admission restarts, and
/// a queue that took its memory for empty would refuse three times too much; the reports correct what is wrong.
const ASSUME_KEPT: Duration = Duration::from_secs(6);

/// Shortest time after which a caller is asked to come back; a few requests are read in it.
pub const SHORTEST_RETRY: Duration = Duration::from_millis(100);

/// When a caller may come back to an engine that is gone; a restart takes a second or more.
const GONE_RETRY: Duration = Duration::from_millis(500);

#[derive(Debug)]
struct Running {
    ask: Ask,
    /// What the engine has read for it.
    read_tokens: u32,
    unread_tokens: u32,
    kv_tokens: u64,
    granted_at: Duration,
    /// When it was seen that its prompt is read.
    read_at: Option<Duration>,
    /// Since when the engine's reports lack it.
    missing_since: Option<Duration>,
    /// Whether its answer has begun, so that its prompt is read.
    has_begun: bool,
    /// Whether its place was given to others because it is missing.
    is_given_up: bool,
}

/// Holds the queue before one engine.
#[derive(Debug)]
pub struct Admission {
    rules: Rules,
    waiting: Vec<Waiting>,
    running: HashMap<AskId, Running>,
    unread_tokens: u32,
    running_kv: u64,
    /// Whether this queue is younger than what its engine may still keep.
    is_young: bool,
    /// When the engine has started that was reported last.
    engine_born_unix_ms: Option<u64>,
    /// Whether nothing listens at the engine's address, as far as is known.
    engine_is_gone: bool,
    /// Whether the engine has started again beside this queue, so that it keeps nothing that this queue does not know.
    engine_restarted: bool,
    cache: Cache,
    pace: Pace,
    /// Time from a prompt's reading to the first piece of its answer.
    first_event: Duration,
    /// Requests among the running ones whose places were given to others.
    given_up: u32,
    lost: Vec<(AskId, Duration)>,
    accounts: Accounts,
    /// Until when teams within their share are expected to need the engine.
    crowded_until: Duration,
}

impl Admission {
    /// Creates the queue of an engine; times count from here on.
    #[must_use]
    pub fn new(rules: Rules) -> Self {
        Self {
            cache: Cache::new(rules.kv_tokens),
            rules,
            waiting: Vec::new(),
            running: HashMap::new(),
            unread_tokens: 0,
            running_kv: 0,
            is_young: true,
            engine_born_unix_ms: None,
            engine_is_gone: false,
            engine_restarted: false,
            pace: Pace::new(),
            first_event: FIRST_EVENT,
            given_up: 0,
            lost: Vec::new(),
            accounts: Accounts::new(),
            crowded_until: Duration::ZERO,
        }
    }

    /// Puts an ask into the queue; [`Admission::decide`] says what becomes of it.
    pub fn ask(&mut self, now: Duration, id: AskId, ask: Ask) {
        self.accounts.heard_elsewhere(now, &ask);
        self.waiting.push(Waiting {
            id,
            ask,
            since: now,
        });
    }

    /// Notes that a granted request has begun to answer.
    pub fn began(&mut self, now: Duration, id: AskId) {
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
            self.pace.read(now, tokens, self.unread_tokens > 0);
        }
    }

    /// Takes in what the engine reports: how far each prompt is read.
    pub fn reported(&mut self, now: Duration, report: &Report) {
        self.engine_is_gone = false;
        self.note_birth(now, report.born_unix_ms);
        if let Some(kv_tokens) = report.kv_total_tokens.filter(|tokens| *tokens > 0) {
            self.rules.kv_tokens = kv_tokens;
            self.cache.resize(kv_tokens);
        }
        let runs = report.runs.iter();
        let runs: HashMap<&str, &Run> = runs.map(|run| (&*run.request_id, run)).collect();
        let (mut read, mut more) = (0, 0);
        for running in self.running.values_mut() {
            let run = runs.get(&*running.ask.request_id);
            let Some(run) = run.filter(|_| !running.has_begun && !running.is_given_up) else {
                continue;
            };
            let left = running.ask.prompt_tokens.saturating_sub(run.kv_tokens);
            let left = if run.events > 0 { 0 } else { left };
            // A part that was taken for kept, and is not, shows here first.
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
        self.pace.read(now, read, self.unread_tokens > 0);
        let is_listed = |id: &str| runs.contains_key(id);
        if report.queued == 0 && report.active as usize == report.runs.len() {
            self.give_up_missing(now, is_listed);
        }
    }

    /// Forgets what a former start of the engine ran and kept, once another one reports.
    ///
    /// The load pattern: an engine ends under load and starts again under its name before anyone has missed it. It runs nothing
    /// and keeps nothing, while its queue would hold all places for requests that are lost and take every part for kept.
    fn note_birth(&mut self, now: Duration, born_unix_ms: Option<u64>) {
        let Some(born) = born_unix_ms else {
            return;
        };
        let before = self.engine_born_unix_ms.replace(born);
        if before.is_none_or(|before| before == born) {
            return;
        }
        self.engine_restarted = true;
        self.cache = Cache::new(self.rules.kv_tokens);
        for (id, running) in &mut self.running {
            if !running.is_given_up {
                running.is_given_up = true;
                self.given_up += 1;
                self.unread_tokens -= std::mem::take(&mut running.unread_tokens);
                self.running_kv -= running.kv_tokens;
            }
            self.lost.push((*id, Duration::ZERO));
        }
        self.pace.read(now, 0, false);
    }

    /// Gives the places of requests to others that the engine does not run any more, though no gateway said so.
    ///
    /// The load pattern: an endpoint runs requests and their answers are lost, or it drops them without a word. Their
    /// gateways wait to the deadline, and their places would stay taken beside an idle engine.
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

    /// Takes the requests that are lost for certain, with the time since which they are missing.
    pub fn take_lost(&mut self) -> Vec<(AskId, Duration)> {
        std::mem::take(&mut self.lost)
    }

    /// Notes that the engine did not report; the answers tell how far it is until it does.
    pub fn not_reported(&mut self) {
        self.engine_is_gone = false;
        for running in self.running.values_mut() {
            running.read_at = None;
        }
    }

    /// Notes that nothing listens at the engine's address: nothing is granted until it answers or is silent.
    ///
    /// The load pattern: engines end under load while their admissions go on. An empty engine is the best choice of every gateway, so
    /// a queue that went on granting would draw a large part of all requests to where no connection can be had.
    pub fn engine_gone(&mut self) {
        self.not_reported();
        self.engine_is_gone = true;
    }

    /// Notes that a request has ended, or that its caller no longer waits.
    pub fn ended(&mut self, now: Duration, id: AskId) {
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
            // What was not read tells nothing of the pace, but time goes on for the rest.
            self.pace.read(now, 0, self.unread_tokens > 0);
        }
        // Its own part stays in the engine's memory until it yields.
        self.cache
            .touch(own_part(id), running.kv_tokens, self.running_kv);
    }

    /// Decides on the asks that wait.
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

    /// Returns the load.
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

    /// Returns how many tokens the engine reads in a millisecond, as measured.
    #[must_use]
    pub fn pace_per_ms(&self) -> u64 {
        self.pace.per_ms()
    }

    /// Returns the measured time from a prompt's reading to the first piece of its answer.
    #[must_use]
    pub fn first_event(&self) -> Duration {
        self.first_event
    }

    /// Returns what the teams have used lately.
    #[must_use]
    pub fn usage(&self) -> &Usage {
        self.accounts.usage()
    }

    /// Returns whether an ask waits for its turn.
    #[must_use]
    pub fn is_queued(&self, id: AskId) -> bool {
        self.waiting.iter().any(|waiting| waiting.id == id)
    }

    /// Returns whether any ask waits.
    #[must_use]
    pub fn is_waiting(&self) -> bool {
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

    fn tokens_to_read(&self, ask: &Ask) -> u32 {
        let kept = ask
            .shared
            .filter(|(key, _)| self.is_young || self.cache.holds(*key));
        let kept = kept.map_or(0, |(_, tokens)| tokens);
        ask.prompt_tokens.saturating_sub(kept)
    }

    /// Refuses the asks whose turn comes too late; the others keep their places.
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
            // A turn that is overdue comes as for a team within its share.
            let counted = if is_overdue { used.min(share) } else { used };
            let permille = turn_permille(self.rules.turn_permille, counted, share);
            let budget = waiting.ask.budget.saturating_sub(self.first_event);
            // Nobody else is read while a long prompt is, so that of a team above its share counts in its turn. Any other one
            // doesn't, or long prompts would be refused whenever there is any load.
            let is_above = used > share;
            let is_long = self.pace.time_for(own) > LONGEST_HOLD;
            let keeps_others_out = is_above && is_long && now < self.crowded_until;
            let before_others = if keeps_others_out { ahead + own } else { ahead };
            let turn = now.saturating_sub(waiting.since) + self.pace.time_for(before_others);
            // Whoever could go now, goes: the engine must not idle for the sake of a share.
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

    /// Refuses all asks, since the engine is gone.
    fn refuse_all(&mut self) -> Vec<Decision> {
        let refused = self.waiting.drain(..).map(|waiting| Decision::Refuse {
            id: waiting.id,
            retry_after: GONE_RETRY,
            ahead_tokens: 0,
            cause: RefusalCause::EngineGone,
        });
        refused.collect()
    }

    /// Returns the places of the waiting asks in the order of their turns.
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
        let shared_tokens = ask.shared.map_or(0, |(_, tokens)| tokens);
        let own = ask.prompt_tokens.saturating_sub(shared_tokens);
        let kv_tokens = u64::from(own) + u64::from(ask.answer_tokens);
        self.running_kv += kv_tokens;
        if let Some((key, tokens)) = ask.shared {
            self.cache.touch(key, u64::from(tokens), self.running_kv);
        }
        self.accounts.charge(now, &ask);
        self.unread_tokens += unread_tokens;
        self.pace.busy(now);
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

/// Returns a key for a request's own part that no shared part has: those are spread over all numbers.
fn own_part(id: AskId) -> u64 {
    id
}
