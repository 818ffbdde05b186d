//! A model of engines, gateways and requests whose prompts share parts, some of which crash engines.
//!
//! An engine crashes soon after it begins to write an answer on a poison part, breaks off all its answers, and is
//! back after some seconds. Each gateway weighs what it sees itself; control adds it up, and every gateway learns of
//! that later.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use hinge_routing::{IncarnationHash, PartEvidence, RequestKey, Suspects};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const STEP_MS: u64 = 10;
const DURATION_MS: u64 = 60_000;

/// Time of calm before the first poison request.
const POISON_FROM_MS: u64 = 6_000;

/// Time from the first token of a poison answer to the crash.
const CRASH_AFTER_MS: u64 = 100;

/// Time until a crashed engine is back.
const RESTART_MS: u64 = 3_000;

/// Crashes that the users allow for one part, and the time after the last of them in which each gateway must know.
const ALLOWED_CRASHES: usize = 5;
const CONTACT_MS: u64 = 3_000;

/// Time from a crash until the gateways that saw it report it.
const NOTICE_MS: u64 = 150;

/// Time after which an answer that is still being written speaks for its parts, as gateways count it.
const SURVIVAL_MS: u64 = 500;

/// Time for which a part is held before gateways ask for a trial.
const TRIAL_DELAY_MS: u64 = 1_000;

const SERVICE: &str = "engines";

/// The prompts of a route.
#[derive(Debug, Clone, Copy)]
struct RouteShape {
    /// Share of the requests, in percent.
    percent: u32,
    /// Shortest and longest time for which an answer is written.
    written_ms: (u64, u64),
}

/// Long prompts with short answers, short requests, and long answers.
const ROUTES: [RouteShape; 3] = [
    RouteShape {
        percent: 30,
        written_ms: (150, 500),
    },
    RouteShape {
        percent: 37,
        written_ms: (100, 400),
    },
    RouteShape {
        percent: 33,
        written_ms: (1_500, 4_000),
    },
];

/// Average time that a request spends at an engine.
const MEAN_TIME_US: u64 = 1_247_000;

/// Teams, of which the first ones ask the most, and topics of each team on each route.
const TEAMS: u64 = 16;
const TOPICS: u64 = 20;

/// The route of poison requests.
const POISON_ROUTE: u64 = 1;

/// Time between two sound requests on a topic that is new with the poison requests.
const NEW_TOPIC_INTERVAL_MS: u64 = 500;

/// What makes requests poison.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Poison {
    /// As many parts that only poison requests have, beside parts of sound ones.
    OwnParts(u64),
    /// A part that only poison requests have, beside a topic that no request had before.
    WithNewTopic,
    /// The first part of all requests of a route, which was sound before.
    FirstPart,
}

/// A load to simulate.
#[derive(Debug, Clone, Copy)]
pub struct Load {
    pub engines: usize,
    /// Requests at each engine.
    pub running: usize,
    pub poison: Poison,
    /// Average time between two poison requests, over all parts.
    pub poison_interval_ms: u64,
    /// Time from a gateway's report until every gateway knows it.
    pub notice_lag_ms: u64,
}

/// The outcome of a simulation.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Highest number of poison requests with one part that were sent later than [`CONTACT_MS`] after its fifth crash.
    pub late: usize,
    pub crashes: usize,
    /// Sound requests with the route or the team of the poison ones from twice [`CONTACT_MS`] after the last allowed crash on.
    pub sound: usize,
    pub sound_refused: usize,
    /// Sound requests on the topic that is new with the poison ones.
    pub on_new_topic: usize,
    pub on_new_topic_refused: usize,
    /// Sound requests that were refused at any time.
    pub all_refused: usize,
    pub all_sound: usize,
}

#[derive(Debug, Clone)]
struct Run {
    gateway: usize,
    parts: Vec<RequestKey>,
    poison: Option<RequestKey>,
    begins_at: u64,
    ends_at: u64,
    has_survived: bool,
}

#[derive(Debug, Default)]
struct Engine {
    incarnation: IncarnationHash,
    up_at: u64,
    crashes_at: Option<u64>,
    runs: Vec<Run>,
}

/// Crashes and answers that go on, as gateways report them.
#[derive(Debug, Default)]
struct Report {
    crashes: Vec<(RequestKey, IncarnationHash)>,
    survived: Vec<RequestKey>,
}

struct Simulation {
    load: Load,
    rng: StdRng,
    now: u64,
    engines: Vec<Engine>,
    next_incarnation: IncarnationHash,
    control: Suspects,
    /// What every gateway knows of control's list.
    view: Suspects,
    evidence: Vec<PartEvidence>,
    /// Broken requests of which the crash is noticed at a time.
    noticed: BTreeMap<u64, Vec<(Run, IncarnationHash)>>,
    /// Reports that reach all gateways at a time.
    reported: BTreeMap<u64, Report>,
    held_since: BTreeMap<RequestKey, u64>,
    crashes_of: BTreeMap<RequestKey, BTreeSet<IncarnationHash>>,
    last_allowed_crash: BTreeMap<RequestKey, u64>,
    late: BTreeMap<RequestKey, usize>,
    outcome: Outcome,
    /// Requests due, in microseconds of [`MEAN_TIME_US`] each.
    due_us: u64,
}

fn part(id: u64) -> RequestKey {
    RequestKey::of_part(SERVICE, id)
}

/// Returns the part that all requests of a route have.
fn first_part(route: u64) -> RequestKey {
    part(1 + route)
}

fn route_shape(route: u64) -> RouteShape {
    let index = usize::try_from(route).expect("there are three routes");
    ROUTES[index]
}

fn poison_part(number: u64) -> RequestKey {
    part(0xbad0 + number)
}

/// Returns the topic of poison requests that no request had before.
fn new_topic() -> RequestKey {
    part(0xaaaa)
}

fn duration(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Simulates a load.
pub fn simulate(load: Load, seed: u64) -> Outcome {
    let gateways = load.engines.div_ceil(2);
    let mut simulation = Simulation {
        load,
        rng: StdRng::seed_from_u64(seed),
        now: 0,
        engines: (1..=load.engines as u64)
            .map(|incarnation| Engine {
                incarnation,
                ..Engine::default()
            })
            .collect(),
        next_incarnation: load.engines as u64 + 1,
        control: Suspects::default(),
        view: Suspects::default(),
        evidence: (0..gateways).map(|_| PartEvidence::default()).collect(),
        noticed: BTreeMap::new(),
        reported: BTreeMap::new(),
        held_since: BTreeMap::new(),
        crashes_of: BTreeMap::new(),
        last_allowed_crash: BTreeMap::new(),
        late: BTreeMap::new(),
        outcome: Outcome::default(),
        due_us: 0,
    };
    while simulation.now < DURATION_MS {
        simulation.step();
    }
    simulation.outcome
}

impl Simulation {
    fn step(&mut self) {
        self.deliver_reports();
        let noticed = self.noticed.remove(&self.now).unwrap_or_default();
        for (run, incarnation) in noticed {
            self.notice(&run, incarnation);
        }
        for index in 0..self.engines.len() {
            if self.engines[index]
                .crashes_at
                .is_some_and(|at| at <= self.now)
            {
                self.crash_engine(index);
            }
            self.write_answers(index);
        }
        self.send_poison();
        self.send_sound();
        self.now += STEP_MS;
    }

    fn report(
        &mut self,
        crash: Option<(RequestKey, IncarnationHash)>,
        survived: Option<RequestKey>,
    ) {
        let version = self.control.version() + 1;
        self.control
            .record(version, crash.as_slice(), survived.as_slice());
        let at = (self.now + self.load.notice_lag_ms).next_multiple_of(STEP_MS);
        let reports = self.reported.entry(at).or_default();
        reports.crashes.extend(crash);
        reports.survived.extend(survived);
    }

    fn report_sound(&mut self, part: RequestKey) {
        let version = self.control.version() + 1;
        self.control.record_sound(version, &[part]);
        self.view.record_sound(version, &[part]);
    }

    fn deliver_reports(&mut self) {
        let Some(Report { crashes, survived }) = self.reported.remove(&self.now) else {
            return;
        };
        let version = self.view.version() + 1;
        self.view.record(version, &crashes, &survived);
        let now = duration(self.now);
        let (mut cleared, mut sound) = (BTreeSet::new(), BTreeSet::new());
        for (part, _) in crashes {
            for evidence in &mut self.evidence {
                if evidence.record_suspicion(part, now) {
                    cleared.insert(part);
                } else if evidence.was_sound(&part) {
                    sound.insert(part);
                }
            }
        }
        for part in sound {
            self.report_sound(part);
        }
        for part in cleared {
            self.report(None, Some(part));
        }
        let view = &self.view;
        self.held_since.retain(|part, _| view.is_held(part));
        for part in self.view.held() {
            self.held_since.entry(*part).or_insert(self.now);
        }
    }

    /// Lets a gateway weigh a request that a crash broke off.
    fn notice(&mut self, run: &Run, incarnation: IncarnationHash) {
        if run.has_survived {
            return;
        }
        let now = duration(self.now);
        for part in &run.parts {
            if !self.evidence[run.gateway].record_suspicion(*part, now) {
                if self.evidence[run.gateway].was_sound(part) {
                    self.report_sound(*part);
                }
                self.report(Some((*part, incarnation)), None);
            }
        }
    }

    fn crash_engine(&mut self, index: usize) {
        let next = Engine {
            incarnation: self.next_incarnation,
            up_at: self.now + RESTART_MS,
            ..Engine::default()
        };
        self.next_incarnation += 1;
        self.outcome.crashes += 1;
        let ended = std::mem::replace(&mut self.engines[index], next);
        for run in ended.runs {
            // The part is to blame for the crash only if its answer was begun.
            if let Some(poison) = run
                .poison
                .filter(|_| run.begins_at + CRASH_AFTER_MS <= self.now)
            {
                let crashes = self.crashes_of.entry(poison).or_default();
                if crashes.insert(ended.incarnation) && crashes.len() <= ALLOWED_CRASHES {
                    self.last_allowed_crash.insert(poison, self.now);
                }
            }
            let noticed = self.noticed.entry(self.now + NOTICE_MS).or_default();
            noticed.push((run, ended.incarnation));
        }
    }

    fn write_answers(&mut self, index: usize) {
        let now = self.now;
        let mut survived = Vec::new();
        self.engines[index].runs.retain_mut(|run| {
            if run.poison.is_some() || run.begins_at > now {
                return true;
            }
            let is_over = run.ends_at <= now;
            if !run.has_survived && (is_over || now - run.begins_at >= SURVIVAL_MS) {
                run.has_survived = true;
                survived.push(run.clone());
            }
            !is_over
        });
        for run in survived {
            for part in &run.parts {
                let began_at = duration(run.begins_at);
                let clears = self.evidence[run.gateway].record_survival(*part, began_at);
                if clears && self.control.crash_count(part) > 0 {
                    self.report(None, Some(*part));
                }
            }
        }
    }

    fn send_poison(&mut self) {
        let count = match self.load.poison {
            Poison::OwnParts(count) => count,
            Poison::WithNewTopic => 1,
            Poison::FirstPart => return,
        };
        if self.now < POISON_FROM_MS {
            return;
        }
        if self.load.poison == Poison::WithNewTopic
            && self.now.is_multiple_of(NEW_TOPIC_INTERVAL_MS)
        {
            self.send(
                POISON_ROUTE,
                0,
                vec![first_part(POISON_ROUTE), new_topic()],
                None,
            );
        }
        let is_sent = self.rng.random_range(0..self.load.poison_interval_ms) < STEP_MS;
        if is_sent {
            let poison = poison_part(self.rng.random_range(0..count));
            let mut parts = match self.load.poison {
                Poison::WithNewTopic => vec![first_part(POISON_ROUTE), new_topic()],
                _ => self.sound_parts(POISON_ROUTE, 0),
            };
            parts.push(poison);
            self.send(POISON_ROUTE, 0, parts, Some(poison));
        }
    }

    fn send_sound(&mut self) {
        // Requests arrive at the rate at which they end in calm.
        self.due_us += (self.load.engines * self.load.running) as u64 * STEP_MS * 1_000;
        while self.due_us >= MEAN_TIME_US {
            self.due_us -= MEAN_TIME_US;
            let draw = self.rng.random_range(0..100);
            let mut passed = 0;
            let route = ROUTES.iter().position(|route| {
                passed += route.percent;
                draw < passed
            });
            let route = route.unwrap_or_default() as u64;
            let team = self.skewed(TEAMS);
            let parts = self.sound_parts(route, team);
            self.send(route, team, parts, None);
        }
    }

    /// Draws a number below a limit, small ones more often.
    fn skewed(&mut self, limit: u64) -> u64 {
        let draws = [0; 3].map(|_| self.rng.random_range(0..1_000));
        limit * draws.iter().product::<u64>() / 1_000_000_000
    }

    fn sound_parts(&mut self, route: u64, team: u64) -> Vec<RequestKey> {
        let topic = self.skewed(TOPICS);
        vec![
            first_part(route),
            part(0x1_0000 + (route * TEAMS + team) * TOPICS + topic),
        ]
    }

    fn up(&self) -> Vec<usize> {
        let indexes = 0..self.engines.len();
        indexes
            .filter(|index| self.engines[*index].up_at <= self.now)
            .collect()
    }

    fn send(&mut self, route: u64, team: u64, parts: Vec<RequestKey>, poison: Option<RequestKey>) {
        let up = self.up();
        if up.is_empty() {
            return;
        }
        let begins_at = self.now + self.rng.random_range(50..250);
        let has_turned = self.load.poison == Poison::FirstPart
            && route == POISON_ROUTE
            && begins_at >= POISON_FROM_MS;
        let poison = poison.or_else(|| has_turned.then(|| first_part(route)));
        let is_refused = !self.is_let_through(&parts);
        if poison.is_none() {
            self.count_sound(route, team, parts.contains(&new_topic()), is_refused);
        }
        if is_refused {
            return;
        }
        if let Some(poison) = poison {
            let is_spent = self
                .crashes_of
                .get(&poison)
                .is_some_and(|crashes| crashes.len() >= ALLOWED_CRASHES);
            let last = self.last_allowed_crash.get(&poison);
            if is_spent && last.is_some_and(|at| self.now > at + CONTACT_MS) {
                let late = self.late.entry(poison).or_default();
                *late += 1;
                self.outcome.late = self.outcome.late.max(*late);
            }
        }
        let (shortest, longest) = route_shape(route).written_ms;
        let run = Run {
            gateway: self.rng.random_range(0..self.evidence.len()),
            parts,
            poison,
            begins_at,
            ends_at: begins_at + self.rng.random_range(shortest..longest),
            has_survived: false,
        };
        let engine = &mut self.engines[up[self.rng.random_range(0..up.len())]];
        if poison.is_some() {
            let crashes_at = begins_at + CRASH_AFTER_MS;
            engine.crashes_at = Some(
                engine
                    .crashes_at
                    .map_or(crashes_at, |at| at.min(crashes_at)),
            );
        }
        engine.runs.push(run);
    }

    /// Returns whether no part is held, or the only held one is tried now.
    fn is_let_through(&mut self, parts: &[RequestKey]) -> bool {
        let held: Vec<RequestKey> = parts
            .iter()
            .copied()
            .filter(|part| self.view.is_held(part))
            .collect();
        if held.is_empty() {
            return true;
        }
        let may_be_tried = held.iter().all(|part| {
            let since = self.held_since.get(part);
            let is_settled = since.is_some_and(|since| self.now >= since + TRIAL_DELAY_MS);
            is_settled
                && (held.len() == 1 || self.view.was_sound(part))
                && self.view.may_be_tried(part)
        });
        may_be_tried && self.control.grant_trial(&held, self.now)
    }

    fn count_sound(&mut self, route: u64, team: u64, is_on_new_topic: bool, is_refused: bool) {
        self.outcome.all_sound += 1;
        self.outcome.all_refused += usize::from(is_refused);
        let last = self.last_allowed_crash.values().max();
        let is_counted = last.is_some_and(|at| self.now > at + 2 * CONTACT_MS);
        if is_counted && (route == POISON_ROUTE || team == 0) {
            self.outcome.sound += 1;
            self.outcome.sound_refused += usize::from(is_refused);
            self.outcome.on_new_topic += usize::from(is_on_new_topic);
            self.outcome.on_new_topic_refused += usize::from(is_on_new_topic && is_refused);
        }
    }
}
