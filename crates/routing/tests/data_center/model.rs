//! A model of the gateways of one data centre with unequal processors, and of the load balancer before them.
//!
//! The load balancer orders the gateways differently for every caller, and gives a new connection to the
//! first one in rotation. It probes the readiness of each gateway once a second, and takes one out of
//! rotation after two failed probes. Engines have capacity for everything.

use std::collections::{BTreeMap, VecDeque};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use hinge_routing::{OverloadControl, OverloadRules, PeerGateways};

/// Processor time of a small and of a large gateway per millisecond, in microseconds.
pub const SMALL_US_PER_MS: u64 = 90;
pub const LARGE_US_PER_MS: u64 = 320;

/// Processor time of a request that is served, for its start and for each step of its stream, and of one that
/// is refused.
const START_US: u64 = 340;
const STEP_US: u64 = 4;
const REFUSE_US: u64 = 100;

/// Processor time of a request that is handed off, beside the steps of its stream.
const HAND_OFF_US: u64 = 100;

/// Peers that are tried for one request, and the time for which one without capacity is suspended.
const MAX_TRIED_PEERS: usize = 2;
const NO_CAPACITY_SUSPENSION: Duration = Duration::from_millis(200);

/// Duration of a stream, and the time between two of its steps.
const STREAM_MS: u64 = 800;
const STEP_MS: u64 = 32;

/// Time between two measurements of a gateway's lag.
const TICK_MS: u64 = 40;

/// Highest number of connections that wait to be accepted, and of those processed before other tasks run.
const MAX_BACKLOG: usize = 1_024;
const ACCEPTED_AT_ONCE: usize = 100;

/// Time after which a caller retries a refused request, and how often it does.
const RETRY_MS: u64 = 110;
const RETRIES: u32 = 1;

/// Time between two probes of the load balancer, and the consecutive failed probes that take a gateway out of
/// rotation.
const PROBE_MS: u64 = 1_000;
const MAX_FAILED_PROBES: u32 = 2;

/// Window in which the shares of two teams are compared.
const WINDOW_MS: u64 = 6_000;

/// Seed of the random orders.
const SEED: u64 = 0x9e37_79b9_7f4a_7c15;

/// A random number generator (xorshift).
#[derive(Debug)]
struct Rng(u64);

impl Rng {
    fn next(&mut self) -> usize {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        usize::try_from(self.0 >> 33).expect("31 bits")
    }
}

/// Returns the address that identifies a gateway.
fn address_of(index: usize) -> SocketAddr {
    let port = u16::try_from(index).expect("gateways are few");
    (Ipv4Addr::LOCALHOST, port).into()
}

/// A team whose callers send requests at an even rate from a point in time on.
#[derive(Debug, Clone, Copy)]
pub struct Team {
    pub name: &'static str,
    pub start_ms: u64,
    pub requests_per_s: u64,
    /// Callers, each with its own order of the gateways.
    pub callers: usize,
}

#[derive(Debug, Clone, Copy)]
struct Request {
    team: usize,
    caller: usize,
    attempts: u32,
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
    /// Processor time that started work still needs.
    pending_us: u64,
    backlog: VecDeque<Request>,
    streams: VecDeque<Stream>,
    peers: PeerGateways,
    /// Handed-off requests: when they end, and the peers that serve them.
    handed_off: VecDeque<(u64, SocketAddr)>,
    is_in_rotation: bool,
    failed_probes: u32,
}

impl Gateway {
    fn new(us_per_ms: u64) -> Self {
        Self {
            overload: OverloadControl::new(OverloadRules::default()),
            us_per_ms,
            pending_us: 0,
            backlog: VecDeque::new(),
            streams: VecDeque::new(),
            peers: PeerGateways::default(),
            handed_off: VecDeque::new(),
            is_in_rotation: true,
            failed_probes: 0,
        }
    }

    /// Accepts a connection with a request, unless the listener is closed.
    fn connect(&mut self, request: Request) -> bool {
        if self.overload.refuses_connections() || self.backlog.len() == MAX_BACKLOG {
            return false;
        }
        self.overload.record_connection();
        self.backlog.push_back(request);
        true
    }

    fn lag_ms(&self) -> u64 {
        let examined = self.backlog.len().min(ACCEPTED_AT_ONCE) as u64;
        (self.pending_us + examined * REFUSE_US) / self.us_per_ms
    }

    fn probe(&mut self) {
        self.failed_probes = if self.overload.is_full() {
            self.failed_probes + 1
        } else {
            0
        };
        self.is_in_rotation = self.failed_probes < MAX_FAILED_PROBES;
    }
}

/// The gateways, and the outcome of the teams' requests.
pub struct DataCenter {
    teams: Vec<Team>,
    gateways: Vec<Gateway>,
    /// Order of the gateways for each caller of each team.
    orders: Vec<Vec<Vec<usize>>>,
    retries: BTreeMap<u64, Vec<Request>>,
    rng: Rng,
    /// Requests sent, including retries, and requests started, by team and second.
    requested: Vec<BTreeMap<u64, u64>>,
    begun: Vec<BTreeMap<u64, u64>>,
    now_ms: u64,
}

impl DataCenter {
    /// Creates gateways with the given processor time each, and the teams that use them.
    pub fn new(us_per_ms: &[u64], teams: &[Team]) -> Self {
        let mut rng = Rng(SEED);
        let mut order = || {
            let mut order: Vec<usize> = (0..us_per_ms.len()).collect();
            for index in (1..order.len()).rev() {
                order.swap(index, rng.next() % (index + 1));
            }
            order
        };
        let orders = teams
            .iter()
            .map(|team| (0..team.callers).map(|_| order()).collect());
        let orders = orders.collect();
        let mut gateways: Vec<Gateway> = us_per_ms.iter().map(|us| Gateway::new(*us)).collect();
        for (index, gateway) in gateways.iter_mut().enumerate() {
            let others = (0..us_per_ms.len()).filter(|other| *other != index);
            let others: Vec<SocketAddr> = others.map(address_of).collect();
            gateway.peers.record_listed(Duration::ZERO, &others);
        }
        Self {
            orders,
            gateways,
            rng,
            requested: vec![BTreeMap::new(); teams.len()],
            begun: vec![BTreeMap::new(); teams.len()],
            teams: teams.to_vec(),
            retries: BTreeMap::new(),
            now_ms: 0,
        }
    }

    /// Runs until a point in time.
    pub fn run(&mut self, until_ms: u64) {
        while self.now_ms < until_ms {
            self.now_ms += 1;
            self.send_requests();
            for index in 0..self.gateways.len() {
                self.run_gateway(index);
            }
        }
    }

    fn send_requests(&mut self) {
        for team in 0..self.teams.len() {
            let config = self.teams[team];
            let Some(since) = self.now_ms.checked_sub(config.start_ms) else {
                continue;
            };
            let by_now = since * config.requests_per_s / 1_000;
            let before = since.saturating_sub(1) * config.requests_per_s / 1_000;
            for number in before..by_now {
                let number = usize::try_from(number).expect("requests are few");
                let caller = number % config.callers;
                self.send(Request {
                    team,
                    caller,
                    attempts: 0,
                });
            }
        }
        for request in self.retries.remove(&self.now_ms).unwrap_or_default() {
            self.send(request);
        }
    }

    fn send(&mut self, request: Request) {
        *self.requested[request.team]
            .entry(self.now_ms / 1_000)
            .or_default() += 1;
        let order = &self.orders[request.team][request.caller];
        let in_rotation = |index: &&usize| self.gateways[**index].is_in_rotation;
        let index = order.iter().find(in_rotation).unwrap_or(&order[0]);
        if !self.gateways[*index].connect(request) {
            self.retry(request);
        }
    }

    fn retry(&mut self, request: Request) {
        if request.attempts < RETRIES {
            let attempts = request.attempts + 1;
            let due_ms = self.now_ms + RETRY_MS;
            let request = Request {
                attempts,
                ..request
            };
            self.retries.entry(due_ms).or_default().push(request);
        }
    }

    /// Runs a gateway for a millisecond of its processor time.
    fn run_gateway(&mut self, index: usize) {
        self.end_streams(index);
        let gateway = &mut self.gateways[index];
        let streams = gateway.streams.iter().map(|stream| stream.ends_ms);
        let handed_off = gateway.handed_off.iter().map(|(ends_ms, _)| *ends_ms);
        let forwarded = streams.chain(handed_off);
        let steps = forwarded.filter(|ends_ms| (ends_ms - self.now_ms).is_multiple_of(STEP_MS));
        gateway.pending_us += steps.count() as u64 * STEP_US;
        while self.gateways[index].pending_us < self.gateways[index].us_per_ms {
            let Some(request) = self.gateways[index].backlog.pop_front() else {
                break;
            };
            self.decide(index, request);
        }
        let now = Duration::from_millis(self.now_ms);
        let gateway = &mut self.gateways[index];
        gateway.pending_us = gateway.pending_us.saturating_sub(gateway.us_per_ms);
        if self.now_ms.is_multiple_of(TICK_MS) {
            let lag = Duration::from_millis(gateway.lag_ms());
            gateway.overload.record_tick(now, lag);
        }
        if self.now_ms.is_multiple_of(PROBE_MS) {
            gateway.probe();
        }
    }

    fn end_streams(&mut self, index: usize) {
        let gateway = &mut self.gateways[index];
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
            gateway.peers.request_ended(address);
        }
    }

    fn decide(&mut self, index: usize, request: Request) {
        let team = self.teams[request.team].name;
        let Err(overloaded) = self.gateways[index].overload.try_begin(team) else {
            self.begin(index, request);
            return;
        };
        if self.hand_off(index, request) {
            let gateway = &mut self.gateways[index];
            gateway.overload.record_handoff();
            gateway.pending_us += HAND_OFF_US;
            return;
        }
        let gateway = &mut self.gateways[index];
        gateway.overload.record_refusal(&overloaded);
        gateway.pending_us += REFUSE_US;
        self.retry(request);
    }

    /// Hands a request off, and returns whether a peer takes it.
    fn hand_off(&mut self, index: usize, request: Request) -> bool {
        let now = Duration::from_millis(self.now_ms);
        let team = self.teams[request.team].name;
        let mut tried = Vec::new();
        while tried.len() < MAX_TRIED_PEERS {
            let rng = &mut self.rng;
            let peers = &mut self.gateways[index].peers;
            let Some(address) = peers.choose(now, &tried, || rng.next()) else {
                return false;
            };
            tried.push(address);
            let other = usize::from(address.port());
            if self.gateways[other].overload.try_take_over(team) {
                self.begin(other, request);
                let ends_ms = self.now_ms + STREAM_MS;
                let handed_off = &mut self.gateways[index].handed_off;
                handed_off.push_back((ends_ms, address));
                return true;
            }
            self.gateways[other].pending_us += REFUSE_US;
            let gateway = &mut self.gateways[index];
            gateway.peers.request_ended(address);
            gateway.peers.suspend(now, address, NO_CAPACITY_SUSPENSION);
            gateway.pending_us += HAND_OFF_US;
        }
        false
    }

    fn begin(&mut self, index: usize, request: Request) {
        let gateway = &mut self.gateways[index];
        gateway.pending_us += START_US;
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

    /// Checks that in each window, each team started at least half of its fair share: in each second, what it
    /// requested or what the best-served team started, whichever is less.
    pub fn check_fair_shares(&self, from_s: u64) {
        let windows = from_s..=(self.now_ms - WINDOW_MS) / 1_000;
        for from in windows {
            let teams = 0..self.teams.len();
            let best_team = teams.clone().max_by_key(|team| self.begun_by(*team, from));
            let best_team = best_team.expect("there are teams");
            for team in teams {
                let seconds = from..from + WINDOW_MS / 1_000;
                let fair: u64 = seconds
                    .map(|second| {
                        count_at(&self.requested[team], second)
                            .min(count_at(&self.begun[best_team], second))
                    })
                    .sum();
                let begun = self.begun_by(team, from);
                let (name, best_team) = (self.teams[team].name, self.teams[best_team].name);
                assert!(
                    begun * 2 >= fair,
                    "{name} from {from} s: began {begun} of {fair} beside {best_team}"
                );
            }
        }
    }
}

fn count_at(seconds: &BTreeMap<u64, u64>, second: u64) -> u64 {
    seconds.get(&second).copied().unwrap_or_default()
}

fn sum(seconds: &BTreeMap<u64, u64>, from_s: u64) -> u64 {
    let window = from_s..from_s + WINDOW_MS / 1_000;
    seconds.range(window).map(|(_, count)| count).sum()
}
