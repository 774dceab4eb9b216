//! Daemon of a yuccawing entry host.

mod control;
mod edge;
mod events;
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
    sync::{Arc, mpsc},
};

use actix::Actor;
use actix_rt::Arbiter;
use actix_web::{App, HttpResponse, HttpServer, web};
use arc_swap::ArcSwap;
use argh::FromArgs;
use slog::Logger;
use tokio_util::sync::CancellationToken;
use yuccawing_core::rules::Findings;

use crate::{
    control::{Control, Handle, Setup, messages::Snapshot, random_incarnation},
    events::{Event, emit},
    metrics::Metrics,
    settings::Settings,
};

/// Runs an entry host of yuccawing. Memory grows with the inventory, about 1 KB an adapter.
#[derive(FromArgs)]
struct Args {
    /// settings file (TOML)
    #[argh(option)]
    settings: PathBuf,
    /// check the settings and exit
    #[argh(switch)]
    check: bool,
}

/// Why the daemon ended.
#[derive(Debug, thiserror::Error)]
enum Error {
    /// The settings have findings.
    #[error("{0}")]
    Settings(#[from] Findings),
    /// A socket or a file.
    #[error("{0}")]
    Io(#[from] std::io::Error),
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    match run(&args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("yuccawingd: {e}");
            ExitCode::FAILURE
        }
    }
}

fn run(args: &Args) -> Result<(), Error> {
    let settings = Arc::new(Settings::load(&args.settings)?);
    if args.check {
        return Ok(());
    }
    let (log, _guard) = events::logger(settings.log, &settings.name);
    let out = actix_rt::System::new().block_on(serve(settings, log.clone()));
    if let Err(e) = &out {
        emit(&log, Event::StartFailed, &slog::b!("error" => e.to_string()));
    }
    emit(&log, Event::Stopped, &slog::b!());
    out
}

async fn serve(settings: Arc<Settings>, log: Logger) -> Result<(), Error> {
    let view = Arc::new(ArcSwap::from_pointee(Snapshot::default()));
    let stop = CancellationToken::new();
    let peers = TcpListener::bind(settings.listen.peer)?;
    peers.set_nonblocking(true)?;
    let setup = Setup {
        settings: settings.clone(),
        incarnation: random_incarnation(),
        view: view.clone(),
        metrics: Metrics::new(),
        log: log.clone(),
        stop: stop.clone(),
    };
    let control = start_control(setup, peers);
    let handle = Handle::new(control.recipient(), view);
    let f = slog::b!("http" => settings.listen.http.to_string());
    emit(&log, Event::Started, &f);
    HttpServer::new(move || {
        App::new()
            .app_data(web::Data::new(handle.clone()))
            .route("/readyz", web::get().to(ready))
            .route("/admin/status", web::get().to(status))
    })
    .workers(2)
    .bind(settings.listen.http)?
    .run()
    .await?;
    stop.cancel();
    Ok(())
}

async fn ready(h: web::Data<Handle>) -> HttpResponse {
    if h.view().ready {
        HttpResponse::Ok().finish()
    } else {
        HttpResponse::ServiceUnavailable().finish()
    }
}

async fn status(h: web::Data<Handle>) -> HttpResponse {
    HttpResponse::Ok().json(h.status().await.ok())
}

/// Starts the control thread, which also serves the peers.
fn start_control(setup: Setup, peers: TcpListener) -> actix::Addr<Control> {
    let arbiter = Arbiter::new();
    let (tx, rx) = mpsc::sync_channel(1);
    arbiter.spawn_fn(move || {
        let stop = setup.stop.clone();
        let addr = Control::new(setup).start();
        let listener = tokio::net::TcpListener::from_std(peers).expect("the listener is valid");
        actix_rt::spawn(mesh::serve(listener, addr.clone().recipient(), stop));
        let _ = tx.send(addr);
    });
    rx.recv().expect("the control thread has started")
}
