//! Checks the type of each error, and that its message tells the operator what to do.

use hinge_cases::cases;
use hinge_raft::{Entry, EntryKind, HardState};
use hinge_store::fake::FakeDisk;
use hinge_store::{Disk, Identity, OpenError, Origin, OutOfOrder, Store, Write, WriteError};

use crate::workload::{
    NODE_ID, OPTIONS, create, entry, identity, open, recovered_state, scripted_disk, snapshot,
};

fn fresh_store() -> (FakeDisk, Store<FakeDisk>) {
    let disk = FakeDisk::new();
    let (store, _) = create(disk.clone()).expect("a store can be created on an empty disk");
    (disk, store)
}

fn out_of_order(result: Result<(), WriteError>) -> OutOfOrder {
    match result {
        Err(WriteError::OutOfOrder(order)) => order,
        other => panic!("{other:?}"),
    }
}

fn refuses(writes: &[Write]) {
    let (disk, mut store) = fresh_store();
    let hard_state = HardState {
        term: 3,
        voted_for: Some(5),
        commit: 2,
    };
    let good = [
        Write::HardState(hard_state),
        Write::Append((1..=4).map(|index| entry(index, 2)).collect()),
    ];
    store.write(&good).expect("in order");
    store.take_snapshot(&snapshot(2, 2)).expect("of this log");
    let result = store.write(writes);
    assert!(!result.as_ref().is_err_and(WriteError::is_fatal));
    out_of_order(result);
    store.sync().expect("a refusal doesn't poison");
    drop(store);
    let found = recovered_state(&disk).expect("it opens");
    assert_eq!((found.hard_state, found.entries.len()), (hard_state, 2));
}

fn hard_state(term: u64, voted_for: Option<u64>, commit: u64) -> Write {
    Write::HardState(HardState {
        term,
        voted_for,
        commit,
    })
}

cases! { refuses:
    refuses_a_gap => &[Write::Append(vec![entry(6, 2)])],
    refuses_a_repeated_entry => &[Write::Append(vec![entry(4, 2)])],
    refuses_an_older_term => &[Write::Append(vec![entry(5, 1)])],
    refuses_a_truncation_within_the_snapshot => &[Write::Truncate(2)],
    refuses_a_truncation_after_the_end => &[Write::Truncate(6)],
    refuses_an_earlier_hard_state => &[hard_state(2, None, 2)],
    refuses_a_second_vote_in_a_term => &[hard_state(3, Some(6), 2)],
    refuses_to_forget_a_vote => &[hard_state(3, None, 2)],
    refuses_an_earlier_commit => &[hard_state(3, Some(5), 1)],
    refuses_an_older_snapshot => &[Write::InstallSnapshot(snapshot(1, 2))],
}

fn assert_text_contains(error: &OpenError, wanted: &str) {
    let text = error.to_string();
    assert!(text.contains(wanted), "{text}");
}

/// Returns the error of opening a folder that must be refused.
fn open_error(disk: FakeDisk, identity: &Identity) -> OpenError {
    Store::open(disk, identity, OPTIONS).expect_err("the folder must be refused")
}

fn refuses_another(other: &Identity) {
    let wipe = Store::wipe_and_rejoin(scripted_disk(), other, 5, OPTIONS)
        .expect_err("another instance's data isn't wiped");
    for error in [open_error(scripted_disk(), other), wipe] {
        assert!(matches!(error, OpenError::OtherOwner { .. }), "{error:?}");
        assert_text_contains(&error, "correct the folder, cluster or instance");
    }
}

cases! { refuses_another:
    refuses_another_cluster => &Identity { cluster_id: "tide".into(), ..identity() },
    refuses_another_instance => &Identity { instance: "control-2".into(), ..identity() },
}

cases! {
    an_empty_folder_is_refused => {
        let error = open_error(FakeDisk::new(), &identity());
        assert!(matches!(error, OpenError::Empty), "{error:?}");
        assert_text_contains(&error, "is the disk mounted");
    }

    a_used_folder_takes_no_new_store => {
        let error = create(scripted_disk()).expect_err("the folder is used");
        assert!(matches!(error, OpenError::NotEmpty), "{error:?}");
        assert_text_contains(&error, "without asking for a fresh folder");
    }

    a_folder_is_refused_while_another_store_locks_it => {
        let (disk, store) = fresh_store();
        let error = open_error(disk.clone(), &identity());
        assert!(matches!(error, OpenError::Locked), "{error:?}");
        assert_text_contains(&error, "another process uses the data folder: stop it");
        drop(store);
        drop(open(disk).expect("the lock is free"));
    }

    a_newer_format_is_refused_in_each_file => {
        let contents = scripted_disk().contents();
        for name in contents.keys().filter(|name| !name.starts_with("lock")) {
            let mut newer = contents.clone();
            let bytes = newer.get_mut(name).expect("the file is there");
            bytes[8..12].copy_from_slice(&9_u32.to_le_bytes());
            let sum = crc32fast::hash(&bytes[..12]);
            bytes[12..16].copy_from_slice(&sum.to_le_bytes());
            let error = open_error(FakeDisk::with_contents(&newer), &identity());
            assert!(matches!(&error, OpenError::NewerFormat { found: 9, known: 1, .. }), "{name}: {error:?}");
            assert_text_contains(&error, "start the newer program again");
        }
    }

    a_full_disk_tells_the_operator_what_to_do => {
        let (disk, mut store) = fresh_store();
        disk.set_capacity(Some(0));
        store.write(&[hard_state(1, None, 0)]).expect("in order");
        let error = store.sync().expect_err("the disk is full");
        assert!(matches!(error, WriteError::NoSpace(_)) && error.is_fatal(), "{error:?}");
        assert!(error.to_string().contains("free space"), "{error}");
        let error = store.write(&[]).expect_err("the store is poisoned");
        assert!(error.to_string().contains("stop the process"), "{error}");
    }

    a_failed_sync_tells_the_operator_what_to_do => {
        let (disk, mut store) = fresh_store();
        disk.fail_sync_after(0);
        store.write(&[hard_state(1, None, 0)]).expect("in order");
        let error = store.sync().expect_err("the sync fails");
        assert!(matches!(error, WriteError::SyncFailed(_)) && error.is_fatal(), "{error:?}");
        assert!(error.to_string().contains("the process must stop; check the disk"), "{error}");
        let error = store.take_snapshot(&snapshot(0, 0)).expect_err("the store is poisoned");
        assert!(matches!(error, WriteError::Poisoned), "{error:?}");
    }

    a_large_entry_is_refused_and_the_store_stays_usable => {
        let (_, mut store) = fresh_store();
        let payload = vec![0; hinge_store::codec::MAX_RECORD_BYTES].into();
        let large = Entry { term: 1, index: 1, kind: EntryKind::Command, payload };
        let error = store.write(&[Write::Append(vec![large])]).expect_err("too large");
        assert!(matches!(error, WriteError::TooLarge { .. }) && !error.is_fatal(), "{error:?}");
        store.write(&[Write::Append(vec![entry(1, 1)])]).expect("the index is free");
        store.sync().expect("a good disk");
    }

    a_snapshot_of_another_log_is_refused => {
        let (_, mut store) = fresh_store();
        store.write(&[Write::Append(vec![entry(1, 1)])]).expect("in order");
        out_of_order(store.take_snapshot(&snapshot(1, 2)));
        out_of_order(store.take_snapshot(&snapshot(2, 1)));
    }

    a_rejoin_requires_a_new_incarnation_and_is_incomplete => {
        let mut contents = scripted_disk().contents();
        contents.get_mut("identity").expect("the file is there")[20] ^= 1;
        let disk = FakeDisk::with_contents(&contents);
        let error = open_error(disk.clone(), &identity());
        assert!(error.is_damage());
        assert_text_contains(&error, "rejoin as a learner under a new incarnation");
        let error = Store::wipe_and_rejoin(disk.clone(), &identity(), NODE_ID, OPTIONS).expect_err("a used number");
        assert!(matches!(error, OpenError::SameIncarnation(NODE_ID)), "{error:?}");
        let (store, recovered) = Store::wipe_and_rejoin(disk.clone(), &identity(), 99, OPTIONS).expect("it rejoins");
        assert_eq!((store.node_id(), recovered.node_id, store.last_index()), (99, 99, 0));
        assert!(!recovered.complete && recovered.entries.is_empty() && recovered.snapshot.is_none());
        drop(store);
        assert!(!recovered_state(&disk).expect("it opens").complete, "a restart doesn't complete it");
    }

    a_founder_is_complete => {
        let (_, recovered) = Store::create(FakeDisk::new(), &identity(), 1, Origin::Founder, OPTIONS).expect("empty");
        assert!(recovered.complete);
    }

    a_crash_during_a_wipe_never_leaves_part_of_the_log => {
        use hinge_store::fake::Loss;
        let before = recovered_state(&scripted_disk()).expect("it opens");
        for operation in 0..30 {
            for seed in 0..40 {
                let disk = scripted_disk();
                disk.power_cycle(Loss::Nothing, 0);
                disk.cut_power_at(disk.operations() + operation);
                drop(Store::wipe_and_rejoin(disk.clone(), &identity(), 99, OPTIONS));
                disk.power_cycle(Loss::KINDS[seed % 4], seed as u64);
                match open(disk.clone()) {
                    Ok((_, recovered)) if recovered.node_id == NODE_ID => assert_eq!(before, recovered),
                    Ok((_, recovered)) => assert!(!recovered.complete && recovered.entries.is_empty()),
                    Err(error) => assert!(error.is_damage() || matches!(error, OpenError::Empty), "{error}"),
                }
                disk.clone().sync_folder().expect("power is back");
            }
        }
    }
}
