//! Merging of the sums of many origins, at a relay for one data centre and at the root for the fleet.
//!
//! A merging process replaces sums of the same origin and adds sums of different origins. It keeps the last reported sums
//! of each origin, so a report counts once, no matter how often or in which order it arrives. An origin's service stays in
//! the combined sums when its record is dropped, so the earlier service of a restarted sidecar needs no extra step.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
    time::Duration,
};

use crate::{
    origin_record::{OriginRecord, RunId, run_id},
    sums::{Epoch, ServiceSum, ServiceSums, SumsReport, TeamSum},
    team::{NormalisedUnits, TeamIndex},
    upstream::{EpochChange, TeamTotal, TotalsReply, Upstream},
};

/// Time without reports after which an origin's backlogged flags no longer count.
///
/// Equals five reports at one per second. A shorter timeout would drop a team's backlogged flag after a lost report. A
/// longer one would let the teams of a dead sidecar keep the floor down, and lift returning teams too little.
pub const ORIGIN_SILENCE_TIMEOUT: Duration = Duration::from_secs(5);

/// Time without reports after which an origin's record is dropped; its service stays counted.
///
/// It exceeds network partitions between regions, which last for minutes, so that a rejoin needs no new generation.
pub const ORIGIN_EXPIRY_TIMEOUT: Duration = Duration::from_mins(10);

/// Maximum number of expired origins whose late reports are still recognised.
///
/// At 380 restarts a day this covers ten days; a process that was silent for longer has no report in flight.
pub const MAX_TOMBSTONES: usize = 4096;

/// The state of a team besides its combined sums.
#[derive(Clone, Debug)]
pub(crate) struct TeamState {
    pub(crate) name: Box<str>,
    pub(crate) remote: NormalisedUnits,
    /// Whether the process above lists the team as backlogged.
    pub(crate) listed_as_backlogged: bool,
    /// Number of live origins at which the team is backlogged.
    backlogged_origins: u32,
}

/// Position of a merging process in the tree.
#[derive(Clone, Debug)]
pub(crate) enum Role {
    Root,
    Relay {
        source: Box<str>,
        incarnation: u64,
        last_reply_at: Duration,
        upstream: Upstream,
    },
}

/// The sums of all origins below a merging process, combined per team.
#[derive(Clone, Debug)]
pub struct Totals {
    pub(crate) role: Role,
    turn: u32,
    pub(crate) combined: ServiceSums,
    team_indexes: HashMap<Box<str>, TeamIndex>,
    pub(crate) teams: Vec<TeamState>,
    backlogged: BTreeSet<TeamIndex>,
    pub(crate) origins: BTreeMap<Box<str>, OriginRecord>,
    tombstones: BTreeMap<Box<str>, RunId>,
    tombstone_order: VecDeque<Box<str>>,
    pub(crate) rejoin_count: u64,
    pub(crate) last_floor: Option<NormalisedUnits>,
    epoch: Option<Epoch>,
}

impl Totals {
    /// Returns the empty state of a root; each leadership term needs a unique `root` number.
    #[must_use]
    pub fn new_root(root: u64) -> Self {
        let epoch = Epoch {
            root,
            merger: root,
            turn: 0,
        };
        Self::new(Role::Root, Some(epoch))
    }

    /// Returns the empty state of a relay, which confirms nothing before its first reply from the root.
    #[must_use]
    pub fn new_relay(source: &str, incarnation: u64) -> Self {
        let role = Role::Relay {
            source: source.into(),
            incarnation,
            last_reply_at: Duration::ZERO,
            upstream: Upstream::default(),
        };
        Self::new(role, None)
    }

    fn new(role: Role, epoch: Option<Epoch>) -> Self {
        Self {
            role,
            turn: 0,
            combined: ServiceSums::default(),
            team_indexes: HashMap::new(),
            teams: Vec::new(),
            backlogged: BTreeSet::new(),
            origins: BTreeMap::new(),
            tombstones: BTreeMap::new(),
            tombstone_order: VecDeque::new(),
            rejoin_count: 0,
            last_floor: None,
            epoch,
        }
    }

    /// Merges a report and returns the reply, or `None` while a relay doesn't know its root.
    pub fn merge(&mut self, now: Duration, report: &SumsReport) -> Option<TotalsReply> {
        let epoch = self.epoch?;
        if report.epoch != Some(epoch) {
            return Some(self.empty_reply(epoch, &report.origin, false));
        }
        let run = run_id(&report.origin);
        let source = &*report.origin.source;
        if self
            .tombstones
            .get(source)
            .is_some_and(|tombstone| run <= *tombstone)
        {
            return Some(self.empty_reply(epoch, &report.origin, true));
        }
        let known = self.origins.get(source).map(|record| record.run);
        if known.is_some_and(|known| known > run) {
            return Some(self.empty_reply(epoch, &report.origin, false));
        }
        if known.is_none_or(|known| known < run) {
            self.drop_record(source);
            self.origins
                .insert(source.into(), OriginRecord::new(run, now));
        }
        let returning = self.merge_sums(now, report);
        self.lift_returning(&returning);
        Some(self.reply(now, epoch, &report.origin))
    }

    /// Clears the backlogged flags of silent origins and drops the records of expired ones.
    pub fn expire(&mut self, now: Duration) {
        let mut expired = Vec::new();
        let mut silent = Vec::new();
        for (source, record) in &mut self.origins {
            let silence = now.saturating_sub(record.last_report_at);
            if record.live && silence > ORIGIN_SILENCE_TIMEOUT {
                record.live = false;
                silent.extend(record.backlogged());
            }
            if silence > ORIGIN_EXPIRY_TIMEOUT {
                expired.push(source.clone());
            }
        }
        for team in silent {
            self.clear_backlogged(team);
        }
        for source in expired {
            self.expire_origin(source);
        }
    }

    /// Returns a relay's own report to the root: the sums of its origins, combined per team.
    ///
    /// Returns `None` for the root itself.
    pub fn report(&mut self) -> Option<SumsReport> {
        let Role::Relay {
            source,
            incarnation,
            upstream,
            ..
        } = &self.role
        else {
            return None;
        };
        let since = upstream.mark();
        self.combined.record_sent(since);
        let changes = self.combined.changes_since(since);
        let changes = changes.map(|(team, version, sum)| TeamSum {
            team: self.teams[team as usize].name.clone(),
            version,
            sum,
        });
        let changes = changes.collect();
        let mark = self.combined.mark();
        let report = upstream.report(source, *incarnation, mark, changes);
        for record in self.origins.values_mut() {
            record.sent = record.sent.or(Some((mark, record.mark)));
        }
        Some(report)
    }

    /// Applies the root's reply to a relay's report.
    ///
    /// The caller must drop replies to another incarnation of this relay.
    pub fn apply_totals(&mut self, now: Duration, reply: &TotalsReply) {
        let Role::Relay {
            incarnation,
            last_reply_at,
            upstream,
            ..
        } = &mut self.role
        else {
            return;
        };
        let merger = *incarnation;
        let change = upstream.update_epoch(reply);
        if change != EpochChange::Stale {
            *last_reply_at = now;
        }
        match change {
            EpochChange::Stale => {}
            EpochChange::Unchanged => self.apply_reply(reply),
            EpochChange::MergerChanged => self.start_turn(false),
            EpochChange::RootChanged => self.start_turn(true),
        }
        let root = reply.epoch.root;
        if change != EpochChange::Stale {
            self.epoch = Some(Epoch {
                root,
                merger,
                turn: self.turn,
            });
        }
    }

    /// Returns the normalised service of a team including its lift, as known here.
    #[must_use]
    pub fn normalised(&self, team: &str) -> Option<NormalisedUnits> {
        let index = self.team_indexes.get(team)?;
        Some(self.service(*index))
    }

    /// Returns the service units that the origins below have delivered to a team since this state was created.
    #[must_use]
    pub fn service_units(&self, team: &str) -> Option<u64> {
        let index = self.team_indexes.get(team)?;
        Some(self.combined.get(*index).service_units)
    }

    /// Yields the backlogged teams with their normalised service.
    pub fn backlogged(&self) -> impl Iterator<Item = (&str, NormalisedUnits)> + '_ {
        let name = |team: TeamIndex| &*self.teams[team as usize].name;
        self.backlogged
            .iter()
            .map(move |team| (name(*team), self.service(*team)))
    }

    /// Returns the number of live, silent and expired origins that are remembered.
    #[must_use]
    pub fn origin_count(&self) -> usize {
        self.origins.len() + self.tombstones.len()
    }

    fn service(&self, team: TeamIndex) -> NormalisedUnits {
        let sum = self.combined.get(team);
        let remote = self.teams[team as usize].remote;
        remote
            .saturating_add(sum.normalised_units)
            .saturating_add(sum.lift_units)
    }

    fn intern(&mut self, name: &str) -> TeamIndex {
        if let Some(index) = self.team_indexes.get(name) {
            return *index;
        }
        let index =
            TeamIndex::try_from(self.teams.len()).expect("the number of teams fits in 32 bits");
        self.team_indexes.insert(name.into(), index);
        self.teams.push(TeamState {
            name: name.into(),
            backlogged_origins: 0,
            remote: 0,
            listed_as_backlogged: false,
        });
        index
    }

    /// Merges the sums of a report and returns the teams that returned from idle.
    fn merge_sums(&mut self, now: Duration, report: &SumsReport) -> Vec<TeamIndex> {
        let source = &*report.origin.source;
        let mut record = self
            .origins
            .remove(source)
            .expect("the origin has a record");
        // The flags of a silent origin are restored: its teams were backlogged all the time, and a lift would deprive them
        // of service that they are due. Only a newly set flag means that a team was idle.
        let was_silent = !record.live;
        if was_silent {
            record.live = true;
            self.rejoin_count += 1;
            record
                .backlogged()
                .for_each(|team| self.mark_backlogged(team));
        }
        record.last_report_at = now;
        record.mark = record.mark.max(report.mark);
        let mut returning = Vec::new();
        for change in &report.teams {
            let team = self.intern(&change.team);
            if self.merge_sum(&mut record, team, change, was_silent) {
                returning.push(team);
            }
        }
        self.origins.insert(source.into(), record);
        returning
    }

    /// Merges one sum and returns whether the team returned from idle.
    fn merge_sum(
        &mut self,
        record: &mut OriginRecord,
        team: TeamIndex,
        change: &TeamSum,
        was_silent: bool,
    ) -> bool {
        let (version, known) = record.teams.get(&team).copied().unwrap_or_default();
        if change.version <= version {
            return false;
        }
        let new = change.sum;
        record.teams.insert(team, (change.version, new));
        let mut combined = self.combined.get(team);
        combined.service_units += new.service_units.saturating_sub(known.service_units);
        combined.normalised_units += new.normalised_units.saturating_sub(known.normalised_units);
        combined.lift_units = combined.lift_units.max(new.lift_units);
        let other_origins =
            self.teams[team as usize].backlogged_origins - u32::from(known.backlogged);
        let became_backlogged = new.backlogged && !known.backlogged;
        // A team that was idle briefly between two reports counts as backlogged throughout, but not after a long silence.
        let idled_while_silent =
            was_silent && new.backlogged && new.backlog_count > known.backlog_count;
        if became_backlogged {
            self.mark_backlogged(team);
        }
        if known.backlogged && !new.backlogged {
            self.clear_backlogged(team);
        }
        // The team also becomes backlogged for the process above, unless it was waiting at another origin below this one.
        let is_returning = other_origins == 0 && (became_backlogged || idled_while_silent);
        combined.backlog_count += u64::from(is_returning);
        combined.backlogged = self.teams[team as usize].backlogged_origins > 0;
        self.combined.set(team, combined);
        is_returning
    }

    fn mark_backlogged(&mut self, team: TeamIndex) {
        self.teams[team as usize].backlogged_origins += 1;
        self.backlogged.insert(team);
        self.set_backlogged(team, true);
    }

    fn clear_backlogged(&mut self, team: TeamIndex) {
        let state = &mut self.teams[team as usize];
        state.backlogged_origins -= 1;
        if state.backlogged_origins > 0 {
            return;
        }
        self.last_floor = self.last_floor.max(self.least_service(&[]));
        self.backlogged.remove(&team);
        self.set_backlogged(team, false);
    }

    fn set_backlogged(&mut self, team: TeamIndex, backlogged: bool) {
        let sum = self.combined.get(team);
        self.combined.set(team, ServiceSum { backlogged, ..sum });
    }

    /// Lifts teams that returned from idle to the least served of the others, so that idle time earns no credit.
    ///
    /// Only the root does this: it alone sees every backlogged team, and a single source makes the lift the same for every
    /// sidecar.
    fn lift_returning(&mut self, returning: &[TeamIndex]) {
        if !matches!(self.role, Role::Root) {
            return;
        }
        let Some(floor) = self.least_service(returning).or(self.last_floor) else {
            return;
        };
        for team in returning {
            let missing = floor.saturating_sub(self.service(*team));
            let sum = self.combined.get(*team);
            let lift_units = sum.lift_units + missing;
            self.combined.set(*team, ServiceSum { lift_units, ..sum });
        }
    }

    /// Returns the least service among the backlogged teams other than `except`.
    pub(crate) fn least_service(&self, except: &[TeamIndex]) -> Option<NormalisedUnits> {
        let others = self.backlogged.iter().filter(|team| !except.contains(team));
        others.map(|team| self.service(*team)).min()
    }

    fn drop_record(&mut self, source: &str) {
        let Some(record) = self.origins.remove(source) else {
            return;
        };
        if !record.live {
            return;
        }
        for team in record.backlogged() {
            self.clear_backlogged(team);
        }
    }

    fn expire_origin(&mut self, source: Box<str>) {
        let run = self.origins[&source].run;
        self.drop_record(&source);
        self.tombstone_order.push_back(source.clone());
        self.tombstones.insert(source, run);
        if self.tombstone_order.len() > MAX_TOMBSTONES {
            let oldest = self.tombstone_order.pop_front();
            oldest.map(|oldest| self.tombstones.remove(&oldest));
        }
    }

    fn apply_reply(&mut self, reply: &TotalsReply) {
        let Role::Relay { upstream, .. } = &mut self.role else {
            return;
        };
        if upstream.update_floor(reply) {
            self.rejoin_count += 1;
        }
        self.combined.record_rooted(reply.rooted_mark);
        for record in self.origins.values_mut() {
            if let Some((_, mark)) = record.sent.filter(|(sent, _)| *sent <= reply.rooted_mark) {
                record.rooted_mark = mark;
                record.sent = None;
            }
        }
        for state in &mut self.teams {
            state.listed_as_backlogged = false;
        }
        for total in &reply.teams {
            self.apply_total(total);
        }
    }

    fn apply_total(&mut self, total: &TeamTotal) {
        let index = self.intern(&total.team);
        let remote = total.normalised_units.saturating_sub(total.yours_units);
        let state = &mut self.teams[index as usize];
        state.remote = state.remote.max(remote);
        state.listed_as_backlogged = total.settled;
        let sum = self.combined.get(index);
        let lift_units = total.lift_units;
        self.combined.set(index, ServiceSum { lift_units, ..sum });
    }

    /// Drops all records after the process above changed; the origins report again what the root hasn't counted.
    fn start_turn(&mut self, new_root: bool) {
        self.turn += 1;
        for index in 0..self.teams.len() {
            let team = TeamIndex::try_from(index).expect("the number of teams fits in 32 bits");
            let rooted = self.combined.rooted(team).normalised_units;
            let state = &mut self.teams[index];
            state.remote = if new_root { 0 } else { state.remote + rooted };
            state.backlogged_origins = 0;
        }
        self.combined = ServiceSums::default();
        self.backlogged.clear();
        self.origins.clear();
        self.tombstones.clear();
        self.tombstone_order.clear();
    }
}
