use proptest::prelude::*;

use super::{ReplicaList, list_hash};
use crate::fleet::{config::ReplicaEntry, freshness::SnapshotMark};

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
        let change = list(&old).diff(&new, mark(&new), 5).unwrap();
        assert!(list(&[entry(1, 1, false), entry(2, 1, false)]).apply(&change).is_none());
        assert_eq!(list(&old).apply(&change).unwrap(), new);
    }
    // Guards against datagrams that grow with the number of replicas.
    a_large_change_is_not_sent: {
        let new: Vec<_> = (0..40).map(|n| entry(n, 1, false)).collect();
        assert!(list(&[]).diff(&new, mark(&new), 5).is_none());
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
        let change = list(&old).diff(&new, mark(&new), 5).unwrap();
        let mut got = list(&old).apply(&change).unwrap();
        got.sort_by(|a, b| a.id.cmp(&b.id));
        let mut wanted = new;
        wanted.sort_by(|a, b| a.id.cmp(&b.id));
        prop_assert_eq!(got, wanted);
    }
}
