//! Test fixture: the HTTP server of a host between a fake control thread and a fake upstream that
//! injects faults.

use std::{
    cell::RefCell,
    collections::{HashMap, HashSet, VecDeque},
    io::{self, Write},
    net::{SocketAddr, TcpListener},
    rc::Rc,
    sync::{Arc, Mutex, atomic::AtomicU64},
    time::Duration,
};

use actix::{Actor, Context, Handler};
use actix_web::dev::ServerHandle;
use arc_swap::ArcSwap;
use arcstr::ArcStr;
use awc::{Client, http::StatusCode};
use serde_json::{Value, json};
use slog::{Drain, Logger, o};
use slotmap::SlotMap;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};
use yuccawing_core::{ids::Incarnation, rules::Class};

use crate::{
    control::messages::{
        AdapterView, Admit, AdmitPlain, Call, ControlHandle, Dispatch, Done, ErrorCode, Executed,
        KeyHash, NotRunReason, Outcome, Refusal, RequestKey, RouteView, Snapshot,
    },
    edge::{Setup, serve},
    metrics::Metrics,
    settings::Limits,
    stop::RequestTracker,
    upstream::Timeouts,
};

pub(super) const KEY: &str = "the-secret-key-of-the-shop";

/// Fault of an upstream's response. Each response takes the next one from the queue.
#[derive(Clone, Copy, Debug)]
pub(super) enum Fault {
    None,
    /// Closes the connection after this many tokens.
    Disconnect(u64),
    /// As `Disconnect`, but with a chunk that looks like the regular end of the body.
    EndEarly(u64),
    /// Sends each chunk twice.
    Duplicate,
    /// Sends chunks of another request between its own.
    Foreign,
    /// Omits the token at this offset.
    Drop(u64),
    /// Sends this many tokens, then nothing more on the open connection.
    Stall(u64),
    /// Sends nothing and keeps the connection open.
    NoAnswer,
    /// Closes the connection without a response.
    Hangup,
    /// Answers with this status and error code.
    Status(u16, &'static str),
    /// Sends an event of this many bytes.
    Long(usize),
    /// Waits this many milliseconds before the first token.
    Delay(u64),
    /// Closes the connection within a body with a content length.
    Short,
    /// Closes the connection between two chunks of a body without a length.
    Chunks,
    /// Answers with a body of this many bytes.
    Big(usize),
}

/// A request as the upstream received it.
#[derive(Clone, Debug)]
pub(super) struct SeenRequest {
    pub(super) head: String,
    pub(super) body: String,
    pub(super) connection: usize,
}

impl SeenRequest {
    pub(super) fn line(&self) -> &str {
        self.head.lines().next().unwrap_or("")
    }
}

/// An upstream that is an engine and a plain service at once.
#[derive(Clone)]
pub(super) struct FakeUpstream {
    pub(super) addr: SocketAddr,
    pub(super) faults: Rc<RefCell<VecDeque<Fault>>>,
    pub(super) seen: Rc<RefCell<Vec<SeenRequest>>>,
    pub(super) token_ms: u64,
    requests: Rc<RefCell<HashMap<String, (String, u64)>>>,
}

impl FakeUpstream {
    pub(super) fn start(token_ms: u64) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        let listener = tokio::net::TcpListener::from_std(listener).unwrap();
        let up = Self {
            addr: listener.local_addr().unwrap(),
            faults: Rc::default(),
            seen: Rc::default(),
            token_ms,
            requests: Rc::default(),
        };
        let this = up.clone();
        actix_rt::spawn(async move {
            let mut connection = 0;
            while let Ok((socket, _)) = listener.accept().await {
                connection += 1;
                let this = this.clone();
                actix_rt::spawn(async move {
                    let _ = this.talk(socket, connection).await;
                });
            }
        });
        up
    }

    pub(super) fn lines(&self) -> Vec<String> {
        self.seen.borrow().iter().map(|s| s.line().to_owned()).collect()
    }

    pub(super) fn count(&self, method: &str) -> usize {
        self.lines().iter().filter(|l| l.starts_with(method)).count()
    }

    async fn talk(&self, mut socket: TcpStream, connection: usize) -> io::Result<()> {
        let _ = socket.set_nodelay(true);
        let mut buf = Vec::new();
        loop {
            let Some((head, body)) = request(&mut socket, &mut buf).await? else { return Ok(()) };
            let seen = SeenRequest { head, body, connection };
            self.seen.borrow_mut().push(seen.clone());
            if seen.line().starts_with("DELETE /v1/streams") {
                socket.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n").await?;
                continue;
            }
            let fault = self.faults.borrow_mut().pop_front().unwrap_or(Fault::None);
            match fault {
                Fault::Hangup => return Ok(()),
                Fault::NoAnswer => {
                    // Only the other side closes the connection.
                    while socket.read(&mut [0; 64]).await? > 0 {}
                    return Ok(());
                }
                Fault::Status(status, code) => {
                    let body = json!({"code": code}).to_string();
                    let head =
                        format!("HTTP/1.1 {status:03} x\r\ncontent-length: {}\r\n\r\n", body.len());
                    socket.write_all((head + &body).as_bytes()).await?;
                }
                _ => self.answer(&mut socket, &seen, fault).await?,
            }
        }
    }

    async fn answer(
        &self,
        socket: &mut TcpStream,
        seen: &SeenRequest,
        fault: Fault,
    ) -> io::Result<()> {
        let line = seen.line();
        if line.starts_with("POST /v1/completions") {
            let body: Value = serde_json::from_str(&seen.body).unwrap();
            let id = body["request_id"].as_str().unwrap().to_owned();
            let model = body["model"].as_str().unwrap().to_owned();
            let total = body["max_tokens"].as_u64().unwrap();
            self.requests.borrow_mut().insert(id.clone(), (model.clone(), total));
            return self.stream(socket, &id, &model, 0, total, fault).await;
        }
        if let Some(rest) = line.strip_prefix("GET /v1/streams/") {
            let (id, from) = rest.split(' ').next().unwrap().split_once("?from=").unwrap();
            let known = self.requests.borrow().get(id).cloned();
            return match known {
                Some((model, total)) => {
                    self.stream(socket, id, &model, from.parse().unwrap(), total, fault).await
                }
                None => socket.write_all(b"HTTP/1.1 404 x\r\ncontent-length: 0\r\n\r\n").await,
            };
        }
        plain(socket, fault).await
    }

    async fn stream(
        &self,
        socket: &mut TcpStream,
        id: &str,
        model: &str,
        from: u64,
        total: u64,
        fault: Fault,
    ) -> io::Result<()> {
        let head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";
        socket.write_all(head.as_bytes()).await?;
        if let Fault::Delay(ms) = fault {
            tokio::time::sleep(Duration::from_millis(ms)).await;
        }
        if let Fault::Long(n) = fault {
            chunk(socket, &format!("data: {}", "x".repeat(n))).await?;
        }
        for i in from..total {
            match fault {
                Fault::Disconnect(n) if i - from == n => return Err(io::ErrorKind::Other.into()),
                Fault::EndEarly(n) if i - from == n => break,
                Fault::Stall(n) if i - from == n => {
                    while socket.read(&mut [0; 64]).await? > 0 {}
                    return Ok(());
                }
                Fault::Drop(n) if i == n => continue,
                Fault::Foreign => {
                    let other = json!({"id": "another", "offset": i, "text": "wrong "});
                    chunk(socket, &format!("data: {other}\n\n")).await?;
                }
                _ => {}
            }
            let event = json!({"id": id, "offset": i, "text": format!("{model}#{i} ")});
            let event = format!("data: {event}\n\n");
            chunk(socket, &event).await?;
            if matches!(fault, Fault::Duplicate) {
                chunk(socket, &event).await?;
            }
            if self.token_ms > 0 {
                tokio::time::sleep(Duration::from_millis(self.token_ms)).await;
            }
        }
        if !matches!(fault, Fault::EndEarly(_)) {
            let end = json!({"id": id, "offset": total, "done": true, "total": total, "prompt_tokens": 7});
            chunk(socket, &format!("data: {end}\n\n")).await?;
        }
        socket.write_all(b"0\r\n\r\n").await
    }
}

async fn plain(socket: &mut TcpStream, fault: Fault) -> io::Result<()> {
    let body = "{\"answer\":\"whole\"}";
    let head = format!(
        "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    match fault {
        Fault::Short => {
            socket.write_all((head + &body[..6]).as_bytes()).await?;
            Err(io::ErrorKind::Other.into())
        }
        Fault::Big(n) => {
            let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {n}\r\n\r\n");
            socket.write_all(head.as_bytes()).await?;
            socket.write_all(&vec![b'x'; n]).await
        }
        Fault::Chunks => {
            let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
            socket.write_all(head.as_bytes()).await?;
            chunk(socket, &body[..6]).await?;
            Err(io::ErrorKind::Other.into())
        }
        Fault::Delay(ms) => {
            tokio::time::sleep(Duration::from_millis(ms)).await;
            socket.write_all((head + body).as_bytes()).await
        }
        _ => socket.write_all((head + body).as_bytes()).await,
    }
}

async fn chunk(socket: &mut TcpStream, data: &str) -> io::Result<()> {
    socket.write_all(format!("{:x}\r\n{data}\r\n", data.len()).as_bytes()).await
}

async fn request(
    socket: &mut TcpStream,
    buf: &mut Vec<u8>,
) -> io::Result<Option<(String, String)>> {
    loop {
        if let Some(at) = buf.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buf[..at]).into_owned();
            let length = head
                .lines()
                .find_map(|l| l.to_ascii_lowercase().strip_prefix("content-length: ")?.parse().ok())
                .unwrap_or(0usize);
            if buf.len() >= at + 4 + length {
                let body = String::from_utf8_lossy(&buf[at + 4..at + 4 + length]).into_owned();
                buf.drain(..at + 4 + length);
                return Ok(Some((head, body)));
            }
        }
        let mut part = [0; 4096];
        let n = socket.read(&mut part).await?;
        if n == 0 {
            return Ok(None);
        }
        buf.extend_from_slice(&part[..n]);
    }
}

/// Calls that the fake control thread received, and the refusal that it answers with.
#[derive(Default)]
pub(super) struct ControlLog {
    pub(super) admits: Vec<Admit>,
    pub(super) plains: Vec<AdmitPlain>,
    pub(super) retries: Vec<NotRunReason>,
    pub(super) ends: Vec<Done>,
    pub(super) steps: Vec<&'static str>,
    pub(super) refuse: Option<Refusal>,
}

/// Control thread that dispatches each attempt to the next address.
pub(super) struct FakeControl {
    addrs: Vec<SocketAddr>,
    next: usize,
    keys: SlotMap<RequestKey, ()>,
    spent: HashSet<ArcStr>,
    issued: u64,
    log: Arc<Mutex<ControlLog>>,
}

impl FakeControl {
    fn dispatch(&mut self, instance: ArcStr, key: Option<RequestKey>) -> Dispatch {
        let addr = self.addrs[self.next % self.addrs.len()];
        self.next += 1;
        let key = key.unwrap_or_else(|| self.keys.insert(()));
        Dispatch { upstream: "e0".into(), addr, instance, priority: 1, key }
    }
}

impl Actor for FakeControl {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        ctx.set_mailbox_capacity(4096);
    }
}

impl Handler<Call> for FakeControl {
    type Result = ();

    fn handle(&mut self, call: Call, _: &mut Self::Context) {
        let log = self.log.clone();
        let mut log = log.lock().unwrap();
        match call {
            Call::Admit(a, reply) => {
                let answer = match &log.refuse {
                    Some(r) => Err(r.clone()),
                    None => Ok(self.dispatch(format!("{}:{}", a.adapter, a.version).into(), None)),
                };
                log.admits.push(a);
                let _ = reply.send(answer);
            }
            Call::AdmitPlain(a, reply) => {
                let spent = a.ticket.clone().is_some_and(|t| !self.spent.insert(t));
                let refusal = Refusal {
                    executed: Executed::Unknown,
                    ..Refusal::not_run(ErrorCode::TicketSpent, "the ticket has been spent")
                };
                let answer =
                    if spent { Err(refusal) } else { Ok(self.dispatch(ArcStr::new(), None)) };
                log.plains.push(a);
                let _ = reply.send(answer);
            }
            Call::Retry(a, reply) => {
                log.retries.push(a.reason);
                let _ = reply.send(Ok(self.dispatch("deck:2".into(), Some(a.key))));
            }
            Call::Done(d) => log.ends.push(d),
            Call::Ticket(_, reply) => {
                self.issued += 1;
                let _ = reply.send(Ok(format!("1.{}.2", self.issued).into()));
            }
            Call::Status(reply) => {
                let _ = reply.send(json!({"state": "fake"}));
            }
            Call::Explain(_, reply) => {
                let _ = reply.send(None);
            }
            Call::Leave(reply) => {
                log.steps.push("leave");
                let _ = reply.send(());
            }
            Call::Release(reply) => {
                log.steps.push("release");
                let _ = reply.send(());
            }
        }
    }
}

/// Collects the log in memory.
#[derive(Clone, Default)]
pub(super) struct Lines(Arc<Mutex<Vec<u8>>>);

impl Lines {
    pub(super) fn text(&self) -> String {
        String::from_utf8(self.0.lock().unwrap().clone()).unwrap()
    }
}

impl Write for Lines {
    fn write(&mut self, b: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(b);
        Ok(b.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// HTTP server under test with its fakes.
pub(super) struct TestEdge {
    pub(super) addr: SocketAddr,
    pub(super) up: FakeUpstream,
    pub(super) log: Arc<Mutex<ControlLog>>,
    pub(super) snapshot: Arc<ArcSwap<Snapshot>>,
    pub(super) handle: ControlHandle,
    pub(super) refused_calls: Arc<AtomicU64>,
    pub(super) server: ServerHandle,
    pub(super) tracker: Arc<RequestTracker>,
    pub(super) metrics: Metrics,
    pub(super) lines: Lines,
    pub(super) logger: Logger,
    pub(super) client: Client,
    pub(super) setup: Setup,
}

/// Timeouts that are short enough for tests.
fn timeouts() -> Timeouts {
    Timeouts {
        connect: Duration::from_millis(500),
        first_token: Duration::from_millis(300),
        next_token: Duration::from_millis(200),
        resume: Duration::from_millis(300),
        plain_attempt: Duration::from_millis(500),
    }
}

pub(super) fn snapshot() -> Snapshot {
    let adapter = |class| AdapterView { versions: vec!["1".into(), "2".into()], class };
    let route = |prefix: &str, open, idempotent| RouteView {
        prefix: prefix.into(),
        open,
        idempotent,
        cost: 3,
    };
    Snapshot {
        version: 1,
        incarnation: Incarnation(0xabc),
        ready: true,
        leaving: false,
        keys: Arc::new(HashMap::from([(KeyHash::of(KEY.as_bytes()), "shop".into())])),
        routes: Arc::new(vec![
            route("/catalogue", false, true),
            route("/orders", false, false),
            route("/open", true, true),
        ]),
        adapters: Arc::new(HashMap::from([
            ("deck".into(), adapter(Class::Interactive)),
            ("check".into(), adapter(Class::Status)),
        ])),
        ..Snapshot::default()
    }
}

impl TestEdge {
    /// Starts a server whose attempts all go to one upstream.
    pub(super) fn start() -> Self {
        let up = FakeUpstream::start(0);
        let addrs = vec![up.addr];
        Self::with(up, addrs, 1024 * 1024)
    }

    /// Starts a server whose attempts go to `addrs` in rotation. `body` limits the size of a
    /// request body.
    pub(super) fn with(up: FakeUpstream, addrs: Vec<SocketAddr>, body: usize) -> Self {
        let log = Arc::<Mutex<ControlLog>>::default();
        let control = FakeControl {
            addrs,
            next: 0,
            keys: SlotMap::with_key(),
            spent: HashSet::new(),
            issued: 0,
            log: log.clone(),
        };
        let snapshot = Arc::new(ArcSwap::from_pointee(snapshot()));
        let refused_calls = Arc::<AtomicU64>::default();
        let handle = ControlHandle::new(
            control.start().recipient(),
            snapshot.clone(),
            refused_calls.clone(),
        );
        let (lines, tracker, metrics) = (Lines::default(), RequestTracker::new(), Metrics::new());
        let drain = Mutex::new(slog_json::Json::default(lines.clone())).fuse();
        let logger = Logger::root(drain, o!());
        let setup = Setup {
            handle: handle.clone(),
            metrics: metrics.clone(),
            log: logger.clone(),
            tracker: tracker.clone(),
            limits: Limits {
                body_bytes: body,
                held_bytes: 4 * body,
                max_connections: 100,
                workers: 1,
            },
            timeouts: timeouts(),
            admin_key: None,
            stop_timeout: Duration::from_secs(5),
            tls: None,
        };
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let server = serve(setup.clone(), listener).unwrap();
        let handle_of_server = server.handle();
        actix_rt::spawn(server);
        Self {
            addr,
            up,
            log,
            snapshot,
            handle,
            refused_calls,
            server: handle_of_server,
            tracker,
            metrics,
            lines,
            logger,
            client: Client::builder().timeout(Duration::from_secs(20)).finish(),
            setup,
        }
    }

    pub(super) fn faults(&self, faults: &[Fault]) {
        self.up.faults.borrow_mut().extend(faults);
    }

    pub(super) async fn post(&self, path: &str, body: &Value) -> Response {
        self.post_with(path, body, &[]).await
    }

    pub(super) async fn post_with(
        &self,
        path: &str,
        body: &Value,
        headers: &[(&str, &str)],
    ) -> Response {
        let mut r = self.client.post(format!("http://{}{path}", self.addr)).bearer_auth(KEY);
        for (name, value) in headers {
            r = r.insert_header((*name, *value));
        }
        Response::read(r.send_json(body).await.unwrap()).await
    }

    pub(super) async fn get(&self, path: &str) -> Response {
        let r = self.client.get(format!("http://{}{path}", self.addr)).bearer_auth(KEY);
        Response::read(r.send().await.unwrap()).await
    }

    /// Waits until `n` requests have ended, and returns all reports of ends.
    pub(super) async fn ends(&self, n: usize) -> Vec<Done> {
        self.wait(|| self.log.lock().unwrap().ends.len() >= n).await;
        self.log.lock().unwrap().ends.clone()
    }

    /// Waits until `n` requests have ended, and returns all outcomes.
    pub(super) async fn outcomes(&self, n: usize) -> Vec<Outcome> {
        self.ends(n).await.iter().map(|d| d.outcome).collect()
    }

    pub(super) async fn wait(&self, done: impl Fn() -> bool) {
        for _ in 0..500 {
            if done() {
                return;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        panic!("not within 5 s; upstream saw {:?}", self.up.lines());
    }
}

/// A complete HTTP response.
#[derive(Debug)]
pub(super) struct Response {
    pub(super) status: StatusCode,
    pub(super) headers: HashMap<String, String>,
    pub(super) body: String,
}

impl Response {
    pub(super) async fn read<S>(mut r: awc::ClientResponse<S>) -> Self
    where
        S: futures::Stream<Item = Result<bytes::Bytes, awc::error::PayloadError>>,
    {
        let headers = r.headers().iter();
        let headers =
            headers.map(|(n, v)| (n.to_string(), v.to_str().unwrap().to_owned())).collect();
        let body = r.body().limit(16 << 20).await.unwrap();
        Self { status: r.status(), headers, body: String::from_utf8(body.into()).unwrap() }
    }

    pub(super) fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or_else(|e| panic!("{e}: {self:?}"))
    }

    /// Status, `code` and `run` of an error response.
    pub(super) fn error(&self) -> (u16, String, String) {
        let e = &self.json()["error"];
        let text = |f: &str| e[f].as_str().unwrap_or("").to_owned();
        (self.status.as_u16(), text("code"), text("run"))
    }

    /// Returns the data of each event of a stream.
    pub(super) fn events(&self) -> Vec<String> {
        self.body.split("\n\n").filter_map(|e| Some(e.strip_prefix("data: ")?.to_owned())).collect()
    }

    /// Returns the text of a complete stream; panics if its end is missing.
    pub(super) fn text(&self) -> String {
        let mut events = self.events();
        assert_eq!(events.pop().as_deref(), Some("[DONE]"), "{self:?}");
        let values = events.iter().map(|e| serde_json::from_str::<Value>(e).unwrap());
        values.map(|v| v["choices"][0]["text"].as_str().unwrap_or("").to_owned()).collect()
    }

    /// Returns `code` and `run` of the error event that ends a stream.
    pub(super) fn last_error(&self) -> (String, String) {
        let last: Value = serde_json::from_str(self.events().last().unwrap()).unwrap();
        let text = |f: &str| last["error"][f].as_str().unwrap_or("").to_owned();
        (text("code"), text("run"))
    }
}

/// Returns the body of a completion request for `n` tokens.
pub(super) fn completion(n: u64, stream: bool) -> Value {
    json!({"model": "deck@2", "prompt": "twelve chars", "max_tokens": n, "stream": stream})
}

/// Returns the text that the fake engine generates.
pub(super) fn expected(n: u64) -> String {
    (0..n).map(|i| format!("deck:2#{i} ")).collect()
}
