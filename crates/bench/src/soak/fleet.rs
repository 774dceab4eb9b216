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
    replica::{Replica, ReplicaSpec},
    store::Store,
};

use super::{
    SoakPlan,
    history::{History, Order, ReceivedRequest, SentRequest},
};
use crate::{
    Error, Result,
    process::{Process, find_binary},
    proxy::Proxy,
};

/// Longest start of the fleet.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Seconds from SIGTERM to SIGKILL in the hosts' settings, with a margin for a busy machine.
const STOP_TIMEOUT: Duration = Duration::from_secs(10);

/// Account with a limit, in tokens per second.
pub const LIMITED_ACCOUNT: (&str, u64) = ("two", 4000);

/// A host, none while it is down.
pub struct SoakHost {
    /// Its process.
    pub process: Option<Process>,
    /// Its address.
    pub ip: Ipv4Addr,
    name: String,
    starts: usize,
}

/// A fleet under test.
pub struct SoakFleet {
    /// Hosts.
    pub hosts: Vec<SoakHost>,
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
    pub process_count: usize,
    /// What the judge is told of the faults.
    pub faults: History,
    proxied_addrs: HashMap<String, SocketAddr>,
    output_files: Vec<PathBuf>,
    dir: TempDir,
    store_address: SocketAddr,
}

impl SoakFleet {
    /// Starts everything and waits until all hosts are ready.
    ///
    /// # Errors
    ///
    /// Something cannot be started.
    pub async fn start(plan: SoakPlan) -> Result<Self> {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let store = Store::start(any).await?;
        let proxy = Proxy::start()?;
        let store_address = proxy.listen("store", store.address)?;
        let (mut replicas, mut proxied_addrs) = (Vec::new(), HashMap::new());
        for i in 0..plan.engines + plan.plain {
            let engine = i < plan.engines;
            let p = if engine {
                ReplicaSpec::engine(&format!("e{i}"), config::ENGINE_SERVICE)
            } else {
                ReplicaSpec::plain(&format!("p{i}"), config::PLAIN_SERVICE)
            };
            let r = Replica::start(p, any, 1).await?;
            let address = proxy.listen(&r.spec.id, r.address)?;
            r.register(&store, address);
            proxied_addrs.insert(r.spec.id.clone(), address);
            replicas.push(r);
        }
        // Runs beside this one, and earlier ones, have networks of their own.
        let net = (std::process::id() % 120 + 120) as u8;
        let host = |i: usize| SoakHost {
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
            process_count: 0,
            faults: History::default(),
            proxied_addrs,
            output_files: Vec::new(),
            dir: TempDir::new()?,
            store_address,
        };
        out.faults.limits.insert(LIMITED_ACCOUNT.0.to_owned(), LIMITED_ACCOUNT.1 as f64);
        out.publish_config();
        for i in 0..plan.hosts {
            out.start_host(i)?;
        }
        out.wait_ready().await?;
        Ok(out)
    }

    /// Valid key of the first account.
    pub fn key(&self) -> String {
        self.key.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Writes a new version of the configuration.
    pub fn publish_config(&mut self) {
        self.version += 1;
        let accounts = [
            Account { name: "one".into(), keys: vec![self.key()], rate: 0 },
            Account {
                name: LIMITED_ACCOUNT.0.into(),
                keys: vec!["key-two".into()],
                rate: LIMITED_ACCOUNT.1,
            },
        ];
        self.store.put("op/config", &config::config(self.version, &accounts));
    }

    /// Writes the entry of a replica.
    pub fn register_replica(&self, r: &Replica) {
        r.register(&self.store, self.proxied_addrs[&r.spec.id]);
    }

    /// Starts the process of a host.
    ///
    /// # Errors
    ///
    /// The program is not built or cannot be started.
    pub fn start_host(&mut self, i: usize) -> Result<()> {
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
        let program = find_binary("yuccawingd")?;
        h.starts += 1;
        let name = format!("{}-{}", h.name, h.starts);
        let args = ["--platform".as_ref(), "--settings".as_ref(), path.as_path()];
        let process = Process::start(&name, &program, &args, self.dir.path())?;
        self.proxy.register(process.pid(), &h.name);
        self.output_files.push(self.dir.path().join(format!("{name}.out")));
        h.process = Some(process);
        self.process_count += 1;
        Ok(())
    }

    async fn wait_ready(&self) -> Result<()> {
        let end = Instant::now() + START_TIMEOUT;
        for h in &self.hosts {
            while super::caller::status(h.ip, 8224, "/ready").await != Some(200) {
                if Instant::now() > end {
                    return Err(Error::Timeout {
                        what: format!("{} ready", h.name),
                        within: START_TIMEOUT,
                    });
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
    pub fn poll_stop(&mut self, i: usize, stopped_at: Instant) -> bool {
        let h = &mut self.hosts[i];
        let Some(p) = &mut h.process else { return true };
        let timed_out = stopped_at.elapsed() > STOP_TIMEOUT;
        if timed_out {
            self.faults.hung.push(p.name().to_owned());
        }
        if timed_out || p.try_wait().is_some() {
            h.process = None;
            return true;
        }
        false
    }

    /// What the judge needs.
    pub fn history(&self, requests: Vec<SentRequest>) -> History {
        let mut h = History { requests, ..self.faults.clone() };
        for r in &self.replicas {
            let id = &r.spec.id;
            h.received.extend(r.requests().into_iter().map(|s| ReceivedRequest {
                replica: id.clone(),
                id: s.request.header(headers::REQUEST_ID).to_owned(),
                at: s.at,
                ran: s.ran,
                account: s.request.header(headers::ACCOUNT).to_owned(),
                has_key: !s.request.header("authorization").is_empty(),
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
                h.over_capacity.push(id.clone());
            }
        }
        h.versions = self.output_files.iter().map(|p| versions(p)).collect();
        h
    }
}

// Versions that a process put in force, by its log.
fn versions(log: &std::path::Path) -> Vec<u64> {
    let text = fs::read_to_string(log).unwrap_or_default();
    let lines = text.lines().filter_map(|l| serde_json::from_str::<Value>(l).ok());
    lines.filter(|l| l["name"] == "ConfigApplied").filter_map(|l| l["version"].as_u64()).collect()
}
