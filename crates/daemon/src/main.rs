//! Daemon of a yuccawing entry host.

mod control;
mod events;
mod metrics;
mod settings;
mod upstream;

fn main() {}
