use std::time::Duration;

use super::{BegunStream, MAX_ORIGINS, Origin, Origins, SoftwareVersions, stream_key};
use crate::time::Tick;

const SPAN: Duration = Duration::from_secs(16);
const GAP: Duration = Duration::from_secs(2);

fn at(ms: u64) -> Tick {
    Tick(1_000_000_000 + ms * 1000)
}

fn origin(software: &str) -> Origin {
    Origin { service: "s".into(), software: software.into() }
}

fn begun(key: u64, lifetime_ms: u32) -> BegunStream {
    BegunStream { key, lifetime_ms, origin: origin("v1") }
}

// Versions that were listed each second from `from_s` to `to_s`.
fn listed(v: &mut SoftwareVersions, from_s: u64, to_s: u64, versions: &[&str]) {
    for s in from_s..=to_s {
        v.observe(at(s * 1000), versions.iter().map(|x| origin(x)).collect(), GAP);
    }
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
    // Guards against a host that has just started and takes the version that it lists for the only
    // one of the last seconds.
    one_listing_proves_nothing: {
        let mut v = SoftwareVersions::default();
        listed(&mut v, 0, 15, &["v1"]);
        assert_eq!(v.only(at(15_000), "s", SPAN), None);
        listed(&mut v, 16, 16, &["v1"]);
        assert_eq!(v.only(at(16_000), "s", SPAN).map(|x| x.as_str()), Some("v1"));
        assert_eq!(v.only(at(16_000), "other", SPAN), None);
    }
    // Guards against a version that has left and whose streams may still be taken up.
    a_version_that_left_counts_for_a_while: {
        let mut v = SoftwareVersions::default();
        listed(&mut v, 0, 20, &["v1", "v2"]);
        listed(&mut v, 21, 36, &["v2"]);
        assert_eq!(v.only(at(36_000), "s", SPAN), None);
        listed(&mut v, 37, 37, &["v2"]);
        assert_eq!(v.only(at(37_000), "s", SPAN).map(|x| x.as_str()), Some("v2"));
    }
    // Guards against versions that come and go while the store cannot be read.
    a_gap_starts_the_time_again: {
        let mut v = SoftwareVersions::default();
        listed(&mut v, 0, 20, &["v1"]);
        listed(&mut v, 24, 30, &["v1"]);
        assert_eq!(v.only(at(30_000), "s", SPAN), None);
        listed(&mut v, 31, 40, &["v1"]);
        assert!(v.only(at(40_000), "s", SPAN).is_some());
    }
}
