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
const KEEP_IDLE: Duration = Duration::from_secs(15);

/// Cancellations that may wait. Further ones are dropped; the engine then finishes the stream.
const CANCEL_QUEUE: usize = 1024;

/// Cancellations that run at once.
const CANCELS: usize = 16;

/// Longest wait for the answer to a cancellation.
const CANCEL_LIMIT: Duration = Duration::from_secs(2);

/// Limits of waits on upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// For a connection.
    pub connect: Duration,
    /// Silence before the first token, after which the stream is resumed on a new connection.
    /// A request that waits in the engine's queue survives that.
    pub first: Duration,
    /// Silence between tokens; 25 times the 40 ms that tokens take at p95.
    pub between: Duration,
    /// For the head of the answer to a resume.
    pub resume: Duration,
    /// For one attempt of a call to a plain service that may be repeated.
    pub plain: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            connect: Duration::from_secs(1),
            first: Duration::from_secs(3),
            between: Duration::from_secs(1),
            resume: Duration::from_secs(2),
            plain: Duration::from_secs(5),
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
    fresh: Client,
    budget: RefCell<Budget>,
    cancels: mpsc::Sender<Cancel>,
    start: Instant,
    timing: Timing,
    log: Logger,
}

impl Upstreams {
    /// Clients for the current thread. Must be called on an actix runtime.
    pub fn new(timing: Timing, log: Logger) -> Rc<Self> {
        let (cancels, queue) = mpsc::channel(CANCEL_QUEUE);
        let fresh = client(timing, Duration::ZERO);
        actix_rt::spawn(cancel_all(fresh.clone(), queue));
        Rc::new(Self {
            pooled: client(timing, KEEP_IDLE),
            fresh,
            budget: RefCell::new(Budget::new()),
            cancels,
            start: Instant::now(),
            timing,
            log,
        })
    }

    fn count(&self) {
        self.budget.borrow_mut().count_request();
    }

    fn may_retry(&self, retries: u32, idempotent: bool, cause: Cause, deadline: Instant) -> bool {
        let a = Attempt { retries, idempotent, cause, deadline: self.tick(deadline) };
        self.budget.borrow_mut().try_retry(self.tick(Instant::now()), a)
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

fn client(timing: Timing, keep: Duration) -> Client {
    let connector = Connector::new()
        .timeout(timing.connect)
        .limit(MAX_CONNECTIONS)
        .conn_keep_alive(keep)
        .max_http_version(awc::http::Version::HTTP_11);
    Client::builder().connector(connector).disable_redirects().no_default_headers().finish()
}

async fn cancel_all(client: Client, queue: mpsc::Receiver<Cancel>) {
    let queue = futures::stream::unfold(queue, |mut q| async { Some((q.recv().await?, q)) });
    queue
        .for_each_concurrent(CANCELS, |(addr, id)| {
            let call = client
                .delete(format!("http://{addr}/v1/streams/{id}"))
                .timeout(CANCEL_LIMIT)
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
fn cause(e: &SendRequestError) -> Cause {
    match e {
        // Despite its name, `Disconnected` is what a connection that closes after the request was
        // written gives.
        SendRequestError::Connect(ConnectError::Disconnected) => Cause::Unknown,
        SendRequestError::Connect(_) => Cause::Connect,
        _ => Cause::Unknown,
    }
}

/// Time until `at`, zero if it passed.
fn until(at: Instant) -> Duration {
    at.saturating_duration_since(Instant::now())
}
