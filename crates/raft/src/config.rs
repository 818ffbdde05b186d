//! Timeouts and limits of a node.

use std::time::Duration;

use crate::ClusterId;
use crate::error::ConfigError;
use crate::types::NodeId;

/// Time without contact from a leader before a node starts an election; allows for a few round trips between regions and
/// disk syncs.
const ELECTION_TIMEOUT: Duration = Duration::from_secs(1);
/// Time between heartbeats; under a quarter of the usable lease, so that two may be lost without a new election.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);
/// Time for which a follower refuses votes after contact from its leader.
const LEASE: Duration = Duration::from_secs(1);
/// Part of the lease that the leader does not rely on; covers clocks whose rates differ by a tenth.
const CLOCK_DRIFT_MARGIN: Duration = Duration::from_millis(100);
/// Bytes of entries in one message; large enough to make good use of a sync, small against the 32 MB memory budget of control.
const MAX_BATCH_BYTES: usize = 64 * 1024;
/// Bytes of one proposal.
const MAX_PROPOSAL_BYTES: usize = 64 * 1024;
/// Unacknowledged appends in flight to one follower; covers a round trip of ten syncs.
const MAX_INFLIGHT_BATCHES: usize = 8;
/// Bytes of unacknowledged appends in flight to one follower.
const MAX_INFLIGHT_BYTES: usize = 512 * 1024;
/// Bytes of proposals that wait to be committed.
const MAX_PENDING_BYTES: usize = 1024 * 1024;
/// Number of proposals that wait to be committed.
const MAX_PENDING_PROPOSALS: usize = 4096;
/// Number of reads that wait for a quorum.
const MAX_PENDING_READS: usize = 1024;
/// Bytes of a snapshot in one message; one chunk at a time is in flight to a follower.
const SNAPSHOT_CHUNK_BYTES: usize = 64 * 1024;
/// Entries before a snapshot that stay in memory, so that a follower that lags slightly needs no snapshot.
const KEEP_ENTRIES: u64 = 512;
/// Bytes of those entries; a follower that lags further gets the snapshot, which is about as long.
const KEEP_BYTES: usize = 1024 * 1024;

/// The identity, timeouts and limits of a node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Config {
    /// Id of this incarnation.
    pub id: NodeId,
    /// The cluster that the node belongs to.
    pub cluster_id: ClusterId,
    /// Shortest time without contact from a leader before an election; the longest is twice that.
    pub election_timeout: Duration,
    /// Time between heartbeats.
    pub heartbeat_interval: Duration,
    /// Time for which a follower refuses votes after contact from its leader; at most `election_timeout`.
    pub lease: Duration,
    /// Part of `lease` that the leader does not rely on, to allow for clock drift.
    pub clock_drift_margin: Duration,
    /// Maximum bytes of entries in one message; a longer entry is sent alone.
    pub max_batch_bytes: usize,
    /// Maximum bytes of one proposal.
    pub max_proposal_bytes: usize,
    /// Maximum number of unacknowledged appends in flight to one follower.
    pub max_inflight_batches: usize,
    /// Maximum bytes of unacknowledged appends in flight to one follower; a longer append is in flight alone.
    pub max_inflight_bytes: usize,
    /// Maximum bytes of proposals that wait to be committed.
    pub max_pending_bytes: usize,
    /// Maximum number of proposals that wait to be committed.
    pub max_pending_proposals: usize,
    /// Maximum number of reads that wait for a quorum.
    pub max_pending_reads: usize,
    /// Maximum bytes of a snapshot in one message.
    pub snapshot_chunk_bytes: usize,
    /// Maximum number of entries before a snapshot that stay in memory.
    pub keep_entries: u64,
    /// Maximum bytes of entries before a snapshot that stay in memory.
    pub keep_bytes: usize,
}

impl Config {
    /// Returns a configuration with the default timeouts and limits.
    #[must_use]
    pub fn new(id: NodeId, cluster_id: ClusterId) -> Self {
        Self {
            id,
            cluster_id,
            election_timeout: ELECTION_TIMEOUT,
            heartbeat_interval: HEARTBEAT_INTERVAL,
            lease: LEASE,
            clock_drift_margin: CLOCK_DRIFT_MARGIN,
            max_batch_bytes: MAX_BATCH_BYTES,
            max_proposal_bytes: MAX_PROPOSAL_BYTES,
            max_inflight_batches: MAX_INFLIGHT_BATCHES,
            max_inflight_bytes: MAX_INFLIGHT_BYTES,
            max_pending_bytes: MAX_PENDING_BYTES,
            max_pending_proposals: MAX_PENDING_PROPOSALS,
            max_pending_reads: MAX_PENDING_READS,
            snapshot_chunk_bytes: SNAPSHOT_CHUNK_BYTES,
            keep_entries: KEEP_ENTRIES,
            keep_bytes: KEEP_BYTES,
        }
    }

    /// Returns the part of the lease that the leader relies on.
    pub(crate) fn usable_lease(&self) -> Duration {
        self.lease.saturating_sub(self.clock_drift_margin)
    }

    /// Checks that the timeouts are consistent and that no limit is zero.
    ///
    /// # Errors
    ///
    /// Returns the first rule that is violated.
    pub fn check(&self) -> Result<(), ConfigError> {
        if self.id == 0 {
            return Err(ConfigError::ZeroId);
        }
        if self.lease > self.election_timeout {
            return Err(ConfigError::LeaseOverElectionTimeout);
        }
        if self.clock_drift_margin >= self.lease {
            return Err(ConfigError::MarginOverLease);
        }
        if self.heartbeat_interval.is_zero() || self.heartbeat_interval * 2 >= self.usable_lease() {
            return Err(ConfigError::HeartbeatOverLease);
        }
        let bounds = [
            self.max_batch_bytes,
            self.max_proposal_bytes,
            self.max_inflight_batches,
            self.max_inflight_bytes,
            self.max_pending_bytes,
            self.max_pending_proposals,
            self.max_pending_reads,
            self.snapshot_chunk_bytes,
        ];
        if bounds.contains(&0) {
            return Err(ConfigError::ZeroBound);
        }
        Ok(())
    }
}
