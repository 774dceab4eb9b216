//! Errors of the program.

use std::{io, path::PathBuf};

/// Result of the program.
pub type Result<T> = std::result::Result<T, Error>;

/// Why the stand-ins do not start.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The settings cannot be read.
    #[error("{0}: {1}")]
    Read(PathBuf, io::Error),
    /// The settings are invalid.
    #[error("{0}: {1}")]
    Settings(PathBuf, toml::de::Error),
    /// An address cannot be bound.
    #[error("cannot listen on {0}: {1}")]
    Bind(String, io::Error),
    /// Any other input or output.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// JSON that cannot be written.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
}
