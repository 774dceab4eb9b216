//! Configuration service.

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

use crate::common::{Journal, JournalQuery, PlatformFaults, lock, refuse};

/// Longest wait of a watch.
const WAIT_LIMIT: Duration = Duration::from_secs(60);

/// State of the configuration service.
pub struct Values {
    state: Mutex<State>,
    change: watch::Sender<u64>,
}

#[derive(Default)]
struct State {
    values: HashMap<String, (u64, Bytes)>,
    // Values as of the time `stale` was switched on.
    old: Option<HashMap<String, (u64, Bytes)>>,
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
        self.old.as_ref().unwrap_or(&self.values).get(key).cloned()
    }
}

/// Routes of the service.
pub fn routes(cfg: &mut ServiceConfig, state: Data<Values>) {
    cfg.app_data(state)
        .route("/v1/values/{key:.*}", web::get().to(get))
        .route("/v1/watch/{key:.*}", web::get().to(watch))
        .route("/control/values/{key:.*}", web::put().to(put))
        .route("/control/faults", web::post().to(faults))
        .route("/control/journal", web::get().to(journal));
}

async fn get(s: Data<Values>, key: Path<String>) -> HttpResponse {
    if let Some(r) = enter(&s, "get", &key).await {
        return r;
    }
    match lock(&s.state).get(&key) {
        Some(v) => value(v),
        None => refuse(404, "unknown_key"),
    }
}

async fn watch(s: Data<Values>, key: Path<String>, q: Query<Watch>) -> HttpResponse {
    if let Some(r) = enter(&s, "watch", &key).await {
        return r;
    }
    let end = Instant::now() + Duration::from_millis(q.wait_ms).min(WAIT_LIMIT);
    let mut change = s.change.subscribe();
    loop {
        change.mark_unchanged();
        {
            let state = lock(&s.state);
            if state.faults.down {
                return refuse(503, "down");
            }
            if let Some(v) = state.get(&key).filter(|v| v.0 > q.after) {
                return value(v);
            }
        }
        let left = end.saturating_duration_since(Instant::now());
        if timeout(left, change.changed()).await.is_err() {
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
        let kind = json!({"kind": "write", "key": &*key, "revision": revision});
        state.journal.push(kind);
        revision
    };
    s.change.send_modify(|n| *n += 1);
    HttpResponse::Ok().json(json!({"revision": revision}))
}

async fn faults(s: Data<Values>, f: Json<PlatformFaults>) -> HttpResponse {
    {
        let mut state = lock(&s.state);
        state.faults = *f;
        match (f.stale, state.old.is_some()) {
            (true, false) => state.old = Some(state.values.clone()),
            (false, _) => state.old = None,
            _ => {}
        }
    }
    s.change.send_modify(|n| *n += 1);
    HttpResponse::Ok().json(json!({}))
}

async fn journal(s: Data<Values>, q: Query<JournalQuery>) -> HttpResponse {
    lock(&s.state).journal.answer(&q)
}

async fn enter(s: &Values, kind: &str, key: &str) -> Option<HttpResponse> {
    let f = {
        let mut state = lock(&s.state);
        state.calls += 1;
        let calls = state.calls;
        state.journal.push(json!({"kind": kind, "key": key, "calls": calls}));
        state.faults
    };
    tokio::time::sleep(Duration::from_millis(f.delay_ms)).await;
    f.down.then(|| refuse(503, "down"))
}

fn value((revision, bytes): (u64, Bytes)) -> HttpResponse {
    HttpResponse::Ok()
        .insert_header(("x-revision", revision.to_string()))
        .content_type("application/octet-stream")
        .body(bytes)
}
