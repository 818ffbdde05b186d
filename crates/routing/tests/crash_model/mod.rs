//! Models engines with tens of running requests each, and fatal requests that come back again and again.
//!
//! An engine ends soon after it has begun to run a fatal request, takes all its requests with it, and is back after some seconds.
//! An innocent request is repeated at once by the service, and after a second by its caller, in turn.

use std::collections::{BTreeMap, BTreeSet};

use hinge_routing::{IncarnationHash, RequestKey, Suspects};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const STEP_MS: u64 = 20;
const PLAY_MS: u64 = 40_000;

/// Time until an engine that runs a fatal request ends.
const FATAL_AFTER_MS: u64 = 100;

/// Time until an engine that has ended is back.
const RESTART_MS: u64 = 3_000;

/// Time until a caller comes back whose request broke off.
const CALLER_AFTER_MS: u64 = 1_000;

/// Time after the third end in which a fatal request may still be sent to engines.
const CONTACT_MS: u64 = 3_000;

/// Retries that may be sent after that.
const LATE_RETRIES: usize = 3;

/// Describes a load.
#[derive(Debug, Clone, Copy)]
pub struct Load {
    pub engines: usize,
    /// Requests that run at each engine.
    pub running: usize,
    /// Fatal requests.
    pub fatal: u64,
    /// Time between two visits of each fatal request.
    pub visit_ms: u64,
    /// Time from an end or a completion until every gateway knows of it.
    pub lag_ms: u64,
    /// Runs that a request has at most.
    pub most_runs: u32,
}

/// Counts what came of a play.
#[derive(Debug, Default)]
pub struct Played {
    /// Innocent requests that were at an engine when it ended.
    pub in_company: usize,
    /// Those of them that were turned away.
    pub innocent_held: usize,
    /// Fatal requests that were sent too often too late.
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
    start: IncarnationHash,
    is_back_at: u64,
    dies_at: Option<u64>,
    runs: Vec<Run>,
}

/// Holds one moment of a play; fatal requests have the lowest numbers.
struct World {
    load: Load,
    draws: StdRng,
    now: u64,
    engines: Vec<Engine>,
    next_start: IncarnationHash,
    next_number: u64,
    /// Requests that wait to be sent, by time.
    waiting: BTreeMap<u64, Vec<Run>>,
    suspects: Suspects,
    /// Ends and completions that are not known yet, by the time at which they are.
    ends: BTreeMap<u64, Vec<(RequestKey, IncarnationHash)>>,
    completed: BTreeMap<u64, Vec<RequestKey>>,
    ended_under: BTreeMap<u64, BTreeSet<IncarnationHash>>,
    third_end_at: BTreeMap<u64, u64>,
    late: BTreeMap<u64, usize>,
    in_company: BTreeSet<u64>,
    turned_away: BTreeSet<u64>,
}

fn key(number: u64) -> RequestKey {
    RequestKey::of("POST", "/", None, &number.to_be_bytes())
}

/// Plays a load.
pub fn play(load: Load, seed: u64) -> Played {
    let mut world = World {
        load,
        draws: StdRng::seed_from_u64(seed),
        now: 0,
        engines: (1..=load.engines as u64)
            .map(|start| Engine {
                start,
                ..Engine::default()
            })
            .collect(),
        next_start: load.engines as u64 + 1,
        next_number: load.fatal,
        waiting: BTreeMap::new(),
        suspects: Suspects::default(),
        ends: BTreeMap::new(),
        completed: BTreeMap::new(),
        ended_under: BTreeMap::new(),
        third_end_at: BTreeMap::new(),
        late: BTreeMap::new(),
        in_company: BTreeSet::new(),
        turned_away: BTreeSet::new(),
    };
    while world.now < PLAY_MS {
        world.step();
    }
    let too_late = world.late.values().filter(|count| **count > LATE_RETRIES);
    Played {
        in_company: world.in_company.len(),
        innocent_held: world.turned_away.range(load.fatal..).count(),
        late: too_late.count(),
    }
}

impl World {
    fn step(&mut self) {
        self.hear();
        for place in 0..self.engines.len() {
            if self.engines[place].dies_at.is_some_and(|at| at <= self.now) {
                self.end(place);
            }
            self.complete(place);
        }
        self.bring_fatal();
        self.bring_innocent();
        let due = self.waiting.remove(&self.now).unwrap_or_default();
        for run in due {
            self.send(run);
        }
        self.now += STEP_MS;
    }

    fn hear(&mut self) {
        let ends = self.ends.remove(&self.now).unwrap_or_default();
        let completed = self.completed.remove(&self.now).unwrap_or_default();
        let version = self.suspects.version() + 1;
        self.suspects.record(version, &ends, &completed);
    }

    /// Ends an engine with all its requests.
    fn end(&mut self, place: usize) {
        let next = Engine {
            start: self.next_start,
            is_back_at: self.now + RESTART_MS,
            ..Engine::default()
        };
        self.next_start += 1;
        let ended = std::mem::replace(&mut self.engines[place], next);
        let known_at = self.now + self.load.lag_ms;
        for run in ended.runs {
            let known = self.ends.entry(known_at).or_default();
            known.push((key(run.number), ended.start));
            if run.number < self.load.fatal {
                let ends = self.ended_under.entry(run.number).or_default();
                if ends.insert(ended.start) && ends.len() == 3 {
                    self.third_end_at.insert(run.number, self.now);
                }
                continue;
            }
            self.in_company.insert(run.number);
            if run.runs < self.load.most_runs {
                let is_callers = run.runs.is_multiple_of(2);
                let wait = if is_callers { CALLER_AFTER_MS } else { 0 };
                self.waiting.entry(self.now + wait).or_default().push(run);
            }
        }
    }

    fn complete(&mut self, place: usize) {
        let (now, known_at) = (self.now, self.now + self.load.lag_ms);
        let runs = &mut self.engines[place].runs;
        for run in runs.extract_if(.., |run| run.ends_at <= now) {
            let known = self.completed.entry(known_at).or_default();
            known.push(key(run.number));
        }
    }

    fn bring_fatal(&mut self) {
        for number in 0..self.load.fatal {
            let comes = self.draws.random_range(0..self.load.visit_ms) < STEP_MS;
            if comes {
                let run = Run {
                    number,
                    runs: 0,
                    ends_at: u64::MAX,
                };
                self.waiting.entry(self.now).or_default().push(run);
            }
        }
    }

    fn bring_innocent(&mut self) {
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
        let places = 0..self.engines.len();
        places
            .filter(|place| self.engines[*place].is_back_at <= self.now)
            .collect()
    }

    fn send(&mut self, mut run: Run) {
        if self.suspects.is_held(&key(run.number)) {
            self.turned_away.insert(run.number);
            return;
        }
        let up = self.up();
        if up.is_empty() {
            return;
        }
        let place = up[self.draws.random_range(0..up.len())];
        if run.number < self.load.fatal {
            let third_end_at = self.third_end_at.get(&run.number);
            if third_end_at.is_some_and(|at| self.now > at + CONTACT_MS) {
                *self.late.entry(run.number).or_default() += 1;
            }
            let dies_at = &mut self.engines[place].dies_at;
            dies_at.get_or_insert(self.now + FATAL_AFTER_MS);
        } else {
            run.ends_at = self.now + self.length_ms();
        }
        run.runs += 1;
        self.engines[place].runs.push(run);
    }

    /// Returns for how long an innocent request runs: a short answer, or a stream of seconds.
    fn length_ms(&mut self) -> u64 {
        if self.draws.random_bool(0.5) {
            self.draws.random_range(200..800)
        } else {
            self.draws.random_range(1_000..5_000)
        }
    }
}
