//! Tests idempotency keys, orders and drains as commands of the log.

use std::collections::BTreeMap;

use hinge_cases::cases;
use hinge_schema::messages::{
    ClaimKey, ClaimVerdict, FinishKey, KeyOutcome, OrderKind, OrderState,
};
use hinge_state::{Command, DrainCommand, OrderCommand, OrderResult, Reply, State};
use quickcheck::quickcheck;

fn claim(key: &str, claim_id: u64) -> ClaimKey {
    ClaimKey {
        team: "surf".into(),
        key: key.into(),
        fingerprint: 1,
        sidecar: "sidecar-1".into(),
        incarnation: 1,
        claim_id,
        request_id: claim_id,
    }
}

fn finish(key: &str, claim_id: u64, outcome: KeyOutcome) -> FinishKey {
    FinishKey {
        team: "surf".into(),
        key: key.into(),
        sidecar: "sidecar-1".into(),
        incarnation: 1,
        claim_id,
        outcome,
    }
}

fn claims(state: &mut State, claims: Vec<ClaimKey>, finished: Vec<FinishKey>) -> Vec<ClaimVerdict> {
    let index = state.applied_index() + 1;
    match state.apply(
        index,
        1,
        Command::ClaimKeys {
            claims,
            finished,
            now_ms: 1000,
        },
    ) {
        Reply::Claims(replies) => replies.replies.iter().map(|reply| reply.verdict).collect(),
        other => panic!("expected an answer to claims, got {other:?}"),
    }
}

fn order(id: &str, subject: &str) -> OrderCommand {
    OrderCommand {
        change_id: id.into(),
        instance: "sidecar-1".into(),
        operator: "ana".into(),
        kind: OrderKind::LoadModel,
        subject: subject.into(),
        version: "v2".into(),
        now_ms: 1000,
    }
}

fn place(state: &mut State, term: u64, order: OrderCommand) -> (u64, u64) {
    let index = state.applied_index() + 1;
    match state.apply(index, term, Command::PlaceOrder(order)) {
        Reply::Order(record) => (record.order_id, record.fence),
        other => panic!("expected an order, got {other:?}"),
    }
}

fn apply(state: &mut State, term: u64, command: Command) {
    let index = state.applied_index() + 1;
    state.apply(index, term, command);
}

cases! {
    a_finished_key_is_never_granted_again_and_a_released_one_is => {
        let mut state = State::default();
        assert_eq!(claims(&mut state, vec![claim("a", 1), claim("a", 2), claim("b", 3)], vec![]),
            [ClaimVerdict::Granted, ClaimVerdict::AlreadyRunning, ClaimVerdict::Granted]);
        let ends = vec![finish("a", 1, KeyOutcome::Completed), finish("b", 3, KeyOutcome::NeverHandedOver)];
        assert_eq!(claims(&mut state, vec![claim("a", 4), claim("b", 5)], ends), [ClaimVerdict::Finished, ClaimVerdict::Granted]);
        let mut restored = State::restore(&state.encode()).expect("the state can be restored");
        assert_eq!(claims(&mut restored, vec![claim("a", 6)], vec![]), [ClaimVerdict::Finished]);
    }
    a_new_leader_takes_over_open_orders_under_higher_numbers => {
        let mut state = State::default();
        apply(&mut state, 1, Command::OpenTerm { now_ms: 0 });
        let (first, first_fence) = place(&mut state, 1, order("one", "m"));
        apply(&mut state, 2, Command::OpenTerm { now_ms: 0 });
        let fence = state.orders().get(first).expect("the order is kept").fence;
        assert!(first_fence < state.orders().lowest_valid() && state.orders().lowest_valid() < fence);
        let stale = OrderResult { order_id: first, fence: first_fence, done: true, detail: "".into() };
        apply(&mut state, 2, Command::SettleOrder(stale.clone()));
        assert_eq!(state.orders().open().count(), 1);
        apply(&mut state, 2, Command::SettleOrder(OrderResult { fence, ..stale }));
        assert_eq!(state.orders().open().count(), 0);
    }
    a_resent_order_is_the_same_and_a_later_one_supersedes_it => {
        let mut state = State::default();
        let first = place(&mut state, 1, order("one", "m"));
        assert_eq!(place(&mut state, 1, order("one", "m")), first);
        let second = place(&mut state, 1, order("two", "m"));
        assert!(second.1 > first.1);
        assert_eq!(state.orders().get(first.0).expect("the order is kept").state, OrderState::Superseded);
    }
    a_drain_keeps_its_first_time_and_ends => {
        let mut state = State::default();
        let drain = |draining, now_ms| Command::Drain(DrainCommand {
            instance: "sidecar-1".into(), draining, operator: "ana".into(), note: "".into(), deadline_ms: 1, now_ms,
        });
        apply(&mut state, 1, drain(true, 5));
        apply(&mut state, 1, drain(true, 9));
        assert_eq!(state.drains()[0].asked_at_ms, 5);
        apply(&mut state, 1, drain(false, 10));
        assert!(state.drains().is_empty());
    }
}

quickcheck! {
    fn a_key_is_granted_to_one_claim_in_any_order(steps: Vec<(u8, u8, bool)>) -> bool {
        let mut state = State::default();
        let mut holders: BTreeMap<u8, u64> = BTreeMap::new();
        steps.into_iter().all(|(key, claim_id, ends)| {
            let (key, claim_id) = (key % 4, u64::from(claim_id % 8));
            let name = key.to_string();
            let ended = if ends { vec![finish(&name, claim_id, KeyOutcome::Failed)] } else { vec![] };
            let verdict = claims(&mut state, vec![claim(&name, claim_id)], ended)[0];
            verdict != ClaimVerdict::Granted || *holders.entry(key).or_insert(claim_id) == claim_id
        })
    }
    fn fencing_numbers_only_go_up(steps: Vec<(bool, u8)>) -> bool {
        let mut state = State::default();
        let (mut term, mut last) = (1, 0);
        (0_u32..).zip(steps).all(|(number, (new_leader, subject))| {
            if new_leader {
                term += 1;
                apply(&mut state, term, Command::OpenTerm { now_ms: 0 });
                last = state.orders().open().map(|order| order.fence).max().unwrap_or(last);
            }
            let (_, fence) = place(&mut state, term, order(&number.to_string(), &subject.to_string()));
            fence > std::mem::replace(&mut last, fence)
        })
    }
}
