//! Per-request state: id, arrival time, deadline, the guard that a shutdown waits for, and the
//! final log line and metrics.

use std::{
    rc::Rc,
    sync::atomic::Ordering,
    time::{Duration, Instant},
};

use actix_web::{
    Error, HttpMessage, HttpRequest,
    body::{EitherBody, MessageBody},
    dev::{ServiceRequest, ServiceResponse},
    http::{
        ConnectionType,
        header::{HeaderName, HeaderValue},
    },
    middleware::Next,
    web::Data,
};
use arcstr::ArcStr;
use slog::kv;
use yuccawing_core::rules::Class;

use super::{Shared, failure::Failure};
use crate::{
    control::messages::{ErrorCode, Executed, Refusal, RequestId},
    events::{Event, emit},
    metrics::{NO_ACCOUNT, RequestOutcome, class_label},
    stop::{Phase, RequestGuard},
    upstream::Upstreams,
};

/// Deadline of a request without `x-deadline-ms`.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(60);

/// Largest deadline. It must be shorter than the 150 s for which a pin keeps an adapter loaded.
const MAX_DEADLINE_MS: u64 = 120_000;

/// Paths that are served until the end of a shutdown.
const SHUTDOWN_PATHS: &[&str] = &["/healthz", "/readyz", "/metrics", "/admin/"];

/// Context of a request.
#[derive(Clone)]
pub(super) struct Context {
    pub(super) id: RequestId,
    pub(super) arrival: Instant,
    // `None` if the request is served although the shutdown refuses new ones. The body of a
    // response keeps it until it is sent.
    _guard: Rc<Option<RequestGuard>>,
}

impl Context {
    pub(super) fn of(req: &HttpRequest) -> Self {
        req.extensions().get::<Self>().expect("the middleware sets the context").clone()
    }

    /// Returns the caller's deadline.
    pub(super) fn deadline(&self, req: &HttpRequest) -> Result<Instant, Refusal> {
        let Some(v) = req.headers().get("x-deadline-ms") else {
            return Ok(self.arrival + DEFAULT_DEADLINE);
        };
        let ms = v.to_str().ok().and_then(|s| s.parse().ok());
        match ms {
            Some(ms @ 1..=MAX_DEADLINE_MS) => Ok(self.arrival + Duration::from_millis(ms)),
            _ => Err(Refusal::not_run(
                ErrorCode::BadRequest,
                "x-deadline-ms must be a number from 1 to 120000",
            )),
        }
    }
}

pub(super) fn shared(req: &HttpRequest) -> Data<Shared> {
    req.app_data::<Data<Shared>>().expect("`serve` registers it").clone()
}

pub(super) fn upstreams(req: &HttpRequest) -> Rc<Upstreams> {
    req.app_data::<Rc<Upstreams>>().expect("`serve` registers it").clone()
}

/// Middleware that creates the context of a request and sets `x-request-id` in the response.
pub(super) async fn wrap<B: MessageBody + 'static>(
    req: ServiceRequest,
    next: Next<B>,
) -> Result<ServiceResponse<EitherBody<B>>, Error> {
    let shared = shared(req.request());
    let setup = &shared.setup;
    let seq = shared.next_seq.fetch_add(1, Ordering::Relaxed);
    let id = RequestId { incarnation: setup.handle.snapshot().incarnation, seq };
    let guard = setup.tracker.track();
    let refused = guard.is_none() && !SHUTDOWN_PATHS.iter().any(|p| req.path().starts_with(p));
    let mut res = if refused {
        let refusal = Refusal::not_run(ErrorCode::Leaving, "this host is shutting down");
        let refusal = refusal.with_retry_after(Duration::ZERO);
        req.into_response(Failure(refusal).response()).map_into_right_body()
    } else {
        let context = Context { id, arrival: Instant::now(), _guard: Rc::new(guard) };
        req.extensions_mut().insert(context);
        next.call(req).await?.map_into_left_body()
    };
    if let Ok(v) = HeaderValue::from_str(&id.to_string()) {
        res.headers_mut().insert(HeaderName::from_static("x-request-id"), v);
    }
    if setup.tracker.phase() != Phase::Open {
        res.response_mut().head_mut().set_connection_type(ConnectionType::Close);
    }
    Ok(res)
}

/// Logs and counts the end of a request when it is dropped. A request without a result counts as
/// cancelled.
pub(super) struct RequestRecord {
    shared: Data<Shared>,
    id: RequestId,
    arrival: Instant,
    account: ArcStr,
    class: Class,
    outcome: RequestOutcome,
}

impl RequestRecord {
    pub(super) fn new(shared: Data<Shared>, context: &Context) -> Self {
        let (id, arrival) = (context.id, context.arrival);
        let account = ArcStr::from(NO_ACCOUNT);
        Self {
            shared,
            id,
            arrival,
            account,
            class: Class::default(),
            outcome: RequestOutcome::Cancelled,
        }
    }

    pub(super) fn set_account(&mut self, account: ArcStr, class: Class) {
        self.account = account;
        self.class = class;
    }

    pub(super) fn first_token(&self) {
        self.shared.setup.metrics.first_token(&self.account, self.arrival.elapsed());
    }

    pub(super) fn finished(&mut self) {
        self.outcome = RequestOutcome::Ok;
    }

    /// Logs and counts a refusal or failure, and returns it.
    pub(super) fn failed(&mut self, r: Refusal) -> Refusal {
        let setup = &self.shared.setup;
        let event = match (r.executed, r.code) {
            (Executed::No, ErrorCode::BadKey) => Event::KeyRejected,
            (Executed::No, _) => Event::RequestRefused,
            _ => Event::RequestFailed,
        };
        if r.executed == Executed::No {
            self.outcome = RequestOutcome::Refused;
            setup.metrics.refusal(&self.account, r.code);
        } else {
            self.outcome = RequestOutcome::Failed;
        }
        emit(
            &setup.log,
            event,
            &kv!(
                "request" => %self.id, "account" => self.account.as_str(),
                "code" => r.code.name(), "message" => &r.message
            ),
        );
        r
    }
}

impl Drop for RequestRecord {
    fn drop(&mut self) {
        let (setup, took) = (&self.shared.setup, self.arrival.elapsed());
        setup.metrics.request(&self.account, self.class, self.outcome);
        if self.class == Class::Status && self.outcome == RequestOutcome::Ok {
            setup.metrics.status(&self.account, took);
        }
        emit(
            &setup.log,
            Event::RequestDone,
            &kv!(
                "request" => %self.id, "account" => self.account.as_str(),
                "class" => class_label(self.class), "outcome" => self.outcome.label(),
                "ms" => took.as_millis()
            ),
        );
    }
}
