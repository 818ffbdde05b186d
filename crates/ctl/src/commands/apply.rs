//! Makes a folder the configuration in force.
//!
//! A change carries a random id and the version that it is based on. Control accepts one change for each base version, and
//! answers an id that it knows with its first answer. So this client sends the same message again after a lost answer, and a
//! later run with `--change-id` first looks for that id in the history.

use std::fmt::{self, Display};
use std::path::Path;

use hinge_config::{ConfigFile, folder};
use hinge_schema::messages::{Accepted, Apply, AskHistory, Invalid};
use serde::Serialize;

use crate::args::ApplyOptions;
use crate::conflict::ConflictReport;
use crate::control_client::{ChangeDecision, ControlClient, FolderInForce};
use crate::control_config::ControlConfig;
use crate::exit::Exit;
use crate::failure::Failure;
use crate::output::Output;
use crate::{commands, format, local_folder};

/// Entries in one page of the history; control returns no more.
const HISTORY_PAGE_LEN: u32 = 1000;

#[derive(Serialize)]
struct ApplyAnswer {
    outcome: &'static str,
    version: u64,
    change_id: Option<Box<str>>,
    resent: bool,
    put: Vec<Box<str>>,
    removed: Vec<Box<str>>,
}

/// Runs `apply`.
pub(crate) async fn run(
    options: &ApplyOptions,
    control: &ControlConfig,
    output: &mut Output<'_, '_>,
) -> Result<Exit, Failure> {
    let path = Path::new(&options.folder);
    let local = local_folder::read(path)?;
    let client = control.client()?;
    let in_force = client.folder().await?;
    let change = Change {
        files: &local.files,
        base: options.base.or(local_folder::base_version(path)?),
        note: options.note.as_deref().unwrap_or_default(),
        earlier_id: options.change_id.as_deref(),
        may_remove: options.prune,
    };
    let result = change.submit(&client, in_force, output).await?;
    if let (Exit::Ok, Some(version)) = (result.exit, result.version) {
        if let Err(message) = local_folder::record_version(path, version) {
            output.note(&format!(
                "{message}; give --base {version} with the next apply"
            ));
        }
        if options.wait {
            return commands::wait::wait_for_version(
                &client,
                version,
                control.wait_timeout(),
                output,
            )
            .await;
        }
    }
    Ok(result.exit)
}

/// The exit code of a change, and the version that it made.
pub(crate) struct ChangeResult {
    pub(crate) exit: Exit,
    pub(crate) version: Option<u64>,
}

/// A change that an operator wants to make.
pub(crate) struct Change<'c> {
    /// The whole folder after the change.
    pub(crate) files: &'c [ConfigFile],
    /// Version that the folder was edited from, if it is known.
    pub(crate) base: Option<u64>,
    pub(crate) note: &'c str,
    /// Id of an earlier attempt, if there was one.
    pub(crate) earlier_id: Option<&'c str>,
    pub(crate) may_remove: bool,
}

impl Change<'_> {
    /// Sends the change until control decides, and prints the decision.
    ///
    /// # Errors
    ///
    /// Returns a failure when nothing was sent, when the change is not valid, or when control gave no answer in time.
    pub(crate) async fn submit(
        &self,
        client: &ControlClient,
        in_force: FolderInForce,
        output: &mut Output<'_, '_>,
    ) -> Result<ChangeResult, Failure> {
        if let Some(result) = self.find_earlier_attempt(client, output).await? {
            return Ok(result);
        }
        let (put, removed) = folder::delta(&in_force.files, self.files);
        if put.is_empty() && removed.is_empty() {
            return show_unchanged(in_force.version, output);
        }
        let base_version = self.base_version(&in_force)?;
        // A change on an old base is refused anyway, and control's answer with the accepted change says more than this check.
        if base_version == in_force.version {
            self.check_removed(&removed)?;
        }
        let change = Apply {
            change_id: self.earlier_id.map_or_else(generate_change_id, Box::from),
            base_version,
            note: self.note.into(),
            // Control fills in the operator that the key belongs to.
            operator: Box::default(),
            put,
            removed,
        };
        let id = &change.change_id;
        output.note(&format!("change {id}, based on version {base_version}"));
        let decision = client.apply(&change).await.map_err(|no_answer| {
            let advice = if no_answer.may_have_acted {
                format!(
                    "the change may have been accepted: run the same command with --change-id {id}"
                )
            } else {
                "the change was not sent; run the same command again".to_owned()
            };
            no_answer.into_failure(&advice)
        })?;
        self.show_decision(client, decision, &change, &in_force, output)
            .await
    }

    async fn show_decision(
        &self,
        client: &ControlClient,
        decision: ChangeDecision,
        change: &Apply,
        in_force: &FolderInForce,
        output: &mut Output<'_, '_>,
    ) -> Result<ChangeResult, Failure> {
        match decision {
            ChangeDecision::Accepted(accepted) => show_accepted(&accepted, change, output),
            ChangeDecision::Conflict(conflict) => {
                output.show(&ConflictReport::new(conflict, change, in_force))?;
                Ok(ChangeResult {
                    exit: Exit::Conflict,
                    version: None,
                })
            }
            ChangeDecision::Invalid(Invalid { problems }) => {
                // An earlier attempt may have been accepted since the first look, with another difference to the folder in force.
                if let Some(result) = self.find_earlier_attempt(client, output).await? {
                    return Ok(result);
                }
                let message = "control refused the change; nothing was changed";
                Err(Failure::problems(message, problems))
            }
        }
    }

    /// Looks for an earlier attempt in the history, and prints it if it was accepted.
    async fn find_earlier_attempt(
        &self,
        client: &ControlClient,
        output: &mut Output<'_, '_>,
    ) -> Result<Option<ChangeResult>, Failure> {
        let Some(change_id) = self.earlier_id else {
            return Ok(None);
        };
        let mut before_version = 0;
        loop {
            let query = AskHistory {
                before_version,
                limit: HISTORY_PAGE_LEN,
            };
            let entries = client.history(&query).await?.entries;
            let found = entries.iter().find(|entry| *entry.change_id == *change_id);
            if let Some(entry) = found {
                output.show(&ApplyAnswer {
                    outcome: "accepted",
                    version: entry.version,
                    change_id: Some(change_id.into()),
                    resent: true,
                    put: entry.put.clone(),
                    removed: entry.removed.clone(),
                })?;
                return Ok(Some(ChangeResult {
                    exit: Exit::Ok,
                    version: Some(entry.version),
                }));
            }
            let oldest = entries.last().map_or(0, |entry| entry.version);
            if oldest <= 1 || (before_version != 0 && oldest >= before_version) {
                return Ok(None);
            }
            before_version = oldest;
        }
    }

    // Without the version that the folder was edited from, an apply would silently undo later changes of others.
    fn base_version(&self, in_force: &FolderInForce) -> Result<u64, Failure> {
        let newest = in_force.version;
        match self.base {
            Some(base) if base > newest => Err(Failure::invalid(format!(
                "the folder is based on version {base}, but the newest is {newest}; is this another fleet? look at `sequoiactl diff`, then give --base {newest}"
            ))),
            Some(base) => Ok(base),
            None if newest == 0 => Ok(0),
            None => Err(Failure::invalid(format!(
                "from which version was this folder edited? look at `sequoiactl diff`, and give --base {newest} if the difference is what you want"
            ))),
        }
    }

    fn check_removed(&self, removed: &[Box<str>]) -> Result<(), Failure> {
        if removed.is_empty() || self.may_remove {
            return Ok(());
        }
        let names = format::join_names(removed);
        Err(Failure::invalid(format!(
            "these files are in force and not in the folder: {names}; give --prune to remove them, or put them back"
        )))
    }
}

fn show_unchanged(version: u64, output: &mut Output<'_, '_>) -> Result<ChangeResult, Failure> {
    output.show(&ApplyAnswer {
        outcome: "unchanged",
        version,
        change_id: None,
        resent: false,
        put: Vec::new(),
        removed: Vec::new(),
    })?;
    Ok(ChangeResult {
        exit: Exit::Ok,
        version: Some(version),
    })
}

fn show_accepted(
    accepted: &Accepted,
    change: &Apply,
    output: &mut Output<'_, '_>,
) -> Result<ChangeResult, Failure> {
    let put = change.put.iter().map(|file| file.name.clone());
    output.show(&ApplyAnswer {
        outcome: "accepted",
        version: accepted.version,
        change_id: Some(change.change_id.clone()),
        resent: accepted.resent,
        put: put.collect(),
        removed: change.removed.clone(),
    })?;
    Ok(ChangeResult {
        exit: Exit::Ok,
        version: Some(accepted.version),
    })
}

/// Generates the id of a change; 128 random bits make a collision practically impossible.
pub(crate) fn generate_change_id() -> Box<str> {
    format!("{:032x}", rand::random::<u128>()).into()
}

impl Display for ApplyAnswer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let version = self.version;
        if self.outcome == "unchanged" {
            return write!(f, "nothing to change: version {version} is the same");
        }
        let resent = if self.resent { ", earlier" } else { "" };
        write!(f, "accepted as version {version}{resent}")?;
        for name in &self.put {
            write!(f, "\n  put {name}")?;
        }
        for name in &self.removed {
            write!(f, "\n  removed {name}")?;
        }
        Ok(())
    }
}
