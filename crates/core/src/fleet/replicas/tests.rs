use std::time::Duration;

use super::{ReplicaChange, Replicas};
use crate::{
    fleet::{
        config::ReplicaEntry,
        digest::ReplicaLoad,
        request::{InferenceSpec, PrefixBlock},
    },
    time::Tick,
};

const GAP: Duration = Duration::from_secs(2);

fn at(ms: u64) -> Tick {
    Tick(1_000_000_000 + ms * 1000)
}

fn entry(id: &str, started_ms: u64) -> ReplicaEntry {
    ReplicaEntry {
        id: id.into(),
        service: "s".into(),
        address: "10.0.0.9:80".parse().unwrap(),
        zone: "a".into(),
        slots: 6,
        started_ms,
        leaving: false,
        remaining: None,
        residents: Vec::new(),
        software: "v1".into(),
    }
}

fn usable_ids(r: &Replicas) -> Vec<String> {
    let mut out: Vec<_> =
        r.iter().filter(|(_, x)| x.is_usable()).map(|(_, x)| x.id.to_string()).collect();
    out.sort();
    out
}

// Replicas `a` and `b`, listed at 0 ms and at 500 ms.
fn two() -> Replicas {
    let mut r = Replicas::default();
    for ms in [0, 500] {
        r.sync(at(ms), at(ms), vec![entry("a", 1), entry("b", 1)], GAP);
    }
    r
}

macro_rules! cases {
    ($($name:ident: $body:block)*) => { $(#[test] fn $name() $body)* };
}

cases! {
    // Guards against requests for a replica whose entry was removed.
    a_missing_entry_ends_the_use: {
        let mut r = two();
        let changes = r.sync(at(1000), at(1000), vec![entry("a", 1)], GAP);
        assert!(matches!(changes[..], [ReplicaChange::Missing(_)]));
        assert_eq!(usable_ids(&r), ["a"]);
        r.sync(at(1500), at(1500), vec![entry("a", 1), entry("b", 1)], GAP);
        assert_eq!(usable_ids(&r), ["a", "b"]);
    }
    // Guards against dropping all replicas after an outage of the store, and against using those
    // that do not return.
    entries_that_expired_in_an_outage_get_a_grace_period: {
        let mut r = two();
        r.sync(at(9000), at(9000), vec![entry("a", 1)], GAP);
        assert_eq!(usable_ids(&r), ["a", "b"]);
        r.sync(at(11_000), at(11_000), vec![entry("a", 1)], GAP);
        r.sync(at(11_600), at(11_600), vec![entry("a", 1)], GAP);
        assert_eq!(usable_ids(&r), ["a"]);
    }
    // Guards against a replica that is used for as long as the listing does not change after an outage:
    // hosts that do not read it only learn that it is still the same.
    the_grace_period_ends_without_a_new_listing: {
        let mut r = two();
        r.sync(at(9000), at(9000), vec![entry("a", 1)], GAP);
        r.confirm_listing(at(10_000), at(10_000), GAP);
        assert!(r.expire_unlisted(at(11_000)).is_empty());
        r.confirm_listing(at(11_400), at(11_400), GAP);
        assert!(matches!(r.expire_unlisted(at(11_600))[..], [ReplicaChange::Missing(_)]));
        assert_eq!(usable_ids(&r), ["a"]);
        assert!(r.expire_unlisted(at(12_000)).is_empty(), "once");
    }
    // Pattern: the store fails, and hosts go on stating the listing that they read before. Guards against
    // an outage that goes unseen, so that running replicas whose entries have expired are dropped.
    an_old_read_of_a_peer_hides_no_outage: {
        let mut r = two();
        for ms in (200..9000).step_by(200) {
            r.confirm_listing(at(ms), at(0), GAP);
        }
        r.sync(at(9000), at(9000), vec![entry("a", 1)], GAP);
        assert_eq!(usable_ids(&r), ["a", "b"]);
    }
    // Guards against a host that was frozen, takes that for an outage of the store, and goes on using
    // a replica that has left meanwhile.
    a_pause_is_no_outage_of_the_store: {
        let mut r = two();
        r.note_pause(Duration::from_secs(8));
        r.sync(at(9000), at(9000), vec![entry("a", 1)], GAP);
        assert_eq!(usable_ids(&r), ["a"]);
    }
    // Guards against adapters and counters of an earlier start with the same id.
    another_start_under_one_id_is_new: {
        let mut r = two();
        let changes = r.sync(at(1000), at(1000), vec![entry("a", 2), entry("b", 1)], GAP);
        assert!(matches!(changes[..], [ReplicaChange::Joined(_)]));
        assert_eq!(usable_ids(&r), ["a", "b"]);
        let hashes: Vec<_> =
            r.iter().filter(|(_, x)| x.id == "a").map(|(_, x)| x.id_hash).collect();
        assert_eq!(hashes.len(), 2);
        assert_ne!(hashes[0], hashes[1]);
    }
    // Guards against a delayed entry that restores a replica's earlier start.
    an_older_start_is_ignored: {
        let mut r = two();
        r.sync(at(1000), at(1000), vec![entry("a", 2), entry("b", 1)], GAP);
        r.sync(at(1500), at(1500), vec![entry("a", 1), entry("b", 1)], GAP);
        let started_ms: Vec<_> = r
            .iter()
            .filter(|(_, x)| x.is_usable() && x.id == "a")
            .map(|(_, x)| x.started_ms)
            .collect();
        assert_eq!(started_ms, [2]);
    }
    // Guards against new requests for a replica that drains.
    a_leaving_replica_is_not_used: {
        let mut r = two();
        let leaving = ReplicaEntry { leaving: true, ..entry("b", 1) };
        let changes = r.sync(at(1000), at(1000), vec![entry("a", 1), leaving], GAP);
        assert!(matches!(changes[..], [ReplicaChange::Leaving(_)]));
        assert_eq!(usable_ids(&r), ["a"]);
    }
    // Guards against a peer's load that is counted twice or forever.
    a_peers_load_replaces_its_earlier_one: {
        let mut r = two();
        let (k, hash) = r.iter().map(|(k, x)| (k, x.id_hash)).next().unwrap();
        let load = ReplicaLoad {
            replica: hash,
            prefill_ms: 100,
            inflight: 2,
            kv_thousands: 3,
            artifacts: Vec::new(),
        };
        let ip = "10.0.0.1".parse().unwrap();
        r.set_peer_loads(ip, std::slice::from_ref(&load));
        r.set_peer_loads(ip, &[load]);
        assert_eq!(r.get(k).unwrap().total_load().inflight, 2);
        r.set_peer_loads(ip, &[]);
        assert_eq!(r.get(k).unwrap().total_load().inflight, 0);
    }
    // Guards against blocks that count as cached although an earlier block is not, or although many
    // tokens were sent since.
    a_cached_block_needs_those_before_it: {
        let mut r = two();
        let k = r.iter().next().unwrap().0;
        let x = r.get_mut(k).unwrap();
        let block = |id| PrefixBlock { id, tokens: 100 };
        let inference = |prefix| InferenceSpec {
            artifact: "m/a1".into(),
            prompt_tokens: 300,
            output_tokens: 10,
            prefix,
        };
        let first = inference(vec![block(1), block(2), block(3)]);
        assert_eq!(x.cached_tokens(&first, 10_000), 0);
        x.record_prompt(&first, 300);
        assert_eq!(x.cached_tokens(&first, 10_000), 300);
        assert_eq!(x.cached_tokens(&inference(vec![block(1), block(9), block(3)]), 10_000), 100);
        let other = InferenceSpec { artifact: "m/a2".into(), ..first.clone() };
        assert_eq!(x.cached_tokens(&other, 10_000), 0, "cached for one adapter only");
        for i in 0..40 {
            x.record_prompt(&inference(vec![block(100 + i)]), 300);
        }
        assert_eq!(x.cached_tokens(&first, 10_000), 0, "evicted by other prompts");
    }
}
