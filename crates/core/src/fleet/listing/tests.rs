use proptest::prelude::*;

use super::{ReplicaList, list_hash};
use crate::{
    fleet::{
        config::ReplicaEntry,
        freshness::{Freshness, SnapshotMark},
    },
    time::Tick,
};

fn at(ms: u64) -> Tick {
    Tick(1_000_000_000 + ms * 1000)
}

fn entry(n: u8, started_ms: u64, leaving: bool) -> ReplicaEntry {
    ReplicaEntry {
        id: format!("r{n}").into(),
        service: "s".into(),
        address: format!("10.0.0.{n}:80").parse().unwrap(),
        zone: "a".into(),
        slots: 6,
        started_ms,
        leaving,
        remaining: None,
        residents: Vec::new(),
        software: "v1".into(),
    }
}

fn list(entries: &[ReplicaEntry]) -> ReplicaList {
    let mut out = ReplicaList::default();
    out.replace(entries);
    out
}

fn mark(entries: &[ReplicaEntry]) -> SnapshotMark {
    SnapshotMark { hash: list_hash(entries.iter()), age_ms: 0 }
}

macro_rules! cases {
    ($($name:ident: $body:block)*) => { $(#[test] fn $name() $body)* };
}

cases! {
    // Guards against a delta that is applied to another list than the one it was computed from.
    a_change_of_another_list_is_not_taken: {
        let (old, new) = ([entry(1, 1, false)], [entry(1, 1, true)]);
        let changes = list(&old).diff(&new, mark(&new), 5);
        assert_eq!(changes.len(), 1);
        assert!(list(&[entry(1, 1, false), entry(2, 1, false)]).apply(&changes[0]).is_none());
        assert_eq!(list(&old).apply(&changes[0]).unwrap(), new);
    }
    // Pattern: a fifth of a large fleet's engines restart at once. Guards against datagrams that grow
    // with the number of replicas, and against a copy that counts as read before it is complete.
    a_large_change_is_split: {
        let (old, new): (Vec<_>, Vec<_>) =
            (0..100).map(|n| (entry(n, 1, false), entry(n, 1 + u64::from(n % 2), false))).unzip();
        let changes = list(&old).diff(&new, mark(&new), 5);
        assert!(changes.len() > 1 && changes.iter().all(|c| c.entries.len() <= 16));
        let mut copy = old;
        let mut freshness = Freshness::default();
        freshness.start_read(at(0));
        freshness.finish_read(at(0), list_hash(copy.iter()));
        for c in &changes {
            assert_eq!(freshness.read_at(), Some(at(0)));
            assert!(freshness.apply_delta(at(900), c.base_hash, c.to, at(900)).is_some());
            copy = list(&copy).apply(c).unwrap();
        }
        assert!(freshness.read_at() > Some(at(800)));
        let mut new = new;
        new.sort_by(|a, b| a.id.cmp(&b.id));
        assert_eq!(copy, new);
    }
    // Guards against a burst of datagrams at startup, when each host reads the list anyway.
    a_very_large_change_is_not_sent: {
        let new: Vec<_> = (0..200).map(|n| entry(n, 1, false)).collect();
        assert!(list(&[]).diff(&new, mark(&new), 5).is_empty());
    }
}

proptest! {
    // Guards against a delta whose result differs from what was read.
    #[test]
    fn a_change_leads_to_what_was_read(
        old in prop::collection::btree_map(0..12u8, (1..3u64, any::<bool>()), 0..8),
        new in prop::collection::btree_map(0..12u8, (1..3u64, any::<bool>()), 0..8),
    ) {
        let entries = |m: std::collections::BTreeMap<u8, (u64, bool)>| {
            m.into_iter()
                .map(|(n, (started_ms, leaving))| entry(n, started_ms, leaving))
                .collect::<Vec<_>>()
        };
        let (old, new) = (entries(old), entries(new));
        let changes = list(&old).diff(&new, mark(&new), 5);
        let mut got = changes.iter().fold(old, |l, c| list(&l).apply(c).unwrap());
        got.sort_by(|a, b| a.id.cmp(&b.id));
        let mut wanted = new;
        wanted.sort_by(|a, b| a.id.cmp(&b.id));
        prop_assert_eq!(got, wanted);
    }
}
