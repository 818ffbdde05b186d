//! Holds the settings of the choice.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Says among which sidecars a prefix's favourite is picked.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AffinityScope {
    /// Among the entry's subset: no further links, but entries with different subsets have different favourites.
    Subset,
    /// Among the whole pool: every entry has the same favourite, and opens a link to it on demand.
    Pool,
}

/// Sets how offers are spread.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SelectionRules {
    /// Sidecars of a pool that an entry is linked with.
    pub max_links: usize,
    /// Entries that each sidecar should be linked with; few entries take more links each for it.
    pub min_entries_per_sidecar: usize,
    /// Sidecars among which a prefix's favourite is picked.
    pub affinity_scope: AffinityScope,
    /// Offers of the first round of a request with a prefix.
    pub affinity_offers: usize,
    /// Offers of the first round that goes by load.
    pub first_offers: usize,
    /// Wait after a round before the next; it doubles with each round.
    pub widen_after: Duration,
    /// Longest such wait.
    pub max_widen_after: Duration,
    /// Open offers that a request keeps; a further one is open for the moment in which an offer moves.
    pub max_open: usize,
    /// Longest wait between two moves of an offer.
    pub max_rotate_after: Duration,
    /// Longest such wait of an urgent request.
    pub max_urgent_rotate_after: Duration,
    /// Times the mean load of the subset, in thousandths, up to which a prefix's favourite is used.
    pub load_bound_permille: u64,
    /// Load, in thousandths, up to which a favourite is used in any case.
    pub min_load_bound_permille: u64,
    /// Age at which a sidecar's known load no longer counts.
    pub max_load_age: Duration,
    /// Prefixes for which cache events are remembered.
    pub max_hints: usize,
}

impl Default for SelectionRules {
    /// Returns the defaults.
    ///
    /// Twenty links hold a whole pool of today's sizes, and let 300 entries meet each of 200 sidecars 30 times. An idle
    /// sidecar's grant comes back within a round trip of 2 to 3 ms, so a wait of 5 ms is the first sign that there is none.
    /// Favourites are picked among the pool: in 300 entries' subsets of 20 in 200, one prefix had 37 favourites, so that
    /// the turns of one conversation would rarely meet its cache. The links on demand are as many as an entry's requests
    /// with a prefix within a link's idle time.
    ///
    /// Three open offers leave the gap and the utilisation of a backlog as they are with an offer at each sidecar.
    ///
    /// Moves ten seconds apart cost a request that waits 30 bytes a second, and one that is urgent ten times as many.
    ///
    /// A quarter above the mean is the usual bound of consistent hashing with bounded loads; below half load there is
    /// nothing to even out.
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
