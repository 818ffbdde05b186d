//! Tests of grant depth and pace on simulated engines of unequal speed that answer late and report nothing.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use hinge_admission::{
    AdmissionQueue, Decision, EngineReport, EngineRequest, Pace, QueueLimits, SlotRequest,
    SlotRequestId,
};
use hinge_cases::cases;

const LIMITS: QueueLimits = QueueLimits {
    max_unread_tokens: 1_000,
    max_running: 128,
    kv_tokens: 385_000,
    max_wait_permille: 700,
};

/// Time from the end of prefill to the first event.
const FIRST_EVENT_MS: u64 = 53;

/// Time from the end of prefill to the end of the answer.
const ANSWER_MS: u64 = 400;

/// Age of the reports.
const REPORT_AGE_MS: u64 = 100;

/// Speeds of engines, in tokens per millisecond.
const SPEEDS: [f64; 3] = [55.0, 92.0, 147.0];

fn ms(time_ms: u64) -> Duration {
    Duration::from_millis(time_ms)
}

/// The behaviour of an engine over time.
#[derive(Clone, Copy)]
struct Behaviour {
    tokens_per_ms: fn(f64, u64) -> f64,
    /// Time from the end of prefill to the first event, by time.
    first_event_ms: fn(u64) -> u64,
    /// Whether reports claim that everything is prefilled.
    lies: bool,
    /// Time in which no news arrives.
    silence_ms: (u64, u64),
    engine_restarts_ms: u64,
    admission_restarts_ms: u64,
}

const STEADY: Behaviour = Behaviour {
    tokens_per_ms: |speed, _| speed,
    first_event_ms: |_| FIRST_EVENT_MS,
    lies: false,
    silence_ms: (0, 0),
    engine_restarts_ms: u64::MAX,
    admission_restarts_ms: u64::MAX,
};

/// An engine with its queue, under more requests than it can serve.
struct Simulation {
    queue: AdmissionQueue,
    queue_created_ms: u64,
    behaviour: Behaviour,
    speed: f64,
    started_unix_ms: u64,
    prefilling: VecDeque<(SlotRequestId, f64)>,
    /// Answers that begin and end, by time.
    events: BTreeMap<u64, Vec<(SlotRequestId, bool)>>,
    now_ms: u64,
    next_id: SlotRequestId,
    /// Milliseconds of each second in which the engine had nothing to prefill while requests waited.
    idle_ms: Vec<u64>,
    /// Work ahead of the engine at each grant, in milliseconds at its true speed, by time.
    ahead_ms: Vec<(u64, f64)>,
}

impl Simulation {
    fn new(speed: f64, behaviour: Behaviour) -> Self {
        Self {
            queue: AdmissionQueue::new(LIMITS),
            queue_created_ms: 0,
            behaviour,
            speed,
            started_unix_ms: 1,
            prefilling: VecDeque::new(),
            events: BTreeMap::new(),
            now_ms: 0,
            next_id: 1,
            idle_ms: Vec::new(),
            ahead_ms: Vec::new(),
        }
    }

    /// Runs an engine for some time under one and a half times its capacity.
    fn run(speed: f64, behaviour: Behaviour, until_ms: u64) -> Self {
        let mut simulation = Self::new(speed, behaviour);
        let mut requested = 0.0;
        while simulation.now_ms < until_ms {
            while requested < 1.5 * speed * to_f64(simulation.now_ms) {
                requested += f64::from(simulation.submit());
            }
            simulation.step();
        }
        simulation
    }

    fn now(&self) -> Duration {
        ms(self.now_ms - self.queue_created_ms)
    }

    fn submit(&mut self) -> u32 {
        let id = self.next_id;
        self.next_id += 1;
        let prompt_tokens =
            [700, 2_300, 9_100, 600, 2_400][usize::try_from(id % 5).expect("small")];
        let request = SlotRequest {
            request_id: id.to_string().into(),
            team: format!("team-{}", id % 7).into(),
            rank: 1,
            prompt_tokens,
            answer_tokens: 50,
            shared_prefix: None,
            budget: ms(400),
            elsewhere_tokens: 0,
            return_key: None,
        };
        self.queue.enqueue(self.now(), id, request);
        prompt_tokens
    }

    fn prompt_tokens(id: SlotRequestId) -> u32 {
        [700, 2_300, 9_100, 600, 2_400][usize::try_from(id % 5).expect("small")]
    }

    fn step(&mut self) {
        self.now_ms += 1;
        if self.now_ms == self.behaviour.admission_restarts_ms {
            self.queue = AdmissionQueue::new(LIMITS);
            self.queue_created_ms = self.now_ms;
        }
        if self.now_ms == self.behaviour.engine_restarts_ms {
            self.started_unix_ms += 1;
            self.prefilling.clear();
            self.events.clear();
        }
        self.prefill();
        self.deliver_events();
        let (from, to) = self.behaviour.silence_ms;
        if self.now_ms.is_multiple_of(25) && !(from..to).contains(&self.now_ms) {
            self.report();
        }
        let speed = (self.behaviour.tokens_per_ms)(self.speed, self.now_ms);
        for decision in self.queue.decide(self.now()) {
            if let Decision::Grant { id, .. } = decision {
                let unread: f64 = self.prefilling.iter().map(|(_, tokens)| tokens).sum();
                self.ahead_ms.push((self.now_ms, unread / speed));
                let tokens = f64::from(Self::prompt_tokens(id));
                self.prefilling.push_back((id, tokens));
            }
        }
    }

    fn prefill(&mut self) {
        let second = usize::try_from(self.now_ms / 1_000).expect("small");
        self.idle_ms.resize(second + 1, 0);
        self.idle_ms[second] += u64::from(self.prefilling.is_empty() && self.queue.has_waiting());
        let mut left = (self.behaviour.tokens_per_ms)(self.speed, self.now_ms);
        while let Some((id, tokens)) = self.prefilling.front_mut() {
            let prefilled = left.min(*tokens);
            *tokens -= prefilled;
            left -= prefilled;
            if *tokens > 0.0 {
                return;
            }
            let id = *id;
            self.prefilling.pop_front();
            let begins_ms = self.now_ms + (self.behaviour.first_event_ms)(self.now_ms);
            self.events.entry(begins_ms).or_default().push((id, true));
            let ends_ms = begins_ms + ANSWER_MS;
            self.events.entry(ends_ms).or_default().push((id, false));
        }
    }

    fn deliver_events(&mut self) {
        let (from, to) = self.behaviour.silence_ms;
        if (from..to).contains(&self.now_ms) {
            return;
        }
        while let Some(entry) = self
            .events
            .first_entry()
            .filter(|entry| *entry.key() <= self.now_ms)
        {
            for (id, begins) in entry.remove() {
                if begins {
                    self.queue.answer_began(self.now(), id);
                } else {
                    self.queue.request_ended(self.now(), id);
                }
            }
        }
    }

    fn report(&mut self) {
        let prefilling = self.prefilling.iter().filter(|_| self.behaviour.lies);
        let requests = prefilling.map(|(id, _)| EngineRequest {
            request_id: id.to_string().into(),
            kv_tokens: Self::prompt_tokens(*id),
            events: 0,
        });
        let report = EngineReport {
            started_unix_ms: Some(self.started_unix_ms),
            // No request counts as missing while any is queued in the engine.
            queued: 1,
            active: u32::from(!self.prefilling.is_empty()),
            requests: requests.collect(),
            ..EngineReport::default()
        };
        if self.now_ms > REPORT_AGE_MS {
            self.queue.apply_report(self.now(), &report);
        }
    }

    fn pace(&self) -> &Pace {
        self.queue.pace()
    }

    /// Returns the idle time, in thousandths, from a second on.
    fn idle_permille(&self, seconds: std::ops::Range<usize>) -> u64 {
        let spans = &self.idle_ms[seconds];
        spans.iter().sum::<u64>() / u64::try_from(spans.len()).expect("few")
    }

    /// Returns the mean work ahead at grants within a span of time.
    fn mean_ahead_ms(&self, from_ms: u64, to_ms: u64) -> f64 {
        let ahead = self.ahead_ms.iter();
        let ahead: Vec<f64> = ahead
            .filter(|(at, _)| (from_ms..to_ms).contains(at))
            .map(|(_, ahead)| *ahead)
            .collect();
        ahead.iter().sum::<f64>() / to_f64(u64::try_from(ahead.len()).expect("few"))
    }

    fn max_ahead_ms(&self, from_ms: u64, to_ms: u64) -> f64 {
        let ahead = self.ahead_ms.iter();
        let ahead = ahead.filter(|(at, _)| (from_ms..to_ms).contains(at));
        ahead.map(|(_, ahead)| *ahead).fold(0.0, f64::max)
    }
}

#[expect(clippy::cast_precision_loss, reason = "times are far below 2^52")]
fn to_f64(value: u64) -> f64 {
    value as f64
}

cases! {
    // Guards against engines that wait for news of one prompt before they get the next, whatever their speed.
    no_engine_idles_while_its_queue_has_work => {
        let runs = SPEEDS.map(|speed| Simulation::run(speed, STEADY, 10_000));
        for run in &runs {
            let idle = run.idle_permille(2..10);
            assert!(idle < 100, "at {}: idle {idle}‰ {:?}", run.speed, run.idle_ms);
            let measured = run.pace().tokens_per_s(run.now()) / 1_000.0;
            assert!((0.8..1.25).contains(&(measured / run.speed)), "at {}: measured {measured}", run.speed);
            let usual = run.pace().usual_tokens_per_s() / 1_000.0;
            assert!((0.8..1.25).contains(&(usual / run.speed)), "at {}: usual {usual}", run.speed);
        }
        let ahead = runs.map(|run| run.mean_ahead_ms(2_000, 10_000));
        let (least, most) = (ahead.iter().copied().fold(f64::MAX, f64::min), ahead.iter().copied().fold(0.0, f64::max));
        assert!(most <= 2.0 * least, "work ahead in ms: {ahead:?}");
    }
    an_engine_with_slow_moments_stays_busy_and_is_not_flooded => {
        let tokens_per_ms = |speed: f64, now_ms: u64| if now_ms % 600 < 150 { speed / 2.5 } else { speed };
        for speed in SPEEDS {
            let run = Simulation::run(speed, Behaviour { tokens_per_ms, ..STEADY }, 10_000);
            let idle = run.idle_permille(2..10);
            assert!(idle < 100, "at {speed}: idle {idle}‰");
            let mean = run.mean_ahead_ms(2_000, 10_000);
            assert!(mean < 150.0, "at {speed}: {mean} ms ahead");
        }
    }
    a_fast_engine_that_turns_slow_under_a_queue_is_granted_less => {
        let tokens_per_ms = |speed: f64, now_ms: u64| if now_ms >= 5_000 { speed / 4.0 } else { speed };
        let run = Simulation::run(147.0, Behaviour { tokens_per_ms, ..STEADY }, 10_000);
        let measured = run.pace().tokens_per_s(run.now()) / 1_000.0;
        assert!((0.7..1.4).contains(&(measured / 36.75)), "{measured}");
        assert!(run.idle_permille(5..10) < 100);
        let mean = run.mean_ahead_ms(7_000, 10_000);
        assert!(mean < 150.0, "{mean} ms ahead");
    }
    an_engine_whose_first_events_come_later_stays_busy => {
        let first_event_ms = |now_ms| if now_ms >= 5_000 { 2 * FIRST_EVENT_MS } else { FIRST_EVENT_MS };
        for speed in SPEEDS {
            let run = Simulation::run(speed, Behaviour { first_event_ms, ..STEADY }, 12_000);
            assert!(run.idle_permille(7..12) < 100, "at {speed}: {:?}", run.idle_ms);
        }
    }
    engines_that_are_all_slow_at_once_stay_equally_busy => {
        let tokens_per_ms = |speed: f64, now_ms: u64| if (5_000..8_000).contains(&now_ms) { speed / 2.5 } else { speed };
        for speed in SPEEDS {
            let run = Simulation::run(speed, Behaviour { tokens_per_ms, ..STEADY }, 10_000);
            assert!(run.idle_permille(2..10) < 100, "at {speed}: {:?}", run.idle_ms);
            let mean = run.mean_ahead_ms(6_000, 8_000);
            assert!(mean < 150.0, "at {speed}: {mean} ms ahead");
        }
    }
    an_engine_that_reports_progress_it_does_not_make_gains_nothing => {
        let honest = Simulation::run(55.0, STEADY, 10_000);
        let liar = Simulation::run(55.0, Behaviour { lies: true, ..STEADY }, 10_000);
        let measured = liar.pace().tokens_per_s(liar.now()) / 1_000.0;
        assert!(measured < 70.0, "{measured}");
        let (honest, liar) = (honest.max_ahead_ms(2_000, 10_000), liar.max_ahead_ms(2_000, 10_000));
        assert!(liar < honest + 350.0, "honest {honest}, liar {liar}");
    }
    a_restarted_engine_is_measured_anew => {
        let run = Simulation::run(92.0, Behaviour { engine_restarts_ms: 5_000, ..STEADY }, 10_000);
        assert!(run.idle_permille(7..10) < 100, "{:?}", run.idle_ms);
    }
    a_restarted_admission_measures_the_engine_anew => {
        let run = Simulation::run(92.0, Behaviour { admission_restarts_ms: 5_000, ..STEADY }, 10_000);
        assert!(run.idle_permille(7..10) < 100, "{:?}", run.idle_ms);
    }
    lost_news_changes_little => {
        let run = Simulation::run(92.0, Behaviour { silence_ms: (5_000, 5_500), ..STEADY }, 10_000);
        assert!(run.idle_permille(6..10) < 100, "{:?}", run.idle_ms);
        let most = run.max_ahead_ms(5_000, 5_500);
        assert!(most < 400.0, "{most} ms ahead");
        let usual = run.pace().usual_tokens_per_s() / 1_000.0;
        assert!((0.8..1.25).contains(&(usual / 92.0)), "{usual}");
    }
    absurd_figures_stay_within_bounds => {
        let mut pace = Pace::new();
        for id in 1..200 {
            let tokens = if id % 2 == 0 { u32::MAX } else { 0 };
            pace.granted(ms(id), id, tokens);
            pace.raise_tokens(id, u32::MAX);
            pace.answered(ms(id), id);
            pace.answered(ms(id), id);
        }
        let rate = pace.tokens_per_s(ms(200));
        assert!((2_000.0..=1_500_000.0).contains(&rate), "{rate}");
        assert!(pace.usual_tokens_per_s() <= 1_000_000.0);
    }
}
