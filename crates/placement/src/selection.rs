//! Selects the sidecars of a pool to which an entry offers a request.
//!
//! The first round offers the request to the sidecar that is most likely to have the prompt's prefix cached, unless its known
//! load exceeds a bound. The second round makes a few offers, each to the less loaded of two random sidecars. Each further
//! round doubles in size until the request has been offered to the entry's whole subset of the pool, and then to the rest of it.
//!
//! A request has a limited number of open offers. Once it reaches the limit, each round moves the oldest offer to another
//! sidecar. In a backlog, this finds sidecars that returned or became idle without offering every request to every sidecar.

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

/// A sidecar's load as of its last message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Maximum concurrent requests.
    pub slots: u32,
    /// Running requests.
    pub running: u32,
    /// Offers waiting for a slot.
    pub waiting: u32,
}

impl Load {
    /// Returns the number of running and waiting requests per slot, in thousandths.
    #[must_use]
    pub fn permille(&self) -> u64 {
        let work = u64::from(self.running) + u64::from(self.waiting);
        work * 1000 / u64::from(self.slots.max(1))
    }
}

/// A load and the time at which it was observed.
#[derive(Debug, Clone, Copy)]
struct ObservedLoad {
    load: Load,
    at: Duration,
}

/// A round of offers for one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Round {
    /// Sidecars to offer the request to; empty if all eligible ones already have an open offer.
    pub sidecars: SmallVec<[SidecarId; 4]>,
    /// Sidecar whose offer to withdraw once the new one is sent; the caller then calls
    /// [`AttemptOffers::record_withdrawal`].
    pub withdraw: Option<SidecarId>,
    /// Time to wait for a grant before the next round, which may start early if all offers of this round are refused.
    pub widen_after: Duration,
}

/// Selects sidecars of one pool for one entry.
#[derive(Debug)]
pub struct SidecarSelector {
    rules: SelectionRules,
    entry: EntryId,
    subset: Vec<SidecarId>,
    outside_subset: Vec<SidecarId>,
    loads: HashMap<SidecarId, ObservedLoad>,
    /// Times at which sidecars joined the pool after the initial members or were readmitted.
    returned_at: HashMap<SidecarId, Duration>,
    /// Health of the pool's sidecars, as seen by this entry.
    pub health: PoolHealth,
    /// Prefix cache hints from the pool's endpoints.
    pub hints: CacheHints,
}

impl SidecarSelector {
    /// Returns a selector for a pool without sidecars.
    #[must_use]
    pub fn new(rules: SelectionRules, health_rules: HealthRules, entry: EntryId) -> Self {
        Self {
            rules,
            entry,
            subset: Vec::new(),
            outside_subset: Vec::new(),
            loads: HashMap::new(),
            returned_at: HashMap::new(),
            health: PoolHealth::new(health_rules),
            hints: CacheHints::new(rules.max_hints),
        }
    }

    /// Sets the pool's members and the number of entries in the fleet.
    pub fn set_members(&mut self, sidecars: &[SidecarId], entries: usize, now: Duration) {
        let ranked = rank(self.entry, sidecars, sidecars.len());
        if !self.subset.is_empty() {
            let is_new =
                |id: &&SidecarId| !self.subset.contains(id) && !self.outside_subset.contains(id);
            let joined: Vec<_> = ranked.iter().filter(is_new).map(|id| (*id, now)).collect();
            self.returned_at.extend(joined);
        }
        self.returned_at.retain(|id, _| ranked.contains(id));
        let links = subset_len(&self.rules, sidecars.len(), entries);
        let (subset, outside_subset) = ranked.split_at(links);
        self.subset = subset.to_vec();
        self.outside_subset = outside_subset.to_vec();
        self.loads.retain(|id, _| ranked.contains(id));
        self.health.set_members(sidecars, now);
    }

    /// Records the result of a probe; waiting requests are offered to a readmitted sidecar first.
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
            self.returned_at.insert(sidecar, now);
        }
    }

    /// Returns the sidecars that the entry should keep links to.
    #[must_use]
    pub fn subset(&self) -> &[SidecarId] {
        &self.subset
    }

    /// Records the load from a sidecar's message.
    pub fn record_load(&mut self, sidecar: SidecarId, load: Load, now: Duration) {
        self.loads.insert(sidecar, ObservedLoad { load, at: now });
    }

    /// Counts a request that was just assigned to a sidecar, until the sidecar's next message includes it.
    pub fn record_assignment(&mut self, sidecar: SidecarId) {
        if let Some(observed) = self.loads.get_mut(&sidecar) {
            observed.load.running = observed.load.running.saturating_add(1);
        }
    }

    /// Returns a sidecar's load in thousandths, or `None` if it is unknown or too old.
    #[must_use]
    pub fn load_permille(&self, sidecar: SidecarId, now: Duration) -> Option<u64> {
        let observed = self.loads.get(&sidecar)?;
        let is_fresh = now.saturating_sub(observed.at) <= self.rules.max_load_age;
        is_fresh.then(|| observed.load.permille())
    }

    /// Returns the load, in thousandths, above which affinity candidates are skipped.
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

    /// Returns the next round, or `None` if no offer is open and every eligible sidecar has refused the request.
    ///
    /// A round has no sidecars while all eligible ones have an open offer, or while the last withdrawal is pending. There is
    /// therefore always a next round as long as an offer is open.
    pub fn next_round(
        &self,
        attempt: &mut AttemptOffers,
        now: Duration,
        rng: &mut impl Rng,
    ) -> Option<Round> {
        attempt.first_round_at.get_or_insert(now);
        let max_open = self.rules.max_open.max(1);
        let is_at_open_limit = attempt.open.len() >= max_open;
        let mut sidecars = SmallVec::new();
        if attempt.open.len() <= max_open {
            let max_count = max_open.saturating_sub(attempt.open.len()).max(1);
            self.pick_next(attempt, max_count, now, rng, &mut sidecars);
        }
        if sidecars.is_empty() && attempt.open.is_empty() {
            return None;
        }
        let oldest = attempt.open.first().copied();
        let withdraw = oldest.filter(|_| is_at_open_limit && !sidecars.is_empty());
        for id in &sidecars {
            attempt.record_offer(*id, now);
        }
        let widen_after = self.next_wait(attempt, is_at_open_limit, rng);
        attempt.rounds += 1;
        Some(Round {
            sidecars,
            withdraw,
            widen_after,
        })
    }

    /// Returns the wait after a round, which doubles up to a limit; the limit is longer once rounds only move offers.
    fn next_wait(
        &self,
        attempt: &AttemptOffers,
        is_at_open_limit: bool,
        rng: &mut impl Rng,
    ) -> Duration {
        let wait = self.rules.widen_after * (1 << attempt.rounds.min(16));
        if attempt.is_first_cycle && !is_at_open_limit {
            return wait.min(self.rules.max_widen_after);
        }
        let max = if attempt.is_urgent {
            self.rules.max_urgent_rotate_after
        } else {
            self.rules.max_rotate_after
        };
        // Without jitter, requests that queued at the same time would all leave a sidecar at once.
        wait.min(max) * rng.random_range(JITTER_PERCENT) / 100
    }

    fn pick_next(
        &self,
        attempt: &mut AttemptOffers,
        max_count: usize,
        now: Duration,
        rng: &mut impl Rng,
        picked: &mut SmallVec<[SidecarId; 4]>,
    ) {
        if matches!(attempt.stage, Stage::Prefix) {
            self.pick_by_prefix(attempt, now, picked);
            picked.truncate(max_count);
            attempt.stage = Stage::Load;
        }
        if picked.is_empty() && matches!(attempt.stage, Stage::Load) {
            self.pick_by_load(attempt, max_count, now, rng, picked);
            attempt.stage = Stage::Widen;
        }
        if picked.is_empty() {
            if matches!(attempt.stage, Stage::Widen) {
                // Built only now, as most requests get a slot in the first rounds.
                let remaining = self.remaining(attempt, now, rng);
                attempt.stage = Stage::Remaining(remaining);
            }
            self.pick_remaining(attempt, max_count, now, rng, picked);
        }
    }

    /// Picks affinity candidates: sidecars named by cache events, then the prefix's highest-ranked by rendezvous hashing.
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
        let in_scope = |id: &SidecarId| {
            self.subset.contains(id) || self.affinity_outside_subset().contains(id)
        };
        let hinted = self.hints.get(prefix).iter().copied().filter(in_scope);
        let affinity_candidates = self.affinity_candidates(prefix);
        for id in hinted.chain(affinity_candidates) {
            if picked.len() == self.rules.affinity_offers {
                return;
            }
            let is_within = self.load_permille(id, now).is_none_or(|load| load <= bound);
            if is_within && self.may_offer(attempt, id, now) && !picked.contains(&id) {
                picked.push(id);
            }
        }
    }

    /// Returns the sidecars outside the subset that may be affinity candidates.
    fn affinity_outside_subset(&self) -> &[SidecarId] {
        match self.rules.affinity_scope {
            AffinityScope::Subset => &[],
            AffinityScope::Pool => &self.outside_subset,
        }
    }

    /// Returns the highest-ranked sidecars for a prefix, by rendezvous hashing.
    fn affinity_candidates(&self, prefix: PrefixHash) -> SmallVec<[SidecarId; 4]> {
        let mut best = SmallVec::<[(u64, SidecarId); 4]>::new();
        for id in self.subset.iter().chain(self.affinity_outside_subset()) {
            let ranked = (mix(prefix, *id), *id);
            let position = best.partition_point(|other| *other > ranked);
            if position < MAX_AFFINITY_CANDIDATES {
                best.truncate(MAX_AFFINITY_CANDIDATES - 1);
                best.insert(position, ranked);
            }
        }
        best.into_iter().map(|(_, id)| id).collect()
    }

    /// Picks the less loaded of two random sidecars of the subset, once for each offer of the round.
    fn pick_by_load(
        &self,
        attempt: &AttemptOffers,
        max_count: usize,
        now: Duration,
        rng: &mut impl Rng,
        picked: &mut SmallVec<[SidecarId; 4]>,
    ) {
        let count = self
            .rules
            .first_offers
            .min(self.subset.len())
            .min(max_count);
        for _ in 0..count {
            let left = self.draw_eligible(attempt, picked, now, rng);
            let right = self.draw_eligible(attempt, picked, now, rng);
            let better = match (left, right) {
                (Some(left), Some(right)) => Some(self.less_loaded(left, right, now)),
                (left, right) => left.or(right),
            };
            if let Some(id) = better {
                picked.push(id);
            }
        }
    }

    fn draw_eligible(
        &self,
        attempt: &AttemptOffers,
        picked: &[SidecarId],
        now: Duration,
        rng: &mut impl Rng,
    ) -> Option<SidecarId> {
        // A few attempts are enough, because the later rounds reach all sidecars.
        for _ in 0..MAX_DRAWS {
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

    /// Picks twice as many sidecars as the last round, up to `max_count`.
    ///
    /// Sidecars that returned come first, then those with a free slot, then the rest of the cycle: the subset, the rest of the
    /// pool, and last the sidecars to avoid.
    fn pick_remaining(
        &self,
        attempt: &mut AttemptOffers,
        max_count: usize,
        now: Duration,
        rng: &mut impl Rng,
        picked: &mut SmallVec<[SidecarId; 4]>,
    ) {
        let doublings = attempt.rounds.min(16);
        let count = max_count.min(self.rules.first_offers.max(1) << doublings);
        while picked.len() < count {
            let returned_or_free = self.returned_or_free(attempt, picked, now);
            let next = returned_or_free.or_else(|| self.next_in_cycle(attempt, picked, now, rng));
            let Some(id) = next else {
                return;
            };
            picked.push(id);
        }
    }

    /// Returns a sidecar that returned, or reported a free slot, since its last offer.
    fn returned_or_free(
        &self,
        attempt: &AttemptOffers,
        picked: &[SidecarId],
        now: Duration,
    ) -> Option<SidecarId> {
        let is_free = |id: SidecarId| self.may_move_to(attempt, id, now) && !picked.contains(&id);
        let since = |id| attempt.last_offer_at(id).or(attempt.first_round_at);
        let returned = self.returned_at.iter();
        let returned = returned.filter(|(id, at)| Some(**at) > since(**id) && is_free(**id));
        if let Some((_, id)) = returned.map(|(id, _)| (mix(attempt.seed, *id), *id)).max() {
            return Some(id);
        }
        // Only every other round, so that a sidecar that always reports a free slot can't starve the others of offers.
        if attempt.rounds.is_multiple_of(2) {
            return None;
        }
        let observed = self.loads.iter();
        let observed =
            observed.filter(|(id, observed)| Some(observed.at) > since(**id) && is_free(**id));
        let with_free_slot =
            observed.filter_map(|(id, _)| Some((self.load_permille(*id, now)?, *id)));
        let with_free_slot = with_free_slot.filter(|(load, _)| *load < FULL_LOAD_PERMILLE);
        let least_loaded = with_free_slot.min_by_key(|(load, id)| (*load, mix(attempt.seed, *id)));
        least_loaded.map(|(_, id)| id)
    }

    /// Returns the next sidecar of the cycle, starting a new cycle over the whole pool at its end.
    fn next_in_cycle(
        &self,
        attempt: &mut AttemptOffers,
        picked: &[SidecarId],
        now: Duration,
        rng: &mut impl Rng,
    ) -> Option<SidecarId> {
        if let Some(id) = self.pop_remaining(attempt, picked, now) {
            return Some(id);
        }
        if !picked.is_empty() {
            return None;
        }
        attempt.is_first_cycle = false;
        let mut cycle = self.remaining(attempt, now, rng);
        if attempt.open.is_empty() {
            // Every sidecar has just refused, so offering the request to them again would be pointless.
            cycle.retain(|id| !attempt.refused.contains(id));
        }
        attempt.stage = Stage::Remaining(cycle);
        self.pop_remaining(attempt, picked, now)
    }

    /// Removes and returns the next sidecar of the cycle that may get an offer.
    fn pop_remaining(
        &self,
        attempt: &mut AttemptOffers,
        picked: &[SidecarId],
        now: Duration,
    ) -> Option<SidecarId> {
        loop {
            let Stage::Remaining(remaining) = &mut attempt.stage else {
                return None;
            };
            let id = remaining.pop()?;
            if self.is_member(id) && self.may_move_to(attempt, id, now) && !picked.contains(&id) {
                return Some(id);
            }
        }
    }

    fn is_member(&self, id: SidecarId) -> bool {
        self.subset.contains(&id) || self.outside_subset.contains(&id)
    }

    /// Returns all sidecars that may still get an offer in this cycle, the next one last.
    fn remaining(
        &self,
        attempt: &AttemptOffers,
        now: Duration,
        rng: &mut impl Rng,
    ) -> Vec<SidecarId> {
        let mut in_subset: Vec<_> = self.eligible(&self.subset, attempt, now).collect();
        let mut outside: Vec<_> = self.eligible(&self.outside_subset, attempt, now).collect();
        let all = self.subset.iter().chain(&self.outside_subset).copied();
        let avoided =
            all.filter(|id| attempt.avoided.contains(id) && self.may_move_to(attempt, *id, now));
        let mut remaining: Vec<_> = avoided.collect();
        in_subset.shuffle(rng);
        outside.shuffle(rng);
        remaining.append(&mut outside);
        remaining.append(&mut in_subset);
        remaining
    }

    fn eligible<'a>(
        &'a self,
        sidecars: &'a [SidecarId],
        attempt: &'a AttemptOffers,
        now: Duration,
    ) -> impl Iterator<Item = SidecarId> + 'a {
        let ids = sidecars.iter().copied();
        ids.filter(move |id| self.may_offer(attempt, *id, now))
    }

    fn may_offer(&self, attempt: &AttemptOffers, id: SidecarId, now: Duration) -> bool {
        let is_offered = attempt.is_first_cycle && attempt.last_offer_at(id).is_some();
        !is_offered && !attempt.avoided.contains(&id) && self.may_move_to(attempt, id, now)
    }

    /// Returns whether a sidecar may get an offer in any cycle.
    fn may_move_to(&self, attempt: &AttemptOffers, id: SidecarId, now: Duration) -> bool {
        !attempt.open.contains(&id) && self.is_in_share(attempt, id, now)
    }

    /// Returns whether this attempt falls within the sidecar's current share of offers.
    fn is_in_share(&self, attempt: &AttemptOffers, id: SidecarId, now: Duration) -> bool {
        let share = self.health.share_permille(id, now);
        share >= FULL_SHARE_PERMILLE
            || mix(attempt.seed, id) % u64::from(FULL_SHARE_PERMILLE) < u64::from(share)
    }
}

/// Maximum affinity candidates by rank; if all exceed the load bound, the sidecar is picked by load.
const MAX_AFFINITY_CANDIDATES: usize = 3;

/// Load of a sidecar with as many running and waiting requests as slots.
const FULL_LOAD_PERMILLE: u64 = 1000;

/// Range of the random factor on a wait; its mean is 100, so jitter doesn't change the mean wait.
const JITTER_PERCENT: std::ops::RangeInclusive<u32> = 75..=125;

/// Maximum random draws for one pick; with a third of the pool unusable, four draws all fail once in eighty picks.
const MAX_DRAWS: u32 = 4;

/// Returns how many sidecars of a pool an entry keeps links to.
fn subset_len(rules: &SelectionRules, sidecars: usize, entries: usize) -> usize {
    let needed = (sidecars * rules.min_entries_per_sidecar).div_ceil(entries.max(1));
    rules.max_links.max(needed).min(sidecars)
}
