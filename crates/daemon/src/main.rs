//! Daemon of a yuccawing entry host.

mod control;
mod edge;
mod events;
mod metrics;
mod settings;
mod stop;
mod upstream;

fn main() {}
