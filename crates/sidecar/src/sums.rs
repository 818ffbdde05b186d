//! Reports sums of service to control or a relay, and takes the fleet's totals.

use std::sync::Arc;
use std::time::Duration;

use hinge_fair::{Epoch, SumsReport, TeamSum, TeamTotal, TotalsReply};
use hinge_link::Client;
use hinge_schema::messages::{
    ServiceEpoch, ServiceReport, ServiceSum, ServiceTotal, ServiceTotals,
};
use tokio::time::{MissedTickBehavior, interval};

use crate::shell::Shell;

const SUMS_PATH: &str = "/v1/sums";

/// Longest wait for one instance; a lost report needs no resending, as the next one carries its changes too.
const SUMS_TIMEOUT: Duration = Duration::from_secs(1);

/// Reports changed sums until it is dropped.
pub(crate) struct Reporter {
    shell: Arc<Shell>,
    client: Client,
    preferred: usize,
}

impl Reporter {
    pub(crate) fn new(shell: Arc<Shell>, client: Client) -> Self {
        Self {
            shell,
            client,
            preferred: 0,
        }
    }

    pub(crate) async fn run(mut self) {
        let mut ticks = interval(self.shell.settings.sums_interval);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            self.report().await;
        }
    }

    async fn report(&mut self) {
        let member = self.shell.member.clone();
        let incarnation = member.incarnation();
        let report = self
            .shell
            .tell(|core, _now| core.queue_mut().report(member.instance(), incarnation));
        let report = message(report, &self.shell.settings.pool);
        let Some(totals) = self.send(&report).await else {
            return;
        };
        if totals.incarnation != incarnation {
            return;
        }
        let reply = reply(totals);
        self.shell
            .tell(|core, now| core.queue_mut().apply_totals(now, &reply));
    }

    async fn send(&mut self, report: &ServiceReport) -> Option<ServiceTotals> {
        let control = self.shell.member.control_addresses();
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

fn message(report: SumsReport, pool: &str) -> ServiceReport {
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

fn reply(totals: ServiceTotals) -> TotalsReply {
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
        teams: totals.totals.into_iter().map(total).collect(),
    }
}

fn total(total: ServiceTotal) -> TeamTotal {
    TeamTotal {
        team: total.team,
        normalised_units: total.normalised_units,
        yours_units: total.yours_units,
        lift_units: total.lift_units,
        settled: total.settled,
    }
}
