//! Tests of the graceful shutdown of the HTTP server.

use std::time::{Duration, Instant};

use awc::http::StatusCode;
use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream},
};

use super::fake::{FakeUpstream, Fault, KEY, TestEdge, completion, expected};
use crate::stop::{Shutdown, shut_down};

fn stop(w: &TestEdge) -> Shutdown {
    Shutdown {
        handle: w.handle.clone(),
        server: w.server.clone(),
        tracker: w.tracker.clone(),
        timeout: Duration::from_secs(10),
        log: w.logger.clone(),
    }
}

macro_rules! cases {
    ($($name:ident: $body:block)*) => { $(#[actix_rt::test] async fn $name() $body)* };
}

cases! {
    // Guards against a shutdown that interrupts a running stream, refuses callers that still have
    // this host's address cached, or does not release the lease.
    a_shutdown_interrupts_no_request: {
        let up = FakeUpstream::start(100);
        let addrs = vec![up.addr];
        let w = TestEdge::with(up, addrs, 1000);
        let (start, body) = (Instant::now(), completion(50, true));
        let long = w.post("/v1/completions", &body);
        let during = async {
            w.wait(|| w.up.count("POST") == 1).await;
            let stopping = stop(&w);
            let (_, early) = futures::join!(shut_down(&stopping), async {
                tokio::time::sleep(Duration::from_millis(500)).await;
                let early = w.post("/v1/completions", &completion(2, false)).await;
                let ready = w.get("/readyz").await;
                tokio::time::sleep(Duration::from_millis(3200)).await;
                (early, ready, TcpStream::connect(w.addr).await.is_err())
            });
            early
        };
        let (long, (early, ready, refused)) = futures::join!(long, during);
        assert_eq!(long.text(), expected(50));
        assert_eq!(early.status, StatusCode::OK);
        assert_eq!(ready.json(), json!({"ready": false, "leaving": true, "version": 1}));
        assert!(refused, "a connection was accepted after the address TTL");
        assert_eq!(w.log.lock().unwrap().steps, ["leave", "release"]);
        assert!(start.elapsed() >= Duration::from_secs(5));
        assert_eq!(w.tracker.count(), 0);
    }
    // Guards against an idle host that uses its whole shutdown time limit.
    an_idle_host_stops_after_the_address_ttl: {
        let w = TestEdge::start();
        w.get("/healthz").await;
        let start = Instant::now();
        shut_down(&stop(&w)).await;
        let took = start.elapsed();
        assert!(took >= Duration::from_secs(3) && took < Duration::from_secs(6), "{took:?}");
    }
    // Guards against a shutdown that waits for an idle HTTP/2 connection until the process is
    // killed.
    an_idle_http_2_connection_does_not_delay_the_shutdown: {
        let w = TestEdge::start();
        let socket = TcpStream::connect(w.addr).await.unwrap();
        let (client, connection) = h2::client::handshake(socket).await.unwrap();
        actix_rt::spawn(connection);
        let client: h2::client::SendRequest<bytes::Bytes> = client.ready().await.unwrap();
        let start = Instant::now();
        shut_down(&stop(&w)).await;
        assert!(start.elapsed() < Duration::from_secs(10), "{:?}", start.elapsed());
        drop(client);
    }
    // Guards against a shutdown that truncates a response because the caller reads it slowly.
    a_shutdown_waits_for_a_slow_reader: {
        // More than the socket buffers of both sides can hold.
        const SIZE: usize = 7 << 20;
        let w = TestEdge::start();
        w.faults(&[Fault::Big(SIZE)]);
        let socket = TcpSocket::new_v4().unwrap();
        socket.set_recv_buffer_size(16 * 1024).unwrap();
        let mut socket = socket.connect(w.addr).await.unwrap();
        let head = format!("GET /catalogue HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {KEY}\r\n\r\n");
        socket.write_all(head.as_bytes()).await.unwrap();
        w.ends(1).await;
        let stopping = stop(&w);
        let ((), read) = futures::join!(shut_down(&stopping), async {
            tokio::time::sleep(Duration::from_secs(4)).await;
            assert_eq!(w.tracker.count(), 1, "the answer fits into the buffers");
            let mut out = Vec::new();
            socket.read_to_end(&mut out).await.unwrap();
            out
        });
        let body = read.windows(4).position(|w| w == b"\r\n\r\n").unwrap() + 4;
        assert_eq!(read.len() - body, SIZE);
    }
}
