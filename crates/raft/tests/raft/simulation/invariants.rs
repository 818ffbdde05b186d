//! Invariants that are checked after every event.

use hinge_raft::{Entry, NodeId, Output, Role, Snapshot, Write};

use super::{Host, SimulatedNetwork};

impl SimulatedNetwork {
    /// Checks log matching: an index and a term identify one entry, and the term of its predecessor.
    pub(super) fn check_appends(&mut self, output: &Output) {
        for write in &output.writes {
            let Write::Append(entries) = write else {
                continue;
            };
            let mut prev_term = None;
            for entry in entries {
                let key = (entry.index, entry.term);
                let (known_prev, known) = self
                    .appended
                    .entry(key)
                    .or_insert_with(|| (prev_term.unwrap_or_default(), entry.clone()));
                assert_eq!(
                    known, entry,
                    "two different entries have the same index and term"
                );
                if let Some(prev_term) = prev_term {
                    assert!(
                        *known_prev == 0 || *known_prev == prev_term,
                        "logs differ before {key:?}"
                    );
                    *known_prev = prev_term;
                }
                prev_term = Some(entry.term);
            }
        }
    }

    pub(super) fn check_committed(&mut self, id: NodeId, output: &Output) {
        if let Some(Snapshot {
            last_index, state, ..
        }) = &output.install
        {
            assert_eq!(
                **state,
                *self.state_at(*last_index),
                "the snapshot's state differs from the committed entries"
            );
            self.hosts.get_mut(&id).expect("the host exists").applied = *last_index;
        }
        for entry in &output.committed {
            let host = self.hosts.get_mut(&id).expect("the host exists");
            assert_eq!(
                entry.index,
                host.applied + 1,
                "committed entries have a gap"
            );
            host.applied = entry.index;
            if let Some(first) = self
                .committed_log
                .get(usize::try_from(entry.index - 1).expect("an index fits into usize"))
            {
                assert_eq!(first, entry, "a committed entry was lost or changed");
                continue;
            }
            self.check_durable(id, entry);
            let mut hash = self.state_hashes[self.committed_log.len()];
            for byte in entry.payload.iter().chain(&entry.term.to_le_bytes()) {
                hash = (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
            }
            self.state_hashes.push(hash);
            self.committed_log.push(entry.clone());
        }
        for (term, index) in &self.overwritten {
            let committed = self
                .committed_log
                .get(usize::try_from(*index - 1).expect("an index fits into usize"));
            assert!(
                committed.is_none_or(|entry| entry.term != *term),
                "a proposal that was reported as overwritten was committed"
            );
        }
    }

    /// Checks that a quorum of the voters has an entry on disk when it is first reported as committed.
    fn check_durable(&self, id: NodeId, entry: &Entry) {
        let membership = self.node(id).membership();
        let holds = |voter: &&NodeId| {
            let disk = &self.hosts[*voter].disk;
            let is_covered = disk
                .snapshot
                .as_ref()
                .is_some_and(|snapshot| snapshot.last_index >= entry.index);
            is_covered || self.destroyed.contains(*voter) || disk.entries.contains(entry)
        };
        let holders = membership.voters.iter().filter(holds).count();
        assert!(
            holders >= membership.quorum(),
            "entry {} is committed with copies on only {holders} disks",
            entry.index
        );
    }

    pub(super) fn check_leaders(&mut self, id: NodeId) {
        let node = self.node(id);
        if node.role() == Role::Leader {
            let term = node.status().term;
            let first = *self.leaders.entry(term).or_insert(id);
            assert_eq!(first, id, "two leaders in term {term}");
        }
        let holds = |(id, host): (&NodeId, &Host)| {
            let node = host.node.as_ref()?;
            node.holds_lease(self.local_time(*id)).then_some(*id)
        };
        let holders: Vec<NodeId> = self.hosts.iter().filter_map(holds).collect();
        assert!(
            holders.len() <= 1,
            "{holders:?} all hold a lease at {:?}",
            self.now
        );
    }
}
