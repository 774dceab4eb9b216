use std::time::Duration;

use super::{LoadTime, MAX_TRANSFERS};
use crate::time::Tick;

fn at(ms: u64) -> Tick {
    Tick(1_000_000_000 + ms * 1000)
}

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

macro_rules! cases {
    ($($name:ident: $body:block)*) => { $(#[test] fn $name() $body)* };
}

cases! {
    // Guards against an estimate that grows with the number of loads although the store serves all
    // of them at full speed.
    quick_loads_stay_quick: {
        let mut t = LoadTime::default();
        for i in 0..100 {
            t.record(at(i * 20), ms(260));
        }
        assert!(t.expected_ms(at(2000)) < 330.0);
    }
    // Guards against an estimate that ignores congestion at the store.
    slow_loads_are_learned: {
        let mut t = LoadTime::default();
        for i in 0..15 {
            t.record(at(i * 100), ms(900));
        }
        assert!(t.expected_ms(at(1500)) > 800.0);
    }
    // Guards against a host that requests no more loads because the last ones were slow.
    old_observations_expire: {
        let mut t = LoadTime::default();
        for i in 0..15 {
            t.record(at(i * 100), ms(900));
        }
        assert!(t.expected_ms(at(5000)) < 330.0);
    }
    // Pattern: all engines load at the same time after a start. Guards against loads that slow each
    // other down so that all of them end late.
    a_congested_store_gets_fewer_loads: {
        let mut t = LoadTime::default();
        assert!(t.transfers(at(0)) < MAX_TRANSFERS, "all engines start together");
        for i in 0..20 {
            t.record(at(i), ms(1200));
        }
        assert_eq!(t.transfers(at(30)), 1);
        for i in 100..120 {
            t.record(at(i), ms(270));
        }
        assert_eq!(t.transfers(at(130)), MAX_TRANSFERS);
        assert!(t.transfers(at(9000)) < MAX_TRANSFERS, "the last load is too long ago");
    }
}
