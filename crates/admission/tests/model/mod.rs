//! Models several engines with a queue before each, gateways that ask them, and late word of what the teams have used.
//!
//! Service counts where it begins, as callers see it; what the queues themselves charge is not looked at.

use std::collections::{BTreeMap, VecDeque};
use std::ops::Range;
use std::time::Duration;

use hinge_admission::{Admission, Ask, AskId, Decision, Load, RefusalCause, Report, Rules};
use hinge_routing::{
    Backlog, BacklogLimits, Candidate, ChoiceRules, UsageLag, choose_after_refusal,
    choose_endpoint, load_interval,
};

const RULES: Rules = Rules {
    max_unread_tokens: 1_000,
    max_running: 64,
    kv_tokens: 280_000,
    turn_permille: 700,
};

/// Engines of the model.
pub const ENGINES: usize = 12;

/// Tokens that an engine reads in a millisecond.
const READ_PER_MS: u32 = 40;

/// Tokens of each answer.
const ANSWER_TOKENS: u32 = 50;

/// Time between the end of reading and the end of an answer.
const ANSWER_MS: u64 = 400;

/// Time between two words of what the teams have used.
const TOLD_EVERY_MS: u64 = 500;

/// Time in which an answer has to begin.
const AIM: Duration = Duration::from_millis(500);

/// Time between two questions of how far an engine is.
const REPORT_EVERY_MS: u64 = 100;

/// Time over which the shares of two hot teams are compared.
const WINDOW_MS: u64 = 6_000;

/// Connections that a gateway tries for one request.
const MAX_NOT_SENT: usize = 4;

/// Prompt tokens that make an engine nearly idle.
const IDLE_TOKENS: u32 = 3_000;

fn ms(time_ms: u64) -> Duration {
    Duration::from_millis(time_ms)
}

/// Describes a team that asks for more than its share, from a moment on.
#[derive(Debug, Clone)]
pub struct Hot {
    pub name: &'static str,
    pub from_ms: u64,
    /// Time between two asks.
    pub every_ms: u64,
    pub prompt_tokens: u32,
    /// Engines that keep its shared parts, which are asked first; without any all are asked in turn.
    pub homes: Range<usize>,
}

/// Describes engines that end at a moment, and start again later.
#[derive(Debug, Clone)]
pub struct Outage {
    pub engines: Range<usize>,
    pub at_ms: u64,
    pub until_ms: u64,
    /// Whether their admissions notice that nothing listens; otherwise they take them for silent.
    pub is_noticed: bool,
}

/// Says how soon gateways hear of the engines' loads.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum News {
    /// Each gateway knows them as they are.
    AtOnce,
    /// They are told from time to time; in between each gateway counts its own asks only.
    Late,
}

/// Gateways among which requests are spread.
const GATEWAYS: usize = 7;

/// What gateways know of an engine.
#[derive(Debug, Clone, Copy, Default)]
struct Known {
    load: Load,
    /// Tokens that each gateway has asked a place for since then.
    since: [u32; GATEWAYS],
}

struct Engine {
    admission: Admission,
    born_unix_ms: u64,
    answers: bool,
    /// Whether its admission can tell that it is gone.
    is_noticed: bool,
    reading: VecDeque<(AskId, u32)>,
    answering: VecDeque<(AskId, u64)>,
    /// What the teams have used here, as it was told last.
    told: BTreeMap<Box<str>, u64>,
    known: Known,
}

/// Holds the team, the time in milliseconds and the tokens of one request.
type Served = (Box<str>, u64, u32);

/// Holds a request until it is granted for good, or given up.
#[derive(Debug, Clone)]
struct Request {
    team: Box<str>,
    prompt_tokens: u32,
    came_ms: u64,
    gateway: usize,
    /// Engines that were asked, the last one last.
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

/// Holds the engines and what became of the requests.
pub struct World {
    engines: Vec<Engine>,
    requests: BTreeMap<AskId, Request>,
    /// Team, time and tokens of each request that came, and of each that began.
    requested: Vec<Served>,
    begun: Vec<Served>,
    now_ms: u64,
    next_id: AskId,
    news: News,
}

impl World {
    fn new(news: News) -> Self {
        let engine = || Engine {
            admission: Admission::new(RULES),
            born_unix_ms: 1,
            answers: true,
            is_noticed: false,
            reading: VecDeque::new(),
            answering: VecDeque::new(),
            told: BTreeMap::new(),
            known: Known::default(),
        };
        Self {
            engines: std::iter::repeat_with(engine).take(ENGINES).collect(),
            requests: BTreeMap::new(),
            requested: Vec::new(),
            begun: Vec::new(),
            now_ms: 0,
            next_id: 1,
            news,
        }
    }

    fn used_elsewhere(&self, team: &str, place: usize) -> u64 {
        let others = self.engines.iter().enumerate();
        let others = others.filter(|(other, _)| *other != place);
        others.filter_map(|(_, engine)| engine.told.get(team)).sum()
    }

    /// Takes a request, and asks for it at an engine.
    fn request(&mut self, team: &str, prompt_tokens: u32, homes: &Range<usize>) {
        let id = self.next_id;
        self.next_id += 1;
        let turn = usize::try_from(id).expect("ids are few") * 7;
        let first = match homes.len() {
            0 => turn % ENGINES,
            count => homes.start + turn % count,
        };
        let request = Request {
            team: team.into(),
            prompt_tokens,
            came_ms: self.now_ms,
            // Requests of a team come to the gateways in an uneven order.
            gateway: turn / 3 % GATEWAYS,
            tried: vec![first],
            refused: 0,
            gone: 0,
            not_sent: 0,
        };
        self.requested
            .push((team.into(), self.now_ms, request.tokens()));
        self.requests.insert(id, request);
        self.ask(id, first);
    }

    /// Asks for a request at an engine that was not asked yet, as a gateway does; gives it up where too many were.
    fn ask_elsewhere(&mut self, id: AskId) {
        let request = &self.requests[&id];
        let lag = self.lag(&request.team);
        let may_ask = request.refused < lag.max_admissions()
            && request.gone < MAX_NOT_SENT
            && request.not_sent < MAX_NOT_SENT;
        let next = may_ask.then(|| self.choose(request, lag)).flatten();
        match next {
            Some(place) => {
                let request = self.requests.get_mut(&id).expect("it was just looked at");
                request.tried.push(place);
                self.ask(id, place);
            }
            None => _ = self.requests.remove(&id),
        }
    }

    /// Compares what teams have used at all engines, as gateways are told.
    fn lag(&self, team: &str) -> UsageLag {
        let mut uses: BTreeMap<&str, u64> = BTreeMap::new();
        for (team, tokens) in self.engines.iter().flat_map(|engine| &engine.told) {
            *uses.entry(team).or_default() += tokens;
        }
        let most = uses.values().copied().max().unwrap_or_default();
        UsageLag::compare(uses.get(team).copied().unwrap_or_default(), most)
    }

    /// Chooses an engine for a request that others refused or lost, as a gateway does.
    fn choose(&self, request: &Request, lag: UsageLag) -> Option<usize> {
        let is_gone = |place: &usize| self.engines[*place].admission.load().engine_is_gone;
        let places: Vec<usize> = (0..ENGINES)
            .filter(|place| !request.tried.contains(place) && !is_gone(place))
            .collect();
        let candidates: Vec<Candidate> = places
            .iter()
            .map(|place| self.candidate(*place, request.gateway))
            .collect();
        let rules = ChoiceRules::default();
        let chosen = if request.refused == 0 {
            choose_endpoint(&candidates, None, 0, &rules, 0)
        } else {
            let left = AIM.saturating_sub(ms(self.now_ms - request.came_ms));
            let room = BacklogLimits {
                idle_tokens: IDLE_TOKENS,
                prefillable_tokens: rules.prefillable_tokens(left),
            };
            choose_after_refusal(&candidates, None, 0, &rules, lag, room, 0)
        };
        chosen.map(|chosen| places[chosen])
    }

    fn candidate(&self, place: usize, gateway: usize) -> Candidate {
        let engine = &self.engines[place];
        let (load, since) = match self.news {
            News::AtOnce => (engine.admission.load(), 0),
            News::Late => (engine.known.load, engine.known.since[gateway]),
        };
        Candidate {
            hash: u64::try_from(place).expect("engines are few"),
            running: load.running,
            slots: RULES.max_running,
            backlog: Backlog {
                unread_tokens: load.unread_tokens + since,
                waiting_tokens: load.waiting_tokens,
            },
            is_local: true,
            has_cached_prefix: false,
        }
    }

    fn ask(&mut self, id: AskId, place: usize) {
        let request = &self.requests[&id];
        let waited = ms(self.now_ms - request.came_ms);
        self.engines[place].known.since[request.gateway] += request.prompt_tokens;
        let ask = Ask {
            request_id: id.to_string().into(),
            team: request.team.clone(),
            rank: 1,
            prompt_tokens: request.prompt_tokens,
            answer_tokens: ANSWER_TOKENS,
            shared: None,
            budget: AIM.saturating_sub(waited),
            elsewhere_tokens: self.used_elsewhere(&request.team, place),
        };
        self.engines[place].admission.ask(ms(self.now_ms), id, ask);
        self.decide(place);
    }

    /// Follows what an engine's queue decides.
    fn decide(&mut self, place: usize) {
        let now = ms(self.now_ms);
        for decision in self.engines[place].admission.decide(now) {
            match decision {
                Decision::Grant { id, .. } => self.granted(id, place),
                Decision::Refuse { id, cause, .. } => {
                    let request = self.requests.get_mut(&id).expect("it was asked for");
                    match cause {
                        RefusalCause::Late => request.refused += 1,
                        RefusalCause::EngineGone => request.gone += 1,
                    }
                    self.ask_elsewhere(id);
                }
            }
        }
    }

    fn granted(&mut self, id: AskId, place: usize) {
        let engine = &mut self.engines[place];
        let request = self.requests.get_mut(&id).expect("it was asked for");
        if engine.answers {
            engine.reading.push_back((id, request.prompt_tokens));
            return;
        }
        // No connection: the place is given back.
        request.not_sent += 1;
        engine.admission.ended(ms(self.now_ms), id);
        self.ask_elsewhere(id);
    }

    fn step(&mut self) {
        self.now_ms += 1;
        for place in 0..ENGINES {
            self.read(place);
            self.end_answers(place);
            if self.now_ms.is_multiple_of(REPORT_EVERY_MS) {
                self.report(place);
            }
            self.tell_load(place);
            if self.now_ms.is_multiple_of(TOLD_EVERY_MS) {
                self.tell_use(place);
            }
            self.decide(place);
        }
    }

    fn read(&mut self, place: usize) {
        let engine = &mut self.engines[place];
        let mut left = READ_PER_MS;
        while let Some((id, tokens)) = engine.reading.front_mut() {
            let read = left.min(*tokens);
            *tokens -= read;
            left -= read;
            if *tokens > 0 {
                return;
            }
            engine.admission.began(ms(self.now_ms), *id);
            let request = &self.requests[id];
            let served = (request.team.clone(), self.now_ms, request.tokens());
            self.begun.push(served);
            engine.answering.push_back((*id, self.now_ms + ANSWER_MS));
            engine.reading.pop_front();
        }
    }

    fn end_answers(&mut self, place: usize) {
        let engine = &mut self.engines[place];
        while let Some((id, _)) = engine
            .answering
            .pop_front_if(|(_, end)| *end <= self.now_ms)
        {
            engine.admission.ended(ms(self.now_ms), id);
        }
    }

    fn report(&mut self, place: usize) {
        let engine = &mut self.engines[place];
        if !engine.answers {
            if engine.is_noticed {
                engine.admission.engine_gone();
            } else {
                engine.admission.not_reported();
            }
            return;
        }
        let report = Report {
            born_unix_ms: Some(engine.born_unix_ms),
            // Nobody is taken for missing while something waits in the engine.
            queued: 1,
            ..Report::default()
        };
        engine.admission.reported(ms(self.now_ms), &report);
    }

    /// Tells the load of an engine where it is due; each engine tells it at other moments.
    fn tell_load(&mut self, place: usize) {
        let every = load_interval(ENGINES, true);
        let place_in_turn = u32::try_from(place).expect("engines are few");
        let shift = every * place_in_turn / u32::try_from(ENGINES).expect("engines are few");
        if (ms(self.now_ms) + shift)
            .as_millis()
            .is_multiple_of(every.as_millis())
        {
            let engine = &mut self.engines[place];
            engine.known = Known {
                load: engine.admission.load(),
                since: [0; GATEWAYS],
            };
        }
    }

    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a use is no less than nothing, and far below 2^52"
    )]
    fn tell_use(&mut self, place: usize) {
        let engine = &mut self.engines[place];
        let usage = engine.admission.usage();
        let told = usage
            .teams(ms(self.now_ms))
            .map(|(team, tokens)| (team.into(), tokens as u64));
        engine.told = told.collect();
    }

    /// Ends engines with all that they run, or starts them again.
    fn follow(&mut self, outage: &Outage) {
        for engine in &mut self.engines[outage.engines.clone()] {
            if self.now_ms == outage.at_ms {
                engine.answers = false;
                engine.is_noticed = outage.is_noticed;
                let reading = engine.reading.drain(..).map(|(id, _)| id);
                let running = reading.chain(engine.answering.drain(..).map(|(id, _)| id));
                for id in running {
                    engine.admission.ended(ms(self.now_ms), id);
                }
            } else if self.now_ms == outage.until_ms {
                engine.answers = true;
                engine.born_unix_ms += 1;
            }
        }
    }

    /// Plays some hot teams, and small ones beside them that use a fifth of the engines.
    pub fn play(hot: &[Hot], outages: &[Outage], news: News, until_ms: u64) -> Self {
        let mut world = Self::new(news);
        while world.now_ms < until_ms {
            for outage in outages {
                world.follow(outage);
            }
            for team in hot {
                let since = world.now_ms.checked_sub(team.from_ms);
                if since.is_some_and(|since| since.is_multiple_of(team.every_ms)) {
                    world.request(team.name, team.prompt_tokens, &team.homes);
                }
            }
            if world.now_ms.is_multiple_of(20) {
                let team = format!("small-{}", world.now_ms / 20 % 23);
                world.request(&team, 2_000, &(0..0));
            }
            world.step();
        }
        world
    }

    fn begun_by(&self, team: &str, from_ms: u64) -> u64 {
        sum(&self.begun, team, from_ms, WINDOW_MS)
    }

    /// Checks that in each window each team has half of what it asked for or the best served one had, whichever is less, second by
    /// second, but for three requests.
    pub fn check_owed(&self, teams: &[Hot], from_ms: u64) {
        for from in (from_ms..=self.now_ms - WINDOW_MS).step_by(250) {
            let best = teams
                .iter()
                .max_by_key(|team| self.begun_by(team.name, from))
                .expect("there are teams");
            for team in teams {
                let owed: u64 = (from..from + WINDOW_MS)
                    .step_by(1_000)
                    .map(|second| {
                        let asked = sum(&self.requested, team.name, second, 1_000);
                        asked.min(sum(&self.begun, best.name, second, 1_000))
                    })
                    .sum();
                let slack = 3 * u64::from(team.prompt_tokens + 2 * ANSWER_TOKENS);
                let begun = self.begun_by(team.name, from);
                assert!(
                    (begun + slack) * 2 >= owed,
                    "{} from {from} ms: began {begun} of {owed} beside {}",
                    team.name,
                    best.name
                );
            }
        }
    }

    /// Checks that in each window no hot team has less than half of the one with the most, but for three requests.
    pub fn check_shares(&self, hot: &[Hot], from_ms: u64) {
        let largest = hot.iter().map(|team| team.prompt_tokens + 100).max();
        let slack = 3 * u64::from(largest.expect("there are hot teams"));
        for from in (from_ms..=self.now_ms - WINDOW_MS).step_by(250) {
            let tokens = hot
                .iter()
                .map(|team| (team.name, self.begun_by(team.name, from)));
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

fn sum(served: &[Served], team: &str, from_ms: u64, for_ms: u64) -> u64 {
    let window = from_ms..from_ms + for_ms;
    let served = served
        .iter()
        .filter(|(of, at, _)| **of == *team && window.contains(at));
    served.map(|(_, _, tokens)| u64::from(*tokens)).sum()
}

/// Describes a hot team whose requests are spread over all engines.
pub fn hot(name: &'static str, from_ms: u64, every_ms: u64, prompt_tokens: u32) -> Hot {
    Hot {
        name,
        from_ms,
        every_ms,
        prompt_tokens,
        homes: 0..0,
    }
}
