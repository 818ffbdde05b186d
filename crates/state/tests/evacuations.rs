//! Tests evacuations of data centres as commands of the log.

use hinge_cases::cases;
use hinge_schema::routing::EvacuationOrder;
use hinge_state::{Command, EvacuationCommand, Reply, State};
use quickcheck::quickcheck;

fn apply(state: &mut State, command: Command) -> Reply {
    let index = state.applied_index() + 1;
    state.apply(index, 1, command)
}

/// An order together with the revision that was current when it arrived.
fn arrived(state: &State, data_center: &str, order: EvacuationOrder) -> EvacuationCommand {
    EvacuationCommand {
        data_center: data_center.into(),
        order,
        revision: state.routing().evacuations().revision(data_center),
        operator: "ana".into(),
        now_ms: 1_000,
    }
}

fn start(state: &State, data_center: &str) -> EvacuationCommand {
    arrived(state, data_center, EvacuationOrder::Start)
}

fn end(state: &State, data_center: &str) -> EvacuationCommand {
    arrived(state, data_center, EvacuationOrder::End)
}

fn is_done(state: &mut State, command: EvacuationCommand) -> bool {
    match apply(state, Command::Evacuation(command)) {
        Reply::Evacuation(is_done) => is_done,
        other => panic!("expected the reply to an evacuation, got {other:?}"),
    }
}

fn evacuated(state: &State) -> Vec<&str> {
    let evacuations = state.routing().evacuations().in_force();
    evacuations
        .map(|evacuation| &*evacuation.data_center)
        .collect()
}

cases! {
    an_evacuation_starts_and_ends => {
        let mut state = State::default();
        let order = start(&state, "a");
        assert!(is_done(&mut state, order));
        assert_eq!(evacuated(&state), ["a"]);
        let evacuation = state.routing().evacuations().get("a").expect("it is in force");
        assert_eq!((&*evacuation.operator, evacuation.since_unix_ms), ("ana", 1_000));
        let order = end(&state, "a");
        assert!(is_done(&mut state, order));
        assert!(evacuated(&state).is_empty());
    }
    a_repeat_is_the_same_order => {
        let mut state = State::default();
        let order = start(&state, "a");
        assert!(is_done(&mut state, order.clone()));
        let revision = state.routing().evacuations().version();
        let later = EvacuationCommand { operator: "bob".into(), now_ms: 9_000, ..start(&state, "a") };
        assert!(is_done(&mut state, order));
        assert!(is_done(&mut state, later));
        assert_eq!(state.routing().evacuations().version(), revision, "nothing has changed");
        assert_eq!(state.routing().evacuations().get("a").expect("in force").since_unix_ms, 1_000);
    }
    // Guards against an evacuation that comes back by a copy of its order which was held up on the way.
    a_copy_that_is_held_up_does_not_undo_a_withdrawal => {
        let mut state = State::default();
        let order = start(&state, "a");
        assert!(is_done(&mut state, order.clone()));
        let withdrawal = end(&state, "a");
        assert!(is_done(&mut state, withdrawal));
        assert!(!is_done(&mut state, order));
        assert!(evacuated(&state).is_empty());
    }
    // Guards against an evacuation that is lost by a copy of an earlier withdrawal.
    a_withdrawal_that_is_held_up_does_not_end_a_later_evacuation => {
        let mut state = State::default();
        let first = start(&state, "a");
        assert!(is_done(&mut state, first));
        let withdrawal = end(&state, "a");
        assert!(is_done(&mut state, withdrawal.clone()));
        let second = start(&state, "a");
        assert!(is_done(&mut state, second));
        assert!(!is_done(&mut state, withdrawal));
        assert_eq!(evacuated(&state), ["a"]);
    }
    data_centers_are_evacuated_apart => {
        let mut state = State::default();
        let (a, b) = (start(&state, "a"), start(&state, "b"));
        assert!(is_done(&mut state, a));
        assert!(is_done(&mut state, b));
        let withdrawal = end(&state, "a");
        assert!(is_done(&mut state, withdrawal));
        assert_eq!(evacuated(&state), ["b"]);
    }
    the_withdrawal_of_nothing_changes_nothing => {
        let mut state = State::default();
        let withdrawal = end(&state, "a");
        assert!(is_done(&mut state, withdrawal));
        assert_eq!(state.routing().evacuations().version(), 0);
    }
    a_snapshot_keeps_evacuations => {
        let mut state = State::default();
        apply(&mut state, Command::RaiseFormat { format: 1 });
        let order = start(&state, "a");
        assert!(is_done(&mut state, order));
        let restored = State::restore(&state.encode()).expect("the snapshot decodes");
        assert_eq!(evacuated(&restored), ["a"]);
        assert_eq!(restored.routing().evacuations(), state.routing().evacuations());
        assert_eq!(restored.format(), 1);
    }
    // Guards against a member of an earlier version that skips evacuations and then leads.
    an_earlier_version_does_not_decode_what_it_would_drop => {
        let mut state = State::default();
        let before: Result<State, _> = rmp_serde::from_slice(&state.encode());
        assert!(before.is_ok(), "a log of format 0 is shared with earlier versions");
        apply(&mut state, Command::RaiseFormat { format: 1 });
        let after: Result<State, _> = rmp_serde::from_slice(&state.encode());
        after.expect_err("an earlier version stops");
    }
    a_snapshot_of_an_earlier_version_has_no_evacuations => {
        let mut fields = serde_json::to_value(State::default()).expect("it can be encoded");
        let fields = fields.as_object_mut().expect("it has named fields");
        fields.remove("format").expect("the field is there");
        let routing = fields["routing"].as_object_mut().expect("it has named fields");
        routing.remove("evacuations").expect("the field is there");
        let earlier = rmp_serde::to_vec_named(&fields).expect("it can be encoded");
        let restored = State::restore(&earlier).expect("an earlier snapshot decodes");
        assert_eq!((restored.format(), evacuated(&restored)), (0, Vec::new()));
    }
}

quickcheck! {
    /// Whatever copies of acknowledged orders arrive again, in whatever order, the last order stays in force.
    fn copies_of_earlier_orders_change_nothing(orders: Vec<bool>, copies: Vec<usize>) -> bool {
        let mut state = State::default();
        let mut sent = Vec::new();
        for starts in orders {
            let order = if starts { start(&state, "a") } else { end(&state, "a") };
            assert!(is_done(&mut state, order.clone()));
            sent.push(order);
        }
        let is_evacuated = !evacuated(&state).is_empty();
        for copy in copies {
            if !sent.is_empty() {
                let copy = sent[copy % sent.len()].clone();
                is_done(&mut state, copy);
            }
        }
        is_evacuated != evacuated(&state).is_empty()
    }
}
