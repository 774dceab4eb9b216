use crate::{SAMPLE, workdir::Workdir};

// Guards against output that differs between two runs on the same rules, and against a change to
// one adapter that replaces more than its shard, the shard's index and the head.
#[test]
fn a_change_writes_two_new_parts() {
    let w = Workdir::new();
    w.write("r.toml", SAMPLE).write("s.toml", SAMPLE.replace("\"2\"]", "\"2\", \"3\"]"));
    w.ok("render --version 1 --out v r.toml");
    let parts = w.list("v/part").len();
    let head = w.read("v/head");
    assert!(w.ok("render --version 1 --out v r.toml").contains("; 0 new parts"));
    assert_eq!(w.read("v/head"), head);
    assert!(w.ok("render --version 2 --out v s.toml").contains("; 2 new parts"));
    assert_eq!(w.list("v/part").len(), parts + 2);
}

// Guards against a version number that all hosts would ignore or reject.
#[test]
fn the_version_has_to_rise() {
    let w = Workdir::new();
    w.write("r.toml", SAMPLE).write("s.toml", SAMPLE.replace("4000", "5000"));
    w.ok("render --version 5 --out v r.toml");
    assert!(w.fail("render --version 4 --out v s.toml").contains("older"));
    assert!(w.fail("render --version 5 --out v s.toml").contains("other content"));
    assert!(w.fail("render --version 0 --out u s.toml").contains("versions start at 1"));
}

// Guards against output that is written for rules with findings.
#[test]
fn findings_write_nothing() {
    let w = Workdir::new();
    w.write("r.toml", SAMPLE.replace("hosts = 4", "hosts = 0")).write("v/x", "");
    assert!(w.fail("render --version 1 --out v r.toml").starts_with("r.toml:1: "));
    assert_eq!(w.list("v"), ["x"]);
}

// Guards against a part that exceeds the size limit of the configuration service.
#[test]
fn a_version_that_is_too_large_is_an_error() {
    let w = Workdir::new();
    let keys: Vec<_> = (0..20_000).map(|i| format!("\"{i:064x}\"")).collect();
    w.write(
        "r.toml",
        SAMPLE.replace("burst = 4000", &format!("burst = 1\nkeys = [{}]", keys.join(","))),
    );
    assert!(w.fail("render --version 1 --out v r.toml").contains("allows 1000000"));
}
