//! A model of engines with tens of running requests each, and of poison requests that are sent again and
//! again.
//!
//! An engine crashes soon after it has started a poison request, breaks off all its requests, and is back
//! after some seconds. An innocent request is retried alternately by the service at once and by its caller
//! after a second.

use std::collections::{BTreeMap, BTreeSet};

use hinge_routing::{IncarnationHash, RequestKey, Suspects};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const STEP_MS: u64 = 20;
const DURATION_MS: u64 = 40_000;

/// Time until an engine that runs a poison request crashes.
const CRASH_AFTER_MS: u64 = 100;

/// Time until a crashed engine is back.
const RESTART_MS: u64 = 3_000;

/// Time until a caller retries a request that broke off.
const CALLER_RETRY_MS: u64 = 1_000;

/// Time after the third crash in which a poison request may still be sent to engines.
const HOLD_DEADLINE_MS: u64 = 3_000;

/// Requests that may be sent after that.
const MAX_LATE_REQUESTS: usize = 3;

/// A load to simulate.
#[derive(Debug, Clone, Copy)]
pub struct Load {
    pub engines: usize,
    /// Requests running at each engine.
    pub running: usize,
    /// Number of poison requests.
    pub poison: u64,
    /// Average time between two attempts of each poison request.
    pub poison_interval_ms: u64,
    /// Time from a crash or a completion until every gateway knows of it.
    pub notice_lag_ms: u64,
    /// Highest number of runs of one request.
    pub max_runs: u32,
}

/// The outcome of a simulation.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Innocent requests that were at an engine when it crashed.
    pub bystanders: usize,
    /// Those of them that were refused.
    pub bystanders_held: usize,
    /// Poison requests that were sent too often too late.
    pub late: usize,
}

#[derive(Debug)]
struct Run {
    number: u64,
    /// Runs so far.
    runs: u32,
    ends_at: u64,
}

#[derive(Debug, Default)]
struct Engine {
    incarnation: IncarnationHash,
    up_at: u64,
    crashes_at: Option<u64>,
    runs: Vec<Run>,
}

/// The state of a simulation; poison requests have the lowest numbers.
struct Simulation {
    load: Load,
    rng: StdRng,
    now: u64,
    engines: Vec<Engine>,
    next_incarnation: IncarnationHash,
    next_number: u64,
    /// Requests to be sent, by time.
    waiting: BTreeMap<u64, Vec<Run>>,
    suspects: Suspects,
    /// Crashes and completions that are not known yet, by the time at which they will be.
    pending_crashes: BTreeMap<u64, Vec<(RequestKey, IncarnationHash)>>,
    pending_completions: BTreeMap<u64, Vec<RequestKey>>,
    crashes_under: BTreeMap<u64, BTreeSet<IncarnationHash>>,
    third_crash_at: BTreeMap<u64, u64>,
    late: BTreeMap<u64, usize>,
    bystanders: BTreeSet<u64>,
    refused: BTreeSet<u64>,
}

fn key(number: u64) -> RequestKey {
    RequestKey::of("POST", "/", None, &number.to_be_bytes())
}

/// Simulates a load.
pub fn simulate(load: Load, seed: u64) -> Outcome {
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
        next_number: load.poison,
        waiting: BTreeMap::new(),
        suspects: Suspects::default(),
        pending_crashes: BTreeMap::new(),
        pending_completions: BTreeMap::new(),
        crashes_under: BTreeMap::new(),
        third_crash_at: BTreeMap::new(),
        late: BTreeMap::new(),
        bystanders: BTreeSet::new(),
        refused: BTreeSet::new(),
    };
    while simulation.now < DURATION_MS {
        simulation.step();
    }
    let too_late = simulation
        .late
        .values()
        .filter(|count| **count > MAX_LATE_REQUESTS);
    Outcome {
        bystanders: simulation.bystanders.len(),
        bystanders_held: simulation.refused.range(load.poison..).count(),
        late: too_late.count(),
    }
}

impl Simulation {
    fn step(&mut self) {
        self.deliver_notices();
        for index in 0..self.engines.len() {
            if self.engines[index]
                .crashes_at
                .is_some_and(|at| at <= self.now)
            {
                self.crash_engine(index);
            }
            self.complete_runs(index);
        }
        self.send_poison();
        self.send_bystanders();
        let due = self.waiting.remove(&self.now).unwrap_or_default();
        for run in due {
            self.send(run);
        }
        self.now += STEP_MS;
    }

    fn deliver_notices(&mut self) {
        let crashes = self.pending_crashes.remove(&self.now).unwrap_or_default();
        let completions = self
            .pending_completions
            .remove(&self.now)
            .unwrap_or_default();
        let version = self.suspects.version() + 1;
        self.suspects.record(version, &crashes, &completions);
    }

    /// Crashes an engine with all its requests.
    fn crash_engine(&mut self, index: usize) {
        let next = Engine {
            incarnation: self.next_incarnation,
            up_at: self.now + RESTART_MS,
            ..Engine::default()
        };
        self.next_incarnation += 1;
        let ended = std::mem::replace(&mut self.engines[index], next);
        let notice_at = self.now + self.load.notice_lag_ms;
        for run in ended.runs {
            let notices = self.pending_crashes.entry(notice_at).or_default();
            notices.push((key(run.number), ended.incarnation));
            if run.number < self.load.poison {
                let crashes = self.crashes_under.entry(run.number).or_default();
                if crashes.insert(ended.incarnation) && crashes.len() == 3 {
                    self.third_crash_at.insert(run.number, self.now);
                }
                continue;
            }
            self.bystanders.insert(run.number);
            if run.runs < self.load.max_runs {
                let is_caller_retry = run.runs.is_multiple_of(2);
                let wait = if is_caller_retry { CALLER_RETRY_MS } else { 0 };
                self.waiting.entry(self.now + wait).or_default().push(run);
            }
        }
    }

    fn complete_runs(&mut self, index: usize) {
        let (now, notice_at) = (self.now, self.now + self.load.notice_lag_ms);
        let runs = &mut self.engines[index].runs;
        for run in runs.extract_if(.., |run| run.ends_at <= now) {
            let notices = self.pending_completions.entry(notice_at).or_default();
            notices.push(key(run.number));
        }
    }

    fn send_poison(&mut self) {
        for number in 0..self.load.poison {
            let is_sent = self.rng.random_range(0..self.load.poison_interval_ms) < STEP_MS;
            if is_sent {
                let run = Run {
                    number,
                    runs: 0,
                    ends_at: u64::MAX,
                };
                self.waiting.entry(self.now).or_default().push(run);
            }
        }
    }

    fn send_bystanders(&mut self) {
        let running: usize = self.engines.iter().map(|engine| engine.runs.len()).sum();
        for _ in running..self.up().len() * self.load.running {
            let run = Run {
                number: self.next_number,
                runs: 0,
                ends_at: 0,
            };
            self.next_number += 1;
            self.waiting.entry(self.now).or_default().push(run);
        }
    }

    fn up(&self) -> Vec<usize> {
        let indexes = 0..self.engines.len();
        indexes
            .filter(|index| self.engines[*index].up_at <= self.now)
            .collect()
    }

    fn send(&mut self, mut run: Run) {
        if self.suspects.is_held(&key(run.number)) {
            self.refused.insert(run.number);
            return;
        }
        let up = self.up();
        if up.is_empty() {
            return;
        }
        let index = up[self.rng.random_range(0..up.len())];
        if run.number < self.load.poison {
            let third_crash_at = self.third_crash_at.get(&run.number);
            if third_crash_at.is_some_and(|at| self.now > at + HOLD_DEADLINE_MS) {
                *self.late.entry(run.number).or_default() += 1;
            }
            let crashes_at = &mut self.engines[index].crashes_at;
            crashes_at.get_or_insert(self.now + CRASH_AFTER_MS);
        } else {
            run.ends_at = self.now + self.run_time_ms();
        }
        run.runs += 1;
        self.engines[index].runs.push(run);
    }

    /// Returns how long an innocent request runs: a short answer, or a stream of some seconds.
    fn run_time_ms(&mut self) -> u64 {
        if self.rng.random_bool(0.5) {
            self.rng.random_range(200..800)
        } else {
            self.rng.random_range(1_000..5_000)
        }
    }
}
