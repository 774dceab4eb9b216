//! Calls to plain services, with retries if the route is idempotent.

use std::{
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use awc::{
    ClientRequest,
    http::{
        Method, StatusCode,
        header::{ACCEPT, CONTENT_LENGTH, CONTENT_TYPE, HeaderValue},
    },
};
use bytes::{Bytes, BytesMut};
use futures::StreamExt;
use serde::de::IgnoredAny;
use yuccawing_core::retry::Cause;

use super::{Response, Upstreams, failure_cause, time_left};
use crate::{
    control::messages::{Admission, ErrorCode, Executed, NotRunReason, Outcome, Refusal},
    events::Event,
};

/// Limit on the body of a response, which is buffered until it is complete.
pub const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;

/// A call to a plain service. Other headers of the caller, such as its API key, are not forwarded.
#[derive(Clone, Debug)]
pub struct PlainCall {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub target: String,
    /// Header `accept` of the caller.
    pub accept: Option<HeaderValue>,
    /// Header `content-type` of the caller.
    pub content: Option<HeaderValue>,
    /// Complete request body.
    pub body: Bytes,
    /// Whether it may be sent again after a failure.
    pub idempotent: bool,
    /// Cost in tokens.
    pub cost: u64,
}

/// Complete response of a plain service.
#[derive(Clone, Debug)]
pub struct PlainResponse {
    /// HTTP status, which may be an error of the service.
    pub status: StatusCode,
    /// Header `content-type`.
    pub content: Option<HeaderValue>,
    /// Complete response body.
    pub body: Bytes,
}

struct Failure {
    cause: Cause,
    // Whether part of the response was received.
    began: bool,
    text: String,
}

/// Runs a call, with retries if it is idempotent.
///
/// # Errors
///
/// There is no complete response. [`Executed::No`] only if no connection could be opened.
pub async fn call(
    up: &Rc<Upstreams>,
    mut a: Admission,
    call: PlainCall,
) -> Result<PlainResponse, Refusal> {
    up.count_request();
    let mut retries = 0;
    let mut may_have_run = false;
    loop {
        let deadline = a.deadline();
        if time_left(deadline).is_zero() {
            return Err(refusal(ErrorCode::Deadline, may_have_run, false, "the deadline passed"));
        }
        a.set_outcome(call.cost, Outcome::Failed);
        let f = match attempt(up, &a, &call, retries).await {
            Ok(response) => {
                a.set_outcome(call.cost, Outcome::Finished);
                return Ok(response);
            }
            Err(f) => f,
        };
        may_have_run |= f.cause != Cause::Connect;
        let (event, reason, code) = match f.cause {
            Cause::Connect => {
                (Event::UpstreamConnect, NotRunReason::ConnectFailed, ErrorCode::NoUpstream)
            }
            _ => (Event::UpstreamSilent, NotRunReason::NoAnswer, ErrorCode::UpstreamFailed),
        };
        up.warn(event, &a.id().to_string(), &a.dispatch().upstream, &f.text);
        if !up.may_retry(retries, call.idempotent, f.cause, deadline) {
            if !may_have_run {
                a.set_outcome(0, Outcome::NotRun(reason));
            }
            let code = if time_left(deadline).is_zero() { ErrorCode::Deadline } else { code };
            return Err(refusal(code, may_have_run, f.began, &f.text));
        }
        retries += 1;
        a = a.retry(reason).await.map_err(|r| match may_have_run {
            true => Refusal { executed: Executed::Unknown, ..r },
            false => r,
        })?;
    }
}

async fn attempt(
    up: &Upstreams,
    a: &Admission,
    call: &PlainCall,
    retries: u32,
) -> Result<PlainResponse, Failure> {
    // An attempt of an idempotent call has its own timeout, so that a silent connection leaves time
    // for another attempt. A call that must not be repeated may take until its deadline.
    let left = time_left(a.deadline());
    let limit = if call.idempotent { left.min(up.timeouts.plain_attempt) } else { left };
    let end = Instant::now() + limit;
    let request = request(up, a, call, retries).timeout(limit);
    let r = request.send_body(call.body.clone()).await.map_err(|e| Failure {
        cause: failure_cause(&e),
        began: false,
        text: e.to_string(),
    })?;
    let (status, headers) = (r.status(), r.headers());
    let content = headers.get(CONTENT_TYPE).cloned();
    let length = headers.get(CONTENT_LENGTH).and_then(|v| v.to_str().ok()?.parse().ok());
    let broken = |text: &str| Failure { cause: Cause::Unknown, began: true, text: text.to_owned() };
    if !(200..600).contains(&status.as_u16()) {
        return Err(broken("the status is none of a final answer"));
    }
    let body = match tokio::time::timeout_at(end.into(), read(r)).await {
        Ok(Ok(body)) => body,
        Ok(Err(text)) => return Err(broken(text)),
        Err(_) => return Err(broken("the answer did not end in time")),
    };
    if call.method == Method::HEAD || is_complete(status, length, &body) {
        Ok(PlainResponse { status, content, body })
    } else {
        Err(broken("the answer is cut"))
    }
}

fn request(up: &Upstreams, a: &Admission, call: &PlainCall, retries: u32) -> ClientRequest {
    let pooled = call.idempotent && retries == 0;
    let client = if pooled { &up.pooled } else { &up.unpooled };
    let url = url(a.dispatch().addr, &call.target);
    let mut r = client.request(call.method.clone(), url).no_decompress();
    if !pooled {
        r = r.force_close();
    }
    if let Some(v) = &call.accept {
        r = r.insert_header((ACCEPT, v.clone()));
    }
    if let Some(v) = &call.content {
        r = r.insert_header((CONTENT_TYPE, v.clone()));
    }
    r.insert_header(("x-request-id", a.id().to_string()))
}

fn url(addr: SocketAddr, target: &str) -> String {
    format!("http://{addr}{target}")
}

async fn read(mut r: Response) -> Result<Bytes, &'static str> {
    let mut body = BytesMut::new();
    while let Some(part) = r.next().await {
        body.extend_from_slice(&part.map_err(|_| "the answer broke off")?);
        if body.len() > MAX_RESPONSE_BYTES {
            return Err("the answer is longer than 8 MiB");
        }
    }
    Ok(body.freeze())
}

// The client takes a connection that closes between two chunks for the end of the body. A response
// without a length therefore counts as complete only if it is a complete JSON value.
fn is_complete(status: StatusCode, length: Option<usize>, body: &[u8]) -> bool {
    match length {
        Some(n) => n == body.len(),
        None if status == StatusCode::NO_CONTENT || status == StatusCode::NOT_MODIFIED => true,
        None => serde_json::from_slice::<IgnoredAny>(body).is_ok(),
    }
}

fn refusal(code: ErrorCode, may_have_run: bool, began: bool, text: &str) -> Refusal {
    let executed = match (began, may_have_run) {
        (true, _) => Executed::Yes,
        (false, true) => Executed::Unknown,
        (false, false) => Executed::No,
    };
    let retry_after = (executed == Executed::No).then_some(Duration::from_secs(1));
    Refusal { code, message: text.to_owned(), executed, retry_after }
}
