use proptest::prelude::*;

use super::{Attempt, Budget, Cause, MAX_RETRIES, MAX_SAVED_RETRIES, RETRIES_PER_MILLE};
use crate::time::Tick;

fn cause() -> impl Strategy<Value = Cause> {
    prop_oneof![
        Just(Cause::Connect),
        Just(Cause::Misdirected),
        Just(Cause::Overload),
        Just(Cause::Unknown),
    ]
}

fn attempt(cause: Cause) -> Attempt {
    Attempt { retries: 0, idempotent: true, cause, deadline: Tick(10) }
}

proptest! {
    // Guards against retries that amplify an overload: their number is compared with the limit after
    // each step.
    #[test]
    fn retries_stay_within_their_share(
        steps in prop::collection::vec((any::<bool>(), cause(), any::<bool>(), 0..4u32, 0..20u64), 0..400),
    ) {
        let mut b = Budget::new();
        let (mut requests, mut retries) = (0, 0);
        for (request, cause, idempotent, made, now) in steps {
            if request {
                b.count_request();
                requests += 1;
                continue;
            }
            let a = Attempt { retries: made, idempotent, cause, deadline: Tick(10) };
            if b.try_retry(Tick(now), a) {
                prop_assert!(cause != Cause::Overload);
                prop_assert!(now < 10);
                prop_assert!(made < MAX_RETRIES);
                prop_assert!(idempotent || cause != Cause::Unknown);
                retries += u32::from(cause != Cause::Misdirected);
            }
            prop_assert!(retries * 1000 <= MAX_SAVED_RETRIES * 1000 + requests * RETRIES_PER_MILLE);
        }
    }
}

macro_rules! cases {
    ($($name:ident: $body:block)*) => { $(#[test] fn $name() $body)* };
}

cases! {
    // Guards against another attempt at an upstream that has just refused one for overload.
    an_overload_is_never_retried: {
        assert!(!Budget::new().try_retry(Tick(0), attempt(Cause::Overload)));
    }
    // Guards against work for a caller that does not wait any more.
    nothing_is_retried_at_the_deadline: {
        assert!(!Budget::new().try_retry(Tick(10), attempt(Cause::Connect)));
        assert!(Budget::new().try_retry(Tick(9), attempt(Cause::Connect)));
    }
    // Guards against running a non-idempotent request twice.
    only_a_connect_failure_repeats_a_non_idempotent_request: {
        let a = |cause| Attempt { idempotent: false, ..attempt(cause) };
        assert!(!Budget::new().try_retry(Tick(0), a(Cause::Unknown)));
        assert!(Budget::new().try_retry(Tick(0), a(Cause::Connect)));
    }
    // Guards against a budget that is not refilled.
    ten_requests_pay_for_one_retry: {
        let mut b = Budget::new();
        while b.try_retry(Tick(0), attempt(Cause::Unknown)) {}
        for _ in 0..9 {
            b.count_request();
        }
        assert!(!b.try_retry(Tick(0), attempt(Cause::Unknown)));
        b.count_request();
        assert!(b.try_retry(Tick(0), attempt(Cause::Unknown)));
    }
    // Guards against a restart of one engine that uses up the budget of all others.
    a_misdirected_request_does_not_use_the_budget: {
        let mut b = Budget::new();
        for _ in 0..1000 {
            assert!(b.try_retry(Tick(0), attempt(Cause::Misdirected)));
        }
        assert!(b.try_retry(Tick(0), attempt(Cause::Connect)));
    }
}
