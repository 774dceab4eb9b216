//! Each test hands the checker a history with one violated guarantee, which it must find.

use std::{
    net::{IpAddr, Ipv4Addr},
    time::{Duration, Instant},
};

use super::{
    history::{History, Idempotency, Order, REVOKE_LIMIT, ReceivedRequest, SentRequest, check},
    limits::NamedLimit,
};

const HOST: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);

fn request(id: &str, now: Instant) -> SentRequest {
    SentRequest {
        id: id.into(),
        kind: Idempotency::Once,
        host: Some(HOST),
        key: "k".into(),
        account: "one".into(),
        sent: now,
        status: Some(200),
        finished: true,
        response_id: id.into(),
        seal: format!("seal-{id}"),
        body: "b".into(),
        expected: "b".into(),
    }
}

fn run(id: &str, now: Instant) -> ReceivedRequest {
    ReceivedRequest {
        replica: "p0".into(),
        id: id.into(),
        at: now,
        ran: true,
        account: "one".into(),
        has_key: false,
        units: 200.0,
    }
}

fn order(holder: &str, fence: u64, at: Instant) -> Order {
    Order { replica: "e0".into(), holder: holder.into(), fence, at }
}

fn clean_history(now: Instant) -> History {
    History {
        requests: vec![request("a", now)],
        received: vec![run("a", now)],
        ..History::default()
    }
}

fn assert_finds(h: &History, word: &str) {
    let found = check(h);
    assert!(found.len() == 1 && found[0].starts_with(word), "{found:?}");
}

macro_rules! cases {
    ($($name:ident($now:ident): $body:block)*) => {
        $(#[test] fn $name() { let $now = Instant::now() + Duration::from_secs(60); $body })*
    };
}

cases! {
    // Guards against violations reported for a correct history.
    a_correct_history_has_no_violations(now): {
        assert!(check(&clean_history(now)).is_empty());
    }
    a_second_run_is_found(now): {
        let mut h = clean_history(now);
        h.received.push(ReceivedRequest { replica: "p1".into(), ..run("a", now) });
        assert_finds(&h, "TWICE");
    }
    a_false_refusal_is_found(now): {
        let mut h = clean_history(now);
        h.requests[0].status = Some(503);
        assert_finds(&h, "REFUSED");
    }
    a_mixed_answer_is_found(now): {
        let mut h = clean_history(now);
        h.requests[0].body = "other".into();
        assert_finds(&h, "MIXED");
    }
    a_truncated_answer_that_looks_complete_is_found(now): {
        let mut h = clean_history(now);
        h.requests[0].expected = "b and more".into();
        assert_finds(&h, "MIXED");
    }
    a_wrong_account_is_found(now): {
        let mut h = clean_history(now);
        h.received[0].account = "two".into();
        assert_finds(&h, "ACCOUNT");
    }
    a_key_at_a_replica_is_found(now): {
        let mut h = clean_history(now);
        h.received[0].has_key = true;
        assert_finds(&h, "KEY");
    }
    a_request_that_no_caller_sent_is_found(now): {
        let mut h = clean_history(now);
        h.received.push(run("b", now));
        assert_finds(&h, "UNASKED");
    }
    use_of_a_revoked_key_is_found(now): {
        let mut h = clean_history(now);
        h.revoked.insert("k".into(), now - REVOKE_LIMIT - Duration::from_millis(1));
        assert_finds(&h, "REVOKED");
    }
    work_for_a_leaving_replica_is_found(now): {
        let mut h = clean_history(now);
        h.leaving.insert("p0".into(), now - Duration::from_secs(5));
        assert_finds(&h, "DRAIN");
        h.disturbances.push((now - Duration::from_secs(4), now));
        assert!(check(&h).is_empty(), "time limits do not hold during a disturbance");
    }
    an_exceeded_limit_is_found(now): {
        let mut h = clean_history(now);
        h.limits.insert("one".into(), 10.0);
        h.received[0].units = 2000.0;
        assert_finds(&h, "QUOTA");
    }
    an_exceeded_limit_of_a_replica_is_found(now): {
        let mut h = clean_history(now);
        let span = (now - Duration::from_secs(4), now + Duration::from_secs(4));
        h.named_limits.push(NamedLimit { replica: "p0".into(), rate: 1.0, span });
        for n in 0..11 {
            h.requests.push(request(&format!("b{n}"), now));
            h.received.push(run(&format!("b{n}"), now));
        }
        assert_finds(&h, "LIMIT");
        h.host_faults.push((HOST, now - Duration::from_secs(1), now));
        assert!(check(&h).is_empty(), "a limit does not bind a host that was disturbed");
    }
    two_holders_are_found(now): {
        let mut h = clean_history(now);
        h.orders = vec![order("h0", 1, now), order("h1", 2, now + Duration::from_millis(100))];
        assert_finds(&h, "ONE");
    }
    a_decreasing_token_is_found(now): {
        let mut h = clean_history(now);
        h.orders = vec![order("h0", 2, now), order("h0", 1, now + Duration::from_secs(9))];
        assert_finds(&h, "ONE");
    }
    too_many_adapters_are_found(now): {
        let mut h = clean_history(now);
        h.over_capacity = vec!["e0".into()];
        assert_finds(&h, "PLACES");
    }
    a_reverted_configuration_is_found(now): {
        let mut h = clean_history(now);
        h.versions = vec![vec![1, 3, 2]];
        assert_finds(&h, "CONFIG");
    }
    a_stop_that_hangs_is_found(now): {
        let mut h = clean_history(now);
        h.hung = vec!["h0".into()];
        assert_finds(&h, "STOP");
    }
}
