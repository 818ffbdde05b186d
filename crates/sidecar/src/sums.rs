//! Reports sums of service to control or a relay, and applies the fleet's totals that come back.

use std::sync::Arc;
use std::time::Duration;

use hinge_fair::{Epoch, SumsReport, TeamSum, TeamTotal, TotalsReply};
use hinge_link::Client;
use hinge_schema::messages::{
    ServiceEpoch, ServiceReport, ServiceSum, ServiceTotal, ServiceTotals,
};
use tokio::time::{MissedTickBehavior, interval};

use crate::shared::Shared;

const SUMS_PATH: &str = "/v1/sums";

/// Longest wait for one instance; a lost report is not resent, as the next one includes its changes.
const SUMS_TIMEOUT: Duration = Duration::from_secs(1);

/// A task that periodically reports the changed sums.
pub(crate) struct Reporter {
    shared: Arc<Shared>,
    client: Client,
    preferred: usize,
}

impl Reporter {
    pub(crate) fn new(shared: Arc<Shared>, client: Client) -> Self {
        Self {
            shared,
            client,
            preferred: 0,
        }
    }

    pub(crate) async fn run(mut self) {
        let mut ticks = interval(self.shared.settings.sums_interval);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            self.report().await;
        }
    }

    async fn report(&mut self) {
        let member = self.shared.member.clone();
        let incarnation = member.incarnation();
        let report = self.shared.update(|dispatcher, _now| {
            dispatcher
                .queue_mut()
                .report(member.instance(), incarnation)
        });
        let report = report_message(report, &self.shared.settings.pool);
        let Some(totals) = self.send(&report).await else {
            return;
        };
        if totals.incarnation != incarnation {
            return;
        }
        let reply = totals_reply(totals);
        self.shared
            .update(|dispatcher, now| dispatcher.queue_mut().apply_totals(now, &reply));
    }

    async fn send(&mut self, report: &ServiceReport) -> Option<ServiceTotals> {
        let control = self.shared.member.control_addresses();
        for _ in 0..control.len() {
            let address = &control[self.preferred];
            let called = self.client.call(address, SUMS_PATH, report, SUMS_TIMEOUT);
            match called.await {
                Ok(totals) => return Some(totals),
                Err(_error) => self.preferred = (self.preferred + 1) % control.len(),
            }
        }
        None
    }
}

fn report_message(report: SumsReport, pool: &str) -> ServiceReport {
    ServiceReport {
        pool: pool.into(),
        source: report.origin.source,
        incarnation: report.origin.incarnation,
        generation: report.origin.generation,
        epoch: report.epoch.map(|epoch| ServiceEpoch {
            root: epoch.root,
            merger: epoch.merger,
            turn: epoch.turn,
        }),
        mark: report.mark,
        sums: report.teams.into_iter().map(sum_message).collect(),
    }
}

fn sum_message(changed: TeamSum) -> ServiceSum {
    let TeamSum { team, version, sum } = changed;
    ServiceSum {
        team,
        version,
        service_units: sum.service_units,
        normalised_units: sum.normalised_units,
        backlogged: sum.backlogged,
        backlog_count: sum.backlog_count,
        lift_units: sum.lift_units,
    }
}

fn totals_reply(totals: ServiceTotals) -> TotalsReply {
    TotalsReply {
        incarnation: totals.incarnation,
        generation: totals.generation,
        epoch: Epoch {
            root: totals.epoch.root,
            merger: totals.epoch.merger,
            turn: totals.epoch.turn,
        },
        restart: totals.restart,
        mark: totals.mark,
        rooted_mark: totals.rooted_mark,
        floor_units: totals.floor_units,
        rejoin_count: totals.rejoin_count,
        teams: totals.totals.into_iter().map(team_total).collect(),
    }
}

fn team_total(total: ServiceTotal) -> TeamTotal {
    TeamTotal {
        team: total.team,
        normalised_units: total.normalised_units,
        yours_units: total.yours_units,
        lift_units: total.lift_units,
        settled: total.settled,
    }
}
