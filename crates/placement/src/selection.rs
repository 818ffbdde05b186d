//! Decides at an entry which sidecars of a pool get an offer, and when the circle widens.
//!
//! The first round goes to the sidecar that is most likely to have the prompt's prefix cached, unless its known load
//! exceeds a bound. The next takes the better of two random sidecars, a few times. Each further round doubles, until the
//! entry's whole subset of the pool, and then the rest of the pool, has been offered the request.
//!
//! A request keeps a few open offers only. Once it has as many, each round moves the oldest of them to another sidecar: in
//! a backlog that is how a sidecar which returned or fell idle is found, without an offer of each request at each sidecar.

use std::{collections::HashMap, time::Duration};

use rand::{Rng, RngExt, seq::SliceRandom};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::{
    EntryId, PrefixHash, SidecarId,
    hash::{mix, rank},
    health::{FULL_SHARE_PERMILLE, HealthRules},
    hints::CacheHints,
    pool_health::PoolHealth,
};

mod attempt;
mod rules;

pub use attempt::AttemptOffers;
use attempt::Stage;
pub use rules::{AffinityScope, SelectionRules};

/// Holds a sidecar's load, as its last message told.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests that it may run at once.
    pub slots: u32,
    /// Requests that it runs.
    pub running: u32,
    /// Offers that wait at it.
    pub waiting: u32,
}

impl Load {
    /// Returns running and waiting requests for each slot, in thousandths.
    #[must_use]
    pub fn permille(&self) -> u64 {
        let work = u64::from(self.running) + u64::from(self.waiting);
        work * 1000 / u64::from(self.slots.max(1))
    }
}

/// Holds a load and when it was seen.
#[derive(Debug, Clone, Copy)]
struct Seen {
    load: Load,
    at: Duration,
}

/// Names the sidecars that get an offer now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Round {
    /// Sidecars to offer the request to; none if all that may get an offer hold one.
    pub sidecars: SmallVec<[SidecarId; 4]>,
    /// Sidecar whose offer is to be withdrawn once the new one is out; [`AttemptOffers::record_withdrawal`] is called then.
    pub withdraw: Option<SidecarId>,
    /// Wait for a grant before the next round; a round whose offers were all refused need not be waited for.
    pub widen_after: Duration,
}

/// Chooses among the sidecars of one pool for one entry.
#[derive(Debug)]
pub struct SidecarSelector {
    rules: SelectionRules,
    entry: EntryId,
    subset: Vec<SidecarId>,
    beyond: Vec<SidecarId>,
    loads: HashMap<SidecarId, Seen>,
    /// When sidecars joined the pool, or were readmitted, after its first members were known.
    back_at: HashMap<SidecarId, Duration>,
    /// Health of the pool's sidecars.
    pub health: PoolHealth,
    /// Cache events of the pool's endpoints.
    pub hints: CacheHints,
}

impl SidecarSelector {
    /// Opens the choice of an entry in a pool without sidecars.
    #[must_use]
    pub fn new(rules: SelectionRules, health_rules: HealthRules, entry: EntryId) -> Self {
        Self {
            rules,
            entry,
            subset: Vec::new(),
            beyond: Vec::new(),
            loads: HashMap::new(),
            back_at: HashMap::new(),
            health: PoolHealth::new(health_rules),
            hints: CacheHints::new(rules.max_hints),
        }
    }

    /// Takes over the pool's members and the number of entries in the fleet.
    pub fn set_members(&mut self, sidecars: &[SidecarId], entries: usize, now: Duration) {
        let ranked = rank(self.entry, sidecars, sidecars.len());
        if !self.subset.is_empty() {
            let is_new = |id: &&SidecarId| !self.subset.contains(id) && !self.beyond.contains(id);
            let joined: Vec<_> = ranked.iter().filter(is_new).map(|id| (*id, now)).collect();
            self.back_at.extend(joined);
        }
        self.back_at.retain(|id, _| ranked.contains(id));
        let links = subset_len(&self.rules, sidecars.len(), entries);
        let (subset, beyond) = ranked.split_at(links);
        self.subset = subset.to_vec();
        self.beyond = beyond.to_vec();
        self.loads.retain(|id, _| ranked.contains(id));
        self.health.set_members(sidecars, now);
    }

    /// Takes the result of a probe; a sidecar that is readmitted by it is preferred by requests that wait.
    pub fn record_probe(
        &mut self,
        sidecar: SidecarId,
        is_ok: bool,
        now: Duration,
        rng: &mut impl Rng,
    ) {
        let before = self.health.share_permille(sidecar, now);
        self.health.record_probe(sidecar, is_ok, now, rng);
        if before == 0 && self.health.share_permille(sidecar, now) > 0 {
            self.back_at.insert(sidecar, now);
        }
    }

    /// Returns the sidecars that the entry should be linked with.
    #[must_use]
    pub fn subset(&self) -> &[SidecarId] {
        &self.subset
    }

    /// Notes a sidecar's load from its message.
    pub fn record_load(&mut self, sidecar: SidecarId, load: Load, now: Duration) {
        self.loads.insert(sidecar, Seen { load, at: now });
    }

    /// Counts a request that this entry has just bound, as the sidecar's next message is still to come.
    pub fn record_assignment(&mut self, sidecar: SidecarId) {
        if let Some(seen) = self.loads.get_mut(&sidecar) {
            seen.load.running = seen.load.running.saturating_add(1);
        }
    }

    /// Returns a sidecar's load in thousandths, unless it is unknown or too old.
    #[must_use]
    pub fn load_permille(&self, sidecar: SidecarId, now: Duration) -> Option<u64> {
        let seen = self.loads.get(&sidecar)?;
        let is_fresh = now.saturating_sub(seen.at) <= self.rules.max_load_age;
        is_fresh.then(|| seen.load.permille())
    }

    /// Returns the load, in thousandths, above which a prefix's favourite is not used.
    #[must_use]
    pub fn load_bound_permille(&self, now: Duration) -> u64 {
        let mut sum = 0;
        let mut count = 0;
        for load in self
            .subset
            .iter()
            .filter_map(|id| self.load_permille(*id, now))
        {
            sum += load;
            count += 1;
        }
        let mean = sum.checked_div(count).unwrap_or(0);
        let bound = mean * self.rules.load_bound_permille / 1000;
        bound.max(self.rules.min_load_bound_permille)
    }

    /// Returns the next round, or `None` if no offer is open and every sidecar that may get one has refused it.
    ///
    /// A round is without sidecars while all of them hold an offer, or while the last withdrawal is still due. So there is
    /// always a next round as long as an offer is open.
    pub fn next_round(
        &self,
        attempt: &mut AttemptOffers,
        now: Duration,
        rng: &mut impl Rng,
    ) -> Option<Round> {
        attempt.opened_at.get_or_insert(now);
        let max_open = self.rules.max_open.max(1);
        let is_full = attempt.open.len() >= max_open;
        let mut sidecars = SmallVec::new();
        if attempt.open.len() <= max_open {
            let most = max_open.saturating_sub(attempt.open.len()).max(1);
            self.pick(attempt, most, now, rng, &mut sidecars);
        }
        if sidecars.is_empty() && attempt.open.is_empty() {
            return None;
        }
        let oldest = attempt.open.first().copied();
        let withdraw = oldest.filter(|_| is_full && !sidecars.is_empty());
        for id in &sidecars {
            attempt.offer(*id, now);
        }
        let widen_after = self.wait(attempt, is_full, rng);
        attempt.rounds += 1;
        Some(Round {
            sidecars,
            withdraw,
            widen_after,
        })
    }

    /// Returns the wait after a round: it doubles, with a longer limit once offers only move.
    fn wait(&self, attempt: &AttemptOffers, is_full: bool, rng: &mut impl Rng) -> Duration {
        let wait = self.rules.widen_after * (1 << attempt.rounds.min(16));
        if attempt.is_first_cycle && !is_full {
            return wait.min(self.rules.max_widen_after);
        }
        let max = if attempt.is_urgent {
            self.rules.max_urgent_rotate_after
        } else {
            self.rules.max_rotate_after
        };
        // Requests that queued up together would otherwise move together, and all leave a sidecar at once.
        wait.min(max) * rng.random_range(JITTER_PERCENT) / 100
    }

    fn pick(
        &self,
        attempt: &mut AttemptOffers,
        most: usize,
        now: Duration,
        rng: &mut impl Rng,
        picked: &mut SmallVec<[SidecarId; 4]>,
    ) {
        if matches!(attempt.stage, Stage::Prefix) {
            self.pick_by_prefix(attempt, now, picked);
            picked.truncate(most);
            attempt.stage = Stage::Load;
        }
        if picked.is_empty() && matches!(attempt.stage, Stage::Load) {
            self.pick_by_load(attempt, most, now, rng, picked);
            attempt.stage = Stage::Widen;
        }
        if picked.is_empty() {
            if matches!(attempt.stage, Stage::Widen) {
                // Drawn up only now, as most requests find room in the first rounds.
                let rest = self.rest(attempt, now, rng);
                attempt.stage = Stage::Rest(rest);
            }
            self.pick_rest(attempt, most, now, rng, picked);
        }
    }

    /// Picks the prefix's favourites: those that cache events name, then those of the prefix's rendezvous order.
    fn pick_by_prefix(
        &self,
        attempt: &AttemptOffers,
        now: Duration,
        picked: &mut SmallVec<[SidecarId; 4]>,
    ) {
        let Some(prefix) = attempt.prefix else {
            return;
        };
        let bound = self.load_bound_permille(now);
        let in_scope =
            |id: &SidecarId| self.subset.contains(id) || self.beyond_in_scope().contains(id);
        let hinted = self.hints.get(prefix).iter().copied().filter(in_scope);
        let favourites = self.favourites(prefix);
        for id in hinted.chain(favourites) {
            if picked.len() == self.rules.affinity_offers {
                return;
            }
            let is_within = self.load_permille(id, now).is_none_or(|load| load <= bound);
            if is_within && self.may_offer(attempt, id, now) && !picked.contains(&id) {
                picked.push(id);
            }
        }
    }

    /// Returns the sidecars beyond the subset that may be a prefix's favourite.
    fn beyond_in_scope(&self) -> &[SidecarId] {
        match self.rules.affinity_scope {
            AffinityScope::Subset => &[],
            AffinityScope::Pool => &self.beyond,
        }
    }

    /// Returns the first few sidecars of the prefix's rendezvous order.
    fn favourites(&self, prefix: PrefixHash) -> SmallVec<[SidecarId; 4]> {
        let mut best = SmallVec::<[(u64, SidecarId); 4]>::new();
        for id in self.subset.iter().chain(self.beyond_in_scope()) {
            let ranked = (mix(prefix, *id), *id);
            let place = best.partition_point(|other| *other > ranked);
            if place < FAVOURITES {
                best.truncate(FAVOURITES - 1);
                best.insert(place, ranked);
            }
        }
        best.into_iter().map(|(_, id)| id).collect()
    }

    /// Picks the less loaded of two random sidecars of the subset, a few times.
    fn pick_by_load(
        &self,
        attempt: &AttemptOffers,
        most: usize,
        now: Duration,
        rng: &mut impl Rng,
        picked: &mut SmallVec<[SidecarId; 4]>,
    ) {
        let count = self.rules.first_offers.min(self.subset.len()).min(most);
        for _ in 0..count {
            let left = self.draw(attempt, picked, now, rng);
            let right = self.draw(attempt, picked, now, rng);
            let better = match (left, right) {
                (Some(left), Some(right)) => Some(self.less_loaded(left, right, now)),
                (left, right) => left.or(right),
            };
            if let Some(id) = better {
                picked.push(id);
            }
        }
    }

    fn draw(
        &self,
        attempt: &AttemptOffers,
        picked: &[SidecarId],
        now: Duration,
        rng: &mut impl Rng,
    ) -> Option<SidecarId> {
        // A draw that hits a sidecar which can't be used is made again, a few times only: the rest rounds reach all.
        for _ in 0..DRAWS {
            let id = self.subset[rng.random_range(0..self.subset.len())];
            if self.may_offer(attempt, id, now) && !picked.contains(&id) {
                return Some(id);
            }
        }
        None
    }

    fn less_loaded(&self, left: SidecarId, right: SidecarId, now: Duration) -> SidecarId {
        let bound = self.rules.min_load_bound_permille;
        let left_load = self.load_permille(left, now).unwrap_or(bound);
        let right_load = self.load_permille(right, now).unwrap_or(bound);
        if right_load < left_load { right } else { left }
    }

    /// Picks twice as many as the last round, up to `most`: those that came back, then those with free room, then the
    /// cycle's rest, which is the subset, then beyond it, then those to avoid.
    fn pick_rest(
        &self,
        attempt: &mut AttemptOffers,
        most: usize,
        now: Duration,
        rng: &mut impl Rng,
        picked: &mut SmallVec<[SidecarId; 4]>,
    ) {
        let doublings = attempt.rounds.min(16);
        let count = most.min(self.rules.first_offers.max(1) << doublings);
        while picked.len() < count {
            let preferred = self.preferred(attempt, picked, now);
            let next = preferred.or_else(|| self.next_of_cycle(attempt, picked, now, rng));
            let Some(id) = next else {
                return;
            };
            picked.push(id);
        }
    }

    /// Returns a sidecar that came back since its last offer, or one that was seen with free room since then.
    fn preferred(
        &self,
        attempt: &AttemptOffers,
        picked: &[SidecarId],
        now: Duration,
    ) -> Option<SidecarId> {
        let is_free = |id: SidecarId| self.may_move_to(attempt, id, now) && !picked.contains(&id);
        let since = |id| attempt.offered_at(id).or(attempt.opened_at);
        let back = self.back_at.iter();
        let back = back.filter(|(id, at)| Some(**at) > since(**id) && is_free(**id));
        if let Some((_, id)) = back.map(|(id, _)| (mix(attempt.seed, *id), *id)).max() {
            return Some(id);
        }
        // Only in every other round: a sidecar that always looks free must not keep the others from their turn.
        if attempt.rounds.is_multiple_of(2) {
            return None;
        }
        let seen = self.loads.iter();
        let seen = seen.filter(|(id, seen)| Some(seen.at) > since(**id) && is_free(**id));
        let room = seen.filter_map(|(id, _)| Some((self.load_permille(*id, now)?, *id)));
        let room = room.filter(|(load, _)| *load < FULL_LOAD_PERMILLE);
        let least = room.min_by_key(|(load, id)| (*load, mix(attempt.seed, *id)));
        least.map(|(_, id)| id)
    }

    /// Returns the next sidecar of the cycle, or of a new one over the whole pool.
    fn next_of_cycle(
        &self,
        attempt: &mut AttemptOffers,
        picked: &[SidecarId],
        now: Duration,
        rng: &mut impl Rng,
    ) -> Option<SidecarId> {
        if let Some(id) = self.pop(attempt, picked, now) {
            return Some(id);
        }
        if !picked.is_empty() {
            return None;
        }
        attempt.is_first_cycle = false;
        let mut cycle = self.rest(attempt, now, rng);
        if attempt.open.is_empty() {
            // All others have just refused, so that another round of them would only repeat it.
            cycle.retain(|id| !attempt.refused.contains(id));
        }
        attempt.stage = Stage::Rest(cycle);
        self.pop(attempt, picked, now)
    }

    /// Takes the next of the cycle that may still get an offer.
    fn pop(
        &self,
        attempt: &mut AttemptOffers,
        picked: &[SidecarId],
        now: Duration,
    ) -> Option<SidecarId> {
        loop {
            let Stage::Rest(rest) = &mut attempt.stage else {
                return None;
            };
            let id = rest.pop()?;
            if self.is_member(id) && self.may_move_to(attempt, id, now) && !picked.contains(&id) {
                return Some(id);
            }
        }
    }

    fn is_member(&self, id: SidecarId) -> bool {
        self.subset.contains(&id) || self.beyond.contains(&id)
    }

    /// Returns every sidecar that may still get an offer, the next one last.
    fn rest(&self, attempt: &AttemptOffers, now: Duration, rng: &mut impl Rng) -> Vec<SidecarId> {
        let mut near: Vec<_> = self.usable(&self.subset, attempt, now).collect();
        let mut far: Vec<_> = self.usable(&self.beyond, attempt, now).collect();
        let all = self.subset.iter().chain(&self.beyond).copied();
        let avoided =
            all.filter(|id| attempt.avoid.contains(id) && self.may_move_to(attempt, *id, now));
        let mut rest: Vec<_> = avoided.collect();
        near.shuffle(rng);
        far.shuffle(rng);
        rest.append(&mut far);
        rest.append(&mut near);
        rest
    }

    fn usable<'a>(
        &'a self,
        sidecars: &'a [SidecarId],
        attempt: &'a AttemptOffers,
        now: Duration,
    ) -> impl Iterator<Item = SidecarId> + 'a {
        let ids = sidecars.iter().copied();
        ids.filter(move |id| self.may_offer(attempt, *id, now))
    }

    fn may_offer(&self, attempt: &AttemptOffers, id: SidecarId, now: Duration) -> bool {
        let is_offered = attempt.is_first_cycle && attempt.offered_at(id).is_some();
        !is_offered && !attempt.avoid.contains(&id) && self.may_move_to(attempt, id, now)
    }

    /// Returns whether an offer may move to a sidecar in some cycle.
    fn may_move_to(&self, attempt: &AttemptOffers, id: SidecarId, now: Duration) -> bool {
        !attempt.open.contains(&id) && self.has_share(attempt, id, now)
    }

    /// Returns whether this attempt falls into the share of a sidecar that is ejected or comes back.
    fn has_share(&self, attempt: &AttemptOffers, id: SidecarId, now: Duration) -> bool {
        let share = self.health.share_permille(id, now);
        share >= FULL_SHARE_PERMILLE
            || mix(attempt.seed, id) % u64::from(FULL_SHARE_PERMILLE) < u64::from(share)
    }
}

/// Sidecars of a prefix's order that are looked at; if all of them are over the bound, the load decides.
const FAVOURITES: usize = 3;

/// Load of a sidecar whose slots are all taken or waited for.
const FULL_LOAD_PERMILLE: u64 = 1000;

/// Part of a wait that is drawn, so that the mean stays.
const JITTER_PERCENT: std::ops::RangeInclusive<u32> = 75..=125;

/// Draws for one choice; with a third of the pool out of use, four of them fail once in eighty.
const DRAWS: u32 = 4;

/// Returns how many sidecars of a pool an entry is linked with.
fn subset_len(rules: &SelectionRules, sidecars: usize, entries: usize) -> usize {
    let needed = (sidecars * rules.min_entries_per_sidecar).div_ceil(entries.max(1));
    rules.max_links.max(needed).min(sidecars)
}
