//! What several stand-ins share.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::{SystemTime, UNIX_EPOCH},
};

use actix_web::{HttpRequest, HttpResponse, http::StatusCode};
use bytes::Bytes;
use futures::{StreamExt as _, stream};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

/// Largest body in bytes: values hold up to 1 MB, and a test may try a larger one.
pub const MAX_BODY_BYTES: usize = 8 << 20;

/// Entries a journal keeps. A run of two minutes at 1,000 requests/s makes 360,000.
const MAX_JOURNAL_ENTRIES: usize = 1_000_000;

/// Locks `m`; a panic of another handler does not end the stand-in.
pub fn lock<T>(m: &Mutex<T>) -> MutexGuard<'_, T> {
    m.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Microseconds since the Unix epoch. All processes of a test run on one machine, so a checker may
/// compare these times.
pub fn now_us() -> u64 {
    let d = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(d.as_micros()).unwrap_or(u64::MAX)
}

/// What a stand-in observed, in order.
#[derive(Debug, Default)]
pub struct Journal {
    entries: Vec<Entry>,
    dropped: u64,
}

/// One observation. `seq` counts from 0 and never skips.
#[derive(Clone, Debug, Serialize)]
pub struct Entry {
    seq: u64,
    at_us: u64,
    #[serde(flatten)]
    data: Value,
}

/// Query of a journal.
#[derive(Debug, Default, Deserialize)]
pub struct JournalQuery {
    /// First sequence number wanted.
    #[serde(default)]
    from: usize,
}

impl Journal {
    /// Appends an observation; `what` is a JSON object.
    pub fn push(&mut self, data: Value) {
        if self.entries.len() >= MAX_JOURNAL_ENTRIES {
            self.dropped += 1;
            return;
        }
        let seq = self.entries.len() as u64;
        self.entries.push(Entry { seq, at_us: now_us(), data });
    }

    /// The journal as `{"entries":[...],"dropped":N}`.
    pub fn response(&self, q: &JournalQuery) -> HttpResponse {
        let entries = self.entries.get(q.from..).unwrap_or_default();
        HttpResponse::Ok().json(json!({"entries": entries, "dropped": self.dropped}))
    }
}

/// Answer with a JSON body `{"code": code}`.
pub fn error_response(status: u16, code: &str) -> HttpResponse {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    HttpResponse::build(status).json(json!({"code": code}))
}

/// Headers of a request by name, for the journal.
pub fn header_names(req: &HttpRequest) -> Value {
    let mut names: Vec<_> = req.headers().keys().map(|k| k.as_str().to_owned()).collect();
    names.sort();
    names.dedup();
    json!(names)
}

/// Values of all headers in one text, so that a checker finds a key under any header name.
pub fn header_values(req: &HttpRequest) -> String {
    let values = req.headers().iter().map(|(_, v)| String::from_utf8_lossy(v.as_bytes()));
    values.collect::<Vec<_>>().join("\n")
}

/// A response whose connection breaks after `head`.
pub fn truncated_response(head: Bytes) -> HttpResponse {
    let body = stream::iter([Ok(head), Err(std::io::Error::other("cut"))]);
    HttpResponse::Ok().content_type("application/json").streaming(body.boxed_local())
}

/// Pseudo-random numbers from a counter, so that a run repeats.
#[derive(Debug, Default)]
pub struct Random(u64);

impl Random {
    /// True with a chance of `ppm` parts per million.
    pub fn chance(&mut self, ppm: u64) -> bool {
        // SplitMix64.
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (z ^ (z >> 31)) % 1_000_000 < ppm
    }
}

/// Faults of the platform's services.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlatformFaults {
    /// Answer 503.
    pub down: bool,
    /// Serve the state as of the time this was switched on.
    pub stale: bool,
    /// Milliseconds before each answer.
    pub delay_ms: u64,
    /// Milliseconds by which the state served is late (host list only).
    pub lag_ms: u64,
}
