//! Exit codes.

use std::process::ExitCode;

/// The exit code of a command. The numbers are stable, so that scripts may rely on them.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u8)]
pub enum Exit {
    /// The command succeeded.
    Ok = 0,
    /// A file, a network address or the fleet's answer could not be used.
    Failed = 1,
    /// The command line or the folder is not valid; nothing was changed.
    Invalid = 2,
    /// Another operator's change was accepted first.
    Conflict = 3,
    /// No control instance gave a current answer in time.
    Unavailable = 4,
    /// The fleet did not reach the awaited state in time.
    TimedOut = 5,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}
