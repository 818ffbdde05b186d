//! Keeps what a relay knows of the processes below it.

use std::collections::BTreeMap;
use std::time::Duration;

use hinge_fair::Totals;
use hinge_schema::messages::{
    Announce, AnnounceBatch, AnnouncedBatch, Renewal, ServiceReport, ServiceTotals,
};
use hinge_state::{InstanceName, LeaseLimits, Roster, service};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::soft::MAX_POOLS;

/// Whole announcements in one batch, which bounds its bytes to about 64 KB after a data centre came back.
const BATCH_ANNOUNCED: usize = 256;

/// Renewals of control's lease that fit in it, so that two may be lost.
const RENEWALS: u32 = 3;

/// Part of a lease by which an answer may be shorter, as one part of this many; see the members' leases at control.
const JITTER_PART: u32 = 4;

#[derive(Debug)]
struct Process {
    announce: Announce,
    /// When the lease that this relay gave ends.
    expires_at: Duration,
    /// When control took the announcement in or was last told that the process lives; none if it has to be told whole.
    told_at: Option<Duration>,
}

/// Holds the processes, and the state that control gave for them.
#[derive(Debug)]
pub(crate) struct Below {
    rules: LeaseLimits,
    processes: BTreeMap<InstanceName, Process>,
    pub(crate) roster: Roster,
    pub(crate) fence: u64,
    /// Epoch of control's list that the processes were told to.
    told_epoch: u64,
    pub(crate) totals: BTreeMap<Box<str>, Totals>,
    rng: StdRng,
}

impl Below {
    pub(crate) fn new(rules: LeaseLimits) -> Self {
        Self {
            rules,
            processes: BTreeMap::new(),
            roster: Roster::default(),
            fence: 0,
            told_epoch: 0,
            totals: BTreeMap::new(),
            rng: StdRng::seed_from_u64(rand::random()),
        }
    }

    /// Takes in an announcement; returns the lease, and whether control must be told at once.
    pub(crate) fn announce(&mut self, now: Duration, announce: Announce) -> (Duration, bool) {
        let asked = Duration::from_millis(announce.lease_ms);
        let whole = asked.clamp(self.rules.shortest_lease, self.rules.longest_lease);
        let lease = self
            .rng
            .random_range(whole.saturating_sub(whole / JITTER_PART)..=whole);
        let name = announce.instance.clone();
        let known = self.processes.get(&name);
        if known.is_some_and(|known| known.announce.incarnation > announce.incarnation) {
            return (lease, false);
        }
        // Control learns the versions with the renewals; everything else it must see whole.
        let told_at = known
            .filter(|known| is_same(&known.announce, &announce))
            .and_then(|known| known.told_at);
        let process = Process {
            announce,
            expires_at: now + lease,
            told_at,
        };
        self.processes.insert(name, process);
        (lease, told_at.is_none())
    }

    pub(crate) fn note_version(&mut self, instance: &str, config_version: u64) {
        if let Some(process) = self.processes.get_mut(instance) {
            let held = &mut process.announce.config_version;
            *held = config_version.max(*held);
        }
    }

    /// Returns what control must be told now, within bounds.
    pub(crate) fn batch(&mut self, now: Duration, relay: &str) -> AnnounceBatch {
        self.processes.retain(|_, process| process.expires_at > now);
        let renew_after = self.rules.longest_lease / RENEWALS;
        let longest_ms = u64::try_from(self.rules.longest_lease.as_millis()).unwrap_or(u64::MAX);
        let mut announced = Vec::new();
        let mut renewed = Vec::new();
        for process in self.processes.values() {
            match process.told_at {
                None if announced.len() < BATCH_ANNOUNCED => announced.push(Announce {
                    lease_ms: longest_ms,
                    ..process.announce.clone()
                }),
                Some(told_at) if now >= told_at + renew_after => renewed.push(Renewal {
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

    /// Takes in control's answer to a batch that was made at `told_at`; returns whether more is to be told at once.
    pub(crate) fn answered(
        &mut self,
        told_at: Duration,
        batch: &AnnounceBatch,
        reply: &AnnouncedBatch,
    ) -> bool {
        if reply.members_epoch < self.told_epoch {
            return false;
        }
        if reply.members_epoch > self.told_epoch {
            // A new leader may not have seen what an earlier one took in.
            self.told_epoch = reply.members_epoch;
            for process in self.processes.values_mut() {
                process.told_at = None;
            }
        }
        for sent in &batch.announced {
            let process = self.processes.get_mut(&sent.instance);
            // A process that announced something else in the meantime must be told again.
            if let Some(process) = process
                && is_same(&process.announce, sent)
            {
                process.told_at = Some(told_at);
            }
        }
        for sent in &batch.renewed {
            if let Some(process) = self.processes.get_mut(&sent.instance)
                && process.told_at.is_some()
            {
                process.told_at = Some(told_at);
            }
        }
        for name in &reply.unknown {
            if let Some(process) = self.processes.get_mut(name) {
                process.told_at = None;
            }
        }
        self.fence = self.fence.max(reply.announced.fence);
        let mut processes = self.processes.values();
        processes.any(|process| process.told_at.is_none())
    }

    /// Returns the number of processes with a lease.
    pub(crate) fn len(&self) -> usize {
        self.processes.len()
    }

    /// Merges a report of sums; none while control hasn't answered for the pool yet.
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

    /// Returns this relay's own reports to control, one for each pool.
    pub(crate) fn reports(&mut self) -> Vec<ServiceReport> {
        let reports = self.totals.iter_mut();
        reports
            .filter_map(|(pool, totals)| Some(service::report_message(pool, &totals.report()?)))
            .collect()
    }

    /// Takes in control's totals of a pool.
    pub(crate) fn learn_totals(&mut self, now: Duration, reply: &ServiceTotals) {
        if let Some(totals) = self.totals.get_mut(&reply.pool) {
            totals.apply_totals(now, &service::totals_from(reply));
        }
    }
}

/// Returns whether two announcements say the same, but for what renewals carry.
fn is_same(left: &Announce, right: &Announce) -> bool {
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
