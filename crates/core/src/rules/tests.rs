use super::{PublishError, Rules};

const SAMPLE: &str = r#"
hosts = 4
models = ["base"]
[adapters.deck-check]
model = "base"
versions = ["1", "2"]
[accounts.print-shop]
rate = 1000
burst = 4000
keys = ["0000000000000000000000000000000000000000000000000000000000000000"]
[upstreams.e0]
kind = "engine"
addr = "127.0.0.1:9000"
domain = "a"
model = "base"
slots = 4
batch = 8
"#;

macro_rules! cases {
    ($($name:ident: $body:block)*) => { $(#[test] fn $name() $body)* };
}

cases! {
    // Guards against a rendered version that does not read back as what the operators wrote.
    render_and_assemble_are_inverse: {
        let rules = Rules::parse("r.toml", SAMPLE).unwrap();
        let out = rules.render(7);
        let back = Rules::assemble(&out.head, |d| out.parts.get(d).map(|t| t.as_str().into()));
        assert_eq!(back.unwrap(), rules);
    }
    // Guards against a version that takes hold with a part missing.
    a_missing_part_is_an_error: {
        let out = Rules::parse("r.toml", SAMPLE).unwrap().render(7);
        let back = Rules::assemble(&out.head, |_| None);
        assert!(matches!(back, Err(PublishError::Missing(_))));
    }
    // Guards against checks that stop at the first finding.
    all_findings_are_reported: {
        let text = SAMPLE.replace("model = \"base\"", "model = \"other\"");
        let e = Rules::parse("r.toml", &text).unwrap_err();
        assert_eq!(e.0.len(), 2);
        assert_eq!(e.0[0].line, 4);
    }
}
