//! The operators' folder on the local disk, with a record of the version that it was edited from.

use std::fs;
use std::path::Path;

use hinge_config::effective::Effective;
use hinge_config::{ConfigFile, folder};

use crate::failure::Failure;

/// File with the version that a folder was edited from. The leading dot keeps it out of the configuration.
const VERSION_FILE: &str = ".sequoiactl-version";

/// A valid folder.
#[derive(Debug)]
pub(crate) struct LocalFolder {
    pub(crate) files: Vec<ConfigFile>,
    pub(crate) effective: Effective,
}

/// Reads and checks a folder.
///
/// # Errors
///
/// Returns a failure that lists every problem in the files.
pub(crate) fn read(path: &Path) -> Result<LocalFolder, Failure> {
    let files = folder::read(path)?;
    match Effective::merge(&files) {
        Ok(effective) => Ok(LocalFolder { files, effective }),
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
/// Returns a failure when the record exists but does not contain a version.
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
            "{file} does not contain a version; give --base N, or write a version number into it"
        ))
    })?;
    Ok(Some(version))
}

/// Records the version that the folder now matches.
///
/// # Errors
///
/// Returns a message when the file cannot be written; the fleet is unaffected.
pub(crate) fn record_version(path: &Path, version: u64) -> Result<(), String> {
    let file = path.join(VERSION_FILE);
    fs::write(&file, format!("{version}\n"))
        .map_err(|error| format!("{} can't be written: {error}", file.display()))
}

/// Writes files into a folder that does not exist yet or contains no `*.toml` file.
///
/// # Errors
///
/// Returns a failure when the folder already contains files, or one can't be written.
pub(crate) fn write(path: &Path, files: &[ConfigFile], version: u64) -> Result<(), Failure> {
    let write_failure = |error: std::io::Error| {
        let path = path.display();
        Failure::failed(format!("{path} can't be written: {error}"))
    };
    fs::create_dir_all(path).map_err(write_failure)?;
    if !folder::read(path)?.is_empty() {
        let path = path.display();
        return Err(Failure::invalid(format!(
            "{path} already contains files; pull into a new folder, and compare the two"
        )));
    }
    for file in files {
        // Control already rejects names with a path; checked again, so that no answer can write outside the folder.
        let is_plain = Path::new(&*file.name).components().count() == 1;
        if !is_plain || file.name.contains('/') || file.name.starts_with('.') {
            let name = &file.name;
            return Err(Failure::failed(format!(
                "control sent an invalid file name: {name}"
            )));
        }
        fs::write(path.join(&*file.name), file.text.as_bytes()).map_err(write_failure)?;
    }
    record_version(path, version).map_err(Failure::failed)
}
