//! Limits the bytes that concurrent tasks hold together.

use std::sync::Arc;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Bytes per permit of the semaphore, whose permits are 32-bit numbers.
const UNIT_BYTES: usize = 1024;

/// A number of bytes that tasks may hold at the same time.
#[derive(Debug, Clone)]
pub struct ByteBudget {
    units: Arc<Semaphore>,
    max_units: u32,
}

/// A part of a budget, returned to it on drop.
#[derive(Debug)]
#[must_use = "the bytes are returned when it is dropped"]
pub struct HeldBudget {
    permit: Option<OwnedSemaphorePermit>,
}

impl HeldBudget {
    /// Returns what exceeds a number of bytes to the budget.
    pub fn shrink(&mut self, bytes: usize) {
        let Some(permit) = &mut self.permit else {
            return;
        };
        let surplus = permit.num_permits().saturating_sub(units(bytes) as usize);
        drop(permit.split(surplus));
    }
}

fn units(bytes: usize) -> u32 {
    u32::try_from(bytes.div_ceil(UNIT_BYTES)).unwrap_or(u32::MAX)
}

impl ByteBudget {
    /// Creates a budget of so many bytes.
    #[must_use]
    pub fn new(max_bytes: usize) -> Self {
        let max_units = u32::try_from(max_bytes / UNIT_BYTES).unwrap_or(u32::MAX);
        Self {
            units: Arc::new(Semaphore::new(max_units as usize)),
            max_units,
        }
    }

    /// Waits until so many bytes are free, and takes them; a longer request takes the whole budget.
    pub async fn acquire(&self, bytes: usize) -> HeldBudget {
        let units = Arc::clone(&self.units).acquire_many_owned(units(bytes).min(self.max_units));
        HeldBudget {
            // The semaphore is never closed.
            permit: units.await.ok(),
        }
    }

    /// Takes so many bytes if they are free and no other task waits for some; `None` otherwise.
    #[must_use]
    pub fn try_acquire(&self, bytes: usize) -> Option<HeldBudget> {
        let taken = Arc::clone(&self.units).try_acquire_many_owned(units(bytes));
        taken.ok().map(|permit| HeldBudget {
            permit: Some(permit),
        })
    }

    /// Returns the number of bytes that are free.
    #[must_use]
    pub fn free_bytes(&self) -> usize {
        self.units.available_permits() * UNIT_BYTES
    }
}
