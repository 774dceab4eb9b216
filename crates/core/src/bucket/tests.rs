use proptest::prelude::*;

use super::{Bucket, Limits};
use crate::time::Tick;

#[derive(Clone, Debug)]
enum Step {
    Wait(u64),
    Take(u64),
    Settle(usize, u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..3_000_000u64).prop_map(Step::Wait),
        (1..120u64).prop_map(Step::Take),
        (0..8usize, 0..120u64).prop_map(|(i, u)| Step::Settle(i, u)),
    ]
}

proptest! {
    // Guards against refunds that raise the use in some window above burst + rate x window. Checks
    // the windows between all pairs of grants.
    #[test]
    fn use_stays_within_the_bound_over_every_window(
        rate in 1..200u64, burst in 1..300u64, steps in prop::collection::vec(step(), 1..60),
    ) {
        let mut now = Tick(0);
        let mut b = Bucket::full(Limits { rate, burst }, now);
        let mut open = Vec::new();
        let mut spent: Vec<(Tick, u64)> = Vec::new();
        for s in steps {
            match s {
                Step::Wait(us) => now = Tick(now.0 + us),
                Step::Take(n) => {
                    if let Some(r) = b.take(n, now) {
                        open.push((now, n, r));
                    }
                }
                Step::Settle(i, used) => {
                    if i < open.len() {
                        let (at, n, r) = open.remove(i);
                        b.settle(r, n - used.min(n), now);
                        spent.push((at, used.min(n)));
                    }
                }
            }
        }
        spent.extend(open.iter().map(|(at, n, _)| (*at, *n)));
        spent.sort();
        for i in 0..spent.len() {
            let mut sum = 0u128;
            for (at, n) in &spent[i..] {
                sum += u128::from(*n);
                let window = u128::from(at.0 - spent[i].0.0);
                let bound = u128::from(burst) * 1_000_000 + u128::from(rate) * window;
                prop_assert!(sum * 1_000_000 <= bound);
            }
        }
    }
}

macro_rules! cases {
    ($($name:ident: $body:block)*) => { $(#[test] fn $name() $body)* };
}

cases! {
    // Guards against a restarted host that starts with a full bucket.
    a_new_bucket_is_empty: {
        let mut b = Bucket::new(Limits { rate: 10, burst: 100 }, Tick(5));
        assert!(b.take(1, Tick(5)).is_none());
        assert!(b.take(10, Tick(1_000_005)).is_some());
    }
    // Guards against refunding tokens that another reservation spends.
    a_refund_is_limited_to_its_own_rights: {
        let mut b = Bucket::full(Limits { rate: 100, burst: 100 }, Tick(0));
        let first = b.take(100, Tick(0)).unwrap();
        let _second = b.take(100, Tick(1_000_000)).unwrap();
        b.settle(first, 100, Tick(1_000_000));
        assert_eq!(b.available(Tick(1_000_000)), 0);
    }
    // Guards against a finite wait for a request above the burst.
    a_request_above_the_burst_never_fits: {
        let mut b = Bucket::full(Limits { rate: 10, burst: 100 }, Tick(0));
        assert_eq!(b.time_until(101, Tick(0)), None);
    }
}
