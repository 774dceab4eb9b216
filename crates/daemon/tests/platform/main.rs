//! Tests of the daemon in platform mode. They run real processes and check what callers and
//! stand-ins observe.

mod fleet;

macro_rules! cases {
    ($($name:ident: $body:block)*) => { $(#[test] fn $name() $body)* };
}

mod broken;
mod configs;
mod crashes;
mod entries;
mod limits;
mod listings;
mod orders;
mod restores;
mod signals;
mod stops;
mod versions;

use std::{
    io::Write,
    process::Command,
    thread,
    time::{Duration, Instant},
};

use serde_json::json;
use yuccawing_platform::headers;
use yuccawing_platform_standin::{
    config::{self, Account},
    replica::{Fault, Flood, RecordedOrder, RecordedRequest, Replica},
    store::Mode,
};

use fleet::{Fleet, KEY, Response, accounts, receive, request, send, wait_until};

/// Time within which a change must be in force: the default of the settings `config_ms` and
/// `drain_ms`.
const APPLY_TIMEOUT: Duration = Duration::from_secs(2);

/// Largest memory of a host in MB: half of the smallest host that the product is run on.
const MAX_MEMORY_MB: u64 = 130;

fn run_count(replicas: &[Replica], id: &str) -> usize {
    let all = replicas.iter().flat_map(Replica::requests);
    all.filter(|s| s.ran && s.request.header(headers::REQUEST_ID) == id).count()
}

fn requests(replicas: &[Replica], id: &str) -> Vec<RecordedRequest> {
    let all = replicas.iter().flat_map(Replica::requests);
    all.filter(|s| s.request.header(headers::REQUEST_ID) == id).collect()
}

fn event_texts(id: &str, n: u64) -> String {
    (1..=n).map(|i| Replica::event_text(id, i)).collect()
}

// Requests a stream, and repeats it while the host answers 503: its first load may have to wait
// until the host may send orders.
fn call_stream(f: &Fleet, host: usize, path: &str, id: &str) -> Response {
    let end = Instant::now() + Duration::from_secs(20);
    loop {
        let a = f.call(host, path, id, Some(KEY));
        if a.status != 503 || Instant::now() > end {
            return a;
        }
        thread::sleep(Duration::from_millis(100));
    }
}

cases! {
    // Guards against a key that reaches a replica, an account name set by the caller, and a request
    // or response that is changed on the way.
    a_request_is_passed_on_unchanged: {
        let f = Fleet::start(1, 1, 0);
        let mut c = f.connect(0);
        let (_, mut headers) = request("/unsafe/2f", "r1", Some(KEY));
        headers.push((headers::ACCOUNT.into(), "other".into()));
        headers.push(("X-Own".into(), "kept".into()));
        send(&mut c, "POST", "/unsafe/2f?a=b", &headers, b"the body").unwrap();
        let a = receive(&mut c).unwrap();
        assert_eq!((a.status, a.body.as_str()), (200, "answer to r1"));
        assert_eq!(a.headers[headers::SEAL], "seal-r1");
        let s = &requests(&f.plain, "r1")[0].request;
        assert_eq!((s.method.as_str(), s.path.as_str()), ("POST", "/unsafe/2f?a=b"));
        assert_eq!(s.body, b"the body");
        assert_eq!(s.header(headers::ACCOUNT), "one");
        assert_eq!(s.header("authorization"), "");
        assert_eq!(s.header(headers::EXPECT_REPLICA), "p0");
        assert_eq!(s.header("x-own"), "kept");
        assert!(s.header(headers::DEADLINE_MS).parse::<u64>().unwrap() <= 4000);
    }
    // Guards against invalid requests that reach a replica, and against a 401 or 404 from a host
    // without a configuration.
    invalid_requests_reach_no_replica: {
        let mut f = Fleet::start_unconfigured(1, 1, 0);
        wait_until(Duration::from_secs(10), "the host does not listen", || f.ready(0) != 0);
        assert_eq!(f.call(0, "/safe/1", "r0", Some(KEY)).status, 503);
        assert_eq!(f.ready(0), 503);
        f.store.put("op/config", &config::config(1, &accounts()));
        f.wait_ready();
        assert_eq!(f.call(0, "/safe/1", "r1", Some("other")).status, 401);
        assert_eq!(f.call(0, "/safe/1", "r2", None).status, 401);
        assert_eq!(f.call(0, "/none/1", "r3", Some(KEY)).status, 404);
        assert_eq!(f.call(0, "/open/1", "r4", None).status, 200);
        let mut c = f.connect(0);
        let (_, headers) = request("/unsafe/1", "r5", Some(KEY));
        send(&mut c, "POST", "/unsafe/1", &headers, &[b'x'; 70_000]).unwrap();
        assert_eq!(receive(&mut c).unwrap().status, 413);
        for id in ["r0", "r1", "r2", "r3", "r5"] {
            assert!(requests(&f.plain, id).is_empty(), "{id} reached a replica");
        }
    }
    // Guards against a second run of a request that may run only once, after its response was lost.
    an_unsafe_request_runs_once: {
        let f = Fleet::start(1, 2, 0);
        for (i, fault) in [Fault::Reset(0), Fault::Truncate, Fault::WrongId, Fault::Unsigned]
            .into_iter()
            .enumerate()
        {
            f.plain.iter().for_each(|r| r.set_fault(fault));
            let id = format!("u{i}");
            let a = f.call(0, "/unsafe/1", &id, Some(KEY));
            assert_eq!(a.status, 502, "{fault:?}");
            assert_eq!(run_count(&f.plain, &id), 1, "{fault:?}");
        }
    }
    // Guards against a status that means "did not run" after the response was lost.
    a_lost_response_is_not_reported_as_not_run: {
        let f = Fleet::start(1, 1, 0);
        f.plain[0].set_fault(Fault::NoResponse);
        let mut c = f.connect(0);
        let mut headers = config::caller_headers("m1", Some(KEY), 700);
        headers.push(("X".into(), "y".into()));
        send(&mut c, "POST", "/unsafe/1", &headers, b"").unwrap();
        let a = receive(&mut c).unwrap();
        assert_eq!(a.status, 504);
        assert_eq!(run_count(&f.plain, "m1"), 1);
    }
    // Guards against a safe request that fails with the first replica although another one could
    // serve it.
    a_safe_request_is_retried: {
        let f = Fleet::start(1, 2, 0);
        for (i, fault) in
            [Fault::Error, Fault::Reset(0), Fault::Truncate, Fault::NoResponse, Fault::NotRun]
            .into_iter()
            .enumerate()
        {
            f.plain[0].set_fault(fault);
            for n in 0..4 {
                let id = format!("s{i}-{n}");
                let a = f.call(0, "/safe/1", &id, Some(KEY));
                assert_eq!((a.status, a.body.as_str()), (200, &*format!("answer to {id}")), "{fault:?}");
            }
            f.plain[0].set_fault(Fault::None);
        }
    }
    // Guards against a response which states that a request did not run although a replica that
    // was tried before may have run it.
    a_refusal_after_a_lost_response_is_not_reported_as_not_run: {
        let f = Fleet::start(1, 2, 0);
        f.plain[0].set_fault(Fault::Reset(0));
        f.plain[1].set_fault(Fault::NotRun);
        let mut both = 0;
        for n in 0..12 {
            let id = format!("n{n}");
            let a = f.call(0, "/safe/1", &id, Some(KEY));
            let ran = run_count(&f.plain, &id);
            both += usize::from(ran == 1 && requests(&f.plain, &id).len() == 2);
            assert!(ran == 0 || a.status == 502, "{id} ran and got {}", a.status);
        }
        assert!(both > 0, "no request was sent to both replicas");
    }
    // Guards against a head that breaks off and reaches the caller as a complete, empty response.
    a_cut_head_is_no_response: {
        let f = Fleet::start(1, 1, 1);
        let warm = call_stream(&f, 0, "/stream/a1", "warm");
        assert_eq!(warm.status, 200);
        for bytes in [3, 12, 17, 40, 70, usize::MAX] {
            f.plain[0].set_fault(Fault::CutHead(bytes));
            f.engines[0].set_fault(Fault::CutHead(bytes));
            for path in ["/unsafe/1", "/safe/1", "/once/a1", "/stream/a1"] {
                let id = format!("h{bytes}{}", path.replace('/', "-"));
                let a = f.call(0, path, &id, Some(KEY));
                let ran = run_count(&f.plain, &id) + run_count(&f.engines, &id);
                assert_ne!(a.status, 200, "{path}, {bytes} bytes");
                assert!(ran == 0 || a.status != 503, "{path} ran and got {}", a.status);
            }
        }
    }
    // Guards against the text of an error in the middle of a stream that another replica should have
    // continued, and against a broken stream that looks complete.
    an_error_of_the_next_replica_is_not_part_of_the_stream: {
        for fault in [Fault::Error, Fault::NotRun, Fault::CutHead(60), Fault::WrongId] {
            let f = Fleet::start(1, 0, 2);
            let adapters = ["a1", "a2", "a3", "a4"];
            for adapter in adapters {
                call_stream(&f, 0, &format!("/stream/{adapter}"), &format!("warm-{adapter}"));
            }
            f.engines[0].set_fault(Fault::Reset(2));
            f.engines[1].set_fault(fault);
            let mut begun = 0;
            for adapter in adapters {
                let id = format!("e-{adapter}");
                let a = f.call(0, &format!("/stream/{adapter}"), &id, Some(KEY));
                if a.status == 200 {
                    begun += 1;
                    assert!(!a.complete, "{fault:?}: a broken stream is complete");
                    assert!(event_texts(&id, 5).starts_with(&a.body), "{fault:?}: {}", a.body);
                }
            }
            assert!(begun > 0, "{fault:?}: no stream began");
        }
    }
    // Guards against extra bytes of a replica that are passed on as the next response on a kept
    // connection.
    extra_bytes_are_not_passed_on: {
        let f = Fleet::start(1, 1, 0);
        f.plain[0].set_fault(Fault::ExtraResponse);
        let mut c = f.connect(0);
        for n in 0..20 {
            let id = format!("x{n}");
            let a = f.call_on(&mut c, "/safe/1", &id, Some(KEY));
            assert!(a.status == 502 || a.body == format!("answer to {id}"), "{a:?}");
        }
    }
    // Guards against a late copy of a refusal on a connection that is in use again: it says nothing
    // about the request that is running there, which must not be reported as not run.
    a_repeated_refusal_is_not_taken_for_an_answer: {
        let f = Fleet::start(1, 1, 0);
        f.plain[0].set_fault(Fault::RepeatedRefusal);
        for n in 0..10 {
            let id = format!("rr{n}");
            let a = f.call(0, "/safe/1", &id, Some(KEY));
            let right = a.status == 200 && a.body == format!("answer to {id}");
            assert!(right || a.status == 502, "{a:?}");
        }
    }
    // Guards against a replica that fills the host's memory with a response without end, against
    // one that keeps a request longer than its deadline, and against an untrue "not run".
    endless_responses_are_bounded: {
        let f = Fleet::start(1, 1, 1);
        call_stream(&f, 0, "/once/a1", "warm");
        for flood in Flood::ALL {
            let (replica, path) = match flood {
                Flood::Event => (&f.engines[0], "/once/a1"),
                _ => (&f.plain[0], "/unsafe/1"),
            };
            replica.set_fault(Fault::Flood(flood));
            let ids: Vec<_> = (0..24).map(|n| format!("{flood:?}{n}")).collect();
            thread::scope(|s| {
                for id in &ids {
                    s.spawn(|| {
                        let begun = Instant::now();
                        let a = f.call(0, path, id, Some(KEY));
                        // Streams of several requests may be refused while the replica is ejected.
                        let ran = run_count(std::slice::from_ref(replica), id) > 0;
                        assert!(a.status >= 500, "{flood:?}: {a:?}");
                        assert!(!ran || a.status != 503, "{flood:?}: {a:?}");
                        // The deadline of the request is 4 s.
                        assert!(begun.elapsed() < Duration::from_secs(6), "{flood:?}");
                    });
                }
            });
            replica.set_fault(Fault::None);
            let open = || {
                ids.iter().flat_map(|id| requests(std::slice::from_ref(replica), id))
                    .any(|r| r.ran && !r.cancelled)
            };
            wait_until(Duration::from_secs(2), "the connection stays open", || !open());
            thread::sleep(Duration::from_millis(1600));
        }
        let peak = f.peak_memory_mb(0);
        assert!(peak < MAX_MEMORY_MB, "{peak} MB");
    }
    // Guards against a slow but sound stream that is cut because no other engine can continue it.
    a_slow_stream_is_not_cut: {
        let f = Fleet::start(1, 0, 1);
        call_stream(&f, 0, "/stream/a1", "warm");
        f.engines[0].set_fault(Fault::Pause(2600));
        let a = f.call(0, "/stream/a1", "ss1", Some(KEY));
        assert_eq!((a.status, a.complete, a.body), (200, true, event_texts("ss1", 5)));
        assert_eq!(run_count(&f.engines, "ss1"), 1);
    }
    // Guards against a stalled stream that never ends because its engine sends a comment now and
    // then. A resumable one goes on at another engine; the other ends at its deadline.
    a_stalled_stream_ends: {
        let f = Fleet::start(1, 0, 2);
        for path in ["/stream/a1", "/once/a1"] {
            call_stream(&f, 0, path, &format!("warm{path}"));
        }
        f.engines[0].set_fault(Fault::Stall);
        f.engines[1].set_fault(Fault::Stall);
        let begun = Instant::now();
        let a = f.call(0, "/once/a1", "st1", Some(KEY));
        assert!(!a.complete, "{a:?}");
        assert!(begun.elapsed() < Duration::from_secs(5));
        f.engines[1].set_fault(Fault::None);
        for n in 0..4 {
            let a = call_stream(&f, 0, "/stream/a1", &format!("sr{n}"));
            let events: String = a.body.split_inclusive("\n\n").filter(|e| *e != ":\n\n").collect();
            assert_eq!((a.complete, events), (true, event_texts(&format!("sr{n}"), 5)));
        }
    }
    // Guards against a response without a length that is cut or rejected.
    a_response_may_end_with_its_connection: {
        let f = Fleet::start(1, 1, 0);
        f.plain[0].set_fault(Fault::Unframed);
        let a = f.call(0, "/safe/1", "n1", Some(KEY));
        assert_eq!((a.status, a.body.as_str(), a.complete), (200, "answer to n1", true));
    }
    // Guards against a stream that fails because no engine has its adapter yet, and against a lost
    // event.
    a_stream_waits_for_its_adapter: {
        let f = Fleet::start(1, 0, 1);
        let a = call_stream(&f, 0, "/stream/a7", "t1");
        assert_eq!((a.status, a.complete), (200, true));
        assert_eq!(a.body, event_texts("t1", 5));
        assert_eq!(f.engines[0].adapters(), ["a7@1"]);
        // The second request finds the adapter loaded.
        let orders = f.engines[0].orders().len();
        assert_eq!(f.call(0, "/stream/a7", "t2", Some(KEY)).status, 200);
        assert_eq!(f.engines[0].orders().len(), orders);
    }
    // Guards against events that are missing, duplicated or truncated when an engine ends a stream
    // early.
    a_stream_goes_on_at_another_engine: {
        let f = Fleet::start(1, 0, 2);
        for adapter in ["a1", "a2", "a3", "a4"] {
            call_stream(&f, 0, &format!("/stream/{adapter}"), &format!("warm-{adapter}"));
        }
        for (i, fault) in [Fault::Reset(2), Fault::Truncate, Fault::Error].into_iter().enumerate() {
            f.engines[0].set_fault(fault);
            for adapter in ["a1", "a2", "a3", "a4"] {
                let id = format!("g{i}{adapter}");
                let a = call_stream(&f, 0, &format!("/stream/{adapter}"), &id);
                assert_eq!((a.status, a.complete), (200, true), "{fault:?} {id}");
                assert_eq!(a.body, event_texts(&id, 5));
            }
            f.engines[0].set_fault(Fault::None);
        }
    }
    // Guards against a truncated stream that looks complete, and against a second run of a request
    // that must not be resumed.
    a_cut_stream_does_not_look_complete: {
        let f = Fleet::start(1, 0, 1);
        call_stream(&f, 0, "/once/a1", "warm");
        for (i, fault) in [Fault::Reset(2), Fault::Truncate].into_iter().enumerate() {
            f.engines[0].set_fault(fault);
            let id = format!("c{i}");
            let a = f.call(0, "/once/a1", &id, Some(KEY));
            assert!(!a.complete, "{fault:?}: {a:?}");
            assert!(
                event_texts(&id, 5).starts_with(&a.body),
                "{fault:?}: part of an event was passed on",
            );
            assert_eq!(run_count(&f.engines, &id), 1);
            f.engines[0].set_fault(Fault::None);
            thread::sleep(Duration::from_millis(1600));
        }
    }
    // Guards against a stream without a length that is rejected, and against one that broke off
    // within an event or before the first one and is passed on as complete.
    a_stream_may_end_with_its_connection: {
        let f = Fleet::start(1, 0, 1);
        call_stream(&f, 0, "/once/a1", "warm");
        f.engines[0].set_fault(Fault::Unframed);
        let a = f.call(0, "/once/a1", "w", Some(KEY));
        assert_eq!((a.status, a.complete), (200, true));
        assert_eq!(a.body, event_texts("w", 5));
        for after in [0, 1, 3] {
            f.engines[0].set_fault(Fault::UnframedCut(after));
            let id = format!("x{after}");
            let a = f.call(0, "/once/a1", &id, Some(KEY));
            assert!(a.status == 502 || !a.complete, "after {after} events: {a:?}");
            let events = if a.status == 200 { a.body.as_str() } else { "" };
            assert!(event_texts(&id, 5).starts_with(events), "part of an event was passed on");
            f.engines[0].set_fault(Fault::None);
            thread::sleep(Duration::from_millis(1600));
        }
    }
    // Guards against a stream without a length that ends early although another engine could go on.
    an_unframed_stream_goes_on_at_another_engine: {
        let f = Fleet::start(1, 0, 2);
        for adapter in ["a1", "a2", "a3", "a4"] {
            call_stream(&f, 0, &format!("/stream/{adapter}"), &format!("warm-{adapter}"));
        }
        for after in [0, 2] {
            f.engines[0].set_fault(Fault::UnframedCut(after));
            for adapter in ["a1", "a2", "a3", "a4"] {
                let id = format!("g{after}{adapter}");
                let a = call_stream(&f, 0, &format!("/stream/{adapter}"), &id);
                assert_eq!((a.status, a.complete), (200, true), "{id}");
                assert_eq!(a.body, event_texts(&id, 5));
            }
            f.engines[0].set_fault(Fault::None);
        }
    }
    // Guards against a replica that keeps working after the caller has disconnected.
    a_caller_who_leaves_ends_the_work: {
        let f = Fleet::start(1, 1, 0);
        f.plain[0].set_fault(Fault::NoResponse);
        let mut c = f.connect(0);
        let (_, headers) = request("/unsafe/1", "l1", Some(KEY));
        send(&mut c, "POST", "/unsafe/1", &headers, b"").unwrap();
        wait_until(Duration::from_secs(5), "the request did not arrive", || {
            run_count(&f.plain, "l1") == 1
        });
        drop(c);
        wait_until(Duration::from_millis(500), "the replica still runs the request", || {
            requests(&f.plain, "l1")[0].cancelled
        });
    }
    // Guards against a withdrawn key that still works, with and without a reachable store.
    a_withdrawn_key_stops_working: {
        let f = Fleet::start(2, 1, 0);
        assert_eq!(f.call(0, "/safe/1", "k1", Some(KEY)).status, 200);
        let other = Account { name: "one".into(), keys: vec!["next".into()], rate: 0 };
        f.store.put("op/config", &config::config(2, &[other]));
        for host in 0..2 {
            wait_until(APPLY_TIMEOUT, "the key still works", || {
                f.call(host, "/safe/1", "k2", Some(KEY)).status == 401
            });
            assert_eq!(f.call(host, "/safe/1", "k3", Some("next")).status, 200);
        }
        for mode in [Mode::Silent, Mode::Unavailable, Mode::Reset] {
            f.store.set_mode(mode);
            // The hosts run with `revoke_ms = 2000`.
            wait_until(Duration::from_secs(2), "keys work with an old configuration", || {
                f.call(0, "/safe/1", "k4", Some("next")).status == 503
            });
            assert_eq!(f.call(0, "/open/1", "k5", None).status, 200, "the route is public");
            f.store.set_mode(Mode::Healthy);
            wait_until(Duration::from_secs(5), "the host does not recover", || {
                f.call(0, "/safe/1", "k6", Some("next")).status == 200
            });
        }
    }
    // Guards against a configuration that is replaced by an older or an unreadable one.
    an_older_configuration_is_ignored: {
        let f = Fleet::start(1, 1, 0);
        f.store.put("op/config", &config::config(5, &accounts()));
        thread::sleep(Duration::from_millis(800));
        f.store.put("op/config", &config::config(3, &[]));
        thread::sleep(Duration::from_millis(800));
        assert_eq!(f.call(0, "/safe/1", "v1", None).status, 401);
        f.store.put_bytes("op/config", b"\xff{");
        thread::sleep(Duration::from_millis(800));
        assert_eq!(f.call(0, "/safe/1", "v2", Some(KEY)).status, 200);
        let lines = f.log_lines(0);
        assert!(lines.iter().any(|l| l["name"] == "ItemInvalid"));
        assert!(lines.iter().any(|l| l["name"] == "ConfigOld"));
    }
    // Guards against new requests for a replica that is draining or whose entry is gone.
    a_leaving_replica_gets_no_new_work: {
        let f = Fleet::start(1, 3, 0);
        f.plain[0].leave();
        f.plain[0].register(&f.store, f.plain[0].address);
        f.store.remove("servers/p1");
        thread::sleep(APPLY_TIMEOUT);
        let before: Vec<_> = f.plain.iter().map(|r| r.requests().len()).collect();
        for n in 0..12 {
            assert_eq!(f.call(0, "/safe/1", &format!("d{n}"), Some(KEY)).status, 200);
        }
        assert_eq!(f.plain[0].requests().len(), before[0]);
        assert_eq!(f.plain[1].requests().len(), before[1]);
    }
    // Guards against malformed entries that stop the host or receive requests.
    invalid_entries_are_ignored: {
        let f = Fleet::start_unconfigured(1, 1, 0);
        f.store.put_bytes("servers/x1", b"\x00\x01");
        f.store.put("servers/x2", &json!({ "Service": config::PLAIN_SERVICE }));
        f.store.put("servers/x3", &json!({
            "Service": config::PLAIN_SERVICE, "Address": "nowhere", "Zone": "a", "Slots": 6,
            "State": "ready", "Version": "v1",
        }));
        f.store.put("servers/x4", &json!({
            "Service": config::PLAIN_SERVICE, "Address": "127.0.0.1:9", "Zone": "a", "Slots": "six",
            "State": "odd", "Version": "v1",
        }));
        f.store.put("op/config", &config::config(1, &accounts()));
        wait_until(Duration::from_secs(20), "the host is not ready", || f.ready(0) == 200);
        for n in 0..8 {
            assert_eq!(f.call(0, "/safe/1", &format!("b{n}"), Some(KEY)).status, 200);
        }
    }
    // Guards against a request that runs at a replica which reuses the address of another one that
    // has exited.
    another_replica_at_the_address_runs_nothing: {
        let f = Fleet::start(1, 1, 0);
        let address = f.plain[0].address;
        f.store.put("servers/gone", &json!({
            "Service": config::PLAIN_SERVICE, "Address": address.to_string(), "Zone": "a",
            "Slots": 6, "Version": "v1",
            "State": "ready", "born": 9,
        }));
        f.store.remove("servers/p0");
        thread::sleep(APPLY_TIMEOUT);
        let a = f.call(0, "/unsafe/1", "w1", Some(KEY));
        assert_eq!(a.status, 503);
        assert_eq!(run_count(&f.plain, "w1"), 0);
    }
    // Guards against two hosts that send orders to one engine, fencing tokens that decrease, and
    // too many adapters.
    one_host_orders_an_engine: {
        let f = Fleet::start(3, 0, 2);
        thread::sleep(Duration::from_millis(1500));
        for n in 0..36 {
            let a = call_stream(&f, n % 3, &format!("/stream/a{n}"), &format!("o{n}"));
            assert_eq!(a.status, 200);
        }
        for e in &f.engines {
            let orders: Vec<RecordedOrder> = e.orders();
            assert!(!orders.is_empty());
            let holder = orders[0].body["Holder"].clone();
            assert!(orders.iter().all(|o| o.body["Holder"] == holder));
            let fences: Vec<_> = orders.iter().map(|o| o.body["Fence"].as_u64().unwrap()).collect();
            assert!(fences.is_sorted(), "{fences:?}");
            assert_eq!(e.over_capacity(), None);
        }
    }
    // Guards against requests that use an older adapter version after a newer one was announced.
    a_new_version_is_used: {
        let f = Fleet::start(1, 0, 1);
        call_stream(&f, 0, "/stream/a1", "n1");
        let (key, value) = config::version_entry("a1", 2);
        f.store.put(&key, &value);
        thread::sleep(APPLY_TIMEOUT);
        let a = call_stream(&f, 0, "/stream/a1", "n2");
        assert_eq!(a.status, 200);
        assert_eq!(f.engines[0].adapters(), ["a1@2"]);
        let s = requests(&f.engines, "n2");
        assert!(s.iter().all(|s| s.request.header(headers::EXPECT_VERSION) == "2"));
    }
    // Guards against an account that gets more than its limit, and a 429 without `Retry-After`.
    a_limit_holds_over_all_hosts: {
        let f = Fleet::start(2, 1, 0);
        let limited = Account { name: "one".into(), keys: vec![KEY.into()], rate: 400 };
        f.store.put("op/config", &config::config(2, &[limited]));
        thread::sleep(APPLY_TIMEOUT);
        let begun = Instant::now();
        let (mut served, mut refused) = (0.0, 0);
        for n in 0..120 {
            let a = f.call(n % 2, "/safe/1", &format!("q{n}"), Some(KEY));
            match a.status {
                200 => served += 200.0,
                429 => {
                    refused += 1;
                    assert!(a.headers.contains_key("retry-after"), "{a:?}");
                }
                s => panic!("status {s}"),
            }
        }
        let most = (400.0 * begun.elapsed().as_secs_f64() + 400.0) * 1.25 + 1000.0;
        assert!(refused > 0 && served <= most, "{served} of {most}");
    }
    // Guards against lookups that return a killed host, and against a fleet that does not list it
    // again after its restart.
    a_killed_host_is_not_offered: {
        let mut f = Fleet::start(3, 1, 0);
        let lost = f.hosts.remove(2);
        drop(lost);
        wait_until(Duration::from_secs(5), "lookups still return the killed host", || {
            f.fronts(0).len() == 2
        });
        assert_eq!(f.call(1, "/safe/1", "z1", Some(KEY)).status, 200);
        let back = f.spawn_host(2, 3);
        f.hosts.push(back);
        wait_until(Duration::from_secs(10), "lookups do not return the restarted host", || {
            f.fronts(0).len() == 3
        });
    }
    // Guards against responses that a graceful shutdown truncates, and against a shutdown that
    // hangs.
    an_orderly_stop_cuts_nothing: {
        let mut f = Fleet::start(2, 0, 1);
        call_stream(&f, 0, "/stream/a1", "warm");
        let mut c = f.connect(0);
        let (_, headers) = request("/stream/a1", "y1", Some(KEY));
        send(&mut c, "POST", "/stream/a1", &headers, b"").unwrap();
        let pid = f.hosts[0].child.id().to_string();
        assert!(Command::new("kill").args(["-TERM", &pid]).status().unwrap().success());
        let a = receive(&mut c).unwrap();
        assert_eq!((a.status, a.complete, a.body), (200, true, event_texts("y1", 5)));
        wait_until(Duration::from_secs(4), "lookups still return the stopping host", || {
            f.fronts(1).len() == 1
        });
        let begun = Instant::now();
        assert!(f.hosts[0].child.wait().unwrap().success());
        assert!(begun.elapsed() < Duration::from_secs(8));
        let names: Vec<_> = f.log_lines(0).iter().map(|l| l["name"].to_string()).collect();
        assert!(names.iter().any(|n| n.contains("StopDrained")), "{names:?}");
    }
    // Guards against a shutdown that cuts a request which was accepted before it and whose body is
    // still arriving.
    a_stop_waits_for_a_request_that_is_being_read: {
        let mut f = Fleet::start(1, 1, 0);
        let mut c = f.connect(0);
        let (_, headers) = request("/unsafe/1", "sl1", Some(KEY));
        let mut head = String::from("POST /unsafe/1 HTTP/1.1\r\n");
        for (n, v) in headers.iter().filter(|(n, _)| !n.eq_ignore_ascii_case(headers::DEADLINE_MS)) {
            head.push_str(&format!("{n}: {v}\r\n"));
        }
        head.push_str("Content-Length: 4\r\n\r\nbo");
        c.write_all(head.as_bytes()).unwrap();
        thread::sleep(Duration::from_millis(300));
        f.signal(0, "TERM");
        thread::sleep(Duration::from_millis(3500));
        c.write_all(b"dy").unwrap();
        let a = receive(&mut c).unwrap();
        assert_eq!((a.status, a.body.as_str()), (200, "answer to sl1"));
        assert!(f.hosts[0].child.wait().unwrap().success());
    }
    // Guards against a failed request whose cause is not in the log.
    a_failure_is_logged_with_its_request_id: {
        let f = Fleet::start(1, 1, 0);
        f.plain[0].set_fault(Fault::Reset(0));
        assert_eq!(f.call(0, "/unsafe/1", "f1", Some(KEY)).status, 502);
        thread::sleep(Duration::from_millis(300));
        let lines = f.log_lines(0);
        let names: Vec<_> =
            lines.iter().filter(|l| l["id"] == "f1").map(|l| l["name"].as_str().unwrap()).collect();
        assert_eq!(names, ["RequestPlaced", "AttemptFailed", "RequestEnded"]);
        let failed = lines.iter().find(|l| l["name"] == "AttemptFailed").unwrap();
        assert_eq!(failed["replica"], "p0");
    }
    // Guards against a key that still works after it was withdrawn while the host was paused. A
    // resumed host reads digests that were buffered in the socket, and the ages in them do not
    // include the time in the buffer.
    a_pause_does_not_bring_a_withdrawn_key_back: {
        let f = Fleet::start(3, 1, 0);
        wait_until(APPLY_TIMEOUT, "the hosts do not serve", || {
            (0..3).all(|h| f.call(h, "/safe/1", "p0", Some(KEY)).status == 200)
        });
        // Only one of three hosts reads the store, so two of the paused ones depend on digests.
        for host in 0..3 {
            let version = 2 + host as u64;
            let key = |n: u64| if n == 2 { KEY.to_owned() } else { format!("key{}", n - 1) };
            f.signal(host, "STOP");
            thread::sleep(Duration::from_millis(400));
            let next = Account { name: "one".into(), keys: vec![format!("key{version}")], rate: 0 };
            f.store.put("op/config", &config::config(version, &[next]));
            // The hosts run with `revoke_ms = 2000`.
            thread::sleep(Duration::from_millis(2300));
            f.signal(host, "CONT");
            let end = Instant::now() + Duration::from_millis(1200);
            while Instant::now() < end {
                let status = f.call(host, "/safe/1", "p1", Some(&key(version))).status;
                assert!(status == 401 || status == 503, "host {host} answers {status}");
            }
            wait_until(APPLY_TIMEOUT, "the new key does not work", || {
                f.call(host, "/safe/1", "p2", Some(&format!("key{version}"))).status == 200
            });
        }
    }
    // Guards against seeds that stay outdated when the settings file changes without a signal, and
    // against an invalid file that stops the host.
    changed_settings_are_reloaded: {
        let f = Fleet::start(1, 1, 0);
        let good = f.settings(0);
        f.write_settings(0, &good.replace("seeds = [", "seeds = [\"127.0.0.9:8229\", "));
        wait_until(Duration::from_secs(6), "the change is not loaded", || {
            f.log_lines(0).iter().any(|l| l["name"] == "Reloaded" && l["seeds"] == 2)
        });
        f.write_settings(0, "name = 7");
        wait_until(Duration::from_secs(6), "the invalid file is not reported", || {
            f.log_lines(0).iter().any(|l| l["name"] == "ReloadFailed")
        });
        assert_eq!(f.call(0, "/safe/1", "e1", Some(KEY)).status, 200);
    }
}
