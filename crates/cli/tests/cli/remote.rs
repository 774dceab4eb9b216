use crate::workdir::{Workdir, fake_host};

// Guards against a table that differs from the response of the address look-up.
#[test]
fn hosts_lists_the_address_look_up() {
    let body = r#"{"ttl_ms":2000,"hosts":[{"name":"h0","http":"127.0.0.1:8080","domain":"a",
        "incarnation":"00000000000000ff","weight":1}]}"#;
    let addr = fake_host(&[(200, body), (200, body)]);
    let w = Workdir::new();
    let out = w.ok(&format!("hosts {addr}"));
    let row: Vec<_> = out.lines().nth(1).unwrap().split_whitespace().collect();
    assert_eq!(row, ["h0", "127.0.0.1:8080", "a", "00000000000000ff", "1"]);
    assert!(w.ok(&format!("hosts --json http://{addr}/")).contains("\"ttl_ms\": 2000"));
}

// Guards against a wrong path or query, and a name that is not percent-encoded.
#[test]
fn status_and_explain_ask_for_their_path() {
    let addr = fake_host(&[(200, r#"["REQUEST"]"#); 3]);
    let w = Workdir::new();
    let asked = |args: &str| {
        w.ok(&args.replace("ADDR", &addr.to_string())).lines().nth(1).unwrap().trim().to_owned()
    };
    assert_eq!(asked("status ADDR"), "\"GET /admin/status HTTP/1.1\"");
    let adapter = "\"GET /admin/explain?adapter=a%26b HTTP/1.1\"";
    assert_eq!(asked("explain --adapter a&b ADDR"), adapter);
    assert_eq!(asked("explain --request 7-1 ADDR"), "\"GET /admin/explain?request=7-1 HTTP/1.1\"");
}

// Guards against an operator key that is not sent, or is sent with the trailing newline of its
// file.
#[test]
fn the_operators_key_comes_from_a_file() {
    let addr = fake_host(&[(200, r#"["KEY"]"#); 2]);
    let w = Workdir::new();
    w.write("key", "s3cret\n");
    assert!(w.ok(&format!("status --key key {addr}")).contains("\"s3cret\""));
    assert!(w.ok(&format!("status {addr}")).contains("\"\""));
}

// Guards against an error response or a body without JSON that is reported as success.
#[test]
fn errors_of_hosts_are_reported() {
    let addr = fake_host(&[(404, "unknown adapter"), (200, "no JSON")]);
    let w = Workdir::new();
    assert!(w.fail(&format!("explain --adapter x {addr}")).contains("unknown adapter"));
    assert!(w.fail(&format!("status {addr}")).starts_with(&addr.to_string()));
    assert!(w.fail(&format!("explain {addr}")).contains("--adapter or --request"));
}
