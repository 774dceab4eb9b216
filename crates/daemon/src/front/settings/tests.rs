use std::{fs, path::Path};

use tempfile::TempDir;

use super::{Settings, SettingsError};

const GOOD: &str = r#"
name = "h1"
ip = "10.1.0.25"
zone = "a"
ports = [7600, 7615]
seeds = ["10.1.0.25:8229"]
store = "10.200.1.7:8225"
later = "a field of a later release"

[listen]
front = "10.1.0.25:8221"
ready = "10.1.0.25:8224"
directory = "10.1.0.25:8220"
"#;

fn load(text: &str) -> Result<Settings, SettingsError> {
    let dir = TempDir::new().unwrap();
    let path = dir.path().join("s.toml");
    fs::write(&path, text).unwrap();
    Settings::load(&path)
}

macro_rules! cases {
    ($($name:ident: $body:block)*) => { $(#[test] fn $name() $body)* };
}

cases! {
    // Guards against a history of the store whose age is unknown although the platform states the
    // interval, whole or not, and against one that is dated by no interval at all.
    the_interval_of_renewals_may_be_any_number: {
        use std::time::Duration;
        let with = |line: &str| load(&GOOD.replace("later =", &format!("{line}\nlater =")));
        let interval = |line: &str| with(line).unwrap().renewal_interval();
        assert_eq!(interval("heartbeat_ms = 1200"), Some(Duration::from_millis(1200)));
        assert_eq!(interval("heartbeat_ms = 1200.0"), Some(Duration::from_millis(1200)));
        assert_eq!((interval(""), interval("heartbeat_ms = 0")), (None, None));
        assert!(with("heartbeat_ms = -1").is_err());
    }
    // Guards against a release that does not start because the platform added a field or left out
    // the bounds.
    unknown_fields_and_missing_bounds_are_accepted: {
        let s = load(GOOD).unwrap();
        assert_eq!(s.peer_port(), 7600);
        assert_eq!(s.metrics(), "10.1.0.25:7601".parse().unwrap());
        assert_eq!(s.bounds.revoke_ms, 5000);
    }
    // Guards against a check that reports only the first of several problems.
    all_problems_are_reported_together: {
        let text = GOOD.replace("[7600, 7615]", "[7615, 7600]") + "[bounds]\ngrace_s = -1.0\n";
        let e = load(&text).unwrap_err().to_string();
        assert!(e.contains("ports") && e.contains("grace_s"), "{e}");
    }
    // Guards against a host that reads the store without a pause.
    a_zero_read_bound_is_rejected: {
        let text = GOOD.to_owned() + "[bounds]\nconfig_ms = 0\ndrain_ms = 0\n";
        let e = load(&text).unwrap_err().to_string();
        assert!(e.contains("config_ms") && e.contains("drain_ms"), "{e}");
    }
    // Guards against a window in which hosts cannot exchange their usage.
    a_short_quota_window_is_rejected: {
        let text = GOOD.to_owned() + "[bounds]\nquota_window_s = 0.2\n";
        assert!(load(&text).unwrap_err().to_string().contains("quota_window_s"));
    }
    // Guards against a parse error that does not name file and line.
    a_parse_error_names_its_line: {
        let e = load(&GOOD.replace("\"10.1.0.25\"", "25")).unwrap_err().to_string();
        assert!(e.contains("line 3") && e.contains("s.toml"), "{e}");
    }
    // Guards against silent defaults when the file is missing.
    a_missing_file_is_an_error: {
        let e = Settings::load(Path::new("/nonexistent/s.toml")).unwrap_err().to_string();
        assert!(e.contains("/nonexistent/s.toml"), "{e}");
    }
    // Guards against a template whose field names differ from those of the settings.
    the_template_names_known_fields: {
        let template = include_str!("../../../../../deploy/settings.toml.in");
        let filled: String = template
            .lines()
            .map(|l| match l.split_once(" = ") {
                Some(("name" | "ip" | "zone" | "ports" | "seeds" | "store" | "front" | "ready"
                    | "directory", _)) => String::new(),
                _ => l.to_owned() + "\n",
            })
            .collect();
        let keys = ["grace_s", "fail_closed", "revoke_ms", "lease_ms", "ttl_s", "retry_ratio",
            "retry_slack", "quota_overage", "quota_slack", "quota_window_s"];
        for k in keys {
            assert!(filled.contains(&format!("{k} = ")), "{k}");
        }
    }
}
