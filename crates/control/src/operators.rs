//! Operator keys, which are separate from the cluster key.

use std::collections::BTreeMap;
use std::error::Error;
use std::fmt;
use std::path::Path;

use hinge_config::secret::{Secret, SecretError};
use hinge_link::ClusterKey;
use http::HeaderMap;

/// Minimum length of an operator's secret; shorter ones can be guessed.
const MIN_SECRET_BYTES: usize = 16;

/// An authenticated operator and the key that proved the name.
#[derive(Debug, Clone)]
pub(crate) struct Operator {
    pub(crate) name: Box<str>,
    pub(crate) key: ClusterKey,
}

/// The keys of all operators; an empty set rejects everyone.
#[derive(Debug, Clone, Default)]
pub struct OperatorKeys {
    operators: Vec<Operator>,
}

impl OperatorKeys {
    /// Reads a key file with one line `name = "secret"` per operator; its mode must be 0600 or 0400.
    ///
    /// # Errors
    ///
    /// Returns an error when the file can't be read, is accessible to other users, or has an invalid line.
    pub fn read(path: &Path) -> Result<Self, OperatorKeysError> {
        let secret = Secret::read(path).map_err(OperatorKeysError::Secret)?;
        let text =
            std::str::from_utf8(secret.expose()).map_err(|_no_text| OperatorKeysError::Text)?;
        Self::parse(text)
    }

    /// Parses the text of a key file.
    ///
    /// # Errors
    ///
    /// Returns an error when a line is invalid; the error doesn't contain the text, which holds secrets.
    pub fn parse(text: &str) -> Result<Self, OperatorKeysError> {
        let table: BTreeMap<Box<str>, Box<str>> =
            toml::from_str(text).map_err(|_shows_the_secret| OperatorKeysError::Text)?;
        let mut operators = Vec::new();
        for (name, secret) in table {
            if secret.len() < MIN_SECRET_BYTES {
                return Err(OperatorKeysError::TooShort(name));
            }
            let key = ClusterKey::derive(secret.as_bytes());
            operators.push(Operator { name, key });
        }
        Ok(Self { operators })
    }

    /// Returns the operator whose key authenticates the headers.
    pub(crate) fn find(&self, headers: &HeaderMap) -> Option<&Operator> {
        self.operators
            .iter()
            .find(|operator| operator.key.authenticates(headers))
    }
}

/// An error that makes a file of operator keys unusable.
#[derive(Debug)]
pub enum OperatorKeysError {
    /// The file can't be read or is accessible to other users.
    Secret(SecretError),
    /// A line doesn't have the form `name = "secret"`.
    Text,
    /// The secret of this operator is too short.
    TooShort(Box<str>),
}

impl fmt::Display for OperatorKeysError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Secret(cause) => cause.fmt(f),
            Self::Text => f.write_str(
                "the operators' keys can't be read; allowed is one line `name = \"secret\"` for each operator",
            ),
            Self::TooShort(name) => write!(
                f,
                "the secret of operator {name} is too short; allowed are {MIN_SECRET_BYTES} bytes or more"
            ),
        }
    }
}

impl Error for OperatorKeysError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            Self::Secret(cause) => Some(cause),
            Self::Text | Self::TooShort(_) => None,
        }
    }
}
