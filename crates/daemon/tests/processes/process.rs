//! Starts the binary under test.

use std::path::{Path, PathBuf};

pub(crate) use hinge_fakes::process::{POLL, Process, STEP_TIMEOUT};

/// Starts a process in a role, with a settings file.
pub(crate) fn spawn(role: &str, settings: PathBuf) -> Process {
    Process::spawn(
        Path::new(env!("CARGO_BIN_EXE_sequoiahinge")),
        role,
        settings,
    )
}
