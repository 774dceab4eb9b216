//! TCP proxy that injects network faults and counts traffic.
//!
//! A [`Proxy`] listens on one port for each target. Faults apply to a link: the pair of the process
//! that opened a connection and the target. All processes of a fleet share the loopback address, so
//! the process is found through `/proc`, by the inode of its socket.

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

/// Caller of connections whose process is not registered.
pub const UNKNOWN_CALLER: &str = "?";

/// Direction of data on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Direction {
    /// From the process that opened the connection to the target.
    Forward,
    /// From the target to the process that opened the connection.
    Back,
}

/// Faults of a link; the default has none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Link {
    /// One-way delay, added in each direction.
    pub delay: Duration,
    /// Whether data and new connections wait until this is false again, as when packets are lost
    /// and retransmitted.
    pub blocked: bool,
    /// Whether open connections are closed, and new ones are closed at once.
    pub cut: bool,
}

/// Traffic of a link so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct LinkTraffic {
    /// Number of connections opened to the target.
    pub opened: u64,
    /// Bytes delivered to the target.
    pub sent: u64,
    /// Bytes delivered to the process that opened the connections.
    pub received: u64,
}

/// A running proxy; its connections are closed when it is dropped.
#[derive(Debug)]
pub struct Proxy {
    shared: Arc<Shared>,
    handle: Handle,
    stop: CancellationToken,
    thread: Option<thread::JoinHandle<()>>,
}

/// Reads the traffic of a proxy.
#[derive(Clone, Debug)]
pub struct TrafficMeter(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    owners: Owners,
    finder: OwnerFinder,
    // Incremented at each change of `State::links` or `State::silences`, to wake the connections.
    changes: watch::Sender<u64>,
}

type Pair = (Arc<str>, Arc<str>);

#[derive(Debug, Default)]
struct State {
    links: HashMap<Pair, Link>,
    // How often the connections open at that time were silenced. A connection is silent if this
    // differs from the count at its start.
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
    /// Starts the proxy on a thread of its own, with no targets.
    ///
    /// # Errors
    ///
    /// A thread or its runtime cannot be started.
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

    /// Registers a process: connections that it opens belong to links of `name`.
    pub fn register(&self, pid: u32, name: &str) {
        if let Ok(pid) = i32::try_from(pid) {
            let mut owners = self.shared.owners.lock().unwrap_or_else(PoisonError::into_inner);
            owners.insert(pid, name.into());
        }
    }

    /// Listens on a free port and forwards to `target`, which links call `name`. Returns the
    /// address.
    ///
    /// # Errors
    ///
    /// No port is free.
    pub fn listen(&self, name: &str, target: SocketAddr) -> Result<SocketAddr> {
        self.bind(name, target, None)
    }

    /// As [`Proxy::listen`] for connections that all come from `caller`, which saves the lookup.
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

    /// Replaces the faults of the link from `from` to `to`.
    pub fn set_link(&self, from: &str, to: &str, link: Link) {
        self.shared.lock().links.insert((from.into(), to.into()), link);
        self.shared.notify();
    }

    /// Changes some faults of the link from `from` to `to`.
    pub fn update_link(&self, from: &str, to: &str, f: impl FnOnce(&mut Link)) {
        f(self.shared.lock().links.entry((from.into(), to.into())).or_default());
        self.shared.notify();
    }

    /// Silences one direction of all open connections of a link: they stay open, but data is
    /// discarded for the rest of their lifetime. New connections work.
    pub fn silence(&self, from: &str, to: &str, d: Direction) {
        *self.shared.lock().silences.entry(((from.into(), to.into()), d)).or_default() += 1;
        self.shared.notify();
    }

    /// Returns the traffic so far by caller and target.
    pub fn traffic(&self) -> BTreeMap<(String, String), LinkTraffic> {
        self.meter().traffic()
    }

    /// Returns a reader of the traffic that does not borrow the proxy.
    pub fn meter(&self) -> TrafficMeter {
        TrafficMeter(self.shared.clone())
    }
}

impl TrafficMeter {
    /// Returns the traffic so far by caller and target.
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
