//! Differences between two states of the operators' folder: files, and effective values with their origin.

use std::fmt::{self, Display};

use hinge_config::ConfigFile;
use hinge_config::effective::Effective;
use serde::Serialize;
use serde_json::Value;
use similar::TextDiff;

use crate::values::{Values, format_value, values};

/// Unchanged lines that a text diff shows around a change.
const CONTEXT_LINES: usize = 2;

/// How a file differs.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum FileChange {
    Added,
    Changed,
    Removed,
}

/// A file that differs.
#[derive(Debug, Serialize)]
pub(crate) struct FileDifference {
    pub(crate) name: Box<str>,
    pub(crate) change: FileChange,
    diff: String,
}

/// A value with the file and line that set it; a default has no origin.
#[derive(Debug, PartialEq, Serialize)]
struct ValueWithOrigin {
    value: Value,
    origin: Option<String>,
}

/// An effective value that differs.
#[derive(Debug, Serialize)]
pub(crate) struct ValueDifference {
    path: String,
    old: Option<ValueWithOrigin>,
    new: Option<ValueWithOrigin>,
}

/// All differences between two states of a folder.
#[derive(Debug, Serialize)]
pub(crate) struct Difference {
    pub(crate) files: Vec<FileDifference>,
    pub(crate) values: Vec<ValueDifference>,
}

impl Difference {
    /// Compares two states, each given as its files and its effective configuration.
    pub(crate) fn between(
        old: (&[ConfigFile], &Effective),
        new: (&[ConfigFile], &Effective),
    ) -> Self {
        Self {
            files: files(old.0, new.0),
            values: value_differences(old.1, new.1),
        }
    }

    /// Returns whether no file differs.
    pub(crate) fn is_empty(&self) -> bool {
        self.files.is_empty()
    }
}

/// Compares files by name and text.
pub(crate) fn files(old: &[ConfigFile], new: &[ConfigFile]) -> Vec<FileDifference> {
    let (put, removed) = hinge_config::folder::delta(old, new);
    let text_of = |name: &str| {
        let file = old.iter().find(|file| *file.name == *name);
        file.map(|file| &*file.text)
    };
    let put = put.iter().map(|file| {
        let before = text_of(&file.name);
        let change = match before {
            Some(_) => FileChange::Changed,
            None => FileChange::Added,
        };
        difference(&file.name, change, before.unwrap_or_default(), &file.text)
    });
    let removed = removed.iter().map(|name| {
        let before = text_of(name).unwrap_or_default();
        difference(name, FileChange::Removed, before, "")
    });
    let mut files: Vec<_> = put.chain(removed).collect();
    files.sort_unstable_by(|left, right| left.name.cmp(&right.name));
    files
}

fn difference(name: &str, change: FileChange, old: &str, new: &str) -> FileDifference {
    let diff = TextDiff::from_lines(old, new);
    let mut unified = diff.unified_diff();
    unified.context_radius(CONTEXT_LINES);
    FileDifference {
        name: name.into(),
        change,
        diff: unified.to_string(),
    }
}

fn value_differences(old: &Effective, new: &Effective) -> Vec<ValueDifference> {
    let (old_values, new_values) = (values(old), values(new));
    let mut paths: Vec<_> = old_values.keys().chain(new_values.keys()).collect();
    paths.sort_unstable();
    paths.dedup();
    let changed = paths
        .into_iter()
        .filter(|path| old_values.get(*path) != new_values.get(*path));
    changed
        .map(|path| ValueDifference {
            path: path.clone(),
            old: value_with_origin(old, &old_values, path),
            new: value_with_origin(new, &new_values, path),
        })
        .collect()
}

fn value_with_origin(
    effective: &Effective,
    values: &Values,
    path: &str,
) -> Option<ValueWithOrigin> {
    let value = values.get(path)?.clone();
    let origin = effective.origin(path);
    Some(ValueWithOrigin {
        value,
        origin: origin.map(|origin| format!("{}:{}", origin.file, origin.line)),
    })
}

impl Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for file in &self.files {
            write!(f, "{file}")?;
        }
        if !self.values.is_empty() {
            writeln!(f, "values:")?;
        }
        for value in &self.values {
            writeln!(f, "  {value}")?;
        }
        Ok(())
    }
}

impl Display for FileDifference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let word = match self.change {
            FileChange::Added => "added",
            FileChange::Changed => "changed",
            FileChange::Removed => "removed",
        };
        writeln!(f, "{word}: {}", self.name)?;
        for line in self.diff.lines() {
            writeln!(f, "  {line}")?;
        }
        Ok(())
    }
}

impl Display for ValueDifference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let show = |value_with_origin: &Option<ValueWithOrigin>| match value_with_origin {
            None => "nothing".to_owned(),
            Some(ValueWithOrigin { value, origin }) => {
                let origin = origin.as_deref().unwrap_or("default");
                format!("{} ({origin})", format_value(&self.path, value))
            }
        };
        write!(
            f,
            "{}: {} -> {}",
            self.path,
            show(&self.old),
            show(&self.new)
        )
    }
}
