//! HTTP towards callers, readiness checks, look-ups of addresses and metrics.

use std::{cell::RefCell, rc::Rc, sync::Arc, time::Duration};

use actix::Addr;
use actix_web::{
    HttpRequest, HttpResponse,
    http::{
        StatusCode,
        header::{self, HeaderMap},
    },
    web,
};
use arc_swap::ArcSwap;
use arcstr::ArcStr;
use bytes::{Bytes, BytesMut};
use futures::StreamExt;
use slog::{Logger, kv};
use yuccawing_core::{
    fleet::{
        catalog::Catalog,
        config::{Account, Route},
        quota,
        request::ReplicaRequest,
    },
    time::Tick,
};
use yuccawing_platform::{directory, headers};

use super::{
    client::Client,
    clock,
    control::{Control, Published},
    forward,
    meters::Meters,
    settings::Settings,
};
use crate::events::{Event, emit};

/// Time for which callers keep a look-up: short, so that they find a new host soon.
const LOOKUP_TTL_S: f64 = 2.0;

/// Time before the bound for withdrawn keys at which the host refuses keys with an old
/// configuration: callers count from the store's answer and send before the request arrives here.
const REFUSE_MARGIN: Duration = Duration::from_millis(300);

/// When a caller may come back that met a host without a configuration.
const UNREADY_BACK: Duration = Duration::from_millis(500);

/// When a caller may come back that met a host that is leaving: at once, to another one.
const LEAVING_BACK: Duration = Duration::from_millis(10);

/// What workers share.
#[derive(Clone)]
pub struct Edge {
    /// Settings.
    pub settings: Arc<Settings>,
    /// Results of the control thread.
    pub published: Arc<ArcSwap<Published>>,
    /// The control thread.
    pub control: Addr<Control>,
    /// Metrics.
    pub meters: Meters,
    /// Log.
    pub log: Logger,
}

/// One worker.
#[derive(Clone)]
pub struct Worker {
    /// What workers share.
    pub edge: Edge,
    /// Connections to replicas.
    pub client: Rc<Client>,
    swept: Rc<RefCell<Tick>>,
}

impl Edge {
    /// A worker on the current thread.
    pub fn worker(&self) -> Worker {
        Worker {
            edge: self.clone(),
            client: Rc::new(Client::default()),
            swept: Rc::new(RefCell::new(clock::now())),
        }
    }
}

/// A caller's request that may go to a replica.
pub struct Accepted {
    /// Id of the caller's attempt.
    pub id: ArcStr,
    /// Its route.
    pub route: Arc<Route>,
    /// Its account.
    pub account: Option<Account>,
    /// Units that it counts against the account's limit.
    pub cost: f64,
    /// When its head arrived.
    pub arrived: Tick,
    /// Method.
    pub method: String,
    /// Path and query as they came.
    pub path: String,
    /// Headers that are passed on.
    pub headers: Vec<(String, Vec<u8>)>,
    /// Body.
    pub body: Bytes,
    /// What it asks for.
    pub ask: ReplicaRequest,
    /// Rank at a replica.
    pub rank: u8,
    /// Id of the last event that the caller has.
    pub last: Option<u64>,
    /// Version of the configuration.
    pub version: u64,
    /// Age of the configuration at the arrival.
    pub age: Duration,
}

/// Serves all listeners of the process.
pub async fn handle(
    req: HttpRequest,
    payload: web::Payload,
    worker: web::Data<Worker>,
) -> HttpResponse {
    let local = req.app_config().local_addr();
    let s = &worker.edge.settings;
    if local == s.listen.front {
        return front(req, payload, &worker).await;
    }
    let view = worker.edge.published.load();
    match req.path() {
        directory::READY if local == s.listen.ready => {
            let ready = view.serving && !view.leaving;
            HttpResponse::build(if ready {
                StatusCode::OK
            } else {
                StatusCode::SERVICE_UNAVAILABLE
            })
            .finish()
        }
        directory::RESOLVE if local == s.listen.directory => lookup(&view, s),
        "/metrics" if local == s.metrics() => HttpResponse::Ok()
            .content_type("text/plain; version=0.0.4")
            .body(worker.edge.meters.render()),
        _ => HttpResponse::NotFound().finish(),
    }
}

fn lookup(view: &Published, settings: &Settings) -> HttpResponse {
    if view.fronts.is_empty() {
        return HttpResponse::ServiceUnavailable().finish();
    }
    let body = directory::lookup(&view.fronts, LOOKUP_TTL_S.min(settings.bounds.ttl_s));
    HttpResponse::Ok().content_type("application/json").body(body)
}

/// An answer of this host, not of a replica.
#[derive(Clone, Copy, Debug)]
pub struct Refusal {
    /// Status.
    pub status: StatusCode,
    /// Name of the reason in logs and metrics.
    pub reason: &'static str,
    /// When the caller may come back.
    pub retry: Option<Duration>,
}

impl Refusal {
    /// A final refusal.
    pub fn new(status: StatusCode, reason: &'static str) -> Self {
        Self { status, reason, retry: None }
    }

    /// The answer.
    pub fn response(&self, leaving: bool) -> HttpResponse {
        let mut out = HttpResponse::build(self.status);
        if let Some(d) = self.retry {
            out.insert_header((header::RETRY_AFTER, format!("{:.3}", d.as_secs_f64())));
        }
        if leaving {
            out.force_close();
        }
        out.json(serde_json::json!({ "error": self.reason }))
    }
}

async fn front(req: HttpRequest, payload: web::Payload, worker: &Worker) -> HttpResponse {
    let arrived = clock::now();
    if arrived.since(*worker.swept.borrow()) > Duration::from_secs(1) {
        *worker.swept.borrow_mut() = arrived;
        worker.client.sweep();
    }
    let view = worker.edge.published.load_full();
    let leaving = view.leaving;
    match accept(&req, payload, worker, &view, arrived).await {
        Ok(accepted) => forward::run(worker, accepted, leaving).await,
        Err(refusal) => {
            let id = text(req.headers(), headers::REQUEST_ID).unwrap_or("-");
            worker.edge.meters.refusal(refusal.reason);
            let age = arrived.since(view.read).as_millis() as u64;
            let fields = kv!(
                "id" => id, "status" => refusal.status.as_u16(), "reason" => refusal.reason,
                "version" => view.catalog.as_ref().map_or(0, |c| c.config.version),
                "config_age_ms" => age,
            );
            emit(&worker.edge.log, Event::RequestTurnedAway, &fields);
            refusal.response(leaving)
        }
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

async fn accept(
    req: &HttpRequest,
    payload: web::Payload,
    worker: &Worker,
    view: &Published,
    arrived: Tick,
) -> Result<Accepted, Refusal> {
    let unready = || Refusal {
        status: StatusCode::SERVICE_UNAVAILABLE,
        reason: "unready",
        retry: Some(UNREADY_BACK),
    };
    let catalog = view.catalog.as_ref().ok_or_else(unready)?;
    if view.closing.is_some_and(|t| arrived >= t) {
        return Err(Refusal { reason: "leaving", retry: Some(LEAVING_BACK), ..unready() });
    }
    let head = req.headers();
    check_head(req, catalog)?;
    let id = text(head, headers::REQUEST_ID)
        .map(ArcStr::from)
        .ok_or(Refusal::new(StatusCode::BAD_REQUEST, "no_id"))?;
    let host = text(head, "host").ok_or(Refusal::new(StatusCode::BAD_REQUEST, "no_host"))?;
    let path = req.uri().path_and_query().map_or("/", |p| p.as_str());
    let route = catalog
        .route(host, req.uri().path())
        .ok_or(Refusal::new(StatusCode::NOT_FOUND, "no_route"))?
        .clone();
    let account = account(head, catalog, &route)?.cloned();
    let bounds = &worker.edge.settings.bounds;
    let limit = Duration::from_millis(bounds.revoke_ms).saturating_sub(REFUSE_MARGIN);
    let age = arrived.since(view.read);
    if account.is_some() && bounds.fail_closed && age >= limit {
        return Err(Refusal { reason: "config_old", ..unready() });
    }
    let body = body(payload, catalog.config.limits.body_bytes).await?;
    let stated = text(head, headers::DEADLINE_MS).and_then(|v| v.trim().parse().ok());
    let time = stated.map_or(route.timeout, |ms| Duration::from_millis(ms).min(route.timeout));
    let counts = text(head, headers::TOKENS).and_then(headers::counts);
    let service = Catalog::pick_service(&route, &id)
        .ok_or(Refusal::new(StatusCode::NOT_FOUND, "no_service"))?;
    let ask = ReplicaRequest {
        id: id.clone(),
        service,
        inference: headers::demand(
            text(head, headers::MODEL),
            text(head, headers::TOKENS),
            text(head, headers::PARTS),
        ),
        kind: route.kind,
        slo_deadline: arrived + route.slo,
        deadline: arrived + time,
        excluded: Vec::new(),
        attempts: 0,
    };
    let keyed = catalog.config.keys_required;
    Ok(Accepted {
        cost: account.as_ref().map_or(0.0, |a| quota::cost(a, counts)),
        rank: account.as_ref().and_then(|a| a.priority).unwrap_or(route.priority),
        id,
        account,
        arrived,
        method: req.method().to_string(),
        path: path.to_owned(),
        headers: passed(head, keyed),
        body,
        ask,
        last: text(head, headers::LAST_EVENT).and_then(|v| v.trim().parse().ok()),
        version: catalog.config.version,
        age,
        route,
    })
}

fn check_head(req: &HttpRequest, catalog: &Catalog) -> Result<(), Refusal> {
    let size: usize = req.headers().iter().map(|(n, v)| n.as_str().len() + v.len() + 4).sum();
    let limit = catalog.config.limits.header_bytes;
    if size + req.uri().path().len() > limit {
        return Err(Refusal::new(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE, "head_too_large"));
    }
    Ok(())
}

fn account<'a>(
    head: &HeaderMap,
    catalog: &'a Catalog,
    route: &Route,
) -> Result<Option<&'a Account>, Refusal> {
    if !catalog.config.keys_required {
        return Ok(None);
    }
    let key = text(head, "authorization").and_then(bearer);
    let account = key.and_then(|k| catalog.account(k));
    if account.is_none() && !route.public {
        return Err(Refusal::new(StatusCode::UNAUTHORIZED, "bad_key"));
    }
    Ok(account)
}

fn bearer(value: &str) -> Option<&str> {
    let (scheme, key) = value.trim().split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| key.trim())
}

// Headers that go to a replica.
fn passed(head: &HeaderMap, keyed: bool) -> Vec<(String, Vec<u8>)> {
    // Headers that the caller names in Connection concern that connection only.
    let named: Vec<String> = head
        .get_all("connection")
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .map(|n| n.trim().to_ascii_lowercase())
        .collect();
    let dropped = |name: &str| {
        headers::HOP.contains(&name)
            || headers::OWN.contains(&name)
            || (keyed && name == "authorization")
            || named.iter().any(|n| n == name)
    };
    head.iter()
        .filter(|(n, _)| !dropped(n.as_str()))
        .map(|(n, v)| (n.as_str().to_owned(), v.as_bytes().to_vec()))
        .collect()
}

async fn body(mut payload: web::Payload, limit: usize) -> Result<Bytes, Refusal> {
    let mut out = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(|_| Refusal::new(StatusCode::BAD_REQUEST, "bad_body"))?;
        if out.len() + chunk.len() > limit {
            return Err(Refusal::new(StatusCode::PAYLOAD_TOO_LARGE, "body_too_large"));
        }
        out.extend_from_slice(&chunk);
    }
    Ok(out.freeze())
}
