//! Plain service: accepts any HTTP call and responds with a digest of the body.

use std::{sync::Mutex, time::Duration};

use actix_web::{
    HttpRequest, HttpResponse,
    web::{self, Data, Json, Query, ServiceConfig},
};
use bytes::Bytes;
use serde::Deserialize;
use serde_json::json;
use sha2::{Digest as _, Sha256};

use crate::common::{
    Journal, JournalQuery, error_response, header_names, header_values, lock, truncated_response,
};

/// State of a plain service.
#[derive(Default)]
pub struct Plain {
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    count: u64,
    faults: Faults,
    journal: Journal,
}

#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct Faults {
    /// Delay of each response in milliseconds.
    delay_ms: u64,
    /// Close the connection in the middle of the response, after the call was executed.
    cut: bool,
    /// Respond with 503 without executing the call.
    down: bool,
}

/// Registers the routes of the service.
pub fn routes(cfg: &mut ServiceConfig, state: Data<Plain>) {
    cfg.app_data(state)
        .route("/control/faults", web::post().to(faults))
        .route("/control/journal", web::get().to(journal))
        .default_service(web::route().to(call));
}

async fn call(s: Data<Plain>, req: HttpRequest, body: Bytes) -> HttpResponse {
    let digest: String = Sha256::digest(&body).iter().map(|b| format!("{b:02x}")).collect();
    let (count, f) = {
        let mut state = lock(&s.state);
        if state.faults.down {
            return error_response(503, "down");
        }
        state.count += 1;
        let count = state.count;
        let id = req.headers().get("x-request-id").and_then(|v| v.to_str().ok());
        state.journal.push(json!({
            "kind": "call", "method": req.method().as_str(), "path": req.path(),
            "query": req.query_string(), "request_id": id, "headers": header_names(&req),
            "header_values": header_values(&req), "body_digest": digest,
            "body": String::from_utf8_lossy(&body), "count": count,
        }));
        (count, state.faults)
    };
    tokio::time::sleep(Duration::from_millis(f.delay_ms)).await;
    if f.cut {
        return truncated_response(Bytes::from_static(b"{"));
    }
    HttpResponse::Ok().json(json!({"path": req.path(), "body_digest": digest, "count": count}))
}

async fn faults(s: Data<Plain>, f: Json<Faults>) -> HttpResponse {
    lock(&s.state).faults = *f;
    HttpResponse::Ok().json(json!({}))
}

async fn journal(s: Data<Plain>, q: Query<JournalQuery>) -> HttpResponse {
    lock(&s.state).journal.response(&q)
}
