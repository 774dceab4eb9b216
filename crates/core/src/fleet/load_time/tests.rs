use std::time::Duration;

use super::LoadTime;
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
}
