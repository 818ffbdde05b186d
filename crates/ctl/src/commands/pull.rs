//! Writes the configuration in force into an empty folder.

use std::fmt::{self, Display};
use std::path::Path;

use serde::Serialize;

use crate::args::FolderOptions;
use crate::control_config::ControlConfig;
use crate::exit::Exit;
use crate::failure::Failure;
use crate::local_folder;
use crate::output::Output;

#[derive(Serialize)]
struct PullAnswer {
    version: u64,
    files: Vec<Box<str>>,
}

/// Runs `pull`.
pub(crate) async fn run(
    options: &FolderOptions,
    control: &ControlConfig,
    output: &mut Output<'_, '_>,
) -> Result<Exit, Failure> {
    let in_force = control.client()?.folder().await?;
    local_folder::write(
        Path::new(&options.folder),
        &in_force.files,
        in_force.version,
    )?;
    let files = in_force.files.into_iter().map(|file| file.name);
    output.show(&PullAnswer {
        version: in_force.version,
        files: files.collect(),
    })?;
    Ok(Exit::Ok)
}

impl Display for PullAnswer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let count = self.files.len();
        write!(f, "pulled version {}: {count} files", self.version)
    }
}
