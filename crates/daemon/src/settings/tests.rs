use std::time::Duration;

use super::Settings;

const SAMPLE: &str = r#"name = "h0"
ordinal = 0
domain = "a"
[listen]
http = "127.0.0.1:8080"
peer = "127.0.0.1:8081"
[platform]
config = "127.0.0.1:9000"
list = "127.0.0.1:9001"
[plaintext]
callers = true
peers = true
"#;

fn messages(text: &str) -> Vec<(usize, String)> {
    let found = Settings::parse("s.toml", text).unwrap_err().0;
    found.into_iter().map(|f| (f.line, f.message)).collect()
}

macro_rules! cases {
    ($($name:ident: $body:block)*) => { $(#[test] fn $name() $body)* };
}

cases! {
    // Guards against defaults that differ from the ones in the reference page.
    defaults_match_the_reference_page: {
        let s = Settings::parse("s.toml", SAMPLE).unwrap();
        assert_eq!(s.bootstrap, None);
        assert_eq!(s.stop.timeout, Duration::from_secs(150));
        assert_eq!(s.limits.body_bytes, 1024 * 1024);
    }
    // Guards against a check that stops at the first error, so that operators fix one per start.
    all_findings_are_reported_with_their_lines: {
        let text = SAMPLE
            .replace("ordinal = 0", "ordinal = 9\ncolour = 1")
            .replace("127.0.0.1:9001", "localhost")
            + "speed = 3\n[log]\nlevel = \"loud\"\n[stop]\nlimit_s = 1\n";
        let lines: Vec<usize> = messages(&text).iter().map(|(line, _)| *line).collect();
        assert_eq!(lines, [3, 10, 14, 16, 18]);
    }
    // Guards against an ordinal that no host of a group can have.
    ordinal_out_of_range_is_rejected: {
        let found = messages(&SAMPLE.replace("ordinal = 0", "ordinal = 7"));
        assert_eq!(found, [(2, "ordinal is 7, allowed are 0 to 6".to_owned())]);
    }
    // Guards against plain-text connections that the settings do not allow.
    plain_text_requires_permission: {
        let found = messages(&SAMPLE.replace("callers = true", ""));
        assert_eq!(found.len(), 1);
        assert!(found[0].1.contains("[tls] is missing"));
    }
    // Guards against a start with certificate files that cannot be read.
    missing_tls_files_are_reported: {
        let text = SAMPLE.to_owned() + "[tls]\ncert = \"/none/c\"\nkey = \"/none/k\"\nca = \"/none/a\"\n";
        assert_eq!(messages(&text).len(), 3);
    }
    // Guards against a syntax error that is reported without its line.
    syntax_error_has_a_line_number: {
        assert_eq!(messages("name = \"h0\"\nordinal = \n")[0].0, 2);
    }
}
