use arcstr::ArcStr;

use super::{AGE, Item, Limits, Queue, Reason};
use crate::{rules::Class, time::Tick};

const LIMITS: Limits = Limits { slots: 2, reserved: 1, per_account: 50, total: 200, speed: 100 };

fn at(ms: u64) -> Tick {
    Tick(ms * 1000)
}

fn item(account: &str, class: Class, tokens: u64, deadline: Tick, data: u32) -> Item<u32> {
    Item { account: ArcStr::from(account), weight: 1, class, tokens, deadline, data }
}

macro_rules! cases {
    ($($name:ident: $body:block)*) => { $(#[test] fn $name() $body)* };
}

cases! {
    // Guards against drafting requests that take the slots kept for status checks.
    status_has_a_slot_while_drafting_fills_the_rest: {
        let mut q = Queue::new(LIMITS);
        for i in 0..5 {
            q.push(at(0), item("a", Class::Drafting, 10, at(60_000), i)).unwrap();
        }
        assert!(q.pop(at(0), |_| true).is_some());
        assert!(q.pop(at(0), |_| true).is_none());
        q.push(at(1), item("b", Class::Status, 10, at(60_000), 9)).unwrap();
        assert_eq!(q.pop(at(1), |_| true).unwrap().item.data, 9);
    }
    // Guards against a request whose adapter is loading that holds up the ones behind it.
    a_blocked_request_is_passed_over: {
        let mut q = Queue::new(LIMITS);
        q.push(at(0), item("a", Class::Interactive, 10, at(60_000), 1)).unwrap();
        q.push(at(0), item("a", Class::Interactive, 10, at(60_000), 2)).unwrap();
        assert_eq!(q.pop(at(0), |i| i.data != 1).unwrap().item.data, 2);
        assert_eq!(q.len(), 1);
    }
    // Guards against drafting requests that wait behind interactive ones for ever.
    drafting_counts_as_interactive_after_its_age: {
        let mut q = Queue::new(Limits { slots: 100, ..LIMITS });
        q.push(at(0), item("a", Class::Drafting, 10, at(60_000), 1)).unwrap();
        let late = at(0) + AGE;
        q.push(late + std::time::Duration::from_millis(1),
            item("a", Class::Interactive, 10, at(60_000), 2)).unwrap();
        assert_eq!(q.pop(late + std::time::Duration::from_millis(2), |_| true).unwrap().item.data, 1);
    }
    // Guards against queueing requests that can only end as timeouts.
    a_request_that_would_wait_too_long_is_refused_at_once: {
        let mut q = Queue::new(LIMITS);
        for i in 0..10 {
            q.push(at(0), item("a", Class::Interactive, 100, at(60_000), i)).unwrap();
        }
        let r = q.push(at(0), item("a", Class::Interactive, 100, at(5_000), 99)).unwrap_err();
        assert_eq!(r.reason, Reason::Late);
        assert_eq!(r.item.data, 99);
        assert!(r.retry.as_millis() >= 4_000, "{:?}", r.retry);
        // Another account has its own share and is not refused for this account's backlog.
        assert!(q.push(at(0), item("b", Class::Interactive, 100, at(5_000), 3)).is_ok());
    }
    // Guards against refusals for capacity while there are free slots for all that wait: a graceful
    // stop once refused four of six long requests whose adapters were being loaded.
    requests_that_wait_for_adapters_do_not_count_as_load: {
        let mut q = Queue::new(Limits { slots: 24, reserved: 3, ..LIMITS });
        for i in 0..20 {
            q.push(at(0), item("a", Class::Interactive, 5_000, at(5_000), i)).unwrap();
        }
        q.push(at(0), item("a", Class::Interactive, 5_000, at(5_000), 20)).unwrap();
        let r = q.push(at(0), item("a", Class::Interactive, 5_000, at(5_000), 21)).unwrap_err();
        assert_eq!(r.reason, Reason::Late);
    }
    // Guards against a queue that grows without bound.
    the_bounds_hold: {
        let mut q = Queue::new(Limits { per_account: 3, ..LIMITS });
        for i in 0..3 {
            q.push(at(0), item("a", Class::Drafting, 1, at(60_000), i)).unwrap();
        }
        let r = q.push(at(0), item("a", Class::Drafting, 1, at(60_000), 9)).unwrap_err();
        assert_eq!(r.reason, Reason::Full);
    }
    // Guards against running a request whose caller was told that it timed out.
    an_expired_request_is_given_back_and_not_popped: {
        let mut q = Queue::new(LIMITS);
        q.push(at(0), item("a", Class::Interactive, 1, at(100), 1)).unwrap();
        assert!(q.pop(at(100), |_| true).is_none());
        let mut out = Vec::new();
        q.expire(at(100), &mut out);
        assert_eq!((out.len(), q.len()), (1, 0));
    }
}
