//! Chooses the team that loses a waiting offer when the queue is full.

use crate::team::{NormalisedUnits, Team, TeamIndex, normalise};

/// Returns the team that is furthest above its share of the queue, with the new offer of `newcomer` counted.
///
/// Compares waiting offers divided by the share, not service: a team that floods the queue is served at its share like
/// any other, but occupies too much of the queue. Ties are broken by effective service.
pub(crate) fn furthest_above_share<'a, T: 'a>(
    teams: impl Iterator<Item = (TeamIndex, &'a Team<T>)>,
    newcomer: TeamIndex,
) -> Option<TeamIndex> {
    let excess = |(index, team): (TeamIndex, &Team<T>)| -> ((NormalisedUnits, u64), TeamIndex) {
        let waiting = team.waiting + usize::from(index == newcomer);
        let occupancy = normalise(waiting as u64, team.account.share());
        ((occupancy, team.account.effective()), index)
    };
    let worst = teams.map(excess).max()?;
    Some(worst.1)
}
