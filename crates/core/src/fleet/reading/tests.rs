use super::{Knowledge, Mark};
use crate::time::Tick;

fn at(ms: u64) -> Tick {
    Tick(1_000_000_000 + ms * 1000)
}

fn knows(ms: u64, hash: u64) -> Knowledge {
    let mut k = Knowledge::default();
    k.asks(at(ms));
    k.took(at(ms), hash);
    k
}

macro_rules! cases {
    ($($name:ident: $body:block)*) => { $(#[test] fn $name() $body)* };
}

cases! {
    // Guards against calls that grow with the fleet.
    a_told_host_does_not_read: {
        let mut k = knows(0, 5);
        for ms in (100..10_000).step_by(100) {
            k.told(at(ms), Mark { hash: 5, age: 300 });
            assert!(!k.due(at(ms), false), "at {ms} ms");
        }
    }
    // Guards against keys that go on working because a peer's read proves an older state.
    another_state_does_not_renew_the_age: {
        let mut k = knows(0, 5);
        assert!(!k.told(at(1000), Mark { hash: 6, age: 10 }));
        assert_eq!(k.read(), Some(at(0)));
        assert!(k.due(at(1000), false));
    }
    // Guards against an age that is younger than the read.
    the_age_counts_from_the_read: {
        let mut k = knows(0, 5);
        k.told(at(1000), Mark { hash: 5, age: 400 });
        assert!(k.read().unwrap() <= at(600));
    }
    // Guards against reads on every digest of a peer that lags behind.
    an_older_state_is_no_news: {
        let mut k = knows(1000, 6);
        k.told(at(1100), Mark { hash: 5, age: 900 });
        assert!(!k.due(at(1150), false));
    }
    // Guards against a host that waits for readers that are cut off.
    a_host_that_hears_nothing_reads: {
        let k = knows(0, 5);
        assert!(!k.due(at(1200), false));
        assert!(k.due(at(1400), false));
    }
    // Guards against a second read while one is under way, and against none after a failure.
    one_read_at_a_time: {
        let mut k = Knowledge::default();
        assert!(k.due(at(0), true));
        k.asks(at(0));
        assert!(!k.due(at(5000), true));
        k.failed();
        assert!(k.due(at(5000), true));
    }
}
