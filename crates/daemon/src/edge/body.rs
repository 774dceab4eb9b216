//! Bodies of requests, bounded in size and time.

use std::time::{Duration, Instant};

use actix_web::{
    HttpRequest,
    http::header::CONTENT_LENGTH,
    web::{Bytes, BytesMut, Payload},
};
use futures::StreamExt;

use crate::control::messages::{Code, Refusal};

/// Longest wait for a whole body. It keeps slow senders from holding memory and connections.
const BODY_LIMIT: Duration = Duration::from_secs(10);

/// Reads a body of at most `max` bytes.
pub(super) async fn read(
    req: &HttpRequest,
    mut payload: Payload,
    max: usize,
    deadline: Instant,
) -> Result<Bytes, Refusal> {
    let length = req.headers().get(CONTENT_LENGTH).and_then(|v| v.to_str().ok()?.parse().ok());
    if length.is_some_and(|n: usize| n > max) {
        return Err(too_large(max));
    }
    let limit = deadline.min(Instant::now() + BODY_LIMIT);
    let whole = async {
        let mut body = BytesMut::with_capacity(length.unwrap_or(0));
        while let Some(part) = payload.next().await {
            let part =
                part.map_err(|_| Refusal::not_run(Code::BadRequest, "the body cannot be read"))?;
            if body.len() + part.len() > max {
                return Err(too_large(max));
            }
            body.extend_from_slice(&part);
        }
        Ok(body.freeze())
    };
    match tokio::time::timeout_at(limit.into(), whole).await {
        Ok(body) => body,
        Err(_) => Err(Refusal::not_run(Code::SlowBody, "the body did not arrive in time")),
    }
}

fn too_large(max: usize) -> Refusal {
    Refusal::not_run(Code::TooLarge, format!("the body is larger than {max} bytes"))
}
