//! Subcommands of `yuccabench`, each with its arguments and a `run` function.

pub mod capacity;
pub mod demo;
pub mod report;
pub mod run;
pub mod soak;
