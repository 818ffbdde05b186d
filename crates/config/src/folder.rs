//! Reads the operators' folder, and computes the changes between two states of it.

use std::fmt::{self, Display};
use std::fs::{self, File};
use std::io::{self, Read};
use std::path::{Path, PathBuf};

use sha2::{Digest, Sha256};

use crate::ConfigFile;
use crate::check::Report;
use crate::tree::Position;

/// Size of the largest file. A changed file is sent whole, so a change of one line sends up to this many bytes.
pub const MAX_FILE_BYTES: usize = 1024 * 1024;

/// Size of the largest folder; control keeps it within 32 MB of memory, beside the copy that a change replaces.
pub const MAX_FOLDER_BYTES: usize = 4 * 1024 * 1024;

/// Most files of a folder; more than twice as many as one for each of 1,500 teams.
pub const MAX_FILES: usize = 4096;

/// Length of the longest file name.
pub const MAX_NAME_BYTES: usize = 128;

const SUFFIX: &str = ".toml";

/// An error that tells which file or folder can't be read, and why.
#[derive(Debug)]
pub struct FolderError {
    path: PathBuf,
    cause: Cause,
}

#[derive(Debug)]
enum Cause {
    Read(io::Error),
    TooLong,
    TooMany,
    FolderTooLong,
}

impl Display for FolderError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let path = self.path.display();
        match &self.cause {
            Cause::Read(error) => write!(f, "{path} can't be read: {error}"),
            Cause::TooLong => write!(f, "{path} is too long; allowed are {MAX_FILE_BYTES} bytes"),
            Cause::TooMany => write!(f, "{path} has too many files; allowed are {MAX_FILES}"),
            Cause::FolderTooLong => write!(
                f,
                "the files of {path} are too long together; allowed are {MAX_FOLDER_BYTES} bytes"
            ),
        }
    }
}

impl std::error::Error for FolderError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match &self.cause {
            Cause::Read(error) => Some(error),
            _ => None,
        }
    }
}

/// Reads the `*.toml` files of a folder, sorted by name; files whose names begin with a dot are skipped.
///
/// # Errors
///
/// Returns an error when a file can't be read as UTF-8 text, or when a size limit is exceeded.
pub fn read(path: &Path) -> Result<Vec<ConfigFile>, FolderError> {
    let mut file_names =
        file_names(path).map_err(|error| folder_error(path, Cause::Read(error)))?;
    file_names.sort_unstable();
    if file_names.len() > MAX_FILES {
        return Err(folder_error(path, Cause::TooMany));
    }
    let mut files = Vec::with_capacity(file_names.len());
    let mut folder_bytes = 0;
    for name in file_names {
        let file = read_file(&path.join(&name), name)?;
        folder_bytes += file.text.len();
        if folder_bytes > MAX_FOLDER_BYTES {
            return Err(folder_error(path, Cause::FolderTooLong));
        }
        files.push(file);
    }
    Ok(files)
}

fn file_names(path: &Path) -> io::Result<Vec<String>> {
    let mut file_names = Vec::new();
    for entry in fs::read_dir(path)? {
        let entry = entry?;
        let name = entry.file_name();
        let Some(name) = name.to_str() else {
            continue;
        };
        let is_config_file = name.ends_with(SUFFIX) && !name.starts_with('.');
        if is_config_file && fs::metadata(entry.path())?.is_file() {
            file_names.push(name.to_owned());
        }
    }
    Ok(file_names)
}

fn read_file(path: &Path, name: String) -> Result<ConfigFile, FolderError> {
    let mut text = String::new();
    File::open(path)
        .and_then(|file| {
            let mut limited = file.take(MAX_FILE_BYTES as u64 + 1);
            limited.read_to_string(&mut text)
        })
        .map_err(|error| folder_error(path, Cause::Read(error)))?;
    if text.len() > MAX_FILE_BYTES {
        return Err(folder_error(path, Cause::TooLong));
    }
    Ok(ConfigFile {
        name: name.into(),
        text: text.into(),
    })
}

fn folder_error(path: &Path, cause: Cause) -> FolderError {
    FolderError {
        path: path.to_owned(),
        cause,
    }
}

/// Reports files from a message that would break a limit of the folder; the files are sorted by name.
pub(crate) fn check_limits(files: &[&ConfigFile], report: &mut Report<'_>) {
    let whole_file = |file| Position { file, line: 0 };
    let bytes: usize = files.iter().map(|file| file.text.len()).sum();
    if files.len() > MAX_FILES || bytes > MAX_FOLDER_BYTES {
        let message = format!(
            "the folder is too large; allowed are {MAX_FILES} files with {MAX_FOLDER_BYTES} bytes together"
        );
        report.add(whole_file(0), "", message);
    }
    for (index, file) in (0..).zip(files) {
        if file.text.len() > MAX_FILE_BYTES {
            let message = format!("the file is too long; allowed are {MAX_FILE_BYTES} bytes");
            report.add(whole_file(index), "", message);
        }
        if !is_file_name(&file.name) {
            let message = "this file name is not valid; allowed are names of up to 128 bytes that end in .toml, without / and without a dot at the start";
            report.add(whole_file(index), "", message);
        }
    }
    for (index, pair) in (0..).zip(files.windows(2)) {
        if pair[0].name == pair[1].name {
            let message = "two files have this name; allowed is one";
            report.add(whole_file(index), "", message);
        }
    }
}

fn is_file_name(name: &str) -> bool {
    name.len() <= MAX_NAME_BYTES
        && name.ends_with(SUFFIX)
        && !name.starts_with('.')
        && !name.chars().any(|c| c == '/' || c.is_control())
}

/// Returns the files to put and the names to remove to get from one state of the folder to another.
#[must_use]
pub fn delta(old: &[ConfigFile], new: &[ConfigFile]) -> (Vec<ConfigFile>, Vec<Box<str>>) {
    let put = new.iter().filter(|file| !old.contains(file)).cloned();
    let is_kept = |name: &str| new.iter().any(|file| *file.name == *name);
    let removed = old.iter().map(|file| &file.name);
    let removed = removed.filter(|name| !is_kept(name)).cloned();
    (put.collect(), removed.collect())
}

/// Returns the folder after a change, with its files sorted by name.
#[must_use]
pub fn apply(old: &[ConfigFile], put: &[ConfigFile], removed: &[Box<str>]) -> Vec<ConfigFile> {
    let is_replaced = |name: &str| put.iter().any(|file| *file.name == *name);
    let is_removed = |name: &str| removed.iter().any(|removed| **removed == *name);
    let kept = old.iter();
    let kept = kept.filter(|file| !is_replaced(&file.name) && !is_removed(&file.name));
    let mut files: Vec<_> = kept.chain(put).cloned().collect();
    files.sort_unstable_by(|left, right| left.name.cmp(&right.name));
    files
}

/// Returns a hash of the files' names and contents; it does not depend on the order of the files or on the instance.
#[must_use]
pub fn digest(files: &[ConfigFile]) -> u64 {
    let mut files: Vec<_> = files.iter().collect();
    files.sort_unstable_by_key(|file| &file.name);
    let mut hash = Sha256::new();
    for file in files {
        // The lengths separate names from contents: without them, moving bytes from one to the other would keep the hash.
        for part in [&file.name, &file.text] {
            hash.update((part.len() as u64).to_le_bytes());
            hash.update(part.as_bytes());
        }
    }
    let hash = hash.finalize();
    hash.iter()
        .take(8)
        .fold(0, |digest, byte| (digest << 8) | u64::from(*byte))
}
