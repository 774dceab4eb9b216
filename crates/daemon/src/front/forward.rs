//! Sends a request to replicas and passes the answer on.

use std::{
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use actix_web::{HttpResponse, http::StatusCode};
use bytes::Bytes;
use futures::{Stream, StreamExt, stream};
use http_body_util::Full;
use hyper::Request;
use slog::kv;
use tokio::{sync::oneshot, time::timeout};
use yuccawing_core::{
    fleet::{config::RouteKind, health::Outcome},
    retry::Cause,
};
use yuccawing_platform::{headers, replica as wire};

use super::{
    client::{Fault, Reply, Use},
    clock,
    control::{Admit, Blame, Go, Verdict},
    edge::{Accepted, Refusal, Worker},
    sse::{Event as Piece, Splitter, TooLong},
};
use crate::events::{Event, emit};

/// Largest answer that is no stream, in bytes.
const MAX_ANSWER: usize = 16 * 1024 * 1024;

/// Time without an event after which a stream that may be resumed moves to another replica.
const GAP: Duration = Duration::from_millis(2000);

/// Why an attempt gave no answer.
#[derive(Debug, thiserror::Error)]
enum Failure {
    /// The replica says that it did not run the request.
    #[error("not run: status {status}")]
    NotRun { status: u16 },
    /// The replica answered with an error of its own.
    #[error("status {0}")]
    Status(u16),
    #[error("{0}")]
    Fault(#[from] Fault),
    /// The answer belongs to another request.
    #[error("answer of another request")]
    Foreign,
    /// A success without the replica's signature, or with an encoding.
    #[error("unsigned answer")]
    Unsigned,
    #[error("{0}")]
    Event(#[from] TooLong),
    /// The stream ended within an event.
    #[error("the stream ended within an event")]
    Partial,
    /// No answer before the request moves on.
    #[error("no answer in {0:?}")]
    Patience(Duration),
    /// The caller's time is over.
    #[error("out of time")]
    Deadline,
}

impl Failure {
    /// Whether the request certainly did not run.
    fn not_run(&self) -> bool {
        match self {
            Self::NotRun { .. } => true,
            Self::Fault(f) => f.unsent(),
            _ => false,
        }
    }

    fn cause(&self) -> Cause {
        if self.not_run() { Cause::Connect } else { Cause::Unknown }
    }

    fn outcome(&self) -> Outcome {
        match self {
            // An error may be the request's own: the replica is blamed when another one serves it.
            Self::NotRun { .. } | Self::Deadline | Self::Status(_) => Outcome::Neutral,
            _ => Outcome::NoResponse,
        }
    }
}

/// What a replica answered.
enum Answer {
    Whole { status: StatusCode, headers: Vec<(String, Vec<u8>)>, body: Bytes },
    Events { status: StatusCode, headers: Vec<(String, Vec<u8>)>, relay: Box<Relay> },
}

/// Serves a request.
pub async fn run(w: &Worker, mut a: Accepted, leaving: bool) -> HttpResponse {
    let mut again = None;
    let mut failed = Vec::new();
    loop {
        let go = match admit(w, &a, again).await {
            Verdict::Go(go) => go,
            Verdict::Refused { limit, reason, retry } => {
                return refuse(w, &a, limit, reason, retry, again, leaving);
            }
        };
        a.ask.attempts += 1;
        let replica = go.grant.replica;
        a.ask.excluded.push(replica);
        match attempt(w, &mut a, go).await {
            Ok(answer) => {
                for replica in failed {
                    w.edge.control.do_send(Blame { replica });
                }
                return respond(w, a, answer, leaving);
            }
            Err(f) => {
                if matches!(f, Failure::Status(_)) {
                    failed.push(replica);
                }
                let now = clock::now();
                let more = a.ask.attempts < a.route.max_attempts.max(1) && now < a.ask.deadline;
                if more && (f.not_run() || a.ask.kind.is_idempotent()) {
                    again = Some(f.cause());
                    continue;
                }
                return give_up(w, &a, &f, leaving);
            }
        }
    }
}

async fn admit(w: &Worker, a: &Accepted, again: Option<Cause>) -> Verdict {
    let (reply, verdict) = oneshot::channel();
    let charge = match (&a.account, again) {
        (Some(account), None) => Some((account.name.clone(), a.cost)),
        _ => None,
    };
    w.edge.control.do_send(Admit { ask: a.ask.clone(), charge, again, reply });
    let left = a.ask.remaining(clock::now());
    let late = Verdict::Refused { limit: false, reason: "no_verdict", retry: Duration::ZERO };
    match timeout(left, verdict).await {
        Ok(Ok(v)) => v,
        _ => late,
    }
}

fn refuse(
    w: &Worker,
    a: &Accepted,
    limit: bool,
    reason: &'static str,
    retry: Duration,
    again: Option<Cause>,
    leaving: bool,
) -> HttpResponse {
    // After an attempt that may have run, nothing promises that the request did not.
    let ran = again == Some(Cause::Unknown);
    let status = match (ran, limit) {
        (true, _) => StatusCode::BAD_GATEWAY,
        (false, true) => StatusCode::TOO_MANY_REQUESTS,
        (false, false) => StatusCode::SERVICE_UNAVAILABLE,
    };
    let retry = Some(retry).filter(|d| !ran && !d.is_zero());
    let refusal = Refusal { status, reason, retry };
    ended(w, a, status.as_u16(), reason, None);
    refusal.response(leaving)
}

fn give_up(w: &Worker, a: &Accepted, f: &Failure, leaving: bool) -> HttpResponse {
    let (status, reason) = match f {
        Failure::Deadline => (StatusCode::GATEWAY_TIMEOUT, "deadline"),
        f if f.not_run() => (StatusCode::SERVICE_UNAVAILABLE, "not_run"),
        _ => (StatusCode::BAD_GATEWAY, "replica_failed"),
    };
    let retry = (status == StatusCode::SERVICE_UNAVAILABLE)
        .then(|| a.ask.remaining(clock::now()).min(Duration::from_secs(1)) / 4);
    ended(w, a, status.as_u16(), reason, None);
    Refusal { status, reason, retry }.response(leaving)
}

// One line for each request that was passed on or refused.
fn ended(w: &Worker, a: &Accepted, status: u16, outcome: &str, first: Option<Duration>) {
    let took = clock::now().since(a.arrived).as_millis() as u64;
    w.edge.meters.request(&a.route.name, outcome);
    if status == 503 || status == 429 {
        w.edge.meters.refusal(outcome);
    }
    let fields = kv!(
        "id" => a.id.as_str(), "route" => a.route.name.as_str(),
        "account" => a.account.as_ref().map(|x| x.name.to_string()),
        "status" => status, "outcome" => outcome, "took_ms" => took, "sent" => a.ask.attempts,
        "first_ms" => first.map(|d| d.as_millis() as u64),
        "cost" => a.cost, "version" => a.version, "config_age_ms" => a.age.as_millis() as u64,
    );
    emit(&w.edge.log, Event::RequestEnded, &fields);
}

async fn attempt(w: &Worker, a: &mut Accepted, mut go: Go) -> Result<Answer, Failure> {
    let began = clock::now();
    let id = go.grant.id.clone();
    let out = exchange(w, a, &mut go).await;
    let name = match &out {
        Ok(_) => "answered".to_owned(),
        Err(f) => f.to_string(),
    };
    w.edge.meters.attempt(&a.ask.service, if out.is_ok() { "answered" } else { "failed" });
    match out {
        Ok(Exchange::Whole(status, headers, body)) => {
            go.guard.outcome = match (status.is_server_error(), a.ask.kind) {
                (false, _) => Outcome::Success,
                (true, kind) if kind.is_idempotent() => Outcome::Neutral,
                (true, _) => Outcome::Failure,
            };
            Ok(Answer::Whole { status, headers, body })
        }
        Ok(Exchange::Events(reply, splitter, first)) => {
            go.guard.first();
            w.edge.meters.first(&a.route.name, clock::now().since(a.arrived));
            let status = status(&reply)?;
            let headers = answer_headers(&reply);
            let relay = Relay { reply: Some(reply), go: Some(go), splitter, next: Some(first) };
            Ok(Answer::Events { status, headers, relay: Box::new(relay) })
        }
        Err(f) => {
            go.guard.outcome = f.outcome();
            let fields = kv!(
                "id" => a.id.as_str(), "replica" => id.as_str(), "failure" => name,
                "took_ms" => clock::now().since(began).as_millis() as u64,
                "expected_ms" => go.grant.expected_latency.as_millis() as u64,
            );
            emit(&w.edge.log, Event::AttemptFailed, &fields);
            Err(f)
        }
    }
}

enum Exchange {
    Whole(StatusCode, Vec<(String, Vec<u8>)>, Bytes),
    Events(Box<Reply>, Splitter, Piece),
}

fn status(reply: &Reply) -> Result<StatusCode, Failure> {
    // hyper reads only three-digit numbers.
    StatusCode::from_u16(reply.response.status().as_u16()).map_err(|_| Failure::Unsigned)
}

// Sends the request and reads until the whole answer or the first event is there.
async fn exchange(w: &Worker, a: &Accepted, go: &mut Go) -> Result<Exchange, Failure> {
    let now = clock::now();
    let left = a.ask.remaining(now);
    if left.is_zero() {
        return Err(Failure::Deadline);
    }
    // The last replica has all the time that is left.
    let last = !a.ask.kind.is_idempotent() || a.ask.attempts >= a.route.max_attempts;
    let patience = if last { left } else { go.grant.failover_after.min(left) };
    let request = request(a, go, left, a.last);
    let usage = if a.ask.kind.is_idempotent() { Use::Any } else { Use::Fresh };
    let call = async {
        // The limit of the whole exchange comes first.
        let limit = left + Duration::from_secs(1);
        let mut reply = w.client.send(go.grant.address, request, usage, limit).await?;
        check(a, &reply)?;
        if !is_stream(&reply) {
            let body = reply.body(MAX_ANSWER).await?;
            let (status, headers) = (status(&reply)?, answer_headers(&reply));
            if status.is_server_error() && a.ask.kind.is_idempotent() && !last {
                return Err(Failure::Status(status.as_u16()));
            }
            w.client.keep(reply);
            return Ok(Exchange::Whole(status, headers, body));
        }
        let mut splitter = Splitter::default();
        let first = next_event(&mut reply, &mut splitter).await?;
        // A stream without any event is a whole answer.
        match first {
            Some(first) => Ok(Exchange::Events(Box::new(reply), splitter, first)),
            None => Ok(Exchange::Whole(status(&reply)?, answer_headers(&reply), Bytes::new())),
        }
    };
    match timeout(patience, call).await {
        Ok(out) => out,
        Err(_) if patience < left => Err(Failure::Patience(patience)),
        Err(_) => Err(Failure::Deadline),
    }
}

fn request(a: &Accepted, go: &Go, left: Duration, last: Option<u64>) -> Request<Full<Bytes>> {
    let mut out = Request::builder().method(a.method.as_str()).uri(a.path.as_str());
    for (n, v) in a.headers.iter().filter(|(n, _)| n != headers::LAST_EVENT) {
        out = out.header(n.as_str(), v.as_slice());
    }
    out = out
        .header(headers::DEADLINE_MS, left.as_millis().to_string())
        .header(headers::EXPECT_REPLICA, go.grant.id.as_str());
    if let Some(account) = &a.account {
        out = out.header(headers::ACCOUNT, account.name.as_str());
    }
    if let Some(last) = last {
        out = out.header(headers::LAST_EVENT, last.to_string());
    }
    if a.ask.inference.is_some() {
        out = out.header(headers::RANK, headers::rank(a.rank).to_string());
        if let Some(v) = go.grant.version {
            out = out.header(headers::EXPECT_VERSION, v.to_string());
        }
    }
    if !a.body.is_empty() || a.method == "POST" || a.method == "PUT" {
        out = out.header("content-length", a.body.len().to_string());
    }
    out.body(Full::new(a.body.clone())).expect("method, path and headers were read from a request")
}

// Refuses what is no answer to this request.
fn check(a: &Accepted, reply: &Reply) -> Result<(), Failure> {
    let head = reply.response.headers();
    let status = reply.response.status().as_u16();
    if wire::not_run(status, head.contains_key(headers::NOT_RUN)) {
        return Err(Failure::NotRun { status });
    }
    let id = head.get(headers::REQUEST_ID).map(|v| v.as_bytes());
    if id != Some(a.id.as_bytes()) {
        return Err(Failure::Foreign);
    }
    let signed = head.contains_key(headers::SEAL) && !head.contains_key("content-encoding");
    if (200..300).contains(&status) && !signed {
        return Err(Failure::Unsigned);
    }
    // These would promise the caller that the request did not run, which the replica does not.
    if matches!(status, 408 | 429 | 503) {
        return Err(Failure::Status(status));
    }
    Ok(())
}

fn is_stream(reply: &Reply) -> bool {
    let head = reply.response.headers();
    let kind = head.get("content-type").and_then(|v| v.to_str().ok()).unwrap_or_default();
    reply.response.status().is_success() && kind.starts_with("text/event-stream")
}

fn answer_headers(reply: &Reply) -> Vec<(String, Vec<u8>)> {
    let head = reply.response.headers();
    head.iter()
        .filter(|(n, _)| !headers::HOP.contains(&n.as_str()) && n.as_str() != "date")
        .map(|(n, v)| (n.as_str().to_owned(), v.as_bytes().to_vec()))
        .collect()
}

async fn next_event(reply: &mut Reply, splitter: &mut Splitter) -> Result<Option<Piece>, Failure> {
    loop {
        if let Some(event) = splitter.event()? {
            return Ok(Some(event));
        }
        match reply.chunk().await? {
            Some(data) => splitter.push(&data),
            None if splitter.partial() => return Err(Failure::Partial),
            None => return Ok(None),
        }
    }
}

fn respond(w: &Worker, a: Accepted, answer: Answer, leaving: bool) -> HttpResponse {
    match answer {
        Answer::Whole { status, headers, body } => {
            w.edge.meters.first(&a.route.name, clock::now().since(a.arrived));
            ended(w, &a, status.as_u16(), "answered", None);
            builder(status, headers, leaving).body(body)
        }
        Answer::Events { status, headers, relay } => {
            let events = Events::new(w.clone(), a, *relay);
            builder(status, headers, leaving).streaming(events)
        }
    }
}

fn builder(
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

/// A stream at its replica.
struct Relay {
    reply: Option<Box<Reply>>,
    go: Option<Go>,
    splitter: Splitter,
    // First event, read before the answer began.
    next: Option<Piece>,
}

/// The answer was cut off. The caller's connection is closed without its end.
#[derive(Debug, thiserror::Error)]
#[error("the stream was cut off")]
pub struct CutOff;

/// Body of a streamed answer.
struct Events {
    inner: Pin<Box<dyn Stream<Item = Result<Bytes, CutOff>>>>,
}

impl Events {
    fn new(w: Worker, a: Accepted, relay: Relay) -> Self {
        let last = a.last;
        let first = clock::now().since(a.arrived);
        let state = Some(Passing { w, a, relay, last, events: 0, first });
        let inner = stream::unfold(state, |state| async {
            let mut p = state?;
            match p.next().await {
                Ok(Some(bytes)) => Some((Ok(bytes), Some(p))),
                Ok(None) => {
                    p.end("answered");
                    None
                }
                Err(f) => {
                    p.end(&f.to_string());
                    Some((Err(CutOff), None))
                }
            }
        });
        Self { inner: inner.boxed_local() }
    }
}

impl Stream for Events {
    type Item = Result<Bytes, CutOff>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        self.inner.as_mut().poll_next(cx)
    }
}

struct Passing {
    w: Worker,
    a: Accepted,
    relay: Relay,
    // Id of the last event that was passed on.
    last: Option<u64>,
    events: u64,
    // Time to the first event.
    first: Duration,
}

impl Passing {
    async fn next(&mut self) -> Result<Option<Bytes>, Failure> {
        loop {
            let event = match self.read().await {
                Ok(Some(e)) => e,
                Ok(None) => {
                    self.finish(Outcome::Success);
                    return Ok(None);
                }
                Err(f) => {
                    self.finish(f.outcome());
                    self.resume(f).await?;
                    continue;
                }
            };
            // A replica that resumes may repeat events.
            if event.id.is_some() && event.id <= self.last {
                continue;
            }
            self.last = event.id.or(self.last);
            self.events += 1;
            return Ok(Some(event.bytes));
        }
    }

    async fn read(&mut self) -> Result<Option<Piece>, Failure> {
        if let Some(first) = self.relay.next.take() {
            return Ok(Some(first));
        }
        let left = self.a.ask.remaining(clock::now());
        let resumable = self.a.ask.kind == RouteKind::Stream { resumable: true };
        let limit = if resumable && self.more() { GAP.min(left) } else { left };
        let reply = self.relay.reply.as_mut().ok_or(Failure::Deadline)?;
        match timeout(limit, next_event(reply, &mut self.relay.splitter)).await {
            Ok(out) => out,
            Err(_) if limit < left => Err(Failure::Patience(limit)),
            Err(_) => Err(Failure::Deadline),
        }
    }

    fn more(&self) -> bool {
        self.a.ask.attempts < self.a.route.max_attempts
    }

    fn finish(&mut self, outcome: Outcome) {
        if let Some(mut go) = self.relay.go.take() {
            go.guard.outcome = outcome;
        }
        match self.relay.reply.take() {
            Some(reply) if outcome == Outcome::Success => self.w.client.keep(*reply),
            // Dropping it closes the connection, which ends the run.
            _ => {}
        }
    }

    // Goes on at another replica after the last event.
    async fn resume(&mut self, mut f: Failure) -> Result<(), Failure> {
        let resumable = self.a.ask.kind == RouteKind::Stream { resumable: true };
        while resumable && self.more() && clock::now() < self.a.ask.deadline {
            let Verdict::Go(mut go) = admit(&self.w, &self.a, Some(f.cause())).await else {
                return Err(f);
            };
            self.a.ask.attempts += 1;
            self.a.ask.excluded.push(go.grant.replica);
            self.a.last = self.last;
            let fields = kv!(
                "id" => self.a.id.as_str(), "failure" => f.to_string(), "events" => self.events,
                "replica" => go.grant.id.as_str(), "last" => self.last,
            );
            emit(&self.w.edge.log, Event::StreamResumed, &fields);
            match exchange(&self.w, &self.a, &mut go).await {
                Ok(Exchange::Events(reply, splitter, first)) => {
                    go.guard.first();
                    self.relay =
                        Relay { reply: Some(reply), go: Some(go), splitter, next: Some(first) };
                    return Ok(());
                }
                Ok(Exchange::Whole(status, ..)) => f = Failure::Status(status.as_u16()),
                Err(e) => {
                    go.guard.outcome = e.outcome();
                    f = e;
                }
            }
        }
        Err(f)
    }

    fn end(&mut self, outcome: &str) {
        ended(&self.w, &self.a, 200, outcome, Some(self.first));
    }
}

impl Drop for Passing {
    fn drop(&mut self) {
        if self.relay.go.is_some() {
            ended(&self.w, &self.a, 200, "caller_left", Some(self.first));
        }
    }
}
