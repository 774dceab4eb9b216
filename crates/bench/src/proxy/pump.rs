//! Accepts the proxy's connections and copies their data, with the faults of the link.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::{mpsc, watch},
    time::{Instant, sleep, sleep_until},
};

use super::{Direction, Pair, Shared, UNKNOWN_CALLER};

/// Limit of delayed chunks in each direction; with chunks of 16 KB it is 1 MB of a connection's
/// data.
const MAX_QUEUED_CHUNKS: usize = 64;

/// Largest chunk that is read at once.
const CHUNK_BYTES: usize = 16 << 10;

/// Wait before the second lookup: a process may connect just before it is registered.
const LOOKUP_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Wait after a failure to accept, so that the loop does not spin without free file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Target of a listener.
#[derive(Clone)]
pub struct Target {
    /// Name of the target in links.
    pub name: Arc<str>,
    /// Address that connections are forwarded to.
    pub addr: SocketAddr,
    /// Caller of all connections; found by a lookup for each if there is none.
    pub caller: Option<Arc<str>>,
}

/// Accepts and serves connections to a target, without end.
pub async fn accept(shared: Arc<Shared>, l: TcpListener, to: Target) {
    loop {
        match l.accept().await {
            Ok((stream, peer)) => {
                tokio::spawn(connect(shared.clone(), stream, peer, to.clone()));
            }
            Err(_) => sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

/// Returns the caller of a connection, or [`UNKNOWN_CALLER`].
async fn find_caller(shared: &Shared, peer: SocketAddr, to: &Target) -> Arc<str> {
    if let Some(c) = &to.caller {
        return c.clone();
    }
    if let Some(c) = shared.finder.find(peer).await {
        return c;
    }
    sleep(LOOKUP_RETRY_DELAY).await;
    shared.finder.find(peer).await.unwrap_or_else(|| UNKNOWN_CALLER.into())
}

async fn connect(shared: Arc<Shared>, client: TcpStream, peer: SocketAddr, to: Target) {
    let pair: Pair = (find_caller(&shared, peer, &to).await, to.name);
    let target = to.addr;
    let mut changes = shared.changes.subscribe();
    loop {
        changes.mark_unchanged();
        let link = shared.link(&pair);
        if link.cut {
            return;
        }
        if !link.blocked {
            // The TCP handshake takes one round trip.
            sleep(link.delay * 2).await;
            break;
        }
        if changes.changed().await.is_err() {
            return;
        }
    }
    let Ok(server) = TcpStream::connect(target).await else { return };
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    shared.lock().traffic.entry(pair.clone()).or_default().opened += 1;
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let forward = pump(&shared, &pair, Direction::Forward, client_read, server_write);
    let back = pump(&shared, &pair, Direction::Back, server_read, client_write);
    tokio::select! {
        () = async { tokio::join!(forward, back); } => {}
        () = wait_cut(&shared, &pair) => {}
    }
}

/// Returns when the link is cut.
async fn wait_cut(shared: &Shared, pair: &Pair) {
    let mut changes = shared.changes.subscribe();
    while !shared.link(pair).cut {
        if changes.changed().await.is_err() {
            return;
        }
    }
}

async fn pump(
    shared: &Shared,
    pair: &Pair,
    d: Direction,
    read: OwnedReadHalf,
    write: OwnedWriteHalf,
) {
    let (tx, rx) = mpsc::channel(MAX_QUEUED_CHUNKS);
    tokio::join!(reader(shared, pair, read, tx), writer(shared, pair, d, write, rx));
}

type Chunk = (Instant, Vec<u8>);

async fn reader(shared: &Shared, pair: &Pair, mut read: OwnedReadHalf, tx: mpsc::Sender<Chunk>) {
    let mut buf = vec![0; CHUNK_BYTES];
    loop {
        match read.read(&mut buf).await {
            Ok(n) if n > 0 => {
                let at = Instant::now() + shared.link(pair).delay;
                if tx.send((at, buf[..n].to_vec())).await.is_err() {
                    return;
                }
            }
            _ => return,
        }
    }
}

async fn writer(
    shared: &Shared,
    pair: &Pair,
    d: Direction,
    mut write: OwnedWriteHalf,
    mut rx: mpsc::Receiver<Chunk>,
) {
    let mut changes = shared.changes.subscribe();
    let silences = shared.silences(pair, d);
    while let Some((at, bytes)) = rx.recv().await {
        sleep_until(at).await;
        wait_unblocked(shared, pair, &mut changes).await;
        if shared.silences(pair, d) != silences {
            // A silent connection stays silent: data is read and discarded, and the end of the
            // stream is not forwarded either.
            while rx.recv().await.is_some() {}
            std::future::pending::<()>().await;
        }
        {
            let mut state = shared.lock();
            let t = state.traffic.entry(pair.clone()).or_default();
            match d {
                Direction::Forward => t.sent += bytes.len() as u64,
                Direction::Back => t.received += bytes.len() as u64,
            }
        }
        if write.write_all(&bytes).await.is_err() {
            return;
        }
    }
    wait_unblocked(shared, pair, &mut changes).await;
    if shared.silences(pair, d) != silences {
        std::future::pending::<()>().await;
    }
    let _ = write.shutdown().await;
}

/// Waits while the link is blocked.
async fn wait_unblocked(shared: &Shared, pair: &Pair, changes: &mut watch::Receiver<u64>) {
    loop {
        changes.mark_unchanged();
        if !shared.link(pair).blocked {
            return;
        }
        if changes.changed().await.is_err() {
            return;
        }
    }
}
