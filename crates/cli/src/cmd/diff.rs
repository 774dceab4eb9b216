//! `yuccawing diff`: compares two versions of the rules.

use std::{path::PathBuf, process::ExitCode};

use crate::{error::CliResult, files, out};

/// Describe the changes between two versions.
#[derive(argh::FromArgs)]
#[argh(
    subcommand,
    name = "diff",
    note = "OLD and NEW are TOML files, directories of TOML files, or directories written by render.",
    error_code(1, "A version cannot be read or has findings.")
)]
pub struct Args {
    /// current version
    #[argh(positional, arg_name = "OLD")]
    old: PathBuf,
    /// new version
    #[argh(positional, arg_name = "NEW")]
    new: PathBuf,
}

pub fn run(args: &Args) -> CliResult<ExitCode> {
    let changes = files::read_version(&args.old)?.diff(&files::read_version(&args.new)?);
    for c in &changes {
        out::line(c)?;
    }
    if changes.is_empty() {
        out::line("no changes")?;
    }
    Ok(ExitCode::SUCCESS)
}
