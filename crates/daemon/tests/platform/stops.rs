//! Tests of planned stops in which requests arrive late.

use std::{thread, time::Duration};

use yuccawing_platform_standin::{config, replica::Fault};

use crate::{
    fleet::{Fleet, KEY, accounts, receive, send},
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

cases! {
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
