//! The registry of metrics, and their text format for scrapers.

use std::collections::HashSet;
use std::fmt::{self, Debug};
use std::hash::Hash;
use std::sync::{Arc, Mutex, PoisonError, RwLock};

use prometheus_client::encoding::{EncodeLabelSet, text};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::{Family, MetricConstructor};
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::{Metric, Registry as Inner};

/// Prefix of the name of every metric.
const PREFIX: &str = "hinge";

/// Upper bounds of the buckets for latencies, in seconds.
///
/// The buckets are narrowest around the targets of 76 ms between tokens and 0.43 s to the first token, so that a quantile
/// near a target has an error of at most a third. The last bound exceeds the usual deadline of two minutes.
pub const LATENCY_SECONDS: &[f64] = &[
    0.001, 0.005, 0.02, 0.05, 0.076, 0.1, 0.2, 0.3, 0.43, 0.6, 1.0, 2.0, 5.0, 15.0, 60.0, 180.0,
];

/// The traits that the label set of a family must implement.
pub trait Labels: Clone + Debug + Eq + Hash + EncodeLabelSet + Send + Sync + 'static {}

impl<T: Clone + Debug + Eq + Hash + EncodeLabelSet + Send + Sync + 'static> Labels for T {}

/// A constructor of the histograms of one family, all with the same upper bounds.
#[derive(Clone, Copy, Debug)]
pub struct Buckets(&'static [f64]);

impl MetricConstructor<Histogram> for Buckets {
    fn new_metric(&self) -> Histogram {
        Histogram::new(self.0.iter().copied())
    }
}

/// A family of histograms, one for each label set.
pub type HistogramFamily<L> = Family<L, Histogram, Buckets>;

/// Most teams with a label of their own in one process; a metrics page with 1,500 teams, at each of 1,600 sidecars, would be
/// too long.
const MAX_TEAM_LABELS: usize = 64;

/// Label under which all teams beyond the limit are counted.
const OTHER_TEAMS_LABEL: &str = "other";

/// The teams with a label of their own: those seen first, up to a limit, for as long as the process runs.
#[derive(Debug, Default)]
pub struct TeamLabels {
    labelled_teams: RwLock<HashSet<Arc<str>>>,
}

impl TeamLabels {
    /// Returns the label under which a team is counted.
    #[must_use]
    pub fn label(&self, team: &str) -> Arc<str> {
        let labelled_teams = self
            .labelled_teams
            .read()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some(label) = labelled_teams.get(team) {
            return Arc::clone(label);
        }
        let is_full = labelled_teams.len() >= MAX_TEAM_LABELS;
        drop(labelled_teams);
        if is_full {
            return OTHER_TEAMS_LABEL.into();
        }
        let mut labelled_teams = self
            .labelled_teams
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        if !labelled_teams.contains(team) && labelled_teams.len() >= MAX_TEAM_LABELS {
            return OTHER_TEAMS_LABEL.into();
        }
        let label: Arc<str> = team.into();
        labelled_teams.insert(Arc::clone(&label));
        label
    }
}

/// The labels that identify a process.
#[derive(Clone, Debug, Eq, Hash, PartialEq, EncodeLabelSet)]
struct ProcessLabels {
    incarnation: u64,
    role: String,
    version: &'static str,
}

/// The metrics of one process.
#[derive(Debug)]
pub struct Registry {
    inner: Mutex<Inner>,
}

impl Registry {
    /// Returns an empty registry.
    #[must_use]
    pub fn new() -> Self {
        Self {
            inner: Mutex::new(Inner::with_prefix(PREFIX)),
        }
    }

    /// Registers a counter; the page adds `_total` to its name.
    #[must_use]
    pub fn counter(&self, name: &str, help: &str) -> Counter {
        self.register(name, help, Counter::default())
    }

    /// Registers a gauge.
    #[must_use]
    pub fn gauge(&self, name: &str, help: &str) -> Gauge {
        self.register(name, help, Gauge::default())
    }

    /// Registers a histogram with the given upper bounds.
    #[must_use]
    pub fn histogram(&self, name: &str, help: &str, bounds: &'static [f64]) -> Histogram {
        self.register(name, help, Buckets(bounds).new_metric())
    }

    /// Registers a family of counters.
    #[must_use]
    pub fn counters<L: Labels>(&self, name: &str, help: &str) -> Family<L, Counter> {
        self.register(name, help, Family::default())
    }

    /// Registers a family of gauges.
    #[must_use]
    pub fn gauges<L: Labels>(&self, name: &str, help: &str) -> Family<L, Gauge> {
        self.register(name, help, Family::default())
    }

    /// Registers a family of histograms with the given upper bounds.
    #[must_use]
    pub fn histograms<L: Labels>(
        &self,
        name: &str,
        help: &str,
        bounds: &'static [f64],
    ) -> HistogramFamily<L> {
        self.register(name, help, Family::new_with_constructor(Buckets(bounds)))
    }

    /// Registers a gauge of constant 1 whose labels identify this process; a restart changes its incarnation.
    pub fn process_info(&self, incarnation: u64, role: &str, version: &'static str) {
        let info = self.gauges("process_info", "The process behind this page.");
        let labels = ProcessLabels {
            incarnation,
            role: role.to_owned(),
            version,
        };
        info.get_or_create(&labels).set(1);
    }

    /// Returns the metrics page as text.
    ///
    /// # Errors
    ///
    /// Returns an error when a metric or a label can't be encoded as text.
    pub fn page(&self) -> Result<String, fmt::Error> {
        let mut page = String::new();
        let inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        text::encode(&mut page, &inner)?;
        Ok(page)
    }

    fn register<M: Metric + Clone>(&self, name: &str, help: &str, metric: M) -> M {
        // The library appends a full stop to the help text.
        let help = help.trim_end_matches('.');
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        inner.register(name, help, metric.clone());
        metric
    }
}

impl Default for Registry {
    fn default() -> Self {
        Self::new()
    }
}
