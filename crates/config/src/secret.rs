//! Secrets read from key files, which are never printed.

use std::fmt::{self, Debug, Display};
use std::fs::File;
use std::io::{self, Read};
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};

/// Modes that a key file may have; both let only its owner read it.
const ALLOWED_MODES: [u32; 2] = [0o600, 0o400];

/// Size of the largest key file, enough for the keys of a thousand operators.
const MAX_KEY_BYTES: u64 = 256 * 1024;

/// A key whose bytes are never printed.
#[derive(Clone, Eq, PartialEq)]
pub struct Secret(Box<[u8]>);

impl Secret {
    /// Returns a secret with these bytes.
    #[must_use]
    pub fn new(bytes: impl Into<Box<[u8]>>) -> Self {
        Self(bytes.into())
    }

    /// Reads a key file, without the white space around the key.
    ///
    /// # Errors
    ///
    /// Returns an error when the file can't be read, is empty or too long, or has a mode that is not allowed.
    pub fn read(path: &Path) -> Result<Self, SecretError> {
        let error_with = |cause| SecretError {
            path: path.to_owned(),
            cause,
        };
        let mut file = File::open(path).map_err(|error| error_with(Cause::Read(error)))?;
        // The mode is that of the open file, so that the file can't be replaced between the check and the read.
        let metadata = file
            .metadata()
            .map_err(|error| error_with(Cause::Read(error)))?;
        let mode = metadata.permissions().mode() & 0o7777;
        if !metadata.is_file() {
            return Err(error_with(Cause::NotAFile));
        }
        if !ALLOWED_MODES.contains(&mode) {
            return Err(error_with(Cause::Mode(mode)));
        }
        let mut bytes = Vec::new();
        let mut limited = Read::by_ref(&mut file).take(MAX_KEY_BYTES + 1);
        limited
            .read_to_end(&mut bytes)
            .map_err(|error| error_with(Cause::Read(error)))?;
        if bytes.len() as u64 > MAX_KEY_BYTES {
            return Err(error_with(Cause::TooLong));
        }
        let key = bytes.trim_ascii();
        if key.is_empty() {
            return Err(error_with(Cause::Empty));
        }
        Ok(Self::new(key))
    }

    /// Returns the bytes of the key.
    #[must_use]
    pub fn expose(&self) -> &[u8] {
        &self.0
    }
}

impl Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(hidden)")
    }
}

/// An error that tells why a key file was rejected.
#[derive(Debug)]
pub struct SecretError {
    path: PathBuf,
    cause: Cause,
}

#[derive(Debug)]
enum Cause {
    Read(io::Error),
    NotAFile,
    Mode(u32),
    TooLong,
    Empty,
}

impl SecretError {
    /// Returns whether the file was rejected because of its mode.
    #[must_use]
    pub fn is_wrong_mode(&self) -> bool {
        matches!(self.cause, Cause::Mode(_))
    }
}

impl Display for SecretError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let path = self.path.display();
        match &self.cause {
            Cause::Read(error) => write!(f, "the key file {path} can't be read: {error}"),
            Cause::NotAFile => write!(f, "{path} is not a file; allowed is a key file"),
            Cause::Mode(mode) => write!(
                f,
                "the key file {path} has mode {mode:04o}; allowed are 0600 and 0400: run `chmod 600 {path}`"
            ),
            Cause::TooLong => write!(
                f,
                "the key file {path} is too long; allowed are {MAX_KEY_BYTES} bytes"
            ),
            Cause::Empty => write!(f, "the key file {path} is empty; allowed is a key"),
        }
    }
}

impl std::error::Error for SecretError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match &self.cause {
            Cause::Read(error) => Some(error),
            _ => None,
        }
    }
}
