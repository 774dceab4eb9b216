//! Error type of the commands.

use std::{io, path::PathBuf};

use yuccawing_core::{
    burn::TextError,
    rules::{Findings, PublishError},
};

/// Result with [`CliError`].
pub type CliResult<T> = Result<T, CliError>;

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum CliError {
    /// The rule files have findings.
    #[error("{0}")]
    Findings(#[from] Findings),
    /// A rendered version is incomplete or damaged.
    #[error("{0}: {1}")]
    Published(PathBuf, PublishError),
    /// A file cannot be read or written.
    #[error("{0}: {1}")]
    File(PathBuf, io::Error),
    /// Metrics are not in the Prometheus text format.
    #[error("{0}: {1}")]
    Metrics(String, TextError),
    /// A host, by its address, cannot be reached or returned an error or an invalid body.
    #[error("{0}: {1}")]
    Host(String, String),
    /// The arguments contradict each other or name unusable files.
    #[error("{0}")]
    Usage(String),
    /// Hosts or the configuration service would reject the version.
    #[error("{0}")]
    Version(String),
    /// Standard output cannot be written.
    #[error("standard output: {0}")]
    Output(#[from] io::Error),
    /// A value cannot be encoded as JSON.
    #[error("JSON: {0}")]
    Json(#[from] serde_json::Error),
}
