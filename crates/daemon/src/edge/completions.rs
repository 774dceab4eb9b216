//! `POST /v1/completions` and `POST /v1/chat/completions`.

use std::{
    cell::RefCell,
    hash::{DefaultHasher, Hash, Hasher},
    io,
    rc::Rc,
    time::{Instant, SystemTime, UNIX_EPOCH},
};

use actix_web::{
    HttpRequest, HttpResponse,
    http::header::{CACHE_CONTROL, HeaderMap},
    web::{Bytes, Payload},
};
use arcstr::ArcStr;
use futures::{Stream, stream};
use tokio::sync::mpsc;
use yuccawing_core::rules::Class;

use super::{
    Shared, auth, body,
    completion_body::{CompletionBody, CompletionKind},
    context::{Context, RequestRecord, shared, upstreams},
    failure::Failure,
    render::Renderer,
};
use crate::{
    control::messages::{Admit, ErrorCode, Executed, Refusal, Snapshot},
    upstream::engine::{AnswerPart, CompletionRequest, CompletionStream},
};

/// Assumed size of a token, to estimate the cost of a prompt.
const BYTES_PER_TOKEN: usize = 4;

/// Number of bytes at the start of the prompt that are hashed. Requests with the same hash prefer
/// the same engine, which may have the prefix in its cache.
const PREFIX_BYTES: usize = 256;

/// Limit on the chunks buffered for a caller that reads slowly. When it is reached, reading from
/// the engine pauses.
const MAX_QUEUED_CHUNKS: usize = 32;

/// Limit on the text of an answer that is not streamed, in bytes.
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// `POST /v1/completions`.
pub(super) async fn text(req: HttpRequest, payload: Payload) -> Result<HttpResponse, Failure> {
    complete(req, payload, CompletionKind::Text).await
}

/// `POST /v1/chat/completions`.
pub(super) async fn chat(req: HttpRequest, payload: Payload) -> Result<HttpResponse, Failure> {
    complete(req, payload, CompletionKind::Chat).await
}

async fn complete(
    req: HttpRequest,
    payload: Payload,
    kind: CompletionKind,
) -> Result<HttpResponse, Failure> {
    let (context, shared) = (Context::of(&req), shared(&req));
    let mut record = RequestRecord::new(shared.clone(), &context);
    match run(&req, payload, kind, &context, &shared, &mut record).await {
        Ok(Started::Whole(value)) => {
            record.finished();
            let body = body::CompleteBody::new(value.to_string().into(), context);
            Ok(HttpResponse::Ok().content_type("application/json").body(body))
        }
        Ok(Started::Stream(job)) => {
            let body = stream_body(context, job, record);
            Ok(HttpResponse::Ok()
                .content_type("text/event-stream")
                .insert_header((CACHE_CONTROL, "no-cache"))
                .streaming(body))
        }
        Err(r) => Err(record.failed(r).into()),
    }
}

enum Started {
    Whole(serde_json::Value),
    Stream(Box<StreamJob>),
}

// A stream whose first part has been received.
struct StreamJob {
    answer: CompletionStream,
    render: Renderer,
    first: AnswerPart,
    // Whether an additional last chunk reports the usage.
    usage: bool,
    deadline: Instant,
}

async fn run(
    req: &HttpRequest,
    payload: Payload,
    kind: CompletionKind,
    context: &Context,
    shared: &Shared,
    record: &mut RequestRecord,
) -> Result<Started, Refusal> {
    let setup = &shared.setup;
    let deadline = context.deadline(req)?;
    let account = auth::authenticate(&setup.handle.snapshot(), req)?;
    record.set_account(account.clone(), Class::default());
    // The body counts as memory in use until the first token, after which the prompt is freed.
    let (bytes, _held) = body::read(req, payload, shared, deadline).await?;
    let request = CompletionBody::read(kind, &bytes)
        .map_err(|e| Refusal::not_run(ErrorCode::BadRequest, e.to_string()))?;
    drop(bytes);
    let (adapter, version, class) = resolve(&setup.handle.snapshot(), &request.model)?;
    let class = effective_class(class, req.headers())?;
    record.set_account(account.clone(), class);

    let prompt_tokens = request.prompt.len().div_ceil(BYTES_PER_TOKEN).max(1) as u64;
    let model = format!("{adapter}@{version}");
    let admit = Admit {
        id: context.id,
        account,
        adapter,
        version,
        class,
        cost: prompt_tokens + request.max_tokens,
        deadline,
        prefix: prefix_hash(&request.prompt),
    };
    let admission = setup.handle.admit(admit).await?;
    let render =
        Renderer::new(kind, &context.id.to_string(), unix_seconds(), model, request.max_tokens);
    let engine = CompletionRequest {
        prompt: request.prompt,
        max_tokens: request.max_tokens,
        prompt_tokens,
        sampling: request.sampling,
    };
    let mut answer = CompletionStream::new(upstreams(req), admission, engine);
    // The response head is sent after the first part, so that an error before it has its own
    // status.
    let Some(first) = answer.next().await? else {
        return Err(Refusal::not_run(ErrorCode::Internal, "an answer without any part"));
    };
    record.first_token();
    if request.stream {
        let job = StreamJob { answer, render, first, usage: request.usage, deadline };
        return Ok(Started::Stream(Box::new(job)));
    }
    collect_answer(answer, &render, first).await.map(Started::Whole)
}

async fn collect_answer(
    mut answer: CompletionStream,
    render: &Renderer,
    first: AnswerPart,
) -> Result<serde_json::Value, Refusal> {
    let mut text = String::new();
    let mut part = Some(first);
    loop {
        match part {
            Some(AnswerPart::Token(t)) if text.len() + t.len() <= MAX_ANSWER_BYTES => {
                text.push_str(&t)
            }
            Some(AnswerPart::Token(_)) => {
                let message = "the answer is longer than 8 MiB; ask for a stream".to_owned();
                return Err(Refusal {
                    code: ErrorCode::TooLarge,
                    message,
                    executed: Executed::Yes,
                    retry_after: None,
                });
            }
            Some(AnswerPart::End(usage)) => return Ok(render.whole(&text, usage)),
            None => {
                return Err(Refusal::not_run(ErrorCode::Internal, "an answer without an end"));
            }
        }
        part = answer.next().await?;
    }
}

/// Last chunk of a stream, set when it ends.
type LastChunk = Rc<RefCell<Option<Bytes>>>;

fn stream_body(
    context: Context,
    job: Box<StreamJob>,
    record: RequestRecord,
) -> impl Stream<Item = Result<Bytes, io::Error>> {
    let (tx, rx) = mpsc::channel(MAX_QUEUED_CHUNKS);
    let last = LastChunk::default();
    // Runs in its own task, which ends the request at its deadline even if the caller does not
    // read.
    actix_rt::spawn(forward_stream(job, tx, last.clone(), record));
    stream::unfold((rx, last, context, false), |(mut rx, last, context, ended)| async move {
        if ended {
            return None;
        }
        if let Some(chunk) = rx.recv().await {
            return Some((Ok(chunk), (rx, last, context, false)));
        }
        // Without the last chunk the connection is closed, so that the caller does not take the
        // answer for complete.
        let end =
            last.borrow_mut().take().ok_or_else(|| io::Error::other("the stream is incomplete"));
        Some((end, (rx, last, context, true)))
    })
}

async fn forward_stream(
    job: Box<StreamJob>,
    tx: mpsc::Sender<Bytes>,
    last: LastChunk,
    mut record: RequestRecord,
) {
    let StreamJob { mut answer, render, first, usage, deadline } = *job;
    let end = async {
        if let Some(open) = render.open() {
            send(&tx, open, deadline).await?;
        }
        let mut part = Some(first);
        while let Some(AnswerPart::Token(text)) = part {
            send(&tx, render.token(&text), deadline).await?;
            part = answer.next().await?;
        }
        match part {
            Some(AnswerPart::End(u)) => Ok(render.end(u, usage)),
            _ => Err(Refusal::not_run(ErrorCode::Internal, "an answer without an end")),
        }
    };
    let end = tokio::select! {
        end = end => end,
        // The caller has disconnected. Dropping the answer cancels the request on the engine.
        () = tx.closed() => return,
    };
    *last.borrow_mut() = Some(match end {
        Ok(bytes) => {
            record.finished();
            bytes
        }
        Err(r) => Failure(record.failed(r)).event(),
    });
}

async fn send(tx: &mpsc::Sender<Bytes>, chunk: Bytes, deadline: Instant) -> Result<(), Refusal> {
    let late = || Refusal {
        code: ErrorCode::Deadline,
        message: "the caller did not read the answer before the deadline".to_owned(),
        executed: Executed::Yes,
        retry_after: None,
    };
    // The caller of this function notices a closed channel itself.
    match tokio::time::timeout_at(deadline.into(), tx.send(chunk)).await {
        Ok(_) => Ok(()),
        Err(_) => Err(late()),
    }
}

fn resolve(snapshot: &Snapshot, model: &str) -> Result<(ArcStr, ArcStr, Class), Refusal> {
    let (name, version) = match model.split_once('@') {
        Some((name, version)) => (name, Some(version)),
        None => (model, None),
    };
    let unknown =
        |what: &str| Refusal::not_run(ErrorCode::NotFound, format!("unknown {what}: {model}"));
    let (name, a) = snapshot.adapters.get_key_value(name).ok_or_else(|| unknown("adapter"))?;
    let version = match version {
        Some(v) => a.versions.iter().find(|w| w.as_str() == v),
        None => a.versions.last(),
    };
    let version = version.ok_or_else(|| unknown("version"))?;
    Ok((name.clone(), version.clone(), a.class))
}

// A caller can only lower the class; otherwise all callers would request the highest one.
fn effective_class(class: Class, headers: &HeaderMap) -> Result<Class, Refusal> {
    let Some(v) = headers.get("x-class") else { return Ok(class) };
    let asked = match v.as_bytes() {
        b"status" => Class::Status,
        b"interactive" => Class::Interactive,
        b"drafting" => Class::Drafting,
        _ => {
            let message = "x-class must be status, interactive or drafting";
            return Err(Refusal::not_run(ErrorCode::BadRequest, message));
        }
    };
    Ok(class.max(asked))
}

fn prefix_hash(prompt: &str) -> u64 {
    let mut h = DefaultHasher::new();
    prompt.as_bytes()[..prompt.len().min(PREFIX_BYTES)].hash(&mut h);
    h.finish()
}

fn unix_seconds() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_secs())
}
