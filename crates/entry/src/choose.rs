//! Chooses the sidecars that a request is offered to, and judges them by what becomes of it.

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

/// Times the first wait that a later wait between two rounds may be.
const MAX_WIDENING: u32 = 16;

/// Holds the choice in every pool that was asked for.
#[derive(Debug)]
pub struct Pools {
    entry: u64,
    by_name: ArcSwap<HashMap<Box<str>, Arc<PoolChoice>>>,
}

impl Pools {
    /// Opens the choices of the entry with this name.
    #[must_use]
    pub fn open(entry: &str) -> Self {
        Self {
            entry: sidecar_id(entry),
            by_name: ArcSwap::default(),
        }
    }

    /// Returns the choice in a pool.
    #[must_use]
    pub fn get(&self, name: &str) -> Arc<PoolChoice> {
        if let Some(pool) = self.by_name.load().get(name) {
            return Arc::clone(pool);
        }
        let fresh = Arc::new(PoolChoice::open(self.entry));
        self.by_name.rcu(|old| {
            let mut pools = HashMap::clone(old);
            pools
                .entry(name.into())
                .or_insert_with(|| Arc::clone(&fresh));
            pools
        });
        let pools = self.by_name.load();
        pools.get(name).map_or(fresh, Arc::clone)
    }

    /// Returns the choices in all pools.
    #[must_use]
    pub fn all(&self) -> Vec<Arc<PoolChoice>> {
        self.by_name.load().values().map(Arc::clone).collect()
    }
}

/// Holds the choice in one pool.
///
/// The lock is held for some microseconds at the rounds and the end of a request, and never while an answer streams.
#[derive(Debug)]
pub struct PoolChoice {
    entry: u64,
    inner: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    chooser: SidecarSelector,
    rules: (SelectionRules, HealthRules),
    /// Epoch and version of the member list that the choice is made from.
    seen: Option<(u64, u64)>,
    processes: HashMap<SidecarId, Arc<Process>>,
}

/// Names a sidecar that gets an offer now.
#[derive(Debug, Clone)]
pub struct Target {
    /// Id of the sidecar.
    pub id: SidecarId,
    /// Address of the sidecar.
    pub address: Box<str>,
}

/// Names the sidecars of one round, and the wait for the next.
#[derive(Debug)]
pub struct Round {
    /// Sidecars to offer the request to.
    pub targets: SmallVec<[Target; 4]>,
    /// Sidecar whose offer is to be withdrawn once the new one is out.
    pub withdraw: Option<SidecarId>,
    /// Wait for a grant before the next round.
    pub widen_after: Duration,
}

impl PoolChoice {
    fn open(entry: u64) -> Self {
        let rules = (SelectionRules::default(), HealthRules::default());
        let inner = Inner {
            chooser: SidecarSelector::new(rules.0, rules.1, entry),
            rules,
            seen: None,
            processes: HashMap::new(),
        };
        Self {
            entry,
            inner: Mutex::new(inner),
        }
    }

    /// Takes over a newer member list, or other limits.
    pub fn refresh(&self, members: &MemberList, limits: &Limits, pool: &str, now: Duration) {
        let rules = rules(limits);
        let seen = Some((members.epoch(), members.version()));
        let mut inner = self.lock();
        if inner.seen == seen && inner.rules == rules {
            return;
        }
        if inner.rules != rules {
            // Rules stand for the life of a chooser. A change of them is rare, and forgets who was ejected.
            inner.chooser = SidecarSelector::new(rules.0, rules.1, self.entry);
            inner.rules = rules;
        }
        let staying = members.pool(pool).iter().filter(|sidecar| !sidecar.leaving);
        inner.processes = staying
            .map(|sidecar| (sidecar_id(&sidecar.instance), Arc::clone(sidecar)))
            .collect();
        let mut ids: Vec<_> = inner.processes.keys().copied().collect();
        ids.sort_unstable();
        let entries = members.iter().filter(|member| member.role == Role::Entry);
        inner.chooser.set_members(&ids, entries.count(), now);
        inner.seen = seen;
    }

    /// Returns the next round of a plan, or `None` when no offer is open and every sidecar has refused.
    pub fn next_round(&self, plan: &mut AttemptOffers, now: Duration) -> Option<Round> {
        let inner = self.lock();
        let round = inner.chooser.next_round(plan, now, &mut rand::rng())?;
        let target = |id: &SidecarId| {
            let address = inner.processes.get(id)?.peer_address.clone();
            Some(Target { id: *id, address })
        };
        Some(Round {
            targets: round.sidecars.iter().filter_map(target).collect(),
            withdraw: round.withdraw,
            widen_after: round.widen_after,
        })
    }

    /// Counts a request that was bound to a sidecar.
    pub fn note_bound(&self, sidecar: SidecarId) {
        self.lock().chooser.record_assignment(sidecar);
    }

    /// Takes a sample of a sidecar, and returns whether it is ejected by it.
    pub fn observe(&self, sidecar: SidecarId, sample: Sample, now: Duration) -> bool {
        let mut inner = self.lock();
        let health = &mut inner.chooser.health;
        health.observe(sidecar, sample, now, &mut rand::rng())
    }

    /// Returns the ejected sidecars that are to be probed now.
    #[must_use]
    pub fn start_probes(&self, now: Duration) -> SmallVec<[Target; 4]> {
        let mut inner = self.lock();
        let due = inner.chooser.health.start_probes(now);
        due.into_iter()
            .filter_map(|id| {
                let address = inner.processes.get(&id)?.peer_address.clone();
                Some(Target { id, address })
            })
            .collect()
    }

    /// Takes the result of a probe.
    pub fn probed(&self, sidecar: SidecarId, is_ok: bool, now: Duration) {
        let mut inner = self.lock();
        inner
            .chooser
            .record_probe(sidecar, is_ok, now, &mut rand::rng());
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn rules(limits: &Limits) -> (SelectionRules, HealthRules) {
    let widen_after = Duration::from_millis(limits.widen_after_ms);
    let max_open = limits.max_open_offers.max(limits.offers_per_request);
    let choose = SelectionRules {
        first_offers: usize::try_from(limits.offers_per_request).unwrap_or(1),
        max_open: usize::try_from(max_open).unwrap_or(1),
        widen_after,
        max_widen_after: widen_after.saturating_mul(MAX_WIDENING),
        ..SelectionRules::default()
    };
    let health = HealthRules {
        max_reduced_permille: limits.max_ejected / PPM_PER_PERMILLE,
        ..HealthRules::default()
    };
    (choose, health)
}

/// Returns what an outcome after the bind says about the sidecar's endpoint; load and callers' mistakes say nothing.
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
