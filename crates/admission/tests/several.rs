//! Replays loads on the queues of several engines, which tell each other late what the teams have used.
//!
//! The load pattern: a team has most of a fleet to itself, and then others ask for more than their shares as well. What it had
//! too much of may be taken back, but in no six seconds may it get less than half of what another hot team gets.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use hinge_admission::{Admission, Ask, AskId, Decision, Rules};
use hinge_cases::cases;

const RULES: Rules = Rules {
    max_unread_tokens: 1_000,
    max_running: 64,
    kv_tokens: 280_000,
    turn_permille: 700,
};

/// Engines of the model.
const ENGINES: usize = 12;

/// Tokens that an engine reads in a millisecond.
const READ_PER_MS: u32 = 40;

/// Time between the end of reading and the end of an answer.
const ANSWER_MS: u64 = 400;

/// Time between two words of what the teams have used.
const TOLD_EVERY_MS: u64 = 500;

/// Time over which the shares of two hot teams are compared.
const WINDOW_MS: u64 = 6_000;

fn ms(time_ms: u64) -> Duration {
    Duration::from_millis(time_ms)
}

/// Describes a team that asks for more than its share, from a moment on.
#[derive(Debug, Clone, Copy)]
struct Hot {
    name: &'static str,
    from_ms: u64,
    /// Time between two asks.
    every_ms: u64,
    prompt_tokens: u32,
}

struct Engine {
    admission: Admission,
    reading: VecDeque<(AskId, u32)>,
    answering: VecDeque<(AskId, u64)>,
    /// What the teams have used here, as it was told last.
    told: BTreeMap<Box<str>, u64>,
}

struct World {
    engines: Vec<Engine>,
    asked: BTreeMap<AskId, Ask>,
    /// Team, time and tokens of each grant.
    grants: Vec<(Box<str>, u64, u32)>,
    now_ms: u64,
    next_id: AskId,
}

impl World {
    fn new() -> Self {
        let engine = || Engine {
            admission: Admission::new(RULES),
            reading: VecDeque::new(),
            answering: VecDeque::new(),
            told: BTreeMap::new(),
        };
        Self {
            engines: std::iter::repeat_with(engine).take(ENGINES).collect(),
            asked: BTreeMap::new(),
            grants: Vec::new(),
            now_ms: 0,
            next_id: 1,
        }
    }

    fn used_elsewhere(&self, team: &str, place: usize) -> u64 {
        let others = self.engines.iter().enumerate();
        let others = others.filter(|(other, _)| *other != place);
        others.filter_map(|(_, engine)| engine.told.get(team)).sum()
    }

    /// Asks at an engine, and at the next one if it refuses, as a gateway does.
    fn ask(&mut self, team: &str, prompt_tokens: u32) {
        let id = self.next_id;
        self.next_id += 1;
        for turn in 0..2 {
            let place = (usize::try_from(id).expect("ids are few") * 7 + turn) % ENGINES;
            let ask = Ask {
                request_id: id.to_string().into(),
                team: team.into(),
                rank: 1,
                prompt_tokens,
                answer_tokens: 50,
                shared: None,
                budget: ms(500),
                elsewhere_tokens: self.used_elsewhere(team, place),
            };
            self.asked.insert(id, ask.clone());
            self.engines[place].admission.ask(ms(self.now_ms), id, ask);
            if !self.decide(place).contains(&id) {
                return;
            }
        }
    }

    /// Decides at an engine, and returns what it refuses.
    fn decide(&mut self, place: usize) -> Vec<AskId> {
        let engine = &mut self.engines[place];
        let mut refused = Vec::new();
        for decision in engine.admission.decide(ms(self.now_ms)) {
            match decision {
                Decision::Grant { id, .. } => {
                    let ask = &self.asked[&id];
                    engine.reading.push_back((id, ask.prompt_tokens));
                    let tokens = ask.prompt_tokens + 2 * ask.answer_tokens;
                    self.grants.push((ask.team.clone(), self.now_ms, tokens));
                }
                Decision::Refuse { id, .. } => refused.push(id),
            }
        }
        refused
    }

    fn step(&mut self) {
        self.now_ms += 1;
        let now = ms(self.now_ms);
        for place in 0..ENGINES {
            let engine = &mut self.engines[place];
            let mut left = READ_PER_MS;
            while let Some((id, tokens)) = engine.reading.front_mut() {
                let read = left.min(*tokens);
                *tokens -= read;
                left -= read;
                if *tokens > 0 {
                    break;
                }
                engine.admission.began(now, *id);
                engine.answering.push_back((*id, self.now_ms + ANSWER_MS));
                engine.reading.pop_front();
            }
            while engine
                .answering
                .front()
                .is_some_and(|(_, end)| *end <= self.now_ms)
            {
                let (id, _) = engine.answering.pop_front().expect("one is there");
                engine.admission.ended(now, id);
            }
            if self.now_ms.is_multiple_of(TOLD_EVERY_MS) {
                let usage = engine.admission.usage();
                #[expect(
                    clippy::cast_possible_truncation,
                    clippy::cast_sign_loss,
                    reason = "a use is no less than nothing, and far below 2^52"
                )]
                let told = usage
                    .teams(now)
                    .map(|(team, tokens)| (team.into(), tokens as u64));
                engine.told = told.collect();
            }
            self.decide(place);
        }
    }

    /// Plays some hot teams, and small ones beside them that use a fifth of the engines.
    fn play(hot: &[Hot], until_ms: u64) -> Self {
        let mut world = Self::new();
        while world.now_ms < until_ms {
            for team in hot {
                let since = world.now_ms.checked_sub(team.from_ms);
                if since.is_some_and(|since| since.is_multiple_of(team.every_ms)) {
                    world.ask(team.name, team.prompt_tokens);
                }
            }
            if world.now_ms.is_multiple_of(20) {
                let team = format!("small-{}", world.now_ms / 20 % 23);
                world.ask(&team, 2_000);
            }
            world.step();
        }
        world
    }

    fn granted(&self, team: &str, from_ms: u64) -> u64 {
        let window = from_ms..from_ms + WINDOW_MS;
        let grants = self.grants.iter();
        let grants = grants.filter(|(of, at, _)| **of == *team && window.contains(at));
        grants.map(|(_, _, tokens)| u64::from(*tokens)).sum()
    }

    /// Checks that in each window no hot team has less than half of the one with the most, but for three requests.
    fn check_shares(&self, hot: &[Hot], from_ms: u64) {
        let largest = hot.iter().map(|team| team.prompt_tokens + 100).max();
        let slack = 3 * u64::from(largest.expect("there are hot teams"));
        for from in (from_ms..=self.now_ms - WINDOW_MS).step_by(250) {
            let tokens = hot
                .iter()
                .map(|team| (team.name, self.granted(team.name, from)));
            let tokens: Vec<(&str, u64)> = tokens.collect();
            let most = tokens
                .iter()
                .map(|(_, tokens)| *tokens)
                .max()
                .unwrap_or_default();
            for (team, granted) in &tokens {
                assert!(
                    granted * 2 + slack * 2 >= most,
                    "{team} from {from} ms: {tokens:?}"
                );
            }
        }
    }
}

fn hot(name: &'static str, from_ms: u64, every_ms: u64, prompt_tokens: u32) -> Hot {
    Hot {
        name,
        from_ms,
        every_ms,
        prompt_tokens,
    }
}

fn shares_hold((teams, until_ms): (&[Hot], u64)) {
    let from_ms = teams.iter().map(|team| team.from_ms).max();
    let world = World::play(teams, until_ms);
    world.check_shares(teams, from_ms.expect("there are hot teams"));
}

cases! { shares_hold:
    a_team_that_was_ahead_of_one_other => (&[hot("first", 0, 5, 4_000), hot("second", 5_000, 9, 5_000)], 18_000),
    a_team_that_was_ahead_of_three_others => (
        &[
            hot("first", 0, 5, 4_000),
            hot("second", 5_000, 9, 4_000),
            hot("third", 5_000, 11, 5_000),
            hot("fourth", 5_200, 12, 3_000),
        ],
        18_000,
    ),
    a_team_with_few_asks_beside_one_with_many => (&[hot("first", 0, 4, 4_000), hot("second", 0, 18, 5_500)], 16_000),
    a_team_that_was_ahead_of_five_others => (
        &[
            hot("first", 0, 5, 4_000),
            hot("second", 5_000, 12, 4_000),
            hot("third", 5_000, 14, 5_000),
            hot("fourth", 5_200, 15, 3_000),
            hot("fifth", 5_200, 12, 3_000),
            hot("sixth", 5_200, 16, 4_500),
        ],
        18_000,
    ),
    teams_that_come_one_after_the_other => (
        &[
            hot("first", 0, 6, 4_000),
            hot("second", 3_000, 8, 4_500),
            hot("third", 6_000, 8, 3_500),
            hot("fourth", 9_000, 8, 4_000),
        ],
        24_000,
    ),
}
