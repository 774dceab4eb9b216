//! Platform mode of the daemon: the host forwards the requests of callers to the replicas that are
//! registered in the store of an existing platform.
//!
//! The control actor owns all state that decisions depend on. One HTTP worker thread serves the
//! callers and queries the actor for each request. No state outlives the process.

#![cfg_attr(
    not(test),
    warn(clippy::unwrap_used, clippy::expect_used, clippy::panic, clippy::indexing_slicing)
)]

mod client;
mod clock;
mod control;
mod datagrams;
mod edge;
mod forward;
mod metrics;
pub mod settings;
mod sse;
mod store;

use std::{
    net::{TcpListener, UdpSocket},
    path::Path,
    sync::Arc,
    time::Duration,
};

use actix::Actor;
use actix_web::{App, HttpServer, web};
use arc_swap::ArcSwap;
use slog::kv;
use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;

use self::{
    control::{Control, Drain, Reload, Snapshot},
    edge::{OpenCalls, Shared},
    metrics::Metrics,
    settings::Settings,
};
use crate::{
    Error,
    events::{self, Event, emit},
};

/// Environment variable with the path of the settings file, used when no option names one.
pub const SETTINGS_VARIABLE: &str = "YUCCAWING_CONFIG";

/// Largest number of connections that wait to be accepted. Callers open many at once after a
/// restart.
const BACKLOG: u32 = 1024;

/// Seconds for which an idle connection of a caller stays open. Callers reuse a connection for up
/// to four fifths of their own configured idle time; the known value of that is 15 s.
const KEEP_ALIVE_S: u64 = 60;

/// Interval at which the settings file is checked for changes without a signal. The seed addresses
/// may be outdated by three seconds, so a shorter interval would gain little.
const RELOAD_INTERVAL: Duration = Duration::from_secs(2);

/// Seconds within which the head of a request must arrive.
const HEAD_TIMEOUT_S: u64 = 3;

/// Runs a host until SIGTERM ends it.
///
/// # Errors
///
/// Returns an error if the settings are invalid or a socket cannot be bound.
pub fn run(path: &Path) -> Result<(), Error> {
    let settings = Settings::load(path)?;
    let (log, _guard) = events::stdout_logger(&settings.name);
    let out = actix_rt::System::new().block_on(serve(settings, path, log.clone()));
    if let Err(e) = &out {
        emit(&log, Event::StartFailed, &kv!("error" => e.to_string()));
    }
    emit(&log, Event::Stopped, &kv!());
    out
}

/// Checks the settings file at `path`.
///
/// # Errors
///
/// Returns an error if the settings are invalid.
pub fn check(path: &Path) -> Result<(), Error> {
    Settings::load(path)?;
    Ok(())
}

async fn serve(settings: Settings, path: &Path, log: slog::Logger) -> Result<(), Error> {
    let mut term = signal(SignalKind::terminate())?;
    let mut hup = signal(SignalKind::hangup())?;
    let settings = Arc::new(settings);
    let published = Arc::new(ArcSwap::from_pointee(Snapshot::default()));
    let metrics = Metrics::new();
    let token = CancellationToken::new();
    let socket = UdpSocket::bind((settings.ip, settings.peer_port()))?;
    socket.set_nonblocking(true)?;
    let control = Control::new(control::Setup {
        settings: settings.clone(),
        published: published.clone(),
        metrics: metrics.clone(),
        log: log.clone(),
        stop: token.clone(),
        socket: Arc::new(tokio::net::UdpSocket::from_std(socket)?),
    })
    .start();
    let open = OpenCalls::default();
    let closing = CancellationToken::new();
    let shared = Shared {
        open: open.clone(),
        settings: settings.clone(),
        published,
        control: control.clone(),
        metrics,
        log: log.clone(),
        closing: closing.clone(),
    };
    let server = HttpServer::new(move || {
        App::new().app_data(web::Data::new(shared.worker())).default_service(web::to(edge::handle))
    })
    .workers(1)
    .backlog(BACKLOG)
    .keep_alive(Duration::from_secs(KEEP_ALIVE_S))
    .client_request_timeout(Duration::from_secs(HEAD_TIMEOUT_S))
    // A caller that closes its side has disconnected, so its request must end at the replica too.
    .h1_allow_half_closed(false)
    .shutdown_timeout(settings.bounds.grace().as_secs())
    .disable_signals()
    .listen(TcpListener::bind(settings.listen.front)?)?
    .listen(TcpListener::bind(settings.listen.ready)?)?
    .listen(TcpListener::bind(settings.listen.directory)?)?
    .listen(TcpListener::bind(settings.metrics())?)?
    .run();
    let handle = server.handle();
    actix_rt::spawn(server);
    emit(&log, Event::Started, &kv!("front" => settings.listen.front.to_string()));
    let mut contents = std::fs::read(path)?;
    let mut poll = tokio::time::interval(RELOAD_INTERVAL);
    loop {
        tokio::select! {
            _ = term.recv() => break,
            _ = hup.recv() => control.do_send(Reload { path: path.to_owned(), signal: true }),
            _ = poll.tick() => {
                // A file that cannot be read is reported only when a signal asks for a reload.
                let Ok(now) = std::fs::read(path) else { continue };
                if now != contents {
                    contents = now;
                    control.do_send(Reload { path: path.to_owned(), signal: false });
                }
            }
        }
    }
    emit(&log, Event::StopBegun, &kv!());
    control.do_send(Drain);
    control::wait_drained(&control, &open, settings.bounds.grace(), &closing).await;
    handle.stop(false).await;
    token.cancel();
    emit(&log, Event::StopDrained, &kv!());
    Ok(())
}
