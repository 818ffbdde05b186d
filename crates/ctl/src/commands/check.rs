//! Checks a folder offline.

use std::fmt::{self, Display};
use std::path::Path;

use serde::Serialize;

use crate::args::FolderOptions;
use crate::exit::Exit;
use crate::failure::Failure;
use crate::local_folder;
use crate::output::Output;

#[derive(Serialize)]
struct CheckAnswer {
    valid: bool,
    files: usize,
    teams: usize,
    pools: usize,
    objectives: usize,
    stops: usize,
    upgrades: usize,
}

/// Runs `check`.
pub(crate) fn run(options: &FolderOptions, output: &mut Output<'_, '_>) -> Result<Exit, Failure> {
    let local = local_folder::read(Path::new(&options.folder))?;
    let effective = &local.effective;
    output.show(&CheckAnswer {
        valid: true,
        files: local.files.len(),
        teams: effective.teams.len(),
        pools: effective.pools.len(),
        objectives: effective.objectives.len(),
        stops: effective.stops.len(),
        upgrades: effective.upgrades.len(),
    })?;
    Ok(Exit::Ok)
}

impl Display for CheckAnswer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "valid: {} files, {} teams, {} pools, {} objectives, {} stops, {} upgrades",
            self.files, self.teams, self.pools, self.objectives, self.stops, self.upgrades
        )
    }
}
