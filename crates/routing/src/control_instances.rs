//! Decides which control instances a gateway asks.
//!
//! The load pattern: instances are lost two at a time, and a gateway that tries the others one after the other, each until
//! it times out, misses changes for seconds. So it follows one, and when that one fails it asks some others at once.

use smallvec::SmallVec;

/// Address of a control instance.
pub type Address = Box<str>;

/// Instances that are asked at once while none is followed: one more than may be lost at once in deployments of today.
const ASKED_AT_ONCE: usize = 3;

/// Holds the known control instances, and which one is followed.
#[derive(Debug, Clone)]
pub struct ControlInstances {
    known: Vec<Address>,
    /// Where the next question goes among the known ones.
    next: usize,
    is_followed: bool,
}

impl ControlInstances {
    /// Starts with some addresses; `draw` spreads gateways over them.
    #[must_use]
    pub fn new(seeds: &[Address], draw: usize) -> Self {
        Self {
            known: seeds.to_vec(),
            next: draw % seeds.len().max(1),
            is_followed: false,
        }
    }

    /// Returns the instances to ask now: the one that is followed, or some others at once.
    #[must_use]
    pub fn to_query(&self) -> SmallVec<[Address; ASKED_AT_ONCE]> {
        let count = if self.is_followed { 1 } else { ASKED_AT_ONCE };
        let from_next = self.known.iter().cycle().skip(self.next);
        from_next
            .take(count.min(self.known.len()))
            .cloned()
            .collect()
    }

    /// Notes that one instance answered, with the ones that it knows; it is followed from now on.
    pub fn record_answer(&mut self, address: &str, known: &[Address], seeds: &[Address]) {
        self.learn(known, seeds);
        if !self.known.iter().any(|other| **other == *address) {
            self.known.push(address.into());
        }
        let place = self.known.iter().position(|other| **other == *address);
        self.next = place.unwrap_or_default();
        self.is_followed = true;
    }

    /// Notes that none that were asked answered; the next ones are asked then.
    pub fn record_failure(&mut self, seeds: &[Address]) {
        let asked = self.to_query().len();
        self.is_followed = false;
        self.next = (self.next + asked) % self.known.len().max(1);
        let known = self.known.clone();
        self.learn(&known, seeds);
    }

    /// Returns all instances that are known.
    #[must_use]
    pub fn known(&self) -> &[Address] {
        &self.known
    }

    /// Returns whether one is followed.
    #[must_use]
    pub fn is_followed(&self) -> bool {
        self.is_followed
    }

    /// Keeps the addresses from the log and those of the settings; either may be out of date.
    fn learn(&mut self, known: &[Address], seeds: &[Address]) {
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
