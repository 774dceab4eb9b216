//! Finds the process that opened a loopback connection.
//!
//! A scan of `/proc` takes milliseconds on a machine with thousands of sockets. A thread of its own
//! therefore answers all waiting lookups with one scan and does not block the proxy's connections.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    fs,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError, mpsc},
    thread,
};

use tokio::sync::oneshot;

/// Names of the registered processes by process id.
pub type Owners = Arc<Mutex<BTreeMap<i32, Arc<str>>>>;

/// Limit of lookups answered by one scan, beyond the first.
const MAX_BATCH: usize = 1024;

struct Lookup {
    peer: SocketAddr,
    answer: oneshot::Sender<Option<Arc<str>>>,
}

/// Handle on the thread that looks up owners of connections.
#[derive(Clone, Debug)]
pub struct OwnerFinder {
    sender: mpsc::Sender<Lookup>,
}

impl OwnerFinder {
    /// Starts the thread; it ends when the last copy of the handle is dropped.
    ///
    /// # Errors
    ///
    /// The thread cannot be started.
    pub fn start(owners: Owners) -> std::io::Result<Self> {
        let (sender, lookups) = mpsc::channel::<Lookup>();
        thread::Builder::new().name("proxy-owner".into()).spawn(move || {
            while let Ok(first) = lookups.recv() {
                let mut batch = vec![first];
                batch.extend(lookups.try_iter().take(MAX_BATCH));
                let owners = owners.lock().unwrap_or_else(PoisonError::into_inner).clone();
                let found = find_owners(&owners, batch.iter().map(|q| q.peer));
                for q in batch {
                    let _ = q.answer.send(found.get(&q.peer).cloned());
                }
            }
        })?;
        Ok(Self { sender })
    }

    /// Returns the name of the registered process that opened the connection from `peer`.
    pub async fn find(&self, peer: SocketAddr) -> Option<Arc<str>> {
        let (answer, wait) = oneshot::channel();
        self.sender.send(Lookup { peer, answer }).ok()?;
        wait.await.ok().flatten()
    }
}

/// Returns the names of the registered processes that hold the sockets bound to `peers`.
fn find_owners(
    owners: &BTreeMap<i32, Arc<str>>,
    peers: impl Iterator<Item = SocketAddr>,
) -> HashMap<SocketAddr, Arc<str>> {
    let mut inodes = find_inodes(peers);
    let mut out = HashMap::new();
    // This process comes last: it has by far the most sockets, those of the proxy.
    let own_pid = i32::try_from(std::process::id()).unwrap_or(0);
    let order = owners.iter().filter(|o| *o.0 != own_pid).chain(owners.get_key_value(&own_pid));
    for (pid, name) in order {
        if inodes.is_empty() {
            break;
        }
        let Ok(dir) = fs::read_dir(format!("/proc/{pid}/fd")) else { continue };
        for link in dir.flatten().filter_map(|e| fs::read_link(e.path()).ok()) {
            let Some(text) = link.to_str().and_then(|l| l.strip_prefix("socket:[")) else {
                continue;
            };
            if let Some(peer) = inodes.remove(text.trim_end_matches(']')) {
                out.insert(peer, name.clone());
            }
        }
    }
    out
}

/// Returns the inodes of the sockets bound to `peers`.
fn find_inodes(peers: impl Iterator<Item = SocketAddr>) -> HashMap<String, SocketAddr> {
    let unique: HashSet<SocketAddr> = peers.collect();
    let by_text: HashMap<String, SocketAddr> =
        unique.into_iter().filter_map(|p| Some((kernel_address(p)?, p))).collect();
    let table = fs::read_to_string("/proc/self/net/tcp").unwrap_or_default();
    let parse_line = |line: &str| {
        let mut fields = line.split_ascii_whitespace();
        let peer = by_text.get(fields.nth(1)?)?;
        // Fields after the local address: remote, state, queues, timer, retransmits, uid, timeout.
        let inode = fields.nth(7).filter(|i| *i != "0")?;
        Some((inode.to_owned(), *peer))
    };
    table.lines().skip(1).filter_map(parse_line).collect()
}

/// Formats an address as in `/proc/net/tcp`; none for IPv6.
fn kernel_address(a: SocketAddr) -> Option<String> {
    let SocketAddr::V4(v4) = a else { return None };
    let ip = u32::from_ne_bytes(v4.ip().octets());
    Some(format!("{ip:08X}:{:04X}", v4.port()))
}
