//! Forwards calls to plain services by the path prefix of their route, and refuses unknown paths.

use actix_web::{
    HttpRequest, HttpResponse,
    http::{
        Method,
        header::{ACCEPT, CONTENT_TYPE},
    },
    web::Payload,
};
use arcstr::ArcStr;
use yuccawing_core::rules::Class;

use super::{
    Shared, auth, body,
    context::{Context, RequestRecord, shared, upstreams},
    failure::Failure,
};
use crate::{
    control::messages::{AdmitPlain, ErrorCode, Refusal, RouteView, Snapshot},
    upstream::plain::{self, PlainCall, PlainResponse},
};

const MAX_TICKET_BYTES: usize = 64;

/// Forwards a call to the plain service of the route that matches the path.
pub(super) async fn call(req: HttpRequest, payload: Payload) -> Result<HttpResponse, Failure> {
    let (context, shared) = (Context::of(&req), shared(&req));
    let mut record = RequestRecord::new(shared.clone(), &context);
    match run(&req, payload, &context, &shared, &mut record).await {
        Ok(response) => {
            record.finished();
            let mut res = HttpResponse::build(response.status);
            if let Some(v) = response.content {
                res.insert_header((CONTENT_TYPE, v));
            }
            Ok(res.body(body::CompleteBody::new(response.body, context)))
        }
        Err(r) => Err(record.failed(r).into()),
    }
}

async fn run(
    req: &HttpRequest,
    payload: Payload,
    context: &Context,
    shared: &Shared,
    record: &mut RequestRecord,
) -> Result<PlainResponse, Refusal> {
    let setup = &shared.setup;
    let (route, account) = {
        let snapshot = setup.handle.snapshot();
        let route = route(&snapshot, req.path())?;
        let account = match auth::authenticate(&snapshot, req) {
            Ok(a) => Some(a),
            // An open route ignores an invalid key.
            Err(_) if route.open => None,
            Err(r) => return Err(r),
        };
        (route, account)
    };
    if let Some(a) = &account {
        record.set_account(a.clone(), Class::default());
    }
    if !is_supported(req.method()) {
        return Err(Refusal::not_run(ErrorCode::BadMethod, "the method is not supported"));
    }
    let deadline = context.deadline(req)?;
    let ticket = ticket(req, &route)?;
    let (body, _held) = body::read(req, payload, shared, deadline).await?;
    let call = PlainCall {
        method: req.method().clone(),
        target: req.uri().path_and_query().map_or_else(|| "/".to_owned(), ToString::to_string),
        accept: req.headers().get(ACCEPT).cloned(),
        content: req.headers().get(CONTENT_TYPE).cloned(),
        body,
        idempotent: route.idempotent,
        cost: route.cost,
    };
    let admit = AdmitPlain {
        id: context.id,
        route: route.prefix,
        account,
        cost: route.cost,
        deadline,
        ticket,
    };
    let admission = setup.handle.admit_plain(admit).await?;
    plain::call(&upstreams(req), admission, call).await
}

fn route(snapshot: &Snapshot, path: &str) -> Result<RouteView, Refusal> {
    if !is_canonical(path) {
        return Err(Refusal::not_run(ErrorCode::BadRequest, "the path is not in canonical form"));
    }
    let belongs = |prefix: &str| {
        path.strip_prefix(prefix)
            .is_some_and(|rest| rest.is_empty() || rest.starts_with('/') || prefix.ends_with('/'))
    };
    let route = snapshot.routes.iter().find(|r| belongs(&r.prefix));
    route.cloned().ok_or_else(|| Refusal::not_run(ErrorCode::NotFound, "no such path"))
}

// Rejects paths with `..` or an encoded slash. The service might resolve them after the route was
// chosen, so a path of an open route could reach another route that needs a key.
fn is_canonical(path: &str) -> bool {
    let lower = path.to_ascii_lowercase();
    let encoded = ["%2e", "%2f", "%5c", "%25", "%00", "\\", "//"];
    !encoded.iter().any(|c| lower.contains(c)) && !lower.split('/').any(|s| s == "." || s == "..")
}

fn is_supported(m: &Method) -> bool {
    [Method::GET, Method::HEAD, Method::POST, Method::PUT, Method::PATCH, Method::DELETE]
        .contains(m)
}

fn ticket(req: &HttpRequest, route: &RouteView) -> Result<Option<ArcStr>, Refusal> {
    if route.idempotent {
        return Ok(None);
    }
    let value = req.headers().get("x-ticket").and_then(|v| v.to_str().ok());
    match value {
        Some(t) if t.len() <= MAX_TICKET_BYTES => Ok(Some(t.into())),
        Some(_) => Err(Refusal::not_run(ErrorCode::BadRequest, "x-ticket is too long")),
        None => Err(Refusal::not_run(
            ErrorCode::TicketNeeded,
            "the route needs a ticket of this host in x-ticket, see POST /v1/tickets",
        )),
    }
}
