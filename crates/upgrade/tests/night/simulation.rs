//! A simulation of a fleet of endpoints in virtual time that checks invariants at every step.

use std::collections::{BTreeMap, BTreeSet};

use hinge_config::effective::Effective;
use hinge_schema::messages::{ConfigFile, OrderKind, OrderRecord, OrderState, Role};
use hinge_state::upgrades::{EndpointStep, UpgradeCommand};
use hinge_state::{ChangeCommand, Command, OrderResult, State, UpgradeStep};
use hinge_upgrade::{Decision, Endpoint, Fleet, decide, required_endpoints};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

pub const DAY_MS: u64 = 86_400_000;
/// 02:00 UTC on some day, when the window of the plans opens.
pub const OPENING_MS: u64 = 20_000 * DAY_MS + 2 * 3_600_000;
/// Length of the longest request, which is also the pool's deadline.
const REQUEST_MS: u64 = 20_000;

/// What endpoints announce in addition to their version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Announces {
    Nothing,
    Running,
}

#[derive(Debug, Clone)]
pub struct Instance {
    pub pool: Box<str>,
    pub data_center: Box<str>,
    pub incarnation: u64,
    pub gone_until_ms: u64,
    pub announced: Box<str>,
    pub serving: Box<str>,
    pub loaded: BTreeSet<Box<str>>,
    /// End of the last accepted request.
    pub busy_until_ms: u64,
}

/// Probabilities of faults per tick, in thousandths.
#[derive(Debug, Clone, Copy, Default)]
pub struct Faults {
    pub gone: u32,
    pub failed_orders: u32,
    pub new_leader: u32,
    pub lost: u32,
    pub repeated: u32,
}

pub struct Simulation {
    pub now_ms: u64,
    pub state: State,
    pub effective: Effective,
    pub instances: BTreeMap<Box<str>, Instance>,
    pub rng: StdRng,
    pub faults: Faults,
    pub step_ms: u64,
    /// Kind of order that fails at every endpoint.
    pub failing_kind: Option<OrderKind>,
    /// Time that loading takes in addition to the few seconds of any order.
    pub load_ms: u64,
    /// Whether the state is restored from a snapshot at each tick, which loses everything outside the log.
    pub restores_state: bool,
    pub announces: Announces,
    /// Length of the longest request.
    pub request_ms: u64,
    /// Endpoints that announce that they are ejected.
    pub ejected: BTreeSet<Box<str>>,
    pub placed: BTreeMap<u64, OrderRecord>,
    pub last: Option<Decision>,
    index: u64,
    term: u64,
    previous: Option<UpgradeCommand>,
    loads: Vec<(u64, u64)>,
    ordered: BTreeSet<(Box<str>, OrderKind, Box<str>)>,
}

impl Simulation {
    pub fn new(seed: u64, folder: &str, pools: &[(&str, usize)]) -> Self {
        let mut simulation = Self {
            now_ms: OPENING_MS,
            state: State::default(),
            effective: Effective::default(),
            instances: BTreeMap::new(),
            rng: StdRng::seed_from_u64(seed),
            faults: Faults::default(),
            step_ms: 1000,
            failing_kind: None,
            load_ms: 0,
            restores_state: false,
            announces: Announces::Nothing,
            request_ms: REQUEST_MS,
            ejected: BTreeSet::new(),
            placed: BTreeMap::new(),
            last: None,
            index: 0,
            term: 1,
            previous: None,
            loads: Vec::new(),
            ordered: BTreeSet::new(),
        };
        for (pool, count) in pools {
            for number in 0..*count {
                let instance = Instance {
                    pool: (*pool).into(),
                    data_center: ["hall-a", "hall-b", "hall-c"][number % 3].into(),
                    incarnation: 1,
                    gone_until_ms: 0,
                    announced: "v1".into(),
                    serving: "v1".into(),
                    loaded: BTreeSet::from(["v1".into()]),
                    busy_until_ms: 0,
                };
                let name = format!("{pool}-{number:03}");
                simulation.instances.insert(name.into(), instance);
            }
        }
        let now_ms = simulation.now_ms;
        simulation.apply(Command::OpenTerm { now_ms });
        simulation.put_folder(folder);
        simulation
    }

    pub fn apply(&mut self, command: Command) {
        self.index += 1;
        self.state.apply(self.index, self.term, command);
    }

    pub fn put_folder(&mut self, text: &str) {
        let base_version = self.state.changes().folder().version();
        self.apply(Command::ApplyChange(ChangeCommand {
            change_id: format!("change-{base_version}").into(),
            operator: "ana".into(),
            base_version,
            note: Box::default(),
            put: vec![ConfigFile {
                name: "fleet.toml".into(),
                text: text.into(),
            }],
            removed: Vec::new(),
            accepted_at_ms: self.now_ms,
            checked: None,
        }));
        let version = self.state.changes().folder().version();
        assert_eq!(version, base_version + 1, "the folder is valid");
        let merged = Effective::merge(self.state.changes().folder().files());
        self.effective = merged.expect("the state took the folder");
    }

    pub fn is_live(&self, name: &str) -> bool {
        self.instances[name].gone_until_ms <= self.now_ms
    }

    pub fn decide(&self) -> Decision {
        let live = self.instances.iter().filter(|(name, _)| self.is_live(name));
        let endpoints = live.map(|(name, instance)| {
            let endpoint = Endpoint {
                instance: name,
                incarnation: instance.incarnation,
                role: Role::Sidecar,
                data_center: &instance.data_center,
                pool: &instance.pool,
                model_version: &instance.announced,
                is_leaving: false,
                is_ejected: self.ejected.contains(name),
                running: match self.announces {
                    Announces::Nothing => None,
                    Announces::Running => Some(u32::from(instance.busy_until_ms > self.now_ms)),
                },
            };
            (&**name, endpoint)
        });
        let drains = self.state.drains();
        let orders = self.state.upgrade_orders();
        decide(&Fleet {
            now_ms: self.now_ms.max(self.state.now_ms()),
            config_version: self.state.changes().folder().version(),
            effective: &self.effective,
            endpoints: endpoints.collect(),
            upgrades: self.state.upgrades(),
            orders: &orders,
            drained: Fleet::drained_names(&drains),
        })
    }

    /// Advances the time by `step_ms`, one second by default, and runs one decision.
    pub fn tick(&mut self) {
        self.now_ms += self.step_ms;
        self.inject_faults();
        self.send_requests();
        if self.restores_state {
            let bytes = self.state.encode();
            self.state = State::restore(&bytes).expect("a state restores from its own bytes");
        }
        let decision = self.decide();
        if let Some(command) = decision.command.clone() {
            self.propose(command);
        }
        self.last = Some(decision);
        self.execute_orders();
        self.check_progress();
    }

    pub fn run(&mut self, seconds: u64) {
        for _ in 0..seconds {
            self.tick();
        }
    }

    fn occurs(&mut self, thousandths: u32) -> bool {
        self.rng.random_range(0..1000) < thousandths
    }

    fn inject_faults(&mut self) {
        let now_ms = self.now_ms;
        if self.occurs(self.faults.new_leader) {
            self.term += 1;
            self.apply(Command::OpenTerm { now_ms });
        }
        if self.occurs(self.faults.gone) {
            let at = self.rng.random_range(0..self.instances.len());
            let gone_ms = self.rng.random_range(1_000..60_000);
            let instance = self.instances.values_mut().nth(at);
            let instance = instance.expect("the number is below the count");
            instance.gone_until_ms = now_ms + gone_ms;
            instance.incarnation += 1;
            instance.announced = instance.serving.clone();
        }
    }

    /// Gives requests to every endpoint in service.
    fn send_requests(&mut self) {
        let drains = self.state.drains();
        let drained = Fleet::drained_names(&drains);
        for (name, instance) in &mut self.instances {
            if !drained.contains(&**name) {
                instance.busy_until_ms = self.now_ms + self.request_ms;
            }
        }
    }

    fn propose(&mut self, command: UpgradeCommand) {
        self.check_floor(&command);
        let is_lost = self.occurs(self.faults.lost);
        if self.occurs(self.faults.repeated)
            && let Some(previous) = self.previous.clone()
        {
            self.commit(previous);
        }
        if !is_lost {
            self.commit(command.clone());
        }
        if self.occurs(self.faults.repeated) {
            self.commit(command.clone());
        }
        self.previous = Some(command);
    }

    fn commit(&mut self, command: UpgradeCommand) {
        let before = self.state.upgrades().clone();
        self.apply(Command::Upgrade(command));
        for (name, progress) in before.in_progress() {
            if !self.state.upgrades().in_progress().contains_key(name) {
                self.ordered.retain(|(instance, ..)| instance != name);
                let (instance, target) = (&self.instances[name], &progress.upgrade.version);
                let known = [&progress.from_version, target];
                // An adapter is loaded beside the model, whose version does not change.
                let is_known = known.contains(&&instance.serving);
                assert!(
                    is_known || progress.upgrade.adapter.is_some(),
                    "{name} serves neither the old nor the new version"
                );
            }
        }
        self.record_orders();
    }

    fn record_orders(&mut self) {
        for order in self.state.orders().list("", 100) {
            if self.placed.insert(order.order_id, order.clone()).is_some() {
                continue;
            }
            let key = (order.instance.clone(), order.kind, order.version.clone());
            assert!(self.ordered.insert(key), "{order:?} was placed twice");
            if matches!(order.kind, OrderKind::LoadModel | OrderKind::LoadAdapter) {
                let progress = &self.state.upgrades().in_progress()[&order.instance];
                let stopped = self.state.upgrades().stopped();
                assert!(
                    !stopped.contains_key(&progress.plan),
                    "a stopped plan began an upgrade"
                );
                self.loads
                    .push((self.now_ms, progress.upgrade.weight_bytes));
                self.check_store();
            }
        }
    }

    /// Checks that a decision keeps each pool at its floor; endpoints that are gone count as out of service.
    fn check_floor(&self, command: &UpgradeCommand) {
        let taken = command.steps.iter().filter_map(|step| match step {
            UpgradeStep::Drain { instance, by, .. } if by.starts_with("upgrade/") => Some(instance),
            _ => None,
        });
        let taken: BTreeSet<_> = taken.collect();
        for (pool, settings) in self.effective.pools.iter() {
            let of_pool = self.instances.iter().filter(|(_, at)| *at.pool == *pool);
            let names: Vec<_> = of_pool.map(|(name, _)| name).collect();
            let left = names.iter().filter(|name| self.is_in_service(name));
            let left = left.filter(|name| !taken.contains(*name)).count() as u64;
            let needed = required_endpoints(settings.floor, names.len() as u64);
            let takes_any = names.iter().any(|name| taken.contains(*name));
            assert!(!takes_any || left >= needed, "{pool}: {left} of {needed}");
        }
    }

    pub fn is_in_service(&self, name: &str) -> bool {
        let drains = self.state.drains();
        let is_drained = drains.iter().any(|drain| *drain.instance == *name);
        self.is_live(name) && !is_drained
    }

    fn check_progress(&self) {
        let upgrades = self.state.upgrades();
        let drains = self.state.drains();
        let drained = Fleet::drained_names(&drains);
        for (name, progress) in upgrades.in_progress() {
            let is_out = !progress.step.is_out_of_service() || drained.contains(&**name);
            assert!(is_out, "{name} takes work while {}", progress.step);
        }
        for (name, plan) in self.effective.upgrades.iter() {
            let in_progress = upgrades.in_progress().values();
            let in_progress = in_progress
                .filter(|progress| *progress.plan == *name)
                .count();
            assert!(
                in_progress as u64 <= u64::from(plan.max_parallel),
                "{name}: {in_progress}"
            );
        }
        for (name, instance) in &self.instances {
            let is_served = instance.loaded.contains(&instance.serving);
            assert!(is_served, "{name} serves a version that is not loaded");
        }
    }

    /// Checks that the loads in any period stay within the store's rate and one burst; a larger load must be alone.
    fn check_store(&self) {
        let rate = self.effective.limits.weight_store_bytes_per_second;
        let Some((until_ms, last)) = self.loads.last().copied().filter(|_| rate > 0) else {
            return;
        };
        let mut bytes = 0;
        for (at_ms, more) in self.loads.iter().rev() {
            bytes += more;
            let budget = rate * (until_ms - at_ms + hinge_upgrade::STORE_BURST_MS) / 1000;
            let single = last.max(*more);
            assert!(bytes <= budget.max(single) + single, "{bytes} of {budget}");
        }
    }

    /// Carries out the endpoints' orders, one at a time for each endpoint.
    fn execute_orders(&mut self) {
        let mut seen = BTreeSet::new();
        let open: Vec<_> = self.state.orders().open().cloned().collect();
        for order in open {
            let load_ms = if order.kind == OrderKind::LoadModel {
                self.load_ms
            } else {
                0
            };
            let takes_ms = 2_000 + order.order_id * 7_919 % 9_000 + load_ms;
            let is_due = self.now_ms >= order.placed_at_ms + takes_ms;
            if !seen.insert(order.instance.clone()) || !is_due || !self.is_live(&order.instance) {
                continue;
            }
            let done =
                !self.occurs(self.faults.failed_orders) && self.failing_kind != Some(order.kind);
            if done {
                self.execute(&order);
            }
            self.apply(Command::SettleOrder(OrderResult {
                order_id: order.order_id,
                fence: order.fence,
                done,
                detail: Box::default(),
            }));
        }
    }

    fn execute(&mut self, order: &OrderRecord) {
        let now_ms = self.now_ms;
        let instance = self.instances.get_mut(&order.instance);
        let instance = instance.expect("the instance exists");
        let version = order.version.clone();
        match order.kind {
            OrderKind::LoadModel => _ = instance.loaded.insert(version),
            OrderKind::UnloadModel => _ = instance.loaded.remove(&version),
            OrderKind::SetVersion => {
                assert!(
                    now_ms >= instance.busy_until_ms,
                    "a running request was interrupted"
                );
                instance.serving = version.clone();
                instance.announced = version;
            }
            _ => {}
        }
    }

    /// Returns the placed orders as instance, kind and version, in the order of their numbers.
    pub fn orders(&self) -> Vec<(Box<str>, OrderKind, Box<str>)> {
        let orders = self.placed.values();
        orders
            .map(|order| (order.instance.clone(), order.kind, order.version.clone()))
            .collect()
    }

    pub fn count(&self, kind: OrderKind) -> usize {
        let orders = self.placed.values();
        orders.filter(|order| order.kind == kind).count()
    }

    pub fn serving(&self, version: &str) -> usize {
        let instances = self.instances.values();
        instances.filter(|at| *at.serving == *version).count()
    }

    pub fn at_step(&self, step: EndpointStep) -> usize {
        let in_progress = self.state.upgrades().in_progress().values();
        in_progress.filter(|progress| progress.step == step).count()
    }

    pub fn has_open_orders(&self) -> bool {
        let mut orders = self.state.orders().open();
        orders.any(|order| order.state == OrderState::Open)
    }
}
