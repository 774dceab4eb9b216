//! Host list of the platform: hosts and upstreams with their addresses and states.

use std::{
    collections::VecDeque,
    sync::Mutex,
    time::{Duration, Instant},
};

use actix_web::{
    HttpRequest, HttpResponse,
    http::header,
    web::{self, Data, Json, ServiceConfig},
};
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::common::{PlatformFaults, error_response, lock};

/// Lists kept to serve an outdated one under the `lag_ms` fault.
const MAX_HISTORY: usize = 64;

/// State of the host list.
pub struct Hosts {
    state: Mutex<State>,
}

struct State {
    // Lists with the time from which each is current, oldest first; never empty.
    history: VecDeque<(Instant, List)>,
    stale_list: Option<List>,
    faults: PlatformFaults,
}

/// Generation and content of the list.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct List {
    generation: u64,
    #[serde(default)]
    hosts: Vec<Host>,
    #[serde(default)]
    upstreams: Vec<Upstream>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Host {
    name: String,
    ordinal: u8,
    domain: String,
    http: String,
    peer: String,
    state: ListedState,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Upstream {
    name: String,
    state: ListedState,
}

#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
enum ListedState {
    Live,
    Leaving,
}

impl Default for Hosts {
    fn default() -> Self {
        let history = VecDeque::from([(Instant::now(), List::default())]);
        let state = State { history, stale_list: None, faults: PlatformFaults::default() };
        Self { state: Mutex::new(state) }
    }
}

impl State {
    fn current(&self) -> &List {
        if let Some(list) = &self.stale_list {
            return list;
        }
        let lag = Duration::from_millis(self.faults.lag_ms);
        let now = Instant::now();
        let listed = self.history.iter().rev().find(|(at, _)| now.duration_since(*at) >= lag);
        &listed.unwrap_or(&self.history[0]).1
    }
}

/// Registers the routes of the list.
pub fn routes(cfg: &mut ServiceConfig, state: Data<Hosts>) {
    cfg.app_data(state)
        .route("/v1/hosts", web::get().to(get))
        .route("/control/hosts", web::put().to(put))
        .route("/control/faults", web::post().to(faults));
}

async fn get(s: Data<Hosts>, request: HttpRequest) -> HttpResponse {
    let f = lock(&s.state).faults;
    tokio::time::sleep(Duration::from_millis(f.delay_ms)).await;
    if f.down {
        return error_response(503, "down");
    }
    let list = lock(&s.state).current().clone();
    let tag = format!("\"{}\"", list.generation);
    let known = request.headers().get(header::IF_NONE_MATCH);
    if known.is_some_and(|k| k.as_bytes() == tag.as_bytes()) {
        return HttpResponse::NotModified().finish();
    }
    HttpResponse::Ok().insert_header((header::ETAG, tag)).json(list)
}

async fn put(s: Data<Hosts>, list: Json<List>) -> HttpResponse {
    let mut state = lock(&s.state);
    state.history.push_back((Instant::now(), list.into_inner()));
    if state.history.len() > MAX_HISTORY {
        state.history.pop_front();
    }
    HttpResponse::Ok().json(json!({}))
}

async fn faults(s: Data<Hosts>, f: Json<PlatformFaults>) -> HttpResponse {
    let mut state = lock(&s.state);
    match (f.stale, state.stale_list.is_some()) {
        (true, false) => state.stale_list = Some(state.current().clone()),
        (false, _) => state.stale_list = None,
        _ => {}
    }
    state.faults = *f;
    HttpResponse::Ok().json(json!({}))
}
