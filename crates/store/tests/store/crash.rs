//! Simulates power failures, process crashes, failed syncs and a full disk at every operation of the script.

use hinge_cases::cases;
use hinge_raft::HardState;
use hinge_store::fake::{FakeDisk, Loss};
use hinge_store::{OpenError, Recovered, Write, WriteError};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};

use crate::workload::{
    create, entry, expected_states, open, recovered_state, run, script, scripted_disk, snapshot,
};

/// Number of seeds for each operation and kind of loss.
const SEEDS: u64 = 6;

/// Number of operations of a recovery in which a second crash is tried.
const RECOVERY_OPERATIONS: u64 = 8;

/// Number of seeds for the script that runs across many restarts.
const RESTART_SEEDS: u64 = 400;

/// Simulates a restart, after a power failure if `loss` is given.
fn restart(disk: &FakeDisk, loss: Option<Loss>, seed: u64) {
    match loss {
        Some(loss) => disk.power_cycle(loss, seed),
        None => disk.restart_process(),
    }
}

/// Runs the script on a disk with a fault; returns the number of acknowledged steps, or `None` without a store.
fn run_to_fault(disk: &FakeDisk) -> Option<usize> {
    let (mut store, _) = create(disk.clone()).ok()?;
    let (done, result) = run(&mut store, &script());
    if let Err(error) = result {
        assert!(error.is_fatal() && store.is_poisoned(), "{error}");
        assert!(
            matches!(store.sync(), Err(WriteError::Poisoned)),
            "a later sync was trusted"
        );
    }
    Some(done)
}

/// Checks that recovery returns the acknowledged steps or one more, durably, and that the script can continue.
fn check_recovery(disk: &FakeDisk, done: Option<usize>, context: &str) {
    let states = expected_states(&script());
    let found = match (done, recovered_state(disk)) {
        (None, Err(OpenError::Empty)) => return,
        (None, Ok(found)) => return assert_eq!(found, states[0], "{context}"),
        (_, Err(error)) => panic!("{context}: {error}"),
        (Some(_), Ok(found)) => found,
    };
    let done = done.expect("a missing store was handled above");
    let reached = (done..=done + 1)
        .find(|step| states.get(*step) == Some(&found))
        .unwrap_or_else(|| {
            panic!(
                "{context}: after {done} steps found {found:#?}, not {:#?}",
                states[done]
            )
        });
    disk.power_cycle(Loss::All, 0);
    assert_eq!(
        recovered_state(disk).expect("a repaired folder opens"),
        found,
        "{context}: not durable"
    );
    let (mut store, _) = open(disk.clone()).expect("a repaired folder opens");
    let (_, result) = run(&mut store, &script()[reached..]);
    result.expect("the script continues");
    drop(store);
    disk.power_cycle(Loss::All, 0);
    assert_eq!(
        recovered_state(disk).expect("it opens").entries,
        states[states.len() - 1].entries,
        "{context}"
    );
}

fn survives_crashes(loss: Option<Loss>) {
    let operations = scripted_disk().operations();
    assert!(
        operations > 150,
        "the script is too short: {operations} operations"
    );
    for operation in 0..=operations {
        for seed in 0..SEEDS {
            let context = format!("crash in operation {operation}, {loss:?}, seed {seed}");
            let disk = FakeDisk::new();
            disk.cut_power_at(operation);
            let done = run_to_fault(&disk);
            restart(&disk, loss, seed);
            // A second crash during recovery, at an operation that the seed selects.
            disk.cut_power_at(disk.operations() + (operation + seed) % RECOVERY_OPERATIONS);
            drop(open(disk.clone()));
            restart(&disk, loss, seed + SEEDS);
            check_recovery(&disk, done, &context);
        }
    }
}

cases! { survives_crashes:
    survives_process_crashes => None,
    survives_power_failures_that_lose_all_unsynced_writes => Some(Loss::All),
    survives_power_failures_that_lose_nothing => Some(Loss::Nothing),
    survives_torn_writes => Some(Loss::Torn),
    survives_reordered_writes => Some(Loss::Reordered),
}

cases! {
    a_failed_sync_poisons_the_store_and_loses_nothing => {
        let mut failures = 0;
        for good_syncs in 0.. {
            let disk = FakeDisk::new();
            disk.fail_sync_after(good_syncs);
            let done = run_to_fault(&disk);
            if done == Some(script().len()) {
                break;
            }
            failures += 1;
            disk.restart_process();
            check_recovery(&disk, done, &format!("failed sync after {good_syncs} good ones"));
        }
        assert!(failures > 60, "only {failures} syncs failed");
    }

    a_full_disk_stops_the_store_and_loses_nothing => {
        let mut refusals = 0;
        for capacity_bytes in (0..6_000).step_by(7) {
            let disk = FakeDisk::new();
            disk.set_capacity(Some(capacity_bytes));
            let done = run_to_fault(&disk);
            disk.restart_process();
            match open(disk.clone()) {
                Ok(_) | Err(OpenError::Empty) => {}
                Err(OpenError::NoSpace(_)) => refusals += 1,
                Err(error) => panic!("{capacity_bytes} bytes: {error}"),
            }
            disk.set_capacity(None);
            check_recovery(&disk, done, &format!("disk of {capacity_bytes} bytes"));
        }
        assert!(refusals > 0, "no opening failed with a full disk");
    }

    unsynced_batches_survive_completely_or_not_at_all => {
        let synced = vec![entry(1, 1), entry(2, 1)];
        let hard_state = HardState { term: 2, voted_for: None, commit: 2 };
        for seed in 0..400 {
            let disk = FakeDisk::new();
            let (mut store, _) = create(disk.clone()).expect("a store can be created on an empty disk");
            store.write(&[Write::Append(synced.clone())]).expect("in order");
            store.sync().expect("a good disk");
            let batch = [Write::HardState(hard_state), Write::Truncate(2), Write::Append(vec![entry(2, 2)])];
            store.write(&batch).expect("in order");
            // `Store::sync` first appends the batch and then syncs it; the power fails in the second operation.
            disk.cut_power_at(disk.operations() + 1);
            assert!(store.sync().is_err(), "power is gone");
            drop(store);
            disk.power_cycle(if seed % 2 == 0 { Loss::Torn } else { Loss::Reordered }, seed);
            let found = recovered_state(&disk).expect("a torn tail isn't damage");
            let is_new = found.entries == [entry(1, 1), entry(2, 2)] && found.hard_state == hard_state;
            let is_old = found.entries == synced && found.hard_state == HardState::default();
            assert!(is_new || is_old, "seed {seed}: {found:?}");
        }
    }

    a_snapshot_is_never_durable_before_earlier_writes_of_its_batch => {
        let hard_state = HardState { term: 1, voted_for: Some(3), commit: 2 };
        let batch = [
            Write::HardState(hard_state),
            Write::Append((1..=4).map(|index| entry(index, 1)).collect()),
            Write::InstallSnapshot(snapshot(2, 1)),
        ];
        for operation in 0..25 {
            for loss in Loss::KINDS {
                let disk = FakeDisk::new();
                let (mut store, _) = create(disk.clone()).expect("a store can be created on an empty disk");
                disk.cut_power_at(disk.operations() + operation);
                let done = store.write(&batch).is_ok();
                drop(store);
                disk.power_cycle(loss, operation);
                let found = recovered_state(&disk).expect("a power failure isn't damage");
                let held = (found.hard_state, found.snapshot.as_ref().map(|held| held.last_index), found.entries.len());
                let wanted = [(hard_state, Some(2), 2), (hard_state, None, 4), (HardState::default(), None, 0)];
                assert!(wanted[..if done { 1 } else { 3 }].contains(&held), "{operation}, {loss:?}: {held:?}");
            }
        }
    }

    repeated_restarts_with_mixed_faults_lose_nothing => {
        let script = script();
        let states = expected_states(&script);
        for seed in 0..RESTART_SEEDS {
            let mut rng = StdRng::seed_from_u64(seed);
            let disk = FakeDisk::new();
            drop(create(disk.clone()).expect("a store can be created on an empty disk"));
            let mut reached = 0;
            for process_run in 0.. {
                let context = format!("seed {seed}, process run {process_run}");
                if rng.random_bool(0.2) {
                    disk.fail_sync_after(rng.random_range(0..20));
                }
                disk.cut_power_at(disk.operations() + rng.random_range(0..60));
                let done = match open(disk.clone()) {
                    Ok((mut store, recovered)) => {
                        assert_eq!(Recovered { torn_tail: None, ..recovered }, states[reached], "{context}: a step was lost");
                        run(&mut store, &script[reached..]).0
                    }
                    Err(error) => {
                        assert!(!error.is_damage(), "{context}: {error}");
                        0
                    }
                };
                restart(&disk, *[None, Some(Loss::Torn), Some(Loss::Reordered)].choose(&mut rng).expect("three"), rng.random());
                let found = recovered_state(&disk).unwrap_or_else(|error| panic!("{context}: {error}"));
                let acknowledged = reached + done;
                reached = (acknowledged..=acknowledged + 1)
                    .find(|step| states.get(*step) == Some(&found))
                    .unwrap_or_else(|| panic!("{context}: after {acknowledged} steps found {found:#?}"));
                if reached == script.len() {
                    break;
                }
            }
        }
    }
}
