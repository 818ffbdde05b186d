//! Tests of the store on real files.

use std::fs;
use std::path::PathBuf;

use hinge_cases::cases;
use hinge_store::{Damage, FolderDisk, OpenError, Recovered};
use tempfile::TempDir;

use crate::workload::{create, expected_states, open, run, script};

fn disk(folder: &TempDir) -> FolderDisk {
    FolderDisk::open(&folder.path().join("data"))
        .expect("a data folder can be created in a temporary folder")
}

/// Runs the script, reopening the store for each step.
fn filled() -> TempDir {
    let folder = TempDir::new().expect("a temporary folder");
    drop(create(disk(&folder)).expect("a store can be created in an empty folder"));
    for step in script() {
        let (mut store, _) = open(disk(&folder)).expect("it opens");
        run(&mut store, &[step]).1.expect("a good disk");
    }
    folder
}

fn last_segment(folder: &TempDir) -> PathBuf {
    let mut names: Vec<PathBuf> = fs::read_dir(folder.path().join("data"))
        .expect("the folder is there")
        .map(|item| item.expect("it can be read").path())
        .filter(|path| path.to_string_lossy().contains("segment-"))
        .collect();
    names.sort();
    names.pop().expect("a store has a segment")
}

cases! {
    real_files_keep_everything_across_reopening => {
        let folder = filled();
        let (_, recovered) = open(disk(&folder)).expect("it opens");
        assert_eq!(Some(recovered), expected_states(&script()).pop());
    }

    a_locked_real_folder_is_refused => {
        let folder = filled();
        let first = open(disk(&folder)).expect("it opens");
        assert!(matches!(open(disk(&folder)), Err(OpenError::Locked)));
        drop(first);
        drop(open(disk(&folder)).expect("the lock is free"));
    }

    a_torn_tail_of_a_real_file_is_discarded => {
        let folder = filled();
        let path = last_segment(&folder);
        let mut bytes = fs::read(&path).expect("it can be read");
        bytes.extend([7; 90]);
        fs::write(&path, &bytes).expect("it can be written");
        let (mut store, recovered) = open(disk(&folder)).expect("a torn tail isn't damage");
        assert_eq!(recovered.torn_tail.clone().map(|tail| tail.bytes), Some(90));
        assert_eq!(Some(Recovered { torn_tail: None, ..recovered }), expected_states(&script()).pop());
        store.sync().expect("the store stays usable");
    }

    a_bit_flip_in_a_real_file_is_damage => {
        let folder = filled();
        let path = last_segment(&folder);
        let mut bytes = fs::read(&path).expect("it can be read");
        let at = bytes.len() - 120;
        bytes[at] ^= 1;
        fs::write(&path, &bytes).expect("it can be written");
        assert!(matches!(open(disk(&folder)), Err(OpenError::Damaged(Damage::Record { .. }))));
    }
}
