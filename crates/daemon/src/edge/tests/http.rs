//! Tests of keys, paths, methods, request bodies, TLS and HTTP/2.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use awc::http::StatusCode;
use bytes::Bytes;
use h2::RecvStream;
use serde_json::json;
use tokio::{
    io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt},
    net::TcpStream,
};
use yuccawing_core::rules::Class;

use super::fake::{FakeUpstream, Fault, KEY, Response, TestEdge, completion, expected, snapshot};
use crate::{
    control::messages::{ErrorCode, HostEntry, Hosts, Outcome},
    edge::{Setup, serve},
};

/// Requests a completion of `n` tokens. The connection stays open as long as the returned sender.
async fn h2_call<S>(socket: S, addr: SocketAddr, n: u64) -> (http::Response<RecvStream>, H2)
where
    S: AsyncRead + AsyncWrite + Unpin + 'static,
{
    let (client, connection) = h2::client::handshake(socket).await.unwrap();
    actix_rt::spawn(async move {
        let _ = connection.await;
    });
    let mut client: H2 = client.ready().await.unwrap();
    let request = http::Request::post(format!("http://{addr}/v1/completions"))
        .header("authorization", format!("Bearer {KEY}"))
        .body(())
        .unwrap();
    let (response, mut body) = client.send_request(request, false).unwrap();
    body.send_data(completion(n, true).to_string().into(), true).unwrap();
    let response = response.await.unwrap();
    assert_eq!(response.status(), 200);
    (response, client)
}

async fn h2_stream<S>(socket: S, addr: SocketAddr, n: u64) -> String
where
    S: AsyncRead + AsyncWrite + Unpin + 'static,
{
    let (response, _client) = h2_call(socket, addr, n).await;
    let (mut body, mut out) = (response.into_body(), Vec::new());
    while let Some(part) = body.data().await {
        let part = part.unwrap();
        let _ = body.flow_control().release_capacity(part.len());
        out.extend_from_slice(&part);
    }
    String::from_utf8(out).unwrap()
}

type H2 = h2::client::SendRequest<Bytes>;

macro_rules! cases {
    ($($name:ident: $body:block)*) => { $(#[actix_rt::test] async fn $name() $body)* };
}

async fn raw(w: &TestEdge, text: &str) -> String {
    let mut s = TcpStream::connect(w.addr).await.unwrap();
    s.write_all(text.as_bytes()).await.unwrap();
    let mut out = Vec::new();
    let _ = tokio::time::timeout(Duration::from_secs(8), s.read_to_end(&mut out)).await.unwrap();
    String::from_utf8_lossy(&out).into_owned()
}

async fn keyed(w: &TestEdge, key: Option<&str>) -> Response {
    let mut r = w.client.post(format!("http://{}/v1/completions", w.addr));
    if let Some(key) = key {
        r = r.insert_header(("authorization", key));
    }
    Response::read(r.send_json(&completion(2, false)).await.unwrap()).await
}

cases! {
    // Guards against leaking API keys to upstreams, logs or metrics.
    keys_are_not_leaked: {
        let w = TestEdge::start();
        w.post("/v1/completions", &completion(2, true)).await;
        w.post("/v1/completions", &json!({"model": "none", "prompt": "x"})).await;
        w.post("/catalogue/x", &json!({})).await;
        keyed(&w, Some("Bearer not-the-key-of-anyone")).await;
        w.ends(2).await;
        let seen = format!("{:?}", w.up.seen.borrow());
        let logs = w.lines.text();
        assert!(logs.contains("\"code\":\"bad_key\""), "{logs}");
        for text in [&seen, &logs, &w.metrics.render()] {
            assert!(!text.contains(KEY) && !text.contains("not-the-key"), "{text}");
            assert!(!text.to_ascii_lowercase().contains("authorization"), "{text}");
        }
        assert_eq!(w.up.seen.borrow().len(), 2);
    }
    // Guards against running requests without a valid key.
    a_valid_key_is_needed: {
        let w = TestEdge::start();
        let upper = format!("Bearer {}", KEY.to_uppercase());
        let long = format!("Bearer {}", "x".repeat(600));
        let part = format!("Bearer {}", &KEY[..KEY.len() - 1]);
        for key in [None, Some(""), Some("Bearer "), Some(KEY), Some(upper.as_str()), Some(long.as_str()),
            Some(part.as_str()), Some("Basic abc")] {
            let a = keyed(&w, key).await;
            assert_eq!(a.error(), (401, "bad_key".into(), "not_run".into()), "{key:?}");
            assert_eq!(a.headers["www-authenticate"], "Bearer");
        }
        let lower = format!("bearer {KEY}");
        assert_eq!(keyed(&w, Some(&lower)).await.status, StatusCode::OK);
        assert_eq!(w.get("/v1/models").await.status, StatusCode::OK);
        assert_eq!(w.up.count("POST"), 1);
    }
    // Guards against a revoked key that still works, and against a revocation that interrupts a
    // running stream.
    a_revoked_key_is_refused_and_its_running_stream_finishes: {
        let up = FakeUpstream::start(20);
        let addrs = vec![up.addr];
        let w = TestEdge::with(up, addrs, 1000);
        let body = completion(15, true);
        let running = w.post("/v1/completions", &body);
        let revoke = async {
            w.wait(|| w.up.count("POST") == 1).await;
            let mut s = snapshot();
            s.keys = Arc::default();
            w.snapshot.store(s.into());
            w.post("/v1/completions", &completion(2, false)).await
        };
        let (stream, refused) = futures::join!(running, revoke);
        assert_eq!(stream.text(), expected(15));
        assert_eq!(refused.error(), (401, "bad_key".into(), "not_run".into()));
    }
    // Guards against a host without configuration that reports a valid key as wrong.
    a_host_that_is_not_ready_says_so: {
        let w = TestEdge::start();
        w.snapshot.store(Arc::default());
        let a = w.post("/v1/completions", &completion(2, false)).await;
        assert_eq!(a.error(), (503, "not_ready".into(), "not_run".into()));
        assert_eq!(w.get("/readyz").await.status, StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(w.get("/healthz").await.status, StatusCode::OK);
    }
    // Guards against a request that runs on another adapter or version than the caller named.
    model_and_version_are_resolved: {
        let w = TestEdge::start();
        for (model, version) in [("deck", "2"), ("deck@1", "1"), ("deck@2", "2")] {
            w.post("/v1/completions", &json!({"model": model, "prompt": "x", "max_tokens": 1})).await;
            assert_eq!(w.log.lock().unwrap().admits.last().unwrap().version, version);
        }
        for model in ["none", "deck@3", "deck@", "@1", ""] {
            let body = json!({"model": model, "prompt": "x"});
            let a = w.post("/v1/completions", &body).await;
            assert_eq!(a.error(), (404, "not_found".into(), "not_run".into()), "{model}");
        }
    }
    // Guards against callers that raise their own priority class.
    a_class_can_only_be_lowered: {
        let w = TestEdge::start();
        for (model, asked, class) in [
            ("deck", "status", Class::Interactive), ("deck", "drafting", Class::Drafting),
            ("check", "status", Class::Status), ("check", "interactive", Class::Interactive),
        ] {
            let body = json!({"model": model, "prompt": "x", "max_tokens": 1});
            w.post_with("/v1/completions", &body, &[("x-class", asked)]).await;
            assert_eq!(w.log.lock().unwrap().admits.last().unwrap().class, class);
        }
        let a = w.post_with(
            "/v1/completions", &completion(1, false), &[("x-class", "first")]).await;
        assert_eq!(a.error(), (400, "bad_request".into(), "not_run".into()));
        assert!(w.metrics.render().contains("yuccawing_status_seconds_count{account=\"shop\"} 1"));
    }
    // Guards against deadlines that outlast the pins of the request.
    deadlines_have_a_range: {
        let w = TestEdge::start();
        for ms in ["0", "-1", "120001", "soon", ""] {
            let a = w.post_with(
                "/v1/completions", &completion(1, false), &[("x-deadline-ms", ms)]).await;
            assert_eq!(a.error(), (400, "bad_request".into(), "not_run".into()), "{ms}");
        }
        let a = w.post_with(
            "/v1/completions", &completion(1, false), &[("x-deadline-ms", "120000")]).await;
        assert_eq!(a.status, StatusCode::OK);
    }
    // Guards against error responses that clients cannot parse.
    unknown_paths_and_methods_answer_in_json: {
        let w = TestEdge::start();
        assert_eq!(w.get("/v1/nothing").await.error(), (404, "not_found".into(), "not_run".into()));
        let a = w.get("/v1/completions").await;
        assert_eq!(a.error(), (405, "bad_method".into(), "not_run".into()));
        assert!(a.headers.contains_key("x-request-id"));
        let a = w.post("/v1/completions", &json!({"model": "deck"})).await;
        assert_eq!(a.error(), (400, "bad_request".into(), "not_run".into()));
    }
    // Guards against sampling parameters that do not reach the engine, and against passing the
    // caller's user name or headers to it.
    sampling_parameters_reach_the_engine: {
        let w = TestEdge::start();
        let mut body = completion(2, false);
        let sampling = json!({
            "temperature": 0.0, "top_p": 0.9, "top_k": 40, "stop": ["a", "b"], "seed": 7,
            "presence_penalty": 0.1, "frequency_penalty": -0.1, "logit_bias": {"5": -100},
            "response_format": {"type": "json_object"},
        });
        body.as_object_mut().unwrap().extend(sampling.as_object().unwrap().clone());
        body["user"] = json!("someone");
        body["priority"] = json!(0);
        // The second attempt must contain them too.
        w.faults(&[Fault::Status(404, "unknown_instance")]);
        let a = w.post_with("/v1/completions", &body, &[("x-other", "someone")]).await;
        assert_eq!(a.status, StatusCode::OK);
        let seen = w.up.seen.borrow().clone();
        assert_eq!(seen.len(), 2);
        for s in seen {
            let got: serde_json::Value = serde_json::from_str(&s.body).unwrap();
            for (name, value) in sampling.as_object().unwrap() {
                assert_eq!(&got[name], value, "{name}");
            }
            assert_eq!((got["priority"].as_u64(), got["max_tokens"].as_u64()), (Some(1), Some(2)));
            assert!(!s.body.contains("someone") && !s.head.contains("someone"), "{s:?}");
        }
    }
    // Guards against a wrong list of hosts, against secrets in it, and against requiring a key.
    the_host_list_needs_no_key: {
        let w = TestEdge::start();
        let mut s = snapshot();
        let host = HostEntry {
            name: "h0".into(), http: "127.0.0.1:1".into(), domain: "a".into(), weight: 2, incarnation: "a".into(),
        };
        s.hosts = Hosts { ttl_ms: 2000, hosts: vec![host] };
        w.snapshot.store(s.into());
        let r = w.client.get(format!("http://{}/v1/hosts", w.addr)).send().await.unwrap();
        let want = json!({"ttl_ms": 2000, "hosts": [
            {"name": "h0", "http": "127.0.0.1:1", "domain": "a", "weight": 2, "incarnation": "a"}]});
        assert_eq!(Response::read(r).await.json(), want);
    }
    // Guards against operator endpoints that do not reach the control thread.
    admin_calls_ask_the_control_thread: {
        let w = TestEdge::start();
        assert_eq!(w.get("/admin/status").await.json(), json!({"state": "fake"}));
        assert_eq!(w.get("/admin/explain?adapter=deck").await.status, StatusCode::NOT_FOUND);
        for path in ["/admin/explain", "/admin/explain?request=x", "/admin/explain?adapter=a&request=1-1"] {
            assert_eq!(w.get(path).await.status, StatusCode::BAD_REQUEST, "{path}");
        }
        assert!(w.get("/metrics").await.body.contains("yuccawing_lease_held 0"));
    }
    // Guards against an overload of the control thread that is not measured.
    refusals_of_the_full_mailbox_are_counted: {
        let w = TestEdge::start();
        let calls = futures::future::join_all((0..5000).map(|_| w.handle.status())).await;
        let full =
            calls.iter().filter(|c| c.as_ref().is_err_and(|r| r.code == ErrorCode::Overloaded));
        let full = full.count() as u64;
        assert!(full > 0);
        assert_eq!(w.refused_calls.load(std::sync::atomic::Ordering::Relaxed), full);
    }
    // Guards against bodies that exhaust the memory, with and without a content length.
    a_large_body_is_refused: {
        let up = FakeUpstream::start(0);
        let addrs = vec![up.addr];
        let w = TestEdge::with(up, addrs, 1000);
        let mut body = completion(1, false);
        body["prompt"] = json!("x".repeat(2000));
        let a = w.post("/v1/completions", &body).await;
        assert_eq!(a.error(), (413, "too_large".into(), "not_run".into()));
        let parts = futures::stream::iter((0..100).map(|_| Ok::<_, std::io::Error>(Bytes::from(vec![b' '; 100]))));
        let call = w.client.post(format!("http://{}/v1/completions", w.addr)).bearer_auth(KEY);
        let a = Response::read(call.send_stream(parts).await.unwrap()).await;
        assert_eq!(a.error(), (413, "too_large".into(), "not_run".into()));
        assert!(w.log.lock().unwrap().admits.is_empty());
    }
    // Guards against waiting requests whose bodies together exhaust the memory.
    the_total_size_of_bodies_is_limited: {
        let up = FakeUpstream::start(0);
        let addrs = vec![up.addr];
        let w = TestEdge::with(up, addrs, 1000);
        w.up.faults.borrow_mut().extend([Fault::Delay(250); 4]);
        let mut body = completion(1, false);
        body["prompt"] = json!("x".repeat(900));
        let calls = (0..5).map(|_| w.post("/v1/completions", &body));
        let answers = futures::future::join_all(calls).await;
        let refused: Vec<&Response> = answers.iter().filter(|a| a.status != StatusCode::OK).collect();
        assert_eq!(refused.len(), 1);
        assert_eq!(refused[0].error(), (503, "overloaded".into(), "not_run".into()));
        assert_eq!(w.post("/v1/completions", &body).await.status, StatusCode::OK);
    }
    // Guards against clients that keep a request open by sending slowly.
    a_slow_body_is_refused_at_its_deadline: {
        let w = TestEdge::start();
        let text = format!(
            "POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {KEY}\r\n\
             x-deadline-ms: 200\r\ncontent-length: 100\r\n\r\n{{");
        let mut s = TcpStream::connect(w.addr).await.unwrap();
        s.write_all(text.as_bytes()).await.unwrap();
        let mut out = vec![0; 4096];
        let n = tokio::time::timeout(Duration::from_secs(2), s.read(&mut out)).await.unwrap().unwrap();
        let out = String::from_utf8_lossy(&out[..n]);
        assert!(out.starts_with("HTTP/1.1 408") && out.contains("slow_body"), "{out}");
    }
    // Guards against a connection that stays open because the request head never ends.
    a_slow_head_is_refused: {
        let w = TestEdge::start();
        let out = raw(&w, "POST /v1/completions HTTP/1.1\r\nhost: x\r\n").await;
        assert!(out.is_empty() || out.starts_with("HTTP/1.1 408"), "{out}");
    }
    // Guards against malformed requests that reach an upstream or crash the thread.
    malformed_requests_are_refused: {
        let w = TestEdge::start();
        for text in ["\0\r\n\r\n", "GET\r\n\r\n", "POST /v1/completions HTTP/1.1\r\ncontent-length: x\r\n\r\n"] {
            let out = raw(&w, text).await;
            assert!(out.starts_with("HTTP/1.1 400"), "{text:?}: {out}");
        }
        let a = w.post("/v1/completions", &completion(2, false)).await;
        assert_eq!(a.status, StatusCode::OK);
        assert_eq!(w.up.lines().len(), 1);
    }
    // Guards against a documented table of error codes that is incomplete or outdated.
    the_documentation_lists_exactly_the_codes: {
        let page = include_str!("../../../../../docs/requests.md");
        let table = page.split("| code | status |").nth(1).unwrap().trim_start();
        let rows: Vec<&str> = table.lines().skip(1).take_while(|l| l.starts_with('|')).collect();
        let want: Vec<String> =
            ErrorCode::ALL.iter().map(|c| format!("| `{}` | {} |", c.name(), c.status())).collect();
        assert_eq!(rows, want);
    }
    // Guards against streams that work only with HTTP/1.1.
    http_2_serves_streams: {
        let w = TestEdge::start();
        let out = h2_stream(TcpStream::connect(w.addr).await.unwrap(), w.addr, 5).await;
        assert!(out.ends_with("data: [DONE]\n\n"), "{out}");
        assert!((0..5).all(|i| out.contains(&format!("\"deck:2#{i} \""))));
    }
    // Guards against TLS without HTTP/2, and against plain text on a TLS port.
    tls_offers_http_2: {
        let w = TestEdge::start();
        let (_dir, files, ca) = crate::tls::tests::host_files();
        let tls = crate::tls::Tls::load(&files).unwrap().server_config().unwrap();
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let setup = Setup { tls: Some(tls), ..w.setup.clone() };
        actix_rt::spawn(serve(setup, listener).unwrap());
        let mut config = crate::tls::tests::client_config(&ca);
        config.alpn_protocols = vec![b"h2".to_vec()];
        let connector = tokio_rustls::TlsConnector::from(Arc::new(config));
        let name = rustls::pki_types::ServerName::IpAddress(addr.ip().into());
        let socket = TcpStream::connect(addr).await.unwrap();
        let socket = connector.connect(name, socket).await.unwrap();
        assert!(h2_stream(socket, addr, 3).await.ends_with("data: [DONE]\n\n"));
        let plain = w.client.get(format!("http://{addr}/healthz")).send().await;
        assert!(plain.is_err());
    }
    // Guards against an engine that continues after an HTTP/2 caller has reset its stream.
    a_reset_http_2_stream_cancels_its_request: {
        let up = FakeUpstream::start(20);
        let addrs = vec![up.addr];
        let w = TestEdge::with(up, addrs, 1000);
        let socket = TcpStream::connect(w.addr).await.unwrap();
        let (response, _client) = h2_call(socket, w.addr, 400).await;
        let mut body = response.into_body();
        assert!(body.data().await.is_some());
        drop(body);
        w.wait(|| w.up.count("DELETE") == 1).await;
        assert_eq!(w.ends(1).await[0].outcome, Outcome::Cancelled);
    }
}
