//! Endpoints for models, hosts, tickets, health and metrics.

use actix_web::{HttpRequest, HttpResponse, http::header::HeaderValue};
use serde_json::{Value, json};
use yuccawing_core::{rules::Class, ticket::TICKET_TTL};

use super::{
    auth,
    context::{Context, RequestRecord, shared},
    failure::Failure,
};

/// `GET /v1/models`.
pub(super) async fn models(req: HttpRequest) -> Result<HttpResponse, Failure> {
    let shared = shared(&req);
    let snapshot = shared.setup.handle.snapshot();
    auth::authenticate(&snapshot, &req)?;
    let mut ids: Vec<String> = Vec::new();
    for (name, a) in snapshot.adapters.iter() {
        ids.extend(a.versions.iter().map(|v| format!("{name}@{v}")));
    }
    ids.sort_unstable();
    let model = |id| json!({"id": id, "object": "model", "created": 0, "owned_by": "yuccawing"});
    let data: Vec<Value> = ids.into_iter().map(model).collect();
    Ok(HttpResponse::Ok().json(json!({"object": "list", "data": data})))
}

/// `GET /v1/hosts`.
pub(super) async fn hosts(req: HttpRequest) -> HttpResponse {
    HttpResponse::Ok().json(&shared(&req).setup.handle.snapshot().hosts)
}

/// `POST /v1/tickets`.
pub(super) async fn ticket(req: HttpRequest) -> Result<HttpResponse, Failure> {
    let shared = shared(&req);
    let mut record = RequestRecord::new(shared.clone(), &Context::of(&req));
    let account = auth::authenticate(&shared.setup.handle.snapshot(), &req);
    let account = account.map_err(|r| record.failed(r))?;
    record.set_account(account.clone(), Class::default());
    let ticket = shared.setup.handle.ticket(Some(account)).await;
    let ticket = ticket.map_err(|r| record.failed(r))?;
    record.finished();
    let valid_ms = u64::try_from(TICKET_TTL.as_millis()).unwrap_or(u64::MAX);
    Ok(HttpResponse::Ok().json(json!({"ticket": ticket.as_str(), "valid_ms": valid_ms})))
}

/// `GET /healthz`: succeeds while the process runs.
pub(super) async fn health() -> HttpResponse {
    HttpResponse::Ok().json(json!({"ok": true}))
}

/// `GET /readyz`: succeeds while callers should use this host.
pub(super) async fn readiness(req: HttpRequest) -> HttpResponse {
    let shared = shared(&req);
    let snapshot = shared.setup.handle.snapshot();
    let leaving = snapshot.leaving || shared.setup.tracker.phase() != crate::stop::Phase::Open;
    let body = json!({
        "ready": snapshot.ready && !leaving, "leaving": leaving, "version": snapshot.version,
    });
    if snapshot.ready && !leaving {
        HttpResponse::Ok().json(body)
    } else {
        HttpResponse::ServiceUnavailable().json(body)
    }
}

/// `GET /metrics`.
pub(super) async fn metrics(req: HttpRequest) -> HttpResponse {
    let kind = HeaderValue::from_static("text/plain; version=0.0.4");
    HttpResponse::Ok().content_type(kind).body(shared(&req).setup.metrics.render())
}
