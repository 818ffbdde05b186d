//! The rate limit of loads from the weight store.

use hinge_state::WallMs;

/// Burst that an idle store allows, as reading time at its rate, so that a small load after a large one needn't wait.
pub const STORE_BURST_MS: u64 = 10_000;

/// A token bucket for reads from the weight store, kept as a single time.
///
/// The time until `busy_until_ms` is what is missing from a full bucket.
#[derive(Debug, Clone, Copy)]
pub(crate) struct StoreBudget {
    rate: u64,
    busy_until_ms: WallMs,
    /// Whether a load was refused; smaller loads behind it wait too, or it might never find enough in the bucket.
    is_blocked: bool,
}

impl StoreBudget {
    pub(crate) fn new(bytes_per_second: u64, busy_until_ms: WallMs) -> Self {
        Self {
            rate: bytes_per_second,
            busy_until_ms,
            is_blocked: false,
        }
    }

    /// Reserves a load's bytes, or returns the time at which to try again.
    ///
    /// A load larger than the bucket is admitted when the bucket is full, and the next load waits until it is read.
    pub(crate) fn reserve(&mut self, now_ms: WallMs, bytes: u64) -> Result<Option<WallMs>, WallMs> {
        if self.rate == 0 || bytes == 0 {
            return Ok(None);
        }
        let read_ms = (u128::from(bytes) * 1000).div_ceil(u128::from(self.rate));
        let read_ms = u64::try_from(read_ms).unwrap_or(u64::MAX);
        let from_ms = self.busy_until_ms.max(now_ms);
        let missing_ms = from_ms - now_ms;
        if self.is_blocked
            || (missing_ms > 0 && missing_ms.saturating_add(read_ms) > STORE_BURST_MS)
        {
            self.is_blocked = true;
            let room_ms = STORE_BURST_MS.saturating_sub(read_ms);
            return Err((from_ms - room_ms.min(missing_ms)).max(now_ms));
        }
        self.busy_until_ms = from_ms.saturating_add(read_ms);
        Ok(Some(self.busy_until_ms))
    }
}
