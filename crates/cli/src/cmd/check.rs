//! `yuccawing check`: validates rule files.

use std::{path::PathBuf, process::ExitCode};

use yuccawing_core::rules::Rules;

use crate::{error::CliResult, files, out};

/// Check the files of one version and report all findings.
#[derive(argh::FromArgs)]
#[argh(
    subcommand,
    name = "check",
    note = "A directory stands for its *.toml files. Each finding is printed as FILE:LINE: MESSAGE.",
    error_code(1, "The files have findings.")
)]
pub struct Args {
    /// TOML files or directories
    #[argh(positional, arg_name = "FILE")]
    files: Vec<PathBuf>,
}

pub fn run(args: &Args) -> CliResult<ExitCode> {
    let rules = files::read_rules(&args.files)?;
    out::line(summary(&rules))?;
    Ok(ExitCode::SUCCESS)
}

fn summary(r: &Rules) -> String {
    format!(
        "{} hosts, {} models, {} adapters, {} accounts, {} upstreams, {} routes: no findings",
        r.hosts,
        r.models.len(),
        r.adapters.len(),
        r.accounts.len(),
        r.upstreams.len(),
        r.routes.len(),
    )
}
