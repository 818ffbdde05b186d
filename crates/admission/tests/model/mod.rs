//! Simulates several engines with a queue each, gateways that request slots, and delayed team usage reports.
//!
//! Service counts when the answer begins, as callers see it; what the queues charge is ignored.

use std::collections::{BTreeMap, VecDeque};
use std::ops::Range;
use std::time::Duration;

use hinge_admission::{
    AdmissionQueue, Decision, EngineReport, Load, QueueLimits, RefusalCause, SlotRequest,
    SlotRequestId,
};
use hinge_routing::{
    Backlog, Candidate, ChoiceRules, SpillLimits, UsageLag, choose_after_refusal, choose_endpoint,
    load_interval,
};

const LIMITS: QueueLimits = QueueLimits {
    max_unread_tokens: 1_000,
    max_running: 64,
    kv_tokens: 280_000,
    max_wait_permille: 700,
};

/// Number of engines.
pub const ENGINES: usize = 12;

/// Prompt tokens that an engine prefills per millisecond.
const PREFILL_TOKENS_PER_MS: u32 = 40;

/// Length of each answer.
const ANSWER_TOKENS: u32 = 50;

/// Time from the end of prefill to the end of the answer.
const ANSWER_DURATION_MS: u64 = 400;

/// Interval between reports of team usage.
const USAGE_INTERVAL_MS: u64 = 500;

/// Time within which an answer has to begin.
const FIRST_EVENT_TARGET: Duration = Duration::from_millis(500);

/// Interval between polls of an engine.
const REPORT_INTERVAL_MS: u64 = 100;

/// Window over which the service of hot teams is compared.
const WINDOW_MS: u64 = 6_000;

/// Maximum number of connections that a gateway tries for one request.
const MAX_FAILED_CONNECTIONS: usize = 4;

/// Backlog in prompt tokens up to which an engine counts as nearly idle.
const IDLE_TOKENS: u32 = 3_000;

fn ms(time_ms: u64) -> Duration {
    Duration::from_millis(time_ms)
}

/// A team that requests more than its fair share from a given time on.
#[derive(Debug, Clone)]
pub struct HotTeam {
    pub name: &'static str,
    pub from_ms: u64,
    /// Interval between requests.
    pub every_ms: u64,
    pub prompt_tokens: u32,
    /// Engines that cache its prefixes and are asked first; if empty, all engines are asked in turn.
    pub cached_on: Range<usize>,
}

/// An outage of some engines, which end and restart later.
#[derive(Debug, Clone)]
pub struct Outage {
    pub engines: Range<usize>,
    pub at_ms: u64,
    pub until_ms: u64,
    /// Whether their admissions notice that nothing listens; otherwise the engines seem silent.
    pub is_noticed: bool,
}

/// How gateways learn the load of engines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadUpdates {
    /// Every gateway always knows the current load.
    Immediate,
    /// Loads are published periodically; in between each gateway adds only its own requests.
    Periodic,
}

/// Number of gateways that requests are spread over.
const GATEWAYS: usize = 7;

/// The load of an engine as gateways know it.
#[derive(Debug, Clone, Copy, Default)]
struct KnownLoad {
    load: Load,
    /// Prompt tokens that each gateway has requested slots for since then.
    added_tokens: [u32; GATEWAYS],
}

struct Engine {
    queue: AdmissionQueue,
    started_unix_ms: u64,
    is_up: bool,
    /// Whether its admission can tell that it is gone.
    is_noticed: bool,
    prefilling: VecDeque<(SlotRequestId, u32)>,
    decoding: VecDeque<(SlotRequestId, u64)>,
    /// Team usage at this engine, as last reported.
    reported_usage: BTreeMap<Box<str>, u64>,
    known_load: KnownLoad,
}

/// Team, time in milliseconds and tokens of one request.
type ServiceRecord = (Box<str>, u64, u32);

/// A request until it is sent to an engine or given up.
#[derive(Debug, Clone)]
struct Request {
    team: Box<str>,
    prompt_tokens: u32,
    arrived_ms: u64,
    gateway: usize,
    /// Engines asked so far, in order.
    tried: Vec<usize>,
    refused: usize,
    gone: usize,
    not_sent: usize,
}

impl Request {
    fn tokens(&self) -> u32 {
        self.prompt_tokens + 2 * ANSWER_TOKENS
    }
}

/// The engines and the outcome of all requests.
pub struct Simulation {
    engines: Vec<Engine>,
    requests: BTreeMap<SlotRequestId, Request>,
    /// Every request that arrived, and every one whose answer began.
    requested: Vec<ServiceRecord>,
    begun: Vec<ServiceRecord>,
    now_ms: u64,
    next_id: SlotRequestId,
    load_updates: LoadUpdates,
}

impl Simulation {
    fn new(load_updates: LoadUpdates) -> Self {
        let engine = || Engine {
            queue: AdmissionQueue::new(LIMITS),
            started_unix_ms: 1,
            is_up: true,
            is_noticed: false,
            prefilling: VecDeque::new(),
            decoding: VecDeque::new(),
            reported_usage: BTreeMap::new(),
            known_load: KnownLoad::default(),
        };
        Self {
            engines: std::iter::repeat_with(engine).take(ENGINES).collect(),
            requests: BTreeMap::new(),
            requested: Vec::new(),
            begun: Vec::new(),
            now_ms: 0,
            next_id: 1,
            load_updates,
        }
    }

    fn usage_elsewhere(&self, team: &str, index: usize) -> u64 {
        let others = self.engines.iter().enumerate();
        let others = others.filter(|(other, _)| *other != index);
        others
            .filter_map(|(_, engine)| engine.reported_usage.get(team))
            .sum()
    }

    /// Accepts a request and requests a slot for it at an engine.
    fn request(&mut self, team: &str, prompt_tokens: u32, cached_on: &Range<usize>) {
        let id = self.next_id;
        self.next_id += 1;
        let spread = usize::try_from(id).expect("ids are few") * 7;
        let first = match cached_on.len() {
            0 => spread % ENGINES,
            count => cached_on.start + spread % count,
        };
        let request = Request {
            team: team.into(),
            prompt_tokens,
            arrived_ms: self.now_ms,
            // The requests of a team reach the gateways in an uneven order.
            gateway: spread / 3 % GATEWAYS,
            tried: vec![first],
            refused: 0,
            gone: 0,
            not_sent: 0,
        };
        self.requested
            .push((team.into(), self.now_ms, request.tokens()));
        self.requests.insert(id, request);
        self.submit(id, first);
    }

    /// Requests a slot at another engine, as a gateway does; gives up after too many attempts.
    fn retry_elsewhere(&mut self, id: SlotRequestId) {
        let request = &self.requests[&id];
        let lag = self.lag(&request.team);
        let may_retry = request.refused < lag.max_admissions()
            && request.gone < MAX_FAILED_CONNECTIONS
            && request.not_sent < MAX_FAILED_CONNECTIONS;
        let next = may_retry.then(|| self.choose(request, lag)).flatten();
        match next {
            Some(index) => {
                let request = self.requests.get_mut(&id).expect("the request is open");
                request.tried.push(index);
                self.submit(id, index);
            }
            None => _ = self.requests.remove(&id),
        }
    }

    /// Compares team usage across all engines, as gateways know it.
    fn lag(&self, team: &str) -> UsageLag {
        let mut usage: BTreeMap<&str, u64> = BTreeMap::new();
        for (team, tokens) in self
            .engines
            .iter()
            .flat_map(|engine| &engine.reported_usage)
        {
            *usage.entry(team).or_default() += tokens;
        }
        let most = usage.values().copied().max().unwrap_or_default();
        UsageLag::compare(usage.get(team).copied().unwrap_or_default(), most)
    }

    /// Chooses an engine for a request that others refused or lost, as a gateway does.
    fn choose(&self, request: &Request, lag: UsageLag) -> Option<usize> {
        let is_gone = |index: &usize| self.engines[*index].queue.load().engine_is_gone;
        let indices: Vec<usize> = (0..ENGINES)
            .filter(|index| !request.tried.contains(index) && !is_gone(index))
            .collect();
        let candidates: Vec<Candidate> = indices
            .iter()
            .map(|index| self.candidate(*index, request.gateway))
            .collect();
        let rules = ChoiceRules::default();
        let chosen = if request.refused == 0 {
            choose_endpoint(&candidates, None, 0, &rules, 0)
        } else {
            let left = FIRST_EVENT_TARGET.saturating_sub(ms(self.now_ms - request.arrived_ms));
            let room = SpillLimits {
                idle_tokens: IDLE_TOKENS,
                left,
                own_tokens: 0,
            };
            choose_after_refusal(&candidates, None, 0, &rules, lag, room, 0)
        };
        chosen.map(|chosen| indices[chosen])
    }

    fn candidate(&self, index: usize, gateway: usize) -> Candidate {
        let engine = &self.engines[index];
        let (load, added_tokens) = match self.load_updates {
            LoadUpdates::Immediate => (engine.queue.load(), 0),
            LoadUpdates::Periodic => (
                engine.known_load.load,
                engine.known_load.added_tokens[gateway],
            ),
        };
        Candidate {
            hash: u64::try_from(index).expect("engines are few"),
            running: load.running,
            slots: LIMITS.max_running,
            backlog: Backlog {
                unread_tokens: load.unread_tokens + added_tokens,
                waiting_tokens: load.waiting_tokens,
            },
            pace: None,
            is_local: true,
            has_cached_prefix: false,
            is_warming_up: false,
        }
    }

    fn submit(&mut self, id: SlotRequestId, index: usize) {
        let request = &self.requests[&id];
        let waited = ms(self.now_ms - request.arrived_ms);
        self.engines[index].known_load.added_tokens[request.gateway] += request.prompt_tokens;
        let slot_request = SlotRequest {
            request_id: id.to_string().into(),
            team: request.team.clone(),
            rank: 1,
            prompt_tokens: request.prompt_tokens,
            answer_tokens: ANSWER_TOKENS,
            shared_prefix: None,
            budget: FIRST_EVENT_TARGET.saturating_sub(waited),
            elsewhere_tokens: self.usage_elsewhere(&request.team, index),
            return_key: None,
        };
        self.engines[index]
            .queue
            .enqueue(ms(self.now_ms), id, slot_request);
        self.decide(index);
    }

    /// Carries out the decisions of an engine's queue.
    fn decide(&mut self, index: usize) {
        let now = ms(self.now_ms);
        for decision in self.engines[index].queue.decide(now) {
            match decision {
                Decision::Grant { id, .. } => self.granted(id, index),
                Decision::Refuse { id, cause, .. } => {
                    let request = self.requests.get_mut(&id).expect("the request is open");
                    match cause {
                        RefusalCause::Late => request.refused += 1,
                        RefusalCause::EngineGone => request.gone += 1,
                    }
                    self.retry_elsewhere(id);
                }
            }
        }
    }

    fn granted(&mut self, id: SlotRequestId, index: usize) {
        let engine = &mut self.engines[index];
        let request = self.requests.get_mut(&id).expect("the request is open");
        if engine.is_up {
            engine.prefilling.push_back((id, request.prompt_tokens));
            return;
        }
        // The connection fails, so the slot is released.
        request.not_sent += 1;
        engine.queue.request_ended(ms(self.now_ms), id);
        self.retry_elsewhere(id);
    }

    fn step(&mut self) {
        self.now_ms += 1;
        for index in 0..ENGINES {
            self.prefill(index);
            self.complete_answers(index);
            if self.now_ms.is_multiple_of(REPORT_INTERVAL_MS) {
                self.poll(index);
            }
            self.publish_load(index);
            if self.now_ms.is_multiple_of(USAGE_INTERVAL_MS) {
                self.publish_usage(index);
            }
            self.decide(index);
        }
    }

    fn prefill(&mut self, index: usize) {
        let engine = &mut self.engines[index];
        let mut left = PREFILL_TOKENS_PER_MS;
        while let Some((id, tokens)) = engine.prefilling.front_mut() {
            let prefilled = left.min(*tokens);
            *tokens -= prefilled;
            left -= prefilled;
            if *tokens > 0 {
                return;
            }
            engine.queue.answer_began(ms(self.now_ms), *id);
            let request = &self.requests[id];
            let record = (request.team.clone(), self.now_ms, request.tokens());
            self.begun.push(record);
            engine
                .decoding
                .push_back((*id, self.now_ms + ANSWER_DURATION_MS));
            engine.prefilling.pop_front();
        }
    }

    fn complete_answers(&mut self, index: usize) {
        let engine = &mut self.engines[index];
        while let Some((id, _)) = engine.decoding.pop_front_if(|(_, end)| *end <= self.now_ms) {
            engine.queue.request_ended(ms(self.now_ms), id);
        }
    }

    fn poll(&mut self, index: usize) {
        let engine = &mut self.engines[index];
        if !engine.is_up {
            if engine.is_noticed {
                engine.queue.engine_gone();
            } else {
                engine.queue.engine_silent();
            }
            return;
        }
        let report = EngineReport {
            started_unix_ms: Some(engine.started_unix_ms),
            // No request counts as missing while any is queued in the engine.
            queued: 1,
            ..EngineReport::default()
        };
        engine.queue.apply_report(ms(self.now_ms), &report);
    }

    /// Publishes the load of an engine when due; the engines take turns.
    fn publish_load(&mut self, index: usize) {
        let every = load_interval(ENGINES, true);
        let position = u32::try_from(index).expect("engines are few");
        let shift = every * position / u32::try_from(ENGINES).expect("engines are few");
        if (ms(self.now_ms) + shift)
            .as_millis()
            .is_multiple_of(every.as_millis())
        {
            let engine = &mut self.engines[index];
            engine.known_load = KnownLoad {
                load: engine.queue.load(),
                added_tokens: [0; GATEWAYS],
            };
        }
    }

    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "usage is not negative, and far below 2^52"
    )]
    fn publish_usage(&mut self, index: usize) {
        let engine = &mut self.engines[index];
        let usage = engine.queue.usage();
        let reported_usage = usage
            .teams(ms(self.now_ms))
            .map(|(team, tokens)| (team.into(), tokens as u64));
        engine.reported_usage = reported_usage.collect();
    }

    /// Ends engines together with their requests, or restarts them.
    fn apply_outage(&mut self, outage: &Outage) {
        for engine in &mut self.engines[outage.engines.clone()] {
            if self.now_ms == outage.at_ms {
                engine.is_up = false;
                engine.is_noticed = outage.is_noticed;
                let prefilling = engine.prefilling.drain(..).map(|(id, _)| id);
                let running = prefilling.chain(engine.decoding.drain(..).map(|(id, _)| id));
                for id in running {
                    engine.queue.request_ended(ms(self.now_ms), id);
                }
            } else if self.now_ms == outage.until_ms {
                engine.is_up = true;
                engine.started_unix_ms += 1;
            }
        }
    }

    /// Runs hot teams beside small ones that use a fifth of the engines.
    pub fn run(
        hot: &[HotTeam],
        outages: &[Outage],
        load_updates: LoadUpdates,
        until_ms: u64,
    ) -> Self {
        let mut sim = Self::new(load_updates);
        while sim.now_ms < until_ms {
            for outage in outages {
                sim.apply_outage(outage);
            }
            for team in hot {
                let since = sim.now_ms.checked_sub(team.from_ms);
                if since.is_some_and(|since| since.is_multiple_of(team.every_ms)) {
                    sim.request(team.name, team.prompt_tokens, &team.cached_on);
                }
            }
            if sim.now_ms.is_multiple_of(20) {
                let team = format!("small-{}", sim.now_ms / 20 % 23);
                sim.request(&team, 2_000, &(0..0));
            }
            sim.step();
        }
        sim
    }

    fn service_of(&self, team: &str, from_ms: u64) -> u64 {
        sum(&self.begun, team, from_ms, WINDOW_MS)
    }

    /// Checks that in each window every team gets at least half of what it is owed, apart from three requests.
    ///
    /// In each second a team is owed what it requested or what the best served team got, whichever is less.
    pub fn assert_owed_service(&self, teams: &[HotTeam], from_ms: u64) {
        for from in (from_ms..=self.now_ms - WINDOW_MS).step_by(250) {
            let best = teams
                .iter()
                .max_by_key(|team| self.service_of(team.name, from))
                .expect("there are teams");
            for team in teams {
                let owed: u64 = (from..from + WINDOW_MS)
                    .step_by(1_000)
                    .map(|second| {
                        let requested = sum(&self.requested, team.name, second, 1_000);
                        requested.min(sum(&self.begun, best.name, second, 1_000))
                    })
                    .sum();
                let slack = 3 * u64::from(team.prompt_tokens + 2 * ANSWER_TOKENS);
                let begun = self.service_of(team.name, from);
                assert!(
                    (begun + slack) * 2 >= owed,
                    "{} from {from} ms: served {begun} of {owed} tokens owed, beside {}",
                    team.name,
                    best.name
                );
            }
        }
    }

    /// Checks that in each window every hot team gets at least half of what the best served one gets, apart from
    /// three requests.
    pub fn assert_similar_service(&self, hot: &[HotTeam], from_ms: u64) {
        let largest = hot.iter().map(|team| team.prompt_tokens + 100).max();
        let slack = 3 * u64::from(largest.expect("there are hot teams"));
        for from in (from_ms..=self.now_ms - WINDOW_MS).step_by(250) {
            let tokens = hot
                .iter()
                .map(|team| (team.name, self.service_of(team.name, from)));
            let tokens: Vec<(&str, u64)> = tokens.collect();
            let most = tokens
                .iter()
                .map(|(_, tokens)| *tokens)
                .max()
                .unwrap_or_default();
            for (team, begun) in &tokens {
                assert!(
                    begun * 2 + slack * 2 >= most,
                    "{team} from {from} ms: {tokens:?}"
                );
            }
        }
    }
}

fn sum(served: &[ServiceRecord], team: &str, from_ms: u64, for_ms: u64) -> u64 {
    let window = from_ms..from_ms + for_ms;
    let served = served
        .iter()
        .filter(|(of, at, _)| **of == *team && window.contains(at));
    served.map(|(_, _, tokens)| u64::from(*tokens)).sum()
}

/// Returns a hot team whose requests are spread over all engines.
pub fn hot(name: &'static str, from_ms: u64, every_ms: u64, prompt_tokens: u32) -> HotTeam {
    HotTeam {
        name,
        from_ms,
        every_ms,
        prompt_tokens,
        cached_on: 0..0,
    }
}
