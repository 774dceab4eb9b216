//! Forwards an accepted request to a replica, retries it at others, and relays the response.

mod body;
mod limit;
mod loss;
mod origin;
mod stream;

use std::{pin::pin, time::Duration};

use actix_web::{HttpResponse, http::StatusCode};
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use slog::kv;
use tokio::{sync::oneshot, time::timeout};
use yuccawing_core::{fleet::health::Outcome, retry::Cause};
use yuccawing_platform::{
    headers::{self, PauseHeader},
    replica as wire,
};

use self::{
    limit::report_limit,
    loss::report_ended,
    stream::{EventBody, ReplicaStream},
};
use super::{
    client::{CallError, Reply, Reuse},
    clock,
    control::{
        Admission, Admit, LimitSeen, PlacedRequest, ReplicaEnded, ReplicaFailed, SignalsSeen,
        signals,
    },
    edge::{CallerRequest, LEAVING_RETRY, Refusal, Worker},
    sse::{Event as SseEvent, Splitter, TooLong},
};
use crate::events::{Event, emit};

/// Largest response that is not a stream, in bytes.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// Why an attempt gave no response for the caller. The texts are log values and metric labels.
#[derive(Debug, thiserror::Error)]
enum Failure {
    /// The replica states that it did not run the request.
    #[error("not run: status {status}")]
    NotRun { status: u16 },
    /// The replica responded with an error status.
    #[error("status {0}")]
    Status(u16),
    #[error("{0}")]
    Call(#[from] CallError),
    /// The response has begun and was not received to its end.
    #[error("{0}")]
    Cut(CallError),
    /// The response carries the id of another request.
    #[error("answer of another request")]
    WrongId,
    /// The status is none of a final response.
    #[error("invalid status {0}")]
    InvalidStatus(u16),
    /// A successful response without the signature of the replica, or with a content encoding.
    #[error("unsigned answer")]
    Unsigned,
    #[error("{0}")]
    LongEvent(#[from] TooLong),
    /// The stream ended within an event.
    #[error("the stream ended within an event")]
    PartialEvent,
    /// A stream without a length ended before its first event, so its end proves nothing.
    #[error("the stream ended before its first event")]
    NoEvent,
    /// No response within the time limit of one attempt.
    #[error("no answer in {0:?}")]
    AttemptTimeout(Duration),
    /// Replicas end under one of the prompt's blocks.
    #[error("a prompt block is held")]
    Held,
    /// The process exits.
    #[error("the host stops")]
    Closing,
    /// The caller's deadline has passed.
    #[error("out of time")]
    Deadline,
}

impl Failure {
    /// Whether the request certainly did not run.
    fn not_run(&self) -> bool {
        match self {
            Self::NotRun { .. } => true,
            Self::Call(f) => f.unsent(),
            _ => false,
        }
    }

    fn cause(&self) -> Cause {
        if self.not_run() { Cause::Connect } else { Cause::Unknown }
    }

    fn outcome(&self) -> Outcome {
        match self {
            // The request itself may have caused the error, so the replica is blamed only if
            // another one serves it.
            Self::NotRun { .. } | Self::Deadline | Self::Held | Self::Closing | Self::Status(_) => {
                Outcome::Neutral
            }
            _ => Outcome::NoResponse,
        }
    }
}

/// Failed attempt, with the replica that takes the request over if one was assigned already.
struct Failed {
    failure: Failure,
    successor: Option<PlacedRequest>,
}

impl<F: Into<Failure>> From<F> for Failed {
    fn from(failure: F) -> Self {
        Self { failure: failure.into(), successor: None }
    }
}

/// Response of a replica, to be passed to the caller.
enum ReplicaResponse {
    Full { status: StatusCode, headers: Vec<(String, Vec<u8>)>, body: Bytes },
    Stream { status: StatusCode, headers: Vec<(String, Vec<u8>)>, upstream: Box<ReplicaStream> },
}

/// Serves a request: places it, sends it, and retries it while its route and deadline allow.
pub async fn run(w: &Worker, mut r: CallerRequest, leaving: bool) -> HttpResponse {
    let mut retry_cause = None;
    let mut failed = Vec::new();
    let mut successor = None;
    if let Err(e) = origin::bind(w, &mut r).await {
        return refuse(w, &r, false, e.name(), Duration::ZERO, leaving);
    }
    loop {
        let admission = match successor.take() {
            Some(placed) => Admission::Placed(placed),
            None => tokio::select! {
                admission = admit(w, &r, retry_cause) => admission,
                () = w.shared.closing.cancelled() => Admission::Refused {
                    over_limit: false,
                    reason: "leaving",
                    retry_after: LEAVING_RETRY,
                },
            },
        };
        let placed = match admission {
            Admission::Placed(placed) => placed,
            Admission::Refused { over_limit, reason, retry_after } => {
                return refuse(w, &r, over_limit, reason, retry_after, leaving);
            }
        };
        r.request.attempts += 1;
        let replica = placed.assignment.replica;
        r.request.excluded.push(replica);
        let out = tokio::select! {
            out = attempt(w, &mut r, placed) => out,
            () = w.shared.closing.cancelled() => Err(Failure::Closing.into()),
        };
        match out {
            Ok(response) => {
                for replica in failed {
                    w.shared.control.do_send(ReplicaFailed { replica });
                }
                return respond(w, r, response, leaving);
            }
            Err(Failed { failure: f, successor: next }) => {
                r.may_have_run |= !f.not_run();
                if matches!(f, Failure::Status(_)) {
                    failed.push(replica);
                }
                if next.is_some() {
                    (successor, retry_cause) = (next, Some(f.cause()));
                    continue;
                }
                let now = clock::now();
                let may_retry = r.request.attempts < r.route.max_attempts.max(1)
                    && now < r.request.deadline
                    && !w.shared.closing.is_cancelled();
                if may_retry && (f.not_run() || r.request.kind.is_idempotent()) {
                    retry_cause = Some(f.cause());
                    continue;
                }
                return give_up(w, &r, &f, leaving);
            }
        }
    }
}

async fn admit(w: &Worker, r: &CallerRequest, retry_cause: Option<Cause>) -> Admission {
    let (reply, admission) = oneshot::channel();
    let charge = match (&r.account, retry_cause) {
        (Some(account), None) => Some((account.name.clone(), r.cost)),
        _ => None,
    };
    w.shared.control.do_send(Admit { request: r.request.clone(), charge, retry_cause, reply });
    let left = r.request.remaining(clock::now());
    let timed_out =
        Admission::Refused { over_limit: false, reason: "no_verdict", retry_after: Duration::ZERO };
    match timeout(left, admission).await {
        Ok(Ok(v)) => v,
        _ => timed_out,
    }
}

fn refuse(
    w: &Worker,
    r: &CallerRequest,
    over_limit: bool,
    reason: &'static str,
    retry_after: Duration,
    leaving: bool,
) -> HttpResponse {
    // After an attempt that may have run, no status may state that the request did not run.
    let ran = r.may_have_run;
    let status = match (ran, over_limit) {
        (true, _) => StatusCode::BAD_GATEWAY,
        (false, true) => StatusCode::TOO_MANY_REQUESTS,
        (false, false) => StatusCode::SERVICE_UNAVAILABLE,
    };
    let retry_after = Some(retry_after).filter(|d| !ran && !d.is_zero());
    let refusal = Refusal { status, reason, retry_after };
    log_end(w, r, status.as_u16(), reason, None);
    refusal.response(leaving)
}

fn give_up(w: &Worker, r: &CallerRequest, f: &Failure, leaving: bool) -> HttpResponse {
    let (status, reason) = match f {
        Failure::Deadline => (StatusCode::GATEWAY_TIMEOUT, "deadline"),
        f if f.not_run() && !r.may_have_run => (StatusCode::SERVICE_UNAVAILABLE, "not_run"),
        Failure::Closing => (StatusCode::BAD_GATEWAY, "leaving"),
        _ => (StatusCode::BAD_GATEWAY, "replica_failed"),
    };
    let retry_after = (status == StatusCode::SERVICE_UNAVAILABLE)
        .then(|| r.request.remaining(clock::now()).min(Duration::from_secs(1)) / 4);
    log_end(w, r, status.as_u16(), reason, None);
    Refusal { status, reason, retry_after }.response(leaving)
}

// Logs and counts the end of a request, once per accepted request.
fn log_end(
    w: &Worker,
    r: &CallerRequest,
    status: u16,
    outcome: &str,
    time_to_first: Option<Duration>,
) {
    let took = clock::now().since(r.arrived).as_millis() as u64;
    w.shared.metrics.request(&r.route.name, outcome);
    if status == 503 || status == 429 {
        w.shared.metrics.refusal(outcome);
    }
    let fields = kv!(
        "id" => r.id.as_str(), "route" => r.route.name.as_str(),
        "account" => r.account.as_ref().map(|x| x.name.to_string()),
        "status" => status, "outcome" => outcome, "took_ms" => took, "sent" => r.request.attempts,
        "first_ms" => time_to_first.map(|d| d.as_millis() as u64),
        "cost" => r.cost, "version" => r.config_version,
        "config_age_ms" => r.config_age.as_millis() as u64,
    );
    emit(&w.shared.log, Event::RequestEnded, &fields);
}

async fn attempt(
    w: &Worker,
    r: &mut CallerRequest,
    mut placed: PlacedRequest,
) -> Result<ReplicaResponse, Failed> {
    let begun = clock::now();
    let id = placed.assignment.id.clone();
    let out = exchange(w, r, &placed).await;
    let name = match &out {
        Ok(_) => "answered".to_owned(),
        Err(f) => f.failure.to_string(),
    };
    w.shared.metrics.attempt(&r.request.service, if out.is_ok() { "answered" } else { "failed" });
    match out {
        Ok(Received::Full(status, headers, body)) => {
            // A replica that responds with an error of its own need not have run the request.
            if !status.is_server_error() {
                placed.guard.served();
            }
            placed.guard.outcome = match (status.is_server_error(), r.request.kind) {
                (false, _) => Outcome::Success,
                (true, kind) if kind.is_idempotent() => Outcome::Neutral,
                (true, _) => Outcome::Failure,
            };
            Ok(ReplicaResponse::Full { status, headers, body })
        }
        Ok(Received::Stream(reply, splitter, first)) => {
            placed.guard.first_event();
            origin::begin(w, r, &placed);
            w.shared.metrics.first_event(&r.route.name, clock::now().since(r.arrived));
            let status = status(&reply)?;
            let headers = response_headers(&reply);
            let upstream = ReplicaStream {
                reply: Some(reply),
                placed: Some(placed),
                splitter,
                first_event: Some(first),
                events: 0,
            };
            Ok(ReplicaResponse::Stream { status, headers, upstream: Box::new(upstream) })
        }
        Err(f) => {
            placed.guard.outcome = f.failure.outcome();
            let fields = kv!(
                "id" => r.id.as_str(), "replica" => id.as_str(), "failure" => name,
                "took_ms" => clock::now().since(begun).as_millis() as u64,
                "expected_ms" => placed.assignment.expected_latency.as_millis() as u64,
            );
            emit(&w.shared.log, Event::AttemptFailed, &fields);
            report_ended(w, r, &placed.assignment, &f.failure).await;
            Err(f)
        }
    }
}

enum Received {
    Full(StatusCode, Vec<(String, Vec<u8>)>, Bytes),
    Stream(Box<Reply>, Splitter, SseEvent),
}

fn status(reply: &Reply) -> Result<StatusCode, Failure> {
    // Always valid, since hyper accepts three-digit status codes only.
    StatusCode::from_u16(reply.response.status().as_u16()).map_err(|_| Failure::Unsigned)
}

// Sends the request and reads the whole response or the first event of a stream, unless one of its
// blocks is held meanwhile.
async fn exchange(
    w: &Worker,
    r: &CallerRequest,
    placed: &PlacedRequest,
) -> Result<Received, Failed> {
    tokio::select! {
        out = exchange_at(w, r, placed) => out,
        () = placed.held.cancelled() => Err(Failure::Held.into()),
    }
}

// Sends the request and reads the whole response or the first event of a stream. If that takes
// longer than expected, another replica is requested for an idempotent request; until one is
// assigned, the response of the first one is still awaited.
async fn exchange_at(
    w: &Worker,
    r: &CallerRequest,
    placed: &PlacedRequest,
) -> Result<Received, Failed> {
    let left = r.request.remaining(clock::now());
    if left.is_zero() {
        return Err(Failure::Deadline.into());
    }
    // The last replica may use all of the remaining time.
    let last = !r.request.kind.is_idempotent() || r.request.attempts >= r.route.max_attempts;
    let mut call = pin!(call(w, r, placed, left, last));
    let patience = placed.assignment.failover_after;
    if !last && patience < left {
        if let Ok(out) = timeout(patience, &mut call).await {
            return out.map_err(Failed::from);
        }
        tokio::select! {
            out = &mut call => return out.map_err(Failed::from),
            admission = admit(w, r, Some(Cause::Unknown)) => {
                if let Admission::Placed(next) = admission {
                    let failure = Failure::AttemptTimeout(patience);
                    return Err(Failed { failure, successor: Some(next) });
                }
            }
        }
    }
    match timeout(r.request.remaining(clock::now()), call).await {
        Ok(out) => out.map_err(Failed::from),
        Err(_) => Err(Failure::Deadline.into()),
    }
}

async fn call(
    w: &Worker,
    r: &CallerRequest,
    placed: &PlacedRequest,
    left: Duration,
    last: bool,
) -> Result<Received, Failure> {
    let request = request(r, placed, left, r.last_event).map_err(CallError::Invalid)?;
    let reuse = if r.request.kind.is_idempotent() { Reuse::Allowed } else { Reuse::Never };
    // Longer than the timeout of the whole exchange, so that the latter applies.
    let limit = left + Duration::from_secs(1);
    let sent_at = clock::now();
    let mut reply = w.client.send(placed.assignment.address, request, reuse, limit).await?;
    report_limit(w, placed, &reply, sent_at);
    report_signals(w, r, placed, &reply);
    check_response(r, &reply)?;
    if !is_stream(&reply) {
        let body = reply.body(MAX_BODY_BYTES).await.map_err(Failure::Cut)?;
        let (status, headers) = (status(&reply)?, response_headers(&reply));
        if status.is_server_error() && r.request.kind.is_idempotent() && !last {
            return Err(Failure::Status(status.as_u16()));
        }
        w.client.release(reply);
        return Ok(Received::Full(status, headers, body));
    }
    let mut splitter = Splitter::default();
    match next_event(&mut reply, &mut splitter).await? {
        Some(first) => Ok(Received::Stream(Box::new(reply), splitter, first)),
        None if !is_framed(&reply) => Err(Failure::NoEvent),
        None => Ok(Received::Full(status(&reply)?, response_headers(&reply), Bytes::new())),
    }
}

fn request(
    r: &CallerRequest,
    placed: &PlacedRequest,
    left: Duration,
    last_event: Option<u64>,
) -> hyper::http::Result<Request<Full<Bytes>>> {
    let mut out = Request::builder().method(r.method.as_str()).uri(r.path.as_str());
    for (n, v) in r.headers.iter().filter(|(n, _)| n != headers::LAST_EVENT_ID) {
        out = out.header(n.as_str(), v.as_slice());
    }
    out = out
        .header(headers::DEADLINE_MS, left.as_millis().to_string())
        .header(headers::EXPECT_REPLICA, placed.assignment.id.as_str());
    if let Some(account) = &r.account {
        out = out.header(headers::ACCOUNT, account.name.as_str());
    }
    if let Some(id) = last_event {
        out = out.header(headers::LAST_EVENT_ID, id.to_string());
    }
    if r.request.inference.is_some() {
        out = out.header(headers::PRIORITY, headers::priority(r.priority).to_string());
        if let Some(v) = placed.assignment.version {
            out = out.header(headers::EXPECT_VERSION, v.to_string());
        }
    }
    if !r.body.is_empty() || r.method == "POST" || r.method == "PUT" {
        out = out.header("content-length", r.body.len().to_string());
    }
    out.body(Full::new(r.body.clone()))
}

// Tells the control actor what a response says about the replica, unless it is a late copy of
// another one.
fn report_signals(w: &Worker, r: &CallerRequest, placed: &PlacedRequest, reply: &Reply) {
    let id = reply.response.headers().get(headers::REQUEST_ID);
    if id.is_some_and(|id| id.as_bytes() != r.id.as_bytes()) {
        return;
    }
    let signals = signals::read(&reply.response);
    if signals.leaving || signals.pause != PauseHeader::Absent {
        let replica = placed.assignment.replica;
        w.shared.control.do_send(SignalsSeen { replica, signals });
    }
}

// Rejects what is not a valid response to this request.
fn check_response(r: &CallerRequest, reply: &Reply) -> Result<(), Failure> {
    let head = reply.response.headers();
    let status = reply.response.status().as_u16();
    let id = head.get(headers::REQUEST_ID).map(|v| v.as_bytes());
    // Checked before the refusal: a late copy of a refusal says nothing about this request.
    if id.is_some_and(|id| id != r.id.as_bytes()) {
        return Err(Failure::WrongId);
    }
    if wire::not_run(status, head.contains_key(headers::NOT_RUN)) {
        return Err(Failure::NotRun { status });
    }
    if id.is_none() {
        return Err(Failure::WrongId);
    }
    // HTTP has no such status for a final response, so nothing tells what it says.
    if !(200..600).contains(&status) {
        return Err(Failure::InvalidStatus(status));
    }
    let signed = head.contains_key(headers::SEAL) && !head.contains_key("content-encoding");
    if (200..300).contains(&status) && !signed {
        return Err(Failure::Unsigned);
    }
    // Callers take these statuses as a statement that the request did not run, which the replica
    // has not made.
    if matches!(status, 408 | 429 | 503) {
        return Err(Failure::Status(status));
    }
    Ok(())
}

// Whether the end of the body is told apart from the end of the connection.
fn is_framed(reply: &Reply) -> bool {
    let head = reply.response.headers();
    head.contains_key("content-length") || head.contains_key("transfer-encoding")
}

fn is_stream(reply: &Reply) -> bool {
    let head = reply.response.headers();
    let kind = head.get("content-type").and_then(|v| v.to_str().ok()).unwrap_or_default();
    reply.response.status().is_success() && kind.starts_with("text/event-stream")
}

fn response_headers(reply: &Reply) -> Vec<(String, Vec<u8>)> {
    let head = reply.response.headers();
    head.iter()
        .filter(|(n, _)| !headers::HOP_BY_HOP.contains(&n.as_str()) && n.as_str() != "date")
        .map(|(n, v)| (n.as_str().to_owned(), v.as_bytes().to_vec()))
        .collect()
}

async fn next_event(
    reply: &mut Reply,
    splitter: &mut Splitter,
) -> Result<Option<SseEvent>, Failure> {
    loop {
        if let Some(event) = splitter.event()? {
            return Ok(Some(event));
        }
        match reply.chunk().await.map_err(Failure::Cut)? {
            Some(data) => splitter.push(&data),
            None if splitter.partial() => return Err(Failure::PartialEvent),
            None => return Ok(None),
        }
    }
}

fn respond(w: &Worker, r: CallerRequest, response: ReplicaResponse, leaving: bool) -> HttpResponse {
    match response {
        ReplicaResponse::Full { status, headers, body } => {
            w.shared.metrics.first_event(&r.route.name, clock::now().since(r.arrived));
            log_end(w, &r, status.as_u16(), "answered", None);
            body::finish(response_builder(status, headers, leaving), body, &w.shared.open)
        }
        ReplicaResponse::Stream { status, headers, upstream } => {
            let events = EventBody::new(w.clone(), r, *upstream);
            response_builder(status, headers, leaving).streaming(events)
        }
    }
}

fn response_builder(
    status: StatusCode,
    headers: Vec<(String, Vec<u8>)>,
    leaving: bool,
) -> actix_web::HttpResponseBuilder {
    let mut out = HttpResponse::build(status);
    for (n, v) in headers {
        out.append_header((n, v));
    }
    if leaving {
        out.force_close();
    }
    out
}
