//! Report of both changes of a conflict.

use std::fmt::{self, Display};

use hinge_config::ConfigFile;
use hinge_schema::messages::{Apply, Conflict};
use serde::Serialize;

use crate::control_client::FolderInForce;
use crate::difference::{FileDifference, files};

/// The change that was accepted first, and the one that was rejected.
#[derive(Debug, Serialize)]
pub(crate) struct ConflictReport {
    outcome: &'static str,
    base_version: u64,
    current_version: u64,
    theirs: Side,
    ours: Side,
    /// Files that both changes touch, compared from their text to ours.
    both: Vec<FileDifference>,
}

#[derive(Debug, Serialize)]
struct Side {
    change_id: Box<str>,
    operator: Box<str>,
    put: Vec<ConfigFile>,
    removed: Vec<Box<str>>,
    /// What the change does, if the files before it are known.
    diff: Vec<FileDifference>,
}

impl Side {
    /// Compares the change with the files that it was made from.
    fn compare(&mut self, before: &[ConfigFile]) {
        let after = hinge_config::folder::apply(before, &self.put, &self.removed);
        self.diff = files(before, &after);
    }

    /// Returns a file of this change; a removed file is returned with an empty text.
    fn find(&self, name: &str) -> Option<ConfigFile> {
        let put = self.put.iter().find(|file| *file.name == *name).cloned();
        let is_removed = self.removed.iter().any(|removed| **removed == *name);
        put.or_else(|| {
            is_removed.then(|| ConfigFile {
                name: name.into(),
                text: Box::default(),
            })
        })
    }

    fn names(&self) -> impl Iterator<Item = &Box<str>> {
        self.put.iter().map(|file| &file.name).chain(&self.removed)
    }
}

impl ConflictReport {
    /// Compares the accepted change in control's answer with the rejected one, which was made from the files in `in_force`.
    pub(crate) fn new(conflict: Conflict, change: &Apply, in_force: &FolderInForce) -> Self {
        let mut theirs = Side {
            change_id: conflict.winner_change_id,
            operator: conflict.winner_operator,
            put: conflict.winner_put,
            removed: conflict.winner_removed,
            diff: Vec::new(),
        };
        let mut ours = Side {
            change_id: change.change_id.clone(),
            operator: Box::default(),
            put: change.put.clone(),
            removed: change.removed.clone(),
            diff: Vec::new(),
        };
        ours.compare(&in_force.files);
        // The accepted change was made from the base version; its files are known only if they were fetched before the change.
        if in_force.version == conflict.base_version {
            theirs.compare(&in_force.files);
        }
        let shared = ours
            .names()
            .filter_map(|name| Some((theirs.find(name)?, ours.find(name)?)));
        let (from, to): (Vec<_>, Vec<_>) = shared.unzip();
        let both = files(&from, &to);
        Self {
            outcome: "conflict",
            base_version: conflict.base_version,
            current_version: conflict.current_version,
            theirs,
            ours,
            both,
        }
    }
}

impl Display for ConflictReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            base_version,
            current_version,
            ..
        } = self;
        writeln!(
            f,
            "conflict: this change was based on version {base_version}, and version {current_version} is in force; nothing was changed"
        )?;
        if self.theirs.change_id.is_empty() {
            writeln!(
                f,
                "theirs: control no longer keeps the change that followed version {base_version}"
            )?;
        } else {
            let (id, operator) = (&self.theirs.change_id, &self.theirs.operator);
            writeln!(f, "theirs: change {id} of operator {operator}")?;
            write_files(f, &self.theirs)?;
        }
        writeln!(f, "ours: change {}", self.ours.change_id)?;
        write_files(f, &self.ours)?;
        if !self.both.is_empty() {
            writeln!(f, "files of both sides, from theirs to ours:")?;
        }
        for file in &self.both {
            write!(f, "{file}")?;
        }
        write!(
            f,
            "what to do: `sequoiactl pull NEW-FOLDER` gets version {current_version}; make your change there, and apply that folder"
        )
    }
}

fn write_files(f: &mut fmt::Formatter<'_>, side: &Side) -> fmt::Result {
    if !side.diff.is_empty() {
        return side.diff.iter().try_for_each(|file| write!(f, "{file}"));
    }
    for file in &side.put {
        writeln!(f, "  put {} ({} bytes)", file.name, file.text.len())?;
    }
    for name in &side.removed {
        writeln!(f, "  removed {name}")?;
    }
    Ok(())
}
