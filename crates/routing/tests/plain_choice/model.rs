//! Endpoints with slots and a short queue, and gateways that choose by the headers of their own answers.

use std::collections::VecDeque;
use std::time::Duration;

use hinge_routing::{
    Backlog, Candidate, ChoiceRules, PlainOutcome, PlainRequest, PlainSpeed, choose_endpoint,
    choose_plain,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

pub const SLOTS: u32 = 6;
const OBJECTIVE_MS: u32 = 150;
const DEADLINE_MS: u64 = 1_000;
const WORK_MS: f64 = 30.0;

/// Requests that wait at an endpoint before it rejects further ones.
const QUEUE: usize = 24;

/// Time on the way between a gateway and an endpoint.
const LINK_MS: u64 = 2;

/// Share of the time in which work takes longer, and the length of such a span.
const SLOW_SHARE: f64 = 0.15;
const SLOW_SPAN_MS: f64 = 600.0;
pub const SLOW_FACTOR: f64 = 2.5;

/// How gateways choose.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// Fewest requests, by the rules for engines.
    Fewest,
    /// Shortest expected end.
    Plain,
    /// Shortest end, with the true state of all endpoints.
    Perfect,
}

#[derive(Debug, Clone, Copy)]
pub struct Setting {
    pub endpoints: u32,
    pub gateways: usize,
    /// Work that arrives, as a share of all slots.
    pub load: f64,
    /// Share of the answers whose load does not arrive.
    pub lost: f64,
    /// Whether endpoints tell how long work takes there.
    pub tells_moment: bool,
    pub has_moments: bool,
    pub policy: Policy,
    pub seconds: u64,
    pub seed: u64,
}

#[derive(Debug, Clone)]
struct Run {
    gateway: usize,
    arrived_ms: u64,
    sent: PlainRequest,
    left_ms: f64,
    /// Endpoint that has rejected it.
    rejected_by: Option<usize>,
}

#[derive(Debug, Default)]
pub struct Endpoint {
    running: Vec<Run>,
    waiting: VecDeque<Run>,
    is_slow: bool,
    /// Factor by which all work takes longer, which it does not tell.
    pub untold_factor: f64,
    pub is_gone: bool,
    on_the_way: VecDeque<(u64, Run)>,
    pub sent_in_second: Vec<u32>,
    own: Vec<Known>,
}

/// What one gateway knows of an endpoint.
#[derive(Debug, Default)]
struct Known {
    speed: PlainSpeed,
    own_running: u32,
    reported: Option<(u32, u64)>,
    sent_since: i32,
}

impl Endpoint {
    fn factor(&self) -> f64 {
        let moment = if self.is_slow { SLOW_FACTOR } else { 1.0 };
        moment * self.untold_factor
    }

    /// Returns the time until a further request would begin, in milliseconds.
    fn work_ahead_ms(&self) -> f64 {
        let coming = self.on_the_way.iter().map(|(_, run)| run);
        let all = self.running.iter().chain(&self.waiting).chain(coming);
        let left: f64 = all.map(|run| run.left_ms).sum();
        let free = SLOTS as usize > self.running.len() + self.waiting.len() + self.on_the_way.len();
        if free {
            0.0
        } else {
            left * self.factor() / f64::from(SLOTS)
        }
    }
}

/// What was measured.
#[derive(Debug, Default)]
pub struct Outcome {
    pub asked: u32,
    pub in_time: u32,
    pub rejected: u64,
    /// Requests that no endpoint was sent, because none could begin them in time.
    pub refused: u64,
    /// Milliseconds in which an endpoint was idle while another had more than an objective's worth of work ahead.
    pub idle_beside_queue_ms: u64,
}

impl Outcome {
    pub fn share_in_time(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.asked)
    }
}

pub struct Model {
    setting: Setting,
    /// Arrivals and work, the same for every policy.
    rng: StdRng,
    moments: StdRng,
    draws: StdRng,
    pub endpoints: Vec<Endpoint>,
    pub outcome: Outcome,
}

fn ms(time_ms: u64) -> Duration {
    Duration::from_millis(time_ms)
}

impl Model {
    pub fn new(setting: Setting) -> Self {
        let endpoint = |_| Endpoint {
            untold_factor: 1.0,
            own: (0..setting.gateways).map(|_| Known::default()).collect(),
            ..Endpoint::default()
        };
        Self {
            setting,
            rng: StdRng::seed_from_u64(setting.seed),
            moments: StdRng::seed_from_u64(setting.seed + 1_000),
            draws: StdRng::seed_from_u64(setting.seed + 2_000),
            endpoints: (0..setting.endpoints).map(endpoint).collect(),
            outcome: Outcome::default(),
        }
    }

    /// Plays all seconds; `event` changes endpoints at the beginning of each of them.
    pub fn play(mut self, mut event: impl FnMut(u64, &mut [Endpoint])) -> Self {
        let rate =
            self.setting.load * f64::from(self.setting.endpoints) * f64::from(SLOTS) / WORK_MS;
        for now_ms in 0..self.setting.seconds * 1_000 {
            if now_ms % 1_000 == 0 {
                event(now_ms / 1_000, &mut self.endpoints);
                for endpoint in &mut self.endpoints {
                    endpoint.sent_in_second.push(0);
                }
            }
            self.change_moments();
            self.work(now_ms);
            // Arrivals are a Poisson process.
            let mut left = 1.0;
            while left > 0.0 {
                left -= -self.rng.random_range(f64::EPSILON..1.0).ln() / rate;
                if left > 0.0 {
                    let gateway = self.rng.random_range(0..self.setting.gateways);
                    self.outcome.asked += 1;
                    self.send(now_ms, now_ms, gateway, None);
                }
            }
            let ahead = self.endpoints.iter().map(Endpoint::work_ahead_ms);
            let is_queued = ahead.fold(0.0, f64::max) > f64::from(OBJECTIVE_MS);
            let is_idle = |one: &Endpoint| {
                !one.is_gone && one.running.is_empty() && one.on_the_way.is_empty()
            };
            if is_queued && self.endpoints.iter().any(is_idle) {
                self.outcome.idle_beside_queue_ms += 1;
            }
        }
        self
    }

    fn change_moments(&mut self) {
        if !self.setting.has_moments {
            return;
        }
        let usual_span_ms = SLOW_SPAN_MS * (1.0 - SLOW_SHARE) / SLOW_SHARE;
        for endpoint in &mut self.endpoints {
            let span = if endpoint.is_slow {
                SLOW_SPAN_MS
            } else {
                usual_span_ms
            };
            if self.moments.random_bool(1.0 / span) {
                endpoint.is_slow = !endpoint.is_slow;
            }
        }
    }

    fn work(&mut self, now_ms: u64) {
        for index in 0..self.endpoints.len() {
            let endpoint = &mut self.endpoints[index];
            let mut rejected = Vec::new();
            while endpoint
                .on_the_way
                .front()
                .is_some_and(|(at_ms, _)| *at_ms <= now_ms)
            {
                let (_, run) = endpoint.on_the_way.pop_front().expect("there is one");
                if endpoint.waiting.len() < QUEUE {
                    endpoint.waiting.push_back(run);
                } else {
                    rejected.push(run);
                }
            }
            while endpoint.running.len() < SLOTS as usize {
                let Some(run) = endpoint.waiting.pop_front() else {
                    break;
                };
                endpoint.running.push(run);
            }
            let step = 1.0 / endpoint.factor();
            for run in &mut endpoint.running {
                run.left_ms -= step;
            }
            let ended: Vec<Run> = endpoint
                .running
                .extract_if(.., |run| run.left_ms <= 0.0)
                .collect();
            for run in ended {
                let took_ms = now_ms + LINK_MS - run.arrived_ms;
                self.outcome.in_time += u32::from(took_ms <= u64::from(OBJECTIVE_MS));
                self.answer(now_ms, index, &run, false);
            }
            for run in rejected {
                self.answer(now_ms, index, &run, true);
                if run.rejected_by.is_none() {
                    self.send(now_ms, run.arrived_ms, run.gateway, Some(index));
                } else {
                    self.outcome.rejected += 1;
                }
            }
        }
    }

    fn answer(&mut self, now_ms: u64, index: usize, run: &Run, is_rejected: bool) {
        let is_lost = self.draws.random_bool(self.setting.lost);
        let endpoint = &mut self.endpoints[index];
        let reported = u32::try_from(endpoint.running.len() + endpoint.waiting.len()).expect("few");
        let moment = if endpoint.is_slow { 2_500 } else { 1_000 };
        let known = &mut endpoint.own[run.gateway];
        let now = ms(now_ms + LINK_MS);
        known.own_running -= 1;
        known.sent_since -= 1;
        if !is_lost {
            let permille = self.setting.tells_moment.then_some(moment);
            known
                .speed
                .record_load(now, reported, known.own_running, permille);
            known.reported = Some((reported, now_ms));
            known.sent_since = 0;
        }
        known.speed.record_end(run.sent);
        if is_rejected {
            known.speed.record_rejected(now, SLOTS);
        } else {
            known.speed.record_answer(now, run.sent);
        }
    }

    fn send(&mut self, now_ms: u64, arrived_ms: u64, gateway: usize, rejected_by: Option<usize>) {
        let usable: Vec<usize> = (0..self.endpoints.len())
            .filter(|index| !self.endpoints[*index].is_gone && Some(*index) != rejected_by)
            .collect();
        let draw = self.draws.random();
        let Some(chosen) = self.choose(now_ms, arrived_ms, gateway, &usable, draw) else {
            self.outcome.refused += 1;
            return;
        };
        let chosen = usable[chosen];
        let left_ms = WORK_MS * self.rng.random_range(0.7..1.3);
        let endpoint = &mut self.endpoints[chosen];
        *endpoint
            .sent_in_second
            .last_mut()
            .expect("a second has begun") += 1;
        let known = &mut endpoint.own[gateway];
        let sent = known
            .speed
            .record_sent(ms(now_ms), known.own_running, SLOTS);
        known.own_running += 1;
        known.sent_since += 1;
        let run = Run {
            gateway,
            arrived_ms,
            sent,
            left_ms,
            rejected_by,
        };
        endpoint.on_the_way.push_back((now_ms + LINK_MS, run));
    }

    fn choose(
        &self,
        now_ms: u64,
        arrived_ms: u64,
        gateway: usize,
        usable: &[usize],
        draw: u64,
    ) -> Option<usize> {
        let endpoints = usable
            .iter()
            .map(|index| (&self.endpoints[*index], *index as u64 + 1));
        match self.setting.policy {
            Policy::Perfect => {
                let ends = endpoints
                    .enumerate()
                    .map(|(index, (one, _))| (one.work_ahead_ms() + WORK_MS * one.factor(), index));
                let soonest = ends.min_by(|a, b| a.0.total_cmp(&b.0));
                soonest.map(|(_, index)| index)
            }
            Policy::Plain => {
                let candidates: Vec<_> = endpoints
                    .map(|(one, hash)| {
                        let known = &one.own[gateway];
                        let mut candidate =
                            known.speed.candidate(ms(now_ms), known.own_running, SLOTS);
                        candidate.hash = hash;
                        candidate
                    })
                    .collect();
                match choose_plain(
                    &candidates,
                    ms(DEADLINE_MS).saturating_sub(ms(now_ms - arrived_ms)),
                    draw,
                ) {
                    Some(PlainOutcome::Chosen(choice)) => Some(choice.index),
                    Some(PlainOutcome::TooLate { .. }) | None => None,
                }
            }
            Policy::Fewest => {
                let candidates: Vec<_> = endpoints
                    .map(|(one, hash)| {
                        let known = &one.own[gateway];
                        let fresh = known.reported.filter(|(_, at_ms)| now_ms - at_ms < 1_500);
                        let reported = fresh
                            .map_or(0, |(load, _)| load.saturating_add_signed(known.sent_since));
                        Candidate {
                            hash,
                            running: reported.max(known.own_running),
                            slots: SLOTS,
                            backlog: Backlog::default(),
                            pace: None,
                            is_local: true,
                            has_cached_prefix: false,
                            is_warming_up: false,
                        }
                    })
                    .collect();
                choose_endpoint(&candidates, None, 0, &ChoiceRules::default(), draw)
            }
        }
    }
}
