//! Remembers where gateways can be reached, and names some of them to each other.
//!
//! Two load patterns need it. Control is cut in two, and a gateway reaches only instances without a leader; most other gateways reach
//! both sides, so one that knows a few of them still learns of changes. And all callers of a team come to one gateway, while the
//! others of its data centre have room for their requests.

use std::collections::BTreeMap;
use std::time::Duration;

#[cfg(test)]
mod tests;

#[derive(Debug)]
struct Gateway {
    address: Box<str>,
    last_seen: Duration,
}

/// Holds gateways by name.
#[derive(Debug)]
pub(crate) struct GatewayDirectory {
    gateways: BTreeMap<Box<str>, Gateway>,
    /// Time after its last word for which a gateway is named.
    ttl: Duration,
    /// Gateways that are named to one at most.
    max_returned: usize,
}

impl GatewayDirectory {
    /// Creates an empty one that names so many, for so long after their last word.
    pub(crate) fn new(ttl: Duration, max_returned: usize) -> Self {
        Self {
            gateways: BTreeMap::new(),
            ttl,
            max_returned,
        }
    }

    /// Notes word of a gateway that can be reached at an address.
    pub(crate) fn note(&mut self, now: Duration, instance: &str, address: &str) {
        let ttl = self.ttl;
        self.gateways
            .retain(|_, gateway| now < gateway.last_seen + ttl);
        let gateway = Gateway {
            address: address.into(),
            last_seen: now,
        };
        self.gateways.insert(instance.into(), gateway);
    }

    /// Returns the addresses of some gateways other than the one that asks, by a number that the caller draws.
    pub(crate) fn others(&self, instance: &str, draw: usize) -> Vec<Box<str>> {
        let others = self
            .gateways
            .iter()
            .filter(|(name, _)| ***name != *instance);
        let others: Vec<&Gateway> = others.map(|(_, gateway)| gateway).collect();
        let from = draw % others.len().max(1);
        let rotated = others.iter().cycle().skip(from);
        let named = rotated.take(self.max_returned.min(others.len()));
        named.map(|gateway| gateway.address.clone()).collect()
    }
}
