use serde_json::json;
use yuccawing_core::{ids::Incarnation, time::Tick};

use super::{EndedRequest, HISTORY_SIZE, History, RequestEnd, WaitTimes};
use crate::control::messages::{ErrorCode, NotRunReason, Outcome, Refusal, RequestId};

macro_rules! cases {
    ($($name:ident: $body:block)*) => { $(#[test] fn $name() $body)* };
}

fn at(ms: u64) -> Tick {
    Tick(ms * 1000)
}

fn id(seq: u64) -> RequestId {
    RequestId { incarnation: Incarnation(1), seq }
}

fn past(seq: u64) -> EndedRequest {
    EndedRequest {
        id: id(seq),
        account: None,
        tokens: 0,
        used: 0,
        location: None,
        avoid: Vec::new(),
        tries: 0,
        waits: WaitTimes::default(),
        end: RequestEnd::Done(Outcome::NotRun(NotRunReason::Abandoned)),
    }
}

cases! {
    // Guards against time that is counted twice, under the wrong cause, or not at all.
    waits_are_counted_by_cause: {
        let mut w = WaitTimes::new(at(100));
        w.end_token_wait(at(150));
        w.start_pin_wait(at(160));
        w.start_pin_wait(at(170));
        assert_eq!(w.pin_wait(at(200)).as_millis(), 40);
        w.end_pin_wait(at(460));
        assert_eq!(w.pin_wait(at(500)).as_millis(), 0);
        w.end_queue_wait(at(465));
        assert_eq!(w.json(), json!({"tokens_ms": 50, "queue_ms": 15, "pin_ms": 300}));
        // Time on an upstream that did not run the request is not a wait.
        w.restart(at(1000));
        w.start_pin_wait(at(1000));
        w.end_queue_wait(at(1200));
        assert_eq!(w.json(), json!({"tokens_ms": 50, "queue_ms": 15, "pin_ms": 500}));
    }
    // Guards against a history without a bound, and against refusals that evict ended requests.
    a_bounded_number_is_remembered: {
        let mut h = History::default();
        let n = HISTORY_SIZE as u64;
        h.end(past(0));
        for i in 1..=n * 2 {
            h.refuse(id(i), Refusal::not_run(ErrorCode::BadKey, "x"));
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
