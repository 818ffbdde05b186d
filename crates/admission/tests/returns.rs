//! Tests that callers who come back at the time they were told find their place, in virtual time.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use hinge_admission::{
    AdmissionQueue, Decision, MAX_PROMISES, QueueLimits, RefusedRequest, Returns, SlotRequest,
    SlotRequestId,
};
use hinge_cases::cases;

const LIMITS: QueueLimits = QueueLimits {
    max_unread_tokens: 2_000,
    max_running: 64,
    kv_tokens: 280_000,
    max_wait_permille: 700,
};

/// Prompt tokens that an engine prefills per millisecond.
const PREFILL_TOKENS_PER_MS: u32 = 40;

/// Time from the end of prefill to the end of an answer.
const ANSWER_DURATION_MS: u64 = 400;

/// Time from an admission's refusal to the arrival of a caller that comes back at once.
const WAY_MS: u64 = 10;

/// Time within which an answer has to begin, and the caller's patience.
const BUDGET_MS: u64 = 500;
const DEADLINE_MS: u64 = 4_000;

/// Backlog in prompt tokens up to which another engine is tried after a refusal.
const IDLE_TOKENS: u32 = 3_000;

fn ms(time_ms: u64) -> Duration {
    Duration::from_millis(time_ms)
}

/// What a refused caller does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Behaviour {
    /// It comes back once, when it was told, but waits a third of the time it has left at most.
    Obeys,
    /// It comes back once and at once.
    ComesEarly,
    /// It sends three copies at once, and none later.
    Storms,
    /// It does not come back.
    Leaves,
}

#[derive(Debug, Clone)]
struct Caller {
    index: usize,
    team: Box<str>,
    tokens: u32,
    home: usize,
    first_ms: u64,
    behaviour: Behaviour,
    /// Attempts that are open or to come.
    open: u32,
    attempts: u32,
    was_refused: bool,
    /// Time at which it has a place.
    promised_ms: Option<u64>,
    /// Whether an attempt came at that time.
    kept_its_time: bool,
    begun_ms: Option<u64>,
}

#[derive(Debug, Clone)]
struct Ask {
    caller: usize,
    engine: usize,
    tried: Vec<usize>,
    arrived_ms: u64,
    /// Best time told so far: without a place, the time until then.
    told: Option<(bool, u64)>,
}

struct Engine {
    queue: AdmissionQueue,
    tokens_per_ms: u32,
    prefilling: VecDeque<(SlotRequestId, u32)>,
    decoding: VecDeque<(SlotRequestId, u64)>,
}

#[derive(Debug, Default, Clone, Copy)]
struct Counts {
    callers: u32,
    begun: u32,
    on_time: u32,
    refused_once: u32,
    refused_again: u32,
    promised: u32,
    came: u32,
    came_and_begun: u32,
    refusals: u32,
    /// Refusals that came after more than an eighth of the budget and a tick of the server.
    late_refusals: u32,
}

struct Simulation {
    engines: Vec<Engine>,
    callers: Vec<Caller>,
    asks: BTreeMap<SlotRequestId, Ask>,
    arrivals: BTreeSet<(u64, usize, u32)>,
    now_ms: u64,
    next_id: SlotRequestId,
    has_keys: bool,
    refusals: u32,
    late_refusals: u32,
    most_promises: usize,
}

impl Simulation {
    fn new(engines: usize, has_keys: bool) -> Self {
        let engine = || Engine {
            queue: AdmissionQueue::new(LIMITS),
            tokens_per_ms: PREFILL_TOKENS_PER_MS,
            prefilling: VecDeque::new(),
            decoding: VecDeque::new(),
        };
        Self {
            engines: std::iter::repeat_with(engine).take(engines).collect(),
            callers: Vec::new(),
            asks: BTreeMap::new(),
            arrivals: BTreeSet::new(),
            now_ms: 0,
            next_id: 1,
            has_keys,
            refusals: 0,
            late_refusals: 0,
            most_promises: 0,
        }
    }

    fn call(&mut self, team: &str, tokens: u32, behaviour: Behaviour) {
        let index = self.callers.len();
        self.callers.push(Caller {
            index,
            team: team.into(),
            tokens,
            home: index * 7 % self.engines.len(),
            first_ms: self.now_ms,
            behaviour,
            open: 1,
            attempts: 0,
            was_refused: false,
            promised_ms: None,
            kept_its_time: false,
            begun_ms: None,
        });
        self.arrive(index);
    }

    fn arrive(&mut self, index: usize) {
        let caller = &mut self.callers[index];
        caller.attempts += 1;
        if caller
            .promised_ms
            .is_some_and(|at| self.now_ms.abs_diff(at) <= 2 * WAY_MS)
        {
            caller.kept_its_time = true;
        }
        let ask = Ask {
            caller: index,
            engine: caller.home,
            tried: Vec::new(),
            arrived_ms: self.now_ms,
            told: None,
        };
        self.submit(ask);
    }

    fn submit(&mut self, mut ask: Ask) {
        let id = self.next_id;
        self.next_id += 1;
        let caller = &self.callers[ask.caller];
        let engine = ask.engine;
        ask.tried.push(engine);
        let request = SlotRequest {
            request_id: id.to_string().into(),
            team: caller.team.clone(),
            rank: 1,
            prompt_tokens: caller.tokens,
            answer_tokens: 50,
            shared_prefix: None,
            budget: ms(BUDGET_MS.saturating_sub(self.now_ms - ask.arrived_ms)),
            elsewhere_tokens: 0,
            return_key: self.has_keys.then_some(ask.caller as u64),
        };
        self.asks.insert(id, ask);
        self.engines[engine]
            .queue
            .enqueue(ms(self.now_ms), id, request);
        self.decide(engine);
    }

    fn decide(&mut self, engine: usize) {
        for decision in self.engines[engine].queue.decide(ms(self.now_ms)) {
            match decision {
                Decision::Grant { id, .. } => {
                    let tokens = self.callers[self.asks[&id].caller].tokens;
                    self.engines[engine].prefilling.push_back((id, tokens));
                }
                Decision::Refuse {
                    id,
                    retry_after,
                    is_promised,
                    ..
                } => {
                    let retry_ms = u64::try_from(retry_after.as_millis()).expect("it is short");
                    self.refused(id, is_promised, retry_ms);
                }
            }
        }
    }

    fn refused(&mut self, id: SlotRequestId, is_promised: bool, retry_ms: u64) {
        let mut ask = self.asks.remove(&id).expect("the ask is open");
        let told = (!is_promised, retry_ms);
        let told = ask.told.map_or(told, |before| before.min(told));
        ask.told = Some(told);
        let tried = &ask.tried;
        let others = (0..self.engines.len()).filter(|other| !tried.contains(other));
        let backlog = |index: &usize| {
            let load = self.engines[*index].queue.load();
            load.unread_tokens + load.waiting_tokens
        };
        let next = others
            .filter(|index| backlog(index) < IDLE_TOKENS)
            .min_by_key(backlog);
        if let (Some(next), true) = (next, tried.len() < 2) {
            ask.engine = next;
            self.submit(ask);
            return;
        }
        self.refusals += 1;
        if self.now_ms - ask.arrived_ms > BUDGET_MS / 8 + 20 {
            self.late_refusals += 1;
        }
        let caller = &mut self.callers[ask.caller];
        caller.open -= 1;
        if std::mem::replace(&mut caller.was_refused, true) {
            return;
        }
        let (copies, after_ms) = match caller.behaviour {
            Behaviour::Obeys => {
                let left_ms = (caller.first_ms + DEADLINE_MS).saturating_sub(self.now_ms);
                if !told.0 && told.1 <= left_ms / 3 {
                    caller.promised_ms = Some(self.now_ms + told.1);
                }
                (1, told.1.min(left_ms / 3))
            }
            Behaviour::ComesEarly => (1, 0),
            Behaviour::Storms => (3, 0),
            Behaviour::Leaves => (0, 0),
        };
        caller.open += copies;
        for copy in 0..copies {
            self.arrivals
                .insert((self.now_ms + after_ms + WAY_MS, ask.caller, copy));
        }
    }

    fn step(&mut self) {
        self.now_ms += 1;
        while let Some(next) = self.arrivals.first().copied() {
            if next.0 > self.now_ms {
                break;
            }
            self.arrivals.pop_first();
            self.arrive(next.1);
        }
        for index in 0..self.engines.len() {
            self.prefill(index);
            let now_ms = self.now_ms;
            let engine = &mut self.engines[index];
            while let Some((id, _)) = engine.decoding.pop_front_if(|(_, end)| *end <= now_ms) {
                engine.queue.request_ended(ms(now_ms), id);
                self.asks.remove(&id);
            }
            self.decide(index);
            let kept = self.engines[index].queue.kept_places();
            self.most_promises = self.most_promises.max(kept);
        }
    }

    fn prefill(&mut self, index: usize) {
        let engine = &mut self.engines[index];
        let mut left = engine.tokens_per_ms;
        while let Some((id, tokens)) = engine.prefilling.front_mut() {
            let prefilled = left.min(*tokens);
            *tokens -= prefilled;
            left -= prefilled;
            if *tokens > 0 {
                return;
            }
            let caller = &mut self.callers[self.asks[id].caller];
            caller.begun_ms.get_or_insert(self.now_ms);
            engine.queue.answer_began(ms(self.now_ms), *id);
            engine
                .decoding
                .push_back((*id, self.now_ms + ANSWER_DURATION_MS));
            engine.prefilling.pop_front();
        }
    }

    fn count(&self, is_counted: impl Fn(&Caller) -> bool) -> Counts {
        let mut counts = Counts {
            refusals: self.refusals,
            late_refusals: self.late_refusals,
            ..Counts::default()
        };
        for caller in self.callers.iter().filter(|caller| is_counted(caller)) {
            let has_begun = caller.begun_ms.is_some();
            counts.callers += 1;
            counts.begun += u32::from(has_begun);
            let on_time = caller
                .begun_ms
                .is_some_and(|at| at <= caller.first_ms + BUDGET_MS);
            counts.on_time += u32::from(on_time);
            counts.refused_once += u32::from(caller.was_refused);
            let came_back = caller.was_refused && caller.attempts > 1;
            counts.refused_again += u32::from(came_back && !has_begun && caller.open == 0);
            counts.promised += u32::from(caller.promised_ms.is_some());
            counts.came += u32::from(caller.kept_its_time);
            counts.came_and_begun += u32::from(caller.kept_its_time && has_begun);
        }
        counts
    }

    /// Returns the prompt tokens of a team's callers whose answers began in a window.
    fn begun_tokens(&self, team: &str, from_ms: u64, until_ms: u64) -> u64 {
        let window = from_ms..until_ms;
        let begun = self.callers.iter().filter(|caller| {
            *caller.team == *team && caller.begun_ms.is_some_and(|at| window.contains(&at))
        });
        begun.map(|caller| u64::from(caller.tokens)).sum()
    }
}

/// One team's load: milliseconds between its requests, and their length.
type Load = (&'static str, u64, u32);

/// Runs a load, of which the teams in `hot` send only during their turn; `behaviour` is given a caller's number.
fn run(
    mut sim: Simulation,
    steady: &[Load],
    turns: &[(Load, std::ops::Range<u64>)],
    behaviour: impl Fn(usize) -> Behaviour,
    until_ms: u64,
) -> Simulation {
    while sim.now_ms < until_ms {
        let now_ms = sim.now_ms;
        let hot = turns.iter().filter(|(_, turn)| turn.contains(&now_ms));
        let loads = steady.iter().chain(hot.map(|(load, _)| load));
        for (team, every_ms, tokens) in loads {
            if now_ms.is_multiple_of(*every_ms) {
                let behaviour = behaviour(sim.callers.len());
                sim.call(team, *tokens, behaviour);
            }
        }
        sim.step();
    }
    for _ in 0..DEADLINE_MS {
        sim.step();
    }
    sim
}

const SMALL: [Load; 4] = [
    ("small-1", 400, 1_500),
    ("small-2", 450, 1_200),
    ("small-3", 500, 900),
    ("small-4", 350, 1_000),
];

/// Two hot teams that ask for 1.6 times what one engine prefills, for a second at a time and by turns.
fn hot_by_turns(until_ms: u64) -> Vec<(Load, std::ops::Range<u64>)> {
    let turns = (0..until_ms).step_by(1_500).enumerate();
    turns
        .map(|(index, from)| {
            let load = if index % 2 == 0 {
                ("hot-1", 30, 2_000)
            } else {
                ("hot-2", 45, 3_000)
            };
            (load, from..from + 1_000)
        })
        .collect()
}

/// What the engines serve more than once over, in the shapes that overload takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Overload {
    /// Two teams by turns, with pauses.
    ByTurns,
    /// One team asks for 1.8 times the rate all the time.
    Lasting,
    /// Slightly more than the rate all the time.
    Slight,
    /// Short waves of several times the rate.
    Waves,
}

const OVERLOADS: [Overload; 4] = [
    Overload::ByTurns,
    Overload::Lasting,
    Overload::Slight,
    Overload::Waves,
];

const UNTIL_MS: u64 = 12_000;

impl Overload {
    fn run(self, sim: Simulation, behaviour: impl Fn(usize) -> Behaviour) -> Simulation {
        self.run_longer(sim, 0, behaviour)
    }

    /// Runs it with all prompts some tokens longer.
    fn run_longer(
        self,
        sim: Simulation,
        by_tokens: u32,
        behaviour: impl Fn(usize) -> Behaviour,
    ) -> Simulation {
        let engines = u64::try_from(sim.engines.len()).expect("engines are few");
        let lasting = match self {
            Self::ByTurns | Self::Waves => None,
            Self::Lasting => Some(("hot", 28, 2_000)),
            Self::Slight => Some(("hot", 60, 2_000)),
        };
        let turns = match self {
            Self::ByTurns => hot_by_turns(UNTIL_MS),
            Self::Waves => (0..UNTIL_MS)
                .step_by(2_000)
                .map(|from| (("hot", 20, 1_500), from..from + 400))
                .collect(),
            Self::Lasting | Self::Slight => Vec::new(),
        };
        let scale = |load: Load| (load.0, load.1 / engines, load.2 + by_tokens);
        let steady: Vec<Load> = SMALL.into_iter().chain(lasting).map(scale).collect();
        let turns: Vec<_> = turns
            .into_iter()
            .map(|(load, turn)| (scale(load), turn))
            .collect();
        run(sim, &steady, &turns, behaviour, UNTIL_MS)
    }
}

/// Three quarters of them obey, the others act by turns as given.
fn third(other: Behaviour) -> impl Fn(usize) -> Behaviour {
    move |caller| {
        if caller.is_multiple_of(3) {
            other
        } else {
            Behaviour::Obeys
        }
    }
}

fn obeying(caller: &Caller) -> bool {
    caller.behaviour == Behaviour::Obeys
}

fn refused(key: u64, team: &str) -> RefusedRequest<'_> {
    RefusedRequest {
        key,
        team,
        tokens: 400,
        prefill_time: ms(10),
        drain_time: ms(100),
        budget: ms(BUDGET_MS),
        limited_to: None,
    }
}

cases! {
    callers_that_come_at_their_time_begin => {
        for engines in [1, 4] {
            for overload in OVERLOADS {
                let sim = overload.run(Simulation::new(engines, true), |_| Behaviour::Obeys);
                let counts = sim.count(|_| true);
                println!("{engines} {overload:?} {counts:?}");
                assert!(counts.promised >= 20, "{overload:?} {counts:?}");
                assert!(counts.came_and_begun * 10 >= counts.came * 9, "{overload:?} {counts:?}");
            }
        }
    }
    promises_cost_no_answer_on_time => {
        // One run differs by some callers for any change, so several count together.
        let count = |overload: Overload, has_keys| {
            let mut sum = Counts::default();
            for by_tokens in (0..160).step_by(20) {
                let sim = overload.run_longer(Simulation::new(1, has_keys), by_tokens, |_| Behaviour::Obeys);
                let counts = sim.count(|_| true);
                sum.on_time += counts.on_time;
                sum.refused_again += counts.refused_again;
                sum.refusals += counts.refusals;
                sum.late_refusals += counts.late_refusals;
            }
            sum
        };
        for overload in OVERLOADS {
            let (today, counts) = (count(overload, false), count(overload, true));
            println!("{overload:?} {today:?} {counts:?}");
            assert!(counts.on_time * 100 >= today.on_time * 99, "{overload:?} {today:?} {counts:?}");
            assert!(counts.refused_again * 100 <= today.refused_again * 110, "{overload:?} {today:?} {counts:?}");
            // A request of a team with little use stays for half of its budget before it is refused, as without places.
            let few_late = counts.late_refusals <= today.late_refusals.max(counts.refusals / 100);
            assert!(few_late, "{overload:?} {today:?} {counts:?}");
        }
    }
    fewer_callers_are_refused_again_where_overload_has_pauses => {
        for overload in [Overload::ByTurns, Overload::Waves] {
            let today = overload.run(Simulation::new(1, false), |_| Behaviour::Obeys).count(|_| true);
            let counts = overload.run(Simulation::new(1, true), |_| Behaviour::Obeys).count(|_| true);
            assert!(counts.refused_again < today.refused_again, "{overload:?} {today:?} {counts:?}");
        }
    }
    callers_that_storm_leave_the_service_of_others_as_it_is => {
        for overload in OVERLOADS {
            let calm = overload.run(Simulation::new(1, true), |_| Behaviour::Obeys);
            let calm = calm.count(|caller| !caller.index.is_multiple_of(3));
            let storm = overload.run(Simulation::new(1, true), third(Behaviour::Storms));
            let storm = storm.count(obeying);
            println!("{overload:?} {calm:?} {storm:?}");
            assert_eq!(calm.callers, storm.callers);
            assert!(storm.begun * 100 >= calm.begun * 97, "{overload:?} {calm:?} {storm:?}");
        }
    }
    a_caller_that_comes_early_has_no_advantage => {
        for overload in OVERLOADS {
            let sim = overload.run(Simulation::new(1, true), third(Behaviour::ComesEarly));
            let early = sim.count(|caller| caller.was_refused && !obeying(caller));
            let obeying = sim.count(|caller| caller.was_refused && obeying(caller));
            println!("{overload:?} {early:?} {obeying:?}");
            assert!(early.begun * obeying.callers <= obeying.begun * early.callers, "{overload:?} {early:?} {obeying:?}");
        }
    }
    room_of_callers_that_do_not_come_is_passed_on => {
        for overload in OVERLOADS {
            let all = overload.run(Simulation::new(1, true), |_| Behaviour::Obeys).count(|_| true);
            let left = overload.run(Simulation::new(1, true), |_| Behaviour::Leaves).count(|_| true);
            let today = overload.run(Simulation::new(1, false), |_| Behaviour::Leaves).count(|_| true);
            println!("{overload:?} all {all:?} left {left:?} today {today:?}");
            assert!(left.on_time * 100 >= today.on_time * 97, "{overload:?} {left:?} {today:?}");
        }
    }
    an_engine_that_slows_down_keeps_most_promises => {
        let mut sim = Simulation::new(1, true);
        for round in 0..14 {
            sim.engines[0].tokens_per_ms = if round % 2 == 0 { 40 } else { 20 };
            let from = sim.now_ms;
            sim = run(sim, &SMALL, &[(("hot", 30, 2_000), from..from + 1_000)], |_| Behaviour::Obeys, from + 1_000);
        }
        let counts = sim.count(|_| true);
        println!("{counts:?}");
        assert!(counts.came >= 20 && counts.came_and_begun * 10 >= counts.came * 9, "{counts:?}");
    }
    promises_leave_every_team_its_share => {
        // Three teams ask for three, two and one times what one of them is owed; each window counts from the second on.
        let loads: Vec<Load> = [("three", 30, 2_000), ("two", 45, 2_000), ("one", 90, 2_000)].to_vec();
        let share = |has_keys| {
            let sim = run(Simulation::new(1, has_keys), &loads, &[], |_| Behaviour::Obeys, UNTIL_MS);
            let windows = (4_000..UNTIL_MS - 4_000).step_by(500);
            let least = windows.map(|from| {
                let begun = loads.iter().map(|(team, ..)| sim.begun_tokens(team, from, from + 4_000));
                begun.min().expect("there are teams")
            });
            least.min().expect("there are windows")
        };
        let (today, with_promises) = (share(false), share(true));
        println!("{today} {with_promises}");
        assert!(with_promises * 10 >= today * 9, "{with_promises} {today}");
    }
    places_follow_one_another_in_the_order_of_refusals => {
        let mut returns = Returns::default();
        let told: Vec<_> = (0..5).map(|key| returns.refuse(ms(0), refused(key, "a")).retry_after).collect();
        assert_eq!(told, [100, 120, 140, 160, 180].map(ms));
        let other = returns.refuse(ms(0), refused(9, "b"));
        assert_eq!((other.retry_after, other.is_promised), (ms(110), true), "another team uses the gaps");
    }
    a_team_above_its_share_is_promised_no_more_than_it_gets => {
        let mut returns = Returns::default();
        let told = |returns: &mut Returns, key, part| {
            let told = returns.refuse(ms(0), RefusedRequest { limited_to: Some(part), ..refused(key, "a") });
            (told.retry_after, told.is_promised)
        };
        assert_eq!(told(&mut returns, 1, 0.1), (ms(100), true));
        assert_eq!(told(&mut returns, 2, 0.1), (ms(200), true), "a tenth of the rate is one place in ten");
        assert!(!told(&mut returns, 3, 0.1).1);
        assert!(!told(&mut Returns::default(), 1, 0.02).1, "it would have room after 500 ms only");
    }
    a_repeat_gets_the_same_promise => {
        let mut returns = Returns::default();
        for key in 0..3 {
            returns.refuse(ms(0), refused(key, "a"));
        }
        assert_eq!(returns.redeem(ms(50), 1), None, "it comes too early");
        for now in [0, 50, 70] {
            let told = returns.refuse(ms(now), refused(1, "a"));
            assert_eq!((told.retry_after, told.is_promised), (ms(120 - now), true));
        }
        assert_eq!(returns.promises().len(), 3);
        assert_eq!(returns.redeem(ms(120), 1).map(|promise| promise.due), Some(ms(120)));
        assert_eq!(returns.redeem(ms(120), 1), None, "a place is taken once");
    }
    a_place_ends_a_moment_after_its_time => {
        let mut returns = Returns::default();
        returns.refuse(ms(0), refused(1, "a"));
        returns.refuse(ms(0), refused(2, "b"));
        assert!(returns.redeem(ms(340), 1).is_some());
        assert_eq!(returns.redeem(ms(370), 2), None);
        assert_eq!(returns.promises(), []);
    }
    what_cannot_come_back_in_time_is_told_when_the_queue_has_drained => {
        let mut returns = Returns::default();
        let slow = RefusedRequest { drain_time: ms(400), ..refused(1, "a") };
        let told: Vec<_> = (1..4).map(|key| returns.refuse(ms(0), RefusedRequest { key, ..slow })).collect();
        assert!(told.iter().all(|told| !told.is_promised), "{told:?}");
        assert_eq!(told.iter().map(|told| told.retry_after).collect::<Vec<_>>(), [400, 410, 420].map(ms));
    }
    the_number_of_promises_is_bounded => {
        let mut returns = Returns::default();
        for key in 0..5_000 {
            let team = format!("team-{}", key % 500);
            let request = RefusedRequest { prefill_time: ms(0), budget: ms(60_000), ..refused(key, &team) };
            returns.refuse(ms(key / 10), request);
            assert!(returns.promises().len() <= MAX_PROMISES);
        }
        let sim = Overload::Lasting.run(Simulation::new(1, true), |_| Behaviour::Obeys);
        assert!((1..60).contains(&sim.most_promises), "{}", sim.most_promises);
    }
}

/// Returns a queue before a busy engine, a refused request of a team above its share, and the time of its place.
///
/// Request 1 runs; 2 of another team and 3 of the same team wait.
fn refused_with_a_place() -> (AdmissionQueue, SlotRequest, u64) {
    refused_with_a_place_for(400, 0)
}

/// Does the same for a prompt of some length, of a team that has been served some tokens here a moment ago.
fn refused_with_a_place_for(tokens: u32, served_tokens: u32) -> (AdmissionQueue, SlotRequest, u64) {
    let mut queue = AdmissionQueue::new(LIMITS);
    let request = |team: &str, tokens, return_key| SlotRequest {
        request_id: Box::default(),
        team: team.into(),
        rank: 1,
        prompt_tokens: tokens,
        answer_tokens: 50,
        shared_prefix: None,
        budget: ms(BUDGET_MS),
        elsewhere_tokens: if team == "hot" { 400_000 } else { 0 },
        return_key,
    };
    if served_tokens > 0 {
        queue.enqueue(ms(9_000), 100, request("hot", served_tokens, None));
        queue.decide(ms(9_000));
        let read_ms = u64::from(served_tokens / PREFILL_TOKENS_PER_MS);
        queue.answer_began(ms(9_000 + read_ms), 100);
        queue.request_ended(ms(9_000 + read_ms), 100);
    }
    // Some 120 ms of work at the rate that has been measured by then.
    let running_tokens = if served_tokens > 0 { 4_500 } else { 3_000 };
    let requests = [
        request("running", running_tokens, None),
        request("waiting", 100, None),
        // One late request of a team stays for a moment.
        request("hot", 400, None),
        request("hot", tokens, Some(7)),
    ];
    for (id, request) in (1..).zip(requests) {
        queue.enqueue(ms(10_000), id, request);
    }
    for decision in queue.decide(ms(10_000)) {
        if let Decision::Refuse {
            id: 4,
            retry_after,
            is_promised: true,
            ..
        } = decision
        {
            let due = ms(10_000) + retry_after;
            let due_ms = u64::try_from(due.as_millis()).expect("it is short");
            return (queue, request("hot", tokens, Some(7)), due_ms);
        }
    }
    panic!("the last request is refused and has a place");
}

fn granted(decisions: &[Decision]) -> Vec<(SlotRequestId, bool)> {
    let granted = decisions.iter().filter_map(|decision| match decision {
        Decision::Grant {
            id, has_returned, ..
        } => Some((*id, *has_returned)),
        Decision::Refuse { .. } => None,
    });
    granted.collect()
}

cases! {
    a_caller_that_comes_back_goes_before_others_of_its_team => {
        let (mut queue, request, due_ms) = refused_with_a_place();
        queue.enqueue(ms(due_ms), 10, SlotRequest { return_key: None, ..request.clone() });
        queue.enqueue(ms(due_ms), 11, request);
        queue.answer_began(ms(due_ms), 1);
        let granted = granted(&queue.decide(ms(due_ms)));
        assert_eq!(granted, [(2, false), (11, true), (3, false), (10, false)]);
    }
    a_caller_that_comes_back_does_not_go_before_another_team => {
        let (mut queue, request, due_ms) = refused_with_a_place();
        let other = SlotRequest { team: "other".into(), return_key: None, elsewhere_tokens: 0, ..request.clone() };
        queue.enqueue(ms(due_ms), 10, request);
        queue.enqueue(ms(due_ms), 11, other);
        queue.answer_began(ms(due_ms), 1);
        let granted = granted(&queue.decide(ms(due_ms)));
        assert_eq!(granted, [(2, false), (11, false), (10, true), (3, false)]);
    }
    a_gateway_that_dies_loses_no_place => {
        // The caller comes over a gateway that dies while the request waits, and then over another one.
        let (mut queue, request, due_ms) = refused_with_a_place();
        queue.enqueue(ms(due_ms), 10, request.clone());
        assert_eq!(queue.kept_places(), 0);
        queue.request_ended(ms(due_ms + 50), 10);
        assert_eq!(queue.kept_places(), 1);
        queue.enqueue(ms(due_ms + 60), 11, request);
        queue.answer_began(ms(due_ms + 60), 1);
        assert!(granted(&queue.decide(ms(due_ms + 60))).contains(&(11, true)));
    }
    a_place_whose_caller_was_not_told_ends_at_its_time => {
        let (mut queue, request, due_ms) = refused_with_a_place();
        queue.decide(ms(due_ms + 300));
        assert_eq!(queue.kept_places(), 0);
        queue.enqueue(ms(due_ms + 300), 10, request);
        queue.answer_began(ms(due_ms + 300), 1);
        assert!(granted(&queue.decide(ms(due_ms + 300))).contains(&(10, false)));
    }
    a_request_that_is_granted_before_its_time_has_no_place_any_more => {
        let (mut queue, request, due_ms) = refused_with_a_place();
        queue.answer_began(ms(10_010), 1);
        queue.enqueue(ms(10_010), 10, request);
        assert!(granted(&queue.decide(ms(10_010))).contains(&(10, false)), "due at {due_ms}");
        assert_eq!(queue.kept_places(), 0);
    }
    a_kept_place_counts_as_work_ahead_of_newcomers_of_its_team => {
        let (mut queue, request, due_ms) = refused_with_a_place_for(4_000, 20_000);
        queue.answer_began(ms(10_100), 1);
        queue.decide(ms(10_100));
        let newcomer = SlotRequest { return_key: None, prompt_tokens: 100, ..request };
        let filler = SlotRequest { team: "running".into(), prompt_tokens: 1_900, elsewhere_tokens: 0, ..newcomer.clone() };
        queue.enqueue(ms(10_100), 20, filler);
        assert_eq!(granted(&queue.decide(ms(10_100))), [(20, false)]);
        let refusals_of = |queue: &mut AdmissionQueue, ids: [u64; 2], now_ms| {
            for id in ids {
                queue.enqueue(ms(now_ms), id, newcomer.clone());
            }
            let refused = queue.decide(ms(now_ms)).len();
            for id in ids {
                queue.request_ended(ms(now_ms), id);
            }
            refused
        };
        assert_eq!(refusals_of(&mut queue, [21, 22], 10_101), 1, "only one late request of the team stays for a moment");
        // Once the place has ended, as much is before the engine, but nothing is kept ahead of them.
        assert_eq!(refusals_of(&mut queue, [23, 24], due_ms + 251), 0);
    }
    an_engine_that_ends_has_no_promises => {
        let (mut queue, _, _) = refused_with_a_place();
        queue.engine_gone();
        queue.decide(ms(10_010));
        assert_eq!(queue.kept_places(), 0);
    }
    a_caller_without_a_key_is_told_when_the_queue_has_drained => {
        let mut queue = AdmissionQueue::new(LIMITS);
        let (_, request, _) = refused_with_a_place();
        for id in 1..=20 {
            queue.enqueue(ms(10_000), id, SlotRequest { prompt_tokens: 4_000, return_key: None, ..request.clone() });
        }
        let refusals = queue.decide(ms(10_000));
        let told: BTreeSet<_> = refusals.iter().filter_map(|decision| match decision {
            Decision::Refuse { retry_after, is_promised, .. } => Some((*retry_after, *is_promised)),
            Decision::Grant { .. } => None,
        }).collect();
        assert!(told.len() == 1 && told.iter().all(|(_, is_promised)| !is_promised), "{told:?}");
        assert_eq!(queue.kept_places(), 0);
    }
}
