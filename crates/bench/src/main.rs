//! Command line of `yuccabench`, the tool for experiments with a fleet of real processes.

use std::process::ExitCode;

use argh::FromArgs;
use yuccabench::{Result, cmd};

/// Experiments with yuccawing on this machine.
#[derive(FromArgs)]
struct Args {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Capacity(cmd::capacity::Args),
    Demo(cmd::demo::Args),
    Run(cmd::run::Args),
    Report(cmd::report::Args),
    Soak(cmd::soak::Args),
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    match actix_rt::System::new().block_on(run(args.command)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("yuccabench: {e}");
            ExitCode::FAILURE
        }
    }
}

async fn run(command: Command) -> Result<()> {
    match command {
        Command::Capacity(a) => cmd::capacity::run(a).await,
        Command::Demo(a) => cmd::demo::run(a).await,
        Command::Run(a) => cmd::run::run(a).await,
        Command::Report(a) => cmd::report::run(&a),
        Command::Soak(a) => cmd::soak::run(&a).await,
    }
}
