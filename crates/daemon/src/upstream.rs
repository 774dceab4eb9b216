//! Clients of engines and plain services. Each traffic thread has its own.

pub mod chunk;
pub mod engine;
pub mod plain;
pub mod sse;

use std::{
    cell::RefCell,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use actix_web::dev::{Decompress, Payload};
use arcstr::ArcStr;
use awc::{
    Client, ClientResponse, Connector,
    error::{ConnectError, SendRequestError},
};
use futures::StreamExt;
use slog::{Logger, kv};
use tokio::sync::mpsc;
use yuccawing_core::{
    retry::{Attempt, Budget, Cause},
    time::{Tick, micros},
};

use crate::events::{Event, emit};

/// Connections per traffic thread. Each carries one request; the control thread admits fewer.
const MAX_CONNECTIONS: usize = 10_000;

/// How long an idle connection is kept. Idle connections may have gone silent unnoticed, so they
/// are not kept for long.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Cancellations that may wait. Further ones are dropped; the engine then finishes the stream.
const CANCEL_QUEUE_LEN: usize = 1024;

/// Cancellations that run at once.
const MAX_CONCURRENT_CANCELS: usize = 16;

/// Longest wait for the answer to a cancellation.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);

/// Limits of waits on upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timeouts {
    /// For a connection.
    pub connect: Duration,
    /// Silence before the first token, after which the stream is resumed on a new connection.
    /// A request that waits in the engine's queue survives that.
    pub first_token: Duration,
    /// Silence between tokens; 25 times the 40 ms that tokens take at p95.
    pub next_token: Duration,
    /// For the head of the answer to a resume.
    pub resume: Duration,
    /// For one attempt of a call to a plain service that may be repeated.
    pub plain_attempt: Duration,
}

impl Default for Timeouts {
    fn default() -> Self {
        Self {
            connect: Duration::from_secs(1),
            first_token: Duration::from_secs(3),
            next_token: Duration::from_secs(1),
            resume: Duration::from_secs(2),
            plain_attempt: Duration::from_secs(5),
        }
    }
}

/// Answer of an upstream.
type Response = ClientResponse<Decompress<Payload>>;

/// A stream to cancel.
type Cancel = (SocketAddr, ArcStr);

/// Clients of one traffic thread.
pub struct Upstreams {
    pooled: Client,
    // Uses each connection once.
    unpooled: Client,
    budget: RefCell<Budget>,
    cancels: mpsc::Sender<Cancel>,
    start: Instant,
    timeouts: Timeouts,
    log: Logger,
}

impl Upstreams {
    /// Clients for the current thread. Must be called on an actix runtime.
    pub fn new(timeouts: Timeouts, log: Logger) -> Rc<Self> {
        let (cancels, queue) = mpsc::channel(CANCEL_QUEUE_LEN);
        let unpooled = client(timeouts, Duration::ZERO);
        actix_rt::spawn(cancel_all(unpooled.clone(), queue));
        Rc::new(Self {
            pooled: client(timeouts, IDLE_TIMEOUT),
            unpooled,
            budget: RefCell::new(Budget::new()),
            cancels,
            start: Instant::now(),
            timeouts,
            log,
        })
    }

    fn count_request(&self) {
        self.budget.borrow_mut().request();
    }

    fn may_retry(&self, retries: u32, idempotent: bool, cause: Cause, deadline: Instant) -> bool {
        let a = Attempt { retries, idempotent, cause, deadline: self.tick(deadline) };
        self.budget.borrow_mut().allow(self.tick(Instant::now()), a)
    }

    fn cancel(&self, addr: SocketAddr, id: ArcStr) {
        // A full queue only costs the engine the rest of the stream.
        let _ = self.cancels.try_send((addr, id));
    }

    fn warn(&self, event: Event, id: &str, upstream: &str, detail: &str) {
        let fields = kv!("request" => id, "upstream" => upstream, "detail" => detail);
        emit(&self.log, event, &fields);
    }

    fn tick(&self, at: Instant) -> Tick {
        Tick(micros(at.saturating_duration_since(self.start)))
    }
}

fn client(timeouts: Timeouts, keep: Duration) -> Client {
    let connector = Connector::new()
        .timeout(timeouts.connect)
        .limit(MAX_CONNECTIONS)
        .conn_keep_alive(keep)
        .max_http_version(awc::http::Version::HTTP_11);
    Client::builder().connector(connector).disable_redirects().no_default_headers().finish()
}

async fn cancel_all(client: Client, queue: mpsc::Receiver<Cancel>) {
    let queue = futures::stream::unfold(queue, |mut q| async { Some((q.recv().await?, q)) });
    queue
        .for_each_concurrent(MAX_CONCURRENT_CANCELS, |(addr, id)| {
            let call = client
                .delete(format!("http://{addr}/v1/streams/{id}"))
                .timeout(CANCEL_TIMEOUT)
                .force_close()
                .send();
            async {
                // Best effort: an engine that misses it finishes the stream for nobody.
                let _ = call.await;
            }
        })
        .await;
}

/// Why a request failed before its answer began.
fn failure_cause(e: &SendRequestError) -> Cause {
    match e {
        // Despite its name, `Disconnected` is what a connection that closes after the request was
        // written gives.
        SendRequestError::Connect(ConnectError::Disconnected) => Cause::Unknown,
        SendRequestError::Connect(_) => Cause::Connect,
        _ => Cause::Unknown,
    }
}

/// Time until `at`, zero if it passed.
fn time_left(at: Instant) -> Duration {
    at.saturating_duration_since(Instant::now())
}
