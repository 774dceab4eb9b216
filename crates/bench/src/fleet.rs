//! Starts and controls a fleet of real processes on this machine: stand-ins for the upstreams and
//! platform services, daemons and, if the plan asks for it, a proxy between them.

use std::{
    collections::BTreeMap,
    fmt::Write as _,
    fs,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::ExitStatus,
    time::{Duration, Instant},
};

use rustix::process::Signal;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tempfile::TempDir;
use yuccawing_core::rules::{Rendered, Rules};

use crate::{
    Error, Result,
    client::HttpClient,
    plan::FleetPlan,
    process::{Process, find_binary},
    proxy::{Direction, Link, Proxy},
};

/// Name of this process in the proxy's links; its connections are those of the callers.
pub const CALLERS: &str = "callers";

/// Limit for the start of the stand-ins or of a daemon; generous for a busy machine.
pub const START_TIMEOUT: Duration = Duration::from_secs(60);

/// Interval at which conditions are checked.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Limit of attempts to start a daemon: a free port may be taken before the daemon binds it.
const MAX_START_ATTEMPTS: usize = 3;

/// A daemon of the fleet.
#[derive(Debug)]
pub struct Host {
    /// Name, unique for each start of a daemon.
    pub name: String,
    /// Ordinal in the fleet; a replacement takes over that of its predecessor.
    pub ordinal: usize,
    /// Address that callers use; at the proxy if there is one.
    pub http: SocketAddr,
    /// The daemon's own address for callers, without the proxy.
    pub direct: SocketAddr,
    /// Address that peers use; at the proxy if there is one.
    pub peer: SocketAddr,
    /// Whether the published host list contains it.
    pub listed: bool,
    /// Whether the published host list marks it as leaving.
    pub leaving: bool,
    process: Process,
}

/// An entry of a stand-in's journal.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct JournalEntry {
    /// Sequence number, from 0.
    pub seq: u64,
    /// Time in microseconds since the Unix epoch.
    pub at_us: u64,
    /// Kind of event, such as `request`, `end`, `load_begin`, `unload` or `call`.
    pub kind: String,
    /// Request id that the daemon assigned.
    pub request_id: Option<String>,
    /// Name of the instance: `ADAPTER:VERSION` and an optional suffix.
    pub instance: String,
    /// Path of the loaded weights, or path of a plain call.
    pub path: String,
    /// Error code of a refusal; nothing was executed then.
    pub code: Option<String>,
    /// Fencing token of a command.
    pub fence: u64,
    /// Whether a request used the instance when it was unloaded.
    pub in_use: bool,
    /// Whether the instance was resident when it was unloaded.
    pub resident: bool,
    /// Priority of a request.
    pub priority: u8,
    /// Prompt of a request.
    pub prompt: String,
    /// Body of a request.
    pub body: String,
    /// Names of the request headers.
    pub headers: Vec<String>,
    /// Values of all request headers, one a line.
    pub header_values: String,
    /// Number of tokens generated.
    pub tokens: u64,
    /// Number of tokens of the prompt.
    pub prompt_tokens: u64,
    /// How the request ended.
    pub outcome: String,
    /// Number of the engine's start, which a cold restart increments.
    pub boot: u64,
}

impl JournalEntry {
    /// Returns the mark of the request: the first word of its prompt or body.
    pub fn mark(&self) -> &str {
        let text = if self.prompt.is_empty() { &self.body } else { &self.prompt };
        text.split_whitespace().next().unwrap_or("")
    }

    /// Splits the instance into adapter and version.
    pub fn adapter_version(&self) -> (&str, &str) {
        let mut parts = self.instance.splitn(3, ':');
        (parts.next().unwrap_or(""), parts.next().unwrap_or(""))
    }
}

impl Host {
    /// Returns the id of the daemon's process.
    pub fn pid(&self) -> u32 {
        self.process.pid()
    }

    /// Resumes a paused process (SIGCONT); works for a host that the fleet has replaced.
    ///
    /// # Errors
    ///
    /// The process has exited.
    pub fn resume(&self) -> Result<()> {
        self.process.signal(Signal::CONT)
    }
}

#[derive(Deserialize)]
struct Journal {
    entries: Vec<JournalEntry>,
    dropped: u64,
}

/// A running fleet; all its processes are killed when it is dropped.
pub struct Fleet {
    /// Client for requests of callers and for the stand-ins' control interfaces.
    pub http: HttpClient,
    /// Plan that the fleet was started with.
    pub plan: FleetPlan,
    /// Rules as last published.
    pub rules: Rules,
    /// Version number of the rules, from 1.
    pub version: u64,
    hosts: BTreeMap<String, Host>,
    // The stand-ins' own addresses by name.
    standin_addrs: BTreeMap<String, SocketAddr>,
    // Addresses by which daemons reach the stand-ins; at the proxy if there is one.
    proxied_addrs: BTreeMap<String, SocketAddr>,
    leaving: Vec<String>,
    generation: u64,
    proxy: Option<Proxy>,
    daemon: PathBuf,
    start_count: usize,
    _standin: Process,
    dir: TempDir,
}

impl Fleet {
    /// Starts stand-ins and daemons and waits until all hosts are ready.
    ///
    /// # Errors
    ///
    /// A binary is missing, a process exits, or the fleet is not ready in time.
    pub async fn start(plan: FleetPlan) -> Result<Self> {
        let mut fleet = Self::start_standins(plan).await?;
        fleet.publish(|_| {}).await?;
        for i in 0..fleet.plan.hosts.len() {
            fleet.start_host(i, true).await?;
        }
        fleet.publish_hosts().await?;
        fleet.wait_ready(START_TIMEOUT).await?;
        Ok(fleet)
    }

    /// Starts the stand-ins and the proxy, but no daemons.
    ///
    /// # Errors
    ///
    /// As [`Fleet::start`].
    pub async fn start_standins(plan: FleetPlan) -> Result<Self> {
        let dir = TempDir::new()?;
        let daemon = find_binary("yuccawingd")?;
        let file = dir.path().join("standin.toml");
        write(&file, &standin_toml(&plan))?;
        let mut standin =
            Process::start("standin", &find_binary("standin")?, &[&file], dir.path())?;
        let standin_addrs = read_standin_addrs(&mut standin).await?;
        let mut proxied_addrs = standin_addrs.clone();
        let mut proxy = None;
        if plan.proxied {
            let p = Proxy::start()?;
            p.register(std::process::id(), CALLERS);
            for (name, addr) in &mut proxied_addrs {
                *addr = p.listen(name, *addr)?;
            }
            proxy = Some(p);
        }
        let rules = plan.rules(|name| proxied_addrs[name]);
        Ok(Self {
            http: HttpClient::default(),
            plan,
            rules,
            version: 0,
            hosts: BTreeMap::new(),
            standin_addrs,
            proxied_addrs,
            leaving: Vec::new(),
            generation: 0,
            proxy,
            daemon,
            start_count: 0,
            _standin: standin,
            dir,
        })
    }

    /// Returns the directory of settings and logs, which is removed with the fleet.
    pub fn dir(&self) -> &Path {
        self.dir.path()
    }

    /// Copies settings and logs of all processes to the directory `to`, which is created if needed.
    ///
    /// # Errors
    ///
    /// The directory or a file cannot be written.
    pub fn copy_logs(&self, to: &Path) -> Result<()> {
        let file = |e| Error::File(to.into(), e);
        fs::create_dir_all(to).map_err(file)?;
        for entry in fs::read_dir(self.dir())?.flatten() {
            fs::copy(entry.path(), to.join(entry.file_name())).map_err(file)?;
        }
        Ok(())
    }

    /// Returns the hosts that were not removed or replaced, ordered by name.
    pub fn hosts(&self) -> impl Iterator<Item = &Host> {
        self.hosts.values()
    }

    /// Returns the addresses that callers use, ordered by host name.
    pub fn addrs(&self) -> Vec<SocketAddr> {
        self.hosts.values().map(|h| h.http).collect()
    }

    /// Returns a host.
    ///
    /// # Errors
    ///
    /// There is no host of this name.
    pub fn host(&self, name: &str) -> Result<&Host> {
        self.hosts.get(name).ok_or_else(|| Error::UnknownName(name.into()))
    }

    fn host_mut(&mut self, name: &str) -> Result<&mut Host> {
        self.hosts.get_mut(name).ok_or_else(|| Error::UnknownName(name.into()))
    }

    /// Returns the process id of a host.
    ///
    /// # Errors
    ///
    /// There is no host of this name.
    pub fn pid(&self, name: &str) -> Result<u32> {
        Ok(self.host(name)?.process.pid())
    }

    /// Starts a daemon and returns its name; [`Fleet::publish_hosts`] adds it to the host list.
    /// `bootstrap` is set for the first start of a group.
    ///
    /// # Errors
    ///
    /// The daemon exits, or does not answer in time.
    pub async fn start_host(&mut self, ordinal: usize, bootstrap: bool) -> Result<String> {
        for _ in 0..MAX_START_ATTEMPTS {
            let name = format!("h{ordinal}-{}", self.start_count);
            self.start_count += 1;
            let [http, peer] = free_ports()?;
            let file = self.dir.path().join(format!("{name}.toml"));
            write(&file, &self.settings(&name, ordinal, bootstrap, [http, peer]))?;
            let flag = Path::new("--settings");
            let process = Process::start(&name, &self.daemon, &[flag, &file], self.dir.path())?;
            let mut host = Host {
                name: name.clone(),
                ordinal,
                http,
                direct: http,
                peer,
                listed: true,
                leaving: false,
                process,
            };
            if let Some(p) = &self.proxy {
                p.register(host.process.pid(), &name);
                host.http = p.listen_from(CALLERS, &format!("{name}.http"), http)?;
                host.peer = p.listen(&name, peer)?;
            }
            if self.is_up(&mut host).await? {
                self.hosts.insert(name.clone(), host);
                self.set_delays(&name);
                return Ok(name);
            }
        }
        Err(Error::Timeout {
            what: format!("the start of the host with ordinal {ordinal}"),
            within: START_TIMEOUT,
        })
    }

    /// Waits until the daemon answers; false if it could not bind its ports.
    async fn is_up(&self, host: &mut Host) -> Result<bool> {
        let end = Instant::now() + START_TIMEOUT;
        while Instant::now() < end {
            if let Err(e) = host.process.check_running() {
                let text = e.to_string().to_lowercase();
                return if text.contains("in use") { Ok(false) } else { Err(e) };
            }
            if self.http.status(host.direct, "/healthz").await.is_some() {
                return Ok(true);
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Err(Error::Timeout { what: format!("an answer of {}", host.name), within: START_TIMEOUT })
    }

    fn settings(
        &self,
        name: &str,
        ordinal: usize,
        bootstrap: bool,
        [http, peer]: [SocketAddr; 2],
    ) -> String {
        let domain = &self.plan.hosts[ordinal];
        let (config, list, stop_s) =
            (self.proxied_addrs["config"], self.proxied_addrs["list"], self.plan.stop_limit_s);
        format!(
            "name = \"{name}\"\nordinal = {ordinal}\ndomain = \"{domain}\"\nfound = {}\n\
             [listen]\nhttp = \"{http}\"\npeer = \"{peer}\"\n\
             [platform]\nconfig = \"{config}\"\nlist = \"{list}\"\n\
             [plaintext]\ncallers = true\npeers = true\n\
             [log]\nformat = \"text\"\nlevel = \"info\"\n\
             [stop]\nlimit_s = {stop_s}\n",
            u8::from(bootstrap)
        )
    }

    /// Waits until all hosts are ready.
    ///
    /// # Errors
    ///
    /// A host is not ready after `within`, or its process has exited.
    pub async fn wait_ready(&mut self, within: Duration) -> Result<()> {
        let names: Vec<_> = self.hosts.keys().cloned().collect();
        for n in names {
            self.wait_host_ready(&n, within).await?;
        }
        Ok(())
    }

    /// Waits until a host is ready.
    ///
    /// # Errors
    ///
    /// The host is unknown, not ready after `within`, or its process has exited.
    pub async fn wait_host_ready(&mut self, name: &str, within: Duration) -> Result<()> {
        let end = Instant::now() + within;
        loop {
            let http = self.http.clone();
            let host = self.host_mut(name)?;
            host.process.check_running()?;
            if http.status(host.direct, "/readyz").await == Some(200) {
                return Ok(());
            }
            if Instant::now() >= end {
                let what = format!("{name} to become ready; its log:\n{}", host.process.log_tail());
                return Err(Error::Timeout { what, within });
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Changes the rules and publishes them as the next version. Returns its number.
    ///
    /// # Errors
    ///
    /// The configuration stand-in does not answer.
    pub async fn publish(&mut self, f: impl FnOnce(&mut Rules)) -> Result<u64> {
        f(&mut self.rules);
        self.version += 1;
        let rendered = self.rules.render(self.version);
        self.publish_rendered(&rendered).await?;
        Ok(self.version)
    }

    /// Publishes rendered rules, also old or invalid ones; parts precede the head that refers to
    /// them.
    ///
    /// # Errors
    ///
    /// The configuration stand-in does not answer.
    pub async fn publish_rendered(&self, r: &Rendered) -> Result<()> {
        let config = self.standin_addrs["config"];
        for (digest, text) in &r.parts {
            self.http.put(config, &format!("/control/values/part/{digest}"), text.clone()).await?;
        }
        let head = serde_json::to_string(&r.head)?;
        self.http.put(config, "/control/values/head", head).await
    }

    /// Publishes the hosts and the state of upstreams as the next generation of the host list.
    ///
    /// # Errors
    ///
    /// The host list stand-in does not answer.
    pub async fn publish_hosts(&mut self) -> Result<()> {
        self.generation += 1;
        let state = |leaving: bool| if leaving { "leaving" } else { "live" };
        let hosts = self.hosts.values().filter(|h| h.listed).map(|h| {
            json!({
                "name": h.name, "ordinal": h.ordinal, "domain": self.plan.hosts[h.ordinal],
                "http": h.http, "peer": h.peer, "state": state(h.leaving),
            })
        });
        let names = self.rules.upstreams.keys();
        let upstreams: Vec<_> = names
            .map(|n| json!({"name": n, "state": state(self.leaving.iter().any(|l| n == l))}))
            .collect();
        let list = json!({
            "generation": self.generation, "hosts": hosts.collect::<Vec<_>>(),
            "upstreams": upstreams,
        });
        self.http.put(self.standin_addrs["list"], "/control/hosts", list.to_string()).await
    }

    /// Marks an upstream as leaving, or live again, and publishes the host list.
    ///
    /// # Errors
    ///
    /// The host list stand-in does not answer.
    pub async fn set_leaving(&mut self, upstream: &str, leaving: bool) -> Result<()> {
        self.leaving.retain(|l| l != upstream);
        if leaving {
            self.leaving.push(upstream.into());
        }
        self.publish_hosts().await
    }

    /// Kills the process of a host (SIGKILL), which stays in the host list.
    ///
    /// # Errors
    ///
    /// There is no such host.
    pub fn kill_host(&mut self, name: &str) -> Result<()> {
        self.host_mut(name)?.process.kill();
        Ok(())
    }

    /// Pauses the process of a host (SIGSTOP).
    ///
    /// # Errors
    ///
    /// There is no such host, or its process has exited.
    pub fn pause_host(&self, name: &str) -> Result<()> {
        self.host(name)?.process.signal(Signal::STOP)
    }

    /// Resumes the process of a paused host (SIGCONT).
    ///
    /// # Errors
    ///
    /// There is no such host, or its process has exited.
    pub fn resume_host(&self, name: &str) -> Result<()> {
        self.host(name)?.process.signal(Signal::CONT)
    }

    /// Begins the graceful shutdown of a host (SIGTERM).
    ///
    /// # Errors
    ///
    /// There is no such host, or its process has exited.
    pub fn stop_host(&self, name: &str) -> Result<()> {
        self.host(name)?.process.signal(Signal::TERM)
    }

    /// Waits until the process of a host exits.
    ///
    /// # Errors
    ///
    /// There is no such host, or its process still runs after `within`.
    pub async fn wait_host_exit(&mut self, name: &str, within: Duration) -> Result<ExitStatus> {
        self.host_mut(name)?.process.wait(within).await
    }

    /// Removes a host, so that the next published host list lacks it. The process is killed when
    /// the returned value is dropped.
    ///
    /// # Errors
    ///
    /// There is no such host.
    pub fn remove_host(&mut self, name: &str) -> Result<Host> {
        self.hosts.remove(name).ok_or_else(|| Error::UnknownName(name.into()))
    }

    /// Kills and removes a host, starts a replacement of the same ordinal and publishes the host
    /// list. Returns the name of the replacement.
    ///
    /// # Errors
    ///
    /// There is no such host, or the replacement does not start.
    pub async fn replace_host(&mut self, name: &str) -> Result<String> {
        let ordinal = self.remove_host(name)?.ordinal;
        let new = self.start_host(ordinal, false).await?;
        self.publish_hosts().await?;
        Ok(new)
    }

    /// Starts a replacement of a host whose process keeps running; the host list contains only the
    /// new one. Returns the old host, whose process ends when it is dropped, and the new name.
    ///
    /// # Errors
    ///
    /// There is no such host, or the replacement does not start.
    pub async fn supersede_host(&mut self, name: &str) -> Result<(Host, String)> {
        let old = self.remove_host(name)?;
        let new = self.start_host(old.ordinal, false).await?;
        self.publish_hosts().await?;
        Ok((old, new))
    }

    /// Sets faults of a stand-in. An engine keeps the faults that `faults` omits; others clear
    /// them.
    ///
    /// # Errors
    ///
    /// The stand-in is unknown, does not answer, or does not know a fault.
    pub async fn set_faults(&self, name: &str, faults: Value) -> Result<()> {
        self.http.post(self.standin_addr(name)?, "/control/faults", &faults).await
    }

    /// Restarts an engine without its adapters and streams.
    ///
    /// # Errors
    ///
    /// The engine is unknown or does not answer.
    pub async fn restart_engine(&self, name: &str) -> Result<()> {
        self.http.post(self.standin_addr(name)?, "/control/restart", &json!({})).await
    }

    /// Reads the complete journal of a stand-in.
    ///
    /// # Errors
    ///
    /// The stand-in is unknown or does not answer, or it has dropped entries.
    pub async fn journal(&self, name: &str) -> Result<Vec<JournalEntry>> {
        let j: Journal = self.http.get(self.standin_addr(name)?, "/control/journal").await?;
        if j.dropped > 0 {
            return Err(Error::Http(name.into(), format!("{} entries dropped", j.dropped)));
        }
        Ok(j.entries)
    }

    /// Reads the journals of all engines, by name.
    ///
    /// # Errors
    ///
    /// As [`Fleet::journal`].
    pub async fn engine_journals(&self) -> Result<BTreeMap<String, Vec<JournalEntry>>> {
        let mut out = BTreeMap::new();
        for e in &self.plan.engines {
            out.insert(e.name.to_string(), self.journal(&e.name).await?);
        }
        Ok(out)
    }

    /// Returns the own address of a stand-in.
    ///
    /// # Errors
    ///
    /// There is no stand-in of this name.
    pub fn standin_addr(&self, name: &str) -> Result<SocketAddr> {
        self.standin_addrs.get(name).copied().ok_or_else(|| Error::UnknownName(name.into()))
    }

    /// Returns the proxy.
    ///
    /// # Errors
    ///
    /// The fleet runs without one.
    pub fn proxy(&self) -> Result<&Proxy> {
        self.proxy.as_ref().ok_or_else(|| Error::UnknownName("proxy".into()))
    }

    /// Changes all links between two sets of names, in both directions.
    ///
    /// # Errors
    ///
    /// The fleet runs without a proxy.
    pub fn update_links(&self, a: &[&str], b: &[&str], f: impl Fn(&mut Link)) -> Result<()> {
        let p = self.proxy()?;
        for (x, y) in a.iter().flat_map(|x| b.iter().map(move |y| (x, y))) {
            p.update_link(x, y, &f);
            p.update_link(y, x, &f);
        }
        Ok(())
    }

    /// Silences the open connections between two sets of names in the direction from `a` to `b`.
    ///
    /// # Errors
    ///
    /// The fleet runs without a proxy.
    pub fn silence(&self, a: &[&str], b: &[&str]) -> Result<()> {
        let p = self.proxy()?;
        for (x, y) in a.iter().flat_map(|x| b.iter().map(move |y| (x, y))) {
            p.silence(x, y, Direction::Forward);
            p.silence(y, x, Direction::Back);
        }
        Ok(())
    }

    /// Sets the plan's delays on the links of a new host.
    fn set_delays(&self, name: &str) {
        let Some(p) = &self.proxy else { return };
        let delay = |d: Duration| move |l: &mut Link| l.delay = d;
        let domain = &self.plan.hosts[self.hosts[name].ordinal];
        p.update_link(CALLERS, &format!("{name}.http"), delay(self.plan.caller_delay));
        let far = self.plan.domain_delay;
        for h in self.hosts.values().filter(|h| self.plan.hosts[h.ordinal] != *domain) {
            p.update_link(name, &h.name, delay(far));
            p.update_link(&h.name, name, delay(far));
        }
        let engines = self.plan.engines.iter().map(|e| (&e.name, &e.domain));
        let plain = self.plan.plain.iter().map(|e| (&e.name, &e.domain));
        for (n, _) in engines.chain(plain).filter(|(_, d)| *d != domain) {
            p.update_link(name, n, delay(far));
        }
    }
}

/// Polls `f` until it returns true. `what` names the condition in the error.
///
/// # Errors
///
/// `f` still returns false after `within`.
pub async fn eventually<F: Future<Output = bool>>(
    what: &str,
    within: Duration,
    mut f: impl FnMut() -> F,
) -> Result<()> {
    let end = Instant::now() + within;
    loop {
        if f().await {
            return Ok(());
        }
        if Instant::now() >= end {
            return Err(Error::Timeout { what: what.into(), within });
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

async fn read_standin_addrs(standin: &mut Process) -> Result<BTreeMap<String, SocketAddr>> {
    let end = Instant::now() + START_TIMEOUT;
    loop {
        standin.check_running()?;
        if let Some((line, _)) = standin.output().split_once('\n') {
            return Ok(serde_json::from_str(line)?);
        }
        if Instant::now() >= end {
            return Err(Error::Timeout {
                what: "the start of the stand-ins".into(),
                within: START_TIMEOUT,
            });
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn standin_toml(plan: &FleetPlan) -> String {
    let mut t = String::from("[config]\n[list]\n");
    let s = &plan.store;
    let _ = write!(t, "[store]\nrate = {}\nflight = {}\n", s.rate, s.flight);
    let _ = writeln!(t, "load_ms = {}", s.load_ms);
    for e in &plan.engines {
        let _ = write!(t, "[[engines]]\nname = \"{}\"\nslots = {}\n", e.name, e.slots);
        let _ = write!(t, "batch = {}\nfencing = {}\n", e.batch, e.fencing);
        let _ = write!(t, "first_ms = {}\ntoken_ms = {}\n", e.first_ms, e.token_ms);
    }
    for p in &plan.plain {
        let _ = write!(t, "[[plain]]\nname = \"{}\"\n", p.name);
    }
    t
}

/// Returns two ports that are free at the moment.
fn free_ports() -> Result<[SocketAddr; 2]> {
    let a = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
    let b = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
    Ok([a.local_addr()?, b.local_addr()?])
}

fn write(path: &Path, text: &str) -> Result<()> {
    fs::write(path, text).map_err(|e| Error::File(path.into(), e))
}
