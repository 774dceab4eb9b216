use std::time::Duration;

use super::{AdapterVersions, MAX_CHANGES};
use crate::{fleet::config::NewestVersion, time::Tick};

fn at(ms: u64) -> Tick {
    Tick(1_000_000_000 + ms * 1000)
}

fn version(adapter: usize, version: u64) -> NewestVersion {
    NewestVersion { artifact: arcstr::format!("m/a{adapter}"), version }
}

macro_rules! cases {
    ($($name:ident: $body:block)*) => { $(#[test] fn $name() $body)* };
}

cases! {
    // Guards against hosts that list all versions again and again because they learned of them in
    // another order or through other steps.
    the_hash_depends_on_the_newest_versions_only: {
        let (mut a, mut b) = (AdapterVersions::default(), AdapterVersions::default());
        a.raise(at(0), vec![version(1, 1), version(2, 5), version(1, 3)]);
        b.raise(at(0), vec![version(2, 5), version(1, 3), version(1, 2)]);
        assert_eq!(a.hash(), b.hash());
        b.raise(at(0), vec![version(1, 4)]);
        assert_ne!(a.hash(), b.hash());
    }
    // Guards against a host that lists all versions for one change that another host has told it.
    a_report_brings_another_host_up_to_date: {
        let (mut a, mut b) = (AdapterVersions::default(), AdapterVersions::default());
        for s in [&mut a, &mut b] {
            s.raise(at(0), (0..1000).map(|i| version(i, 1)).collect());
        }
        a.raise(at(9000), vec![version(7, 2)]);
        let report = a.report(at(9100), Duration::from_millis(20));
        assert_eq!(report.changes, [version(7, 2)]);
        b.raise(at(9100), report.changes);
        assert_eq!((b.hash(), b.get("m/a7")), (report.mark.hash, Some(2)));
        assert!(a.report(at(14_000), Duration::ZERO).changes.is_empty(), "no longer repeated");
    }
    // Guards against a report that is too long for a datagram after many changes.
    reports_are_bounded: {
        let mut a = AdapterVersions::default();
        a.raise(at(0), (0..24_000).map(|i| version(i, 1)).collect());
        assert_eq!(a.report(at(0), Duration::ZERO).changes.len(), MAX_CHANGES);
        let bytes = postcard::to_stdvec(&a.report(at(0), Duration::ZERO)).unwrap();
        assert!(bytes.len() < 60_000, "{}", bytes.len());
    }
}
