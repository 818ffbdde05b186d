//! Checks the pure decisions: grants, metering, fencing.

use std::collections::HashMap;
use std::time::Duration;

use hinge_cases::cases;
use hinge_fair::{Class, Limits};
use hinge_outcome::{ClaimId, Reason, RunEvent, Verdict};
use hinge_placement::SlotRules;
use hinge_schema::messages::NotRunReason;
use hinge_sidecar::core::{Action, Asked, Core, HandOverCost, RequestKey, TeamRules, Ticket};
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

fn core(slots: u32, kv_tokens: u64, urgent_slots: u32) -> Core {
    let limits = Limits {
        max_waiting: 16,
        max_request_units: 100,
    };
    Core::new(SlotRules::new(slots, kv_tokens, urgent_slots), limits)
}

fn asked(request_id: u64, class: Class, kv_tokens: u64) -> Asked {
    Asked {
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

fn offer(core: &mut Core, asked: Asked) -> Ticket {
    core.offer(NOW, asked, 1).expect("the queue has room")
}

fn standard(core: &mut Core, request_id: u64) -> Ticket {
    offer(core, asked(request_id, Class::Standard, 0))
}

/// Returns the grants since the last look.
fn grants(core: &mut Core) -> Vec<(Ticket, ClaimId)> {
    let actions = core.take_actions();
    let granted = actions.into_iter().filter_map(|action| match action {
        Action::Grant { ticket, claim } => Some((ticket, claim)),
        Action::Refuse { .. } | Action::Stop { .. } => None,
    });
    granted.collect()
}

fn count_waiting(core: &mut Core, waiting: &mut HashMap<Box<str>, i64>) {
    for change in core.take_waiting_changes() {
        *waiting.entry(change.team).or_default() += change.by;
    }
}

fn granted_tickets(core: &mut Core) -> Vec<Ticket> {
    grants(core).into_iter().map(|(ticket, _)| ticket).collect()
}

cases! {
    a_reserved_slot_is_kept_for_an_urgent_offer => {
        let mut core = core(2, 0, 1);
        let (first, _second) = (standard(&mut core, 1), standard(&mut core, 2));
        assert_eq!(granted_tickets(&mut core), [first]);
        // The second one keeps its place in the queue: it is not picked for a slot that it may not have.
        assert_eq!(core.queue().running(), 1);
        let urgent = offer(&mut core, asked(3, Class::Urgent, 0));
        assert_eq!(granted_tickets(&mut core), [urgent]);
    }
    waiting_offers_are_counted_by_team_until_they_are_granted_or_refused => {
        let mut core = core(1, 0, 0);
        standard(&mut core, 1);
        let waits = offer(&mut core, Asked { team: "franchise".into(), ..asked(2, Class::Standard, 0) });
        standard(&mut core, 3);
        let mut waiting = HashMap::new();
        count_waiting(&mut core, &mut waiting);
        assert_eq!((waiting["school"], waiting["franchise"]), (1, 1));
        core.withdraw(waits, NOW);
        core.leave();
        count_waiting(&mut core, &mut waiting);
        assert_eq!((waiting["school"], waiting["franchise"]), (0, 0));
        assert_eq!(core.load().waiting, [0; 3]);
    }
    a_team_without_an_urgent_allowance_does_not_use_the_reserved_slot => {
        let mut core = core(2, 0, 1);
        let first = standard(&mut core, 1);
        let without = asked(2, Class::Urgent, 0);
        let rules = without.rules.map(|rules| TeamRules { urgent_allowance_ppm: 0, ..rules });
        offer(&mut core, Asked { rules, ..without });
        let with = offer(&mut core, Asked { team: "franchise".into(), ..asked(3, Class::Urgent, 0) });
        assert_eq!(granted_tickets(&mut core), [first, with]);
    }
    an_only_slot_is_not_reserved => {
        let mut core = core(1, 0, 1);
        let only = standard(&mut core, 1);
        assert_eq!(granted_tickets(&mut core), [only]);
    }
    a_small_offer_does_not_pass_a_large_one_that_waits_for_kv_cache => {
        let mut core = core(4, 100, 0);
        let first = offer(&mut core, asked(1, Class::Standard, 60));
        let large = offer(&mut core, asked(2, Class::Standard, 60));
        let small = offer(&mut core, asked(3, Class::Standard, 1));
        let granted = grants(&mut core);
        assert_eq!(granted.len(), 1);
        assert_eq!(granted[0].0, first);
        core.expire_grant(granted[0].1, NOW);
        assert_eq!(granted_tickets(&mut core), [large, small]);
    }
    an_urgent_offer_passes_one_that_waits_for_kv_cache => {
        let mut core = core(4, 100, 1);
        offer(&mut core, asked(1, Class::Standard, 60));
        offer(&mut core, asked(2, Class::Standard, 60));
        let urgent = offer(&mut core, asked(3, Class::Urgent, 20));
        assert!(granted_tickets(&mut core).contains(&urgent));
    }
    an_offer_estimated_beyond_the_endpoint_is_granted_alone => {
        let mut core = core(4, 100, 1);
        let huge = offer(&mut core, asked(1, Class::Standard, 1_000_000));
        assert_eq!(granted_tickets(&mut core), [huge]);
    }
    a_question_does_not_withdraw_a_run_whose_request_is_here => {
        let mut core = core(1, 0, 0);
        standard(&mut core, 1);
        let claim = grants(&mut core)[0].1;
        core.advance(claim, RunEvent::Bound, NOW).expect("the grant is open");
        assert_eq!(core.ask(claim, NOW), Verdict::Running { answer_bytes: 0 });
        assert_eq!(core.load().taken_slots, 1);
        core.advance(claim, RunEvent::HandedOver, NOW).expect("the run goes on");
    }
    a_withdrawn_run_is_never_handed_over => {
        let mut core = core(1, 0, 0);
        let ticket = standard(&mut core, 1);
        let claim = grants(&mut core)[0].1;
        core.withdraw(ticket, NOW);
        let withdrawn = Verdict::NeverHandedOver { reason: Reason::Cancelled, retry_after: Duration::ZERO };
        assert_eq!(core.advance(claim, RunEvent::Bound, NOW), Err(withdrawn));
    }
    a_cancelled_run_is_charged_for_its_prompt_and_what_has_streamed => {
        let mut core = core(1, 0, 0);
        standard(&mut core, 1);
        let claim = grants(&mut core)[0].1;
        core.advance(claim, RunEvent::Bound, NOW).expect("the grant is open");
        let cost = HandOverCost { prompt_units: 30, busy_ms_units: 0 };
        core.hand_over(claim, cost, NOW).expect("the request is here");
        core.charge(claim, 8);
        assert_eq!(core.cancel(claim, NOW), Verdict::Failed { reason: Reason::Cancelled });
        let team = core.queue().team_index("school").expect("the team has offered");
        assert_eq!(core.queue().account(team).service_units(), 38);
    }
    an_offer_that_is_withdrawn_leaves_its_place => {
        let mut core = core(1, 0, 0);
        standard(&mut core, 1);
        let (gone, next) = (standard(&mut core, 2), standard(&mut core, 3));
        core.withdraw(gone, NOW);
        let claim = grants(&mut core)[0].1;
        core.complete(claim, 10, NOW);
        assert_eq!(granted_tickets(&mut core), [next]);
    }
    a_late_offer_is_refused_before_its_deadline_costs_a_slot => {
        let mut core = core(1, 0, 0);
        standard(&mut core, 1);
        let mut late = asked(2, Class::Standard, 0);
        late.deadline = NOW * 2;
        let late = offer(&mut core, late);
        drop(core.take_actions());
        core.expire_offers(NOW * 3);
        let refused = core.take_actions();
        assert!(matches!(refused[..], [Action::Refuse { ticket, refusal }] if ticket == late && refusal.reason == NotRunReason::Deadline));
    }
    a_team_that_the_configuration_has_lost_is_refused => {
        let mut core = core(1, 0, 0);
        standard(&mut core, 1);
        let lost = Asked { rules: None, ..asked(2, Class::Standard, 0) };
        let refusal = core.offer(NOW, lost, 1).expect_err("the team is gone");
        assert_eq!(refusal.reason, NotRunReason::NotReady);
    }
    a_planned_stop_refuses_what_waits_and_leaves_a_grant_alone => {
        let mut core = core(1, 0, 0);
        standard(&mut core, 1);
        let waiting = standard(&mut core, 2);
        let claim = grants(&mut core)[0].1;
        core.leave();
        assert!(matches!(core.take_actions()[..], [Action::Refuse { ticket, refusal }] if ticket == waiting && refusal.reason == NotRunReason::Leaving));
        core.advance(claim, RunEvent::Bound, NOW).expect("the grant may still be bound");
        let refusal = core.offer(NOW, asked(3, Class::Standard, 0), 1).expect_err("it is leaving");
        assert_eq!(refusal.reason, NotRunReason::Leaving);
    }
    an_ejected_endpoint_refuses_what_waits_and_what_is_new => {
        let mut core = core(1, 0, 0);
        standard(&mut core, 1);
        let waiting = standard(&mut core, 2);
        drop(core.take_actions());
        core.set_ejected(true, NOW);
        assert!(matches!(core.take_actions()[..], [Action::Refuse { ticket, .. }] if ticket == waiting));
        let refusal = core.offer(NOW, asked(3, Class::Standard, 0), 1).expect_err("it is ejected");
        assert_eq!(refusal.reason, NotRunReason::NoEndpoint);
    }
    a_model_is_charged_as_it_streams_and_corrected_by_its_usage => {
        let mut meter = Meter::start(MODEL, 400, true, NOW);
        assert_eq!(meter.take(b"data: {\"a\":1}\n\ndata: {\"a\":2}\n\n", NOW), 8);
        assert_eq!(meter.total_units(NOW), 108);
        let usage = br#"data: {"usage":{"prompt_tokens":50,"completion_tokens":3,"prompt_tokens_details":{"cached_tokens":40}}}"#;
        assert_eq!(meter.take(usage, NOW), 0);
        meter.take(b"\n\ndata: [DONE]\n\n", NOW);
        assert_eq!(meter.total_units(NOW), 22);
        assert!(meter.is_done());
    }
    a_whole_answer_of_a_model_is_charged_by_its_usage => {
        let mut meter = Meter::start(MODEL, 400, false, NOW);
        assert_eq!(meter.take(br#"{"choices":[],"usage":{"prompt_tokens":7,"#, NOW), 0);
        meter.take(br#""completion_tokens":2}}"#, NOW);
        assert_eq!(meter.total_units(NOW), 15);
    }
    a_plain_service_is_charged_by_its_busy_time => {
        let mut meter = Meter::start(PoolKind::Plain { busy_ms_units: 2 }, 0, false, NOW);
        assert_eq!(meter.take(b"x", NOW + Duration::from_millis(30)), 60);
        assert_eq!(meter.take(b"x", NOW + Duration::from_millis(40)), 20);
        assert_eq!(meter.total_units(NOW + Duration::from_millis(45)), 90);
    }
}

/// Feeds the core one step that is drawn from a byte, and forgets what it granted.
fn step(core: &mut Core, known: &mut Vec<(Ticket, ClaimId)>, number: u64, drawn: u8) {
    let pick = |known: &Vec<(Ticket, ClaimId)>| {
        known
            .get(usize::from(drawn) / 8 % known.len().max(1))
            .copied()
    };
    let class = Class::ALL[usize::from(drawn) % 3];
    match (drawn % 8, pick(known)) {
        (0..=2, _) => drop(core.offer(NOW, asked(number, class, u64::from(drawn)), 1)),
        (3, Some((ticket, _))) => core.withdraw(ticket, NOW),
        (4, Some((_, claim))) => core.expire_grant(claim, NOW),
        (5, Some((_, claim))) => drop(core.cancel(claim, NOW)),
        (6, Some((_, claim))) => drop(core.advance(claim, RunEvent::Bound, NOW)),
        (7, Some((_, claim))) => drop(core.ask(claim, NOW)),
        _ => core.withdraw(number.saturating_sub(3), NOW),
    }
    known.extend(grants(core));
}

quickcheck! {
    // Whatever happens, slots are taken exactly by open grants, never too many, and free ones don't idle beside waiting work.
    fn slots_are_neither_lost_nor_given_twice(steps: Vec<u8>) -> bool {
        let (mut core, mut known) = (core(3, 0, 1), Vec::new());
        steps.iter().zip(1..).all(|(drawn, number)| {
            step(&mut core, &mut known, number, *drawn);
            let load = core.load();
            let common_waits = load.waiting[1] + load.waiting[2] > 0;
            load.taken_slots as usize == core.open_grants() && load.taken_slots <= 3 && !(common_waits && load.taken_slots < 2)
        })
    }

    fn the_parts_of_a_stream_do_not_change_its_cost(cuts: Vec<u8>) -> bool {
        let stream = b"data: {\"a\":1}\n\ndata: {\"usage\":{\"prompt_tokens\":9,\"completion_tokens\":2}}\n\ndata: [DONE]\n\n";
        let mut meter = Meter::start(MODEL, 40, true, NOW);
        let (mut rest, mut charged) = (&stream[..], 0);
        for cut in cuts {
            let (part, left) = rest.split_at(usize::from(cut).min(rest.len()));
            charged += meter.take(part, NOW);
            rest = left;
        }
        charged += meter.take(rest, NOW);
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
