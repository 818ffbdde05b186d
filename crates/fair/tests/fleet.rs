//! Simulation of sidecars, relays and a root with faults in virtual time, which compares the service gap with its bound.

mod common;

use std::time::Duration;

use common::{FAR_DEADLINE, ONE_FREE_SLOT, offer, queue};
use hinge_cases::cases;
use hinge_fair::{
    Class, FairnessBound, NormalisedUnits, Queue, SumsReport, Totals, TotalsReply, normalise,
};
use quickcheck::{Gen, QuickCheck};
use rand::{RngExt, SeedableRng, rngs::SmallRng};

const TICK: Duration = Duration::from_millis(10);
const TEAMS: [(&str, u32, usize); 5] = [
    ("0", 1, 9),
    ("1", 1, 9),
    ("2", 2, 9),
    ("3", 2, 9),
    ("4", 1, 9),
];
const SIDECARS: usize = 4;
const SLOTS: usize = 2;
const MAX_REQUEST_UNITS: u64 = 40;
/// Ticks between two reports.
const REPORT_INTERVAL_TICKS: u64 = 10;
/// Maximum delay of a message, in ticks.
const MAX_DELAY_TICKS: u64 = 5;
/// Maximum number of consecutive losses on one link, which bounds the staleness.
const MAX_CONSECUTIVE_LOSSES: u32 = 2;
/// Ticks after which a team's offers move to other sidecars.
const RESAMPLE_INTERVAL_TICKS: u64 = 50;
const RUN_TICKS: u64 = 9_000;
const PARTITION_TICKS: std::ops::Range<u64> = 2_000..3_500;

/// A kind of fault in a run.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    Loss,
    SidecarRestart,
    RelayRestart,
    Partition,
}

use Fault::{Loss, Partition, RelayRestart, SidecarRestart};

/// A link that delays, duplicates, reorders and loses messages.
struct Link<M> {
    messages: Vec<(u64, M)>,
    losses: u32,
}

impl<M: Clone> Link<M> {
    fn new() -> Self {
        Self {
            messages: Vec::new(),
            losses: 0,
        }
    }

    fn send(&mut self, rng: &mut SmallRng, tick: u64, lossy: bool, message: M) {
        let lost = lossy && self.losses < MAX_CONSECUTIVE_LOSSES && rng.random_ratio(1, 4);
        self.losses = if lost { self.losses + 1 } else { 0 };
        if lost {
            return;
        }
        for _ in 0..if lossy { rng.random_range(1..=2) } else { 1 } {
            let arrives_at = tick + rng.random_range(1..=MAX_DELAY_TICKS);
            self.messages.push((arrives_at, message.clone()));
        }
    }

    fn receive(&mut self, tick: u64) -> Vec<M> {
        let due = self
            .messages
            .extract_if(.., |(arrives_at, _)| *arrives_at <= tick);
        due.map(|(_, message)| message).collect()
    }
}

/// A sidecar or relay, with the links to the process above.
struct Node<S> {
    state: S,
    incarnation: u64,
    /// Offer id, team and remaining units for each busy slot.
    running: Vec<(u64, usize, u64)>,
    up: Link<SumsReport>,
    down: Link<TotalsReply>,
}

impl<S> Node<S> {
    fn new(state: S, incarnation: u64) -> Self {
        let (up, down) = (Link::new(), Link::new());
        Self {
            state,
            incarnation,
            running: Vec::new(),
            up,
            down,
        }
    }
}

struct Fleet {
    faults: Vec<Fault>,
    rng: SmallRng,
    tick: u64,
    sidecars: Vec<Node<Queue<u64>>>,
    relays: Vec<Node<Totals>>,
    root: Totals,
    next_id: u64,
    served: [u64; TEAMS.len()],
    /// Maximum number of units that the fleet's sums miss or count twice.
    miscounted: u64,
    /// The sidecars at which each team has an offer, with the offer's id.
    offered: [[(usize, u64); 2]; TEAMS.len()],
}

fn sidecar(incarnation: u64) -> Node<Queue<u64>> {
    Node::new(queue(99, MAX_REQUEST_UNITS, &TEAMS), incarnation)
}

impl Fleet {
    fn new(seed: u64, faults: &[Fault]) -> Self {
        let relays = ["0", "1"].map(|name| Node::new(Totals::new_relay(name, 1), 1));
        Self {
            faults: faults.to_vec(),
            rng: SmallRng::seed_from_u64(seed),
            tick: 0,
            sidecars: (0..SIDECARS).map(|_| sidecar(1)).collect(),
            relays: relays.into(),
            root: Totals::new_root(1),
            next_id: 0,
            served: [0; TEAMS.len()],
            miscounted: 0,
            offered: Default::default(),
        }
    }

    fn has(&self, fault: Fault) -> bool {
        self.faults.contains(&fault)
    }

    fn now(&self) -> Duration {
        ticks(self.tick)
    }

    fn is_partitioned(&self) -> bool {
        self.has(Partition) && PARTITION_TICKS.contains(&self.tick)
    }

    fn advance_tick(&mut self) {
        self.tick += 1;
        self.resample_offers();
        self.serve();
        self.restart();
        self.exchange();
    }

    /// Keeps offers of each team at two sidecars; those of team 0 never move to other sidecars.
    fn resample_offers(&mut self) {
        for team in 0..TEAMS.len() {
            if self.tick % RESAMPLE_INTERVAL_TICKS == 1 {
                for (sidecar, offer_id) in self.offered[team] {
                    self.sidecars[sidecar].state.remove(offer_id);
                }
                let any = self.rng.random_range(0..SIDECARS);
                let first = if team == 0 { 0 } else { any };
                self.offered[team] = [(first, 0), ((first + SIDECARS - 1) % SIDECARS, 0)];
            }
            for index in 0..2 {
                self.keep_offer(team, index);
            }
        }
    }

    fn keep_offer(&mut self, team: usize, index: usize) {
        let now = self.now();
        let (sidecar, offer_id) = &mut self.offered[team][index];
        let queue = &mut self.sidecars[*sidecar].state;
        let name = TEAMS[team].0;
        let waits = |index| queue.waiting_of(index) > 0;
        if queue.team_index(name).is_none_or(waits) {
            return;
        }
        self.next_id += 1;
        *offer_id = self.next_id;
        let cost = self.rng.random_range(1..=MAX_REQUEST_UNITS);
        // Estimates are off by up to a half either way.
        let estimate = (cost * self.rng.random_range(50..=150) / 100).clamp(1, MAX_REQUEST_UNITS);
        let offer = offer(*offer_id, name, Class::Standard, estimate, FAR_DEADLINE);
        assert_eq!(queue.push(now, &offer, cost), Ok(None));
    }

    /// Serves one unit in each slot.
    fn serve(&mut self) {
        let now = self.now();
        for sidecar in &mut self.sidecars {
            while sidecar.running.len() < SLOTS {
                let picked = sidecar.state.pick(now, ONE_FREE_SLOT);
                let Some(picked) = picked else { break };
                let team = picked.team as usize;
                let slot = (picked.offer_id, team, picked.payload);
                sidecar.running.push(slot);
            }
            for (offer_id, team, remaining) in &mut sidecar.running {
                *remaining -= 1;
                self.served[*team] += 1;
                assert!(sidecar.state.charge(*offer_id, 1));
            }
            for (offer_id, _, _) in sidecar
                .running
                .extract_if(.., |(_, _, remaining)| *remaining == 0)
            {
                assert!(sidecar.state.finish(offer_id, 0));
            }
        }
    }

    fn restart(&mut self) {
        let staleness = staleness_ticks(self.has(Loss));
        if self.has(SidecarRestart) && self.tick % 1_700 == 800 {
            let index = self.rng.random_range(0..SIDECARS);
            let incarnation = self.sidecars[index].incarnation + 1;
            self.sidecars[index] = sidecar(incarnation);
            // The service since the last report that arrived is lost.
            self.miscounted += staleness * SLOTS as u64;
        }
        if self.has(RelayRestart) && self.tick % 2_300 == 1_200 {
            let index = self.rng.random_range(0..self.relays.len());
            let incarnation = self.relays[index].incarnation + 1;
            let totals = Totals::new_relay(&index.to_string(), incarnation);
            self.relays[index] = Node::new(totals, incarnation);
            // Service that was forwarded but not yet confirmed to the sidecars is counted twice.
            self.miscounted += staleness * (SIDECARS * SLOTS / 2) as u64;
        }
    }

    fn exchange(&mut self) {
        let (now, tick, lossy, cut) =
            (self.now(), self.tick, self.has(Loss), self.is_partitioned());
        let (rng, root) = (&mut self.rng, &mut self.root);
        let reports = tick.is_multiple_of(REPORT_INTERVAL_TICKS);
        root.expire(now);
        for (index, relay) in self.relays.iter_mut().enumerate() {
            let passes = !(cut && index == 1);
            relay.state.expire(now);
            if let Some(report) = relay.state.report().filter(|_| reports) {
                relay.up.send(rng, tick, lossy, report);
            }
            for report in relay.up.receive(tick).iter().filter(|_| passes) {
                let reply = root.merge(now, report).expect("a root replies");
                relay.down.send(rng, tick, lossy, reply);
            }
            let replies = relay.down.receive(tick).into_iter().filter(|_| passes);
            for reply in replies.filter(|reply| reply.incarnation == relay.incarnation) {
                relay.state.apply_totals(now, &reply);
            }
        }
        for (index, sidecar) in self.sidecars.iter_mut().enumerate() {
            let relay = &mut self.relays[index * 2 / SIDECARS];
            if reports {
                let name = index.to_string();
                let report = sidecar.state.report(&name, sidecar.incarnation);
                sidecar.up.send(rng, tick, lossy, report);
            }
            for report in sidecar.up.receive(tick) {
                if let Some(reply) = relay.state.merge(now, &report) {
                    sidecar.down.send(rng, tick, lossy, reply);
                }
            }
            let replies = sidecar.down.receive(tick).into_iter();
            for reply in replies.filter(|reply| reply.incarnation == sidecar.incarnation) {
                sidecar.state.apply_totals(now, &reply);
            }
        }
    }

    fn service(&self, team: usize) -> NormalisedUnits {
        normalise(self.served[team], TEAMS[team].1)
    }

    fn bound(&self) -> FairnessBound {
        FairnessBound {
            pool_slots: (SIDECARS * SLOTS) as u64,
            sidecar_slots: SLOTS as u64,
            max_request_units: MAX_REQUEST_UNITS,
            units_per_s: (SIDECARS * SLOTS) as u64 * 100,
            staleness: ticks(staleness_ticks(self.has(Loss))),
            visibility: ticks(RESAMPLE_INTERVAL_TICKS),
            miscounted_units: self.miscounted,
            urgent_allowance_ppm: 0,
        }
    }

    /// Returns the largest gap between two teams, in percent of its bound.
    fn worst_percent(&self) -> u64 {
        let bound = self.bound();
        let length = PARTITION_TICKS
            .end
            .min(self.tick)
            .saturating_sub(PARTITION_TICKS.start);
        // By the end of a run, the effect of the partition must be gone.
        let partition_counts = self.has(Partition) && self.tick < RUN_TICKS;
        let length = ticks(if partition_counts { length } else { 0 });
        let since = ticks(self.tick.saturating_sub(PARTITION_TICKS.end));
        let shares: u32 = TEAMS.iter().map(|team| team.1).sum();
        let percent = |i: usize, j: usize| {
            let lead = self.service(i).saturating_sub(self.service(j));
            let (leader, other) = (TEAMS[i].1, TEAMS[j].1);
            lead * 100 / bound.lead_after_partition(leader, other, shares, length, since)
        };
        let teams = 0..TEAMS.len();
        let worst = teams
            .clone()
            .flat_map(|i| teams.clone().map(move |j| percent(i, j)));
        worst.max().unwrap_or(0)
    }
}

fn ticks(count: u64) -> Duration {
    TICK * u32::try_from(count).expect("a run is short")
}

/// Returns the time of two hops up and two down, each after the maximum number of consecutive losses.
fn staleness_ticks(lossy: bool) -> u64 {
    let losses = if lossy { MAX_CONSECUTIVE_LOSSES } else { 0 };
    4 * (u64::from(losses + 1) * REPORT_INTERVAL_TICKS + MAX_DELAY_TICKS)
}

/// Runs the fleet and returns the largest gap seen, in percent of its bound.
fn run(seed: u64, faults: &[Fault]) -> u64 {
    let mut fleet = Fleet::new(seed, faults);
    let mut worst = 0;
    let mut window = fleet.served;
    for tick in 1..=RUN_TICKS {
        fleet.advance_tick();
        worst = worst.max(fleet.worst_percent());
        // The smallest share is a seventh of 4,000 units. A team with a forgiven lead keeps half of it, and half of that is
        // allowed for granularity.
        if tick.is_multiple_of(500) {
            let served = fleet.served.iter().zip(window);
            let least = served.map(|(after, before)| after - before).min();
            assert!(least >= Some(4_000 / 7 / 4), "{least:?} units by {tick}");
            window = fleet.served;
        }
    }
    let units = fleet.served;
    println!("{faults:?}: {worst}% of the bound, {units:?} units");
    worst
}

fn keeps_the_bound(seed: u64, chosen: u8) -> bool {
    let mut faults = vec![Loss, SidecarRestart, RelayRestart, Partition];
    let mut bits = (0..4).map(|bit| chosen >> bit & 1 == 1);
    faults.retain(|_| bits.next() == Some(true));
    run(seed, &faults) <= 100
}

cases! {
    the_gap_stays_within_its_bound_under_faults => {
        let mut quickcheck = QuickCheck::new().rng(Gen::from_size_and_seed(100, 1)).tests(16);
        quickcheck.quickcheck(keeps_the_bound as fn(u64, u8) -> bool);
    }
}

fn stays_within((faults, percent): (&[Fault], u64)) {
    let worst = run(1, faults);
    assert!(worst <= percent, "{worst}% of the bound");
}

// The bound is a worst case, so these limits are tighter, to detect a gap that widens.
cases! {
    stays_within:
    no_faults => (&[], 30),
    lossy => (&[Loss], 20),
    partitioned => (&[Partition], 60),
    all_faults => (&[Loss, SidecarRestart, RelayRestart, Partition], 15),
}
