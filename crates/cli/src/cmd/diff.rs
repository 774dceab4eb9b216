//! `yuccawing diff`.

use std::{path::PathBuf, process::ExitCode};

use crate::{error::CliResult, files, out};

/// Say what a change from one version to another does.
#[derive(argh::FromArgs)]
#[argh(
    subcommand,
    name = "diff",
    note = "OLD and NEW are TOML files, folders of TOML files, or folders written by render.",
    error_code(1, "One of the two cannot be read.")
)]
pub struct Args {
    /// version in force
    #[argh(positional, arg_name = "OLD")]
    old: PathBuf,
    /// version to come
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
