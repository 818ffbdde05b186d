//! Computes scheduling priorities and wait limits from team usage.

/// Bounds of the factor applied to a wait limit, in thousandths: the lower for a team far above the fair share, the
/// upper for one far below it. The upper bound lets a request start slightly late rather than never.
const MIN_WAIT_FACTOR_PERMILLE: f64 = 100.0;
const MAX_WAIT_FACTOR_PERMILLE: f64 = 2_500.0;

/// Levels between no usage and the highest team usage; requests of teams on one level are ordered by deadline. Fewer
/// levels let a team with many requests keep its lead.
const USAGE_LEVELS: f64 = 8.0;

/// Smallest width of a usage level, in tokens: about one request.
const MIN_LEVEL_TOKENS: f64 = 2_000.0;

/// Returns how long a request may wait, in thousandths of its budget.
///
/// Once a long prompt of a hot team is granted, no waiting request can start within the usual limit until that
/// prompt is prefilled. A team that sends often then hits a free moment often, and a small team hardly ever. So a
/// team below its fair share may wait longer, and one above it must find the engine free sooner. The ratio is squared
/// because usage differs by small factors, while the wait behind one long prompt is large.
pub(crate) fn max_wait_permille(base_permille: u32, used: f64, fair_share: f64) -> u32 {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the factor lies between two small numbers"
    )]
    let factor_permille = ((fair_share / used.max(1.0)).powi(2) * 1000.0)
        .clamp(MIN_WAIT_FACTOR_PERMILLE, MAX_WAIT_FACTOR_PERMILLE) as u32;
    base_permille * factor_permille / 1000
}

/// The scheduling class of a request, regardless of the exact usage; the lowest goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum SchedulingClass {
    /// A stream that has begun and continues.
    BegunStream,
    /// A team within its fair share, by rank.
    WithinShare(u32),
    /// An underserved team above its fair share, by its short-term usage in tokens.
    Underserved(u64),
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
const UNDERSERVED_RATIO: f64 = 0.75;

/// Returns whether a team is underserved, given its own and the highest short-term usage at this engine.
pub(crate) fn is_underserved(short_term: f64, max_short_term: f64) -> bool {
    short_term < max_short_term * UNDERSERVED_RATIO
}

/// Returns the scheduling class of a request.
///
/// Rank counts only within a team's fair share. If it always went before usage, a team of the first rank that asks
/// for several times its share would starve hot teams of later ranks: in the queue's model such a team got 0 of 334
/// requests granted, and 65 of 334 with this rule.
pub(crate) fn scheduling_class(
    rank: u32,
    used: f64,
    fair_share: f64,
    short_term_if_underserved: Option<f64>,
) -> SchedulingClass {
    match (rank, short_term_if_underserved) {
        (0, _) => SchedulingClass::BegunStream,
        _ if used <= fair_share => SchedulingClass::WithinShare(rank),
        (_, Some(short_term)) => SchedulingClass::Underserved(usage_level(short_term, 1.0)),
        (_, None) => SchedulingClass::AboveShare,
    }
}

/// Returns the width of a usage level, given the highest team usage.
pub(crate) fn level_tokens(max_usage: f64) -> f64 {
    (max_usage / USAGE_LEVELS).max(MIN_LEVEL_TOKENS)
}

/// Returns the fair share of a team: the geometric mean of the mean usage and the max-min share.
///
/// With many small teams the mean lies far below every hot team and alone wouldn't tell them apart. The
/// max-min share alone is what the hottest team gets and wouldn't hold it back.
pub(crate) fn fair_share(usages: Vec<f64>) -> f64 {
    #[expect(clippy::cast_precision_loss, reason = "teams are far fewer than 2^52")]
    let mean = usages.iter().sum::<f64>() / usages.len().max(1) as f64;
    (mean.max(1.0) * max_min_share(usages)).sqrt()
}

/// Returns the max-min share of a team.
///
/// Teams below an even share want no more or don't get it; what they leave is divided among the others, and so on.
/// The level that remains is that of the teams limited by nothing but their share.
fn max_min_share(mut usages: Vec<f64>) -> f64 {
    usages.sort_unstable_by(f64::total_cmp);
    let mut remaining: f64 = usages.iter().sum();
    let mut team_count = usages.len();
    let mut share = 1.0_f64;
    for used in usages {
        #[expect(clippy::cast_precision_loss, reason = "teams are far fewer than 2^52")]
        let even_share = remaining / team_count as f64;
        share = share.max(even_share);
        if used >= even_share {
            break;
        }
        remaining -= used;
        team_count -= 1;
    }
    share
}

/// Returns the level that a usage falls into.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "usage is not negative, and a cast from floating point saturates"
)]
pub(crate) fn usage_level(used_tokens: f64, level_tokens: f64) -> u64 {
    (used_tokens / level_tokens) as u64
}
