//! Reads request bodies with limits on size, time and total memory, and sends complete
//! responses.

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

/// Timeout for a complete body. It keeps slow senders from occupying memory and connections.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Size of the chunks in which a response is passed to the connection.
const RESPONSE_CHUNK_BYTES: usize = 16 * 1024;

/// Body of a complete response. It is passed to the connection in chunks and holds the request's
/// [`RequestGuard`](crate::stop::RequestGuard) until the last one, so a shutdown waits for a caller
/// that reads a large response slowly.
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
        let n = self.rest.len().min(RESPONSE_CHUNK_BYTES);
        Poll::Ready((n > 0).then(|| Ok(self.rest.split_to(n))))
    }
}

/// Limit on the memory that is allocated for a body before it arrives, whatever length is
/// stated.
const MAX_PREALLOCATED_BYTES: usize = 16 * 1024;

/// `Retry-After` of a refusal because the request bodies in memory reach their limit.
const MEMORY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Total size of the request bodies in memory. It has its own limit, because requests may wait for
/// a minute: the maximum body size times the maximum number of connections would be too much.
#[derive(Debug, Default)]
pub(super) struct BodyMemory(AtomicUsize);

/// Memory of one body, counted in [`BodyMemory`] until it is dropped.
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
        Err(refusal.with_retry_after(MEMORY_RETRY_AFTER))
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.memory.0.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// Reads a body within the limits. The caller keeps the reservation for as long as the body.
pub(super) async fn read(
    req: &HttpRequest,
    mut payload: Payload,
    shared: &Shared,
    deadline: Instant,
) -> Result<(Bytes, BodyReservation), Refusal> {
    let (max, max_held) = (shared.setup.limits.body_bytes, shared.setup.limits.held_bytes);
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
