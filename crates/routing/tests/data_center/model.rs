//! Models the gateways of one data centre with unequal processors, and the balancer before them.
//!
//! The balancer gives every caller the gateways in an order of its own, and a new connection the first of them in rotation. It asks
//! each gateway once a second whether it is ready, and takes one out after two refusals. Engines have room for everything.

use std::collections::{BTreeMap, VecDeque};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use hinge_routing::{OverloadControl, OverloadRules, PeerGateways};

/// Processor time of a small gateway and of a large one in a millisecond, in microseconds.
pub const SMALL_US_PER_MS: u64 = 90;
pub const LARGE_US_PER_MS: u64 = 320;

/// Processor time of a request that is served, in its beginning and in each step of its stream; and of one that is refused.
const BEGIN_US: u64 = 340;
const STEP_US: u64 = 4;
const REFUSE_US: u64 = 100;

/// The same of one that is handed off, beside the steps of its stream.
const HAND_OFF_US: u64 = 100;

/// Gateways that are asked to take one request, and the time for which one that has no room is left out.
const MOST_ASKED: usize = 2;
const NO_ROOM_REST: Duration = Duration::from_millis(200);

/// Duration of a stream, and the time between two of its steps.
const STREAM_MS: u64 = 800;
const STEP_MS: u64 = 32;

/// Time between two looks of a gateway at its lag.
const TICK_MS: u64 = 40;

/// Connections that wait to be accepted at most, and that are looked at before other tasks go on.
const MOST_ARRIVED: usize = 1_024;
const LOOKED_AT_ONCE: usize = 100;

/// Time after which a caller tries again what was refused, and how often it does.
const RETRY_MS: u64 = 110;
const RETRIES: u32 = 1;

/// Time between two questions of the balancer, and refusals in a row that take a gateway out.
const ASK_READY_MS: u64 = 1_000;
const MISSES: u32 = 2;

/// Time over which the shares of two teams are compared.
const WINDOW_MS: u64 = 6_000;

/// Seed of the drawn orders.
const SEED: u64 = 0x9e37_79b9_7f4a_7c15;

/// Draws numbers (xorshift).
#[derive(Debug)]
struct Draw(u64);

impl Draw {
    fn next(&mut self) -> usize {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        usize::try_from(self.0 >> 33).expect("31 bits")
    }
}

/// Returns the address that stands for a gateway.
fn address_of(place: usize) -> SocketAddr {
    let port = u16::try_from(place).expect("gateways are few");
    (Ipv4Addr::LOCALHOST, port).into()
}

/// Describes a team whose callers ask at an even pace, from a moment on.
#[derive(Debug, Clone, Copy)]
pub struct Team {
    pub name: &'static str,
    pub from_ms: u64,
    pub requests_per_s: u64,
    /// Callers, each with an order of gateways of its own.
    pub callers: usize,
}

#[derive(Debug, Clone, Copy)]
struct Request {
    team: usize,
    caller: usize,
    tries: u32,
}

#[derive(Debug)]
struct Stream {
    team: usize,
    ends_ms: u64,
}

#[derive(Debug)]
struct Gateway {
    overload: OverloadControl,
    us_per_ms: u64,
    /// Processor time that is owed to what has begun.
    owed_us: u64,
    arrived: VecDeque<Request>,
    streams: VecDeque<Stream>,
    nearby: PeerGateways,
    /// When requests end that were handed off, and the gateways that have them.
    handed_off: VecDeque<(u64, SocketAddr)>,
    is_in_rotation: bool,
    misses: u32,
}

impl Gateway {
    fn new(us_per_ms: u64) -> Self {
        Self {
            overload: OverloadControl::new(OverloadRules::default()),
            us_per_ms,
            owed_us: 0,
            arrived: VecDeque::new(),
            streams: VecDeque::new(),
            nearby: PeerGateways::default(),
            handed_off: VecDeque::new(),
            is_in_rotation: true,
            misses: 0,
        }
    }

    /// Takes a connection with a request, unless nobody listens.
    fn connect(&mut self, request: Request) -> bool {
        if self.overload.refuses_connections() || self.arrived.len() == MOST_ARRIVED {
            return false;
        }
        self.overload.record_connection();
        self.arrived.push_back(request);
        true
    }

    fn lag_ms(&self) -> u64 {
        let looked_at = self.arrived.len().min(LOOKED_AT_ONCE) as u64;
        (self.owed_us + looked_at * REFUSE_US) / self.us_per_ms
    }

    fn ask_ready(&mut self) {
        self.misses = if self.overload.is_full() {
            self.misses + 1
        } else {
            0
        };
        self.is_in_rotation = self.misses < MISSES;
    }
}

/// Holds the gateways, and what became of the teams' requests.
pub struct DataCenter {
    teams: Vec<Team>,
    gateways: Vec<Gateway>,
    /// Order of the gateways for each team's callers.
    orders: Vec<Vec<Vec<usize>>>,
    retries: BTreeMap<u64, Vec<Request>>,
    draw: Draw,
    /// Requests that came, retries among them, and that began, by team and second.
    asked: Vec<BTreeMap<u64, u64>>,
    begun: Vec<BTreeMap<u64, u64>>,
    now_ms: u64,
}

impl DataCenter {
    /// Creates gateways with so much processor time each, and teams before them.
    pub fn new(us_per_ms: &[u64], teams: &[Team]) -> Self {
        let mut draw = Draw(SEED);
        let mut order = || {
            let mut order: Vec<usize> = (0..us_per_ms.len()).collect();
            for place in (1..order.len()).rev() {
                order.swap(place, draw.next() % (place + 1));
            }
            order
        };
        let orders = teams
            .iter()
            .map(|team| (0..team.callers).map(|_| order()).collect());
        let orders = orders.collect();
        let mut gateways: Vec<Gateway> = us_per_ms.iter().map(|us| Gateway::new(*us)).collect();
        for (place, gateway) in gateways.iter_mut().enumerate() {
            let others = (0..us_per_ms.len()).filter(|other| *other != place);
            let others: Vec<SocketAddr> = others.map(address_of).collect();
            gateway.nearby.record_listed(Duration::ZERO, &others);
        }
        Self {
            orders,
            gateways,
            draw,
            asked: vec![BTreeMap::new(); teams.len()],
            begun: vec![BTreeMap::new(); teams.len()],
            teams: teams.to_vec(),
            retries: BTreeMap::new(),
            now_ms: 0,
        }
    }

    /// Plays until a moment.
    pub fn play(&mut self, until_ms: u64) {
        while self.now_ms < until_ms {
            self.now_ms += 1;
            self.arrive();
            for place in 0..self.gateways.len() {
                self.work(place);
            }
        }
    }

    fn arrive(&mut self) {
        for team in 0..self.teams.len() {
            let described = self.teams[team];
            let Some(since) = self.now_ms.checked_sub(described.from_ms) else {
                continue;
            };
            let by_now = since * described.requests_per_s / 1_000;
            let before = since.saturating_sub(1) * described.requests_per_s / 1_000;
            for number in before..by_now {
                let number = usize::try_from(number).expect("requests are few");
                let caller = number % described.callers;
                self.ask(Request {
                    team,
                    caller,
                    tries: 0,
                });
            }
        }
        for request in self.retries.remove(&self.now_ms).unwrap_or_default() {
            self.ask(request);
        }
    }

    fn ask(&mut self, request: Request) {
        *self.asked[request.team]
            .entry(self.now_ms / 1_000)
            .or_default() += 1;
        let order = &self.orders[request.team][request.caller];
        let in_rotation = |place: &&usize| self.gateways[**place].is_in_rotation;
        let place = order.iter().find(in_rotation).unwrap_or(&order[0]);
        if !self.gateways[*place].connect(request) {
            self.retry(request);
        }
    }

    fn retry(&mut self, request: Request) {
        if request.tries < RETRIES {
            let tries = request.tries + 1;
            let at = self.now_ms + RETRY_MS;
            let request = Request { tries, ..request };
            self.retries.entry(at).or_default().push(request);
        }
    }

    /// Lets a gateway do what a millisecond of its processor allows.
    fn work(&mut self, place: usize) {
        self.end_streams(place);
        let gateway = &mut self.gateways[place];
        let streams = gateway.streams.iter().map(|stream| stream.ends_ms);
        let handed_off = gateway.handed_off.iter().map(|(ends_ms, _)| *ends_ms);
        let passed_on = streams.chain(handed_off);
        let steps = passed_on.filter(|ends_ms| (ends_ms - self.now_ms).is_multiple_of(STEP_MS));
        gateway.owed_us += steps.count() as u64 * STEP_US;
        while self.gateways[place].owed_us < self.gateways[place].us_per_ms {
            let Some(request) = self.gateways[place].arrived.pop_front() else {
                break;
            };
            self.decide(place, request);
        }
        let now = Duration::from_millis(self.now_ms);
        let gateway = &mut self.gateways[place];
        gateway.owed_us = gateway.owed_us.saturating_sub(gateway.us_per_ms);
        if self.now_ms.is_multiple_of(TICK_MS) {
            let lag = Duration::from_millis(gateway.lag_ms());
            gateway.overload.record_tick(now, lag);
        }
        if self.now_ms.is_multiple_of(ASK_READY_MS) {
            gateway.ask_ready();
        }
    }

    fn end_streams(&mut self, place: usize) {
        let gateway = &mut self.gateways[place];
        while let Some(stream) = gateway
            .streams
            .pop_front_if(|stream| stream.ends_ms <= self.now_ms)
        {
            gateway.overload.request_ended(self.teams[stream.team].name);
        }
        while let Some((_, address)) = gateway
            .handed_off
            .pop_front_if(|(ends_ms, _)| *ends_ms <= self.now_ms)
        {
            gateway.nearby.request_ended(address);
        }
    }

    fn decide(&mut self, place: usize, request: Request) {
        let team = self.teams[request.team].name;
        let Err(overloaded) = self.gateways[place].overload.try_begin(team) else {
            self.begin(place, request);
            return;
        };
        if self.hand_off(place, request) {
            let gateway = &mut self.gateways[place];
            gateway.overload.record_handoff();
            gateway.owed_us += HAND_OFF_US;
            return;
        }
        let gateway = &mut self.gateways[place];
        gateway.overload.record_refusal(&overloaded);
        gateway.owed_us += REFUSE_US;
        self.retry(request);
    }

    /// Hands a request off, and returns whether another gateway takes it.
    fn hand_off(&mut self, place: usize, request: Request) -> bool {
        let now = Duration::from_millis(self.now_ms);
        let team = self.teams[request.team].name;
        let mut asked = Vec::new();
        while asked.len() < MOST_ASKED {
            let draw = &mut self.draw;
            let nearby = &mut self.gateways[place].nearby;
            let Some(address) = nearby.choose(now, &asked, || draw.next()) else {
                return false;
            };
            asked.push(address);
            let other = usize::from(address.port());
            if self.gateways[other].overload.try_take_over(team) {
                self.begin(other, request);
                let ends_ms = self.now_ms + STREAM_MS;
                let handed_off = &mut self.gateways[place].handed_off;
                handed_off.push_back((ends_ms, address));
                return true;
            }
            self.gateways[other].owed_us += REFUSE_US;
            let gateway = &mut self.gateways[place];
            gateway.nearby.request_ended(address);
            gateway.nearby.suspend(now, address, NO_ROOM_REST);
            gateway.owed_us += HAND_OFF_US;
        }
        false
    }

    fn begin(&mut self, place: usize, request: Request) {
        let gateway = &mut self.gateways[place];
        gateway.owed_us += BEGIN_US;
        gateway.streams.push_back(Stream {
            team: request.team,
            ends_ms: self.now_ms + STREAM_MS,
        });
        *self.begun[request.team]
            .entry(self.now_ms / 1_000)
            .or_default() += 1;
    }

    fn begun_by(&self, team: usize, from_s: u64) -> u64 {
        sum(&self.begun[team], from_s)
    }

    /// Checks that in each window each team has half of what it asked for or the best served one had, whichever is less, second by
    /// second.
    pub fn check_owed(&self, from_s: u64) {
        let windows = from_s..=(self.now_ms - WINDOW_MS) / 1_000;
        for from in windows {
            let teams = 0..self.teams.len();
            let best = teams.clone().max_by_key(|team| self.begun_by(*team, from));
            let best = best.expect("there are teams");
            for team in teams {
                let seconds = from..from + WINDOW_MS / 1_000;
                let owed: u64 = seconds
                    .map(|second| at(&self.asked[team], second).min(at(&self.begun[best], second)))
                    .sum();
                let begun = self.begun_by(team, from);
                let (name, best) = (self.teams[team].name, self.teams[best].name);
                assert!(
                    begun * 2 >= owed,
                    "{name} from {from} s: began {begun} of {owed} beside {best}"
                );
            }
        }
    }
}

fn at(seconds: &BTreeMap<u64, u64>, second: u64) -> u64 {
    seconds.get(&second).copied().unwrap_or_default()
}

fn sum(seconds: &BTreeMap<u64, u64>, from_s: u64) -> u64 {
    let window = from_s..from_s + WINDOW_MS / 1_000;
    seconds.range(window).map(|(_, count)| count).sum()
}
