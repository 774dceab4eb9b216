//! The processes under test in a soak: hosts, and the store, replicas and proxy that they use.

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
    links::Links,
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

/// Limit for all hosts to become ready.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Time from SIGTERM to SIGKILL: `grace_s` of the hosts' settings (8 s) and a margin for a busy
/// machine.
const STOP_TIMEOUT: Duration = Duration::from_secs(10);

/// First internal port of a host, and the number of these ports.
const INTERNAL_PORT: u16 = 7600;
const INTERNAL_PORTS: u16 = 16;

/// Name of the account with a rate limit, and its limit in tokens per second.
pub const LIMITED_ACCOUNT: (&str, u64) = ("two", 4000);

// First internal port of host `i` in a fleet with links.
fn linked_port(i: usize) -> u16 {
    INTERNAL_PORT + INTERNAL_PORTS * i as u16
}

/// A host of the soak, across the restarts of its process.
pub struct SoakHost {
    /// The running process; none while the host is down.
    pub process: Option<Process>,
    /// Its loopback address, which no other host shares.
    pub ip: Ipv4Addr,
    name: String,
    starts: usize,
}

/// The hosts, stand-ins and proxy of one soak; all processes are killed when it is dropped.
pub struct SoakFleet {
    /// Hosts; host `i` is named `h<i>`.
    pub hosts: Vec<SoakHost>,
    /// The stand-in for the platform's store.
    pub store: Store,
    /// Engine replicas `e<i>`, followed by plain replicas `p<i>`.
    pub replicas: Vec<Replica>,
    /// Proxy between the hosts and the store and replicas.
    pub proxy: Proxy,
    /// Links between the hosts, if they are to be slow at times.
    pub links: Option<Links>,
    /// Version of the newest published configuration.
    pub version: u64,
    /// Valid key of account `one`, shared with its callers so that they use a new key at once.
    pub key: Arc<Mutex<String>>,
    /// Key that callers send now and then, which may have been withdrawn.
    pub stale_key: Arc<Mutex<String>>,
    /// Host processes started so far.
    pub process_count: usize,
    /// The part of the history that is known from injected faults; requests are added at the end.
    pub faults: History,
    proxied_addrs: HashMap<String, SocketAddr>,
    output_files: Vec<PathBuf>,
    dir: TempDir,
    store_address: SocketAddr,
}

impl SoakFleet {
    /// Starts stand-ins, proxy and hosts, and waits until all hosts are ready.
    ///
    /// # Errors
    ///
    /// A part cannot be started, or a host is not ready in time.
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
        // The process id selects the network, so that parallel and earlier runs use other
        // addresses.
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
            stale_key: Arc::new(Mutex::new("key-0".to_owned())),
            links: None,
            process_count: 0,
            faults: History::default(),
            proxied_addrs,
            output_files: Vec::new(),
            dir: TempDir::new()?,
            store_address,
        };
        out.faults.limits.insert(LIMITED_ACCOUNT.0.to_owned(), LIMITED_ACCOUNT.1 as f64);
        out.publish_config();
        if plan.starve {
            let ends: Vec<_> =
                out.hosts.iter().enumerate().map(|(i, h)| (h.ip, linked_port(i))).collect();
            out.links = Some(Links::start(&ends).await?);
        }
        for i in 0..plan.hosts {
            out.start_host(i)?;
        }
        out.wait_ready().await?;
        Ok(out)
    }

    /// Returns the valid key of account `one`.
    pub fn key(&self) -> String {
        self.key.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Replaces the key of account `one` by a new one. Returns the old one.
    pub fn withdraw_key(&mut self) -> String {
        let next = format!("key-{}", self.faults.revoked.len() + 1);
        let old =
            std::mem::replace(&mut *self.key.lock().unwrap_or_else(PoisonError::into_inner), next);
        self.publish_config();
        self.faults.revoked.insert(old.clone(), Instant::now());
        old
    }

    /// Publishes the accounts and their keys as the next version of the configuration.
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

    /// Writes the entry of a replica to the store, with its address at the proxy.
    pub fn register_replica(&self, r: &Replica) {
        r.register(&self.store, self.proxied_addrs[&r.spec.id]);
    }

    /// Starts the process of a host.
    ///
    /// # Errors
    ///
    /// The settings cannot be written, or the daemon is not built or cannot be started.
    pub fn start_host(&mut self, i: usize) -> Result<()> {
        let seeds: Vec<_> =
            self.hosts.iter().take(3).map(|h| format!("\"{}:8229\"", h.ip)).collect();
        let port = if self.links.is_some() { linked_port(i) } else { INTERNAL_PORT };
        let h = &mut self.hosts[i];
        let ip = h.ip;
        let text = format!(
            "name = \"{}\"\nip = \"{ip}\"\nzone = \"a\"\nports = [{port}, {}]\nseeds = [{}]\n\
             store = \"{}\"\n[listen]\nfront = \"{ip}:8221\"\nready = \"{ip}:8224\"\n\
             directory = \"{ip}:8220\"\n[bounds]\nrevoke_ms = 2000\nlease_ms = 500\n\
             grace_s = 8.0\nretry_ratio = 0.2\nretry_slack = 58\nquota_slack = 1000\n",
            h.name,
            port + INTERNAL_PORTS - 1,
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
                        what: format!("{} to become ready", h.name),
                        within: START_TIMEOUT,
                    });
                }
                tokio::time::sleep(Duration::from_millis(30)).await;
            }
        }
        Ok(())
    }

    /// Sends a signal to the process of a host; does nothing while the host is down.
    pub fn signal(&self, i: usize, signal: Signal) {
        if let Some(p) = &self.hosts[i].process {
            // Sending fails if the process has already exited.
            let _ = p.signal(signal);
        }
    }

    /// Checks whether the process of a host that was sent SIGTERM at `stopped_at` has exited. A
    /// process that still runs after `STOP_TIMEOUT` is recorded as hung and killed.
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

    /// Combines the callers' requests, the replicas' records and the hosts' logs into a history.
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
            h.over_capacity.extend(r.over_capacity().map(|o| format!("{id}: {o}")));
        }
        h.versions = self.output_files.iter().map(|p| versions(p)).collect();
        h
    }
}

// Configuration versions that a process applied, in the order of its log.
fn versions(log: &std::path::Path) -> Vec<u64> {
    let text = fs::read_to_string(log).unwrap_or_default();
    let lines = text.lines().filter_map(|l| serde_json::from_str::<Value>(l).ok());
    lines.filter(|l| l["name"] == "ConfigApplied").filter_map(|l| l["version"].as_u64()).collect()
}
