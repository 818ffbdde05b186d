//! Tests of the code without I/O: dispatch, metering and fencing.

use std::collections::HashMap;
use std::time::Duration;

use hinge_cases::cases;
use hinge_fair::{Class, Limits};
use hinge_outcome::{ClaimId, Reason, RunEvent, Verdict};
use hinge_placement::SlotRules;
use hinge_schema::messages::NotRunReason;
use hinge_sidecar::dispatch::{
    Action, Dispatcher, HandOverCost, NewOffer, OfferId, RequestKey, TeamRules,
};
use hinge_sidecar::fence::{Fence, FenceCheck};
use hinge_sidecar::meter::Meter;
use hinge_sidecar::{PoolKind, UnitWeights};
use quickcheck::quickcheck;

const NOW: Duration = Duration::from_secs(1);
const LATER: Duration = Duration::from_hours(1);
const MODEL: PoolKind = PoolKind::Model(UnitWeights {
    prompt: 1,
    cached: 0,
    generated: 4,
});

fn dispatcher(slots: u32, kv_tokens: u64, urgent_slots: u32) -> Dispatcher {
    let limits = Limits {
        max_waiting: 16,
        max_request_units: 100,
    };
    Dispatcher::new(SlotRules::new(slots, kv_tokens, urgent_slots), limits)
}

fn new_offer(request_id: u64, class: Class, kv_tokens: u64) -> NewOffer {
    NewOffer {
        request: RequestKey {
            entry: "entry-1".into(),
            entry_incarnation: 1,
            request_id,
        },
        team: "school".into(),
        rules: Some(TeamRules {
            share: 1,
            max_waiting: 8,
            urgent_allowance_ppm: 200_000,
        }),
        class,
        estimated_units: 10,
        kv_tokens,
        deadline: LATER,
        needs_key: false,
        config_version: 1,
    }
}

fn offer(dispatcher: &mut Dispatcher, new_offer: NewOffer) -> OfferId {
    dispatcher
        .offer(NOW, new_offer, 1)
        .expect("the queue has room")
}

fn standard(dispatcher: &mut Dispatcher, request_id: u64) -> OfferId {
    offer(dispatcher, new_offer(request_id, Class::Standard, 0))
}

/// Returns the grants since the last call.
fn grants(dispatcher: &mut Dispatcher) -> Vec<(OfferId, ClaimId)> {
    let actions = dispatcher.take_actions();
    let granted = actions.into_iter().filter_map(|action| match action {
        Action::Grant { offer_id, claim } => Some((offer_id, claim)),
        Action::Refuse { .. } | Action::Stop { .. } => None,
    });
    granted.collect()
}

fn count_waiting(dispatcher: &mut Dispatcher, waiting: &mut HashMap<Box<str>, i64>) {
    for change in dispatcher.take_waiting_changes() {
        *waiting.entry(change.team).or_default() += change.delta;
    }
}

fn granted_ids(dispatcher: &mut Dispatcher) -> Vec<OfferId> {
    grants(dispatcher)
        .into_iter()
        .map(|(offer_id, _)| offer_id)
        .collect()
}

cases! {
    a_reserved_slot_is_kept_for_an_urgent_offer => {
        let mut dispatcher = dispatcher(2, 0, 1);
        let (first, _second) = (standard(&mut dispatcher, 1), standard(&mut dispatcher, 2));
        assert_eq!(granted_ids(&mut dispatcher), [first]);
        // The second offer stays in the queue: it is not picked for a slot that is reserved for urgent offers.
        assert_eq!(dispatcher.queue().running(), 1);
        let urgent = offer(&mut dispatcher, new_offer(3, Class::Urgent, 0));
        assert_eq!(granted_ids(&mut dispatcher), [urgent]);
    }
    waiting_offers_are_counted_by_team_until_they_are_granted_or_refused => {
        let mut dispatcher = dispatcher(1, 0, 0);
        standard(&mut dispatcher, 1);
        let waits = offer(&mut dispatcher, NewOffer { team: "franchise".into(), ..new_offer(2, Class::Standard, 0) });
        standard(&mut dispatcher, 3);
        let mut waiting = HashMap::new();
        count_waiting(&mut dispatcher, &mut waiting);
        assert_eq!((waiting["school"], waiting["franchise"]), (1, 1));
        dispatcher.withdraw(waits, NOW);
        dispatcher.leave();
        count_waiting(&mut dispatcher, &mut waiting);
        assert_eq!((waiting["school"], waiting["franchise"]), (0, 0));
        assert_eq!(dispatcher.load().waiting, [0; 3]);
    }
    a_team_without_an_urgent_allowance_does_not_use_the_reserved_slot => {
        let mut dispatcher = dispatcher(2, 0, 1);
        let first = standard(&mut dispatcher, 1);
        let without = new_offer(2, Class::Urgent, 0);
        let rules = without.rules.map(|rules| TeamRules { urgent_allowance_ppm: 0, ..rules });
        offer(&mut dispatcher, NewOffer { rules, ..without });
        let with = offer(&mut dispatcher, NewOffer { team: "franchise".into(), ..new_offer(3, Class::Urgent, 0) });
        assert_eq!(granted_ids(&mut dispatcher), [first, with]);
    }
    a_single_slot_is_not_reserved => {
        let mut dispatcher = dispatcher(1, 0, 1);
        let only = standard(&mut dispatcher, 1);
        assert_eq!(granted_ids(&mut dispatcher), [only]);
    }
    a_small_offer_does_not_overtake_a_large_one_that_waits_for_kv_cache => {
        let mut dispatcher = dispatcher(4, 100, 0);
        let first = offer(&mut dispatcher, new_offer(1, Class::Standard, 60));
        let large = offer(&mut dispatcher, new_offer(2, Class::Standard, 60));
        let small = offer(&mut dispatcher, new_offer(3, Class::Standard, 1));
        let granted = grants(&mut dispatcher);
        assert_eq!(granted.len(), 1);
        assert_eq!(granted[0].0, first);
        dispatcher.expire_grant(granted[0].1, NOW);
        assert_eq!(granted_ids(&mut dispatcher), [large, small]);
    }
    an_urgent_offer_overtakes_one_that_waits_for_kv_cache => {
        let mut dispatcher = dispatcher(4, 100, 1);
        offer(&mut dispatcher, new_offer(1, Class::Standard, 60));
        offer(&mut dispatcher, new_offer(2, Class::Standard, 60));
        let urgent = offer(&mut dispatcher, new_offer(3, Class::Urgent, 20));
        assert!(granted_ids(&mut dispatcher).contains(&urgent));
    }
    an_offer_estimated_beyond_the_endpoint_is_granted_alone => {
        let mut dispatcher = dispatcher(4, 100, 1);
        let huge = offer(&mut dispatcher, new_offer(1, Class::Standard, 1_000_000));
        assert_eq!(granted_ids(&mut dispatcher), [huge]);
    }
    asking_for_a_verdict_does_not_withdraw_a_bound_run => {
        let mut dispatcher = dispatcher(1, 0, 0);
        standard(&mut dispatcher, 1);
        let claim = grants(&mut dispatcher)[0].1;
        dispatcher.advance(claim, RunEvent::Bound, NOW).expect("the grant is open");
        assert_eq!(dispatcher.ask_verdict(claim, NOW), Verdict::Running { answer_bytes: 0 });
        assert_eq!(dispatcher.load().taken_slots, 1);
        dispatcher.advance(claim, RunEvent::HandedOver, NOW).expect("the run goes on");
    }
    a_withdrawn_run_is_never_handed_over => {
        let mut dispatcher = dispatcher(1, 0, 0);
        let offer_id = standard(&mut dispatcher, 1);
        let claim = grants(&mut dispatcher)[0].1;
        dispatcher.withdraw(offer_id, NOW);
        let withdrawn = Verdict::NeverHandedOver { reason: Reason::Cancelled, retry_after: Duration::ZERO };
        assert_eq!(dispatcher.advance(claim, RunEvent::Bound, NOW), Err(withdrawn));
    }
    a_cancelled_run_is_charged_for_its_prompt_and_what_has_streamed => {
        let mut dispatcher = dispatcher(1, 0, 0);
        standard(&mut dispatcher, 1);
        let claim = grants(&mut dispatcher)[0].1;
        dispatcher.advance(claim, RunEvent::Bound, NOW).expect("the grant is open");
        let cost = HandOverCost { prompt_units: 30, busy_ms_units: 0 };
        dispatcher.hand_over(claim, cost, NOW).expect("the request is here");
        dispatcher.charge(claim, 8);
        assert_eq!(dispatcher.cancel(claim, NOW), Verdict::Failed { reason: Reason::Cancelled });
        let team = dispatcher.queue().team_index("school").expect("the team has offered");
        assert_eq!(dispatcher.queue().account(team).service_units(), 38);
    }
    a_withdrawn_offer_leaves_the_queue => {
        let mut dispatcher = dispatcher(1, 0, 0);
        standard(&mut dispatcher, 1);
        let (gone, next) = (standard(&mut dispatcher, 2), standard(&mut dispatcher, 3));
        dispatcher.withdraw(gone, NOW);
        let claim = grants(&mut dispatcher)[0].1;
        dispatcher.complete(claim, 10, NOW);
        assert_eq!(granted_ids(&mut dispatcher), [next]);
    }
    an_offer_past_its_deadline_is_refused_without_taking_a_slot => {
        let mut dispatcher = dispatcher(1, 0, 0);
        standard(&mut dispatcher, 1);
        let mut late = new_offer(2, Class::Standard, 0);
        late.deadline = NOW * 2;
        let late = offer(&mut dispatcher, late);
        drop(dispatcher.take_actions());
        dispatcher.expire_offers(NOW * 3);
        let refused = dispatcher.take_actions();
        assert!(matches!(refused[..], [Action::Refuse { offer_id, refusal }] if offer_id == late && refusal.reason == NotRunReason::Deadline));
    }
    a_team_missing_from_the_configuration_is_refused => {
        let mut dispatcher = dispatcher(1, 0, 0);
        standard(&mut dispatcher, 1);
        let lost = NewOffer { rules: None, ..new_offer(2, Class::Standard, 0) };
        let refusal = dispatcher.offer(NOW, lost, 1).expect_err("the team is gone");
        assert_eq!(refusal.reason, NotRunReason::NotReady);
    }
    a_planned_stop_refuses_waiting_offers_and_keeps_grants => {
        let mut dispatcher = dispatcher(1, 0, 0);
        standard(&mut dispatcher, 1);
        let waiting = standard(&mut dispatcher, 2);
        let claim = grants(&mut dispatcher)[0].1;
        dispatcher.leave();
        assert!(matches!(dispatcher.take_actions()[..], [Action::Refuse { offer_id, refusal }] if offer_id == waiting && refusal.reason == NotRunReason::Leaving));
        dispatcher.advance(claim, RunEvent::Bound, NOW).expect("the grant may still be bound");
        let refusal = dispatcher.offer(NOW, new_offer(3, Class::Standard, 0), 1).expect_err("it is leaving");
        assert_eq!(refusal.reason, NotRunReason::Leaving);
    }
    an_ejected_endpoint_refuses_waiting_and_new_offers => {
        let mut dispatcher = dispatcher(1, 0, 0);
        standard(&mut dispatcher, 1);
        let waiting = standard(&mut dispatcher, 2);
        drop(dispatcher.take_actions());
        dispatcher.set_ejected(true, NOW);
        assert!(matches!(dispatcher.take_actions()[..], [Action::Refuse { offer_id, .. }] if offer_id == waiting));
        let refusal = dispatcher.offer(NOW, new_offer(3, Class::Standard, 0), 1).expect_err("it is ejected");
        assert_eq!(refusal.reason, NotRunReason::NoEndpoint);
    }
    a_model_is_charged_as_it_streams_and_corrected_by_its_usage => {
        let mut meter = Meter::start(MODEL, 400, true, NOW);
        assert_eq!(meter.count(b"data: {\"a\":1}\n\ndata: {\"a\":2}\n\n", NOW), 8);
        assert_eq!(meter.total_units(NOW), 108);
        let usage = br#"data: {"usage":{"prompt_tokens":50,"completion_tokens":3,"prompt_tokens_details":{"cached_tokens":40}}}"#;
        assert_eq!(meter.count(usage, NOW), 0);
        meter.count(b"\n\ndata: [DONE]\n\n", NOW);
        assert_eq!(meter.total_units(NOW), 22);
        assert!(meter.is_done());
    }
    a_whole_answer_of_a_model_is_charged_by_its_usage => {
        let mut meter = Meter::start(MODEL, 400, false, NOW);
        assert_eq!(meter.count(br#"{"choices":[],"usage":{"prompt_tokens":7,"#, NOW), 0);
        meter.count(br#""completion_tokens":2}}"#, NOW);
        assert_eq!(meter.total_units(NOW), 15);
    }
    a_plain_service_is_charged_by_its_busy_time => {
        let mut meter = Meter::start(PoolKind::Service { busy_ms_units: 2 }, 0, false, NOW);
        assert_eq!(meter.count(b"x", NOW + Duration::from_millis(30)), 60);
        assert_eq!(meter.count(b"x", NOW + Duration::from_millis(40)), 20);
        assert_eq!(meter.total_units(NOW + Duration::from_millis(45)), 90);
    }
}

/// Applies one step, chosen by a byte, to the dispatcher, and adds its new grants to the known ones.
fn step(dispatcher: &mut Dispatcher, known: &mut Vec<(OfferId, ClaimId)>, number: u64, drawn: u8) {
    let pick = |known: &Vec<(OfferId, ClaimId)>| {
        known
            .get(usize::from(drawn) / 8 % known.len().max(1))
            .copied()
    };
    let class = Class::ALL[usize::from(drawn) % 3];
    match (drawn % 8, pick(known)) {
        (0..=2, _) => drop(dispatcher.offer(NOW, new_offer(number, class, u64::from(drawn)), 1)),
        (3, Some((offer_id, _))) => dispatcher.withdraw(offer_id, NOW),
        (4, Some((_, claim))) => dispatcher.expire_grant(claim, NOW),
        (5, Some((_, claim))) => drop(dispatcher.cancel(claim, NOW)),
        (6, Some((_, claim))) => drop(dispatcher.advance(claim, RunEvent::Bound, NOW)),
        (7, Some((_, claim))) => drop(dispatcher.ask_verdict(claim, NOW)),
        _ => dispatcher.withdraw(number.saturating_sub(3), NOW),
    }
    known.extend(grants(dispatcher));
}

quickcheck! {
    // After any steps, taken slots equal open grants, never exceed the limit, and don't stay free while work waits for them.
    fn slots_are_neither_leaked_nor_granted_twice(steps: Vec<u8>) -> bool {
        let (mut dispatcher, mut known) = (dispatcher(3, 0, 1), Vec::new());
        steps.iter().zip(1..).all(|(drawn, number)| {
            step(&mut dispatcher, &mut known, number, *drawn);
            let load = dispatcher.load();
            let common_waits = load.waiting[1] + load.waiting[2] > 0;
            load.taken_slots as usize == dispatcher.open_grants() && load.taken_slots <= 3 && !(common_waits && load.taken_slots < 2)
        })
    }

    fn chunk_boundaries_do_not_change_the_cost_of_a_stream(cuts: Vec<u8>) -> bool {
        let stream = b"data: {\"a\":1}\n\ndata: {\"usage\":{\"prompt_tokens\":9,\"completion_tokens\":2}}\n\ndata: [DONE]\n\n";
        let mut meter = Meter::start(MODEL, 40, true, NOW);
        let (mut rest, mut charged) = (&stream[..], 0);
        for cut in cuts {
            let (part, left) = rest.split_at(usize::from(cut).min(rest.len()));
            charged += meter.count(part, NOW);
            rest = left;
        }
        charged += meter.count(rest, NOW);
        (charged, meter.total_units(NOW), meter.is_done()) == (4, 17, true)
    }

    fn a_valid_order_is_never_older_than_one_before_it(orders: Vec<(u64, Option<u64>)>) -> bool {
        let (mut fence, mut highest) = (Fence::default(), 0);
        orders.into_iter().all(|(number, lowest_valid)| {
            let check = fence.check(number, lowest_valid);
            let lowest = highest.max(lowest_valid.unwrap_or(0));
            let want = match lowest_valid {
                None => FenceCheck::NotReady,
                Some(_) if number < lowest => FenceCheck::Fenced,
                Some(_) => FenceCheck::Valid,
            };
            highest = if lowest_valid.is_some() { lowest } else { highest };
            if check == FenceCheck::Valid {
                highest = number;
            }
            check == want
        })
    }
}
