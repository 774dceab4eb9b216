//! Body of a complete response, which its caller may read slowly.

use std::convert::Infallible;

use actix_web::{HttpResponse, HttpResponseBuilder, body::SizedStream};
use bytes::Bytes;
use futures::stream;

use crate::front::edge::OpenCalls;

/// Size in bytes of the parts in which the HTTP server gets a body. It takes the next part when it has
/// written most of the one before.
const PART_BYTES: usize = 32 * 1024;

/// Completes a response with a body. The call stays open until the server has taken the last part, so
/// that the host does not exit while the caller reads.
pub(super) fn finish(
    mut response: HttpResponseBuilder,
    body: Bytes,
    open: &OpenCalls,
) -> HttpResponse {
    if body.len() <= PART_BYTES {
        return response.body(body);
    }
    let size = body.len() as u64;
    let parts = stream::unfold((body, open.enter()), |(mut rest, call)| async move {
        if rest.is_empty() {
            return None;
        }
        let part = rest.split_to(PART_BYTES.min(rest.len()));
        Some((Ok::<_, Infallible>(part), (rest, call)))
    });
    response.body(SizedStream::new(size, Box::pin(parts)))
}
