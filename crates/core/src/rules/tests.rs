use proptest::prelude::*;

use super::{Adapter, Class, Digest, Findings, Head, PublishError, Rules, SourceFile, digest};
use crate::ArcStr;

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
    // Guards against published values that are read back as different rules.
    render_and_assemble_are_inverse: {
        let rules = Rules::parse("r.toml", SAMPLE).unwrap();
        let out = rules.render(7);
        let back = Rules::assemble(&out.head, |d| out.parts.get(d).map(|t| t.as_str().into()));
        assert_eq!(back.unwrap(), rules);
    }
    // Guards against accepting a version with a missing part.
    a_missing_part_is_an_error: {
        let out = Rules::parse("r.toml", SAMPLE).unwrap().render(7);
        let back = Rules::assemble(&out.head, |_| None);
        assert!(matches!(back, Err(PublishError::Missing(_))));
    }
    // Guards against an item in two shards: after it changes in one of them, hosts could have
    // different rules.
    an_item_in_the_wrong_shard_is_an_error: {
        let out = Rules::parse("r.toml", SAMPLE).unwrap().render(7);
        let shard = out.parts.iter().find(|(_, t)| t.contains("deck-check")).unwrap().0;
        let holds = |d: &Digest| out.parts[d].contains(shard.as_str());
        let mut parts = out.head.parts.clone();
        let i = parts.iter().position(holds).unwrap();
        parts.swap(i, if i == 1 { 2 } else { 1 });
        let get = |d: &Digest| out.parts.get(d).map(|t| ArcStr::from(t.as_str()));
        let back = Rules::assemble(&Head::new(7, parts), get);
        assert!(matches!(back, Err(PublishError::Format(..))));
    }
    // Guards against checks that stop at the first finding, and against a finding that names the
    // line of the table instead of the field's.
    all_findings_are_reported: {
        let text = SAMPLE.replace("model = \"base\"", "model = \"other\"");
        assert_eq!(lines(&parse(&[&text]).unwrap_err()), [("0.toml", 5), ("0.toml", 15)]);
    }
    // Guards against finding a line by searching for its text: here every name and value also
    // occurs on an earlier line.
    findings_have_the_line_of_their_own_field: {
        let text = "hosts = 1\nmodels = [\n  \"a\",\n  \"a\",\n]\n[adapters.x]\nmodel = \"a\"\n\
                    versions = [\n  \"1\",\n  \"b b\",\n]\n[adapters]\ny = { model = \"x\", \
                    versions = [] }\n[store]\nflight = 0\n";
        let e = parse(&[text]).unwrap_err();
        let lines: Vec<_> = e.0.iter().map(|f| f.line).collect();
        assert_eq!(lines, [4, 10, 13, 13, 15], "{e}");
    }
    // Guards against an invalid field of a tagged enum that is reported without its line, and
    // against findings that only follow from another finding.
    a_wrong_type_is_one_finding_at_its_line: {
        let text = "hosts = \"four\"\n[upstreams.p]\nkind = \"plain\"\naddr = \"127.0.0.1:1\"\n\
                    domain = \"a\"\nlimit = \"9\"\n[routes.\"/r\"]\nupstreams = [\"p\"]\n";
        let e = parse(&[text]).unwrap_err();
        assert_eq!(lines(&e), [("0.toml", 1), ("0.toml", 6)], "{e}");
        for (bad, line) in [("kind = \"plane\"", 3), ("limit = 9\nextra = 1", 7), ("", 2)] {
            let good = if line == 3 { "kind = \"plain\"" } else { "limit = \"9\"" };
            let text = text.replace("\"four\"", "4").replace(good, bad);
            let text = if line == 3 { text.replace("\"9\"", "9") } else { text };
            let e = parse(&[&text]).unwrap_err();
            assert_eq!(lines(&e), [("0.toml", line)], "{e}");
        }
    }
    // Guards against silently ignoring a misspelled key.
    unknown_keys_are_findings: {
        let e = parse(&["hosts = 1\nhost = 2\n[accounts.a]\nrate = 1\nburst = 1\nwieght = 3\n"]);
        assert_eq!(lines(&e.unwrap_err()), [("0.toml", 2), ("0.toml", 6)]);
    }
    // Guards against two files that define the same item, of which one is silently ignored.
    a_duplicate_over_files_is_a_finding: {
        let second = "hosts = 4\n[adapters.deck-check]\nmodel = \"base\"\nversions = [\"3\"]\n";
        let e = parse(&[SAMPLE, second]).unwrap_err();
        assert_eq!(lines(&e), [("1.toml", 1), ("1.toml", 2)]);
        assert!(e.to_string().contains("already defined at 0.toml:4"), "{e}");
    }
    // Guards against a syntax error in one file that hides the findings in another file.
    syntax_errors_of_all_files_are_reported: {
        let e = parse(&["hosts = \n", "models = [\n", "[store]\nrate = true\n"]).unwrap_err();
        let files: Vec<_> = e.0.iter().map(|f| f.file.as_str()).collect();
        assert_eq!(files, ["0.toml", "1.toml", "2.toml"], "{e}");
    }
    // Guards against a digest that depends on how the rules are split into files or ordered.
    the_digest_does_not_depend_on_the_files: {
        let (fleet, rest) = SAMPLE.split_once("[adapters").unwrap();
        let rest = format!("[adapters{rest}");
        let a = parse(&[SAMPLE]).unwrap().render(3).head;
        let b = parse(&[&rest, fleet]).unwrap().render(3).head;
        assert_eq!(a, b);
    }
    // Guards against a value above the configuration service's size limit at the design size.
    the_design_size_stays_within_the_limit_of_a_value: {
        let mut text = "hosts = 7\nmodels = [\"base\"]\n".to_owned();
        for i in 0..12_000 {
            text += &format!(
                "[upstreams.engine-{i}]\nkind = \"engine\"\naddr = \"10.0.{}.{}:9000\"\n\
                 domain = \"domain-a\"\nmodel = \"base\"\nslots = 4\nbatch = 8\n",
                i / 250, i % 250,
            );
        }
        let out = parse(&[&text]).unwrap().render(1);
        assert!(out.parts.values().all(|p| p.len() < super::MAX_PART_BYTES));
    }
    // Guards against a key that the operators' documentation does not describe.
    the_page_names_every_key: {
        let page = include_str!("../../../../docs/configuration.md");
        let files = ["accounts", "adapters", "fleet"].map(|f| {
            let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/rules/");
            SourceFile { name: f.into(), text: std::fs::read_to_string(format!("{path}{f}.toml")).unwrap() }
        });
        let rules = Rules::read(&files).unwrap();
        let mut open = vec![(serde_json::to_value(&rules).unwrap(), true)];
        while let Some((value, is_fields)) = open.pop() {
            for (key, v) in value.as_object().into_iter().flatten() {
                assert!(!is_fields || page.contains(&format!("`{key}`")) , "{key}");
                let named = is_fields && page.contains(&format!("### `[{key}."));
                let named = named || (is_fields && key == "routes");
                open.push((v.clone(), !named));
            }
        }
    }
    // Guards against a diff in which operators cannot recognize a change.
    a_diff_says_what_a_change_does: {
        let old = parse(&[SAMPLE]).unwrap();
        let new = SAMPLE
            .replace("rate = 1000", "rate = 500")
            .replace("keys = [\"00", "keys = [\"ff")
            .replace("[\"1\", \"2\"]", "[\"2\", \"3\"]\nclass = \"drafting\"")
            .replace("[upstreams.e0]", "[upstreams.e1]");
        let changes = old.diff(&parse(&[&new]).unwrap());
        let text: Vec<_> = changes.iter().map(ToString::to_string).collect();
        assert_eq!(text, [
            "adapter deck-check: version 1 withdrawn; requests for it are refused",
            "adapter deck-check: version 3 added",
            "adapter deck-check: default version changed from 2 to 3",
            "adapter deck-check: class changed from interactive to drafting",
            "account print-shop: rate lowered from 1000 to 500 tokens/s",
            "account print-shop: key 000000000000 withdrawn; callers with it are refused once the \
             version is in force",
            "account print-shop: key ff0000000000 added",
            "upstream e0 removed; it gets no new work",
            "upstream e1 added",
        ]);
    }
}

fn parse(texts: &[&str]) -> Result<Rules, Findings> {
    let file = |(i, t): (usize, &&str)| SourceFile { name: format!("{i}.toml"), text: (*t).into() };
    Rules::read(&texts.iter().enumerate().map(file).collect::<Vec<_>>())
}

fn lines(e: &Findings) -> Vec<(&str, usize)> {
    e.0.iter().map(|f| (f.file.as_str(), f.line)).collect()
}

fn rules() -> impl Strategy<Value = Rules> {
    let class = prop_oneof![Just(Class::Status), Just(Class::Interactive), Just(Class::Drafting)];
    let versions = prop::collection::btree_set("[a-z0-9._-]{1,6}", 1..4);
    let adapter = (versions, class).prop_map(|(v, class)| Adapter {
        model: "base".into(),
        versions: v.into_iter().map(ArcStr::from).collect(),
        class,
    });
    let name = "[a-zA-Z0-9._-]{1,12}".prop_map(ArcStr::from);
    (1..=7u8, prop::collection::btree_map(name, adapter, 0..20)).prop_map(|(hosts, adapters)| {
        Rules { hosts, adapters, models: vec!["base".into()], ..Rules::default() }
    })
}

proptest! {
    // Guards against a panic on arbitrary text, and against a finding with a line outside the file.
    #[test]
    fn any_text_is_checked_without_panic(text in "(?s).{0,200}", more in "[a-z\\[\\]=\"0-9\n. ]{0,200}") {
        if let Err(e) = parse(&[&text, &more]) {
            let limit = text.lines().count().max(more.lines().count()) + 1;
            prop_assert!(e.0.iter().all(|f| (1..=limit).contains(&f.line)));
        }
    }
    // Guards against a part with arbitrary bytes that causes a panic or is accepted as rules.
    #[test]
    fn any_part_is_assembled_without_panic(bytes in "(?s).{0,100}", i in 0..17usize) {
        let out = Rules::parse("r.toml", SAMPLE).unwrap().render(7);
        let mut parts: Vec<Digest> = out.head.parts.clone();
        parts[i] = digest(bytes.as_bytes());
        let get = |d: &Digest| match out.parts.get(d) {
            Some(t) => Some(ArcStr::from(t.as_str())),
            None => Some(bytes.as_str().into()),
        };
        let head = Head::new(7, parts);
        prop_assert!(matches!(Rules::assemble(&head, get), Err(PublishError::Format(..))));
    }
    // Guards against a difference that the diff omits, and against a diff of equal rules.
    #[test]
    fn a_diff_is_empty_only_for_equal_rules(a in rules(), b in rules()) {
        prop_assert!(a.diff(&a).is_empty());
        prop_assert_eq!(a.diff(&b).is_empty(), a == b);
        prop_assert!(a.check().is_empty());
    }
    // Guards against an update, which reads only changed parts, that gives another result than a
    // full read.
    #[test]
    fn an_update_equals_reading_everything(a in rules(), b in rules()) {
        let (old, new) = (a.render(1), b.render(2));
        let get = |d: &Digest| {
            old.parts.get(d).or_else(|| new.parts.get(d)).map(|t| ArcStr::from(t.as_str()))
        };
        prop_assert_eq!(a.update(&old.head, &new.head, get).unwrap(), b);
    }
    // Guards against rules files and published values that read back as different rules.
    #[test]
    fn rendered_rules_read_back(a in rules(), version in 1..u64::MAX) {
        let out = a.render(version);
        let head = Head::read(&serde_json::to_vec(&out.head).unwrap()).unwrap();
        let back = Rules::assemble(&head, |d| out.parts.get(d).map(|t| t.as_str().into()));
        prop_assert_eq!(back.unwrap(), a.clone());
        let text = toml::to_string(&a).unwrap();
        prop_assert_eq!(parse(&[&text]).unwrap(), a);
    }
}
