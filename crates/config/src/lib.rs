//! Reads and checks the settings of a process and the operators' folder.
//!
//! Both are TOML. The JSON Schema files of `hinge-schema` define ranges, formats and defaults. One checker validates each file
//! against its schema, and reports every error with its file, line and key, and with what is allowed.

mod check;
pub mod current;
pub mod effective;
pub mod folder;
mod format;
mod nearest;
pub mod secret;
mod semantics;
pub mod settings;
pub mod sorted_map;
mod tree;

pub use hinge_schema::messages::{ConfigDelta, ConfigFile, ConfigProblem};

/// Returns a problem as one line of text: `file:line: key: message`.
#[must_use]
pub fn describe(problem: &ConfigProblem) -> String {
    let ConfigProblem {
        file,
        key,
        line,
        message,
    } = problem;
    let position = if *line == 0 {
        file.to_string()
    } else {
        format!("{file}:{line}")
    };
    if key.is_empty() {
        format!("{position}: {message}")
    } else {
        format!("{position}: {key}: {message}")
    }
}
