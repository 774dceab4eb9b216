//! Tests of the built program: its commands `demo`, `run` and `report`.

use std::{fs, path::Path, process::Command};

use tempfile::TempDir;
use yuccabench::results::Results;

const SCENARIO: &str = r#"
note = "A short run with one fault"
warmup_s = 3
duration_s = 6
skew = 0.5
hosts = ["a", "b", "c"]
store = { rate = 20, flight = 8, load_ms = 50 }
adapters = { interactive = 6, versions = ["1"], zipf = 1.0 }
[[engines]]
count = 2
domain = "a"
slots = 6
batch = 8
fencing = true
first_ms = 10
token_ms = 2
[[plain]]
count = 1
domain = "b"
limit = 8
[[accounts]]
name = "press"
rate = 100000
burst = 100000
traffic = [{ rate = 20.0 }, { rate = 5.0, plain = "once" }]
[[faults]]
at_s = 2
fault = "silence_streams"
"#;

fn run(dir: &Path, args: &[&str]) -> (bool, String) {
    let exe = env!("CARGO_BIN_EXE_yuccabench");
    let out = Command::new(exe).args(args).current_dir(dir).output().unwrap();
    let text = [out.stdout, out.stderr].concat();
    (out.status.success(), String::from_utf8_lossy(&text).into_owned())
}

macro_rules! cases {
    ($($name:ident: $body:block)*) => { $(#[test] fn $name() $body)* };
}

cases! {
    // Guards against a demo that prints no answer.
    demo_prints_an_answer: {
        let dir = TempDir::new().unwrap();
        let (ok, text) = run(dir.path(), &["demo", "--tokens", "3"]);
        assert!(ok && text.contains("a0:1#0 a0:1#1 a0:1#2"), "{text}");
    }
    // Guards against results that lack requests, faults or resource usage.
    run_and_report_write_results: {
        let dir = TempDir::new().unwrap();
        fs::write(dir.path().join("s.toml"), SCENARIO).unwrap();
        let (ok, text) = run(dir.path(), &["run", "s.toml", "--out", "r.json", "--seed", "9"]);
        assert!(ok, "{text}");
        let json = fs::read_to_string(dir.path().join("r.json")).unwrap();
        let r: Results = serde_json::from_str(&json).unwrap();
        assert_eq!((r.seed, r.timeline.len(), r.usage.len(), r.faults.len()), (9, 6, 3, 1));
        assert!(r.requests.sent > 60 && r.calls.sent > 10, "{text}");
        assert!(r.requests.served * 10 >= r.requests.sent * 9, "{text}");
        assert!(r.usage.values().all(|u| u.rss_kb > 0 && u.peer_bytes > 0.0));
        let (ok, text) = run(dir.path(), &["report", "r.json"]);
        assert!(ok, "{text}");
        let page = fs::read_to_string(dir.path().join("r.md")).unwrap();
        assert!(page.contains("| press |") && dir.path().join("r.requests.svg").is_file(), "{page}");
    }
    // Guards against a scenario with an unknown key that runs anyway.
    run_rejects_an_unknown_key: {
        let dir = TempDir::new().unwrap();
        fs::write(dir.path().join("s.toml"), SCENARIO.replace("skew", "skwe")).unwrap();
        let (ok, text) = run(dir.path(), &["run", "s.toml"]);
        assert!(!ok && text.contains("s.toml:5: "), "{text}");
    }
}
