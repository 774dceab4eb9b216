use crate::workdir::{Workdir, fake_host, unused_addr};

fn metrics(requests: u32, refused: u32) -> String {
    format!(
        "yuccawing_requests_total{{account=\"a\",class=\"status\",outcome=\"ok\"}} {requests}\n\
         yuccawing_refusals_total{{account=\"a\",reason=\"overloaded\"}} {refused}\n"
    )
}

// Guards against exit codes that do not distinguish a burning objective from success or an error,
// which alerting scripts rely on.
#[test]
fn the_exit_code_tells_burning_from_fine_and_errors() {
    let w = Workdir::new();
    w.write("0", metrics(0, 0)).write("1", metrics(100_000, 5)).write("2", metrics(1000, 100));
    let fine = w.run("burn --from 0 --to 1 --seconds 600");
    assert_eq!(fine.code, Some(0), "{}", fine.err);
    let burning = w.run("burn --from 0 --to 2 --seconds 600 --json");
    assert_eq!(burning.code, Some(2), "{}", burning.err);
    assert!(burning.out.contains("\"burning\": true"));
    w.write("bad", "yuccawing_x{ 3");
    assert_eq!(
        w.fail("burn --from bad --to 1 --seconds 600"),
        "bad: line 1 is not in the Prometheus text format\n"
    );
    assert!(w.fail("burn --from 0 --to 1").contains("--seconds"));
}

// Guards against an alert from a long window when a short window shows that the fault is over.
#[test]
fn several_windows_are_compared() {
    let w = Workdir::new();
    w.write("0", metrics(0, 0)).write("1", metrics(9000, 900)).write("2", metrics(10_000, 900));
    assert_eq!(w.run("burn --from 0 --seconds 3600 --to 1").code, Some(2));
    let over = w.run("burn --from 0 --seconds 3600 --from 1 --seconds 300 --to 2");
    assert_eq!(over.code, Some(0), "{}", over.out);
}

// Guards against default objectives that are used in place of those in the rules.
#[test]
fn the_objectives_come_from_the_rules() {
    let w = Workdir::new();
    w.write("0", metrics(0, 0)).write("2", metrics(1000, 100));
    w.write("r.toml", "hosts = 3\n[objectives]\nrefusal_ppm = 500000\n");
    assert_eq!(w.run("burn --rules r.toml --from 0 --to 2 --seconds 600").code, Some(0));
}

// Guards against hosts that are read only once, metrics that are attributed to the wrong host, and
// a run that fails because one host does not answer.
#[test]
fn hosts_are_read_twice() {
    let (a, b) = (metrics(1000, 0), metrics(2000, 100));
    let one = fake_host(&[(200, &a), (200, &b), (200, &b)]);
    let two = fake_host(&[(200, &b), (200, &b), (200, &b)]);
    let (w, gone) = (Workdir::new(), unused_addr());
    let run = w.run(&format!("burn --seconds 1 {one} {two} {gone}"));
    assert_eq!(run.code, Some(2), "{}{}", run.out, run.err);
    let row: Vec<_> = run.out.lines().nth(1).unwrap().split_whitespace().collect();
    assert_eq!(row[..5], ["refusal", "(all)", "1s", "100", "1000"]);
    assert!(run.err.contains(&gone.to_string()));
    w.ok(&format!("burn --save now {one} {two}"));
    assert!(w.read("now").contains(&format!("# host {two}\n")));
    assert!(w.fail(&format!("burn --seconds 1 {gone}")).contains("no host answers"));
}
