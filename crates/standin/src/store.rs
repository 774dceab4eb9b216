//! Weight store.

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
    common::{Dice, Journal, JournalQuery, lock, refuse},
    settings::StoreSettings,
};

/// State of the weight store.
pub struct Store {
    settings: StoreSettings,
    state: Mutex<State>,
}

struct State {
    tokens: f64,
    filled: Instant,
    flight: u64,
    faults: Faults,
    dice: Dice,
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
    /// A store with a full bucket.
    pub fn new(settings: StoreSettings) -> Self {
        let state = State {
            tokens: burst(&settings),
            filled: Instant::now(),
            flight: 0,
            faults: Faults::default(),
            dice: Dice::default(),
            journal: Journal::default(),
        };
        Self { settings, state: Mutex::new(state) }
    }

    /// Milliseconds that this fetch takes, or why it is refused.
    fn begin(&self, f: &Fetch) -> Result<u64, (u16, &'static str)> {
        let mut s = lock(&self.state);
        let result = self.admit(&mut s, f);
        let (code, flight) = (result.as_ref().err().map(|e| e.1), s.flight);
        s.journal.push(json!({
            "kind": "fetch", "adapter": f.adapter, "version": f.version, "code": code,
            "flight": flight,
        }));
        result
    }

    fn admit(&self, s: &mut State, f: &Fetch) -> Result<u64, (u16, &'static str)> {
        let now = Instant::now();
        let refill = now.duration_since(s.filled).as_secs_f64() * self.settings.rate as f64;
        s.filled = now;
        s.tokens = (s.tokens + refill).min(burst(&self.settings));
        if self.settings.unknown.contains(&f.adapter) {
            return Err((404, "unknown_adapter"));
        }
        if s.tokens < 1.0 {
            return Err((429, "rate"));
        }
        s.tokens -= 1.0;
        let ppm = s.faults.fail_ppm;
        if s.dice.hit(ppm) {
            return Err((500, "failed"));
        }
        s.flight += 1;
        let limit = self.settings.flight.max(1);
        Ok(self.settings.load_ms * s.flight.max(limit) / limit)
    }
}

/// Routes of the store.
pub fn routes(cfg: &mut ServiceConfig, state: Data<Store>) {
    cfg.app_data(state)
        .route("/v1/fetch", web::post().to(fetch))
        .route("/control/faults", web::post().to(faults))
        .route("/control/journal", web::get().to(journal));
}

async fn fetch(s: Data<Store>, f: Json<Fetch>) -> HttpResponse {
    let ms = match s.begin(&f) {
        Ok(ms) => ms,
        Err((status, code)) => return refuse(status, code),
    };
    let _guard = Flight(&s);
    tokio::time::sleep(Duration::from_millis(ms)).await;
    HttpResponse::Ok().json(json!({"adapter": f.adapter, "version": f.version}))
}

async fn faults(s: Data<Store>, f: Json<Faults>) -> HttpResponse {
    lock(&s.state).faults = *f;
    HttpResponse::Ok().json(json!({}))
}

async fn journal(s: Data<Store>, q: Query<JournalQuery>) -> HttpResponse {
    lock(&s.state).journal.answer(&q)
}

/// Counts a load in flight, also when its caller goes away.
struct Flight<'a>(&'a Store);

impl Drop for Flight<'_> {
    fn drop(&mut self) {
        lock(&self.0.state).flight -= 1;
    }
}

fn burst(s: &StoreSettings) -> f64 {
    s.burst.unwrap_or(s.rate * 2).max(1) as f64
}
