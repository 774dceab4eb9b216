//! Operator endpoints: state of the host, and explanations for an adapter or a request.

use actix_web::{HttpRequest, HttpResponse, web::Query};
use arcstr::ArcStr;
use serde::Deserialize;

use super::{auth, context::shared, failure::Failure};
use crate::control::messages::{ErrorCode, Explain, Refusal};

/// `GET /admin/status`.
pub(super) async fn status(req: HttpRequest) -> Result<HttpResponse, Failure> {
    let shared = shared(&req);
    auth::authorize_operator(shared.setup.admin_key.as_ref(), &req)?;
    Ok(HttpResponse::Ok().json(shared.setup.handle.status().await?))
}

#[derive(Deserialize)]
struct ExplainQuery {
    adapter: Option<String>,
    request: Option<String>,
}

/// `GET /admin/explain?adapter=A` and `?request=ID`.
pub(super) async fn explain(req: HttpRequest) -> Result<HttpResponse, Failure> {
    let shared = shared(&req);
    auth::authorize_operator(shared.setup.admin_key.as_ref(), &req)?;
    let what = explain_target(req.query_string())
        .ok_or_else(|| Refusal::not_run(ErrorCode::BadRequest, "give either adapter or request"))?;
    match shared.setup.handle.explain(what).await? {
        Some(v) => Ok(HttpResponse::Ok().json(v)),
        None => Err(Refusal::not_run(ErrorCode::NotFound, "nothing is known about it").into()),
    }
}

fn explain_target(query: &str) -> Option<Explain> {
    let q: Query<ExplainQuery> = Query::from_query(query).ok()?;
    match (&q.adapter, &q.request) {
        (Some(a), None) => Some(Explain::Adapter(ArcStr::from(a.as_str()))),
        (None, Some(r)) => Some(Explain::Request(r.parse().ok()?)),
        _ => None,
    }
}
