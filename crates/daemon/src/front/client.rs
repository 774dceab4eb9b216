//! HTTP/1.1 client with a connection pool, for calls to the store and the replicas.
//!
//! It uses hyper because `awc` reports a chunked body that ends early as complete and does not
//! report whether a request was written.

use std::{cell::RefCell, collections::HashMap, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{
    Request, Response,
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, task::JoinHandle, time::timeout};
use yuccawing_core::time::Tick;

use super::clock;

/// Time limit of a TCP connect. Callers allow one second for their own connect to this host.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Idle time after which a pooled connection is not used again. Replicas may drop idle connections
/// early, and a request on a dropped one is lost.
const IDLE_TIMEOUT: Duration = Duration::from_millis(1500);

/// Largest number of idle connections per address.
const MAX_IDLE: usize = 8;

/// Why a call failed. The texts are log values and metric labels.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The connection failed; nothing was sent.
    #[error("no connection: {0}")]
    Connect(std::io::Error),
    /// The connect timed out; nothing was sent.
    #[error("no connection in time")]
    ConnectTimeout,
    /// The connection was closed before the request was written.
    #[error("the connection was closed before the request was written")]
    Unsent,
    /// The response did not arrive in time.
    #[error("no answer in time")]
    Timeout,
    /// The connection broke, or the response is not valid HTTP.
    #[error("broken answer: {0}")]
    Broken(hyper::Error),
    /// The body is longer than the limit.
    #[error("the body is longer than {0} bytes")]
    TooLong(usize),
}

impl CallError {
    /// Whether it is certain that nothing was sent.
    pub fn unsent(&self) -> bool {
        matches!(self, Self::Connect(_) | Self::ConnectTimeout | Self::Unsent)
    }
}

#[derive(Debug)]
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    task: JoinHandle<()>,
    idle_since: Tick,
}

impl Drop for Connection {
    fn drop(&mut self) {
        // Closes the socket at once, which cancels a request at a replica.
        self.task.abort();
    }
}

/// Connection pool of one thread.
#[derive(Debug, Default)]
pub struct Client {
    idle: RefCell<HashMap<SocketAddr, Vec<Connection>>>,
}

/// Response whose body is still to be read. Dropping it closes the connection.
#[derive(Debug)]
pub struct Reply {
    /// Status, headers and unread body.
    pub response: Response<Incoming>,
    connection: Connection,
    address: SocketAddr,
}

/// Whether a call may use a pooled connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reuse {
    /// A pooled connection may be used.
    Allowed,
    /// Always opens a new connection, for requests that must not be lost on a connection that was
    /// dropped silently.
    Never,
}

impl Client {
    /// Sends a request and waits for the head of the response.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails, or if there is no valid response within `limit`.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        reuse: Reuse,
        limit: Duration,
    ) -> Result<Reply, CallError> {
        let pooled = if reuse == Reuse::Allowed { self.acquire(address) } else { None };
        let mut c = match pooled {
            Some(c) => c,
            None => timeout(CONNECT_TIMEOUT.min(limit), connect(address))
                .await
                .unwrap_or(Err(CallError::ConnectTimeout))?,
        };
        match timeout(limit, c.sender.try_send_request(request)).await {
            Ok(Ok(response)) => Ok(Reply { response, connection: c, address }),
            Ok(Err(mut e)) => match e.take_message() {
                Some(_) => Err(CallError::Unsent),
                None => Err(CallError::Broken(e.into_error())),
            },
            Err(_) => Err(CallError::Timeout),
        }
    }

    /// Sends a request and reads the whole response, of at most `max_bytes` bytes of body. Keeps
    /// the connection if the response allows it.
    ///
    /// # Errors
    ///
    /// As [`Self::send`], and if the body is too long.
    pub async fn call(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        limit: Duration,
        max_bytes: usize,
    ) -> Result<(u16, Bytes), CallError> {
        let call = async {
            let mut reply = self.send(address, request, Reuse::Allowed, limit).await?;
            let body = reply.body(max_bytes).await?;
            let status = reply.response.status().as_u16();
            self.release(reply);
            Ok((status, body))
        };
        timeout(limit, call).await.unwrap_or(Err(CallError::Timeout))
    }

    /// Returns the connection of a response that was read to its end to the pool.
    pub fn release(&self, reply: Reply) {
        let Reply { response, mut connection, address } = reply;
        let close = response
            .headers()
            .get("connection")
            .is_some_and(|v| v.to_str().is_ok_and(|v| v.to_ascii_lowercase().contains("close")));
        if close || !connection.sender.is_ready() {
            return;
        }
        connection.idle_since = clock::now();
        let mut idle = self.idle.borrow_mut();
        let pooled = idle.entry(address).or_default();
        if pooled.len() < MAX_IDLE {
            pooled.push(connection);
        }
    }

    fn acquire(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let pooled = idle.get_mut(&address)?;
        let now = clock::now();
        while let Some(c) = pooled.pop() {
            if now.since(c.idle_since) <= IDLE_TIMEOUT && c.sender.is_ready() {
                return Some(c);
            }
        }
        None
    }

    /// Drops pooled connections that have been idle for too long.
    pub fn sweep(&self) {
        let now = clock::now();
        self.idle.borrow_mut().retain(|_, pooled| {
            pooled.retain(|c| now.since(c.idle_since) <= IDLE_TIMEOUT && !c.sender.is_closed());
            !pooled.is_empty()
        });
    }
}

async fn connect(address: SocketAddr) -> Result<Connection, CallError> {
    let stream = TcpStream::connect(address).await.map_err(CallError::Connect)?;
    stream.set_nodelay(true).map_err(CallError::Connect)?;
    let handshake = http1::Builder::new().handshake(TokioIo::new(stream)).await;
    let (sender, connection) = handshake.map_err(CallError::Broken)?;
    let task = actix_rt::spawn(async move {
        // An error also reaches the caller that waits for the response, which reports it.
        let _ = connection.await;
    });
    Ok(Connection { sender, task, idle_since: clock::now() })
}

impl Reply {
    /// Reads the whole body.
    ///
    /// # Errors
    ///
    /// Returns an error if the body ends early or is longer than `max_bytes`.
    pub async fn body(&mut self, max_bytes: usize) -> Result<Bytes, CallError> {
        let mut out = bytes::BytesMut::new();
        while let Some(data) = self.chunk().await? {
            if out.len() + data.len() > max_bytes {
                return Err(CallError::TooLong(max_bytes));
            }
            out.extend_from_slice(&data);
        }
        Ok(out.freeze())
    }

    /// Reads the next chunk of the body; `None` at its end.
    ///
    /// # Errors
    ///
    /// Returns an error if the body ends early.
    pub async fn chunk(&mut self) -> Result<Option<Bytes>, CallError> {
        loop {
            match self.response.body_mut().frame().await {
                None => return Ok(None),
                Some(Err(e)) => return Err(CallError::Broken(e)),
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        return Ok(Some(data));
                    }
                }
            }
        }
    }
}
