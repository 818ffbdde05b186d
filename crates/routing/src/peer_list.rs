//! Remembers the addresses of other gateways, of which each listing names a part.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::Bound;
use std::time::Duration;

use sha2::{Digest, Sha256};

/// Time for which a gateway stays known after it was last listed.
const LISTED_TTL: Duration = Duration::from_mins(3);

/// Time for which a gateway stays known that only another gateway has named, so that those that have ended are not named forever.
const NAMED_TTL: Duration = Duration::from_mins(1);

#[derive(Debug, Clone, Copy)]
struct Peer {
    address: SocketAddr,
    known_until: Duration,
    suspended_until: Duration,
}

/// The addresses of other gateways.
#[derive(Debug, Default)]
pub struct PeerList {
    /// By position on the ring.
    peers: BTreeMap<u64, Peer>,
}

/// Returns the position of an address on a ring.
///
/// Positions are hashed because the addresses of a data centre are consecutive: by address, all gateways of one data
/// centre would choose the same gateway of another.
fn position(address: SocketAddr) -> u64 {
    let digest = Sha256::digest(address.to_string());
    let mut position = [0; size_of::<u64>()];
    position.copy_from_slice(&digest[..size_of::<u64>()]);
    u64::from_be_bytes(position)
}

impl PeerList {
    /// Records the addresses of running gateways, and forgets those that have not been listed for long.
    pub fn record_listed(
        &mut self,
        now: Duration,
        addresses: impl IntoIterator<Item = SocketAddr>,
    ) {
        self.record(now + LISTED_TTL, addresses);
        self.peers.retain(|_, peer| now < peer.known_until);
    }

    /// Records addresses that another gateway has named.
    pub fn record_named(&mut self, now: Duration, addresses: impl IntoIterator<Item = SocketAddr>) {
        self.record(now + NAMED_TTL, addresses);
    }

    fn record(&mut self, known_until: Duration, addresses: impl IntoIterator<Item = SocketAddr>) {
        for address in addresses {
            let peer = self.peers.entry(position(address)).or_insert(Peer {
                address,
                known_until,
                suspended_until: Duration::ZERO,
            });
            peer.known_until = peer.known_until.max(known_until);
        }
    }

    /// Returns all known addresses.
    pub fn addresses(&self) -> impl Iterator<Item = SocketAddr> {
        self.peers.values().map(|peer| peer.address)
    }

    /// Returns the first usable address after a given one on the ring.
    ///
    /// Gateways that know each other choose different ones.
    #[must_use]
    pub fn successor(&self, now: Duration, of: SocketAddr) -> Option<SocketAddr> {
        let own = position(of);
        let after = self.peers.range((Bound::Excluded(own), Bound::Unbounded));
        let before = self.peers.range(..own);
        let mut usable = after
            .chain(before)
            .filter(|(_, peer)| peer.suspended_until <= now);
        usable.next().map(|(_, peer)| peer.address)
    }

    /// Excludes an address from [`PeerList::successor`] for some time.
    pub fn suspend(&mut self, now: Duration, address: SocketAddr, duration: Duration) {
        if let Some(peer) = self.peers.get_mut(&position(address)) {
            peer.suspended_until = now + duration;
        }
    }
}
