//! Completions on engines: sends a request, resumes an interrupted stream, retries on another
//! engine and cancels a request whose caller has disconnected.

use std::{
    mem,
    rc::Rc,
    time::{Duration, Instant},
};

use arcstr::ArcStr;
use awc::http::StatusCode;
use bytes::Bytes;
use futures::StreamExt;
use serde::{Deserialize, Serialize};
use yuccawing_core::{
    retry::Cause,
    stream::{ChunkAction, Reassembler},
};

use super::{Response, Upstreams, chunk::Chunk, failure_cause, sse::Parser, time_left};
use crate::{
    control::messages::{Admission, ErrorCode, Executed, NotRunReason, Outcome, Refusal},
    events::Event,
};

/// Delay before the next resume, multiplied by the number of consecutive failures.
const RESUME_DELAY: Duration = Duration::from_millis(30);

/// Limit on the body of an error response.
const MAX_ERROR_BYTES: usize = 16 * 1024;

/// Timeout for the body of an error response.
const ERROR_TIMEOUT: Duration = Duration::from_secs(1);

/// `Retry-After` of a refusal because the engine is overloaded.
const OVERLOAD_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The caller's request, independent of the engine.
#[derive(Clone, Debug)]
pub struct CompletionRequest {
    /// Text of the prompt.
    pub prompt: String,
    /// Maximum number of tokens to generate.
    pub max_tokens: u64,
    /// Number of prompt tokens: an estimate until the engine reports it.
    pub prompt_tokens: u64,
    /// Sampling parameters, as the members of a JSON object without braces.
    pub sampling: String,
}

/// Part of an answer, as received from an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AnswerPart {
    /// Text of the next token.
    Token(String),
    /// End of the answer, which is complete.
    End(Usage),
}

/// Number of tokens of a request, as reported to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Tokens generated.
    pub completion: u64,
}

/// Answer to an admitted completion, read from one engine after another if necessary. Dropping it
/// cancels the request on the engine.
pub struct CompletionStream {
    up: Rc<Upstreams>,
    // `None` after the request has ended.
    admission: Option<Admission>,
    request: CompletionRequest,
    stream: Reassembler,
    state: AttemptState,
    parser: Parser,
    last_read: Instant,
    retries: u32,
    // Whether an earlier attempt may have run.
    may_have_run: bool,
}

// State of the attempt on the engine of the last dispatch.
enum AttemptState {
    NotSent,
    Streaming(Response),
    // The request was sent, but there is no connection to read the response from.
    Disconnected,
    Ended,
}

enum Read {
    Bytes(Bytes),
    Interrupted,
    TimedOut,
    Deadline,
}

#[derive(Serialize)]
struct Body<'a> {
    model: &'a str,
    prompt: &'a str,
    max_tokens: u64,
    request_id: &'a str,
    priority: u8,
    stream: bool,
}

impl Body<'_> {
    fn json(&self, sampling: &str) -> String {
        let mut text = serde_json::to_string(self).expect("plain fields serialise");
        if !sampling.is_empty() {
            text.pop();
            text.push(',');
            text.push_str(sampling);
            text.push('}');
        }
        text
    }
}

#[derive(Deserialize)]
struct EngineError {
    code: String,
}

impl CompletionStream {
    /// Creates the stream of an admitted request. The first call of [`CompletionStream::next`]
    /// sends the request.
    pub fn new(up: Rc<Upstreams>, admission: Admission, request: CompletionRequest) -> Self {
        up.count_request();
        let id = admission.id().to_string().into();
        let stream = Reassembler::new(id, request.max_tokens);
        Self {
            up,
            admission: Some(admission),
            request,
            stream,
            state: AttemptState::NotSent,
            parser: Parser::default(),
            last_read: Instant::now(),
            retries: 0,
            may_have_run: false,
        }
    }

    /// Returns the next part of the answer, or `None` after its end.
    ///
    /// # Errors
    ///
    /// The answer cannot be completed, and the request has ended.
    pub async fn next(&mut self) -> Result<Option<AnswerPart>, Refusal> {
        // The time that a slow caller takes to read does not count towards the token timeouts.
        self.last_read = Instant::now();
        loop {
            match &self.state {
                AttemptState::NotSent => self.start().await?,
                AttemptState::Disconnected => self.resume().await?,
                AttemptState::Ended => return Ok(None),
                AttemptState::Streaming(_) => {
                    if let Some(part) = self.parse()? {
                        return Ok(Some(part));
                    }
                    if matches!(self.state, AttemptState::Streaming(_)) {
                        self.fill().await?;
                    }
                }
            }
        }
    }

    async fn start(&mut self) -> Result<(), Refusal> {
        let Some(a) = &mut self.admission else { return Ok(()) };
        let left = time_left(a.deadline());
        if left.is_zero() {
            return Err(self.fail(ErrorCode::Deadline, "the deadline passed before dispatch"));
        }
        let d = a.dispatch();
        let body = Body {
            model: &d.instance,
            prompt: &self.request.prompt,
            max_tokens: self.request.max_tokens,
            request_id: self.stream.id(),
            priority: d.priority,
            stream: true,
        };
        let body = body.json(&self.request.sampling);
        let call = self
            .up
            .pooled
            .post(format!("http://{}/v1/completions", d.addr))
            .timeout(left.min(self.up.timeouts.first_token))
            .no_decompress()
            .content_type("application/json")
            .send_body(body);
        // If this future is dropped from here on, the engine may run the request.
        self.state = AttemptState::Disconnected;
        a.set_outcome(self.request.prompt_tokens, Outcome::Cancelled);
        let result = call.await;
        self.last_read = Instant::now();
        match result {
            Ok(r) if r.status() == StatusCode::OK => {
                self.begin_stream(r);
                Ok(())
            }
            Ok(r) => self.handle_rejection(r).await,
            Err(e) if failure_cause(&e) == Cause::Connect => {
                self.warn(Event::UpstreamConnect, &e.to_string());
                self.state = AttemptState::NotSent;
                self.retry(Cause::Connect, NotRunReason::ConnectFailed, ErrorCode::NoUpstream).await
            }
            Err(e) => {
                self.warn(Event::UpstreamSilent, &e.to_string());
                Ok(())
            }
        }
    }

    async fn handle_rejection(&mut self, mut r: Response) -> Result<(), Refusal> {
        let status = r.status();
        let code = tokio::time::timeout(ERROR_TIMEOUT, r.body().limit(MAX_ERROR_BYTES)).await;
        let code = code.ok().and_then(Result::ok);
        let code = code.and_then(|b| serde_json::from_slice::<EngineError>(&b).ok());
        match (status, code.as_ref().map(|e| e.code.as_str())) {
            (StatusCode::NOT_FOUND, Some("unknown_instance")) => {
                self.state = AttemptState::NotSent;
                self.retry(Cause::Misdirected, NotRunReason::UnknownInstance, ErrorCode::NoUpstream)
                    .await
            }
            (StatusCode::TOO_MANY_REQUESTS, _) => {
                self.state = AttemptState::NotSent;
                self.retry(Cause::Overload, NotRunReason::Overloaded, ErrorCode::Overloaded).await
            }
            _ => {
                self.may_have_run = true;
                let text = format!("the engine answered {status}");
                self.warn(Event::UpstreamInvalid, &text);
                Err(self.fail(ErrorCode::UpstreamFailed, &text))
            }
        }
    }

    async fn resume(&mut self) -> Result<(), Refusal> {
        let Some(a) = &self.admission else { return Ok(()) };
        let (left, addr, from) =
            (time_left(a.deadline()), a.dispatch().addr, self.stream.next_offset());
        if left.is_zero() {
            return Err(self.deadline_passed());
        }
        let call = self
            .up
            .unpooled
            .get(format!("http://{addr}/v1/streams/{}?from={from}", self.stream.id()))
            .timeout(left.min(self.up.timeouts.resume))
            .no_decompress()
            .force_close()
            .send();
        match call.await {
            Ok(r) if r.status() == StatusCode::OK => {
                self.warn(Event::StreamResumed, &format!("from {from}"));
                self.begin_stream(r);
                Ok(())
            }
            Ok(r) if r.status() == StatusCode::NOT_FOUND => self.stream_lost().await,
            Ok(_) | Err(_) => self.interrupted().await,
        }
    }

    fn begin_stream(&mut self, r: Response) {
        self.state = AttemptState::Streaming(r);
        self.parser = Parser::default();
        self.last_read = Instant::now();
    }

    // Returns the first part of the answer among the received events.
    fn parse(&mut self) -> Result<Option<AnswerPart>, Refusal> {
        loop {
            let event = match self.parser.event() {
                Ok(Some(event)) => event,
                Ok(None) => return Ok(None),
                Err(e) => return Err(self.invalid(&e.to_string())),
            };
            let chunk: Chunk<'_> = match serde_json::from_slice(&event) {
                Ok(chunk) => chunk,
                Err(e) => return Err(self.invalid(&e.to_string())),
            };
            match self.stream.accept(&chunk.id, chunk.offset, chunk.kind) {
                ChunkAction::Deliver => {
                    // After a delivered token there are no retries, so the request can be freed.
                    self.request.prompt = String::new();
                    self.request.sampling = String::new();
                    self.set_outcome(Outcome::Cancelled);
                    return Ok(Some(AnswerPart::Token(chunk.text.into_owned())));
                }
                ChunkAction::Complete => {
                    self.request.prompt_tokens =
                        chunk.prompt_tokens.unwrap_or(self.request.prompt_tokens);
                    return Ok(Some(AnswerPart::End(self.finish())));
                }
                ChunkAction::Duplicate => {}
                ChunkAction::WrongRequest => self.warn(Event::StreamForeign, &chunk.id),
                ChunkAction::Gap => {
                    self.state = AttemptState::Disconnected;
                    return match self.stream.record_failure() {
                        Some(_) => Ok(None),
                        None => Err(self.broken("chunks are missing")),
                    };
                }
                ChunkAction::Conflict => {
                    return Err(self.invalid("a chunk contradicts earlier ones"));
                }
            }
        }
    }

    async fn fill(&mut self) -> Result<(), Refusal> {
        match self.read().await {
            Read::Bytes(b) => {
                self.parser.push(&b);
                Ok(())
            }
            Read::Interrupted => self.interrupted().await,
            Read::TimedOut => {
                // Not counted as a failure, since the engine may just be busy. The deadline limits
                // the number of these timeouts.
                self.warn(Event::UpstreamSilent, "no token in time");
                self.state = AttemptState::Disconnected;
                Ok(())
            }
            Read::Deadline => Err(self.deadline_passed()),
        }
    }

    async fn read(&mut self) -> Read {
        let (AttemptState::Streaming(r), Some(a)) = (&mut self.state, &self.admission) else {
            return Read::Interrupted;
        };
        let timeouts = self.up.timeouts;
        let timeout =
            if self.stream.next_offset() == 0 { timeouts.first_token } else { timeouts.next_token };
        let limit = (self.last_read + timeout).min(a.deadline());
        match tokio::time::timeout_at(limit.into(), r.next()).await {
            Ok(Some(Ok(b))) => Read::Bytes(b),
            Ok(_) => Read::Interrupted,
            Err(_) if limit >= a.deadline() => Read::Deadline,
            Err(_) => Read::TimedOut,
        }
    }

    async fn interrupted(&mut self) -> Result<(), Refusal> {
        self.state = AttemptState::Disconnected;
        let pause = RESUME_DELAY * self.stream.failures();
        if self.stream.record_failure().is_none() {
            return self.stream_lost().await;
        }
        tokio::time::sleep(pause).await;
        Ok(())
    }

    // The engine does not know the stream or cannot be reached.
    async fn stream_lost(&mut self) -> Result<(), Refusal> {
        if self.stream.next_offset() > 0 {
            return Err(self.broken("the stream could not be resumed"));
        }
        self.may_have_run = true;
        self.cancel_attempt();
        self.retry(Cause::Unknown, NotRunReason::NoAnswer, ErrorCode::UpstreamSilent).await
    }

    async fn retry(
        &mut self,
        cause: Cause,
        reason: NotRunReason,
        code: ErrorCode,
    ) -> Result<(), Refusal> {
        let Some(a) = self.admission.take() else { return Ok(()) };
        if !self.up.may_retry(self.retries, true, cause, a.deadline()) {
            self.admission = Some(a);
            let refusal = self.refusal(code, "no further attempt is allowed");
            let outcome = if self.may_have_run { Outcome::Failed } else { Outcome::NotRun(reason) };
            self.end(outcome);
            return Err(if reason == NotRunReason::Overloaded {
                refusal.with_retry_after(OVERLOAD_RETRY_AFTER)
            } else {
                refusal
            });
        }
        self.retries += 1;
        match a.retry(reason).await {
            Ok(a) => {
                let id = format!("{}.{}", a.id(), self.retries).into();
                self.admission = Some(a);
                self.stream = Reassembler::new(id, self.request.max_tokens);
                self.state = AttemptState::NotSent;
                Ok(())
            }
            Err(mut refusal) => {
                self.state = AttemptState::Ended;
                if self.may_have_run {
                    refusal.executed = Executed::Unknown;
                }
                Err(refusal)
            }
        }
    }

    fn finish(&mut self) -> Usage {
        let usage =
            Usage { prompt: self.request.prompt_tokens, completion: self.stream.next_offset() };
        // Reads the body to its end, so that the connection returns to the pool.
        if let AttemptState::Streaming(r) = mem::replace(&mut self.state, AttemptState::Ended) {
            drain(r);
        }
        self.set_outcome(Outcome::Finished);
        self.admission = None;
        usage
    }

    fn deadline_passed(&mut self) -> Refusal {
        let refusal = self.refusal(ErrorCode::Deadline, "the deadline passed during the answer");
        self.end(Outcome::Cancelled);
        refusal
    }

    fn broken(&mut self, text: &str) -> Refusal {
        self.warn(Event::StreamBroken, text);
        self.fail(ErrorCode::UpstreamFailed, text)
    }

    fn invalid(&mut self, text: &str) -> Refusal {
        self.warn(Event::UpstreamInvalid, text);
        self.may_have_run = true;
        self.fail(ErrorCode::UpstreamFailed, text)
    }

    fn fail(&mut self, code: ErrorCode, text: &str) -> Refusal {
        let refusal = self.refusal(code, text);
        let outcome = match refusal.executed {
            Executed::No => Outcome::NotRun(NotRunReason::Abandoned),
            Executed::Yes | Executed::Unknown => Outcome::Failed,
        };
        self.end(outcome);
        refusal
    }

    fn refusal(&self, code: ErrorCode, text: &str) -> Refusal {
        let executed = if self.stream.next_offset() > 0 {
            Executed::Yes
        } else if self.may_have_run || !matches!(self.state, AttemptState::NotSent) {
            Executed::Unknown
        } else {
            Executed::No
        };
        Refusal { code, message: text.to_owned(), executed, retry_after: None }
    }

    fn end(&mut self, outcome: Outcome) {
        match outcome {
            Outcome::NotRun(_) => {
                if let Some(a) = &mut self.admission {
                    a.set_outcome(0, outcome);
                }
            }
            _ => {
                self.cancel_attempt();
                self.set_outcome(outcome);
            }
        }
        self.admission = None;
        self.state = AttemptState::Ended;
    }

    fn set_outcome(&mut self, outcome: Outcome) {
        let used = self.request.prompt_tokens + self.stream.next_offset();
        if let Some(a) = &mut self.admission {
            a.set_outcome(used, outcome);
        }
    }

    // Cancels the request on the engine, where it may still run.
    fn cancel_attempt(&self) {
        if let Some(a) = &self.admission {
            self.up.cancel(a.dispatch().addr, self.stream.id().clone());
        }
    }

    fn warn(&self, event: Event, detail: &str) {
        let name: ArcStr =
            self.admission.as_ref().map_or_else(ArcStr::new, |a| a.dispatch().upstream.clone());
        self.up.warn(event, self.stream.id(), &name, detail);
    }
}

impl Drop for CompletionStream {
    fn drop(&mut self) {
        if matches!(self.state, AttemptState::Streaming(_) | AttemptState::Disconnected) {
            self.cancel_attempt();
        }
    }
}

/// Timeout for the end of the body after the last event.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(200);

fn drain(mut r: Response) {
    actix_rt::spawn(async move {
        // If the body does not end in time, the connection is closed instead of reused.
        let _ = tokio::time::timeout(DRAIN_TIMEOUT, async {
            while let Some(Ok(_)) = r.next().await {}
        })
        .await;
    });
}
