//! Configuration service: versioned values by key, with a long-polling watch.

use std::{
    collections::HashMap,
    sync::Mutex,
    time::{Duration, Instant},
};

use actix_web::{
    HttpResponse,
    web::{self, Data, Json, Path, Query, ServiceConfig},
};
use bytes::Bytes;
use serde::Deserialize;
use serde_json::json;
use tokio::{sync::watch, time::timeout};

use crate::common::{Journal, JournalQuery, PlatformFaults, error_response, lock};

/// Limit on the `wait_ms` of a watch.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(60);

/// State of the configuration service.
pub struct Values {
    state: Mutex<State>,
    change: watch::Sender<u64>,
}

#[derive(Default)]
struct State {
    values: HashMap<String, (u64, Bytes)>,
    // Copy of the values from when the `stale` fault was switched on; served instead of `values`.
    stale_values: Option<HashMap<String, (u64, Bytes)>>,
    faults: PlatformFaults,
    calls: u64,
    journal: Journal,
}

#[derive(Deserialize)]
struct Watch {
    #[serde(default)]
    after: u64,
    #[serde(default)]
    wait_ms: u64,
}

impl Default for Values {
    fn default() -> Self {
        Self { state: Mutex::default(), change: watch::channel(0).0 }
    }
}

impl State {
    fn get(&self, key: &str) -> Option<(u64, Bytes)> {
        self.stale_values.as_ref().unwrap_or(&self.values).get(key).cloned()
    }
}

/// Registers the routes of the service.
pub fn routes(cfg: &mut ServiceConfig, state: Data<Values>) {
    cfg.app_data(state)
        .route("/v1/values/{key:.*}", web::get().to(get))
        .route("/v1/watch/{key:.*}", web::get().to(watch))
        .route("/control/values/{key:.*}", web::put().to(put))
        .route("/control/faults", web::post().to(faults))
        .route("/control/journal", web::get().to(journal));
}

async fn get(s: Data<Values>, key: Path<String>) -> HttpResponse {
    if let Some(r) = start_call(&s, "get", &key).await {
        return r;
    }
    match lock(&s.state).get(&key) {
        Some(v) => value_response(v),
        None => error_response(404, "unknown_key"),
    }
}

async fn watch(s: Data<Values>, key: Path<String>, q: Query<Watch>) -> HttpResponse {
    if let Some(r) = start_call(&s, "watch", &key).await {
        return r;
    }
    let deadline = Instant::now() + Duration::from_millis(q.wait_ms).min(MAX_WATCH_WAIT);
    let mut change = s.change.subscribe();
    loop {
        change.mark_unchanged();
        {
            let state = lock(&s.state);
            if state.faults.down {
                return error_response(503, "down");
            }
            if let Some(v) = state.get(&key).filter(|v| v.0 > q.after) {
                return value_response(v);
            }
        }
        let remaining = deadline.saturating_duration_since(Instant::now());
        if timeout(remaining, change.changed()).await.is_err() {
            return HttpResponse::NotModified().finish();
        }
    }
}

async fn put(s: Data<Values>, key: Path<String>, body: Bytes) -> HttpResponse {
    let revision = {
        let mut state = lock(&s.state);
        let v = state.values.entry(key.clone()).or_default();
        *v = (v.0 + 1, body);
        let revision = v.0;
        let entry = json!({"kind": "write", "key": &*key, "revision": revision});
        state.journal.push(entry);
        revision
    };
    s.change.send_modify(|n| *n += 1);
    HttpResponse::Ok().json(json!({"revision": revision}))
}

async fn faults(s: Data<Values>, f: Json<PlatformFaults>) -> HttpResponse {
    {
        let mut state = lock(&s.state);
        state.faults = *f;
        match (f.stale, state.stale_values.is_some()) {
            (true, false) => state.stale_values = Some(state.values.clone()),
            (false, _) => state.stale_values = None,
            _ => {}
        }
    }
    s.change.send_modify(|n| *n += 1);
    HttpResponse::Ok().json(json!({}))
}

async fn journal(s: Data<Values>, q: Query<JournalQuery>) -> HttpResponse {
    lock(&s.state).journal.response(&q)
}

async fn start_call(s: &Values, kind: &str, key: &str) -> Option<HttpResponse> {
    let f = {
        let mut state = lock(&s.state);
        state.calls += 1;
        let calls = state.calls;
        state.journal.push(json!({"kind": kind, "key": key, "calls": calls}));
        state.faults
    };
    tokio::time::sleep(Duration::from_millis(f.delay_ms)).await;
    f.down.then(|| error_response(503, "down"))
}

fn value_response((revision, bytes): (u64, Bytes)) -> HttpResponse {
    HttpResponse::Ok()
        .insert_header(("x-revision", revision.to_string()))
        .content_type("application/octet-stream")
        .body(bytes)
}
