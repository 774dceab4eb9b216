//! Callers of a soak: each sends requests to random hosts and records them with the responses.

use std::{
    io,
    net::Ipv4Addr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use tokio::{
    io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader},
    net::TcpStream,
    task::JoinHandle,
    time::timeout,
};
use yuccawing_platform::headers;
use yuccawing_platform_standin::{config, replica::Replica};

use super::{
    SoakPlan, Xorshift,
    fleet::{LIMITED_ACCOUNT, SoakFleet},
    history::{Idempotency, SentRequest},
};

/// Deadline that a caller sends with each request.
const REQUEST_DEADLINE_MS: u64 = 1500;

/// Time after which a caller stops waiting for a response; longer than the request's deadline.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(2500);

/// Limit for opening a connection, and for a whole [`status`] call.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Number of events that a stand-in sends on a stream.
const STREAM_EVENTS: u64 = 5;

/// Handle on the running callers.
pub struct Callers {
    stop: Arc<AtomicBool>,
    tasks: Vec<JoinHandle<Vec<SentRequest>>>,
}

/// Spawns one task for each caller of the plan.
pub fn start(fleet: &SoakFleet, plan: SoakPlan) -> Callers {
    let stop = Arc::new(AtomicBool::new(false));
    let ips: Vec<_> = fleet.hosts.iter().map(|h| h.ip).collect();
    let tasks = (0..plan.callers).map(|n| {
        let c = Caller {
            name: format!("s{}c{n}", plan.seed),
            rng: Xorshift::new(plan.seed * 1000 + n as u64 + 1),
            ips: ips.clone(),
            stop: stop.clone(),
            key: fleet.key.clone(),
            stale_key: fleet.stale_key.clone(),
            connection: None,
        };
        tokio::spawn(c.run())
    });
    Callers { tasks: tasks.collect(), stop }
}

impl Callers {
    /// Stops the callers and returns the requests that they recorded.
    pub async fn finish(self) -> Vec<SentRequest> {
        self.stop.store(true, Ordering::Relaxed);
        let mut out = Vec::new();
        for t in self.tasks {
            out.extend(t.await.unwrap_or_default());
        }
        out
    }
}

struct Caller {
    name: String,
    rng: Xorshift,
    ips: Vec<Ipv4Addr>,
    stop: Arc<AtomicBool>,
    key: Arc<Mutex<String>>,
    stale_key: Arc<Mutex<String>>,
    connection: Option<BufReader<TcpStream>>,
}

impl Caller {
    async fn run(mut self) -> Vec<SentRequest> {
        let mut out = Vec::new();
        let mut n = 0;
        while !self.stop.load(Ordering::Relaxed) {
            n += 1;
            let request = self.send_one(n).await;
            out.push(request);
            let pause = self.rng.duration_ms(5, 60);
            tokio::time::sleep(pause).await;
        }
        out
    }

    async fn send_one(&mut self, n: usize) -> SentRequest {
        let id = format!("{}-{n}", self.name);
        let adapter = format!("a{}", self.rng.below(12));
        let (path, kind, stream) = match self.rng.below(6) {
            0 | 1 => ("/safe/1".to_owned(), Idempotency::Safe, false),
            2 => ("/unsafe/1".to_owned(), Idempotency::Once, false),
            3 => (format!("/once/{adapter}"), Idempotency::Once, true),
            _ => (format!("/stream/{adapter}"), Idempotency::Safe, true),
        };
        // Every third caller uses the account with a rate limit. The others sometimes send a key that
        // may have been revoked.
        let limited = self.name.ends_with(['2', '5', '8']);
        let read = |key: &Mutex<String>| key.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let (key, account) = match (limited, self.rng.below(8)) {
            (true, _) => ("key-two".to_owned(), LIMITED_ACCOUNT.0),
            (false, 0) => (read(&self.stale_key), "one"),
            (false, _) => (read(&self.key), "one"),
        };
        let expected = match stream {
            true => (1..=STREAM_EVENTS).map(|i| Replica::event_text(&id, i)).collect(),
            false => Replica::response_body(&id),
        };
        let mut r = SentRequest {
            id,
            kind,
            host: None,
            key,
            account: account.to_owned(),
            sent: Instant::now(),
            status: None,
            finished: false,
            response_id: String::new(),
            seal: String::new(),
            body: String::new(),
            expected,
        };
        let headers = headers(&r, &adapter, stream);
        let method = if path.starts_with("/safe/") { "GET" } else { "POST" };
        // The error is not needed: the record shows how much of the response arrived before it.
        let _ = timeout(RESPONSE_TIMEOUT, self.exchange(method, &path, &headers, &mut r)).await;
        if !r.is_complete() {
            self.connection = None;
        }
        r
    }

    async fn exchange(
        &mut self,
        method: &str,
        path: &str,
        headers: &[(String, String)],
        r: &mut SentRequest,
    ) -> io::Result<()> {
        let mut c = match self.connection.take() {
            // An open connection is reused until its process is gone; 1 request in 4 opens a new
            // one.
            Some(c) if self.rng.below(4) > 0 => c,
            _ => {
                let ip = self.ips[self.rng.below(self.ips.len())];
                let c = timeout(CONNECT_TIMEOUT, TcpStream::connect((ip, 8221))).await??;
                BufReader::new(c)
            }
        };
        r.sent = Instant::now();
        r.host = c.get_ref().peer_addr().ok().map(|a| a.ip());
        let mut text = format!("{method} {path} HTTP/1.1\r\n");
        for (n, v) in headers {
            text.push_str(&format!("{n}: {v}\r\n"));
        }
        text.push_str("Content-Length: 0\r\n\r\n");
        c.get_mut().write_all(text.as_bytes()).await?;
        if read_response(&mut c, r).await? {
            self.connection = Some(c);
        }
        Ok(())
    }
}

fn headers(r: &SentRequest, adapter: &str, stream: bool) -> Vec<(String, String)> {
    let mut out = config::caller_headers(&r.id, Some(&r.key), REQUEST_DEADLINE_MS);
    if stream {
        out.extend(config::engine_headers(adapter));
    }
    out
}

// Reads a response into `r`. Returns whether the connection may be reused.
async fn read_response(c: &mut BufReader<TcpStream>, r: &mut SentRequest) -> io::Result<bool> {
    let mut line = String::new();
    c.read_line(&mut line).await?;
    r.status = line.split(' ').nth(1).and_then(|s| s.parse().ok());
    let (mut length, mut close) = (None, false);
    loop {
        line.clear();
        if c.read_line(&mut line).await? == 0 {
            return Ok(false);
        }
        let Some((n, v)) = line.trim().split_once(':') else { break };
        match n.to_ascii_lowercase().as_str() {
            "content-length" => length = v.trim().parse::<usize>().ok(),
            "connection" => close = v.contains("close"),
            headers::REQUEST_ID => r.response_id = v.trim().to_owned(),
            headers::SEAL => r.seal = v.trim().to_owned(),
            _ => {}
        }
    }
    if let Some(n) = length {
        let mut body = vec![0; n];
        c.read_exact(&mut body).await?;
        r.body = String::from_utf8_lossy(&body).into_owned();
        r.finished = true;
        return Ok(!close);
    }
    loop {
        line.clear();
        c.read_line(&mut line).await?;
        let Ok(n) = usize::from_str_radix(line.trim(), 16) else { return Ok(false) };
        let mut chunk = vec![0; n + 2];
        c.read_exact(&mut chunk).await?;
        r.body.push_str(&String::from_utf8_lossy(&chunk[..n]));
        if n == 0 {
            r.finished = true;
            return Ok(!close);
        }
    }
}

/// Sends a `GET` without a key; returns the status, or none if no response came in time.
pub async fn status(ip: Ipv4Addr, port: u16, path: &str) -> Option<u16> {
    let call = async {
        let mut c = TcpStream::connect((ip, port)).await?;
        c.write_all(format!("GET {path} HTTP/1.1\r\nHost: x\r\n\r\n").as_bytes()).await?;
        let mut line = String::new();
        BufReader::new(c).read_line(&mut line).await?;
        io::Result::Ok(line.split(' ').nth(1).and_then(|s| s.parse().ok()))
    };
    timeout(CONNECT_TIMEOUT, call).await.ok()?.ok()?
}
