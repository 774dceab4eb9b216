//! Error type of the program.

use std::{io, path::PathBuf};

/// Result with [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// Error that ends the program.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The settings file cannot be read.
    #[error("{0}: {1}")]
    Read(PathBuf, io::Error),
    /// The settings file is not valid.
    #[error("{0}: {1}")]
    Settings(PathBuf, toml::de::Error),
    /// An address cannot be bound.
    #[error("cannot listen on {0}: {1}")]
    Bind(String, io::Error),
    /// Any other I/O error.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The addresses cannot be encoded as JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
}
