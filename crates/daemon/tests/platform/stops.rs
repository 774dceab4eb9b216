//! Tests of planned stops in which requests arrive late.

use std::{
    thread,
    time::{Duration, Instant},
};

use yuccawing_platform_standin::{config, replica::Fault};

use crate::{
    fleet::{Fleet, KEY, accounts, receive, send, wait_until},
    run_count,
};

/// Timeout of the routes, which is longer than the time from SIGTERM to the exit.
const ROUTE_TIMEOUT_MS: u64 = 15_000;

fn fleet() -> Fleet {
    let mut f = Fleet::start_unconfigured(1, 1, 0);
    let mut c = config::config(1, &accounts());
    for r in c["Routes"].as_array_mut().unwrap() {
        r["TimeoutMs"] = ROUTE_TIMEOUT_MS.into();
    }
    f.store.put("op/config", &c);
    f.wait_ready();
    f
}

/// Size of an answer that does not fit into the buffers of the kernel, in bytes.
const LARGE_BODY: usize = 14_000_000;

/// Time for which a caller reads nothing, longer than an idle host keeps running after SIGTERM.
const STALL: Duration = Duration::from_millis(4500);

cases! {
    // Guards against a planned stop that cuts answers which the host has and callers still read.
    a_large_answer_is_read_to_its_end_in_a_stop: {
        let mut f = fleet();
        f.plain[0].set_fault(Fault::LargeBody(LARGE_BODY));
        let mut c = f.connect(0);
        let headers = config::caller_headers("large", Some(KEY), ROUTE_TIMEOUT_MS);
        send(&mut c, "GET", "/safe/1", &headers, b"").unwrap();
        wait_until(Duration::from_secs(5), "the request has not run", || {
            run_count(&f.plain, "large") == 1
        });
        thread::sleep(Duration::from_millis(300));
        f.signal(0, "TERM");
        thread::sleep(STALL);
        let a = receive(&mut c).unwrap_or_default();
        assert_eq!((a.status, a.complete, a.body.len()), (200, true, LARGE_BODY));
        // The host ends soon after the last byte, long before the end of its grace.
        let ended = Instant::now();
        wait_until(Duration::from_secs(2), "the host goes on", || {
            f.hosts[0].child.try_wait().unwrap().is_some()
        });
        assert!(ended.elapsed() < Duration::from_secs(2));
    }
    // Guards against requests that are cut without a response at the end of a stop, although they
    // were accepted after it had begun. Some of them must not be repeated.
    a_request_accepted_late_in_a_stop_is_answered: {
        let f = fleet();
        f.plain[0].set_fault(Fault::NoResponse);
        let mut early = f.connect(0);
        let mut late = f.connect(0);
        let headers = |id| config::caller_headers(id, Some(KEY), ROUTE_TIMEOUT_MS);
        send(&mut early, "POST", "/unsafe/1", &headers("early"), b"body").unwrap();
        thread::sleep(Duration::from_millis(200));
        f.signal(0, "TERM");
        thread::sleep(Duration::from_millis(1500));
        send(&mut late, "POST", "/unsafe/1", &headers("late"), b"body").unwrap();
        for (c, id) in [(&mut early, "early"), (&mut late, "late")] {
            let a = receive(c).unwrap_or_default();
            assert_eq!((a.status, a.complete), (502, true), "{id}: it may have run");
            assert_eq!(run_count(&f.plain, id), 1);
        }
    }
}
