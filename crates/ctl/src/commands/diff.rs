//! Compares a folder with the configuration in force.

use std::fmt::{self, Display};
use std::path::Path;

use hinge_config::effective::Effective;
use serde::Serialize;

use crate::args::FolderOptions;
use crate::control_client::FolderInForce;
use crate::control_config::ControlConfig;
use crate::difference::Difference;
use crate::exit::Exit;
use crate::failure::Failure;
use crate::local_folder;
use crate::output::Output;

#[derive(Serialize)]
struct DiffAnswer {
    version: u64,
    based_on: Option<u64>,
    #[serde(flatten)]
    difference: Difference,
}

/// Runs `diff`.
pub(crate) async fn run(
    options: &FolderOptions,
    control: &ControlConfig,
    output: &mut Output<'_, '_>,
) -> Result<Exit, Failure> {
    let path = Path::new(&options.folder);
    let local = local_folder::read(path)?;
    let in_force = control.client()?.folder().await?;
    let effective = effective(&in_force)?;
    output.show(&DiffAnswer {
        version: in_force.version,
        based_on: local_folder::base_version(path)?,
        difference: Difference::between(
            (&in_force.files, &effective),
            (&local.files, &local.effective),
        ),
    })?;
    Ok(Exit::Ok)
}

/// Merges the folder in force.
///
/// # Errors
///
/// Returns a failure when this client finds a problem that control did not, which an older client may.
pub(crate) fn effective(in_force: &FolderInForce) -> Result<Effective, Failure> {
    Effective::merge(&in_force.files).map_err(|problems| {
        let version = in_force.version;
        let message = format!(
            "this client rejects version {version}, which is in force; it may be older than control"
        );
        Failure::problems(message, problems)
    })
}

impl Display for DiffAnswer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let version = self.version;
        if let Some(based_on) = self.based_on.filter(|based_on| *based_on != version) {
            writeln!(
                f,
                "note: the folder was edited from version {based_on}, and version {version} is in force"
            )?;
        }
        if self.difference.is_empty() {
            return write!(f, "no difference from version {version}");
        }
        writeln!(f, "from version {version} in force to the folder:")?;
        self.difference.fmt(f)
    }
}
