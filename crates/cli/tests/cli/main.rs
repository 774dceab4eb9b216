//! Tests of the built program, a file per command.

mod burn;
mod check;
mod diff;
mod remote;
mod render;
mod tls;
mod workdir;

/// Rules that pass the checks.
const SAMPLE: &str = r#"hosts = 4
models = ["base"]

[adapters.deck-check]
model = "base"
versions = ["1", "2"]

[accounts.print-shop]
rate = 1000
burst = 4000

[upstreams.e0]
kind = "engine"
addr = "127.0.0.1:9000"
domain = "a"
model = "base"
slots = 4
batch = 8
"#;
