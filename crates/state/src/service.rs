//! Conversion of service sums and totals between messages and the types of `hinge-fair`.

use hinge_fair as fair;
use hinge_schema::messages::{
    ServiceEpoch, ServiceReport, ServiceSum, ServiceTotal, ServiceTotals,
};

fn epoch_to_fair(epoch: &ServiceEpoch) -> fair::Epoch {
    fair::Epoch {
        root: epoch.root,
        merger: epoch.merger,
        turn: epoch.turn,
    }
}

fn epoch_to_message(epoch: fair::Epoch) -> ServiceEpoch {
    ServiceEpoch {
        root: epoch.root,
        merger: epoch.merger,
        turn: epoch.turn,
    }
}

/// Converts a message to a report.
#[must_use]
pub fn report_from(message: &ServiceReport) -> fair::SumsReport {
    let origin = fair::Origin {
        source: message.source.clone(),
        incarnation: message.incarnation,
        generation: message.generation,
    };
    let teams = message.sums.iter().map(|sum| fair::TeamSum {
        team: sum.team.clone(),
        version: sum.version,
        sum: fair::ServiceSum {
            service_units: sum.service_units,
            normalised_units: sum.normalised_units,
            backlogged: sum.backlogged,
            backlog_count: sum.backlog_count,
            lift_units: sum.lift_units,
        },
    });
    fair::SumsReport {
        origin,
        epoch: message.epoch.as_ref().map(epoch_to_fair),
        mark: message.mark,
        teams: teams.collect(),
    }
}

/// Converts a report on a pool to its message.
#[must_use]
pub fn report_message(pool: &str, report: &fair::SumsReport) -> ServiceReport {
    let sums = report.teams.iter().map(|team| ServiceSum {
        team: team.team.clone(),
        version: team.version,
        service_units: team.sum.service_units,
        normalised_units: team.sum.normalised_units,
        backlogged: team.sum.backlogged,
        backlog_count: team.sum.backlog_count,
        lift_units: team.sum.lift_units,
    });
    ServiceReport {
        pool: pool.into(),
        source: report.origin.source.clone(),
        incarnation: report.origin.incarnation,
        generation: report.origin.generation,
        epoch: report.epoch.map(epoch_to_message),
        mark: report.mark,
        sums: sums.collect(),
    }
}

/// Converts a message to totals.
#[must_use]
pub fn totals_from(message: &ServiceTotals) -> fair::TotalsReply {
    let teams = message.totals.iter().map(|total| fair::TeamTotal {
        team: total.team.clone(),
        normalised_units: total.normalised_units,
        yours_units: total.yours_units,
        lift_units: total.lift_units,
        settled: total.settled,
    });
    fair::TotalsReply {
        incarnation: message.incarnation,
        generation: message.generation,
        epoch: epoch_to_fair(&message.epoch),
        restart: message.restart,
        mark: message.mark,
        rooted_mark: message.rooted_mark,
        floor_units: message.floor_units,
        rejoin_count: message.rejoin_count,
        teams: teams.collect(),
    }
}

/// Converts the totals of a pool to their message.
#[must_use]
pub fn totals_message(pool: &str, reply: &fair::TotalsReply) -> ServiceTotals {
    let totals = reply.teams.iter().map(|total| ServiceTotal {
        team: total.team.clone(),
        normalised_units: total.normalised_units,
        yours_units: total.yours_units,
        lift_units: total.lift_units,
        settled: total.settled,
    });
    ServiceTotals {
        pool: pool.into(),
        incarnation: reply.incarnation,
        generation: reply.generation,
        epoch: epoch_to_message(reply.epoch),
        restart: reply.restart,
        mark: reply.mark,
        rooted_mark: reply.rooted_mark,
        floor_units: reply.floor_units,
        rejoin_count: reply.rejoin_count,
        totals: totals.collect(),
    }
}
