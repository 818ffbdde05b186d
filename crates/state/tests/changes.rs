//! Tests that one change is accepted per version, and that a resent change gets its first answer again.

use std::collections::BTreeMap;

use hinge_cases::cases;
use hinge_schema::messages::{ApplyReply, ConfigFile};
use hinge_state::changes::{KEEP_ANSWERS, KEEP_ANSWERS_MS};
use hinge_state::folder::KEEP_CHANGES;
use hinge_state::{ChangeCommand, Checked, Command, Reply, State};
use quickcheck::quickcheck;

fn change(id: &str, base_version: u64, share: &str) -> ChangeCommand {
    ChangeCommand {
        change_id: id.into(),
        operator: format!("operator of {id}").into(),
        base_version,
        note: "a test".into(),
        put: vec![ConfigFile {
            name: "surf.toml".into(),
            text: format!("[teams.surf]\nshare = {share}\n").into(),
        }],
        removed: Vec::new(),
        accepted_at_ms: 1000,
        checked: None,
    }
}

/// A state with the log index of its last change.
struct Log {
    state: State,
    index: u64,
}

impl Log {
    fn new() -> Self {
        Self {
            state: State::default(),
            index: 0,
        }
    }

    fn apply(&mut self, change: ChangeCommand) -> ApplyReply {
        self.index += 1;
        match self
            .state
            .apply(self.index, 1, Command::ApplyChange(change))
        {
            Reply::Change(reply) => reply,
            other => panic!("expected an answer to a change, got {other:?}"),
        }
    }

    fn restart(&mut self) {
        self.state = State::restore(&self.state.encode()).expect("the state can be restored");
    }
}

fn version(reply: &ApplyReply) -> Option<u64> {
    match reply {
        ApplyReply::Accepted(accepted) => Some(accepted.version),
        _ => None,
    }
}

/// Returns whether two answers agree apart from the `resent` flag, which the second must have.
fn is_same(first: &ApplyReply, again: &ApplyReply) -> bool {
    match (first, again) {
        (ApplyReply::Accepted(first), ApplyReply::Accepted(again)) => {
            first.version == again.version && again.resent
        }
        _ => first == again,
    }
}

cases! {
    of_two_changes_on_one_version_the_first_wins => {
        let mut log = Log::new();
        assert_eq!(version(&log.apply(change("a", 0, "1"))), Some(1));
        let ApplyReply::Conflict(conflict) = log.apply(change("b", 0, "2")) else { panic!("the second change conflicts") };
        assert_eq!((conflict.base_version, conflict.current_version), (0, 1));
        assert_eq!((&*conflict.winner_change_id, &*conflict.winner_operator), ("a", "operator of a"));
        assert_eq!(conflict.winner_put, change("a", 0, "1").put);
    }
    an_invalid_change_takes_no_version => {
        let mut log = Log::new();
        let ApplyReply::Invalid(invalid) = log.apply(change("a", 0, "\"much\"")) else { panic!("a share that is no number is refused") };
        assert_eq!((&*invalid.problems[0].file, invalid.problems[0].line), ("surf.toml", 2));
        assert_eq!(version(&log.apply(change("b", 0, "1"))), Some(1));
    }
    one_id_for_two_changes_is_refused => {
        let mut log = Log::new();
        log.apply(change("a", 0, "1"));
        assert!(matches!(log.apply(change("a", 0, "2")), ApplyReply::Invalid(_)));
    }
    a_change_on_a_version_that_never_was_is_refused => {
        let mut log = Log::new();
        assert!(matches!(log.apply(change("a", u64::MAX, "1")), ApplyReply::Conflict(_)));
    }
    a_forgotten_answer_is_not_a_second_acceptance => {
        let mut log = Log::new();
        assert_eq!(version(&log.apply(change("a", 0, "1"))), Some(1));
        log.index += 1;
        log.state.apply(log.index, 1, Command::Sweep { now_ms: 1000 + KEEP_ANSWERS_MS });
        assert_eq!(log.state.changes().answer_count(), 0);
        assert_eq!(version(&log.apply(change("a", 0, "1"))), Some(1));
        assert_eq!(log.state.changes().folder().version(), 1);
    }
    answers_are_bounded => {
        let mut log = Log::new();
        for number in 0..KEEP_ANSWERS + 10 {
            log.apply(change(&number.to_string(), 7, "1"));
        }
        assert_eq!(log.state.changes().answer_count(), KEEP_ANSWERS);
    }
    a_watcher_gets_the_changes_or_the_whole_folder => {
        let mut log = Log::new();
        for number in 0..KEEP_CHANGES as u64 + 2 {
            log.apply(change(&number.to_string(), number, "1"));
        }
        let folder = log.state.changes().folder();
        assert_eq!(folder.delta_since(1).expect("the watcher is behind").base_version, 0);
        assert_eq!(folder.delta_since(2).expect("the watcher is behind").base_version, 2);
        assert_eq!(folder.delta_since(folder.version()), None);
    }
}

quickcheck! {
    fn first_answers_stay_and_versions_only_go_up(steps: Vec<(u8, u8, bool, bool)>) -> bool {
        let mut log = Log::new();
        let mut firsts: BTreeMap<u8, (ChangeCommand, ApplyReply)> = BTreeMap::new();
        let mut winners: BTreeMap<u64, u8> = BTreeMap::new();
        steps.into_iter().all(|(id, back, is_valid, restarts)| {
            let before = log.state.changes().folder().version();
            if restarts {
                log.restart();
            }
            let base = before.saturating_sub(u64::from(back % 3));
            let new = change(&id.to_string(), base, if is_valid { "1" } else { "none" });
            let (sent, first) = match firsts.get(&id) {
                Some((sent, first)) => (sent.clone(), Some(first.clone())),
                None => (new, None),
            };
            // The leader's check on the version in force must give the same result as a check by each instance.
            let files = log.state.changes().folder().after(&sent.put, &sent.removed);
            let checked = (sent.base_version == before).then(|| Checked::of(&files));
            let mut other = State::restore(&log.state.encode()).expect("the state can be restored");
            let reply = log.apply(ChangeCommand { checked, ..sent.clone() });
            let unchecked = other.apply(log.index, 1, Command::ApplyChange(sent.clone()));
            if unchecked != Reply::Change(reply.clone()) || other.encode() != log.state.encode() {
                return false;
            }
            let after = log.state.changes().folder().version();
            if let Some(first) = first {
                return after == before && is_same(&first, &reply);
            }
            firsts.insert(id, (sent, reply.clone()));
            let accepted = version(&reply);
            let is_only_winner = accepted.is_none_or(|version| winners.insert(version, id).is_none());
            is_only_winner && after == before + u64::from(accepted.is_some())
        })
    }
}
