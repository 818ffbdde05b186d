//! Publishes the state of the log's thread to the async tasks.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hinge_raft::{NodeId, Role};
use hinge_state::ControlName;
use hinge_telemetry::info;
use hinge_telemetry::log::Component;

use super::thread::{LogThread, lease_until_us};
use super::{NodeStatus, View, view_of};
use crate::memory::ThreadBytes;

/// Interval at which the held bytes are counted, which takes time in proportion to the number of entries.
const COUNT_INTERVAL: Duration = Duration::from_secs(1);

impl LogThread {
    /// Logs the membership if it changed; it determines the quorum.
    pub(super) fn log_membership(&mut self) {
        let members = self.node.membership();
        if *members == self.logged_membership {
            return;
        }
        self.logged_membership = members.clone();
        let members = &self.logged_membership;
        info!(
            Component::Control,
            "The members of the log have changed.",
            voters = members.voters.len(),
            quorum = members.quorum(),
            learners = members.learners.len(),
            voting = self.names_of(&members.voters),
            following = self.names_of(&members.learners)
        );
    }

    /// Returns the names of members, or their IDs where the log has no name yet.
    fn names_of(&self, members: &[NodeId]) -> String {
        let names = members.iter().map(|id| match self.name_of_member(*id) {
            Some(name) => name.instance.to_string(),
            None => id.to_string(),
        });
        names.collect::<Vec<_>>().join(",")
    }

    /// Publishes changes to the async tasks.
    pub(super) fn publish(&mut self) {
        self.log_membership();
        let lease_until_us = lease_until_us(&self.node);
        self.lease_until_us.store(lease_until_us, Ordering::Release);
        self.publish_view();
        let node_status = self.current_node_status();
        let has_changes = self.node_status.send_if_modified(|known| {
            let is_new = *known != node_status;
            *known = node_status.clone();
            is_new
        });
        let last_round_us = u64::try_from(self.now().as_micros()).unwrap_or(u64::MAX);
        self.last_round_us.store(last_round_us, Ordering::Release);
        if has_changes {
            self.published.send_modify(|count| *count += 1);
        }
    }

    /// Publishes the applied state to the async tasks if it has changed.
    pub(super) fn publish_view(&mut self) {
        if !std::mem::take(&mut self.is_view_stale) {
            return;
        }
        let peer_addresses = self
            .seen_peers
            .iter()
            .filter_map(|id| self.peers.address(*id));
        let peer_addresses = peer_addresses.map(Box::from).collect();
        if let Some(table) = self.state.routing().table() {
            self.live_tables.record(Arc::downgrade(table));
        }
        let view = View {
            patches: self.recent_patches.clone(),
            ..view_of(&self.state, &self.seen_peers, peer_addresses)
        };
        self.view.store(Arc::new(view));
        self.published.send_modify(|count| *count += 1);
    }

    /// Counts and publishes the bytes that this thread holds, if it is time to.
    pub(super) fn publish_held_bytes(&mut self, now: Duration) {
        if now < self.next_count_at {
            return;
        }
        self.next_count_at = now + COUNT_INTERVAL;
        self.held_bytes.store(Arc::new(ThreadBytes {
            node: self.node.held_bytes(),
            queued_messages: self.peers.queued_bytes(),
            queued_inputs: self.queued_batch_bytes.load(Ordering::Relaxed),
            tables: self.live_tables.held_bytes(),
        }));
    }

    fn current_node_status(&mut self) -> NodeStatus {
        let status = self.node.status();
        let is_leader = status.role == Role::Leader;
        let previous = self.node_status.borrow().clone();
        if is_leader && !(previous.is_leader && previous.term == status.term) {
            info!(Component::Control, "Leading.", term = status.term);
            self.open_term();
        }
        NodeStatus {
            node_id: status.id,
            term: status.term,
            is_leader,
            may_answer: is_leader
                && self.opened_term == status.term
                && self.node.holds_lease(self.now()),
            leader: status.leader.and_then(|leader| self.name_of(leader)),
            voters: self.logged_membership.voters.len(),
            learners: self.logged_membership.learners.len(),
            has_stopped: false,
            failure: None,
        }
    }

    pub(super) fn name_of(&self, node_id: NodeId) -> Option<ControlName> {
        let named = self
            .state
            .control()
            .get(&node_id)
            .or_else(|| self.founding.get(&node_id));
        if node_id == self.node.status().id {
            return Some(ControlName {
                instance: self.own_name.clone(),
                address: named.map(|name| name.address.clone()).unwrap_or_default(),
                diskless: self.is_diskless(node_id),
            });
        }
        let address = self.peers.address(node_id)?;
        Some(ControlName {
            instance: named.map(|name| name.instance.clone()).unwrap_or_default(),
            address: address.into(),
            diskless: self.is_diskless(node_id),
        })
    }
}
