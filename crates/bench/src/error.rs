//! Errors of the experiment tool.

use std::{io, path::PathBuf, time::Duration};

/// Result of the experiment tool.
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
    /// A process ended although it should run.
    #[error("{name} ended: {status}\n{log}")]
    ProcessEnded {
        /// Name of the process.
        name: String,
        /// Exit status.
        status: String,
        /// End of its log.
        log: String,
    },
    /// Something did not happen in time.
    #[error("{what} did not happen within {within:?}")]
    Timeout {
        /// What was waited for.
        what: String,
        /// How long it was waited for.
        within: Duration,
    },
    /// A request to a stand-in or a daemon failed.
    #[error("{0}: {1}")]
    Http(String, String),
    /// No such host, engine or account in the fleet.
    #[error("unknown name {0}")]
    UnknownName(String),
    /// Guarantees were violated; the result shows which.
    #[error("guarantees were violated: {0:?}")]
    Violated(std::collections::BTreeMap<String, usize>),
    /// Plots.
    #[error("plot: {0}")]
    Plot(String),
    /// Any other input or output.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A signal cannot be sent.
    #[error(transparent)]
    Signal(#[from] rustix::io::Errno),
}
