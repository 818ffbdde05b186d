//! Tests that an old leader's order is never carried out after a newer one, whether or not the engine checks fencing numbers.

use std::collections::BTreeMap;

use hinge_schema::messages::{OrderKind, OrderRecord, OrderState};
use hinge_sidecar::fence::{Fence, FenceCheck};
use hinge_state::{Command, OrderCommand, OrderResult, State};
use quickcheck::quickcheck;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// One endpoint with its sidecar, the leaders' delayed messages, and the orders that the engine carried out.
struct Simulation {
    state: State,
    index: u64,
    term: u64,
    sidecar: Fence,
    /// Lowest valid number that the sidecar has learned from announcements, which may be outdated.
    lowest_valid: Option<u64>,
    engine_checks: bool,
    delayed: Vec<OrderRecord>,
    executed: Vec<OrderRecord>,
}

impl Simulation {
    fn new(engine_checks: bool) -> Self {
        let mut simulation = Self {
            state: State::default(),
            index: 0,
            term: 0,
            sidecar: Fence::default(),
            lowest_valid: None,
            engine_checks,
            delayed: Vec::new(),
            executed: Vec::new(),
        };
        simulation.open_term();
        simulation
    }

    fn apply(&mut self, command: Command) {
        self.index += 1;
        self.state.apply(self.index, self.term, command);
    }

    fn open_term(&mut self) {
        self.term += 1;
        self.apply(Command::OpenTerm { now_ms: 0 });
    }

    fn place(&mut self, number: u64) {
        self.apply(Command::PlaceOrder(OrderCommand {
            change_id: format!("{number}").into(),
            instance: "sidecar-1".into(),
            operator: "ana".into(),
            kind: OrderKind::SetVersion,
            subject: format!("m{}", number % 2).into(),
            version: format!("v{number}").into(),
            now_ms: 0,
        }));
    }

    /// Sends the oldest open order as the leader does; the message may be delivered at any later time, and more than once.
    fn send(&mut self) {
        let oldest = self.state.orders().open().next().cloned();
        self.delayed.extend(oldest);
    }

    fn deliver(&mut self, at: usize, repeats: bool) {
        let order = self.delayed[at].clone();
        if !repeats {
            self.delayed.remove(at);
        }
        if self.sidecar.check(order.fence, self.lowest_valid) != FenceCheck::Valid {
            return;
        }
        let highest = self.executed.iter().map(|order| order.fence).max();
        let engine_accepts =
            !self.engine_checks || highest.is_none_or(|highest| highest <= order.fence);
        if engine_accepts {
            self.executed.push(order.clone());
        }
        self.apply(Command::SettleOrder(OrderResult {
            order_id: order.order_id,
            fence: order.fence,
            done: engine_accepts,
            detail: Box::default(),
        }));
    }
}

fn run(seed: u64, engine_checks: bool) -> Simulation {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut simulation = Simulation::new(engine_checks);
    for number in 0..400 {
        match rng.random_range(0..10) {
            0 => simulation.open_term(),
            1 | 2 => simulation.place(number),
            3 => simulation.lowest_valid = Some(simulation.state.orders().lowest_valid()),
            4..7 => simulation.send(),
            _ if simulation.delayed.is_empty() => {}
            _ => {
                let at = rng.random_range(0..simulation.delayed.len());
                simulation.deliver(at, rng.random_bool(0.3));
            }
        }
    }
    simulation
}

fn no_older_order_follows(engine_checks: bool) {
    fn has_increasing_fences(executed: &[OrderRecord]) -> bool {
        executed.is_sorted_by_key(|order| order.fence)
    }
    fn holds(seed: u64, engine_checks: bool) -> bool {
        let simulation = run(seed, engine_checks);
        let mut last = BTreeMap::new();
        for order in &simulation.executed {
            last.insert(order.subject.clone(), order.order_id);
        }
        // No older order is carried out after an order that the log records as done.
        let orders = simulation.state.orders().list("", 1000);
        let mut done = orders
            .iter()
            .filter(|order| order.state == OrderState::Done);
        let done = done.all(|order| last.get(&order.subject) >= Some(&order.order_id));
        has_increasing_fences(&simulation.executed) && done
    }
    fn checked(seed: u64) -> bool {
        holds(seed, true)
    }
    fn unchecked(seed: u64) -> bool {
        holds(seed, false)
    }
    quickcheck(if engine_checks { checked } else { unchecked } as fn(u64) -> bool);
}

hinge_cases::cases! { no_older_order_follows:
    an_engine_that_checks => true,
    an_engine_that_ignores_the_number => false,
}

hinge_cases::cases! {
    a_sidecar_that_has_just_started_waits_for_the_lowest_number => {
        let mut simulation = Simulation::new(false);
        simulation.place(1);
        simulation.send();
        simulation.open_term();
        simulation.deliver(0, true);
        assert!(simulation.executed.is_empty());
        simulation.lowest_valid = Some(simulation.state.orders().lowest_valid());
        simulation.deliver(0, true);
        assert!(simulation.executed.is_empty(), "the old leader's order was carried out");
        simulation.send();
        simulation.deliver(1, false);
        assert_eq!(simulation.executed.len(), 1);
    }
}
