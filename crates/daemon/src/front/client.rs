//! HTTP/1.1 client with a connection pool, for calls to the store and the replicas.
//!
//! It uses hyper because `awc` reports a chunked body that ends early as complete and does not
//! report whether a request was written.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{
    Request, Response,
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, sync::Notify, task::JoinHandle, time::timeout};
use yuccawing_core::time::Tick;

use super::clock;

/// Time limit of a TCP connect. Callers allow one second for their own connect to this host.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Idle time after which a pooled connection is not used again. Replicas may drop idle connections
/// early, and a request on a dropped one is lost.
const IDLE_TIMEOUT: Duration = Duration::from_millis(1500);

/// Largest number of idle connections per address.
const MAX_IDLE: usize = 8;

/// Largest size of the head of a response, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Largest number of informational (1xx) responses before the final one.
const MAX_INFORMATIONAL: usize = 16;

/// Bytes of incomplete bodies that a client buffers over all of its calls. It bounds the memory
/// that upstreams can fill by sending without end.
const MAX_BUFFERED_BYTES: usize = 32 * 1024 * 1024;

/// Why a call failed. The texts are log values and metric labels.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The request cannot be expressed in HTTP; nothing was sent.
    #[error("invalid request: {0}")]
    Invalid(hyper::http::Error),
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
    /// All calls together buffer as much as the client may.
    #[error("incomplete bodies take more than {MAX_BUFFERED_BYTES} bytes")]
    BuffersFull,
    /// There was no final response after many informational ones.
    #[error("more than {MAX_INFORMATIONAL} informational responses")]
    Informational,
}

impl CallError {
    /// Whether it is certain that nothing was sent.
    pub fn unsent(&self) -> bool {
        matches!(self, Self::Invalid(_) | Self::Connect(_) | Self::ConnectTimeout | Self::Unsent)
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
    // Bytes of bodies that are being read.
    buffered: Rc<Cell<usize>>,
}

/// Response whose body is still to be read. Dropping it closes the connection.
#[derive(Debug)]
pub struct Reply {
    /// Status, headers and unread body.
    pub response: Response<Incoming>,
    connection: Connection,
    address: SocketAddr,
    buffers: Buffers,
}

/// Share of one response in the client's buffered bytes, returned when it is dropped.
#[derive(Debug)]
struct Buffers {
    total: Rc<Cell<usize>>,
    own: usize,
}

impl Buffers {
    fn add(&mut self, bytes: usize) -> Result<(), CallError> {
        if self.total.get() + bytes > MAX_BUFFERED_BYTES {
            return Err(CallError::BuffersFull);
        }
        self.total.set(self.total.get() + bytes);
        self.own += bytes;
        Ok(())
    }
}

impl Drop for Buffers {
    fn drop(&mut self) {
        self.total.set(self.total.get() - self.own);
    }
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
    /// Sends a request and waits for the head of the response. If a pooled connection turns out to
    /// be closed before the request was written, another connection is used.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails, or if there is no valid response within `limit`.
    pub async fn send(
        &self,
        address: SocketAddr,
        mut request: Request<Full<Bytes>>,
        reuse: Reuse,
        limit: Duration,
    ) -> Result<Reply, CallError> {
        let flood = Flood::watch(&mut request);
        while reuse == Reuse::Allowed
            && let Some(c) = self.acquire(address)
        {
            match self.send_on(c, address, request, &flood, limit).await {
                Err((CallError::Unsent, Some(unsent))) => request = unsent,
                out => return out.map_err(|(e, _)| e),
            }
        }
        let c = timeout(CONNECT_TIMEOUT.min(limit), connect(address))
            .await
            .unwrap_or(Err(CallError::ConnectTimeout))?;
        self.send_on(c, address, request, &flood, limit).await.map_err(|(e, _)| e)
    }

    // On an error, also returns the request if nothing of it was written.
    async fn send_on(
        &self,
        mut c: Connection,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        flood: &Flood,
        limit: Duration,
    ) -> Result<Reply, (CallError, Option<Request<Full<Bytes>>>)> {
        let call = async {
            tokio::select! {
                out = c.sender.try_send_request(request) => Ok(out),
                () = flood.exceeded() => Err(CallError::Informational),
            }
        };
        let out = timeout(limit, call).await.unwrap_or(Err(CallError::Timeout));
        match out.map_err(|e| (e, None))? {
            Ok(response) => {
                let buffers = Buffers { total: self.buffered.clone(), own: 0 };
                Ok(Reply { response, connection: c, address, buffers })
            }
            Err(mut e) => Err(match e.take_message() {
                Some(unsent) => (CallError::Unsent, Some(unsent)),
                None => (CallError::Broken(e.into_error()), None),
            }),
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
    ) -> Result<Response<Bytes>, CallError> {
        let call = async {
            let mut reply = self.send(address, request, Reuse::Allowed, limit).await?;
            let body = reply.body(max_bytes).await?;
            let mut out = Response::new(body);
            *out.status_mut() = reply.response.status();
            out.headers_mut().clone_from(reply.response.headers());
            self.release(reply);
            Ok(out)
        };
        timeout(limit, call).await.unwrap_or(Err(CallError::Timeout))
    }

    /// Returns the connection of a response that was read to its end to the pool.
    pub fn release(&self, reply: Reply) {
        let Reply { response, mut connection, address, .. } = reply;
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

/// Counts the informational responses to one request. hyper skips them without a limit.
#[derive(Clone, Debug, Default)]
struct Flood {
    count: Arc<AtomicUsize>,
    limit_reached: Arc<Notify>,
}

impl Flood {
    fn watch(request: &mut Request<Full<Bytes>>) -> Self {
        let out = Self::default();
        let flood = out.clone();
        hyper::ext::on_informational(request, move |_| {
            if flood.count.fetch_add(1, Ordering::Relaxed) == MAX_INFORMATIONAL {
                flood.limit_reached.notify_one();
            }
        });
        out
    }

    async fn exceeded(&self) {
        self.limit_reached.notified().await;
    }
}

async fn connect(address: SocketAddr) -> Result<Connection, CallError> {
    let stream = TcpStream::connect(address).await.map_err(CallError::Connect)?;
    stream.set_nodelay(true).map_err(CallError::Connect)?;
    let mut builder = http1::Builder::new();
    builder.max_buf_size(MAX_HEAD_BYTES);
    let handshake = builder.handshake(TokioIo::new(stream)).await;
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
            self.buffers.add(data.len())?;
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
