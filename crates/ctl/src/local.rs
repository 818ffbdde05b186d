//! Reads the operators' folder, and keeps the version that it was edited from beside its files.

use std::fs;
use std::path::Path;

use hinge_config::effective::EffectiveConfig;
use hinge_config::{ConfigFile, folder};

use crate::failure::Failure;

/// File with the version that a folder was edited from. Its name begins with a dot, so it is no part of the folder.
const VERSION_FILE: &str = ".sequoiactl-version";

/// Holds a valid folder.
#[derive(Debug)]
pub(crate) struct Local {
    pub(crate) files: Vec<ConfigFile>,
    pub(crate) effective: EffectiveConfig,
}

/// Reads and checks a folder.
///
/// # Errors
///
/// Returns a failure with every problem of the files.
pub(crate) fn read(path: &Path) -> Result<Local, Failure> {
    let files = folder::read(path)?;
    match EffectiveConfig::merge(&files) {
        Ok(effective) => Ok(Local { files, effective }),
        Err(problems) => {
            let count = problems.len();
            let path = path.display();
            let message = format!("{path} is not valid: mend {count} problem(s) and check again");
            Err(Failure::problems(message, problems))
        }
    }
}

/// Returns the version that the folder was edited from, if it is recorded.
///
/// # Errors
///
/// Returns a failure when the record is there and does not hold a version.
pub(crate) fn base_version(path: &Path) -> Result<Option<u64>, Failure> {
    let file = path.join(VERSION_FILE);
    let text = match fs::read_to_string(&file) {
        Ok(text) => text,
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => return Ok(None),
        Err(error) => {
            let file = file.display();
            return Err(Failure::failed(format!("{file} can't be read: {error}")));
        }
    };
    let version = text.trim().parse().map_err(|_no_number| {
        let file = file.display();
        Failure::invalid(format!(
            "{file} holds no version; give --base N, or write the number of a version into it"
        ))
    })?;
    Ok(Some(version))
}

/// Records the version that the folder now equals.
///
/// # Errors
///
/// Returns the message of the system; the fleet is not concerned.
pub(crate) fn record_version(path: &Path, version: u64) -> Result<(), String> {
    let file = path.join(VERSION_FILE);
    fs::write(&file, format!("{version}\n"))
        .map_err(|error| format!("{} can't be written: {error}", file.display()))
}

/// Writes files into a folder that is absent or holds no `*.toml` file.
///
/// # Errors
///
/// Returns a failure when the folder holds files already, or one can't be written.
pub(crate) fn write(path: &Path, files: &[ConfigFile], version: u64) -> Result<(), Failure> {
    let fail = |error: std::io::Error| {
        let path = path.display();
        Failure::failed(format!("{path} can't be written: {error}"))
    };
    fs::create_dir_all(path).map_err(fail)?;
    if !folder::read(path)?.is_empty() {
        let path = path.display();
        return Err(Failure::invalid(format!(
            "{path} holds files already; pull into a new folder, and compare the two"
        )));
    }
    for file in files {
        // Control has checked that no name leads out of a folder; a client doesn't rely on it.
        let is_plain = Path::new(&*file.name).components().count() == 1;
        if !is_plain || file.name.contains('/') || file.name.starts_with('.') {
            let name = &file.name;
            return Err(Failure::failed(format!("control named a file {name}")));
        }
        fs::write(path.join(&*file.name), file.text.as_bytes()).map_err(fail)?;
    }
    record_version(path, version).map_err(Failure::failed)
}
