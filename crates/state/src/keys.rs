//! Conversion of idempotency key claims between messages and the key table.

use hinge_outcome::keys::{
    ClaimAnswer, KeyOutcome as StoredOutcome, KeyRules, KeyTable, key_digest,
};
use hinge_outcome::{GrantId, sidecar_id};
use hinge_schema::messages::{
    ClaimBatchReply, ClaimKey, ClaimReply, ClaimVerdict, FinishKey, KeyOutcome,
};

use crate::WallMs;

/// Retry delay for a claim whose key is already running; a request takes seconds.
const RUNNING_RETRY_MS: u64 = 1000;

/// Applies the outcomes and then the claims of a batch.
pub(crate) fn apply(
    table: &mut KeyTable,
    rules: &KeyRules,
    claims: &[ClaimKey],
    finished: &[FinishKey],
    now_ms: WallMs,
) -> ClaimBatchReply {
    for end in finished {
        finish(table, end, now_ms);
    }
    let replies = claims.iter().map(|claim| {
        let holder = holder(&claim.sidecar, claim.incarnation, claim.claim_id);
        let key = key_digest(&claim.key);
        let answer = table.claim(rules, &claim.team, key, holder, claim.fingerprint, now_ms);
        reply(&answer)
    });
    ClaimBatchReply {
        replies: replies.collect(),
    }
}

fn finish(table: &mut KeyTable, end: &FinishKey, now_ms: WallMs) {
    let holder = holder(&end.sidecar, end.incarnation, end.claim_id);
    let key = key_digest(&end.key);
    let outcome = match end.outcome {
        // The message carries neither status nor length; a duplicate request only learns that the first one completed.
        KeyOutcome::Completed => StoredOutcome::Completed {
            status: 0,
            answer_bytes: 0,
        },
        KeyOutcome::Failed => StoredOutcome::Failed,
        KeyOutcome::NeverHandedOver => {
            table.release(&end.team, key, holder, now_ms);
            return;
        }
    };
    table.finish(&end.team, key, holder, outcome, now_ms);
}

fn holder(sidecar: &str, incarnation: u64, claim: u64) -> GrantId {
    GrantId {
        sidecar: sidecar_id(sidecar),
        incarnation,
        claim,
    }
}

fn reply(answer: &ClaimAnswer) -> ClaimReply {
    let (verdict, outcome, retry_after_ms) = match answer {
        ClaimAnswer::Granted => (ClaimVerdict::Granted, None, 0),
        ClaimAnswer::AlreadyRunning { .. } => {
            (ClaimVerdict::AlreadyRunning, None, RUNNING_RETRY_MS)
        }
        ClaimAnswer::Finished { outcome } => {
            (ClaimVerdict::Finished, Some(outcome_name(*outcome)), 0)
        }
        // A claimer that has already released its key must not run the request after all.
        ClaimAnswer::Conflict | ClaimAnswer::Withdrawn => (ClaimVerdict::Conflict, None, 0),
        ClaimAnswer::Full { retry_after_ms } => (ClaimVerdict::Full, None, *retry_after_ms),
    };
    ClaimReply {
        verdict,
        outcome: outcome.map(Box::from),
        retry_after_ms,
    }
}

fn outcome_name(outcome: StoredOutcome) -> &'static str {
    match outcome {
        StoredOutcome::Completed { .. } => "completed",
        StoredOutcome::Failed => "failed",
        StoredOutcome::Unknown => "unknown",
    }
}

/// Offset basis of the 64-bit FNV-1a hash.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;

/// Prime of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Returns a hash that is the same on every instance and in every version of the program.
#[must_use]
pub fn fnv1a(bytes: &[u8]) -> u64 {
    bytes.iter().fold(FNV_OFFSET, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME)
    })
}
