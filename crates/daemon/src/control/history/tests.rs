use serde_json::json;
use yuccawing_core::{ids::Incarnation, time::Tick};

use super::{End, History, Past, REMEMBERED, Waits};
use crate::control::messages::{Code, NotRun, Outcome, Refusal, RequestId};

macro_rules! cases {
    ($($name:ident: $body:block)*) => { $(#[test] fn $name() $body)* };
}

fn at(ms: u64) -> Tick {
    Tick(ms * 1000)
}

fn id(seq: u64) -> RequestId {
    RequestId { incarnation: Incarnation(1), seq }
}

fn past(seq: u64) -> Past {
    Past {
        id: id(seq),
        account: None,
        tokens: 0,
        used: 0,
        place: None,
        avoid: Vec::new(),
        tries: 0,
        waits: Waits::default(),
        end: End::Done(Outcome::NotRun(NotRun::Caller)),
    }
}

cases! {
    // Guards against a wait that is counted twice, for another cause, or not at all.
    waits_are_counted_by_cause: {
        let mut w = Waits::new(at(100));
        w.granted(at(150));
        w.needs_pin(at(160));
        w.needs_pin(at(170));
        assert_eq!(w.without_pin(at(200)).as_millis(), 40);
        w.pinned(at(460));
        assert_eq!(w.without_pin(at(500)).as_millis(), 0);
        w.left_queue(at(465));
        assert_eq!(w.json(), json!({"tokens_ms": 50, "queue_ms": 15, "pin_ms": 300}));
        // The time on an upstream that did not run it is no wait.
        w.restart(at(1000));
        w.needs_pin(at(1000));
        w.left_queue(at(1200));
        assert_eq!(w.json(), json!({"tokens_ms": 50, "queue_ms": 15, "pin_ms": 500}));
    }
    // Guards against memory that grows with the requests, and against refusals that push out the
    // requests that ended.
    a_bounded_number_is_remembered: {
        let mut h = History::default();
        let n = REMEMBERED as u64;
        h.end(past(0));
        for i in 1..=n * 2 {
            h.refuse(id(i), Refusal::not_run(Code::BadKey, "x"));
        }
        assert_eq!(h.explain(id(0)).unwrap()["outcome"], "not_run");
        assert!(h.explain(id(n)).is_none());
        assert_eq!(h.explain(id(n + 1)).unwrap()["code"], "bad_key");
        for i in 0..n {
            h.end(past(n * 3 + i));
        }
        assert!(h.explain(id(0)).is_none());
        assert!(h.explain(id(n * 3)).is_some());
    }
}
