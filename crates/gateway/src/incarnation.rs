//! Hashes that identify an endpoint and one incarnation of it.

use hinge_routing::IncarnationHash;
use hinge_schema::routing::Endpoint as Description;

/// Returns the hash of one incarnation of an endpoint.
pub(crate) fn incarnation(description: &Description) -> IncarnationHash {
    let born = description.born_unix_ms.unwrap_or_default();
    hash(&description.id).wrapping_add(born)
}

/// Returns the FNV-1a hash of an id, which is the same in every process.
pub(crate) fn hash(id: &str) -> u64 {
    id.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}
