//! Chooses the team whose turn it is.

use crate::{
    offer::{Class, FreeSlots},
    queue::Queue,
    team::TeamIndex,
};

impl<T> Queue<T> {
    /// Returns the team and class whose turn it is.
    pub(crate) fn choose(&self, slots: FreeSlots) -> Option<(TeamIndex, Class)> {
        if slots.free_slots == 0 {
            return None;
        }
        let urgent = self.urgent_within_allowance();
        if slots.free_slots <= slots.reserved_slots {
            return urgent.map(|index| (index, Class::Urgent));
        }
        // Precedence orders the teams only. Inside its turn a team still owes its lower classes their part, or its own
        // urgent offers would starve them.
        let index = urgent.or(self.next_by_service())?;
        let class = self.team(index).next_class();
        let class = class.expect("a ready team has a waiting offer");
        Some((index, class))
    }

    /// Returns the team with the least effective service, unless that would pass over another for too long.
    ///
    /// What is expected of other sidecars may be wrong, in a long silence without limit. It may put a team back
    /// only as far as the estimates of its own requests could, were they in all slots: this is what the bound allows
    /// for, and so the expectation adds nothing to it.
    fn next_by_service(&self) -> Option<TeamIndex> {
        let (_, first) = *self.ready.first()?;
        let (least_ceiling, passed_over) = *self.ceilings.first()?;
        let goes_first = self.team(first).account.counted() <= least_ceiling;
        Some(if goes_first { first } else { passed_over })
    }

    /// Returns the team with urgent offers that has most of its allowance left, if any team has.
    fn urgent_within_allowance(&self) -> Option<TeamIndex> {
        let (precedence, index) = *self.urgent.first()?;
        let (_, least) = *self.ready.first()?;
        let (least_ceiling, _) = *self.ceilings.first()?;
        let floor = self.team(least).account.counted().min(least_ceiling);
        let within = precedence <= floor;
        within.then_some(index)
    }
}
