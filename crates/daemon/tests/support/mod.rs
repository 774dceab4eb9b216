//! Starts host processes together with stand-ins for the platform and the upstreams.
#![allow(dead_code, reason = "each test file uses only a part of this module")]

use std::{
    collections::BTreeMap,
    fmt::Write as _,
    fs::{self, File},
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use rustls::{ClientConfig, ClientConnection, StreamOwned, pki_types::ServerName};
use serde_json::{Value, json};
use sha2::{Digest, Sha256};
use tempfile::TempDir;
use tokio::net::TcpSocket;
use yuccawing_core::rules::{Account, Adapter, Route, Rules, Store, Upstream};

/// API key of the only account.
pub const KEY: &str = "key-of-the-press";

/// Timeout for the start of all processes, long enough for a busy machine.
const START_TIMEOUT: Duration = Duration::from_secs(15);

/// Attempts to start a host. Another process may take a free port before the host binds it.
const START_ATTEMPTS: usize = 3;

/// Size and settings of a fleet.
#[derive(Clone)]
pub struct FleetSpec {
    /// Number of hosts.
    pub hosts: usize,
    /// Number of adapters, named `a0`, `a1` and so on, each with version 1.
    pub adapters: usize,
    /// Limit of loads per second in the rules.
    pub loads_per_s: u64,
    /// Duration of a load in the stand-in store, in ms.
    pub load_ms: u64,
    /// Time between tokens of the stand-in engines, in ms.
    pub token_ms: u64,
    /// Time after which a host's exit is forced, in seconds.
    pub stop_s: u64,
    /// Directory with the files `cert`, `key` and `ca` of each host; plain text if empty.
    pub tls: Vec<PathBuf>,
}

impl Default for FleetSpec {
    fn default() -> Self {
        Self {
            hosts: 1,
            adapters: 4,
            loads_per_s: 100,
            load_ms: 20,
            token_ms: 1,
            stop_s: 10,
            tls: Vec::new(),
        }
    }
}

/// Process that is killed when this value is dropped.
pub struct Process(pub Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// A running host process.
pub struct Host {
    pub http: SocketAddr,
    pub peer: SocketAddr,
    pub process: Process,
    pub log: PathBuf,
}

/// Running stand-ins and hosts. The rules have two routes: `/once` is not idempotent, and the
/// upstreams of `/dead` are not running.
pub struct Fleet {
    pub hosts: Vec<Host>,
    pub rules: Rules,
    standins: BTreeMap<String, SocketAddr>,
    tls: Option<Arc<ClientConfig>>,
    version: u64,
    _standin: Process,
    dir: TempDir,
}

/// An HTTP response.
#[derive(Debug)]
pub struct Response {
    pub status: u16,
    pub head: String,
    pub body: String,
    pub elapsed: Duration,
}

impl Response {
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or_else(|e| panic!("{e}: {self:?}"))
    }

    /// Status, `code` and `run` of an error response.
    pub fn error(&self) -> (u16, String, String) {
        let e = self.json()["error"].clone();
        let text = |f: &str| e[f].as_str().unwrap_or("").to_owned();
        (self.status, text("code"), text("run"))
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().find_map(|l| {
            let (n, v) = l.split_once(':')?;
            n.eq_ignore_ascii_case(name).then(|| v.trim())
        })
    }
}

fn free_addr() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

// Address that refuses connections. Its port stays bound for the life of the test process, so that no
// other process can listen on it.
fn closed_port() -> SocketAddr {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = socket.local_addr().unwrap();
    std::mem::forget(socket);
    address
}

fn daemon_path() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_yuccawingd"))
}

fn start_standin(dir: &Path, spec: &FleetSpec) -> (Process, BTreeMap<String, SocketAddr>) {
    let program = daemon_path().with_file_name("standin");
    assert!(program.is_file(), "{} is missing: cargo build --workspace", program.display());
    let mut t = String::from("[config]\n[list]\n[store]\nrate = 1000\nflight = 100\n");
    let _ = writeln!(t, "load_ms = {}", spec.load_ms);
    for e in ["e0", "e1"] {
        let _ = write!(t, "[[engines]]\nname = \"{e}\"\nslots = 64\nbatch = 8\nfencing = true\n");
        let _ = writeln!(t, "first_ms = 2\ntoken_ms = {}", spec.token_ms);
    }
    t.push_str("[[plain]]\nname = \"p0\"\n");
    let file = dir.join("standin.toml");
    fs::write(&file, t).unwrap();
    let mut child = Command::new(program)
        .arg(&file)
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    let out = child.stdout.take().unwrap();
    let process = Process(child);
    let mut line = String::new();
    BufReader::new(out).read_line(&mut line).unwrap();
    (process, serde_json::from_str(&line).unwrap())
}

fn rules(spec: &FleetSpec, at: &BTreeMap<String, SocketAddr>) -> Rules {
    let mut upstreams = BTreeMap::new();
    for e in ["e0", "e1"] {
        let u = Upstream::Engine {
            addr: at[e].to_string().into(),
            domain: "a".into(),
            model: "base".into(),
            slots: 64,
            batch: 8,
            fencing: true,
        };
        upstreams.insert(e.into(), u);
    }
    let plain = |addr: SocketAddr| Upstream::Plain {
        addr: addr.to_string().into(),
        domain: "a".into(),
        limit: 8,
    };
    upstreams.insert("p0".into(), plain(at["p0"]));
    let dead: Vec<_> = (0..4).map(|i| format!("dead{i}").into()).collect();
    for name in &dead {
        upstreams.insert(arcstr::ArcStr::clone(name), plain(closed_port()));
    }
    let route = |upstreams| Route { upstreams, open: false, idempotent: false, cost: 1 };
    let hash = Sha256::digest(KEY).iter().fold(String::new(), |s, b| format!("{s}{b:02x}"));
    let account = Account { rate: 100_000, burst: 1_000_000, weight: 1, keys: vec![hash.into()] };
    let adapter = |i| {
        let a = Adapter {
            model: "base".into(),
            versions: vec!["1".into()],
            class: yuccawing_core::rules::Class::Interactive,
        };
        (format!("a{i}").into(), a)
    };
    Rules {
        hosts: u8::try_from(spec.hosts).unwrap(),
        store: Store { rate: spec.loads_per_s, flight: 16 },
        models: vec!["base".into()],
        adapters: (0..spec.adapters).map(adapter).collect(),
        accounts: BTreeMap::from([("press".into(), account)]),
        upstreams,
        routes: BTreeMap::from([
            ("/once".into(), route(vec!["p0".into()])),
            ("/dead".into(), route(dead)),
        ]),
        ..Rules::default()
    }
}

impl Fleet {
    /// Starts all processes and waits until the hosts are ready. `tls` is the callers'
    /// configuration.
    pub fn start(spec: &FleetSpec, tls: Option<Arc<ClientConfig>>) -> Self {
        let dir = tempfile::tempdir().unwrap();
        let (standin, standins) = start_standin(dir.path(), spec);
        let rules = rules(spec, &standins);
        let mut f =
            Self { hosts: Vec::new(), rules, standins, tls, version: 0, _standin: standin, dir };
        f.publish(|_| {});
        for i in 0..spec.hosts {
            let host = (0..START_ATTEMPTS).find_map(|_| f.start_host(i, spec));
            f.hosts.push(host.expect("the host did not start"));
        }
        let hosts = f.hosts.iter().enumerate().map(|(i, h)| {
            json!({
                "name": format!("h{i}"), "ordinal": i, "domain": format!("d{i}"),
                "http": h.http, "peer": h.peer, "state": "live",
            })
        });
        let hosts: Vec<_> = hosts.collect();
        let list = json!({"generation": 1, "hosts": hosts, "upstreams": []});
        f.put("list", "/control/hosts", &list.to_string());
        let start = Instant::now();
        for i in 0..spec.hosts {
            while f.get(i, "/readyz").is_none_or(|a| a.status != 200) {
                assert!(start.elapsed() < START_TIMEOUT, "h{i} is not ready:\n{}", f.log(i));
                thread::sleep(Duration::from_millis(30));
            }
        }
        f
    }

    fn start_host(&self, i: usize, spec: &FleetSpec) -> Option<Host> {
        let (tls, stop_s) = (spec.tls.get(i), spec.stop_s);
        let (http, peer) = (free_addr(), free_addr());
        let plain = tls.is_none();
        let (config, list) = (self.standins["config"], self.standins["list"]);
        let mut text = format!(
            "name = \"h{i}\"\nordinal = {i}\ndomain = \"d{i}\"\nfound = 1\n\
             [listen]\nhttp = \"{http}\"\npeer = \"{peer}\"\n\
             [platform]\nconfig = \"{config}\"\nlist = \"{list}\"\n\
             [plaintext]\ncallers = {plain}\npeers = {plain}\n[stop]\nlimit_s = {stop_s}\n"
        );
        if let Some(d) = tls {
            let path = |n: &str| d.join(n).display().to_string();
            let (cert, key, ca) = (path("cert"), path("key"), path("ca"));
            let _ = write!(text, "[tls]\ncert = \"{cert}\"\nkey = \"{key}\"\nca = \"{ca}\"\n");
        }
        let file = self.dir.path().join(format!("h{i}.toml"));
        let log = self.dir.path().join(format!("h{i}.log"));
        fs::write(&file, text).unwrap();
        let out = File::create(&log).unwrap();
        let child = Command::new(daemon_path())
            .arg("--settings")
            .arg(&file)
            .stdout(out.try_clone().unwrap())
            .stderr(out)
            .spawn()
            .unwrap();
        let mut process = Process(child);
        let start = Instant::now();
        while self.call(http, "GET", "/healthz", &[], "").is_none() {
            if process.0.try_wait().unwrap().is_some() {
                return None;
            }
            assert!(start.elapsed() < START_TIMEOUT, "h{i} does not answer");
            thread::sleep(Duration::from_millis(30));
        }
        Some(Host { http, peer, process, log })
    }

    /// Sends SIGTERM to a host.
    pub fn terminate(&self, i: usize) {
        let id = self.hosts[i].process.0.id().to_string();
        assert!(Command::new("kill").args(["-TERM", &id]).status().unwrap().success());
    }

    /// Waits until a host exits and returns its exit code.
    pub fn exit_code(&mut self, i: usize, limit: Duration) -> Option<i32> {
        let start = Instant::now();
        loop {
            if let Some(s) = self.hosts[i].process.0.try_wait().unwrap() {
                return s.code();
            }
            assert!(start.elapsed() < limit, "the process is still running:\n{}", self.log(i));
            thread::sleep(Duration::from_millis(10));
        }
    }

    /// Log of a host so far; empty if it has not been started.
    pub fn log(&self, i: usize) -> String {
        self.hosts.get(i).map(|h| fs::read_to_string(&h.log).unwrap()).unwrap_or_default()
    }

    /// Changes the rules and publishes them as the next version.
    pub fn publish(&mut self, change: impl FnOnce(&mut Rules)) {
        change(&mut self.rules);
        self.version += 1;
        let r = self.rules.render(self.version);
        for (digest, text) in &r.parts {
            self.put("config", &format!("/control/values/part/{digest}"), text);
        }
        self.put("config", "/control/values/head", &serde_json::to_string(&r.head).unwrap());
    }

    fn put(&self, standin: &str, path: &str, body: &str) {
        let a = exchange(self.standins[standin], None, "PUT", path, &JSON, body).unwrap();
        assert_eq!(a.status / 100, 2, "{a:?}");
    }

    /// Entries of `kind` in the journal of a stand-in.
    pub fn journal(&self, standin: &str, kind: &str) -> Vec<Value> {
        let at = self.standins[standin];
        let a = exchange(at, None, "GET", "/control/journal", &[], "").unwrap();
        let entries = a.json()["entries"].as_array().unwrap().clone();
        entries.into_iter().filter(|e| e["kind"] == kind).collect()
    }

    fn call(
        &self,
        to: SocketAddr,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Option<Response> {
        exchange(to, self.tls.clone(), method, path, headers, body)
    }

    /// Sends a GET request; `None` if the host does not answer.
    pub fn get(&self, i: usize, path: &str) -> Option<Response> {
        self.call(self.hosts[i].http, "GET", path, &[], "")
    }

    pub fn post(&self, i: usize, path: &str, headers: &[(&str, &str)], body: &Value) -> Response {
        let bearer = format!("Bearer {KEY}");
        let mut all = vec![JSON[0], ("authorization", bearer.as_str())];
        all.extend_from_slice(headers);
        self.call(self.hosts[i].http, "POST", path, &all, &body.to_string()).unwrap()
    }

    /// Requests a completion of two tokens.
    pub fn complete(&self, i: usize, adapter: &str, deadline_ms: u64) -> Response {
        let body = json!({"model": adapter, "prompt": "x", "max_tokens": 2});
        let ms = deadline_ms.to_string();
        self.post(i, "/v1/completions", &[("x-deadline-ms", &ms)], &body)
    }

    pub fn ticket(&self, i: usize) -> String {
        let a = self.post(i, "/v1/tickets", &[], &json!({}));
        a.json()["ticket"].as_str().unwrap().to_owned()
    }
}

const JSON: [(&str, &str); 1] = [("content-type", "application/json")];

/// Sends one request on a new connection; `None` without a complete response.
pub fn exchange(
    to: SocketAddr,
    tls: Option<Arc<ClientConfig>>,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Option<Response> {
    let mut text = format!("{method} {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n");
    for (n, v) in headers {
        let _ = write!(text, "{n}: {v}\r\n");
    }
    let _ = write!(text, "content-length: {}\r\n\r\n{body}", body.len());
    let start = Instant::now();
    let mut s = TcpStream::connect(to).ok()?;
    s.set_read_timeout(Some(Duration::from_secs(30))).ok()?;
    let mut out = Vec::new();
    match tls {
        None => {
            s.write_all(text.as_bytes()).ok()?;
            s.read_to_end(&mut out).ok()?;
        }
        Some(config) => {
            let c = ClientConnection::new(config, ServerName::IpAddress(to.ip().into())).ok()?;
            let mut s = StreamOwned::new(c, s);
            s.write_all(text.as_bytes()).ok()?;
            // The host may close the connection without a TLS close_notify alert.
            let _ = s.read_to_end(&mut out);
        }
    }
    let out = String::from_utf8(out).ok()?;
    let (head, body) = out.split_once("\r\n\r\n")?;
    let status = head.get(9..12)?.parse().ok()?;
    Some(Response { status, head: head.into(), body: body.into(), elapsed: start.elapsed() })
}
