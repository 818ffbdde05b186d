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
    heard_at: Duration,
}

/// Holds gateways by name.
#[derive(Debug)]
pub(crate) struct Directory {
    known: BTreeMap<Box<str>, Gateway>,
    /// Time after its last word for which a gateway is named.
    remember: Duration,
    /// Gateways that are named to one at most.
    most_named: usize,
}

impl Directory {
    /// Creates an empty one that names so many, for so long after their last word.
    pub(crate) fn new(remember: Duration, most_named: usize) -> Self {
        Self {
            known: BTreeMap::new(),
            remember,
            most_named,
        }
    }

    /// Notes word of a gateway that can be reached at an address.
    pub(crate) fn note(&mut self, now: Duration, instance: &str, address: &str) {
        let remember = self.remember;
        self.known
            .retain(|_, gateway| now < gateway.heard_at + remember);
        let gateway = Gateway {
            address: address.into(),
            heard_at: now,
        };
        self.known.insert(instance.into(), gateway);
    }

    /// Returns the addresses of some gateways other than the one that asks, by a number that the caller draws.
    pub(crate) fn others(&self, instance: &str, draw: usize) -> Vec<Box<str>> {
        let others = self.known.iter().filter(|(name, _)| ***name != *instance);
        let others: Vec<&Gateway> = others.map(|(_, gateway)| gateway).collect();
        let from = draw % others.len().max(1);
        let turned = others.iter().cycle().skip(from);
        let named = turned.take(self.most_named.min(others.len()));
        named.map(|gateway| gateway.address.clone()).collect()
    }
}
