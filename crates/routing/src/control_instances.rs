//! Selects the control instances that a gateway queries.
//!
//! Instances are lost two at a time, and a gateway that tries the others one after the other, each until its
//! timeout, misses changes for seconds. It therefore follows one instance, and when that fails it queries
//! several others at once.

use smallvec::SmallVec;

/// Address of a control instance.
pub type Address = Box<str>;

/// Instances queried at once while none is followed: one more than present deployments may lose at once.
const QUERIED_AT_ONCE: usize = 3;

/// The known control instances, and which one is followed.
#[derive(Debug, Clone)]
pub struct ControlInstances {
    known: Vec<Address>,
    /// Index of the first known instance to query.
    next: usize,
    is_following: bool,
}

impl ControlInstances {
    /// Creates a list of known addresses; `draw` spreads gateways over them.
    #[must_use]
    pub fn new(seeds: &[Address], draw: usize) -> Self {
        Self {
            known: seeds.to_vec(),
            next: draw % seeds.len().max(1),
            is_following: false,
        }
    }

    /// Returns the instances to query now: the one that is followed, or several others at once.
    #[must_use]
    pub fn to_query(&self) -> SmallVec<[Address; QUERIED_AT_ONCE]> {
        let count = if self.is_following {
            1
        } else {
            QUERIED_AT_ONCE
        };
        let from_next = self.known.iter().cycle().skip(self.next);
        from_next
            .take(count.min(self.known.len()))
            .cloned()
            .collect()
    }

    /// Records that an instance answered with the ones that it knows, and follows it from now on.
    pub fn record_answer(&mut self, address: &str, known: &[Address], seeds: &[Address]) {
        self.update_known(known, seeds);
        if !self.known.iter().any(|other| **other == *address) {
            self.known.push(address.into());
        }
        let index = self.known.iter().position(|other| **other == *address);
        self.next = index.unwrap_or_default();
        self.is_following = true;
    }

    /// Records that no queried instance answered; the following ones are queried next.
    pub fn record_failure(&mut self, seeds: &[Address]) {
        let queried = self.to_query().len();
        self.is_following = false;
        self.next = (self.next + queried) % self.known.len().max(1);
        let known = self.known.clone();
        self.update_known(&known, seeds);
    }

    /// Returns all known instances.
    #[must_use]
    pub fn known(&self) -> &[Address] {
        &self.known
    }

    /// Returns whether an instance is followed.
    #[must_use]
    pub fn is_following(&self) -> bool {
        self.is_following
    }

    /// Replaces the known addresses by those from the log and from the settings; either may be out of date.
    fn update_known(&mut self, known: &[Address], seeds: &[Address]) {
        let mut all: Vec<Address> = known.to_vec();
        for seed in seeds {
            if !all.contains(seed) {
                all.push(seed.clone());
            }
        }
        self.known = all;
        self.next = self.next.min(self.known.len().saturating_sub(1));
    }
}
