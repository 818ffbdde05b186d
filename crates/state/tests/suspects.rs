//! Tests that the log keeps the requests that end endpoints, whichever gateway reports them, and across restarts.

use hinge_cases::cases;
use hinge_routing::{IncarnationHash, RequestKey};
use hinge_state::{Command, Reply, State, SuspectsCommand, TrialCommand};

fn key(number: u8) -> RequestKey {
    RequestKey::of("POST", "/", None, &[number])
}

/// Records the end of one endpoint incarnation under some requests, and returns those that are newly held.
fn report_end(state: &mut State, endpoint: IncarnationHash, under: &[u8]) -> Vec<RequestKey> {
    let command = SuspectsCommand {
        ends: under
            .iter()
            .map(|number| (key(*number), endpoint))
            .collect(),
        completed: Vec::new(),
        ..SuspectsCommand::default()
    };
    let index = state.applied_index() + 1;
    match state.apply(index, 1, Command::Suspects(command)) {
        Reply::Held(held) => held,
        other => panic!("unexpected reply: {other:?}"),
    }
}

cases! {
    a_request_is_held_after_three_endpoints_ended_under_it => {
        let mut state = State::default();
        assert_eq!(report_end(&mut state, 1, &[1, 2]), []);
        assert_eq!(report_end(&mut state, 1, &[1]), [], "a second gateway reports the same end");
        assert_eq!(report_end(&mut state, 2, &[1]), []);
        assert_eq!(report_end(&mut state, 3, &[1, 3]), [key(1)]);
        assert_eq!(report_end(&mut state, 4, &[1]), [], "it was already held");
    }
    a_snapshot_keeps_held_requests => {
        let mut state = State::default();
        for endpoint in 1..=3 {
            report_end(&mut state, endpoint, &[1]);
        }
        let restored = State::restore(&state.encode()).expect("it was encoded here");
        let suspects = restored.routing().suspects();
        assert!(suspects.is_held(&key(1)));
        assert_eq!(suspects.version(), restored.applied_index());
    }
    a_held_part_is_tried_once_whichever_gateway_asks => {
        let part = RequestKey::of_part("engines", 1);
        let mut state = State::default();
        let ask = |state: &mut State, now_ms| {
            let command = SuspectsCommand {
                trial: Some(TrialCommand { parts: vec![part], now_ms }),
                ..SuspectsCommand::default()
            };
            state.apply(state.applied_index() + 1, 1, Command::Suspects(command))
        };
        assert_eq!(ask(&mut state, 1_000), Reply::Trial(false), "it is not held");
        for endpoint in 1..=3 {
            let command = SuspectsCommand { ends: vec![(part, endpoint)], ..SuspectsCommand::default() };
            state.apply(state.applied_index() + 1, 1, Command::Suspects(command));
        }
        assert_eq!(ask(&mut state, 10_000), Reply::Trial(true));
        assert_eq!(ask(&mut state, 10_100), Reply::Trial(false));
        let mut restored = State::restore(&state.encode()).expect("it was encoded here");
        assert_eq!(ask(&mut restored, 11_000), Reply::Trial(false), "a snapshot keeps the last trial");
    }
    a_command_of_a_version_before_trials_decodes => {
        let command = SuspectsCommand { ends: vec![(key(1), 7)], ..SuspectsCommand::default() };
        let encoded = Command::Suspects(command.clone()).encode();
        let text = String::from_utf8_lossy(&encoded).into_owned();
        assert!(!text.contains("trial"), "a command without a trial is the same as before");
        assert_eq!(Command::decode(&encoded).expect("it was encoded here"), Command::Suspects(command));
    }
    a_command_decodes_as_it_was_encoded => {
        let command = Command::Suspects(SuspectsCommand {
            ends: vec![(key(1), u64::MAX)],
            completed: vec![key(2)],
            ..SuspectsCommand::default()
        });
        assert_eq!(Command::decode(&command.encode()).expect("it was encoded here"), command);
    }
}
