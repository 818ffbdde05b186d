//! Exchange of a sidecar's sums for the totals of the fleet.

use std::time::Duration;

use crate::{
    queue::Queue,
    sums::{SumsReport, TeamSum},
    team::{NormalisedUnits, TeamIndex},
    upstream::{EpochChange, TeamTotal, TotalsReply},
};

/// Time for which a team that the last reply lists as backlogged in the fleet counts as not idle.
///
/// Five reports at one per second tolerate one or two lost replies, and a sidecar that is cut off soon falls back to
/// its local state.
pub const BACKLOG_LISTING_TTL: Duration = Duration::from_secs(5);

impl<T> Queue<T> {
    /// Returns a report of the sums that the merging process has not confirmed yet, to be sent about once a second.
    ///
    /// A report without changes still serves as a heartbeat. A lost report needs no retry: the next one includes its
    /// changes.
    pub fn report(&mut self, source: &str, incarnation: u64) -> SumsReport {
        self.flush_dirty_sums();
        let since = self.upstream.mark();
        self.sums.record_sent(since);
        let changes = self.sums.changes_since(since);
        let changes = changes.map(|(team, version, sum)| TeamSum {
            team: self.team(team).name.clone(),
            version,
            sum,
        });
        let changes = changes.collect();
        self.upstream
            .report(source, incarnation, self.sums.mark(), changes)
    }

    /// Applies the totals of the fleet; late, duplicate and reordered replies are harmless.
    ///
    /// The caller must drop replies to another incarnation of this sidecar.
    pub fn apply_totals(&mut self, now: Duration, reply: &TotalsReply) {
        match self.upstream.update_epoch(reply) {
            EpochChange::Stale => return,
            EpochChange::Unchanged => self.sums.record_rooted(reply.rooted_mark),
            EpochChange::MergerChanged => return self.restart_sums(false),
            EpochChange::RootChanged => return self.restart_sums(true),
        }
        self.reply_count += 1;
        self.listing_expires_at = now + BACKLOG_LISTING_TTL;
        let peer_service_before = self.peer_service;
        self.peer_service.decay();
        for total in &reply.teams {
            self.apply_total(total);
        }
        if self.upstream.update_floor(reply) {
            // Minutes of peer service that arrive at once don't reflect the current ratio of peer to own service.
            self.peer_service = peer_service_before;
            self.forgive_leads();
        }
        // This also updates the sort keys of all backlogged teams with the new ratio.
        if let Some(floor) = self.upstream.floor {
            self.limit_forgiveness(floor);
        }
    }

    fn flush_dirty_sums(&mut self) {
        for index in self.dirty.drain(..) {
            let team = &mut self.teams[index as usize];
            team.dirty = false;
            self.sums.set(index, team.sum());
        }
    }

    /// Resets the sums to the service that the root is not known to have counted.
    fn restart_sums(&mut self, new_root: bool) {
        self.flush_dirty_sums();
        for index in 0..self.teams.len() {
            let index = TeamIndex::try_from(index).expect("the number of teams fits in 32 bits");
            let unrooted = self.sums.unrooted(index);
            self.update_team(index, |team| {
                if new_root {
                    team.account.rebase(unrooted);
                } else {
                    team.account.restart_own(unrooted);
                }
            });
        }
        self.sums = crate::ServiceSums::default();
    }

    fn apply_total(&mut self, total: &TeamTotal) {
        let Some(index) = self.team_index(&total.team) else {
            return;
        };
        let remote = total.normalised_units.saturating_sub(total.yours_units);
        let reply_count = self.reply_count;
        let mut peer_service = self.peer_service;
        self.update_team(index, |team| {
            team.account
                .update_merged(remote, total.yours_units, &mut peer_service);
            team.account.update_remote(remote);
            team.account.update_lift(total.lift_units);
            if total.settled {
                team.account.settle_lift();
                team.listed_in_reply = reply_count;
            }
        });
        self.peer_service = peer_service;
    }

    /// Forgives large leads after service that was unknown here has arrived at once.
    fn forgive_leads(&mut self) {
        let Some(floor) = self.upstream.floor else {
            return;
        };
        let max_request_units = self.limits.max_request_units;
        for index in 0..self.teams.len() {
            let index = TeamIndex::try_from(index).expect("the number of teams fits in 32 bits");
            self.update_team(index, |team| {
                team.account.forgive_lead_above(floor, max_request_units);
            });
        }
    }

    fn limit_forgiveness(&mut self, floor: NormalisedUnits) {
        for index in self.backlogged() {
            self.update_team(index, |team| team.account.limit_forgiveness(floor));
        }
    }
}
