//! Grants the slots of one sidecar, or of a whole pool, from a fair queue, as the sidecar does.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use hinge_fair::{Class, FreeSlots, Limits, Offer, Queue};

use crate::{
    endpoint::Endpoint,
    setup::{SLOTS, Setup},
    wire::team_name,
    workload::SHARES,
};

/// Offers of one team that may wait at one gate, and offers in all: the product's defaults.
const MAX_TEAM_WAITING: usize = 256;
const MAX_WAITING: usize = 4096;

/// A slot that is taken.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Held {
    pub(crate) endpoint: usize,
    pub(crate) kv_tokens: u64,
    pub(crate) is_bound: bool,
}

/// What one turn of filling slots did.
enum Filled {
    Granted(u64, usize),
    Parked,
    Nothing,
}

/// The queue before one endpoint, or before all of them.
#[derive(Debug)]
pub(crate) struct Gate {
    pub(crate) queue: Queue<()>,
    pub(crate) fifo: VecDeque<usize>,
    pub(crate) endpoints: Vec<usize>,
    pub(crate) held: HashMap<u64, Held>,
    pub(crate) asked: HashMap<u64, (u64, Class)>,
    pub(crate) incarnation: u64,
    pub(crate) idle_since: Option<Duration>,
    parked: Vec<u64>,
    reserved_every: usize,
    urgent_kv_tokens: u64,
}

impl Gate {
    pub(crate) fn open(setup: &Setup, endpoints: Vec<usize>, incarnation: u64) -> Self {
        let mut queue = Queue::new(Limits {
            max_waiting: MAX_WAITING,
            max_request_units: setup.shape.max_request_units(),
        });
        for (team, share) in SHARES.iter().enumerate() {
            queue.set_team(&team_name(team), *share, MAX_TEAM_WAITING);
        }
        Self {
            queue,
            fifo: VecDeque::new(),
            endpoints,
            held: HashMap::new(),
            asked: HashMap::new(),
            incarnation,
            idle_since: Some(Duration::ZERO),
            parked: Vec::new(),
            reserved_every: setup.tuning.reserved_every,
            urgent_kv_tokens: setup.tuning.urgent_kv_tokens,
        }
    }

    /// Files an offer, and returns the request that is refused for it, if any.
    pub(crate) fn push(&mut self, now: Duration, offer: &Offer, kv_tokens: u64) -> Option<u64> {
        match self.queue.push(now, offer, ()) {
            Err(_refusal) => Some(offer.offer_id),
            Ok(shed) => {
                self.asked.insert(offer.offer_id, (kv_tokens, offer.class));
                let shed = shed.map(|shed| shed.offer_id);
                if let Some(id) = shed {
                    self.asked.remove(&id);
                }
                shed
            }
        }
    }

    /// Takes a waiting or granted request out; returns whether it held a slot.
    pub(crate) fn remove(&mut self, id: u64) -> bool {
        self.asked.remove(&id);
        if self.held.remove(&id).is_some() || self.parked.contains(&id) {
            self.parked.retain(|parked| *parked != id);
            self.queue.finish(id, 0);
            return true;
        }
        self.queue.remove(id);
        false
    }

    /// Frees the slot of a request that ran.
    pub(crate) fn finish(&mut self, id: u64, units: u64) {
        self.held.remove(&id);
        self.asked.remove(&id);
        self.queue.finish(id, units);
    }

    /// Returns the requests that wait, in order of their numbers.
    pub(crate) fn waiting(&self) -> Vec<u64> {
        let ids = self.asked.keys().copied();
        let mut ids: Vec<u64> = ids.filter(|id| !self.held.contains_key(id)).collect();
        ids.sort_unstable();
        ids
    }

    /// Grants what there is room for.
    pub(crate) fn fill(&mut self, now: Duration, endpoints: &[Endpoint]) -> Vec<(u64, usize)> {
        let mut granted = Vec::new();
        loop {
            match self.fill_one(now, endpoints) {
                Filled::Granted(id, endpoint) => granted.push((id, endpoint)),
                Filled::Parked => {}
                Filled::Nothing => break,
            }
        }
        let is_idle = self.asked.len() == self.held.len() && self.free_slots(endpoints) > 0;
        self.idle_since = is_idle.then(|| self.idle_since.unwrap_or(now));
        granted
    }

    /// Grants or parks one request.
    fn fill_one(&mut self, now: Duration, endpoints: &[Endpoint]) -> Filled {
        let parked = self.parked.iter();
        let fitting = parked.filter_map(|id| Some((*id, self.place(*id, endpoints)?)));
        if let Some((id, endpoint)) = fitting.min_by_key(|(id, _)| self.asked[id].1) {
            self.parked.retain(|parked| *parked != id);
            let held = Held {
                endpoint,
                kv_tokens: self.asked[&id].0,
                is_bound: false,
            };
            self.held.insert(id, held);
            return Filled::Granted(id, endpoint);
        }
        let room = self.room(endpoints);
        let Some(picked) = self.queue.pick(now, room) else {
            return Filled::Nothing;
        };
        self.parked.push(picked.offer_id);
        Filled::Parked
    }

    fn room(&self, endpoints: &[Endpoint]) -> FreeSlots {
        let reserves = |endpoint: &usize| {
            self.reserved_every > 0 && endpoint.is_multiple_of(self.reserved_every)
        };
        let reserved_slots = self.usable(endpoints).filter(reserves).count();
        let reserved_slots = u32::try_from(reserved_slots).unwrap_or(u32::MAX);
        let free_slots = self.free_slots(endpoints);
        let is_urgent = |id: &u64| self.asked[id].1 == Class::Urgent;
        let free_slots = match self.parked.as_slice() {
            [] => free_slots,
            parked if parked.iter().any(is_urgent) => 0,
            _ => free_slots.min(reserved_slots),
        };
        FreeSlots {
            free_slots,
            reserved_slots,
        }
    }

    pub(crate) fn free_slots(&self, endpoints: &[Endpoint]) -> u32 {
        let free = self
            .usable(endpoints)
            .map(|endpoint| SLOTS - self.taken(endpoint).0);
        let parked = u32::try_from(self.parked.len()).unwrap_or(u32::MAX);
        free.sum::<u32>().saturating_sub(parked)
    }

    fn usable<'a>(&'a self, endpoints: &'a [Endpoint]) -> impl Iterator<Item = usize> + 'a {
        let own = self.endpoints.iter().copied();
        own.filter(|endpoint| endpoints[*endpoint].is_open)
    }

    /// Returns the slots and KV tokens that are taken at an endpoint.
    fn taken(&self, endpoint: usize) -> (u32, u64) {
        let held = self.held.values().filter(|held| held.endpoint == endpoint);
        held.fold((0, 0), |(slots, tokens), held| {
            (slots + 1, tokens + held.kv_tokens)
        })
    }

    /// Returns the emptiest endpoint with a free slot and room for the KV tokens.
    fn place(&self, id: u64, endpoints: &[Endpoint]) -> Option<usize> {
        let (kv_tokens, class) = self.asked[&id];
        let kept = if class == Class::Urgent {
            0
        } else {
            self.urgent_kv_tokens
        };
        let fits = |endpoint: &usize| {
            let (slots, tokens) = self.taken(*endpoint);
            let fits = tokens + kv_tokens + kept <= endpoints[*endpoint].kv_tokens;
            slots < SLOTS && (slots == 0 || fits)
        };
        self.usable(endpoints)
            .filter(fits)
            .min_by_key(|endpoint| self.taken(*endpoint))
    }
}
