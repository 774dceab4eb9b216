//! Requests through a real host.

mod support;

use serde_json::json;
use support::{Fleet, Plan};

macro_rules! cases {
    ($($name:ident: $body:block)*) => { $(#[test] fn $name() $body)* };
}

cases! {
    // Guards against a ticket that is lost with a call that no service got, so that a caller cannot
    // use it for the next attempt.
    a_call_that_did_not_run_gives_its_ticket_back: {
        let f = Fleet::start(&Plan::default(), None);
        let ticket = f.ticket(0);
        let call = |path| f.post(0, path, &[("x-ticket", &ticket)], &json!({}));
        for _ in 0..2 {
            assert_eq!(call("/dead/x").error(), (503, "no_upstream".into(), "not_run".into()));
        }
        assert_eq!(call("/once/x").status, 200);
        assert_eq!(call("/once/x").error(), (409, "ticket_spent".into(), "ran".into()));
        assert_eq!(f.journal("p0", "call").len(), 1, "{:?}", f.journal("p0", "call"));
    }
}
