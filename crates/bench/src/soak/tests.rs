//! A recorded history for each promise, in which the judge must raise.

use std::time::{Duration, Instant};

use super::judge::{History, Kind, Order, REVOKE, Request, Run, judge};

fn request(id: &str, now: Instant) -> Request {
    Request {
        id: id.into(),
        kind: Kind::Once,
        key: "k".into(),
        account: "one".into(),
        sent: now,
        status: Some(200),
        whole: true,
        echoed: id.into(),
        seal: format!("seal-{id}"),
        body: "b".into(),
        expected: "b".into(),
    }
}

fn run(id: &str, now: Instant) -> Run {
    Run {
        replica: "p0".into(),
        id: id.into(),
        at: now,
        ran: true,
        account: "one".into(),
        key: false,
        units: 200.0,
    }
}

fn order(holder: &str, fence: u64, at: Instant) -> Order {
    Order { replica: "e0".into(), holder: holder.into(), fence, at }
}

fn good(now: Instant) -> History {
    History { requests: vec![request("a", now)], runs: vec![run("a", now)], ..History::default() }
}

fn raises(h: &History, word: &str) {
    let found = judge(h);
    assert!(found.len() == 1 && found[0].starts_with(word), "{found:?}");
}

macro_rules! cases {
    ($($name:ident($now:ident): $body:block)*) => {
        $(#[test] fn $name() { let $now = Instant::now() + Duration::from_secs(60); $body })*
    };
}

cases! {
    // Guards against a judge that raises where nothing is broken.
    a_good_history_passes(now): {
        assert!(judge(&good(now)).is_empty());
    }
    a_second_run_is_found(now): {
        let mut h = good(now);
        h.runs.push(Run { replica: "p1".into(), ..run("a", now) });
        raises(&h, "TWICE");
    }
    a_false_refusal_is_found(now): {
        let mut h = good(now);
        h.requests[0].status = Some(503);
        raises(&h, "REFUSED");
    }
    a_mixed_answer_is_found(now): {
        let mut h = good(now);
        h.requests[0].body = "other".into();
        raises(&h, "MIXED");
    }
    a_cut_answer_that_looks_complete_is_found(now): {
        let mut h = good(now);
        h.requests[0].expected = "b and more".into();
        raises(&h, "MIXED");
    }
    a_wrong_account_is_found(now): {
        let mut h = good(now);
        h.runs[0].account = "two".into();
        raises(&h, "ACCOUNT");
    }
    a_key_at_a_replica_is_found(now): {
        let mut h = good(now);
        h.runs[0].key = true;
        raises(&h, "KEY");
    }
    a_request_of_nobody_is_found(now): {
        let mut h = good(now);
        h.runs.push(run("b", now));
        raises(&h, "UNASKED");
    }
    a_withdrawn_key_is_found(now): {
        let mut h = good(now);
        h.withdrawn.insert("k".into(), now - REVOKE - Duration::from_millis(1));
        raises(&h, "REVOKED");
    }
    work_for_a_leaving_replica_is_found(now): {
        let mut h = good(now);
        h.left.insert("p0".into(), now - Duration::from_secs(5));
        raises(&h, "DRAIN");
        h.disturbed.push((now - Duration::from_secs(4), now));
        assert!(judge(&h).is_empty(), "a disturbed host is not bound in time");
    }
    an_exceeded_limit_is_found(now): {
        let mut h = good(now);
        h.limits.insert("one".into(), 10.0);
        h.runs[0].units = 2000.0;
        raises(&h, "QUOTA");
    }
    two_holders_are_found(now): {
        let mut h = good(now);
        h.orders = vec![order("h0", 1, now), order("h1", 2, now + Duration::from_millis(100))];
        raises(&h, "ONE");
    }
    a_falling_token_is_found(now): {
        let mut h = good(now);
        h.orders = vec![order("h0", 2, now), order("h0", 1, now + Duration::from_secs(9))];
        raises(&h, "ONE");
    }
    too_many_adapters_are_found(now): {
        let mut h = good(now);
        h.overfull = vec!["e0".into()];
        raises(&h, "PLACES");
    }
    a_configuration_that_goes_back_is_found(now): {
        let mut h = good(now);
        h.versions = vec![vec![1, 3, 2]];
        raises(&h, "CONFIG");
    }
    a_stop_that_hangs_is_found(now): {
        let mut h = good(now);
        h.hung = vec!["h0".into()];
        raises(&h, "STOP");
    }
}
