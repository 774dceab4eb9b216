//! Benchmark of the HTTP server against direct calls to an engine, as ratios within one run:
//! `cargo test --release -p yuccawingd -- --ignored --nocapture overhead`.

use std::{
    fs,
    net::SocketAddr,
    sync::mpsc,
    thread,
    time::{Duration, Instant},
};

use awc::{Client, Connector};
use serde_json::{Value, json};

use super::fake::{FakeUpstream, KEY, TestEdge};

/// Sequential calls per route.
const CALLS: usize = 4000;

/// Calls per route under load, and how many of them run concurrently.
const LOAD_CALLS: usize = 40_000;
const CONCURRENT_CALLS: usize = 32;

/// Tokens per answer.
const TOKENS: u64 = 16;

struct Route {
    url: String,
    body: Value,
}

impl Route {
    async fn call(&self, client: &Client) -> Duration {
        let start = Instant::now();
        let mut r = client.post(&self.url).bearer_auth(KEY).send_json(&self.body).await.unwrap();
        let body = r.body().limit(1 << 20).await.unwrap();
        assert!(body.windows(9).any(|w| w == b"deck:2#15"));
        start.elapsed()
    }

    /// Calls per second.
    async fn load(&self, client: &Client) -> f64 {
        let start = Instant::now();
        let one = || async {
            for _ in 0..LOAD_CALLS / CONCURRENT_CALLS {
                self.call(client).await;
            }
        };
        futures::future::join_all((0..CONCURRENT_CALLS).map(|_| one())).await;
        LOAD_CALLS as f64 / start.elapsed().as_secs_f64()
    }
}

fn engine() -> SocketAddr {
    let (tx, rx) = mpsc::channel();
    thread::Builder::new()
        .name("fake-engine".into())
        .spawn(move || {
            actix_rt::System::new().block_on(async move {
                let up = FakeUpstream::start(0);
                tx.send(up.addr).unwrap();
                loop {
                    // The list of received requests would grow without limit.
                    up.seen.borrow_mut().clear();
                    tokio::time::sleep(Duration::from_millis(100)).await;
                }
            });
        })
        .unwrap();
    rx.recv().unwrap()
}

fn edge(engine: SocketAddr) -> SocketAddr {
    let (tx, rx) = mpsc::channel();
    thread::Builder::new()
        .name("fake-control".into())
        .spawn(move || {
            actix_rt::System::new().block_on(async move {
                let w = TestEdge::with(FakeUpstream::start(0), vec![engine], 1 << 20);
                tx.send(w.addr).unwrap();
                std::future::pending::<()>().await;
            });
        })
        .unwrap();
    rx.recv().unwrap()
}

/// Returns the CPU time of the HTTP worker threads in seconds.
fn traffic_cpu() -> f64 {
    let tasks = fs::read_dir("/proc/self/task").unwrap();
    let mut ticks = 0;
    for t in tasks.flatten() {
        let stat = fs::read_to_string(t.path().join("stat")).unwrap_or_default();
        let Some((name, rest)) = stat.rsplit_once(") ") else { continue };
        if name.contains("actix-server") || name.contains("actix-rt|") {
            let field = |i: usize| rest.split(' ').nth(i).unwrap().parse::<u64>().unwrap();
            ticks += field(11) + field(12);
        }
    }
    // The unit in `/proc/PID/stat` is 1/100 s.
    ticks as f64 / 100.0
}

fn quantile(sorted: &[Duration], q: f64) -> f64 {
    sorted[((sorted.len() - 1) as f64 * q) as usize].as_secs_f64() * 1e6
}

#[actix_rt::test]
#[ignore = "a measurement; run it alone and in release mode"]
async fn overhead() {
    let engine = engine();
    let edge = edge(engine);
    let prompt = "x".repeat(200);
    let direct = Route {
        url: format!("http://{engine}/v1/completions"),
        body: json!({"model": "deck:2", "prompt": prompt, "max_tokens": TOKENS, "request_id": "r"}),
    };
    let through = Route {
        url: format!("http://{edge}/v1/completions"),
        body: json!({"model": "deck@2", "prompt": prompt, "max_tokens": TOKENS, "stream": true}),
    };
    let connector = Connector::new().limit(CONCURRENT_CALLS);
    let client = Client::builder().connector(connector).finish();
    let (mut a, mut b) = (Vec::new(), Vec::new());
    // Alternates between the routes, so that both see the same background load.
    for _ in 0..CALLS {
        a.push(direct.call(&client).await);
        b.push(through.call(&client).await);
    }
    a.sort();
    b.sort();
    for q in [0.5, 0.99] {
        let (x, y) = (quantile(&a, q), quantile(&b, q));
        println!("p{}: direct {x:.0} us, edge {y:.0} us, ratio {:.2}", q * 100.0, y / x);
    }
    let direct_rate = direct.load(&client).await;
    let before = traffic_cpu();
    let rate = through.load(&client).await;
    let cpu = traffic_cpu() - before;
    println!(
        "{CONCURRENT_CALLS} at once, {TOKENS} tokens: direct {direct_rate:.0}/s, edge {rate:.0}/s, ratio {:.2}",
        rate / direct_rate
    );
    println!("edge: {:.0} requests per CPU second of its traffic thread", LOAD_CALLS as f64 / cpu);
}
