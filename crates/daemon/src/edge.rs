//! HTTP server for callers: completions, calls to plain services, the list of hosts, health,
//! metrics and operator endpoints.

mod admin;
mod auth;
mod body;
mod completion_body;
mod completions;
mod context;
mod failure;
mod info;
mod plain;
mod render;
#[cfg(test)]
mod tests;

use std::{
    io,
    net::TcpListener,
    sync::{Arc, atomic::AtomicU64},
    time::Duration,
};

use actix_web::{
    App, HttpServer,
    dev::Server,
    http::KeepAlive,
    middleware::from_fn,
    web::{self, ServiceConfig},
};
use rustls::ServerConfig;
use slog::Logger;

use crate::{
    control::messages::{ControlHandle, KeyHash},
    metrics::Metrics,
    settings::Limits,
    stop::RequestTracker,
    upstream::{Timeouts, Upstreams},
};

/// Timeout for the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);

/// How long an idle connection is kept open.
const IDLE_TIMEOUT: Duration = Duration::from_secs(75);

/// Timeout for closing the connection of a caller that does not read the end of the response.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Parameters of the server.
#[derive(Clone)]
pub struct Setup {
    /// Handle of the control thread.
    pub handle: ControlHandle,
    /// Metrics of the process.
    pub metrics: Metrics,
    /// Log of the process.
    pub log: Logger,
    /// Counts open requests, and refuses new ones during a graceful shutdown.
    pub tracker: Arc<RequestTracker>,
    /// Limits on connections, threads and request bodies.
    pub limits: Limits,
    /// Timeouts of calls to upstreams.
    pub timeouts: Timeouts,
    /// Hash of the operators' key; with `None`, only loopback connections may use `/admin`.
    pub admin_key: Option<KeyHash>,
    /// Time limit of a graceful shutdown of the server, from `settings::Stop`.
    pub stop_timeout: Duration,
    /// TLS for callers; `None` for plain text.
    pub tls: Option<Arc<ServerConfig>>,
}

/// State that all HTTP worker threads share.
struct Shared {
    setup: Setup,
    next_seq: AtomicU64,
    body_memory: Arc<body::BodyMemory>,
}

/// Starts the HTTP worker threads. The server runs until its handle stops it.
///
/// # Errors
///
/// The listener cannot be used.
pub fn serve(setup: Setup, listener: TcpListener) -> io::Result<Server> {
    let shared = web::Data::new(Shared {
        setup: setup.clone(),
        next_seq: AtomicU64::new(1),
        body_memory: Arc::default(),
    });
    let server = HttpServer::new(move || {
        let upstreams = Upstreams::new(shared.setup.timeouts, shared.setup.log.clone());
        App::new()
            .app_data(shared.clone())
            .app_data(upstreams)
            .wrap(from_fn(context::wrap))
            .configure(routes)
    })
    .workers(setup.limits.workers)
    .max_connections(setup.limits.max_connections)
    .client_request_timeout(HEAD_TIMEOUT)
    .client_disconnect_timeout(CLOSE_TIMEOUT)
    .keep_alive(KeepAlive::Timeout(IDLE_TIMEOUT))
    // A caller that closes its sending side counts as disconnected, which cancels its request.
    .h1_allow_half_closed(false)
    .tcp_nodelay(true)
    .shutdown_timeout(setup.stop_timeout.as_secs())
    .disable_signals();
    let server = match setup.tls {
        Some(tls) => server.listen_rustls_0_23(listener, (*tls).clone())?,
        None => server.listen_auto_h2c(listener)?,
    };
    Ok(server.run())
}

fn routes(c: &mut ServiceConfig) {
    let resource = |path: &str| {
        web::resource(path.to_owned()).default_service(web::to(failure::method_not_allowed))
    };
    c.service(resource("/v1/completions").route(web::post().to(completions::text)))
        .service(resource("/v1/chat/completions").route(web::post().to(completions::chat)))
        .service(resource("/v1/models").route(web::get().to(info::models)))
        .service(resource("/v1/hosts").route(web::get().to(info::hosts)))
        .service(resource("/v1/tickets").route(web::post().to(info::ticket)))
        .service(resource("/healthz").route(web::get().to(info::health)))
        .service(resource("/readyz").route(web::get().to(info::readiness)))
        .service(resource("/metrics").route(web::get().to(info::metrics)))
        .service(resource("/admin/status").route(web::get().to(admin::status)))
        .service(resource("/admin/explain").route(web::get().to(admin::explain)))
        .default_service(web::to(plain::call));
}
