//! Selects the sidecars that a request is offered to, and tracks their health by the outcomes.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use hinge_config::effective::Limits;
use hinge_member::MemberList;
use hinge_outcome::{Outcome, Reason, SidecarId, sidecar_id};
use hinge_placement::{AttemptOffers, HealthRules, Sample, SelectionRules, SidecarSelector};
use hinge_schema::messages::{Member as Process, Role};
use smallvec::SmallVec;

/// Parts per million in a thousandth.
const PPM_PER_PERMILLE: u32 = 1000;

/// Longest wait between two rounds, as a multiple of the first wait.
const MAX_WIDEN_FACTOR: u32 = 16;

/// The sidecar selectors of all pools that received requests.
#[derive(Debug)]
pub struct PoolSelectors {
    entry: u64,
    by_name: ArcSwap<HashMap<Box<str>, Arc<PoolSelector>>>,
}

impl PoolSelectors {
    /// Creates an empty set for the entry with this instance name.
    #[must_use]
    pub fn new(entry: &str) -> Self {
        Self {
            entry: sidecar_id(entry),
            by_name: ArcSwap::default(),
        }
    }

    /// Returns the selector of a pool, creating it on first use.
    #[must_use]
    pub fn get(&self, name: &str) -> Arc<PoolSelector> {
        if let Some(pool) = self.by_name.load().get(name) {
            return Arc::clone(pool);
        }
        let new_selector = Arc::new(PoolSelector::new(self.entry));
        self.by_name.rcu(|old| {
            let mut pools = HashMap::clone(old);
            pools
                .entry(name.into())
                .or_insert_with(|| Arc::clone(&new_selector));
            pools
        });
        let pools = self.by_name.load();
        pools.get(name).map_or(new_selector, Arc::clone)
    }

    /// Returns the selectors of all pools.
    #[must_use]
    pub fn all(&self) -> Vec<Arc<PoolSelector>> {
        self.by_name.load().values().map(Arc::clone).collect()
    }
}

/// The sidecar selector of one pool.
///
/// The lock is held for a few microseconds in each round and at the end of a request, and never while an answer streams.
#[derive(Debug)]
pub struct PoolSelector {
    entry: u64,
    state: Mutex<SelectorState>,
}

#[derive(Debug)]
struct SelectorState {
    selector: SidecarSelector,
    rules: (SelectionRules, HealthRules),
    /// Epoch and version of the member list in use.
    members_revision: Option<(u64, u64)>,
    sidecars: HashMap<SidecarId, Arc<Process>>,
}

/// A sidecar to make an offer to, or to probe.
#[derive(Debug, Clone)]
pub struct Target {
    /// Id of the sidecar.
    pub id: SidecarId,
    /// Address of the sidecar.
    pub address: Box<str>,
}

/// The sidecars of one round of offers, and the wait before the next round.
#[derive(Debug)]
pub struct Round {
    /// Sidecars to offer the request to.
    pub targets: SmallVec<[Target; 4]>,
    /// Sidecar whose offer is to be withdrawn once the new one was sent.
    pub withdraw: Option<SidecarId>,
    /// Wait for a grant before the next round.
    pub widen_after: Duration,
}

impl PoolSelector {
    fn new(entry: u64) -> Self {
        let rules = (SelectionRules::default(), HealthRules::default());
        let state = SelectorState {
            selector: SidecarSelector::new(rules.0, rules.1, entry),
            rules,
            members_revision: None,
            sidecars: HashMap::new(),
        };
        Self {
            entry,
            state: Mutex::new(state),
        }
    }

    /// Applies a newer member list or changed limits.
    pub fn refresh(&self, members: &MemberList, limits: &Limits, pool: &str, now: Duration) {
        let rules = rules(limits);
        let members_revision = Some((members.epoch(), members.version()));
        let mut state = self.lock();
        if state.members_revision == members_revision && state.rules == rules {
            return;
        }
        if state.rules != rules {
            // The rules of a selector are fixed. They rarely change; when they do, ejections are forgotten.
            state.selector = SidecarSelector::new(rules.0, rules.1, self.entry);
            state.rules = rules;
        }
        let staying = members.pool(pool).iter().filter(|sidecar| !sidecar.leaving);
        state.sidecars = staying
            .map(|sidecar| (sidecar_id(&sidecar.instance), Arc::clone(sidecar)))
            .collect();
        let mut ids: Vec<_> = state.sidecars.keys().copied().collect();
        ids.sort_unstable();
        let entries = members.iter().filter(|member| member.role == Role::Entry);
        state.selector.set_members(&ids, entries.count(), now);
        state.members_revision = members_revision;
    }

    /// Returns the next round of a plan, or `None` when no offer is open and every sidecar has refused.
    pub fn next_round(&self, plan: &mut AttemptOffers, now: Duration) -> Option<Round> {
        let state = self.lock();
        let round = state.selector.next_round(plan, now, &mut rand::rng())?;
        let target = |id: &SidecarId| {
            let address = state.sidecars.get(id)?.peer_address.clone();
            Some(Target { id: *id, address })
        };
        Some(Round {
            targets: round.sidecars.iter().filter_map(target).collect(),
            withdraw: round.withdraw,
            widen_after: round.widen_after,
        })
    }

    /// Records a request that was bound to a sidecar.
    pub fn record_assignment(&self, sidecar: SidecarId) {
        self.lock().selector.record_assignment(sidecar);
    }

    /// Records a health sample of a sidecar, and returns whether the sample ejects it.
    pub fn observe(&self, sidecar: SidecarId, sample: Sample, now: Duration) -> bool {
        let mut state = self.lock();
        let health = &mut state.selector.health;
        health.observe(sidecar, sample, now, &mut rand::rng())
    }

    /// Returns the ejected sidecars that are due for a probe.
    #[must_use]
    pub fn start_probes(&self, now: Duration) -> SmallVec<[Target; 4]> {
        let mut state = self.lock();
        let due = state.selector.health.start_probes(now);
        due.into_iter()
            .filter_map(|id| {
                let address = state.sidecars.get(&id)?.peer_address.clone();
                Some(Target { id, address })
            })
            .collect()
    }

    /// Records the result of a probe.
    pub fn record_probe(&self, sidecar: SidecarId, is_ok: bool, now: Duration) {
        let mut state = self.lock();
        state
            .selector
            .record_probe(sidecar, is_ok, now, &mut rand::rng());
    }

    fn lock(&self) -> MutexGuard<'_, SelectorState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn rules(limits: &Limits) -> (SelectionRules, HealthRules) {
    let widen_after = Duration::from_millis(limits.widen_after_ms);
    let max_open = limits.max_open_offers.max(limits.offers_per_request);
    let selection = SelectionRules {
        first_offers: usize::try_from(limits.offers_per_request).unwrap_or(1),
        max_open: usize::try_from(max_open).unwrap_or(1),
        widen_after,
        max_widen_after: widen_after.saturating_mul(MAX_WIDEN_FACTOR),
        ..SelectionRules::default()
    };
    let health = HealthRules {
        max_reduced_permille: limits.max_ejected / PPM_PER_PERMILLE,
        ..HealthRules::default()
    };
    (selection, health)
}

/// Returns the health sample for an outcome after the bind; overload and callers' errors yield none.
#[must_use]
pub fn sample_of(outcome: Outcome) -> Option<Sample> {
    match outcome.reason()? {
        Reason::EndpointTimeout => Some(Sample::TimedOut),
        Reason::EndpointRefused
        | Reason::EndpointFailed
        | Reason::SidecarLost
        | Reason::AnswerTruncated
        | Reason::AnswerCrossed
        | Reason::AnswerGarbled => Some(Sample::Failed),
        _ => None,
    }
}
