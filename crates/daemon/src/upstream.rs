//! HTTP clients of engines and plain services. Each HTTP worker thread has its own.

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

/// Limit on the connections of a worker thread, each of which carries one request. It is never
/// reached, since the control thread admits fewer requests.
const MAX_CONNECTIONS: usize = 10_000;

/// How long an idle connection is kept. It is short because an idle connection may be dead without
/// an error.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Limit on queued cancellations. Further ones are dropped, and the engine generates those streams
/// to their end.
const CANCEL_QUEUE_LEN: usize = 1024;

const MAX_CONCURRENT_CANCELS: usize = 16;

const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);

/// Timeouts of calls to upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timeouts {
    /// Time to open a connection.
    pub connect: Duration,
    /// Time until the first token, after which the stream is resumed on a new connection. A resume
    /// keeps the request's place in the engine's queue.
    pub first_token: Duration,
    /// Time between tokens, after which the stream is resumed. The default is 25 times the 40 ms
    /// that a token takes at p95.
    pub next_token: Duration,
    /// Time until the response head of a resume.
    pub resume: Duration,
    /// Time of one attempt of an idempotent call to a plain service.
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

type Response = ClientResponse<Decompress<Payload>>;

/// Engine and request id of a stream to cancel.
type Cancel = (SocketAddr, ArcStr);

/// HTTP clients of one worker thread, with a common retry budget.
pub struct Upstreams {
    pooled: Client,
    // Opens a new connection for each request.
    unpooled: Client,
    budget: RefCell<Budget>,
    cancels: mpsc::Sender<Cancel>,
    start: Instant,
    timeouts: Timeouts,
    log: Logger,
}

impl Upstreams {
    /// Creates the clients of the current thread. Must be called in an actix runtime.
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
        self.budget.borrow_mut().count_request();
    }

    fn may_retry(&self, retries: u32, idempotent: bool, cause: Cause, deadline: Instant) -> bool {
        let a = Attempt { retries, idempotent, cause, deadline: self.tick(deadline) };
        self.budget.borrow_mut().try_retry(self.tick(Instant::now()), a)
    }

    fn cancel(&self, addr: SocketAddr, id: ArcStr) {
        // If the queue is full, the engine generates the rest, which nobody reads.
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

fn client(timeouts: Timeouts, idle_timeout: Duration) -> Client {
    let connector = Connector::new()
        .timeout(timeouts.connect)
        .limit(MAX_CONNECTIONS)
        .conn_keep_alive(idle_timeout)
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
                // Best effort: after a failure the engine generates the rest, which nobody reads.
                let _ = call.await;
            }
        })
        .await;
}

/// Classifies the failure of a request before the response began.
fn failure_cause(e: &SendRequestError) -> Cause {
    match e {
        // Despite its type, this error means that the connection closed after the request was
        // written.
        SendRequestError::Connect(ConnectError::Disconnected) => Cause::Unknown,
        SendRequestError::Connect(_) => Cause::Connect,
        _ => Cause::Unknown,
    }
}

/// Returns the time until `at`; zero if it has passed.
fn time_left(at: Instant) -> Duration {
    at.saturating_duration_since(Instant::now())
}
