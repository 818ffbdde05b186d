//! Chooses the team and class to serve next.

use crate::{
    offer::{Class, FreeSlots},
    queue::Queue,
    team::TeamIndex,
};

impl<T> Queue<T> {
    /// Returns the team and class to serve next.
    pub(crate) fn choose(&self, slots: FreeSlots) -> Option<(TeamIndex, Class)> {
        if slots.free_slots == 0 {
            return None;
        }
        let urgent = self.urgent_within_allowance();
        if slots.free_slots <= slots.reserved_slots {
            return urgent.map(|index| (index, Class::Urgent));
        }
        // Urgent precedence decides between teams only. Within the team's turn its lower classes still get their part,
        // or its own urgent offers would starve them.
        let index = urgent.or(self.next_by_service())?;
        let class = self.team(index).next_class();
        let class = class.expect("a backlogged team has a waiting offer");
        Some((index, class))
    }

    /// Returns the team with the least effective service, unless another team has been passed over for too long.
    ///
    /// The service expected from other sidecars may be wrong, and by any amount while no totals arrive. It may
    /// therefore delay a team only as far as estimates of the team's own requests in all slots could. The fairness bound
    /// already allows for those, so the expectation doesn't widen it.
    fn next_by_service(&self) -> Option<TeamIndex> {
        let (_, first) = *self.ready.first()?;
        let (least_ceiling, passed_over) = *self.ceilings.first()?;
        let goes_first = self.team(first).account.counted() <= least_ceiling;
        Some(if goes_first { first } else { passed_over })
    }

    /// Returns the team with urgent offers that has the most of its urgent allowance left, if any has some left.
    fn urgent_within_allowance(&self) -> Option<TeamIndex> {
        let (precedence, index) = *self.urgent.first()?;
        let (_, least) = *self.ready.first()?;
        let (least_ceiling, _) = *self.ceilings.first()?;
        let floor = self.team(least).account.counted().min(least_ceiling);
        let within = precedence <= floor;
        within.then_some(index)
    }
}
