use std::{collections::HashSet, time::Duration};

use arcstr::ArcStr;
use proptest::prelude::*;

use super::{Anchor, EntryChange, MIN_INTERVAL, Past, Process, ServedProcesses};
use crate::time::Tick;

const SPAN: Duration = Duration::from_secs(16);
const GAP: Duration = Duration::from_secs(2);
const INTERVAL: Duration = Duration::from_millis(1200);

// Age of an event after which there were `renewals` of each replica.
fn age(renewals: u32) -> Duration {
    INTERVAL.mul_f64(MIN_INTERVAL * f64::from(renewals - 1))
}

fn at(ms: u64) -> Tick {
    Tick(1_000_000_000 + ms * 1000)
}

fn process(id: &str, started_ms: u64, software: &str) -> Process {
    Process {
        id: id.into(),
        started_ms,
        service: "s".into(),
        software: software.into(),
        address: "10.0.0.1:80".parse().unwrap(),
    }
}

// One process of each version, listed each second from `from_s` to `to_s`.
fn listed(v: &mut ServedProcesses, from_s: u64, to_s: u64, versions: &[&str]) {
    for s in from_s..=to_s {
        v.observe(
            at(s * 1000),
            at(s * 1000),
            s,
            versions.iter().map(|x| process(x, 1, x)).collect(),
            GAP,
        );
    }
}

fn write(p: &Process) -> EntryChange {
    EntryChange {
        revision: 0,
        key: format!("servers/{}", p.id),
        process: Some(p.clone()),
        leaving: false,
    }
}

fn removal(p: &Process) -> EntryChange {
    EntryChange { revision: 0, key: format!("servers/{}", p.id), process: None, leaving: false }
}

// `rounds` intervals in which each process renews its entry once.
fn renewals(processes: &[&Process], rounds: usize) -> Vec<EntryChange> {
    (0..rounds).flat_map(|_| processes.iter().map(|p| write(p))).collect()
}

fn names<'a>(found: impl Iterator<Item = &'a Process>) -> HashSet<ArcStr> {
    found.map(|p| p.id.clone()).collect()
}

macro_rules! cases {
    ($($name:ident: $body:block)*) => { $(#[test] fn $name() $body)* };
}

cases! {
    // Guards against a host that has just started and takes the version that it lists for the only
    // one of the last seconds.
    one_listing_proves_nothing: {
        let mut v = ServedProcesses::default();
        listed(&mut v, 0, 15, &["v1"]);
        assert_eq!(v.only_software(at(15_000), "s", SPAN), None);
        listed(&mut v, 16, 16, &["v1"]);
        assert_eq!(v.only_software(at(16_000), "s", SPAN).map(|x| x.as_str()), Some("v1"));
        assert_eq!(v.only_software(at(16_000), "other", SPAN), None);
    }
    // Guards against a version that has left and whose streams may still be taken up.
    a_version_that_left_counts_for_a_while: {
        let mut v = ServedProcesses::default();
        listed(&mut v, 0, 20, &["v1", "v2"]);
        listed(&mut v, 21, 37, &["v2"]);
        assert_eq!(v.only_software(at(37_000), "s", SPAN), None);
        listed(&mut v, 38, 38, &["v2"]);
        assert_eq!(v.only_software(at(38_000), "s", SPAN).map(|x| x.as_str()), Some("v2"));
    }
    // Guards against versions that come and go while the store cannot be read.
    a_gap_starts_the_time_again: {
        let mut v = ServedProcesses::default();
        listed(&mut v, 0, 20, &["v1"]);
        listed(&mut v, 24, 30, &["v1"]);
        assert_eq!(v.only_software(at(30_000), "s", SPAN), None);
        listed(&mut v, 31, 40, &["v1"]);
        assert!(v.only_software(at(40_000), "s", SPAN).is_some());
    }
    // Guards against versions that come and go unseen while peers only repeat a listing that they read
    // before.
    a_gap_is_seen_beside_old_reads_of_peers: {
        let mut v = ServedProcesses::default();
        listed(&mut v, 0, 20, &["v1"]);
        for s in 21..30 {
            v.confirm(at(s * 1000), at(20_000), GAP);
        }
        listed(&mut v, 30, 31, &["v1"]);
        assert_eq!(v.only_software(at(31_000), "s", SPAN), None);
    }
    // Guards against a stream that counts as begun at a running process because the one that began it
    // has ended, or has started again under its id.
    an_ended_process_counts_for_a_while: {
        let mut v = ServedProcesses::default();
        let (old, new) = (process("e1", 1, "v1"), process("e1", 2, "v2"));
        v.observe(at(0), at(0), 1, HashSet::from([old.clone(), process("e2", 1, "v2")]), GAP);
        v.observe(at(1000), at(1000), 2, HashSet::from([new.clone(), process("e2", 1, "v2")]), GAP);
        v.confirm(at(2000), at(2000), GAP);
        let found: HashSet<_> = v.within(at(2000), "s", Duration::from_secs(1)).cloned().collect();
        assert!(found.contains(&old) && found.contains(&new), "{found:?}");
        assert_eq!(v.within(at(2001), "s", Duration::from_secs(1)).count(), 2);
    }
    // Pattern: all hosts are lost while a release ends. Guards against a host that has just started and
    // takes the processes that it lists for all that may have begun a stream.
    the_history_shows_what_has_ended: {
        let (old, new) = (process("e1", 1, "v1"), process("e2", 1, "v2"));
        let other = process("e3", 1, "v2");
        let mut changes = renewals(&[&old, &new, &other], 10);
        changes.push(removal(&old));
        changes.extend(renewals(&[&new, &other], 4));
        let past = Past::read(&changes, INTERVAL, None);
        assert_eq!(past, Past { covered: age(14), ended: vec![(old, age(4))] });
        let mut v = ServedProcesses::default();
        listed(&mut v, 100, 100, &[]);
        v.observe(at(100_000), at(100_000), 9, HashSet::from([new, other]), GAP);
        v.extend(at(100_000), past);
        let now = at(100_500);
        assert!(v.is_complete(now, Duration::from_secs(14)));
        assert!(!v.is_complete(now, Duration::from_secs(15)));
        let running = ["e2".into(), "e3".into()].into();
        assert_eq!(names(v.within(now, "s", Duration::from_secs(3))), running);
        let all = ["e1".into(), "e2".into(), "e3".into()].into();
        assert_eq!(names(v.within(now, "s", Duration::from_secs(4))), all);
        assert_eq!(v.only_software(now, "s", Duration::from_secs(4)), None);
    }
    // Guards against a replica that started again under its id, perhaps at another version, and is
    // taken for the process that it was.
    the_history_shows_a_restart: {
        let (old, new) = (process("e1", 1, "v1"), process("e1", 2, "v2"));
        let other = process("e2", 1, "v2");
        let mut changes = renewals(&[&old, &other], 3);
        changes.extend(renewals(&[&new, &other], 3));
        let past = Past::read(&changes, INTERVAL, None);
        assert_eq!(past.ended, [(old, age(3))]);
    }
    // Guards against an age that is too great because a replica has written at other times than those
    // of its renewals: as it starts to drain, and as its next process starts.
    writes_between_renewals_are_no_clock: {
        let (one, again) = (process("e1", 1, "v1"), process("e1", 2, "v1"));
        let leaving = EntryChange { leaving: true, ..write(&one) };
        let changes = [write(&one), leaving, write(&again)];
        assert_eq!(Past::read(&changes, INTERVAL, None).covered, Duration::ZERO);
    }
    // Pattern: many replicas, each with intervals that vary. Guards against an age that is too great
    // because the shortest intervals of different replicas are added up.
    renewals_of_several_replicas_do_not_add_up: {
        let (one, two) = (process("e1", 1, "v1"), process("e2", 1, "v1"));
        let mut changes = renewals(&[&one], 6);
        changes.extend(renewals(&[&two], 5));
        assert_eq!(Past::read(&changes, INTERVAL, None).covered, age(6));
    }
    // Pattern: a host reads the history some seconds after its start. Guards against an age that is
    // too low, so that streams are refused, although the host knows when it first read the listing.
    the_age_of_a_known_revision_counts: {
        let (one, two) = (process("e1", 1, "v1"), process("e2", 1, "v1"));
        let mut changes = renewals(&[&one, &two], 3);
        changes.push(removal(&two));
        changes.extend(renewals(&[&one], 2));
        for (i, c) in changes.iter_mut().enumerate() {
            c.revision = 50 + i as u64;
        }
        let known = |revision| Some(Anchor { revision, age: Duration::from_secs(9) });
        let past = Past::read(&changes, INTERVAL, known(56));
        assert_eq!(past.ended, [(two.clone(), Duration::from_secs(9))]);
        assert_eq!(past.covered, Duration::from_secs(9) + age(3));
        // What came after it may be younger.
        assert_eq!(Past::read(&changes, INTERVAL, known(55)).ended, [(two, age(2))]);
        let mut v = ServedProcesses::default();
        v.observe(at(1000), at(1000), 7, HashSet::new(), GAP);
        v.observe(at(2000), at(2000), 8, HashSet::new(), GAP);
        assert_eq!(v.anchor(at(3000)), Some(Anchor { revision: 7, age: Duration::from_secs(2) }));
        // After a gap nothing tells the revision until the next listing begins a record.
        v.confirm(at(9000), at(9000), GAP);
        assert_eq!(v.anchor(at(9000)), None);
    }
    // Guards against a process that counts as ended because its entry lapsed for a while.
    a_returned_process_has_not_ended: {
        let (one, two) = (process("e1", 1, "v1"), process("e2", 1, "v1"));
        let mut changes = renewals(&[&one, &two], 2);
        changes.push(removal(&one));
        changes.extend(renewals(&[&one, &two], 2));
        assert_eq!(Past::read(&changes, INTERVAL, None).ended, []);
    }
    // Guards against a history that is empty, or of which nothing tells the age, and counts as long.
    a_history_without_renewals_covers_nothing: {
        assert_eq!(Past::read(&[], INTERVAL, None), Past::default());
        let one = process("e1", 1, "v1");
        let past = Past::read(&[write(&one), removal(&one)], INTERVAL, None);
        assert_eq!(past, Past { covered: Duration::ZERO, ended: vec![(one, Duration::ZERO)] });
    }
    // Guards against a record that is taken for complete across an outage of the store, since the
    // history was read before it.
    a_gap_ends_what_the_history_covered: {
        let mut v = ServedProcesses::default();
        listed(&mut v, 100, 100, &["v1"]);
        v.extend(at(100_000), Past { covered: SPAN, ended: Vec::new() });
        assert!(v.is_complete(at(100_000), SPAN));
        listed(&mut v, 103, 103, &["v1"]);
        assert!(!v.is_complete(at(103_000), Duration::from_millis(1)));
    }
}

// Replica in a simulated history: when it starts, when it ends, and the phase of its writes, in ms.
fn replicas() -> impl Strategy<Value = Vec<(u64, u64, u64)>> {
    proptest::collection::vec((0_u64..20_000, 1_000_u64..40_000, 0_u64..1200), 3..12)
}

proptest! {
    // Pattern: replicas that start and end at any time and leave renewals out that change nothing,
    // one of them silent for a while. Guards
    // against an age from the history that is greater than the true one by more than half an
    // interval, so that a process which may have begun a stream is left out.
    #[test]
    fn ages_from_the_history_are_lower_bounds(
        lives in replicas(),
        silent in 0_usize..12,
        begin in 0_u64..15_000,
        anchor in 15_000_u64..30_000,
        jitter in proptest::collection::vec(960_u64..1_440, 40),
        written in proptest::collection::vec(proptest::bool::weighted(0.8), 40),
    ) {
        const END: u64 = 30_000;
        let steady = (0..3).map(|i| (0, 2 * END, i * 400));
        let lives: Vec<_> = lives.into_iter().chain(steady).collect();
        let processes: Vec<_> =
            (0..lives.len()).map(|i| process(&format!("e{i}"), 1, "v1")).collect();
        let mut history = Vec::new();
        for (i, ((start, length, phase), p)) in lives.iter().zip(&processes).enumerate() {
            let end = start + length;
            let mut t = start + phase;
            let mut n = i;
            while t < end.min(END) {
                let is_silent = i == silent && (5_000..8_000).contains(&t);
                if !is_silent && (written[n % 40] || t == start + phase) {
                    history.push((t, write(p)));
                }
                t += jitter[n % 40];
                n += 1;
            }
            if end < END && start + phase < end {
                history.push((end, removal(p)));
            }
        }
        history.sort_by_key(|(t, _)| *t);
        for (i, (_, c)) in history.iter_mut().enumerate() {
            c.revision = i as u64;
        }
        let known = history.iter().filter(|(t, _)| *t <= anchor).count().checked_sub(1);
        let known = known.map(|i| Anchor {
            revision: i as u64,
            age: Duration::from_millis(END - anchor),
        });
        let seen: Vec<_> = history.iter().filter(|(t, _)| *t >= begin).collect();
        let changes: Vec<_> = seen.iter().map(|(_, c)| c.clone()).collect();
        let past = Past::read(&changes, INTERVAL, known);
        prop_assert!(past.covered <= Duration::from_millis(END - begin) + INTERVAL / 2, "{past:?}");
        for (i, p) in processes.iter().enumerate() {
            let (start, length, _) = lives[i];
            let end = start + length;
            let written = changes.iter().any(|c| c.process.as_ref() == Some(p));
            // Each process that was listed and has left since is shown.
            if written && end < END {
                let age = past.ended.iter().find(|(q, _)| q == p).map(|(_, age)| *age);
                prop_assert!(age.is_some_and(|a| a <= Duration::from_millis(END - end) + INTERVAL / 2), "{i}: {past:?}");
            }
        }
    }
}
