//! Weight store: limits the rate of fetches and slows down when many are in flight.

use std::{
    sync::Mutex,
    time::{Duration, Instant},
};

use actix_web::{
    HttpResponse,
    web::{self, Data, Json, Query, ServiceConfig},
};
use serde::Deserialize;
use serde_json::json;

use crate::{
    common::{Journal, JournalQuery, Random, error_response, lock},
    settings::StoreSettings,
};

/// State of the weight store.
pub struct Store {
    settings: StoreSettings,
    state: Mutex<State>,
}

struct State {
    tokens: f64,
    refilled_at: Instant,
    inflight: u64,
    faults: Faults,
    random: Random,
    journal: Journal,
}

#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct Faults {
    fail_ppm: u64,
}

#[derive(Deserialize)]
struct Fetch {
    adapter: String,
    version: String,
}

impl Store {
    /// Creates a store with a full token bucket.
    pub fn new(settings: StoreSettings) -> Self {
        let state = State {
            tokens: burst_size(&settings),
            refilled_at: Instant::now(),
            inflight: 0,
            faults: Faults::default(),
            random: Random::default(),
            journal: Journal::default(),
        };
        Self { settings, state: Mutex::new(state) }
    }

    /// Admits and records a fetch. Returns its duration in milliseconds, or the status and code of
    /// the error.
    fn start_fetch(&self, f: &Fetch) -> Result<u64, (u16, &'static str)> {
        let mut s = lock(&self.state);
        let result = self.admit(&mut s, f);
        let (code, inflight) = (result.as_ref().err().map(|e| e.1), s.inflight);
        s.journal.push(json!({
            "kind": "fetch", "adapter": f.adapter, "version": f.version, "code": code,
            "flight": inflight,
        }));
        result
    }

    fn admit(&self, s: &mut State, f: &Fetch) -> Result<u64, (u16, &'static str)> {
        let now = Instant::now();
        let refill = now.duration_since(s.refilled_at).as_secs_f64() * self.settings.rate as f64;
        s.refilled_at = now;
        s.tokens = (s.tokens + refill).min(burst_size(&self.settings));
        if self.settings.unknown.contains(&f.adapter) {
            return Err((404, "unknown_adapter"));
        }
        if s.tokens < 1.0 {
            return Err((429, "rate"));
        }
        s.tokens -= 1.0;
        let ppm = s.faults.fail_ppm;
        if s.random.chance(ppm) {
            return Err((500, "failed"));
        }
        s.inflight += 1;
        let limit = self.settings.flight.max(1);
        Ok(self.settings.load_ms * s.inflight.max(limit) / limit)
    }
}

/// Registers the routes of the store.
pub fn routes(cfg: &mut ServiceConfig, state: Data<Store>) {
    cfg.app_data(state)
        .route("/v1/fetch", web::post().to(fetch))
        .route("/control/faults", web::post().to(faults))
        .route("/control/journal", web::get().to(journal));
}

async fn fetch(s: Data<Store>, f: Json<Fetch>) -> HttpResponse {
    let ms = match s.start_fetch(&f) {
        Ok(ms) => ms,
        Err((status, code)) => return error_response(status, code),
    };
    let _guard = InflightGuard(&s);
    tokio::time::sleep(Duration::from_millis(ms)).await;
    HttpResponse::Ok().json(json!({"adapter": f.adapter, "version": f.version}))
}

async fn faults(s: Data<Store>, f: Json<Faults>) -> HttpResponse {
    lock(&s.state).faults = *f;
    HttpResponse::Ok().json(json!({}))
}

async fn journal(s: Data<Store>, q: Query<JournalQuery>) -> HttpResponse {
    lock(&s.state).journal.response(&q)
}

/// Ends a fetch in flight on drop, also if the caller disconnects.
struct InflightGuard<'a>(&'a Store);

impl Drop for InflightGuard<'_> {
    fn drop(&mut self) {
        lock(&self.0.state).inflight -= 1;
    }
}

fn burst_size(s: &StoreSettings) -> f64 {
    s.burst.unwrap_or(s.rate * 2).max(1) as f64
}
