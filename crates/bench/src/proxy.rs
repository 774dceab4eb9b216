//! Fault-injecting TCP proxy.
//!
//! A [`Proxy`] listens once per target. All processes of a fleet share the loopback address, so the
//! caller of a connection is found through `/proc`: the socket's inode and the process that holds
//! it. Faults apply to a link, the pair of the name that opened a connection and the target.

mod owner;
mod pump;
#[cfg(test)]
mod tests;

use std::{
    collections::{BTreeMap, HashMap},
    net::{IpAddr, Ipv4Addr, SocketAddr},
    sync::{Arc, Mutex, MutexGuard, PoisonError, mpsc},
    thread,
    time::Duration,
};

use serde::Serialize;
use tokio::{
    net::TcpListener,
    runtime::{Builder, Handle},
    sync::watch,
};
use tokio_util::sync::CancellationToken;

use self::owner::{OwnerFinder, Owners};
use crate::{Error, Result};

/// Name of the caller of a connection whose process is not registered.
pub const UNKNOWN_CALLER: &str = "?";

/// Direction on a connection, seen from the side that opened it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Direction {
    /// From the side that opened the connection to the target.
    Forward,
    /// From the target back.
    Back,
}

/// State of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Link {
    /// Delay of each direction.
    pub delay: Duration,
    /// Bytes are held back until this ends, like packets that are lost and sent again.
    pub blocked: bool,
    /// Open connections are closed and new ones are refused.
    pub cut: bool,
}

/// Bytes that a caller sent to a target and got back.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct LinkTraffic {
    /// Connections opened.
    pub opened: u64,
    /// Bytes forward.
    pub sent: u64,
    /// Bytes back.
    pub received: u64,
}

/// The proxy; all its connections end when it is dropped.
#[derive(Debug)]
pub struct Proxy {
    shared: Arc<Shared>,
    handle: Handle,
    stop: CancellationToken,
    thread: Option<thread::JoinHandle<()>>,
}

/// A view of the proxy's traffic.
#[derive(Clone, Debug)]
pub struct TrafficMeter(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    owners: Owners,
    finder: OwnerFinder,
    // Rises with each change of a link or silence.
    changes: watch::Sender<u64>,
}

type Pair = (Arc<str>, Arc<str>);

#[derive(Debug, Default)]
struct State {
    links: HashMap<Pair, Link>,
    // How often a link's open connections were silenced, by direction.
    silences: HashMap<(Pair, Direction), u64>,
    traffic: HashMap<Pair, LinkTraffic>,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn link(&self, pair: &Pair) -> Link {
        self.lock().links.get(pair).copied().unwrap_or_default()
    }

    fn silences(&self, pair: &Pair, d: Direction) -> u64 {
        self.lock().silences.get(&(pair.clone(), d)).copied().unwrap_or_default()
    }

    fn notify(&self) {
        self.changes.send_modify(|n| *n += 1);
    }
}

impl Proxy {
    /// Starts the proxy on a thread of its own.
    ///
    /// # Errors
    ///
    /// The thread's runtime cannot be built.
    pub fn start() -> Result<Self> {
        let owners = Owners::default();
        let shared = Arc::new(Shared {
            state: Mutex::default(),
            finder: OwnerFinder::start(owners.clone())?,
            owners,
            changes: watch::channel(0).0,
        });
        let stop = CancellationToken::new();
        let (tx, rx) = mpsc::channel();
        let end = stop.clone();
        let thread = thread::Builder::new().name("proxy".into()).spawn(move || {
            let rt = Builder::new_current_thread().enable_all().build();
            let _ = tx.send(rt.as_ref().map(|r| r.handle().clone()).map_err(ToString::to_string));
            if let Ok(rt) = rt {
                rt.block_on(end.cancelled());
                rt.shutdown_background();
            }
        })?;
        let handle = rx
            .recv()
            .map_err(|e| Error::Http("proxy".into(), e.to_string()))?
            .map_err(|e| Error::Http("proxy".into(), e))?;
        Ok(Self { shared, handle, stop, thread: Some(thread) })
    }

    /// Tells which name the connections of a process belong to.
    pub fn register(&self, pid: u32, name: &str) {
        if let Ok(pid) = i32::try_from(pid) {
            let mut owners = self.shared.owners.lock().unwrap_or_else(PoisonError::into_inner);
            owners.insert(pid, name.into());
        }
    }

    /// Listens for connections to `target`, which is known as `name`.
    ///
    /// # Errors
    ///
    /// No port is free.
    pub fn listen(&self, name: &str, target: SocketAddr) -> Result<SocketAddr> {
        self.bind(name, target, None)
    }

    /// Listens for connections to `target` that all come from `caller`, so that it need not be
    /// looked up.
    ///
    /// # Errors
    ///
    /// No port is free.
    pub fn listen_from(&self, caller: &str, name: &str, target: SocketAddr) -> Result<SocketAddr> {
        self.bind(name, target, Some(caller.into()))
    }

    fn bind(&self, name: &str, target: SocketAddr, caller: Option<Arc<str>>) -> Result<SocketAddr> {
        let listener = std::net::TcpListener::bind((IpAddr::V4(Ipv4Addr::LOCALHOST), 0))?;
        listener.set_nonblocking(true)?;
        let addr = listener.local_addr()?;
        let _guard = self.handle.enter();
        let listener = TcpListener::from_std(listener)?;
        let to = pump::Target { name: name.into(), addr: target, caller };
        self.handle.spawn(pump::accept(self.shared.clone(), listener, to));
        Ok(addr)
    }

    /// Sets the state of the link from `from` to `to`.
    pub fn set_link(&self, from: &str, to: &str, link: Link) {
        self.shared.lock().links.insert((from.into(), to.into()), link);
        self.shared.notify();
    }

    /// Changes the state of the link from `from` to `to`.
    pub fn update_link(&self, from: &str, to: &str, f: impl FnOnce(&mut Link)) {
        f(self.shared.lock().links.entry((from.into(), to.into())).or_default());
        self.shared.notify();
    }

    /// Silences one direction of the connections that are open now, for good; new ones work.
    pub fn silence(&self, from: &str, to: &str, d: Direction) {
        *self.shared.lock().silences.entry(((from.into(), to.into()), d)).or_default() += 1;
        self.shared.notify();
    }

    /// Traffic so far by caller and target.
    pub fn traffic(&self) -> BTreeMap<(String, String), LinkTraffic> {
        self.meter().traffic()
    }

    /// A view of the traffic that does not borrow the proxy.
    pub fn meter(&self) -> TrafficMeter {
        TrafficMeter(self.shared.clone())
    }
}

impl TrafficMeter {
    /// Traffic so far by caller and target.
    pub fn traffic(&self) -> BTreeMap<(String, String), LinkTraffic> {
        let state = self.0.lock();
        state.traffic.iter().map(|((f, t), n)| ((f.to_string(), t.to_string()), *n)).collect()
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.stop.cancel();
        if let Some(t) = self.thread.take() {
            let _ = t.join();
        }
    }
}
