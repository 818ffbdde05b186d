//! Shares the weight store's rate among loads.

use hinge_state::WallMs;

/// What may be read at once from a store that has rested, as time at its rate; a small load after a large one needn't wait.
pub const STORE_BURST_MS: u64 = 10_000;

/// Holds how far ahead of its rate the store has been asked, as one time.
///
/// It is a token bucket: the time until `busy_until_ms` is what is missing from a full bucket.
#[derive(Debug, Clone, Copy)]
pub(crate) struct StoreBudget {
    rate: u64,
    busy_until_ms: WallMs,
    /// Whether a load was refused; smaller ones behind it wait too, or it might never find the bucket full.
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

    /// Takes a load's bytes, or returns when they may be asked again.
    ///
    /// A load larger than the bucket passes when the bucket is full, and the next one waits until it is read.
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
