//! Graceful shutdown.
//!
//! The order is: mark the host leaving, keep serving until no caller uses an old address look-up,
//! refuse new requests, finish the running ones, release the lease.

#[cfg(test)]
mod tests;

use std::{
    io,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU8, AtomicUsize, Ordering},
    },
    time::Duration,
};

use actix_web::dev::ServerHandle;
use slog::{Logger, kv};
use tokio::{
    signal::unix::{Signal, SignalKind, signal},
    sync::Notify,
};

use crate::{
    control::messages::ControlHandle,
    events::{Event, emit},
};

/// How long callers use an answer of the address look-up.
pub const ADDRESS_TTL: Duration = Duration::from_secs(2);

/// Time after the address TTL in which callers that looked up last still connect.
const CONNECT_GRACE: Duration = Duration::from_secs(1);

/// Longest wait for connections after the last request. By then only buffered ends of answers are
/// left to write; a caller may keep an idle HTTP/2 connection open for much longer.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(5);

/// How the host treats requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Serves.
    Open,
    /// Serves, but asks callers to go elsewhere afterwards.
    Leaving,
    /// Refuses new requests and finishes the others.
    Closed,
}

/// Counts requests and refuses them at the end.
#[derive(Debug, Default)]
pub struct RequestTracker {
    phase: AtomicU8,
    count: AtomicUsize,
    idle: Notify,
}

impl RequestTracker {
    /// A tracker that accepts requests.
    pub fn new() -> Arc<Self> {
        Arc::default()
    }

    /// How the host treats requests.
    pub fn phase(&self) -> Phase {
        match self.phase.load(Ordering::SeqCst) {
            0 => Phase::Open,
            1 => Phase::Leaving,
            _ => Phase::Closed,
        }
    }

    /// Counts a request until the pass is dropped; `None` when new requests are refused.
    pub fn track(self: &Arc<Self>) -> Option<RequestGuard> {
        // Counts first: a request that is seen neither by this check nor by `idle` cannot exist.
        self.count.fetch_add(1, Ordering::SeqCst);
        let guard = RequestGuard(self.clone());
        (self.phase() != Phase::Closed).then_some(guard)
    }

    /// Goes to a later phase.
    pub fn advance(&self, phase: Phase) {
        self.phase.fetch_max(phase as u8, Ordering::SeqCst);
    }

    /// Requests under way.
    pub fn count(&self) -> usize {
        self.count.load(Ordering::SeqCst)
    }

    /// Waits until no request is under way.
    pub async fn wait_idle(&self) {
        loop {
            let notified = self.idle.notified();
            if self.count() == 0 {
                return;
            }
            notified.await;
        }
    }
}

/// A request under way.
#[derive(Debug)]
pub struct RequestGuard(Arc<RequestTracker>);

impl Drop for RequestGuard {
    fn drop(&mut self) {
        if self.0.count.fetch_sub(1, Ordering::SeqCst) == 1 {
            self.0.idle.notify_waiters();
        }
    }
}

/// How a shutdown ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShutdownOutcome {
    /// All requests ended and the lease was released.
    Graceful,
    /// A second signal or the time limit.
    Forced,
}

/// Parts of the host that a shutdown stops.
pub struct Shutdown {
    /// Control thread.
    pub handle: ControlHandle,
    /// HTTP server.
    pub server: ServerHandle,
    /// Requests of the edge.
    pub tracker: Arc<RequestTracker>,
    /// Time after which the exit is forced.
    pub timeout: Duration,
    /// Log.
    pub log: Logger,
}

/// SIGTERM and SIGINT.
pub struct Signals(Signal, Signal);

impl Signals {
    /// Catches the signals from now on.
    ///
    /// # Errors
    ///
    /// The handler cannot be installed.
    pub fn new() -> io::Result<Self> {
        Ok(Self(signal(SignalKind::terminate())?, signal(SignalKind::interrupt())?))
    }

    /// Waits for the next signal.
    pub async fn next(&mut self) {
        tokio::select! {
            _ = self.0.recv() => {}
            _ = self.1.recv() => {}
        }
    }
}

/// Waits for a signal and shuts the host down.
pub async fn run(shutdown: Shutdown, signals: &mut Signals) -> ShutdownOutcome {
    signals.next().await;
    emit(&shutdown.log, Event::StopBegun, &kv!("requests" => shutdown.tracker.count()));
    let second_signal = AtomicBool::new(false);
    let force = async {
        tokio::select! {
            () = signals.next() => second_signal.store(true, Ordering::SeqCst),
            () = tokio::time::sleep(shutdown.timeout) => {}
        }
    };
    tokio::select! {
        () = shut_down(&shutdown) => ShutdownOutcome::Graceful,
        () = force => {
            let second = second_signal.load(Ordering::SeqCst);
            let fields = kv!("requests" => shutdown.tracker.count(), "second_signal" => second);
            emit(&shutdown.log, Event::StopForced, &fields);
            ShutdownOutcome::Forced
        }
    }
}

/// The steps of a graceful shutdown.
pub async fn shut_down(shutdown: &Shutdown) {
    shutdown.tracker.advance(Phase::Leaving);
    // If the control thread does not answer, the host list still shows this host as leaving.
    let _ = shutdown.handle.leave().await;
    tokio::time::sleep(ADDRESS_TTL + CONNECT_GRACE).await;
    shutdown.tracker.advance(Phase::Closed);
    // Refuses connections at once; the future ends when the connections have ended.
    let server = shutdown.server.stop(true);
    shutdown.tracker.wait_idle().await;
    let _ = tokio::time::timeout(FLUSH_TIMEOUT, server).await;
    emit(&shutdown.log, Event::StopDrained, &kv!("requests" => shutdown.tracker.count()));
    // Without an answer the lease ends by itself.
    let _ = shutdown.handle.release().await;
}
