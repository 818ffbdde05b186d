//! Whether a process is ready for work, and the reasons why it is not.

use std::sync::atomic::{AtomicU16, Ordering};

/// A reason why a process is not ready.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reason {
    /// The process has not bound its addresses yet.
    Starting,
    /// The process has no current configuration yet.
    NoConfig,
    /// The process has not learnt the members of its pools yet.
    NoMembers,
    /// The process has no lease from control.
    NoLease,
    /// The endpoint does not answer.
    EndpointDown,
    /// The control instance has no quorum.
    NoQuorum,
    /// The process is in a planned stop.
    Leaving,
    /// The process is at its capacity.
    Full,
    /// The process has not heard from control for so long that its state may be outdated.
    Outdated,
}

impl Reason {
    /// Every reason, in the order in which they are reported.
    pub const ALL: [Self; 9] = [
        Self::Starting,
        Self::NoConfig,
        Self::NoMembers,
        Self::NoLease,
        Self::EndpointDown,
        Self::NoQuorum,
        Self::Leaving,
        Self::Full,
        Self::Outdated,
    ];

    /// Returns the text that `/readyz` shows.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Starting => "starting",
            Self::NoConfig => "no current configuration",
            Self::NoMembers => "no member list",
            Self::NoLease => "no lease from control",
            Self::EndpointDown => "endpoint does not answer",
            Self::NoQuorum => "no quorum",
            Self::Leaving => "leaving",
            Self::Full => "as much work as it can bear",
            Self::Outdated => "no word from control for too long",
        }
    }

    fn bit(self) -> u16 {
        1 << (self as u16)
    }
}

/// The readiness of a process, as an atomic set of the reasons why it is not ready.
#[derive(Debug)]
pub struct Readiness {
    bits: AtomicU16,
}

impl Readiness {
    /// Returns a readiness with the given reasons set.
    #[must_use]
    pub fn new(reasons: &[Reason]) -> Self {
        let bits = reasons.iter().fold(0, |bits, reason| bits | reason.bit());
        Self {
            bits: AtomicU16::new(bits),
        }
    }

    /// Adds a reason.
    pub fn set(&self, reason: Reason) {
        self.bits.fetch_or(reason.bit(), Ordering::AcqRel);
    }

    /// Removes a reason.
    pub fn clear(&self, reason: Reason) {
        self.bits.fetch_and(!reason.bit(), Ordering::AcqRel);
    }

    /// Adds the reason when `holds` is true, and removes it otherwise.
    pub fn update(&self, reason: Reason, holds: bool) {
        if holds {
            self.set(reason);
        } else {
            self.clear(reason);
        }
    }

    /// Returns whether no reason is set.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.bits.load(Ordering::Acquire) == 0
    }

    /// Returns the reasons that are set, from one atomic read.
    #[must_use]
    pub fn reasons(&self) -> Vec<Reason> {
        let bits = self.bits.load(Ordering::Acquire);
        let mut reasons = Reason::ALL.to_vec();
        reasons.retain(|reason| bits & reason.bit() != 0);
        reasons
    }
}
