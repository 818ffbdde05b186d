//! Makes the folder of an older version the newest version; version numbers only increase.
//!
//! Control keeps the folder in force and the names of changed files, but not the contents of older folders. So the operator gives
//! a copy of the older folder, and this command checks it against the history: a file that no change since that version
//! touched must be the same as in the folder in force.

use std::collections::BTreeSet;
use std::path::Path;

use hinge_config::ConfigFile;
use hinge_schema::messages::AskHistory;

use crate::args::RollbackOptions;
use crate::commands::apply::Change;
use crate::control_client::{ControlClient, FolderInForce};
use crate::control_config::ControlConfig;
use crate::exit::Exit;
use crate::failure::Failure;
use crate::output::Output;
use crate::{commands, format, local_folder};

/// Entries in one page of the history.
const HISTORY_PAGE_LEN: u32 = 1000;

/// Runs `rollback`.
pub(crate) async fn run(
    options: &RollbackOptions,
    control: &ControlConfig,
    output: &mut Output<'_, '_>,
) -> Result<Exit, Failure> {
    let version = options.version;
    let Some(folder) = &options.folder else {
        return Err(Failure::invalid(format!(
            "control keeps no texts of older folders; give --folder FOLDER with your copy of version {version}, for example from your version control"
        )));
    };
    let local = local_folder::read(Path::new(folder))?;
    let client = control.client()?;
    let in_force = client.folder().await?;
    if version >= in_force.version {
        return Err(Failure::invalid(format!(
            "version {version} is not older than version {}, which is in force",
            in_force.version
        )));
    }
    let touched = touched_since(&client, version).await?;
    check_copy(version, &local.files, &in_force, &touched)?;
    let note = options.note.clone();
    let note = note.unwrap_or_else(|| format!("rollback to version {version}"));
    let change = Change {
        files: &local.files,
        base: Some(in_force.version),
        note: &note,
        earlier_id: options.change_id.as_deref(),
        // Files that were added after the older version are removed.
        may_remove: true,
    };
    let result = change.submit(&client, in_force, output).await?;
    match result.version {
        Some(version) if options.wait => {
            commands::wait::wait_for_version(&client, version, control.wait_timeout(), output).await
        }
        _ => Ok(result.exit),
    }
}

/// Returns the names of all files that were changed after a version.
async fn touched_since(
    client: &ControlClient,
    version: u64,
) -> Result<BTreeSet<Box<str>>, Failure> {
    let mut touched = BTreeSet::new();
    let mut before_version = 0;
    loop {
        let query = AskHistory {
            before_version,
            limit: HISTORY_PAGE_LEN,
        };
        let entries = client.history(&query).await?.entries;
        let oldest = entries.last().map(|entry| entry.version);
        for entry in entries.into_iter().filter(|entry| entry.version > version) {
            touched.extend(entry.put);
            touched.extend(entry.removed);
        }
        match oldest {
            Some(oldest) if oldest <= version + 1 => return Ok(touched),
            Some(oldest) if before_version == 0 || oldest < before_version => {
                before_version = oldest;
            }
            _ => {
                return Err(Failure::invalid(format!(
                    "the history no longer reaches back to version {version}; use `sequoiactl diff` and `sequoiactl apply`"
                )));
            }
        }
    }
}

fn check_copy(
    version: u64,
    copy: &[ConfigFile],
    in_force: &FolderInForce,
    touched: &BTreeSet<Box<str>>,
) -> Result<(), Failure> {
    let (put, removed) = hinge_config::folder::delta(&in_force.files, copy);
    let differing = put.into_iter().map(|file| file.name).chain(removed);
    let unexpected: Vec<_> = differing.filter(|name| !touched.contains(name)).collect();
    if unexpected.is_empty() {
        return Ok(());
    }
    let names = format::join_names(&unexpected);
    Err(Failure::invalid(format!(
        "the folder is not version {version}: no change since then touched {names}, but the folder differs there from what is in force"
    )))
}
