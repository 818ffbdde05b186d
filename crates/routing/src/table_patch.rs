//! Differences between route tables, so that a change costs bytes in proportion to itself and not to the whole table.
//!
//! A patch lists, for each part of the table, runs of items that the earlier table has already and the items between them.
//! A table's number identifies its contents, so a patch applies to the table with the number of its base.

use std::collections::{HashMap, VecDeque};
use std::error::Error;
use std::fmt;
use std::hash::Hash;
use std::ops::Range;
use std::sync::Arc;

use hinge_schema::routing::{DocumentRun, RouteRun, RouteTable, ServiceRun, TablePatch, TeamRun};
use serde_bytes::ByteBuf;

use crate::table_bytes::{route_bytes, service_bytes, table_bytes, team_bytes};

/// Shortest piece of a document, except at its end, in bytes; bounds the number of pieces.
const MIN_PIECE_BYTES: usize = 64;

/// Longest piece of a document that is kept or replaced as a whole, in bytes.
const MAX_PIECE_BYTES: usize = 4096;

/// Bytes of a run besides those that it adds.
const RUN_BYTES: usize = 24;

/// Patches kept for gateways that lag behind.
const MAX_RECENT_PATCHES: usize = 64;

/// Bytes of the patches that are kept for gateways that lag behind.
const MAX_RECENT_BYTES: usize = 256 << 10;

/// The reason why a patch can't be applied to a table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PatchError {
    /// The table does not have the number that the patch is based on.
    OtherBase,
    /// The patch keeps items that the table does not have.
    OutOfRange,
}

impl fmt::Display for PatchError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::OtherBase => "the patch is based on another table",
            Self::OutOfRange => "the patch keeps items that the table does not have",
        })
    }
}

impl Error for PatchError {}

/// Returns the patch that turns `base` into `next`.
#[must_use]
pub fn diff_tables(base: &RouteTable, next: &RouteTable) -> TablePatch {
    let routes = runs(&base.routes, &next.routes, |route| &*route.name);
    let services = runs(&base.services, &next.services, |service| &*service.name);
    let teams = runs(&base.teams, &next.teams, |team| &*team.name);
    TablePatch {
        base_number: base.number,
        number: next.number,
        routes: routes
            .into_iter()
            .map(|run| RouteRun {
                from: position(run.from),
                kept: position(run.kept),
                added: next.routes[run.added].to_vec(),
            })
            .collect(),
        services: services
            .into_iter()
            .map(|run| ServiceRun {
                from: position(run.from),
                kept: position(run.kept),
                added: next.services[run.added].to_vec(),
            })
            .collect(),
        teams: teams
            .into_iter()
            .map(|run| TeamRun {
                from: position(run.from),
                kept: position(run.kept),
                added: next.teams[run.added].to_vec(),
            })
            .collect(),
        limits: next.limits.clone(),
        tokens_per_s: next.tokens_per_s,
        document: diff_documents(&base.document, &next.document),
    }
}

/// Applies a patch to a table.
///
/// # Errors
///
/// Returns an error if the patch is based on another table, or does not fit this one.
pub fn patch_table(base: &RouteTable, patch: &TablePatch) -> Result<RouteTable, PatchError> {
    if base.number != patch.base_number {
        return Err(PatchError::OtherBase);
    }
    let mut next = RouteTable {
        number: patch.number,
        routes: Vec::new(),
        services: Vec::new(),
        limits: patch.limits.clone(),
        tokens_per_s: patch.tokens_per_s,
        teams: Vec::new(),
        document: ByteBuf::new(),
    };
    for run in &patch.routes {
        let added = &run.added;
        extend(&mut next.routes, &base.routes, run.from, run.kept, added)?;
    }
    for run in &patch.services {
        let added = &run.added;
        extend(
            &mut next.services,
            &base.services,
            run.from,
            run.kept,
            added,
        )?;
    }
    for run in &patch.teams {
        let added = &run.added;
        extend(&mut next.teams, &base.teams, run.from, run.kept, added)?;
    }
    for run in &patch.document {
        let (document, added) = (&mut next.document, &run.added);
        extend(document, &base.document, run.from, run.kept, added)?;
    }
    Ok(next)
}

/// Returns the approximate bytes of a patch, encoded or in memory.
#[must_use]
pub fn patch_bytes(patch: &TablePatch) -> usize {
    let routes = patch.routes.iter().flat_map(|run| &run.added);
    let services = patch.services.iter().flat_map(|run| &run.added);
    let teams = patch.teams.iter().flat_map(|run| &run.added);
    let document = patch.document.iter().map(|run| run.added.len());
    let runs = patch.routes.len() + patch.services.len() + patch.teams.len() + patch.document.len();
    size_of::<TablePatch>()
        + runs * RUN_BYTES
        + routes.map(route_bytes).sum::<usize>()
        + services.map(service_bytes).sum::<usize>()
        + teams.map(team_bytes).sum::<usize>()
        + document.sum::<usize>()
}

/// Returns whether a patch is so much shorter than the table that results that it should be sent in its place.
#[must_use]
pub fn is_patch_worthwhile(patch: &TablePatch, next: &RouteTable) -> bool {
    patch_bytes(patch) < table_bytes(next) / 2
}

/// The last patches that led to a table, for gateways that have an earlier one.
#[derive(Debug, Clone, Default)]
pub struct RecentPatches {
    patches: VecDeque<Arc<TablePatch>>,
    bytes: usize,
}

impl RecentPatches {
    /// Records a patch that was applied, without its document, which gateways don't need.
    pub fn record(&mut self, patch: &TablePatch) {
        let is_next = self
            .patches
            .back()
            .is_none_or(|last| last.number == patch.base_number);
        if !is_next {
            self.clear();
        }
        let patch = TablePatch {
            document: Vec::new(),
            ..patch.clone()
        };
        self.bytes += patch_bytes(&patch);
        self.patches.push_back(Arc::new(patch));
        while self.patches.len() > MAX_RECENT_PATCHES || self.bytes > MAX_RECENT_BYTES {
            let Some(oldest) = self.patches.pop_front() else {
                break;
            };
            self.bytes -= patch_bytes(&oldest);
        }
    }

    /// Removes all patches, as the table was replaced by another one as a whole.
    pub fn clear(&mut self) {
        self.patches.clear();
        self.bytes = 0;
    }

    /// Returns the patches that lead from a table to the newest one, if all are known and shorter than that one.
    #[must_use]
    pub fn since(&self, base_number: u64, newest: &RouteTable) -> Option<Vec<TablePatch>> {
        let leads_to_newest = self
            .patches
            .back()
            .is_some_and(|last| last.number == newest.number);
        let mut patches = self.patches.iter();
        let first = patches.position(|patch| patch.base_number == base_number);
        let patches = self.patches.range(first.filter(|_| leads_to_newest)?..);
        let bytes: usize = patches.clone().map(|patch| patch_bytes(patch)).sum();
        let is_shorter = bytes < (table_bytes(newest) - newest.document.len()) / 2;
        is_shorter.then(|| patches.map(|patch| TablePatch::clone(patch)).collect())
    }
}

/// Items of an earlier list that are kept, and the range of the later list that follows them.
#[derive(Debug)]
struct Run {
    from: usize,
    kept: usize,
    added: Range<usize>,
}

/// Returns the runs that turn `base` into `next`; equal items have equal keys.
fn runs<'a, T, K>(base: &'a [T], next: &'a [T], key: impl Fn(&'a T) -> &'a K) -> Vec<Run>
where
    T: PartialEq,
    K: Hash + Eq + ?Sized + 'a,
{
    let mut positions: Option<HashMap<&K, Vec<usize>>> = None;
    let mut runs: Vec<Run> = Vec::new();
    // Where the next item is if the lists go on alike.
    let mut expected = 0;
    for (index, item) in next.iter().enumerate() {
        let found = if base.get(expected) == Some(item) {
            Some(expected)
        } else {
            let positions = positions.get_or_insert_with(|| index_by_key(base, &key));
            let same_key = positions.get(key(item)).map_or(&[][..], Vec::as_slice);
            let (before, after) = same_key.split_at(same_key.partition_point(|at| *at <= expected));
            let mut nearest_first = after.iter().chain(before);
            nearest_first.find(|at| base[**at] == *item).copied()
        };
        let Some(at) = found else {
            match runs.last_mut() {
                Some(run) => run.added.end = index + 1,
                None => runs.push(Run {
                    from: 0,
                    kept: 0,
                    added: index..index + 1,
                }),
            }
            // An item that was changed in place takes the place of the earlier one.
            expected += 1;
            continue;
        };
        expected = at + 1;
        match runs.last_mut() {
            Some(run) if run.added.is_empty() && run.from + run.kept == at => {
                run.kept += 1;
                run.added = index + 1..index + 1;
            }
            _ => runs.push(Run {
                from: at,
                kept: 1,
                added: index + 1..index + 1,
            }),
        }
    }
    runs
}

fn index_by_key<'a, T, K>(base: &'a [T], key: impl Fn(&'a T) -> &'a K) -> HashMap<&'a K, Vec<usize>>
where
    K: Hash + Eq + ?Sized + 'a,
{
    let mut positions: HashMap<&K, Vec<usize>> = HashMap::new();
    for (at, item) in base.iter().enumerate() {
        positions.entry(key(item)).or_default().push(at);
    }
    positions
}

fn extend<T: Clone>(
    next: &mut Vec<T>,
    base: &[T],
    from: u32,
    kept: u32,
    added: &[T],
) -> Result<(), PatchError> {
    let from = from as usize;
    let end = from.checked_add(kept as usize);
    let kept = end.and_then(|end| base.get(from..end));
    next.extend_from_slice(kept.ok_or(PatchError::OutOfRange)?);
    next.extend_from_slice(added);
    Ok(())
}

fn diff_documents(base: &[u8], next: &[u8]) -> Vec<DocumentRun> {
    let (base_pieces, next_pieces) = (pieces(base), pieces(next));
    let runs = runs(&base_pieces, &next_pieces, |piece| *piece);
    let (base_starts, next_starts) = (starts(&base_pieces), starts(&next_pieces));
    let to_run = |run: Run| {
        let from = base_starts[run.from];
        DocumentRun {
            from: position(from),
            kept: position(base_starts[run.from + run.kept] - from),
            added: ByteBuf::from(&next[next_starts[run.added.start]..next_starts[run.added.end]]),
        }
    };
    runs.into_iter().map(to_run).collect()
}

/// Splits a document where objects and lines end, so that equal parts of two documents give equal pieces.
fn pieces(document: &[u8]) -> Vec<&[u8]> {
    let mut pieces = Vec::new();
    let mut rest = document;
    while !rest.is_empty() {
        let searched = &rest[..rest.len().min(MAX_PIECE_BYTES)];
        let mut ends = searched.iter().skip(MIN_PIECE_BYTES);
        let end = ends.position(|byte| matches!(byte, b'}' | b'\n'));
        let end = end.map_or(searched.len(), |end| MIN_PIECE_BYTES + end + 1);
        let (piece, after) = rest.split_at(end);
        pieces.push(piece);
        rest = after;
    }
    pieces
}

/// Returns the position of each piece, and the end of the last one.
fn starts(pieces: &[&[u8]]) -> Vec<usize> {
    let mut end = 0;
    let mut starts = vec![0];
    for piece in pieces {
        end += piece.len();
        starts.push(end);
    }
    starts
}

fn position(position: usize) -> u32 {
    u32::try_from(position).expect("a table is shorter than 4 GiB")
}
