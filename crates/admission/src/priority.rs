//! Computes scheduling priorities and wait limits from team usage.

/// Bounds of the factor applied to a wait limit, in thousandths: the lower for a team far above the fair share, the
/// upper for one far below it. The upper bound lets a request start slightly late rather than never.
const LEAST_FACTOR: f64 = 100.0;
const GREATEST_FACTOR: f64 = 2_500.0;

/// Levels between no usage and the highest team usage; requests of teams on one level are ordered by deadline. Fewer
/// levels let a team with many requests keep its lead.
const USE_STEPS: f64 = 8.0;

/// Smallest width of a usage level, in tokens: about one request.
const SMALLEST_STEP_TOKENS: f64 = 2_000.0;

/// Returns how long a request may wait, in thousandths of its budget.
///
/// Once a long prompt of a heavy team is granted, no waiting request can start within the usual limit until that
/// prompt is prefilled. A team that sends often then hits a free moment often, and a small team hardly ever. So a
/// team below the reference may wait longer, and one above it must find the engine free sooner. The ratio is squared
/// because usage differs by small factors, while the wait behind one long prompt is large.
pub(crate) fn turn_permille(budget_permille: u32, used: f64, share: f64) -> u32 {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the factor lies between two small numbers"
    )]
    let factor =
        ((share / used.max(1.0)).powi(2) * 1000.0).clamp(LEAST_FACTOR, GREATEST_FACTOR) as u32;
    budget_permille * factor / 1000
}

/// The scheduling class of a request, regardless of the exact usage; the lowest goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Precedence {
    /// A stream that has begun and continues.
    Begun,
    /// A team within its fair share, by rank.
    WithinShare(u32),
    /// An underserved team above its fair share, by its short-term usage in tokens.
    Overdue(u64),
    /// Any other team above its fair share.
    AboveShare,
}

/// Fraction of the highest short-term usage below which a team above its fair share goes before other teams above
/// theirs.
///
/// When one team has had all engines to itself and others then exceed their shares as well, paying back its whole
/// lead at once would leave it without service for seconds, and with less than half of what the others get over six
/// seconds. With four such teams a lead takes as many seconds to decay. The limit caps the cost of a lead at a
/// quarter of an even share.
const LEAST_PART_OF_LATE: f64 = 0.75;

/// Returns whether a team is underserved, given its own and the highest short-term usage at this engine.
pub(crate) fn is_overdue(had: f64, most: f64) -> bool {
    had < most * LEAST_PART_OF_LATE
}

/// Returns the scheduling class of a request.
///
/// Rank counts only within a team's fair share. If it always went before usage, a team of the first rank that asks
/// for several times its share would starve heavy teams of later ranks: in the queue's model a
/// team of a later rank got 0 of 334 requests granted, and 65 of 334 with this rule.
pub(crate) fn precedence(rank: u32, used: f64, share: f64, overdue_at: Option<f64>) -> Precedence {
    match (rank, overdue_at) {
        (0, _) => Precedence::Begun,
        _ if used <= share => Precedence::WithinShare(rank),
        (_, Some(had)) => Precedence::Overdue(step_of(had, 1.0)),
        (_, None) => Precedence::AboveShare,
    }
}

/// Returns the width of a usage level, given the highest team usage.
pub(crate) fn step_tokens(most: f64) -> f64 {
    (most / USE_STEPS).max(SMALLEST_STEP_TOKENS)
}

/// Returns the reference that team usage is compared with: the geometric mean of the mean usage and the max-min fair
/// share.
///
/// With many small teams the mean lies far below every heavy team and wouldn't distinguish between these. The max-min
/// share alone is what the heaviest team gets and wouldn't hold it back.
pub(crate) fn reference(used: Vec<f64>) -> f64 {
    #[expect(clippy::cast_precision_loss, reason = "teams are far fewer than 2^52")]
    let mean = used.iter().sum::<f64>() / used.len().max(1) as f64;
    (mean.max(1.0) * full_share(used)).sqrt()
}

/// Returns the max-min fair share of all usage.
///
/// Teams below an even share want no more or don't get it; what they leave is divided among the others, and so on.
/// The level that remains is that of the teams limited by nothing but their share.
fn full_share(mut used: Vec<f64>) -> f64 {
    used.sort_unstable_by(f64::total_cmp);
    let mut rest: f64 = used.iter().sum();
    let mut count = used.len();
    let mut share = 1.0_f64;
    for used in used {
        #[expect(clippy::cast_precision_loss, reason = "teams are far fewer than 2^52")]
        let even = rest / count as f64;
        share = share.max(even);
        if used >= even {
            break;
        }
        rest -= used;
        count -= 1;
    }
    share
}

/// Returns the level that a usage falls into.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a use is no less than nothing, and a cast from floating point saturates"
)]
pub(crate) fn step_of(used_tokens: f64, step_tokens: f64) -> u64 {
    (used_tokens / step_tokens) as u64
}
