//! The subcommands, each with its arguments and a `run` function.

pub mod burn;
pub mod check;
pub mod diff;
pub mod explain;
pub mod hosts;
pub mod render;
pub mod status;

/// Subcommand with its arguments.
#[derive(argh::FromArgs)]
#[argh(subcommand)]
pub enum Command {
    Check(check::Args),
    Render(render::Args),
    Diff(diff::Args),
    Status(status::Args),
    Hosts(hosts::Args),
    Explain(explain::Args),
    Burn(burn::Args),
}
