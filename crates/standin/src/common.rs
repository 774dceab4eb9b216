//! Journal, fault settings and HTTP helpers that several stand-ins use.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::{SystemTime, UNIX_EPOCH},
};

use actix_web::{HttpRequest, HttpResponse, http::StatusCode};
use bytes::Bytes;
use futures::{StreamExt as _, stream};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

/// Largest request body. Values hold up to 1 MB, and tests also publish larger ones.
pub const MAX_BODY_BYTES: usize = 8 << 20;

/// Later entries are only counted. A run of two minutes at 1,000 requests/s makes 360,000 entries.
const MAX_JOURNAL_ENTRIES: usize = 1_000_000;

/// Locks `m`, ignoring poisoning: the stand-in keeps serving after a handler panicked.
pub fn lock<T>(m: &Mutex<T>) -> MutexGuard<'_, T> {
    m.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns microseconds since the Unix epoch. All processes of a test run on one machine, so times
/// of different processes are comparable.
pub fn now_us() -> u64 {
    let d = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(d.as_micros()).unwrap_or(u64::MAX)
}

/// Log of what a stand-in observed, in order.
#[derive(Debug, Default)]
pub struct Journal {
    entries: Vec<Entry>,
    dropped: u64,
}

/// Entry of a journal. Sequence numbers start at 0 and have no gaps.
#[derive(Clone, Debug, Serialize)]
pub struct Entry {
    seq: u64,
    at_us: u64,
    #[serde(flatten)]
    data: Value,
}

/// Query parameters of a journal request.
#[derive(Debug, Default, Deserialize)]
pub struct JournalQuery {
    /// First sequence number to return.
    #[serde(default)]
    from: usize,
}

impl Journal {
    /// Appends an entry. `data` must be a JSON object.
    pub fn push(&mut self, data: Value) {
        if self.entries.len() >= MAX_JOURNAL_ENTRIES {
            self.dropped += 1;
            return;
        }
        let seq = self.entries.len() as u64;
        self.entries.push(Entry { seq, at_us: now_us(), data });
    }

    /// Returns the entries as `{"entries":[...],"dropped":N}`.
    pub fn response(&self, q: &JournalQuery) -> HttpResponse {
        let entries = self.entries.get(q.from..).unwrap_or_default();
        HttpResponse::Ok().json(json!({"entries": entries, "dropped": self.dropped}))
    }
}

/// Builds a response with the JSON body `{"code": code}`.
pub fn error_response(status: u16, code: &str) -> HttpResponse {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    HttpResponse::build(status).json(json!({"code": code}))
}

/// Returns the names of all request headers as a sorted JSON array.
pub fn header_names(req: &HttpRequest) -> Value {
    let mut names: Vec<_> = req.headers().keys().map(|k| k.as_str().to_owned()).collect();
    names.sort();
    names.dedup();
    json!(names)
}

/// Returns the values of all headers as one text, in which a checker finds a leaked key under any
/// header name.
pub fn header_values(req: &HttpRequest) -> String {
    let values = req.headers().iter().map(|(_, v)| String::from_utf8_lossy(v.as_bytes()));
    values.collect::<Vec<_>>().join("\n")
}

/// Builds a response whose connection is closed after `head`, before the body is complete.
pub fn truncated_response(head: Bytes) -> HttpResponse {
    let body = stream::iter([Ok(head), Err(std::io::Error::other("cut"))]);
    HttpResponse::Ok().content_type("application/json").streaming(body.boxed_local())
}

/// Pseudo-random generator (SplitMix64) with a fixed seed, for reproducible runs.
#[derive(Debug, Default)]
pub struct Random(u64);

impl Random {
    /// Returns true with a probability of `ppm` parts per million.
    pub fn chance(&mut self, ppm: u64) -> bool {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (z ^ (z >> 31)) % 1_000_000 < ppm
    }
}

/// Faults of the configuration service and the host list.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlatformFaults {
    /// Respond with 503.
    pub down: bool,
    /// Serve the state from the moment this was switched on.
    pub stale: bool,
    /// Delay of each response in milliseconds.
    pub delay_ms: u64,
    /// Age in milliseconds of the state that is served (host list only).
    pub lag_ms: u64,
}
