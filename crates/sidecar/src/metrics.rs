//! Registers the metrics of a sidecar.

use std::sync::Arc;

use hinge_schema::messages::NotRunReason;
use hinge_telemetry::metrics::{Registry, TeamLabels};
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;

use crate::dispatch::{Load, WaitingChange};

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct ClassLabel {
    class: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct ReasonLabel {
    reason: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct TeamLabel {
    team: Arc<str>,
}

#[derive(Debug)]
pub(crate) struct Metrics {
    running: Gauge,
    waiting: Family<ClassLabel, Gauge>,
    pub(crate) granted: Counter,
    refused: Family<ReasonLabel, Counter>,
    failed: Family<ReasonLabel, Counter>,
    pub(crate) completed: Counter,
    pub(crate) answer_bytes: Counter,
    pub(crate) ejected: Gauge,
    service_units: Family<TeamLabel, Counter>,
    team_waiting: Family<TeamLabel, Gauge>,
    team_labels: TeamLabels,
}

impl Metrics {
    pub(crate) fn register(registry: &Registry) -> Self {
        Self {
            running: registry.gauge("sidecar_running", "Slots that are taken."),
            waiting: registry.gauges("sidecar_waiting", "Offers that wait, by class."),
            granted: registry.counter("sidecar_granted", "Offers that were granted a slot."),
            refused: registry.counters("sidecar_refused", "Offers that were refused, by reason."),
            failed: registry.counters("sidecar_failed", "Grants that failed, by reason."),
            completed: registry.counter("sidecar_completed", "Runs with a whole answer."),
            answer_bytes: registry.counter("sidecar_answer_bytes", "Bytes of answers."),
            ejected: registry.gauge(
                "sidecar_endpoint_ejected",
                "1 while the endpoint is ejected.",
            ),
            service_units: registry.counters("sidecar_service_units", "Service by team."),
            team_waiting: registry.gauges("sidecar_team_waiting", "Offers that wait, by team."),
            team_labels: TeamLabels::default(),
        }
    }

    pub(crate) fn set_load(&self, load: Load) {
        self.running.set(i64::from(load.taken_slots));
        let classes = ["urgent", "standard", "batch"];
        for (class, waiting) in classes.into_iter().zip(load.waiting) {
            let waiting = i64::try_from(waiting).unwrap_or(i64::MAX);
            self.waiting
                .get_or_create(&ClassLabel { class })
                .set(waiting);
        }
    }

    pub(crate) fn record_refused(&self, reason: NotRunReason) {
        let reason = reason.to_string();
        self.refused.get_or_create(&ReasonLabel { reason }).inc();
    }

    pub(crate) fn record_failed(&self, reason: NotRunReason) {
        let reason = reason.to_string();
        self.failed.get_or_create(&ReasonLabel { reason }).inc();
    }

    pub(crate) fn record_units(&self, team: &str, units: u64) {
        let team = self.team_labels.label(team);
        let counter = self.service_units.get_or_create(&TeamLabel { team });
        counter.inc_by(units);
    }

    /// Applies a change in the number of a team's waiting offers.
    pub(crate) fn record_waiting_change(&self, change: &WaitingChange) {
        let team = self.team_labels.label(&change.team);
        let waiting = self.team_waiting.get_or_create(&TeamLabel { team });
        waiting.inc_by(change.delta);
    }
}
