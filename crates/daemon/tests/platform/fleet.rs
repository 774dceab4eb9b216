//! Fleet of daemon processes on loopback addresses of their own, with the stand-ins of the
//! platform.

use std::{
    collections::BTreeMap,
    fs,
    io::{self, BufRead, BufReader, Read, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    process::{Child, Command, Stdio},
    sync::atomic::{AtomicU32, Ordering},
    thread,
    time::{Duration, Instant},
};

use serde_json::Value;
use tempfile::TempDir;
use tokio::runtime::Runtime;
use yuccawing_platform_standin::{
    config::{self, Account},
    links::Links,
    replica::{Replica, ReplicaSpec},
    store::{Listener, Store},
};

/// Timeout for the start of a fleet, also on a busy machine.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Timeout for one response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);

/// Interval at which replicas renew their entries, if [`Fleet::renew_entries`] makes them.
pub const RENEWAL_INTERVAL: Duration = Duration::from_millis(200);

/// Time after which the store's history covers the life of a stream that is taken up, and the time
/// in which an engine that leaves may still begin it.
const HISTORY_TIME: Duration = Duration::from_secs(8);

/// First internal port of a host, and the number of these ports.
const INTERNAL_PORT: u16 = 7600;
const INTERNAL_PORTS: u16 = 16;

/// Time for which callers wait for a request, in ms, as long as the timeouts of routes.
const BUDGET_MS: u64 = 4000;

/// Time that is left to a caller that takes up a stream, in ms.
const TAKE_UP_MS: u64 = 2500;

/// Key of the account in [`accounts`].
pub const KEY: &str = "key-of-one";

/// Last byte of the address by which a test claims its network; hosts have lower ones.
const CLAIM_HOST: u8 = 254;

/// Networks that are tried.
const MAX_CLAIMS: u32 = 256;

static NETWORKS: AtomicU32 = AtomicU32::new(0);

/// A daemon process, killed when dropped.
pub struct Host {
    pub child: Child,
}

impl Host {
    // Returns when the process has ended.
    fn kill(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        // The process may have exited by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A fleet with its stand-ins.
pub struct Fleet {
    pub hosts: Vec<Host>,
    pub store: Store,
    /// Listener of the store for each host.
    pub listeners: Vec<Listener>,
    /// Links between the hosts, if they are linked.
    pub links: Option<Links>,
    pub plain: Vec<Replica>,
    pub engines: Vec<Replica>,
    // Keeps the stand-ins running.
    runtime: Runtime,
    network: (u8, u8),
    // Keeps other tests from the network.
    _claim: TcpListener,
    dir: TempDir,
}

/// A response as a caller sees it.
#[derive(Debug, Default)]
pub struct Response {
    pub status: u16,
    pub headers: BTreeMap<String, String>,
    pub body: String,
    /// Whether the body was received completely according to its framing.
    pub complete: bool,
}

pub fn accounts() -> Vec<Account> {
    vec![Account { name: "one".into(), keys: vec![KEY.into()], rate: 0 }]
}

impl Fleet {
    /// Starts hosts and waits until all are ready and know each other.
    pub fn start(hosts: usize, plain: usize, engines: usize) -> Self {
        let mut f = Self::start_unconfigured(hosts, plain, engines);
        f.store.put("op/config", &config::config(1, &accounts()));
        f.wait_ready();
        f
    }

    /// As [`Self::start`], with [`Links`] between the hosts.
    pub fn start_linked(hosts: usize, plain: usize) -> Self {
        let mut f = Self::stand_ins(hosts, plain, 0);
        let ends: Vec<_> = (0..hosts).map(|i| (f.ip(i), linked_port(i))).collect();
        f.links = Some(f.runtime.block_on(Links::start(&ends)).unwrap());
        f.spawn_hosts(hosts);
        f.store.put("op/config", &config::config(1, &accounts()));
        f.wait_ready();
        f
    }

    /// Starts hosts without a configuration.
    pub fn start_unconfigured(hosts: usize, plain: usize, engines: usize) -> Self {
        let mut f = Self::stand_ins(hosts, plain, engines);
        f.spawn_hosts(hosts);
        f
    }

    // Starts the stand-ins for a fleet of `hosts`.
    fn stand_ins(hosts: usize, plain: usize, engines: usize) -> Self {
        let (network, claim) = claim_network();
        let runtime = Runtime::new().unwrap();
        let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
        let start = |spec: ReplicaSpec| runtime.block_on(Replica::start(spec, any, 1)).unwrap();
        let store = runtime.block_on(Store::start(any)).unwrap();
        let listen = |_| runtime.block_on(store.listen(any)).unwrap();
        let listeners = (0..hosts).map(listen).collect();
        let plain: Vec<_> = (0..plain)
            .map(|i| start(ReplicaSpec::plain(&format!("p{i}"), config::PLAIN_SERVICE)))
            .collect();
        let engines: Vec<_> = (0..engines)
            .map(|i| start(ReplicaSpec::engine(&format!("e{i}"), config::ENGINE_SERVICE)))
            .collect();
        for r in plain.iter().chain(&engines) {
            r.register(&store, r.address);
        }
        let dir = TempDir::new().unwrap();
        let (hosts, links) = (Vec::new(), None);
        Self {
            hosts,
            store,
            listeners,
            links,
            plain,
            engines,
            runtime,
            network,
            _claim: claim,
            dir,
        }
    }

    fn spawn_hosts(&mut self, hosts: usize) {
        for i in 0..hosts {
            let host = self.spawn_host(i, hosts);
            self.hosts.push(host);
        }
    }

    pub fn ip(&self, i: usize) -> Ipv4Addr {
        Ipv4Addr::new(127, self.network.0, self.network.1, i as u8 + 1)
    }

    /// Starts the process of host `i`, also after it ended.
    pub fn spawn_host(&self, i: usize, hosts: usize) -> Host {
        let ip = self.ip(i);
        let seeds: Vec<_> = (0..hosts.min(3)).map(|s| format!("\"{}:8229\"", self.ip(s))).collect();
        let port = if self.links.is_some() { linked_port(i) } else { INTERNAL_PORT };
        let text = format!(
            "name = \"h{i}\"\nip = \"{ip}\"\nzone = \"a\"\nports = [{port}, {}]\n\
             seeds = [{}]\nstore = \"{}\"\nheartbeat_ms = {}\n\
             [listen]\nfront = \"{ip}:8221\"\nready = \"{ip}:8224\"\ndirectory = \"{ip}:8220\"\n\
             [bounds]\nrevoke_ms = 2000\nlease_ms = 500\ngrace_s = 8.0\n\
             retry_ratio = 0.2\nretry_slack = 58\nquota_slack = 1000\n",
            port + INTERNAL_PORTS - 1,
            seeds.join(", "),
            self.listeners.get(i).map_or(self.store.address, |l| l.address),
            RENEWAL_INTERVAL.as_millis(),
        );
        let path = self.dir.path().join(format!("h{i}.toml"));
        fs::write(&path, text).unwrap();
        let log = fs::OpenOptions::new().create(true).append(true).open(self.log_path(i)).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_yuccawingd"))
            .arg("--platform")
            .env("YUCCAWING_CONFIG", &path)
            .stdout(Stdio::from(log))
            .spawn()
            .unwrap();
        Host { child }
    }

    /// Sends a signal to a host.
    pub fn signal(&self, i: usize, name: &str) {
        let pid = self.hosts[i].child.id().to_string();
        let sent = Command::new("kill").args(["-s", name, &pid]).status().unwrap();
        assert!(sent.success(), "SIG{name} to host {i}");
    }

    /// Content of the settings file of host `i`.
    pub fn settings(&self, i: usize) -> String {
        fs::read_to_string(self.dir.path().join(format!("h{i}.toml"))).unwrap()
    }

    pub fn write_settings(&self, i: usize, text: &str) {
        fs::write(self.dir.path().join(format!("h{i}.toml")), text).unwrap();
    }

    /// Largest resident memory of host `i` so far, in MB.
    pub fn peak_memory_mb(&self, i: usize) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.hosts[i].child.id()));
        let status = status.unwrap();
        let line = status.lines().find_map(|l| l.strip_prefix("VmHWM:")).unwrap();
        line.trim().trim_end_matches(" kB").parse::<u64>().unwrap() / 1024
    }

    fn log_path(&self, i: usize) -> std::path::PathBuf {
        self.dir.path().join(format!("h{i}.log"))
    }

    /// Parsed log lines of host `i`.
    pub fn log_lines(&self, i: usize) -> Vec<Value> {
        let text = fs::read_to_string(self.log_path(i)).unwrap_or_default();
        text.lines().filter_map(|l| serde_json::from_str(l).ok()).collect()
    }

    pub fn wait_ready(&mut self) {
        let all = self.hosts.len();
        for i in 0..all {
            wait_until(START_TIMEOUT, "a host is not ready", || {
                self.ready(i) == 200 && self.fronts(i).len() == all
            });
        }
    }

    pub fn ready(&self, i: usize) -> u16 {
        self.get(i, 8224, "/ready").map_or(0, |a| a.status)
    }

    /// Addresses that host `i` returns to a lookup.
    pub fn fronts(&self, i: usize) -> Vec<String> {
        let path = format!("/resolve?Name={}&Region=r&Zone=a", config::HOST);
        let Ok(a) = self.get(i, 8220, &path) else { return Vec::new() };
        let v: Value = serde_json::from_str(&a.body).unwrap_or_default();
        let list = v["Addresses"].as_array().cloned().unwrap_or_default();
        list.iter().filter_map(|x| x.as_str().map(str::to_owned)).collect()
    }

    fn get(&self, i: usize, port: u16, path: &str) -> io::Result<Response> {
        exchange(&mut connect(self.ip(i), port)?, "GET", path, &[("Host".into(), "x".into())], b"")
    }

    /// Sends a request to host `i` on a new connection.
    pub fn call(&self, i: usize, path: &str, id: &str, key: Option<&str>) -> Response {
        let mut c = connect(self.ip(i), 8221).unwrap();
        self.call_on(&mut c, path, id, key)
    }

    /// As [`Self::call`]; status 0 if the connection fails or ends without a response.
    pub fn try_call(&self, i: usize, path: &str, id: &str, key: Option<&str>) -> Response {
        let (method, headers) = request(path, id, key);
        let sent = connect(self.ip(i), 8221)
            .and_then(|mut c| exchange(&mut c, method, path, &headers, b"body"));
        sent.unwrap_or_default()
    }

    /// Sends a request on a connection that may be used again.
    pub fn call_on(&self, c: &mut TcpStream, path: &str, id: &str, key: Option<&str>) -> Response {
        let (method, headers) = request(path, id, key);
        exchange(c, method, path, &headers, b"body").unwrap()
    }

    /// Takes up a stream whose first event came with the attempt `first`, after event `last`.
    pub fn take_up(&self, i: usize, path: &str, id: &str, first: &str, last: u64) -> Response {
        let (method, mut headers) = request_with_budget(path, id, Some(KEY), TAKE_UP_MS);
        headers.push(("Resumes".into(), first.into()));
        headers.push(("Last-Event-Id".into(), last.to_string()));
        let mut c = connect(self.ip(i), 8221).unwrap();
        exchange(&mut c, method, path, &headers, b"body").unwrap()
    }

    /// Makes the engines renew their entries in the store from now on, and waits until the store's
    /// history is longer than any stream.
    pub fn renew_entries(&self) {
        let engines = self.engines.clone();
        self.runtime.spawn(async move {
            loop {
                tokio::time::sleep(RENEWAL_INTERVAL).await;
                engines.iter().for_each(Replica::renew);
            }
        });
        thread::sleep(HISTORY_TIME);
    }

    /// Kills host `i` and starts it again once its process has gone, which holds its addresses until then.
    pub fn restart(&mut self, i: usize) {
        self.hosts[i].kill();
        self.hosts[i] = self.spawn_host(i, self.hosts.len());
        self.wait_ready();
    }

    /// Kills all hosts at once and starts them again.
    pub fn restart_all(&mut self) {
        self.hosts.iter_mut().for_each(Host::kill);
        let n = self.hosts.len();
        self.hosts = (0..n).map(|i| self.spawn_host(i, n)).collect();
        self.wait_ready();
    }

    pub fn connect(&self, i: usize) -> TcpStream {
        connect(self.ip(i), 8221).unwrap()
    }
}

// Chooses second and third byte of loopback addresses that no other test uses, of this process or of
// one beside it, whose process id may end in the same digits.
fn claim_network() -> ((u8, u8), TcpListener) {
    for _ in 0..MAX_CLAIMS {
        let n = NETWORKS.fetch_add(1, Ordering::Relaxed);
        let network = (100 + (std::process::id() % 100) as u8, n as u8);
        let ip = Ipv4Addr::new(127, network.0, network.1, CLAIM_HOST);
        if let Ok(claim) = TcpListener::bind((ip, INTERNAL_PORT)) {
            return (network, claim);
        }
    }
    panic!("no network is free after {MAX_CLAIMS} attempts");
}

fn linked_port(i: usize) -> u16 {
    INTERNAL_PORT + INTERNAL_PORTS * i as u16
}

/// Method and headers of a request. Streams ask for the adapter in the last segment of the path.
pub fn request(path: &str, id: &str, key: Option<&str>) -> (&'static str, Vec<(String, String)>) {
    request_with_budget(path, id, key, BUDGET_MS)
}

fn request_with_budget(
    path: &str,
    id: &str,
    key: Option<&str>,
    budget_ms: u64,
) -> (&'static str, Vec<(String, String)>) {
    let mut headers = config::caller_headers(id, key, budget_ms);
    let stream = path.starts_with("/stream/") || path.starts_with("/once/");
    if stream {
        headers.extend(config::engine_headers(path.rsplit('/').next().unwrap()));
    }
    (if path.starts_with("/safe/") || path.starts_with("/open/") { "GET" } else { "POST" }, headers)
}

pub fn wait_until(limit: Duration, message: &str, mut done: impl FnMut() -> bool) {
    let end = Instant::now() + limit;
    while !done() {
        assert!(Instant::now() < end, "{message}");
        thread::sleep(Duration::from_millis(20));
    }
}

fn connect(ip: Ipv4Addr, port: u16) -> io::Result<TcpStream> {
    let address = SocketAddr::from((ip, port));
    let c = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    c.set_read_timeout(Some(RESPONSE_TIMEOUT))?;
    Ok(c)
}

/// Writes a request without reading the response.
pub fn send(
    c: &mut TcpStream,
    method: &str,
    path: &str,
    headers: &[(String, String)],
    body: &[u8],
) -> io::Result<()> {
    let mut out = format!("{method} {path} HTTP/1.1\r\n");
    for (n, v) in headers {
        out.push_str(&format!("{n}: {v}\r\n"));
    }
    let body = if method == "GET" { b"" } else { body };
    out.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    c.write_all(out.as_bytes())?;
    c.write_all(body)
}

fn exchange(
    c: &mut TcpStream,
    method: &str,
    path: &str,
    headers: &[(String, String)],
    body: &[u8],
) -> io::Result<Response> {
    send(c, method, path, headers, body)?;
    receive(c)
}

/// Reads a response.
pub fn receive(c: &mut TcpStream) -> io::Result<Response> {
    let mut r = BufReader::new(c);
    let mut out = Response::default();
    let mut line = String::new();
    r.read_line(&mut line)?;
    out.status = line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
    loop {
        line.clear();
        if r.read_line(&mut line)? == 0 || line.trim().is_empty() {
            break;
        }
        if let Some((n, v)) = line.split_once(':') {
            out.headers.insert(n.to_ascii_lowercase(), v.trim().to_owned());
        }
    }
    let mut body = Vec::new();
    if let Some(n) = out.headers.get("content-length").and_then(|v| v.parse::<usize>().ok()) {
        body.resize(n, 0);
        out.complete = r.read_exact(&mut body).is_ok();
    } else {
        out.complete = chunks(&mut r, &mut body).unwrap_or(false);
    }
    out.body = String::from_utf8_lossy(&body).into_owned();
    Ok(out)
}

// Reads a chunked body. Returns whether the last chunk arrived.
fn chunks(r: &mut impl BufRead, body: &mut Vec<u8>) -> io::Result<bool> {
    loop {
        let mut line = String::new();
        r.read_line(&mut line)?;
        let Ok(n) = usize::from_str_radix(line.trim(), 16) else { return Ok(false) };
        let mut chunk = vec![0; n + 2];
        r.read_exact(&mut chunk)?;
        body.extend_from_slice(&chunk[..n]);
        if n == 0 {
            return Ok(true);
        }
    }
}
