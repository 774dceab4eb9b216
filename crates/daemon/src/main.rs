//! Daemon of a yuccawing entry host.

mod control;
mod events;
mod metrics;
mod settings;

fn main() {}
