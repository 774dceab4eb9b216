//! Daemon of a yuccawing entry host.

mod control;

fn main() {}
