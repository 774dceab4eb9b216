//! Operators' command-line tool.

mod client;
mod cmd;
mod error;
mod files;
mod out;

use std::{io::ErrorKind, process::ExitCode};

use crate::{
    cmd::Command,
    error::{CliError, CliResult},
};

/// Checks, publishes and explains the configuration of yuccawing, and reports on its hosts.
#[derive(argh::FromArgs)]
struct Args {
    #[argh(subcommand)]
    command: Command,
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    match run(args) {
        Ok(code) => code,
        // The reader of the output has seen enough, as `head` does.
        Err(CliError::Output(e)) if e.kind() == ErrorKind::BrokenPipe => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("{e}");
            ExitCode::FAILURE
        }
    }
}

fn run(args: Args) -> CliResult<ExitCode> {
    match args.command {
        Command::Check(a) => cmd::check::run(&a),
        Command::Render(a) => cmd::render::run(&a),
        Command::Diff(a) => cmd::diff::run(&a),
        Command::Status(a) => cmd::status::run(&a),
        Command::Hosts(a) => cmd::hosts::run(&a),
        Command::Explain(a) => cmd::explain::run(&a),
        Command::Burn(a) => cmd::burn::run(&a),
    }
}
