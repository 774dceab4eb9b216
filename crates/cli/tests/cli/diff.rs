use crate::{SAMPLE, workdir::Workdir};

// Guards against differences in format between files and a rendered version that show as changes.
#[test]
fn compares_files_and_rendered_versions() {
    let w = Workdir::new();
    w.write("r.toml", SAMPLE).write("s.toml", SAMPLE.replace("rate = 1000", "rate = 400"));
    w.ok("render --version 1 --out v r.toml");
    assert_eq!(w.ok("diff v r.toml"), "no changes\n");
    let lowered = "account print-shop: rate lowered from 1000 to 400 tokens/s\n";
    assert_eq!(w.ok("diff v s.toml"), lowered);
}

// Guards against a rendered version with a damaged or missing part that is accepted.
#[test]
fn a_damaged_version_is_an_error() {
    let w = Workdir::new();
    w.write("r.toml", SAMPLE);
    w.ok("render --version 1 --out v r.toml");
    let part = format!("v/part/{}", w.list("v/part")[0]);
    w.write(&part, "{}  ");
    assert!(w.fail("diff v r.toml").contains("does not match"));
}
