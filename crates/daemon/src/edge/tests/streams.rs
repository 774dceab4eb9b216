//! Tests of completions on engines whose answers are interrupted, duplicated, mixed up or late.

use std::{net::SocketAddr, time::Duration};

use awc::http::StatusCode;
use futures::StreamExt;
use serde_json::{Value, json};
use tokio::net::TcpSocket;

use super::fake::{FakeUpstream, Fault, KEY, TestEdge, completion, expected};
use crate::control::messages::{NotRunReason, Outcome};

macro_rules! cases {
    ($($name:ident: $body:block)*) => { $(#[actix_rt::test] async fn $name() $body)* };
}

async fn stream_with(faults: &[Fault]) -> (TestEdge, String) {
    let w = TestEdge::start();
    w.faults(faults);
    let a = w.post("/v1/completions", &completion(6, true)).await;
    assert_eq!(a.status, StatusCode::OK, "{a:?}");
    let text = a.text();
    (w, text)
}

/// Address that refuses connections. The socket keeps its port from other tests and does not listen.
struct Closed {
    socket: TcpSocket,
}

impl Closed {
    fn new() -> Self {
        let socket = TcpSocket::new_v4().unwrap();
        socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
        Self { socket }
    }

    fn addr(&self) -> SocketAddr {
        self.socket.local_addr().unwrap()
    }
}

cases! {
    // Guards against answers without text, usage or model.
    an_answer_has_text_and_usage: {
        let w = TestEdge::start();
        let a = w.post("/v1/completions", &completion(4, false)).await;
        let v = a.json();
        assert_eq!(v["choices"][0]["text"], expected(4));
        assert_eq!(v["choices"][0]["finish_reason"], "length");
        assert_eq!(v["model"], "deck@2");
        assert_eq!(v["object"], "text_completion");
        let usage = json!({"prompt_tokens": 7, "completion_tokens": 4, "total_tokens": 11});
        assert_eq!(v["usage"], usage);
        assert_eq!(a.headers["x-request-id"], "0000000000000abc-1");
        let done = w.ends(1).await[0];
        assert_eq!((done.used, done.outcome), (11, Outcome::Finished));
        assert!(done.key.is_some());
        let log = w.log.lock().unwrap();
        assert_eq!((log.admits[0].cost, log.admits[0].account.as_str()), (3 + 4, "shop"));
    }
    // Guards against streams that clients cannot parse.
    a_stream_ends_with_usage_and_done: {
        let w = TestEdge::start();
        let mut body = completion(3, true);
        body["stream_options"] = json!({"include_usage": true});
        let a = w.post("/v1/completions", &body).await;
        assert!(a.headers["content-type"].starts_with("text/event-stream"));
        assert_eq!(a.text(), expected(3));
        let events = a.events();
        let last: Value = serde_json::from_str(&events[events.len() - 2]).unwrap();
        assert_eq!(last["choices"], json!([]));
        assert_eq!(last["usage"]["total_tokens"], 10);
        assert_eq!(w.outcomes(1).await, [Outcome::Finished]);
    }
    // Guards against chat answers in the format of text completions.
    a_chat_has_messages_and_deltas: {
        let w = TestEdge::start();
        let mut body = json!({
            "model": "deck", "max_tokens": 2, "messages": [{"role": "user", "content": "hi"}]
        });
        let v = w.post("/v1/chat/completions", &body).await.json();
        assert_eq!(v["object"], "chat.completion");
        let message = json!({"role": "assistant", "content": expected(2)});
        assert_eq!(v["choices"][0]["message"], message);
        body["stream"] = json!(true);
        let a = w.post("/v1/chat/completions", &body).await;
        let events: Vec<Value> =
            a.events().iter().filter_map(|e| serde_json::from_str(e).ok()).collect();
        assert_eq!(events[0]["choices"][0]["delta"]["role"], "assistant");
        let text: String = events.iter()
            .map(|v| v["choices"][0]["delta"]["content"].as_str().unwrap_or("").to_owned())
            .collect();
        assert_eq!(text, expected(2));
        assert_eq!(events.last().unwrap()["choices"][0]["finish_reason"], "length");
        let sent: Value = serde_json::from_str(&w.up.seen.borrow()[0].body).unwrap();
        assert_eq!(sent["prompt"], "user: hi\nassistant:");
    }
    // Guards against lost or repeated tokens after the connection closes at any token.
    a_stream_is_resumed_at_any_token: {
        for n in 0..6 {
            let (w, text) = stream_with(
                &[Fault::Disconnect(n), Fault::Disconnect(0), Fault::Disconnect(1)]).await;
            assert_eq!(text, expected(6), "cut after {n}");
            assert!(w.up.count("GET /v1/streams/0000000000000abc-1?from=") >= 1);
        }
    }
    // Guards against taking a body with a regular but early end for a complete response.
    a_body_that_ends_early_is_not_a_complete_answer: {
        let (w, text) = stream_with(&[Fault::EndEarly(2)]).await;
        assert_eq!(text, expected(6));
        assert_eq!(w.up.count("GET /v1/streams/0000000000000abc-1?from=2 "), 1);
    }
    // Guards against duplicate, foreign and missing chunks in the answer.
    duplicate_foreign_and_missing_chunks_do_not_reach_the_caller: {
        for fault in [Fault::Duplicate, Fault::Foreign, Fault::Drop(0), Fault::Drop(3), Fault::Drop(5)] {
            assert_eq!(stream_with(&[fault]).await.1, expected(6), "{fault:?}");
        }
    }
    // Guards against waiting for a connection on which no data arrives any more.
    a_silent_stream_is_resumed_on_a_new_connection: {
        let (w, text) = stream_with(&[Fault::Stall(2), Fault::Stall(1)]).await;
        assert_eq!(text, expected(6));
        let seen = w.up.seen.borrow();
        assert_eq!(seen.len(), 3);
        assert!(seen.iter().all(|s| seen.iter().filter(|t| t.connection == s.connection).count() == 1));
    }
    // Guards against reusing a pooled connection after an attempt on it got no answer.
    a_silent_pooled_connection_is_replaced: {
        let w = TestEdge::start();
        w.post("/v1/completions", &completion(2, false)).await;
        w.faults(&[Fault::NoAnswer]);
        let a = w.post("/v1/completions", &completion(2, false)).await;
        assert_eq!(a.json()["choices"][0]["text"], expected(2));
        w.post("/v1/completions", &completion(2, false)).await;
        let seen = w.up.seen.borrow();
        let posts: Vec<usize> = seen.iter()
            .filter(|s| s.line().starts_with("POST")).map(|s| s.connection).collect();
        assert_eq!(posts[0], posts[1], "the first connection was pooled");
        assert!(posts[2..].iter().all(|c| *c != posts[0]), "{posts:?}");
    }
    // Guards against a request that fails because its first connection was dead.
    a_request_that_never_arrived_is_sent_again_with_another_id: {
        let (w, text) = stream_with(&[Fault::NoAnswer]).await;
        assert_eq!(text, expected(6));
        assert_eq!(w.log.lock().unwrap().retries, [NotRunReason::NoAnswer]);
        let ids: Vec<Value> = w.up.seen.borrow().iter()
            .filter(|s| s.line().starts_with("POST"))
            .map(|s| serde_json::from_str::<Value>(&s.body).unwrap()["request_id"].clone())
            .collect();
        assert_eq!(ids, ["0000000000000abc-1", "0000000000000abc-1.1"]);
    }
    // Guards against a request that is sent twice because it waits long in the engine's queue.
    a_slow_first_token_is_waited_for: {
        let (w, text) = stream_with(&[Fault::Delay(450), Fault::Delay(200)]).await;
        assert_eq!(text, expected(6));
        assert_eq!(w.up.count("POST"), 1);
    }
    // Guards against an incomplete response that looks complete.
    a_stream_that_cannot_be_resumed_ends_with_an_error: {
        let w = TestEdge::start();
        w.faults(&[Fault::Disconnect(2), Fault::Status(404, "unknown_stream")]);
        let a = w.post("/v1/completions", &completion(6, true)).await;
        assert_eq!(a.last_error(), ("upstream_failed".into(), "ran".into()));
        assert!(!a.body.contains("[DONE]"));
        assert_eq!(w.outcomes(1).await, [Outcome::Failed]);
        w.faults(&[Fault::Disconnect(2), Fault::Status(404, "unknown_stream")]);
        let a = w.post("/v1/completions", &completion(6, false)).await;
        assert_eq!(a.error(), (502, "upstream_failed".into(), "ran".into()));
    }
    // Guards against resuming forever without progress.
    resumes_without_progress_end: {
        let w = TestEdge::start();
        w.faults(&[Fault::Disconnect(2), Fault::Disconnect(0), Fault::Disconnect(0),
            Fault::Disconnect(0), Fault::Disconnect(0)]);
        let a = w.post("/v1/completions", &completion(6, true)).await;
        assert_eq!(a.last_error(), ("upstream_failed".into(), "ran".into()));
        assert_eq!(w.up.count("GET"), 3);
    }
    // Guards against an engine that exhausts the memory with a single event.
    an_endless_event_is_an_error: {
        let w = TestEdge::start();
        w.faults(&[Fault::Long(100_000)]);
        let a = w.post("/v1/completions", &completion(6, false)).await;
        assert_eq!(a.error(), (502, "upstream_failed".into(), "unknown".into()));
    }
    // Guards against a request that fails because the engine does not have the adapter loaded, and
    // against `not_run` for a request that ran.
    an_unknown_instance_is_retried_elsewhere: {
        let (w, text) = stream_with(&[Fault::Status(404, "unknown_instance")]).await;
        assert_eq!(text, expected(6));
        assert_eq!(w.log.lock().unwrap().retries, [NotRunReason::UnknownInstance]);
        w.faults(&[Fault::Status(404, "unknown_instance"); 3]);
        let a = w.post("/v1/completions", &completion(6, true)).await;
        assert_eq!(a.error(), (503, "no_upstream".into(), "not_run".into()));
        let outcomes = w.outcomes(2).await;
        assert_eq!(outcomes[1], Outcome::NotRun(NotRunReason::UnknownInstance));
    }
    // Guards against retries that increase an overload.
    an_overload_is_not_retried: {
        let w = TestEdge::start();
        w.faults(&[Fault::Status(429, "overloaded")]);
        let a = w.post("/v1/completions", &completion(6, true)).await;
        assert_eq!(a.error(), (503, "overloaded".into(), "not_run".into()));
        assert_eq!(a.headers["retry-after"], "1");
        assert_eq!(w.up.lines().len(), 1);
        assert_eq!(w.outcomes(1).await, [Outcome::NotRun(NotRunReason::Overloaded)]);
    }
    // Guards against a wrong `unknown`, which keeps callers from retrying.
    no_connection_is_not_run: {
        let up = FakeUpstream::start(0);
        let closed = Closed::new();
        let w = TestEdge::with(up, vec![closed.addr()], 1000);
        let a = w.post("/v1/completions", &completion(6, true)).await;
        assert_eq!(a.error(), (503, "no_upstream".into(), "not_run".into()));
        assert_eq!(w.outcomes(1).await, [Outcome::NotRun(NotRunReason::ConnectFailed)]);
        assert_eq!(
            w.log.lock().unwrap().retries,
            [NotRunReason::ConnectFailed, NotRunReason::ConnectFailed]
        );
    }
    // Guards against a wrong `not_run` if the connection closes after the request was sent.
    a_request_without_any_answer_is_unknown: {
        let w = TestEdge::start();
        w.faults(&[Fault::Hangup; 12]);
        let a = w.post("/v1/completions", &completion(6, true)).await;
        assert_eq!(a.error(), (504, "upstream_silent".into(), "unknown".into()));
        assert_eq!(w.outcomes(1).await, [Outcome::Failed]);
    }
    // Guards against a last attempt that certainly did not run and hides a first one that may have
    // run.
    one_uncertain_attempt_makes_the_request_unknown: {
        let up = FakeUpstream::start(0);
        let closed = [Closed::new(), Closed::new()];
        let addrs = vec![up.addr, closed[0].addr(), closed[1].addr()];
        let w = TestEdge::with(up, addrs, 1000);
        w.faults(&[Fault::Hangup]);
        let a = w.post("/v1/completions", &completion(6, true)).await;
        assert_eq!(a.error(), (503, "no_upstream".into(), "unknown".into()));
    }
    // Guards against an engine that continues after the caller has disconnected.
    a_disconnect_cancels_the_request: {
        let up = FakeUpstream::start(20);
        let addrs = vec![up.addr];
        let w = TestEdge::with(up, addrs, 1000);
        let url = format!("http://{}/v1/completions", w.addr);
        let mut r =
            w.client.post(&url).bearer_auth(KEY).send_json(&completion(400, true)).await.unwrap();
        assert!(r.next().await.is_some());
        drop(r);
        w.wait(|| w.up.count("DELETE /v1/streams/0000000000000abc-1 ") == 1).await;
        let done = w.ends(1).await[0];
        assert_eq!(done.outcome, Outcome::Cancelled);
        assert!(done.used > 3 && done.used < 400, "{done:?}");
        assert_eq!(w.tracker.count(), 0);
    }
    // Guards against a waiting request that continues after the caller has disconnected.
    a_disconnect_before_the_first_token_cancels_the_request: {
        let w = TestEdge::start();
        w.faults(&[Fault::Delay(5000)]);
        let url = format!("http://{}/v1/completions", w.addr);
        let call = w.client.post(&url).bearer_auth(KEY).send_json(&completion(4, false));
        assert!(tokio::time::timeout(Duration::from_millis(100), call).await.is_err());
        w.wait(|| w.up.count("DELETE") == 1).await;
        assert_eq!(w.outcomes(1).await, [Outcome::Cancelled]);
    }
    // Guards against answers that continue after the caller's deadline.
    the_deadline_ends_a_running_answer: {
        let up = FakeUpstream::start(30);
        let addrs = vec![up.addr];
        let w = TestEdge::with(up, addrs, 1000);
        let a = w.post_with(
            "/v1/completions", &completion(400, true), &[("x-deadline-ms", "200")]).await;
        assert_eq!(a.last_error(), ("deadline".into(), "ran".into()));
        assert_eq!(w.outcomes(1).await, [Outcome::Cancelled]);
        w.wait(|| w.up.count("DELETE") == 1).await;
    }
    // Guards against a wrong `not_run` if the deadline passes before the first token.
    a_deadline_before_the_first_token_is_unknown: {
        let w = TestEdge::start();
        w.faults(&[Fault::NoAnswer]);
        let a = w.post_with(
            "/v1/completions", &completion(4, true), &[("x-deadline-ms", "150")]).await;
        assert_eq!(a.error(), (504, "deadline".into(), "unknown".into()));
    }
    // Guards against a caller that keeps an engine busy by not reading the answer.
    a_caller_that_does_not_read_is_ended_at_its_deadline: {
        let w = TestEdge::start();
        let mut body = completion(100_000, true);
        body["prompt"] = json!("x");
        let url = format!("http://{}/v1/completions", w.addr);
        let call = w.client.post(&url).bearer_auth(KEY).insert_header(("x-deadline-ms", "400"));
        let r = call.send_json(&body).await.unwrap();
        assert_eq!(w.outcomes(1).await, [Outcome::Cancelled]);
        drop(r);
        w.wait(|| w.tracker.count() == 0).await;
    }
    // Guards against retrying a refusal of the control thread, which adds load: the first one has
    // to be returned at once.
    a_refusal_of_the_control_thread_is_returned: {
        let w = TestEdge::start();
        let r = crate::control::messages::Refusal::not_run(
            crate::control::messages::ErrorCode::RateLimited, "the allowance is used up",
        );
        w.log.lock().unwrap().refuse = Some(r.with_retry_after(Duration::from_millis(1500)));
        let a = w.post("/v1/completions", &completion(4, true)).await;
        assert_eq!(a.error(), (429, "rate_limited".into(), "not_run".into()));
        assert_eq!(a.headers["retry-after"], "2");
        assert_eq!(a.json()["error"]["retry_after_ms"], 1500);
        assert!(w.metrics.render().contains(
            "yuccawing_refusals_total{account=\"shop\",reason=\"rate_limited\"} 1"));
        assert!(w.up.lines().is_empty());
        assert!(w.log.lock().unwrap().ends.is_empty());
    }
}
