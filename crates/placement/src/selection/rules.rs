//! The settings of the selection.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// The sidecars that are affinity candidates for a prefix.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AffinityScope {
    /// The entry's subset, which needs no further links, but entries with different subsets prefer different sidecars.
    Subset,
    /// The whole pool: all entries prefer the same sidecar for a prefix, and open a link to it on demand.
    Pool,
}

/// The settings of the selection of sidecars.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SelectionRules {
    /// Sidecars of a pool to which an entry keeps links.
    pub max_links: usize,
    /// Minimum entries with a link to each sidecar; a few entries keep more than `max_links` each to reach it.
    pub min_entries_per_sidecar: usize,
    /// Sidecars that are affinity candidates for a prefix.
    pub affinity_scope: AffinityScope,
    /// Offers of the first round of a request with a prefix.
    pub affinity_offers: usize,
    /// Offers of the first round that is picked by load.
    pub first_offers: usize,
    /// Wait between the first two rounds; it doubles with each further round.
    pub widen_after: Duration,
    /// Maximum wait between rounds that add offers.
    pub max_widen_after: Duration,
    /// Maximum open offers of a request; one more is open briefly while an offer moves.
    pub max_open: usize,
    /// Maximum wait between rounds that move an offer.
    pub max_rotate_after: Duration,
    /// Maximum wait between rounds that move an offer of an urgent request.
    pub max_urgent_rotate_after: Duration,
    /// Multiple of the subset's mean load, in thousandths, up to which an affinity candidate is used.
    pub load_bound_permille: u64,
    /// Load, in thousandths, up to which an affinity candidate is always used.
    pub min_load_bound_permille: u64,
    /// Age beyond which a sidecar's known load is ignored.
    pub max_load_age: Duration,
    /// Maximum prefixes with recorded cache events.
    pub max_hints: usize,
}

impl Default for SelectionRules {
    /// Returns the default settings.
    ///
    /// Twenty links cover all of a typical pool, and 300 entries with 20 links each give each of 200 sidecars 30 links. An
    /// idle sidecar's grant arrives after a round trip of 2 to 3 ms, so a wait of 5 ms is the first sign that there is none.
    ///
    /// Affinity candidates come from the whole pool. With subsets of 20 out of 200 sidecars, 300 entries had 37 different
    /// first candidates for one prefix, so the turns of a conversation would rarely hit the sidecar with its cache. An
    /// entry opens as many links on demand as it has requests with a prefix within a link's idle timeout.
    ///
    /// In a backlog, three open offers result in the same gap and utilisation as an offer to every sidecar.
    ///
    /// Moving an offer every ten seconds costs 30 bytes per second for each waiting request, and ten times as much for an
    /// urgent one.
    ///
    /// A quarter above the mean is the usual bound of consistent hashing with bounded loads; below half load, there is no
    /// need to balance.
    fn default() -> Self {
        Self {
            max_links: 20,
            min_entries_per_sidecar: 5,
            affinity_scope: AffinityScope::Pool,
            affinity_offers: 1,
            first_offers: 2,
            widen_after: Duration::from_millis(5),
            max_widen_after: Duration::from_millis(80),
            max_open: 3,
            max_rotate_after: Duration::from_secs(10),
            max_urgent_rotate_after: Duration::from_secs(1),
            load_bound_permille: 1250,
            min_load_bound_permille: 500,
            max_load_age: Duration::from_secs(2),
            max_hints: 4096,
        }
    }
}
