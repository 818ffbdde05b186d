//! Daily time windows.

use hinge_config::effective::Window;
use hinge_state::WallMs;

/// Milliseconds per day; Unix time has no leap seconds.
const DAY_MS: u64 = 24 * 60 * 60 * 1000;

/// Returns when the window opens next, or nothing while it is open; without a window it is always open.
pub(crate) fn opens_at_ms(window: Option<&Window>, now_ms: WallMs) -> Option<WallMs> {
    let window = window?;
    let (from, until) = (u64::from(window.from), u64::from(window.until));
    let since_midnight = now_ms % DAY_MS;
    // Both are counted from the opening, so that a window may pass midnight.
    let length = (until + DAY_MS - from) % DAY_MS;
    let since_opening = (since_midnight + DAY_MS - from) % DAY_MS;
    (since_opening >= length).then(|| now_ms + DAY_MS - since_opening)
}
