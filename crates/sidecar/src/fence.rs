//! Checks the fencing numbers of orders to the endpoint, as some engines do not check them.

/// The result of a check of an order's fencing number.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FenceCheck {
    /// The order may be forwarded.
    Valid,
    /// A higher number has been seen.
    Fenced,
    /// The lowest valid number is not known yet.
    NotReady,
}

/// The highest fencing number seen.
#[derive(Debug, Clone, Copy, Default)]
pub struct Fence {
    highest: u64,
}

impl Fence {
    /// Returns the highest number seen.
    #[must_use]
    pub fn highest(&self) -> u64 {
        self.highest
    }

    /// Checks an order's fencing number, and remembers the highest.
    ///
    /// `lowest_valid` comes from control. A sidecar that has just started has seen no numbers; without this one, an order from a
    /// leader that was replaced long ago would look current.
    pub fn check(&mut self, fence: u64, lowest_valid: Option<u64>) -> FenceCheck {
        let Some(lowest_valid) = lowest_valid else {
            return FenceCheck::NotReady;
        };
        self.highest = self.highest.max(lowest_valid);
        if fence < self.highest {
            return FenceCheck::Fenced;
        }
        self.highest = fence;
        FenceCheck::Valid
    }
}
