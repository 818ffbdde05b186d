//! Tests of how a waiting request limits its open offers and moves them across the pool.

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

/// A waiting request in a pool where no sidecar grants a slot.
struct WaitingRequest {
    selector: SidecarSelector,
    attempt: AttemptOffers,
    rng: StdRng,
    now: Duration,
}

impl WaitingRequest {
    fn new(sidecars: &[SidecarId], max_open: usize, seed: u64) -> Self {
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

    /// Starts the next round without recording its withdrawal.
    fn start_round(&mut self) -> Option<Round> {
        let round = self
            .selector
            .next_round(&mut self.attempt, self.now, &mut self.rng)?;
        self.now += round.widen_after;
        Some(round)
    }

    fn round(&mut self) -> Option<Vec<SidecarId>> {
        let round = self.start_round()?;
        if let Some(old) = round.withdraw {
            self.attempt.record_withdrawal(old);
        }
        Some(round.sidecars.to_vec())
    }

    fn rounds(&mut self, count: usize) -> Vec<SidecarId> {
        (0..count).filter_map(|_| self.round()).flatten().collect()
    }

    fn report_load(&mut self, sidecar: SidecarId, running: u32) {
        let load = Load {
            slots: 8,
            running,
            waiting: 0,
        };
        self.selector.record_load(sidecar, load, self.now);
    }
}

/// Checks the offers under random refusals, late withdrawals, ejections and loads.
///
/// The open offers exceed the limit by at most one, only open offers are withdrawn, and each round leaves an offer open until
/// all sidecars have refused.
fn keeps_offers_bounded(count: u8, max_open: u8, seed: u64) -> bool {
    let sidecars = ids(u64::from(count % 24) + 1);
    let max_open = usize::from(max_open % 5) + 1;
    let mut request = WaitingRequest::new(&sidecars, max_open, seed);
    let mut pending_withdrawal = None;
    for _ in 0..200 {
        let before = request.attempt.open_offers().to_vec();
        let Some(round) = request.start_round() else {
            return before.is_empty();
        };
        let open = request.attempt.open_offers().to_vec();
        let is_distinct = open
            .iter()
            .all(|id| open.iter().filter(|other| *other == id).count() == 1);
        let withdraws_open_offer = round
            .withdraw
            .is_none_or(|id| before.contains(&id) && before.len() == max_open);
        let moves_one_offer = round.withdraw.is_none() || round.sidecars.len() == 1;
        if open.is_empty()
            || open.len() > max_open + 1
            || !is_distinct
            || !withdraws_open_offer
            || !moves_one_offer
        {
            return false;
        }
        pending_withdrawal = round.withdraw.or(pending_withdrawal);
        let id = sidecars[request.rng.random_range(0..sidecars.len())];
        match request.rng.random_range(0..6) {
            0 if open.contains(&id) => request.attempt.record_refusal(id),
            1 => request.report_load(id, 3),
            2 => drop(request.selector.health.observe(
                id,
                Sample::Failed,
                request.now,
                &mut StdRng::seed_from_u64(1),
            )),
            3 => {}
            _ => pending_withdrawal
                .take()
                .into_iter()
                .for_each(|id| request.attempt.record_withdrawal(id)),
        }
    }
    true
}

/// Checks that every sidecar gets an offer within a cycle, even if some sidecars always report a free slot.
///
/// A cycle takes at most two rounds for each sidecar. Later checks allow two cycles, as they may start in the middle of one.
fn offers_to_all_within_cycles(count: u8, free: u8, seed: u64) -> bool {
    let sidecars = ids(u64::from(count % 40) + 4);
    let mut request = WaitingRequest::new(&sidecars, 3, seed);
    let mut offered = request.rounds(2);
    for rounds in [2, 4] {
        for _ in 0..rounds * sidecars.len() {
            sidecars
                .iter()
                .take(usize::from(free % 8))
                .for_each(|id| request.report_load(*id, 3));
            offered.extend(request.round().expect("an offer is open"));
        }
        if !sidecars.iter().all(|id| offered.contains(id)) {
            return false;
        }
        offered.clear();
    }
    true
}

/// Checks that a sidecar that joins gets an offer in the next round, and one that refused within two cycles.
fn offers_to_returning(count: u8, seed: u64) -> bool {
    let sidecars = ids(u64::from(count % 40) + 5);
    let (joined, others) = sidecars.split_last().expect("the pool has five sidecars");
    let mut request = WaitingRequest::new(others, 3, seed);
    request.rounds(3 + usize::from(count));
    request.selector.set_members(&sidecars, 300, request.now);
    let is_next = request.rounds(1) == [*joined];
    request.attempt.record_refusal(*joined);
    is_next && request.rounds(2 * sidecars.len() + 1).contains(joined)
}

/// Checks that an attempt ends once every sidecar has refused, including those whose earlier offers were withdrawn.
fn ends_when_all_refuse(count: u8, moves: u8, seed: u64) -> bool {
    let sidecars = ids(u64::from(count % 40) + 1);
    let mut request = WaitingRequest::new(&sidecars, 3, seed);
    let mut not_refused = sidecars.clone();
    request.rounds(usize::from(moves % 50) + 1);
    for _ in 0..200 {
        for id in request.attempt.open_offers().to_vec() {
            request.attempt.record_refusal(id);
            not_refused.retain(|one| *one != id);
        }
        if request.round().is_none() {
            return not_refused.is_empty();
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
    open_offers_are_bounded_and_never_empty => {
        checker().quickcheck(keeps_offers_bounded as fn(u8, u8, u64) -> bool);
    }
    every_sidecar_is_offered_the_request_within_two_cycles => {
        checker().quickcheck(offers_to_all_within_cycles as fn(u8, u8, u64) -> bool);
    }
    a_sidecar_that_joins_or_refused_is_offered_the_request => {
        checker().quickcheck(offers_to_returning as fn(u8, u64) -> bool);
    }
    an_attempt_ends_when_all_sidecars_refuse => {
        checker().quickcheck(ends_when_all_refuse as fn(u8, u8, u64) -> bool);
    }
    a_readmitted_sidecar_gets_the_next_offer => {
        let sidecars = ids(20);
        let mut request = WaitingRequest::new(&sidecars, 3, 1);
        for _ in 0..5 {
            request.selector.health.observe(sidecars[0], Sample::Failed, NOW, &mut StdRng::seed_from_u64(1));
        }
        assert!(!request.rounds(100).contains(&sidecars[0]));
        for _ in 0..2 {
            request.now += Duration::from_mins(1);
            assert_eq!(request.selector.health.start_probes(request.now)[..], [sidecars[0]]);
            request.selector.record_probe(sidecars[0], true, request.now, &mut StdRng::seed_from_u64(1));
        }
        // During the ramp, only some attempts offer the request to the sidecar; after it, all do.
        request.now += Duration::from_secs(31);
        assert_eq!(request.rounds(1), [sidecars[0]]);
    }
    a_sidecar_with_a_free_slot_is_offered_the_request_early => {
        let sidecars = ids(20);
        let mut request = WaitingRequest::new(&sidecars, 3, 1);
        request.rounds(3);
        let free = *sidecars.iter().find(|id| !request.attempt.open_offers().contains(id)).expect("the pool has twenty sidecars");
        request.now += Duration::from_millis(1);
        for id in &sidecars {
            request.report_load(*id, if *id == free { 7 } else { 8 });
        }
        assert!(request.rounds(2).contains(&free));
    }
    waits_grow_to_the_limit_with_jitter => {
        let mut request = WaitingRequest::new(&ids(20), 3, 1);
        let waits: Vec<_> = (0..40).filter_map(|_| request.start_round().inspect(|round| {
            round.withdraw.into_iter().for_each(|id| request.attempt.record_withdrawal(id));
        })).map(|round| round.widen_after).collect();
        let rules = SelectionRules::default();
        assert_eq!(waits[0], rules.widen_after);
        let late = &waits[14..];
        assert!(late.iter().all(|wait| *wait * 4 >= rules.max_rotate_after * 3 && *wait * 4 <= rules.max_rotate_after * 5));
        assert!(late.iter().any(|wait| *wait != late[0]));
        let mut urgent = WaitingRequest::new(&ids(20), 3, 1);
        urgent.attempt = urgent.attempt.with_urgency(true);
        urgent.rounds(14);
        assert!(urgent.start_round().expect("an offer is open").widen_after * 4 <= rules.max_urgent_rotate_after * 5);
    }
}
