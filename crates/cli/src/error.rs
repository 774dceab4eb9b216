//! The error of all commands.

use std::{io, path::PathBuf};

use yuccawing_core::{
    burn::TextError,
    rules::{Findings, PublishError},
};

/// Result of a command.
pub type CliResult<T> = Result<T, CliError>;

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum CliError {
    /// The files do not make a version.
    #[error("{0}")]
    Findings(#[from] Findings),
    /// Published values do not make a version.
    #[error("{0}: {1}")]
    Published(PathBuf, PublishError),
    /// A file cannot be read or written.
    #[error("{0}: {1}")]
    File(PathBuf, io::Error),
    /// Metrics cannot be read.
    #[error("{0}: {1}")]
    Metrics(String, TextError),
    /// A host did not answer as expected.
    #[error("{0}: {1}")]
    Host(String, String),
    /// The arguments do not fit together.
    #[error("{0}")]
    Usage(String),
    /// The version cannot be published.
    #[error("{0}")]
    Version(String),
    /// Standard output is closed.
    #[error("standard output: {0}")]
    Output(#[from] io::Error),
    /// A value cannot be printed as JSON.
    #[error("JSON: {0}")]
    Json(#[from] serde_json::Error),
}
