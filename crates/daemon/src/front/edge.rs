//! HTTP server of a host in platform mode: requests of callers, readiness checks, address lookups
//! and metrics.

use std::{
    any::Any,
    cell::RefCell,
    panic::AssertUnwindSafe,
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

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
use futures::{FutureExt, StreamExt};
use slog::{Logger, kv};
use tokio_util::sync::CancellationToken;
use yuccawing_core::{
    fleet::{
        catalog::Catalog,
        config::{Account, Route},
        quota,
        request::{ReplicaRequest, fingerprint},
    },
    time::Tick,
};
use yuccawing_platform::{directory, headers};

use super::{
    client::Client,
    clock,
    control::{Control, Snapshot},
    forward,
    metrics::Metrics,
    settings::Settings,
};
use crate::events::{Event, emit};

/// TTL of a lookup in seconds. It is short, so that callers find a new host soon.
const LOOKUP_TTL_S: f64 = 2.0;

/// Time before the end of `revoke_ms` at which the host rejects keys because its configuration is
/// old. Callers measure from the response of the store to the sending of the request, which is
/// earlier than its arrival here.
const STALE_MARGIN: Duration = Duration::from_millis(300);

/// `Retry-After` of a host whose configuration is missing or too old to check keys.
const UNREADY_RETRY: Duration = Duration::from_millis(500);

/// `Retry-After` of a host that is shutting down: the caller may retry at another host at once.
pub(super) const LEAVING_RETRY: Duration = Duration::from_millis(10);

/// State shared by all workers.
#[derive(Clone)]
pub struct Shared {
    /// Settings of the process.
    pub settings: Arc<Settings>,
    /// State that the control actor publishes.
    pub published: Arc<ArcSwap<Snapshot>>,
    /// Address of the control actor.
    pub control: Addr<Control>,
    /// Metrics of the process.
    pub metrics: Metrics,
    /// Logger of the process.
    pub log: Logger,
    /// Requests that are being read or answered.
    pub open: OpenCalls,
    /// Cancelled shortly before the process exits, to answer the requests that still wait.
    pub closing: CancellationToken,
}

/// Number of requests of callers from their head to their response, to the first event of a stream, or
/// until the caller has read most of a large body.
#[derive(Clone, Debug, Default)]
pub struct OpenCalls(Arc<AtomicUsize>);

impl OpenCalls {
    /// Current number.
    pub fn count(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }

    /// Counts a call until the guard is dropped.
    pub fn enter(&self) -> OpenCall {
        self.0.fetch_add(1, Ordering::Relaxed);
        OpenCall(self.clone())
    }
}

/// Guard of an open call.
#[derive(Debug)]
pub struct OpenCall(OpenCalls);

impl Drop for OpenCall {
    fn drop(&mut self) {
        self.0.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// State of one HTTP worker thread.
#[derive(Clone)]
pub struct Worker {
    /// State shared with the other workers.
    pub shared: Shared,
    /// Connections to replicas, not shared between threads.
    pub client: Rc<Client>,
    last_sweep: Rc<RefCell<Tick>>,
}

impl Shared {
    /// Creates the state of a worker on the current thread.
    pub fn worker(&self) -> Worker {
        Worker {
            shared: self.clone(),
            client: Rc::new(Client::default()),
            last_sweep: Rc::new(RefCell::new(clock::now())),
        }
    }
}

/// Validated request of a caller, with its route and account.
pub struct CallerRequest {
    /// Id that the caller gave to this attempt.
    pub id: ArcStr,
    /// Route that matches the host name and the path.
    pub route: Arc<Route>,
    /// Account of the key; `None` if the configuration has no accounts, or on a public route without
    /// a valid key.
    pub account: Option<Account>,
    /// Units charged to the account's limit.
    pub cost: f64,
    /// When the head of the request arrived.
    pub arrived: Tick,
    /// HTTP method.
    pub method: String,
    /// Path and query, unchanged.
    pub path: String,
    /// Headers to forward.
    pub headers: Vec<(String, Vec<u8>)>,
    /// Whole body.
    pub body: Bytes,
    /// What the dispatcher needs to choose a replica.
    pub request: ReplicaRequest,
    /// Whether a replica may have run it without a usable response.
    pub may_have_run: bool,
    /// Priority at a replica, 0 first.
    pub priority: u8,
    /// Id of the last event that the caller has received.
    pub last_event: Option<u64>,
    /// Id of the attempt that brought the first event of the stream that the request takes up.
    pub resumes: Option<ArcStr>,
    /// Time for which the caller waits, also beyond the timeout of the route.
    pub budget: Duration,
    /// Version of the configuration that was used.
    pub config_version: u64,
    /// Age of that configuration when the request arrived.
    pub config_age: Duration,
}

/// Handles the requests of all listeners of the process.
pub async fn handle(
    req: HttpRequest,
    payload: web::Payload,
    worker: web::Data<Worker>,
) -> HttpResponse {
    let local = req.app_config().local_addr();
    let s = &worker.shared.settings;
    if local == s.listen.front {
        let id = header_str(req.headers(), headers::REQUEST_ID).unwrap_or("-").to_owned();
        let response = AssertUnwindSafe(serve_caller(req, payload, &worker)).catch_unwind().await;
        return response.unwrap_or_else(|panic| answer_panic(&worker, &id, panic.as_ref()));
    }
    let snapshot = worker.shared.published.load();
    match req.path() {
        directory::READY_PATH if local == s.listen.ready => {
            let ready = snapshot.serving && !snapshot.leaving;
            HttpResponse::build(if ready {
                StatusCode::OK
            } else {
                StatusCode::SERVICE_UNAVAILABLE
            })
            .finish()
        }
        directory::RESOLVE_PATH if local == s.listen.directory => lookup(&snapshot, s),
        "/metrics" if local == s.metrics() => HttpResponse::Ok()
            .content_type("text/plain; version=0.0.4")
            .body(worker.shared.metrics.render()),
        _ => HttpResponse::NotFound().finish(),
    }
}

// Answers a request whose task has panicked. It may have run.
fn answer_panic(worker: &Worker, id: &str, panic: &(dyn Any + Send)) -> HttpResponse {
    let text = panic.downcast_ref::<&str>().copied();
    let text = text.or_else(|| panic.downcast_ref::<String>().map(String::as_str));
    let reason = "internal";
    worker.shared.metrics.refusal(reason);
    let fields = kv!("id" => id, "error" => text.unwrap_or("no message"));
    emit(&worker.shared.log, Event::RequestPanicked, &fields);
    Refusal::new(StatusCode::BAD_GATEWAY, reason).response(true)
}

fn lookup(snapshot: &Snapshot, settings: &Settings) -> HttpResponse {
    if snapshot.fronts.is_empty() {
        return HttpResponse::ServiceUnavailable().finish();
    }
    let body = directory::encode_lookup(&snapshot.fronts, LOOKUP_TTL_S.min(settings.bounds.ttl_s));
    HttpResponse::Ok().content_type("application/json").body(body)
}

/// Error response of this host itself, not of a replica.
#[derive(Clone, Copy, Debug)]
pub struct Refusal {
    /// HTTP status.
    pub status: StatusCode,
    /// Reason in logs, metrics and the response body.
    pub reason: &'static str,
    /// Value of `Retry-After`; `None` sends no such header.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// A refusal that the caller should not retry.
    pub fn new(status: StatusCode, reason: &'static str) -> Self {
        Self { status, reason, retry_after: None }
    }

    /// Builds the response. `leaving` closes the connection after it.
    pub fn response(&self, leaving: bool) -> HttpResponse {
        let mut out = HttpResponse::build(self.status);
        if let Some(d) = self.retry_after {
            out.insert_header((header::RETRY_AFTER, format!("{:.3}", d.as_secs_f64())));
        }
        if leaving {
            out.force_close();
        }
        out.json(serde_json::json!({ "error": self.reason }))
    }
}

async fn serve_caller(req: HttpRequest, payload: web::Payload, worker: &Worker) -> HttpResponse {
    let arrived = clock::now();
    let _open = worker.shared.open.enter();
    if arrived.since(*worker.last_sweep.borrow()) > Duration::from_secs(1) {
        *worker.last_sweep.borrow_mut() = arrived;
        worker.client.sweep();
    }
    let snapshot = worker.shared.published.load_full();
    let leaving = snapshot.leaving;
    match accept(&req, payload, worker, &snapshot, arrived).await {
        Ok(accepted) => forward::run(worker, accepted, leaving).await,
        Err(refusal) => {
            let id = header_str(req.headers(), headers::REQUEST_ID).unwrap_or("-");
            worker.shared.metrics.refusal(refusal.reason);
            let age = arrived.since(snapshot.config_read).as_millis() as u64;
            let fields = kv!(
                "id" => id, "status" => refusal.status.as_u16(), "reason" => refusal.reason,
                "version" => snapshot.catalog.as_ref().map_or(0, |c| c.config.version),
                "config_age_ms" => age,
            );
            emit(&worker.shared.log, Event::RequestTurnedAway, &fields);
            refusal.response(leaving)
        }
    }
}

fn header_str<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

async fn accept(
    req: &HttpRequest,
    payload: web::Payload,
    worker: &Worker,
    snapshot: &Snapshot,
    arrived: Tick,
) -> Result<CallerRequest, Refusal> {
    let unready = || Refusal {
        status: StatusCode::SERVICE_UNAVAILABLE,
        reason: "unready",
        retry_after: Some(UNREADY_RETRY),
    };
    let catalog = snapshot.catalog.as_ref().ok_or_else(unready)?;
    if snapshot.admit_until.is_some_and(|t| arrived >= t) {
        return Err(Refusal { reason: "leaving", retry_after: Some(LEAVING_RETRY), ..unready() });
    }
    let head = req.headers();
    check_head_size(req, catalog)?;
    let id = header_str(head, headers::REQUEST_ID)
        .map(ArcStr::from)
        .ok_or(Refusal::new(StatusCode::BAD_REQUEST, "no_id"))?;
    let host = header_str(head, "host").ok_or(Refusal::new(StatusCode::BAD_REQUEST, "no_host"))?;
    let path = req.uri().path_and_query().map_or("/", |p| p.as_str());
    if !path.starts_with('/') {
        return Err(Refusal::new(StatusCode::BAD_REQUEST, "bad_target"));
    }
    let bounds = &worker.shared.settings.bounds;
    let limit = Duration::from_millis(bounds.revoke_ms).saturating_sub(STALE_MARGIN);
    let age = arrived.since(snapshot.config_read);
    let is_old = bounds.fail_closed && age >= limit;
    let config_old = || Refusal { reason: "config_old", ..unready() };
    // A newer configuration, which this host does not know, may have the route or the key.
    let or_old = |refusal| if is_old { config_old() } else { refusal };
    let route = catalog
        .route(host, req.uri().path())
        .ok_or_else(|| or_old(Refusal::new(StatusCode::NOT_FOUND, "no_route")))?
        .clone();
    let account = authenticate(head, catalog, &route).map_err(or_old)?.cloned();
    if account.is_some() && is_old {
        return Err(config_old());
    }
    if route.targets.is_empty() {
        return Err(Refusal::new(StatusCode::SERVICE_UNAVAILABLE, "route_closed"));
    }
    let body = read_body(payload, catalog.config.limits.body_bytes).await?;
    let requested_ms = header_str(head, headers::DEADLINE_MS).and_then(|v| v.trim().parse().ok());
    let timeout =
        requested_ms.map_or(route.timeout, |ms| Duration::from_millis(ms).min(route.timeout));
    let tokens = header_str(head, headers::TOKEN_COUNT).and_then(headers::parse_tokens);
    let service = Catalog::pick_service(&route, &id)
        .ok_or(Refusal::new(StatusCode::NOT_FOUND, "no_service"))?;
    let request = ReplicaRequest {
        id: id.clone(),
        service,
        inference: headers::parse_inference(
            header_str(head, headers::MODEL),
            header_str(head, headers::TOKEN_COUNT),
            header_str(head, headers::PREFIX_BLOCKS),
        ),
        kind: route.kind,
        slo_deadline: arrived + route.slo,
        deadline: arrived + timeout,
        excluded: Vec::new(),
        attempts: 0,
        fingerprint: fingerprint(
            account.as_ref().map(|a| a.name.as_str()),
            req.method().as_str(),
            path,
            &body,
        ),
        software: None,
    };
    let keyed = catalog.config.keys_required;
    Ok(CallerRequest {
        cost: account.as_ref().map_or(0.0, |a| quota::cost(a, tokens)),
        priority: account.as_ref().and_then(|a| a.priority).unwrap_or(route.priority),
        id,
        account,
        arrived,
        method: req.method().to_string(),
        path: path.to_owned(),
        headers: forwarded_headers(head, keyed),
        body,
        request,
        may_have_run: false,
        last_event: header_str(head, headers::LAST_EVENT_ID).and_then(|v| v.trim().parse().ok()),
        resumes: header_str(head, headers::RESUMES).map(|id| ArcStr::from(id.trim())),
        budget: requested_ms.map_or(route.timeout, Duration::from_millis),
        config_version: catalog.config.version,
        config_age: age,
        route,
    })
}

fn check_head_size(req: &HttpRequest, catalog: &Catalog) -> Result<(), Refusal> {
    let size: usize = req.headers().iter().map(|(n, v)| n.as_str().len() + v.len() + 4).sum();
    let limit = catalog.config.limits.header_bytes;
    if size + req.uri().path().len() > limit {
        return Err(Refusal::new(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE, "head_too_large"));
    }
    Ok(())
}

fn authenticate<'a>(
    head: &HeaderMap,
    catalog: &'a Catalog,
    route: &Route,
) -> Result<Option<&'a Account>, Refusal> {
    if !catalog.config.keys_required {
        return Ok(None);
    }
    let key = header_str(head, "authorization").and_then(bearer);
    if key.is_some_and(|k| catalog.is_closed(k)) {
        return Err(Refusal::new(StatusCode::SERVICE_UNAVAILABLE, "account_closed"));
    }
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

// Headers of the caller that are forwarded to a replica.
fn forwarded_headers(head: &HeaderMap, keyed: bool) -> Vec<(String, Vec<u8>)> {
    // Headers that the caller lists in `Connection` concern that connection only.
    let connection_headers: Vec<String> = head
        .get_all("connection")
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .map(|n| n.trim().to_ascii_lowercase())
        .collect();
    let dropped = |name: &str| {
        headers::HOP_BY_HOP.contains(&name)
            || headers::HOST_ONLY.contains(&name)
            || (keyed && name == "authorization")
            || connection_headers.iter().any(|n| n == name)
    };
    head.iter()
        .filter(|(n, _)| !dropped(n.as_str()))
        .map(|(n, v)| (n.as_str().to_owned(), v.as_bytes().to_vec()))
        .collect()
}

async fn read_body(mut payload: web::Payload, limit: usize) -> Result<Bytes, Refusal> {
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
