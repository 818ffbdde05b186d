//! Remembers the gateways that follow this instance, and names some of them to each other.
//!
//! The load pattern: control is cut in two, and a gateway reaches only instances without a leader. Most other gateways reach
//! both sides, so one that knows a few of them still learns of changes.

use std::collections::BTreeMap;
use std::time::Duration;

#[cfg(test)]
mod tests;

/// Other gateways that are named to one. Where a quarter of the gateways are beside control instances, and so may be cut off
/// as well, three of them are all such ones in one case of 64.
const NAMED: usize = 3;

/// Time after its last watch for which a gateway is named: watches end within a second, and one that has lost this instance
/// may be reached all the same.
const REMEMBER: Duration = Duration::from_secs(10);

#[derive(Debug)]
struct Watcher {
    address: Box<str>,
    heard_at: Duration,
}

/// Holds the gateways that follow this instance, by name.
#[derive(Debug, Default)]
pub(crate) struct Watchers {
    known: BTreeMap<Box<str>, Watcher>,
}

impl Watchers {
    /// Notes a watch of a gateway that tells others of newer tables at an address.
    pub(crate) fn note(&mut self, now: Duration, instance: &str, address: &str) {
        self.known
            .retain(|_, watcher| now < watcher.heard_at + REMEMBER);
        let watcher = Watcher {
            address: address.into(),
            heard_at: now,
        };
        self.known.insert(instance.into(), watcher);
    }

    /// Returns the addresses of some gateways other than the one that asks, by a number that the caller draws.
    pub(crate) fn others(&self, instance: &str, draw: usize) -> Vec<Box<str>> {
        let others = self.known.iter().filter(|(name, _)| ***name != *instance);
        let others: Vec<&Watcher> = others.map(|(_, watcher)| watcher).collect();
        let from = draw % others.len().max(1);
        let turned = others.iter().cycle().skip(from);
        let named = turned.take(NAMED.min(others.len()));
        named.map(|watcher| watcher.address.clone()).collect()
    }
}
