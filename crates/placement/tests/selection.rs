//! Tests of the selection of sidecars across a pool.

use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};

use hinge_cases::cases;
use hinge_placement::{
    AttemptOffers, HealthRules, Load, Sample, SelectionRules, SidecarId, SidecarSelector,
    hash::{mix, rank},
    hints::CacheHints,
};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use rand::{SeedableRng, rngs::StdRng};

const NOW: Duration = Duration::from_secs(1);

fn checker(tests: u64) -> QuickCheck {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 1))
        .tests(tests)
}

fn rng(seed: u64) -> StdRng {
    StdRng::seed_from_u64(seed)
}

fn ids(count: u64) -> Vec<SidecarId> {
    (0..count).map(|index| mix(7, index)).collect()
}

/// Returns a selector without a limit on open offers, so rounds end once the whole pool has been offered the request.
fn selector(sidecars: &[SidecarId], entries: usize) -> SidecarSelector {
    let rules = SelectionRules {
        max_open: usize::MAX,
        ..SelectionRules::default()
    };
    selector_with(rules, sidecars, entries)
}

fn selector_with(rules: SelectionRules, sidecars: &[SidecarId], entries: usize) -> SidecarSelector {
    let mut selector = SidecarSelector::new(rules, HealthRules::default(), 42);
    selector.set_members(sidecars, entries, NOW);
    selector
}

fn load(running: u32) -> Load {
    Load {
        slots: 8,
        running,
        waiting: 0,
    }
}

fn rounds(
    selector: &SidecarSelector,
    mut attempt: AttemptOffers,
    rng: &mut StdRng,
) -> Vec<Vec<SidecarId>> {
    let mut all = Vec::new();
    while let Some(round) = selector.next_round(&mut attempt, NOW, rng) {
        if round.sidecars.is_empty() {
            break;
        }
        all.push(round.sidecars.to_vec());
    }
    all
}

/// A pool with arbitrary loads, some of them unknown, and arbitrary hints, some of them wrong.
#[derive(Debug, Clone)]
struct ArbitraryPool {
    loads: Vec<Option<u32>>,
    hints: Vec<(u64, u64)>,
    seed: u64,
}

impl Arbitrary for ArbitraryPool {
    fn arbitrary(g: &mut Gen) -> Self {
        let (loads, hints, seed) = Arbitrary::arbitrary(g);
        Self { loads, hints, seed }
    }
}

impl ArbitraryPool {
    fn build(self) -> (Vec<SidecarId>, SidecarSelector, StdRng) {
        let sidecars = ids(self.loads.len() as u64 + 1);
        let mut selector = selector(&sidecars, 300);
        for (id, running) in sidecars.iter().zip(self.loads) {
            let Some(running) = running else { continue };
            selector.record_load(*id, load(running % 12), NOW);
        }
        for (prefix, index) in self.hints {
            selector.hints.record_cached(prefix % 4, mix(7, index % 64));
        }
        (sidecars, selector, rng(self.seed))
    }
}

/// Checks that every sidecar gets exactly one offer: first the subset, then the rest of the pool, then the avoided one.
fn offers_each_sidecar_once(pool: ArbitraryPool) -> bool {
    let prefix = pool.seed.is_multiple_of(2).then_some(pool.seed % 4);
    let (mut sidecars, selector, mut rng) = pool.build();
    let avoid = sidecars[sidecars.len() / 2];
    let rounds = rounds(
        &selector,
        AttemptOffers::new(prefix, &[avoid], &mut rng),
        &mut rng,
    );
    let (mut offered, prefix_offers) = (rounds.concat(), usize::from(prefix.is_some()));
    let is_in_subset = |id: &SidecarId| selector.subset().contains(id) && *id != avoid;
    let after_prefix = &offered[prefix_offers.min(offered.len())..];
    let is_subset_first = after_prefix.is_sorted_by_key(|id| (*id == avoid, !is_in_subset(id)));
    let is_avoided_last = offered.last() == Some(&avoid);
    offered.sort_unstable();
    sidecars.sort_unstable();
    offered == sidecars && is_subset_first && is_avoided_last
}

/// Checks that the first offer for a prefix goes to a sidecar within the load bound, or by load if all exceed it.
fn respects_load_bound(pool: ArbitraryPool) -> bool {
    let prefix = pool.seed % 4;
    let (sidecars, selector, mut rng) = pool.build();
    let round = selector
        .next_round(
            &mut AttemptOffers::new(Some(prefix), &[], &mut rng),
            NOW,
            &mut rng,
        )
        .expect("the pool has sidecars");
    let bound = selector.load_bound_permille(NOW);
    let load_of = |id: &SidecarId| selector.load_permille(*id, NOW);
    let is_within = |id: &SidecarId| load_of(id).is_none_or(|load| load <= bound);
    let top_candidate = rank(prefix, &sidecars, 1)[0];
    let hinted = selector.hints.get(prefix);
    let is_hinted = hinted.iter().any(|id| sidecars.contains(id));
    let prefers_affinity =
        is_hinted || !is_within(&top_candidate) || round.sidecars[..] == [top_candidate];
    prefers_affinity && (round.sidecars.len() != 1 || is_within(&round.sidecars[0]))
}

cases! {
    every_sidecar_is_offered_the_request_once => {
        checker(1000).quickcheck(offers_each_sidecar_once as fn(ArbitraryPool) -> bool);
    }
    the_first_offer_respects_the_load_bound => {
        checker(2000).quickcheck(respects_load_bound as fn(ArbitraryPool) -> bool);
    }
    links_are_bounded_and_spread => {
        let sidecars = ids(200);
        let (mut links, mut top_candidates) = (HashMap::<SidecarId, u32>::new(), HashSet::new());
        for entry in 0..300 {
            let mut selector = SidecarSelector::new(SelectionRules::default(), HealthRules::default(), mix(3, entry));
            selector.set_members(&sidecars, 300, NOW);
            assert_eq!(selector.subset().len(), 20);
            selector.subset().iter().for_each(|id| *links.entry(*id).or_default() += 1);
            top_candidates.insert(rank(99, selector.subset(), 1)[0]);
        }
        let (least, most) = (links.values().min(), links.values().max());
        println!("entries per sidecar: {least:?} to {most:?}; top candidates for a prefix: {}", top_candidates.len());
        assert!(links.len() == 200 && least >= Some(&15) && most <= Some(&50) && top_candidates.len() <= 60);
    }
    few_entries_have_the_whole_pool_as_subset => {
        assert_eq!(selector(&ids(200), 3).subset().len(), 200);
        assert_eq!(selector(&ids(12), 300).subset().len(), 12);
    }
    a_new_sidecar_replaces_at_most_one_link => {
        let mut sidecars = ids(201);
        let after = selector(&sidecars, 300);
        sidecars.pop();
        let before = selector(&sidecars, 300);
        let kept = before.subset().iter().filter(|id| after.subset().contains(id)).count();
        assert!(kept >= 19);
    }
    a_hinted_sidecar_is_first_and_an_unknown_one_is_ignored => {
        let sidecars = ids(10);
        let mut selector = selector(&sidecars, 300);
        let top_candidate = rank(5, &sidecars, 1)[0];
        let other = *sidecars.iter().find(|id| **id != top_candidate).expect("the pool has ten sidecars");
        selector.hints.record_cached(5, 12345);
        selector.hints.record_cached(5, other);
        let first = |selector: &SidecarSelector| rounds(selector, AttemptOffers::new(Some(5), &[], &mut rng(1)), &mut rng(2))[0].clone();
        assert_eq!(first(&selector), [other]);
        selector.hints.record_evicted(5, other);
        assert_eq!(first(&selector), [top_candidate]);
    }
    hints_are_bounded => {
        let mut hints = CacheHints::new(2);
        (0..5).for_each(|prefix| hints.record_cached(prefix, 1));
        assert_eq!((hints.len(), hints.get(2), hints.get(4)), (2, &[][..], &[1][..]));
    }
    the_less_loaded_of_two_sidecars_is_picked => {
        let sidecars = ids(20);
        let mut selector = selector(&sidecars, 300);
        sidecars.iter().zip(0..).for_each(|(id, index)| selector.record_load(*id, load(index % 2 * 8), NOW));
        selector.record_assignment(sidecars[0]);
        assert_eq!(selector.load_permille(sidecars[0], NOW), Some(125));
        let mut rng = rng(1);
        let offers: Vec<_> = (0..1000)
            .flat_map(|_| selector.next_round(&mut AttemptOffers::new(None, &[], &mut rng), NOW, &mut rng).expect("the pool has sidecars").sidecars)
            .collect();
        let busy = offers.iter().filter(|id| selector.load_permille(**id, NOW) == Some(1000)).count();
        assert_eq!(offers.len(), 2000);
        assert!(busy < 600, "one in four pairs of draws is two busy sidecars, but {busy} of 2000 offers went to busy ones");
    }
    an_old_load_is_ignored => {
        let mut selector = selector(&ids(2), 300);
        selector.record_load(mix(7, 0), load(8), NOW);
        assert_eq!(selector.load_permille(mix(7, 0), NOW + Duration::from_secs(3)), None);
    }
    an_ejected_sidecar_gets_no_offer => {
        let sidecars = ids(6);
        let mut selector = selector(&sidecars, 300);
        for _ in 0..5 {
            selector.health.observe(sidecars[0], Sample::Failed, NOW, &mut rng(1));
        }
        for seed in 0..100 {
            let offered = rounds(&selector, AttemptOffers::new(Some(seed), &[], &mut rng(seed)), &mut rng(seed)).concat();
            assert!(offered.len() == 5 && !offered.contains(&sidecars[0]));
        }
    }
}
