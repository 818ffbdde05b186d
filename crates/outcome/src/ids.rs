//! Identifiers that entries, sidecars and control share.

use serde::{Deserialize, Serialize};

/// The id of a sidecar, which [`sidecar_id`] derives from the instance's name, so that it is the same in every process.
pub type SidecarId = u64;

/// The incarnation number of a sidecar process; it is higher after every restart.
pub type Incarnation = u64;

/// The number of a grant within one incarnation of a sidecar, which never reuses a number.
pub type ClaimId = u64;

/// The id of one attempt at a request, drawn at random so that late frames of an earlier attempt are recognised.
pub type AttemptId = u64;

/// The name of a team.
pub type TeamId = Box<str>;

/// A grant's fleet-wide identity, which also identifies the run that holds an idempotency key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct GrantId {
    /// Sidecar that granted.
    pub sidecar: SidecarId,
    /// Incarnation of that sidecar when it granted.
    pub incarnation: Incarnation,
    /// Number of the grant within the incarnation.
    pub claim: ClaimId,
}

/// Offset basis of the 64-bit FNV-1a hash.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;

/// Prime of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Returns the id of the sidecar with this instance name.
///
/// The id is an FNV-1a hash, which is stable across processes and versions, as the replicated log stores these ids. The
/// probability that any two of 1,600 sidecars share an id is about 7 in 10^14.
#[must_use]
pub fn sidecar_id(name: &str) -> SidecarId {
    name.bytes().fold(FNV_OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    })
}
