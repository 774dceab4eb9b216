//! Hosts, stand-ins and the proxy of one soak.

use std::{
    collections::HashMap,
    fs,
    net::{Ipv4Addr, SocketAddr},
    path::PathBuf,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use rustix::process::Signal;
use serde_json::Value;
use tempfile::TempDir;
use yuccawing_platform::headers;
use yuccawing_platform_standin::{
    config::{self, Account},
    replica::{Replica, ReplicaSpec as Replicated},
    store::Store,
};

use super::{
    Plan,
    judge::{History, Order, Request, Run},
};
use crate::{
    Error, Result,
    process::{Process, binary},
    proxy::Proxy,
};

/// Longest start of the fleet.
const START: Duration = Duration::from_secs(20);

/// Seconds from SIGTERM to SIGKILL in the hosts' settings, with a margin for a busy machine.
const GRACE: Duration = Duration::from_secs(10);

/// Account with a limit, in tokens per second.
pub const LIMITED: (&str, u64) = ("two", 4000);

/// A host, none while it is down.
pub struct Host {
    /// Its process.
    pub process: Option<Process>,
    /// Its address.
    pub ip: Ipv4Addr,
    name: String,
    starts: usize,
}

/// A fleet under test.
pub struct Fleet {
    /// Hosts.
    pub hosts: Vec<Host>,
    /// The store.
    pub store: Store,
    /// Engines, then plain replicas.
    pub replicas: Vec<Replica>,
    /// The proxy.
    pub proxy: Proxy,
    /// Version of the newest configuration.
    pub version: u64,
    /// Valid key of the first account, which its callers learn at once.
    pub key: Arc<Mutex<String>>,
    /// Processes started.
    pub started: usize,
    /// What the judge is told of the faults.
    pub notes: History,
    addresses: HashMap<String, SocketAddr>,
    outputs: Vec<PathBuf>,
    dir: TempDir,
    store_address: SocketAddr,
}

impl Fleet {
    /// Starts everything and waits until all hosts are ready.
    ///
    /// # Errors
    ///
    /// Something cannot be started.
    pub async fn start(plan: Plan) -> Result<Self> {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let store = Store::start(any).await?;
        let proxy = Proxy::start()?;
        let store_address = proxy.listen("store", store.address)?;
        let (mut replicas, mut addresses) = (Vec::new(), HashMap::new());
        for i in 0..plan.engines + plan.plain {
            let engine = i < plan.engines;
            let p = if engine {
                Replicated::engine(&format!("e{i}"), config::ENGINE_SERVICE)
            } else {
                Replicated::plain(&format!("p{i}"), config::PLAIN_SERVICE)
            };
            let r = Replica::start(p, any, 1).await?;
            let address = proxy.listen(&r.spec.id, r.address)?;
            r.register(&store, address);
            addresses.insert(r.spec.id.clone(), address);
            replicas.push(r);
        }
        // Runs beside this one, and earlier ones, have networks of their own.
        let net = (std::process::id() % 120 + 120) as u8;
        let host = |i: usize| Host {
            process: None,
            ip: Ipv4Addr::new(127, net, plan.seed as u8, i as u8 + 1),
            name: format!("h{i}"),
            starts: 0,
        };
        let mut out = Self {
            hosts: (0..plan.hosts).map(host).collect(),
            store,
            replicas,
            proxy,
            version: 0,
            key: Arc::new(Mutex::new("key-0".to_owned())),
            started: 0,
            notes: History::default(),
            addresses,
            outputs: Vec::new(),
            dir: TempDir::new()?,
            store_address,
        };
        out.notes.limits.insert(LIMITED.0.to_owned(), LIMITED.1 as f64);
        out.configure();
        for i in 0..plan.hosts {
            out.launch(i)?;
        }
        out.wait_ready().await?;
        Ok(out)
    }

    /// Valid key of the first account.
    pub fn key(&self) -> String {
        self.key.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Writes a new version of the configuration.
    pub fn configure(&mut self) {
        self.version += 1;
        let accounts = [
            Account { name: "one".into(), keys: vec![self.key()], rate: 0 },
            Account { name: LIMITED.0.into(), keys: vec!["key-two".into()], rate: LIMITED.1 },
        ];
        self.store.put("op/config", &config::config(self.version, &accounts));
    }

    /// Writes the entry of a replica.
    pub fn register(&self, r: &Replica) {
        r.register(&self.store, self.addresses[&r.spec.id]);
    }

    /// Starts the process of a host.
    ///
    /// # Errors
    ///
    /// The program is not built or cannot be started.
    pub fn launch(&mut self, i: usize) -> Result<()> {
        let seeds: Vec<_> =
            self.hosts.iter().take(3).map(|h| format!("\"{}:8229\"", h.ip)).collect();
        let h = &mut self.hosts[i];
        let ip = h.ip;
        let text = format!(
            "name = \"{}\"\nip = \"{ip}\"\nzone = \"a\"\nports = [7600, 7615]\nseeds = [{}]\n\
             store = \"{}\"\n[listen]\nfront = \"{ip}:8221\"\nready = \"{ip}:8224\"\n\
             directory = \"{ip}:8220\"\n[bounds]\nrevoke_ms = 2000\nlease_ms = 500\n\
             grace_s = 8.0\nretry_ratio = 0.2\nretry_slack = 58\nquota_slack = 1000\n",
            h.name,
            seeds.join(", "),
            self.store_address,
        );
        let path = self.dir.path().join(format!("{}.toml", h.name));
        fs::write(&path, text).map_err(|e| Error::File(path.clone(), e))?;
        let program = binary("yuccawingd")?;
        h.starts += 1;
        let name = format!("{}-{}", h.name, h.starts);
        let args = ["--platform".as_ref(), "--settings".as_ref(), path.as_path()];
        let process = Process::start(&name, &program, &args, self.dir.path())?;
        self.proxy.register(process.pid(), &h.name);
        self.outputs.push(self.dir.path().join(format!("{name}.out")));
        h.process = Some(process);
        self.started += 1;
        Ok(())
    }

    async fn wait_ready(&self) -> Result<()> {
        let end = Instant::now() + START;
        for h in &self.hosts {
            while super::caller::status(h.ip, 8224, "/ready").await != Some(200) {
                if Instant::now() > end {
                    return Err(Error::Late { what: format!("{} ready", h.name), within: START });
                }
                tokio::time::sleep(Duration::from_millis(30)).await;
            }
        }
        Ok(())
    }

    /// Sends a signal to the process of a host, if it is up.
    pub fn signal(&self, i: usize, signal: Signal) {
        if let Some(p) = &self.hosts[i].process {
            // The process may have ended by itself, which its restart tells.
            let _ = p.signal(signal);
        }
    }

    /// Whether the process of a host that was asked to stop at `asked` has ended. One that hangs is
    /// noted and killed.
    pub fn stopped(&mut self, i: usize, asked: Instant) -> bool {
        let h = &mut self.hosts[i];
        let Some(p) = &mut h.process else { return true };
        let late = asked.elapsed() > GRACE;
        if late {
            self.notes.hung.push(p.name().to_owned());
        }
        if late || p.ended().is_some() {
            h.process = None;
            return true;
        }
        false
    }

    /// What the judge needs.
    pub fn history(&self, requests: Vec<Request>) -> History {
        let mut h = History { requests, ..self.notes.clone() };
        for r in &self.replicas {
            let id = &r.spec.id;
            h.runs.extend(r.requests().into_iter().map(|s| Run {
                replica: id.clone(),
                id: s.request.header(headers::REQUEST_ID).to_owned(),
                at: s.at,
                ran: s.ran,
                account: s.request.header(headers::ACCOUNT).to_owned(),
                key: !s.request.header("authorization").is_empty(),
                units: if s.request.header(headers::TOKEN_COUNT).is_empty() {
                    200.0
                } else {
                    120.0
                },
            }));
            h.orders.extend(r.orders().into_iter().map(|o| Order {
                replica: id.clone(),
                holder: o.body["Holder"].as_str().unwrap_or_default().to_owned(),
                fence: o.body["Fence"].as_u64().unwrap_or_default(),
                at: o.at,
            }));
            if r.over_capacity() {
                h.overfull.push(id.clone());
            }
        }
        h.versions = self.outputs.iter().map(|p| versions(p)).collect();
        h
    }
}

// Versions that a process put in force, by its log.
fn versions(log: &std::path::Path) -> Vec<u64> {
    let text = fs::read_to_string(log).unwrap_or_default();
    let lines = text.lines().filter_map(|l| serde_json::from_str::<Value>(l).ok());
    lines.filter(|l| l["name"] == "ConfigApplied").filter_map(|l| l["version"].as_u64()).collect()
}
