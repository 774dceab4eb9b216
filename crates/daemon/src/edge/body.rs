//! Bodies of requests, bounded in size and time, and bodies of whole answers.

use std::{
    convert::Infallible,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    task::{self, Poll},
    time::{Duration, Instant},
};

use actix_web::{
    HttpRequest,
    body::{BodySize, MessageBody},
    http::header::CONTENT_LENGTH,
    web::{Bytes, BytesMut, Payload},
};
use futures::StreamExt;

use super::{Shared, context::Context};
use crate::control::messages::{ErrorCode, Refusal};

/// Longest wait for a whole body. It keeps slow senders from holding memory and connections.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Part of an answer that is handed to a connection at once, in bytes.
const ANSWER_PART_BYTES: usize = 16 * 1024;

/// A whole answer. It is handed over in parts and keeps the gate's pass until the last one, so that
/// a shutdown waits for a caller that reads a large answer slowly.
pub(super) struct CompleteBody {
    rest: Bytes,
    _context: Context,
}

impl CompleteBody {
    pub(super) fn new(bytes: Bytes, context: Context) -> Self {
        Self { rest: bytes, _context: context }
    }
}

impl MessageBody for CompleteBody {
    type Error = Infallible;

    fn size(&self) -> BodySize {
        BodySize::Sized(self.rest.len() as u64)
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        _: &mut task::Context<'_>,
    ) -> Poll<Option<Result<Bytes, Infallible>>> {
        let n = self.rest.len().min(ANSWER_PART_BYTES);
        Poll::Ready((n > 0).then(|| Ok(self.rest.split_to(n))))
    }
}

/// Memory that is set aside for a body of a stated length before it arrives, in bytes.
const MAX_PREALLOCATED_BYTES: usize = 16 * 1024;

/// Retry-After while too many bytes of bodies are held.
const HELD_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Bytes of request bodies that this host holds. Requests may wait for a minute, so a limit per
/// body and one on connections do not bound their memory together.
#[derive(Debug, Default)]
pub(super) struct BodyMemory(AtomicUsize);

/// A part of the account, until it is dropped.
pub(super) struct BodyReservation {
    memory: Arc<BodyMemory>,
    bytes: usize,
}

impl BodyReservation {
    fn add(&mut self, bytes: usize, max: usize) -> Result<(), Refusal> {
        let before = self.memory.0.fetch_add(bytes, Ordering::Relaxed);
        self.bytes += bytes;
        if before + bytes <= max {
            return Ok(());
        }
        let refusal = Refusal::not_run(ErrorCode::Overloaded, "this host holds too many bodies");
        Err(refusal.with_retry_after(HELD_RETRY_AFTER))
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.memory.0.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// Reads a body within the limits.
pub(super) async fn read(
    req: &HttpRequest,
    mut payload: Payload,
    shared: &Shared,
    deadline: Instant,
) -> Result<(Bytes, BodyReservation), Refusal> {
    let (max, max_held) = (shared.setup.limits.body, shared.setup.limits.held);
    let mut held = BodyReservation { memory: shared.body_memory.clone(), bytes: 0 };
    let length = req.headers().get(CONTENT_LENGTH).and_then(|v| v.to_str().ok()?.parse().ok());
    if length.is_some_and(|n: usize| n > max) {
        return Err(too_large(max));
    }
    let limit = deadline.min(Instant::now() + BODY_TIMEOUT);
    let whole = async {
        let mut body = BytesMut::with_capacity(length.unwrap_or(0).min(MAX_PREALLOCATED_BYTES));
        while let Some(part) = payload.next().await {
            let part = part
                .map_err(|_| Refusal::not_run(ErrorCode::BadRequest, "the body cannot be read"))?;
            if body.len() + part.len() > max {
                return Err(too_large(max));
            }
            held.add(part.len(), max_held)?;
            body.extend_from_slice(&part);
        }
        Ok((body.freeze(), held))
    };
    match tokio::time::timeout_at(limit.into(), whole).await {
        Ok(body) => body,
        Err(_) => Err(Refusal::not_run(ErrorCode::SlowBody, "the body did not arrive in time")),
    }
}

fn too_large(max: usize) -> Refusal {
    Refusal::not_run(ErrorCode::TooLarge, format!("the body is larger than {max} bytes"))
}
