//! Test doubles of the platform's services and of the upstreams. Each records what it observes in a
//! journal and can inject faults at run time. See section 8.1 of `docs/design.md`.

mod common;
mod engine;
mod error;
mod hosts;
mod plain;
mod settings;
mod store;
mod values;

use std::{
    collections::BTreeMap,
    io::Write as _,
    net::{SocketAddr, TcpListener},
    path::PathBuf,
    process::ExitCode,
};

use actix_web::{App, HttpServer, dev::Server, web};
use argh::FromArgs;
use tokio::signal::unix::{SignalKind, signal};

use crate::{
    error::{Error, Result},
    settings::Settings,
};

/// Run the stand-ins that a TOML file lists, and print their addresses as one line of JSON.
#[derive(FromArgs)]
struct Args {
    /// settings file (TOML)
    #[argh(positional)]
    file: PathBuf,
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    match actix_web::rt::System::new().block_on(run(args)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("standin: {e}");
            ExitCode::FAILURE
        }
    }
}

async fn run(args: Args) -> Result<()> {
    let settings = Settings::read(&args.file)?;
    let mut names = BTreeMap::new();
    let mut servers = Vec::new();
    let mut bind = |name: &str, listen: &str| -> Result<(TcpListener, SocketAddr)> {
        let l = TcpListener::bind(listen).map_err(|e| Error::Bind(listen.into(), e))?;
        let addr = l.local_addr()?;
        names.insert(name.to_owned(), addr.to_string());
        Ok((l, addr))
    };
    if let Some(c) = &settings.config {
        let state = web::Data::new(values::Values::default());
        servers.push(serve(bind("config", &c.listen)?.0, move |cfg| {
            values::routes(cfg, state.clone());
        })?);
    }
    if let Some(c) = &settings.list {
        let state = web::Data::new(hosts::Hosts::default());
        servers.push(serve(bind("list", &c.listen)?.0, move |cfg| {
            hosts::routes(cfg, state.clone());
        })?);
    }
    let mut store_addr = None;
    if let Some(c) = &settings.store {
        let (l, addr) = bind("store", &c.listen)?;
        store_addr = Some(addr.to_string());
        let state = web::Data::new(store::Store::new(c.clone()));
        servers.push(serve(l, move |cfg| store::routes(cfg, state.clone()))?);
    }
    for e in &settings.engines {
        let mut e = e.clone();
        e.store = e.store.or_else(|| store_addr.clone());
        let l = bind(&e.name, &e.listen)?.0;
        let state = web::Data::new(engine::Engine::new(e));
        servers.push(serve(l, move |cfg| engine::routes(cfg, state.clone()))?);
    }
    for p in &settings.plain {
        let l = bind(&p.name, &p.listen)?.0;
        let state = web::Data::new(plain::Plain::default());
        servers.push(serve(l, move |cfg| plain::routes(cfg, state.clone()))?);
    }
    let handles: Vec<_> = servers.iter().map(Server::handle).collect();
    let tasks: Vec<_> = servers.into_iter().map(actix_web::rt::spawn).collect();
    let mut out = std::io::stdout().lock();
    writeln!(out, "{}", serde_json::to_string(&names)?)?;
    out.flush()?;
    drop(out);
    let mut term = signal(SignalKind::terminate())?;
    let mut int = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
    for h in handles {
        drop(h.stop(false));
    }
    for t in tasks {
        t.abort();
    }
    Ok(())
}

/// Starts an HTTP server with one worker thread, which suffices because handlers hold the lock on
/// the state only briefly.
fn serve(
    listener: TcpListener,
    routes: impl Fn(&mut web::ServiceConfig) + Clone + Send + 'static,
) -> Result<Server> {
    let server = HttpServer::new(move || {
        App::new()
            .app_data(web::PayloadConfig::new(common::MAX_BODY_BYTES))
            .app_data(web::JsonConfig::default().limit(common::MAX_BODY_BYTES))
            .configure(routes.clone())
    })
    .workers(1)
    .disable_signals()
    .listen(listener)?
    .run();
    Ok(server)
}
