//! Connection to one peer.

use std::{
    cell::RefCell,
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
use tokio::{net::TcpStream, time::timeout};
use tokio_util::codec::LengthDelimitedCodec;

use super::{FRAME_LIMIT, MeshClient};
use crate::tls::{self, PeerStream, Tls};

/// Deadline of calls that are answered at once. Above the round trip between regions, and so far
/// below the lease that a round can be repeated several times within it.
pub const CALL_LIMIT: Duration = Duration::from_millis(400);

/// Why a call to a peer failed.
#[derive(Debug, thiserror::Error)]
pub enum LinkError {
    /// No connection.
    #[error("cannot connect to {0}: {1}")]
    Connect(SocketAddr, io::Error),
    /// No answer within the deadline.
    #[error("no answer from {0} within {1:?}")]
    Timeout(SocketAddr, Duration),
    /// The connection failed.
    #[error("call to {0} failed: {1}")]
    Rpc(SocketAddr, RpcError),
}

/// A connection to a peer that is opened on first use and replaced after a failure.
#[derive(Clone)]
pub struct Link {
    addr: SocketAddr,
    tls: Option<Tls>,
    client: Rc<RefCell<Option<(u64, MeshClient)>>>,
    opened: Rc<RefCell<u64>>,
}

impl Link {
    /// A link to `addr`, by mutual TLS or plain text.
    pub fn new(addr: SocketAddr, tls: Option<Tls>) -> Self {
        Self { addr, tls, client: Rc::default(), opened: Rc::default() }
    }

    /// The peer's address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Runs one call within `limit`.
    ///
    /// # Errors
    ///
    /// No connection, no answer in time, or a failed connection. The connection is closed then.
    pub async fn call<T, F>(
        &self,
        limit: Duration,
        f: impl FnOnce(MeshClient, Context) -> F,
    ) -> Result<T, LinkError>
    where
        F: Future<Output = Result<T, RpcError>>,
    {
        let (id, client) = self.client(limit.min(CALL_LIMIT)).await?;
        let mut ctx = context::current();
        ctx.deadline = Instant::now() + limit;
        let out = match timeout(limit, f(client, ctx)).await {
            Ok(Ok(x)) => return Ok(x),
            Ok(Err(RpcError::DeadlineExceeded)) | Err(_) => LinkError::Timeout(self.addr, limit),
            Ok(Err(e)) => LinkError::Rpc(self.addr, e),
        };
        self.close(id);
        Err(out)
    }

    async fn client(&self, limit: Duration) -> Result<(u64, MeshClient), LinkError> {
        if let Some(c) = &*self.client.borrow() {
            return Ok(c.clone());
        }
        let stream = timeout(limit, self.connect())
            .await
            .map_err(|_| LinkError::Timeout(self.addr, limit))?
            .map_err(|e| LinkError::Connect(self.addr, e))?;
        let framed =
            LengthDelimitedCodec::builder().max_frame_length(FRAME_LIMIT).new_framed(stream);
        let transport = serde_transport::new(framed, Bincode::default());
        let client = MeshClient::new(client::Config::default(), transport).spawn();
        *self.opened.borrow_mut() += 1;
        let id = *self.opened.borrow();
        *self.client.borrow_mut() = Some((id, client.clone()));
        Ok((id, client))
    }

    async fn connect(&self) -> io::Result<PeerStream> {
        let stream = TcpStream::connect(self.addr).await?;
        stream.set_nodelay(true)?;
        tls::connect(self.tls.as_ref(), self.addr, stream).await
    }

    // Calls run at the same time: a late failure must not close the connection that replaced the
    // one it used.
    fn close(&self, id: u64) {
        let mut c = self.client.borrow_mut();
        if c.as_ref().is_some_and(|(open, _)| *open == id) {
            *c = None;
        }
    }
}
