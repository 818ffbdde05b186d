//! Raises the format of the log once every member knows the later one.
//!
//! During a rolling upgrade members of two versions share the log. A member of the earlier version would stop at the
//! first entry that it doesn't know, and a quorum of them would stop the fleet.

use std::time::Duration;

use hinge_raft::{NodeId, Role};
use hinge_state::{Command, LOG_FORMAT};
use hinge_telemetry::info;
use hinge_telemetry::log::Component;

use super::thread::LogThread;

/// Silence after which a member is no longer waited for. If its version is an earlier one, it stops when it is back.
const IGNORE_SILENT_AFTER: Duration = Duration::from_secs(30);

impl LogThread {
    /// Raises the format of the log, on the leader, if it is due.
    pub(super) fn raise_format(&mut self, now: Duration) {
        let is_raised = self.state.format() >= LOG_FORMAT;
        let is_proposed = self.format_proposed_in == Some(self.node.status().term);
        if is_raised || is_proposed || self.node.role() != Role::Leader {
            return;
        }
        let members = self.node.membership();
        let mut members = members.voters.iter().chain(&members.learners);
        if !members.all(|id| self.may_raise_for(now, *id)) {
            return;
        }
        let command = Command::RaiseFormat { format: LOG_FORMAT };
        if self.node.propose(now, command.encode()).is_ok() {
            self.format_proposed_in = Some(self.node.status().term);
            info!(
                Component::Control,
                "Raising the format of the log.",
                format = LOG_FORMAT,
                before = self.state.format()
            );
        }
    }

    fn may_raise_for(&self, now: Duration, id: NodeId) -> bool {
        if id == self.own_id {
            return true;
        }
        let is_silent = now >= IGNORE_SILENT_AFTER && self.node.is_silent(id, IGNORE_SILENT_AFTER);
        knows_format(self.peer_formats.get(&id).copied(), is_silent)
    }
}

/// Returns whether a member does not stand in the way of the latest format.
///
/// `announced` is the highest format that it has announced since this process started.
pub(super) fn knows_format(announced: Option<u32>, is_silent: bool) -> bool {
    announced.map_or(is_silent, |format| format >= LOG_FORMAT)
}
