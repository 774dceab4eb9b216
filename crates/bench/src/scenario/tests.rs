use super::Scenario;

const SMALL: &str = r#"
note = "test"
duration_s = 10
hosts = ["a", "b", "c"]
[store]
rate = 4
flight = 8
load_ms = 250
[[engines]]
count = 2
domain = "a"
slots = 4
batch = 8
fencing = true
first_ms = 10
token_ms = 2
[adapters]
interactive = 10
versions = ["1"]
zipf = 1.0
[[accounts]]
name = "press"
rate = 100
burst = 100
[[accounts.traffic]]
rate = 5.0
[[faults]]
at_s = 1
fault = { pause_host = 1 }
for_s = 5
"#;

fn error(text: &str) -> String {
    Scenario::parse("s.toml", text).unwrap_err().to_string()
}

macro_rules! cases {
    ($($name:ident: $body:block)*) => { $(#[test] fn $name() $body)* };
}

cases! {
    // Guards against a parser that rejects or misreads the documented format.
    a_small_scenario_is_read: {
        let s = Scenario::parse("s.toml", SMALL).unwrap();
        assert_eq!((s.seed, s.hosts.len(), s.faults.len()), (1, 3, 1));
    }
    // Guards against misspelt keys that are silently ignored.
    an_unknown_key_is_an_error_with_its_line: {
        let e = error(&SMALL.replace("zipf = 1.0", "zipf = 1.0\nzipff = 2"));
        assert!(e.starts_with("s.toml:21:") && e.contains("zipff"), "{e}");
    }
    // Guards against checks that stop at the first finding.
    all_findings_are_reported: {
        let text = SMALL.replace("pause_host = 1", "pause_host = 3");
        let e = error(&text.replace("duration_s = 10", "duration_s = 1000"));
        assert_eq!(e.lines().count(), 2, "{e}");
        assert!(e.starts_with("s.toml:3:"), "{e}");
    }
    // Guards against scenario files that no longer match the format.
    all_scenario_files_are_valid: {
        let dir = concat!(env!("CARGO_MANIFEST_DIR"), "/../../scenarios");
        let files: Vec<_> = std::fs::read_dir(dir).unwrap().flatten().map(|e| e.path()).collect();
        assert!(files.iter().all(|f| Scenario::read(f).is_ok()), "{:?}",
            files.iter().filter_map(|f| Scenario::read(f).err()).collect::<Vec<_>>());
        assert!(files.len() > 10);
    }
}
