//! MessagePack encoding of messages.

use std::error::Error;
use std::fmt;

use serde::Serialize;
use serde::de::DeserializeOwned;

/// The error when a message can't be encoded or decoded.
#[derive(Debug)]
pub struct CodecError {
    cause: Box<dyn Error + Send + Sync>,
}

impl fmt::Display for CodecError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "invalid message: {}", self.cause)
    }
}

impl Error for CodecError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        Some(&*self.cause)
    }
}

/// Encodes a message with named fields.
///
/// # Errors
///
/// Returns an error when the type can't be represented in MessagePack.
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>, CodecError> {
    rmp_serde::to_vec_named(message).map_err(|cause| CodecError {
        cause: cause.into(),
    })
}

/// Decodes a message, ignoring unknown fields.
///
/// # Errors
///
/// Returns an error when the bytes do not contain such a message.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CodecError> {
    rmp_serde::from_slice(bytes).map_err(|cause| CodecError {
        cause: cause.into(),
    })
}
