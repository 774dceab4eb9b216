//! Command-line tool with which operators check, publish and inspect the configuration of the
//! serving layer.

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

/// Check, render and compare configurations of yuccawing, and query its hosts.
#[derive(argh::FromArgs)]
struct Args {
    #[argh(subcommand)]
    command: Command,
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    match run(args) {
        Ok(code) => code,
        // The reader closed the pipe early, as `head` does.
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
