//! Tests of calls to plain services.

use std::net::TcpListener;

use awc::http::StatusCode;
use serde_json::json;

use super::fake::{FakeUpstream, Fault, Response, TestEdge};
use crate::control::messages::{NotRunReason, Outcome};

macro_rules! cases {
    ($($name:ident: $body:block)*) => { $(#[actix_rt::test] async fn $name() $body)* };
}

async fn order(w: &TestEdge) -> Response {
    let ticket =
        w.post("/v1/tickets", &json!({})).await.json()["ticket"].as_str().unwrap().to_owned();
    w.post_with("/orders/new", &json!({"cards": 60}), &[("x-ticket", &ticket)]).await
}

cases! {
    // Guards against calls whose path, query or body is lost.
    a_call_is_forwarded: {
        let w = TestEdge::start();
        let a = w.post_with("/catalogue/cards?set=a%20b", &json!({"q": 1}), &[("x-other", "y")]).await;
        assert_eq!(a.json(), json!({"answer": "whole"}));
        assert_eq!(a.headers["content-type"], "application/json");
        let seen = w.up.seen.borrow()[0].clone();
        assert_eq!(seen.line(), "POST /catalogue/cards?set=a%20b HTTP/1.1");
        assert_eq!(seen.body, "{\"q\":1}");
        assert!(seen.head.contains("x-request-id: 0000000000000abc-1"));
        assert!(!seen.head.contains("x-other"));
        let done = w.ends(1).await[0];
        assert_eq!((done.used, done.outcome), (3, Outcome::Finished));
    }
    // Guards against an idempotent call that fails although it may be retried.
    an_idempotent_call_is_retried: {
        for fault in [Fault::Hangup, Fault::Short, Fault::Chunks, Fault::NoAnswer] {
            let w = TestEdge::start();
            w.faults(&[fault]);
            let a = w.get("/catalogue").await;
            assert_eq!(a.json(), json!({"answer": "whole"}), "{fault:?}");
            assert_eq!(w.up.count("GET"), 2);
        }
    }
    // Guards against an incomplete response that is returned as complete.
    an_incomplete_answer_is_an_error: {
        for fault in [Fault::Short, Fault::Chunks] {
            let w = TestEdge::start();
            w.faults(&[fault; 3]);
            let a = w.get("/catalogue").await;
            assert_eq!(a.error(), (502, "upstream_failed".into(), "ran".into()), "{fault:?}");
            assert_eq!(w.up.count("GET"), 3);
            assert_eq!(w.outcomes(1).await, [Outcome::Failed]);
        }
    }
    // Guards against running a non-idempotent call twice.
    a_non_idempotent_call_is_sent_once: {
        for (fault, run) in [(Fault::Hangup, "unknown"), (Fault::Short, "ran"), (Fault::Chunks, "ran")] {
            let w = TestEdge::start();
            w.faults(&[fault]);
            let a = order(&w).await;
            assert_eq!(a.error(), (502, "upstream_failed".into(), run.into()), "{fault:?}");
            assert_eq!(w.up.count("POST /orders"), 1);
            assert!(w.log.lock().unwrap().retries.is_empty());
            assert_eq!(w.outcomes(1).await, [Outcome::Failed]);
        }
    }
    // Guards against a status that HTTP does not have and that reaches the caller as an answer, and
    // against a call that may have run and is sent again.
    a_status_outside_http_is_no_answer: {
        for status in [0, 99, 600, 999] {
            let w = TestEdge::start();
            w.faults(&[Fault::Status(status, "odd")]);
            let a = order(&w).await;
            assert_eq!((a.error().0, a.error().1), (502, "upstream_failed".into()), "{status}");
            assert_eq!(w.up.count("POST /orders"), 1, "{status}");
        }
    }
    // Guards against sending a call that cannot be retried on a reused connection, which may be
    // dead.
    a_non_idempotent_call_uses_a_new_connection: {
        let w = TestEdge::start();
        w.get("/catalogue").await;
        assert_eq!(order(&w).await.status, StatusCode::OK);
        assert_eq!(order(&w).await.status, StatusCode::OK);
        let connections: Vec<usize> = w.up.seen.borrow().iter().map(|s| s.connection).collect();
        assert_eq!(connections, [1, 2, 3]);
    }
    // Guards against non-idempotent calls without a ticket or with a used one.
    a_non_idempotent_call_needs_a_ticket: {
        let w = TestEdge::start();
        let a = w.post("/orders/new", &json!({})).await;
        assert_eq!(a.error(), (428, "ticket_needed".into(), "not_run".into()));
        for status in [200, 409] {
            let a = w.post_with("/orders/new", &json!({}), &[("x-ticket", "1.7.2")]).await;
            assert_eq!(a.status, status);
        }
        assert_eq!(w.up.count("POST"), 1);
    }
    // Guards against a wrong `unknown`, after which the caller has to find out whether its order
    // ran.
    no_connection_is_not_run: {
        let closed = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
        let up = FakeUpstream::start(0);
        let good = up.addr;
        let w = TestEdge::with(up, vec![closed; 3], 1000);
        let a = order(&w).await;
        assert_eq!(a.error(), (503, "no_upstream".into(), "not_run".into()));
        assert_eq!(w.outcomes(1).await, [Outcome::NotRun(NotRunReason::ConnectFailed)]);
        let up = FakeUpstream::start(0);
        let w = TestEdge::with(up.clone(), vec![closed, up.addr], 1000);
        assert_ne!(up.addr, good);
        assert_eq!(order(&w).await.status, StatusCode::OK);
    }
    // Guards against retrying a call because the service answered with an error status.
    an_answer_with_an_error_status_is_returned: {
        let w = TestEdge::start();
        w.faults(&[Fault::Status(503, "down")]);
        let a = w.get("/catalogue").await;
        assert_eq!((a.status.as_u16(), a.json()), (503, json!({"code": "down"})));
        assert_eq!(w.up.count("GET"), 1);
    }
    // Guards against a path of an open route that reaches a route that needs a key.
    paths_have_to_be_canonical: {
        let w = TestEdge::start();
        for path in ["/open/%2e%2e/orders", "/open/%2E./orders", "/open//orders", "/open/a%2fb",
            "/open/a%5Cb", "/open/%252e%252e/orders"] {
            let r = w.client.get(format!("http://{}{path}", w.addr)).send().await.unwrap();
            assert_eq!(r.status(), StatusCode::BAD_REQUEST, "{path}");
        }
        assert!(w.up.lines().is_empty());
    }
    // Guards against open routes that need a key, and against other routes that do not.
    only_open_routes_need_no_key: {
        let w = TestEdge::start();
        for (path, status) in [("/open/x", 200), ("/open", 200), ("/opening", 404), ("/catalogue", 401)] {
            let r = w.client.get(format!("http://{}{path}", w.addr)).send().await.unwrap();
            assert_eq!(r.status(), status, "{path}");
        }
        let log = w.log.lock().unwrap();
        assert!(log.plains.iter().all(|p| p.account.is_none()));
    }
}
