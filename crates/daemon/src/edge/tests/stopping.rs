//! Graceful shutdown of the edge.

use std::time::{Duration, Instant};

use awc::http::StatusCode;
use serde_json::json;
use tokio::net::TcpStream;

use super::fake::{Upstream, World, ask, expected};
use crate::stop::{Stop, shut_down};

fn stop(w: &World) -> Stop {
    Stop {
        handle: w.handle.clone(),
        server: w.server.clone(),
        gate: w.gate.clone(),
        limit: Duration::from_secs(10),
        log: w.logger.clone(),
    }
}

macro_rules! cases {
    ($($name:ident: $body:block)*) => { $(#[actix_rt::test] async fn $name() $body)* };
}

cases! {
    // Guards against a shutdown that cuts a running stream, refuses callers that still have this
    // host's address, or keeps the lease.
    a_shutdown_cuts_off_no_request: {
        let up = Upstream::start(100);
        let addrs = vec![up.addr];
        let w = World::with(up, addrs, 1000);
        let (start, body) = (Instant::now(), ask(50, true));
        let long = w.post("/v1/completions", &body);
        let during = async {
            w.wait(|| w.up.count("POST") == 1).await;
            let stopping = stop(&w);
            let (_, early) = futures::join!(shut_down(&stopping), async {
                tokio::time::sleep(Duration::from_millis(500)).await;
                let early = w.post("/v1/completions", &ask(2, false)).await;
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
        assert_eq!(w.gate.count(), 0);
    }
    // Guards against an idle host that waits for its time limit.
    an_idle_host_stops_after_the_address_ttl: {
        let w = World::start();
        w.get("/healthz").await;
        let start = Instant::now();
        shut_down(&stop(&w)).await;
        let took = start.elapsed();
        assert!(took >= Duration::from_secs(3) && took < Duration::from_secs(6), "{took:?}");
    }
}
