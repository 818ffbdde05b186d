//! The metrics of a gateway.

use hinge_routing::{LimitKind, OverloadCounts};
use hinge_telemetry::metrics::{HistogramFamily, LATENCY_SECONDS, Registry, TeamLabels};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;

use crate::job::Job;
use crate::units::millis;

type OutcomeLabels = [(&'static str, Box<str>); 2];
type BoundLabels = [(&'static str, &'static str); 1];
type SourceLabels = [(&'static str, &'static str); 1];
type RouteLabels = [(&'static str, Box<str>); 1];

/// A gateway's counters, gauges and histograms.
#[derive(Debug)]
pub(crate) struct Metrics {
    requests: Family<OutcomeLabels, Counter>,
    teams: Family<OutcomeLabels, Counter>,
    team_labels: TeamLabels,
    route_labels: TeamLabels,
    first_chunk: HistogramFamily<RouteLabels>,
    pub(crate) retries: Counter,
    pub(crate) connections: Counter,
    pub(crate) connections_refused: Counter,
    pub(crate) connections_closed: Counter,
    pub(crate) resumed: Counter,
    resumptions: Family<SourceLabels, Counter>,
    refused: Family<BoundLabels, Counter>,
    shut_ms: Counter,
    handed_off: Counter,
    taken_over: Counter,
    declined: Counter,
    /// Time since control last confirmed the route table, in milliseconds.
    pub(crate) table_age_ms: Gauge,
    /// Number of the route table in force.
    pub(crate) table_number: Gauge,
}

impl Metrics {
    pub(crate) fn register(registry: &Registry) -> Self {
        Self {
            requests: registry.counters(
                "gateway_requests",
                "Requests by route and by how they ended.",
            ),
            teams: registry.counters(
                "gateway_team_requests",
                "Requests by team and by how they ended.",
            ),
            team_labels: TeamLabels::default(),
            route_labels: TeamLabels::default(),
            first_chunk: registry.histograms(
                "gateway_first_piece_seconds",
                "Time from a request's arrival to the first piece of its answer.",
                LATENCY_SECONDS,
            ),
            retries: registry.counter(
                "gateway_repeats",
                "Requests that were sent to a further endpoint.",
            ),
            connections: registry.counter("gateway_connections", "Connections of callers."),
            connections_refused: registry.counter(
                "gateway_connections_refused",
                "Connections of callers whose requests were refused because there were too many connections.",
            ),
            connections_closed: registry.counter(
                "gateway_connections_closed",
                "Connections of callers that were closed without a response because there were too many.",
            ),
            resumed: registry.counter("gateway_resumed", "Streams that went on elsewhere."),
            resumptions: registry.counters(
                "gateway_resumptions",
                "Streams that callers took up again, by how their origin was found.",
            ),
            refused: registry.counters(
                "gateway_refused",
                "Requests turned away for want of room, by the limit that they met.",
            ),
            shut_ms: registry.counter(
                "gateway_shut_ms",
                "Milliseconds in which nobody listened for connections; attempts in them fail uncounted.",
            ),
            handed_off: registry.counter(
                "gateway_handed_off",
                "Requests without room that other gateways of the data centre took.",
            ),
            taken_over: registry.counter(
                "gateway_taken_over",
                "Requests taken from other gateways of the data centre.",
            ),
            declined: registry.counter(
                "gateway_declined",
                "Requests of other gateways of the data centre that were not taken.",
            ),
            table_number: registry.gauge(
                "gateway_table_number",
                "Number of the route table in force, as of the last answer or failure of control.",
            ),
            table_age_ms: registry.gauge(
                "gateway_table_age_ms",
                "Milliseconds since control last confirmed the route table, as of the last answer or failure.",
            ),
        }
    }

    /// Counts the end of a request.
    pub(crate) fn record_end(&self, job: &Job, outcome: &str) {
        let route = self.route_labels.label(&job.route.name);
        let labels = [
            ("route", route.as_ref().into()),
            ("outcome", outcome.into()),
        ];
        self.requests.get_or_create(&labels).inc();
        let team = job.outgoing.team.as_deref().unwrap_or("none");
        let team = self.team_labels.label(team);
        let labels = [("team", team.as_ref().into()), ("outcome", outcome.into())];
        self.teams.get_or_create(&labels).inc();
    }

    /// Counts a request that was refused before a job was made for it.
    pub(crate) fn record_refused(&self, outcome: &str) {
        let labels = [("route", "none".into()), ("outcome", outcome.into())];
        self.requests.get_or_create(&labels).inc();
    }

    /// Counts a stream that a caller takes up again, by how its origin was found.
    pub(crate) fn record_resumption(&self, source: &'static str) {
        self.resumptions.get_or_create(&[("origin", source)]).inc();
    }

    /// Adds the counts of overload control.
    pub(crate) fn add_counts(&self, counts: &OverloadCounts) {
        for kind in LimitKind::ALL {
            let labels = [("bound", kind.name())];
            let refused = counts.refused_at(kind);
            self.refused.get_or_create(&labels).inc_by(refused.into());
        }
        self.handed_off.inc_by(counts.handed_off.into());
        self.taken_over.inc_by(counts.taken_over.into());
        self.declined.inc_by(counts.declined.into());
        let shut_ms = millis(counts.closed_time);
        self.shut_ms.inc_by(shut_ms);
    }

    /// Records the time to the first chunk of an answer.
    pub(crate) fn record_first_chunk(&self, job: &Job, seconds: f64) {
        let route = self.route_labels.label(&job.route.name);
        let labels = [("route", route.as_ref().into())];
        self.first_chunk.get_or_create(&labels).observe(seconds);
    }
}
