//! A scripted workload and the states that recovery must return after each step.

use std::slice;

use hinge_raft::{Entry, EntryKind, HardState, Index, Membership, Snapshot, Term};
use hinge_store::fake::FakeDisk;
use hinge_store::{
    Disk, Identity, OpenError, Options, Origin, Recovered, Store, Write, WriteError,
};

pub const NODE_ID: u64 = 77;

/// Options with segments of a few records, so that a short script rolls often.
pub const OPTIONS: Options = Options { segment_bytes: 700 };

pub fn identity() -> Identity {
    Identity {
        cluster_id: "surf".into(),
        instance: "control-1".into(),
    }
}

pub fn entry(index: Index, term: Term) -> Entry {
    Entry {
        term,
        index,
        kind: EntryKind::Command,
        payload: format!("command {index} of term {term}")
            .into_bytes()
            .into(),
    }
}

pub fn snapshot(last_index: Index, last_term: Term) -> Snapshot {
    Snapshot {
        last_index,
        last_term,
        membership: Membership {
            voters: vec![NODE_ID, 78, 79],
            learners: vec![80],
        },
        state: format!("state through {last_index}").into_bytes().into(),
    }
}

/// A batch that is acknowledged as a whole: several calls of `write`, then one sync.
///
/// A step that consists of one snapshot within the log calls `take_snapshot` instead.
pub type Step = Vec<Write>;

fn apply(state: &mut Recovered, write: &Write) {
    match write {
        Write::Append(entries) => state.entries.extend(entries.iter().cloned()),
        Write::Truncate(from) => state.entries.retain(|entry| entry.index < *from),
        Write::HardState(hard_state) => state.hard_state = *hard_state,
        Write::MarkComplete => state.complete = true,
        Write::InstallSnapshot(snapshot) => {
            let place = (snapshot.last_index, snapshot.last_term);
            let agrees = state
                .entries
                .iter()
                .any(|entry| (entry.index, entry.term) == place);
            state
                .entries
                .retain(|entry| agrees && entry.index > place.0);
            state.snapshot = Some(snapshot.clone());
        }
    }
}

/// Returns a script with appends, truncations, hard states, both kinds of snapshots, and many segment rolls.
pub fn script() -> Vec<Step> {
    let mut steps = Vec::new();
    let mut next = 1;
    for term in 1..=6 {
        let hard_state = |voted_for, commit| {
            Write::HardState(HardState {
                term,
                voted_for,
                commit,
            })
        };
        let append = |from, to| Write::Append((from..to).map(|index| entry(index, term)).collect());
        let install_snapshot =
            |last_index| vec![Write::InstallSnapshot(snapshot(last_index, term))];
        steps.push(vec![hard_state(None, next - 1)]);
        steps.push(vec![
            hard_state(Some(term), next - 1),
            append(next, next + 3),
        ]);
        steps.push(vec![append(next + 3, next + 4)]);
        // A follower truncates what the next term's leader lacks, with the commit index ahead of the entries it refers to.
        steps.push(vec![append(next + 4, next + 7)]);
        steps.push(vec![
            hard_state(Some(term), next + 3),
            Write::Truncate(next + 5),
        ]);
        next += 5;
        match term {
            2 => steps.push(install_snapshot(next - 1)),
            3 => steps.push(install_snapshot(next - 3)),
            4 => steps.push(install_snapshot(next + 10)),
            5 => steps.push(vec![Write::MarkComplete]),
            _ => {}
        }
        next += if term == 4 { 11 } else { 0 };
    }
    steps
}

/// Returns the states that recovery must return before the first step and after each.
pub fn expected_states(steps: &[Step]) -> Vec<Recovered> {
    let mut state = Recovered {
        node_id: NODE_ID,
        ..Recovered::default()
    };
    let mut states = vec![state.clone()];
    for step in steps {
        for write in step {
            apply(&mut state, write);
        }
        states.push(state.clone());
    }
    states
}

/// Creates the store for the script; its origin is a joiner, so that `MarkComplete` is a change.
pub fn create<D: Disk>(disk: D) -> Result<(Store<D>, Recovered), OpenError> {
    Store::create(disk, &identity(), NODE_ID, Origin::Joiner, OPTIONS)
}

pub fn open<D: Disk>(disk: D) -> Result<(Store<D>, Recovered), OpenError> {
    Store::open(disk, &identity(), OPTIONS)
}

/// Opens the store and returns what was recovered, without the discarded tail.
pub fn recovered_state(disk: &FakeDisk) -> Result<Recovered, OpenError> {
    open(disk.clone()).map(|(_, recovered)| Recovered {
        torn_tail: None,
        ..recovered
    })
}

/// Runs steps until one fails; returns the number of acknowledged steps.
pub fn run<D: Disk>(store: &mut Store<D>, steps: &[Step]) -> (usize, Result<(), WriteError>) {
    for (done, step) in steps.iter().enumerate() {
        let result = match step.as_slice() {
            [Write::InstallSnapshot(snapshot)] if snapshot.last_index <= store.last_index() => {
                store.take_snapshot(snapshot)
            }
            writes => writes
                .iter()
                .try_for_each(|write| store.write(slice::from_ref(write)))
                .and_then(|()| store.sync()),
        };
        if result.is_err() {
            return (done, result);
        }
    }
    (steps.len(), Ok(()))
}

/// Returns a disk on which the whole script has run.
pub fn scripted_disk() -> FakeDisk {
    let disk = FakeDisk::new();
    let (mut store, _) = create(disk.clone()).expect("a store can be created on an empty disk");
    let (_, result) = run(&mut store, &script());
    result.expect("the script succeeds on a good disk");
    disk
}
