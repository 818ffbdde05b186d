//! Remembers the addresses of other gateways, of which each listing names a part.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Time for which a gateway stays known after it was last listed.
const LISTED_TTL: Duration = Duration::from_mins(3);

#[derive(Debug, Clone, Copy)]
struct Peer {
    listed_at: Duration,
    suspended_until: Duration,
}

/// The addresses of other gateways.
#[derive(Debug, Default)]
pub struct PeerList {
    peers: BTreeMap<SocketAddr, Peer>,
}

impl PeerList {
    /// Records the addresses of running gateways, and forgets those that have not been listed for long.
    pub fn record_listed(
        &mut self,
        now: Duration,
        addresses: impl IntoIterator<Item = SocketAddr>,
    ) {
        for address in addresses {
            let peer = self.peers.entry(address).or_insert(Peer {
                listed_at: now,
                suspended_until: Duration::ZERO,
            });
            peer.listed_at = now;
        }
        self.peers
            .retain(|_, peer| now < peer.listed_at + LISTED_TTL);
    }

    /// Returns all known addresses.
    pub fn addresses(&self) -> impl Iterator<Item = SocketAddr> {
        self.peers.keys().copied()
    }

    /// Returns the first usable address after a given one, in the order of addresses and around its end.
    ///
    /// Gateways that know the same addresses choose different ones, each as often as the others.
    #[must_use]
    pub fn successor(&self, now: Duration, of: SocketAddr) -> Option<SocketAddr> {
        let after = self.peers.iter().filter(|(address, _)| **address > of);
        let before = self.peers.iter().filter(|(address, _)| **address < of);
        let mut usable = after
            .chain(before)
            .filter(|(_, peer)| peer.suspended_until <= now);
        usable.next().map(|(address, _)| *address)
    }

    /// Excludes an address from [`PeerList::successor`] for some time.
    pub fn suspend(&mut self, now: Duration, address: SocketAddr, duration: Duration) {
        if let Some(peer) = self.peers.get_mut(&address) {
            peer.suspended_until = now + duration;
        }
    }
}
