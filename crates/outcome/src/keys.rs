//! The replicated table of idempotency keys: a request with a given key runs at most once, whichever entry receives it.
//!
//! Control applies the table's methods from its log, in the log's order and with the log's time, so that every replica
//! holds the same state. For the same reason the rules passed in must come from the replicated configuration, and no method
//! reads a clock or uses randomness. The work of every method except [`KeyTable::has_holder_before`],
//! [`KeyTable::mark_holder_lost`] and the sweeps is bounded.
//!
//! A key is kept until `keep_finished_ms` after its run ended. A running key whose holder is lost has an unknown outcome; it
//! is not granted again until `keep_unknown_ms` after it was claimed, long after a caller would still retry.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::{
    ids::{GrantId, Incarnation, SidecarId, TeamId},
    outcome::Reason,
};

/// The first 128 bits of the SHA-256 of a caller's key.
///
/// The digest bounds the size of a key in the log and in memory. Keys are stored per team, so a caller that finds two keys
/// with the same digest affects only its own team's requests.
pub type KeyDigest = [u8; 16];

/// Returns the digest of a key as the caller sent it.
#[must_use]
pub fn key_digest(key: &str) -> KeyDigest {
    let hash = Sha256::digest(key.as_bytes());
    let mut digest = KeyDigest::default();
    digest.copy_from_slice(&hash[..16]);
    digest
}

/// Returns the fingerprint of a request, which detects that a key is reused for a different request.
#[must_use]
pub fn request_fingerprint(method: &str, path: &str, body: &[u8]) -> u64 {
    let mut hash = Sha256::new();
    for part in [method.as_bytes(), path.as_bytes(), body] {
        hash.update((part.len() as u64).to_be_bytes());
        hash.update(part);
    }
    let hash = hash.finalize();
    hash[..8]
        .iter()
        .fold(0, |value, byte| (value << 8) | u64::from(*byte))
}

/// The limits and retention times of the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyRules {
    /// How long a key is kept after its run has ended.
    pub keep_finished_ms: u64,
    /// How long a key is kept after its claim if the end of its run was never reported.
    pub keep_unknown_ms: u64,
    /// How long a released key's former holder is remembered.
    pub keep_released_ms: u64,
    /// Maximum number of keys of one team.
    pub max_keys_per_team: usize,
    /// Maximum number of keys of all teams together.
    pub max_keys: usize,
    /// Number of keys that every team may hold even if the table is full.
    pub reserved_keys_per_team: usize,
}

impl Default for KeyRules {
    /// Returns the defaults.
    ///
    /// Callers resend a lost request within minutes. 100,000 keys that are kept for ten minutes allow 166 non-idempotent
    /// requests per second. A team may hold a tenth of the keys; 32 reserved keys let a small team's push texts through
    /// while large teams fill the table. Keys of unknown runs are kept for a day, which outlasts the longest job and leaves
    /// an operator time to look into it.
    fn default() -> Self {
        Self {
            keep_finished_ms: 10 * 60 * 1000,
            keep_unknown_ms: 24 * 60 * 60 * 1000,
            keep_released_ms: 60 * 1000,
            max_keys_per_team: 10_000,
            max_keys: 100_000,
            reserved_keys_per_team: 32,
        }
    }
}

/// How the run of a key ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum KeyOutcome {
    /// The run ended with a complete answer.
    Completed {
        /// HTTP status of the answer.
        status: u16,
        /// Length of the answer's body in bytes.
        answer_bytes: u64,
    },
    /// The run began and did not end with a complete answer.
    Failed,
    /// The sidecar that executed the run is lost.
    Unknown,
}

/// The answer to a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimAnswer {
    /// The claimant may hand the request over; a repeated claim by the same holder gets the same answer.
    Granted,
    /// Another run holds the key.
    AlreadyRunning {
        /// Log time at which the run claimed the key.
        since_ms: u64,
    },
    /// The key's run is over.
    Finished {
        /// How it ended.
        outcome: KeyOutcome,
    },
    /// The key was used for another request.
    Conflict,
    /// The claimant has released the key itself.
    Withdrawn,
    /// There is no room for another key of this team; the request did not run.
    Full {
        /// How long to wait before the next claim.
        retry_after_ms: u64,
    },
}

impl ClaimAnswer {
    /// Returns the reason for refusing the request, or `None` if the claim is granted.
    #[must_use]
    pub fn refusal(&self) -> Option<Reason> {
        match self {
            Self::Granted => None,
            Self::AlreadyRunning { .. } => Some(Reason::AlreadyRunning),
            Self::Finished {
                outcome: KeyOutcome::Completed { .. },
            } => Some(Reason::AlreadyFinished),
            Self::Finished { .. } => Some(Reason::AlreadyFailed),
            Self::Conflict => Some(Reason::KeyConflict),
            Self::Withdrawn => Some(Reason::GrantExpired),
            Self::Full { .. } => Some(Reason::KeyTableFull),
        }
    }
}

/// The state of a key's run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
enum KeyState {
    Running,
    Finished { at_ms: u64, outcome: KeyOutcome },
    Released { at_ms: u64 },
}

/// The table's record of one key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct KeyRecord {
    holder: GrantId,
    fingerprint: u64,
    claimed_ms: u64,
    state: KeyState,
}

impl KeyRecord {
    fn expires_ms(&self, rules: &KeyRules) -> u64 {
        match self.state {
            KeyState::Running
            | KeyState::Finished {
                outcome: KeyOutcome::Unknown,
                ..
            } => self.claimed_ms.saturating_add(rules.keep_unknown_ms),
            KeyState::Finished { at_ms, .. } => at_ms.saturating_add(rules.keep_finished_ms),
            KeyState::Released { at_ms } => at_ms.saturating_add(rules.keep_released_ms),
        }
    }

    /// Returns whether the key is running under an incarnation of a sidecar below `incarnation`.
    fn runs_under_earlier(&self, sidecar: SidecarId, incarnation: Incarnation) -> bool {
        self.holder.sidecar == sidecar
            && self.holder.incarnation < incarnation
            && self.state == KeyState::Running
    }

    fn answer(&self, holder: GrantId, fingerprint: u64) -> ClaimAnswer {
        if self.fingerprint != fingerprint {
            return ClaimAnswer::Conflict;
        }
        match self.state {
            KeyState::Running if self.holder == holder => ClaimAnswer::Granted,
            KeyState::Running => ClaimAnswer::AlreadyRunning {
                since_ms: self.claimed_ms,
            },
            KeyState::Finished { outcome, .. } => ClaimAnswer::Finished { outcome },
            KeyState::Released { .. } => ClaimAnswer::Withdrawn,
        }
    }
}

/// The retry delay of a claim that finds the table full.
///
/// It is also the shortest interval between sweeps of a full team, so that a flood of claims can't cause extra work.
const FULL_RETRY_AFTER_MS: u64 = 1000;

/// The keys of one team.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
struct TeamKeys {
    records: BTreeMap<KeyDigest, KeyRecord>,
    swept_ms: u64,
}

/// The idempotency keys of all teams.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyTable {
    teams: BTreeMap<TeamId, TeamKeys>,
    len: usize,
    now_ms: u64,
}

impl KeyTable {
    /// Creates an empty table.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the number of keys held, including expired ones that have not been swept.
    #[must_use]
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether the table holds no key.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Claims a key for a run; `now_ms` is the time of the log entry.
    ///
    /// Until the key expires, only one holder is granted it, unless that holder releases the key.
    pub fn claim(
        &mut self,
        rules: &KeyRules,
        team: &str,
        key: KeyDigest,
        holder: GrantId,
        fingerprint: u64,
        now_ms: u64,
    ) -> ClaimAnswer {
        let now_ms = self.advance_clock(now_ms);
        if let Some(record) = self.live_record(rules, team, key, now_ms) {
            let is_free =
                matches!(record.state, KeyState::Released { .. }) && record.holder != holder;
            if !is_free {
                return record.answer(holder, fingerprint);
            }
        } else if !self.has_room(rules, team, key, now_ms) {
            return ClaimAnswer::Full {
                retry_after_ms: FULL_RETRY_AFTER_MS,
            };
        }
        let record = KeyRecord {
            holder,
            fingerprint,
            claimed_ms: now_ms,
            state: KeyState::Running,
        };
        let keys = self.teams.entry(team.into()).or_default();
        if keys.records.insert(key, record).is_none() {
            self.len += 1;
        }
        ClaimAnswer::Granted
    }

    /// Records how the run of a key ended, and returns whether this holder still held the key.
    ///
    /// A holder that was presumed lost may still report the end of its run; the first reported end is final.
    pub fn finish(
        &mut self,
        team: &str,
        key: KeyDigest,
        holder: GrantId,
        outcome: KeyOutcome,
        now_ms: u64,
    ) -> bool {
        let now_ms = self.advance_clock(now_ms);
        let Some(record) = self.record_held_by(team, key, holder) else {
            return false;
        };
        let is_open = matches!(
            record.state,
            KeyState::Running
                | KeyState::Finished {
                    outcome: KeyOutcome::Unknown,
                    ..
                }
        );
        if is_open {
            record.state = KeyState::Finished {
                at_ms: now_ms,
                outcome,
            };
        }
        is_open
    }

    /// Releases a key, and returns whether this holder still held it.
    ///
    /// Only the sidecar that holds the claim may release it, after it has withdrawn the run: the release proves that the
    /// request did not run and never will. The sidecar releases the key before it tells the entry "not run", so that a retry
    /// finds the key free. A holder that was presumed lost can still give that proof.
    pub fn release(&mut self, team: &str, key: KeyDigest, holder: GrantId, now_ms: u64) -> bool {
        let now_ms = self.advance_clock(now_ms);
        let Some(record) = self.record_held_by(team, key, holder) else {
            return false;
        };
        let is_open = matches!(
            record.state,
            KeyState::Running
                | KeyState::Finished {
                    outcome: KeyOutcome::Unknown,
                    ..
                }
        );
        if is_open {
            record.state = KeyState::Released { at_ms: now_ms };
        }
        is_open
    }

    /// Returns whether [`KeyTable::mark_holder_lost`] would affect any key.
    #[must_use]
    pub fn has_holder_before(&self, sidecar: SidecarId, incarnation: Incarnation) -> bool {
        self.teams
            .values()
            .flat_map(|keys| keys.records.values())
            .any(|record| record.runs_under_earlier(sidecar, incarnation))
    }

    /// Records that every incarnation of a sidecar below `incarnation` is gone, and returns the number of affected keys.
    ///
    /// The outcome of their runs is unknown from now on; the keys are not granted again before they expire.
    pub fn mark_holder_lost(
        &mut self,
        sidecar: SidecarId,
        incarnation: Incarnation,
        now_ms: u64,
    ) -> usize {
        let now_ms = self.advance_clock(now_ms);
        let mut count = 0;
        for record in self
            .teams
            .values_mut()
            .flat_map(|keys| keys.records.values_mut())
        {
            if record.runs_under_earlier(sidecar, incarnation) {
                let outcome = KeyOutcome::Unknown;
                record.state = KeyState::Finished {
                    at_ms: now_ms,
                    outcome,
                };
                count += 1;
            }
        }
        count
    }

    /// Removes every expired key and returns their number; control applies this from its log about once a minute.
    pub fn sweep(&mut self, rules: &KeyRules, now_ms: u64) -> usize {
        let now_ms = self.advance_clock(now_ms);
        let before = self.len;
        for keys in self.teams.values_mut() {
            self.len -= keys.sweep(rules, now_ms);
        }
        self.teams.retain(|_, keys| !keys.records.is_empty());
        before - self.len
    }

    /// Advances the table's time, which never goes back even if a new leader's clock is behind.
    fn advance_clock(&mut self, now_ms: u64) -> u64 {
        self.now_ms = self.now_ms.max(now_ms);
        self.now_ms
    }

    fn live_record(
        &self,
        rules: &KeyRules,
        team: &str,
        key: KeyDigest,
        now_ms: u64,
    ) -> Option<&KeyRecord> {
        let record = self.teams.get(team)?.records.get(&key)?;
        (record.expires_ms(rules) > now_ms).then_some(record)
    }

    fn record_held_by(
        &mut self,
        team: &str,
        key: KeyDigest,
        holder: GrantId,
    ) -> Option<&mut KeyRecord> {
        let record = self.teams.get_mut(team)?.records.get_mut(&key)?;
        (record.holder == holder).then_some(record)
    }

    /// Returns whether a key that isn't live may be added; sweeps the team's keys if there is no room.
    fn has_room(&mut self, rules: &KeyRules, team: &str, key: KeyDigest, now_ms: u64) -> bool {
        let Some(keys) = self.teams.get_mut(team) else {
            return may_add_key(rules, 0, self.len);
        };
        if keys.records.contains_key(&key) {
            // The expired record is replaced, so the number of keys does not grow.
            return true;
        }
        if may_add_key(rules, keys.records.len(), self.len) {
            return true;
        }
        if now_ms < keys.swept_ms.saturating_add(FULL_RETRY_AFTER_MS) {
            return false;
        }
        self.len -= keys.sweep(rules, now_ms);
        may_add_key(rules, keys.records.len(), self.len)
    }
}

impl TeamKeys {
    fn sweep(&mut self, rules: &KeyRules, now_ms: u64) -> usize {
        let before = self.records.len();
        self.records
            .retain(|_, record| record.expires_ms(rules) > now_ms);
        self.swept_ms = now_ms;
        before - self.records.len()
    }
}

/// Returns whether a team with `team_len` keys may add one to a table of `len` keys.
fn may_add_key(rules: &KeyRules, team_len: usize, len: usize) -> bool {
    let has_reserve = team_len < rules.reserved_keys_per_team;
    let fits = team_len < rules.max_keys_per_team && len < rules.max_keys;
    has_reserve || fits
}
