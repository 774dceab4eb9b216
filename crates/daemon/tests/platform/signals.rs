//! Tests of replicas that say in their responses that they leave, or that they want a pause.

use std::{
    thread,
    time::{Duration, Instant},
};

use yuccawing_platform_standin::replica::{Fault, Replica};

use crate::fleet::{Fleet, KEY, wait_until};

/// Default of the setting `drain_ms`: time within which a replica that leaves gets no new requests.
const DRAIN: Duration = Duration::from_secs(2);

/// Time after a refusal with `Retry-After` in which requests may still arrive.
const REACTION: Duration = Duration::from_millis(500);

/// Requests of one host that may arrive in a pause after [`REACTION`].
const MAX_IN_PAUSE: usize = 2;

// Number of requests that arrived from `from` to `to`.
fn arrivals(r: &Replica, from: Instant, to: Instant) -> usize {
    r.requests().iter().filter(|r| r.at > from && r.at < to).count()
}

// Sends requests to all hosts in turn for `time`. Returns their statuses.
fn load(f: &Fleet, prefix: &str, path: &str, time: Duration) -> Vec<u16> {
    let begun = Instant::now();
    let mut out = Vec::new();
    while begun.elapsed() < time {
        let n = out.len();
        out.push(f.try_call(n % f.hosts.len(), path, &format!("{prefix}{n}"), Some(KEY)).status);
        thread::sleep(Duration::from_millis(15));
    }
    out
}

cases! {
    // Guards against new requests for a replica that has said that it leaves, at the host that it
    // has said so to and at its peers, while its entry in the store says nothing.
    a_replica_that_says_that_it_leaves_gets_no_new_requests: {
        let f = Fleet::start(2, 2, 0);
        f.plain[0].set_notice(true);
        load(&f, "a", "/safe/1", DRAIN);
        let from = Instant::now();
        let statuses = load(&f, "b", "/safe/1", Duration::from_secs(2));
        assert_eq!(arrivals(&f.plain[0], from, Instant::now()), 0);
        assert!(statuses.iter().all(|s| *s == 200), "{statuses:?}");
    }
    // Guards against a notice that is undone by an entry which says that the replica is ready.
    a_later_entry_does_not_undo_the_notice: {
        let f = Fleet::start(1, 2, 0);
        f.plain[0].set_notice(true);
        load(&f, "a", "/safe/1", DRAIN);
        f.plain[0].set_notice(false);
        f.plain[0].register(&f.store, f.plain[0].address);
        thread::sleep(DRAIN);
        let from = Instant::now();
        load(&f, "b", "/safe/1", Duration::from_secs(1));
        assert_eq!(arrivals(&f.plain[0], from, Instant::now()), 0);
    }
    // Guards against a replica that gets requests from a host which it has asked for a pause, and
    // against one that gets none after the pause.
    a_replica_that_asks_for_a_pause_gets_it: {
        let f = Fleet::start(1, 2, 0);
        f.plain[0].set_fault(Fault::NotRun);
        f.plain[0].set_retry_after(Some("2.5"));
        let mut n = 0;
        wait_until(Duration::from_secs(5), "the replica got no request", || {
            n += 1;
            f.call(0, "/safe/1", &format!("p{n}"), Some(KEY));
            !f.plain[0].requests().is_empty()
        });
        let from = f.plain[0].requests()[0].at;
        f.plain[0].set_fault(Fault::None);
        let statuses = load(&f, "a", "/safe/1", Duration::from_millis(2200));
        let end = from + Duration::from_millis(2500);
        assert!(arrivals(&f.plain[0], from + REACTION, end) <= MAX_IN_PAUSE);
        assert!(statuses.iter().all(|s| *s == 200), "{statuses:?}");
        thread::sleep(end.saturating_duration_since(Instant::now()));
        // Without the other replica, which callers of one host at a time may always get otherwise.
        f.plain[1].set_fault(Fault::NotRun);
        for n in 0..20 {
            assert_eq!(f.call(0, "/safe/1", &format!("b{n}"), Some(KEY)).status, 200);
        }
        assert!(arrivals(&f.plain[0], end, Instant::now()) >= 20, "it was given up");
    }
    // Guards against requests that wait, or are refused without a time to return, while all replicas
    // have asked for a pause.
    requests_during_a_pause_of_all_replicas_get_its_end: {
        let f = Fleet::start(1, 1, 0);
        f.plain[0].set_fault(Fault::NotRun);
        f.plain[0].set_retry_after(Some("3"));
        f.call(0, "/safe/1", "first", Some(KEY));
        let from = Instant::now();
        f.plain[0].set_fault(Fault::None);
        let a = f.call(0, "/safe/1", "second", Some(KEY));
        assert!(from.elapsed() < Duration::from_millis(300), "it waited");
        let wait: f64 = a.headers["retry-after"].parse().unwrap();
        // At most a third of the time that the caller has left.
        assert!(a.status == 503 && wait > 1.0 && wait <= 3.0, "{} {wait}", a.status);
        thread::sleep(Duration::from_secs(3).saturating_sub(from.elapsed()));
        assert_eq!(f.call(0, "/safe/1", "third", Some(KEY)).status, 200);
    }
    // Guards against values that take a replica out of use although they say nothing.
    values_that_are_no_time_change_nothing: {
        let f = Fleet::start(1, 1, 0);
        for value in ["-1", "NaN", "inf", "soon", "", "Fri, 04 Dec 2026 20:00:00 GMT"] {
            f.plain[0].set_fault(Fault::NotRun);
            f.plain[0].set_retry_after(Some(value));
            f.call(0, "/safe/1", &format!("x{value}"), Some(KEY));
            f.plain[0].set_fault(Fault::None);
            assert_eq!(f.call(0, "/safe/1", "next", Some(KEY)).status, 200, "{value:?}");
        }
        assert!(f.log_lines(0).iter().any(|l| l["name"] == "PauseInvalid"));
    }
}
