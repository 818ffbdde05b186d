//! Checks how a waiting request keeps a few open offers and moves them over the pool.

use std::time::Duration;

use hinge_cases::cases;
use hinge_placement::{
    AttemptOffers, HealthRules, Load, Round, Sample, SelectionRules, SidecarId, SidecarSelector,
    hash::mix,
};
use quickcheck::{Gen, QuickCheck};
use rand::{RngExt, SeedableRng, rngs::StdRng};

const NOW: Duration = Duration::from_secs(1);

fn ids(count: u64) -> Vec<SidecarId> {
    (0..count).map(|index| mix(7, index)).collect()
}

/// A waiting request in a pool in which nobody grants.
struct Waiting {
    selector: SidecarSelector,
    attempt: AttemptOffers,
    rng: StdRng,
    now: Duration,
}

impl Waiting {
    fn open(sidecars: &[SidecarId], max_open: usize, seed: u64) -> Self {
        let rules = SelectionRules {
            max_open,
            ..SelectionRules::default()
        };
        let mut selector = SidecarSelector::new(rules, HealthRules::default(), 42);
        selector.set_members(sidecars, 300, NOW);
        let mut rng = StdRng::seed_from_u64(seed);
        let prefix = seed.is_multiple_of(2).then_some(seed);
        Self {
            selector,
            attempt: AttemptOffers::new(prefix, &[], &mut rng),
            rng,
            now: NOW,
        }
    }

    /// Takes the next round, without what it withdraws.
    fn half_round(&mut self) -> Option<Round> {
        let round = self
            .selector
            .next_round(&mut self.attempt, self.now, &mut self.rng)?;
        self.now += round.widen_after;
        Some(round)
    }

    fn round(&mut self) -> Option<Vec<SidecarId>> {
        let round = self.half_round()?;
        if let Some(old) = round.withdraw {
            self.attempt.record_withdrawal(old);
        }
        Some(round.sidecars.to_vec())
    }

    fn rounds(&mut self, count: usize) -> Vec<SidecarId> {
        (0..count).filter_map(|_| self.round()).flatten().collect()
    }

    fn saw(&mut self, sidecar: SidecarId, running: u32) {
        let load = Load {
            slots: 8,
            running,
            waiting: 0,
        };
        self.selector.record_load(sidecar, load, self.now);
    }
}

/// Whatever is refused, withdrawn late, ejected or seen: the open offers are at most the cap and one, only an open offer is
/// withdrawn, and there is a round with an open offer until all have refused.
fn offers_are_bounded(count: u8, max_open: u8, seed: u64) -> bool {
    let sidecars = ids(u64::from(count % 24) + 1);
    let max_open = usize::from(max_open % 5) + 1;
    let mut waiting = Waiting::open(&sidecars, max_open, seed);
    let mut due = None;
    for _ in 0..200 {
        let before = waiting.attempt.open_offers().to_vec();
        let Some(round) = waiting.half_round() else {
            return before.is_empty();
        };
        let open = waiting.attempt.open_offers().to_vec();
        let is_distinct = open
            .iter()
            .all(|id| open.iter().filter(|other| *other == id).count() == 1);
        let is_known = round
            .withdraw
            .is_none_or(|id| before.contains(&id) && before.len() == max_open);
        let is_moved = round.withdraw.is_none() || round.sidecars.len() == 1;
        if open.is_empty() || open.len() > max_open + 1 || !is_distinct || !is_known || !is_moved {
            return false;
        }
        due = round.withdraw.or(due);
        let id = sidecars[waiting.rng.random_range(0..sidecars.len())];
        match waiting.rng.random_range(0..6) {
            0 if open.contains(&id) => waiting.attempt.record_refusal(id),
            1 => waiting.saw(id, 3),
            2 => drop(waiting.selector.health.observe(
                id,
                Sample::Failed,
                waiting.now,
                &mut StdRng::seed_from_u64(1),
            )),
            3 => {}
            _ => due
                .take()
                .into_iter()
                .for_each(|id| waiting.attempt.record_withdrawal(id)),
        }
    }
    true
}

/// Every sidecar is offered within two rounds for each, and later within the two cycles of such rounds that a span may
/// overlap, though some always look free.
fn all_get_their_turn(count: u8, free: u8, seed: u64) -> bool {
    let sidecars = ids(u64::from(count % 40) + 4);
    let mut waiting = Waiting::open(&sidecars, 3, seed);
    let mut offered = waiting.rounds(2);
    for rounds in [2, 4] {
        for _ in 0..rounds * sidecars.len() {
            sidecars
                .iter()
                .take(usize::from(free % 8))
                .for_each(|id| waiting.saw(*id, 3));
            offered.extend(waiting.round().expect("an offer is open"));
        }
        if !sidecars.iter().all(|id| offered.contains(id)) {
            return false;
        }
        offered.clear();
    }
    true
}

/// A sidecar that joins is offered in the next round, and a refused one within two cycles.
fn returns_are_found(count: u8, seed: u64) -> bool {
    let sidecars = ids(u64::from(count % 40) + 5);
    let (back, others) = sidecars.split_last().expect("five sidecars");
    let mut waiting = Waiting::open(others, 3, seed);
    waiting.rounds(3 + usize::from(count));
    waiting.selector.set_members(&sidecars, 300, waiting.now);
    let is_next = waiting.rounds(1) == [*back];
    waiting.attempt.record_refusal(*back);
    is_next && waiting.rounds(2 * sidecars.len() + 1).contains(back)
}

/// A attempt of which all offers are refused tries every sidecar once, withdrawn ones again, and ends.
fn refusals_end(count: u8, moves: u8, seed: u64) -> bool {
    let sidecars = ids(u64::from(count % 40) + 1);
    let mut waiting = Waiting::open(&sidecars, 3, seed);
    let mut refusing = sidecars.clone();
    waiting.rounds(usize::from(moves % 50) + 1);
    for _ in 0..200 {
        for id in waiting.attempt.open_offers().to_vec() {
            waiting.attempt.record_refusal(id);
            refusing.retain(|one| *one != id);
        }
        if waiting.round().is_none() {
            return refusing.is_empty();
        }
    }
    false
}

fn checker() -> QuickCheck {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 1))
        .tests(1000)
}

cases! {
    open_offers_are_bounded_and_never_none => {
        checker().quickcheck(offers_are_bounded as fn(u8, u8, u64) -> bool);
    }
    every_sidecar_gets_its_turn => {
        checker().quickcheck(all_get_their_turn as fn(u8, u8, u64) -> bool);
    }
    a_returning_sidecar_is_found => {
        checker().quickcheck(returns_are_found as fn(u8, u64) -> bool);
    }
    a_request_that_all_refuse_ends => {
        checker().quickcheck(refusals_end as fn(u8, u8, u64) -> bool);
    }
    a_readmitted_sidecar_is_next => {
        let sidecars = ids(20);
        let mut waiting = Waiting::open(&sidecars, 3, 1);
        for _ in 0..5 {
            waiting.selector.health.observe(sidecars[0], Sample::Failed, NOW, &mut StdRng::seed_from_u64(1));
        }
        assert!(!waiting.rounds(100).contains(&sidecars[0]));
        for _ in 0..2 {
            waiting.now += Duration::from_mins(1);
            assert_eq!(waiting.selector.health.start_probes(waiting.now)[..], [sidecars[0]]);
            waiting.selector.record_probe(sidecars[0], true, waiting.now, &mut StdRng::seed_from_u64(1));
        }
        // The ramp's share takes in one attempt after the other; after it, each has had its chance.
        waiting.now += Duration::from_secs(31);
        assert_eq!(waiting.rounds(1), [sidecars[0]]);
    }
    free_room_is_tried_early => {
        let sidecars = ids(20);
        let mut waiting = Waiting::open(&sidecars, 3, 1);
        waiting.rounds(3);
        let free = *sidecars.iter().find(|id| !waiting.attempt.open_offers().contains(id)).expect("twenty");
        waiting.now += Duration::from_millis(1);
        for id in &sidecars {
            waiting.saw(*id, if *id == free { 7 } else { 8 });
        }
        assert!(waiting.rounds(2).contains(&free));
    }
    waits_grow_to_the_limit_with_jitter => {
        let mut waiting = Waiting::open(&ids(20), 3, 1);
        let waits: Vec<_> = (0..40).filter_map(|_| waiting.half_round().inspect(|round| {
            round.withdraw.into_iter().for_each(|id| waiting.attempt.record_withdrawal(id));
        })).map(|round| round.widen_after).collect();
        let rules = SelectionRules::default();
        assert_eq!(waits[0], rules.widen_after);
        let late = &waits[14..];
        assert!(late.iter().all(|wait| *wait * 4 >= rules.max_rotate_after * 3 && *wait * 4 <= rules.max_rotate_after * 5));
        assert!(late.iter().any(|wait| *wait != late[0]));
        let mut urgent = Waiting::open(&ids(20), 3, 1);
        urgent.attempt = urgent.attempt.with_urgency(true);
        urgent.rounds(14);
        assert!(urgent.half_round().expect("a round").widen_after * 4 <= rules.max_urgent_rotate_after * 5);
    }
}
