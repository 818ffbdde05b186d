//! Refusal of offers that can't start before their deadline.

use std::time::Duration;

use crate::{
    offer::{Class, Expired, Reason, Refusal},
    queue::Queue,
    team::{OrderKey, Team, TeamIndex},
};

impl<T> Queue<T> {
    /// Removes every waiting offer whose deadline can't be met.
    pub fn expire(&mut self, now: Duration) -> Vec<Expired<T>> {
        let late = self.late_offers(now);
        late.into_iter()
            .filter_map(|offer_id| self.expire_one(offer_id))
            .collect()
    }

    /// Returns the number of the team's picks before an offer with the given class and key.
    pub(crate) fn position(&self, index: TeamIndex, class: Class, order_key: OrderKey) -> usize {
        let team = self.team(index);
        let higher = Class::ALL.into_iter().filter(|other| *other < class);
        let higher = higher
            .map(|other| team.offers_in_order(other).count())
            .sum();
        let in_class = team
            .offers_in_order(class)
            .take_while(|(other, _)| *other < order_key);
        Team::<T>::picks_before(higher, in_class.count())
    }

    /// Returns the estimated number of picks of the whole queue until `offers` offers of the team are picked.
    pub(crate) fn picks_before(&self, index: TeamIndex, offers: usize) -> u64 {
        let team = self.team(index);
        let share = u64::from(team.account.share());
        let idle_share = if team.waiting == 0 { share } else { 0 };
        let shares = self.backlogged_shares + idle_share;
        (offers as u64).saturating_mul(shares).div_ceil(share)
    }

    /// Returns whether an offer at this position in its team is expected to start after its deadline.
    pub(crate) fn is_late(
        &self,
        now: Duration,
        index: TeamIndex,
        position: usize,
        deadline: Duration,
    ) -> bool {
        let wait = self
            .drain_rate
            .time_for_picks(self.picks_before(index, position));
        let starts_at = now.saturating_add(wait.unwrap_or_default());
        deadline < starts_at || deadline <= now
    }

    fn late_offers(&self, now: Duration) -> Vec<u64> {
        let mut late = Vec::new();
        for (_, index) in &self.ready {
            let mut higher = 0;
            for class in Class::ALL {
                higher += self.late_in_class(now, *index, class, higher, &mut late);
            }
        }
        late
    }

    /// Adds the late offers of one class to `late`, and returns the number of its other offers.
    fn late_in_class(
        &self,
        now: Duration,
        index: TeamIndex,
        class: Class,
        higher: usize,
        late: &mut Vec<u64>,
    ) -> usize {
        let mut in_time = 0;
        for (order_key, offer_id) in self.team(index).offers_in_order(class) {
            let position = Team::<T>::picks_before(higher, in_time);
            if self.is_late(now, index, position, order_key.deadline) {
                late.push(offer_id);
            } else {
                in_time += 1;
            }
        }
        in_time
    }

    fn expire_one(&mut self, offer_id: u64) -> Option<Expired<T>> {
        let team = self.locations.get(&offer_id)?.team;
        let picks = self.picks_before(team, self.team(team).waiting);
        let refusal = self.refusal(Reason::DeadlineUnmeetable, picks);
        let payload = self.remove(offer_id)?;
        Some(Expired {
            offer_id,
            team,
            refusal,
            payload,
        })
    }

    pub(crate) fn refusal(&self, reason: Reason, picks: u64) -> Refusal {
        Refusal {
            reason,
            retry_after: self.drain_rate.retry_after(picks),
        }
    }
}
