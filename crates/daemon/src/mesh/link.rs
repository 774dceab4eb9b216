//! Client side of the RPC: a connection to one peer that reconnects after failures.

use std::{
    cell::{Cell, RefCell},
    io,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use tarpc::{
    client::{self, RpcError},
    context::{self, Context},
    serde_transport,
    tokio_serde::formats::Bincode,
};
use tokio::{net::TcpStream, sync::Mutex, time::timeout};
use tokio_util::codec::LengthDelimitedCodec;

use super::{MAX_FRAME_BYTES, MeshClient};
use crate::tls::{self, PeerStream, Tls};

/// Timeout of calls that a peer answers without waiting. It exceeds the round trip between regions,
/// and is short enough for several rounds of votes within a lease.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(400);

/// A call that times out closes its connection if nothing has been received on it for this long. A
/// single late answer does not, since reconnecting under load adds to the load.
const MAX_SILENCE: Duration = Duration::from_millis(700);

/// Why a call to a peer failed.
#[derive(Debug, thiserror::Error)]
pub enum LinkError {
    /// The connection could not be opened.
    #[error("cannot connect to {0}: {1}")]
    Connect(SocketAddr, io::Error),
    /// There was no answer within the timeout.
    #[error("no answer from {0} within {1:?}")]
    Timeout(SocketAddr, Duration),
    /// The connection failed during the call.
    #[error("call to {0} failed: {1}")]
    Rpc(SocketAddr, RpcError),
}

/// A connection to a peer that is opened on first use and reopened after a failure.
#[derive(Clone)]
pub struct Link {
    addr: SocketAddr,
    tls: Option<Tls>,
    open: Rc<RefCell<Option<Connection>>>,
    opened_count: Rc<Cell<u64>>,
    // Lets only one call open a connection while others wait for it.
    opening: Rc<Mutex<()>>,
}

#[derive(Clone)]
struct Connection {
    id: u64,
    client: MeshClient,
    last_received: Rc<Cell<Instant>>,
}

impl Link {
    /// Creates a link to `addr` that is not connected yet. `tls` is `None` for plain text.
    pub fn new(addr: SocketAddr, tls: Option<Tls>) -> Self {
        let opening = Rc::new(Mutex::new(()));
        Self { addr, tls, open: Rc::default(), opened_count: Rc::default(), opening }
    }

    /// Returns the address of the peer.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Runs one call with the timeout `limit`.
    ///
    /// # Errors
    ///
    /// See [`LinkError`]. A connection that failed, or timed out without recent answers, is closed.
    pub async fn call<T, F>(
        &self,
        limit: Duration,
        f: impl FnOnce(MeshClient, Context) -> F,
    ) -> Result<T, LinkError>
    where
        F: Future<Output = Result<T, RpcError>>,
    {
        let open = timeout(limit.min(CALL_TIMEOUT), self.open())
            .await
            .map_err(|_| LinkError::Timeout(self.addr, limit))??;
        let mut ctx = context::current();
        ctx.deadline = Instant::now() + limit;
        match timeout(limit, f(open.client.clone(), ctx)).await {
            Ok(Ok(x)) => {
                open.last_received.set(Instant::now());
                Ok(x)
            }
            Ok(Err(RpcError::DeadlineExceeded)) | Err(_) => {
                if open.last_received.get().elapsed() >= MAX_SILENCE {
                    self.close(open.id);
                }
                Err(LinkError::Timeout(self.addr, limit))
            }
            Ok(Err(e)) => {
                self.close(open.id);
                Err(LinkError::Rpc(self.addr, e))
            }
        }
    }

    async fn open(&self) -> Result<Connection, LinkError> {
        let _opening = self.opening.lock().await;
        if let Some(o) = &*self.open.borrow() {
            return Ok(o.clone());
        }
        let stream = self.connect().await.map_err(|e| LinkError::Connect(self.addr, e))?;
        let framed =
            LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_framed(stream);
        let transport = serde_transport::new(framed, Bincode::default());
        let client = MeshClient::new(client::Config::default(), transport).spawn();
        self.opened_count.set(self.opened_count.get() + 1);
        let last_received = Rc::new(Cell::new(Instant::now()));
        let open = Connection { id: self.opened_count.get(), client, last_received };
        *self.open.borrow_mut() = Some(open.clone());
        Ok(open)
    }

    async fn connect(&self) -> io::Result<PeerStream> {
        let stream = TcpStream::connect(self.addr).await?;
        stream.set_nodelay(true)?;
        tls::connect(self.tls.as_ref(), self.addr, stream).await
    }

    // Calls run concurrently, so a late failure must not close a newer connection.
    fn close(&self, id: u64) {
        let mut open = self.open.borrow_mut();
        if open.as_ref().is_some_and(|o| o.id == id) {
            *open = None;
        }
    }
}
