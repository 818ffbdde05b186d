//! Limits the bytes that concurrent tasks hold together.

use std::sync::Arc;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Bytes per permit of the semaphore, whose permits are 32-bit numbers.
const UNIT_BYTES: usize = 1024;

/// A number of bytes that tasks may hold at the same time.
#[derive(Debug, Clone)]
pub(crate) struct ByteBudget {
    units: Arc<Semaphore>,
    max_units: u32,
}

/// A part of a budget, returned to it on drop.
#[derive(Debug)]
pub(crate) struct HeldBudget {
    _permit: Option<OwnedSemaphorePermit>,
}

impl ByteBudget {
    pub(crate) fn new(max_bytes: usize) -> Self {
        let max_units = u32::try_from(max_bytes / UNIT_BYTES).unwrap_or(u32::MAX);
        Self {
            units: Arc::new(Semaphore::new(max_units as usize)),
            max_units,
        }
    }

    /// Waits until so many bytes are free, and takes them; a longer request takes the whole budget.
    pub(crate) async fn acquire(&self, bytes: usize) -> HeldBudget {
        let units = u32::try_from(bytes.div_ceil(UNIT_BYTES)).unwrap_or(u32::MAX);
        let units = Arc::clone(&self.units).acquire_many_owned(units.min(self.max_units));
        HeldBudget {
            // The semaphore is never closed.
            _permit: units.await.ok(),
        }
    }
}
