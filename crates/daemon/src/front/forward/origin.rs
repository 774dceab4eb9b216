//! Keeps a stream at the software version that began it.

use arcstr::ArcStr;
use tokio::{sync::oneshot, time::timeout};
use yuccawing_core::fleet::{
    config::RouteKind,
    origin::{BegunStream, MAX_STREAM_AGE, Origin, stream_key},
};

use crate::front::{
    clock,
    control::{FindOrigin, PlacedRequest, StreamBegan},
    edge::{CallerRequest, Worker},
};

/// Why a stream that its caller takes up cannot go on. The texts are log values and metric labels.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TakeUpError {
    /// No host knows which software version began it.
    UnknownOrigin,
    /// The route does not lead to the service that began it any more.
    ServiceChanged,
}

impl TakeUpError {
    pub(super) fn name(self) -> &'static str {
        match self {
            Self::UnknownOrigin => "unknown_origin",
            Self::ServiceChanged => "service_changed",
        }
    }
}

/// Binds a request that takes up a stream to the service and the software version that began it.
pub(super) async fn bind(w: &Worker, r: &mut CallerRequest) -> Result<(), TakeUpError> {
    if r.last_event.is_none() || !matches!(r.request.kind, RouteKind::Stream { .. }) {
        return Ok(());
    }
    let key = r.resumes.as_ref().map(|id| key(r, id));
    let service = Some(r.request.service.clone()).filter(|_| r.route.targets.len() == 1);
    let (reply, origin) = oneshot::channel();
    let inference = r.request.inference.as_ref();
    let block = inference.and_then(|i| Some((i.prefix.last()?.id, base_model(&i.artifact))));
    w.shared.control.do_send(FindOrigin {
        id: r.id.clone(),
        key,
        service,
        block,
        route: r.route.name.clone(),
        timeout: r.route.timeout,
        left: r.budget,
        reply,
    });
    let left = r.request.remaining(clock::now());
    let Ok(Ok(Some(Origin { service, software }))) = timeout(left, origin).await else {
        return Err(TakeUpError::UnknownOrigin);
    };
    if !r.route.targets.iter().any(|t| t.service == service) {
        return Err(TakeUpError::ServiceChanged);
    }
    (r.request.service, r.request.software) = (service, Some(software));
    Ok(())
}

/// Records the first event of a stream, which goes on at no other version from now on.
pub(super) fn begin(w: &Worker, r: &mut CallerRequest, placed: &PlacedRequest) {
    if r.request.software.is_some() {
        return;
    }
    let software = placed.assignment.software.clone();
    r.request.software = Some(software.clone());
    if r.request.kind == (RouteKind::Stream { resumable: true }) {
        let lifetime = r.budget.min(MAX_STREAM_AGE);
        let stream = BegunStream {
            key: key(r, &r.id),
            lifetime_ms: u32::try_from(lifetime.as_millis()).unwrap_or(u32::MAX),
            origin: Origin { service: r.request.service.clone(), software },
        };
        let (route, budget) = (r.route.name.clone(), lifetime);
        w.shared.control.do_send(StreamBegan { stream, route, budget });
    }
}

fn base_model(artifact: &ArcStr) -> ArcStr {
    artifact.split('/').next().map_or_else(|| artifact.clone(), ArcStr::from)
}

fn key(r: &CallerRequest, id: &str) -> u64 {
    stream_key(r.account.as_ref().map(|a| a.name.as_str()), &r.path, id)
}
