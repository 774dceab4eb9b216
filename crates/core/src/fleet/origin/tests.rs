use std::{collections::HashMap, time::Duration};

use arcstr::ArcStr;
use proptest::prelude::*;

use super::{
    BegunStream, BlockState, CallerBudgets, MAX_ORIGINS, MAX_STREAM_AGE, Origin, Origins, Unproved,
    infer_software, stream_key,
};
use crate::time::Tick;

fn at(ms: u64) -> Tick {
    Tick(1_000_000_000 + ms * 1000)
}

fn origin(software: &str) -> Origin {
    Origin { service: "s".into(), software: software.into() }
}

fn begun(key: u64, lifetime_ms: u32) -> BegunStream {
    BegunStream { key, lifetime_ms, origin: origin("v1") }
}

macro_rules! cases {
    ($($name:ident: $body:block)*) => { $(#[test] fn $name() $body)* };
}

cases! {
    // Guards against streams that are kept for good.
    a_stream_is_forgotten_after_its_lifetime: {
        let mut o = Origins::default();
        o.record(at(0), begun(1, 500));
        o.record(at(0), begun(2, 5000));
        o.expire(at(1000));
        assert_eq!((o.get(1), o.get(2)), (None, Some(&origin("v1"))));
        assert_eq!(o.iter(at(1000)).map(|s| s.lifetime_ms).collect::<Vec<_>>(), [4000]);
    }
    // Pattern: callers wait for longer than the timeout of their route. Guards against a span in which
    // one version alone was listed that is shorter than the life of a stream.
    the_longest_lifetime_is_kept: {
        let mut o = Origins::default();
        o.note_lifetime(Duration::from_secs(4));
        o.record(at(0), begun(1, 12_000));
        o.record(at(0), begun(2, 500));
        o.expire(at(20_000));
        assert_eq!(o.longest_lifetime(), Duration::from_secs(12));
    }
    // Guards against memory without a bound under many streams.
    the_oldest_streams_are_forgotten: {
        let mut o = Origins::default();
        for key in 0..MAX_ORIGINS as u64 + 10 {
            o.record(at(0), begun(key, 5000));
            o.record(at(0), begun(key, 5000));
        }
        assert_eq!((o.get(9), o.get(10).is_some()), (None, true));
        assert_eq!(o.known.len(), MAX_ORIGINS);
    }
    // Guards against a take-up of another account's stream, or of one of another path.
    keys_differ_by_account_and_path: {
        let key = stream_key(Some("one"), "/a/1", "id");
        assert_ne!(key, stream_key(Some("two"), "/a/1", "id"));
        assert_ne!(key, stream_key(None, "/a/1", "id"));
        assert_ne!(key, stream_key(Some("one"), "/a/2", "id"));
    }
    // Pattern: a release, and sessions whose turns share the last block of their prompts. Guards
    // against a stream that goes on at the version of an earlier turn because the engine that began it
    // has ended.
    an_ended_engine_of_another_version_may_have_begun_it: {
        let (v1, v2) = (ArcStr::from("v1"), ArcStr::from("v2"));
        let of = |states: &[(&'static str, BlockState)]| {
            let engines = states.iter().map(|(v, s)| (if *v == "v1" { &v1 } else { &v2 }, *s));
            infer_software(engines).cloned()
        };
        use BlockState::{Absent, Kept, Unknown};
        assert_eq!(of(&[("v2", Kept), ("v1", Unknown)]), Err(Unproved::EngineUnread));
        assert_eq!(of(&[("v2", Kept), ("v1", Absent), ("v2", Unknown)]), Ok(v2.clone()));
        assert_eq!(of(&[("v2", Kept), ("v1", Kept)]), Err(Unproved::SeveralVersions));
        assert_eq!(of(&[("v2", Absent), ("v1", Unknown)]), Err(Unproved::NoEngine));
    }
    // Guards against a window that is too short for the stream of a caller that waits for longer than
    // the timeout of its route, and against one that covers the longest of all routes.
    the_age_of_a_stream_follows_from_the_time_left: {
        let (route, s) = (ArcStr::from("r"), Duration::from_secs);
        let mut b = CallerBudgets::default();
        assert_eq!(b.longest_age("r", s(6), s(2)), s(4));
        b.note(&route, s(12));
        b.note(&route, s(6));
        assert_eq!(b.longest_age("r", s(6), s(2)), s(10));
        assert_eq!(b.longest_age("other", s(6), s(2)), s(4));
        // Nothing tells how long this caller has waited.
        assert_eq!(b.longest_age("r", s(6), s(12)), MAX_STREAM_AGE);
        b.retain(|name| name != "r");
        assert_eq!(b.longest_age("r", s(6), s(2)), s(4));
    }
}

// One step of a service with engines of two versions.
#[derive(Clone, Debug)]
enum Step {
    // A turn of a session runs at an engine.
    Turn { session: u8, engine: usize },
    // An engine ends, or starts again without anything kept.
    End(usize),
    Restart(usize),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => (0_u8..3, 0_usize..4).prop_map(|(session, engine)| Step::Turn { session, engine }),
        1 => (0_usize..4).prop_map(Step::End),
        1 => (0_usize..4).prop_map(Step::Restart),
    ];
    proptest::collection::vec(step, 1..24)
}

proptest! {
    // Pattern: engines of two versions end and start again while sessions of several turns run, and no
    // host remembers where a stream began. Guards against a stream that goes on at a version which
    // did not begin it, and against refusals although all engines that served still answer.
    #[test]
    fn the_inferred_version_began_the_stream(steps in steps()) {
        let versions = [ArcStr::from("v1"), ArcStr::from("v2")];
        // Each process of each engine: whether it runs, and the sessions whose block it keeps.
        let mut processes: Vec<Vec<(bool, Vec<u8>)>> = vec![vec![(true, Vec::new())]; 4];
        let mut begun: HashMap<u8, usize> = HashMap::new();
        let mut has_ended = false;
        for step in steps {
            match step {
                Step::Turn { session, engine } => {
                    let Some((true, kept)) = processes[engine].last_mut() else { continue };
                    kept.push(session);
                    begun.insert(session, engine % 2);
                }
                Step::End(engine) => {
                    if let Some((runs, _)) = processes[engine].last_mut() {
                        *runs = false;
                    }
                    has_ended = true;
                }
                Step::Restart(engine) => {
                    if let Some((runs, _)) = processes[engine].last_mut() {
                        *runs = false;
                    }
                    processes[engine].push((true, Vec::new()));
                    has_ended = true;
                }
            }
        }
        for (session, version) in begun {
            let states: Vec<_> = processes
                .iter()
                .enumerate()
                .flat_map(|(i, lives)| lives.iter().map(move |life| (i % 2, life)))
                .map(|(v, (runs, kept))| match (runs, kept.contains(&session)) {
                    (false, _) => (&versions[v], BlockState::Unknown),
                    (true, true) => (&versions[v], BlockState::Kept),
                    (true, false) => (&versions[v], BlockState::Absent),
                })
                .collect();
            let holders = states.iter().filter(|(_, s)| *s == BlockState::Kept);
            let mixed = holders.clone().any(|(v, _)| **v != versions[version]);
            match infer_software(states.iter().copied()) {
                Ok(v) => prop_assert_eq!(v, &versions[version]),
                Err(_) => prop_assert!(has_ended || mixed),
            }
        }
    }
}
