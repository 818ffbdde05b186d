//! Counts the offers that wait.

use hinge_fair::Class;

/// Says that a team has more or fewer waiting offers than before.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WaitingChange {
    /// Team.
    pub team: Box<str>,
    /// Difference.
    pub delta: i64,
}

/// Holds the counts.
#[derive(Debug, Default)]
pub(super) struct Waiting {
    by_class: [usize; 3],
    changes: Vec<WaitingChange>,
}

impl Waiting {
    /// Returns the counts by class: urgent, standard, batch.
    pub(super) fn by_class(&self) -> [usize; 3] {
        self.by_class
    }

    pub(super) fn take_changes(&mut self) -> Vec<WaitingChange> {
        std::mem::take(&mut self.changes)
    }

    pub(super) fn add(&mut self, class: Class, team: &str) {
        self.by_class[rank(class)] += 1;
        self.note(team, 1);
    }

    pub(super) fn remove(&mut self, class: Class, team: &str) {
        self.by_class[rank(class)] -= 1;
        self.note(team, -1);
    }

    fn note(&mut self, team: &str, delta: i64) {
        let team = team.into();
        self.changes.push(WaitingChange { team, delta });
    }
}

fn rank(class: Class) -> usize {
    match class {
        Class::Urgent => 0,
        Class::Standard => 1,
        Class::Batch => 2,
    }
}
