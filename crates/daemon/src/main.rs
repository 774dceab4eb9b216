//! Daemon of a host: an HTTP gateway that dispatches requests of callers to inference engines and
//! to plain services. Parses the command line, then starts the control thread and the HTTP server.

mod control;
mod edge;
mod events;
mod front;
mod mesh;
mod metrics;
mod settings;
mod stop;
mod tls;
mod upstream;
mod watch;

use std::{
    net::TcpListener,
    path::PathBuf,
    process::ExitCode,
    sync::{Arc, atomic::AtomicU64, mpsc},
};

use actix::{Actor, Addr};
use actix_rt::Arbiter;
use arc_swap::ArcSwap;
use argh::FromArgs;
use slog::Logger;
use tokio_util::sync::CancellationToken;
use yuccawing_core::rules::Findings;

use crate::{
    control::{Control, ControlHandle, messages::Snapshot, random_incarnation},
    events::{Event, emit},
    metrics::Metrics,
    settings::Settings,
    stop::{RequestTracker, Shutdown, ShutdownOutcome, Signals},
    tls::{Tls, TlsError},
    upstream::Timeouts,
};

/// Runs an entry host of yuccawing. Memory grows with the configuration, about 1 KB per adapter.
#[derive(FromArgs)]
struct Args {
    /// settings file (TOML); with --platform defaults to the variable YUCCAWING_CONFIG
    #[argh(option)]
    settings: Option<PathBuf>,
    /// serve on the users' platform
    #[argh(switch)]
    platform: bool,
    /// check the settings and exit
    #[argh(switch)]
    check: bool,
}

/// Why the daemon failed.
#[derive(Debug, thiserror::Error)]
enum Error {
    /// The command line names no settings file.
    #[error("no settings file: use --settings FILE")]
    NoSettings,
    /// The settings file is invalid.
    #[error("{0}")]
    Settings(#[from] Findings),
    /// The settings file for the platform is invalid.
    #[error("{0}")]
    Platform(#[from] front::settings::SettingsError),
    /// A certificate or key cannot be used.
    #[error("{0}")]
    Tls(#[from] TlsError),
    /// A socket cannot be opened or a signal handler cannot be installed.
    #[error("{0}")]
    Io(#[from] std::io::Error),
}

/// Exit code of a forced exit, which may have interrupted requests.
const EXIT_FORCED: u8 = 2;

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    match run(&args) {
        Ok(ShutdownOutcome::Graceful) => ExitCode::SUCCESS,
        Ok(ShutdownOutcome::Forced) => ExitCode::from(EXIT_FORCED),
        Err(e) => {
            eprintln!("yuccawingd: {e}");
            ExitCode::FAILURE
        }
    }
}

fn run(args: &Args) -> Result<ShutdownOutcome, Error> {
    let variable = || std::env::var_os(front::SETTINGS_VARIABLE).map(PathBuf::from);
    let named = args.settings.clone();
    let path = if args.platform { named.or_else(variable) } else { named };
    let path = path.ok_or(Error::NoSettings)?;
    if args.platform {
        if args.check {
            front::check(&path)?
        } else {
            front::run(&path)?
        }
        return Ok(ShutdownOutcome::Graceful);
    }
    let settings = Arc::new(Settings::load(&path)?);
    if args.check {
        return Ok(ShutdownOutcome::Graceful);
    }
    let (log, _guard) = events::stderr_logger(settings.log, &settings.name);
    let out = actix_rt::System::new().block_on(serve(settings, log.clone()));
    if let Err(e) = &out {
        emit(&log, Event::StartFailed, &slog::b!("error" => e.to_string()));
    }
    emit(&log, Event::Stopped, &slog::b!());
    out
}

async fn serve(settings: Arc<Settings>, log: Logger) -> Result<ShutdownOutcome, Error> {
    let mut signals = Signals::new()?;
    let tls = settings.tls.as_ref().map(Tls::load).transpose()?;
    let callers = TcpListener::bind(settings.listen.http)?;
    let peers = TcpListener::bind(settings.listen.peer)?;
    peers.set_nonblocking(true)?;
    let snapshot = Arc::new(ArcSwap::from_pointee(Snapshot::default()));
    let refused_calls = Arc::new(AtomicU64::new(0));
    let (metrics, tracker, token) =
        (Metrics::new(), RequestTracker::new(), CancellationToken::new());
    let control = start_control(
        control::Setup {
            settings: settings.clone(),
            incarnation: random_incarnation(),
            snapshot: snapshot.clone(),
            refused_calls: refused_calls.clone(),
            metrics: metrics.clone(),
            log: log.clone(),
            tls: tls.clone().filter(|_| !settings.plaintext.peers),
            stop: token.clone(),
        },
        peers,
    );
    let handle = ControlHandle::new(control.recipient(), snapshot, refused_calls);
    let tls_callers = match &tls {
        Some(t) if !settings.plaintext.callers => Some(t.server_config()?),
        _ => None,
    };
    let edge = edge::Setup {
        handle: handle.clone(),
        metrics,
        log: log.clone(),
        tracker: tracker.clone(),
        limits: settings.limits,
        timeouts: Timeouts::default(),
        admin_key: settings.admin.key,
        stop_timeout: settings.stop.timeout,
        tls: tls_callers,
    };
    let server = edge::serve(edge, callers)?;
    let shutdown = Shutdown {
        handle,
        server: server.handle(),
        tracker,
        timeout: settings.stop.timeout,
        log: log.clone(),
    };
    actix_rt::spawn(server);
    if let Some(t) = tls {
        actix_rt::spawn(t.watch(log.clone(), token.clone()));
    }
    let http = settings.listen.http.to_string();
    emit(&log, Event::Started, &slog::b!("http" => http));
    let outcome = stop::run(shutdown, &mut signals).await;
    token.cancel();
    Ok(outcome)
}

/// Starts the control thread, which also serves the calls of peers.
fn start_control(setup: control::Setup, peers: TcpListener) -> Addr<Control> {
    let arbiter = Arbiter::new();
    let (tx, rx) = mpsc::sync_channel(1);
    arbiter.spawn_fn(move || {
        let (stop, tls) = (setup.stop.clone(), setup.tls.clone());
        let addr = Control::new(setup).start();
        let listener = tokio::net::TcpListener::from_std(peers).expect("the listener is valid");
        actix_rt::spawn(mesh::serve(listener, tls, addr.clone().recipient(), stop));
        let _ = tx.send(addr);
    });
    rx.recv().expect("the control thread has started")
}
