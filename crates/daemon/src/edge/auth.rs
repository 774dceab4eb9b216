//! Authentication of callers and operators by their keys.

use std::time::Duration;

use actix_web::{HttpRequest, http::header::AUTHORIZATION};
use arcstr::ArcStr;

use crate::control::messages::{ErrorCode, KeyHash, Refusal, Snapshot};

/// Keys longer than this are refused without hashing them.
const MAX_KEY_BYTES: usize = 512;

/// `Retry-After` of a refusal while this host does not admit requests.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Returns the account that the key of a request belongs to.
pub(super) fn authenticate(snapshot: &Snapshot, req: &HttpRequest) -> Result<ArcStr, Refusal> {
    if !snapshot.ready {
        let refusal =
            Refusal::not_run(ErrorCode::NotReady, "this host does not admit requests now");
        return Err(refusal.with_retry_after(NOT_READY_RETRY_AFTER));
    }
    let refused = || Refusal::not_run(ErrorCode::BadKey, "a valid key is needed as a bearer token");
    let hash = key_hash(req).ok_or_else(refused)?;
    snapshot.keys.get(&hash).cloned().ok_or_else(refused)
}

/// Checks that a request may use `/admin`.
pub(super) fn authorize_operator(key: Option<&KeyHash>, req: &HttpRequest) -> Result<(), Refusal> {
    let allowed = match key {
        Some(key) => key_hash(req).is_some_and(|h| h == *key),
        None => req.peer_addr().is_some_and(|a| a.ip().is_loopback()),
    };
    if allowed {
        return Ok(());
    }
    Err(Refusal::not_run(
        ErrorCode::BadKey,
        "the operators' key or a loopback connection is needed",
    ))
}

fn key_hash(req: &HttpRequest) -> Option<KeyHash> {
    let value = req.headers().get(AUTHORIZATION)?.as_bytes();
    let (scheme, key) = value.split_at_checked(7)?;
    let key = key.trim_ascii();
    let fits = (1..=MAX_KEY_BYTES).contains(&key.len());
    (scheme.eq_ignore_ascii_case(b"bearer ") && fits).then(|| KeyHash::of(key))
}
