use crate::{SAMPLE, workdir::Workdir};

// Guards against valid rules that are rejected, or read differently, when split into several files.
#[test]
fn accepts_files_and_folders() {
    let (fleet, rest) = SAMPLE.split_once("\n\n").unwrap();
    let w = Workdir::new();
    w.write("all.toml", SAMPLE).write("rules/a.toml", fleet).write("rules/b.toml", rest);
    w.write("rules/notes.txt", "no TOML");
    let out = w.ok("check all.toml");
    assert!(out.contains("1 adapters, 1 accounts, 1 upstreams"), "{out}");
    assert_eq!(w.ok("check rules"), out);
}

// Guards against a check that stops at the first file or finding, or reports a wrong line.
#[test]
fn reports_all_findings_of_all_files() {
    let w = Workdir::new();
    w.write("a.toml", "hosts = 9\nmodels = [\"base\"]\n");
    w.write("b.toml", "hosts = 4\n[adapters.x]\nmodel = \"other\"\nversions = [1]\n");
    w.write("c.toml", "[accounts.y]\nrate = 5\nburst = 0\n\n[accounts.z]\nrate = -1\nburst = 1\n");
    w.write("d.toml", b"# ok\n\xff\n");
    let err = w.fail("check a.toml b.toml c.toml d.toml");
    let places: Vec<_> = err.lines().map(|l| l.split(": ").next().unwrap()).collect();
    assert_eq!(places, ["d.toml:2", "a.toml:1", "b.toml:1", "b.toml:4", "c.toml:3", "c.toml:6"]);
}

// Guards against a missing file or an empty directory that is read as empty rules.
#[test]
fn missing_files_are_errors() {
    let w = Workdir::new();
    w.write("empty/x.txt", "");
    assert!(w.fail("check none.toml").starts_with("none.toml: "));
    assert!(w.fail("check empty").contains("no TOML files"));
    assert!(w.fail("check").contains("hosts is missing"));
}

// Guards against example rules that are out of date.
#[test]
fn the_examples_pass() {
    let examples = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/rules");
    assert!(Workdir::new().ok(&format!("check {examples}")).contains("3 adapters, 2 accounts"));
}
