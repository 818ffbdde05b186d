//! Compares the uses of teams: when a turn must come by a team's use, and who goes before whom.

/// Factors of the part of a budget in which a turn must come, in thousandths: for a team far above a whole share, and for
/// one far below it. The greatest lets a turn come a little late rather than never.
const LEAST_FACTOR: f64 = 100.0;
const GREATEST_FACTOR: f64 = 2_500.0;

/// Steps of use between no use and that of the team with the most; teams on one step take turns by their budgets. Fewer
/// steps let a team with many asks keep its lead.
const USE_STEPS: f64 = 8.0;

/// Smallest step of use, in tokens: about one request.
const SMALLEST_STEP_TOKENS: f64 = 2_000.0;

/// Returns the part of its budget in which an ask's turn must come, in thousandths.
///
/// The load pattern: a long prompt of a hot team is granted, and for as long as it is read nobody's turn comes in the
/// usual part of a budget. Who asks often then draws a free moment often, and a small team hardly ever. So a team
/// that has used less than the reference may wait longer, and one that has used more must find the engine free sooner;
/// by the square, since a part of it is a small difference and the wait behind one long prompt a great one.
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

/// Says whose turn comes before others' whatever has been used; less goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Precedence {
    /// What has begun and goes on.
    Begun,
    /// A team within its share, by its rank.
    WithinShare(u32),
    /// A team above its share that has had far less of late than another one: this many tokens.
    Overdue(u64),
    /// Another team above its share.
    AboveShare,
}

/// Part of what another team had of late below which a team above its share goes before the others above theirs.
///
/// The load pattern: a team has a fleet to itself, and then others ask for more than their shares as well. If it paid all of its
/// lead back before its next turn, it would get nothing for seconds, and in six of them less than half of what the others get:
/// with four such teams a lead takes as many seconds to fade. So a lead costs a quarter of an even share, and no more.
const LEAST_PART_OF_LATE: f64 = 0.75;

/// Returns whether a team's turn is overdue, by what it and the team with the most had here of late.
pub(crate) fn is_overdue(had: f64, most: f64) -> bool {
    had < most * LEAST_PART_OF_LATE
}

/// Returns the precedence of an ask, by its rank, its team's use and what the team has had of late where its turn
/// is overdue.
///
/// The load pattern: a team of the first rank asks for several times its share. If its rank went before use at all times, a
/// hot team of a later rank would get nothing beside it: 0 of 334 asks in the queue's model, 65 of 334 with this. So a rank
/// speeds up what is within a team's share, and no more.
pub(crate) fn precedence(rank: u32, used: f64, share: f64, overdue_at: Option<f64>) -> Precedence {
    match (rank, overdue_at) {
        (0, _) => Precedence::Begun,
        _ if used <= share => Precedence::WithinShare(rank),
        (_, Some(had)) => Precedence::Overdue(step_of(had, 1.0)),
        (_, None) => Precedence::AboveShare,
    }
}

/// Returns the size of a step of use, from that of the team with the most.
pub(crate) fn step_tokens(most: f64) -> f64 {
    (most / USE_STEPS).max(SMALLEST_STEP_TOKENS)
}

/// Returns the use that a team's own is measured against: between the mean and a whole share.
///
/// The mean alone lies far below every hot team where there are many small ones, and would not tell the hot ones apart;
/// the whole share alone is what the hottest has, and would not hold it back.
pub(crate) fn reference(used: Vec<f64>) -> f64 {
    #[expect(clippy::cast_precision_loss, reason = "teams are far fewer than 2^52")]
    let mean = used.iter().sum::<f64>() / used.len().max(1) as f64;
    (mean.max(1.0) * full_share(used)).sqrt()
}

/// Returns the use of a team that gets its whole share, from the uses of all teams.
///
/// Teams below an even share want no more, or do not get it; what they leave is shared by the others, and so on. What is
/// left at the end is the level of those that are held back by nothing but their share.
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

/// Returns the step of a use.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a use is no less than nothing, and a cast from floating point saturates"
)]
pub(crate) fn step_of(used_tokens: f64, step_tokens: f64) -> u64 {
    (used_tokens / step_tokens) as u64
}
