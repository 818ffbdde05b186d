//! Chooses another gateway for a request that this one has no capacity for.
//!
//! All callers of one team can reach the same small gateway, including their retries, while the other
//! gateways of the data centre are nearly idle. Forwarding a request and its response costs a gateway far
//! less than serving it.

use std::net::SocketAddr;
use std::time::Duration;

/// Time for which a gateway stays known after it was last listed; control instances list it for as long.
const LISTED_TTL: Duration = Duration::from_mins(3);

#[derive(Debug)]
struct Peer {
    address: SocketAddr,
    listed_at: Duration,
    /// Requests handed off to it that have not ended.
    in_flight: u32,
    suspended_until: Duration,
}

/// The other gateways of the data centre.
#[derive(Debug, Default)]
pub struct PeerGateways {
    peers: Vec<Peer>,
}

impl PeerGateways {
    /// Records the addresses of running gateways.
    ///
    /// Forgets peers that are no longer listed and have no requests in flight.
    pub fn record_listed(&mut self, now: Duration, addresses: &[SocketAddr]) {
        for address in addresses {
            match self.find(*address) {
                Some(peer) => peer.listed_at = now,
                None => self.peers.push(Peer {
                    address: *address,
                    listed_at: now,
                    in_flight: 0,
                    suspended_until: Duration::ZERO,
                }),
            }
        }
        self.peers
            .retain(|peer| peer.in_flight > 0 || now < peer.listed_at + LISTED_TTL);
    }

    /// Chooses a gateway for a request.
    ///
    /// The request counts as in flight there until [`PeerGateways::request_ended`].
    ///
    /// Of two gateways drawn at random, it takes the one with fewer requests from this gateway, so that a
    /// slow one gets fewer.
    pub fn choose(
        &mut self,
        now: Duration,
        excluded: &[SocketAddr],
        mut draw: impl FnMut() -> usize,
    ) -> Option<SocketAddr> {
        let usable =
            self.peers.iter().enumerate().filter(|(_, peer)| {
                peer.suspended_until <= now && !excluded.contains(&peer.address)
            });
        let usable: Vec<usize> = usable.map(|(index, _)| index).collect();
        let mut drawn = || usable.get(draw() % usable.len().max(1)).copied();
        let (first, second) = (drawn()?, drawn()?);
        let prefers_second = self.peers[second].in_flight < self.peers[first].in_flight;
        let chosen = &mut self.peers[if prefers_second { second } else { first }];
        chosen.in_flight += 1;
        Some(chosen.address)
    }

    /// Records that a request that was handed off has ended.
    pub fn request_ended(&mut self, address: SocketAddr) {
        if let Some(peer) = self.find(address) {
            peer.in_flight -= 1;
        }
    }

    /// Excludes a gateway from the choice for some time.
    pub fn suspend(&mut self, now: Duration, address: SocketAddr, duration: Duration) {
        if let Some(peer) = self.find(address) {
            peer.suspended_until = now + duration;
        }
    }

    /// Returns the number of requests in flight at other gateways.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.peers.iter().map(|peer| peer.in_flight).sum()
    }

    /// Returns whether a gateway is known.
    #[must_use]
    pub fn contains(&self, address: SocketAddr) -> bool {
        self.peers.iter().any(|peer| peer.address == address)
    }

    fn find(&mut self, address: SocketAddr) -> Option<&mut Peer> {
        self.peers.iter_mut().find(|peer| peer.address == address)
    }
}
