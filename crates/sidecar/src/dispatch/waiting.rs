//! Counts the waiting offers by class, and records the changes by team.

use hinge_fair::Class;

/// A change in the number of a team's waiting offers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WaitingChange {
    /// Team.
    pub team: Box<str>,
    /// Number of offers added; negative when they were removed.
    pub delta: i64,
}

/// The numbers of waiting offers by class, and the changes by team that nobody has taken yet.
#[derive(Debug, Default)]
pub(super) struct WaitingCounts {
    by_class: [usize; 3],
    changes: Vec<WaitingChange>,
}

impl WaitingCounts {
    /// Returns the counts by class: urgent, standard, batch.
    pub(super) fn by_class(&self) -> [usize; 3] {
        self.by_class
    }

    pub(super) fn take_changes(&mut self) -> Vec<WaitingChange> {
        std::mem::take(&mut self.changes)
    }

    pub(super) fn add(&mut self, class: Class, team: &str) {
        self.by_class[class_index(class)] += 1;
        self.record_change(team, 1);
    }

    pub(super) fn remove(&mut self, class: Class, team: &str) {
        self.by_class[class_index(class)] -= 1;
        self.record_change(team, -1);
    }

    fn record_change(&mut self, team: &str, delta: i64) {
        let team = team.into();
        self.changes.push(WaitingChange { team, delta });
    }
}

fn class_index(class: Class) -> usize {
    match class {
        Class::Urgent => 0,
        Class::Standard => 1,
        Class::Batch => 2,
    }
}
