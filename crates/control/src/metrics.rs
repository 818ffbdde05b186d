//! Metrics of a control instance.

use std::sync::atomic::{AtomicI64, Ordering};

use hinge_link::Traffic;
use hinge_telemetry::metrics::Registry;
use prometheus_client::metrics::gauge::Gauge;

use crate::core::Core;
use crate::memory::MemoryGauges;

/// The gauges of a control instance.
#[derive(Debug)]
pub(crate) struct Metrics {
    term: Gauge<i64, AtomicI64>,
    leading: Gauge<i64, AtomicI64>,
    log_age_ms: Gauge<i64, AtomicI64>,
    voters: Gauge<i64, AtomicI64>,
    learners: Gauge<i64, AtomicI64>,
    commits: Gauge<i64, AtomicI64>,
    config_version: Gauge<i64, AtomicI64>,
    table_number: Gauge<i64, AtomicI64>,
    members: Gauge<i64, AtomicI64>,
    open_orders: Gauge<i64, AtomicI64>,
    refused_reports: Gauge<i64, AtomicI64>,
    memory: MemoryGauges,
}

impl Metrics {
    pub(crate) fn register(registry: &Registry, traffic: Traffic) -> Self {
        Self {
            term: registry.gauge("control_term", "Term of the replicated log"),
            leading: registry.gauge(
                "control_leading",
                "Whether this instance leads and its lease holds",
            ),
            log_age_ms: registry.gauge(
                "control_log_age_ms",
                "Milliseconds since the log's thread last came round",
            ),
            voters: registry.gauge(
                "control_voters",
                "Members of the log among which a quorum is counted",
            ),
            learners: registry.gauge("control_learners", "Members of the log that only follow"),
            commits: registry.gauge("control_commands", "Commands applied since the start"),
            config_version: registry.gauge(
                "control_config_version",
                "Newest configuration version here",
            ),
            table_number: registry.gauge(
                "control_table_number",
                "Number of the route table that is applied here",
            ),
            members: registry.gauge("control_members", "Members listed"),
            open_orders: registry.gauge("control_open_orders", "Orders that are not answered"),
            refused_reports: registry.gauge(
                "control_refused_reports",
                "Reports of endpoints that were refused here since the start",
            ),
            memory: MemoryGauges::register(registry, traffic),
        }
    }

    pub(crate) fn update(&mut self, core: &Core) {
        self.memory.update(core);
        let node_status = core.driver.node_status.borrow().clone();
        self.term.set(to_gauge(node_status.term));
        self.leading.set(i64::from(node_status.may_answer));
        let age_ms = core.driver.age().as_millis();
        self.log_age_ms
            .set(i64::try_from(age_ms).unwrap_or(i64::MAX));
        self.voters.set(to_gauge(node_status.voters as u64));
        self.learners.set(to_gauge(node_status.learners as u64));
        let commits = core.driver.commits.load(Ordering::Relaxed);
        self.commits.set(to_gauge(commits));
        let view = core.driver.view.load();
        self.config_version.set(to_gauge(view.folder.version()));
        self.table_number.set(to_gauge(view.routing.table_number()));
        self.open_orders
            .set(to_gauge(view.open_orders.len() as u64));
        let soft = core.soft();
        self.refused_reports
            .set(to_gauge(soft.refused_reports.count()));
        let members = soft.members.as_ref();
        let roster = members.map_or(&soft.followed, hinge_state::Members::roster);
        self.members.set(to_gauge(roster.len() as u64));
    }
}

fn to_gauge(value: u64) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}
