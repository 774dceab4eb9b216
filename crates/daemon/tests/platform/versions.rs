//! Tests of streams while engines of several software versions serve side by side. What two versions
//! write does not fit together, and engines do not check it.

use std::{
    thread,
    time::{Duration, Instant},
};

use yuccawing_platform::headers;
use yuccawing_platform_standin::replica::{Fault, Replica};

use crate::{
    call_stream, event_texts,
    fleet::{Fleet, KEY, Response, receive, request, send, wait_until},
    run_count,
};

/// Adapters of the streams of one test.
const ADAPTERS: [&str; 6] = ["a1", "a2", "a3", "a4", "a5", "a6"];

// Fleet in which the engines have these versions and have loaded their adapters.
fn fleet(hosts: usize, versions: &[&str]) -> Fleet {
    let mut f = Fleet::start(hosts, 0, versions.len());
    set_versions(&f, versions);
    f.restart_all();
    warm(&f);
    f
}

fn set_versions(f: &Fleet, versions: &[&str]) {
    for (e, v) in f.engines.iter().zip(versions) {
        e.set_version(v);
        e.register(&f.store, e.address);
    }
}

fn warm(f: &Fleet) {
    for a in ADAPTERS {
        assert_eq!(call_stream(f, 0, &format!("/stream/{a}"), &format!("warm-{a}")).status, 200);
    }
}

fn set_faults(f: &Fleet, fault: Fault) {
    f.engines.iter().for_each(|e| e.set_fault(fault));
}

// As [`fleet`], with two hosts and a history of the store that covers the life of a stream.
fn fleet_with_history(versions: &[&str]) -> Fleet {
    let f = fleet(2, versions);
    f.renew_entries();
    f.engines.iter().for_each(Replica::forget_blocks);
    f
}

// A request that only the engine `at` runs; the others are full.
fn at_engine<T>(f: &Fleet, at: usize, fault: Fault, send: impl FnOnce() -> T) -> T {
    f.engines.iter().for_each(|e| e.set_fault(Fault::NotRun));
    f.engines[at].set_fault(fault);
    let out = send();
    set_faults(f, Fault::None);
    out
}

// A stream that is cut after at least one event at the engine `at`, with the number of its last one.
fn cut_stream_at(f: &Fleet, at: usize, path: &str, id: &str) -> u64 {
    let r = at_engine(f, at, Fault::Reset(2), || {
        // An engine that has failed is avoided for a moment.
        let mut r = f.call(0, path, id, Some(KEY));
        wait_until(Duration::from_secs(10), "the engine gets no stream", || {
            if r.status == 503 {
                r = f.call(0, path, id, Some(KEY));
            }
            r.status != 503
        });
        r
    });
    assert_eq!((r.status, r.complete), (200, false), "{r:?}");
    let last = (1..5).rev().find(|n| r.body == event_texts(id, *n));
    last.expect("whole events in order")
}

// A complete stream at the engine `at`, which keeps its prompt.
fn run_stream_at(f: &Fleet, at: usize, path: &str, id: &str) {
    at_engine(f, at, Fault::None, || {
        wait_until(Duration::from_secs(10), "the engine gets no stream", || {
            call_stream(f, 0, path, id).status == 200
        });
    });
}

// How host `i` found where the stream of a take-up began.
fn take_up_source(f: &Fleet, i: usize, id: &str) -> String {
    let find = || {
        let lines = f.log_lines(i);
        let line = lines.into_iter().find(|l| l["name"] == "StreamTakenUp" && l["id"] == id)?;
        Some(line["source"].as_str().unwrap_or_default().to_owned())
    };
    wait_until(Duration::from_secs(5), "the take-up is not logged", || find().is_some());
    find().unwrap()
}

// Versions of the engines that ran the request.
fn versions_run<'a>(f: &Fleet, versions: &[&'a str], id: &str) -> Vec<&'a str> {
    let ran =
        f.engines.iter().zip(versions).filter(|(e, _)| run_count(std::slice::from_ref(*e), id) > 0);
    ran.map(|(_, v)| *v).collect()
}

// Hosts with which each stream is unknown to some: more than the one that passes it on and those that
// it tells.
const MANY_HOSTS: usize = 7;

// As [`cut_stream`], for a caller that waits for longer than the timeout of its route.
fn cut_long_stream(f: &Fleet, host: usize, path: &str, id: &str) -> u64 {
    let (method, mut fields) = request(path, id, Some(KEY));
    fields.retain(|(n, _)| n != headers::DEADLINE_MS);
    fields.push((headers::DEADLINE_MS.into(), "30000".into()));
    set_faults(f, Fault::Reset(2));
    let mut c = f.connect(host);
    send(&mut c, method, path, &fields, b"body").unwrap();
    let a = receive(&mut c).unwrap();
    set_faults(f, Fault::None);
    assert_eq!((a.status, a.complete), (200, false), "{a:?}");
    (1..5).rev().find(|n| a.body == event_texts(id, *n)).expect("whole events in order")
}

// A stream that is cut after at least one event, with the number of its last one.
fn cut_stream(f: &Fleet, host: usize, path: &str, id: &str) -> (Response, u64) {
    set_faults(f, Fault::Reset(2));
    let a = f.call(host, path, id, Some(KEY));
    set_faults(f, Fault::None);
    assert_eq!((a.status, a.complete), (200, false), "{a:?}");
    let last = (1..5).rev().find(|n| a.body == event_texts(id, *n));
    (a, last.expect("whole events in order"))
}

cases! {
    // Guards against a stream that breaks off at one engine and goes on, within the same response, at
    // an engine of another software version.
    a_response_is_not_joined_from_two_versions: {
        let versions = ["v1", "v2"];
        let f = fleet(1, &versions);
        for a in ADAPTERS {
            let id = format!("cut-{a}");
            cut_stream(&f, 0, &format!("/stream/{a}"), &id);
            assert_eq!(versions_run(&f, &versions, &id).len(), 1, "{id}");
        }
    }
    // Guards against a stream that its caller takes up at another host and that goes on at an engine
    // of another software version, or not at all although its version serves.
    a_stream_is_taken_up_at_its_version: {
        let versions = ["v1", "v1", "v2", "v2"];
        let f = fleet(3, &versions);
        for (i, a) in ADAPTERS.into_iter().enumerate() {
            let (id, path) = (format!("first-{a}"), format!("/stream/{a}"));
            let (_, last) = cut_stream(&f, i % 3, &path, &id);
            let begun = versions_run(&f, &versions, &id);
            let again = format!("again-{a}");
            // The engines that broke the stream are avoided for a moment.
            let end = Instant::now() + Duration::from_secs(8);
            let taken = loop {
                let r = f.take_up(1, &path, &again, &id, last);
                if r.status != 503 || Instant::now() > end {
                    break r;
                }
                thread::sleep(Duration::from_millis(100));
            };
            assert_eq!((taken.status, taken.complete), (200, true), "{a}: {taken:?}");
            assert_eq!(versions_run(&f, &versions, &again), begun[..1], "{a}");
        }
    }
    // Pattern: a release, and callers that wait for longer than the timeout of their route. Guards
    // against a stream that goes on at the only version which a host has listed for some seconds,
    // although it began at a version that has left and other hosts know it.
    a_stream_does_not_go_on_at_the_version_that_is_left: {
        let f = fleet(MANY_HOSTS, &["v1", "v1"]);
        let mut begun = Vec::new();
        for (i, a) in ADAPTERS.into_iter().enumerate() {
            let id = format!("first-{a}");
            begun.push((a, cut_long_stream(&f, i % 3, &format!("/stream/{a}"), &id)));
        }
        set_versions(&f, &["v2", "v2"]);
        // The route's timeout is 4 s.
        thread::sleep(Duration::from_secs(7));
        for (a, last) in begun {
            for host in 0..MANY_HOSTS {
                let again = format!("again-{a}-{host}");
                let r = f.take_up(host, &format!("/stream/{a}"), &again, &format!("first-{a}"), last);
                assert_eq!((r.status, run_count(&f.engines, &again)), (503, 0), "{again}: {r:?}");
            }
        }
        assert_eq!(call_stream(&f, 0, "/stream/a1", "new").status, 200);
    }
    // Pattern: a host stands still while engines of a new version join. Guards against a stream that
    // began there through other hosts and goes on at the old version, the only one that this host
    // has listed.
    a_host_that_stood_still_does_not_know_the_version: {
        let versions = ["v1", "v2"];
        let mut f = Fleet::start(MANY_HOSTS, 0, 2);
        f.store.remove("servers/e1");
        set_versions(&f, &["v1"]);
        f.restart_all();
        warm(&f);
        // The host takes a version for the only one after some seconds.
        thread::sleep(Duration::from_secs(7));
        f.signal(0, "STOP");
        f.engines[1].set_version("v2");
        f.engines[1].register(&f.store, f.engines[1].address);
        f.engines[0].set_fault(Fault::NotRun);
        let mut begun = Vec::new();
        for a in ADAPTERS {
            let id = format!("first-{a}");
            wait_until(Duration::from_secs(20), "the new version serves no stream", || {
                f.engines[1].set_fault(Fault::Reset(2));
                let r = f.call(1, &format!("/stream/{a}"), &id, Some(KEY));
                f.engines[1].set_fault(Fault::None);
                r.status == 200
            });
            assert_eq!(versions_run(&f, &versions, &id), ["v2"]);
            begun.push(a);
        }
        f.engines[0].set_fault(Fault::None);
        f.signal(0, "CONT");
        for a in begun {
            let again = format!("again-{a}");
            f.take_up(0, &format!("/stream/{a}"), &again, &format!("first-{a}"), 1);
            let ran = versions_run(&f, &versions, &again);
            assert!(!ran.contains(&"v1"), "{again} went on at {ran:?}");
        }
    }
    // Guards against a take-up that is served by any engine because all hosts that knew the version
    // of the stream were killed, or that waits for its deadline.
    a_stream_of_an_unknown_version_is_refused: {
        let versions = ["v1", "v2"];
        let mut f = fleet(2, &versions);
        let (_, last) = cut_stream(&f, 0, "/stream/a1", "lost");
        f.restart_all();
        warm(&f);
        f.engines.iter().for_each(Replica::forget_blocks);
        let begun = Instant::now();
        let r = f.take_up(0, "/stream/a1", "again", "lost", last);
        assert!(begun.elapsed() < Duration::from_secs(1), "{:?}", begun.elapsed());
        assert_eq!(r.status, 503, "{r:?}");
        assert_eq!(run_count(&f.engines, "again"), 0);
        let other = f.take_up(1, "/stream/a2", "odd", "never-sent", 2);
        assert_eq!((other.status, run_count(&f.engines, "odd")), (503, 0));
        assert_eq!(call_stream(&f, 1, "/stream/a1", "new").status, 200);
    }
    // Guards against refused take-ups after the loss of all hosts although the engine that began the
    // stream still keeps its prompt.
    an_engine_that_keeps_the_prompt_shows_the_version: {
        let versions = ["v1", "v2"];
        let mut f = fleet_with_history(&versions);
        let mut begun = Vec::new();
        for a in ADAPTERS {
            let id = format!("lost-{a}");
            let (_, last) = cut_stream(&f, 0, &format!("/stream/{a}"), &id);
            begun.push((a, versions_run(&f, &versions, &id), last));
        }
        f.restart_all();
        // The engines that broke the streams are not avoided by the new processes.
        for (a, versions_begun, last) in begun {
            let again = format!("again-{a}");
            let r = f.take_up(1, &format!("/stream/{a}"), &again, &format!("lost-{a}"), last);
            assert_eq!((r.status, r.complete), (200, true), "{a}: {r:?}");
            assert_eq!(versions_run(&f, &versions, &again), versions_begun, "{a}");
        }
    }
    // Guards against take-ups that are refused because an engine of the same version has ended and
    // does not say what it kept.
    an_ended_engine_of_the_same_version_does_not_hide_it: {
        let versions = ["v1", "v2", "v2"];
        let mut f = fleet_with_history(&versions);
        let last = cut_stream_at(&f, 2, "/stream/a1", "lost");
        f.restart_all();
        f.engines[1].end();
        let r = f.take_up(1, "/stream/a1", "again", "lost", last);
        assert_eq!((r.status, r.complete), (200, true), "{r:?}");
        assert_eq!(versions_run(&f, &versions, "again"), ["v2"]);
    }
    // Pattern: a session has had a turn at one version, its next turn begins at another one, and the
    // engine ends as all hosts are lost. Guards against a stream that goes on at the version of the
    // earlier turn, which still keeps the prompt of the session.
    an_engine_that_has_left_may_have_begun_the_stream: {
        let versions = ["v1", "v2"];
        let mut f = fleet_with_history(&versions);
        run_stream_at(&f, 1, "/stream/a1", "turn");
        let last = cut_stream_at(&f, 0, "/stream/a1", "lost");
        f.engines[0].withdraw();
        f.store.remove("servers/e0");
        f.restart_all();
        let r = f.take_up(1, "/stream/a1", "again", "lost", last);
        let ran = versions_run(&f, &versions, "again");
        assert!((r.status, ran.len()) == (503, 0), "went on at {ran:?}: {r:?}");
        assert_eq!(take_up_source(&f, 1, "again"), "engine_ended");
    }
    // Pattern: an engine of a new version joins, begins streams and crashes, while a host does not
    // know of them. Guards against a listed engine that has ended and counts as one that keeps
    // nothing, so that its streams go on at the old version.
    a_crashed_engine_may_have_begun_the_stream: {
        let versions = ["v1", "v2"];
        let mut f = fleet_with_history(&versions);
        run_stream_at(&f, 0, "/stream/a1", "turn");
        let last = cut_stream_at(&f, 1, "/stream/a1", "lost");
        f.restart_all();
        f.engines[1].withdraw();
        let r = f.take_up(1, "/stream/a1", "again", "lost", last);
        let ran = versions_run(&f, &versions, "again");
        assert!((r.status, ran.len()) == (503, 0), "went on at {ran:?}: {r:?}");
        assert_eq!(take_up_source(&f, 1, "again"), "engine_ended");
    }
    // Guards against streams that go on after the loss of all hosts although nothing shows which
    // engines have ended, since the store has discarded its history.
    a_discarded_history_proves_nothing: {
        let versions = ["v1", "v2"];
        let mut f = fleet_with_history(&versions);
        run_stream_at(&f, 1, "/stream/a1", "turn");
        let last = cut_stream_at(&f, 0, "/stream/a1", "lost");
        f.engines[0].withdraw();
        f.store.remove("servers/e0");
        f.store.compact();
        f.restart_all();
        let r = f.take_up(1, "/stream/a1", "again", "lost", last);
        assert_eq!((r.status, run_count(&f.engines, "again")), (503, 0), "{r:?}");
        assert_eq!(take_up_source(&f, 1, "again"), "history_unknown");
    }
    // Guards against a stream that is joined because engines of two versions keep its prompt.
    a_prompt_at_two_versions_proves_nothing: {
        let mut f = fleet_with_history(&["v1", "v2"]);
        let (_, last) = cut_stream(&f, 0, "/stream/a1", "lost");
        for i in 0..f.engines.len() {
            run_stream_at(&f, i, "/stream/a1", &format!("at-{i}"));
        }
        f.restart_all();
        let r = f.take_up(1, "/stream/a1", "again", "lost", last);
        assert_eq!((r.status, run_count(&f.engines, "again")), (503, 0));
        assert_eq!(take_up_source(&f, 1, "again"), "several_versions");
    }
    // Guards against a take-up by another account, which would learn at which version a stream runs.
    a_stream_of_another_path_is_unknown: {
        let versions = ["v1", "v2"];
        let f = fleet(1, &versions);
        // Until the host would know the stream if it had passed it on.
        thread::sleep(Duration::from_secs(6));
        let (_, last) = cut_stream(&f, 0, "/stream/a1", "mine");
        let r = f.take_up(0, "/stream/a2", "again", "mine", last);
        assert_eq!((r.status, run_count(&f.engines, "again")), (503, 0));
    }
    // Guards against refused take-ups after the loss of all hosts although only one version has been
    // in service for longer than any stream lasts.
    a_stream_goes_on_after_the_loss_of_all_hosts: {
        let mut f = fleet(2, &["v1", "v1"]);
        let (_, last) = cut_stream(&f, 0, "/stream/a1", "lost");
        f.restart_all();
        wait_until(Duration::from_secs(20), "the stream is not taken up", || {
            f.take_up(1, "/stream/a1", "again", "lost", last).status == 200
        });
    }
}
