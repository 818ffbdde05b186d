//! Chooses the gateway that takes a request for which another one has no room.
//!
//! The load pattern: all callers of one team come to one small gateway, again when they are refused, while the other gateways of the
//! data centre are nearly idle. To pass a request and its answer on costs a gateway far less than to serve it.

use std::net::SocketAddr;
use std::time::Duration;

/// Time for which a gateway is known after it was named last: control instances name it for as long.
const REMEMBER: Duration = Duration::from_mins(3);

#[derive(Debug)]
struct Known {
    address: SocketAddr,
    named_at: Duration,
    /// Requests that this gateway has handed off to it and that have not ended.
    under_way: u32,
    rests_until: Duration,
}

/// Holds the other gateways of the data centre.
#[derive(Debug, Default)]
pub struct PeerGateways {
    known: Vec<Known>,
}

impl PeerGateways {
    /// Takes in the addresses of gateways that run.
    pub fn record_listed(&mut self, now: Duration, addresses: &[SocketAddr]) {
        for address in addresses {
            match self.find(*address) {
                Some(known) => known.named_at = now,
                None => self.known.push(Known {
                    address: *address,
                    named_at: now,
                    under_way: 0,
                    rests_until: Duration::ZERO,
                }),
            }
        }
        self.known
            .retain(|known| known.under_way > 0 || now < known.named_at + REMEMBER);
    }

    /// Chooses a gateway for a request, which is under way there until [`PeerGateways::ended`]: of two that are drawn the one with fewer requests
    /// of this gateway, so that a slow one gets less.
    pub fn choose(
        &mut self,
        now: Duration,
        except: &[SocketAddr],
        mut draw: impl FnMut() -> usize,
    ) -> Option<SocketAddr> {
        let usable = self
            .known
            .iter()
            .enumerate()
            .filter(|(_, known)| known.rests_until <= now && !except.contains(&known.address));
        let usable: Vec<usize> = usable.map(|(place, _)| place).collect();
        let mut drawn = || usable.get(draw() % usable.len().max(1)).copied();
        let (first, second) = (drawn()?, drawn()?);
        let is_less = self.known[second].under_way < self.known[first].under_way;
        let chosen = &mut self.known[if is_less { second } else { first }];
        chosen.under_way += 1;
        Some(chosen.address)
    }

    /// Notes that a request that was handed off has ended.
    pub fn request_ended(&mut self, address: SocketAddr) {
        if let Some(known) = self.find(address) {
            known.under_way -= 1;
        }
    }

    /// Leaves a gateway out for some time.
    pub fn suspend(&mut self, now: Duration, address: SocketAddr, rest: Duration) {
        if let Some(known) = self.find(address) {
            known.rests_until = now + rest;
        }
    }

    /// Returns how many requests are under way at other gateways.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.known.iter().map(|known| known.under_way).sum()
    }

    /// Returns whether a gateway is known.
    #[must_use]
    pub fn contains(&self, address: SocketAddr) -> bool {
        self.known.iter().any(|known| known.address == address)
    }

    fn find(&mut self, address: SocketAddr) -> Option<&mut Known> {
        self.known.iter_mut().find(|known| known.address == address)
    }
}
