//! Tests of replicas that name a limit on the requests that they take from all hosts together.

use std::{
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use yuccawing_platform_standin::{config, replica::Replica};

use crate::fleet::{Fleet, KEY, Response, wait_until};

/// Time after a limit was first named by which all hosts must keep it.
const CONTACT: Duration = Duration::from_secs(3);

/// Span in which arrivals are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Requests that may arrive in a window beyond one and a half times the limit.
const SLACK: f64 = 5.0;

// Largest number of requests that arrived in a window after `from`.
fn busiest_window(replica: &Replica, from: Instant) -> usize {
    let mut all: Vec<_> = replica.requests().iter().map(|r| r.at).filter(|t| *t > from).collect();
    all.sort();
    let spans = all.iter().map(|t| all.iter().filter(|x| **x >= *t && **x < *t + WINDOW).count());
    spans.max().unwrap_or(0)
}

// Sends requests to all hosts in turn, `rate` a second, and returns when each was sent with its
// response.
fn load(f: &Arc<Fleet>, path: &'static str, rate: u32, time: Duration) -> Vec<(Instant, Response)> {
    let out = Arc::new(Mutex::new(Vec::new()));
    let begun = Instant::now();
    let mut calls = Vec::new();
    for n in 0.. {
        if begun.elapsed() > time {
            break;
        }
        let (f, out) = (f.clone(), out.clone());
        calls.push(thread::spawn(move || {
            let sent = Instant::now();
            let a = f.call(n % f.hosts.len(), path, &format!("r{n}"), Some(KEY));
            out.lock().unwrap().push((sent, a));
        }));
        thread::sleep(Duration::from_secs(1) / rate);
    }
    calls.into_iter().for_each(|c| c.join().unwrap());
    std::mem::take(&mut *out.lock().unwrap())
}

cases! {
    // Guards against a fleet whose hosts together send a replica more requests than it has named.
    a_named_limit_holds_for_all_hosts_together: {
        let f = Arc::new(Fleet::start(3, 2, 0));
        f.plain[0].set_limit(Some(2.0));
        let begun = Instant::now();
        let calls = load(&f, "/safe/1", 25, Duration::from_secs(9));
        let most = busiest_window(&f.plain[0], begun + CONTACT);
        assert!(most as f64 <= 1.5 * 2.0 * WINDOW.as_secs_f64() + SLACK, "{most} requests in 4 s");
        assert!(most >= 4, "the replica got {most} requests in 4 s");
        let failed = calls.iter().filter(|(_, a)| a.status != 200).count();
        assert_eq!(failed, 0, "although the other replica names no limit");
    }
    // Guards against requests that wait until their deadline when every replica has named a limit.
    requests_beyond_all_limits_are_refused_at_once: {
        let f = Arc::new(Fleet::start(3, 2, 0));
        f.plain.iter().for_each(|r| r.set_limit(Some(4.0)));
        let begun = Instant::now();
        let calls = load(&f, "/safe/1", 30, Duration::from_secs(9));
        for r in &f.plain {
            let most = busiest_window(r, begun + CONTACT);
            assert!(most as f64 <= 1.5 * 4.0 * WINDOW.as_secs_f64() + SLACK, "{most} in 4 s");
        }
        let late = calls.iter().filter(|(sent, _)| *sent > begun + CONTACT);
        let (served, refused): (Vec<_>, Vec<_>) = late.partition(|(_, a)| a.status == 200);
        // Six seconds with two replicas that take four requests a second each.
        assert!(served.len() >= 30, "{} served", served.len());
        assert!(!refused.is_empty());
        for (_, a) in refused {
            assert_eq!(a.status, 503);
            assert!(a.headers.contains_key("retry-after"), "{a:?}");
        }
    }
    // Guards against a limit that outlives the need of the replica.
    a_replica_that_names_no_limit_any_more_is_used_again: {
        let f = Arc::new(Fleet::start(2, 1, 0));
        f.plain[0].set_limit(Some(1.0));
        load(&f, "/safe/1", 20, Duration::from_secs(2));
        f.plain[0].set_limit(None);
        let path = format!("/safe/{}", config::HOST);
        wait_until(Duration::from_secs(5), "requests are refused", || {
            (0..20).all(|n| {
                thread::sleep(Duration::from_millis(10));
                f.call(n % 2, &path, &format!("after{n}"), Some(KEY)).status == 200
            })
        });
    }
}
