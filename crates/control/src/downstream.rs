//! A relay's record of its downstream processes.

use std::collections::BTreeMap;
use std::time::Duration;

use hinge_fair::Totals;
use hinge_schema::messages::{
    Announce, AnnounceBatch, AnnouncedBatch, Renewal, ServiceReport, ServiceTotals,
};
use hinge_state::{InstanceName, LeaseLimits, Roster, service};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::soft_state::MAX_POOLS;

/// Maximum number of full announcements in one batch, which limits it to about 64 KB when a data centre reconnects.
const MAX_BATCH_ANNOUNCEMENTS: usize = 256;

/// Renewals sent within one lease from control, so that two may be lost.
const RENEWALS_PER_LEASE: u32 = 3;

/// Leases are randomly shortened by up to one part in this many, as control does for its members' leases.
const JITTER_DIVISOR: u32 = 4;

#[derive(Debug)]
struct Process {
    announce: Announce,
    /// When the lease granted by this relay expires.
    expires_at: Duration,
    /// When control last accepted the announcement or a renewal; `None` if the full announcement has to be sent.
    confirmed_at: Option<Duration>,
}

/// The downstream processes, and the state that control returned for them.
#[derive(Debug)]
pub(crate) struct Downstream {
    rules: LeaseLimits,
    processes: BTreeMap<InstanceName, Process>,
    pub(crate) roster: Roster,
    pub(crate) fence: u64,
    /// Epoch of control's member list to which the processes were announced.
    confirmed_epoch: u64,
    pub(crate) totals: BTreeMap<Box<str>, Totals>,
    rng: StdRng,
}

impl Downstream {
    pub(crate) fn new(rules: LeaseLimits) -> Self {
        Self {
            rules,
            processes: BTreeMap::new(),
            roster: Roster::default(),
            fence: 0,
            confirmed_epoch: 0,
            totals: BTreeMap::new(),
            rng: StdRng::seed_from_u64(rand::random()),
        }
    }

    /// Records an announcement; returns the lease, and whether control must be told at once.
    pub(crate) fn announce(&mut self, now: Duration, announce: Announce) -> (Duration, bool) {
        let asked = Duration::from_millis(announce.lease_ms);
        let granted = asked.clamp(self.rules.shortest_lease, self.rules.longest_lease);
        let lease = self
            .rng
            .random_range(granted.saturating_sub(granted / JITTER_DIVISOR)..=granted);
        let name = announce.instance.clone();
        let known = self.processes.get(&name);
        if known.is_some_and(|known| known.announce.incarnation > announce.incarnation) {
            return (lease, false);
        }
        // Renewals carry the versions to control; every other change needs a full announcement.
        let confirmed_at = known
            .filter(|known| is_same_announcement(&known.announce, &announce))
            .and_then(|known| known.confirmed_at);
        let process = Process {
            announce,
            expires_at: now + lease,
            confirmed_at,
        };
        self.processes.insert(name, process);
        (lease, confirmed_at.is_none())
    }

    pub(crate) fn note_version(&mut self, instance: &str, config_version: u64) {
        if let Some(process) = self.processes.get_mut(instance) {
            let held = &mut process.announce.config_version;
            *held = config_version.max(*held);
        }
    }

    /// Returns the renewals that are due, and the due announcements up to a maximum number.
    pub(crate) fn batch(&mut self, now: Duration, relay: &str) -> AnnounceBatch {
        self.processes.retain(|_, process| process.expires_at > now);
        let renew_after = self.rules.longest_lease / RENEWALS_PER_LEASE;
        let longest_ms = u64::try_from(self.rules.longest_lease.as_millis()).unwrap_or(u64::MAX);
        let mut announced = Vec::new();
        let mut renewed = Vec::new();
        for process in self.processes.values() {
            match process.confirmed_at {
                None if announced.len() < MAX_BATCH_ANNOUNCEMENTS => announced.push(Announce {
                    lease_ms: longest_ms,
                    ..process.announce.clone()
                }),
                Some(confirmed_at) if now >= confirmed_at + renew_after => renewed.push(Renewal {
                    instance: process.announce.instance.clone(),
                    incarnation: process.announce.incarnation,
                    config_version: process.announce.config_version,
                    highest_fence: process.announce.highest_fence,
                    running: process.announce.running,
                    ejected: process.announce.ejected,
                }),
                _ => {}
            }
        }
        AnnounceBatch {
            relay: relay.into(),
            announced,
            renewed,
        }
    }

    /// Applies control's reply to the batch created at `confirmed_at`; returns whether more must be sent at once.
    pub(crate) fn apply_reply(
        &mut self,
        confirmed_at: Duration,
        batch: &AnnounceBatch,
        reply: &AnnouncedBatch,
    ) -> bool {
        if reply.members_epoch < self.confirmed_epoch {
            return false;
        }
        if reply.members_epoch > self.confirmed_epoch {
            // A new leader may not know what an earlier one accepted.
            self.confirmed_epoch = reply.members_epoch;
            for process in self.processes.values_mut() {
                process.confirmed_at = None;
            }
        }
        for sent in &batch.announced {
            let process = self.processes.get_mut(&sent.instance);
            // A process that announced something else in the meantime must be announced again.
            if let Some(process) = process
                && is_same_announcement(&process.announce, sent)
            {
                process.confirmed_at = Some(confirmed_at);
            }
        }
        for sent in &batch.renewed {
            if let Some(process) = self.processes.get_mut(&sent.instance)
                && process.confirmed_at.is_some()
            {
                process.confirmed_at = Some(confirmed_at);
            }
        }
        for name in &reply.unknown {
            if let Some(process) = self.processes.get_mut(name) {
                process.confirmed_at = None;
            }
        }
        self.fence = self.fence.max(reply.announced.fence);
        let mut processes = self.processes.values();
        processes.any(|process| process.confirmed_at.is_none())
    }

    /// Returns the number of processes with a lease.
    pub(crate) fn len(&self) -> usize {
        self.processes.len()
    }

    /// Merges a report of service sums; returns `None` until control has answered for the pool.
    pub(crate) fn merge(
        &mut self,
        now: Duration,
        relay: &str,
        incarnation: u64,
        report: &ServiceReport,
    ) -> Option<ServiceTotals> {
        if self.totals.len() >= MAX_POOLS && !self.totals.contains_key(&report.pool) {
            return None;
        }
        let totals = self
            .totals
            .entry(report.pool.clone())
            .or_insert_with(|| Totals::new_relay(relay, incarnation));
        totals.expire(now);
        let reply = totals.merge(now, &service::report_from(report))?;
        Some(service::totals_message(&report.pool, &reply))
    }

    /// Returns this relay's reports to control, one per pool.
    pub(crate) fn reports(&mut self) -> Vec<ServiceReport> {
        let reports = self.totals.iter_mut();
        reports
            .filter_map(|(pool, totals)| Some(service::report_message(pool, &totals.report()?)))
            .collect()
    }

    /// Applies control's totals of a pool.
    pub(crate) fn learn_totals(&mut self, now: Duration, reply: &ServiceTotals) {
        if let Some(totals) = self.totals.get_mut(&reply.pool) {
            totals.apply_totals(now, &service::totals_from(reply));
        }
    }
}

/// Returns whether two announcements are equal apart from the fields that renewals carry.
fn is_same_announcement(left: &Announce, right: &Announce) -> bool {
    let with_versions = Announce {
        config_version: right.config_version,
        highest_fence: right.highest_fence,
        running: right.running,
        ejected: right.ejected,
        lease_ms: right.lease_ms,
        ..left.clone()
    };
    with_versions == *right
}
