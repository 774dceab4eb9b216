//! Errors of the experiments.

use std::{io, path::PathBuf, time::Duration};

/// Result with [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// Why an experiment cannot run.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A file cannot be read or written.
    #[error("{0}: {1}")]
    File(PathBuf, io::Error),
    /// A scenario is invalid.
    #[error("{0}")]
    Scenario(String),
    /// A built binary is missing.
    #[error("{0} is not built; run `cargo build --workspace` first")]
    Binary(PathBuf),
    /// A process exited although it should still run.
    #[error("{name} exited: {status}\n{log}")]
    ProcessEnded {
        /// Name of the process.
        name: String,
        /// Exit status.
        status: String,
        /// End of its log.
        log: String,
    },
    /// A condition was not met in time.
    #[error("timed out after {within:?} waiting for {what}")]
    Timeout {
        /// What was awaited, such as a URL or "h0 to become ready".
        what: String,
        /// Time for which it was awaited.
        within: Duration,
    },
    /// A request failed; URL or name of the stand-in or daemon, and the reason.
    #[error("{0}: {1}")]
    Http(String, String),
    /// The fleet has no host, stand-in or other part of this name.
    #[error("unknown name {0}")]
    UnknownName(String),
    /// Guarantees were violated; number of violations by guarantee.
    #[error("guarantees were violated: {0:?}")]
    Violated(std::collections::BTreeMap<String, usize>),
    /// A plot cannot be drawn.
    #[error("plot: {0}")]
    Plot(String),
    /// Any other input or output failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// JSON cannot be parsed or written.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A signal cannot be sent.
    #[error(transparent)]
    Signal(#[from] rustix::io::Errno),
}
