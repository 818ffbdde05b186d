//! The reason why a command failed.

use std::error::Error;
use std::fmt::{self, Display};

use hinge_config::ConfigProblem;
use hinge_config::folder::FolderError;

use crate::exit::Exit;

/// A failure of a command: the exit code, a message for the operator, and the problems in the files, if any.
#[derive(Debug)]
pub(crate) struct Failure {
    exit: Exit,
    message: Box<str>,
    problems: Vec<ConfigProblem>,
}

impl Failure {
    /// Creates a failure caused by a file, an address or an answer.
    pub(crate) fn failed(message: impl Into<Box<str>>) -> Self {
        Self::new(Exit::Failed, message)
    }

    /// Creates a failure caused by an invalid command line or folder.
    pub(crate) fn invalid(message: impl Into<Box<str>>) -> Self {
        Self::new(Exit::Invalid, message)
    }

    /// Creates a failure because control gave no current answer.
    pub(crate) fn unavailable(message: impl Into<Box<str>>) -> Self {
        Self::new(Exit::Unavailable, message)
    }

    /// Creates a failure because the fleet did not reach the awaited state in time.
    pub(crate) fn timed_out(message: impl Into<Box<str>>) -> Self {
        Self::new(Exit::TimedOut, message)
    }

    /// Creates a failure with the problems found in the files.
    pub(crate) fn problems(message: impl Into<Box<str>>, problems: Vec<ConfigProblem>) -> Self {
        Self {
            problems,
            ..Self::invalid(message)
        }
    }

    fn new(exit: Exit, message: impl Into<Box<str>>) -> Self {
        Self {
            exit,
            message: message.into(),
            problems: Vec::new(),
        }
    }

    /// Returns the exit code.
    pub(crate) fn exit(&self) -> Exit {
        self.exit
    }

    /// Returns the failure as JSON.
    pub(crate) fn json(&self) -> serde_json::Value {
        serde_json::json!({
            "error": {
                "exit": self.exit as u8,
                "message": self.message,
                "problems": self.problems,
            }
        })
    }
}

impl Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for problem in &self.problems {
            writeln!(f, "{}", hinge_config::describe(problem))?;
        }
        write!(f, "sequoiactl: {}", self.message)
    }
}

impl Error for Failure {}

impl From<FolderError> for Failure {
    fn from(error: FolderError) -> Self {
        Self::failed(error.to_string())
    }
}
