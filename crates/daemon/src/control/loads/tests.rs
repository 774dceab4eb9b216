use std::time::Duration;

use yuccawing_core::time::Tick;

use super::LoadTimes;

macro_rules! cases {
    ($($name:ident: $body:block)*) => { $(#[test] fn $name() $body)* };
}

fn at(ms: u64) -> Tick {
    Tick(ms * 1000)
}

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

cases! {
    // Guards against requests that wait until their deadline for a load that takes longer.
    a_request_without_enough_time_is_refused: {
        let mut l = LoadTimes::default();
        assert_eq!(l.admit(at(0), ms(1)), Ok(()));
        l.record(at(10), ms(5000));
        assert_eq!(l.admit(at(20), ms(5000)), Ok(()));
        assert_eq!(l.admit(at(20), ms(1000)), Ok(()), "the first one is a probe");
        assert_eq!(l.admit(at(30), ms(1000)), Err(ms(4000)));
        assert_eq!(l.admit(at(30), ms(4900)), Err(ms(1000)));
        assert_eq!(l.admit(at(30), ms(6000)), Ok(()));
    }
    // Guards against an estimate that stays high because refused requests cause no new samples.
    the_estimate_recovers_through_probes: {
        let mut l = LoadTimes::default();
        for i in 0..20 {
            l.record(at(i), ms(10_000));
        }
        let (mut now, mut probes) = (1000, 0);
        while l.expected(at(now)) > ms(1000) {
            let (n, mut passed) = (now, 0);
            for i in 0..100 {
                passed += u32::from(l.admit(at(n + i * 10), ms(1000)).is_ok());
            }
            assert_eq!(passed, 1, "one probe a second");
            l.record(at(n + 300), ms(250));
            probes += 1;
            now += 1000;
        }
        assert!(probes <= 5, "{probes}");
    }
    // Guards against a single slow load that makes the host refuse requests for other adapters.
    one_slow_load_counts_for_a_part: {
        let mut l = LoadTimes::default();
        l.record(at(0), ms(200));
        l.record(at(1), ms(8200));
        assert_eq!(l.expected(at(2)), ms(2200));
    }
    // Guards against an estimate that stays low while loads never end, and against one that falls
    // because a load has just started.
    a_load_that_does_not_end_raises_the_estimate: {
        let mut l = LoadTimes::default();
        l.record(at(0), ms(400));
        l.record_pending(at(1), ms(100));
        assert_eq!(l.expected(at(1)), ms(400));
        for i in 0..20 {
            l.record_pending(at(100 * i), ms(10_000));
        }
        assert!(l.expected(at(2000)) > ms(9000));
    }
    // Guards against refusals that are based on old samples.
    an_old_estimate_is_forgotten: {
        let mut l = LoadTimes::default();
        l.record(at(0), ms(10_000));
        assert_eq!(l.expected(at(29_999)), ms(10_000));
        assert_eq!(l.expected(at(30_000)), ms(0));
    }
}
