//! Integration tests that run the built binary, one file per command or topic.

mod burn;
mod check;
mod diff;
mod remote;
mod render;
mod tls;
mod workdir;

/// Valid rules.
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
