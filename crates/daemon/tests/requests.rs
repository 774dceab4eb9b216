//! Tests of requests, answers and exit codes with real host processes.

mod support;

use std::{
    io::Write,
    net::TcpStream,
    thread,
    time::{Duration, Instant},
};

use serde_json::json;
use support::{Fleet, FleetSpec, KEY};

/// Opens a connection and sends a request for 60 tokens, which takes a minute at 1000 ms per token.
fn send_long_request(f: &Fleet) -> TcpStream {
    let body = json!({"model": "a0", "prompt": "x", "max_tokens": 60}).to_string();
    let mut s = TcpStream::connect(f.hosts[0].http).unwrap();
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {KEY}\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    s.write_all((head + &body).as_bytes()).unwrap();
    s
}

/// Like [`send_long_request`], but waits until an engine has started the request.
fn start_long_request(f: &Fleet) -> TcpStream {
    let s = send_long_request(f);
    while f.journal("e0", "begin").len() + f.journal("e1", "begin").len() == 0 {
        thread::sleep(Duration::from_millis(20));
    }
    s
}

macro_rules! cases {
    ($($name:ident: $body:block)*) => { $(#[test] fn $name() $body)* };
}

cases! {
    // Guards against a supervisor that mistakes a forced exit, which interrupts requests, for a
    // graceful one.
    forced_exit_has_code_2: {
        for second in [true, false] {
            let mut f = Fleet::start(
                &FleetSpec { token_ms: 1000, stop_s: 5, ..FleetSpec::default() },
                None,
            );
            let _open = start_long_request(&f);
            f.terminate(0);
            if second {
                thread::sleep(Duration::from_millis(300));
                f.terminate(0);
            }
            let limit = Duration::from_secs(if second { 2 } else { 8 });
            assert_eq!(f.exit_code(0, limit), Some(2), "{}", f.log(0));
            let log = f.log(0);
            let line = log.lines().find(|l| l.contains("\"StopForced\"")).expect(&log);
            assert!(line.contains(&format!("\"second_signal\":{second}")), "{line}");
            assert!(log.lines().last().unwrap().contains("\"Stopped\""), "{log}");
        }
    }
    // Guards against a graceful exit that a supervisor mistakes for a failure.
    graceful_exit_has_code_0: {
        let mut f = Fleet::start(&FleetSpec::default(), None);
        f.terminate(0);
        assert_eq!(f.exit_code(0, Duration::from_secs(9)), Some(0), "{}", f.log(0));
        assert!(!f.log(0).contains("StopForced"));
    }
    // Guards against requests whose handling cannot be looked up after they have ended, and against
    // explanations that programs cannot parse.
    ended_request_can_be_explained: {
        let f = Fleet::start(&FleetSpec { load_ms: 300, ..FleetSpec::default() }, None);
        let a = f.complete(0, "a0", 10_000);
        assert_eq!(a.status, 200, "{a:?}");
        let id = a.header("x-request-id").unwrap().to_owned();
        let explain = |what: &str| f.get(0, &format!("/admin/explain?{what}")).unwrap().json();
        let e = explain(&format!("request={id}"));
        assert_eq!((&e["state"], &e["outcome"]), (&json!("ended"), &json!("finished")), "{e}");
        assert_eq!(e["instance"], "a0:1", "{e}");
        let engine = e["upstream"].as_str().unwrap();
        assert!(f.journal(engine, "begin").iter().any(|b| b["request_id"] == id.as_str()), "{e}");
        let ms = |name: &str| e["waited"][name].as_u64().unwrap();
        assert!((250..2000).contains(&ms("pin_ms")), "{e}");
        assert!(ms("tokens_ms") < 500 && ms("queue_ms") < 250, "{e}");
        // `copies` is filled from the reports of the engines, so it may take a while.
        let mut copies = json!([]);
        for _ in 0..60 {
            copies = explain("adapter=a0")["copies"].clone();
            if copies != json!([]) {
                break;
            }
            thread::sleep(Duration::from_millis(50));
        }
        assert_eq!(copies[0]["engine"], engine, "{copies}");
        assert!(copies[0]["fill"].is_number() && copies[0]["ejected"] == false, "{copies}");

        let a = f.post(0, "/v1/completions", &[], &json!({"model": "a0", "prompt": "x", "max_tokens": 1}));
        let id = a.header("x-request-id").unwrap().to_owned();
        assert!(explain(&format!("request={id}"))["waited"]["pin_ms"].as_u64().unwrap() < 100);
        let a = f.post(0, "/dead/x", &[("x-ticket", &f.ticket(0))], &json!({}));
        let id = a.header("x-request-id").unwrap().to_owned();
        let e = explain(&format!("request={id}"));
        assert_eq!((&e["state"], &e["outcome"]), (&json!("ended"), &json!("not_run")), "{e}");
        assert_eq!(e["tries"], 3, "{e}");
        // The history of ended requests is bounded.
        for _ in 0..520 {
            f.complete(0, "a0", 10_000);
        }
        let a = f.get(0, &format!("/admin/explain?request={id}")).unwrap();
        assert_eq!(a.status, 404, "{a:?}");
    }
    // Guards against requests that wait until their deadline for a load that cannot end in time,
    // and against refusals of requests that have enough time or need no load.
    load_that_would_be_late_is_refused_at_once: {
        let f = Fleet::start(&FleetSpec { load_ms: 2500, ..FleetSpec::default() }, None);
        let a = f.complete(0, "a0", 10_000);
        assert!(a.status == 200 && a.elapsed > Duration::from_secs(2), "{a:?}");
        thread::scope(|s| {
            // Let through as a probe of whether loads are still slow.
            let probe = s.spawn(|| f.complete(0, "a1", 1000));
            thread::sleep(Duration::from_millis(200));
            let late = f.complete(0, "a2", 1000);
            assert_eq!(late.error(), (503, "overloaded".into(), "not_run".into()), "{late:?}");
            assert!(late.elapsed < Duration::from_millis(400), "{late:?}");
            // A load takes at least 2.5 s, more on a busy machine, and the request has 1 s.
            let retry = late.json()["error"]["retry_after_ms"].as_u64().unwrap();
            assert!(retry >= 1500, "{late:?}");
            assert_eq!(late.header("retry-after"), Some(&*retry.div_ceil(1000).to_string()));
            assert_eq!(f.complete(0, "a0", 1000).status, 200);
            assert_eq!(f.complete(0, "a2", 10_000).status, 200);
            assert_eq!(probe.join().unwrap().error(), (504, "deadline".into(), "not_run".into()));
        });
    }
    // Guards against requests that reach the engine without their sampling parameters or with other
    // fields of the caller.
    engine_gets_only_the_sampling_parameters: {
        let f = Fleet::start(&FleetSpec::default(), None);
        let body = json!({"model": "a0", "prompt": "x", "max_tokens": 2, "temperature": 0.3,
            "stop": ["."], "user": "someone", "metadata": {"a": 1}});
        assert_eq!(f.post(0, "/v1/completions", &[("x-tag", "someone")], &body).status, 200);
        let seen = [f.journal("e0", "request"), f.journal("e1", "request")].concat();
        let got: serde_json::Value = serde_json::from_str(seen[0]["body"].as_str().unwrap()).unwrap();
        let names: Vec<&str> = got.as_object().unwrap().keys().map(String::as_str).collect();
        let want = ["max_tokens", "model", "priority", "prompt", "request_id", "stop", "stream", "temperature"];
        assert_eq!(names, want);
        assert_eq!((&got["temperature"], &got["stop"]), (&body["temperature"], &body["stop"]));
        assert!(!seen[0].to_string().contains("someone"), "{seen:?}");
    }
    // Guards against address lookups, at any host, that return a host with a long queue.
    overloaded_host_leaves_the_address_lookup: {
        let f = Fleet::start(&FleetSpec { hosts: 3, token_ms: 1000, ..FleetSpec::default() }, None);
        let hosts = |i| f.get(i, "/v1/hosts").unwrap().json()["hosts"].as_array().unwrap().clone();
        let all = |n| (0..3).all(|i| hosts(i).len() == n);
        let wait = |n| {
            let start = Instant::now();
            while !all(n) {
                assert!(start.elapsed() < Duration::from_secs(5), "{:?}", hosts(1));
                thread::sleep(Duration::from_millis(50));
            }
        };
        wait(3);
        assert!(hosts(1).iter().all(|h| h["weight"] == 100), "{:?}", hosts(1));
        assert_eq!((&hosts(1)[2]["name"], &hosts(1)[2]["domain"]), (&json!("h2"), &json!("d2")));
        // 16 requests run; the other 100 need 6,000 tokens and wait for 16 slots of 25 tokens/s.
        let _open: Vec<_> = (0..116).map(|_| send_long_request(&f)).collect();
        wait(2);
        for i in 0..3 {
            assert!(hosts(i).iter().all(|h| h["name"] != "h0"), "{:?}", hosts(i));
        }
    }
    // Guards against a ticket that is spent by a call that reached no service, so that the caller
    // cannot use it for the next attempt.
    unexecuted_call_returns_its_ticket: {
        let f = Fleet::start(&FleetSpec::default(), None);
        let ticket = f.ticket(0);
        let call = |path| f.post(0, path, &[("x-ticket", &ticket)], &json!({}));
        for _ in 0..2 {
            assert_eq!(call("/dead/x").error(), (503, "no_upstream".into(), "not_run".into()));
        }
        assert_eq!(call("/once/x").status, 200);
        assert_eq!(call("/once/x").error(), (409, "ticket_spent".into(), "ran".into()));
        assert_eq!(f.journal("p0", "call").len(), 1, "{:?}", f.journal("p0", "call"));
    }
}
