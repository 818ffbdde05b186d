//! Records the addresses of gateways and hands some of them out to other gateways.
//!
//! Two situations need it. When control is partitioned, a gateway may reach only instances without a leader; most other
//! gateways reach both sides, so one that knows a few of them still learns of changes. And when all callers of a team
//! connect to one gateway, the other gateways of its data centre have capacity for their requests.

use std::collections::BTreeMap;
use std::time::Duration;

#[cfg(test)]
mod tests;

#[derive(Debug)]
struct Gateway {
    address: Box<str>,
    last_seen: Duration,
}

/// Known gateways by name.
#[derive(Debug)]
pub(crate) struct GatewayDirectory {
    gateways: BTreeMap<Box<str>, Gateway>,
    /// Time after its last contact for which a gateway is handed out.
    ttl: Duration,
    /// Maximum number of gateways returned by one lookup.
    max_returned: usize,
}

impl GatewayDirectory {
    /// Creates an empty directory.
    pub(crate) fn new(ttl: Duration, max_returned: usize) -> Self {
        Self {
            gateways: BTreeMap::new(),
            ttl,
            max_returned,
        }
    }

    /// Records contact with a gateway that is reachable at an address, and drops expired ones.
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

    /// Returns the number of gateways that have been in contact lately.
    pub(crate) fn count(&self, now: Duration) -> u32 {
        let gateways = self.gateways.values();
        let present = gateways.filter(|gateway| now < gateway.last_seen + self.ttl);
        u32::try_from(present.count()).unwrap_or(u32::MAX)
    }

    /// Returns the addresses of some gateways other than the caller; the random number `draw` selects where to start.
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
