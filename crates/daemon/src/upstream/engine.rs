//! Completions on engines: dispatch, resume, another engine, cancellation.

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

use super::{Response, Upstreams, cause, chunk::Chunk, sse::Parser, until};
use crate::{
    control::messages::{Admission, Code, NotRun, Outcome, Refusal, Run},
    events::Event,
};

/// Pause before a further resume, times the failures in a row.
const RESUME_PAUSE: Duration = Duration::from_millis(30);

/// Longest error answer of an engine that is read, in bytes.
const MAX_ERROR: usize = 16 * 1024;

/// Longest wait for the rest of an error answer.
const ERROR_LIMIT: Duration = Duration::from_secs(1);

/// Retry-After of a refusal because the engine is overloaded.
const OVERLOAD_RETRY: Duration = Duration::from_secs(1);

/// What a caller asks for.
#[derive(Clone, Debug)]
pub struct Ask {
    /// Prompt.
    pub prompt: String,
    /// Most tokens to generate.
    pub max_tokens: u64,
    /// Estimated tokens of the prompt, until the engine tells their number.
    pub prompt_tokens: u64,
    /// Sampling parameters: members of a JSON object without its braces.
    pub sampling: String,
}

/// Part of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Piece {
    /// Text of one token.
    Token(String),
    /// End of a complete answer.
    End(Usage),
}

/// Tokens of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Usage {
    /// Of the prompt.
    pub prompt: u64,
    /// Generated.
    pub completion: u64,
}

/// An answer under way. Dropping it cancels the request on the engine.
pub struct Answer {
    up: Rc<Upstreams>,
    // `None` after the end.
    admission: Option<Admission>,
    ask: Ask,
    stream: Reassembler,
    link: Link,
    parser: Parser,
    heard: Instant,
    retries: u32,
    // Whether an attempt may have run.
    uncertain: bool,
}

enum Link {
    // Nothing was sent to the engine of the dispatch.
    Idle,
    Open(Response),
    // Interrupted after it was sent.
    Lost,
    Ended,
}

enum Read {
    Bytes(Bytes),
    Cut,
    Silent,
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

impl Answer {
    /// An answer to an admitted request; nothing is sent before [`Answer::next`].
    pub fn new(up: Rc<Upstreams>, admission: Admission, ask: Ask) -> Self {
        up.count();
        let id = admission.id().to_string().into();
        let stream = Reassembler::new(id, ask.max_tokens);
        Self {
            up,
            admission: Some(admission),
            ask,
            stream,
            link: Link::Idle,
            parser: Parser::default(),
            heard: Instant::now(),
            retries: 0,
            uncertain: false,
        }
    }

    /// Next part of the answer, `None` after its end.
    ///
    /// # Errors
    ///
    /// Why the answer is not complete; the answer has ended then.
    pub async fn next(&mut self) -> Result<Option<Piece>, Refusal> {
        // A caller that reads slowly is no silence of the engine.
        self.heard = Instant::now();
        loop {
            match &self.link {
                Link::Idle => self.start().await?,
                Link::Lost => self.resume().await?,
                Link::Ended => return Ok(None),
                Link::Open(_) => {
                    if let Some(piece) = self.parse()? {
                        return Ok(Some(piece));
                    }
                    if matches!(self.link, Link::Open(_)) {
                        self.fill().await?;
                    }
                }
            }
        }
    }

    async fn start(&mut self) -> Result<(), Refusal> {
        let Some(a) = &mut self.admission else { return Ok(()) };
        let left = until(a.deadline());
        if left.is_zero() {
            return Err(self.give_up(Code::Deadline, "the deadline passed before dispatch"));
        }
        let d = a.dispatch();
        let body = Body {
            model: &d.instance,
            prompt: &self.ask.prompt,
            max_tokens: self.ask.max_tokens,
            request_id: self.stream.id(),
            priority: d.priority,
            stream: true,
        };
        let body = body.json(&self.ask.sampling);
        let call = self
            .up
            .pooled
            .post(format!("http://{}/v1/completions", d.addr))
            .timeout(left.min(self.up.timing.first))
            .no_decompress()
            .content_type("application/json")
            .send_body(body);
        // From here on a drop cannot tell whether the engine runs it.
        self.link = Link::Lost;
        a.note(self.ask.prompt_tokens, Outcome::Cancelled);
        let result = call.await;
        self.heard = Instant::now();
        match result {
            Ok(r) if r.status() == StatusCode::OK => {
                self.open(r);
                Ok(())
            }
            Ok(r) => self.rejected(r).await,
            Err(e) if cause(&e) == Cause::Connect => {
                self.warn(Event::UpstreamConnect, &e.to_string());
                self.link = Link::Idle;
                self.again(Cause::Connect, NotRun::Connect, Code::NoUpstream).await
            }
            Err(e) => {
                self.warn(Event::UpstreamSilent, &e.to_string());
                Ok(())
            }
        }
    }

    async fn rejected(&mut self, mut r: Response) -> Result<(), Refusal> {
        let status = r.status();
        let code = tokio::time::timeout(ERROR_LIMIT, r.body().limit(MAX_ERROR)).await;
        let code = code.ok().and_then(Result::ok);
        let code = code.and_then(|b| serde_json::from_slice::<EngineError>(&b).ok());
        match (status, code.as_ref().map(|e| e.code.as_str())) {
            (StatusCode::NOT_FOUND, Some("unknown_instance")) => {
                self.link = Link::Idle;
                self.again(Cause::Misdirected, NotRun::UnknownInstance, Code::NoUpstream).await
            }
            (StatusCode::TOO_MANY_REQUESTS, _) => {
                self.link = Link::Idle;
                self.again(Cause::Overload, NotRun::Overloaded, Code::Overloaded).await
            }
            _ => {
                self.uncertain = true;
                let text = format!("the engine answered {status}");
                self.warn(Event::UpstreamInvalid, &text);
                Err(self.give_up(Code::UpstreamFailed, &text))
            }
        }
    }

    async fn resume(&mut self) -> Result<(), Refusal> {
        let Some(a) = &self.admission else { return Ok(()) };
        let (left, addr, from) =
            (until(a.deadline()), a.dispatch().addr, self.stream.next_offset());
        if left.is_zero() {
            return Err(self.late());
        }
        let call = self
            .up
            .fresh
            .get(format!("http://{addr}/v1/streams/{}?from={from}", self.stream.id()))
            .timeout(left.min(self.up.timing.resume))
            .no_decompress()
            .force_close()
            .send();
        match call.await {
            Ok(r) if r.status() == StatusCode::OK => {
                self.warn(Event::StreamResumed, &format!("from {from}"));
                self.open(r);
                Ok(())
            }
            Ok(r) if r.status() == StatusCode::NOT_FOUND => self.lost().await,
            Ok(_) | Err(_) => self.interrupted().await,
        }
    }

    fn open(&mut self, r: Response) {
        self.link = Link::Open(r);
        self.parser = Parser::default();
        self.heard = Instant::now();
    }

    // Reads the events that have arrived.
    fn parse(&mut self) -> Result<Option<Piece>, Refusal> {
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
            match self.stream.accept(&chunk.id, chunk.offset, chunk.part) {
                ChunkAction::Deliver => {
                    // No attempt follows a delivered token.
                    self.ask.prompt = String::new();
                    self.ask.sampling = String::new();
                    self.note(Outcome::Cancelled);
                    return Ok(Some(Piece::Token(chunk.text.into_owned())));
                }
                ChunkAction::Complete => {
                    self.ask.prompt_tokens = chunk.prompt.unwrap_or(self.ask.prompt_tokens);
                    return Ok(Some(Piece::End(self.finish())));
                }
                ChunkAction::Duplicate => {}
                ChunkAction::WrongRequest => self.warn(Event::StreamForeign, &chunk.id),
                ChunkAction::Gap => {
                    self.link = Link::Lost;
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
            Read::Cut => self.interrupted().await,
            Read::Silent => {
                // Not counted as a failure: each silence takes its time, so the deadline bounds
                // them, and the engine may just be busy.
                self.warn(Event::UpstreamSilent, "no token in time");
                self.link = Link::Lost;
                Ok(())
            }
            Read::Deadline => Err(self.late()),
        }
    }

    async fn read(&mut self) -> Read {
        let (Link::Open(r), Some(a)) = (&mut self.link, &self.admission) else { return Read::Cut };
        let timing = self.up.timing;
        let silence = if self.stream.next_offset() == 0 { timing.first } else { timing.between };
        let limit = (self.heard + silence).min(a.deadline());
        match tokio::time::timeout_at(limit.into(), r.next()).await {
            Ok(Some(Ok(b))) => Read::Bytes(b),
            Ok(_) => Read::Cut,
            Err(_) if limit >= a.deadline() => Read::Deadline,
            Err(_) => Read::Silent,
        }
    }

    async fn interrupted(&mut self) -> Result<(), Refusal> {
        self.link = Link::Lost;
        let pause = RESUME_PAUSE * self.stream.failures();
        if self.stream.record_failure().is_none() {
            return self.lost().await;
        }
        tokio::time::sleep(pause).await;
        Ok(())
    }

    // The engine does not know the stream, or is gone.
    async fn lost(&mut self) -> Result<(), Refusal> {
        if self.stream.next_offset() > 0 {
            return Err(self.broken("the stream could not be resumed"));
        }
        self.uncertain = true;
        self.drop_attempt();
        self.again(Cause::Unknown, NotRun::Silent, Code::UpstreamSilent).await
    }

    async fn again(&mut self, cause: Cause, reason: NotRun, code: Code) -> Result<(), Refusal> {
        let Some(a) = self.admission.take() else { return Ok(()) };
        if !self.up.may_retry(self.retries, true, cause, a.deadline()) {
            self.admission = Some(a);
            let refusal = self.refusal(code, "no further attempt is allowed");
            let outcome = if self.uncertain { Outcome::Broken } else { Outcome::NotRun(reason) };
            self.end(outcome);
            return Err(if reason == NotRun::Overloaded {
                refusal.retry(OVERLOAD_RETRY)
            } else {
                refusal
            });
        }
        self.retries += 1;
        match a.again(reason).await {
            Ok(a) => {
                let id = format!("{}.{}", a.id(), self.retries).into();
                self.admission = Some(a);
                self.stream = Reassembler::new(id, self.ask.max_tokens);
                self.link = Link::Idle;
                Ok(())
            }
            Err(mut refusal) => {
                self.link = Link::Ended;
                if self.uncertain {
                    refusal.run = Run::Unknown;
                }
                Err(refusal)
            }
        }
    }

    fn finish(&mut self) -> Usage {
        let usage = Usage { prompt: self.ask.prompt_tokens, completion: self.stream.next_offset() };
        // Reads the end of the body, so that the connection returns to the pool.
        if let Link::Open(r) = mem::replace(&mut self.link, Link::Ended) {
            drain(r);
        }
        self.note(Outcome::Finished);
        self.admission = None;
        usage
    }

    fn late(&mut self) -> Refusal {
        let refusal = self.refusal(Code::Deadline, "the deadline passed during the answer");
        self.end(Outcome::Cancelled);
        refusal
    }

    fn broken(&mut self, text: &str) -> Refusal {
        self.warn(Event::StreamBroken, text);
        self.give_up(Code::UpstreamFailed, text)
    }

    fn invalid(&mut self, text: &str) -> Refusal {
        self.warn(Event::UpstreamInvalid, text);
        self.uncertain = true;
        self.give_up(Code::UpstreamFailed, text)
    }

    fn give_up(&mut self, code: Code, text: &str) -> Refusal {
        let refusal = self.refusal(code, text);
        let outcome = match refusal.run {
            Run::No => Outcome::NotRun(NotRun::Caller),
            Run::Yes | Run::Unknown => Outcome::Broken,
        };
        self.end(outcome);
        refusal
    }

    fn refusal(&self, code: Code, text: &str) -> Refusal {
        let run = if self.stream.next_offset() > 0 {
            Run::Yes
        } else if self.uncertain || !matches!(self.link, Link::Idle) {
            Run::Unknown
        } else {
            Run::No
        };
        Refusal { code, message: text.to_owned(), run, retry_after: None }
    }

    fn end(&mut self, outcome: Outcome) {
        match outcome {
            Outcome::NotRun(_) => {
                if let Some(a) = &mut self.admission {
                    a.note(0, outcome);
                }
            }
            _ => {
                self.drop_attempt();
                self.note(outcome);
            }
        }
        self.admission = None;
        self.link = Link::Ended;
    }

    fn note(&mut self, outcome: Outcome) {
        let used = self.ask.prompt_tokens + self.stream.next_offset();
        if let Some(a) = &mut self.admission {
            a.note(used, outcome);
        }
    }

    // Cancels what may still run on the engine of the dispatch.
    fn drop_attempt(&self) {
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

impl Drop for Answer {
    fn drop(&mut self) {
        if matches!(self.link, Link::Open(_) | Link::Lost) {
            self.drop_attempt();
        }
    }
}

/// Longest wait for the end of the body after the last event.
const DRAIN_LIMIT: Duration = Duration::from_millis(200);

fn drain(mut r: Response) {
    actix_rt::spawn(async move {
        // A connection whose body does not end is closed instead of being pooled.
        let _ =
            tokio::time::timeout(DRAIN_LIMIT, async { while let Some(Ok(_)) = r.next().await {} })
                .await;
    });
}
